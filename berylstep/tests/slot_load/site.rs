//! Site with one pool of model engines, and callers that generate load.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_core::rendezvous;
use berylstep_standins::client::{CallAnswer, CallRequest};
use berylstep_standins::site::TrialSite;
use serde_json::{json, Value};

/// Name of the pool and of its model.
pub const POOL: &str = "drafter";

/// Number of slots of each engine.
pub const ENGINE_SLOTS: usize = 4;

/// API key of the organisation `rivers`.
pub const RIVERS: &str = "key-of-rivers-0001";

/// API key of the organisation `cellars`.
pub const CELLARS: &str = "key-of-cellars-001";

/// Pause of a caller after a refusal or a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Starts three nodes and one engine with [`ENGINE_SLOTS`] slots and 5 ms per token. `limits` apply
/// to `rivers`.
pub fn start_site(limits: &Value) -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    let slots = ENGINE_SLOTS.to_string();
    let flags = ["--token-ms", "5", "--batch-us", "1", "--slots", &slots];
    site.add_engine(POOL, "a", &flags).unwrap();
    site.upstreams[0].vm["slots"] = json!(ENGINE_SLOTS);
    site.publish_vms();
    for zone in ["a", "b", "c"] {
        site.add_node(zone, &[]).unwrap();
    }
    site.wait_ready();
    let class = |name: &str, tier: u8, latency_ms: u64| {
        json!({ "class": {
            "name": name, "tier": tier, "latency_ms": latency_ms, "attainment": 0.9,
            "deadline_ms": 10_000,
        }})
    };
    let route = json!({ "route": {
        "name": POOL, "match": { "model": POOL }, "pool": POOL,
        "classes": ["middle", "top", "low"],
    }});
    let change = json!({
        "against": 0,
        "put": [
            class("top", 1, 400), class("middle", 2, 1_000), class("low", 3, 5_000), route,
            { "organisation": { "name": "rivers", "limits": limits } },
            { "organisation": { "name": "cellars" } },
        ],
        "grant": [
            { "organisation": "rivers", "key": RIVERS },
            { "organisation": "cellars", "key": CELLARS },
        ],
    });
    let stored = site.apply(0, &change);
    assert_eq!(stored.status, 200, "{}", stored.body);
    for node in &site.nodes {
        site.wait_until("the route is in force", |site| {
            let call = LoadCall { class: "low", key: CELLARS, tokens: 1 };
            site.call(call.request(node.caller_address)).status == 200
        });
    }
    site
}

/// Returns the index of the node that owns the pool while all nodes are live.
pub fn owner(site: &TrialSite) -> usize {
    let names = site.nodes.iter().map(|node| node.name.as_str());
    let ranked = rendezvous::rank(POOL, names);
    site.nodes.iter().position(|node| node.name == ranked[0]).expect("the owner is a node")
}

/// Parameters of a call.
#[derive(Clone, Copy, Debug)]
pub struct LoadCall {
    pub class: &'static str,
    pub key: &'static str,
    pub tokens: u64,
}

impl LoadCall {
    /// Returns the HTTP request of this call, to the node that listens at `node_address`.
    pub fn request(&self, node_address: SocketAddr) -> CallRequest {
        let body = json!({ "model": POOL, "max_tokens": self.tokens, "messages": [] });
        let call = CallRequest::post(node_address, "/v1/chat/completions", &body);
        call.key(self.key).header("berylstep-class", self.class)
    }
}

/// Call that was answered.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    pub sent_at: Instant,
    pub duration: Duration,
    pub answer: CallAnswer,
}

/// Callers that repeat a call until they are stopped.
pub struct LoadCallers {
    stopped: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<LoadRecord>>>,
    tasks: Vec<smol::Task<()>>,
}

impl LoadCallers {
    /// Starts `count` callers of the node at `node_address`. Each sends one call at a time, with
    /// `pause` between calls.
    pub fn start(count: usize, node_address: SocketAddr, call: LoadCall, pause: Duration) -> Self {
        let (stopped, records) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let tasks = (0..count).map(|_| {
            smol::spawn(send_calls(
                node_address,
                call,
                pause,
                stopped.clone(),
                Arc::clone(&records),
            ))
        });
        let tasks = tasks.collect();
        Self { stopped, records, tasks }
    }

    /// Returns the calls answered so far.
    pub fn records(&self) -> Vec<LoadRecord> {
        self.records.lock().unwrap().clone()
    }

    /// Returns the number of calls answered with status 200 so far.
    pub fn served(&self) -> usize {
        self.records().iter().filter(|record| record.answer.status == 200).count()
    }

    /// Stops after the calls in progress and returns all answered calls.
    pub fn stop(self) -> Vec<LoadRecord> {
        self.stopped.store(true, Ordering::Relaxed);
        for task in self.tasks {
            smol::block_on(task);
        }
        let records = self.records.lock().unwrap();
        records.clone()
    }
}

async fn send_calls(
    node_address: SocketAddr,
    call: LoadCall,
    pause: Duration,
    stopped: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<LoadRecord>>>,
) {
    while !stopped.load(Ordering::Relaxed) {
        let sent_at = Instant::now();
        let answered = call.request(node_address).send().await;
        let mut wait = pause;
        if let Ok(answer) = answered {
            if answer.status != 200 {
                wait = wait.max(RETRY_PAUSE);
            }
            records.lock().unwrap().push(LoadRecord {
                sent_at,
                duration: sent_at.elapsed(),
                answer,
            });
        } else {
            wait = wait.max(RETRY_PAUSE);
        }
        smol::Timer::after(wait).await;
    }
}

/// Returns the longest duration of any call.
pub fn longest(records: &[LoadRecord]) -> Duration {
    records.iter().map(|record| record.duration).max().unwrap_or_default()
}

/// Asserts that every call was served, each within `limit`.
pub fn assert_served_within(records: &[LoadRecord], limit: Duration) {
    for record in records {
        assert_eq!(record.answer.status, 200, "{}", record.answer.body);
    }
    let (count, longest) = (records.len(), longest(records));
    println!("{count} calls, the longest took {longest:?}");
    assert!(longest <= limit, "{count} calls, the longest took {longest:?}");
}
