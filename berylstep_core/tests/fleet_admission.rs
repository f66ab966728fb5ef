//! Admission under loads that exceed the capacity of a service's replicas.
//!
//! The replicas are modelled as one set of slots that serves the most urgent requests first and takes slots
//! away from less urgent ones. Nodes know the requests of the others as of some time ago.

#[path = "admission_load/load.rs"]
mod load;
#[path = "admission_load/report.rs"]
mod report;

use std::time::Duration;

use berylstep_core::fleet::admission::{
    AdmissionAsk, AdmissionController, AdmissionEnd, AdmissionVerdict, RefusalReason, ServiceRoom,
};
use load::{CallerManner, FleetLoad, LoadSource, Surge, CHAT, REVIEW};
use report::LoadReport;

const SECOND: Duration = Duration::from_secs(1);

/// Time for which the usual load is learnt before the load rises.
const CALM: Duration = Duration::from_secs(25);

fn ask(tier: u8, organisation: u64, now: Duration) -> AdmissionAsk {
    AdmissionAsk {
        tier,
        organisation,
        arrived: now,
        objective: now + Duration::from_millis(400),
        deadline: now + 10 * SECOND,
        gap_limit: 3 * SECOND,
        work: 1000,
        identity: 0,
        draw: 0.5,
    }
}

fn room(slots: u32, requests: u32, ended_per_second: f64) -> ServiceRoom {
    ServiceRoom { slots, requests, ended_per_second, share: 1.0, knows_others: true }
}

#[derive(Clone, Copy, Debug)]
struct AdmittedCase {
    what: &'static str,
    room: ServiceRoom,
}

