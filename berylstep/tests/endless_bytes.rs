//! Tests of a gateway process with replicas that send bytes without end: the connection is closed,
//! the caller gets a failure or a response that is visibly incomplete, and memory stays flat.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{write_request, FleetGateway};
use berylstep_standins::fleet::message::{begin_events, respond, RawMessage};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

/// Time within which a request ends; its deadline is two seconds.
const END_TIME: Duration = Duration::from_millis(2600);

/// Time in which a flood begins, and within which requests beside it are answered; that of a route whose
/// requests time out after two seconds.
const FLOOD_START: Duration = Duration::from_millis(300);
const FLOOD_ANSWER_TIME: Duration = Duration::from_millis(500);
const FLOOD_REQUESTS: usize = 15;

/// Requests at once, and the memory that all of them may take at a node of 160 MB.
const PARALLEL_REQUESTS: usize = 200;
const MAX_GROWTH_KIB: u64 = 80 * 1024;

const HEAD: &str = "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: id-1\r\n\
                    Berylstep-Replica-Signature: sig\r\n";

struct EndlessCase {
    name: &'static str,
    route: &'static str,
    /// Bytes sent once.
    start: fn(&RawMessage, &mut TcpStream) -> bool,
    /// Bytes sent again and again.
    repeated: &'static [u8],
    /// Whether the response may be complete, because only bytes after its end don't end.
    may_succeed: bool,
}

fn nothing(_: &RawMessage, _: &mut TcpStream) -> bool {
    true
}

const CASES: &[EndlessCase] = &[
    EndlessCase {
        name: "status line",
        route: "unsafe",
        start: |_, stream| stream.write_all(b"HTTP/1.1 200 O").is_ok(),
        repeated: b"OOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOO",
        may_succeed: false,
    },
    EndlessCase {
        name: "no HTTP at all",
        route: "unsafe",
        start: nothing,
        repeated: b"0123456789abcdef",
        may_succeed: false,
    },
    EndlessCase {
        name: "headers",
        route: "unsafe",
        start: |_, stream| stream.write_all(HEAD.as_bytes()).is_ok(),
        repeated: b"X-More: more\r\n",
        may_succeed: false,
    },
    EndlessCase {
        name: "interim responses",
        route: "unsafe",
        start: nothing,
        repeated: b"HTTP/1.1 102 Processing\r\n\r\n",
        may_succeed: false,
    },
    EndlessCase {
        name: "chunk size",
        route: "unsafe",
        start: |_, stream| {
            let head = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).is_ok()
        },
        repeated: b"0000000000000000",
        may_succeed: false,
    },
    EndlessCase {
        name: "chunk extension",
        route: "unsafe",
        start: |_, stream| {
            let head = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n5;x=");
            stream.write_all(head.as_bytes()).is_ok()
        },
        repeated: b"yyyyyyyyyyyyyyyy",
        may_succeed: false,
    },
    EndlessCase {
        name: "trailers",
        route: "unsafe",
        start: |_, stream| {
            let head = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n");
            stream.write_all(head.as_bytes()).is_ok()
        },
        repeated: b"X-More: more\r\n",
        may_succeed: false,
    },
    EndlessCase {
        name: "body beyond its length",
        route: "unsafe",
        start: |_, stream| {
            let head = format!("{HEAD}Content-Length: 2\r\n\r\nok");
            stream.write_all(head.as_bytes()).is_ok()
        },
        repeated: b"more and more",
        may_succeed: true,
    },
    EndlessCase {
        name: "body without length",
        route: "unsafe",
        start: |_, stream| stream.write_all(format!("{HEAD}\r\n").as_bytes()).is_ok(),
        repeated: &[b'x'; 4096],
        may_succeed: false,
    },
    EndlessCase {
        name: "event that never ends",
        route: "plain",
        start: |request, stream| begin_events(stream, request),
        repeated: b"10\r\ndata: abcdefgh\r\n\r\n",
        may_succeed: false,
    },
    EndlessCase {
        name: "body of a refusal",
        route: "unsafe",
        start: |_, stream| {
            let head = "HTTP/1.1 503 X\r\nBerylstep-Not-Executed: 1\r\n\r\n";
            stream.write_all(head.as_bytes()).is_ok()
        },
        repeated: b"busy",
        may_succeed: false,
    },
];

fn start_fleet(case: &'static EndlessCase) -> (FakeStore, FakeReplica, FleetGateway) {
    let replica = FakeReplica::start("i-1", |request, _, stream| {
        if !(case.start)(request, stream) {
            return false;
        }
        // Sends until the gateway closes the connection.
        let block = case.repeated.repeat((2048 / case.repeated.len()).max(1));
        while stream.write_all(&block).is_ok() {
            std::thread::sleep(Duration::from_millis(1));
        }
        false
    });
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    store.put("servers", "i-1", Some(replica.entry(case.route, "ready")));
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    (store, replica, gateway)
}

