//! Fleet status of a gateway, for operators.

use std::net::SocketAddr;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::replica::ReplicaRow;
use serde::{Deserialize, Serialize};

use crate::gateway::endpoints::EndpointServer;
use crate::gateway::peers::KnownNode;

/// State of the fleet as one gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Name of this node.
    pub node: SharedName,
    /// Whether this node is ready for requests.
    pub ready: bool,
    /// Whether this node is stopping.
    pub stopping: bool,
    /// Number of requests in progress.
    pub open_requests: u32,
    /// Version of the desired state in force, or 0 before the first.
    pub desired_version: u64,
    /// Newest version of the desired state that this node holds or a live peer announces.
    #[serde(default)]
    pub announced_version: u64,
    /// Milliseconds for which a newer desired state has been announced than this node holds, or `None` if
    /// none is.
    #[serde(default)]
    pub desired_lag_ms: Option<u64>,
    /// Newest revision of the replica table.
    pub replica_revision: u64,
    /// Whether this node reads the store itself rather than relying on its peers.
    pub follows_store: bool,
    /// Milliseconds since the store last responded, or `None` if it never did.
    pub store_age_ms: Option<u64>,
    /// Fencing token of the duty lease, or 0 if another node holds the lease.
    pub duty_fencing: u64,
    /// Other nodes, by name.
    pub nodes: Vec<NodeStatus>,
    /// Replicas, by identifier.
    pub replicas: Vec<ReplicaStatus>,
}

/// State of another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Address on which it accepts callers.
    pub address: SocketAddr,
    /// Whether the directory sends callers to it.
    pub ready: bool,
}

/// State of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identifier.
    pub id: SharedName,
    /// Service that it serves.
    pub service: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it runs on spot capacity, which the platform may reclaim.
    pub spot: bool,
    /// Whether it is neither avoided after a failure, full nor lapsed. Placement prefers such
    /// replicas.
    pub sound: bool,
    /// Number of open requests from all nodes.
    pub requests: u32,
    /// Work of these requests, in prompt tokens.
    pub work: u64,
}

impl From<KnownNode> for NodeStatus {
    fn from(node: KnownNode) -> Self {
        Self { node: node.node, zone: node.zone, address: node.caller_address, ready: node.ready }
    }
}

impl EndpointServer {
    /// Returns the fleet status as this node sees it.
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
        let lag = self.freshness.lag();
        let desired_version = self.mirror.desired_version();
        FleetStatus {
            node: self.settings.node.clone(),
            ready: self.is_ready(),
            stopping: self.stop.is_stopping(),
            open_requests: self.stop.open_requests(),
            desired_version,
            announced_version: lag.map_or(desired_version, |lag| lag.version),
            desired_lag_ms: lag.map(|lag| lag.age.as_millis() as u64),
            replica_revision: self.mirror.replica_revision(),
            follows_store: self.mirror.is_following_store(),
            store_age_ms: self.mirror.store_age().map(|age| age.as_millis() as u64),
            duty_fencing: self.metrics.duty_fencing.get().max(0) as u64,
            nodes,
            replicas,
        }
    }
}
