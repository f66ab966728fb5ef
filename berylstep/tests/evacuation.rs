//! Zones that the operator evacuates: gateways send nothing new there.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, write_request, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{
    begin_events, end_events, read_message, respond, write_event,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::{FakeStore, StoreMode};
use berylstep_standins::fleet::{desired_state, lock, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::{json, Value};

/// More gateways than follow the store, so that some learn of its rows from the others.
const GATEWAYS: u8 = 6;

/// Time within which all gateways know a row; a part of the 5 s that the operator allows.
const NOTICE_TIME: Duration = Duration::from_millis(2500);

const SEND_TIME: Duration = Duration::from_millis(600);

/// Requests per second that a cold replica of the service takes.
const COLD_PER_SECOND: f64 = 10.0;

/// Requests that a cold replica may get in a second, with the default bounds.
const ALLOWED: usize = 20;

struct ZoneReplica {
    replica: FakeReplica,
    zone: &'static str,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl ZoneReplica {
    fn start(id: &str, zone: &'static str) -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let log = arrivals.clone();
        let replica = FakeReplica::start(id, move |request, _, stream| {
            lock(&log).push(Instant::now());
            respond(stream, request, 200, "", "answer")
        });
        Self { replica, zone, arrivals }
    }

    fn arrived_since(&self, from: Instant) -> usize {
        lock(&self.arrivals).iter().filter(|at| **at >= from).count()
    }
}

/// Returns the parameters of a gateway; even ones are in zone a, odd ones in zone b. Requests prefer replicas of
/// their gateway's zone.
fn gateway_config(store: &FakeStore, number: u8, peer_port: u16) -> GatewayConfig {
    let mut config = GatewayConfig::new(store.address, number, peer_port);
    let zone = if number % 2 == 0 { "a" } else { "b" };
    config.overrides.insert("zone".to_owned(), zone.into());
    config
}

struct ZoneFleet {
    store: FakeStore,
    replicas: Vec<ZoneReplica>,
    gateways: Vec<FleetGateway>,
    peer_port: u16,
}

impl ZoneFleet {
    /// Starts two replicas in each of the zones a and b; `services` changes the service `safe`.
    fn start(service: &Value) -> Self {
        let store = FakeStore::start();
        let mut state = desired_state(1);
        for known in state["Services"].as_array_mut().unwrap() {
            if known["Name"] == "safe" {
                let fields = service.as_object().unwrap().clone();
                known.as_object_mut().unwrap().extend(fields);
            }
        }
        store.put("op", "config", Some(state));
        let replicas = [("i-1", "a"), ("i-2", "a"), ("i-3", "b"), ("i-4", "b")];
        let replicas = replicas.map(|(id, zone)| ZoneReplica::start(id, zone));
        for ZoneReplica { replica, zone, .. } in &replicas {
            let mut entry = replica.entry("safe", "ready");
            (entry["Zone"], entry["born"]) = ((*zone).into(), 1.into());
            store.put("servers", &replica.id, Some(entry));
        }
        let peer_port = free_address().port();
        let numbers = 2..2 + GATEWAYS;
        let gateways = numbers
            .map(|number| FleetGateway::start_with(&gateway_config(&store, number, peer_port)));
        Self { gateways: gateways.collect(), replicas: replicas.into(), store, peer_port }
    }

    fn set_evacuated(&self, zone: &str, is_evacuated: bool) {
        let key = format!("evacuate/{zone}");
        self.store.put("op", &key, is_evacuated.then(|| json!({})));
    }

    /// Sends requests to each gateway for a while; returns the statuses of the answers.
    fn send(&self) -> Vec<u16> {
        let until = Instant::now() + SEND_TIME;
        let mut statuses = Vec::new();
        while Instant::now() < until {
            for gateway in &self.gateways {
                let answer = gateway.send("safe", KEY_HEADER);
                statuses.push(answer.map_or(0, |answer| answer.status()));
            }
        }
        statuses
    }

    /// Checks which zones get requests.
    fn check_zones(&self, expected: &[&str], step: &str) {
        let from = Instant::now();
        let statuses = self.send();
        let expected_status = if expected.is_empty() { 503 } else { 200 };
        assert!(statuses.iter().all(|status| *status == expected_status), "{step}: {statuses:?}");
        for replica in &self.replicas {
            let arrived = replica.arrived_since(from);
            let is_used = expected.contains(&replica.zone);
            assert_eq!(arrived > 0, is_used, "{step}: {} got {arrived}", replica.replica.id);
        }
    }
}

struct RowStep {
    name: &'static str,
    /// Rows that the operator writes or removes, by zone.
    rows: &'static [(&'static str, bool)],
    /// Zones that get requests afterwards.
    used: &'static [&'static str],
}

/// Guards against gateways that go on sending to an evacuated zone, or don't return to it after the end, also
/// where they don't follow the store, two zones are evacuated, or a row is withdrawn at once (EVAC).
#[test]
fn an_evacuated_zone_gets_nothing_new_until_its_row_is_removed() {
    let fleet = ZoneFleet::start(&json!({}));
    let steps = [
        RowStep { name: "no zone named", rows: &[("", true)], used: &["a", "b"] },
        RowStep { name: "one zone", rows: &[("b", true)], used: &["a"] },
        RowStep { name: "all zones", rows: &[("a", true), ("b", true)], used: &[] },
        RowStep { name: "one zone returns", rows: &[("a", false)], used: &["a"] },
        RowStep { name: "the other returns", rows: &[("b", false)], used: &["a", "b"] },
        RowStep {
            name: "withdrawn at once",
            rows: &[("a", true), ("a", false)],
            used: &["a", "b"],
        },
    ];
    for step in steps {
        step.rows.iter().for_each(|(zone, is_evacuated)| fleet.set_evacuated(zone, *is_evacuated));
        std::thread::sleep(NOTICE_TIME);
        fleet.check_zones(step.used, step.name);
    }
}

