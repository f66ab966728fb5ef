//! Selects the replica of each attempt, and decides on retries within the budget of the service.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::budget::SharedBudget;
use berylstep_core::fleet::choice::{self, PlacementQuery};
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::origins::VersionPin;
use berylstep_core::fleet::replica::ReplicaRow;

use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::request::{AttemptHistory, RequestHandler, RoutedRequest};

/// Time after its start within which a node learns the size of the fleet.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Part of the fixed retry allowance that a node takes before it knows the size of the fleet.
const DISCOVERY_RETRIES: f64 = 4.0;

/// Multiple of the latency target after which a retryable request without a response is retried on
/// another replica.
const TIMEOUT_FACTOR: f64 = 2.5;

/// Shortest time without a response after which a retryable request is retried on another replica.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

impl RequestHandler {
    /// Returns whether the request may be executed on another replica.
    pub(super) fn may_retry(&self, request: &RoutedRequest<'_>, history: &AttemptHistory) -> bool {
        request.route.is_retryable()
            && history.ran < request.route.attempts
            && self.clock.now() < request.deadline
            && self.quarantine_wait(request, history).is_none()
            && self.has_untried_replica(request, history, |_| true)
    }

    /// Returns whether a replica that takes any number of requests has not been tried. Only such a one
    /// is a reason to give up a slow replica, because a limited one may have no turn left.
    pub(super) fn has_unlimited_alternative(
        &self,
        request: &RoutedRequest<'_>,
        history: &AttemptHistory,
    ) -> bool {
        self.has_untried_replica(request, history, |row| {
            self.limits.rate(&row.entry.id).is_none() && self.cold.turn_rate(row).is_none()
        })
    }

    fn has_untried_replica(
        &self,
        request: &RoutedRequest<'_>,
        history: &AttemptHistory,
        is_candidate: impl Fn(&ReplicaRow) -> bool,
    ) -> bool {
        let replicas = self.mirror.replicas.borrow();
        let mut available = replicas.available(&request.service, self.clock.now());
        available.any(|row| {
            history.pin.admits(row) && !history.tried.contains(&row.entry.id) && is_candidate(row)
        })
    }

    /// Selects the next replica. A retry is charged to the retry budget.
    pub(super) async fn select_replica(
        &self,
        request: &RoutedRequest<'_>,
        history: &mut AttemptHistory,
    ) -> Option<ReplicaTarget> {
        let now = self.clock.now();
        if now >= request.deadline || self.quarantine_wait(request, history).is_some() {
            return None;
        }
        if history.sent > 0 && !self.has_retry_budget(&request.service) {
            log_denied_retry(request, history);
            return None;
        }
        let target = self.claim_room(request, history).await?;
        if history.sent > 0 {
            let bounds = self.live.get().retry;
            let nodes = self.budget_nodes();
            let granted = self.with_budget(&request.service, |budget, _| {
                budget.try_withdraw(&bounds, nodes, now)
            });
            if !granted {
                target.finish_run();
                log_denied_retry(request, history);
                return None;
            }
        }
        history.tried.push(target.id.clone());
        Some(target)
    }

    pub(super) fn place_request(
        &self,
        request: &RoutedRequest<'_>,
        pin: VersionPin,
        tried: &[SharedName],
    ) -> Option<ReplicaTarget> {
        let replicas = self.mirror.replicas.borrow();
        let query = PlacementQuery {
            service: &request.service,
            size: request.headers.size,
            session: request.headers.session.as_deref(),
            speed: request.speed,
            short_share: self.demand.short_share(&request.service),
            zone: &self.settings.zone,
            excluded: tried,
            pin,
            is_resumable: request.route.kind == RouteKind::Stream && request.route.resumable,
            draw: fastrand::u64(..),
        };
        let placement = choice::choose_replica(&replicas, &query, self.clock.now())?;
        let row = replicas.get(&placement.replica)?;
        let cache_source = placement.warm.and_then(|warm| Some(replicas.get(&warm)?.entry.address));
        Some(ReplicaTarget::new(row, cache_source))
    }

    pub(super) fn with_budget<T>(
        &self,
        service: &SharedName,
        change: impl FnOnce(&mut SharedBudget, &Self) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        change(budgets.entry(service.clone()).or_default(), self)
    }

    /// Returns the number of nodes among which the retry budget is divided. A node that has just
    /// started doesn't know it yet, and takes a small part of the fixed allowance.
    fn budget_nodes(&self) -> usize {
        let known = self.peers.peak_nodes();
        match self.clock.now().saturating_sub(self.started_at) < FLEET_DISCOVERY_TIME {
            true => known.max((self.live.get().retry.extra / DISCOVERY_RETRIES) as usize),
            false => known,
        }
    }

    /// Returns whether the retry budget of a service allows another attempt.
    pub(super) fn has_retry_budget(&self, service: &SharedName) -> bool {
        let (bounds, nodes, now) = (self.live.get().retry, self.budget_nodes(), self.clock.now());
        self.with_budget(service, |budget, _| budget.remaining(&bounds, nodes, now) > 0)
    }

    /// Updates the metrics with the remaining retry budget of each service.
    pub fn export_retry_budgets(&self) {
        let (bounds, nodes) = (self.live.get().retry, self.budget_nodes());
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            let remaining = budget.remaining(&bounds, nodes, self.clock.now());
            self.metrics.set_retry_budget(service, remaining);
        }
    }

    /// Returns the time without a response after which the request is retried on another replica,
    /// or `None` to wait until the deadline.
    pub(super) fn response_timeout(
        &self,
        request: &RoutedRequest<'_>,
        history: &AttemptHistory,
    ) -> Option<Duration> {
        let retryable = request.route.is_retryable()
            && history.ran + 1 < request.route.attempts
            && self.has_unlimited_alternative(request, history);
        retryable.then(|| request.route.target.mul_f64(TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT))
    }
}

fn log_denied_retry(request: &RoutedRequest<'_>, history: &AttemptHistory) {
    log::info!(
        "event=retry_denied id={} service={} reason=budget sent={}",
        request.id(),
        request.service,
        history.sent
    );
}
