//! Tests of a gateway process with failing replicas and stores: responses are complete and belong
//! to the caller's request, requests that must run at most once are not repeated, and the status
//! tells whether a request may have run.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, write_request, FleetGateway};
use berylstep_standins::fleet::message::{
    begin_events, end_events, read_message, read_message_head, respond, write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::{FakeStore, StoreMode};
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use rustix::process::Signal;

/// A store and a gateway in front of the replicas of one service.
struct TestFleet {
    store: FakeStore,
    gateway: FleetGateway,
}

fn start_fleet(service: &str, replicas: &[&FakeReplica]) -> TestFleet {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in replicas {
        store.put("servers", &replica.id, Some(replica.entry(service, "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    TestFleet { store, gateway }
}

fn healthy_replica(id: &str) -> FakeReplica {
    FakeReplica::start(id, |request, _, stream| respond(stream, request, 200, "", "answer"))
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let replica = healthy_replica("i-1");
    let fleet = start_fleet("safe", &[&replica]);
    let answer =
        fleet.gateway.send("safe", &format!("{KEY_HEADER}Berylstep-Tenant: forged\r\n")).unwrap();
    assert_eq!((answer.status(), &*answer.body), (200, "answer"));
    assert_eq!(answer.header("berylstep-replica-signature"), Some("sig"));
    let request = replica.received().remove(0);
    assert!(request.head.starts_with("POST /safe/x?y=%20 HTTP/1.1"), "{}", request.head);
    assert_eq!(request.body, "body");
    assert_eq!(request.header("berylstep-tenant"), Some("org"));
    assert_eq!(request.header("berylstep-expected-replica"), Some("i-1"));
    assert_eq!(request.header("berylstep-attempt-id"), Some("id-1"));
    assert_eq!(request.header("x-api-key"), None);
    let left: u64 = request.header("berylstep-deadline-milliseconds").unwrap().parse().unwrap();
    assert!((1500..=2000).contains(&left), "{left} ms left");
}

struct RefusalCase {
    name: &'static str,
    route: &'static str,
    headers: &'static str,
    status: u16,
}

#[test]
fn requests_that_are_not_allowed_never_reach_a_replica() {
    let replica = healthy_replica("i-1");
    let fleet = start_fleet("safe", &[&replica]);
    let cases = [
        RefusalCase { name: "no key", route: "safe", headers: "", status: 401 },
        RefusalCase {
            name: "unknown key",
            route: "safe",
            headers: "X-Api-Key: other\r\n",
            status: 401,
        },
        RefusalCase { name: "no route", route: "none", headers: KEY_HEADER, status: 404 },
        RefusalCase { name: "no replica", route: "unsafe", headers: KEY_HEADER, status: 503 },
    ];
    for case in cases {
        let answer = fleet.gateway.send(case.route, case.headers).unwrap();
        assert_eq!(answer.status(), case.status, "{}", case.name);
        let has_time = answer.header("retry-after").is_some();
        assert_eq!(has_time, case.status == 503, "{}", case.name);
    }
    assert!(replica.received().is_empty());
}

type Failure = fn(&RawMessage, usize, &mut TcpStream) -> bool;

struct FailureCase {
    name: &'static str,
    fail: Failure,
    /// Expected status of an idempotent request, which is retried on a second replica.
    safe: u16,
    /// Expected status of a request that must run at most once.
    once: u16,
}

const FAILURES: &[FailureCase] = &[
    FailureCase { name: "closes without an answer", fail: |_, _, _| false, safe: 200, once: 502 },
    FailureCase {
        name: "breaks off in the body",
        fail: |_, _, stream| {
            let head = "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: id-1\r\n\
                        Berylstep-Replica-Signature: sig\r\nContent-Length: 9\r\n\r\nansw";
            stream.write_all(head.as_bytes()).is_err()
        },
        safe: 200,
        once: 502,
    },
    FailureCase {
        name: "sends no HTTP",
        fail: |_, _, stream| stream.write_all(b"\0\0garbage\r\n\r\n").is_err(),
        safe: 200,
        once: 502,
    },
    FailureCase {
        name: "answers without a signature",
        fail: |_, _, stream| {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err()
        },
        safe: 200,
        once: 502,
    },
    FailureCase {
        name: "encodes its answer",
        fail: |request, _, stream| respond(stream, request, 200, "Content-Encoding: gzip\r\n", "x"),
        safe: 200,
        once: 502,
    },
    FailureCase {
        name: "is full",
        fail: |request, _, stream| {
            respond(stream, request, 503, "Berylstep-Not-Executed: 1\r\n", "")
        },
        safe: 200,
        once: 200,
    },
    FailureCase {
        name: "is another replica",
        fail: |_, _, stream| {
            stream.write_all(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n").is_ok()
        },
        safe: 200,
        once: 200,
    },
    FailureCase {
        name: "is unavailable and does not say whether the request ran",
        fail: |_, _, stream| {
            stream.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").is_ok()
        },
        safe: 200,
        once: 502,
    },
    FailureCase {
        name: "fails",
        fail: |request, _, stream| respond(stream, request, 500, "", "broken"),
        safe: 200,
        once: 500,
    },
];

#[test]
fn a_failed_attempt_is_repeated_only_where_it_may_be() {
    for case in FAILURES {
        for (route, status) in [("safe", case.safe), ("unsafe", case.once)] {
            // Whichever replica is selected first fails that request, and only that one.
            let failed = Arc::new(AtomicBool::new(false));
            let [first, second] = ["i-1", "i-2"]
                .map(|id| FakeReplica::start(id, fail_once(case.fail, failed.clone())));
            let fleet = start_fleet(route, &[&first, &second]);
            let answers: Vec<_> =
                (0..2).map(|_| fleet.gateway.send(route, KEY_HEADER).unwrap()).collect();
            let failed = first.received().len() + second.received().len();
            let worst = answers.iter().map(RawMessage::status).max().unwrap();
            assert_eq!(worst, status, "{}: {route}", case.name);
            let runs = if status == 200 { 3 } else { 2 };
            assert_eq!(failed, runs, "{}: {route}: requests at replicas", case.name);
            for answer in answers.iter().filter(|answer| answer.status() == 200) {
                assert_eq!(answer.body, "answer", "{}: {route}", case.name);
            }
        }
    }
}

#[test]
fn a_failure_of_all_replicas_that_a_route_allows_is_passed_on_as_it_is() {
    let broken = |id: &str| {
        FakeReplica::start(id, |request, _, stream| respond(stream, request, 500, "", "broken"))
    };
    let replicas = [broken("i-1"), broken("i-2"), broken("i-3")];
    let fleet = start_fleet("safe", &[&replicas[0], &replicas[1], &replicas[2]]);
    // The requests outnumber the retries that the budget allows.
    for _ in 0..80 {
        let answer = fleet.gateway.send("safe", KEY_HEADER).unwrap();
        assert_eq!((answer.status(), &*answer.body), (500, "broken"));
        assert_eq!(answer.header("berylstep-replica-signature"), Some("sig"));
    }
    let runs: usize = replicas.iter().map(|replica| replica.received().len()).sum();
    assert!(runs <= 80 + 16 + 56, "{runs} runs are beyond the retry budget");
}

/// Fails the first request of all replicas that share `failed`, and responds to all others.
fn fail_once(
    fail: Failure,
    failed: Arc<AtomicBool>,
) -> impl Fn(&RawMessage, usize, &mut TcpStream) -> bool + Send + Sync + 'static {
    move |request, index, stream| match failed.swap(true, Ordering::SeqCst) {
        false => fail(request, index, stream),
        true => respond(stream, request, 200, "", "answer"),
    }
}

#[test]
fn a_late_response_to_another_request_is_skipped() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        let late = "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: id-0\r\n\
                    Berylstep-Replica-Signature: sig\r\nContent-Length: 5\r\n\r\nother";
        stream.write_all(late.as_bytes()).is_ok() && respond(stream, request, 200, "", "answer")
    });
    let fleet = start_fleet("unsafe", &[&replica]);
    let answer = fleet.gateway.send("unsafe", KEY_HEADER).unwrap();
    assert_eq!((answer.status(), &*answer.body), (200, "answer"));
}

#[test]
fn bytes_after_a_response_are_discarded() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        respond(stream, request, 200, "", "answer")
            && stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra").is_ok()
    });
    let fleet = start_fleet("safe", &[&replica]);
    for _ in 0..100 {
        assert_eq!(fleet.gateway.send("safe", KEY_HEADER).unwrap().body, "answer");
    }
}

