//! Records the outcome of each request in the metrics, the burn report and the log.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylstep_core::burn::TargetOutcome;
use berylstep_core::collections::SharedName;
use berylstep_core::config::ClassEntity;
use berylstep_core::refusal::RequestRefusal;

use crate::node::NodeContext;

/// Lowest HTTP status of a refusal that counts as a failure of the site.
const SERVER_ERROR: u16 = 500;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller received the whole response.
    Answered,
    /// The caller received the whole response, which is a server error of the upstream.
    UpstreamError,
    /// The request was refused, with this error code and HTTP status.
    Refused(&'static str, u16),
    /// The response broke before its end.
    Broken,
    /// The key was withdrawn during the response.
    Withdrawn,
    /// The caller disconnected before the end of the response.
    CallerLeft,
}

impl RequestOutcome {
    /// Returns the outcome of a refused request.
    pub fn refused(refusal: &RequestRefusal) -> Self {
        Self::Refused(refusal.reason.code(), refusal.reason.status())
    }

    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::UpstreamError => "upstream_error",
            Self::Refused(code, _) => code,
            Self::Broken => "broken",
            Self::Withdrawn => "withdrawn",
            Self::CallerLeft => "caller_left",
        }
    }

    /// Returns whether the request met or missed its class's target; `None` if it doesn't count.
    ///
    /// Errors of the caller, withdrawn keys and callers that disconnected within the latency target
    /// don't count.
    fn target_outcome(self, in_time: bool) -> Option<TargetOutcome> {
        match self {
            Self::Answered if in_time => Some(TargetOutcome::Met),
            Self::CallerLeft if in_time => None,
            Self::Withdrawn => None,
            Self::Refused(_, status) if status < SERVER_ERROR => None,
            Self::Answered
            | Self::UpstreamError
            | Self::Refused(..)
            | Self::Broken
            | Self::CallerLeft => Some(TargetOutcome::Missed),
        }
    }
}

/// Records the progress of one request; reports the last recorded outcome once all clones are
/// dropped.
#[derive(Clone)]
pub struct RequestObserver {
    observed: Arc<ObservedRequest>,
}

struct ObservedRequest {
    node: Arc<NodeContext>,
    class: Arc<ClassEntity>,
    organisation: SharedName,
    started: Duration,
    progress: Mutex<RequestProgress>,
}

struct RequestProgress {
    request: SharedName,
    upstream: SharedName,
    first_byte: Option<Duration>,
    output_tokens: u64,
    outcome: RequestOutcome,
}

impl RequestObserver {
    /// Starts observing a request on its arrival. Until an outcome is recorded, it is
    /// [`RequestOutcome::CallerLeft`].
    pub fn start(
        node: Arc<NodeContext>,
        class: Arc<ClassEntity>,
        organisation: SharedName,
    ) -> Self {
        let started = node.clock.now();
        let progress = Mutex::new(RequestProgress {
            request: "-".into(),
            upstream: "-".into(),
            first_byte: None,
            output_tokens: 0,
            outcome: RequestOutcome::CallerLeft,
        });
        Self {
            observed: Arc::new(ObservedRequest { node, class, organisation, started, progress }),
        }
    }

    /// Records the request id and the upstream of the attempt whose response the caller receives.
    pub fn record_attempt(&self, request: &SharedName, upstream: &SharedName) {
        let mut progress = self.observed.progress();
        progress.request = request.clone();
        progress.upstream = upstream.clone();
    }

    /// Counts a failed attempt at an upstream of `pool`.
    pub fn record_failed_attempt(&self, pool: &str) {
        self.observed.node.metrics.failed_attempts.with_label_values(&[pool]).inc();
    }

    /// Records that part of the body was sent to the caller, and the output tokens so far.
    pub fn record_delivery(&self, output_tokens: u64) {
        let now = self.observed.node.clock.now();
        let mut progress = self.observed.progress();
        progress.first_byte.get_or_insert(now);
        progress.output_tokens = output_tokens;
    }

    /// Records the outcome of the request, replacing an earlier one.
    pub fn record_outcome(&self, outcome: RequestOutcome) {
        self.observed.progress().outcome = outcome;
    }
}

impl ObservedRequest {
    fn progress(&self) -> MutexGuard<'_, RequestProgress> {
        self.progress.lock().expect("progress lock")
    }

    fn count_outcome(&self, now: Duration, progress: &RequestProgress) {
        let class = &*self.class.name;
        let metrics = &self.node.metrics;
        let outcome = progress.outcome;
        metrics.requests.with_label_values(&[class, outcome.label()]).inc();
        metrics.output_tokens.with_label_values(&[class]).inc_by(progress.output_tokens);
        if let Some(first_byte) = progress.first_byte {
            let latency = first_byte - self.started;
            metrics.first_byte.with_label_values(&[class]).observe(latency.as_secs_f64());
        }
        let latency = progress.first_byte.unwrap_or(now) - self.started;
        let in_time = latency <= Duration::from_millis(self.class.latency_ms);
        let Some(target) = outcome.target_outcome(in_time) else { return };
        let result = match target {
            TargetOutcome::Met => "met",
            TargetOutcome::Missed => "missed",
        };
        metrics.targets.with_label_values(&[class, result]).inc();
        self.node.burn.record(now, &self.class.name, target);
    }
}

impl Drop for ObservedRequest {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let progress = self.progress();
        self.count_outcome(now, &progress);
        let first_byte_ms = progress.first_byte.map(|at| (at - self.started).as_millis());
        log::info!(
            "request: id={} class={} organisation={} upstream={} outcome={} first_byte_ms={} \
             total_ms={}",
            progress.request,
            self.class.name,
            self.organisation,
            progress.upstream,
            progress.outcome.label(),
            first_byte_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            (now - self.started).as_millis(),
        );
    }
}
