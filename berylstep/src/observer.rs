//! What becomes of one request, for metrics, the burn report and the log.

use std::sync::Arc;
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
enum RequestOutcome {
    Answered,
    Refused(&'static str, u16),
    Broken,
    CallerLeft,
}

/// Watches one request from its arrival; dropped without an end, the caller left.
pub struct RequestObserver {
    node: Arc<NodeContext>,
    class: Arc<ClassEntity>,
    organisation: SharedName,
    request: SharedName,
    upstream: SharedName,
    started: Duration,
    first_byte: Option<Duration>,
    outcome: RequestOutcome,
}

impl RequestObserver {
    /// Begins when the request has arrived.
    pub fn start(
        node: Arc<NodeContext>,
        class: Arc<ClassEntity>,
        organisation: SharedName,
    ) -> Self {
        let started = node.clock.now();
        Self {
            node,
            class,
            organisation,
            request: "-".into(),
            upstream: "-".into(),
            started,
            first_byte: None,
            outcome: RequestOutcome::CallerLeft,
        }
    }

    /// Notes the identifier and the upstream of the present attempt.
    pub fn attempt(&mut self, request: &SharedName, upstream: &SharedName) {
        self.request = request.clone();
        self.upstream = upstream.clone();
    }

    /// Notes a failed attempt at an upstream of `pool`.
    pub fn failed_attempt(&self, pool: &str) {
        self.node.metrics.failed_attempts.with_label_values(&[pool]).inc();
    }

    /// Notes the first byte of the answer's body.
    pub fn first_byte(&mut self) {
        self.first_byte.get_or_insert_with(|| self.node.clock.now());
    }

    /// Ends with a whole answer of `output_tokens`.
    pub fn finish(mut self, output_tokens: u64) {
        self.first_byte();
        self.node
            .metrics
            .output_tokens
            .with_label_values(&[&*self.class.name])
            .inc_by(output_tokens);
        self.outcome = RequestOutcome::Answered;
    }

    /// Ends with a refusal.
    pub fn refuse(mut self, refusal: &RequestRefusal) {
        self.outcome = RequestOutcome::Refused(refusal.reason.code(), refusal.reason.status());
    }

    /// Ends with an answer that broke off.
    pub fn break_off(mut self) {
        self.outcome = RequestOutcome::Broken;
    }

    /// Whether the request counts for its class's target, and how.
    ///
    /// The caller's own errors do not count, nor does a caller that left while there was time.
    fn target_outcome(&self) -> Option<TargetOutcome> {
        let target = Duration::from_millis(self.class.latency_ms);
        let latency = self.first_byte.unwrap_or_else(|| self.node.clock.now()) - self.started;
        let in_time = latency <= target;
        match self.outcome {
            RequestOutcome::Answered if in_time => Some(TargetOutcome::Met),
            RequestOutcome::Refused(_, status) if status < SERVER_ERROR => None,
            RequestOutcome::CallerLeft if in_time => None,
            _ => Some(TargetOutcome::Missed),
        }
    }
}

impl Drop for RequestObserver {
    fn drop(&mut self) {
        let outcome = match self.outcome {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Refused(code, _) => code,
            RequestOutcome::Broken => "broken",
            RequestOutcome::CallerLeft => "caller_left",
        };
        let class = &*self.class.name;
        let metrics = &self.node.metrics;
        metrics.requests.with_label_values(&[class, outcome]).inc();
        let now = self.node.clock.now();
        if let Some(first_byte) = self.first_byte {
            let latency = (first_byte - self.started).as_secs_f64();
            metrics.first_byte.with_label_values(&[class]).observe(latency);
        }
        if let Some(target) = self.target_outcome() {
            let result = match target {
                TargetOutcome::Met => "met",
                TargetOutcome::Missed => "missed",
            };
            metrics.targets.with_label_values(&[class, result]).inc();
            self.node.burn.record(now, &self.class.name, target);
        }
        log::info!(
            "request: id={} class={class} organisation={} upstream={} outcome={outcome} \
             first_byte_ms={} total_ms={}",
            self.request,
            self.organisation,
            self.upstream,
            self.first_byte.map_or(-1, |at| (at - self.started).as_millis() as i64),
            (now - self.started).as_millis(),
        );
    }
}
