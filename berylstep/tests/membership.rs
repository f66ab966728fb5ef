//! Nodes that freeze, die, return or appear twice.

use std::time::{Duration, Instant};

use berylstep_standins::process::ChildProcess;
use berylstep_standins::site::TrialSite;
use serde_json::json;

/// Time within which a node that no longer answers has to leave `/v1/entries`.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);

fn site_of(nodes: usize) -> TrialSite {
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

fn wait_named(site: &TrialSite, count: usize) -> Duration {
    let started = Instant::now();
    for node in 0..2 {
        site.wait_until("the named nodes are as expected", |site| {
            site.advertised_entries(node).len() == count
        });
    }
    started.elapsed()
}

struct LossCase {
    name: &'static str,
    lose: fn(&mut ChildProcess),
}

#[test]
fn a_lost_node_leaves_the_entries_within_a_second_and_comes_back() {
    let cases = [
        LossCase { name: "frozen", lose: |process| process.freeze() },
        LossCase { name: "killed", lose: |process| process.kill() },
    ];
    for case in cases {
        let mut site = site_of(3);
        (case.lose)(&mut site.nodes[2].process);
        let took = wait_named(&site, 2);
        println!("{}: left the entries after {} ms", case.name, took.as_millis());
        assert!(took < LEAVE_LIMIT, "{}: {took:?}", case.name);
        match case.name {
            "frozen" => site.nodes[2].process.thaw(),
            _ => site.restart_node(2, "c", &[]).unwrap(),
        }
        let back = wait_named(&site, 3);
        println!("{}: named again after {} ms", case.name, back.as_millis());
    }
}

#[test]
fn nodes_go_on_naming_each_other_without_the_store() {
    let site = site_of(3);
    site.set_faults(&json!({ "down": true }));
    // The age of the store grows past the limit after which rows would have run out.
    site.wait_until("the store has been out of reach", |site| {
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
fn of_two_processes_under_one_name_the_older_ends_with_an_error() {
    let mut site = site_of(2);
    site.add_node("c", &[]).unwrap();
    site.wait_ready();
    site.add_node_named("n2", "c", &[]).unwrap();
    let started = Instant::now();
    let code = loop {
        if let Some(code) = site.nodes[2].process.exit_code() {
            break code;
        }
        assert!(started.elapsed() < Duration::from_secs(10), "both processes run");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(code, 1);
    let newer = site.nodes[3].caller_address;
    site.wait_until("the newer process is named", |site| {
        let named = site.advertised_entries(0);
        named.len() == 3 && named.contains(&newer)
    });
}
