//! Whether a node counts as cut off from the replicas of a service, and who takes its requests.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::reach::{choose_node, HandoverCandidate, ReachChange, ReachLedger};

/// Outcome of a new connection: the replica's number and whether it was opened, after a time.
type Connection = (u32, bool, u64);

struct ReachCase {
    name: &'static str,
    replicas: usize,
    connections: &'static [Connection],
    is_cut_off: bool,
}

/// Guards against a node that takes a crashed replica for a cut, or never finds out that it is cut off
/// itself (RECOVER).
#[test]
fn a_node_is_cut_off_once_several_replicas_fail_in_turn() {
    let cases = [
        ReachCase {
            name: "one replica, again and again",
            replicas: 12,
            connections: &[(1, false, 0), (1, false, 10), (1, false, 20)],
            is_cut_off: false,
        },
        ReachCase {
            name: "two replicas in turn",
            replicas: 12,
            connections: &[(1, false, 0), (2, false, 10)],
            is_cut_off: true,
        },
        ReachCase {
            name: "a success between",
            replicas: 12,
            connections: &[(1, false, 0), (3, true, 5), (2, false, 10)],
            is_cut_off: false,
        },
        ReachCase {
            name: "failures far apart",
            replicas: 12,
            connections: &[(1, false, 0), (2, false, 6_000)],
            is_cut_off: false,
        },
        ReachCase {
            name: "the only replica",
            replicas: 1,
            connections: &[(1, false, 0)],
            is_cut_off: true,
        },
        ReachCase {
            name: "reached again",
            replicas: 12,
            connections: &[(1, false, 0), (2, false, 10), (2, true, 500)],
            is_cut_off: false,
        },
    ];
    for case in cases {
        let mut ledger = ReachLedger::default();
        let service = SharedName::from("model");
        let mut changes = Vec::new();
        for (replica, is_open, at_ms) in case.connections {
            let replica = SharedName::from(format!("i-{replica}"));
            let now = Duration::from_millis(*at_ms);
            changes.extend(match is_open {
                true => ledger.record_success(&service),
                false => ledger.record_failure(&service, &replica, case.replicas, now),
            });
        }
        assert_eq!(ledger.is_cut_off(&service), case.is_cut_off, "{}", case.name);
        assert_eq!(ledger.unreachable().len(), usize::from(case.is_cut_off), "{}", case.name);
        let last = changes.last().copied();
        assert_eq!(last == Some(ReachChange::CutOff), case.is_cut_off, "{}: {last:?}", case.name);
    }
}

/// Guards against a service that counts as cut off because another one is.
#[test]
fn services_are_told_apart() {
    let mut ledger = ReachLedger::default();
    let (model, desk) = (SharedName::from("model"), SharedName::from("desk"));
    for replica in ["i-1", "i-2"] {
        ledger.record_failure(&model, &replica.into(), 3, Duration::ZERO);
    }
    assert!(ledger.is_cut_off(&model) && !ledger.is_cut_off(&desk));
    assert_eq!(ledger.record_success(&desk), None);
    assert_eq!(ledger.unreachable(), [model]);
}

/// Guards against requests of a zone that all go to one node, or to one that is cut off too.
#[test]
fn sound_nodes_take_requests_by_their_processors() {
    let candidate = |is_sound, core_permille| HandoverCandidate { is_sound, core_permille };
    let candidates = [candidate(true, 120), candidate(false, 500), candidate(true, 240)];
    let mut taken = [0; 3];
    for draw in 0..300 {
        let node = choose_node(&candidates, f64::from(draw) / 300.0).unwrap();
        taken[node] += 1;
    }
    assert_eq!(taken, [100, 0, 200]);
    assert_eq!(choose_node(&candidates[1..2], 0.5), None);
    assert_eq!(choose_node(&[], 0.5), None);
}
