//! Metrics of a gateway, and the log line and metrics of each request.

pub mod pace;

use std::cell::{Cell, RefCell};
use std::time::Duration;

use berylstep_core::burn::TargetOutcome;
use berylstep_core::collections::SharedName;
use berylstep_core::fleet::turns::TurnAnswer;
use berylstep_http::BodyFraming;
use prometheus::{HistogramVec, IntCounterVec, IntGauge, IntGaugeVec};

use crate::gateway::admission::metrics::AdmissionMetrics;
use crate::gateway::attempt::{AttemptOutcome, ReplicaTarget};
use crate::gateway::hedge_metrics::HedgeMetrics;
use crate::gateway::quarantine::key_list;
use crate::gateway::request::RoutedRequest;
use crate::gateway::service_level::ServiceLevels;
use crate::gateway::telemetry::pace::PaceMetrics;
use crate::gateway::transfer_metrics::TransferMetrics;
use crate::instruments::InstrumentSet;

/// Upper bounds of latency buckets in seconds, which include the usual latency targets.
const LATENCY_BUCKETS: &[f64] =
    &[0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0];

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A replica's complete response was relayed, with this status.
    Answered(u16),
    /// The request was invalid or not allowed.
    Rejected(&'static str),
    /// The request did not run.
    Refused(&'static str),
    /// The request may have run, but its response is lost.
    Lost(&'static str),
    /// No response arrived before the deadline.
    TimedOut,
    /// The response was cut short after this many events.
    Broken(u64),
    /// The caller disconnected.
    CallerLeft,
}

impl RequestOutcome {
    fn label(self) -> &'static str {
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

    /// Returns whether the request met its latency target. Requests that the caller gave up or that
    /// were rejected count as neither met nor missed.
    fn target_outcome(self, is_in_time: bool) -> Option<TargetOutcome> {
        match self {
            Self::Answered(status) if status < 500 && is_in_time => Some(TargetOutcome::Met),
            Self::Rejected(_) | Self::CallerLeft => None,
            _ => Some(TargetOutcome::Missed),
        }
    }

    /// Returns the level of the log line. Failures are warnings, for which the log reserves part of
    /// its line budget.
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
    streams: IntCounterVec,
    resumed_streams: IntCounterVec,
    streams_not_resumed: IntCounterVec,
    handovers: IntCounterVec,
    limited_attempts: IntCounterVec,
    turns: IntCounterVec,
    slots: IntCounterVec,
    brittle_rejections: IntCounterVec,
    first_content: HistogramVec,
    duration: HistogramVec,
    /// Number of requests in progress.
    pub open_requests: IntGauge,
    /// Number of other nodes whose pulses still arrive.
    pub live_peers: IntGauge,
    /// Version of the desired state in force.
    pub desired_version: IntGauge,
    /// Number of replicas that accept requests.
    pub ready_replicas: IntGauge,
    /// Fencing token of the duty lease, or 0 if another node holds the lease.
    pub duty_fencing: IntGauge,
    /// Milliseconds since the store last responded, or -1 if it never did.
    pub store_age: IntGauge,
    /// Number of replicas that have named a limit.
    pub limited_replicas: IntGauge,
    /// Number of groups of prompt parts that are refused because they crash replicas.
    pub quarantined_prompts: IntGauge,
    /// Decisions on admission.
    pub admission: AdmissionMetrics,
    retry_budget: IntGaugeVec,
    /// Metrics of the paces of replicas.
    pub pace: PaceMetrics,
    /// Counters of hedged requests.
    pub hedges: HedgeMetrics,
    /// Metrics of the transfer of state between nodes.
    pub transfers: TransferMetrics,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new().expect("metric names and labels are valid")
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
            streams: set.counters(
                "berylstep_gateway_streams_total",
                "Ended responses of replicas to streams, by service, framing and end.",
                &["service", "framing", "end"],
            )?,
            resumed_streams: set.counters(
                "berylstep_gateway_resumed_streams_total",
                "Streams that went on at a replica, by service, cause and version of its software.",
                &["service", "cause", "version"],
            )?,
            streams_not_resumed: set.counters(
                "berylstep_gateway_streams_not_resumed_total",
                "Streams that callers took up and that could not go on, by service and reason.",
                &["service", "reason"],
            )?,
            handovers: set.counters(
                "berylstep_gateway_handovers_total",
                "Requests that this node offered to another one, by service and result.",
                &["service", "result"],
            )?,
            limited_attempts: set.counters(
                "berylstep_gateway_limited_attempts_total",
                "Attempts at replicas that this node knew to have named a limit, by service.",
                &["service"],
            )?,
            turns: set.counters(
                "berylstep_gateway_turns_total",
                "Turns at limited replicas that this node asked for, by service and result.",
                &["service", "result"],
            )?,
            slots: set.counters(
                "berylstep_gateway_slots_total",
                "Slots of brittle replicas that this node asked for, by service and result.",
                &["service", "result"],
            )?,
            brittle_rejections: set.counters(
                "berylstep_gateway_brittle_rejections_total",
                "Requests that brittle replicas turned away, by service and what this node knew.",
                &["service", "knowledge"],
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
            limited_replicas: set.gauge(
                "berylstep_gateway_limited_replicas",
                "Replicas that have named a limit for their requests.",
            )?,
            quarantined_prompts: set.gauge(
                "berylstep_gateway_quarantined_prompts",
                "Groups of prompt parts that are refused because they crash replicas.",
            )?,
            admission: AdmissionMetrics::new(&set)?,
            retry_budget: set.gauges(
                "berylstep_gateway_retry_budget_left",
                "Repeats that this node may still make now, by service.",
                &["service"],
            )?,
            pace: PaceMetrics::new(&set)?,
            hedges: HedgeMetrics::register(&set)?,
            transfers: TransferMetrics::register(&set)?,
            instruments: set,
        })
    }

    /// Counts and logs a stream that goes on at a replica.
    pub fn record_resumed(&self, request: &RoutedRequest<'_>, resumption: Resumption<'_>) {
        let Resumption { cause, target, began_version } = resumption;
        let version = match began_version {
            Some(began) if *began == *target.version => "same",
            Some(_) => "other",
            None => "unknown",
        };
        let labels = [&*request.service, cause.label(), version];
        self.resumed_streams.with_label_values(&labels).inc();
        log::info!(
            "event=stream_resumed id={} cause={} began={} replica={} version={} began_version={}",
            request.id(),
            cause.label(),
            request.headers.resumes.as_deref().unwrap_or_else(|| request.id()),
            target.id,
            target.version,
            began_version.unwrap_or("-")
        );
    }

    /// Counts and logs a stream that a caller takes up and that can't go on.
    pub fn record_not_resumed(&self, request: &RoutedRequest<'_>, reason: &str) {
        self.streams_not_resumed.with_label_values(&[&*request.service, reason]).inc();
        log::info!(
            "event=stream_not_resumed id={} began={} reason={reason}",
            request.id(),
            request.headers.resumes.as_deref().unwrap_or("-")
        );
    }

    /// Counts and logs a request that was offered to another node.
    pub fn record_handover(
        &self,
        request: &RoutedRequest<'_>,
        peer: &str,
        result: HandoverResult,
        status: u16,
    ) {
        self.handovers.with_label_values(&[&*request.service, result.label()]).inc();
        log::info!(
            "event=request_handed_over id={} service={} peer={peer} result={} status={status}",
            request.id(),
            request.service,
            result.label()
        );
    }

    /// Counts an attempt at a replica that has named a limit.
    pub fn record_limited_attempt(&self, service: &str) {
        self.limited_attempts.with_label_values(&[service]).inc();
    }

    /// Counts a turn that was asked for.
    pub fn record_turn(&self, service: &str, result: TurnResult) {
        self.turns.with_label_values(&[service, result.label()]).inc();
    }

    /// Counts a slot of a brittle replica that was asked for.
    pub fn record_slot(&self, service: &str, is_granted: bool) {
        let result = if is_granted { "granted" } else { "denied" };
        self.slots.with_label_values(&[service, result]).inc();
    }

    /// Counts a request that a brittle replica turned away; `was_known` tells whether this node knew
    /// when it sent the request that the replica is brittle.
    pub fn record_brittle_rejection(&self, service: &str, was_known: bool) {
        let knowledge = if was_known { "known" } else { "unknown" };
        self.brittle_rejections.with_label_values(&[service, knowledge]).inc();
    }

    /// Sets the number of retries that this node may still make for a service.
    pub fn set_retry_budget(&self, service: &str, remaining: u32) {
        self.retry_budget.with_label_values(&[service]).set(remaining.into());
    }

    /// Returns the registry, for the metrics of components.
    pub fn instruments(&self) -> &InstrumentSet {
        &self.instruments
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.instruments.render()
    }
}

