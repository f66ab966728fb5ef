//! Slots on upstreams, one for each attempt.

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

/// A slot on one upstream, returned when dropped.
pub struct SlotGuard {
    node: Arc<NodeContext>,
    /// Upstream that serves the attempt.
    pub upstream: UpstreamEntry,
    hold: SlotHold,
    outcome: Option<SlotOutcome>,
}

/// Where a slot is returned to.
enum SlotHold {
    /// This node alone counts it.
    Alone,
    /// The ledger holds it under this number.
    Ledger { request: u64, recall: Receiver<()> },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotOutcome {
    /// Output tokens generated.
    pub tokens: u32,
    /// Whether the upstream failed.
    pub failed: bool,
}

/// A granted slot.
#[derive(Clone, Debug, PartialEq, Eq)]
struct GrantedSlot {
    upstream: SharedName,
    address: SocketAddr,
    zone: SharedName,
}

impl SlotGuard {
    /// Notes that the first byte of the answer has gone to the caller; no preemption after that.
    pub fn note_started(&mut self) {
        if let SlotHold::Ledger { request, .. } = &self.hold {
            broker::note_started(&self.node, *request);
        }
    }

    /// Resolves when the slot is taken back for work of a higher tier.
    pub async fn recalled(&self) {
        if let SlotHold::Ledger { recall, .. } = &self.hold {
            if recall.recv().await.is_ok() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Returns the slot with what the attempt used.
    pub fn finish(mut self, outcome: SlotOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        match &self.hold {
            SlotHold::Alone => alone::put_back(&self.node, &self.upstream.id),
            SlotHold::Ledger { request, .. } => broker::end(&self.node, *request, self.outcome),
        }
    }
}

/// Ends an ask unless its answer was taken over by a guard.
struct AskGuard<'a> {
    node: &'a Arc<NodeContext>,
    request: u64,
    armed: bool,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            broker::end(self.node, self.request, None);
        }
    }
}

/// Waits for a slot on an upstream of the pool, until the request's deadline at the latest.
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
    let pending = broker::begin(node, request);
    let mut guard = AskGuard { node, request: pending.request, armed: true };
    let left = request.deadline.saturating_sub(node.clock.now());
    let answer = node.clock.timeout(left, pending.answer.recv()).await;
    let Some(Ok(answer)) = answer else {
        let message = "no slot became free before the deadline";
        let refusal = RequestRefusal::not_run(RefusalReason::Deadline, message);
        return Err(refusal.retry_after(Duration::from_secs(1)));
    };
    let GrantedSlot { upstream, address, zone } = answer?;
    guard.armed = false;
    let pool = request.pool.clone();
    // The owner of the pool knows the kind; nothing here depends on it.
    let kind = UpstreamKind::Dependable;
    let (id, slots, leaving, load) = (upstream, 1, false, None);
    let upstream = UpstreamEntry { id, address, zone, pool, kind, slots, leaving, load };
    let hold = SlotHold::Ledger { request: pending.request, recall: pending.recall };
    Ok(SlotGuard { node: node.clone(), upstream, hold, outcome: None })
}
