//! The highest tier goes on where the owner of a pool is killed or stands still.

// Each test binary uses a part.
#[allow(dead_code)]
#[path = "slot_load/site.rs"]
mod load;

use std::time::{Duration, Instant};

use berylstep_standins::client::CallRequest;
use berylstep_standins::site::TrialSite;
use load::{assert_served_within, owner, start_site, LoadCall, LoadCallers, CELLARS, RIVERS};
use serde_json::json;

/// Longest time of a call of the highest tier, the loss of the owner included.
const LOSS_LIMIT: Duration = Duration::from_millis(500);

/// Length of the freeze.
const FREEZE: Duration = Duration::from_secs(2);

struct BurstCallers {
    low: LoadCallers,
    top: LoadCallers,
}

/// Starts a burst of the lowest tier and modest work of the highest on the nodes but the owner.
fn start_burst(site: &TrialSite, owner: usize) -> BurstCallers {
    let others: Vec<_> = (0..site.nodes.len()).filter(|node| *node != owner).collect();
    let low = LoadCall { class: "low", key: CELLARS, tokens: 20 };
    let low = LoadCallers::start(24, site.nodes[others[0]].caller_address, low, Duration::ZERO);
    let top = LoadCall { class: "top", key: RIVERS, tokens: 4 };
    let pause = Duration::from_millis(20);
    let top = LoadCallers::start(2, site.nodes[others[1]].caller_address, top, pause);
    site.wait_until("the highest tier is served", |_| top.served() > 10);
    BurstCallers { low, top }
}

fn wait_for_calls_since(site: &TrialSite, callers: &LoadCallers, since: Instant, count: usize) {
    site.wait_until("calls begin and end after the event", |_| {
        let records = callers.records();
        records.iter().filter(|record| record.begun > since).count() >= count
    });
}

#[test]
fn the_highest_tier_goes_on_after_its_owner_is_killed() {
    let mut site = start_site(&json!({}));
    let owner = owner(&site);
    let burst = start_burst(&site, owner);
    site.nodes[owner].process.kill();
    wait_for_calls_since(&site, &burst.top, Instant::now(), 30);
    wait_for_calls_since(&site, &burst.low, Instant::now(), 10);
    assert_served_within(&burst.top.stop(), LOSS_LIMIT);
    burst.low.stop();
}

#[test]
fn the_highest_tier_goes_on_while_its_owner_stands_still() {
    let site = start_site(&json!({}));
    let owner = owner(&site);
    let burst = start_burst(&site, owner);
    let frozen = Instant::now();
    site.nodes[owner].process.freeze();
    site.wait_until("the freeze is over", |_| frozen.elapsed() >= FREEZE);
    site.nodes[owner].process.thaw();
    wait_for_calls_since(&site, &burst.top, Instant::now(), 30);
    let thawed = site.nodes[owner].caller_address;
    let call = LoadCall { class: "top", key: RIVERS, tokens: 1 };
    site.wait_until("the owner serves again", |site| site.call(call.request(thawed)).status == 200);
    wait_for_calls_since(&site, &burst.low, Instant::now(), 10);
    assert_served_within(&burst.top.stop(), LOSS_LIMIT);
    burst.low.stop();
}

#[test]
fn the_highest_tier_goes_on_while_its_owner_leaves() {
    let site = start_site(&json!({}));
    let owner = owner(&site);
    let burst = start_burst(&site, owner);
    site.nodes[owner].process.terminate();
    site.wait_until("the owner is no longer named", |site| {
        let others = site.nodes.iter().enumerate().filter(|(index, _)| *index != owner);
        let mut answers = others.map(|(_, node)| {
            site.call(CallRequest::get(node.caller_address, "/v1/entries")).json()
        });
        answers.all(|answer| answer["entries"].as_array().map_or(0, Vec::len) == 2)
    });
    wait_for_calls_since(&site, &burst.top, Instant::now(), 30);
    wait_for_calls_since(&site, &burst.low, Instant::now(), 10);
    assert_served_within(&burst.top.stop(), LOSS_LIMIT);
    let low = burst.low.stop();
    let refused = low.iter().find(|record| record.answer.status != 200);
    assert!(refused.is_none(), "work was refused: {refused:?}");
}
