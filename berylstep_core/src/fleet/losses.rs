//! Requests whose answers were lost, until it shows whether they ran.
//!
//! A replica that answers other requests shortly after an answer of it was lost has run that request
//! as well. One that answers nothing any more has ended, mostly before it began what was waiting.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Time after a lost answer within which the replica must answer another request: a replica that
/// failed is avoided for up to 4 s, mostly for less than 2.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A request whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostAnswer {
    /// Organisation that sent it.
    pub organisation: SharedName,
    /// Usage window in which it was sent.
    pub window: u64,
    /// When the answer was lost.
    pub at: Duration,
}

/// Lost answers by replica.
#[derive(Clone, Debug, Default)]
pub struct LossTable {
    rows: HashMap<SharedName, Vec<LostAnswer>>,
}

impl LossTable {
    /// Notes that an answer of `replica` was lost.
    pub fn note_lost(&mut self, replica: &SharedName, lost: LostAnswer) {
        let now = lost.at;
        self.rows.retain(|_, losses| {
            losses.retain(|old| is_open(old, now));
            !losses.is_empty()
        });
        self.rows.entry(replica.clone()).or_default().push(lost);
    }

    /// Notes that `replica` answered a request; returns the requests that it has run as well.
    pub fn note_answer(&mut self, replica: &str, now: Duration) -> Vec<LostAnswer> {
        let mut losses = self.rows.remove(replica).unwrap_or_default();
        losses.retain(|lost| is_open(lost, now));
        losses
    }
}

fn is_open(lost: &LostAnswer, now: Duration) -> bool {
    now.saturating_sub(lost.at) <= SETTLE_TIME
}
