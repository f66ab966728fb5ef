//! Rules of admission, each for a room that is given.

use std::time::Duration;

use berylstep_core::fleet::admission::{
    AdmissionAsk, AdmissionController, AdmissionEnd, AdmissionVerdict, RefusalReason, ServiceRoom,
};

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
