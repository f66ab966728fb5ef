//! Requests without a prompt that crash each replica that runs them, at a fleet of gateway processes.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::crash::{CrashingReplica, DownMode, ScriptStep};
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway};
use berylstep_standins::fleet::message::{read_message, respond, RawMessage};
use berylstep_standins::fleet::replica::entry;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

const GATEWAYS: u8 = 3;

/// Time for which a crashed replica is down.
const DOWN_TIME: Duration = Duration::from_millis(800);

/// Time for which a replica runs a request.
const RUN_TIME: Duration = Duration::from_millis(8);

/// Pause between a request and the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Each of so many requests is the one that crashes replicas.
const DEADLY_INTERVAL: usize = 8;

/// Crashes after which the fleet must have learnt, and the time in which it must.
const LEARNING_CRASHES: u64 = 3;
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Deadly requests that may reach replicas after that.
const MAX_LATE_REQUESTS: usize = 3;

/// Time for which requests are counted after that.
const COUNTED_TIME: Duration = Duration::from_secs(6);

/// Time within which a deadly request is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(150);

/// Time after its start within which a gateway has heard from its peers.
const NOTICE_TIME: Duration = Duration::from_secs(1);

const DEADLY: &str = "deadly";

fn is_deadly(request: &RawMessage) -> bool {
    request.body == DEADLY
}

fn serve(request: &RawMessage, stream: &mut TcpStream) -> ScriptStep {
    std::thread::sleep(RUN_TIME);
    if is_deadly(request) {
        return ScriptStep::Crash;
    }
    // A failed write means that the replica has crashed meanwhile.
    let _ = respond(stream, request, 200, "", "answer");
    ScriptStep::Answered
}

/// Serves like [`serve`], but answers a deadly request with a failure.
fn serve_or_fail(request: &RawMessage, stream: &mut TcpStream) -> ScriptStep {
    if !is_deadly(request) {
        return serve(request, stream);
    }
    let _ = respond(stream, request, 500, "", "failure");
    ScriptStep::Answered
}

struct DeadlyFleet {
    store: FakeStore,
    gateways: Vec<FleetGateway>,
    peer_port: u16,
    replicas: Vec<CrashingReplica>,
}

impl DeadlyFleet {
    fn start(case: DeadlyCase) -> Self {
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        let start = |n| {
            type Script = fn(&RawMessage, &mut TcpStream) -> ScriptStep;
            let serve: Script = if n < case.failing { serve_or_fail } else { serve };
            CrashingReplica::start_with(&format!("i-{n}"), DOWN_TIME, case.mode, serve)
        };
        let replicas: Vec<_> = (0..case.replicas).map(start).collect();
        let peer_port = free_address().port();
        replicas.iter().for_each(|replica| publish(&store, replica));
        let numbers = 2..2 + GATEWAYS;
        let gateways = numbers.map(|number| FleetGateway::start(&store, number, peer_port));
        Self { gateways: gateways.collect(), store, peer_port, replicas }
    }

    fn publish(&self) {
        self.replicas.iter().for_each(|replica| publish(&self.store, replica));
    }

    fn crashes(&self) -> u64 {
        self.replicas.iter().map(|replica| replica.starts() - 1).sum()
    }

    fn deadly_received(&self) -> usize {
        let received = self.replicas.iter().flat_map(CrashingReplica::received);
        received.filter(is_deadly).count()
    }
}

fn publish(store: &FakeStore, replica: &CrashingReplica) {
    let mut row = entry(replica.address, "safe", "ready");
    row["born"] = replica.starts().into();
    store.put("servers", &replica.id, Some(row));
}

struct SentRequest {
    /// Status of the answer; 0 if it broke off.
    status: u16,
    retry_after: Option<f64>,
    took: Duration,
}

