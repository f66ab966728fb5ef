//! Nodes that freeze, crash, come back or run twice under one name.

use std::time::{Duration, Instant};

use berylstep_standins::process::ChildProcess;
use berylstep_standins::site::TrialSite;
use serde_json::json;

/// Upper bound of the time until an unresponsive node is removed from `/v1/entries`.
const MAX_REMOVAL_TIME: Duration = Duration::from_secs(1);

/// Starts a site whose nodes are all linked to each other.
fn start_site(nodes: usize) -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    for index in 0..nodes {
        site.add_node(["a", "b", "c"][index % 3], &[]).unwrap();
    }
    site.wait_ready();
    for index in 0..nodes {
        site.wait_until("all nodes are linked", |site| site.linked_peers(index) == nodes - 1);
    }
    site
}

/// Waits until the first two nodes list `count` nodes in `/v1/entries`; returns the time it took.
fn wait_listed(site: &TrialSite, count: usize) -> Duration {
    let started = Instant::now();
    for node in 0..2 {
        site.wait_until("the expected number of nodes is listed", |site| {
            site.advertised_entries(node).len() == count
        });
    }
    started.elapsed()
}

struct FailureCase {
    name: &'static str,
    fail: fn(&mut ChildProcess),
}

#[test]
fn a_lost_node_leaves_the_entries_within_a_second_and_comes_back() {
    let cases = [
        FailureCase { name: "frozen", fail: |process| process.freeze() },
        FailureCase { name: "killed", fail: |process| process.kill() },
    ];
    for case in cases {
        let mut site = start_site(3);
        (case.fail)(&mut site.nodes[2].process);
        let took = wait_listed(&site, 2);
        println!("{}: left the entries after {} ms", case.name, took.as_millis());
        assert!(took < MAX_REMOVAL_TIME, "{}: {took:?}", case.name);
        match case.name {
            "frozen" => site.nodes[2].process.thaw(),
            _ => site.restart_node(2, "c", &[]).unwrap(),
        }
        let back = wait_listed(&site, 3);
        println!("{}: listed again after {} ms", case.name, back.as_millis());
    }
}

#[test]
fn nodes_keep_listing_each_other_without_the_store() {
    let site = start_site(3);
    site.set_faults(&json!({ "down": true }));
    // The wait is longer than the expiry of member rows.
    site.wait_until("the store has been unreachable", |site| {
        let age = site.status(0)["store_age_ms"].as_u64();
        age.is_some_and(|age| age > 12_000)
    });
    for node in 0..3 {
        assert_eq!(site.advertised_entries(node).len(), 3, "n{node}");
        assert_eq!(site.status(node)["isolated"], false);
    }
    site.set_faults(&json!({}));
    site.wait_until("the store is back", |site| {
        site.status(0)["store_age_ms"].as_u64().is_some_and(|age| age < 2_000)
    });
    assert_eq!(site.advertised_entries(0).len(), 3);
    assert_eq!(site.status(0)["lapsed"], json!([]));
}

#[test]
fn the_older_of_two_processes_with_one_name_exits_with_an_error() {
    let mut site = start_site(2);
    site.add_node("c", &[]).unwrap();
    site.wait_ready();
    site.add_node_named("n2", "c", &[]).unwrap();
    let started = Instant::now();
    let code = loop {
        if let Some(code) = site.nodes[2].process.exit_code() {
            break code;
        }
        assert!(started.elapsed() < Duration::from_secs(10), "both processes are still running");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(code, 1);
    let newer = site.nodes[3].caller_address;
    site.wait_until("the newer process is listed", |site| {
        let entries = site.advertised_entries(0);
        entries.len() == 3 && entries.contains(&newer)
    });
}
