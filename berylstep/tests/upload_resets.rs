//! Replicas that respond to a long upload, and end the connection while it is still being written, seen by the
//! callers of a gateway process.

use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_standins::fleet::early::{reset_on_close, EarlyReplica};
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{read_partial_message, RawMessage};
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::json;

/// Length of an upload; more than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 3 << 20;

/// Uploads of each case: which call meets the reset first depends on timing.
const UPLOADS: usize = 12;

/// Time in which the nodes of a fleet learn of each other.
const MEETING_TIME: Duration = Duration::from_millis(2200);

/// Time after which a request is offered to another replica, with some slack.
const SILENCE: Duration = Duration::from_millis(900);

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const LATER_EVENTS: &str = "id: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 6\ndata: f\n\n";

/// Framing of a replica's response.
#[derive(Clone, Copy, Debug)]
enum PartFraming {
    /// The response ends with its connection.
    Close,
    /// The response has a length, of which a part is written.
    Length,
    /// The response has chunks, without the last one.
    Chunked,
}

/// How the replica ends the connection.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// It resets the connection.
    Reset,
    /// It closes the connection while part of the upload is unread, which resets it.
    CloseUnread,
    /// It waits a moment, and resets the connection.
    LateReset,
    /// It ends its own direction in order, and reads on until the gateway closes the connection.
    Orderly,
}

/// What a replica sends as soon as it has the head of a request.
#[derive(Clone, Copy, Debug)]
struct EarlyResponse {
    framing: PartFraming,
    /// What arrives of the body.
    content: &'static str,
    end: ConnectionEnd,
}

impl EarlyResponse {
    const fn new(framing: PartFraming, content: &'static str, end: ConnectionEnd) -> Self {
        Self { framing, content, end }
    }

    /// Writes the head of a success and what arrives of its body, and prepares the end of the connection.
    fn write(&self, request: &RawMessage, stream: &mut TcpStream) {
        let id = request.header("berylstep-attempt-id").unwrap_or("-");
        let content = self.content;
        let content_type = match content.starts_with("id: ") {
            true => "text/event-stream",
            false => "text/plain",
        };
        let (header, body) = match self.framing {
            PartFraming::Close => (String::new(), content.to_owned()),
            PartFraming::Length => {
                (format!("Content-Length: {}\r\n", content.len() + 1), content.to_owned())
            }
            PartFraming::Chunked => (
                "Transfer-Encoding: chunked\r\n".to_owned(),
                format!("{:x}\r\n{content}\r\n", content.len()),
            ),
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: s\r\n\
             Content-Type: {content_type}\r\n{header}\r\n{body}"
        );
        stream.write_all(response.as_bytes()).expect("the gateway reads");
        match self.end {
            ConnectionEnd::Reset => reset_on_close(stream),
            ConnectionEnd::CloseUnread => {
                // Without unread bytes, the close would be an orderly one.
                let peeked = stream.peek(&mut [0]).expect("the gateway sends the body");
                assert_eq!(peeked, 1, "the gateway has closed the connection");
            }
            ConnectionEnd::LateReset => {
                std::thread::sleep(Duration::from_millis(15));
                reset_on_close(stream);
            }
            ConnectionEnd::Orderly => end_orderly(stream),
        }
    }
}

struct UploadCase {
    name: &'static str,
    route: &'static str,
    response: EarlyResponse,
    /// Whether the caller gets the content as a complete response.
    is_whole: bool,
}

const fn part(
    name: &'static str,
    route: &'static str,
    framing: PartFraming,
    content: &'static str,
    end: ConnectionEnd,
) -> UploadCase {
    UploadCase { name, route, response: EarlyResponse::new(framing, content, end), is_whole: false }
}

const SHORT_PART: &str = "short part of a body";
const LONG_PART: &str = match std::str::from_utf8(&[b'x'; 1200]) {
    Ok(part) => part,
    Err(_) => "",
};