/// Sends a request with this body; all other requests have the same path and caller.
fn send(gateway: &FleetGateway, id: usize, body: &str) -> SentRequest {
    let began = Instant::now();
    let mut stream = gateway.connect();
    let request = format!(
        "POST /safe/desk HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: id-{id}\r\n\
         Berylstep-Deadline-Milliseconds: 2000\r\n{KEY_HEADER}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let answer = read_message(&mut stream);
    SentRequest {
        status: answer.as_ref().map_or(0, RawMessage::status),
        retry_after: answer.and_then(|answer| answer.header("retry-after")?.parse().ok()),
        took: began.elapsed(),
    }
}

#[derive(Clone, Copy, Debug)]
struct DeadlyCase {
    replicas: usize,
    mode: DownMode,
    /// Replicas that answer the deadly request with a failure of their own.
    failing: usize,
}

/// Guards against a plain request that crashes replica after replica (BUDGET).
#[test]
fn a_plain_request_that_crashes_replicas_is_refused_and_others_are_served() {
    check_deadly_request(DeadlyCase { replicas: 6, mode: DownMode::Refused, failing: 0 });
}

/// Guards against the same where the request takes down all replicas of its service at once.
#[test]
fn a_deadly_request_is_known_where_all_replicas_of_a_service_crash() {
    check_deadly_request(DeadlyCase { replicas: 3, mode: DownMode::Refused, failing: 0 });
}

/// Guards against crashes that are not recognised because the host goes on accepting connections.
#[test]
fn a_deadly_request_is_known_where_hosts_of_crashed_replicas_accept_connections() {
    check_deadly_request(DeadlyCase { replicas: 6, mode: DownMode::Reset, failing: 0 });
}

/// Guards against a failure of a replica that is taken for proof that the request is sound.
#[test]
fn a_failure_of_a_replica_does_not_clear_a_deadly_request() {
    check_deadly_request(DeadlyCase { replicas: 6, mode: DownMode::Refused, failing: 4 });
}

fn check_deadly_request(case: DeadlyCase) {
    let fleet = DeadlyFleet::start(case);
    let mut counted_from: Option<Instant> = None;
    let (mut before, mut sound, mut served, mut refused) = (0, 0, 0, 0);
    for index in 0.. {
        fleet.publish();
        let gateway = &fleet.gateways[index % fleet.gateways.len()];
        let is_counted = counted_from.is_some_and(|at| Instant::now() >= at);
        if !is_counted {
            before = fleet.deadly_received();
        }
        match index % DEADLY_INTERVAL {
            0 => {
                let answer = send(gateway, index, DEADLY);
                if is_counted && answer.status == 503 {
                    refused += 1;
                    assert!(answer.retry_after.is_some_and(|wait| wait > 0.0), "{case:?}");
                    assert!(answer.took < REFUSAL_TIME, "{case:?}: {:?}", answer.took);
                }
            }
            remainder => {
                // One in four sound requests is the same again and again.
                let body = if remainder % 4 == 1 { "sound".into() } else { format!("b{index}") };
                let answer = send(gateway, index, &body);
                sound += usize::from(is_counted);
                served += usize::from(is_counted && answer.status == 200);
            }
        }
        if counted_from.is_none() && fleet.crashes() >= LEARNING_CRASHES {
            counted_from = Some(Instant::now() + CONTACT_TIME);
        }
        if counted_from.is_some_and(|at| Instant::now() >= at + COUNTED_TIME) {
            break;
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let late = fleet.deadly_received() - before;
    assert!(late <= MAX_LATE_REQUESTS, "{case:?}: {late} deadly requests reached replicas");
    assert!(served * 20 >= sound * 19, "{case:?}: {served} of {sound} sound requests served");
    assert!(refused >= 4, "{case:?}: {refused} deadly requests refused");
}

/// Guards against a restarted gateway that sends a request which the others know to crash replicas.
#[test]
fn a_restarted_gateway_learns_of_deadly_requests_from_its_peers() {
    let mut fleet =
        DeadlyFleet::start(DeadlyCase { replicas: 6, mode: DownMode::Refused, failing: 0 });
    let mut sent = 0;
    wait_until("the request is refused", || {
        fleet.publish();
        sent += 1;
        send(&fleet.gateways[0], sent, DEADLY).status == 503
    });
    std::thread::sleep(CONTACT_TIME + NOTICE_TIME);
    fleet.publish();
    drop(fleet.gateways.pop());
    let number = 2 + fleet.gateways.len() as u8;
    fleet.gateways.push(FleetGateway::start(&fleet.store, number, fleet.peer_port));
    std::thread::sleep(NOTICE_TIME);
    let before = fleet.deadly_received();
    for index in 0..20 {
        let answer = send(&fleet.gateways[fleet.gateways.len() - 1], index, DEADLY);
        assert_eq!(answer.status, 503, "request {index}");
    }
    assert_eq!(fleet.deadly_received(), before);
}
