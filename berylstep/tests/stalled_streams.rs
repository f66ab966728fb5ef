//! Tests of a gateway process with a replica that falls silent: a stream goes on wherever it can, and neither it
//! nor a request without a response is given up before another replica has taken it over.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_standins::fleet::gateway::{write_request, FleetGateway};
use berylstep_standins::fleet::message::{
    begin_events, end_events, read_message, respond, write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

/// Time for which the replica is silent; the gateway looks for another after 800 ms.
const SILENCE: Duration = Duration::from_millis(1200);

/// Time for which a replica holds a request that the caller no longer waits for.
const LONG_WAIT: Duration = Duration::from_millis(1900);

/// Events before the silence, and of the whole stream.
const EARLY_EVENTS: u32 = 2;
const ALL_EVENTS: u32 = 4;

type ReplicaScript = fn(&RawMessage, &mut TcpStream) -> bool;

struct StallCase {
    name: &'static str,
    /// What the silent replica does after its silence.
    original: ReplicaScript,
    /// What the other replica does when it is asked to go on.
    other: ReplicaScript,
    /// Whether the caller gets the whole stream.
    is_whole: bool,
}

fn finish(_: &RawMessage, stream: &mut TcpStream) -> bool {
    (EARLY_EVENTS + 1..=ALL_EVENTS).all(|number| write_event(stream, number)) && end_events(stream)
}

fn close(_: &RawMessage, _: &mut TcpStream) -> bool {
    false
}

fn stay_silent(_: &RawMessage, _: &mut TcpStream) -> bool {
    std::thread::sleep(LONG_WAIT);
    false
}

fn go_on(request: &RawMessage, stream: &mut TcpStream) -> bool {
    begin_events(stream, request) && finish(request, stream)
}

fn reject(request: &RawMessage, stream: &mut TcpStream) -> bool {
    respond(stream, request, 503, "Berylstep-Not-Executed: full\r\n", "full")
}

fn fail(request: &RawMessage, stream: &mut TcpStream) -> bool {
    respond(stream, request, 500, "", "failure")
}

const CASES: &[StallCase] = &[
    StallCase { name: "the other is full", original: finish, other: reject, is_whole: true },
    StallCase { name: "the other closes", original: finish, other: close, is_whole: true },
    StallCase { name: "the other fails", original: finish, other: fail, is_whole: true },
    StallCase { name: "the other queues", original: finish, other: stay_silent, is_whole: true },
    StallCase { name: "the other goes on", original: stay_silent, other: go_on, is_whole: true },
    StallCase { name: "both can", original: finish, other: go_on, is_whole: true },
    StallCase { name: "neither can", original: close, other: reject, is_whole: false },
];

/// Runs the first request for a stream up to the silence, and continuations as the case says.
fn serve(case: &StallCase, request: &RawMessage, stream: &mut TcpStream) -> bool {
    if request.header("last-event-id").is_some() {
        return (case.other)(request, stream);
    }
    let is_begun = begin_events(stream, request)
        && (1..=EARLY_EVENTS).all(|number| write_event(stream, number));
    std::thread::sleep(SILENCE);
    is_begun && (case.original)(request, stream)
}

// Guards against streams that are cut because their sound replica was silent and no other had room.
#[test]
fn a_stalled_stream_is_given_up_only_for_a_replica_that_goes_on() {
    let failed = CASES.iter().filter(|case| receives_whole_stream(case) != case.is_whole);
    let failed: Vec<_> = failed.map(|case| case.name).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

fn receives_whole_stream(case: &'static StallCase) -> bool {
    let replicas = ["i-1", "i-2"]
        .map(|id| FakeReplica::start(id, |request, _, stream| serve(case, request, stream)));
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica.entry("resumable", "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    let mut stream = gateway.connect();
    write_request(&mut stream, "resumable", KEY_HEADER);
    let answer = read_message(&mut std::io::BufReader::new(stream));
    let whole: String =
        (1..=ALL_EVENTS).map(|number| format!("id: {number}\ndata: d{number}\n\n")).collect();
    answer.is_some_and(|answer| answer.body == whole)
}

/// Time in which a replica that was silent from the start answers.
const FIRST_SILENCE: Duration = Duration::from_millis(1000);

struct SilentCase {
    name: &'static str,
    /// What the replica does that gets the request once the first has been silent for 500 ms.
    other: ReplicaScript,
}

const SILENT_CASES: &[SilentCase] = &[
    SilentCase { name: "the other is full", other: reject },
    SilentCase { name: "the other closes", other: close },
    SilentCase { name: "the other fails", other: fail },
    SilentCase { name: "the other answers", other: answer },
    SilentCase {
        name: "the other answers late",
        other: |request, stream| {
            std::thread::sleep(Duration::from_millis(300));
            answer(request, stream)
        },
    },
];

fn answer(request: &RawMessage, stream: &mut TcpStream) -> bool {
    respond(stream, request, 200, "", "answer")
}

// Guards against requests that fail since their sound replica was silent and no other had room.
#[test]
fn a_request_is_withdrawn_from_a_silent_replica_only_once_another_has_it() {
    let failed = SILENT_CASES.iter().filter(|case| !is_answered(case));
    let failed: Vec<_> = failed.map(|case| case.name).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

fn is_answered(case: &'static SilentCase) -> bool {
    let is_first = Arc::new(AtomicBool::new(true));
    let replicas = ["i-1", "i-2"].map(|id| {
        let is_first = is_first.clone();
        FakeReplica::start(id, move |request, _, stream| {
            if is_first.swap(false, Ordering::SeqCst) {
                std::thread::sleep(FIRST_SILENCE);
                return answer(request, stream);
            }
            (case.other)(request, stream)
        })
    });
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica.entry("safe", "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    gateway.send("safe", KEY_HEADER).is_some_and(|answer| answer.status() == 200)
}
