//! What the log and the metrics tell of each request.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use berylstep_core::burn::TargetOutcome;
use berylstep_core::collections::SharedName;
use prometheus::{HistogramVec, IntCounterVec, IntGauge, IntGaugeVec};

use crate::gateway::attempt::{AttemptOutcome, ReplicaTarget};
use crate::gateway::request::RoutedRequest;
use crate::gateway::service_level::LevelLedger;
use crate::instruments::InstrumentSet;

/// Upper bounds of latency buckets, in seconds; they hold the usual latency targets.
const LATENCY_BUCKETS: &[f64] =
    &[0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0];

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A replica's answer was passed on whole.
    Answered(u16),
    /// The request is not acceptable.
    Rejected(&'static str),
    /// The request did not run.
    Refused(&'static str),
    /// The request may have run and its answer is lost.
    Lost(&'static str),
    /// No answer came in time.
    TimedOut,
    /// The answer broke off after this many events.
    Broken(u64),
    /// The caller left.
    CallerLeft,
}

impl RequestEnd {
    fn outcome(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Rejected(_) => "rejected",
            Self::Refused(_) => "refused",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed_out",
            Self::Broken(_) => "broken",
            Self::CallerLeft => "caller_left",
        }
    }

    /// Whether it counts as met or missed; a caller's own leaving counts as neither.
    fn level(self, is_in_time: bool) -> Option<TargetOutcome> {
        match self {
            Self::Answered(status) if status < 500 && is_in_time => Some(TargetOutcome::Met),
            Self::Rejected(_) | Self::CallerLeft => None,
            _ => Some(TargetOutcome::Missed),
        }
    }

    /// Level of its line in the log, where failures go before successes.
    fn log_level(self) -> log::Level {
        match self {
            Self::Answered(status) if status < 500 => log::Level::Info,
            Self::Rejected(_) | Self::CallerLeft => log::Level::Info,
            _ => log::Level::Warn,
        }
    }

    fn detail(self) -> String {
        match self {
            Self::Answered(status) => status.to_string(),
            Self::Rejected(reason) | Self::Refused(reason) | Self::Lost(reason) => {
                reason.to_owned()
            }
            Self::Broken(events) => format!("after {events} events"),
            Self::TimedOut | Self::CallerLeft => "-".to_owned(),
        }
    }
}

/// Metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    instruments: InstrumentSet,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    first_content: HistogramVec,
    duration: HistogramVec,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Other nodes that were heard a moment ago.
    pub live_peers: IntGauge,
    /// Version of the desired state in force.
    pub desired_version: IntGauge,
    /// Replicas that take requests.
    pub ready_replicas: IntGauge,
    /// Fencing token of the duties' lease; 0 where another node holds it.
    pub duty_fencing: IntGauge,
    /// Time since the store last answered this node; -1 where it never did.
    pub store_age: IntGauge,
    retry_budget: IntGaugeVec,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new().expect("names and labels of metrics are valid")
    }
}

impl GatewayMetrics {
    fn new() -> prometheus::Result<Self> {
        let set = InstrumentSet::default();
        Ok(Self {
            requests: set.counters(
                "berylstep_gateway_requests_total",
                "Ended requests by service, priority and outcome.",
                &["service", "priority", "outcome"],
            )?,
            attempts: set.counters(
                "berylstep_gateway_attempts_total",
                "Attempts at replicas by service and result.",
                &["service", "result"],
            )?,
            first_content: set.histograms(
                "berylstep_gateway_first_content_seconds",
                "Time from arrival to the first content of the answer.",
                &["service", "priority"],
                LATENCY_BUCKETS,
            )?,
            duration: set.histograms(
                "berylstep_gateway_request_seconds",
                "Time from arrival to the end of the answer.",
                &["service", "priority"],
                LATENCY_BUCKETS,
            )?,
            open_requests: set.gauge("berylstep_gateway_open_requests", "Requests in progress.")?,
            live_peers: set.gauge("berylstep_gateway_live_peers", "Other nodes heard of late.")?,
            desired_version: set.gauge(
                "berylstep_gateway_desired_version",
                "Version of the desired state in force.",
            )?,
            ready_replicas: set
                .gauge("berylstep_gateway_ready_replicas", "Replicas that take requests.")?,
            duty_fencing: set.gauge(
                "berylstep_gateway_duty_fencing_token",
                "Fencing token of the duties' lease; 0 where another node holds it.",
            )?,
            store_age: set.gauge(
                "berylstep_gateway_store_age_milliseconds",
                "Time since the store last answered this node; -1 where it never did.",
            )?,
            retry_budget: set.gauges(
                "berylstep_gateway_retry_budget_left",
                "Repeats that this node may still make now, by service.",
                &["service"],
            )?,
            instruments: set,
        })
    }

    /// Notes how many repeats this node may still make for a service.
    pub fn note_retry_budget(&self, service: &str, left: u32) {
        self.retry_budget.with_label_values(&[service]).set(left.into());
    }

