//! Traffic continues while the platform's store is down, and duties catch up afterwards.

use std::time::{Duration, Instant};

use berylstep_standins::trial::{duties, effects, service_site, wait_holder, BackgroundTraffic};
use serde_json::json;

const NODES: [usize; 3] = [0, 1, 2];
const USAGE_DUTY: &str = "usage/0";

/// Longer than the expiry of leases and member rows and than a usage window.
const OUTAGE: Duration = Duration::from_secs(12);

#[test]
fn traffic_continues_and_duties_catch_up() {
    let arguments = ["--lease-expiry-ms", "800", "--usage-window-ms", "400"];
    let site = service_site(3, &arguments);
    wait_holder(&site, &NODES, USAGE_DUTY);
    let traffic = BackgroundTraffic::start(&site, &NODES);
    site.wait_until("usage is reported", |site| !effects(site, "usage").is_empty());
    site.set_faults(&json!({ "down": true }));
    let started = Instant::now();
    let before = traffic.answered();
    site.wait_until("the outage has lasted", |_| started.elapsed() >= OUTAGE);
    assert!(traffic.answered() > before + 100, "{} answered", traffic.answered() - before);
    let held: Vec<_> = NODES.iter().map(|&node| duties(&site, node)["held"].clone()).collect();
    assert!(held.iter().all(|held| *held == json!([])), "leases outlived the outage: {held:?}");
    let reports = effects(&site, "usage").len();
    site.set_faults(&json!({}));
    wait_holder(&site, &NODES, USAGE_DUTY);
    site.wait_until("reports go on", |site| effects(site, "usage").len() > reports);
    assert_eq!(traffic.failed(), 0);
    let answered = traffic.answered();
    drop(traffic);
    site.wait_until("all usage is reported", |site| reported(site) >= answered);
    site.wait_until("the last request is counted", |site| {
        NODES.iter().all(|&node| duties(site, node)["usage_stored"] == true)
    });
    let excess = reported(&site) - answered;
    // One more request may be answered between the reading of the count and the end of traffic.
    assert!(excess <= 1, "{excess} more reported than answered");
}

/// Returns the reported requests; a window that was reported more than once counts once.
fn reported(site: &berylstep_standins::site::TrialSite) -> u64 {
    let mut windows = std::collections::BTreeMap::new();
    for effect in effects(site, "usage") {
        let window = effect.message["window"].as_u64().unwrap();
        windows.insert(window, effect.message["figures"].clone());
    }
    let figures = windows.values().flat_map(|figures| figures.as_array().unwrap());
    figures.map(|figure| figure["requests"].as_u64().unwrap()).sum()
}
