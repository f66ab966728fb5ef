//! Hedged requests: a second attempt at another replica while the first has no response yet. The first
//! response is used, and the other attempt is cancelled at once.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::brittle::SlotSource;
use berylstep_core::fleet::hedging::{
    is_room_short, AttemptEnd, AttemptSample, HedgeAsk, HedgeBounds, HedgeDenial, HedgeKind,
    HedgeLedger, HedgeVerdict,
};
use berylstep_core::fleet::replica::ReplicaRow;
use smol::future;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::{AttemptOptions, AttemptOutcome, ReplicaTarget};
use crate::gateway::hedge_metrics::{HedgeReport, HedgeResult};
use crate::gateway::pace::PaceWatch;
use crate::gateway::request::{AttemptHistory, RequestHandler, RoutedRequest};
use crate::gateway::settings::LiveSettings;
use crate::gateway::silence::{is_answer, uncount, FirstAttempt, PendingAttempt};
use crate::gateway::telemetry::RequestTrace;

/// Response times and hedge budgets of this node.
#[derive(Debug)]
pub struct HedgeWatch {
    clock: RuntimeClock,
    live: Rc<LiveSettings>,
    pace: Rc<PaceWatch>,
    ledger: RefCell<HedgeLedger>,
}

impl HedgeWatch {
    /// Creates a watch that knows no response times.
    pub fn new(clock: RuntimeClock, live: Rc<LiveSettings>, pace: Rc<PaceWatch>) -> Self {
        Self { clock, live, pace, ledger: RefCell::default() }
    }

    /// Returns the settings of hedging; `None` where it has no effect.
    fn bounds(&self) -> Option<HedgeBounds> {
        let bounds = self.live.get().hedge;
        let is_called_for = self.pace.is_uneven() || self.pace.is_contended();
        Some(bounds).filter(|bounds| bounds.ratio > 0.0 && is_called_for)
    }

    /// Drops response times that are too old to be used.
    pub fn expire(&self) {
        self.ledger.borrow_mut().expire(self.clock.now());
    }
}

/// Measures an attempt. One that is dropped before its outcome was cancelled, and still tells that its
/// response would have taken longer.
struct AttemptTimer {
    watch: Rc<HedgeWatch>,
    service: SharedName,
    kind: HedgeKind,
    pace: f64,
    started_at: Duration,
    end: Cell<Option<AttemptEnd>>,
}

impl AttemptTimer {
    fn finish(self, outcome: &AttemptOutcome) {
        self.end.set(match outcome {
            _ if is_answer(outcome) => Some(AttemptEnd::Responded),
            AttemptOutcome::Lost(_) | AttemptOutcome::TimedOut => Some(AttemptEnd::Cancelled),
            // A rejection or a failure says nothing about the time that a response takes.
            AttemptOutcome::Responded(_)
            | AttemptOutcome::NotSent(_)
            | AttemptOutcome::NotExecuted(_) => None,
        });
    }
}

impl Drop for AttemptTimer {
    fn drop(&mut self) {
        let Some(end) = self.end.get() else { return };
        let now = self.watch.clock.now();
        let elapsed = now.saturating_sub(self.started_at);
        let sample = AttemptSample { kind: self.kind, end, elapsed, pace: self.pace };
        self.watch.ledger.borrow_mut().record_attempt(&self.service, &sample, now);
    }
}

/// What became of the first attempt of a request until it counts as silent.
pub(super) enum FirstOutcome {
    /// It has this outcome, which isn't counted in the history yet.
    Ended(AttemptOutcome),
    /// Another replica has the request, and this is the outcome there. The history counts the first attempt.
    Taken(ReplicaTarget, AttemptOutcome),
    /// It has no response within the time for it.
    Silent,
}

/// Which of two attempts ended first.
enum RaceEnd {
    First(AttemptOutcome),
    Second(AttemptOutcome),
}

