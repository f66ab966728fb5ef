//! A faulty replica writes an earlier refusal once more on a kept connection, where the response to a
//! later request is due.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use berylstep_standins::fleet::gateway::{FleetGateway, WAIT_TIMEOUT};
use berylstep_standins::fleet::message::{read_message, request_text, respond, RawMessage};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

/// Time for which the replica runs a request.
const RUN_TIME: Duration = Duration::from_millis(60);

/// Requests by which the replica is asked to refuse them.
const REFUSE: &str = "X-Refuse: ";

/// Which request the copy of a refusal names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyName {
    /// The one that was refused.
    Refused,
    /// None.
    None,
    /// One with the identifier of the later request, whose caller used it twice.
    Same,
}

/// When the copy is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyTime {
    /// When the later request has arrived, before it runs.
    Before,
    /// Joined to the response.
    Joined,
    /// After the response.
    After,
}

#[derive(Clone, Copy, Debug)]
struct CopyCase {
    refusal: &'static str,
    name: CopyName,
    time: CopyTime,
}

const REFUSALS: &[&str] = &[
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
    "400 Bad Request",
];

fn refusal(status: &str, id: Option<&str>) -> String {
    let id = id.map(|id| format!("Berylstep-Attempt-Id: {id}\r\n")).unwrap_or_default();
    format!("HTTP/1.1 {status}\r\n{id}Berylstep-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull")
}

/// Refuses requests that ask for it, and runs all others. Writes a copy of the last refusal on the
/// connection when it runs the next one.
fn serve(
    case: CopyCase,
    request: &RawMessage,
    refused: &mut Option<String>,
    stream: &mut TcpStream,
) -> bool {
    let id = request.header("berylstep-attempt-id");
    if request.header("x-refuse").is_some() {
        *refused = id.map(str::to_owned);
        return stream.write_all(refusal(case.refusal, id).as_bytes()).is_ok();
    }
    let copy = refused.take().map(|first| match case.name {
        CopyName::None => refusal(case.refusal, None),
        CopyName::Refused | CopyName::Same => refusal(case.refusal, Some(&first)),
    });
    let copy = copy.unwrap_or_default();
    let at = |time| if case.time == time { copy.as_bytes() } else { &[] };
    let is_written = stream.write_all(at(CopyTime::Before)).is_ok();
    std::thread::sleep(RUN_TIME);
    let is_joined = stream.write_all(at(CopyTime::Joined)).is_ok();
    let is_answered = respond(stream, request, 200, "", "answer");
    is_written && is_joined && is_answered && stream.write_all(at(CopyTime::After)).is_ok()
}

fn start_replica(id: &str, case: CopyCase) -> FakeReplica {
    FakeReplica::start_with(id, move || {
        let mut refused = None;
        move |request: &RawMessage, stream: &mut TcpStream| {
            serve(case, request, &mut refused, stream)
        }
    })
}

struct CopyFleet {
    replicas: Vec<FakeReplica>,
    gateway: FleetGateway,
    _store: FakeStore,
}

fn start_fleet(route: &str, case: CopyCase) -> CopyFleet {
    let replicas = vec![start_replica("i-1", case), start_replica("i-2", case)];
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica.entry(route, "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    CopyFleet { replicas, gateway, _store: store }
}

impl CopyFleet {
    fn send(&self, route: &str, id: &str, headers: &str) -> u16 {
        let mut stream = TcpStream::connect(self.gateway.caller_address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let text = request_text(route, id, 2000, &format!("{KEY_HEADER}{headers}"));
        stream.write_all(text.as_bytes()).unwrap();
        read_message(&mut stream).map_or(0, |answer| answer.status())
    }

    /// Returns the number of times that the replicas ran the request `id`.
    fn runs(&self, id: &str) -> usize {
        let received = self.replicas.iter().flat_map(FakeReplica::received);
        let named = received.filter(|request| {
            request.header("berylstep-attempt-id") == Some(id)
                && request.header("x-refuse").is_none()
        });
        named.count()
    }
}

/// Guards against callers that are told "not run" for requests that a replica runs, and against such
/// requests that run at a second replica (REFUSED, TWICE).
#[test]
fn a_refusal_written_once_more_is_not_taken_for_the_response_to_a_later_request() {
    let mut failures = Vec::new();
    for refusal in REFUSALS {
        let mut checks = Vec::new();
        for name in [CopyName::Refused, CopyName::None, CopyName::Same] {
            for time in [CopyTime::Before, CopyTime::Joined, CopyTime::After] {
                let case = CopyCase { refusal, name, time };
                checks.push(std::thread::spawn(move || check(case)));
            }
        }
        failures.extend(checks.into_iter().filter_map(|check| check.join().unwrap().err()));
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn check(case: CopyCase) -> Result<(), String> {
    for route in ["unsafe", "safe"] {
        let fleet = start_fleet(route, case);
        for round in 0..12 {
            // Each replica refuses a request on some connection.
            let refused = format!("id-{round}-refused");
            for _ in 0..2 {
                fleet.send(route, &refused, &format!("{REFUSE}1\r\n"));
            }
            let id = match case.name {
                CopyName::Same => refused,
                CopyName::Refused | CopyName::None => format!("id-{round}"),
            };
            let status = fleet.send(route, &id, "");
            let runs = fleet.runs(&id);
            let is_true = match status {
                200 => runs >= 1,
                503 | 429 => runs == 0,
                // The replica broke the protocol, and nothing is promised.
                502 => true,
                _ => false,
            };
            let is_repeated = route == "unsafe" && runs > 1;
            if !is_true || is_repeated {
                return Err(format!("{case:?}, {route}: told {status}, ran {runs} times"));
            }
        }
    }
    Ok(())
}
