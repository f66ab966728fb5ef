//! What a gateway knows of others: representatives are the same at all nodes, sums count each node
//! once, and nodes that fell silent are not brought back by hearsay.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep::gateway::peers::{KnownNode, PeerTable};
use berylstep_wire::{ClassDemand, FleetPulse, ReplicaWork, WindowUsage};

const START: Duration = Duration::from_secs(10);

fn node(zone: &str, number: u8, core_permille: u32) -> KnownNode {
    let address = |port| SocketAddr::from(([127, 0, zone.as_bytes()[0], number], port));
    KnownNode {
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
        ..FleetPulse::default()
    }
}

/// Three zones of `size` nodes; the first two of each have most processor time.
fn fleet(size: u8) -> Vec<KnownNode> {
    let zones = ["a", "b", "c"].into_iter();
    let nodes = zones.flat_map(|zone| {
        (0..size).map(move |number| node(zone, number, if number < 2 { 500 } else { 120 }))
    });
    nodes.collect()
}

/// Tables of all nodes after `rounds` of pulses, as the pulse desk sends them.
fn play(nodes: &[KnownNode], rounds: u64) -> Vec<PeerTable> {
    let tables: Vec<_> = nodes.iter().map(|node| PeerTable::new(node.clone())).collect();
    for round in 0..rounds {
        let now = START + Duration::from_millis(250) * round as u32;
        for (index, node) in nodes.iter().enumerate() {
            send(nodes, &tables, index, &pulse(node, round + 1), now);
        }
    }
    tables
}

fn send(nodes: &[KnownNode], tables: &[PeerTable], from: usize, pulse: &FleetPulse, now: Duration) {
    let (table, own) = (&tables[from], &nodes[from]);
    table.tidy(now);
    table.note_own_work(pulse.work.clone());
    let entries = table.heard_nodes(now).iter().map(KnownNode::entry).collect();
    let pulse = FleetPulse { nodes: entries, ..pulse.clone() };
    let deliver = |to: SocketAddr, message: FleetPulse| {
        let place = nodes.iter().position(|node| node.peer_address == to).unwrap();
        tables[place].observe(message, own.peer_address, now);
    };
    let mut told = Vec::new();
    for group in table.outbound(&pulse, now) {
        for address in group.addresses {
            told.push(address);
            deliver(address, group.pulse.clone());
        }
    }
    // The seeds are the first node of each zone.
    for seed in nodes.iter().filter(|node| node.node.ends_with('0') && node.node != own.node) {
        if !told.contains(&seed.peer_address) {
            told.push(seed.peer_address);
            deliver(seed.peer_address, pulse.clone());
        }
    }
    for newcomer in table.newcomers(now).into_iter().filter(|address| !told.contains(address)) {
        deliver(newcomer, pulse.clone());
    }
}

fn last(rounds: u64) -> Duration {
    START + Duration::from_millis(250) * (rounds as u32 - 1)
}

struct FleetCase {
    name: &'static str,
    size: u8,
    /// Representatives of all zones.
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
        let tables = play(&nodes, ROUNDS);
        let now = last(ROUNDS);
        let total = nodes.len() as u64;
        let expected = tables[0].representatives(now);
        assert_eq!(expected.len(), case.representatives, "{}", case.name);
        for (table, node) in tables.iter().zip(&nodes) {
            let place = format!("{}: at {}", case.name, node.node);
            let mut names: Vec<_> = table.representatives(now);
            let mut wanted = expected.clone();
            names.sort_by(|left, right| left.node.cmp(&right.node));
            wanted.sort_by(|left, right| left.node.cmp(&right.node));
            let names: Vec<_> = names.into_iter().map(|node| node.node).collect();
            let wanted: Vec<_> = wanted.into_iter().map(|node| node.node).collect();
            assert_eq!(names, wanted, "{place}");
            // All but this node's own request.
            let load = table.loads(now)[&7];
            assert_eq!(u64::from(load.requests), total - 1, "{place}: requests");
            assert_eq!(load.work, (total - 1) * 100, "{place}: work");
            assert_eq!(table.peak_nodes() as u64, total, "{place}: nodes");
            let demand: u64 = table.demand(now).iter().map(|told| told.work_per_second).sum();
            let own = if table.is_representative(now) { 10 } else { 0 };
            assert_eq!(demand + own, total * 10, "{place}: demand");
        }
    }
}

/// Nodes that have to follow the store, in order.
fn followers(nodes: &[KnownNode], tables: &[PeerTable], now: Duration) -> Vec<String> {
    let pairs = nodes.iter().zip(tables).filter(|(_, table)| table.must_follow_store(now));
    pairs.map(|(node, _)| node.node.to_string()).collect()
}

#[test]
fn one_node_of_each_zone_follows_the_store_and_any_does_that_hears_none_of_them() {
    const ROUNDS: u64 = 36;
    let nodes = fleet(26);
    let tables = play(&nodes, ROUNDS);
    let now = last(ROUNDS);
    let following = followers(&nodes, &tables, now);
    let zones: Vec<&str> = following.iter().map(|name| &name[..1]).collect();
    assert_eq!(zones, ["a", "b", "c"], "{following:?}");
    // The zone's next representative takes over from one that the store turns away.
    let turned_away = nodes.iter().position(|node| *node.node == *following[0]).unwrap();
    let pulse = FleetPulse { follows_store: false, ..pulse(&nodes[turned_away], ROUNDS + 1) };
    send(&nodes, &tables, turned_away, &pulse, now);
    let next = followers(&nodes, &tables, now);
    assert_eq!(next.len(), 4, "{next:?}");
    assert!(following.iter().all(|name| next.contains(name)), "{next:?}");
    let later = now + Duration::from_secs(2);
    assert!(tables.iter().all(|table| table.must_follow_store(later)));
}

