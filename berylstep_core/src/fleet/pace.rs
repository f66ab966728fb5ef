//! Pace of replicas: how long work takes at each of them at present, relative to the others of its service.
//!
//! A pace of 1 is the usual one of the service; work at a pace of 2 takes twice as long.

use std::time::Duration;

use crate::collections::HashMap;
use crate::fleet::limits::ProcessId;

/// What a response says about the load of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadStatement {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
    /// Pace at the moment of the response; `None` if the replica doesn't state it.
    pub pace: Option<f64>,
}

/// Paces of replicas, as this node knows them.
#[derive(Debug, Default)]
pub struct PaceLedger {
    stated: HashMap<u32, (ProcessId, f64, Duration)>,
}

impl PaceLedger {
    /// Records what the response to a request that was sent at `sent_at` says about its replica.
    pub fn observe_statement(
        &mut self,
        process: ProcessId,
        statement: LoadStatement,
        _sent_at: Duration,
        now: Duration,
    ) {
        if let Some(pace) = statement.pace {
            self.stated.insert(process.replica, (process, pace, now));
        }
    }

    /// Returns the pace that a request which is sent now is expected to meet; 1 if nothing is known.
    pub fn expected_pace(&self, _process: ProcessId, _now: Duration) -> f64 {
        1.0
    }

    /// Returns whether some replica has stated its pace.
    pub fn has_statements(&self) -> bool {
        !self.stated.is_empty()
    }
}
