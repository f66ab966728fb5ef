//! Registry of metrics and their text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, Result, TextEncoder,
};

/// Registry of a process's metrics, rendered in the Prometheus text format.
///
/// The methods that register a metric return an error if its name or a label is invalid or taken.
#[derive(Debug, Default)]
pub struct InstrumentSet {
    registry: Registry,
}

impl InstrumentSet {
    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a family of counters with labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a family of gauges with labels.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    /// Registers a family of histograms with labels; `buckets` are upper bounds in the metric's unit.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> Result<HistogramVec> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histograms = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }

    /// Renders all metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("metrics are valid and writing to a vector can't fail");
        String::from_utf8_lossy(&text).into_owned()
    }
}
