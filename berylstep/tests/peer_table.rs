//! Tests of the peer table: all nodes elect the same representatives, sums count each node once,
//! and gossip does not revive nodes that have fallen silent.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep::gateway::peers::{KnownNode, PeerTable};
use berylstep_core::collections::HashMap;
use berylstep_wire::{ClassDemand, FleetPulse, ReplicaWork, WindowUsage};

const START: Duration = Duration::from_secs(10);

fn node(zone: &str, number: u8, core_permille: u32) -> KnownNode {
    let address = |port| SocketAddr::from(([127, 0, zone.as_bytes()[0], number], port));
    KnownNode {
        unreachable: Vec::new(),
        keeps_slots: true,
        node: format!("{zone}{number}").as_str().into(),
        zone: zone.into(),
        peer_address: address(7000),
        caller_address: address(8000),
        ready: true,
        leaving: false,
        incarnation: 1,
        core_permille,
    }
}

fn pulse(node: &KnownNode, sequence: u64) -> FleetPulse {
    FleetPulse {
        node: node.node.to_string(),
        zone: node.zone.to_string(),
        incarnation: node.incarnation,
        sequence,
        caller_address: node.caller_address.to_string(),
        ready: node.ready,
        core_permille: node.core_permille,
        work: vec![ReplicaWork { replica: 7, requests: 1, work: 100 }],
        demand: vec![ClassDemand {
            service: "model".to_owned(),
            work_per_second: 10,
            short_work_per_second: 4,
        }],
        follows_store: true,
        keeps_slots: node.keeps_slots,
        ..FleetPulse::default()
    }
}

/// Builds three zones of `size` nodes; the first two of each have the largest CPU share.
fn fleet(size: u8) -> Vec<KnownNode> {
    let zones = ["a", "b", "c"].into_iter();
    let nodes = zones.flat_map(|zone| {
        (0..size).map(move |number| node(zone, number, if number < 2 { 500 } else { 120 }))
    });
    nodes.collect()
}

/// Returns the tables of all nodes after `rounds` rounds of pulses, sent as `PulseExchange` does.
fn exchange_pulses(nodes: &[KnownNode], rounds: u64) -> Vec<PeerTable> {
    exchange_lossy_pulses(nodes, rounds, |_, _| false)
}

/// Does the same, but loses the pulses to a node in the rounds for which `is_lost` is true.
fn exchange_lossy_pulses(
    nodes: &[KnownNode],
    rounds: u64,
    is_lost: impl Fn(u64, &KnownNode) -> bool,
) -> Vec<PeerTable> {
    let tables: Vec<_> = nodes.iter().map(|node| PeerTable::new(node.clone())).collect();
    for round in 0..rounds {
        let now = START + Duration::from_millis(250) * round as u32;
        for (index, node) in nodes.iter().enumerate() {
            let is_lost = |to: &KnownNode| is_lost(round, to);
            send_lossy_pulse(nodes, &tables, index, &pulse(node, round + 1), now, is_lost);
        }
    }
    tables
}

fn send_pulse(
    nodes: &[KnownNode],
    tables: &[PeerTable],
    from: usize,
    pulse: &FleetPulse,
    now: Duration,
) {
    send_lossy_pulse(nodes, tables, from, pulse, now, |_| false);
}

fn send_lossy_pulse(
    nodes: &[KnownNode],
    tables: &[PeerTable],
    from: usize,
    pulse: &FleetPulse,
    now: Duration,
    is_lost: impl Fn(&KnownNode) -> bool,
) {
    let (table, own) = (&tables[from], &nodes[from]);
    table.expire(now);
    table.record_own_work(pulse.work.clone());
    let pulse = FleetPulse {
        nodes: table.gossip_entries(now),
        isolated: !table.is_connected(now),
        ..pulse.clone()
    };
    let indices: HashMap<_, _> =
        nodes.iter().enumerate().map(|(index, node)| (node.peer_address, index)).collect();
    let deliver = |to: SocketAddr, message: FleetPulse| {
        if !is_lost(&nodes[indices[&to]]) {
            tables[indices[&to]].record_pulse(message, own.peer_address, now);
        }
    };
    let mut sent = Vec::new();
    for group in table.outbound(&pulse, None, now) {
        for address in group.addresses {
            sent.push(address);
            deliver(address, group.pulse.clone());
        }
    }
    // The seeds are the first node of each zone.
    for seed in nodes.iter().filter(|node| node.node.ends_with('0') && node.node != own.node) {
        if !sent.contains(&seed.peer_address) {
            sent.push(seed.peer_address);
            deliver(seed.peer_address, pulse.clone());
        }
    }
    for new_peer in table.new_peers(now).into_iter().filter(|address| !sent.contains(address)) {
        deliver(new_peer, pulse.clone());
    }
}