/// Reads until the gateway closes the connection; returns what it sent.
fn read_to_close(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    if let Err(err) = stream.read_to_end(&mut received) {
        assert_eq!(err.kind(), std::io::ErrorKind::ConnectionReset, "{err}");
    }
    received
}

fn is_complete_success(received: &[u8]) -> bool {
    let text = String::from_utf8_lossy(received);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let is_whole = match length {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
    head.starts_with("HTTP/1.1 200") && is_whole
}

#[test]
fn bytes_without_end_are_cut_off_and_never_look_like_a_complete_success() {
    for case in CASES {
        let (_store, _replica, gateway) = start_fleet(case);
        let mut stream = gateway.connect();
        let started = Instant::now();
        let headers = format!("{KEY_HEADER}Connection: close\r\n");
        write_request(&mut stream, case.route, &headers);
        let received = read_to_close(&mut stream);
        let elapsed = started.elapsed();
        assert!(elapsed < END_TIME, "{}: ended after {elapsed:?}", case.name);
        let succeeded = is_complete_success(&received);
        assert!(case.may_succeed || !succeeded, "{}: looks complete", case.name);
        let head = String::from_utf8_lossy(&received[..received.len().min(80)]).into_owned();
        assert!(head.starts_with("HTTP/1.1 "), "{}: {head:?}", case.name);
    }
}

struct FloodCase {
    name: &'static str,
    route: &'static str,
    start: fn(&RawMessage, &mut TcpStream) -> bool,
    repeated: &'static [u8],
}

const FLOOD_CASES: &[FloodCase] = &[
    FloodCase {
        name: "events",
        route: "plain",
        start: |request, stream| begin_events(stream, request),
        repeated: b"8\r\nid: 1\n\n\n\r\n",
    },
    FloodCase {
        name: "body without length",
        route: "unsafe",
        start: |_, stream| stream.write_all(format!("{HEAD}\r\n").as_bytes()).is_ok(),
        repeated: &[b'x'; 4096],
    },
];

// Guards against a response that arrives as fast as it is read and keeps all other tasks from running.
#[test]
fn a_body_without_end_at_full_speed_holds_up_no_other_request_and_ends_at_its_deadline() {
    for case in FLOOD_CASES {
        let flooding = FakeReplica::start("i-1", |request, _, stream| {
            let block = case.repeated.repeat((64 * 1024 / case.repeated.len()).max(1));
            let begun = (case.start)(request, stream);
            while begun && stream.write_all(&block).is_ok() {}
            false
        });
        let sound = FakeReplica::start("i-2", |request, _, stream| {
            respond(stream, request, 200, "", "answer")
        });
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        store.put("servers", "i-1", Some(flooding.entry(case.route, "ready")));
        store.put("servers", "i-2", Some(sound.entry("safe", "ready")));
        let gateway = FleetGateway::start(&store, 4, free_address().port());
        let mut stream = gateway.connect();
        let reading = std::thread::spawn(move || {
            let started = Instant::now();
            write_request(&mut stream, case.route, &format!("{KEY_HEADER}Connection: close\r\n"));
            let mut block = vec![0; 1 << 20];
            while stream.read(&mut block).is_ok_and(|count| count > 0) {}
            started.elapsed()
        });
        std::thread::sleep(FLOOD_START);
        for number in 0..FLOOD_REQUESTS {
            let started = Instant::now();
            let answer = gateway.send("safe", KEY_HEADER).expect("an answer");
            let elapsed = started.elapsed();
            assert_eq!(answer.status(), 200, "{}: request {number}", case.name);
            assert!(elapsed < FLOOD_ANSWER_TIME, "{}: {number} took {elapsed:?}", case.name);
            std::thread::sleep(Duration::from_millis(50));
        }
        let elapsed = reading.join().expect("the reader ends");
        assert!(elapsed < END_TIME, "{}: ended after {elapsed:?}", case.name);
    }
}

/// Returns the resident memory of a process, in KiB.
fn resident_kib(gateway: &FleetGateway) -> u64 {
    let path = format!("/proc/{}/status", gateway.process.id());
    let status = std::fs::read_to_string(path).expect("the gateway runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a line");
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).expect("a number")
}

#[test]
fn memory_stays_flat_with_many_at_once() {
    for case in CASES.iter().filter(|case| {
        ["headers", "event that never ends", "body without length"].contains(&case.name)
    }) {
        let (_store, _replica, gateway) = start_fleet(case);
        let before = resident_kib(&gateway);
        let headers = format!("{KEY_HEADER}Connection: close\r\n");
        let mut streams: Vec<_> = (0..PARALLEL_REQUESTS).map(|_| gateway.connect()).collect();
        streams.iter_mut().for_each(|stream| write_request(stream, case.route, &headers));
        let mut peak = before;
        let started = Instant::now();
        while started.elapsed() < END_TIME {
            peak = peak.max(resident_kib(&gateway));
            std::thread::sleep(Duration::from_millis(50));
        }
        let growth = peak - before;
        assert!(growth <= MAX_GROWTH_KIB, "{}: {growth} KiB", case.name);
        drop(streams);
    }
}
