//! Limits of an organisation hold over all nodes.

// Each test binary uses a part.
#[allow(dead_code)]
#[path = "slot_load/site.rs"]
mod load;

use berylstep_standins::client::CallAnswer;
use berylstep_standins::site::TrialSite;
use load::{start_site, LoadCall, CELLARS, RIVERS};
use serde_json::{json, Value};

struct LimitCase {
    name: &'static str,
    limits: Value,
    tokens: u64,
    served: std::ops::RangeInclusive<usize>,
}

/// Sends nine calls at once, three through each node.
fn call_at_once(site: &TrialSite, call: LoadCall) -> Vec<CallAnswer> {
    let calls = (0..9).map(|index| {
        let callers = site.nodes[index % site.nodes.len()].caller_address;
        smol::spawn(call.request(callers).send())
    });
    let calls: Vec<_> = calls.collect();
    calls.into_iter().map(|call| smol::block_on(call).unwrap()).collect()
}

#[test]
fn limits_hold_over_all_nodes() {
    let cases = [
        LimitCase {
            name: "concurrency",
            limits: json!({ "concurrency": 2 }),
            tokens: 100,
            served: 2..=2,
        },
        // One more may come in with what refills while the calls are sent.
        LimitCase {
            name: "requests a second",
            limits: json!({ "requests_per_second": 4 }),
            tokens: 1,
            served: 4..=5,
        },
        LimitCase { name: "none", limits: json!({}), tokens: 1, served: 9..=9 },
    ];
    for case in cases {
        let site = start_site(&case.limits);
        let call = LoadCall { class: "middle", key: RIVERS, tokens: case.tokens };
        let answers = call_at_once(&site, call);
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(case.served.contains(&served), "{}: {served} of 9 served", case.name);
        for refused in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!(refused.reason(), "over_limit", "{}", case.name);
            assert_eq!(refused.run, "not-run", "{}", case.name);
            let has_retry = refused.headers.iter().any(|(name, _)| name == "retry-after");
            assert!(has_retry, "{}", case.name);
        }
        let other = call_at_once(&site, LoadCall { key: CELLARS, ..call });
        assert!(other.iter().all(|answer| answer.status == 200), "{}", case.name);
    }
}

#[test]
fn tokens_a_minute_hold_over_all_nodes() {
    let site = start_site(&json!({ "tokens_per_minute": 60 }));
    let call = LoadCall { class: "middle", key: RIVERS, tokens: 30 };
    let mut served = 0;
    for index in 0..12 {
        let callers = site.nodes[index % site.nodes.len()].caller_address;
        let answer = site.call(call.request(callers));
        match answer.status {
            200 => served += 1,
            _ => assert_eq!(answer.reason(), "over_limit"),
        }
    }
    // The last one begins with what is left and may use more.
    assert!((2..=4).contains(&served), "{served} calls of 30 tokens served");
}
