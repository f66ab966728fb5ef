//! Slots on upstreams, one for each attempt.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use berylstep_core::upstream::UpstreamEntry;

use crate::node::NodeContext;

/// What an attempt needs a slot for.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Pool of upstreams.
    pub pool: SharedName,
    /// Class of work.
    pub class: SharedName,
    /// Tier of the class: 1 is the highest.
    pub tier: u8,
    /// Organisation that asks; empty on open routes.
    pub organisation: SharedName,
    /// Time on the node's clock at which the request is given up.
    pub deadline: Duration,
    /// Most output tokens, as the request states them.
    pub max_tokens: Option<u32>,
    /// Hash of the part of the prompt that others may share; 0 where there is none.
    pub prefix_hash: u64,
    /// Whether the work may be sent again, and so be preempted.
    pub idempotent: bool,
    /// Upstreams that were tried and failed.
    pub excluded: Vec<SharedName>,
}

/// Slots in use by this node.
#[derive(Debug, Default)]
pub struct SlotBroker {
    outstanding: Mutex<HashMap<SharedName, u32>>,
}

/// A slot on one upstream, returned when dropped.
pub struct SlotGuard {
    node: Arc<NodeContext>,
    /// Upstream that serves the attempt.
    pub upstream: UpstreamEntry,
}

impl SlotBroker {
    fn outstanding(&self, upstream: &str) -> u32 {
        let outstanding = self.outstanding.lock().expect("slot lock");
        outstanding.get(upstream).copied().unwrap_or_default()
    }

    fn take(&self, upstream: &SharedName) {
        let mut outstanding = self.outstanding.lock().expect("slot lock");
        *outstanding.entry(upstream.clone()).or_default() += 1;
    }

    fn put_back(&self, upstream: &str) {
        let mut outstanding = self.outstanding.lock().expect("slot lock");
        if let Some(count) = outstanding.get_mut(upstream) {
            *count = count.saturating_sub(1);
        }
    }
}

impl SlotGuard {
    /// Notes that the first byte of the answer has gone to the caller; no preemption after that.
    pub fn note_started(&mut self) {}

    /// Resolves when the slot is taken back for work of a higher tier.
    pub async fn recalled(&self) {
        std::future::pending().await
    }

    /// Returns the slot with what the attempt used.
    pub fn finish(self, _outcome: SlotOutcome) {}
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotOutcome {
    /// Output tokens generated.
    pub tokens: u32,
    /// Whether the upstream failed.
    pub failed: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.node.slots.put_back(&self.upstream.id);
    }
}

/// Takes a slot on the upstream with the least outstanding work.
pub async fn acquire(
    node: &Arc<NodeContext>,
    request: &SlotRequest,
) -> Result<SlotGuard, RequestRefusal> {
    let chosen = least_outstanding(node, request);
    let Some(upstream) = chosen else {
        let message = format!("no upstream of pool {} is available", request.pool);
        let refusal = RequestRefusal::not_run(RefusalReason::NoUpstream, message);
        return Err(refusal.retry_after(std::time::Duration::from_secs(1)));
    };
    node.slots.take(&upstream.id);
    Ok(SlotGuard { node: node.clone(), upstream })
}

fn least_outstanding(node: &NodeContext, request: &SlotRequest) -> Option<UpstreamEntry> {
    let upstreams = node.upstreams();
    let candidates = upstreams.serving(&request.pool);
    let candidates = candidates.filter(|entry| !request.excluded.contains(&entry.id));
    let outstanding = |entry: &UpstreamEntry| {
        let reported = entry.load.map_or(0, |(_, load)| load.running + load.waiting);
        node.slots.outstanding(&entry.id).max(reported)
    };
    candidates.min_by_key(|entry| outstanding(entry)).cloned()
}