fn event_numbers(body: &str) -> Vec<u32> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|number| number.parse().unwrap()).collect()
}

#[test]
fn a_broken_resumable_stream_continues_on_another_replica_without_a_gap() {
    let serve = |request: &RawMessage, index: usize, stream: &mut TcpStream| {
        let from = request.header("last-event-id").map_or(0, |id| id.parse::<u32>().unwrap());
        assert!(begin_events(stream, request));
        for number in from + 1..=6 {
            if index == 0 && from == 0 && number == 4 {
                // The connection closes in the middle of the event.
                let _ = stream.write_all(b"5\r\nid: 4\r\n");
                return false;
            }
            assert!(write_event(stream, number));
        }
        end_events(stream)
    };
    let replicas = [FakeReplica::start("i-1", serve), FakeReplica::start("i-2", serve)];
    let fleet = start_fleet("resumable", &[&replicas[0], &replicas[1]]);
    let answer = fleet.gateway.send("resumable", KEY_HEADER).unwrap();
    assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_broken_stream_that_is_not_resumable_never_looks_complete() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        assert!(begin_events(stream, request));
        write_event(stream, 1);
        false
    });
    let other = healthy_replica("i-2");
    let fleet = start_fleet("plain", &[&replica]);
    assert!(fleet.gateway.send("plain", KEY_HEADER).is_none(), "the stream looks complete");
    assert_eq!((replica.received().len(), other.received().len()), (1, 0));
}

