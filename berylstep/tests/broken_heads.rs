//! Replicas whose response heads are no HTTP: the caller of a gateway process gets a failure of the gateway's own, never a
//! part of what the replica sent.

use std::io::{BufReader, Write};

use berylstep_standins::fleet::gateway::FleetGateway;
use berylstep_standins::fleet::message::read_partial_message;
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

const ROUTES: [&str; 4] = ["unsafe", "safe", "plain", "resumable"];

/// Headers of a replica's own response to any request, which all have the same identifier.
const OWN_HEADERS: &str = "Berylstep-Attempt-Id: id-1\r\nBerylstep-Replica-Signature: s\r\n";

/// An event, so that it is content for the routes of streams too.
const CONTENT: &str = "id: 1\ndata: a\n\n";

/// A sound response, where nothing but content is due.
const SOUND_RESPONSE: &str = "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: id-1\r\n\
                              Berylstep-Replica-Signature: s\r\nContent-Length: 15\r\n\r\n\
                              id: 9\ndata: x\n\n";

/// Framing of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyKind {
    Length,
    Chunked,
    Close,
}

const BODY_KINDS: [BodyKind; 3] = [BodyKind::Length, BodyKind::Chunked, BodyKind::Close];

/// What a caller may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerAnswer {
    /// A failure of the gateway.
    Failure,
    /// The replica's complete response.
    Response,
}

struct HeadCase {
    name: &'static str,
    /// Version and status.
    start: &'static str,
    /// Lines after the headers of a replica's own response, each with its end.
    lines: &'static [u8],
    /// Content of the body.
    content: &'static str,
    answer: CallerAnswer,
}

const fn status_case(start: &'static str, content: &'static str) -> HeadCase {
    HeadCase { name: start, start, lines: b"", content, answer: CallerAnswer::Failure }
}

const STATUS_CASES: &[HeadCase] = &[
    HeadCase { answer: CallerAnswer::Response, ..status_case("HTTP/1.1 200", CONTENT) },
    HeadCase { answer: CallerAnswer::Response, ..status_case("HTTP/1.1 599", CONTENT) },
    status_case("HTTP/1.1 000", CONTENT),
    status_case("HTTP/1.1 000", ""),
    status_case("HTTP/1.1 000", SOUND_RESPONSE),
    status_case("HTTP/1.1 001", SOUND_RESPONSE),
    status_case("HTTP/1.1 099", SOUND_RESPONSE),
    status_case("HTTP/1.1 600", CONTENT),
    status_case("HTTP/1.1 700", CONTENT),
    status_case("HTTP/1.1 999", CONTENT),
    status_case("HTTP/1.1 0", CONTENT),
    status_case("HTTP/1.1 20", CONTENT),
    status_case("HTTP/1.1 2000", CONTENT),
    status_case("HTTP/1.1 -20", CONTENT),
    status_case("HTTP/1.1 2x0", CONTENT),
    status_case("HTTP/1.1  200", CONTENT),
    status_case("HTTP/2.0 200", CONTENT),
];

const fn line_case(name: &'static str, lines: &'static [u8]) -> HeadCase {
    let start = "HTTP/1.1 200";
    HeadCase { name, start, lines, content: CONTENT, answer: CallerAnswer::Failure }
}

const LINE_CASES: &[HeadCase] = &[
    HeadCase { answer: CallerAnswer::Response, ..line_case("sound", b"X-Sound_1: a\r\n") },
    line_case("blank inside", b"X Broken: a\r\n"),
    line_case("blank before", b" X-Broken: a\r\n"),
    line_case("blank after", b"X-Broken : a\r\n"),
    line_case("tab inside", b"X\tBroken: a\r\n"),
    line_case("tab before", b"\tX-Broken: a\r\n"),
    line_case("tab after", b"X-Broken\t: a\r\n"),
    line_case("line feed inside", b"X\nBroken: a\r\n"),
    line_case("line feed before", b"\nX-Broken: a\r\n"),
    line_case("line feed after", b"X-Broken\n: a\r\n"),
    line_case("line feeds before", b"\n\nX-Broken: a\r\n"),
    line_case("line feed alone", b"\n"),
    line_case("line feed after a line", b"X-Sound: a\r\n\nX-Broken: a\r\n"),
    line_case("two line feeds after a value", b"X-Sound: a\n\nX-Broken: a\r\n"),
    line_case("carriage return inside", b"X\rBroken: a\r\n"),
    line_case("carriage return before", b"\rX-Broken: a\r\n"),
    line_case("carriage return after", b"X-Broken\r: a\r\n"),
    line_case("null inside", b"X\0Broken: a\r\n"),
    line_case("null before", b"\0X-Broken: a\r\n"),
    line_case("bell inside", b"X\x07Broken: a\r\n"),
    line_case("vertical tab inside", b"X\x0bBroken: a\r\n"),
    line_case("form feed before", b"\x0cX-Broken: a\r\n"),
    line_case("escape inside", b"X\x1bBroken: a\r\n"),
    line_case("unit separator after", b"X-Broken\x1f: a\r\n"),
    line_case("delete inside", b"X\x7fBroken: a\r\n"),
    line_case("byte over 127", b"X\x80Broken: a\r\n"),
    line_case("letter over 127", b"X\xc3\xa9Broken: a\r\n"),
    line_case("no name", b": a\r\n"),
    line_case("no colon", b"X-Broken\r\n"),
    line_case("separator inside", b"X(Broken): a\r\n"),
    line_case("null in a value", b"X-Broken: a\0b\r\n"),
    line_case("carriage return in a value", b"X-Broken: a\rb\r\n"),
    line_case("value that is folded", b"X-Broken: a\r\n b\r\n"),
];

