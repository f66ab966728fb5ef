//! A gateway as a process, before replicas that fail in every way: answers are whole and the
//! caller's own, nothing runs twice that may not, and what a caller is told is true.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, write_request, FleetGateway};
use berylstep_standins::fleet::message::{
    begin_events, end_events, read_message, respond, write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::{FakeStore, StoreMode};
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use rustix::process::Signal;

/// One gateway before replicas of one service.
struct FleetTrial {
    store: FakeStore,
    gateway: FleetGateway,
}

fn trial(service: &str, replicas: &[&FakeReplica]) -> FleetTrial {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in replicas {
        store.put("servers", &replica.id, Some(replica.entry(service, "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    FleetTrial { store, gateway }
}

fn good(id: &str) -> FakeReplica {
    FakeReplica::start(id, |request, _, stream| respond(stream, request, 200, "", "answer"))
}

#[test]
fn a_request_is_passed_on_unchanged_and_its_answer_too() {
    let replica = good("i-1");
    let trial = trial("safe", &[&replica]);
    let answer =
        trial.gateway.send("safe", &format!("{KEY_HEADER}Berylstep-Tenant: forged\r\n")).unwrap();
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
fn requests_that_the_desired_state_does_not_allow_never_reach_a_replica() {
    let replica = good("i-1");
    let trial = trial("safe", &[&replica]);
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
        let answer = trial.gateway.send(case.route, case.headers).unwrap();
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
    /// Status of an idempotent request, which has a second replica.
    safe: u16,
    /// Status of a request that must run once at most.
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
            // The replica in the gateway's availability zone that comes first fails once.
            let (first, second) = (FakeReplica::start("i-1", fail_once(case.fail)), good("i-2"));
            let trial = trial(route, &[&first, &second]);
            let answers: Vec<_> =
                (0..2).map(|_| trial.gateway.send(route, KEY_HEADER).unwrap()).collect();
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
    let trial = trial("safe", &[&replicas[0], &replicas[1], &replicas[2]]);
    // More requests than the retry budget allows repeats.
    for _ in 0..80 {
        let answer = trial.gateway.send("safe", KEY_HEADER).unwrap();
        assert_eq!((answer.status(), &*answer.body), (500, "broken"));
        assert_eq!(answer.header("berylstep-replica-signature"), Some("sig"));
    }
    let runs: usize = replicas.iter().map(|replica| replica.received().len()).sum();
    assert!(runs <= 80 + 16 + 56, "{runs} runs are beyond the retry budget");
}

/// Fails the first request and answers all others.
fn fail_once(
    fail: Failure,
) -> impl Fn(&RawMessage, usize, &mut TcpStream) -> bool + Send + Sync + 'static {
    move |request, index, stream| match index {
        0 => fail(request, index, stream),
        _ => respond(stream, request, 200, "", "answer"),
    }
}

#[test]
fn a_late_answer_to_another_request_is_skipped() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        let late = "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: id-0\r\n\
                    Berylstep-Replica-Signature: sig\r\nContent-Length: 5\r\n\r\nother";
        stream.write_all(late.as_bytes()).is_ok() && respond(stream, request, 200, "", "answer")
    });
    let trial = trial("unsafe", &[&replica]);
    let answer = trial.gateway.send("unsafe", KEY_HEADER).unwrap();
    assert_eq!((answer.status(), &*answer.body), (200, "answer"));
}

#[test]
fn bytes_after_an_answer_belong_to_no_request() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        respond(stream, request, 200, "", "answer")
            && stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra").is_ok()
    });
    let trial = trial("safe", &[&replica]);
    for _ in 0..100 {
        assert_eq!(trial.gateway.send("safe", KEY_HEADER).unwrap().body, "answer");
    }
}

fn event_numbers(body: &str) -> Vec<u32> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|number| number.parse().unwrap()).collect()
}

#[test]
fn a_broken_stream_goes_on_elsewhere_without_a_gap_where_it_may() {
    let serve = |request: &RawMessage, index: usize, stream: &mut TcpStream| {
        let from = request.header("last-event-id").map_or(0, |id| id.parse::<u32>().unwrap());
        assert!(begin_events(stream, request));
        for number in from + 1..=6 {
            if index == 0 && from == 0 && number == 4 {
                // The event breaks off in its middle.
                let _ = stream.write_all(b"5\r\nid: 4\r\n");
                return false;
            }
            assert!(write_event(stream, number));
        }
        end_events(stream)
    };
    let replicas = [FakeReplica::start("i-1", serve), FakeReplica::start("i-2", serve)];
    let trial = trial("resumable", &[&replicas[0], &replicas[1]]);
    let answer = trial.gateway.send("resumable", KEY_HEADER).unwrap();
    assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_broken_stream_that_may_not_go_on_never_looks_whole() {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        assert!(begin_events(stream, request));
        write_event(stream, 1);
        false
    });
    let other = good("i-2");
    let trial = trial("plain", &[&replica]);
    assert!(trial.gateway.send("plain", KEY_HEADER).is_none(), "the answer looks whole");
    assert_eq!((replica.received().len(), other.received().len()), (1, 0));
}

#[test]
fn a_caller_that_leaves_ends_its_work() {
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
    let trial = trial("plain", &[&watched]);
    let mut caller = trial.gateway.connect();
    write_request(&mut caller, "plain", KEY_HEADER);
    wait_until("the replica works", || !watched.received().is_empty());
    std::thread::sleep(Duration::from_millis(100));
    let left = Instant::now();
    drop(caller);
    wait_until("the work ends", || ended.lock().unwrap().is_some());
    let took = ended.lock().unwrap().unwrap() - left;
    assert!(took < Duration::from_millis(500), "{took:?}");
}