impl RequestHandler {
    /// Counts a request for the budget of hedges.
    pub(super) fn count_for_hedging(&self, request: &RoutedRequest<'_>) {
        let bounds = self.hedging.bounds().filter(|_| !request.is_handed_over);
        if let Some(bounds) = bounds {
            let nodes = self.peers.peak_nodes();
            self.hedging.ledger.borrow_mut().record_request(&request.service, &bounds, nodes);
        }
    }

    /// Sends the request to `target`, and learns the time to the response where requests are hedged.
    pub(super) async fn attempt_timed(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
    ) -> AttemptOutcome {
        let options = AttemptOptions { last_event: None, moved_run: None };
        let is_hedgeable = self.hedging.bounds().is_some() && request.route.is_retryable();
        let timer = is_hedgeable.then(|| AttemptTimer {
            watch: self.hedging.clone(),
            service: request.service.clone(),
            kind: hedge_kind(request),
            pace: self.expected_pace(&target.id),
            started_at: self.clock.now(),
            end: Cell::new(Some(AttemptEnd::Cancelled)),
        });
        let outcome = self.attempt(request, target, options).await;
        if let Some(timer) = timer {
            timer.finish(&outcome);
        }
        outcome
    }

    /// Returns the pace of a replica; 1 if it is unknown.
    pub(super) fn expected_pace(&self, id: &str) -> f64 {
        let replicas = self.mirror.replicas.borrow();
        replicas.get(id).map_or(1.0, |row| self.pace.expected_pace(row))
    }

    /// Waits for the first attempt until it counts as silent at `silent_at`, and hedges the request where that
    /// is allowed.
    pub(super) async fn await_first(
        &self,
        request: &RoutedRequest<'_>,
        first: &mut FirstAttempt<'_>,
        silent_at: Duration,
        history: &mut AttemptHistory,
        trace: &RequestTrace,
    ) -> FirstOutcome {
        let mut may_hedge = !history.is_hedged && !request.is_handed_over;
        loop {
            let hedge_at = match may_hedge {
                true => self.hedge_delay(request, first).map(|delay| first.sent_at + delay),
                false => None,
            };
            let hedge_at = hedge_at.filter(|at| *at < silent_at);
            may_hedge = hedge_at.is_some();
            let wait = hedge_at.unwrap_or(silent_at).saturating_sub(self.clock.now());
            if !wait.is_zero() {
                // Afterwards the delay is asked for again, because it follows the load.
                match self.clock.timeout(wait, first.attempt.as_mut()).await {
                    Some(outcome) => return FirstOutcome::Ended(outcome),
                    None if may_hedge => continue,
                    None => return FirstOutcome::Silent,
                }
            }
            if !may_hedge {
                return FirstOutcome::Silent;
            }
            may_hedge = false;
            if let Some(outcome) = self.hedge(request, first, silent_at, history, trace).await {
                return outcome;
            }
        }
    }

    /// Returns the time without a response after which the request is hedged.
    fn hedge_delay(
        &self,
        request: &RoutedRequest<'_>,
        first: &FirstAttempt<'_>,
    ) -> Option<Duration> {
        let bounds = self.hedging.bounds()?;
        // Room only matters once the delay has passed.
        let ask = self.hedge_ask(request, first, false);
        let verdict = self.hedging.ledger.borrow().decide(&ask, &bounds, self.clock.now());
        match verdict {
            HedgeVerdict::After(delay) => Some(delay),
            HedgeVerdict::Denied(denial) => {
                self.metrics.hedges.record_denied(&request.service, denial);
                None
            }
        }
    }

