//! Streams of replicas that end early, seen by the callers of a gateway process.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_standins::fleet::crash::{CrashingReplica, ScriptStep};
use berylstep_standins::fleet::gateway::{wait_until, write_request, FleetGateway};
use berylstep_standins::fleet::message::{
    begin_events, begin_unframed_events, read_message, read_partial_message, request_text, respond,
    RawMessage,
};
use berylstep_standins::fleet::replica::{entry, FakeReplica};
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::json;
use socket2::SockRef;

const EVENTS: [&str; 3] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

/// Framing of a replica's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// The response ends with its connection.
    Close,
    /// The response ends with its last chunk.
    Chunked,
    /// The response ends with empty lines where a chunk size is due.
    ChunkedWithoutSize,
}

struct EndCase {
    name: &'static str,
    framing: Framing,
    /// Content of the response, whose connection or chunks then end in order.
    content: &'static str,
    /// Whether the content is the whole stream.
    whole: bool,
}

const ENDS: &[EndCase] = &[
    EndCase {
        name: "after the last event",
        framing: Framing::Close,
        content: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
        whole: true,
    },
    EndCase {
        name: "inside a field",
        framing: Framing::Close,
        content: "id: 1\ndata: a\n\nid: 2\nda",
        whole: false,
    },
    EndCase {
        name: "after a field",
        framing: Framing::Close,
        content: "id: 1\ndata: a\n\nid: 2\ndata: b\n",
        whole: false,
    },
    EndCase {
        name: "between the line ends of a blank line",
        framing: Framing::Close,
        content: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r",
        whole: false,
    },
    EndCase {
        name: "inside the first event",
        framing: Framing::Close,
        content: "id: 1\nda",
        whole: false,
    },
    EndCase { name: "before the first event", framing: Framing::Close, content: "", whole: false },
    EndCase {
        name: "chunks that end with a line without a size",
        framing: Framing::ChunkedWithoutSize,
        content: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        whole: false,
    },
    EndCase {
        name: "chunks that end inside an event",
        framing: Framing::Chunked,
        content: "id: 1\ndata: a\n\nid: 2\nda",
        whole: false,
    },
];

