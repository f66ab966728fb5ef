//! Shares of the slots of brittle replicas, and pauses after their rejections.

use std::time::Duration;

use berylstep_core::fleet::brittle::{slot_share, BrittleLedger, BrittleStatement};
use berylstep_core::fleet::limits::ProcessId;

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

/// Guards against a node that goes on sending to a brittle replica that turned it away (LIMIT).
#[test]
fn a_node_leaves_a_brittle_replica_alone_after_a_rejection() {
    let mut ledger = BrittleLedger::default();
    let at = Duration::from_millis;
    assert!(ledger.has_room(PROCESS, 0, 99, at(0)), "a sound replica has room");
    assert!(ledger.observe(PROCESS, BrittleStatement::Tolerates(4)));
    assert!(!ledger.observe(PROCESS, BrittleStatement::Tolerates(4)));
    assert!(ledger.has_room(PROCESS, 2, 1, at(0)));
    assert!(!ledger.has_room(PROCESS, 2, 2, at(0)));
    ledger.record_rejection(PROCESS, 8, at(0));
    assert!(!ledger.has_room(PROCESS, 2, 0, at(3_999)));
    assert!(ledger.has_room(PROCESS, 2, 0, at(4_000)));
    let restarted = ProcessId { born: 8, ..PROCESS };
    assert!(ledger.has_room(restarted, 0, 9, at(0)), "a new process has said nothing yet");
    assert!(ledger.observe(PROCESS, BrittleStatement::Sound));
    assert_eq!(ledger.tolerated(PROCESS), None);
}
