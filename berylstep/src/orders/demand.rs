//! Requests in progress by pool, at this node and at its peers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::placement::PoolDemand;
use berylstep_wire::PoolRequests;

use crate::node::NodeContext;

/// Tier that the dependable kind carries alone.
const TOP_TIER: u8 = 1;

/// Age after which a peer's numbers no longer count.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Requests in progress, by pool.
#[derive(Debug, Default)]
pub struct DemandTracker {
    own: Mutex<HashMap<SharedName, PoolCount>>,
    peers: Mutex<HashMap<SharedName, (Duration, Vec<PoolRequests>)>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PoolCount {
    requests: u32,
    top_tier: u32,
}

/// Counts one request in progress until dropped.
pub struct DemandGuard {
    node: Arc<NodeContext>,
    pool: SharedName,
    is_top_tier: bool,
}

impl DemandGuard {
    /// Counts a request for a pool.
    pub fn new(node: &Arc<NodeContext>, pool: &SharedName, tier: u8) -> Self {
        let is_top_tier = tier == TOP_TIER;
        let mut own = node.demand.own.lock().expect("demand lock");
        let count = own.entry(pool.clone()).or_default();
        count.requests += 1;
        count.top_tier += u32::from(is_top_tier);
        Self { node: node.clone(), pool: pool.clone(), is_top_tier }
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        let mut own = self.node.demand.own.lock().expect("demand lock");
        let Some(count) = own.get_mut(&self.pool) else { return };
        count.requests -= 1;
        count.top_tier -= u32::from(self.is_top_tier);
        if count.requests == 0 {
            own.remove(&self.pool);
        }
    }
}

impl DemandTracker {
    /// Requests at this node, as a pulse carries them.
    pub fn pool_requests(&self) -> Vec<PoolRequests> {
        let own = self.own.lock().expect("demand lock");
        let messages = own.iter().map(|(pool, count)| PoolRequests {
            pool: pool.to_string(),
            requests: count.requests,
            top_tier: count.top_tier,
        });
        messages.collect()
    }

    /// Takes in a peer's numbers.
    pub fn observe(&self, now: Duration, peer: &str, requests: &[PoolRequests]) {
        let mut peers = self.peers.lock().expect("demand lock");
        peers.insert(peer.into(), (now, requests.to_vec()));
    }

    /// Requests for a pool at this node and at all peers heard lately.
    pub fn total(&self, now: Duration, pool: &str) -> PoolDemand {
        let own = self.pool_requests();
        let mut peers = self.peers.lock().expect("demand lock");
        peers.retain(|_, (heard, _)| now.saturating_sub(*heard) <= MAX_AGE);
        let all = own.iter().chain(peers.values().flat_map(|(_, requests)| requests));
        let mut total = PoolDemand::default();
        for requests in all.filter(|requests| requests.pool == pool) {
            total.requests += f64::from(requests.requests);
            total.top_tier += f64::from(requests.top_tier);
        }
        total
    }
}
