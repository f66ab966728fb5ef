//! Metrics of a node, in the Prometheus text format.

use std::time::Duration;

use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use crate::instruments::InstrumentSet;
use crate::node::NodeContext;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.01, 0.025, 0.05, 0.1, 0.2, 0.44, 0.7, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0];

/// Metrics of a node, registered under their exported names.
#[derive(Debug)]
pub struct NodeMetrics {
    instruments: InstrumentSet,
    /// Counts ended requests, by class and outcome.
    pub requests: IntCounterVec,
    /// Observes the time from arrival to the first byte of the answer, in seconds, by class.
    pub first_byte: HistogramVec,
    /// Counts ended requests, by class and by whether they met the class's latency target.
    pub targets: IntCounterVec,
    /// Counts failed attempts at upstreams, by pool.
    pub failed_attempts: IntCounterVec,
    /// Counts output tokens delivered to callers, by class.
    pub output_tokens: IntCounterVec,
    /// Counts refused peer links.
    pub rejected_peers: IntCounter,
    in_flight: IntGauge,
    live_members: IntGauge,
    config_version: IntGauge,
    store_age: IntGauge,
    isolated: IntGauge,
    class_target: IntGaugeVec,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new().expect("metric names and labels are valid")
    }
}

impl NodeMetrics {
    fn new() -> prometheus::Result<Self> {
        let set = InstrumentSet::default();
        let requests = set.counters(
            "berylstep_requests_total",
            "Ended requests by class and outcome.",
            &["class", "outcome"],
        )?;
        let targets = set.counters(
            "berylstep_targets_total",
            "Ended requests by class and whether they met its target.",
            &["class", "result"],
        )?;
        let failed_attempts = set.counters(
            "berylstep_failed_attempts_total",
            "Attempts at upstreams that failed, by pool.",
            &["pool"],
        )?;
        let output_tokens = set.counters(
            "berylstep_output_tokens_total",
            "Output tokens delivered, by class.",
            &["class"],
        )?;
        let first_byte = set.histograms(
            "berylstep_first_byte_seconds",
            "Time from arrival to the first byte of the answer, by class.",
            &["class"],
            LATENCY_BUCKETS,
        )?;
        let rejected_peers =
            set.counter("berylstep_rejected_peers_total", "Peer links turned away.")?;
        let class_target =
            set.gauges("berylstep_class_target_ms", "Latency target of a class.", &["class"])?;
        Ok(Self {
            requests,
            first_byte,
            targets,
            failed_attempts,
            output_tokens,
            rejected_peers,
            in_flight: set.gauge("berylstep_in_flight", "Requests in progress.")?,
            live_members: set
                .gauge("berylstep_live_members", "Nodes that live, this one included.")?,
            config_version: set
                .gauge("berylstep_config_version", "Configuration version in force.")?,
            store_age: set.gauge(
                "berylstep_store_age_ms",
                "Time since the table service last answered; -1 before its first answer.",
            )?,
            isolated: set.gauge(
                "berylstep_isolated",
                "1 where keyed work is refused for want of contact with table service and peers.",
            )?,
            class_target,
            instruments: set,
        })
    }

    /// Updates the gauges and renders all metrics in the text format.
    pub fn render(&self, node: &NodeContext) -> String {
        self.update_gauges(node);
        self.instruments.render()
    }

    fn update_gauges(&self, node: &NodeContext) {
        self.in_flight.set(node.in_flight().into());
        self.live_members.set(node.members().live(node.clock.now()).count() as i64);
        let age_ms = |age: Duration| age.as_millis() as i64;
        self.store_age.set(node.store_age().map_or(-1, age_ms));
        self.isolated.set(node.is_isolated().into());
        let config = node.config.read().expect("config lock");
        self.config_version.set(config.version() as i64);
        self.class_target.reset();
        for class in config.classes() {
            self.class_target.with_label_values(&[&*class.name]).set(class.latency_ms as i64);
        }
    }
}