/// Why a stream goes on at another replica, or in another attempt of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeCause {
    /// The replica's response broke off.
    Broken,
    /// The run was moved away from its replica.
    Moved,
    /// The caller took the stream up.
    TakenUp,
}

impl ResumeCause {
    fn label(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Moved => "moved",
            Self::TakenUp => "taken_up",
        }
    }
}

/// A stream that goes on at `target`.
#[derive(Clone, Copy, Debug)]
pub struct Resumption<'a> {
    /// Why it goes on there.
    pub cause: ResumeCause,
    /// Replica at which it goes on.
    pub target: &'a ReplicaTarget,
    /// Version of the software that began it, if known.
    pub began_version: Option<&'a str>,
}

/// Result of offering a request to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverResult {
    /// The node responds to it.
    Taken,
    /// The node refuses it; it did not run.
    Refused,
    /// The node can't be reached.
    NotSent,
    /// The request may have run, but its response is lost.
    Lost,
}

impl HandoverResult {
    fn label(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Refused => "refused",
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
        }
    }
}

/// Result of asking for a turn at a limited replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnResult {
    /// A turn was granted.
    Granted,
    /// All turns are taken.
    Denied,
    /// The keeper did not answer in time.
    Unanswered,
}

impl TurnResult {
    /// Returns the result of an ask that was answered.
    pub fn of(answer: TurnAnswer) -> Self {
        match answer {
            TurnAnswer::Granted(_) => Self::Granted,
            TurnAnswer::Denied(_) => Self::Denied,
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied => "denied",
            Self::Unanswered => "unanswered",
        }
    }
}

