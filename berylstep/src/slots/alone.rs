//! Slot policy `alone`, the baseline: each node balances by least outstanding requests without an
//! owner.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use berylstep_core::upstream::UpstreamEntry;

use super::{SlotGuard, SlotOrigin, SlotRequest};
use crate::node::NodeContext;

/// Retry delay if a pool has no upstream.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// Acquires a slot without waiting.
///
/// Fails if no upstream of the pool is available.
pub fn acquire(
    node: &Arc<NodeContext>,
    request: &SlotRequest,
) -> Result<SlotGuard, RequestRefusal> {
    let Some(upstream) = least_outstanding(node, request) else {
        let message = format!("no upstream of pool {} is available", request.pool);
        let refusal = RequestRefusal::not_run(RefusalReason::NoUpstream, message);
        return Err(refusal.retry_after(NO_UPSTREAM_RETRY));
    };
    occupy(node, &upstream.id);
    Ok(SlotGuard { node: node.clone(), upstream, origin: SlotOrigin::Alone, outcome: None })
}

/// Counts a slot of the upstream as free.
pub fn release(node: &NodeContext, upstream: &str) {
    let mut outstanding = node.slots.outstanding.lock().expect("slot lock");
    if let Some(count) = outstanding.get_mut(upstream) {
        *count = count.saturating_sub(1);
    }
}

fn occupy(node: &NodeContext, upstream: &SharedName) {
    let mut outstanding = node.slots.outstanding.lock().expect("slot lock");
    *outstanding.entry(upstream.clone()).or_default() += 1;
}

fn least_outstanding(node: &NodeContext, request: &SlotRequest) -> Option<UpstreamEntry> {
    let upstreams = node.upstreams();
    let counts = node.slots.outstanding.lock().expect("slot lock");
    let candidates = upstreams.serving(&request.pool);
    let candidates = candidates.filter(|entry| !request.excluded.contains(&entry.id));
    let outstanding = |entry: &UpstreamEntry| {
        let reported = entry.load.map_or(0, |(_, load)| load.running + load.waiting);
        counts.get(&entry.id).copied().unwrap_or_default().max(reported)
    };
    candidates.min_by_key(|entry| outstanding(entry)).cloned()
}
