//! Desired states and lists of replicas that outgrow one message, or take longer than one query, reach the nodes
//! that can't read the store.

use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::respond;
use berylstep_standins::fleet::peer::{query, FakePeer, PeerAnswer};
use berylstep_standins::fleet::replica::{entry, FakeReplica};
use berylstep_standins::fleet::store::{FakeStore, StoreMode};
use berylstep_standins::fleet::{add_routes, desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use berylstep_wire::FleetQuery;
use serde_json::{json, Value};

/// Time within which a confirmed change is in force everywhere.
const IN_FORCE_TIME: Duration = Duration::from_secs(11);

/// Interval at which a node is asked whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Key that only the changed desired state has.
const ADDED_KEY_HEADER: &str = "X-Api-Key: added-key\r\n";

/// Returns a desired state of about `bytes` bytes, whose routes have different hosts.
fn large_state(version: u64, bytes: usize) -> Value {
    let mut state = desired_state(version);
    add_routes(&mut state, 1_000);
    let route_bytes = (state.to_string().len() - desired_state(version).to_string().len()) / 1_000;
    state = desired_state(version);
    add_routes(&mut state, bytes / route_bytes);
    state
}

fn add_key(state: &mut Value) {
    state["Tenants"][0]["Keys"] = json!(["key-of-org", "added-key"]);
}

/// A node that reads the store and one that its own store turns away.
struct SplitFleet {
    store: FakeStore,
    other: FleetGateway,
    isolated: FleetGateway,
}

impl SplitFleet {
    fn start(replica: &FakeReplica) -> Self {
        let (own, store) = (FakeStore::start(), FakeStore::start());
        for store in [&own, &store] {
            store.put("op", "config", Some(desired_state(1)));
            store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
        }
        let port = free_address().port();
        let config = |store: &FakeStore, number| GatewayConfig::new(store.address, number, port);
        let other = FleetGateway::start_with(&config(&store, 3));
        own.set_mode(StoreMode::Down);
        let isolated = FleetGateway::start_with(&config(&own, 2));
        Self { store, other, isolated }
    }
}

/// Returns whether `holds` within [`IN_FORCE_TIME`].
fn holds_in_time(mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + IN_FORCE_TIME;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    false
}

struct DocumentCase {
    name: &'static str,
    bytes: usize,
}

// Guards against a desired state that no follower can be told because one message doesn't hold it.
#[test]
fn a_desired_state_larger_than_a_message_reaches_a_node_that_the_store_turns_away() {
    let cases = [
        DocumentCase { name: "a small change", bytes: 20_000 },
        DocumentCase { name: "4,251 routes", bytes: 1_200_000 },
        DocumentCase { name: "30,000 organisations", bytes: 2_700_000 },
    ];
    let replica =
        FakeReplica::start("i-1", |request, _, stream| respond(stream, request, 200, "", "answer"));
    let fleet = SplitFleet::start(&replica);
    for (case, version) in cases.iter().zip(2..) {
        let key = format!("X-Api-Key: key-{version}\r\n");
        let mut state = large_state(version, case.bytes);
        state["Tenants"][0]["Keys"] = json!([format!("key-{version}")]);
        fleet.store.put("op", "config", Some(state));
        for (node, place) in [(&fleet.other, "reads the store"), (&fleet.isolated, "isolated")] {
            let is_served = || node.send("safe", &key).unwrap().status() == 200;
            assert!(holds_in_time(is_served), "{}: not in force: {place}", case.name);
            let withdrawn = node.send("safe", KEY_HEADER).unwrap().status();
            assert_eq!(withdrawn, 401, "{}: a withdrawn key: {place}", case.name);
        }
    }
}

// Guards against changes that wait for a list of replicas which one message doesn't hold.
#[test]
fn a_list_of_replicas_larger_than_a_message_reaches_a_node_that_the_store_turns_away() {
    const REPLICAS: usize = 10_000;
    let replica =
        FakeReplica::start("i-1", |request, _, stream| respond(stream, request, 200, "", "answer"));
    let fleet = SplitFleet::start(&replica);
    let listed = entry(free_address(), "unsafe", "ready");
    // All entries become known at once, as after a common start of replicas.
    fleet.store.set_mode(StoreMode::Down);
    for number in 0..REPLICAS {
        fleet.store.put("servers", &format!("j-{number}"), Some(listed.clone()));
    }
    let mut state = desired_state(2);
    add_key(&mut state);
    fleet.store.put("op", "config", Some(state));
    fleet.store.set_mode(StoreMode::Up);
    for (node, place) in [(&fleet.other, "reads the store"), (&fleet.isolated, "isolated")] {
        let has_list = || {
            let metrics = node.metrics();
            let count = metrics.lines().find_map(|line| {
                line.strip_prefix("berylstep_gateway_ready_replicas ")?.parse::<usize>().ok()
            });
            count == Some(REPLICAS + 1)
        };
        assert!(holds_in_time(has_list), "the list is not known: {place}");
        let is_served = || node.send("safe", ADDED_KEY_HEADER).unwrap().status() == 200;
        assert!(holds_in_time(is_served), "the desired state is not in force: {place}");
    }
    // A change of the long list, and a removal.
    fleet.store.put("servers", "i-1", None);
    fleet.store.put("servers", "j-0", None);
    let is_gone = || fleet.isolated.send("safe", KEY_HEADER).unwrap().status() == 503;
    assert!(holds_in_time(is_gone), "a removed replica still gets requests");
}

// Guards against a copy that starts again from nothing each time a slow link needs longer for it than a query may.
#[test]
fn a_desired_state_that_a_slow_link_needs_a_second_for_arrives() {
    let replica =
        FakeReplica::start("i-1", |request, _, stream| respond(stream, request, 200, "", "answer"));
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
    let port = free_address().port();
    let node = FleetGateway::start(&store, 2, port);
    store.set_mode(StoreMode::Down);
    let mut state = large_state(2, 1_025_000);
    add_key(&mut state);
    let content = state.to_string().into_bytes();
    // Longer than a query took at most on the link, and below a frame.
    assert!((1_005_000..1_048_000).contains(&content.len()), "{} bytes", content.len());
    let desired = PeerAnswer::Desired(content);
    let _peer = FakePeer::start(3, port, 2, desired);
    let is_served = || node.send("safe", ADDED_KEY_HEADER).unwrap().status() == 200;
    assert!(holds_in_time(is_served), "not in force");
}

struct StoreCase {
    name: &'static str,
    bytes: usize,
    mode: StoreMode,
}

/// Bytes of a packet interval at 10 Mbit/s.
const NARROW_LINK: StoreMode = StoreMode::Narrow(12_500);

// Guards against a desired state that the node which follows the store can't read: nobody in its zone has it then.
#[test]
fn a_node_reads_from_the_store_what_its_link_needs_seconds_for() {
    let cases = [
        StoreCase { name: "4,251 routes, narrow link", bytes: 1_200_000, mode: NARROW_LINK },
        StoreCase { name: "larger than 4 MiB as text", bytes: 3_500_000, mode: StoreMode::Up },
        StoreCase { name: "5 MB, narrow link", bytes: 5_000_000, mode: NARROW_LINK },
    ];
    let replica =
        FakeReplica::start("i-1", |request, _, stream| respond(stream, request, 200, "", "answer"));
    for case in cases {
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
        let node = FleetGateway::start(&store, 2, free_address().port());
        store.set_mode(case.mode);
        let mut state = large_state(2, case.bytes);
        add_key(&mut state);
        store.put("op", "config", Some(state));
        let is_served = || node.send("safe", ADDED_KEY_HEADER).unwrap().status() == 200;
        assert!(holds_in_time(is_served), "{}: not in force", case.name);
    }
}

// Guards against a node that waits for peers which announce a change and never deliver it, beside a store that would.
#[test]
fn a_node_reads_the_store_where_no_peer_delivers() {
    let replica =
        FakeReplica::start("i-1", |request, _, stream| respond(stream, request, 200, "", "answer"));
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
    let port = free_address().port();
    let mut config = GatewayConfig::new(store.address, 2, port);
    config.first_start = false;
    let node = FleetGateway::start_with(&config);
    // As many as a zone has representatives, so that the node leaves it to them to follow the store.
    let _peers = [3, 4, 5].map(|number| FakePeer::start(number, port, 2, PeerAnswer::Silence));
    let follows = || node.metrics().contains("berylstep_gateway_live_peers 3");
    assert!(holds_in_time(follows), "the peers are not known");
    // The feed that the node may still have open ends.
    std::thread::sleep(Duration::from_secs(5));
    let mut state = desired_state(2);
    add_key(&mut state);
    store.put("op", "config", Some(state));
    let is_served = || node.send("safe", ADDED_KEY_HEADER).unwrap().status() == 200;
    assert!(holds_in_time(is_served), "not in force");
}

// Guards against a node that goes on asking the one peer which is furthest and doesn't answer.
#[test]
fn a_node_asks_another_peer_where_the_furthest_does_not_answer() {
    let replica =
        FakeReplica::start("i-1", |request, _, stream| respond(stream, request, 200, "", "answer"));
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
    let port = free_address().port();
    let node = FleetGateway::start(&store, 2, port);
    store.set_mode(StoreMode::Down);
    let mut state = desired_state(2);
    add_key(&mut state);
    let desired = PeerAnswer::Desired(state.to_string().into_bytes());
    let _silent = FakePeer::start(3, port, 2, PeerAnswer::Silence);
    let _other = FakePeer::start(4, port, 2, desired);
    let is_served = || node.send("safe", ADDED_KEY_HEADER).unwrap().status() == 200;
    assert!(holds_in_time(is_served), "not in force");
}

struct EarlierQueryCase {
    name: &'static str,
    bytes: usize,
    /// Whether the answer has the desired state.
    has_desired: bool,
}

// Guards against nodes of the build before that are told in pieces, which they don't know, or not at all.
#[test]
fn a_node_of_the_build_before_is_told_in_one_message_what_fits_into_it() {
    let cases = [
        EarlierQueryCase { name: "fits", bytes: 300_000, has_desired: true },
        EarlierQueryCase { name: "too large", bytes: 1_200_000, has_desired: false },
    ];
    let replica =
        FakeReplica::start("i-1", |request, _, stream| respond(stream, request, 200, "", "answer"));
    for case in cases {
        let store = FakeStore::start();
        store.put("op", "config", Some(large_state(2, case.bytes)));
        store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
        let port = free_address().port();
        let _node = FleetGateway::start(&store, 2, port);
        let copy = query(port, FleetQuery::default());
        assert_eq!(!copy.desired.is_empty(), case.has_desired, "{}", case.name);
        assert!(copy.manifest.is_none() && !copy.has_more, "{}", case.name);
        assert_eq!(copy.replicas.len(), 1, "{}: the list of replicas is left out", case.name);
    }
}
