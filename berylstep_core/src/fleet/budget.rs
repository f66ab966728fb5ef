//! Retry budget of a service, of which each node may use its share.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the budget that is used; the rest covers requests that nodes count differently.
const USED_SHARE: f64 = 0.8;

/// Buckets in one window of the budget.
const BUCKETS: u32 = 10;

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, at all nodes together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and repeats of one service within the window.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget {
    buckets: VecDeque<BudgetBucket>,
}

#[derive(Clone, Copy, Debug)]
struct BudgetBucket {
    index: u64,
    requests: u32,
    repeats: u32,
}

impl SharedBudget {
    /// Counts a request.
    pub fn note_request(&mut self, bounds: &BudgetBounds, now: Duration) {
        self.bucket(bounds, now).requests += 1;
    }

    /// Takes one repeat out of this node's share; `false` means that there is none left.
    pub fn try_withdraw(&mut self, bounds: &BudgetBounds, nodes: usize, now: Duration) -> bool {
        let granted = self.remaining(bounds, nodes, now) > 0;
        if granted {
            self.bucket(bounds, now).repeats += 1;
        }
        granted
    }

    /// Repeats that are left of this node's share.
    pub fn remaining(&mut self, bounds: &BudgetBounds, nodes: usize, now: Duration) -> u32 {
        self.bucket(bounds, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = bounds.extra / nodes.max(1) as f64;
        let allowed = (f64::from(requests) * bounds.ratio + share) * USED_SHARE;
        (allowed as u32).saturating_sub(repeats)
    }

    /// Bucket of `now`; drops those that left the window.
    fn bucket(&mut self, bounds: &BudgetBounds, now: Duration) -> &mut BudgetBucket {
        let length = (bounds.window / BUCKETS).max(Duration::from_millis(1));
        let index = (now.as_millis() / length.as_millis()) as u64;
        while self.buckets.front().is_some_and(|b| b.index + u64::from(BUCKETS) <= index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index != index) {
            self.buckets.push_back(BudgetBucket { index, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed")
    }
}
