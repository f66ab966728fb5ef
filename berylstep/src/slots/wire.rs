//! Conversions between slot types and peer messages.

use std::time::Duration;

use berylstep_core::arbiter::{RequestKey, SlotDemand};
use berylstep_core::collections::SharedName;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use berylstep_wire::{SlotAsk, SlotGrant, SlotRefusal};

use super::ledger::LedgerRow;
use super::GrantedSlot;

/// Reasons that an owner gives for a refusal.
const OWNER_REASONS: &[RefusalReason] = &[
    RefusalReason::OverLimit,
    RefusalReason::QueueFull,
    RefusalReason::Deadline,
    RefusalReason::NoUpstream,
];

/// Returns the message for an ask. `request` is the number of the ask.
pub fn slot_ask(now: Duration, request: u64, row: &LedgerRow) -> SlotAsk {
    let ask = &row.ask;
    SlotAsk {
        request,
        pool: ask.pool.to_string(),
        class: ask.class.to_string(),
        organisation: ask.organisation.to_string(),
        tier: ask.tier.into(),
        budget_ms: ask.deadline.saturating_sub(now).as_millis() as u64,
        max_tokens: ask.max_tokens.unwrap_or_default(),
        prefix_hash: ask.prefix_hash,
        idempotent: ask.idempotent,
        excluded: ask.excluded.iter().map(ToString::to_string).collect(),
        preempted: row.preempted,
        waited_ms: now.saturating_sub(row.arrived).as_millis() as u64,
    }
}

/// Converts an ask that `node` sent for the arbiter. `latency_target` is the class's target.
pub fn slot_demand(
    now: Duration,
    node: &SharedName,
    ask: &SlotAsk,
    latency_target: Duration,
) -> SlotDemand {
    SlotDemand {
        key: RequestKey { node: node.clone(), request: ask.request },
        tier: ask.tier.try_into().unwrap_or(u8::MAX),
        class: ask.class.as_str().into(),
        organisation: ask.organisation.as_str().into(),
        arrived: now.saturating_sub(Duration::from_millis(ask.waited_ms)),
        latency_target,
        deadline: now.saturating_add(Duration::from_millis(ask.budget_ms)),
        max_tokens: (ask.max_tokens > 0).then_some(ask.max_tokens),
        prefix_hash: ask.prefix_hash,
        idempotent: ask.idempotent,
        preempted: ask.preempted,
        excluded: ask.excluded.iter().map(|id| id.as_str().into()).collect(),
    }
}

/// Returns the slot of a grant, or `None` if the message is malformed.
pub fn granted_slot(grant: &SlotGrant) -> Option<GrantedSlot> {
    let address = grant.address.parse().ok()?;
    let (upstream, zone) = (grant.upstream.as_str().into(), grant.zone.as_str().into());
    Some(GrantedSlot { upstream, address, zone })
}

/// Returns the refusal that is sent to the caller. An unknown reason counts as no upstream.
pub fn request_refusal(refusal: &SlotRefusal, pool: &str) -> RequestRefusal {
    let mut reasons = OWNER_REASONS.iter().copied();
    let reason = reasons.find(|reason| reason.code() == refusal.reason);
    let reason = reason.unwrap_or(RefusalReason::NoUpstream);
    let message = match reason {
        RefusalReason::OverLimit => "the organisation is over one of its limits".to_owned(),
        RefusalReason::QueueFull => format!("the queue of pool {pool} is full"),
        RefusalReason::Deadline => format!("pool {pool} cannot serve before the deadline"),
        _ => format!("no upstream of pool {pool} is available"),
    };
    let retry_after = Duration::from_millis(refusal.retry_after_ms);
    RequestRefusal::not_run(reason, message).retry_after(retry_after)
}