/// How a replica's response to a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It delivered the whole stream.
    Complete,
    /// Its framing marks the end, but the stream is not whole.
    Truncated,
    /// Its connection failed or stalled.
    Broken,
}

impl StreamEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Truncated => "truncated",
            Self::Broken => "broken",
        }
    }
}

/// What is logged about the last response of a replica to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamReport {
    /// Framing of the response.
    pub framing: BodyFraming,
    /// How it ended.
    pub end: StreamEnd,
    /// Number of events with an identifier that were received from all replicas.
    pub events: u64,
    /// Bytes after the last complete event.
    pub partial_bytes: usize,
}

impl StreamReport {
    fn framing_label(self) -> &'static str {
        match self.framing {
            BodyFraming::Length(_) => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::Unframed => "close",
        }
    }

    /// Returns the fields of the log line, each after a space.
    fn log_fields(self) -> String {
        let (framing, end) = (self.framing_label(), self.end.label());
        let Self { events, partial_bytes, .. } = self;
        format!(" framing={framing} end={end} events={events} partial_bytes={partial_bytes}")
    }
}

/// Collects what is logged and counted for one request.
#[derive(Debug)]
pub struct RequestTrace {
    arrived: Duration,
    desired_version: u64,
    outcome: Cell<Option<RequestOutcome>>,
    is_offered: Cell<bool>,
    first_content: Cell<Option<Duration>>,
    attempts: Cell<u32>,
    stream: Cell<Option<StreamReport>>,
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
    /// Creates the trace of a request whose first byte arrived at `arrived`, and that is handled by this version
    /// of the desired state.
    pub fn new(arrived: Duration, desired_version: u64) -> Self {
        Self {
            arrived,
            desired_version,
            outcome: Cell::new(None),
            is_offered: Cell::new(false),
            first_content: Cell::new(None),
            attempts: Cell::new(0),
            stream: Cell::new(None),
            labels: RefCell::default(),
        }
    }

