//! Times at which refused requests may come back.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::collections::HashMap;

/// Part of the completions that is promised to requests which come back; the rest is for new ones.
const PROMISED_SHARE: f64 = 0.5;

/// Part of the time that a caller has left for which it honours `Retry-After`.
const WAITED_SHARE: f64 = 1.0 / 3.0;

/// Shortest time after which a refused request comes back; it costs a connection to the caller.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);

/// Time before the promised one at which a request still counts as in time; `Retry-After` is rounded.
const ROUNDING: Duration = Duration::from_millis(2);

/// Time after the promised one for which a request is recognised.
const RECOGNITION_TIME: Duration = Duration::from_secs(4);

/// Refused requests that are remembered at most.
const MAX_REMEMBERED: usize = 4096;

/// Part of the golden ratio whose multiples are spread evenly between 0 and 1.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// When a refused request came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnKind {
    /// At the promised time or later.
    InTime,
    /// Before it.
    Early,
}

/// A refused request that is told when to come back.
#[derive(Clone, Copy, Debug)]
pub struct PromiseQuery {
    /// Tier of the request.
    pub tier: u8,
    /// Hash by which it is recognised; 0 if it can't be.
    pub identity: u64,
    /// Time until there is room for it, if nobody else comes back.
    pub wait: Duration,
    /// This node's part of the requests that end per second.
    pub per_second: f64,
    /// Time that its caller has left.
    pub time_left: Duration,
}

/// Promises of this node.
#[derive(Debug, Default)]
pub struct PromiseBook {
    /// Promised times by tier, each ascending in the order of the refusals or nearly so.
    due: BTreeMap<u8, VecDeque<Duration>>,
    refused: HashMap<u64, Duration>,
    given: u64,
}

impl PromiseBook {
    /// Recognises a request that comes back. A promise is kept once; an early return leaves it in place.
    pub fn recognise(&mut self, identity: u64, now: Duration) -> Option<ReturnKind> {
        let due = *self.refused.get(&identity)?;
        if now + ROUNDING < due {
            return Some(ReturnKind::Early);
        }
        self.refused.remove(&identity);
        (now < due + RECOGNITION_TIME).then_some(ReturnKind::InTime)
    }

    /// Returns the time after which a refused request may come back, and sets its capacity aside.
    pub fn promise(&mut self, query: &PromiseQuery, now: Duration) -> Duration {
        self.expire_due(now);
        let ahead: usize = self.due.range(..=query.tier).map(|(_, due)| due.len()).sum();
        let rate = query.per_second * PROMISED_SHARE;
        let wait = query.wait.as_secs_f64() + (ahead + 1) as f64 / rate.max(f64::MIN_POSITIVE);
        let latest = query.time_left.mul_f64(WAITED_SHARE);
        self.given += 1;
        let retry_after = match wait <= latest.as_secs_f64() {
            true => Duration::from_secs_f64(wait),
            false => latest.mul_f64(self.late_part(query.tier)),
        };
        let retry_after = retry_after.max(SHORTEST_RETRY).min(latest);
        self.due.entry(query.tier).or_default().push_back(now + retry_after);
        if query.identity != 0 && self.refused.len() < MAX_REMEMBERED {
            self.refused.insert(query.identity, now + retry_after);
        }
        retry_after
    }

    /// Returns the rest of the time that was promised to a request which came back early.
    pub fn remaining(&self, query: &PromiseQuery, now: Duration) -> Duration {
        let due = self.refused.get(&query.identity).copied().unwrap_or_default();
        let latest = query.time_left.mul_f64(WAITED_SHARE);
        due.saturating_sub(now).max(SHORTEST_RETRY).min(latest)
    }

    /// Drops what can no longer be recognised.
    pub fn expire(&mut self, now: Duration) {
        self.refused.retain(|_, due| now < *due + RECOGNITION_TIME);
        self.expire_due(now);
    }

    fn expire_due(&mut self, now: Duration) {
        for due in self.due.values_mut() {
            due.retain(|at| *at > now);
        }
        self.due.retain(|_, due| !due.is_empty());
    }

    /// Returns the part of the longest wait after which a request comes back whose turn would be later than
    /// that. Turns beyond it are spread evenly, and follow those of more urgent tiers.
    fn late_part(&self, tier: u8) -> f64 {
        let spread = (self.given as f64 * GOLDEN_STEP).fract();
        match self.due.range(..tier).next() {
            Some(_) => 0.75 + 0.25 * spread,
            None => 0.5 + 0.5 * spread,
        }
    }
}
