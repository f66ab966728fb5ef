//! Replicas that name a limit of the requests that they take from all gateways together.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway};
use berylstep_standins::fleet::message::{
    begin_unframed_events, request_text, respond, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, lock, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::json;

const GATEWAYS: u8 = 3;

/// Time after which all gateways keep to a limit that a replica has named.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Length of a window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Part of what the limit allows that must be used where there is enough to send.
const USED_SHARE: f64 = 0.7;

/// Pause between a request and the next.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which a request that no replica may take is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(150);

/// Time after its start within which a gateway has heard from its peers.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// A replica that names a limit, or anything else in the same place, for as long as the test wants.
struct LimitedReplica {
    replica: FakeReplica,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    header: Arc<Mutex<String>>,
}

impl LimitedReplica {
    fn start(id: &str, limit: Option<&str>) -> Self {
        Self::start_with(id, limit, 200)
    }

    /// Starts a replica that answers with `status`.
    fn start_with(id: &str, limit: Option<&str>, status: u16) -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let header = Arc::new(Mutex::new(String::new()));
        let (log, line) = (arrivals.clone(), header.clone());
        let replica = FakeReplica::start(id, move |request, _, stream| {
            lock(&log).push(Instant::now());
            respond(stream, request, status, &lock(&line).clone(), "answer")
        });
        let limited = Self { replica, arrivals, header };
        limited.set_limit(limit);
        limited
    }

    fn set_limit(&self, limit: Option<&str>) {
        let line = limit.map(|limit| format!("Server-Limit: {limit}\r\n"));
        *lock(&self.header) = line.unwrap_or_default();
    }

    /// Returns the number of requests that arrived between two moments.
    fn arrived(&self, from: Instant, to: Instant) -> usize {
        lock(&self.arrivals).iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Returns the largest number of requests in a window that begins at `from` or later.
    fn peak(&self, from: Instant) -> usize {
        let begins: Vec<_> =
            lock(&self.arrivals).iter().copied().filter(|at| *at >= from).collect();
        let counts = begins.iter().map(|begin| self.arrived(*begin, *begin + WINDOW));
        counts.max().unwrap_or_default()
    }
}

struct LimitedFleet {
    store: FakeStore,
    gateways: Vec<FleetGateway>,
    peer_port: u16,
}

impl LimitedFleet {
    fn start(replicas: &[LimitedReplica]) -> Self {
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        for limited in replicas {
            let mut entry = limited.replica.entry("safe", "ready");
            entry["born"] = 7.into();
            store.put("servers", &limited.replica.id, Some(entry));
        }
        let peer_port = free_address().port();
        let numbers = 2..2 + GATEWAYS;
        let gateways = numbers.map(|number| FleetGateway::start(&store, number, peer_port));
        Self { gateways: gateways.collect(), store, peer_port }
    }

    /// Sends a request every `interval` until `end`, to each gateway in turn or only to the first.
    fn send_until(&self, end: Instant, interval: Duration, spread: Spread) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        while Instant::now() < end {
            let gateway = match spread {
                Spread::Even => &self.gateways[sent.len() % self.gateways.len()],
                Spread::OneGateway => &self.gateways[0],
            };
            let at = Instant::now();
            let answer = gateway.send("safe", KEY_HEADER);
            sent.push(SentRequest { at, took: at.elapsed(), answer });
            std::thread::sleep(interval.saturating_sub(at.elapsed()));
        }
        sent
    }
}

#[derive(Clone, Copy, Debug)]
enum Spread {
    Even,
    OneGateway,
}

struct SentRequest {
    at: Instant,
    took: Duration,
    answer: Option<RawMessage>,
}

impl SentRequest {
    fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, RawMessage::status)
    }
}

/// Returns the largest number of requests that may reach a replica in one window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

#[derive(Clone, Copy, Debug)]
struct LimitCase {
    limit: &'static str,
    spread: Spread,
    /// Status of all answers; requests that get 500 are retried at the other replica.
    status: u16,
}

