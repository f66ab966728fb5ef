//! What becomes of one request, for metrics, the burn report and the log.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylstep_core::burn::TargetOutcome;
use berylstep_core::collections::SharedName;
use berylstep_core::config::ClassEntity;
use berylstep_core::refusal::RequestRefusal;

use crate::node::NodeContext;

/// First status of refusals that are the site's fault.
const SERVER_ERROR: u16 = 500;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller has the whole answer.
    Answered,
    /// The caller has the whole answer, which reports an error of the upstream.
    UpstreamError,
    /// The request was refused, with this code and status.
    Refused(&'static str, u16),
    /// The answer broke off.
    Broken,
    /// The key was withdrawn during the answer.
    Withdrawn,
    /// The caller left first.
    CallerLeft,
}

impl RequestOutcome {
    /// Outcome of a refusal.
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

    /// Whether the request counts for its class's target, and how.
    ///
    /// The caller's own errors do not count, nor does a caller that left while there was time.
    fn target(self, in_time: bool) -> Option<TargetOutcome> {
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

/// Watches one request from its arrival; what was noted last counts when all clones are dropped.
#[derive(Clone)]
pub struct RequestObserver {
    record: Arc<ObservedRequest>,
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
    /// Begins when the request has arrived; until an end is noted the caller is taken to have left.
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
        Self { record: Arc::new(ObservedRequest { node, class, organisation, started, progress }) }
    }

    /// Notes the identifier and the upstream of the attempt that is answered.
    pub fn note_attempt(&self, request: &SharedName, upstream: &SharedName) {
        let mut progress = self.record.progress();
        progress.request = request.clone();
        progress.upstream = upstream.clone();
    }

    /// Notes a failed attempt at an upstream of `pool`.
    pub fn note_failed_attempt(&self, pool: &str) {
        self.record.node.metrics.failed_attempts.with_label_values(&[pool]).inc();
    }

    /// Notes that bytes of the answer's body went to the caller.
    pub fn note_delivery(&self, output_tokens: u64) {
        let now = self.record.node.clock.now();
        let mut progress = self.record.progress();
        progress.first_byte.get_or_insert(now);
        progress.output_tokens = output_tokens;
    }

    /// Notes how the request ended.
    pub fn note_end(&self, outcome: RequestOutcome) {
        self.record.progress().outcome = outcome;
    }
}

impl ObservedRequest {
    fn progress(&self) -> MutexGuard<'_, RequestProgress> {
        self.progress.lock().expect("progress lock")
    }

    fn count(&self, now: Duration, progress: &RequestProgress) {
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
        let Some(target) = outcome.target(in_time) else { return };
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
        self.count(now, &progress);
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
