//! Admission under loads that exceed the capacity of a service's replicas.
//!
//! The replicas are modelled as one set of slots that serves the most urgent requests first and takes slots
//! away from less urgent ones. Nodes know the requests of the others as of some time ago.

#[path = "admission_load/load.rs"]
mod load;
#[path = "admission_load/report.rs"]
mod report;

use std::time::Duration;

use load::{CallerManner, FleetLoad, LoadSource, Surge, CHAT, REVIEW};
use report::LoadReport;

const SECOND: Duration = Duration::from_secs(1);

/// Time for which the usual load is learnt before the load rises.
const CALM: Duration = Duration::from_secs(25);

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
    load.sources[1].surge = Some(Surge { factor: 2.5, from: CALM, to: CALM + 20 * SECOND });
    load.sources[2].surge = Some(Surge { factor: 3.0, from: CALM, to: CALM + 20 * SECOND });
    let report = load.run(CALM + 35 * SECOND);
    // Requests that arrive while the information is old, and the most that the refusals leave in the queue.
    let arriving = load.capacity() * 3.0 * load.age.as_secs_f64();
    let patience = REVIEW.deadline.as_secs_f64() * 2.0 / 3.0;
    let queued = f64::from(load.slots) / REVIEW.run.as_secs_f64() * patience;
    let bound = f64::from(load.slots) + queued + arriving;
    assert!(f64::from(report.most_requests) <= bound, "{bound} {}", report.summary());
    assert!(report.of(0).part_in_time() >= 0.99, "{}", report.summary());
    assert!(report.used_part() >= 0.95, "slots are left unused: {}", report.summary());
    check_refusals(&report);
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
