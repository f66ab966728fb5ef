//! Cold replicas: processes that have just started and take few requests per second, from all nodes together.

use std::time::Duration;

use crate::fleet::limits::ProcessId;

/// Bounds on the requests to a cold replica, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate that a cold replica tolerates.
    pub overage: f64,
    /// Requests in any second beyond that.
    pub slack: f64,
}

/// What is known of a cold replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdNotice {
    /// Process of the replica.
    pub process: ProcessId,
    /// Requests per second that it tolerates.
    pub per_second: f64,
    /// Time at which it is no longer cold.
    pub until: Duration,
}
