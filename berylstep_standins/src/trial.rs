//! Fixtures for tests of duties (tasks that one node at a time performs for the site): a small
//! site, the state of its duties and the platform's log.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{json, Value};

use crate::client::CallRequest;
use crate::platform::EffectRecord;
use crate::site::{TrialSite, OPERATOR_KEY};

/// API key of the trial's organisation.
pub const TRIAL_KEY: &str = "key-of-rivers";

/// Interval between calls of background traffic.
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a site with one service and `nodes` nodes, spread over three zones.
pub fn service_site(nodes: usize, arguments: &[&str]) -> TrialSite {
    let mut site = TrialSite::start().expect("platform starts");
    site.add_service("booking", "a", &[]).expect("service starts");
    for zone in ["a", "b", "c"].iter().cycle().take(nodes) {
        site.add_node(zone, arguments).expect("node starts");
    }
    site.wait_ready();
    configure(&site);
    site
}

/// Configures a class, an organisation with a key, and a route to the pool `booking`.
pub fn configure(site: &TrialSite) {
    let class = json!({ "class": {
        "name": "booking", "tier": 1, "latency_ms": 500, "attainment": 0.9, "deadline_ms": 2_000,
    }});
    let route = json!({ "route": {
        "name": "booking", "match": { "prefix": "/booking" }, "pool": "booking",
        "classes": ["booking"],
    }});
    // Once the configuration is in force, requests with the key get 503 here and count no usage.
    let ready = json!({ "route": {
        "name": "ready", "match": { "prefix": "/ready" }, "pool": "none", "classes": ["booking"],
    }});
    let organisation = json!({ "organisation": { "name": "rivers" } });
    let grant = json!([{ "organisation": "rivers", "key": TRIAL_KEY }]);
    let put = json!([class, organisation, route, ready]);
    let stored = site.apply(0, &json!({ "against": 0, "put": put, "grant": grant }));
    assert_eq!(stored.status, 200, "{}", stored.body);
    site.wait_status("/ready", TRIAL_KEY, &[503]);
}

/// Returns the state of a node's duties as it reports them to operators; null if it does not
/// answer.
pub fn duties(site: &TrialSite, node: usize) -> Value {
    let call = CallRequest::get(site.nodes[node].operator_address, "/operator/duties");
    let answer = smol::block_on(call.key(OPERATOR_KEY).send());
    answer.map_or(Value::Null, |answer| answer.json())
}

/// Returns whether a node reports that it holds `duty`.
pub fn holds(site: &TrialSite, node: usize, duty: &str) -> bool {
    let duties = duties(site, node);
    let held = duties["held"].as_array().cloned().unwrap_or_default();
    held.iter().any(|held| held["duty"] == duty)
}

/// Waits until one of `nodes` holds `duty` and returns its index.
pub fn wait_holder(site: &TrialSite, nodes: &[usize], duty: &str) -> usize {
    let mut holder = None;
    site.wait_until("a node holds the duty", |site| {
        holder = nodes.iter().copied().find(|&node| holds(site, node, duty));
        holder.is_some()
    });
    holder.expect("a holder was found")
}

/// Returns the messages of one kind that the platform received, in order.
pub fn effects(site: &TrialSite, kind: &str) -> Vec<EffectRecord> {
    let answer = site.call(CallRequest::get(site.platform_address, "/control/log"));
    let effects: Vec<EffectRecord> = serde_json::from_str(&answer.body).unwrap_or_default();
    effects.into_iter().filter(|effect| effect.kind == kind).collect()
}

/// Sends `count` requests to a node.
///
/// # Panics
///
/// If one is not answered with status 200.
pub fn send_requests(site: &TrialSite, node: usize, count: usize) {
    for _ in 0..count {
        let call =
            CallRequest::get(site.nodes[node].caller_address, "/booking/seats").key(TRIAL_KEY);
        let answer = site.call(call);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

/// Background thread that sends requests to several nodes until dropped.
#[derive(Debug)]
pub struct BackgroundTraffic {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundTraffic {
    /// Starts sending requests to the nodes in turn.
    pub fn start(site: &TrialSite, nodes: &[usize]) -> Self {
        let (stop, answered, failed) = (
            Arc::<AtomicBool>::default(),
            Arc::<AtomicU64>::default(),
            Arc::<AtomicU64>::default(),
        );
        let callers: Vec<_> = nodes.iter().map(|&node| site.nodes[node].caller_address).collect();
        let (stopped, successes, failures) = (stop.clone(), answered.clone(), failed.clone());
        let thread = std::thread::spawn(move || {
            for address in callers.into_iter().cycle() {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let call = CallRequest::get(address, "/booking/seats").key(TRIAL_KEY);
                match smol::block_on(call.send()) {
                    Ok(answer) if answer.status == 200 => successes.fetch_add(1, Ordering::Relaxed),
                    _ => failures.fetch_add(1, Ordering::Relaxed),
                };
                std::thread::sleep(TRAFFIC_INTERVAL);
            }
        });
        Self { stop, answered, failed, thread: Some(thread) }
    }

    /// Returns the number of requests answered with status 200 so far.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Returns the number of failed requests so far.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }
}

impl Drop for BackgroundTraffic {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
