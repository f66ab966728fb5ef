//! Pulses of a fleet of 1,000 nodes, 10,000 replicas and 30,000 organisations: each message fits into a datagram, and
//! together they tell what one would.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep::gateway::peers::parts::split_pulse;
use berylstep::gateway::peers::{KnownNode, PeerTable};
use berylstep_wire::{
    CrashSuspicion, FleetPulse, NodeEntry, ReplicaLimit, ReplicaPace, ReplicaWork, WindowUsage,
    ZoneSummary,
};
use prost::Message;

const NOW: Duration = Duration::from_secs(100);

/// Largest datagram that a node of the build before receives.
const MAX_DATAGRAM_BYTES: usize = 48 * 1024;

/// Largest datagram over IPv4.
const MAX_UDP_BYTES: usize = 65_507;

const REPLICAS: u32 = 10_000;

fn node(name: &str, core_permille: u32) -> KnownNode {
    let number: u8 = name[1..].parse().unwrap();
    KnownNode {
        unreachable: Vec::new(),
        node: name.into(),
        zone: "a".into(),
        peer_address: SocketAddr::from(([127, 0, 0, number], 7000)),
        caller_address: SocketAddr::from(([127, 0, 0, number], 8000)),
        ready: true,
        leaving: false,
        incarnation: 1,
        core_permille,
        keeps_slots: true,
    }
}

fn pulse(sequence: u64) -> FleetPulse {
    FleetPulse {
        node: "n2".to_owned(),
        incarnation: 1,
        sequence,
        zone: "a".to_owned(),
        caller_address: "127.0.0.2:8000".to_owned(),
        core_permille: 500,
        ..FleetPulse::default()
    }
}

fn work() -> Vec<ReplicaWork> {
    (0..REPLICAS).map(|replica| ReplicaWork { replica, requests: 3, work: 30_000 }).collect()
}

fn summary() -> ZoneSummary {
    let count = REPLICAS as usize;
    ZoneSummary {
        replicas: (0..REPLICAS).collect(),
        requests: vec![3; count],
        work: vec![30_000; count],
        pace_logs: vec![-40; count],
        pace_weights: vec![300; count],
        nodes: 1_000,
        ..ZoneSummary::default()
    }
}

fn window(organisations: u64, ended: bool) -> WindowUsage {
    WindowUsage {
        window: 7,
        ended,
        organisations: (0..organisations).map(|number| number << 32).collect(),
        requests: (0..organisations).map(|number| number % 50 + 1).collect(),
        ..WindowUsage::default()
    }
}

struct PulseCase {
    name: &'static str,
    pulse: FleetPulse,
    is_split: bool,
}

fn cases() -> Vec<PulseCase> {
    let entry = |number| NodeEntry {
        node: format!("frontend-availability-zone-{number}"),
        zone: "availability-zone".to_owned(),
        peer_ip: vec![10, 0, 0, 1],
        peer_port: 7340,
        caller_port: 8080,
        incarnation: 1_800_000_000_000,
        core_permille: 500,
        ..NodeEntry::default()
    };
    let limit = |replica| ReplicaLimit { replica, born: 1 << 40, version: 9, per_second: 2.5 };
    let suspicion = |part| CrashSuspicion { part, born: 1 << 40, ..CrashSuspicion::default() };
    vec![
        PulseCase { name: "empty", pulse: pulse(1), is_split: false },
        PulseCase {
            name: "own work",
            pulse: FleetPulse { work: work(), ..pulse(1) },
            is_split: true,
        },
        PulseCase {
            name: "sums of the fleet",
            pulse: FleetPulse { fleet: Some(summary()), ..pulse(1) },
            is_split: true,
        },
        PulseCase {
            name: "sums of a zone",
            pulse: FleetPulse { spoken_for: Some(summary()), ..pulse(1) },
            is_split: true,
        },
        PulseCase {
            name: "usage of 30,000 organisations",
            pulse: FleetPulse { usage: vec![window(30_000, true)], ..pulse(1) },
            is_split: true,
        },
        PulseCase {
            name: "1,000 nodes",
            pulse: FleetPulse { nodes: (0..1_000).map(entry).collect(), ..pulse(1) },
            is_split: true,
        },
        PulseCase {
            name: "all replicas limited",
            pulse: FleetPulse { replica_limits: (0..REPLICAS).map(limit).collect(), ..pulse(1) },
            is_split: true,
        },
        PulseCase {
            name: "5,000 suspicions",
            pulse: FleetPulse { suspicions: (0..5_000).map(suspicion).collect(), ..pulse(1) },
            is_split: true,
        },
        PulseCase {
            name: "all at once",
            pulse: FleetPulse {
                work: work(),
                paces: (0..REPLICAS)
                    .map(|replica| ReplicaPace { replica, logs: -40, weight: 300 })
                    .collect(),
                fleet: Some(summary()),
                spoken_for: Some(summary()),
                usage: vec![window(30_000, true), window(30_000, false)],
                nodes: (0..1_000).map(entry).collect(),
                replica_limits: (0..REPLICAS).map(limit).collect(),
                ..pulse(1)
            },
            is_split: true,
        },
    ]
}