/// Guards against gateways that together send a replica more than the limit that it names (LIMIT).
#[test]
fn a_limit_holds_over_all_gateways_and_what_it_allows_is_used() {
    let cases = [
        LimitCase { limit: "0.5", spread: Spread::Even, status: 200 },
        LimitCase { limit: "1", spread: Spread::Even, status: 200 },
        LimitCase { limit: "4", spread: Spread::Even, status: 200 },
        LimitCase { limit: "4", spread: Spread::OneGateway, status: 200 },
        LimitCase { limit: "1", spread: Spread::Even, status: 500 },
    ];
    let checks = cases.map(|case| std::thread::spawn(move || check_limit(case)));
    checks.into_iter().for_each(|check| check.join().unwrap());
}

fn check_limit(case: LimitCase) {
    let limited = LimitedReplica::start_with("i-1", Some(case.limit), case.status);
    let replicas = [limited, LimitedReplica::start_with("i-2", None, case.status)];
    let fleet = LimitedFleet::start(&replicas);
    let counted_from = Instant::now() + CONTACT_TIME;
    let end = counted_from + 2 * WINDOW;
    let sent = fleet.send_until(end, SEND_INTERVAL, case.spread);
    let limit: f64 = case.limit.parse().unwrap();
    let (peak, used) = (replicas[0].peak(counted_from), replicas[0].arrived(counted_from, end));
    assert!(peak <= allowed(limit), "{case:?}: {peak} in a window");
    let usable = limit * (2 * WINDOW).as_secs_f64() * USED_SHARE;
    assert!(used as f64 >= usable, "{case:?}: {used} in two windows");
    let others = sent.iter().filter(|request| request.status() != case.status);
    let others: Vec<_> = others.map(|request| (request.status(), request.took)).collect();
    assert!(others.is_empty(), "{case:?}: {others:?}");
}

/// Guards against a limit that is exceeded, or stops requests, while the node that hands out turns
/// stands still or is replaced.
#[test]
fn a_limit_holds_while_gateways_freeze_and_restart() {
    let replicas = [LimitedReplica::start("i-1", Some("2")), LimitedReplica::start("i-2", None)];
    let mut fleet = LimitedFleet::start(&replicas);
    fleet.send_until(Instant::now() + CONTACT_TIME, SEND_INTERVAL, Spread::Even);
    let from = Instant::now();
    for index in 0..fleet.gateways.len() {
        let frozen = fleet.gateways.remove(index);
        frozen.process.freeze();
        let until = Instant::now() + Duration::from_millis(1500);
        let sent = fleet.send_until(until, SEND_INTERVAL, Spread::Even);
        assert!(sent.iter().all(|request| request.status() == 200), "{index} frozen");
        let slow = sent.iter().filter(|request| request.took > REFUSAL_TIME).count();
        assert!(slow * 20 <= sent.len(), "{index} frozen: {slow} of {} slow", sent.len());
        frozen.process.thaw();
        fleet.gateways.insert(index, frozen);
    }
    for index in 0..fleet.gateways.len() {
        drop(fleet.gateways.remove(index));
        let number = 2 + index as u8;
        let until = Instant::now() + Duration::from_millis(500);
        let sent = fleet.send_until(until, SEND_INTERVAL, Spread::Even);
        assert!(sent.iter().all(|request| request.status() == 200), "{index} killed");
        let started = FleetGateway::start(&fleet.store, number, fleet.peer_port);
        fleet.gateways.insert(index, started);
        fleet.send_until(Instant::now() + NOTICE_TIME, SEND_INTERVAL, Spread::Even);
    }
    let peak = replicas[0].peak(from);
    assert!(peak <= allowed(2.0), "{peak} in a window");
    let after = Instant::now();
    fleet.send_until(after + WINDOW, SEND_INTERVAL, Spread::Even);
    let used = replicas[0].arrived(after, Instant::now());
    assert!(used as f64 >= 2.0 * WINDOW.as_secs_f64() * USED_SHARE, "{used} in a window");
}

