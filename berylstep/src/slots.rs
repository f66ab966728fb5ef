//! Slots: the right to run one attempt on an upstream.
//!
//! One node owns each pool and schedules its slots. A node sends the owner an ask, its request for
//! a slot, and the owner answers with a grant or a refusal.

mod alone;
mod broker;
mod ledger;
mod owner;
mod ownership;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::placement::UpstreamKind;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use berylstep_core::upstream::UpstreamEntry;
use smol::channel::Receiver;

pub use broker::{
    observe_load, owned_pools, pool_loads, receive, record_activity, refresh_upstreams, run,
    SlotBroker,
};

use crate::config::SlotPolicy;
use crate::node::NodeContext;

/// Requirements of an attempt that needs a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Name of the pool of upstreams.
    pub pool: SharedName,
    /// Name of the class, which sets tier and latency target.
    pub class: SharedName,
    /// Priority tier of the class. 1 is the highest.
    pub tier: u8,
    /// Organisation of the caller. Empty on open routes.
    pub organisation: SharedName,
    /// Time after which the request is refused, on the node's clock.
    pub deadline: Duration,
    /// Upper bound on output tokens, if the request states one.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt prefix that other requests may share, 0 if there is none.
    pub prefix_hash: u64,
    /// Whether the request may be sent again, and hence be preempted.
    pub idempotent: bool,
    /// Upstreams that failed a previous attempt.
    pub excluded: Vec<SharedName>,
}

/// Slot on one upstream. It is returned on drop.
pub struct SlotGuard {
    node: Arc<NodeContext>,
    /// Upstream that serves the attempt.
    pub upstream: UpstreamEntry,
    origin: SlotOrigin,
    outcome: Option<SlotOutcome>,
}

/// Origin of a slot, to which it is returned.
enum SlotOrigin {
    /// Counted by this node only.
    Alone,
    /// Granted by the owner of the pool and held in the ledger under this number.
    Ledger { request: u64, recall: Receiver<()> },
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotOutcome {
    /// Number of generated output tokens.
    pub tokens: u32,
    /// Whether the upstream failed to serve the attempt.
    pub failed: bool,
}

/// Slot that an owner granted.
#[derive(Clone, Debug, PartialEq, Eq)]
struct GrantedSlot {
    upstream: SharedName,
    address: SocketAddr,
    zone: SharedName,
}

impl SlotGuard {
    /// Records that the response has started and is about to be sent to the caller, which rules out
    /// preemption.
    pub fn record_started(&mut self) {
        if let SlotOrigin::Ledger { request, .. } = &self.origin {
            broker::record_started(&self.node, *request);
        }
    }

    /// Resolves when the slot is preempted for a request of a higher tier.
    pub async fn recalled(&self) {
        if let SlotOrigin::Ledger { recall, .. } = &self.origin {
            if recall.recv().await.is_ok() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Returns the slot with the result of the attempt.
    pub fn finish(mut self, outcome: SlotOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        match &self.origin {
            SlotOrigin::Alone => alone::release(&self.node, &self.upstream.id),
            SlotOrigin::Ledger { request, .. } => {
                broker::end_request(&self.node, *request, self.outcome)
            }
        }
    }
}

/// Cancels an ask on drop, unless a [`SlotGuard`] has taken over its slot.
struct AskGuard<'a> {
    node: &'a Arc<NodeContext>,
    request: u64,
    armed: bool,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            broker::end_request(self.node, self.request, None);
        }
    }
}

/// Waits for a slot on an upstream of the pool, at most until the request's deadline.
///
/// Fails with the refusal that is sent to the caller.
pub async fn acquire(
    node: &Arc<NodeContext>,
    request: &SlotRequest,
) -> Result<SlotGuard, RequestRefusal> {
    match node.settings.slot_policy {
        SlotPolicy::Alone => alone::acquire(node, request),
        SlotPolicy::Arbiter => acquire_from_owner(node, request).await,
    }
}

async fn acquire_from_owner(
    node: &Arc<NodeContext>,
    request: &SlotRequest,
) -> Result<SlotGuard, RequestRefusal> {
    let pending = broker::submit(node, request);
    let mut guard = AskGuard { node, request: pending.request, armed: true };
    let remaining = request.deadline.saturating_sub(node.clock.now());
    let answer = node.clock.timeout(remaining, pending.answer.recv()).await;
    let Some(Ok(answer)) = answer else {
        let message = "no slot became free before the deadline";
        let refusal = RequestRefusal::not_run(RefusalReason::Deadline, message);
        return Err(refusal.retry_after(Duration::from_secs(1)));
    };
    let GrantedSlot { upstream, address, zone } = answer?;
    guard.armed = false;
    let pool = request.pool.clone();
    // The grant does not contain the kind, which is used by the owner of the pool only.
    let kind = UpstreamKind::Dependable;
    let (id, slots, leaving, load) = (upstream, 1, false, None);
    let upstream = UpstreamEntry { id, address, zone, pool, kind, slots, leaving, load };
    let origin = SlotOrigin::Ledger { request: pending.request, recall: pending.recall };
    Ok(SlotGuard { node: node.clone(), upstream, origin, outcome: None })
}
