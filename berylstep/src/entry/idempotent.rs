//! Idempotent requests: retried on other upstreams until the first byte of a response, within the
//! retry budget.

use http_types::Response;
use smol::future;

use berylstep_core::refusal::RequestRefusal;

use super::attempt::{self, AttemptError, StartedResponse};
use super::forward::{deadline_refusal, ForwardedRequest, MAX_ATTEMPTS};
use super::relay;
use super::watch::withdrawn_refusal;
use crate::slots::{SlotGuard, SlotOutcome};

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The first bytes of the response arrived.
    Started(Box<StartedResponse>),
    /// The attempt failed; another upstream may be tried.
    Failed(AttemptError),
    /// The slot was preempted by a request of a higher tier.
    Recalled,
    /// The caller's key was withdrawn.
    Withdrawn,
}

/// Sends the request, with retries, and returns the response, whose body is streamed.
pub async fn forward(mut forwarded: ForwardedRequest) -> Result<Response, RequestRefusal> {
    let mut attempts = 0;
    loop {
        let slot = forwarded.acquire_slot().await?;
        match try_upstream(&forwarded, &slot).await {
            AttemptOutcome::Started(started) => return Ok(relay::relay(forwarded, *started, slot)),
            AttemptOutcome::Recalled => forwarded.may_have_run = true,
            AttemptOutcome::Withdrawn => {
                forwarded.may_have_run = true;
                return Err(forwarded.with_run_state(withdrawn_refusal()));
            }
            AttemptOutcome::Failed(err) => {
                attempts += 1;
                record_failure(&mut forwarded, slot, &err);
                check_retry_allowed(&forwarded, attempts, &err)?;
            }
        }
    }
}

async fn try_upstream(forwarded: &ForwardedRequest, slot: &SlotGuard) -> AttemptOutcome {
    let ForwardedRequest { node, request, deadline, .. } = forwarded;
    let attempting = async {
        match attempt::start_response(node, request, &request.body, &slot.upstream, *deadline).await
        {
            Ok(started) => AttemptOutcome::Started(Box::new(started)),
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

/// Returns the slot of a failed attempt and excludes its upstream from further attempts.
pub fn record_failure(forwarded: &mut ForwardedRequest, slot: SlotGuard, err: &AttemptError) {
    let upstream = slot.upstream.id.clone();
    log::warn!("attempt failed: upstream={upstream} error={}", err.message);
    forwarded.may_have_run |= err.may_have_run;
    forwarded.observer.record_failed_attempt(&forwarded.slot_request.pool);
    slot.finish(SlotOutcome { tokens: 0, failed: err.upstream_failed });
    forwarded.exclude(upstream, err.upstream_failed);
}

/// Refuses the request if its deadline has passed, its attempts are used up or the retry budget is
/// exhausted.
fn check_retry_allowed(
    forwarded: &ForwardedRequest,
    attempts: usize,
    err: &AttemptError,
) -> Result<(), RequestRefusal> {
    if forwarded.remaining_time().is_zero() {
        return Err(forwarded.with_run_state(deadline_refusal()));
    }
    let node = &forwarded.node;
    let allowed = attempts < MAX_ATTEMPTS
        && node.retry_budgets.try_withdraw(&forwarded.request.route.pool, node.clock.now());
    match allowed {
        true => Ok(()),
        false => Err(forwarded.failed_refusal(&err.message)),
    }
}
