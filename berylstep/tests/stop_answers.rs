//! A planned stop of a gateway: each request that it reads gets an answer that tells whether it may have run.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{read_message, request_text, respond, RawMessage};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

/// Time between the signal and the end of the process.
const GRACE: Duration = Duration::from_secs(5);

/// Time that a request has; more than is left of the grace time for one that arrives late.
const REQUEST_MS: u64 = 20_000;

/// A gateway before a replica that answers requests with the header `X-Quick` only.
struct StopFleet {
    replica: FakeReplica,
    gateway: FleetGateway,
    _store: FakeStore,
}

impl StopFleet {
    fn start() -> Self {
        let replica = FakeReplica::start("i-1", |request, _, stream| {
            if request.header("x-quick").is_some() {
                return respond(stream, request, 200, "", "answer");
            }
            std::thread::sleep(2 * GRACE);
            false
        });
        let store = FakeStore::start();
        let mut state = desired_state(1);
        for route in state["Routes"].as_array_mut().unwrap() {
            route["TimeoutMs"] = REQUEST_MS.into();
            // Both routes lead to the only replica.
            route["Service"] = "safe".into();
        }
        store.put("op", "config", Some(state));
        store.put("servers", "i-1", Some(replica.entry("safe", "ready")));
        let mut config = GatewayConfig::new(store.address, 2, free_address().port());
        config.overrides.insert("stop_grace_s".to_owned(), GRACE.as_secs_f64().into());
        let gateway = FleetGateway::start_with(&config);
        Self { replica, gateway, _store: store }
    }

    fn send(&self, route: &str, timeout_ms: u64, headers: &str) -> TcpStream {
        let mut stream = self.gateway.connect();
        let headers = format!("{KEY_HEADER}{headers}");
        stream.write_all(request_text(route, "id-1", timeout_ms, &headers).as_bytes()).unwrap();
        stream
    }

    fn wait_received(&self, count: usize) {
        wait_until("the replica has the request", || self.replica.received().len() >= count);
    }
}

struct StopCase {
    name: &'static str,
    route: &'static str,
    /// Time after the signal at which the request is sent; `None` for one that is sent before.
    sent_after: Option<Duration>,
    status: u16,
    /// Whether it may reach the replica.
    runs: bool,
}

// Guards against requests that a stopping node takes although they may outlast it, and then cuts without an answer, among
// them such as may not be repeated.
#[test]
fn a_stopping_gateway_answers_each_request_that_it_has_read() {
    let late = Some(Duration::from_millis(1500));
    let cases = [
        StopCase {
            name: "in progress, not repeatable",
            route: "unsafe",
            sent_after: None,
            status: 504,
            runs: true,
        },
        StopCase {
            name: "in progress, repeatable",
            route: "safe",
            sent_after: None,
            status: 504,
            runs: true,
        },
        StopCase {
            name: "late, not repeatable",
            route: "unsafe",
            sent_after: late,
            status: 503,
            runs: false,
        },
        StopCase {
            name: "late stream, not repeatable",
            route: "plain",
            sent_after: late,
            status: 503,
            runs: false,
        },
        StopCase {
            name: "late, repeatable",
            route: "safe",
            sent_after: late,
            status: 504,
            runs: true,
        },
    ];
    for case in cases {
        let mut fleet = StopFleet::start();
        let mut stream = match case.sent_after {
            None => {
                let stream = fleet.send(case.route, REQUEST_MS, "");
                fleet.wait_received(1);
                fleet.gateway.process.terminate();
                stream
            }
            Some(delay) => {
                fleet.gateway.process.terminate();
                std::thread::sleep(delay);
                fleet.send(case.route, REQUEST_MS, "")
            }
        };
        let answer = read_message(&mut stream);
        let status = answer.as_ref().map(RawMessage::status);
        assert_eq!(status, Some(case.status), "{}", case.name);
        assert_eq!(!fleet.replica.received().is_empty(), case.runs, "{}: has run", case.name);
        wait_until("the process ends", || fleet.gateway.process.exit_code() == Some(0));
    }
}

// Guards against a new connection that is closed unread while the process serves on, so that its caller can't tell whether
// the request ran.
#[test]
fn a_connection_that_is_opened_late_in_a_stop_is_read() {
    let fleet = StopFleet::start();
    let _held = fleet.send("safe", REQUEST_MS, "");
    fleet.wait_received(1);
    fleet.gateway.process.terminate();
    let stopped_at = Instant::now();
    let mut number = 1;
    while stopped_at.elapsed() < GRACE - Duration::from_millis(900) {
        let mut stream = fleet.gateway.connect();
        // A caller's request follows its connection after a round trip.
        std::thread::sleep(Duration::from_millis(50));
        let request = request_text("safe", "id-1", 300, &format!("{KEY_HEADER}X-Quick: 1\r\n"));
        let elapsed = stopped_at.elapsed();
        assert!(stream.write_all(request.as_bytes()).is_ok(), "{number}: closed at {elapsed:?}");
        let answer = read_message(&mut stream);
        let status = answer.as_ref().map(RawMessage::status);
        assert!(matches!(status, Some(200 | 503)), "{number}: {status:?} at {elapsed:?}");
        number += 1;
    }
}
