//! The burn report covers the requests of all nodes, and outlives a planned stop.

use berylstep::burn::report::{BurnReport, ClassReport};
use berylstep_standins::client::CallRequest;
use berylstep_standins::site::{TrialSite, OPERATOR_KEY};
use serde_json::json;

const KEY: &str = "key-of-rivers";

fn site_with_two_classes() -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_engine("drafter", "a", &["--token-ms", "1"]).unwrap();
    for zone in ["a", "b", "c"] {
        site.add_node(zone, &["--entries-ttl-ms", "100"]).unwrap();
    }
    site.wait_ready();
    let class = |name: &str, latency_ms: u64| {
        json!({ "class": {
            "name": name, "tier": 2, "latency_ms": latency_ms, "attainment": 0.5,
            "deadline_ms": 5_000,
        }})
    };
    let route = json!({ "route": {
        "name": "drafter", "match": { "model": "drafter" }, "pool": "drafter",
        "classes": ["patient", "hasty"],
    }});
    let stored = site.apply(
        0,
        &json!({
            "against": 0,
            "put": [
                class("patient", 4_000),
                class("hasty", 1),
                { "organisation": { "name": "rivers" } },
                route,
            ],
            "grant": [{ "organisation": "rivers", "key": KEY }],
        }),
    );
    assert!([200, 202].contains(&stored.status), "{}", stored.body);
    site.wait_status("/v1/none", KEY, &[404]);
    site
}

/// One whole completion of 20 tokens, which takes more than the hasty class allows.
fn complete(site: &TrialSite, node: usize, class: &str) {
    let body = json!({ "model": "drafter", "max_tokens": 20, "messages": [] });
    let call = CallRequest::post(site.nodes[node].caller_address, "/v1/chat/completions", &body);
    let answer = site.call(call.key(KEY).header("berylstep-class", class));
    assert_eq!(answer.status, 200, "{}", answer.body);
}

fn report(site: &TrialSite, node: usize) -> BurnReport {
    let call =
        CallRequest::get(site.nodes[node].operator_address, "/operator/burn").key(OPERATOR_KEY);
    let answer = site.call(call);
    serde_json::from_str(&answer.body).unwrap_or_else(|err| panic!("{err}: {}", answer.body))
}

fn counts(report: &BurnReport, class: &str) -> Vec<(u64, u64)> {
    let of_class = |entry: &&ClassReport| &*entry.class == class;
    let entry = report.classes.iter().find(of_class).expect("class is reported");
    entry.windows.iter().map(|window| (window.met, window.missed)).collect()
}

#[test]
fn all_nodes_are_counted_and_a_stopped_node_is_not_forgotten() {
    let mut site = site_with_two_classes();
    for node in 0..3 {
        complete(&site, node, "patient");
        complete(&site, node, "hasty");
    }
    site.wait_until("six requests are counted at node 2", |site| {
        let report = report(site, 2);
        counts(&report, "patient") == [(3, 0); 4] && counts(&report, "hasty") == [(0, 3); 4]
    });
    let full = report(&site, 2);
    assert_eq!((full.nodes, full.live_nodes), (3, 3));
    let hasty = full.classes.iter().find(|entry| &*entry.class == "hasty").unwrap();
    assert_eq!(hasty.windows[0].burn_rate, Some(2.0));
    assert_eq!(hasty.budget_left, Some(-1.0));

    site.nodes[0].process.terminate();
    let mut stopped = site.nodes.remove(0);
    site.wait_until("the node has stopped", |_| stopped.process.exit_code().is_some());
    let rest = report(&site, 1);
    assert_eq!(counts(&rest, "patient"), [(3, 0); 4]);
    assert_eq!(counts(&rest, "hasty"), [(0, 3); 4]);
}
