//! Idempotent requests: tried on further replicas until the first byte, within a retry budget.

use http_types::Response;
use smol::future;

use berylstep_core::refusal::RequestRefusal;

use super::attempt::{self, AttemptError, StartedResponse};
use super::forward::{deadline_refusal, ForwardedRequest, MAX_ATTEMPTS};
use super::relay;
use super::watch::withdrawn_refusal;
use crate::slots::{SlotGuard, SlotOutcome};

/// How one attempt ended.
enum AttemptOutcome {
    /// The first bytes arrived.
    Begun(Box<StartedResponse>),
    /// The attempt failed.
    Failed(AttemptError),
    /// The slot was taken back for work of a higher tier.
    Recalled,
    /// The key was withdrawn.
    Withdrawn,
}

/// Sends the request and returns its answer, to be streamed.
pub async fn forward(mut forwarded: ForwardedRequest) -> Result<Response, RequestRefusal> {
    let mut attempts = 0;
    loop {
        let slot = forwarded.acquire().await?;
        match attempt_on(&forwarded, &slot).await {
            AttemptOutcome::Begun(answer) => return Ok(relay::relay(forwarded, *answer, slot)),
            AttemptOutcome::Recalled => forwarded.may_have_run = true,
            AttemptOutcome::Withdrawn => {
                forwarded.may_have_run = true;
                return Err(forwarded.truthful(withdrawn_refusal()));
            }
            AttemptOutcome::Failed(err) => {
                attempts += 1;
                note_failure(&mut forwarded, slot, &err);
                refuse_further(&forwarded, attempts, &err)?;
            }
        }
    }
}

async fn attempt_on(forwarded: &ForwardedRequest, slot: &SlotGuard) -> AttemptOutcome {
    let ForwardedRequest { node, request, deadline, .. } = forwarded;
    let attempting = async {
        match attempt::begin(node, request, &request.body, &slot.upstream, *deadline).await {
            Ok(answer) => AttemptOutcome::Begun(Box::new(answer)),
            Err(err) => AttemptOutcome::Failed(err),
        }
    };
    let recalled = async {
        slot.recalled().await;
        AttemptOutcome::Recalled
    };
    let withdrawn = async {
        forwarded.watch.withdrawn().await;
        AttemptOutcome::Withdrawn
    };
    future::or(attempting, future::or(recalled, withdrawn)).await
}

/// Returns the slot and keeps the failed upstream from being chosen again.
pub fn note_failure(forwarded: &mut ForwardedRequest, slot: SlotGuard, err: &AttemptError) {
    let upstream = slot.upstream.id.clone();
    log::warn!("attempt failed: upstream={upstream} error={}", err.message);
    forwarded.may_have_run |= err.may_have_run;
    forwarded.observer.note_failed_attempt(&forwarded.ask.pool);
    slot.finish(SlotOutcome { tokens: 0, failed: err.upstream_failed });
    forwarded.leave(upstream, err.upstream_failed);
}

/// Refuses where no further attempt may be made.
fn refuse_further(
    forwarded: &ForwardedRequest,
    attempts: usize,
    err: &AttemptError,
) -> Result<(), RequestRefusal> {
    if forwarded.time_left().is_zero() {
        return Err(forwarded.truthful(deadline_refusal()));
    }
    let node = &forwarded.node;
    let allowed = attempts < MAX_ATTEMPTS
        && node.retries.try_withdraw(&forwarded.request.route.pool, node.clock.now());
    match allowed {
        true => Ok(()),
        false => Err(forwarded.failed(&err.message)),
    }
}
