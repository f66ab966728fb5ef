//! Retry budget of a service, divided evenly among the nodes.

use std::collections::VecDeque;
use std::time::Duration;

/// Share of the budget that nodes may spend; the remainder absorbs differences between the request
/// counts of the nodes.
const USABLE_SHARE: f64 = 0.8;

/// Number of buckets in the sliding window.
const WINDOW_BUCKETS: u32 = 10;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, summed over all nodes.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries of one service in the sliding window.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget {
    buckets: VecDeque<BudgetBucket>,
}

#[derive(Clone, Copy, Debug)]
struct BudgetBucket {
    index: u64,
    requests: u32,
    retries: u32,
}

impl SharedBudget {
    /// Records a request.
    pub fn record_request(&mut self, bounds: &BudgetBounds, now: Duration) {
        self.bucket(bounds, now).requests += 1;
    }

    /// Withdraws one retry from this node's share; returns `false` if the share is used up.
    pub fn try_withdraw(&mut self, bounds: &BudgetBounds, nodes: usize, now: Duration) -> bool {
        let granted = self.remaining(bounds, nodes, now) > 0;
        if granted {
            self.bucket(bounds, now).retries += 1;
        }
        granted
    }

    /// Returns the number of retries that remain in this node's share.
    pub fn remaining(&mut self, bounds: &BudgetBounds, nodes: usize, now: Duration) -> u32 {
        self.bucket(bounds, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let share = bounds.extra / nodes.max(1) as f64;
        let allowed = (f64::from(requests) * bounds.ratio + share) * USABLE_SHARE;
        (allowed as u32).saturating_sub(retries)
    }

    /// Returns the bucket of `now`; drops buckets that have left the window.
    fn bucket(&mut self, bounds: &BudgetBounds, now: Duration) -> &mut BudgetBucket {
        let length = (bounds.window / WINDOW_BUCKETS).max(Duration::from_millis(1));
        let index = (now.as_millis() / length.as_millis()) as u64;
        while self.buckets.front().is_some_and(|b| b.index + u64::from(WINDOW_BUCKETS) <= index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index != index) {
            self.buckets.push_back(BudgetBucket { index, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("the window contains the current bucket")
    }
}
