//! A committed configuration is in force at all nodes within seconds and never reverts.

use std::thread;
use std::time::{Duration, Instant};

use berylstep_standins::client::CallRequest;
use berylstep_standins::relay::RelayMode;
use berylstep_standins::site::operate::{initial_change, NodeRelays};
use berylstep_standins::site::TrialSite;
use serde_json::{json, Value};

const KEY: &str = "key-of-rivers";

/// Upper bound of the time until a change is in force at every running node.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(5);

/// Requests that are queued at a frozen node.
const QUEUED_CALLS: usize = 16;

/// Starts a site with one service and `nodes` nodes.
fn start_site(nodes: usize) -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_service("booking", "b", &[]).unwrap();
    for index in 0..nodes {
        site.add_node(["a", "b", "c"][index % 3], &[]).unwrap();
    }
    site.wait_ready();
    site
}

/// Starts a site whose three nodes reach the platform and each other through relays.
fn start_relayed_site() -> (TrialSite, Vec<NodeRelays>) {
    let mut site = TrialSite::start().unwrap();
    site.add_service("booking", "b", &[]).unwrap();
    let zones = ["a", "b", "c"];
    let relays: Vec<_> =
        zones.iter().map(|zone| site.add_relayed_node(zone, &[]).unwrap()).collect();
    site.wait_ready();
    site.reestablish_links(&relays);
    apply_change(&site, &initial_change(KEY));
    site.wait_status("/booking/x", KEY, &[200]);
    (site, relays)
}

/// Applies a change, which must succeed.
fn apply_change(site: &TrialSite, change: &Value) {
    let answer = site.change(0, change);
    assert_eq!(answer.status, 200, "{}", answer.body);
}

fn withdrawal() -> Value {
    json!({ "withdraw": [{ "organisation": "rivers", "key": KEY }] })
}

fn booking_status(site: &TrialSite, node: usize) -> u16 {
    let call = CallRequest::get(site.nodes[node].caller_address, "/booking/x").key(KEY);
    site.call(call).status
}

#[test]
fn a_change_is_in_force_at_nine_nodes_once_acknowledged() {
    let site = start_site(9);
    apply_change(&site, &initial_change(KEY));
    site.wait_status("/booking/x", KEY, &[200]);
    let started = Instant::now();
    let answer = site.change(4, &withdrawal());
    let took = started.elapsed();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.json()["state"], "in_force");
    for node in 0..9 {
        assert_eq!(booking_status(&site, node), 401, "n{node}");
    }
    println!("in force at 9 nodes after {} ms", took.as_millis());
    assert!(took < MAX_IN_FORCE_TIME);
}

#[test]
fn a_commit_whose_answer_is_lost_is_resolved() {
    let site = start_site(2);
    site.set_faults(&json!({ "lose_answers": 1_000 }));
    let answer = site.apply(0, &initial_change(KEY));
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.json()["version"], 5);
    assert_eq!(site.rows("config/log/").len(), 1);
}

#[test]
fn an_unknown_commit_is_resolved_by_its_token() {
    let site = start_site(2);
    site.set_faults(&json!({ "lose_answers": 1_000, "down_after": "config/version" }));
    let mut change = initial_change(KEY);
    change["token"] = json!("token-of-change-1");
    let answer = site.apply(0, &change);
    assert_eq!(answer.status, 504, "{}", answer.body);
    assert_eq!(answer.json()["token"], "token-of-change-1");
    site.set_faults(&json!({}));
    site.wait_until("the change is reported as in force", |site| {
        site.change_outcome(1, "token-of-change-1").json()["state"] == "in_force"
    });
    let again = site.apply(1, &change);
    assert_eq!(again.status, 200, "{}", again.body);
    assert_eq!(again.json()["version"], 5);
    assert_eq!(site.rows("config/log/").len(), 1);
}

#[test]
fn a_commit_without_effect_never_takes_effect_later() {
    let site = start_site(1);
    let answer = site.change_outcome(0, "token-never-sent");
    assert_eq!(answer.json()["state"], "not_stored", "{}", answer.body);
    let row = &site.rows("config/token/token-never-sent")[0];
    assert_eq!(row["value"], "\"void\"");
}

#[test]
fn a_change_propagates_although_the_store_fails_after_the_commit() {
    let site = start_site(3);
    apply_change(&site, &initial_change(KEY));
    site.wait_status("/booking/x", KEY, &[200]);
    site.set_faults(&json!({ "down_after": "config/version" }));
    let started = Instant::now();
    let answer = site.change(0, &withdrawal());
    assert_eq!(answer.status, 202, "{}", answer.body);
    assert_eq!(answer.json()["members_read"], false);
    for node in 0..3 {
        assert_eq!(booking_status(&site, node), 401, "n{node}");
        assert_eq!(site.version(node), 6);
    }
    // The operator's request waits for its full timeout, since the member rows cannot be read.
    assert!(started.elapsed() < MAX_IN_FORCE_TIME * 2);
    let refused = site.change(0, &json!({ "put": [{ "organisation": { "name": "late" } }] }));
    assert_eq!(refused.json()["state"], "not_stored", "{}", refused.body);
}

