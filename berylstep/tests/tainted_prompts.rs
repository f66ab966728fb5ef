//! Requests whose prompts crash replicas, at a fleet of gateway processes.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::crash::{CrashingReplica, ScriptStep};
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway};
use berylstep_standins::fleet::message::{
    begin_events, end_events, read_message, request_text, write_event, RawMessage,
};
use berylstep_standins::fleet::replica::entry;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

const REPLICAS: usize = 6;

/// Time for which a crashed replica is down.
const DOWN_TIME: Duration = Duration::from_millis(800);

/// Pause between a request and the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Each of so many requests has the part that crashes replicas.
const TAINTED_INTERVAL: usize = 8;

/// Number of crashes after which the fleet must have learnt, and the time in which it must.
const LEARNING_CRASHES: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Tainted requests that may reach replicas after that.
const MAX_LATE_REQUESTS: usize = 3;

/// Time after which gateways no longer repeat new evidence; only what is in quarantine is.
const EVIDENCE_NEWS_TIME: Duration = Duration::from_millis(3500);

/// Time after its start within which a gateway has heard from its peers.
const NOTICE_TIME: Duration = Duration::from_secs(1);

const TAINTED_PART: &str = "dead";

fn is_tainted(request: &RawMessage) -> bool {
    let prefix = request.header("berylstep-prompt-prefix").unwrap_or_default();
    prefix.split(',').any(|part| part.starts_with(TAINTED_PART))
}

fn serve(request: &RawMessage, stream: &mut TcpStream) -> ScriptStep {
    let begun = begin_events(stream, request);
    if is_tainted(request) {
        std::thread::sleep(Duration::from_millis(20));
        return ScriptStep::Crash;
    }
    // A failed write means that the replica has crashed meanwhile.
    let _ = begun && (1..=3).all(|number| write_event(stream, number)) && end_events(stream);
    ScriptStep::Answered
}

struct TaintedFleet {
    store: FakeStore,
    gateways: Vec<FleetGateway>,
    peer_port: u16,
    replicas: Vec<CrashingReplica>,
}

impl TaintedFleet {
    fn start() -> Self {
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        let replicas =
            (0..REPLICAS).map(|n| CrashingReplica::start(&format!("i-{n}"), DOWN_TIME, serve));
        let replicas: Vec<_> = replicas.collect();
        replicas.iter().for_each(|replica| publish(&store, replica));
        let peer_port = free_address().port();
        let gateways = [2, 3].map(|number| FleetGateway::start(&store, number, peer_port)).into();
        Self { store, gateways, peer_port, replicas }
    }

    fn tainted_received(&self) -> usize {
        let received = self.replicas.iter().flat_map(CrashingReplica::received);
        received.filter(is_tainted).count()
    }

    fn crashes(&self) -> usize {
        self.replicas.iter().map(|replica| replica.starts() as usize - 1).sum()
    }
}

fn publish(store: &FakeStore, replica: &CrashingReplica) {
    let mut row = entry(replica.address, "plain", "ready");
    row["born"] = replica.starts().into();
    store.put("servers", &replica.id, Some(row));
}

/// Sends one request; returns the response, or `None` if it broke off, and how long it took.
fn send(gateway: &FleetGateway, parts: &str) -> (Option<RawMessage>, Duration) {
    let began = Instant::now();
    let mut stream = gateway.connect();
    let headers = format!("{KEY_HEADER}Berylstep-Prompt-Prefix: {parts}\r\n");
    stream.write_all(request_text("plain", "id-1", 2000, &headers).as_bytes()).unwrap();
    (read_message(&mut stream), began.elapsed())
}

/// Guards against requests with one part in common that crash replica after replica (BUDGET).
#[test]
fn a_part_that_crashes_replicas_is_refused_and_requests_beside_it_are_served() {
    let fleet = TaintedFleet::start();
    let mut learnt_at: Option<Instant> = None;
    let (mut tainted_before, mut sound, mut served, mut refused) = (0, 0, 0, 0);
    for index in 0.. {
        fleet.replicas.iter().for_each(|replica| publish(&fleet.store, replica));
        let gateway = &fleet.gateways[index % fleet.gateways.len()];
        let is_late = learnt_at.is_some_and(|at| at.elapsed() > CONTACT_TIME);
        if !is_late {
            tainted_before = fleet.tainted_received();
        }
        // The tainted requests share their first two parts with sound ones.
        match index % TAINTED_INTERVAL {
            0 => {
                let (answer, took) = send(gateway, &format!("a:100,s:50,dead:9,t{index}:10"));
                let answer = answer.filter(|answer| is_late && answer.status() == 503);
                refused += usize::from(answer.is_some());
                if let Some(answer) = answer {
                    let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
                    assert!(wait > 0.0 && took < Duration::from_millis(500), "{wait} s, {took:?}");
                }
            }
            remainder => {
                let session = if remainder == 4 { "s".to_owned() } else { format!("s{index}") };
                let (answer, _) = send(gateway, &format!("a:100,{session}:50,u{index}:10"));
                sound += usize::from(is_late);
                served += usize::from(is_late && answer.is_some_and(|it| it.status() == 200));
            }
        }
        if learnt_at.is_none() && fleet.crashes() >= LEARNING_CRASHES {
            learnt_at = Some(Instant::now());
        }
        // A fleet that learns sooner has no fifth crash.
        if learnt_at.is_none() && index * REQUEST_INTERVAL.as_millis() as usize > 4000 {
            learnt_at = Some(Instant::now() - CONTACT_TIME);
        }
        if learnt_at.is_some_and(|at| at.elapsed() > CONTACT_TIME + Duration::from_secs(4)) {
            break;
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let late = fleet.tainted_received() - tainted_before;
    assert!(late <= MAX_LATE_REQUESTS, "{late} tainted requests reached replicas");
    assert!(sound >= 20 && served * 10 >= sound * 9, "{served} of {sound} sound requests served");
    assert!(refused >= 4, "{refused} tainted requests refused with a time to come back");
}

/// Guards against a restarted gateway that sends what the others know to crash replicas.
#[test]
fn a_restarted_gateway_learns_the_quarantine_from_its_peers() {
    let mut fleet = TaintedFleet::start();
    let mut sent = 0;
    wait_until("the part is quarantined", || {
        fleet.replicas.iter().for_each(|replica| publish(&fleet.store, replica));
        sent += 1;
        let (answer, _) = send(&fleet.gateways[0], &format!("a:100,s:50,dead:9,t{sent}:10"));
        answer.is_some_and(|answer| answer.status() == 503)
    });
    std::thread::sleep(EVIDENCE_NEWS_TIME);
    drop(fleet.gateways.pop());
    fleet.gateways.push(FleetGateway::start(&fleet.store, 3, fleet.peer_port));
    std::thread::sleep(NOTICE_TIME);
    let before = fleet.tainted_received();
    for index in 0..20 {
        let (answer, _) = send(&fleet.gateways[1], &format!("a:100,s:50,dead:9,r{index}:10"));
        assert_eq!(answer.map(|answer| answer.status()), Some(503), "request {index}");
    }
    assert_eq!(fleet.tainted_received(), before);
}
