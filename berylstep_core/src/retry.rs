//! Retry budget of a pool: a fraction of its recent successes.

use std::time::Duration;

/// Retries earned by one success.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Most retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Retries earned by time alone, a second, so that a pool with little traffic can retry.
const RETRIES_PER_SECOND: f64 = 1.0;

/// Retries that time alone can save up.
const MAX_TIMED_RETRIES: f64 = 5.0;

/// Retries that a pool may make at the moment.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
    refilled: Duration,
}

impl RetryBudget {
    /// Starts a budget at the time `now`.
    pub fn new(now: Duration) -> Self {
        Self { saved: MAX_TIMED_RETRIES, refilled: now }
    }

    /// Notes a request that succeeded.
    pub fn observe_success(&mut self) {
        self.saved = (self.saved + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry out of the budget; `false` means that the request may not be retried.
    pub fn try_withdraw(&mut self, now: Duration) -> bool {
        self.refill(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        if self.saved < MAX_TIMED_RETRIES {
            let earned = elapsed * RETRIES_PER_SECOND;
            self.saved = (self.saved + earned).min(MAX_TIMED_RETRIES);
        }
    }
}