    /// Writes all metrics in the text format.
    pub fn render(&self) -> String {
        self.instruments.render()
    }
}

/// What happened to one request.
#[derive(Debug)]
pub struct RequestTrace {
    arrived: Duration,
    end: Cell<Option<RequestEnd>>,
    first_content: Cell<Option<Duration>>,
    attempts: Cell<u32>,
    labels: RefCell<Option<TraceLabels>>,
}

#[derive(Clone, Debug)]
struct TraceLabels {
    service: SharedName,
    route: SharedName,
    organisation: Option<SharedName>,
    priority: u8,
    target: Duration,
    replica: Option<SharedName>,
    prompt: u64,
    output: u64,
}

impl RequestTrace {
    /// A request that began to arrive at `arrived`.
    pub fn new(arrived: Duration) -> Self {
        Self {
            arrived,
            end: Cell::new(None),
            first_content: Cell::new(None),
            attempts: Cell::new(0),
            labels: RefCell::default(),
        }
    }

    /// Notes the request's route.
    pub fn route(&self, request: &RoutedRequest<'_>) {
        let size = request.headers.size.unwrap_or_default();
        *self.labels.borrow_mut() = Some(TraceLabels {
            service: request.service.clone(),
            route: request.route.name.clone(),
            organisation: request.organisation.clone(),
            priority: request.priority,
            target: request.route.target,
            replica: None,
            prompt: size.prompt,
            output: size.output,
        });
    }

    /// Notes the end of an attempt; all but answers are logged.
    pub fn attempt(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        end: &AttemptOutcome,
        now: Duration,
    ) {
        self.attempts.set(self.attempts.get() + 1);
        if let Some(labels) = self.labels.borrow_mut().as_mut() {
            labels.replica = Some(target.id.clone());
        }
        let (result, detail) = match end {
            AttemptOutcome::Answer(_) => {
                if self.first_content.get().is_none() {
                    self.first_content.set(Some(now));
                }
                return;
            }
            AttemptOutcome::NotSent(reason) => ("not_sent", *reason),
            AttemptOutcome::NotExecuted(_) => ("not_executed", "-"),
            AttemptOutcome::Lost(reason) => ("lost", *reason),
            AttemptOutcome::TimedOut => ("timed_out", "-"),
        };
        log::warn!(
            "event=attempt_failed id={} service={} replica={} attempt={} result={result} \
             age_ms={} detail=\"{detail}\"",
            request.id(),
            request.service,
            target.id,
            self.attempts.get(),
            now.saturating_sub(request.arrived).as_millis()
        );
    }

    /// Notes how the request ended; the first end counts.
    pub fn end(&self, end: RequestEnd) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
        }
    }

    /// Counts and logs the request.
    pub fn settle(
        &self,
        metrics: &GatewayMetrics,
        levels: &LevelLedger,
        id: Option<&str>,
        now: Duration,
    ) {
        let end = self.end.get().unwrap_or(RequestEnd::Broken(0));
        let id = id.unwrap_or("-");
        let elapsed = now.saturating_sub(self.arrived);
        let Some(labels) = self.labels.borrow().clone() else {
            metrics.requests.with_label_values(&["-", "-", end.outcome()]).inc();
            log::info!(
                "event=request_ended id={id} outcome={} detail=\"{}\" total_ms={}",
                end.outcome(),
                end.detail(),
                elapsed.as_millis()
            );
            return;
        };
        let priority = labels.priority.to_string();
        let service = &*labels.service;
        metrics.requests.with_label_values(&[service, &priority, end.outcome()]).inc();
        let result = if matches!(end, RequestEnd::Answered(_)) { "answered" } else { "failed" };
        metrics.attempts.with_label_values(&[service, result]).inc_by(self.attempts.get().into());
        let labelled = [service, &*priority];
        metrics.duration.with_label_values(&labelled).observe(elapsed.as_secs_f64());
        let first = self.first_content.get().map(|at| at.saturating_sub(self.arrived));
        if let Some(first) = first {
            metrics.first_content.with_label_values(&labelled).observe(first.as_secs_f64());
        }
        if let Some(outcome) = end.level(first.is_some_and(|first| first <= labels.target)) {
            levels.count(&labels.route, labels.organisation.as_ref(), outcome);
        }
        log::log!(
            end.log_level(),
            "event=request_ended id={id} outcome={} detail=\"{}\" route={} service={service} \
             organisation={} priority={priority} replica={} attempts={} prompt={} output={} \
             first_ms={} total_ms={}",
            end.outcome(),
            end.detail(),
            labels.route,
            labels.organisation.as_deref().unwrap_or("-"),
            labels.replica.as_deref().unwrap_or("-"),
            self.attempts.get(),
            labels.prompt,
            labels.output,
            first.map_or(-1, |first| first.as_millis() as i64),
            elapsed.as_millis()
        );
    }
}
