//! Admission at a gateway while callers compete for too few replicas of a model.

use std::collections::{BTreeSet, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{FleetGateway, GatewayConfig, WAIT_TIMEOUT};
use berylstep_standins::fleet::message::{read_message, request_text, respond, RawMessage};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, lock, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::{json, Value};

/// Slots of the replica, and the time for which a request takes one: 40 requests a second. There is only one,
/// because requests of one size would use only one group of several.
const SLOTS: usize = 4;
const RUN_TIME: Duration = Duration::from_millis(100);

/// Requests of the low tier, two and a half times what the replica completes.
const LOW_INTERVAL: Duration = Duration::from_millis(10);
const LOW_REQUESTS: usize = 400;

/// Requests of the high tier beside them.
const HIGH_INTERVAL: Duration = Duration::from_millis(250);

/// Objectives of the two routes.
const HIGH_TARGET_MS: u64 = 400;
const LOW_TARGET_MS: u64 = 1000;

/// Time that callers have for a request.
const TIMEOUT_MS: u64 = 2000;

/// Time beyond the hold within which a refusal arrives on a busy machine.
const REFUSAL_SLACK: Duration = Duration::from_millis(250);

/// Requests at a replica: those that run, and those that wait, by priority and order of arrival.
#[derive(Default)]
struct EngineQueue {
    running: usize,
    waiting: BTreeSet<(u32, usize)>,
}

/// Starts a replica that runs [`SLOTS`] requests at a time, the most urgent first.
fn start_engine(id: &str) -> FakeReplica {
    let queue: Arc<(Mutex<EngineQueue>, Condvar)> = Arc::default();
    FakeReplica::start(id, move |request, index, stream| {
        let priority =
            request.header("berylstep-urgency-level").and_then(|value| value.parse().ok());
        let place = (priority.unwrap_or_default(), index);
        let (state, changed) = &*queue;
        let mut waiting = lock(state);
        waiting.waiting.insert(place);
        let is_next = |queue: &mut EngineQueue| {
            queue.running >= SLOTS || queue.waiting.first() != Some(&place)
        };
        waiting = changed.wait_while(waiting, is_next).unwrap();
        waiting.waiting.remove(&place);
        waiting.running += 1;
        drop(waiting);
        changed.notify_all();
        std::thread::sleep(RUN_TIME);
        lock(state).running -= 1;
        changed.notify_all();
        respond(stream, request, 200, "", "answer")
    })
}

/// Returns a desired state with a route of a high and one of a low tier to the same model.
fn model_state() -> Value {
    let mut state = desired_state(1);
    let route = |name: &str, target: u64, priority: u32| {
        json!({"Name": name, "Host": "h.example", "Prefix": format!("/{name}/"), "Kind": "safe",
               "TimeoutMs": 3000, "TargetLatencyMs": target, "Priority": priority,
               "Service": "model", "Attempts": 1, "Public": false, "Resumable": false})
    };
    let routes = [route("high", HIGH_TARGET_MS, 0), route("low", LOW_TARGET_MS, 2)];
    state["Routes"].as_array_mut().unwrap().extend(routes);
    let service = json!({"Name": "model", "ConnectionLimit": 1000, "Engine": {
        "Slots": SLOTS, "KvCacheTokens": 400_000, "Stride": 1}});
    state["Services"].as_array_mut().unwrap().push(service);
    state
}

struct ModelSite {
    engine: FakeReplica,
    gateway: FleetGateway,
    _store: FakeStore,
}

/// What became of a request.
#[derive(Debug)]
struct SentRequest {
    id: String,
    /// Whether its caller says that it takes up a stream, on a route without streams.
    claims_stream: bool,
    status: u16,
    retry_after: Option<f64>,
    took: Duration,
}

impl ModelSite {
    fn start(rule_groups: &[&str]) -> Self {
        let engine = start_engine("e-1");
        let store = FakeStore::start();
        store.put("op", "config", Some(model_state()));
        let mut entry = engine.entry("model", "ready");
        entry["Slots"] = SLOTS.into();
        store.put("servers", &engine.id, Some(entry));
        let mut config = GatewayConfig::new(store.address, 2, free_address().port());
        config.overrides.insert("rule_groups".to_owned(), json!(rule_groups));
        Self { engine, gateway: FleetGateway::start_with(&config), _store: store }
    }

    /// Sends requests at even intervals, each on its own connection.
    fn send(&self, route: &'static str, count: usize, interval: Duration) -> Vec<SentRequest> {
        let address = self.gateway.caller_address;
        let requests = (0..count).map(|number| {
            std::thread::sleep(interval);
            std::thread::spawn(move || send(address, route, number))
        });
        let requests: Vec<_> = requests.collect();
        requests.into_iter().map(|request| request.join().unwrap()).collect()
    }

    /// Returns the identifiers of the requests that reached the replica.
    fn received(&self) -> HashSet<String> {
        let id = |message: RawMessage| message.header("berylstep-attempt-id").map(str::to_owned);
        self.engine.received().into_iter().filter_map(id).collect()
    }

    fn metrics(&self) -> String {
        let mut stream = TcpStream::connect(self.gateway.metrics_address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let request = b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(request).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }
}

fn send(address: SocketAddr, route: &str, number: usize) -> SentRequest {
    let id = format!("{route}-{number}");
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    // No caller passes for one that takes up a stream.
    let claim = if number % 2 == 1 { "Last-Event-Id: 1\r\n" } else { "" };
    let headers = format!("{KEY_HEADER}Berylstep-Token-Counts: 100,10\r\n{claim}");
    let text = request_text(route, &id, TIMEOUT_MS, &headers);
    stream.write_all(text.as_bytes()).unwrap();
    let answer = read_message(&mut stream);
    let retry_after = answer.as_ref().and_then(|answer| answer.header("retry-after"));
    SentRequest {
        status: answer.as_ref().map_or(0, RawMessage::status),
        retry_after: retry_after.and_then(|value| value.parse().ok()),
        took: began.elapsed(),
        claims_stream: !claim.is_empty(),
        id,
    }
}

/// Sends a calm load, by which the gateway learns the pace of the replica, and then too much of the low
/// tier. Returns the requests of the high and of the low tier.
fn overload(site: &ModelSite) -> (Vec<SentRequest>, Vec<SentRequest>) {
    let calm = site.send("low", 40, Duration::from_millis(40));
    assert!(calm.iter().all(|request| request.status == 200), "{calm:?}");
    std::thread::scope(|scope| {
        let low = scope.spawn(|| site.send("low", LOW_REQUESTS, LOW_INTERVAL));
        std::thread::sleep(HIGH_INTERVAL);
        let high = site.send("high", 14, HIGH_INTERVAL);
        (high, low.join().unwrap())
    })
}

/// Guards against a high tier that waits behind a low one, and against refusals that are late, run anyway or
/// don't say when to come back.
#[test]
fn an_overload_by_a_low_tier_is_refused_in_time_and_the_high_tier_is_served() {
    let site = ModelSite::start(&["pressure"]);
    let (high, low) = overload(&site);
    let slowest = high.iter().map(|request| request.took).max().unwrap();
    assert!(high.iter().all(|request| request.status == 200), "{high:?}");
    assert!(slowest < Duration::from_millis(HIGH_TARGET_MS), "{slowest:?}");
    let (refused, others): (Vec<_>, Vec<_>) = low.iter().partition(|request| request.status == 503);
    assert!(refused.len() >= LOW_REQUESTS / 8, "{} refused", refused.len());
    let claiming = refused.iter().filter(|request| request.claims_stream).count();
    assert!(claiming >= refused.len() / 4, "{claiming} of {}", refused.len());
    let served = others.iter().filter(|request| request.status == 200).count();
    // The replica completes two fifths of the requests, of which the high tier takes a few.
    assert!(served >= LOW_REQUESTS / 3, "{served} served, {} refused", refused.len());
    let received = site.received();
    let latest = TIMEOUT_MS as f64 / 1000.0 / 3.0;
    let hold = Duration::from_millis(LOW_TARGET_MS) / 8 + REFUSAL_SLACK;
    for request in refused {
        let retry_after = request.retry_after.expect("a refusal names a time");
        assert!(retry_after > 0.0 && retry_after <= latest + 0.001, "{request:?}");
        assert!(!received.contains(&request.id), "it ran: {request:?}");
        assert!(request.took <= hold, "{request:?}");
    }
    let metrics = site.metrics();
    let name = "berylstep_gateway_admissions_total";
    let count = |decision: &str, tier: u32| {
        let labels = format!("{{decision=\"{decision}\",service=\"model\",tier=\"{tier}\"}}");
        metrics.lines().any(|line| line.starts_with(&format!("{name}{labels}")))
    };
    assert!(count("refused", 5) && count("admitted", 5) && count("admitted", 3), "{metrics}");
    assert!(!count("refused", 3), "{metrics}");
}

/// Guards against admission in deployments that don't ask for it.
#[test]
fn without_the_rule_group_nothing_is_held_or_refused() {
    let site = ModelSite::start(&[]);
    let (high, low) = overload(&site);
    let refused = high.iter().chain(&low).filter(|request| request.status == 503);
    assert_eq!(refused.count(), 0);
    assert_eq!(site.received().len(), high.len() + low.len(), "all are sent to the replica");
    assert!(!site.metrics().contains("berylstep_gateway_admissions_total{"));
}