#[test]
fn a_disconnect_of_the_caller_cancels_its_request() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        assert!(begin_events(stream, request));
        (1..1000).all(|number| {
            std::thread::sleep(Duration::from_millis(10));
            write_event(stream, number)
        })
    });
    let ended = std::sync::Arc::new(std::sync::Mutex::new(None));
    let noted = ended.clone();
    let watched = FakeReplica::start("i-1", move |request, _, stream| {
        assert!(begin_events(stream, request));
        let left = !(1..1000).all(|number| {
            std::thread::sleep(Duration::from_millis(10));
            write_event(stream, number)
        });
        *noted.lock().unwrap() = left.then(Instant::now);
        false
    });
    drop(replica);
    let fleet = start_fleet("plain", &[&watched]);
    let mut caller = fleet.gateway.connect();
    write_request(&mut caller, "plain", KEY_HEADER);
    wait_until("the replica has the request", || !watched.received().is_empty());
    std::thread::sleep(Duration::from_millis(100));
    let left = Instant::now();
    drop(caller);
    wait_until("the replica stops streaming", || ended.lock().unwrap().is_some());
    let took = ended.lock().unwrap().unwrap() - left;
    assert!(took < Duration::from_millis(500), "{took:?}");
}

#[test]
fn a_request_to_a_silent_replica_times_out_at_the_deadline() {
    let replica = FakeReplica::start("i-1", |_, _, _| {
        std::thread::sleep(Duration::from_secs(5));
        false
    });
    let fleet = start_fleet("unsafe", &[&replica]);
    let began = Instant::now();
    let answer = fleet.gateway.send("unsafe", KEY_HEADER).unwrap();
    assert_eq!(answer.status(), 504);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2500), "answered after {took:?}");
}