/// Returns the time of the last of `rounds` rounds.
fn time_of_last(rounds: u64) -> Duration {
    START + Duration::from_millis(250) * (rounds as u32 - 1)
}

struct FleetCase {
    name: &'static str,
    size: u8,
    /// Expected number of representatives in all zones.
    representatives: usize,
}

#[test]
fn every_node_is_counted_once_at_every_node() {
    let cases = [
        FleetCase { name: "two in each zone", size: 2, representatives: 6 },
        FleetCase { name: "three in each zone", size: 3, representatives: 9 },
        FleetCase { name: "twenty-six in each zone", size: 26, representatives: 9 },
    ];
    const ROUNDS: u64 = 36;
    for case in cases {
        let nodes = fleet(case.size);
        let tables = exchange_pulses(&nodes, ROUNDS);
        let now = time_of_last(ROUNDS);
        let total = nodes.len() as u64;
        let expected = tables[0].representatives(now);
        assert_eq!(expected.len(), case.representatives, "{}", case.name);
        for (table, node) in tables.iter().zip(&nodes) {
            let context = format!("{}: at {}", case.name, node.node);
            let mut names: Vec<_> = table.representatives(now);
            let mut expected = expected.clone();
            names.sort_by(|left, right| left.node.cmp(&right.node));
            expected.sort_by(|left, right| left.node.cmp(&right.node));
            let names: Vec<_> = names.into_iter().map(|node| node.node).collect();
            let expected: Vec<_> = expected.into_iter().map(|node| node.node).collect();
            assert_eq!(names, expected, "{context}");
            // The load excludes this node's own request.
            let load = table.loads(now)[&7];
            assert_eq!(u64::from(load.requests), total - 1, "{context}: requests");
            assert_eq!(load.work, (total - 1) * 100, "{context}: work");
            assert_eq!(table.peak_nodes() as u64, total, "{context}: nodes");
            let demand: u64 = table.demand(now).iter().map(|demand| demand.work_per_second).sum();
            let own = if table.is_representative(now) { 10 } else { 0 };
            assert_eq!(demand + own, total * 10, "{context}: demand");
        }
    }
}

/// Returns the names of the nodes that must follow the store, in node order.
fn store_followers(nodes: &[KnownNode], tables: &[PeerTable], now: Duration) -> Vec<String> {
    let pairs = nodes.iter().zip(tables).filter(|(_, table)| table.must_follow_store(now));
    pairs.map(|(node, _)| node.node.to_string()).collect()
}

#[test]
fn one_node_of_each_zone_follows_the_store_and_so_does_any_that_hears_from_none_of_them() {
    const ROUNDS: u64 = 36;
    let nodes = fleet(26);
    let tables = exchange_pulses(&nodes, ROUNDS);
    let now = time_of_last(ROUNDS);
    let following = store_followers(&nodes, &tables, now);
    let zones: Vec<&str> = following.iter().map(|name| &name[..1]).collect();
    assert_eq!(zones, ["a", "b", "c"], "{following:?}");
    // The zone's next representative takes over from one that the store refuses.
    let refused = nodes.iter().position(|node| *node.node == *following[0]).unwrap();
    let pulse = FleetPulse { follows_store: false, ..pulse(&nodes[refused], ROUNDS + 1) };
    send_pulse(&nodes, &tables, refused, &pulse, now);
    let next = store_followers(&nodes, &tables, now);
    assert_eq!(next.len(), 4, "{next:?}");
    assert!(following.iter().all(|name| next.contains(name)), "{next:?}");
    let later = now + Duration::from_secs(2);
    assert!(tables.iter().all(|table| table.must_follow_store(later)));
}

