//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::thread;
use std::time::{Duration, Instant};

use berylstep_standins::client::CallRequest;
use berylstep_standins::relay::RelayMode;
use berylstep_standins::site::operate::{initial_change, NodeRelays};
use berylstep_standins::site::TrialSite;
use serde_json::{json, Value};

const KEY: &str = "key-of-rivers";

/// Time within which a change has to be in force at every node that runs.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Requests that wait at a frozen node.
const WAITING_CALLS: usize = 16;

fn site_of(nodes: usize) -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_service("booking", "b", &[]).unwrap();
    for index in 0..nodes {
        site.add_node(["a", "b", "c"][index % 3], &[]).unwrap();
    }
    site.wait_ready();
    site
}

fn relayed_site() -> (TrialSite, Vec<NodeRelays>) {
    let mut site = TrialSite::start().unwrap();
    site.add_service("booking", "b", &[]).unwrap();
    let zones = ["a", "b", "c"];
    let relays: Vec<_> =
        zones.iter().map(|zone| site.add_relayed_node(zone, &[]).unwrap()).collect();
    site.wait_ready();
    site.reestablish_links(&relays);
    accept(&site, &initial_change(KEY));
    site.wait_status("/booking/x", KEY, &[200]);
    (site, relays)
}

fn accept(site: &TrialSite, change: &Value) {
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
fn a_change_is_in_force_at_nine_nodes_when_it_is_told() {
    let site = site_of(9);
    accept(&site, &initial_change(KEY));
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
    assert!(took < IN_FORCE_LIMIT);
}

#[test]
fn a_lost_commit_answer_is_settled() {
    let site = site_of(2);
    site.set_faults(&json!({ "lose_answers": 1_000 }));
    let answer = site.apply(0, &initial_change(KEY));
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.json()["version"], 5);
    assert_eq!(site.rows("config/log/").len(), 1);
}

#[test]
fn an_unknown_commit_is_settled_by_its_token() {
    let site = site_of(2);
    site.set_faults(&json!({ "lose_answers": 1_000, "down_after": "config/version" }));
    let mut change = initial_change(KEY);
    change["token"] = json!("token-of-change-1");
    let answer = site.apply(0, &change);
    assert_eq!(answer.status, 504, "{}", answer.body);
    assert_eq!(answer.json()["token"], "token-of-change-1");
    site.set_faults(&json!({}));
    site.wait_until("the change is told as in force", |site| {
        site.change_outcome(1, "token-of-change-1").json()["state"] == "in_force"
    });
    let again = site.apply(1, &change);
    assert_eq!(again.status, 200, "{}", again.body);
    assert_eq!(again.json()["version"], 5);
    assert_eq!(site.rows("config/log/").len(), 1);
}

#[test]
fn a_commit_without_effect_never_takes_effect_later() {
    let site = site_of(1);
    let answer = site.change_outcome(0, "token-never-sent");
    assert_eq!(answer.json()["state"], "not_stored", "{}", answer.body);
    let row = &site.rows("config/token/token-never-sent")[0];
    assert_eq!(row["value"], "\"void\"");
}

#[test]
fn a_change_spreads_though_the_store_goes_down_with_its_commit() {
    let site = site_of(3);
    accept(&site, &initial_change(KEY));
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
    // The answer took its whole wait, since the list of nodes could not be read.
    assert!(started.elapsed() < IN_FORCE_LIMIT * 2);
    let refused = site.change(0, &json!({ "put": [{ "organisation": { "name": "late" } }] }));
    assert_eq!(refused.json()["state"], "not_stored", "{}", refused.body);
}

