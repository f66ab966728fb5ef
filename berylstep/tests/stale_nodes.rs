//! Nodes that know of a newer desired state than they hold: they say what they know to be true, and serve nothing that
//! may have been withdrawn.

use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::respond;
use berylstep_standins::fleet::peer::{FakePeer, PeerAnswer};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::{FakeStore, StoreMode};
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

/// Time within which a confirmed change is to be in force.
const BOUND: Duration = Duration::from_secs(3);

struct StaleCase {
    name: &'static str,
    configuration_ms: Option<u64>,
    /// Status of a request that the older version allows, after the bound.
    late_status: u16,
}

// Guards against routes and keys that are called unknown, or work on after they were withdrawn, at a node that knows of
// a newer desired state and can't get it.
#[test]
fn a_node_that_can_not_get_a_newer_desired_state_denies_nothing_and_ends_to_serve() {
    let cases = [
        StaleCase { name: "with a bound", configuration_ms: Some(3_000), late_status: 503 },
        StaleCase { name: "without a bound", configuration_ms: None, late_status: 200 },
    ];
    for case in cases {
        let replica = FakeReplica::start("i-1", |request, _, stream| {
            respond(stream, request, 200, "", "answer")
        });
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
        let port = free_address().port();
        let mut config = GatewayConfig::new(store.address, 2, port);
        if let Some(bound) = case.configuration_ms {
            config.overrides.insert("configuration_ms".to_owned(), bound.into());
        }
        let node = FleetGateway::start_with(&config);
        let status = |route: &str, headers: &str| node.send(route, headers).unwrap().status();
        assert_eq!(status("none", KEY_HEADER), 404, "{}", case.name);
        store.set_mode(StoreMode::Down);
        let peer = FakePeer::start(3, port, 2, PeerAnswer::Silence);
        wait_until("the newer version is known", || status("none", KEY_HEADER) == 503);
        let known_at = Instant::now();
        let metrics = node.metrics();
        let tells = |line: &str| metrics.lines().any(|told| told == line);
        assert!(tells("berylstep_gateway_desired_version 1"), "{}", case.name);
        assert!(tells("berylstep_gateway_desired_announced_version 2"), "{}", case.name);
        assert!(!tells("berylstep_gateway_desired_lag_milliseconds 0"), "{}", case.name);
        assert_eq!(status("safe", ""), 503, "{}: an unknown key", case.name);
        assert_eq!(status("safe", KEY_HEADER), 200, "{}: within the bound", case.name);
        std::thread::sleep(BOUND.saturating_sub(known_at.elapsed()));
        let runs_before = replica.received().len();
        let late = node.send("safe", KEY_HEADER).unwrap();
        assert_eq!(late.status(), case.late_status, "{}: after the bound", case.name);
        if case.late_status == 503 {
            assert!(late.header("retry-after").is_some(), "{}", case.name);
            assert_eq!(replica.received().len(), runs_before, "{}: it has run", case.name);
        }
        assert_eq!(node.is_ready(), case.late_status == 200, "{}: readiness", case.name);
        drop(peer);
        // Nobody announces the newer version any more.
        wait_until("the node serves again", || status("safe", KEY_HEADER) == 200);
        wait_until("it says so", || node.is_ready());
        wait_until("unknown routes are told", || status("none", KEY_HEADER) == 404);
    }
}