#[test]
fn usage_is_sent_to_its_possible_reporters_and_one_representative_summarises_each_zone() {
    const ROUNDS: u64 = 36;
    let nodes = fleet(26);
    let tables = exchange_pulses(&nodes, ROUNDS);
    let now = time_of_last(ROUNDS);
    let reporters = tables[0].usage_reporters(now);
    assert_eq!(reporters.len(), 4, "{reporters:?}");
    let (mut with_usage, mut with_summary) = (0, 0);
    for sequence in 100..104 {
        for (table, node) in tables.iter().zip(&nodes).filter(|(t, _)| t.is_representative(now)) {
            let usage = vec![WindowUsage::default()];
            let pulse = FleetPulse { usage, sequence, ..pulse(node, sequence) };
            for group in table.outbound(&pulse, None, now) {
                let has_usage = !group.pulse.usage.is_empty();
                for address in &group.addresses {
                    let to = nodes.iter().find(|node| node.peer_address == *address).unwrap();
                    assert_eq!(
                        has_usage,
                        reporters.contains(&to.node),
                        "{} to {}",
                        node.node,
                        to.node
                    );
                }
                with_usage += if has_usage { group.addresses.len() } else { 0 };
                let has_summary = group.pulse.spoken_for.is_some();
                with_summary += if has_summary { group.addresses.len() } else { 0 };
            }
        }
    }
    // Each of nine representatives sends usage to four reporters, or to three if it is one itself.
    assert_eq!(with_usage, 4 * (9 * 4 - 4));
    // In four pulses, the first of each zone sends its summary four times, the other two once each.
    assert_eq!(with_summary, 3 * (4 + 1 + 1) * 8);
}

#[test]
fn a_duty_holder_receives_all_usage_even_as_a_follower() {
    const ROUNDS: u64 = 36;
    let nodes = fleet(26);
    let tables = exchange_pulses(&nodes, ROUNDS);
    let now = time_of_last(ROUNDS);
    let holder = tables.iter().position(|table| !table.is_representative(now)).unwrap();
    let pulse_of_holder = FleetPulse { duty_fencing: 3, ..pulse(&nodes[holder], ROUNDS + 1) };
    send_pulse(&nodes, &tables, holder, &pulse_of_holder, now);
    for (table, node) in tables.iter().zip(&nodes).filter(|(t, _)| t.is_representative(now)) {
        let usage = vec![WindowUsage::default()];
        let pulse = FleetPulse { usage, ..pulse(node, ROUNDS + 2) };
        let groups = table.outbound(&pulse, None, now);
        let to_holder: Vec<_> = groups
            .iter()
            .filter(|group| group.addresses.contains(&nodes[holder].peer_address))
            .collect();
        assert_eq!(to_holder.len(), 1, "from {}", node.node);
        let sent = &to_holder[0].pulse;
        assert!(!sent.usage.is_empty() && sent.fleet.is_some(), "from {}", node.node);
    }
}

/// Guards against a node that nobody answers any more because it has started long ago: after a common
/// restart the seeds had no time for some nodes, which stayed alone for the rest of the day.
#[test]
fn a_node_that_was_not_answered_at_its_start_finds_the_others_later() {
    const ROUNDS: u64 = 48;
    // No seed is in its zone.
    let mut nodes = fleet(26);
    nodes.extend((1..10).map(|number| node("d", number, if number < 3 { 500 } else { 120 })));
    let late = nodes.iter().position(|node| *node.node == *"d3").unwrap();
    let is_lost = |round, to: &KnownNode| round < 12 && to.node == nodes[late].node;
    let tables = exchange_lossy_pulses(&nodes, ROUNDS, is_lost);
    let now = time_of_last(ROUNDS);
    assert!(tables[late].is_connected(now));
    assert!(!tables[late].must_follow_store(now));
    assert_eq!(tables[late].representatives(now), tables[0].representatives(now));
}