#[test]
fn a_thawed_node_does_not_serve_a_withdrawn_key() {
    let site = site_of(3);
    accept(&site, &initial_change(KEY));
    site.wait_status("/booking/x", KEY, &[200]);
    site.nodes[2].process.freeze();
    // The others have dropped their links, so that the change does not wait in a socket.
    site.wait_until("the links are dropped", |site| {
        (0..2).all(|node| site.status(node)["link_refusals"]["silent"].as_u64() > Some(0))
    });
    let answer = site.change(0, &withdrawal());
    assert_eq!(answer.status, 202, "{}", answer.body);
    assert_eq!(answer.json()["waiting"], json!(["n2"]));
    // Requests that wait at the frozen node are the first thing that it sees.
    let call = CallRequest::get(site.nodes[2].caller_address, "/booking/x").key(KEY);
    let waiting: Vec<_> = (0..WAITING_CALLS)
        .map(|_| {
            let call = call.clone();
            thread::spawn(move || smol::block_on(call.send()).unwrap().status)
        })
        .collect();
    site.nodes[2].process.thaw();
    let mut statuses: Vec<_> = waiting.into_iter().map(|call| call.join().unwrap()).collect();
    site.wait_until("the thawed node has caught up", |site| {
        statuses.push(booking_status(site, 2));
        site.version(2) == 6 && statuses.last() == Some(&401)
    });
    println!("statuses after the thaw: {statuses:?}");
    assert!(!statuses.contains(&200), "{statuses:?}");
}

struct CutCase {
    name: &'static str,
    platform: RelayMode,
    peers: RelayMode,
    /// Status of the withdrawn key at the cut node in the end.
    status: u16,
    /// Status of the operator's answer.
    told: u16,
}

#[test]
fn a_cut_off_node_learns_the_change_or_refuses() {
    let (site, relays) = relayed_site();
    let cases = [
        CutCase {
            name: "store cut",
            platform: RelayMode::Cut,
            peers: RelayMode::Open,
            status: 401,
            told: 200,
        },
        CutCase {
            name: "peers cut",
            platform: RelayMode::Open,
            peers: RelayMode::Cut,
            status: 401,
            told: 200,
        },
        CutCase {
            name: "peers held",
            platform: RelayMode::Open,
            peers: RelayMode::Hold,
            status: 401,
            told: 200,
        },
        CutCase {
            name: "both cut",
            platform: RelayMode::Cut,
            peers: RelayMode::Cut,
            status: 503,
            told: 202,
        },
    ];
    for case in cases {
        relays[2].platform.set_mode(case.platform);
        relays[2].peers.set_mode(case.peers);
        let answer = site.change(0, &withdrawal());
        assert_eq!(answer.status, case.told, "{}: {}", case.name, answer.body);
        let started = Instant::now();
        site.wait_until(case.name, |site| booking_status(site, 2) == case.status);
        println!("{}: key refused after {} ms", case.name, started.elapsed().as_millis());
        assert!(started.elapsed() < IN_FORCE_LIMIT, "{}", case.name);
        relays[2].platform.set_mode(RelayMode::Open);
        relays[2].peers.set_mode(RelayMode::Open);
        site.wait_until("the node is back", |site| {
            site.linked_peers(2) == 2 && site.linked_peers(0) == 2
        });
        accept(&site, &json!({ "grant": [{ "organisation": "rivers", "key": KEY }] }));
        site.wait_status("/booking/x", KEY, &[200]);
    }
}

#[test]
fn a_restarted_node_starts_from_a_snapshot_with_the_newest_version() {
    let mut site = site_of(3);
    accept(&site, &initial_change(KEY));
    for batch in 0..4 {
        let puts: Vec<_> = (0..70)
            .map(|index| json!({ "organisation": { "name": format!("org-{batch}-{index}") } }))
            .collect();
        accept(&site, &json!({ "put": puts }));
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
fn a_node_whose_row_ran_out_is_named_as_lapsed() {
    let site = site_of(3);
    accept(&site, &initial_change(KEY));
    site.nodes[2].process.freeze();
    let stored = site.change(0, &withdrawal());
    assert_eq!(stored.status, 202, "{}", stored.body);
    let token = stored.json()["token"].as_str().unwrap().to_owned();
    site.wait_until("the frozen node's row has run out", |site| {
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