fn start_fleet(service: &str, replicas: &[&FakeReplica]) -> (FakeStore, FleetGateway) {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in replicas {
        store.put("servers", &replica.id, Some(replica.entry(service, "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    (store, gateway)
}

/// Writes a response with this content, whose end is in order; returns whether to keep the
/// connection open.
fn write_stream(
    stream: &mut TcpStream,
    request: &RawMessage,
    framing: Framing,
    content: &str,
) -> bool {
    write_message(stream, request, framing, content) && framing == Framing::Chunked
}

fn write_message(
    stream: &mut impl Write,
    request: &RawMessage,
    framing: Framing,
    content: &str,
) -> bool {
    match framing {
        Framing::Close => {
            begin_unframed_events(stream, request) && stream.write_all(content.as_bytes()).is_ok()
        }
        Framing::Chunked | Framing::ChunkedWithoutSize => {
            let last = if framing == Framing::Chunked { "0" } else { "" };
            let chunks = format!("{:x}\r\n{content}\r\n{last}\r\n\r\n", content.len());
            begin_events(stream, request) && stream.write_all(chunks.as_bytes()).is_ok()
        }
    }
}

/// Guards against a truncated stream that the caller takes for a complete one.
#[test]
fn a_stream_that_ends_inside_an_event_never_looks_complete() {
    for case in ENDS {
        let replica = FakeReplica::start("i-1", |request, _, stream| {
            write_stream(stream, request, case.framing, case.content)
        });
        let (_store, gateway) = start_fleet("plain", &[&replica]);
        let answer = gateway.send("plain", KEY_HEADER);
        let complete = answer.filter(|answer| answer.status() < 300).map(|answer| answer.body);
        let expected = case.whole.then(|| case.content.to_owned());
        assert_eq!(complete, expected, "{}", case.name);
    }
}

/// Guards against a resumable stream that is given up, or joined with a gap, when it was truncated.
#[test]
fn a_resumable_stream_that_ends_inside_an_event_goes_on_at_another_replica() {
    for case in ENDS {
        let armed = Arc::new(AtomicBool::new(true));
        let [first, second] = ["i-1", "i-2"].map(|id| {
            let armed = armed.clone();
            FakeReplica::start(id, move |request, _, stream| {
                if armed.swap(false, Ordering::SeqCst) {
                    return write_stream(stream, request, case.framing, case.content);
                }
                let last = request.header("last-event-id").map_or(0, |id| id.parse().unwrap());
                let rest = EVENTS[last..].concat();
                write_stream(stream, request, Framing::Close, &rest)
            })
        });
        let (_store, gateway) = start_fleet("resumable", &[&first, &second]);
        let answer = gateway.send("resumable", KEY_HEADER).map(|answer| answer.body);
        let answer = answer.map(|body| body.replace('\r', ""));
        assert_eq!(answer, Some(EVENTS.concat()), "{}", case.name);
    }
}

/// Time for which a crashed replica is down; longer than a test case takes.
const DOWN_TIME: Duration = Duration::from_secs(30);

struct CrashCase {
    name: &'static str,
    route: &'static str,
    /// What the replica had written when it crashed, and the state in its entry.
    content: &'static str,
    state: &'static str,
    /// Whether the caller may take the response for a complete one.
    whole: bool,
}

/// Guards against the close of a crashed replica that is taken for the end of its response.
#[test]
fn the_close_of_a_crashed_replica_never_completes_a_response() {
    let cases = [
        CrashCase {
            name: "stream between two events",
            route: "plain",
            content: EVENTS[0],
            state: "ready",
            whole: false,
        },
        CrashCase {
            name: "plain answer",
            route: "unsafe",
            content: "half an ans",
            state: "ready",
            whole: false,
        },
        CrashCase {
            name: "last stream of a replica that leaves",
            route: "plain",
            content: EVENTS[0],
            state: "draining",
            whole: true,
        },
    ];
    for case in cases {
        let (requested, written) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (on_request, may_write) = (requested.clone(), written.clone());
        let replica = CrashingReplica::start("i-1", DOWN_TIME, move |request, stream| {
            on_request.store(true, Ordering::SeqCst);
            wait_until("the entry is written", || may_write.load(Ordering::SeqCst));
            assert!(write_message(stream, request, Framing::Close, case.content));
            ScriptStep::Crash
        });
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        store.put("servers", "i-1", Some(entry(replica.address, case.route, "ready")));
        let gateway = FleetGateway::start(&store, 4, free_address().port());
        let mut caller = gateway.connect();
        caller.write_all(request_text(case.route, "id-1", 2000, KEY_HEADER).as_bytes()).unwrap();
        wait_until("the replica has the request", || requested.load(Ordering::SeqCst));
        store.put("servers", "i-1", Some(entry(replica.address, case.route, case.state)));
        std::thread::sleep(Duration::from_millis(300));
        written.store(true, Ordering::SeqCst);
        let answer = read_message(&mut caller).filter(|answer| answer.status() < 300);
        let expected = case.whole.then_some(case.content);
        assert_eq!(answer.as_ref().map(|answer| &*answer.body), expected, "{}", case.name);
    }
}

/// Guards against a reset connection that is taken for the end of a response without framing.
#[test]
fn a_reset_never_completes_a_response() {
    for (route, content) in [("plain", EVENTS[0]), ("unsafe", "half an ans"), ("plain", "")] {
        let replica = FakeReplica::start("i-1", move |request, _, stream| {
            assert!(write_message(stream, request, Framing::Close, content));
            // The gateway reads what was written before the reset discards it.
            std::thread::sleep(Duration::from_millis(50));
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap();
            false
        });
        let (_store, gateway) = start_fleet(route, &[&replica]);
        let answer = gateway.send(route, KEY_HEADER).filter(|answer| answer.status() < 300);
        assert!(answer.is_none(), "{route}, {content:?}: {answer:?}");
    }
}

struct BodyCase {
    content_type: &'static str,
    framing: Framing,
}

/// Guards against a response without events that is taken for a truncated stream.
#[test]
fn a_response_of_another_type_on_the_route_of_a_stream_is_relayed_whole() {
    let cases = [
        BodyCase { content_type: "application/json", framing: Framing::Chunked },
        BodyCase { content_type: "application/json; charset=utf-8", framing: Framing::Close },
    ];
    for case in cases {
        let replica = FakeReplica::start("i-1", move |request, _, stream| {
            let mut message = Vec::new();
            write_message(&mut message, request, case.framing, "{\"text\": \"answer\"}");
            let message = String::from_utf8(message).unwrap();
            let message = message.replace("text/event-stream", case.content_type);
            stream.write_all(message.as_bytes()).unwrap();
            false
        });
        let (_store, gateway) = start_fleet("plain", &[&replica]);
        let answer = gateway.send("plain", KEY_HEADER).expect("the response is complete");
        assert_eq!(answer.body, "{\"text\": \"answer\"}", "{}", case.content_type);
    }
}

struct HeadCase {
    name: &'static str,
    route: &'static str,
    /// Bytes before the head that is cut.
    before: &'static str,
    /// Headers and blank line, of which only a part is written.
    rest: &'static str,
}

const CUT_HEADS: &[HeadCase] = &[
    HeadCase {
        name: "with a length",
        route: "unsafe",
        before: "",
        rest: "Content-Length: 0\r\n\r\n",
    },
    HeadCase { name: "without a length", route: "unsafe", before: "", rest: "\r\n" },
    HeadCase {
        name: "chunked",
        route: "plain",
        before: "",
        rest: "Transfer-Encoding: chunked\r\n\r\n",
    },
    HeadCase {
        name: "of a stream without a length",
        route: "plain",
        before: "",
        rest: "Content-Type: text/event-stream\r\n\r\n",
    },
    HeadCase {
        name: "after an interim response",
        route: "unsafe",
        before: "HTTP/1.1 102 Processing\r\n\r\n",
        rest: "Content-Length: 0\r\n\r\n",
    },
    HeadCase {
        name: "after a response to another request",
        route: "unsafe",
        before: "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nok",
        rest: "Content-Length: 0\r\n\r\n",
    },
];

/// Guards against a success whose replica closed the connection inside its head (MIXED).
#[test]
fn a_head_that_is_cut_never_becomes_a_success() {
    for case in CUT_HEADS {
        let head = format!(
            "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: id-1\r\nBerylstep-Replica-Signature: s\r\n{}",
            case.rest
        );
        let cuts: Vec<_> = (0..head.len()).rev().step_by(3).collect();
        let (count, lengths) = (cuts.len(), cuts.clone());
        let replica = FakeReplica::start("i-1", move |_, index, stream| {
            let part = format!("{}{}", case.before, &head[..lengths[index % lengths.len()]]);
            if let Err(err) = stream.write_all(part.as_bytes()) {
                log::debug!("the gateway closed the connection: {err}");
            }
            false
        });
        let (_store, gateway) = start_fleet(case.route, &[&replica]);
        for _ in 0..count {
            let answer = gateway.send(case.route, KEY_HEADER);
            let status = answer.map_or(0, |answer| answer.status());
            assert!(!(200..300).contains(&status), "{}: {status}", case.name);
        }
        assert!(replica.received().len() >= count, "{}: too few were cut", case.name);
    }
}

struct ContinuationCase {
    name: &'static str,
    /// Answer of the replica that is asked to go on.
    answer: &'static str,
}

const CONTINUATIONS: &[ContinuationCase] = &[
    ContinuationCase {
        name: "success of another type",
        answer: "200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nfailure\n\n",
    },
    ContinuationCase {
        name: "success of another type that looks like an event",
        answer: "200 OK\r\nContent-Type: text/html\r\nContent-Length: 20\r\n\r\nid: 4\ndata: failed\n\n",
    },
    ContinuationCase { name: "no content", answer: "204 No Content\r\n\r\n" },
    ContinuationCase {
        name: "another success",
        answer: "202 Accepted\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\nid: 3\ndata: x\n\n",
    },
    ContinuationCase {
        name: "failure",
        answer: "500 Failed\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\nid: 3\ndata: x\n\n",
    },
];

/// Guards against an answer of another kind in the middle of a stream, or as its end (ORDER, MIXED).
#[test]
fn a_stream_goes_on_only_with_events() {
    for case in CONTINUATIONS {
        for framing in [Framing::Close, Framing::Chunked] {
            let replicas = ["i-1", "i-2"].map(|id| {
                FakeReplica::start(id, move |request, _, stream| {
                    if request.header("last-event-id").is_some() {
                        let head =
                            "Berylstep-Attempt-Id: id-1\r\nBerylstep-Replica-Signature: s\r\n";
                        let answer = case.answer.replacen("\r\n", &format!("\r\n{head}"), 1);
                        return stream.write_all(format!("HTTP/1.1 {answer}").as_bytes()).is_ok();
                    }
                    write_stream(stream, request, framing, "id: 1\ndata: a\n\nid: 2\nda")
                })
            });
            let (_store, gateway) = start_fleet("resumable", &[&replicas[0], &replicas[1]]);
            let mut caller = gateway.connect();
            write_request(&mut caller, "resumable", KEY_HEADER);
            let (message, is_whole) = read_partial_message(&mut caller).expect("a head");
            assert!(!is_whole, "{}, {framing:?}: looks complete", case.name);
            assert_eq!(message.body, EVENTS[0], "{}, {framing:?}", case.name);
        }
    }
}

/// Guards against a response without events that another replica's response is appended to (MIXED).
#[test]
fn a_response_without_events_is_not_resumed() {
    let replicas = ["i-1", "i-2"].map(|id| {
        FakeReplica::start(id, |request, index, stream| {
            let mut message = Vec::new();
            write_message(&mut message, request, Framing::Chunked, "half an answer\n\n");
            let message = String::from_utf8(message).unwrap();
            let message = message.replace("text/event-stream", "text/plain");
            let end = message.len() - if index == 0 { "0\r\n\r\n".len() } else { 0 };
            stream.write_all(&message.as_bytes()[..end]).is_ok() && index > 0
        })
    });
    let (_store, gateway) = start_fleet("resumable", &[&replicas[0], &replicas[1]]);
    let mut caller = gateway.connect();
    write_request(&mut caller, "resumable", KEY_HEADER);
    let (message, is_whole) = read_partial_message(&mut caller).expect("a head");
    assert!(!is_whole, "{message:?}");
    assert_eq!(message.body, "half an answer\n\n");
}

/// Events of the stream that is moved, one every [`EVENT_INTERVAL`].
const MOVED_EVENTS: usize = 200;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Streams numbered events until the run is stopped by a move; then closes the connection in order.
fn serve_movable_run(
    request: &RawMessage,
    stream: &mut TcpStream,
    stopped: &AtomicBool,
    answer_stop: ServeStop,
    moved_type: &str,
) -> bool {
    if request.target() == "/v1/kv-move" {
        let is_last = request.body.contains("\"Last\":true");
        stopped.fetch_or(is_last, Ordering::SeqCst);
        return match is_last {
            true => answer_stop(request, stream),
            false => respond(stream, request, 200, "", MOVED_HANDLE),
        };
    }
    let is_moved = request.header("kv-from").is_some();
    let last = request.header("last-event-id").map_or(0, |id| id.parse::<usize>().unwrap());
    let mut head = Vec::new();
    assert!(begin_unframed_events(&mut head, request));
    let mut head = String::from_utf8(head).unwrap();
    if is_moved {
        head = head.replace("text/event-stream", moved_type);
    }
    assert!(stream.write_all(head.as_bytes()).is_ok());
    for number in last + 1..=MOVED_EVENTS {
        if !is_moved && stopped.load(Ordering::SeqCst) {
            break;
        }
        let event = format!("id: {number}\ndata: d\n\n");
        assert!(stream.write_all(event.as_bytes()).is_ok());
        if !is_moved {
            std::thread::sleep(EVENT_INTERVAL);
        }
    }
    false
}

const MOVED_HANDLE: &str = "{\"Handle\": \"h1\", \"Created\": 1}";

/// Answers the call that stops a run; returns whether to keep the connection open.
type ServeStop = fn(&RawMessage, &mut TcpStream) -> bool;

struct MoveCase {
    name: &'static str,
    answer_stop: ServeStop,
    /// Media type of the response that continues the moved run.
    moved_type: &'static str,
    /// Whether the caller gets the whole stream.
    whole: bool,
}

/// Guards against a stream that looks complete where a move has stopped its run between two events.
#[test]
fn a_stream_that_a_move_has_stopped_goes_on_at_the_other_replica_or_breaks_off() {
    let cases = [
        MoveCase {
            name: "moved",
            answer_stop: |request, stream| respond(stream, request, 200, "", MOVED_HANDLE),
            moved_type: "text/event-stream",
            whole: true,
        },
        MoveCase {
            name: "moved, and answered without events",
            answer_stop: |request, stream| respond(stream, request, 200, "", MOVED_HANDLE),
            moved_type: "text/plain",
            whole: false,
        },
        MoveCase {
            name: "answer of the call lost",
            answer_stop: |_, _| false,
            moved_type: "text/event-stream",
            whole: false,
        },
        MoveCase {
            name: "no room at the other replica, after the run was stopped",
            answer_stop: |request, stream| respond(stream, request, 503, "", MOVED_HANDLE),
            moved_type: "text/event-stream",
            whole: true,
        },
        MoveCase {
            name: "no room at the other replica, and no handle",
            answer_stop: |request, stream| respond(stream, request, 503, "", "{}"),
            moved_type: "text/event-stream",
            whole: false,
        },
    ];
    for case in cases {
        let answer = move_stream(case.answer_stop, case.moved_type);
        let numbers = answer.map(|answer| {
            let numbers = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
            numbers.map(|number| number.parse().unwrap()).collect::<Vec<usize>>()
        });
        let expected = case.whole.then(|| (1..=MOVED_EVENTS).collect::<Vec<_>>());
        assert_eq!(numbers, expected, "{}", case.name);
    }
}

/// Sends a request whose replica leaves while it streams; returns the response if it is complete.
fn move_stream(answer_stop: ServeStop, moved_type: &'static str) -> Option<RawMessage> {
    let stopped = Arc::new(AtomicBool::new(false));
    let replicas = ["i-1", "i-2"].map(|id| {
        let stopped = stopped.clone();
        FakeReplica::start(id, move |request, _, stream| {
            serve_movable_run(request, stream, &stopped, answer_stop, moved_type)
        })
    });
    let store = FakeStore::start();
    let mut desired = desired_state(1);
    let services = desired["Services"].as_array_mut().unwrap();
    for service in services.iter_mut().filter(|service| service["Name"] == "plain") {
        service["Engine"] = json!({"Slots": 8, "KvCacheTokens": 10000, "Moves": true, "Stride": 1});
    }
    store.put("op", "config", Some(desired));
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica.entry("plain", "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    let mut caller = gateway.connect();
    let headers = format!("{KEY_HEADER}Berylstep-Token-Counts: 10,{MOVED_EVENTS}\r\n");
    caller.write_all(request_text("plain", "id-1", 3000, &headers).as_bytes()).unwrap();
    let mut source = None;
    wait_until("a replica has the request", || {
        source = replicas.iter().find(|replica| !replica.received().is_empty());
        source.is_some()
    });
    let source = source.unwrap();
    store.put("servers", &source.id, Some(source.entry("plain", "draining")));
    let answer = read_message(&mut caller);
    assert!(stopped.load(Ordering::SeqCst), "the run was not stopped");
    answer
}
