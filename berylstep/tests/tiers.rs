//! Tiers over all nodes: bursts of the lowest leave the highest alone, and no class starves.

// Each test binary uses a part.
#[allow(dead_code)]
#[path = "slot_load/site.rs"]
mod load;

use std::time::Duration;

use load::{assert_served_within, start_site, LoadCall, LoadCallers, CELLARS, RIVERS};
use serde_json::json;

/// Callers of a burst: three times what the engine serves at once, and as many again waiting.
const BURST_CALLERS: usize = 24;

/// Calls of the highest tier that a test waits for.
const TOP_CALLS: usize = 30;

#[test]
fn a_burst_of_the_lowest_tier_leaves_the_highest_alone() {
    let site = start_site(&json!({}));
    let low = LoadCall { class: "low", key: CELLARS, tokens: 20 };
    let burst =
        LoadCallers::start(BURST_CALLERS, site.nodes[0].caller_address, low, Duration::ZERO);
    site.wait_until("the burst is served", |_| burst.served() > 2 * BURST_CALLERS);
    let top = LoadCall { class: "top", key: RIVERS, tokens: 4 };
    let pause = Duration::from_millis(50);
    let calls = LoadCallers::start(1, site.nodes[1].caller_address, top, pause);
    site.wait_until("the highest tier was called", |_| calls.records().len() >= TOP_CALLS);
    let records = calls.stop();
    let burst = burst.stop();
    assert_served_within(&records, Duration::from_millis(400));
    let refused = burst.iter().find(|record| record.answer.status != 200);
    assert!(refused.is_none(), "preempted work was shed: {refused:?}");
}

#[test]
fn endless_work_of_the_highest_tier_does_not_starve_the_lowest() {
    let site = start_site(&json!({}));
    let top = LoadCall { class: "top", key: CELLARS, tokens: 10 };
    let endless = [0, 1].map(|node| {
        let callers = site.nodes[node].caller_address;
        LoadCallers::start(BURST_CALLERS / 2, callers, top, Duration::ZERO)
    });
    let busy = |callers: &[LoadCallers]| callers.iter().map(LoadCallers::served).sum::<usize>();
    site.wait_until("the highest tier fills the pool", |_| busy(&endless) > 2 * BURST_CALLERS);
    let low = LoadCall { class: "low", key: RIVERS, tokens: 10 };
    let calls = LoadCallers::start(1, site.nodes[2].caller_address, low, Duration::ZERO);
    let before = busy(&endless);
    site.wait_until("the lowest tier is served five times", |_| calls.served() >= 5);
    let between = busy(&endless) - before;
    calls.stop();
    for callers in endless {
        callers.stop();
    }
    // Five times the floor of one in 32, and as much again for the engine's pace.
    assert!(between < 2 * 5 * 32, "{between} calls of the highest tier in the meantime");
}
