//! Requests whose responses were lost, retained until it is known whether they ran.
//!
//! If the replica responds to another request shortly after the loss, the request counts as run. A
//! replica that stops responding has ended, in most cases before it started its queued requests.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Time after a lost response within which the replica must respond to another request. A replica
/// that failed is avoided for up to 4 s, usually for less than 2 s.
const RESOLUTION_TIME: Duration = Duration::from_secs(3);

/// A request whose response was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostResponse {
    /// Organisation of the caller.
    pub organisation: SharedName,
    /// Usage window in which it arrived.
    pub window: u64,
    /// Time at which the response was lost.
    pub at: Duration,
}

/// Unresolved lost responses by replica.
#[derive(Clone, Debug, Default)]
pub struct LossTable {
    rows: HashMap<SharedName, Vec<LostResponse>>,
}

impl LossTable {
    /// Records the loss of a response of `replica` and drops entries that are too old to resolve.
    pub fn record_lost(&mut self, replica: &SharedName, lost: LostResponse) {
        let now = lost.at;
        self.rows.retain(|_, losses| {
            losses.retain(|old| is_unresolved(old, now));
            !losses.is_empty()
        });
        self.rows.entry(replica.clone()).or_default().push(lost);
    }

    /// Records a response of `replica`; returns the lost responses whose requests therefore ran.
    pub fn record_response(&mut self, replica: &str, now: Duration) -> Vec<LostResponse> {
        let mut losses = self.rows.remove(replica).unwrap_or_default();
        losses.retain(|lost| is_unresolved(lost, now));
        losses
    }
}

fn is_unresolved(lost: &LostResponse, now: Duration) -> bool {
    now.saturating_sub(lost.at) <= RESOLUTION_TIME
}
