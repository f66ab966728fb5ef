//! Attempts at replicas that stay silent: the request is withdrawn only once another replica has answered it.

use std::pin::Pin;
use std::time::Duration;

use smol::future;

use crate::gateway::attempt::{AttemptOutcome, ReplicaTarget};
use crate::gateway::hedging::FirstOutcome;
use crate::gateway::request::{AttemptHistory, RequestHandler, RoutedRequest};
use crate::gateway::telemetry::RequestTrace;

/// First status of a failure of the replica.
const FIRST_FAILURE: u16 = 500;

/// An attempt in progress.
pub(super) type PendingAttempt<'a> = Pin<Box<dyn future::Future<Output = AttemptOutcome> + 'a>>;

/// The first of several attempts that may be in progress at the same time.
pub(super) struct FirstAttempt<'a> {
    /// Replica that it was sent to.
    pub(super) target: &'a ReplicaTarget,
    /// Attempt in progress.
    pub(super) attempt: PendingAttempt<'a>,
    /// Time at which it began.
    pub(super) sent_at: Duration,
    /// Pace of the replica that was expected then.
    pub(super) pace: f64,
    /// Whether its replica has been recorded as silent.
    pub(super) is_silent: bool,
}

impl FirstAttempt<'_> {
    /// Withdraws the request from the replica by closing the connection.
    pub(super) fn cancel(&mut self) {
        self.attempt = Box::pin(future::pending());
    }
}

/// Result of offering the request of a silent replica to another one.
enum OfferOutcome {
    /// The silent replica has answered meanwhile.
    Answered(AttemptOutcome),
    /// The other replica has rejected the request or failed, while the silent one still has it.
    Failed,
    /// The other replica has the request, and this became of the attempt at the silent one.
    Taken { other: ReplicaTarget, outcome: AttemptOutcome, withdrawn: AttemptOutcome },
}

/// Returns whether a replica has answered the request itself.
pub(super) fn is_answer(outcome: &AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Responded(response) if response.head.status < FIRST_FAILURE)
}

impl RequestHandler {
    /// Sends the request to `target`. If it stays silent, others are asked one after the other; it keeps the
    /// request until one of them has answered. Neither silence nor a queue tells which replica answers first.
    /// Returns the replica that has the request, and the outcome there, which isn't counted in `history` yet.
    pub(super) async fn attempt_until_silent(
        &self,
        request: &RoutedRequest<'_>,
        target: ReplicaTarget,
        history: &mut AttemptHistory,
        trace: &RequestTrace,
    ) -> (ReplicaTarget, AttemptOutcome) {
        let mut first = FirstAttempt {
            target: &target,
            attempt: Box::pin(self.attempt_timed(request, &target)),
            sent_at: self.clock.now(),
            pace: self.expected_pace(&target.id),
            is_silent: false,
        };
        let Some(timeout) = self.response_timeout(request, history) else {
            let outcome = first.attempt.as_mut().await;
            drop(first);
            return (target, outcome);
        };
        let silent_at = first.sent_at + timeout;
        match self.await_first(request, &mut first, silent_at, history, trace).await {
            FirstOutcome::Ended(outcome) => {
                drop(first);
                return (target, outcome);
            }
            FirstOutcome::Taken(other, outcome) => return (other, outcome),
            FirstOutcome::Silent => self.record_silence(request, &mut first),
        }
        history.sent += 1;
        history.ran += 1;
        while self.may_retry(request, history) {
            match self.offer_elsewhere(request, &mut first.attempt, history, trace).await {
                Some(OfferOutcome::Answered(outcome)) => {
                    drop(first);
                    uncount(history);
                    return (target, outcome);
                }
                Some(OfferOutcome::Taken { other, outcome, withdrawn }) => {
                    trace.record_attempt(request, &target, &withdrawn, self.clock.now());
                    match withdrawn {
                        AttemptOutcome::NotSent(_) => uncount(history),
                        AttemptOutcome::NotExecuted(_) => history.ran -= 1,
                        _ => self.crashes.report_loss(request, &target),
                    }
                    log::info!(
                        "event=silent_replica_replaced id={} replica={} by={}",
                        request.id(),
                        target.id,
                        other.id
                    );
                    return (other, outcome);
                }
                Some(OfferOutcome::Failed) => {}
                None => break,
            }
        }
        let outcome = first.attempt.as_mut().await;
        drop(first);
        uncount(history);
        (target, outcome)
    }

    /// Records that the replica of a first attempt is silent, at most once.
    pub(super) fn record_silence(&self, request: &RoutedRequest<'_>, first: &mut FirstAttempt<'_>) {
        if !std::mem::replace(&mut first.is_silent, true) {
            self.reach.record_loss(&request.service, &first.target.id, first.sent_at);
            self.record_replica_failure(&first.target.id, "no response in time");
        }
    }

    /// Offers the request to one more replica; `None` if there is none to ask.
    async fn offer_elsewhere<'a>(
        &'a self,
        request: &'a RoutedRequest<'a>,
        first: &mut PendingAttempt<'_>,
        history: &mut AttemptHistory,
        trace: &RequestTrace,
    ) -> Option<OfferOutcome> {
        let answering = async { Err(first.as_mut().await) };
        let selecting = async { Ok(self.select_replica(request, history).await) };
        let other = match future::or(answering, selecting).await {
            Ok(selected) => selected?,
            Err(outcome) => return Some(OfferOutcome::Answered(outcome)),
        };
        let mut second: PendingAttempt<'_> = Box::pin(self.attempt_timed(request, &other));
        let answering = async { Err(first.as_mut().await) };
        let offering = async { Ok(second.as_mut().await) };
        let outcome = match future::or(answering, offering).await {
            Ok(outcome) => outcome,
            Err(outcome) if is_answer(&outcome) => {
                // The other attempt is dropped, and may have run.
                history.sent += 1;
                history.ran += 1;
                return Some(OfferOutcome::Answered(outcome));
            }
            Err(withdrawn) => {
                *first = Box::pin(future::pending());
                let outcome = second.as_mut().await;
                drop(second);
                return Some(OfferOutcome::Taken { other, outcome, withdrawn });
            }
        };
        drop(second);
        if is_answer(&outcome) {
            // Withdraws the request from the silent replica.
            *first = Box::pin(future::pending());
            let withdrawn = AttemptOutcome::Lost("replica is silent");
            return Some(OfferOutcome::Taken { other, outcome, withdrawn });
        }
        match &outcome {
            AttemptOutcome::NotSent(_) => {}
            AttemptOutcome::NotExecuted(_) => history.sent += 1,
            AttemptOutcome::Responded(_) => {
                history.sent += 1;
                history.ran += 1;
            }
            AttemptOutcome::Lost(_) | AttemptOutcome::TimedOut => {
                history.sent += 1;
                history.ran += 1;
                self.crashes.report_loss(request, &other);
            }
        }
        trace.record_attempt(request, &other, &outcome, self.clock.now());
        Some(OfferOutcome::Failed)
    }
}

/// Takes an attempt out of the counts, because its outcome will be counted or it reached no replica.
pub(super) fn uncount(history: &mut AttemptHistory) {
    history.sent -= 1;
    history.ran -= 1;
}
