//! Metrics of the paces of replicas.

use prometheus::IntGauge;

use crate::instruments::InstrumentSet;

/// Metrics of the paces of replicas.
#[derive(Debug)]
pub struct PaceMetrics {
    /// Number of replicas that are known to be slow.
    pub slow_replicas: IntGauge,
}

impl PaceMetrics {
    /// Registers the metrics.
    pub(super) fn new(set: &InstrumentSet) -> prometheus::Result<Self> {
        let slow_replicas = set.gauge(
            "berylstep_gateway_slow_replicas",
            "Replicas whose work is known to take longer than is usual for their service.",
        )?;
        Ok(Self { slow_replicas })
    }
}