    fn hedge_ask<'a>(
        &self,
        request: &'a RoutedRequest<'_>,
        first: &FirstAttempt<'_>,
        is_room_short: bool,
    ) -> HedgeAsk<'a> {
        HedgeAsk {
            service: &request.service,
            kind: hedge_kind(request),
            pace: first.pace,
            time_left: request.deadline.saturating_sub(self.clock.now()),
            is_room_short,
        }
    }

    /// Returns whether room is short at the replicas of a service.
    fn is_room_short(&self, service: &str) -> bool {
        let replicas = self.mirror.replicas.borrow();
        let available = replicas.available(service, self.clock.now());
        let (requests, slots) = available.fold((0, 0), |(requests, slots), row| {
            (requests + u64::from(row.requests()), slots + u64::from(row.entry.slots))
        });
        is_room_short(requests, slots)
    }

    /// Takes a hedge out of the budget, and selects the replica for it.
    async fn claim_hedge(
        &self,
        request: &RoutedRequest<'_>,
        first: &FirstAttempt<'_>,
        history: &mut AttemptHistory,
    ) -> Result<ReplicaTarget, HedgeDenial> {
        if !self.may_retry(request, history) {
            return Err(HedgeDenial::Replica);
        }
        if !self.has_retry_budget(&request.service) {
            return Err(HedgeDenial::Retries);
        }
        let bounds = self.hedging.bounds().ok_or(HedgeDenial::Off)?;
        let ask = self.hedge_ask(request, first, self.is_room_short(&request.service));
        self.hedging.ledger.borrow_mut().claim(&ask, &bounds, self.clock.now())?;
        let selected = self.select_replica(request, history).await;
        selected.ok_or_else(|| {
            self.hedging.ledger.borrow_mut().refund(&request.service);
            HedgeDenial::Replica
        })
    }

    /// Returns whether a replica may get a second attempt: a limited or brittle one has too little room for it,
    /// and one that fails is no alternative.
    fn may_take_hedge(&self, row: &ReplicaRow) -> bool {
        self.limits.rate(&row.entry.id).is_none()
            && self.slots.source(row) == SlotSource::Free
            && row.is_healthy(self.clock.now())
    }

    /// Sends a second attempt if that is allowed, and waits for the first response. `None` if the first attempt
    /// is alone in progress.
    async fn hedge(
        &self,
        request: &RoutedRequest<'_>,
        first: &mut FirstAttempt<'_>,
        silent_at: Duration,
        history: &mut AttemptHistory,
        trace: &RequestTrace,
    ) -> Option<FirstOutcome> {
        // The first attempt counts as one that may have run, so that the second is charged to the retry budget
        // and is within the attempts of the route.
        history.sent += 1;
        history.ran += 1;
        let tried = history.tried.len();
        history.tried.extend(self.unsuitable_replicas(&request.service));
        let claimed = self.claim_hedge(request, first, history).await;
        history.tried.truncate(tried);
        let other = match claimed {
            Ok(other) => other,
            Err(denial) => {
                uncount(history);
                self.metrics.hedges.record_denied(&request.service, denial);
                return None;
            }
        };
        history.tried.push(other.id.clone());
        history.is_hedged = true;
        self.metrics.hedges.record_sent(&request.service);
        let report = HedgeReport {
            handler: self,
            request,
            first: first.target.id.clone(),
            second: other.id.clone(),
            waited: self.clock.now().saturating_sub(first.sent_at),
            result: HedgeResult::Abandoned,
        };
        let mut second: PendingAttempt<'_> = Box::pin(self.attempt_timed(request, &other));
        match self.race(request, first, &mut second, silent_at).await {
            RaceEnd::First(AttemptOutcome::TimedOut) => {
                // Both attempts may have run. The count of the first one stands for the second.
                Some(FirstOutcome::Ended(AttemptOutcome::TimedOut))
            }
            RaceEnd::First(outcome) if is_answer(&outcome) => {
                // Cancels the second attempt, which may have run; the count of the first one stands for it.
                drop(second);
                trace.count_attempt();
                report.finish(HedgeResult::Lost);
                Some(FirstOutcome::Ended(outcome))
            }
            RaceEnd::First(failure) => {
                let outcome = second.as_mut().await;
                drop(second);
                let result = match is_answer(&outcome) {
                    true => HedgeResult::Replaced,
                    false => HedgeResult::Failed,
                };
                report.finish(result);
                Some(self.settle_first(
                    request,
                    first.target,
                    failure,
                    (other, outcome),
                    history,
                    trace,
                ))
            }
            RaceEnd::Second(outcome) if is_answer(&outcome) => {
                // Cancels the first attempt, which may have run.
                drop(second);
                first.cancel();
                trace.count_attempt();
                report.finish(HedgeResult::Won);
                Some(FirstOutcome::Taken(other, outcome))
            }
            RaceEnd::Second(outcome) => {
                drop(second);
                report.finish(HedgeResult::Failed);
                uncount(history);
                self.count_failure(request, &other, outcome, history, trace);
                None
            }
        }
    }

    /// Returns the replicas that get no second attempt.
    fn unsuitable_replicas(&self, service: &str) -> Vec<SharedName> {
        let replicas = self.mirror.replicas.borrow();
        let available = replicas.available(service, self.clock.now());
        let unsuitable = available.filter(|row| !self.may_take_hedge(row));
        unsuitable.map(|row| row.entry.id.clone()).collect()
    }

    /// Waits until one of two attempts has an outcome. If both have one at the same moment, it is that of the
    /// first.
    async fn race(
        &self,
        request: &RoutedRequest<'_>,
        first: &mut FirstAttempt<'_>,
        second: &mut PendingAttempt<'_>,
        silent_at: Duration,
    ) -> RaceEnd {
        loop {
            let wait = match first.is_silent {
                true => None,
                false => Some(silent_at.saturating_sub(self.clock.now())),
            };
            let answering = async { Some(RaceEnd::First(first.attempt.as_mut().await)) };
            let hedging = async { Some(RaceEnd::Second(second.as_mut().await)) };
            let waiting = async {
                match wait {
                    Some(wait) => self.clock.sleep(wait).await,
                    None => future::pending().await,
                }
                None
            };
            match future::or(answering, future::or(hedging, waiting)).await {
                Some(end) => return end,
                None => self.record_silence(request, first),
            }
        }
    }

    /// Chooses between the failure of the first attempt and the outcome of the second, which ended later. An
    /// error response of the first is kept if the second has none.
    fn settle_first(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        failure: AttemptOutcome,
        second: (ReplicaTarget, AttemptOutcome),
        history: &mut AttemptHistory,
        trace: &RequestTrace,
    ) -> FirstOutcome {
        let (other, outcome) = second;
        if matches!(failure, AttemptOutcome::Responded(_)) && !is_answer(&outcome) {
            uncount(history);
            self.count_failure(request, &other, outcome, history, trace);
            return FirstOutcome::Ended(failure);
        }
        uncount(history);
        self.count_failure(request, target, failure, history, trace);
        FirstOutcome::Taken(other, outcome)
    }

    /// Counts and logs an attempt of a hedged request that ended without an answer.
    fn count_failure(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        outcome: AttemptOutcome,
        history: &mut AttemptHistory,
        trace: &RequestTrace,
    ) {
        let (sent, ran) = match &outcome {
            AttemptOutcome::NotSent(_) => (0, 0),
            AttemptOutcome::NotExecuted(_) => (1, 0),
            AttemptOutcome::Responded(_) | AttemptOutcome::Lost(_) | AttemptOutcome::TimedOut => {
                (1, 1)
            }
        };
        history.sent += sent;
        history.ran += ran;
        match outcome {
            AttemptOutcome::Responded(response) => {
                trace.count_attempt();
                response.release_connection(&self.upstreams);
            }
            _ => {
                if matches!(outcome, AttemptOutcome::Lost(_)) {
                    self.crashes.report_loss(request, target);
                }
                trace.record_attempt(request, target, &outcome, self.clock.now());
            }
        }
    }
}

fn hedge_kind(request: &RoutedRequest<'_>) -> HedgeKind {
    HedgeKind::new(request.route.kind, request.headers.size)
}