/// Guards against a follower that hears only a representative which never names the others to it, and
/// then takes itself for one: after a common restart such nodes followed the store and watched the
/// lease for the rest of the day.
#[test]
fn each_representative_names_the_others_to_its_followers() {
    const ROUNDS: u64 = 36;
    let nodes = fleet(26);
    let tables = exchange_pulses(&nodes, ROUNDS);
    let now = time_of_last(ROUNDS);
    for (table, node) in tables.iter().zip(&nodes).filter(|(t, _)| t.is_representative(now)) {
        let is_follower = |to: &SocketAddr| {
            let to = nodes.iter().find(|other| other.peer_address == *to).unwrap();
            to.zone == node.zone && !table.view(now).is_representative(&to.node)
        };
        let named = (ROUNDS + 1..=ROUNDS + 16).any(|number| {
            let is_due = table.is_gossip_due(number, now);
            let nodes = if is_due { table.gossip_entries(now) } else { Vec::new() };
            let pulse = FleetPulse { nodes, ..pulse(node, number) };
            let groups = table.outbound(&pulse, None, now);
            let with_names = groups.iter().filter(|group| !group.pulse.nodes.is_empty());
            with_names.flat_map(|group| &group.addresses).any(is_follower)
        });
        assert!(named, "{} of rank {:?}", node.node, table.rank_in_zone(now));
    }
}

#[test]
fn two_nodes_follow_the_store_in_a_single_zone() {
    const ROUNDS: u64 = 36;
    let nodes: Vec<_> = fleet(9).into_iter().filter(|node| &*node.zone == "a").collect();
    let tables = exchange_pulses(&nodes, ROUNDS);
    assert_eq!(store_followers(&nodes, &tables, time_of_last(ROUNDS)).len(), 2);
}

#[test]
fn gossip_does_not_revive_a_node_that_fell_silent() {
    let nodes = fleet(2);
    let table = PeerTable::new(nodes[0].clone());
    table.record_pulse(pulse(&nodes[1], 1), nodes[1].peer_address, START);
    assert_eq!(table.nodes(START).len(), 1);
    let later = START + Duration::from_secs(2);
    let gossip = FleetPulse { nodes: vec![nodes[1].entry()], ..pulse(&nodes[2], 1) };
    table.record_pulse(gossip, nodes[2].peer_address, later);
    let known: Vec<_> = table.nodes(later).into_iter().map(|node| node.node).collect();
    assert_eq!(known, [nodes[2].node.clone()]);
}

#[test]
fn stopping_nodes_are_not_representatives() {
    let nodes = fleet(4);
    let table = PeerTable::new(nodes[0].clone());
    for (index, node) in nodes.iter().enumerate().skip(1) {
        let leaving = index == 1;
        let message = FleetPulse { leaving, ready: !leaving, ..pulse(node, 1) };
        table.record_pulse(message, node.peer_address, START);
    }
    let names: Vec<_> = table.representatives(START).into_iter().map(|node| node.node).collect();
    assert!(!names.contains(&nodes[1].node), "{names:?}");
    assert_eq!(names.len(), 9);
}

#[test]
fn an_outdated_pulse_is_ignored() {
    let nodes = fleet(2);
    let table = PeerTable::new(nodes[0].clone());
    assert!(table.record_pulse(pulse(&nodes[1], 5), nodes[1].peer_address, START));
    assert!(!table.record_pulse(pulse(&nodes[1], 4), nodes[1].peer_address, START));
    let restarted = KnownNode { incarnation: 2, ..nodes[1].clone() };
    assert!(table.record_pulse(pulse(&restarted, 1), restarted.peer_address, START));
}

/// Builds five zones of 59 nodes, three large ones in each.
fn large_fleet() -> Vec<KnownNode> {
    let zones = ["a", "b", "c", "d", "e"].into_iter();
    let nodes = zones.flat_map(|zone| {
        (0..59).map(move |number| node(zone, number, if number < 3 { 500 } else { 120 }))
    });
    nodes.collect()
}

