//! Metrics of the transfer of state between nodes.

use std::time::Duration;

use berylstep_core::fleet::document_fetch::QueryEnd;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge};

use crate::instruments::InstrumentSet;

/// Upper bounds of the time of a transfer, in seconds.
const TRANSFER_BUCKETS: &[f64] = &[0.01, 0.03, 0.1, 0.3, 0.8, 2.0, 5.0, 12.0];

/// How a query for the state of a peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferResult {
    /// A copy arrived.
    Received,
    /// The peer closed the connection without a copy.
    Empty,
    /// The connection failed, or the copy can't be read.
    Failed,
    /// It took too long.
    TimedOut,
}

impl TransferResult {
    /// Returns the name in the log and in labels.
    pub fn label(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Empty => "empty",
            Self::Failed => "failed",
            Self::TimedOut => "timeout",
        }
    }
}

/// Counters and gauges of the state that this node gets from and gives to peers.
#[derive(Debug)]
pub struct TransferMetrics {
    queries: IntCounterVec,
    seconds: HistogramVec,
    answers_failed: IntCounterVec,
    piece_queries: IntCounterVec,
    /// Bytes of pieces that were received and needed.
    pub piece_bytes_received: IntCounter,
    /// Bytes of pieces that were sent.
    pub piece_bytes_sent: IntCounter,
    /// Desired states that could not be decoded.
    pub rejected: IntCounter,
    /// Newest version of the desired state that a live peer announces.
    pub announced_version: IntGauge,
    /// Milliseconds for which this node has known of a version that it doesn't hold; 0 if there is none.
    pub lag: IntGauge,
}

impl TransferMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is taken.
    pub fn register(set: &InstrumentSet) -> prometheus::Result<Self> {
        Ok(Self {
            queries: set.counters(
                "berylstep_gateway_state_queries_total",
                "Queries for the state of a peer, by result.",
                &["result"],
            )?,
            seconds: set.histograms(
                "berylstep_gateway_state_query_seconds",
                "Time of a query for the state of a peer, by result.",
                &["result"],
                TRANSFER_BUCKETS,
            )?,
            answers_failed: set.counters(
                "berylstep_gateway_state_answers_failed_total",
                "Queries of peers that were not answered, by reason.",
                &["reason"],
            )?,
            piece_queries: set.counters(
                "berylstep_gateway_piece_queries_total",
                "Queries for pieces of a desired state, by result.",
                &["result"],
            )?,
            piece_bytes_received: set.counter(
                "berylstep_gateway_piece_bytes_received_total",
                "Bytes of pieces of a desired state that were received and needed.",
            )?,
            piece_bytes_sent: set.counter(
                "berylstep_gateway_piece_bytes_sent_total",
                "Bytes of pieces of a desired state that were sent.",
            )?,
            rejected: set.counter(
                "berylstep_gateway_desired_rejected_total",
                "Desired states that could not be decoded.",
            )?,
            announced_version: set.gauge(
                "berylstep_gateway_desired_announced_version",
                "Newest version of the desired state that this node holds or a live peer announces.",
            )?,
            lag: set.gauge(
                "berylstep_gateway_desired_lag_milliseconds",
                "Time for which a newer desired state has been announced than this node holds; 0 if none is.",
            )?,
        })
    }

    /// Counts a query for the state of a peer.
    pub fn record_query(&self, result: TransferResult, elapsed: Duration) {
        self.queries.with_label_values(&[result.label()]).inc();
        self.seconds.with_label_values(&[result.label()]).observe(elapsed.as_secs_f64());
    }

    /// Counts a query for pieces.
    pub fn record_piece_query(&self, end: QueryEnd) {
        let result = match end {
            QueryEnd::Answered => "answered",
            QueryEnd::Busy => "busy",
            QueryEnd::Failed => "failed",
        };
        self.piece_queries.with_label_values(&[result]).inc();
    }

    /// Counts a query of a peer that was not answered.
    pub fn record_answer_failed(&self, reason: &str) {
        self.answers_failed.with_label_values(&[reason]).inc();
    }
}