struct InterimCase {
    name: &'static str,
    /// Bytes before a sound response.
    interim: &'static [u8],
    answer: CallerAnswer,
}

const INTERIM_CASES: &[InterimCase] = &[
    InterimCase {
        name: "early hints",
        interim: b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n",
        answer: CallerAnswer::Response,
    },
    InterimCase {
        name: "early hints with a broken name",
        interim: b"HTTP/1.1 103 Early Hints\r\nX Broken: a\r\n\r\n",
        answer: CallerAnswer::Failure,
    },
    InterimCase {
        name: "early hints with a line feed before a name",
        interim: b"HTTP/1.1 103 Early Hints\r\n\nX-Broken: a\r\n\r\n",
        answer: CallerAnswer::Failure,
    },
    InterimCase {
        name: "switch to another protocol",
        interim: b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n",
        answer: CallerAnswer::Failure,
    },
    InterimCase {
        name: "status below 100",
        interim: b"HTTP/1.1 000 X\r\n\r\n",
        answer: CallerAnswer::Failure,
    },
];

/// Returns the bytes of a response.
fn encode(case: &HeadCase, kind: BodyKind) -> Vec<u8> {
    let length = case.content.len();
    let (header, body) = match kind {
        BodyKind::Length => (format!("Content-Length: {length}\r\n"), case.content.to_owned()),
        BodyKind::Chunked => {
            let chunk = match length {
                0 => String::new(),
                _ => format!("{length:x}\r\n{}\r\n", case.content),
            };
            ("Transfer-Encoding: chunked\r\n".to_owned(), format!("{chunk}0\r\n\r\n"))
        }
        BodyKind::Close => (String::new(), case.content.to_owned()),
    };
    let head = format!("{} X\r\n{OWN_HEADERS}", case.start);
    [head.as_bytes(), case.lines, header.as_bytes(), b"\r\n", body.as_bytes()].concat()
}

/// A response of a replica, and what its caller may get.
struct SentResponse {
    name: String,
    bytes: Vec<u8>,
    content: &'static str,
    answer: CallerAnswer,
    /// Whether its connection can be used again.
    keeps_open: bool,
}

/// Sends a request for each response on each route, and returns those whose caller got something else.
fn find_wrong_answers(responses: Vec<SentResponse>) -> Vec<String> {
    let sent: Vec<_> =
        responses.iter().map(|response| (response.bytes.clone(), response.keeps_open)).collect();
    let replica = FakeReplica::start("i-1", move |request, _, stream| {
        let number = request.target().rsplit('/').next().and_then(|text| text.parse().ok());
        let number: usize = number.expect("the target names a response");
        let (bytes, keeps_open) = &sent[number];
        stream.write_all(bytes).expect("the gateway reads");
        *keeps_open
    });
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for route in ROUTES {
        store.put("servers", &format!("i-{route}"), Some(replica.entry(route, "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    let mut wrong = Vec::new();
    for route in ROUTES {
        for (number, response) in responses.iter().enumerate() {
            let mut stream = gateway.connect();
            let request = format!(
                "POST /{route}/{number} HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: id-1\r\n\
                 Berylstep-Deadline-Milliseconds: 2000\r\n{KEY_HEADER}Content-Length: 0\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).expect("the gateway reads");
            let answer = read_partial_message(&mut BufReader::new(stream));
            let (message, is_whole) = answer.expect("the gateway answers");
            let is_own = message.header("berylstep-replica-signature").is_none();
            let is_right = match response.answer {
                CallerAnswer::Failure => is_own && message.status() == 502 && is_whole,
                CallerAnswer::Response => !is_own && is_whole && message.body == response.content,
            };
            if !is_right {
                wrong.push(format!("{route}, {}: status {}", response.name, message.status()));
            }
        }
    }
    assert_eq!(replica.received().len(), ROUTES.len() * responses.len(), "requests that arrived");
    wrong
}

/// Returns each case in each framing.
fn in_all_framings(cases: &'static [HeadCase]) -> Vec<SentResponse> {
    let framed = cases.iter().flat_map(|case| BODY_KINDS.map(|kind| (case, kind)));
    let responses = framed.map(|(case, kind)| SentResponse {
        name: format!("{}, {kind:?}", case.name),
        bytes: encode(case, kind),
        content: case.content,
        answer: case.answer,
        keeps_open: case.answer == CallerAnswer::Response && kind != BodyKind::Close,
    });
    responses.collect()
}

// Guards against a status that HTTP doesn't have, and against the body below it that is read as a response.
#[test]
fn a_status_that_http_does_not_have_never_reaches_a_caller() {
    let wrong = find_wrong_answers(in_all_framings(STATUS_CASES));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// Guards against a line that ends the head, or is passed on, because of the bytes in its name.
#[test]
fn a_malformed_header_never_reaches_a_caller() {
    let wrong = find_wrong_answers(in_all_framings(LINE_CASES));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// Guards against the same in a head that is skipped.
#[test]
fn a_malformed_interim_response_never_reaches_a_caller() {
    let responses = INTERIM_CASES.iter().map(|case| SentResponse {
        name: case.name.to_owned(),
        bytes: [case.interim, SOUND_RESPONSE.as_bytes()].concat(),
        content: "id: 9\ndata: x\n\n",
        answer: case.answer,
        keeps_open: case.answer == CallerAnswer::Response,
    });
    let wrong = find_wrong_answers(responses.collect());
    assert!(wrong.is_empty(), "{wrong:#?}");
}