    /// Records the route, service and organisation of the request.
    pub fn record_route(&self, request: &RoutedRequest<'_>) {
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

    /// Records the result of an attempt and logs failed ones.
    pub fn record_attempt(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        outcome: &AttemptOutcome,
        now: Duration,
    ) {
        self.attempts.set(self.attempts.get() + 1);
        if let Some(labels) = self.labels.borrow_mut().as_mut() {
            labels.replica = Some(target.id.clone());
        }
        let (result, detail) = match outcome {
            AttemptOutcome::Responded(_) => {
                self.record_first_content(now);
                return;
            }
            AttemptOutcome::NotSent(reason) => ("not_sent", *reason),
            AttemptOutcome::NotExecuted(_) => ("not_executed", "-"),
            AttemptOutcome::Lost(reason) => ("lost", *reason),
            AttemptOutcome::TimedOut => ("timed_out", "-"),
        };
        log::warn!(
            "event=attempt_failed id={} service={} replica={} attempt={} result={result} \
             age_ms={} detail=\"{detail}\" parts={} keys={}",
            request.id(),
            request.service,
            target.id,
            self.attempts.get(),
            now.saturating_sub(request.arrived).as_millis(),
            request.headers.parts.join(","),
            key_list(&request.evidence)
        );
    }

    /// Records that the request is about to be sent to a replica or another node, where it may run.
    pub fn record_offer(&self) {
        self.is_offered.set(true);
    }

    /// Returns whether the request may have run.
    pub fn is_offered(&self) -> bool {
        self.is_offered.get()
    }

    /// Returns whether content of a response has arrived.
    pub fn has_content(&self) -> bool {
        self.first_content.get().is_some()
    }

    /// Counts an attempt whose outcome is not used.
    pub fn count_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Records a replica's response to a stream; the last one is logged.
    pub fn record_stream(&self, metrics: &GatewayMetrics, service: &str, report: StreamReport) {
        let labels = [service, report.framing_label(), report.end.label()];
        metrics.streams.with_label_values(&labels).inc();
        self.stream.set(Some(report));
    }

    /// Records that the first content of the response has arrived.
    pub fn record_first_content(&self, now: Duration) {
        if self.first_content.get().is_none() {
            self.first_content.set(Some(now));
        }
    }

    /// Records the outcome of the request. Only the first call has an effect.
    pub fn record_outcome(&self, outcome: RequestOutcome) {
        if self.outcome.get().is_none() {
            self.outcome.set(Some(outcome));
        }
    }

    /// Returns the outcome of the request, if it is recorded.
    pub fn outcome(&self) -> Option<RequestOutcome> {
        self.outcome.get()
    }

    /// Updates the metrics and service levels, and logs the request.
    pub fn finish(
        &self,
        metrics: &GatewayMetrics,
        levels: Option<&ServiceLevels>,
        id: Option<&str>,
        now: Duration,
    ) {
        let outcome = self.outcome.get().unwrap_or(RequestOutcome::Broken(0));
        let id = id.unwrap_or("-");
        let elapsed = now.saturating_sub(self.arrived);
        let Some(labels) = self.labels.borrow().clone() else {
            metrics.requests.with_label_values(&["-", "-", outcome.label()]).inc();
            log::info!(
                "event=request_ended id={id} outcome={} detail=\"{}\" desired={} total_ms={}",
                outcome.label(),
                outcome.detail(),
                self.desired_version,
                elapsed.as_millis()
            );
            return;
        };
        let priority = labels.priority.to_string();
        let service = &*labels.service;
        metrics.requests.with_label_values(&[service, &priority, outcome.label()]).inc();
        let result =
            if matches!(outcome, RequestOutcome::Answered(_)) { "answered" } else { "failed" };
        metrics.attempts.with_label_values(&[service, result]).inc_by(self.attempts.get().into());
        let labelled = [service, &*priority];
        metrics.duration.with_label_values(&labelled).observe(elapsed.as_secs_f64());
        let first = self.first_content.get().map(|at| at.saturating_sub(self.arrived));
        if let Some(first) = first {
            metrics.first_content.with_label_values(&labelled).observe(first.as_secs_f64());
        }
        if let Some(level) =
            outcome.target_outcome(first.is_some_and(|first| first <= labels.target))
        {
            if let Some(levels) = levels {
                levels.count_request(&labels.route, labels.organisation.as_ref(), level);
            }
        }
        log::log!(
            outcome.log_level(),
            "event=request_ended id={id} outcome={} detail=\"{}\" route={} service={service} \
             organisation={} priority={priority} desired={} replica={} attempts={} prompt={} output={} \
             first_ms={} total_ms={}{}",
            outcome.label(),
            outcome.detail(),
            labels.route,
            labels.organisation.as_deref().unwrap_or("-"),
            self.desired_version,
            labels.replica.as_deref().unwrap_or("-"),
            self.attempts.get(),
            labels.prompt,
            labels.output,
            first.map_or(-1, |first| first.as_millis() as i64),
            elapsed.as_millis(),
            self.stream.get().map(StreamReport::log_fields).unwrap_or_default()
        );
    }
}
