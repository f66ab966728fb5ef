//! Retry budgets: the retries of all nodes together stay within the budget of the service.

use std::time::Duration;

use berylstep_core::fleet::budget::{BudgetBounds, SharedBudget};

const BOUNDS: BudgetBounds =
    BudgetBounds { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };

struct BudgetCase {
    name: &'static str,
    nodes: usize,
    /// Requests per node in the window.
    requests: u32,
    /// Retries that one node grants.
    granted: u32,
}

#[test]
fn shares_of_all_nodes_stay_within_the_budget() {
    let cases = [
        BudgetCase { name: "idle fleet of 8", nodes: 8, requests: 0, granted: 5 },
        BudgetCase { name: "busy fleet of 8", nodes: 8, requests: 100, granted: 21 },
        BudgetCase { name: "one node", nodes: 1, requests: 0, granted: 44 },
        BudgetCase { name: "78 nodes", nodes: 78, requests: 0, granted: 0 },
    ];
    for case in cases {
        let now = Duration::from_secs(50);
        let mut budget = SharedBudget::default();
        (0..case.requests).for_each(|_| budget.record_request(&BOUNDS, now));
        let granted =
            (0..1000).filter(|_| budget.try_withdraw(&BOUNDS, case.nodes, now)).count() as u32;
        assert_eq!(granted, case.granted, "{}", case.name);
        let total = f64::from(granted) * case.nodes as f64;
        let bound = BOUNDS.ratio * f64::from(case.requests) * case.nodes as f64 + BOUNDS.extra;
        assert!(total <= bound, "{}: {total} of {bound}", case.name);
    }
}

#[test]
fn retries_become_available_when_they_leave_the_window() {
    let mut budget = SharedBudget::default();
    let start = Duration::from_secs(50);
    while budget.try_withdraw(&BOUNDS, 8, start) {}
    assert!(!budget.try_withdraw(&BOUNDS, 8, start + Duration::from_secs(9)));
    assert!(budget.try_withdraw(&BOUNDS, 8, start + Duration::from_secs(11)));
}
