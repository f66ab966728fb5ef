//! Requests go from a caller through any node to an upstream and back.

use berylstep_standins::client::CallRequest;
use berylstep_standins::site::TrialSite;
use http_types::Method;
use serde_json::{json, Value};

const KEY: &str = "key-of-rivers";

struct PathCase {
    name: &'static str,
    method: Method,
    target: &'static str,
    body: Value,
    key: Option<&'static str>,
    status: u16,
    run: &'static str,
    contains: &'static str,
}

fn chat(model: &str, stream: bool) -> Value {
    json!({ "model": model, "stream": stream, "max_tokens": 3, "messages": [] })
}

fn started_site() -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_engine("drafter", "a", &["--token-ms", "1"]).unwrap();
    site.add_service("booking", "b", &[]).unwrap();
    for zone in ["a", "b", "c"] {
        site.add_node(zone, &[]).unwrap();
    }
    site.wait_ready();
    let class = json!({ "class": {
        "name": "drafting", "tier": 2, "latency_ms": 500, "attainment": 0.9, "deadline_ms": 5_000,
    }});
    let model = json!({ "route": {
        "name": "drafter", "match": { "model": "drafter" }, "pool": "drafter",
        "classes": ["drafting"],
    }});
    let booking = json!({ "route": {
        "name": "booking", "match": { "prefix": "/booking" }, "pool": "booking",
        "classes": ["drafting"], "repeat": "send_once",
    }});
    let organisation = json!({ "organisation": { "name": "rivers" } });
    let stored = site.apply(
        0,
        &json!({
            "against": 0,
            "put": [class, organisation, model, booking],
            "grant": [{ "organisation": "rivers", "key": KEY }],
        }),
    );
    assert_eq!(stored.status, 200, "{}", stored.body);
    site.wait_status("/booking/ready", KEY, &[200]);
    site
}

#[test]
fn requests_pass_through_every_node() {
    let site = started_site();
    let path_case = |name, body, key, status, run, contains| PathCase {
        name,
        method: Method::Post,
        target: "/v1/chat/completions",
        body,
        key,
        status,
        run,
        contains,
    };
    let cases = [
        path_case("streamed", chat("drafter", true), Some(KEY), 200, "ran", "[DONE]"),
        path_case("whole", chat("drafter", false), Some(KEY), 200, "ran", "completion_tokens"),
        path_case("no key", chat("drafter", false), None, 401, "not-run", "invalid_api_key"),
        path_case("wrong key", chat("drafter", false), Some("no"), 401, "not-run", "invalid"),
        path_case("no model", chat("none", false), Some(KEY), 404, "not-run", "no_route"),
        path_case("no JSON", json!("text"), Some(KEY), 400, "not-run", "bad_request"),
        PathCase {
            target: "/booking/seats",
            ..path_case("booking", json!({ "seat": 1 }), Some(KEY), 200, "ran", "confirmed")
        },
        PathCase {
            target: "/bookings",
            ..path_case("other path", json!({}), Some(KEY), 404, "not-run", "no_route")
        },
        PathCase {
            method: Method::Get,
            target: "/v1/models",
            ..path_case("models", json!({}), Some(KEY), 200, "", "\"drafter\"")
        },
    ];
    for case in cases {
        for node in &site.nodes {
            let mut call = CallRequest::post(node.caller_address, case.target, &case.body);
            if case.method == Method::Get {
                call = CallRequest::get(node.caller_address, case.target);
            }
            if let Some(key) = case.key {
                call = call.key(key);
            }
            let answer = site.call(call);
            assert_eq!(answer.status, case.status, "{}: {}", case.name, answer.body);
            assert_eq!(answer.run, case.run, "{}", case.name);
            assert!(answer.body.contains(case.contains), "{}: {}", case.name, answer.body);
        }
    }
}

#[test]
fn no_upstream_sees_a_callers_key() {
    let site = started_site();
    for node in &site.nodes {
        let call =
            CallRequest::post(node.caller_address, "/v1/chat/completions", &chat("drafter", false));
        let answer = site.call(call.header("x-api-key", KEY).header("x-extra", KEY));
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    for upstream in &site.upstreams {
        let seen = site.call(CallRequest::get(upstream.address, "/control/requests"));
        assert!(seen.json().as_array().is_some_and(|requests| !requests.is_empty()));
        assert!(!seen.body.contains(KEY), "a key reached {}", upstream.vm["id"]);
    }
}
