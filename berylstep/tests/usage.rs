//! Usage is reported completely and only once, and a retransmitted report has the same figures.

use std::collections::BTreeMap;

use berylstep_standins::client::CallRequest;
use berylstep_standins::site::TrialSite;
use berylstep_standins::trial::{duties, effects, send_requests, service_site, wait_holder};
use serde_json::{json, Value};

const USAGE_DUTY: &str = "usage/0";
const ARGUMENTS: &[&str] = &["--lease-expiry-ms", "800", "--usage-window-ms", "400"];
const NODES: [usize; 3] = [0, 1, 2];
const REQUESTS: usize = 5;

/// Returns the reported figures by window; asserts that all reports of a window are the same.
fn reported(site: &TrialSite) -> BTreeMap<u64, Value> {
    let mut windows = BTreeMap::new();
    for effect in effects(site, "usage") {
        let window = effect.message["window"].as_u64().unwrap();
        let figures = effect.message["figures"].clone();
        let first = windows.entry(window).or_insert_with(|| figures.clone());
        assert_eq!(*first, figures, "window {window} was reported with other figures");
    }
    windows
}

/// Returns the sum of a field over all windows.
fn reported_sum(site: &TrialSite, field: &str) -> u64 {
    let windows = reported(site);
    let figures = windows.values().flat_map(|figures| figures.as_array().unwrap());
    figures.map(|figure| figure[field].as_u64().unwrap()).sum()
}

/// Waits until `requests` requests are reported, and asserts that none is reported twice.
fn wait_reported(site: &TrialSite, requests: u64) {
    site.wait_until("all usage is reported", |site| reported_sum(site, "requests") >= requests);
    // The report of a later window would contain requests that are reported twice.
    send_requests(site, live_node(site), 1);
    site.wait_until("the later one is reported", |site| reported_sum(site, "requests") > requests);
    assert_eq!(reported_sum(site, "requests"), requests + 1);
}

fn live_node(site: &TrialSite) -> usize {
    let live = NODES.iter().copied().find(|&node| !duties(site, node).is_null());
    live.expect("a node is live")
}

fn others(node: usize) -> Vec<usize> {
    NODES.iter().copied().filter(|&other| other != node).collect()
}

/// Returns whether a window is sealed and its report is not acknowledged.
fn has_unreported(site: &TrialSite) -> bool {
    let target = "/table/scan?prefix=usage/0/sealed/&after=&limit=100";
    let answer = site.call(CallRequest::get(site.platform_address, target));
    answer.body.contains("\\\"reported\\\":false")
}

#[test]
fn the_reporter_is_killed_between_seal_and_send() {
    let mut site = service_site(3, ARGUMENTS);
    let reporter = wait_holder(&site, &NODES, USAGE_DUTY);
    site.set_faults(&json!({ "usage_down": true }));
    NODES.iter().for_each(|&node| send_requests(&site, node, REQUESTS));
    site.wait_until("a window is sealed", has_unreported);
    site.nodes[reporter].process.kill();
    site.set_faults(&json!({}));
    wait_reported(&site, (NODES.len() * REQUESTS) as u64);
}

#[test]
fn the_reporter_is_killed_after_a_send_whose_answer_was_lost() {
    let mut site = service_site(3, ARGUMENTS);
    let reporter = wait_holder(&site, &NODES, USAGE_DUTY);
    site.set_faults(&json!({ "lose_usage_answers": 1000 }));
    NODES.iter().for_each(|&node| send_requests(&site, node, REQUESTS));
    site.wait_until("a report was sent", |site| !reported(site).is_empty());
    site.nodes[reporter].process.kill();
    site.set_faults(&json!({}));
    wait_reported(&site, (NODES.len() * REQUESTS) as u64);
}

#[test]
fn a_node_killed_in_a_store_outage_loses_nothing_that_a_peer_holds() {
    let mut site = service_site(3, ARGUMENTS);
    let killed = others(wait_holder(&site, &NODES, USAGE_DUTY))[0];
    let peers = others(killed);
    site.set_faults(&json!({ "down": true }));
    send_requests(&site, killed, REQUESTS);
    for &peer in &peers {
        site.wait_until("peers hold copies", |site| {
            duties(site, peer)["usage_copies"].as_u64() == Some(REQUESTS as u64)
        });
    }
    site.nodes[killed].process.kill();
    send_requests(&site, peers[0], REQUESTS);
    site.set_faults(&json!({}));
    wait_reported(&site, 2 * REQUESTS as u64);
}

#[test]
fn a_planned_stop_stores_what_was_counted() {
    let arguments = [ARGUMENTS, &["--entries-ttl-ms", "1000"]].concat();
    let mut site = service_site(3, &arguments);
    let stopped = others(wait_holder(&site, &NODES, USAGE_DUTY))[0];
    send_requests(&site, stopped, REQUESTS);
    site.nodes[stopped].process.terminate();
    site.wait_until("the node stops", |_| true);
    while site.nodes[stopped].process.exit_code().is_none() {
        std::thread::yield_now();
    }
    wait_reported(&site, REQUESTS as u64);
}

#[test]
fn counters_stored_after_the_seal_are_reported_as_late() {
    const LATE: u64 = 7;
    let site = service_site(3, ARGUMENTS);
    send_requests(&site, 0, REQUESTS);
    let sent = REQUESTS as u64;
    site.wait_until("a window is reported", |site| reported_sum(site, "requests") == sent);
    let window = *reported(&site).keys().next().unwrap();
    let counter = json!({
        "organisation": "rivers", "class": "booking",
        "requests": LATE, "input_tokens": 0, "output_tokens": 0,
    });
    let key = format!("usage/0/count/{window:020}/gone/1");
    let value = json!({ "counters": [counter] }).to_string();
    let write = json!({ "key": key, "expect": 0, "value": value });
    let transaction = json!({ "token": "late", "writes": [write] });
    site.call(CallRequest::post(site.platform_address, "/table/transact", &transaction));
    wait_reported(&site, sent + LATE);
    assert_eq!(reported_sum(&site, "late_requests"), LATE);
}