#[test]
fn usage_goes_to_the_nodes_that_may_report_it_and_one_node_speaks_for_a_zone() {
    const ROUNDS: u64 = 36;
    let nodes = fleet(26);
    let tables = play(&nodes, ROUNDS);
    let now = last(ROUNDS);
    let heirs = tables[0].duty_heirs(now);
    assert_eq!(heirs.len(), 4, "{heirs:?}");
    let (mut with_usage, mut speeches) = (0, 0);
    for sequence in 100..104 {
        for (table, node) in tables.iter().zip(&nodes).filter(|(t, _)| t.is_representative(now)) {
            let usage = vec![WindowUsage::default()];
            let pulse = FleetPulse { usage, sequence, ..pulse(node, sequence) };
            for group in table.outbound(&pulse, now) {
                let tells = !group.pulse.usage.is_empty();
                for address in &group.addresses {
                    let to = nodes.iter().find(|node| node.peer_address == *address).unwrap();
                    assert_eq!(tells, heirs.contains(&to.node), "{} to {}", node.node, to.node);
                }
                with_usage += if tells { group.addresses.len() } else { 0 };
                let speaks = group.pulse.spoken_for.is_some();
                speeches += if speaks { group.addresses.len() } else { 0 };
            }
        }
    }
    // Each of nine representatives tells four heirs, or three where it is one of them.
    assert_eq!(with_usage, 4 * (9 * 4 - 4));
    // In four pulses, the first of each zone speaks four times and the others once.
    assert_eq!(speeches, 3 * (4 + 1 + 1) * 8);
}

#[test]
fn a_holder_of_the_duties_hears_all_usage_also_as_a_follower() {
    const ROUNDS: u64 = 36;
    let nodes = fleet(26);
    let tables = play(&nodes, ROUNDS);
    let now = last(ROUNDS);
    let holder = tables.iter().position(|table| !table.is_representative(now)).unwrap();
    let pulse_of_holder = FleetPulse { duty_fencing: 3, ..pulse(&nodes[holder], ROUNDS + 1) };
    send(&nodes, &tables, holder, &pulse_of_holder, now);
    for (table, node) in tables.iter().zip(&nodes).filter(|(t, _)| t.is_representative(now)) {
        let usage = vec![WindowUsage::default()];
        let pulse = FleetPulse { usage, ..pulse(node, ROUNDS + 2) };
        let groups = table.outbound(&pulse, now);
        let to_holder: Vec<_> = groups
            .iter()
            .filter(|group| group.addresses.contains(&nodes[holder].peer_address))
            .collect();
        assert_eq!(to_holder.len(), 1, "from {}", node.node);
        let told = &to_holder[0].pulse;
        assert!(!told.usage.is_empty() && !told.zones.is_empty(), "from {}", node.node);
    }
}

#[test]
fn two_nodes_follow_the_store_where_there_is_one_zone() {
    const ROUNDS: u64 = 36;
    let nodes: Vec<_> = fleet(9).into_iter().filter(|node| &*node.zone == "a").collect();
    let tables = play(&nodes, ROUNDS);
    assert_eq!(followers(&nodes, &tables, last(ROUNDS)).len(), 2);
}

#[test]
fn a_node_that_fell_silent_is_not_brought_back_by_hearsay() {
    let nodes = fleet(2);
    let table = PeerTable::new(nodes[0].clone());
    table.observe(pulse(&nodes[1], 1), nodes[1].peer_address, START);
    assert_eq!(table.nodes(START).len(), 1);
    let later = START + Duration::from_secs(2);
    let told = FleetPulse { nodes: vec![nodes[1].entry()], ..pulse(&nodes[2], 1) };
    table.observe(told, nodes[2].peer_address, later);
    let known: Vec<_> = table.nodes(later).into_iter().map(|node| node.node).collect();
    assert_eq!(known, [nodes[2].node.clone()]);
}

#[test]
fn nodes_that_are_about_to_stop_speak_for_nobody() {
    let nodes = fleet(4);
    let table = PeerTable::new(nodes[0].clone());
    for (index, node) in nodes.iter().enumerate().skip(1) {
        let leaving = index == 1;
        let message = FleetPulse { leaving, ready: !leaving, ..pulse(node, 1) };
        table.observe(message, node.peer_address, START);
    }
    let names: Vec<_> = table.representatives(START).into_iter().map(|node| node.node).collect();
    assert!(!names.contains(&nodes[1].node), "{names:?}");
    assert_eq!(names.len(), 9);
}

#[test]
fn an_old_pulse_changes_nothing() {
    let nodes = fleet(2);
    let table = PeerTable::new(nodes[0].clone());
    assert!(table.observe(pulse(&nodes[1], 5), nodes[1].peer_address, START));
    assert!(!table.observe(pulse(&nodes[1], 4), nodes[1].peer_address, START));
    let restarted = KnownNode { incarnation: 2, ..nodes[1].clone() };
    assert!(table.observe(pulse(&restarted, 1), restarted.peer_address, START));
}
