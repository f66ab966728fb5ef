//! Tests of the duties of gateway processes: each usage window is reported once and with correct
//! counts, even after the reporting node stops or is no longer a representative.

use std::process::Stdio;
use std::time::{Duration, Instant};

use berylstep_core::rendezvous;
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::respond;
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::Value;

fn answering_replica(id: &str) -> FakeReplica {
    FakeReplica::start(id, |request, _, stream| respond(stream, request, 200, "", "answer"))
}

fn store_with(replica: &FakeReplica) -> FakeStore {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    store.put("servers", &replica.id, Some(replica.entry("safe", "ready")));
    store
}

#[test]
fn usage_is_reported_once_for_each_window_with_correct_counts() {
    let replica = answering_replica("i-1");
    let store = store_with(&replica);
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    for _ in 0..7 {
        assert_eq!(gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
    }
    let counted = || -> u64 {
        let reports = store.duty_calls("/usage");
        let bodies = reports.iter().map(|report| serde_json::from_str(&report.body).unwrap());
        bodies.filter_map(|body: Value| body["Counts"]["org"].as_u64()).sum()
    };
    wait_until("the requests are reported", || counted() == 7);
    std::thread::sleep(Duration::from_secs(1));
    let reports = store.duty_calls("/usage");
    let mut windows: Vec<u64> = reports
        .iter()
        .map(|report| serde_json::from_str::<Value>(&report.body).unwrap())
        .filter_map(|body| body["WindowIndex"].as_u64())
        .collect();
    let reported = windows.len();
    windows.sort_unstable();
    windows.dedup();
    assert_eq!(windows.len(), reported, "a window was reported twice");
    assert_eq!(counted(), 7);
    assert!(reports[0].fencing > 0);
}

#[test]
fn a_stopping_node_hands_over_the_duties_at_once() {
    let replica = answering_replica("i-1");
    let store = store_with(&replica);
    let port = free_address().port();
    let nodes = [2, 3].map(|number| FleetGateway::start(&store, number, port));
    let holders = || -> Vec<String> {
        store.duty_calls("/usage").into_iter().map(|report| report.holder).collect()
    };
    wait_until("usage is reported", || !holders().is_empty());
    // The lease is renewed a few times meanwhile.
    std::thread::sleep(Duration::from_secs(4));
    let first = holders().pop().unwrap();
    let holder = ["gateway-2", "gateway-3"].iter().position(|name| *name == first).unwrap();
    nodes[holder].process.terminate();
    let stopped = Instant::now();
    wait_until("another node reports", || holders().pop().unwrap() != first);
    let took = stopped.elapsed();
    assert!(took < Duration::from_secs(4), "nobody performed the duties for {took:?}");
}

/// Returns the number of requests reported so far.
fn reported(store: &FakeStore) -> u64 {
    let bodies = store.duty_calls("/usage").into_iter().filter(|call| call.is_accepted);
    let mut windows: Vec<(u64, u64)> = bodies
        .filter_map(|call| serde_json::from_str::<Value>(&call.body).ok())
        .map(|body| {
            let window = body["WindowIndex"].as_u64().unwrap();
            (window, body["Counts"]["org"].as_u64().unwrap_or_default())
        })
        .collect();
    // A node that takes over reports the sealed windows again.
    windows.sort_unstable();
    windows.dedup();
    windows.iter().map(|(_, count)| count).sum()
}

#[test]
fn a_request_with_a_lost_answer_is_reported_if_its_replica_keeps_answering() {
    // The first unsafe request is executed, but its connection is closed without an answer.
    let replica = FakeReplica::start("i-1", |request, index, stream| {
        index > 0 && respond(stream, request, 200, "", "answer")
    });
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    store.put("servers", "i-1", Some(replica.entry("unsafe", "ready")));
    let gateway = FleetGateway::start(&store, 6, free_address().port());
    assert_eq!(gateway.send("unsafe", KEY_HEADER).unwrap().status(), 502);
    for _ in 0..3 {
        assert_eq!(gateway.send("unsafe", KEY_HEADER).unwrap().status(), 200);
    }
    wait_until("all four are reported", || reported(&store) == 4);
}

#[test]
fn a_holder_that_is_no_longer_a_representative_hands_over_without_losing_counts() {
    let replica = answering_replica("i-1");
    let store = store_with(&replica);
    let port = free_address().port();
    // The node that is last in the representatives' order starts first; three others then outrank
    // it.
    let mut numbers: Vec<u8> = (2..6).collect();
    numbers.sort_by_key(|number| rendezvous::score("a", &format!("gateway-{number}")));
    let start = |number: u8, first_start: bool| {
        let mut config = GatewayConfig::new(store.address, number, port);
        config.first_start = first_start;
        config.seeds = numbers.clone();
        let gateway = config.spawn(Stdio::piped()).unwrap();
        wait_until("the gateway is ready", || gateway.is_ready());
        gateway
    };
    let mut gateways = vec![start(numbers[3], true)];
    let holder = || store.duty_calls("/usage").last().map(|call| call.holder.clone());
    wait_until("the first node holds the duties", || holder().is_some());
    let first = holder();
    gateways.extend(numbers[..3].iter().map(|number| start(*number, false)));
    let mut sent = 0;
    let mut send_to_all = || {
        for gateway in &gateways {
            assert_eq!(gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
            sent += 1;
        }
    };
    wait_until("another node holds the duties", || {
        send_to_all();
        holder() != first
    });
    send_to_all();
    wait_until("every request is reported", || reported(&store) == sent);
}
