//! Observations of paces between nodes: every node learns those of all others, each counted once however many messages
//! repeat it, and those of a node that has fallen silent are forgotten.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use berylstep::gateway::peers::{KnownNode, PeerTable};
use berylstep_wire::{FleetPulse, ReplicaPace, ReplicaWork};
use prost::Message;

const START: Duration = Duration::from_secs(100);
const INTERVAL: Duration = Duration::from_millis(250);

fn node(zone: &str, number: u8) -> KnownNode {
    let port = 1000 + u16::from(number) + 100 * u16::from(zone.as_bytes()[0]);
    KnownNode {
        unreachable: Vec::new(),
        node: format!("{zone}{number}").as_str().into(),
        zone: zone.into(),
        peer_address: SocketAddr::from(([127, 0, 0, 1], port)),
        caller_address: SocketAddr::from(([127, 0, 0, 1], port + 1)),
        ready: true,
        leaving: false,
        incarnation: 1,
        core_permille: 100,
        keeps_slots: true,
    }
}

/// Observations of two replicas, one of them only by this node.
fn paces(index: usize) -> Vec<ReplicaPace> {
    let own = 100 + index as u32;
    vec![
        ReplicaPace { replica: 7, logs: 3, weight: 2 },
        ReplicaPace { replica: own, logs: -(index as i32) - 1, weight: 8 },
    ]
}

fn pulse(node: &KnownNode, index: usize, sequence: u64) -> FleetPulse {
    FleetPulse {
        node: node.node.to_string(),
        zone: node.zone.to_string(),
        incarnation: 1,
        sequence,
        caller_address: node.caller_address.to_string(),
        ready: true,
        core_permille: 100,
        work: vec![ReplicaWork { replica: 7, requests: 1, work: 100 }],
        follows_store: true,
        keeps_slots: true,
        paces: paces(index),
        states_pace: index == 0,
        ..FleetPulse::default()
    }
}

/// Sends one pulse of each node that is not silent, each message twice.
fn exchange(
    nodes: &[KnownNode],
    tables: &[PeerTable],
    round: u64,
    is_silent: impl Fn(usize) -> bool,
) {
    let now = START + INTERVAL * round as u32;
    let indices: HashMap<_, _> =
        nodes.iter().enumerate().map(|(index, node)| (node.peer_address, index)).collect();
    for (index, node) in nodes.iter().enumerate().filter(|(index, _)| !is_silent(*index)) {
        let table = &tables[index];
        table.expire(now);
        let pulse = FleetPulse {
            nodes: table.gossip_entries(now),
            isolated: !table.is_connected(now),
            ..pulse(node, index, round + 1)
        };
        table.record_own_work(pulse.work.clone());
        table.record_own_paces(pulse.paces.clone());
        let mut sent = Vec::new();
        let mut deliver = |to: SocketAddr, message: &FleetPulse| {
            for _ in 0..2 {
                let bytes = message.encode_to_vec();
                let message = FleetPulse::decode(&*bytes).unwrap();
                tables[indices[&to]].record_pulse(message, node.peer_address, now);
            }
            sent.push(to);
        };
        for group in table.outbound(&pulse, None, now) {
            group.addresses.iter().for_each(|to| deliver(*to, &group.pulse));
        }
        for seed in nodes.iter().filter(|seed| seed.node.ends_with('0') && seed.node != node.node) {
            deliver(seed.peer_address, &pulse);
        }
        for to in table.new_peers(now) {
            deliver(to, &pulse);
        }
    }
}

struct ExchangeCase {
    name: &'static str,
    zones: &'static [&'static str],
    size: u8,
}

#[test]
fn every_node_learns_the_observations_of_all_others_once() {
    let cases = [
        ExchangeCase { name: "one zone", zones: &["a"], size: 2 },
        ExchangeCase { name: "small zones", zones: &["a", "b", "c"], size: 2 },
        ExchangeCase { name: "zones with followers", zones: &["a", "b", "c", "d"], size: 12 },
    ];
    for case in cases {
        let nodes: Vec<_> = case
            .zones
            .iter()
            .flat_map(|zone| (0..case.size).map(|number| node(zone, number)))
            .collect();
        let tables: Vec<_> = nodes.iter().map(|node| PeerTable::new(node.clone())).collect();
        const ROUNDS: u64 = 30;
        (0..ROUNDS).for_each(|round| exchange(&nodes, &tables, round, |_| false));
        let now = START + INTERVAL * (ROUNDS as u32 - 1);
        let others = nodes.len() as u32 - 1;
        for (index, table) in tables.iter().enumerate() {
            let reports = table.paces(now);
            let name = format!("{}, node {}", case.name, nodes[index].node);
            let shared = reports.sums[&7];
            assert_eq!((shared.logs, shared.weight), (3 * others as i32, 2 * others), "{name}");
            for other in (0..nodes.len()).filter(|other| *other != index) {
                let sum = reports.sums.get(&(100 + other as u32)).copied().unwrap_or_default();
                assert_eq!((sum.logs, sum.weight), (-(other as i32) - 1, 8), "{name}");
            }
            let own = reports.sums.get(&(100 + index as u32)).copied().unwrap_or_default();
            assert_eq!((own.logs, own.weight), (0, 0), "{name}: its own");
            if index > 0 {
                assert!(reports.states_pace, "{name}: a replica has stated its pace elsewhere");
            }
            let loads = table.loads(now);
            assert_eq!(loads[&7].requests, others, "{name}: loads are unchanged by observations");
        }
        // A node that has fallen silent is forgotten with what it has observed.
        let last = nodes.len() - 1;
        (ROUNDS..ROUNDS + 12).for_each(|round| {
            exchange(&nodes, &tables, round, |index| index == last);
        });
        let now = START + INTERVAL * (ROUNDS as u32 + 11);
        for table in &tables[..last] {
            let sum = table.paces(now).sums.get(&(100 + last as u32)).copied().unwrap_or_default();
            assert_eq!(sum.weight, 0, "{}: a silent node's observations", case.name);
        }
    }
}

/// A pulse names at most 24 replicas, see `PaceLedger::reports`.
#[test]
fn observations_take_a_few_hundred_bytes_of_a_pulse() {
    let paces = |count| (0..count).map(|replica| ReplicaPace { replica, logs: -200, weight: 64 });
    let pulse = |count| FleetPulse { paces: paces(count).collect(), ..FleetPulse::default() };
    let bytes = pulse(24).encoded_len();
    assert!(bytes <= 330, "{bytes} bytes");
}

/// A summary of a node without the new fields is read as before.
#[test]
fn pulses_of_the_previous_build_carry_no_observations() {
    let table = PeerTable::new(node("a", 0));
    let old = FleetPulse { paces: Vec::new(), states_pace: false, ..pulse(&node("a", 1), 1, 1) };
    table.record_pulse(old, node("a", 1).peer_address, START);
    let reports = table.paces(START);
    assert!(reports.sums.is_empty() && !reports.states_pace);
    assert_eq!(table.loads(START)[&7].requests, 1);
}
