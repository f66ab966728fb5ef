//! Metrics and log lines of hedged requests.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::hedging::HedgeDenial;
use prometheus::IntCounterVec;

use crate::gateway::request::{RequestHandler, RoutedRequest};
use crate::instruments::InstrumentSet;

/// How a hedge ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeResult {
    /// The second attempt responded first; the other one was cancelled.
    Won,
    /// The first attempt responded first; the other one was cancelled.
    Lost,
    /// The first attempt failed, and the second one has the request.
    Replaced,
    /// The second attempt failed.
    Failed,
    /// The caller left or the deadline passed while both were in progress.
    Abandoned,
}

impl HedgeResult {
    /// Returns the name in the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Replaced => "replaced",
            Self::Failed => "failed",
            Self::Abandoned => "abandoned",
        }
    }

    /// Returns which attempts were cancelled.
    fn cancelled(self) -> &'static [&'static str] {
        match self {
            Self::Won => &["first"],
            Self::Lost => &["second"],
            Self::Replaced | Self::Failed => &[],
            Self::Abandoned => &["first", "second"],
        }
    }
}

/// Counters of hedges.
#[derive(Debug)]
pub struct HedgeMetrics {
    sent: IntCounterVec,
    won: IntCounterVec,
    cancelled: IntCounterVec,
    denied: IntCounterVec,
}

impl HedgeMetrics {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is taken.
    pub fn register(set: &InstrumentSet) -> prometheus::Result<Self> {
        Ok(Self {
            sent: set.counters(
                "berylstep_gateway_hedges_sent_total",
                "Second attempts that were sent while the first had no response, by service.",
                &["service"],
            )?,
            won: set.counters(
                "berylstep_gateway_hedges_won_total",
                "Hedged requests that the second attempt responded to, by service.",
                &["service"],
            )?,
            cancelled: set.counters(
                "berylstep_gateway_hedges_cancelled_total",
                "Attempts of hedged requests that were cancelled, by service and attempt.",
                &["service", "attempt"],
            )?,
            denied: set.counters(
                "berylstep_gateway_hedges_denied_total",
                "Requests without a second attempt, by service and reason.",
                &["service", "reason"],
            )?,
        })
    }

    /// Counts a second attempt.
    pub fn record_sent(&self, service: &str) {
        self.sent.with_label_values(&[service]).inc();
    }

    /// Counts the end of a hedge.
    pub fn record_result(&self, service: &str, result: HedgeResult) {
        if matches!(result, HedgeResult::Won | HedgeResult::Replaced) {
            self.won.with_label_values(&[service]).inc();
        }
        for attempt in result.cancelled() {
            self.cancelled.with_label_values(&[service, attempt]).inc();
        }
    }

    /// Counts a request that is not hedged.
    pub fn record_denied(&self, service: &str, denial: HedgeDenial) {
        let reason = match denial {
            HedgeDenial::Off => "off",
            HedgeDenial::Unknown => "unknown",
            HedgeDenial::Budget => "budget",
            HedgeDenial::Room => "room",
            HedgeDenial::Deadline => "deadline",
            HedgeDenial::Replica => "replica",
            HedgeDenial::Retries => "retries",
        };
        self.denied.with_label_values(&[service, reason]).inc();
    }
}

/// Logs and counts a hedge when it ends. One that is dropped without a result was abandoned by its caller.
pub(super) struct HedgeReport<'a> {
    /// Handler of the request.
    pub(super) handler: &'a RequestHandler,
    /// Hedged request.
    pub(super) request: &'a RoutedRequest<'a>,
    /// Replica of the first attempt.
    pub(super) first: SharedName,
    /// Replica of the second attempt.
    pub(super) second: SharedName,
    /// Time without a response after which the second attempt was sent.
    pub(super) waited: Duration,
    /// Result so far.
    pub(super) result: HedgeResult,
}

impl HedgeReport<'_> {
    /// Sets the result, logs and counts it.
    pub(super) fn finish(mut self, result: HedgeResult) {
        self.result = result;
    }
}

impl Drop for HedgeReport<'_> {
    fn drop(&mut self) {
        let Self { handler, request, first, second, waited, result } = self;
        handler.metrics.hedges.record_result(&request.service, *result);
        log::info!(
            "event=request_hedged id={} service={} first={first} second={second} after_ms={} \
             result={} age_ms={}",
            request.id(),
            request.service,
            waited.as_millis(),
            result.label(),
            handler.clock.now().saturating_sub(request.arrived).as_millis()
        );
    }
}
