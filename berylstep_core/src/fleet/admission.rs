//! Admission of requests at a node while the replicas of their service have too little room.

use std::time::Duration;

/// Room of a service as a node knows it, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceRoom {
    /// Slots of the replicas that accept requests.
    pub slots: u32,
    /// Requests in progress at these replicas.
    pub requests: u32,
    /// Requests that end per second, over all nodes; 0 if unknown.
    pub ended_per_second: f64,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionAsk {
    /// Tier of the request; 0 comes first.
    pub tier: u8,
    /// Hash of its organisation; 0 without one.
    pub organisation: u64,
    /// Time by which it meets its objective.
    pub objective: Duration,
    /// Time by which its response must be complete.
    pub deadline: Duration,
    /// Its work, in the unit of [`crate::fleet::choice::RequestSize::work`].
    pub work: u64,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionVerdict {
    /// It may be placed now.
    Admitted,
    /// It waits at this node; it is decided again after at most this time.
    Waits(Duration),
    /// It is refused, and may come back after this time.
    Refused(Duration),
}
