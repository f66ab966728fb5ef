//! Retry budgets at this node, one for each pool.

use std::sync::Mutex;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::retry::RetryBudget;

/// Retry budgets by pool.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: Mutex<HashMap<SharedName, RetryBudget>>,
}

impl RetryBudgets {
    /// Records a successful request, which adds to the pool's budget.
    pub fn record_success(&self, pool: &SharedName, now: Duration) {
        self.update(pool, now, RetryBudget::record_success);
    }

    /// Withdraws one retry from the pool's budget; returns `false` if the budget is exhausted and
    /// the request must not be retried.
    pub fn try_withdraw(&self, pool: &SharedName, now: Duration) -> bool {
        self.update(pool, now, |budget| budget.try_withdraw(now))
    }

    fn update<T>(
        &self,
        pool: &SharedName,
        now: Duration,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().expect("retry budget lock");
        let budget = budgets.entry(pool.clone()).or_insert_with(|| RetryBudget::new(now));
        operation(budget)
    }
}