/// Returns a pulse of a node that works with 12 of 255 replicas and counted usage of 21 of 40
/// organisations in three windows.
fn busy_pulse(node: &KnownNode, index: usize, sequence: u64) -> FleetPulse {
    let replicas = (0..12).map(|number| (index * 7 + number * 21) as u32 % 255);
    let work = replicas.map(|replica| ReplicaWork { replica, requests: 2, work: 12_000 });
    let organisations = (0..21).map(|number| (index + 2 * number) as u64 % 40 + (1 << 60));
    let usage = (0..3).map(|window| WindowUsage {
        window,
        organisations: organisations.clone().collect(),
        requests: vec![3; 21],
        ended: window < 2,
        ..WindowUsage::default()
    });
    FleetPulse { work: work.collect(), usage: usage.collect(), ..pulse(node, sequence) }
}

#[test]
fn no_message_grows_with_the_fleet_beyond_a_datagram() {
    const ROUNDS: u64 = 16;
    const MAX_DATAGRAM_BYTES: usize = 48 * 1024;
    // Control may use 19 KB/s at any node; a follower also decodes all that it receives.
    const MAX_FOLLOWER_BYTES_PER_SECOND: usize = 19 * 1024;
    let nodes = large_fleet();
    let tables: Vec<_> = nodes.iter().map(|node| PeerTable::new(node.clone())).collect();
    for round in 0..ROUNDS {
        let now = START + Duration::from_millis(250) * round as u32;
        for (index, node) in nodes.iter().enumerate() {
            send_pulse(&nodes, &tables, index, &busy_pulse(node, index, round + 1), now);
        }
    }
    let now = time_of_last(ROUNDS);
    let mut received = vec![0; nodes.len()];
    for sequence in ROUNDS..ROUNDS + 4 {
        for (index, table) in tables.iter().enumerate() {
            let entries = match table.rank_in_zone(now) {
                Some(0) if sequence % 4 == 0 => table.gossip_entries(now),
                _ => Vec::new(),
            };
            let pulse = FleetPulse { nodes: entries, ..busy_pulse(&nodes[index], index, sequence) };
            for group in table.outbound(&pulse, None, now) {
                let bytes = prost::Message::encoded_len(&group.pulse);
                assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes from {}", nodes[index].node);
                for address in group.addresses {
                    let to = nodes.iter().position(|node| node.peer_address == address).unwrap();
                    received[to] += bytes;
                }
            }
        }
    }
    for (table, bytes) in tables.iter().zip(&received) {
        let is_follower = !table.is_representative(now);
        assert!(!is_follower || *bytes <= MAX_FOLLOWER_BYTES_PER_SECOND, "{bytes} bytes a second");
    }
}

#[test]
fn a_dead_node_is_named_nowhere_four_seconds_later() {
    const ROUNDS: u64 = 24;
    const ROUNDS_AFTER: u64 = 16;
    let nodes = fleet(12);
    for dead in [0, 3] {
        let tables = exchange_pulses(&nodes, ROUNDS);
        for round in ROUNDS..ROUNDS + ROUNDS_AFTER {
            let now = START + Duration::from_millis(250) * round as u32;
            for (index, node) in nodes.iter().enumerate().filter(|(index, _)| *index != dead) {
                send_pulse(&nodes, &tables, index, &pulse(node, round + 1), now);
            }
        }
        let now = time_of_last(ROUNDS + ROUNDS_AFTER);
        for (table, node) in tables.iter().zip(&nodes).filter(|(_, node)| **node != nodes[dead]) {
            let named = table.nodes(now);
            assert!(named.iter().all(|known| known.node != nodes[dead].node), "at {}", node.node);
        }
    }
}

#[test]
fn a_store_that_is_down_for_all_is_not_tried_by_every_follower() {
    const ROUNDS: u64 = 24;
    let nodes = fleet(26);
    let tables = exchange_pulses(&nodes, ROUNDS);
    // Nobody follows the store any more.
    let mut tried = 0;
    for round in ROUNDS..ROUNDS + 24 {
        let now = START + Duration::from_millis(250) * round as u32;
        for (index, node) in nodes.iter().enumerate() {
            let pulse = FleetPulse { follows_store: false, ..pulse(node, round + 1) };
            send_pulse(&nodes, &tables, index, &pulse, now);
        }
        tried = tried.max(store_followers(&nodes, &tables, now).len());
    }
    // All representatives, and two followers in each of three zones.
    assert_eq!(tried, 9 + 3 * 2);
}
