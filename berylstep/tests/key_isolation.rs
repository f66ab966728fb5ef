//! Keys stay with their organisation, never reach an upstream, and stop working when withdrawn.

#[path = "support/fake_upstream.rs"]
mod fake_upstream;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use berylstep_core::key::KeyHash;
use berylstep_standins::client::CallRequest;
use berylstep_standins::site::{TrialSite, SITE_SECRET};
use fake_upstream::{configure, publish, respond, send_apart, wait_until};
use fake_upstream::{FakeUpstream, HILLS_KEY, RIVERS_KEY};
use serde_json::json;

/// Time within which a withdrawn key has to stop working, from the answer to the operator.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(2);

fn started_site() -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_node("a", &[]).unwrap();
    site.wait_ready();
    let search = ("search", json!({ "prefix": "/search" }), "idempotent");
    let booking = ("booking", json!({ "prefix": "/booking" }), "send_once");
    let drafter = ("drafter", json!({ "model": "drafter" }), "idempotent");
    configure(&site, 20_000, &[search, booking, drafter]);
    site
}

fn withdraw(site: &TrialSite, key: &str) {
    let hash = KeyHash::of(SITE_SECRET.as_bytes(), key).to_hex();
    let mut against = 0;
    wait_until("the withdrawal is stored", || {
        let change = json!({ "against": against, "remove": [format!("key/{hash}")] });
        let answer = site.apply(0, &change);
        against += 1;
        answer.status == 200
    });
}

fn stream_call(node: SocketAddr, key: &str) -> TcpStream {
    let body = r#"{"model":"drafter","stream":true,"messages":[]}"#;
    let mut caller = TcpStream::connect(node).unwrap();
    write!(
        caller,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    caller
}

/// Streams one token every 20 ms for as long as the node reads.
fn endless_engine() -> FakeUpstream {
    FakeUpstream::start(|_, stream| {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";
        let _ = stream.write_all(head.as_bytes());
        while stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    })
}

struct KeyCase {
    name: &'static str,
    target: String,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
}

#[test]
fn keys_stay_out_of_what_upstreams_see() {
    let site = started_site();
    let upstream = FakeUpstream::start(|_, stream| respond(stream, "text/plain", "found"));
    publish(&site, &[upstream.vm("s0", "search")]);
    let bearer = || ("authorization", format!("Bearer {RIVERS_KEY}"));
    let key_case = |name, target: &str, headers, status| KeyCase {
        name,
        target: target.to_owned(),
        headers,
        body: "{}".to_owned(),
        status,
    };
    let cases = [
        key_case("bearer", "/search", vec![bearer()], 200),
        key_case(
            "lower case",
            "/search",
            vec![("authorization", format!("bearer {RIVERS_KEY}"))],
            200,
        ),
        key_case("x-api-key", "/search", vec![("x-api-key", RIVERS_KEY.to_owned())], 200),
        key_case(
            "other header",
            "/search",
            vec![bearer(), ("x-extra", RIVERS_KEY.to_owned())],
            200,
        ),
        key_case("cookie", "/search", vec![bearer(), ("cookie", format!("k={RIVERS_KEY}"))], 200),
        key_case(
            "inside a header",
            "/search",
            vec![bearer(), ("x-a", format!("a {RIVERS_KEY}"))],
            200,
        ),
        key_case("another's key", "/search", vec![bearer(), ("x-a", HILLS_KEY.to_owned())], 200),
        key_case("two keys", "/search", vec![bearer(), ("x-api-key", HILLS_KEY.to_owned())], 401),
        key_case("query", &format!("/search?k={RIVERS_KEY}"), vec![bearer()], 400),
        key_case("another's query", &format!("/search?k={HILLS_KEY}"), vec![bearer()], 400),
        key_case("only in query", &format!("/search?k={RIVERS_KEY}"), vec![], 400),
        key_case("path", &format!("/search/{RIVERS_KEY}"), vec![bearer()], 400),
        KeyCase {
            body: format!("{{\"k\":\"{RIVERS_KEY}\"}}"),
            ..key_case("body", "/search", vec![bearer()], 400)
        },
        key_case("unknown", "/search", vec![("x-api-key", "no-such-key".to_owned())], 401),
        key_case("none", "/search", vec![], 401),
    ];
    let mut expected = 0;
    for case in cases {
        let body: serde_json::Value = serde_json::from_str(&case.body).unwrap();
        let mut call = CallRequest::post(site.nodes[0].caller_address, &case.target, &body);
        for (name, value) in &case.headers {
            call = call.header(name, value);
        }
        let answer = site.call(call);
        assert_eq!(answer.status, case.status, "{}: {}", case.name, answer.body);
        expected += usize::from(case.status == 200);
        let records = upstream.records();
        assert_eq!(records.len(), expected, "{}", case.name);
        for record in records {
            let seen = format!("{}\n{}", record.head, record.body);
            for key in [RIVERS_KEY, HILLS_KEY] {
                assert!(!seen.contains(key), "{}: a key reached the upstream", case.name);
            }
        }
    }
}

#[test]
fn a_withdrawn_key_ends_queued_and_streamed_work_and_spares_what_was_sent() {
    let site = started_site();
    let engine = endless_engine();
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let service = FakeUpstream::start(move |_, stream| {
        let _ = released.lock().unwrap().recv();
        respond(stream, "text/plain", "confirmed");
    });
    publish(&site, &[engine.vm("e0", "drafter"), service.vm("b0", "booking")]);
    let node = site.nodes[0].caller_address;
    let [mut withdrawn, mut kept] = [RIVERS_KEY, HILLS_KEY].map(|key| stream_call(node, key));
    let call = CallRequest::post(node, "/booking/1", &json!({})).key(RIVERS_KEY);
    let sent = send_apart(call);
    wait_until("all are running", || engine.records().len() == 2 && service.records().len() == 1);

    withdraw(&site, RIVERS_KEY);
    let began = Instant::now();
    withdrawn.set_read_timeout(Some(WITHDRAWAL_LIMIT)).unwrap();
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(count @ 1..) = withdrawn.read(&mut chunk) {
        received.extend_from_slice(&chunk[..count]);
        assert!(began.elapsed() < WITHDRAWAL_LIMIT, "the stream still runs");
    }
    let received = String::from_utf8_lossy(&received);
    assert!(received.contains("\"content\""), "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "the stream ended as if whole");
    let refused = site.call(CallRequest::get(node, "/search").key(RIVERS_KEY));
    assert_eq!((refused.status, &*refused.run), (401, "not-run"));

    release.send(()).unwrap();
    let answer = sent.join().unwrap();
    assert_eq!((answer.status, &*answer.body), (200, "confirmed"));
    for _ in 0..20 {
        assert!(kept.read(&mut chunk).unwrap() > 0, "another organisation's stream ended");
    }
}
