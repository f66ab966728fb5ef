//! Tests of a gateway process with a replica that falls silent: a stream goes on wherever it can, and neither it
//! nor a request without a response is given up before another replica has taken it over.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_standins::fleet::early::reset_on_close;
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway};
use berylstep_standins::fleet::message::{
    begin_events, begin_unframed_events, end_events, read_message, request_text, respond,
    write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

/// Time for which the replica is silent; the gateway looks for another after 800 ms.
const SILENCE: Duration = Duration::from_millis(1200);

/// Cases that run at once, each with a gateway of its own.
const PARALLEL_CASES: usize = 5;

/// The longest silence of a sound replica.
const LONG_SILENCE: Duration = Duration::from_millis(1900);

/// Time for which the caller waits; the timeout of the route.
const CALLER_TIMEOUT_MS: u64 = 3000;

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

fn reject_for_a_while(request: &RawMessage, stream: &mut TcpStream) -> bool {
    respond(stream, request, 503, "Berylstep-Not-Executed: full\r\nRetry-After: 2\r\n", "full")
}

fn reject_late(request: &RawMessage, stream: &mut TcpStream) -> bool {
    std::thread::sleep(Duration::from_millis(300));
    reject(request, stream)
}

/// Begins an event and falls silent inside it.
fn begin_and_stay_silent(request: &RawMessage, stream: &mut TcpStream) -> bool {
    let begun = begin_events(stream, request) && stream.write_all(b"6\r\nid: 3\n\r\n").is_ok();
    begun && stay_silent(request, stream)
}

fn fail(request: &RawMessage, stream: &mut TcpStream) -> bool {
    respond(stream, request, 500, "", "failure")
}

const CASES: &[StallCase] = &[
    StallCase { name: "the other is full", original: finish, other: reject, is_whole: true },
    StallCase {
        name: "the other is full for a while",
        original: finish,
        other: reject_for_a_while,
        is_whole: true,
    },
    StallCase {
        name: "the other rejects late",
        original: finish,
        other: reject_late,
        is_whole: true,
    },
    StallCase {
        name: "the other begins and falls silent",
        original: finish,
        other: begin_and_stay_silent,
        is_whole: true,
    },
    StallCase { name: "the other closes", original: finish, other: close, is_whole: true },
    StallCase { name: "the other fails", original: finish, other: fail, is_whole: true },
    StallCase { name: "the other queues", original: finish, other: stay_silent, is_whole: true },
    StallCase { name: "the other goes on", original: stay_silent, other: go_on, is_whole: true },
    StallCase { name: "both can", original: finish, other: go_on, is_whole: true },
    StallCase { name: "neither can", original: close, other: reject, is_whole: false },
];

/// What else happens while the replica is silent.
#[derive(Clone, Copy, Debug)]
struct Surroundings {
    name: &'static str,
    silence: Duration,
    /// Whether the gateway gets SIGTERM shortly before the silence.
    stops: bool,
}

const SURROUNDINGS: &[Surroundings] = &[
    Surroundings { name: "calm", silence: SILENCE, stops: false },
    Surroundings { name: "a planned stop", silence: SILENCE, stops: true },
    Surroundings { name: "a long silence", silence: LONG_SILENCE, stops: false },
    Surroundings { name: "a long silence at a planned stop", silence: LONG_SILENCE, stops: true },
];

/// Runs the first request for a stream up to the silence, and continuations as the case says.
fn serve(
    case: &StallCase,
    silence: Duration,
    request: &RawMessage,
    stream: &mut TcpStream,
) -> bool {
    if request.header("last-event-id").is_some() {
        return (case.other)(request, stream);
    }
    let is_begun = begin_events(stream, request)
        && (1..=EARLY_EVENTS).all(|number| write_event(stream, number));
    std::thread::sleep(silence);
    is_begun && (case.original)(request, stream)
}

// Guards against streams that are cut because their sound replica was silent and no other had room.
#[test]
fn a_stalled_stream_is_given_up_only_for_a_replica_that_goes_on() {
    for surroundings in SURROUNDINGS {
        for group in CASES.chunks(PARALLEL_CASES) {
            let threads = group.iter().map(|case| {
                let run = move || receives_whole_stream(case, surroundings) == case.is_whole;
                (case.name, std::thread::spawn(run))
            });
            let threads: Vec<_> = threads.collect();
            let ended = threads.into_iter().map(|(name, thread)| (name, thread.join()));
            let failed = ended.filter(|(_, held)| !matches!(held, Ok(true)));
            let failed: Vec<_> = failed.map(|(name, _)| name).collect();
            assert!(failed.is_empty(), "{}: {failed:?}", surroundings.name);
        }
    }
}

/// Returns the event with the identifier `number`, as the replicas write it.
fn event_text(number: u32) -> String {
    format!("id: {number}\ndata: d{number}\n\n")
}

/// Starts a gateway before these replicas of a service.
fn start_gateway(replicas: &[FakeReplica], service: &str) -> (FakeStore, FleetGateway) {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in replicas {
        store.put("servers", &replica.id, Some(replica.entry(service, "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    (store, gateway)
}

fn receives_whole_stream(case: &'static StallCase, surroundings: &'static Surroundings) -> bool {
    let replicas = ["i-1", "i-2"].map(|id| {
        FakeReplica::start(id, |request, _, stream| {
            serve(case, surroundings.silence, request, stream)
        })
    });
    let (_store, gateway) = start_gateway(&replicas, "resumable");
    let mut stream = gateway.connect();
    let request = request_text("resumable", "id-1", CALLER_TIMEOUT_MS, KEY_HEADER);
    stream.write_all(request.as_bytes()).expect("the gateway reads");
    if surroundings.stops {
        // The replica is silent once it has the request and has sent its first events.
        wait_until("a replica has the request", || {
            replicas.iter().any(|replica| !replica.received().is_empty())
        });
        gateway.process.terminate();
    }
    let answer = read_message(&mut std::io::BufReader::new(stream));
    let whole: String = (1..=ALL_EVENTS).map(event_text).collect();
    answer.is_some_and(|answer| answer.body == whole)
}

/// Time after which a silent replica resets its stream, while the gateway still asks another one.
const RESET_TIME: Duration = Duration::from_millis(1000);

struct ResetCase {
    name: &'static str,
    /// What the other replica does when it is asked to go on.
    other: ReplicaScript,
    /// Whether the caller gets the whole stream.
    is_whole: bool,
}

const RESET_CASES: &[ResetCase] = &[
    ResetCase { name: "the other rejects before", other: reject, is_whole: false },
    ResetCase { name: "the other rejects after", other: reject_late, is_whole: false },
    ResetCase { name: "the other queues", other: stay_silent, is_whole: false },
    ResetCase {
        name: "the other goes on after",
        other: |request, stream| {
            std::thread::sleep(Duration::from_millis(300));
            go_on(request, stream)
        },
        is_whole: true,
    },
];

/// Writes the first events of a stream that ends with its connection, and resets it after a silence.
fn stall_and_reset(request: &RawMessage, stream: &mut TcpStream) -> bool {
    let events: String = (1..=EARLY_EVENTS).map(event_text).collect();
    let is_begun =
        begin_unframed_events(stream, request) && stream.write_all(events.as_bytes()).is_ok();
    assert!(is_begun, "the gateway reads");
    std::thread::sleep(RESET_TIME);
    reset_on_close(stream);
    false
}

// Guards against a stream that ends as complete, because its reset was reported while another replica was asked.
#[test]
fn a_reset_of_a_stalled_stream_never_completes_it() {
    let threads = RESET_CASES.iter().map(|case| {
        let run = move || {
            let replicas = ["i-1", "i-2"].map(|id| {
                FakeReplica::start(id, |request, _, stream| {
                    match request.header("last-event-id").is_some() {
                        true => (case.other)(request, stream),
                        false => stall_and_reset(request, stream),
                    }
                })
            });
            let (_store, gateway) = start_gateway(&replicas, "resumable");
            let mut stream = gateway.connect();
            let request = request_text("resumable", "id-1", CALLER_TIMEOUT_MS, KEY_HEADER);
            stream.write_all(request.as_bytes()).expect("the gateway reads");
            read_message(&mut std::io::BufReader::new(stream)).map(|answer| answer.body)
        };
        (case, std::thread::spawn(run))
    });
    let threads: Vec<_> = threads.collect();
    let ended = threads.into_iter().map(|(case, thread)| (case, thread.join()));
    let ended: Vec<_> = ended.collect();
    let whole: String = (1..=ALL_EVENTS).map(event_text).collect();
    let failed = ended.iter().filter(|(case, received)| {
        let expected = case.is_whole.then_some(&*whole);
        !received.as_ref().is_ok_and(|received| received.as_deref() == expected)
    });
    let failed: Vec<_> = failed.map(|(case, _)| case.name).collect();
    assert!(failed.is_empty(), "{failed:?}");
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
    SilentCase { name: "the other rejects late", other: reject_late },
    SilentCase { name: "the other is full for a while", other: reject_for_a_while },
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
    let (_store, gateway) = start_gateway(&replicas, "safe");
    gateway.send("safe", KEY_HEADER).is_some_and(|answer| answer.status() == 200)
}
