//! Organisations share a class fairly, whichever nodes they use.

// Each test binary uses a part.
#[allow(dead_code)]
#[path = "slot_load/site.rs"]
mod load;

use std::time::Duration;

use load::{start_site, LoadCall, LoadCallers, CELLARS, RIVERS};
use serde_json::json;

/// Calls of the lighter organisation that the test waits for.
const LIGHT_CALLS: usize = 60;

#[test]
fn an_organisation_that_floods_one_node_leaves_others_their_share() {
    let site = start_site(&json!({}));
    let flood = LoadCall { class: "middle", key: CELLARS, tokens: 10 };
    let flood = LoadCallers::start(24, site.nodes[0].caller_address, flood, Duration::ZERO);
    site.wait_until("the flood is served", |_| flood.served() > 50);
    let light = LoadCall { class: "middle", key: RIVERS, tokens: 10 };
    let light = LoadCallers::start(6, site.nodes[1].caller_address, light, Duration::ZERO);
    let before = flood.served();
    site.wait_until("the lighter organisation is served", |_| light.served() >= LIGHT_CALLS);
    let (flooded, served) = (flood.served() - before, light.served());
    light.stop();
    flood.stop();
    // Both have work waiting all the time, so that the fair share is one half.
    let share = served as f64 / (served + flooded) as f64;
    assert!(share >= 0.9 * 0.5, "the lighter organisation got {share:.2} of the pool");
}