/// Guards against requests that wait, or are sent on, where all replicas have reached their limits.
#[test]
fn what_no_replica_may_take_is_refused_at_once_with_a_time_to_come_back() {
    let replicas = ["i-1", "i-2", "i-3"].map(|id| LimitedReplica::start(id, Some("2")));
    let fleet = LimitedFleet::start(&replicas);
    let counted_from = Instant::now() + CONTACT_TIME;
    let end = counted_from + 2 * WINDOW;
    let sent = fleet.send_until(end, Duration::from_millis(25), Spread::Even);
    for limited in &replicas {
        let peak = limited.peak(counted_from);
        assert!(peak <= allowed(2.0), "{} got {peak} in a window", limited.replica.id);
    }
    let counted = sent.iter().filter(|request| request.at >= counted_from);
    let (served, refused): (Vec<_>, Vec<_>) = counted.partition(|it| it.status() == 200);
    let usable = 6.0 * (2 * WINDOW).as_secs_f64() * USED_SHARE;
    assert!(served.len() as f64 >= usable, "{} served", served.len());
    for request in &refused {
        assert_eq!(request.status(), 503);
        let answer = request.answer.as_ref().unwrap();
        let wait: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(wait > 0.0, "{wait} s");
    }
    let late = refused.iter().filter(|request| request.took > REFUSAL_TIME).count();
    assert!(late * 20 <= refused.len(), "{late} of {} refused late", refused.len());
}

/// Guards against failures that are not retried because the other replicas have limits too.
#[test]
fn a_failed_request_is_retried_at_a_limited_replica_that_has_a_turn_left() {
    let replicas = [
        LimitedReplica::start_with("i-1", Some("60"), 500),
        LimitedReplica::start("i-2", Some("60")),
        LimitedReplica::start("i-3", Some("60")),
    ];
    let fleet = LimitedFleet::start(&replicas);
    fleet.send_until(Instant::now() + CONTACT_TIME, SEND_INTERVAL, Spread::Even);
    let until = Instant::now() + Duration::from_secs(2);
    let sent = fleet.send_until(until, 2 * SEND_INTERVAL, Spread::Even);
    let failed = sent.iter().filter(|request| request.status() != 200).count();
    assert!(failed * 10 <= sent.len(), "{failed} of {}", sent.len());
    assert!(replicas[0].arrived(until - Duration::from_secs(2), until) > 0);
}

/// Guards against a limit that outlasts the replica's need.
#[test]
fn a_limit_ends_when_the_replica_no_longer_names_it() {
    let replicas = [LimitedReplica::start("i-1", Some("1")), LimitedReplica::start("i-2", None)];
    let fleet = LimitedFleet::start(&replicas);
    fleet.send_until(Instant::now() + CONTACT_TIME, SEND_INTERVAL, Spread::Even);
    replicas[0].set_limit(None);
    let from = Instant::now() + CONTACT_TIME;
    fleet.send_until(from + Duration::from_secs(2), SEND_INTERVAL, Spread::Even);
    let [limited, other] = [0, 1].map(|index| replicas[index].arrived(from, Instant::now()));
    assert!(limited * 3 >= other, "{limited} and {other} requests");
}

/// Guards against a gateway that has just started and sends as if there were no limit.
#[test]
fn a_restarted_gateway_learns_limits_from_its_peers() {
    let replicas = [LimitedReplica::start("i-1", Some("1")), LimitedReplica::start("i-2", None)];
    let mut fleet = LimitedFleet::start(&replicas);
    fleet.send_until(Instant::now() + CONTACT_TIME, SEND_INTERVAL, Spread::Even);
    // Peers repeat news for a while; the limit must be known after that too.
    std::thread::sleep(CONTACT_TIME + NOTICE_TIME);
    fleet.gateways.remove(0);
    fleet.gateways.insert(0, FleetGateway::start(&fleet.store, 2, fleet.peer_port));
    std::thread::sleep(NOTICE_TIME);
    let from = Instant::now();
    let sent = fleet.send_until(from + Duration::from_secs(2), SEND_INTERVAL, Spread::OneGateway);
    let arrived = replicas[0].arrived(from, Instant::now());
    assert!(sent.len() > 40, "{} requests sent", sent.len());
    assert!(arrived <= 5, "{arrived} requests in 2 s");
}

