//! Retry budgets of the pools at this node.

use std::sync::Mutex;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::retry::RetryBudget;

/// Budgets by pool.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: Mutex<HashMap<SharedName, RetryBudget>>,
}

impl RetryBudgets {
    /// Notes a request that succeeded.
    pub fn observe_success(&self, pool: &SharedName, now: Duration) {
        self.with(pool, now, RetryBudget::observe_success);
    }

    /// Takes one retry; `false` means that the request may not be retried.
    pub fn try_withdraw(&self, pool: &SharedName, now: Duration) -> bool {
        self.with(pool, now, |budget| budget.try_withdraw(now))
    }

    fn with<T>(
        &self,
        pool: &SharedName,
        now: Duration,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().expect("retry budget lock");
        let budget = budgets.entry(pool.clone()).or_insert_with(|| RetryBudget::new(now));
        change(budget)
    }
}
