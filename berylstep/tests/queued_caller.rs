//! A caller that leaves while its request is queued leaves no work behind.

use std::io::Write;
use std::net::TcpStream;

use berylstep_standins::client::CallRequest;
use berylstep_standins::site::TrialSite;
use berylstep_standins::trial::{configure, TRIAL_KEY};
use serde_json::json;

/// Site with one upstream that serves one request at once, each in 1.5 s.
fn slow_site() -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_service("booking", "a", &[]).unwrap();
    site.upstreams[0].vm["slots"] = json!(1);
    site.publish_vms();
    site.add_node("a", &[]).unwrap();
    site.wait_ready();
    configure(&site);
    set_delay(&site, 1_500);
    site
}

fn set_delay(site: &TrialSite, late_ms: u64) {
    let faults = json!({ "late_ms": late_ms });
    site.call(CallRequest::post(site.upstreams[0].address, "/control/faults", &faults));
}

fn received(site: &TrialSite, path: &str) -> bool {
    let call = CallRequest::get(site.upstreams[0].address, "/control/requests");
    site.call(call).body.contains(path)
}

fn in_flight(site: &TrialSite, count: u32) -> bool {
    let metrics = site.call(CallRequest::get(site.nodes[0].operator_address, "/metrics"));
    metrics.body.lines().any(|line| line == format!("berylstep_in_flight {count}"))
}

#[test]
fn a_caller_that_leaves_the_queue_is_never_served() {
    let site = slow_site();
    let callers = site.nodes[0].caller_address;
    let first = std::thread::spawn(move || {
        let call = CallRequest::get(callers, "/booking/first").key(TRIAL_KEY);
        smol::block_on(call.send()).unwrap().status
    });
    site.wait_until("the only slot is taken", |site| received(site, "/booking/first"));
    let mut queued = TcpStream::connect(callers).unwrap();
    let head = format!(
        "GET /booking/second HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TRIAL_KEY}\r\n\r\n"
    );
    queued.write_all(head.as_bytes()).unwrap();
    site.wait_until("the second request is queued", |site| in_flight(site, 2));
    drop(queued);
    site.wait_until("the queued request is dropped", |site| in_flight(site, 1));
    assert!(!first.is_finished(), "the first request ended before the second was dropped");
    assert_eq!(first.join().unwrap(), 200);
    set_delay(&site, 0);
    let third = CallRequest::get(callers, "/booking/third").key(TRIAL_KEY);
    assert_eq!(site.call(third).status, 200);
    assert!(!received(&site, "/booking/second"));
}
