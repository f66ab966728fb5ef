//! What a gateway knows of its fleet, for operators.

use std::net::SocketAddr;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::replica::ReplicaRow;
use serde::{Deserialize, Serialize};

use crate::gateway::endpoints::EndpointDesk;
use crate::gateway::peers::KnownNode;

/// What a gateway knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Name of the node.
    pub node: SharedName,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Requests in progress.
    pub open_requests: u32,
    /// Version of the desired state in force; 0 before the first.
    pub desired_version: u64,
    /// Newest version of the list of replicas.
    pub replica_revision: u64,
    /// Whether it follows the store itself.
    pub follows_store: bool,
    /// Milliseconds since the store last answered it; absent where it never did.
    pub store_age_ms: Option<u64>,
    /// Fencing token of the duties' lease; 0 where another node holds it.
    pub duty_fencing: u64,
    /// Other nodes.
    pub nodes: Vec<NodeStatus>,
    /// Replicas by identifier.
    pub replicas: Vec<ReplicaStatus>,
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name.
    pub node: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Whether callers are sent to it.
    pub ready: bool,
}

/// A replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identifier.
    pub id: SharedName,
    /// Service.
    pub service: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Address.
    pub address: SocketAddr,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether the platform may reclaim it.
    pub spot: bool,
    /// Whether it is used before others that failed a moment ago.
    pub sound: bool,
    /// Requests of all nodes.
    pub requests: u32,
    /// Their work in prompt tokens.
    pub work: u64,
}

impl From<KnownNode> for NodeStatus {
    fn from(node: KnownNode) -> Self {
        Self { node: node.node, zone: node.zone, address: node.caller_address, ready: node.ready }
    }
}

impl EndpointDesk {
    /// What this node knows.
    pub fn status(&self) -> FleetStatus {
        let now = self.clock.now();
        let replica = |row: &ReplicaRow| ReplicaStatus {
            id: row.entry.id.clone(),
            service: row.entry.service.clone(),
            zone: row.entry.zone.clone(),
            address: row.entry.address,
            ready: row.is_ready(),
            spot: row.entry.spot,
            sound: row.is_healthy(now),
            requests: row.requests(),
            work: row.work(),
        };
        let mut replicas: Vec<_> = self.mirror.replicas.borrow().rows().map(replica).collect();
        replicas.sort_by(|left, right| left.id.cmp(&right.id));
        let mut nodes: Vec<NodeStatus> =
            self.peers.nodes(now).into_iter().map(NodeStatus::from).collect();
        nodes.sort_by(|left, right| left.node.cmp(&right.node));
        FleetStatus {
            node: self.settings.node.clone(),
            ready: self.is_ready(),
            stopping: self.stop.is_stopping(),
            open_requests: self.stop.open_requests(),
            desired_version: self.mirror.desired_version(),
            replica_revision: self.mirror.replica_revision(),
            follows_store: self.mirror.is_following_store(),
            store_age_ms: self.mirror.store_age().map(|age| age.as_millis() as u64),
            duty_fencing: self.metrics.duty_fencing.get().max(0) as u64,
            nodes,
            replicas,
        }
    }
}
