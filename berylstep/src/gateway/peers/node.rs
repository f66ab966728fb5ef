//! What a gateway knows about another node, and the election of zone representatives.

use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};

use berylstep_core::collections::SharedName;
use berylstep_core::rendezvous;
use berylstep_wire::{FleetPulse, NodeEntry};

/// Representatives per availability zone; one remains when two fail at once.
const REPRESENTATIVES_PER_ZONE: usize = 3;

/// Minimum number of nodes that follow the store, if the fleet has that many.
const MIN_STORE_FOLLOWERS: usize = 2;

/// Identity, addresses and state of a live node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownNode {
    /// Node name, unique in the fleet.
    pub node: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Address that receives pulses (UDP) and state queries (TCP).
    pub peer_address: SocketAddr,
    /// Address that accepts requests from callers.
    pub caller_address: SocketAddr,
    /// Whether the directory may return the node to callers.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// CPU share in thousandths of a core.
    pub core_permille: u32,
    /// Hashes of the services that the node is cut off from.
    pub unreachable: Vec<u32>,
    /// Whether the node asks for slots of brittle replicas, and hands them out.
    pub keeps_slots: bool,
}

impl KnownNode {
    /// Encodes the node as a gossip entry.
    pub fn entry(&self) -> NodeEntry {
        NodeEntry {
            node: self.node.to_string(),
            zone: self.zone.to_string(),
            peer_ip: ip_bytes(self.peer_address.ip()),
            peer_port: self.peer_address.port().into(),
            caller_ip: match self.caller_address.ip() == self.peer_address.ip() {
                true => Vec::new(),
                false => ip_bytes(self.caller_address.ip()),
            },
            caller_port: self.caller_address.port().into(),
            ready: self.ready,
            leaving: self.leaving,
            incarnation: self.incarnation,
            core_permille: self.core_permille,
            unreachable_services: self.unreachable.clone(),
            keeps_slots: self.keeps_slots,
        }
    }

    /// Decodes a gossip entry; `None` if an address is malformed.
    pub fn from_entry(entry: &NodeEntry) -> Option<Self> {
        let peer_ip = parse_ip(&entry.peer_ip)?;
        let caller_ip = match entry.caller_ip.is_empty() {
            true => peer_ip,
            false => parse_ip(&entry.caller_ip)?,
        };
        Some(Self {
            node: (&*entry.node).into(),
            zone: (&*entry.zone).into(),
            peer_address: SocketAddr::new(peer_ip, entry.peer_port.try_into().ok()?),
            caller_address: SocketAddr::new(caller_ip, entry.caller_port.try_into().ok()?),
            ready: entry.ready,
            leaving: entry.leaving,
            incarnation: entry.incarnation,
            core_permille: entry.core_permille,
            unreachable: entry.unreachable_services.clone(),
            keeps_slots: entry.keeps_slots,
        })
    }

    /// Builds the node from its own pulse, received from `address`; `None` if the caller address is
    /// malformed.
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
            unreachable: pulse.unreachable_services.clone(),
            keeps_slots: pulse.keeps_slots,
        })
    }
}

fn ip_bytes(ip: IpAddr) -> Vec<u8> {
    match ip {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

fn parse_ip(bytes: &[u8]) -> Option<IpAddr> {
    let v4 = <[u8; 4]>::try_from(bytes).map(IpAddr::from);
    v4.or_else(|_| <[u8; 16]>::try_from(bytes).map(IpAddr::from)).ok()
}

/// Returns the representatives of every zone, skipping nodes that are leaving. Nodes with the
/// largest CPU share come first; ties are broken by a rendezvous hash, so all nodes agree on the
/// result.
pub fn representatives(mut nodes: Vec<KnownNode>) -> Vec<KnownNode> {
    nodes.retain(|node| !node.leaving);
    nodes.sort_by_cached_key(|node| {
        let order = rendezvous::score(&node.zone, &node.node);
        (node.zone.clone(), Reverse(node.core_permille), order)
    });
    let mut elected: Vec<KnownNode> = Vec::new();
    for node in nodes {
        if elected.iter().filter(|other| other.zone == node.zone).count() < REPRESENTATIVES_PER_ZONE
        {
            elected.push(node);
        }
    }
    elected
}

/// Orders representatives by precedence for following the store: the first of each zone, then the
/// second of each.
pub fn store_follower_order(representatives: &[KnownNode]) -> Vec<KnownNode> {
    let rank = |node: &KnownNode| {
        let zone = representatives.iter().filter(|other| other.zone == node.zone);
        zone.take_while(|other| other.node != node.node).count()
    };
    let mut order = representatives.to_vec();
    order.sort_by_cached_key(|node| (rank(node), node.zone.clone()));
    order
}

/// Returns the number of representatives that must follow the store: one per zone, but at least
/// two, so that one silent connection to the store does not delay the other nodes.
pub fn required_store_followers(representatives: &[KnownNode]) -> usize {
    let mut zones: Vec<_> = representatives.iter().map(|node| &node.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.len().max(MIN_STORE_FOLLOWERS)
}
