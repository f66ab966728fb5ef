//! Shares of the slots of brittle replicas, and pauses after their rejections.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::brittle::{slot_share, BrittleLedger, BrittleStatement, SlotSource};
use berylstep_core::fleet::limits::{LimitNotice, ProcessId};

const PROCESS: ProcessId = ProcessId { replica: 1, born: 7 };

struct ShareCase {
    nodes: usize,
    replicas: usize,
    slots: u32,
    /// Whether each node knows all others, or only the nodes of its zone.
    knows_all: bool,
}

/// Guards against nodes that together send a brittle replica more than it has slots for, or leave many
/// of its slots unused (LIMIT).
#[test]
fn the_slots_of_a_brittle_replica_are_divided_among_the_nodes() {
    let cases = [
        ShareCase { nodes: 8, replicas: 3, slots: 6, knows_all: true },
        ShareCase { nodes: 9, replicas: 18, slots: 32, knows_all: true },
        ShareCase { nodes: 1, replicas: 3, slots: 6, knows_all: true },
        ShareCase { nodes: 78, replicas: 12, slots: 64, knows_all: false },
        ShareCase { nodes: 295, replicas: 204, slots: 12, knows_all: false },
    ];
    for case in cases {
        let names: Vec<_> = (0..case.nodes).map(|node| format!("n-{node}")).collect();
        let known = if case.knows_all { case.nodes } else { case.nodes / 3 };
        let share = |replica: &str, node: usize| {
            let others = names.iter().take(known).enumerate().filter(|(other, _)| *other != node);
            let others: Vec<_> = others.map(|(_, name)| &**name).collect();
            slot_share(case.slots, replica, &names[node], &others, case.nodes)
        };
        let sums: Vec<u32> = (0..case.replicas)
            .map(|replica| {
                let replica = format!("i-{replica}");
                (0..case.nodes).map(|node| share(&replica, node)).sum()
            })
            .collect();
        let mean = f64::from(sums.iter().sum::<u32>()) / case.replicas as f64;
        let text = format!("{} nodes, {} slots: {sums:?}", case.nodes, case.slots);
        match case.knows_all {
            true => assert!(sums.iter().all(|sum| *sum == case.slots), "{text}"),
            false => {
                let wanted = f64::from(case.slots) * 0.6..=f64::from(case.slots);
                assert!(wanted.contains(&mean), "{text}");
                let above = sums.iter().filter(|sum| **sum > case.slots).count();
                assert!(above * 4 <= case.replicas, "{text}");
            }
        }
    }
}

const SERVICE: &str = "s";

/// Time at which a node started, and one at which it has run for long.
const STARTED: Duration = Duration::ZERO;
const OLD: Duration = Duration::from_secs(100);

/// Guards against a node that goes on sending to a brittle replica that turned it away (LIMIT).
#[test]
fn a_node_leaves_a_brittle_replica_alone_after_a_rejection() {
    let mut ledger = BrittleLedger::default();
    let at = Duration::from_millis;
    assert_eq!(
        ledger.tolerated(PROCESS, SERVICE),
        None,
        "a replica is sound until it says otherwise"
    );
    let mut observe = |statement, millis| {
        let (sent_at, now) = (at(millis), at(millis + 1));
        ledger.observe(PROCESS, SERVICE, statement, sent_at, now).is_some()
    };
    assert!(observe(BrittleStatement::Tolerates(4), 0));
    assert!(!observe(BrittleStatement::Tolerates(4), 10));
    assert!(ledger.has_room(PROCESS, 2, 1, at(0)));
    assert!(!ledger.has_room(PROCESS, 2, 2, at(0)));
    ledger.record_rejection(PROCESS, SERVICE, 8, at(0));
    assert!(!ledger.has_room(PROCESS, 2, 0, at(3_999)));
    assert!(ledger.has_room(PROCESS, 2, 0, at(4_000)));
    let now = at(5_000);
    assert!(ledger.observe(PROCESS, SERVICE, BrittleStatement::Sound, now, now).is_some());
    assert_eq!(ledger.tolerated(PROCESS, SERVICE), None);
}

