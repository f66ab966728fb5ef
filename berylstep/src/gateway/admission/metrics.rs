//! Metrics of admission.

use prometheus::{IntCounterVec, Result};

use crate::instruments::InstrumentSet;

/// What became of requests that asked for admission.
#[derive(Debug)]
pub struct AdmissionMetrics {
    decisions: IntCounterVec,
    refusals: IntCounterVec,
}

/// Decision that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedDecision {
    /// The request was admitted, at once or after it waited.
    Admitted,
    /// The request waited at this node. It is counted once more when it is admitted or refused.
    Waited,
    /// The request was refused.
    Refused,
}

impl CountedDecision {
    fn label(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::Waited => "waited",
            Self::Refused => "refused",
        }
    }
}

impl AdmissionMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is taken.
    pub fn new(set: &InstrumentSet) -> Result<Self> {
        Ok(Self {
            decisions: set.counters(
                "berylstep_gateway_admissions_total",
                "Requests that asked for admission, by service, tier and decision.",
                &["service", "tier", "decision"],
            )?,
            refusals: set.counters(
                "berylstep_gateway_admission_refusals_total",
                "Requests that were refused on admission, by service and reason.",
                &["service", "reason"],
            )?,
        })
    }

    /// Counts a decision on a request.
    pub fn record_decision(&self, service: &str, tier: u8, decision: CountedDecision) {
        let labels = [service, &tier.to_string(), decision.label()];
        self.decisions.with_label_values(&labels).inc();
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, service: &str, reason: &str) {
        self.refusals.with_label_values(&[service, reason]).inc();
    }
}
