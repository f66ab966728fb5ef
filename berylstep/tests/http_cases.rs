//! What a node does with callers' requests that are malformed, too large or given up.

#[path = "support/fake_upstream.rs"]
mod fake_upstream;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_standins::site::TrialSite;
use fake_upstream::{configure, publish, respond, wait_until, FakeUpstream, RIVERS_KEY};
use serde_json::json;

const MAX_BODY_BYTES: usize = 2_000;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

fn started_site() -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_node("a", &["--max-body-bytes", &MAX_BODY_BYTES.to_string()]).unwrap();
    site.wait_ready();
    let booking = ("booking", json!({ "prefix": "/booking" }), "send_once");
    let search = ("search", json!({ "prefix": "/search" }), "idempotent");
    configure(&site, 20_000, &[booking, search]);
    site
}

fn head(target: &str, headers: &str) -> String {
    format!("POST {target} HTTP/1.1\r\nhost: n\r\nx-api-key: {RIVERS_KEY}\r\n{headers}\r\n")
}

fn exchange(address: SocketAddr, bytes: &str, closes: bool) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    if closes {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

struct EdgeCase {
    name: &'static str,
    bytes: String,
    closes: bool,
    status: &'static str,
    /// Requests that reach the upstream.
    sent: usize,
}

#[test]
fn malformed_requests_never_reach_an_upstream() {
    let site = started_site();
    let upstream = FakeUpstream::start(|_, stream| respond(stream, "text/plain", "confirmed"));
    publish(&site, &[upstream.vm("b0", "booking")]);
    let edge_case =
        |name, bytes, status, sent| EdgeCase { name, bytes, closes: false, status, sent };
    let truncated = head("/booking", "content-length: 20\r\n") + "seat=1";
    let twice = head("/booking", "content-length: 1\r\ncontent-length: 6\r\n") + "seat=1";
    let mixed = head("/booking", "content-length: 6\r\ntransfer-encoding: chunked\r\n") + "seat=1";
    let long_head = head("/booking", &format!("x: {}\r\n", "x".repeat(8_200)));
    let large = head("/booking", "content-length: 2001\r\n") + &"x".repeat(2_001);
    let close = "connection: close\r\ncontent-length: 6\r\n";
    let pair = head("/booking", "content-length: 6\r\n") + "seat=1" + &head("/booking", close);
    let cases = [
        edge_case("whole", head("/booking", close) + "seat=1", "200", 1),
        EdgeCase { closes: true, ..edge_case("truncated", truncated, "400", 0) },
        edge_case("two lengths", twice, "400", 0),
        edge_case("length and chunks", mixed, "400", 0),
        edge_case("malformed", "nonsense\r\n\r\n".to_owned(), "400", 0),
        edge_case("HTTP/1.0", "POST /booking HTTP/1.0\r\nhost: n\r\n\r\n".to_owned(), "505", 0),
        edge_case("long head", long_head, "431", 0),
        edge_case("large body", large, "413", 0),
        edge_case("expectation", head("/booking", "expect: wonders\r\n"), "417", 0),
        edge_case("pipelined", pair + "seat=2", "200", 2),
    ];
    let mut expected = 0;
    for case in cases {
        let answer = exchange(site.nodes[0].caller_address, &case.bytes, case.closes);
        let start = format!("HTTP/1.1 {} ", case.status);
        assert!(answer.starts_with(&start), "{}: {answer}", case.name);
        if case.sent == 0 {
            assert!(answer.contains("berylstep-run: not-run"), "{}: {answer}", case.name);
        }
        expected += case.sent;
        assert_eq!(upstream.records().len(), expected, "{}", case.name);
    }
}

#[test]
fn a_caller_that_leaves_cancels_idempotent_work() {
    let site = started_site();
    let cancelled = Arc::new(AtomicBool::new(false));
    let noted = cancelled.clone();
    let upstream = FakeUpstream::start(move |_, stream| {
        // The node closes the connection of work that nobody waits for.
        let closed = matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_));
        noted.store(closed, Ordering::SeqCst);
    });
    publish(&site, &[upstream.vm("s0", "search")]);
    let mut caller = TcpStream::connect(site.nodes[0].caller_address).unwrap();
    caller.write_all(head("/search", "content-length: 0\r\n").as_bytes()).unwrap();
    wait_until("the request arrived", || upstream.records().len() == 1);
    assert!(!cancelled.load(Ordering::SeqCst));
    drop(caller);
    wait_until("the work is cancelled", || cancelled.load(Ordering::SeqCst));
}
