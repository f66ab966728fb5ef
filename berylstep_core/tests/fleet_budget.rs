//! Retry budget: all nodes together stay within the shared bound.

use std::time::Duration;

use berylstep_core::fleet::budget::{BudgetBounds, SharedBudget};

const BOUNDS: BudgetBounds =
    BudgetBounds { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };

struct BudgetCase {
    name: &'static str,
    nodes: usize,
    /// Requests in the window at each node.
    requests: u32,
    /// Most repeats that one node may grant.
    most: u32,
}

#[test]
fn shares_of_all_nodes_stay_within_the_bound() {
    let cases = [
        BudgetCase { name: "idle fleet of 8", nodes: 8, requests: 0, most: 5 },
        BudgetCase { name: "busy fleet of 8", nodes: 8, requests: 100, most: 21 },
        BudgetCase { name: "one node", nodes: 1, requests: 0, most: 44 },
        BudgetCase { name: "78 nodes", nodes: 78, requests: 0, most: 0 },
    ];
    for case in cases {
        let now = Duration::from_secs(50);
        let mut budget = SharedBudget::default();
        (0..case.requests).for_each(|_| budget.note_request(&BOUNDS, now));
        let granted =
            (0..1000).filter(|_| budget.try_withdraw(&BOUNDS, case.nodes, now)).count() as u32;
        assert_eq!(granted, case.most, "{}", case.name);
        let total = f64::from(granted) * case.nodes as f64;
        let bound = BOUNDS.ratio * f64::from(case.requests) * case.nodes as f64 + BOUNDS.extra;
        assert!(total <= bound, "{}: {total} of {bound}", case.name);
    }
}

#[test]
fn repeats_return_when_they_leave_the_window() {
    let mut budget = SharedBudget::default();
    let start = Duration::from_secs(50);
    while budget.try_withdraw(&BOUNDS, 8, start) {}
    assert!(!budget.try_withdraw(&BOUNDS, 8, start + Duration::from_secs(9)));
    assert!(budget.try_withdraw(&BOUNDS, 8, start + Duration::from_secs(11)));
}
