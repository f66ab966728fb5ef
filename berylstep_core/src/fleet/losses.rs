//! Requests whose answers were lost, kept until it is known whether they ran.
//!
//! If the replica answers another request shortly after the loss, the request counts as run. A
//! replica that stops answering has ended, in most cases before it started its queued requests.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Time after a lost answer within which the replica must answer another request. A replica that
/// failed is avoided for up to 4 s, usually for less than 2 s.
const RESOLUTION_TIME: Duration = Duration::from_secs(3);

/// A request whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostResponse {
    /// Organisation of the caller.
    pub organisation: SharedName,
    /// Usage window in which it was sent.
    pub window: u64,
    /// Time at which the answer was lost.
    pub at: Duration,
}

/// Unresolved lost answers by replica.
#[derive(Clone, Debug, Default)]
pub struct LossTable {
    rows: HashMap<SharedName, Vec<LostResponse>>,
}

impl LossTable {
    /// Records the loss of an answer of `replica` and drops entries that are too old to resolve.
    pub fn record_lost(&mut self, replica: &SharedName, lost: LostResponse) {
        let now = lost.at;
        self.rows.retain(|_, losses| {
            losses.retain(|old| is_unresolved(old, now));
            !losses.is_empty()
        });
        self.rows.entry(replica.clone()).or_default().push(lost);
    }

    /// Records an answer of `replica`; returns the lost answers whose requests therefore ran.
    pub fn record_response(&mut self, replica: &str, now: Duration) -> Vec<LostResponse> {
        let mut losses = self.rows.remove(replica).unwrap_or_default();
        losses.retain(|lost| is_unresolved(lost, now));
        losses
    }
}

fn is_unresolved(lost: &LostResponse, now: Duration) -> bool {
    now.saturating_sub(lost.at) <= RESOLUTION_TIME
}
