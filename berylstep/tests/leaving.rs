//! A leaving upstream gets no new work within seconds of the first sign, also while lists lag.

use std::time::{Duration, Instant};

use berylstep_standins::client::CallRequest;
use berylstep_standins::site::TrialSite;
use berylstep_standins::trial::{configure, service_site, BackgroundTraffic, TRIAL_KEY};
use serde_json::json;

/// Time from the first sign until no new work may come.
const LIMIT: Duration = Duration::from_secs(3);

struct SignCase {
    name: &'static str,
    sign: fn(&mut TrialSite),
}

/// Requests that the first service has received.
fn received(site: &TrialSite) -> usize {
    let address = site.upstreams[0].address;
    let answer = site.call(CallRequest::get(address, "/control/requests"));
    answer.json().as_array().map_or(0, Vec::len)
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let cases = [
        SignCase {
            name: "shown as leaving",
            sign: |site| {
                site.upstreams[0].vm["state"] = json!("leaving");
                site.publish_vms();
            },
        },
        SignCase {
            name: "gone from the list",
            sign: |site| {
                let vms = [&site.upstreams[1].vm];
                site.call(CallRequest::post(site.platform_address, "/control/vms", &vms));
            },
        },
        SignCase {
            name: "zone evicted",
            sign: |site| {
                let eviction = json!({ "zone": "a", "notice_ms": 2_000 });
                site.call(CallRequest::post(site.platform_address, "/control/evict", &eviction));
            },
        },
    ];
    for case in cases {
        let mut site = TrialSite::start().unwrap();
        site.add_service("booking", "a", &[]).unwrap();
        site.add_service("booking", "b", &[]).unwrap();
        site.upstreams[0].vm["kind"] = json!("cheap");
        site.publish_vms();
        for zone in ["a", "b", "c"] {
            site.add_node(zone, &[]).unwrap();
        }
        site.wait_ready();
        configure(&site);
        let traffic = BackgroundTraffic::start(&site, &[0, 1, 2]);
        site.wait_until("the upstream is used", |site| received(site) > 0);
        (case.sign)(&mut site);
        let signed = Instant::now();
        site.wait_until("the limit passes", |_| signed.elapsed() >= LIMIT);
        let (at_limit, answered) = (received(&site), traffic.answered());
        site.wait_until("traffic goes on", |_| traffic.answered() > answered + 50);
        assert_eq!(received(&site), at_limit, "{}", case.name);
        assert_eq!(traffic.failed(), 0, "{}", case.name);
    }
}

#[test]
fn one_node_that_sees_the_sign_tells_the_others_whose_lists_lag() {
    let mut site = TrialSite::start().unwrap();
    site.add_service("booking", "a", &[]).unwrap();
    site.add_service("booking", "b", &[]).unwrap();
    for zone in ["a", "b", "c"] {
        site.add_node(zone, &[]).unwrap();
    }
    site.wait_ready();
    configure(&site);
    let _traffic = BackgroundTraffic::start(&site, &[0]);
    site.wait_until("the upstream is used", |site| received(site) > 0);
    // The list stays as it is; only the upstream itself says that it is leaving.
    site.set_faults(&json!({ "list_lag_ms": 10_000 }));
    let address = site.upstreams[0].address;
    site.call(CallRequest::post(address, "/control/faults", &json!({ "leaving": true })));
    let refused = |site: &TrialSite| {
        site.call(CallRequest::get(address, "/control/refused")).json().as_u64().unwrap()
    };
    // Only one node has traffic, so that the others learn of the sign from it alone.
    site.wait_until("a node meets the sign", |site| refused(site) > 0);
    let signed = Instant::now();
    site.wait_until("the limit passes", |_| signed.elapsed() >= LIMIT);
    let at_limit = refused(&site);
    let traffic = BackgroundTraffic::start(&site, &[1, 2]);
    site.wait_until("traffic goes on", |_| traffic.answered() > 100);
    assert_eq!(refused(&site), at_limit);
    assert_eq!(traffic.failed(), 0);
}

#[test]
fn a_list_that_is_empty_for_a_moment_does_not_end_the_pool() {
    let site = service_site(2, &[]);
    let call = |site: &TrialSite| {
        let call = CallRequest::get(site.nodes[0].caller_address, "/booking/x");
        site.call(call.key(TRIAL_KEY)).status
    };
    site.wait_until("the upstream serves", |site| call(site) == 200);
    let none: [serde_json::Value; 0] = [];
    site.call(CallRequest::post(site.platform_address, "/control/vms", &none));
    site.wait_until("the upstream is gone", |site| call(site) == 503);
    site.publish_vms();
    site.wait_until("the upstream serves again", |site| call(site) == 200);
}