/// Guards against refusals and delays while there is room, or while nothing is known of it.
#[test]
fn requests_are_admitted_at_once_while_there_is_room_or_nothing_is_known() {
    let cases = [
        AdmittedCase { what: "idle", room: room(100, 0, 50.0) },
        AdmittedCase { what: "just under half in use", room: room(100, 49, 0.1) },
        AdmittedCase { what: "as many requests as slots", room: room(100, 100, 0.1) },
        AdmittedCase { what: "completions unknown", room: room(100, 90_000, 0.0) },
        AdmittedCase { what: "no replicas known", room: room(0, 90_000, 50.0) },
        AdmittedCase { what: "nothing known", room: ServiceRoom::default() },
    ];
    for case in cases {
        let mut controller = AdmissionController::new(0.5, Duration::ZERO);
        for number in 0..2000 {
            let now = CALM + Duration::from_millis(number);
            let ticket = controller.arrive(ask((number % 3) as u8, number % 7, now), now);
            let verdict = controller.decide(ticket, &case.room, now);
            assert_eq!(verdict, AdmissionVerdict::Admitted, "{}, request {number}", case.what);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct WaitCase {
    what: &'static str,
    requests: u32,
    ended_per_second: f64,
    knows_others: bool,
    refused: Option<RefusalReason>,
}

/// Guards against the refusal of requests that may still be of use, and against requests that are held
/// although they can't be (refuse at once or not at all).
#[test]
fn only_requests_that_would_come_too_late_are_refused_and_those_at_once() {
    let too_late = Some(RefusalReason::TooLate);
    let base = WaitCase {
        what: "",
        requests: 0,
        ended_per_second: 50.0,
        knows_others: true,
        refused: None,
    };
    let cases = [
        WaitCase { what: "two seconds of queue", requests: 200, ..base },
        WaitCase { what: "four seconds of queue", requests: 300, refused: too_late, ..base },
        WaitCase {
            what: "the same without the other nodes",
            requests: 300,
            knows_others: false,
            ..base
        },
        WaitCase {
            what: "a long queue that moves on",
            requests: 300,
            ended_per_second: 500.0,
            ..base
        },
    ];
    for case in cases {
        let mut controller = AdmissionController::new(0.0, Duration::ZERO);
        // Others of the tier are served, so that none is below its floor.
        for number in 0..50 {
            let ticket = controller.arrive(ask(1, 0, CALM), CALM);
            controller.decide(ticket, &room(100, 50, 50.0), CALM);
            if number % 2 == 0 {
                controller.leave(ticket, AdmissionEnd::Served, CALM);
            }
        }
        let knows_others = case.knows_others;
        let room = ServiceRoom { knows_others, ..room(100, case.requests, case.ended_per_second) };
        let ticket = controller.arrive(ask(1, 0, CALM), CALM);
        let verdict = controller.decide(ticket, &room, CALM);
        match (verdict, case.refused) {
            (AdmissionVerdict::Refused { reason, retry_after }, Some(expected)) => {
                assert_eq!(reason, expected, "{}", case.what);
                assert!(retry_after <= 10 * SECOND / 3, "{}: {retry_after:?}", case.what);
            }
            (AdmissionVerdict::Refused { .. }, None) => panic!("{}: refused", case.what),
            (_, Some(_)) => panic!("{}: not refused", case.what),
            (_, None) => {
                // What was held for an eighth of its objective is admitted, whatever happens.
                let later = CALM + Duration::from_millis(50);
                let verdict = controller.decide(ticket, &self::room(100, 90_000, 1.0), later);
                assert_eq!(verdict, AdmissionVerdict::Admitted, "{}", case.what);
            }
        }
    }
}

/// Guards against a most urgent route that loses its objective to a burst of the least urgent one, and
/// against refusals of the urgent one (TIER).
#[test]
fn a_burst_in_the_lowest_tier_leaves_the_highest_its_objective() {
    let mut load = FleetLoad::usual();
    load.sources[2].surge = Some(Surge { factor: 6.0, from: CALM, to: CALM + 12 * SECOND });
    load.counted_from = CALM;
    let report = load.run(CALM + 15 * SECOND);
    let chat = report.of(0);
    assert!(chat.part_in_time() >= 0.99, "{}", report.summary());
    assert_eq!(chat.refusals, 0, "{}", report.summary());
    assert!(chat.longest_hold.is_zero(), "{}", report.summary());
    assert!(report.of(2).refusals > 0, "the load must exceed the capacity: {}", report.summary());
    assert!(report.of(2).part_served() >= 0.25 * report.part_served(), "{}", report.summary());
    check_refusals(&report);
}

/// Guards against a lowest tier that gets nothing while the highest takes all (the floor of each route is a
/// quarter of what all get).
#[test]
fn a_burst_in_the_highest_tier_leaves_the_lowest_its_floor() {
    let mut load = FleetLoad::usual();
    load.sources[0].surge = Some(Surge { factor: 6.0, from: CALM, to: CALM + 25 * SECOND });
    load.counted_from = CALM;
    let report = load.run(CALM + 25 * SECOND);
    assert!(report.of(2).part_served() >= 0.25 * report.part_served(), "{}", report.summary());
    assert!(report.of(1).part_served() >= 0.25 * report.part_served(), "{}", report.summary());
    assert!(report.of(0).refusals > 0, "the load must exceed the capacity: {}", report.summary());
    let (chat, review) = (report.of(0), report.of(2));
    assert!(
        chat.part_served() >= review.part_served(),
        "less urgent goes first: {}",
        report.summary()
    );
    check_refusals(&report);
}

/// Guards against one organisation that takes the capacity from the others, and against capacity withheld
/// from it while there is enough (work-conserving).
#[test]
fn an_organisation_at_many_times_its_load_yields_only_while_capacity_is_short() {
    for (slots, is_short) in [(180, true), (900, false)] {
        let mut load = FleetLoad::usual();
        load.slots = slots;
        load.sources = (1..=5)
            .map(|organisation| LoadSource { organisation, per_second: 50.0, ..REVIEW })
            .collect();
        load.counted_from = CALM;
        load.sources[0].surge = Some(Surge { factor: 7.5, from: CALM, to: CALM + 15 * SECOND });
        let report = load.run(CALM + 18 * SECOND);
        let surging = report.of(0);
        let others = report.merged(1..5);
        if is_short {
            assert!(
                surging.refusals > 0,
                "the load must exceed the capacity: {}",
                report.summary()
            );
            assert!(others.part_in_time() >= 0.9, "{}", report.summary());
            assert!(surging.part_served() >= 0.25 * report.part_served(), "{}", report.summary());
            assert!(report.used_part() >= 0.95, "slots are left unused: {}", report.summary());
        } else {
            assert_eq!(report.refusals(), 0, "{}", report.summary());
            assert!(report.longest_hold().is_zero(), "{}", report.summary());
        }
        check_refusals(&report);
    }
}

/// Guards against callers that gain by sending a refused request again at once and often.
#[test]
fn callers_that_repeat_at_once_gain_nothing_over_those_that_wait() {
    let mut load = FleetLoad::usual();
    load.nodes = 3;
    load.sources = [CallerManner::Waits, CallerManner::RepeatsAtOnce]
        .map(|manner| LoadSource { manner, per_second: 500.0, ..CHAT })
        .to_vec();
    let report = load.run(20 * SECOND);
    let (patient, hasty) = (report.of(0), report.of(1));
    assert!(report.refusals() > 0, "the load must exceed the capacity: {}", report.summary());
    assert!(hasty.part_served() <= patient.part_served() * 1.05, "{}", report.summary());
    check_refusals(&report);
}

/// Guards against 90 nodes that all admit into the same free slots.
#[test]
fn nodes_with_the_same_old_information_do_not_fill_the_same_slots() {
    let mut load = FleetLoad::usual().scaled(8);
    load.nodes = 90;
    load.age = Duration::from_millis(250);
    load.sources[1].surge = Some(Surge { factor: 2.5, from: CALM, to: CALM + 10 * SECOND });
    load.sources[2].surge = Some(Surge { factor: 3.0, from: CALM, to: CALM + 10 * SECOND });
    let report = load.run(CALM + 10 * SECOND);
    // Requests that arrive while the information is old, and the most that the refusals leave in the queue.
    let arriving = load.capacity() * 3.0 * load.age.as_secs_f64();
    let queued = load.capacity() * 8.0;
    let bound = f64::from(load.slots) + queued + arriving;
    assert!(f64::from(report.most_requests) <= bound, "{bound} {}", report.summary());
    assert!(report.of(0).part_in_time() >= 0.99, "{}", report.summary());
    assert!(report.used_part() >= 0.95, "slots are left unused: {}", report.summary());
    check_refusals(&report);
}

/// Guards against 90 nodes that release all the requests they hold when a few slots become free.
#[test]
fn held_requests_of_all_nodes_take_what_is_free_and_not_more() {
    let nodes = 90;
    let now = CALM;
    let (slots, free, ended) = (900_u32, 45_u32, 300.0);
    let share = 1.0 / f64::from(nodes);
    let full = ServiceRoom { share, ..room(slots, slots + slots / 10, ended) };
    let mut fleet: Vec<_> = (0..nodes)
        .map(|node| {
            let phase = f64::from(node) / f64::from(nodes);
            let mut controller = AdmissionController::new(phase, now);
            let before = now - SECOND;
            let urgent = controller.arrive(ask(0, 0, before), before);
            controller.decide(urgent, &full, before);
            let held: Vec<_> = (0..4).map(|_| controller.arrive(held_ask(now), now)).collect();
            for ticket in &held {
                let verdict = controller.decide(*ticket, &full, now);
                assert!(matches!(verdict, AdmissionVerdict::Waits(_)), "{verdict:?}");
            }
            (controller, held)
        })
        .collect();
    let some = ServiceRoom { requests: slots - free, ..full };
    let mut admitted = 0;
    let interval = Duration::from_millis(250);
    for step in 1..=25 {
        let at = now + interval * step / 25;
        for (controller, held) in &mut fleet {
            held.retain(|ticket| {
                let verdict = controller.decide(*ticket, &some, at);
                admitted += u32::from(verdict == AdmissionVerdict::Admitted);
                verdict != AdmissionVerdict::Admitted
            });
        }
    }
    let ended = (ended * interval.as_secs_f64()) as u32;
    let target = slots / 10 + free;
    assert!(admitted <= ended + target, "{admitted} of 360 for {free} slots and {ended} ends");
    assert!(admitted * 2 >= ended, "{admitted} of 360, while {ended} end");
}

fn held_ask(now: Duration) -> AdmissionAsk {
    AdmissionAsk { objective: now + 3 * SECOND, deadline: now + 12 * SECOND, ..ask(2, 0, now) }
}

/// Guards against organisations that all yield because they all send more than before, as after a quiet
/// night, and against one that yields although no other needs the room.
#[test]
fn a_rise_of_all_organisations_makes_none_of_them_yield() {
    for organisations in [1, 4] {
        let full = room(100, 150, 50.0);
        let mut controller = AdmissionController::new(0.0, Duration::ZERO);
        for number in 0..4000 {
            let now = 600 * SECOND + Duration::from_millis(5) * number;
            let ask = ask(1, 1 + u64::from(number % organisations), now);
            let ticket = controller.arrive(ask, now);
            let verdict = controller.decide(ticket, &full, now);
            assert_eq!(verdict, AdmissionVerdict::Admitted, "{organisations}, {number}");
            controller.leave(ticket, AdmissionEnd::Served, now);
        }
    }
}

struct FloorCase {
    what: &'static str,
    /// Request that may wait for long.
    patient: AdmissionAsk,
    /// Request that always comes too late.
    late: AdmissionAsk,
    /// Least admitted part of the late ones, relative to that of all.
    floor: f64,
    /// Largest admitted part of the late ones.
    most: f64,
}

/// Guards against a tier, an organisation or a size that is refused throughout, and against a tier that is
/// refused more often than a lower one (TIER).
#[test]
fn tiers_organisations_and_sizes_that_are_refused_too_often_are_admitted() {
    let minute = 60 * SECOND;
    let base = AdmissionAsk { gap_limit: minute, ..ask(1, 1, CALM) };
    let patient = AdmissionAsk { objective: CALM + minute, deadline: CALM + minute, ..base };
    let late = AdmissionAsk { objective: CALM + SECOND, deadline: CALM + SECOND, ..base };
    let cases = [
        FloorCase {
            what: "a lower tier",
            patient,
            late: AdmissionAsk { tier: 2, ..late },
            floor: 0.25,
            most: 0.5,
        },
        FloorCase {
            what: "an organisation",
            patient,
            late: AdmissionAsk { organisation: 2, ..late },
            floor: 0.25,
            most: 0.5,
        },
        FloorCase {
            what: "large requests",
            patient,
            late: AdmissionAsk { work: 9000, ..late },
            floor: 0.5,
            most: 0.9,
        },
        FloorCase {
            what: "a higher tier than one that is admitted",
            patient: AdmissionAsk { tier: 2, ..patient },
            late,
            // The first requests come before tiers are compared.
            floor: 0.95,
            most: 1.0,
        },
    ];
    for case in cases {
        let room = room(100, 600, 50.0);
        let mut controller = AdmissionController::new(0.0, Duration::ZERO);
        let mut admitted = [0.0; 2];
        let rounds = 200;
        for round in 0..rounds {
            let at = Duration::from_millis(100) * round;
            // Of three requests, one is late, as of a tier's requests three tenths are large.
            for (index, ask) in [(0, case.patient), (0, case.patient), (1, case.late)] {
                let now = CALM + at;
                let (objective, deadline) = (ask.objective + at, ask.deadline + at);
                let ask = AdmissionAsk { arrived: now, objective, deadline, ..ask };
                let ticket = controller.arrive(ask, now);
                match controller.decide(ticket, &room, now) {
                    AdmissionVerdict::Admitted | AdmissionVerdict::Waits(_) => {
                        controller.admit(ticket, now);
                        admitted[index] += 1.0;
                        controller.leave(ticket, AdmissionEnd::Served, now + SECOND / 20);
                    }
                    AdmissionVerdict::Refused { .. } => {}
                }
            }
        }
        let rounds = f64::from(rounds);
        let (all, late) = ((admitted[0] + admitted[1]) / (3.0 * rounds), admitted[1] / rounds);
        assert!(late >= case.floor * all, "{}: {late:.2} of {all:.2}", case.what);
        assert!(late <= case.most, "{}: {late:.2} of {all:.2}", case.what);
    }
}

/// Guards against requests whose callers have left and that still count as waiting or in progress.
#[test]
fn requests_that_leave_make_way_for_others() {
    let now = CALM;
    let full = room(100, 110, 20.0);
    let mut controller = AdmissionController::new(0.0, now);
    let urgent = controller.arrive(ask(0, 0, now), now);
    controller.decide(urgent, &full, now);
    let first = controller.arrive(held_ask(now), now);
    let second = controller.arrive(held_ask(now), now);
    for ticket in [first, second] {
        let verdict = controller.decide(ticket, &full, now);
        assert!(matches!(verdict, AdmissionVerdict::Waits(_)), "{verdict:?}");
    }
    assert_eq!(controller.waiting(), 2);
    controller.leave(first, AdmissionEnd::Failed, now);
    assert_eq!(controller.waiting(), 1);
    // One admission is possible by then: that of the request that is still here.
    let later = now + Duration::from_millis(110);
    assert_eq!(controller.decide(second, &full, later), AdmissionVerdict::Admitted);
    assert_eq!(controller.waiting(), 0);
}

/// Guards against requests that came back as told and are refused once more, and against earlier ones that
/// gain from it.
#[test]
fn a_request_that_comes_back_as_told_goes_before_new_ones_of_its_tier() {
    let now = CALM;
    let full = room(100, 400, 50.0);
    let mut controller = AdmissionController::new(0.0, now);
    for _ in 0..50 {
        let ticket = controller.arrive(ask(1, 0, now), now);
        controller.decide(ticket, &room(100, 50, 50.0), now);
    }
    let mut decide = |identity: u64, now: Duration| {
        let ask = AdmissionAsk { identity, ..ask(1, 0, now) };
        let ticket = controller.arrive(ask, now);
        controller.decide(ticket, &full, now)
    };
    let AdmissionVerdict::Refused { retry_after, .. } = decide(7, now) else {
        panic!("the first is refused");
    };
    let early = decide(7, now + retry_after / 2);
    let AdmissionVerdict::Refused { reason, retry_after: rest } = early else {
        panic!("it came too early: {early:?}");
    };
    assert_eq!(reason, RefusalReason::SentAgainEarly);
    assert!(rest <= retry_after / 2 + Duration::from_millis(50), "{rest:?} of {retry_after:?}");
    let back = now + retry_after;
    assert!(matches!(decide(8, back), AdmissionVerdict::Refused { .. }), "a new one");
    assert_eq!(decide(7, back), AdmissionVerdict::Admitted);
    let again = decide(7, back);
    assert!(matches!(again, AdmissionVerdict::Refused { .. }), "a promise holds once: {again:?}");
}

/// Guards against a node that refuses or holds requests for long after it has lost contact with the others.
#[test]
fn a_node_without_information_refuses_nothing() {
    let mut load = FleetLoad::usual();
    load.informed = false;
    load.sources[0].surge = Some(Surge { factor: 4.0, from: CALM, to: CALM + 10 * SECOND });
    load.sources[2].surge = Some(Surge { factor: 4.0, from: CALM, to: CALM + 10 * SECOND });
    let report = load.run(CALM + 10 * SECOND);
    assert_eq!(report.refusals(), 0, "{}", report.summary());
    assert!(report.of(0).longest_hold.is_zero(), "{}", report.summary());
    assert!(report.of(2).longest_hold <= REVIEW.objective / 8 + Duration::from_millis(10));
}

/// Guards against large requests that lose their share to small ones (the largest tenth, and the fifth
/// below it, are served at least half as often as their whole route).
#[test]
fn large_requests_keep_their_share() {
    let mut load = FleetLoad::usual();
    let parts = [(0.7, 4_000, 200), (0.2, 9_000, 400), (0.1, 16_000, 900)];
    let source = |(part, work, run)| LoadSource {
        per_second: 300.0 * part,
        work,
        run: Duration::from_millis(run),
        surge: Some(Surge { factor: 4.0, from: CALM, to: CALM + 25 * SECOND }),
        ..REVIEW
    };
    load.sources = parts.map(source).to_vec();
    load.slots = 150;
    let report = load.run(CALM + 30 * SECOND);
    assert!(report.refusals() > 0, "the load must exceed the capacity: {}", report.summary());
    let all = report.part_served();
    for index in [1, 2] {
        assert!(report.of(index).part_served() >= 0.5 * all, "{index}: {}", report.summary());
    }
    check_refusals(&report);
}

/// Guards against an admission that opens all at once when capacity comes back, and against requests that
/// all come back for the same slots.
#[test]
fn capacity_that_comes_back_is_filled_at_the_pace_it_bears() {
    let mut load = FleetLoad::usual();
    let lost = CALM..CALM + 12 * SECOND;
    load.lost = Some((lost.clone(), 0.5));
    for source in &mut load.sources {
        source.per_second *= 1.2;
    }
    let report = load.run(lost.end + 12 * SECOND);
    let after = report.admitted_between(lost.end, lost.end + 3 * SECOND);
    let bearable = load.capacity() * 3.0 + f64::from(load.slots) * 1.1;
    assert!(after as f64 <= bearable, "{after} requests for {bearable}: {}", report.summary());
    assert!(report.refusals() > 0, "the load must exceed the capacity: {}", report.summary());
    assert!(report.of(0).part_in_time() >= 0.99, "{}", report.summary());
    check_refusals(&report);
}

/// Checks what each refusal must keep to, whatever the load is.
fn check_refusals(report: &LoadReport) {
    for source in &report.sources {
        let objective = source.objective;
        let hold = source.longest_refused_hold;
        assert!(hold <= objective / 8, "refused after {hold:?} of {objective:?}");
        assert!(source.longest_retry_part <= 1.0 / 3.0 + 1e-6, "{source:?}");
    }
    let least = report.least_requests_at_refusal;
    assert!(least >= 1.0, "refused while slots were free: {}", report.summary());
}