const CASES: &[UploadCase] = &[
    part("reset, unsafe", "unsafe", PartFraming::Close, SHORT_PART, ConnectionEnd::Reset),
    part(
        "reset after a longer part",
        "unsafe",
        PartFraming::Close,
        LONG_PART,
        ConnectionEnd::Reset,
    ),
    part("late reset, unsafe", "unsafe", PartFraming::Close, SHORT_PART, ConnectionEnd::LateReset),
    part(
        "unread bytes, unsafe",
        "unsafe",
        PartFraming::Close,
        SHORT_PART,
        ConnectionEnd::CloseUnread,
    ),
    part("reset, safe", "safe", PartFraming::Close, SHORT_PART, ConnectionEnd::Reset),
    part("unread bytes, safe", "safe", PartFraming::Close, LONG_PART, ConnectionEnd::CloseUnread),
    part("reset, stream", "plain", PartFraming::Close, EVENTS, ConnectionEnd::Reset),
    part("unread bytes, stream", "plain", PartFraming::Close, EVENTS, ConnectionEnd::CloseUnread),
    part("reset, resumable stream", "resumable", PartFraming::Close, EVENTS, ConnectionEnd::Reset),
    part(
        "unread bytes, resumable",
        "resumable",
        PartFraming::Close,
        EVENTS,
        ConnectionEnd::CloseUnread,
    ),
    part("reset before the body", "unsafe", PartFraming::Close, "", ConnectionEnd::Reset),
    part("reset before the first event", "plain", PartFraming::Close, "", ConnectionEnd::Reset),
    part("reset, with a length", "unsafe", PartFraming::Length, SHORT_PART, ConnectionEnd::Reset),
    part("reset, chunked", "safe", PartFraming::Chunked, SHORT_PART, ConnectionEnd::Reset),
    part("reset, chunked stream", "plain", PartFraming::Chunked, EVENTS, ConnectionEnd::Reset),
    UploadCase {
        name: "orderly end, unsafe",
        route: "unsafe",
        response: EarlyResponse::new(PartFraming::Close, LONG_PART, ConnectionEnd::Orderly),
        is_whole: true,
    },
    UploadCase {
        name: "orderly end, stream",
        route: "plain",
        response: EarlyResponse::new(PartFraming::Close, EVENTS, ConnectionEnd::Orderly),
        is_whole: true,
    },
];

/// Ends the replica's direction, and reads until the gateway closes the connection.
fn end_orderly(stream: &mut TcpStream) {
    stream.shutdown(Shutdown::Write).expect("the connection is open");
    if let Err(err) = std::io::copy(stream, &mut std::io::sink()) {
        log::debug!("the gateway has reset the connection: {err}");
    }
}

fn start_store(replicas: &[(&EarlyReplica, &str)]) -> FakeStore {
    let store = FakeStore::start();
    let mut state = desired_state(1);
    state["Limits"]["BodyBytes"] = json!(UPLOAD_BYTES);
    store.put("op", "config", Some(state));
    for (replica, service) in replicas {
        store.put("servers", &replica.id, Some(replica.entry(service)));
    }
    store
}

/// Sends a request with a long body, and returns what arrives of the response and whether that is all.
fn upload(gateway: &FleetGateway, route: &str, id: &str) -> Option<(RawMessage, bool)> {
    let mut stream = gateway.connect();
    let head = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {id}\r\n\
         Berylstep-Deadline-Milliseconds: 3000\r\n{KEY_HEADER}Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let request = [head.as_bytes(), &vec![b'x'; UPLOAD_BYTES]].concat();
    stream.write_all(&request).expect("the gateway reads");
    read_partial_message(&mut BufReader::new(stream))
}

/// Returns the body of a success that the caller takes for a complete one.
fn complete_success(answer: Option<(RawMessage, bool)>) -> Option<String> {
    let complete = answer.filter(|(message, is_whole)| message.status() < 300 && *is_whole);
    complete.map(|(message, _)| message.body)
}

// Guards against a part of a response that passes for the whole one, because the reset of its connection was
// reported to the write of the request.
#[test]
fn a_reset_during_an_upload_never_completes_a_response() {
    let wrong = CASES.iter().map(|case| (case.name, count_wrong_uploads(case)));
    let wrong: Vec<_> = wrong.filter(|(_, wrong)| *wrong > 0).collect();
    assert!(wrong.is_empty(), "of {UPLOADS} each: {wrong:?}");
}

