//! Metrics and log lines about what clients hold.

use std::cell::RefCell;
use std::time::Duration;

use berylstep_core::collections::HashMap;
use prometheus::{IntCounterVec, IntGauge};

use crate::instruments::InstrumentSet;

/// Event and reason.
type EventKey = (&'static str, &'static str);

/// Events of a kind since their latest log line, and the second of that line.
#[derive(Debug, Default)]
struct EventCount {
    count: u64,
    logged_second: Option<u64>,
}

/// Metrics of the account of clients, see [`crate::gateway::holdings`].
#[derive(Debug)]
pub struct ClientMetrics {
    /// Memory held for clients, in bytes.
    pub held_bytes: IntGauge,
    /// Open connections of clients.
    pub connections: IntGauge,
    refused: IntCounterVec,
    closed: IntCounterVec,
    logged: RefCell<HashMap<EventKey, EventCount>>,
}

impl ClientMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is taken.
    pub fn new(set: &InstrumentSet) -> prometheus::Result<Self> {
        Ok(Self {
            held_bytes: set
                .gauge("berylstep_gateway_client_bytes", "Memory held for clients, in bytes.")?,
            connections: set
                .gauge("berylstep_gateway_client_connections", "Open connections of clients.")?,
            refused: set.counters(
                "berylstep_gateway_clients_refused_total",
                "Connections and requests of clients that were refused, by what ran out.",
                &["reason"],
            )?,
            closed: set.counters(
                "berylstep_gateway_clients_closed_total",
                "Connections that were closed in favour of others, by what ran out.",
                &["reason"],
            )?,
            logged: RefCell::default(),
        })
    }

    /// Counts a connection or a request that is refused.
    pub fn record_refused(&self, reason: &'static str, now: Duration) {
        self.refused.with_label_values(&[reason]).inc();
        self.log("client_refused", reason, now);
    }

    /// Counts a connection that is closed in favour of another one.
    pub fn record_closed(&self, reason: &'static str, now: Duration) {
        self.closed.with_label_values(&[reason]).inc();
        self.log("client_closed", reason, now);
    }

    /// Logs at most one line per event, reason and second.
    fn log(&self, event: &'static str, reason: &'static str, now: Duration) {
        let mut logged = self.logged.borrow_mut();
        let events = logged.entry((event, reason)).or_default();
        events.count += 1;
        let second = Some(now.as_secs());
        if events.logged_second != second {
            log::warn!(
                "event={event} reason={reason} count={} held_bytes={} connections={}",
                events.count,
                self.held_bytes.get(),
                self.connections.get()
            );
            *events = EventCount { count: 0, logged_second: second };
        }
    }
}
