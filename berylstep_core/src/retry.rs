//! Retry budget of a pool, proportional to its recent successes.

use std::time::Duration;

/// Retries deposited by a successful request.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Maximum balance of a budget.
const MAX_BALANCE: f64 = 10.0;

/// Retries deposited per second regardless of traffic, so that pools with little traffic can retry.
const REFILL_PER_SECOND: f64 = 1.0;

/// Balance up to which the budget is refilled regardless of traffic.
const MAX_REFILL_BALANCE: f64 = 5.0;

/// Balance of the retries that a pool may make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
    refilled_at: Duration,
}

impl RetryBudget {
    /// Creates a budget at `now` with the balance that is refilled regardless of traffic.
    pub fn new(now: Duration) -> Self {
        Self { balance: MAX_REFILL_BALANCE, refilled_at: now }
    }

    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Withdraws one retry; returns `false` if the budget is used up and the request must not be
    /// retried.
    pub fn try_withdraw(&mut self, now: Duration) -> bool {
        self.refill(now);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        if self.balance < MAX_REFILL_BALANCE {
            let refill = elapsed * REFILL_PER_SECOND;
            self.balance = (self.balance + refill).min(MAX_REFILL_BALANCE);
        }
    }
}