// Guards against a node that counts as dead because its pulse is larger than a datagram.
#[test]
fn every_message_of_a_large_fleet_fits_into_a_datagram() {
    for case in cases() {
        let whole = case.pulse.encoded_len();
        let parts = split_pulse(case.pulse);
        assert_eq!(parts.len() > 1, case.is_split, "{}: {whole} bytes", case.name);
        let largest = parts.iter().map(FleetPulse::encoded_len).max().unwrap();
        let limit = if case.name == "all at once" { MAX_UDP_BYTES } else { MAX_DATAGRAM_BYTES };
        assert!(largest <= limit, "{}: {largest} bytes", case.name);
        // A node of the build before takes the first for the pulse, and the others for messages without state.
        assert_eq!(parts[0].sequence, 1, "{}", case.name);
        assert!(parts[1..].iter().all(|part| part.sequence == 0 && part.continues == 1));
    }
}

/// Records the parts of a pulse at a follower of its sender.
fn receive(parts: Vec<FleetPulse>) -> PeerTable {
    let table = PeerTable::new(node("n1", 100));
    // As many larger nodes as there are representatives.
    for name in ["n3", "n4"] {
        let other = FleetPulse {
            node: name.to_owned(),
            caller_address: format!("127.0.0.{}:8000", &name[1..]),
            ..pulse(1)
        };
        table.record_pulse(other, node(name, 500).peer_address, NOW);
    }
    for part in parts {
        match part.sequence {
            0 => table.record_part(part, NOW),
            _ => {
                table.record_pulse(part, node("n2", 500).peer_address, NOW);
            }
        }
    }
    table
}

#[test]
fn parts_tell_what_the_whole_pulse_would() {
    let whole = FleetPulse { fleet: Some(summary()), ..pulse(1) };
    let table = receive(split_pulse(whole));
    assert!(!table.is_representative(NOW));
    let loads = table.loads(NOW);
    assert_eq!(loads.len(), REPLICAS as usize);
    assert!(loads.values().all(|load| (load.requests, load.work) == (3, 30_000)));
    assert_eq!(table.heard_nodes(NOW), 1_000);
    assert_eq!(table.paces(NOW).sums.len(), REPLICAS as usize);
}

#[test]
fn parts_of_another_pulse_are_dropped() {
    let parts = split_pulse(FleetPulse { fleet: Some(summary()), ..pulse(1) });
    let (first, rest) = parts.split_first().unwrap();
    let later = FleetPulse { sequence: 2, ..first.clone() };
    let known = receive(vec![later.clone()]).loads(NOW).len();
    let mixed = [vec![later], rest.to_vec()].concat();
    assert_eq!(receive(mixed).loads(NOW).len(), known);
    // Parts that arrive before the first one are dropped too.
    assert_eq!(receive(rest.to_vec()).loads(NOW).len(), 0);
}

#[test]
fn parts_of_a_window_are_final_only_together() {
    let parts = split_pulse(FleetPulse { usage: vec![window(30_000, true)], ..pulse(1) });
    let windows: Vec<_> = parts.iter().flat_map(|part| &part.usage).collect();
    assert!(windows.iter().all(|window| !window.ended));
    let total: u64 = windows.iter().flat_map(|window| &window.requests).sum();
    assert!(windows.iter().all(|window| window.final_requests == total));
    let organisations: usize = windows.iter().map(|window| window.organisations.len()).sum();
    assert_eq!(organisations, 30_000);
    let unfinished = split_pulse(FleetPulse { usage: vec![window(30_000, false)], ..pulse(1) });
    let mut windows = unfinished.iter().flat_map(|part| &part.usage);
    assert!(windows.all(|window| window.final_requests == 0));
}