#[test]
fn draining_replicas_get_no_requests_and_the_newest_desired_state_applies() {
    let (first, second) = (healthy_replica("i-1"), healthy_replica("i-2"));
    let fleet = start_fleet("safe", &[&first, &second]);
    fleet.store.put("servers", "i-1", Some(first.entry("safe", "draining")));
    std::thread::sleep(Duration::from_millis(500));
    for _ in 0..5 {
        assert_eq!(fleet.gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
    }
    assert!(first.received().is_empty());
    let mut next = desired_state(9);
    next["Tenants"][0]["Keys"] = serde_json::json!(["another-key"]);
    fleet.store.put("op", "config", Some(next));
    wait_until("the key is withdrawn", || {
        fleet.gateway.send("safe", KEY_HEADER).unwrap().status() == 401
    });
    fleet.store.put("op", "config", Some(desired_state(8)));
    std::thread::sleep(Duration::from_millis(300));
    let answer = fleet.gateway.send("safe", KEY_HEADER).unwrap();
    assert_eq!(answer.status(), 401, "an older state must not come back");
}

#[test]
fn requests_are_served_while_the_store_is_down() {
    let replica = healthy_replica("i-1");
    let fleet = start_fleet("safe", &[&replica]);
    fleet.store.set_mode(StoreMode::Down);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(fleet.gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
    assert!(fleet.gateway.is_ready());
    fleet.store.set_mode(StoreMode::Up);
}

#[test]
fn a_store_that_was_silent_is_heard_again_soon_after_its_return() {
    let replica = healthy_replica("i-1");
    let fleet = start_fleet("safe", &[&replica]);
    fleet.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_secs(1));
    fleet.store.set_mode(StoreMode::Up);
    let mut next = desired_state(5);
    next["Tenants"][0]["Keys"] = serde_json::json!(["another-key"]);
    fleet.store.put("op", "config", Some(next));
    let changed = Instant::now();
    wait_until("the key is withdrawn", || {
        fleet.gateway.send("safe", KEY_HEADER).unwrap().status() == 401
    });
    assert!(changed.elapsed() < Duration::from_secs(6), "{:?}", changed.elapsed());
}

#[test]
fn a_node_that_starts_while_the_store_turns_it_away_learns_from_others() {
    let replica = healthy_replica("i-1");
    let (own, others) = (FakeStore::start(), FakeStore::start());
    others.put("op", "config", Some(desired_state(1)));
    others.put("servers", "i-1", Some(replica.entry("safe", "ready")));
    let port = free_address().port();
    let _other = FleetGateway::start(&others, 3, port);
    own.set_mode(StoreMode::Down);
    let began = Instant::now();
    let isolated = FleetGateway::start(&own, 2, port);
    assert!(began.elapsed() < Duration::from_secs(3), "ready after {:?}", began.elapsed());
    assert_eq!(isolated.send("safe", KEY_HEADER).unwrap().status(), 200);
}

#[test]
fn nodes_find_each_other_and_a_stop_cuts_nothing() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        std::thread::sleep(Duration::from_millis(700));
        respond(stream, request, 200, "", "answer")
    });
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
    let port = free_address().port();
    let mut nodes: Vec<_> = [2, 3].map(|number| FleetGateway::start(&store, number, port)).into();
    wait_until("both nodes are listed", || nodes.iter().all(|node| node.addresses().len() == 2));
    let mut caller = nodes[1].connect();
    write_request(&mut caller, "safe", KEY_HEADER);
    wait_until("the replica has the request", || !replica.received().is_empty());
    nodes[1].process.terminate();
    let answer = read_message(&mut caller).expect("the response is complete");
    assert_eq!(answer.body, "answer");
    assert!(!nodes[1].is_ready());
    wait_until("the stopping node has left the directory", || nodes[0].addresses().len() == 1);
    // A caller with an old address list is still served.
    assert_eq!(nodes[1].send("safe", KEY_HEADER).unwrap().status(), 200);
    wait_until("the node has stopped", || nodes[1].process.exit_code() == Some(0));
}

#[test]
fn a_node_that_loses_the_store_learns_from_its_peers() {
    let replica = healthy_replica("i-1");
    let (own, others) = (FakeStore::start(), FakeStore::start());
    for store in [&own, &others] {
        store.put("op", "config", Some(desired_state(1)));
        store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
    }
    let port = free_address().port();
    let isolated = FleetGateway::start(&own, 2, port);
    let _other = FleetGateway::start(&others, 3, port);
    wait_until("the nodes know each other", || isolated.addresses().len() == 2);
    own.set_mode(StoreMode::Down);
    let mut next = desired_state(5);
    next["Tenants"][0]["Keys"] = serde_json::json!(["another-key"]);
    others.put("op", "config", Some(next));
    let changed = Instant::now();
    wait_until("the new state applies", || {
        isolated.send("safe", KEY_HEADER).unwrap().status() == 401
    });
    assert!(changed.elapsed() < Duration::from_secs(2), "{:?}", changed.elapsed());
}