/// Guards against an evacuation that ends because the store is away, or that a gateway which starts then
/// doesn't learn (EVAC).
#[test]
fn an_evacuation_stays_in_force_while_the_store_is_away() {
    let mut fleet = ZoneFleet::start(&json!({}));
    fleet.set_evacuated("b", true);
    std::thread::sleep(NOTICE_TIME);
    fleet.store.set_mode(StoreMode::Down);
    std::thread::sleep(NOTICE_TIME);
    fleet.check_zones(&["a"], "the store is away");
    fleet.gateways.remove(0);
    let mut config = GatewayConfig::new(fleet.store.address, 2, fleet.peer_port);
    config.first_start = false;
    fleet.gateways.insert(0, FleetGateway::start_with(&config));
    fleet.check_zones(&["a"], "a gateway has started without the store");
    // The operator removes the row while gateways can't read it.
    fleet.set_evacuated("b", false);
    fleet.check_zones(&["a"], "the row is removed unseen");
    fleet.store.set_mode(StoreMode::Up);
    std::thread::sleep(NOTICE_TIME);
    fleet.check_zones(&["a", "b"], "the store is back");
}

/// Guards against a rush on the replicas of a zone whose evacuation ends, which are usually cold (FAILBACK).
#[test]
fn the_replicas_of_a_zone_that_returns_get_what_cold_ones_take() {
    let fleet = ZoneFleet::start(&json!({"ColdStartS": 3.0, "ColdPerS": COLD_PER_SECOND}));
    fleet.check_zones(&["a", "b"], "before");
    fleet.set_evacuated("b", true);
    std::thread::sleep(NOTICE_TIME);
    fleet.check_zones(&["a"], "evacuated");
    let end = Instant::now();
    fleet.set_evacuated("b", false);
    while end.elapsed() < Duration::from_secs(3) {
        let statuses = fleet.send();
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    }
    for replica in fleet.replicas.iter().filter(|replica| replica.zone == "b") {
        let arrivals = lock(&replica.arrivals).clone();
        let cold = arrivals.iter().filter(|at| **at >= end && **at < end + Duration::from_secs(3));
        let cold: Vec<_> = cold.collect();
        let second = Duration::from_secs(1);
        let count = |from: &Instant| {
            cold.iter().filter(|at| (*from..*from + second).contains(**at)).count()
        };
        let peak = cold.iter().map(|from| count(from)).max().unwrap_or_default();
        assert!(peak <= ALLOWED, "{} got {peak} in a second", replica.replica.id);
        assert!(cold.len() >= 10, "{} got {}", replica.replica.id, cold.len());
    }
}

/// Guards against streams that are cut when their zone is evacuated.
#[test]
fn running_streams_finish_in_an_evacuated_zone() {
    const EVENTS: u32 = 40;
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        let mut is_open = begin_events(stream, request);
        for number in 1..=EVENTS {
            is_open &= write_event(stream, number) && stream.flush().is_ok();
            std::thread::sleep(Duration::from_millis(60));
        }
        is_open && end_events(stream)
    });
    store.put("servers", "i-1", Some(replica.entry("resumable", "ready")));
    let gateway = FleetGateway::start(&store, 2, free_address().port());
    let mut caller = gateway.connect();
    let request =
        berylstep_standins::fleet::message::request_text("resumable", "id-1", 9000, KEY_HEADER);
    caller.write_all(request.as_bytes()).expect("the gateway reads");
    wait_until("the stream runs", || replica.received().len() == 1);
    store.put("op", "evacuate/a", Some(json!({})));
    wait_until("the zone is evacuated", || {
        let mut other = gateway.connect();
        write_request(&mut other, "resumable", KEY_HEADER);
        read_message(&mut other).is_some_and(|answer| answer.status() == 503)
    });
    let received = replica.received().len();
    let answer = read_message(&mut caller).expect("the stream is complete");
    assert_eq!(answer.status(), 200);
    assert!(answer.body.contains(&format!("data: d{EVENTS}\n")), "{}", answer.body);
    assert_eq!(replica.received().len(), received, "the stream was taken up anew");
}

/// Guards against replicas that are ordered in an evacuated zone because it seems to have none, or released there
/// (EVAC).
#[test]
fn nothing_is_ordered_in_an_evacuated_zone() {
    // Time from the start of a fleet, or from a change, within which orders that it calls for are placed.
    const ORDER_TIME: Duration = Duration::from_secs(5);
    let scaling =
        json!({"Minimum": 2, "Maximum": 4, "BootS": 0.5, "ZonePrices": {"a": 1.0, "b": 1.0}});
    let fleet = ZoneFleet::start(&json!({"Scaling": scaling}));
    let orders = |since: Instant, zone: &str| {
        let calls = fleet.store.duty_calls("/scaling").into_iter();
        let calls = calls.filter(|call| call.at >= since);
        let bodies = calls.map(|call| serde_json::from_str::<Value>(&call.body).unwrap());
        bodies.filter(|body| body["Zone"] == zone).count()
    };
    std::thread::sleep(ORDER_TIME);
    fleet.set_evacuated("b", true);
    std::thread::sleep(NOTICE_TIME);
    let evacuated = Instant::now();
    std::thread::sleep(ORDER_TIME);
    assert_eq!(orders(evacuated, "b"), 0, "{:?}", fleet.store.duty_calls("/scaling"));
    // The entry of a replica that is lost in the other zone shows that orders are placed at all.
    fleet.store.put("servers", "i-1", None);
    wait_until("the other zone gets a replica", || orders(evacuated, "a") > 0);
}