#[test]
fn a_limit_that_is_no_positive_number_neither_stops_requests_nor_gateways() {
    let values = ["0", "-1", "NaN", "inf", "", "many", "1,2", "1e999"];
    let replicas = [LimitedReplica::start("i-1", None), LimitedReplica::start("i-2", None)];
    let fleet = LimitedFleet::start(&replicas);
    for value in values {
        replicas[0].set_limit(Some(value));
        let before = Instant::now();
        wait_until("the replica is used", || {
            let served = fleet.gateways.iter().map(|gateway| gateway.send("safe", KEY_HEADER));
            assert!(served.flatten().all(|answer| answer.status() == 200), "{value:?}");
            replicas[0].arrived(before, Instant::now()) >= 10
        });
    }
}

/// Streams that are moved at once, each of which takes two calls to the replica that leaves.
const MOVED_STREAMS: usize = 10;

/// Serves an endless stream, and answers the calls that move it, with a limit in each response.
fn serve_limited_stream(request: &RawMessage, stream: &mut TcpStream) -> bool {
    const LIMIT: &str = "Server-Limit: 1\r\n";
    if request.target() == "/v1/kv-move" {
        return respond(stream, request, 200, LIMIT, "{\"Handle\": \"h1\", \"Created\": 1}");
    }
    let mut head = Vec::new();
    begin_unframed_events(&mut head, request);
    let head = String::from_utf8(head).unwrap();
    let head = head.replacen("\r\n", &format!("\r\n{LIMIT}"), 1);
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for number in 1.. {
        is_open &= stream.write_all(format!("id: {number}\ndata: d\n\n").as_bytes()).is_ok();
        if !is_open {
            break;
        }
        std::thread::sleep(SEND_INTERVAL);
    }
    false
}

/// Guards against calls of the gateways' own that exceed the limit of the replica they go to (LIMIT).
#[test]
fn calls_that_move_streams_count_towards_the_limit() {
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let log = calls.clone();
    let begun = Arc::new(AtomicUsize::new(0));
    let arrived = begun.clone();
    let source = FakeReplica::start("i-1", move |request, _, stream| {
        match request.target() {
            "/v1/kv-move" => lock(&log).push(Instant::now()),
            _ => {
                // The limit, once named, would hold the other requests back.
                arrived.fetch_add(1, Ordering::SeqCst);
                wait_until("all have arrived", || arrived.load(Ordering::SeqCst) >= MOVED_STREAMS);
            }
        }
        serve_limited_stream(request, stream)
    });
    let other =
        FakeReplica::start("i-2", |request, _, stream| serve_limited_stream(request, stream));
    let store = FakeStore::start();
    let mut desired = desired_state(1);
    for service in desired["Services"].as_array_mut().unwrap() {
        service["Engine"] =
            json!({"Slots": 16, "KvCacheTokens": 10000, "Moves": true, "Stride": 1});
    }
    store.put("op", "config", Some(desired));
    store.put("servers", "i-1", Some(source.entry("plain", "ready")));
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    let headers = format!("{KEY_HEADER}Berylstep-Token-Counts: 10,1000\r\n");
    let callers: Vec<_> = (0..MOVED_STREAMS)
        .map(|number| {
            let mut caller = gateway.connect();
            let request = request_text("plain", &format!("id-{number}"), 3000, &headers);
            caller.write_all(request.as_bytes()).unwrap();
            caller
        })
        .collect();
    wait_until("all streams have begun", || begun.load(Ordering::SeqCst) == MOVED_STREAMS);
    store.put("servers", "i-2", Some(other.entry("plain", "ready")));
    std::thread::sleep(NOTICE_TIME);
    store.put("servers", "i-1", Some(source.entry("plain", "draining")));
    std::thread::sleep(Duration::from_secs(2));
    drop(callers);
    let count = lock(&calls).len();
    assert!((1..=allowed(1.0)).contains(&count), "{count} calls");
}
