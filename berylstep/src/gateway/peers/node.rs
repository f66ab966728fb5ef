//! Gateways as others know them.

use std::cmp::Reverse;
use std::net::SocketAddr;

use berylstep_core::collections::SharedName;
use berylstep_core::rendezvous;
use berylstep_wire::{FleetPulse, NodeEntry};

/// Representatives of one availability zone: one is left when two fail at once.
const REPRESENTATIVES: usize = 3;

/// Fewest nodes that follow the store, where there are as many.
const LEAST_FOLLOWERS: usize = 2;

/// A living node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownNode {
    /// Name.
    pub node: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Address for pulses and queries.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Number of its start.
    pub incarnation: u64,
    /// Share of a core that it has, in thousandths.
    pub core_permille: u32,
}

impl KnownNode {
    /// Message about the node.
    pub fn entry(&self) -> NodeEntry {
        NodeEntry {
            node: self.node.to_string(),
            zone: self.zone.to_string(),
            peer_address: self.peer_address.to_string(),
            caller_address: self.caller_address.to_string(),
            ready: self.ready,
            leaving: self.leaving,
            incarnation: self.incarnation,
            core_permille: self.core_permille,
        }
    }

    /// Reads the message about a node; `None` where an address is malformed.
    pub fn from_entry(entry: &NodeEntry) -> Option<Self> {
        Some(Self {
            node: (&*entry.node).into(),
            zone: (&*entry.zone).into(),
            peer_address: entry.peer_address.parse().ok()?,
            caller_address: entry.caller_address.parse().ok()?,
            ready: entry.ready,
            leaving: entry.leaving,
            incarnation: entry.incarnation,
            core_permille: entry.core_permille,
        })
    }

    /// A node as it tells of itself from `address`.
    pub fn from_pulse(pulse: &FleetPulse, address: SocketAddr) -> Option<Self> {
        Some(Self {
            node: (&*pulse.node).into(),
            zone: (&*pulse.zone).into(),
            peer_address: address,
            caller_address: pulse.caller_address.parse().ok()?,
            ready: pulse.ready && !pulse.leaving,
            leaving: pulse.leaving,
            incarnation: pulse.incarnation,
            core_permille: pulse.core_permille,
        })
    }
}

/// First nodes of each zone that stay: those with most processor time, then by an order that is the
/// same at all nodes.
pub fn representatives(mut nodes: Vec<KnownNode>) -> Vec<KnownNode> {
    nodes.retain(|node| !node.leaving);
    nodes.sort_by_cached_key(|node| {
        let order = rendezvous::score(&node.zone, &node.node);
        (node.zone.clone(), Reverse(node.core_permille), order)
    });
    let mut chosen: Vec<KnownNode> = Vec::new();
    for node in nodes {
        if chosen.iter().filter(|other| other.zone == node.zone).count() < REPRESENTATIVES {
            chosen.push(node);
        }
    }
    chosen
}

/// Representatives in the order in which they follow the store: the first of each zone, then the
/// second of each.
pub fn followers_order(representatives: &[KnownNode]) -> Vec<KnownNode> {
    let place = |node: &KnownNode| {
        let zone = representatives.iter().filter(|other| other.zone == node.zone);
        zone.take_while(|other| other.node != node.node).count()
    };
    let mut order = representatives.to_vec();
    order.sort_by_cached_key(|node| (place(node), node.zone.clone()));
    order
}

/// Representatives that follow the store: one in each zone, and one more where there is one zone,
/// so that a node whose connection to the store has gone silent delays no other.
pub fn wanted_followers(representatives: &[KnownNode]) -> usize {
    let mut zones: Vec<_> = representatives.iter().map(|node| &node.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.len().max(LEAST_FOLLOWERS)
}