#[test]
fn a_thawed_node_does_not_serve_a_withdrawn_key() {
    let site = start_site(3);
    apply_change(&site, &initial_change(KEY));
    site.wait_status("/booking/x", KEY, &[200]);
    site.nodes[2].process.freeze();
    // The change must not wait in a socket of the frozen node, so the links have to be dropped.
    site.wait_until("the links are dropped", |site| {
        (0..2).all(|node| site.status(node)["link_refusals"]["silent"].as_u64() > Some(0))
    });
    let answer = site.change(0, &withdrawal());
    assert_eq!(answer.status, 202, "{}", answer.body);
    assert_eq!(answer.json()["waiting"], json!(["n2"]));
    // The queued requests are the first thing that the node reads after the thaw.
    let call = CallRequest::get(site.nodes[2].caller_address, "/booking/x").key(KEY);
    let queued_calls: Vec<_> = (0..QUEUED_CALLS)
        .map(|_| {
            let call = call.clone();
            thread::spawn(move || smol::block_on(call.send()).unwrap().status)
        })
        .collect();
    site.nodes[2].process.thaw();
    let mut statuses: Vec<_> = queued_calls.into_iter().map(|call| call.join().unwrap()).collect();
    site.wait_until("the thawed node has caught up", |site| {
        statuses.push(booking_status(site, 2));
        site.version(2) == 6 && statuses.last() == Some(&401)
    });
    println!("statuses after the thaw: {statuses:?}");
    assert!(!statuses.contains(&200), "{statuses:?}");
}

struct PartitionCase {
    name: &'static str,
    platform: RelayMode,
    peers: RelayMode,
    /// Final status of requests with the withdrawn key at the partitioned node.
    caller_status: u16,
    /// Status of the operator's request.
    operator_status: u16,
}

#[test]
fn a_partitioned_node_applies_the_change_or_refuses_requests() {
    let (site, relays) = start_relayed_site();
    let cases = [
        PartitionCase {
            name: "store cut",
            platform: RelayMode::Cut,
            peers: RelayMode::Open,
            caller_status: 401,
            operator_status: 200,
        },
        PartitionCase {
            name: "peers cut",
            platform: RelayMode::Open,
            peers: RelayMode::Cut,
            caller_status: 401,
            operator_status: 200,
        },
        PartitionCase {
            name: "peers held",
            platform: RelayMode::Open,
            peers: RelayMode::Hold,
            caller_status: 401,
            operator_status: 200,
        },
        PartitionCase {
            name: "both cut",
            platform: RelayMode::Cut,
            peers: RelayMode::Cut,
            caller_status: 503,
            operator_status: 202,
        },
    ];
    for case in cases {
        relays[2].platform.set_mode(case.platform);
        relays[2].peers.set_mode(case.peers);
        let answer = site.change(0, &withdrawal());
        assert_eq!(answer.status, case.operator_status, "{}: {}", case.name, answer.body);
        let started = Instant::now();
        site.wait_until(case.name, |site| booking_status(site, 2) == case.caller_status);
        println!("{}: key refused after {} ms", case.name, started.elapsed().as_millis());
        assert!(started.elapsed() < MAX_IN_FORCE_TIME, "{}", case.name);
        relays[2].platform.set_mode(RelayMode::Open);
        relays[2].peers.set_mode(RelayMode::Open);
        site.wait_until("the node is back", |site| {
            site.linked_peers(2) == 2 && site.linked_peers(0) == 2
        });
        apply_change(&site, &json!({ "grant": [{ "organisation": "rivers", "key": KEY }] }));
        site.wait_status("/booking/x", KEY, &[200]);
    }
}

#[test]
fn a_restarted_node_starts_from_a_snapshot_with_the_newest_version() {
    let mut site = start_site(3);
    apply_change(&site, &initial_change(KEY));
    for batch in 0..4 {
        let puts: Vec<_> = (0..70)
            .map(|index| json!({ "organisation": { "name": format!("org-{batch}-{index}") } }))
            .collect();
        apply_change(&site, &json!({ "put": puts }));
        let version = site.version(0);
        site.wait_until("a snapshot is written", |site| {
            site.rows("config/snapshot").first().is_some_and(|row| {
                let value = row["value"].as_str().unwrap_or_default();
                value.contains(&format!("\"newest\":{{\"version\":{version}"))
            })
        });
    }
    site.wait_until("the log is trimmed", |site| site.rows("config/log/").len() == 1);
    site.nodes[2].process.kill();
    let answer = site.change(0, &withdrawal());
    assert_eq!(answer.json()["waiting"], json!(["n2"]), "{}", answer.body);
    site.restart_node(2, "c", &[]).unwrap();
    let newest = 5 + 4 * 70 + 1;
    site.wait_until("the restarted node has caught up", |site| site.version(2) == newest);
    assert_eq!(booking_status(&site, 2), 401);
}

#[test]
fn a_node_whose_row_expired_is_reported_as_lapsed() {
    let site = start_site(3);
    apply_change(&site, &initial_change(KEY));
    site.nodes[2].process.freeze();
    let stored = site.change(0, &withdrawal());
    assert_eq!(stored.status, 202, "{}", stored.body);
    let token = stored.json()["token"].as_str().unwrap().to_owned();
    site.wait_until("the frozen node's row has expired", |site| {
        let answer = site.change_outcome(1, &token).json();
        answer["state"] == "in_force" && answer["lapsed"] == json!(["n2"])
    });
    site.nodes[2].process.thaw();
    site.wait_until("the thawed node has the change", |site| {
        let answer = site.change_outcome(1, &token).json();
        answer["state"] == "in_force" && answer["lapsed"] == json!([])
    });
    assert_eq!(booking_status(&site, 2), 401);
}