/// Returns how many of the uploads of a case did not end as the case says.
fn count_wrong_uploads(case: &'static UploadCase) -> usize {
    let replica = EarlyReplica::start("i-1", |request, stream| {
        case.response.write(request, stream);
    });
    let store = start_store(&[(&replica, case.route)]);
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    let expected = case.is_whole.then(|| case.response.content.to_owned());
    let completed = (0..UPLOADS)
        .map(|number| complete_success(upload(&gateway, case.route, &format!("id-{number}"))));
    let wrong = completed.filter(|body| *body != expected).count();
    assert_eq!(replica.received().len(), UPLOADS, "{}: requests at the replica", case.name);
    wrong
}

// Guards against a stream that ends as complete in place of going on elsewhere.
#[test]
fn a_stream_that_was_reset_during_its_upload_goes_on_at_another_replica() {
    let gateways = (0..UPLOADS).map(|number| {
        let replicas = ["i-1", "i-2"].map(|id| {
            EarlyReplica::start(id, |request, stream| {
                let response = match request.header("last-event-id") {
                    Some(_) => {
                        EarlyResponse::new(PartFraming::Close, LATER_EVENTS, ConnectionEnd::Orderly)
                    }
                    None => {
                        EarlyResponse::new(PartFraming::Close, EVENTS, ConnectionEnd::CloseUnread)
                    }
                };
                response.write(request, stream);
            })
        });
        let services = replicas.each_ref().map(|replica| (replica, "resumable"));
        let store = start_store(&services);
        let gateway = FleetGateway::start(&store, 4, free_address().port());
        complete_success(upload(&gateway, "resumable", &format!("id-{number}")))
    });
    let completed: Vec<_> = gateways.collect();
    let whole = Some([EVENTS, LATER_EVENTS].concat());
    assert!(completed.iter().all(|body| *body == whole), "{completed:?}");
}

// Guards against the same at the replica that a request is offered to while the first one is silent.
#[test]
fn a_reset_at_a_second_replica_never_completes_a_response() {
    const RESPONSE: EarlyResponse =
        EarlyResponse::new(PartFraming::Close, SHORT_PART, ConnectionEnd::Reset);
    for number in 0..UPLOADS {
        let is_first = Arc::new(AtomicBool::new(true));
        let replicas = ["i-1", "i-2"].map(|id| {
            let is_first = is_first.clone();
            EarlyReplica::start(id, move |request, stream| {
                match is_first.swap(false, Ordering::SeqCst) {
                    true => std::thread::sleep(SILENCE),
                    false => RESPONSE.write(request, stream),
                }
            })
        });
        let services = replicas.each_ref().map(|replica| (replica, "safe"));
        let store = start_store(&services);
        let gateway = FleetGateway::start(&store, 4, free_address().port());
        let completed = complete_success(upload(&gateway, "safe", &format!("id-{number}")));
        assert_eq!(completed, None, "upload {number}");
        assert!(replicas.iter().all(|replica| replica.received().len() == 1), "one was not asked");
    }
}

// Guards against the same where another node has taken the request over.
#[test]
fn a_reset_behind_a_handover_never_completes_a_response() {
    const CUT_OFF: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
    for (route, content) in [("safe", SHORT_PART), ("plain", EVENTS)] {
        let replicas = ["i-1", "i-2"].map(|id| {
            let response =
                EarlyResponse::new(PartFraming::Close, content, ConnectionEnd::CloseUnread);
            EarlyReplica::start_beyond(Some(CUT_OFF), id, move |request, stream| {
                response.write(request, stream);
            })
        });
        let services = replicas.each_ref().map(|replica| (replica, route));
        let store = start_store(&services);
        let peer_port = free_address().port();
        let gateways = [2, 3].map(|number| {
            let config = GatewayConfig {
                binds_upstreams: true,
                ..GatewayConfig::new(store.address, number, peer_port)
            };
            FleetGateway::start_with(&config)
        });
        std::thread::sleep(MEETING_TIME);
        let arrived = || replicas.iter().map(|replica| replica.received().len()).sum::<usize>();
        let mut sent = 0;
        wait_until("requests are handed over", || {
            sent += 1;
            let completed = complete_success(upload(&gateways[0], route, &format!("id-{sent}")));
            assert_eq!(completed, None, "{route}: upload {sent}");
            arrived() >= UPLOADS
        });
    }
}