#[test]
fn a_silent_replica_is_given_up_at_the_deadline_with_the_truth() {
    let replica = FakeReplica::start("i-1", |_, _, _| {
        std::thread::sleep(Duration::from_secs(5));
        false
    });
    let trial = trial("unsafe", &[&replica]);
    let began = Instant::now();
    let answer = trial.gateway.send("unsafe", KEY_HEADER).unwrap();
    assert_eq!(answer.status(), 504);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2500), "answered after {took:?}");
}

#[test]
fn a_leaving_replica_gets_no_more_requests_and_a_new_state_is_in_force() {
    let (first, second) = (good("i-1"), good("i-2"));
    let trial = trial("safe", &[&first, &second]);
    trial.store.put("servers", "i-1", Some(first.entry("safe", "draining")));
    std::thread::sleep(Duration::from_millis(500));
    for _ in 0..5 {
        assert_eq!(trial.gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
    }
    assert!(first.received().is_empty());
    let mut next = desired_state(9);
    next["Tenants"][0]["Keys"] = serde_json::json!(["another-key"]);
    trial.store.put("op", "config", Some(next));
    wait_until("the key is withdrawn", || {
        trial.gateway.send("safe", KEY_HEADER).unwrap().status() == 401
    });
    trial.store.put("op", "config", Some(desired_state(8)));
    std::thread::sleep(Duration::from_millis(300));
    let answer = trial.gateway.send("safe", KEY_HEADER).unwrap();
    assert_eq!(answer.status(), 401, "an older state must not come back");
}

#[test]
fn a_store_that_is_down_changes_nothing_for_callers() {
    let replica = good("i-1");
    let trial = trial("safe", &[&replica]);
    trial.store.set_mode(StoreMode::Down);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(trial.gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
    assert!(trial.gateway.is_ready());
    trial.store.set_mode(StoreMode::Up);
}

#[test]
fn a_store_that_was_silent_is_heard_again_soon_after_its_return() {
    let replica = good("i-1");
    let trial = trial("safe", &[&replica]);
    trial.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_secs(1));
    trial.store.set_mode(StoreMode::Up);
    let mut next = desired_state(5);
    next["Tenants"][0]["Keys"] = serde_json::json!(["another-key"]);
    trial.store.put("op", "config", Some(next));
    let changed = Instant::now();
    wait_until("the key is withdrawn", || {
        trial.gateway.send("safe", KEY_HEADER).unwrap().status() == 401
    });
    assert!(changed.elapsed() < Duration::from_secs(6), "{:?}", changed.elapsed());
}

#[test]
fn a_node_that_starts_while_the_store_turns_it_away_learns_from_others() {
    let replica = good("i-1");
    let (own, others) = (FakeStore::start(), FakeStore::start());
    others.put("op", "config", Some(desired_state(1)));
    others.put("servers", "i-1", Some(replica.entry("safe", "ready")));
    let port = free_address().port();
    let _other = FleetGateway::start(&others, 3, port);
    own.set_mode(StoreMode::Down);
    let began = Instant::now();
    let cut = FleetGateway::start(&own, 2, port);
    assert!(began.elapsed() < Duration::from_secs(3), "ready after {:?}", began.elapsed());
    assert_eq!(cut.send("safe", KEY_HEADER).unwrap().status(), 200);
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
    wait_until("both nodes are named", || nodes.iter().all(|node| node.addresses().len() == 2));
    let mut caller = nodes[1].connect();
    write_request(&mut caller, "safe", KEY_HEADER);
    wait_until("the request is at the replica", || !replica.received().is_empty());
    nodes[1].process.terminate();
    let answer = read_message(&mut caller).expect("the answer is whole");
    assert_eq!(answer.body, "answer");
    assert!(!nodes[1].is_ready());
    wait_until("the stopping node is no longer named", || nodes[0].addresses().len() == 1);
    // A caller with an old list still gets its answer.
    assert_eq!(nodes[1].send("safe", KEY_HEADER).unwrap().status(), 200);
    wait_until("the node has stopped", || nodes[1].process.exit_code() == Some(0));
}

#[test]
fn a_node_that_the_store_turns_away_learns_from_others() {
    let replica = good("i-1");
    let (own, others) = (FakeStore::start(), FakeStore::start());
    for store in [&own, &others] {
        store.put("op", "config", Some(desired_state(1)));
        store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
    }
    let port = free_address().port();
    let cut = FleetGateway::start(&own, 2, port);
    let _other = FleetGateway::start(&others, 3, port);
    wait_until("the nodes hear each other", || cut.addresses().len() == 2);
    own.set_mode(StoreMode::Down);
    let mut next = desired_state(5);
    next["Tenants"][0]["Keys"] = serde_json::json!(["another-key"]);
    others.put("op", "config", Some(next));
    let changed = Instant::now();
    wait_until("the cut node knows", || cut.send("safe", KEY_HEADER).unwrap().status() == 401);
    assert!(changed.elapsed() < Duration::from_secs(2), "{:?}", changed.elapsed());
}

#[test]
fn a_reload_keeps_old_settings_where_new_ones_are_invalid() {
    let replica = good("i-1");
    let mut trial = trial("safe", &[&replica]);
    std::fs::write(&trial.gateway.settings, "{").unwrap();
    trial.gateway.process.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(trial.gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
    assert_eq!(trial.gateway.process.exit_code(), None);
}