/// Guards against nodes that each send to a replica that has restarted, because it has said nothing to
/// them yet (LIMIT).
#[test]
fn a_restarted_replica_of_a_brittle_service_is_taken_for_brittle() {
    let mut ledger = BrittleLedger::default();
    let at = |millis| OLD + Duration::from_millis(millis);
    let service: SharedName = SERVICE.into();
    let restarted = ProcessId { born: 8, ..PROCESS };
    let other = ProcessId { replica: 2, born: 7 };
    let brittle = LimitNotice { process: PROCESS, version: 1, rate: Some(4.0) };
    assert!(ledger.apply(brittle, at(0)), "a peer has heard of it");
    ledger.update_services([(&service, PROCESS), (&service, other)].into_iter(), STARTED, at(0));
    assert_eq!(ledger.tolerated(other, SERVICE), Some(4), "the others of its service are, too");
    assert_eq!(ledger.tolerated(other, "t"), None, "those of another service are not");
    assert_eq!(ledger.slot_source(other, SERVICE, true, at(900)), SlotSource::Share);
    assert_eq!(ledger.slot_source(other, SERVICE, true, at(1000)), SlotSource::Keeper);
    assert_eq!(ledger.slot_source(other, SERVICE, false, at(1000)), SlotSource::Share);
    // All that have said something are gone.
    ledger.update_services([(&service, restarted)].into_iter(), STARTED, at(5_000));
    assert_eq!(ledger.tolerated(restarted, SERVICE), Some(4));
    assert_eq!(ledger.slot_source(restarted, SERVICE, true, at(5_000)), SlotSource::Keeper);
    // A response that was under way says nothing; a later one does.
    let sound = BrittleStatement::Sound;
    assert!(ledger.observe(restarted, SERVICE, sound, at(0), at(5_100)).is_none());
    assert_eq!(ledger.tolerated(restarted, SERVICE), Some(4));
    assert!(ledger.observe(restarted, SERVICE, sound, at(5_100), at(5_200)).is_some());
    assert_eq!(ledger.tolerated(restarted, SERVICE), None);
    ledger.update_services([(&service, restarted)].into_iter(), STARTED, at(5_300));
    assert_eq!(ledger.tolerated(other, SERVICE), None, "the service is sound again");
}

/// Guards against a node that has restarted, and keeps to its share of the slots while the others ask the
/// keepers for theirs (LIMIT).
#[test]
fn a_node_that_has_just_started_has_missed_the_onset() {
    let service: SharedName = SERVICE.into();
    let brittle = LimitNotice { process: PROCESS, version: 1, rate: Some(4.0) };
    for (age_s, source) in
        [(0, SlotSource::Keeper), (2, SlotSource::Keeper), (3, SlotSource::Share)]
    {
        let mut ledger = BrittleLedger::default();
        let now = STARTED + Duration::from_secs(age_s);
        assert!(ledger.apply(brittle, now));
        ledger.update_services([(&service, PROCESS)].into_iter(), STARTED, now);
        assert_eq!(ledger.slot_source(PROCESS, SERVICE, true, now), source, "{age_s} s old");
    }
}

/// Guards against a service that counts as brittle for ever, although its replicas are no longer there.
#[test]
fn a_service_that_nothing_is_heard_of_is_sound_in_the_end() {
    let mut ledger = BrittleLedger::default();
    let service: SharedName = SERVICE.into();
    let restarted = ProcessId { born: 8, ..PROCESS };
    let brittle = LimitNotice { process: PROCESS, version: 1, rate: Some(0.0) };
    assert!(ledger.apply(brittle, Duration::ZERO));
    ledger.update_services([(&service, PROCESS)].into_iter(), STARTED, Duration::ZERO);
    for (seconds, tolerated) in [(1, Some(0)), (59, Some(0)), (60, None)] {
        ledger.update_services(
            [(&service, restarted)].into_iter(),
            STARTED,
            Duration::from_secs(seconds),
        );
        assert_eq!(ledger.tolerated(restarted, SERVICE), tolerated, "after {seconds} s");
    }
}