#[test]
fn a_reload_with_invalid_settings_keeps_the_old_ones() {
    let replica = healthy_replica("i-1");
    let mut fleet = start_fleet("safe", &[&replica]);
    std::fs::write(&fleet.gateway.settings, "{").unwrap();
    fleet.gateway.process.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(fleet.gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
    assert_eq!(fleet.gateway.process.exit_code(), None);
}

// Guards against an overflow that ends the connection of a caller after its answer.
#[test]
fn a_replica_may_announce_any_idle_timeout() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        let header = format!("Keep-Alive: timeout={}\r\n", u64::MAX);
        respond(stream, request, 200, &header, "answer")
    });
    let fleet = start_fleet("safe", &[&replica]);
    // The sum of the timeout and the age of the process overflows.
    std::thread::sleep(Duration::from_millis(1200));
    let mut caller = fleet.gateway.connect();
    for number in 0..2 {
        write_request(&mut caller, "safe", KEY_HEADER);
        let answer = read_message(&mut caller).map(|answer| answer.status());
        assert_eq!(answer, Some(200), "request {number}");
    }
}

// Guards against a response to HEAD with a body, which the next response on the connection is taken for.
#[test]
fn a_response_to_head_on_the_route_of_a_stream_has_no_body() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        let is_head = request.head.starts_with("HEAD ");
        let is_begun = begin_events(stream, request);
        is_begun && (is_head || write_event(stream, 1) && end_events(stream))
    });
    let fleet = start_fleet("plain", &[&replica]);
    let mut caller = fleet.gateway.connect();
    let request = format!(
        "HEAD /plain/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: id-0\r\n\
         Berylstep-Deadline-Milliseconds: 2000\r\n{KEY_HEADER}\r\n"
    );
    caller.write_all(request.as_bytes()).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        caller.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    write_request(&mut caller, "plain", KEY_HEADER);
    let answer = read_message(&mut caller).expect("the answer to the next request");
    assert_eq!((answer.status(), &*answer.body), (200, "id: 1\ndata: d1\n\n"));
}

struct BodilessCase {
    route: &'static str,
    /// Start line and headers of the replica's response, whose status allows no body.
    response: &'static str,
}

// Guards against the framing of a body after a response without one, which the next response is taken for.
#[test]
fn a_response_whose_status_allows_no_body_has_none() {
    let cases = [
        BodilessCase { route: "unsafe", response: "204 No Content\r\n" },
        BodilessCase { route: "plain", response: "204 No Content\r\n" },
        BodilessCase { route: "plain", response: "204 No Content\r\nContent-Length: 0\r\n" },
        BodilessCase { route: "resumable", response: "204 No Content\r\n" },
        BodilessCase { route: "plain", response: "304 Not Modified\r\nContent-Length: 9\r\n" },
    ];
    for case in cases {
        let replica = FakeReplica::start("i-1", move |request, index, stream| {
            let id = request.header("berylstep-attempt-id").unwrap_or("-");
            let response = format!(
                "HTTP/1.1 {}Berylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: s\r\n\r\n",
                case.response
            );
            match index {
                0 => stream.write_all(response.as_bytes()).is_ok(),
                _ => respond(stream, request, 200, "Content-Type: text/plain\r\n", "next"),
            }
        });
        let fleet = start_fleet(case.route, &[&replica]);
        let mut caller = fleet.gateway.connect();
        write_request(&mut caller, case.route, KEY_HEADER);
        let first = read_message_head(&mut caller).expect("a head");
        let name = format!("{}, {}", case.route, first.head);
        assert!(case.response.starts_with(&first.status().to_string()), "{name}");
        assert!(first.header("transfer-encoding").is_none(), "{name}");
        write_request(&mut caller, case.route, KEY_HEADER);
        let next = read_message(&mut caller).map(|next| (next.status(), next.body));
        assert_eq!(next, Some((200, "next".to_owned())), "{name}");
    }
}
