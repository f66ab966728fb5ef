//! Metrics about cold replicas and evacuated zones.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Result};

use crate::instruments::InstrumentSet;

/// Why a request is not sent to the replica that was selected for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithheldCause {
    /// The zone of the replica is evacuated.
    Evacuated,
    /// The replica has become cold since.
    NoTurn,
    /// Its turn at the cold replica was not used in time.
    LateTurn,
}

impl WithheldCause {
    /// Returns the name of the cause in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Evacuated => "zone_evacuated",
            Self::NoTurn => "replica_became_cold",
            Self::LateTurn => "turn_too_old",
        }
    }
}

/// Metrics of one gateway about cold replicas and evacuated zones.
#[derive(Debug)]
pub struct ColdMetrics {
    /// Number of replicas that count as cold.
    pub cold_replicas: IntGauge,
    /// Number of evacuated zones.
    pub evacuated_zones: IntGauge,
    attempts: IntCounter,
    withheld: IntCounterVec,
}

impl ColdMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is taken.
    pub fn new(set: &InstrumentSet) -> Result<Self> {
        Ok(Self {
            cold_replicas: set.gauge(
                "berylstep_gateway_cold_replicas",
                "Replicas that count as cold at this node.",
            )?,
            evacuated_zones: set.gauge(
                "berylstep_gateway_evacuated_zones",
                "Zones that the operator has asked to evacuate.",
            )?,
            attempts: set.counter(
                "berylstep_gateway_cold_attempts_total",
                "Requests that this node has sent to cold replicas.",
            )?,
            withheld: set.counters(
                "berylstep_gateway_withheld_requests_total",
                "Requests that were not sent to the replica selected for them, by service and cause.",
                &["service", "cause"],
            )?,
        })
    }

    /// Counts a request that is sent to a cold replica.
    pub fn record_attempt(&self) {
        self.attempts.inc();
    }

    /// Counts a request that is not sent to the replica that was selected for it.
    pub fn record_withheld(&self, service: &str, cause: WithheldCause) {
        self.withheld.with_label_values(&[service, cause.label()]).inc();
    }
}
