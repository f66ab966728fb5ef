//! Connections between a gateway and the replicas are reset while safe requests are in progress.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_review_3::*;
use berylstep_standins::fleet::lock;
use berylstep_standins::fleet::message::{respond, RawMessage};
use berylstep_standins::fleet::replica::FakeReplica;
use serde_json::json;

const GATEWAYS: u8 = 10;
const REPLICAS: usize = 6;
const WORK: Duration = Duration::from_millis(300);
/// Share of requests that the application fails, as on the sheet of the small deployment.
const ERROR_SHARE: f64 = 0.14;
/// Requests that come at the same moment, and the time between two such moments.
const CLUMP: usize = 60;
const CLUMP_PAUSE: Duration = Duration::from_secs(1);
const CLUMPS: u32 = 24;
/// A reset strikes half of the connections of one gateway in ten, with each second clump.
const RESET_DELAY: Duration = Duration::from_millis(150);
const RESET_SHARE: f64 = 0.5;
/// Replicas that one attempt may be sent to.
const ATTEMPTS: usize = 2;
/// Attempts that may run on more.
const ALLOWED: usize = 3;

/// Connections on which requests of the gateway under trouble are in progress.
type Busy = Arc<Mutex<HashMap<String, TcpStream>>>;

fn main() {
    let record = begin();
    watch_time();
    let trouble = has_trouble();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let busy: Busy = Arc::default();
    let replicas = (0..REPLICAS).map(|number| start_replica(number, &record, &runs, &busy));
    let routes = json!([{
        "Name": "fetch", "Host": "h.example", "Prefix": "/fetch/", "Kind": "safe",
        "TimeoutMs": 1500, "TargetLatencyMs": 400, "Priority": 0, "Service": "desk",
        "Attempts": ATTEMPTS,
    }]);
    let services = json!([{"Name": "desk", "ConnectionLimit": 110}]);
    let desired = desired_state(routes, services);
    let plan = Plan { gateways: GATEWAYS, desired, replicas: replicas.collect(), binds_upstreams: false };
    let deployment = Deployment::start(plan, &record);
    std::thread::sleep(Duration::from_secs(2));
    let target = deployment.gateways[0].callers;
    let others: Vec<_> = deployment.gateways[1..].iter().map(|gateway| gateway.callers).collect();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let (record, stop) = (&record, &stop);
        for address in others {
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    fetch(address, record);
                    std::thread::sleep(Duration::from_millis(200));
                }
            });
        }
        for clump in 0..CLUMPS {
            let began = Instant::now();
            for _ in 0..CLUMP {
                scope.spawn(move || fetch(target, record));
            }
            if trouble && clump % 2 == 1 {
                std::thread::sleep(RESET_DELAY);
                reset_some(target, &busy, record);
            }
            std::thread::sleep(CLUMP_PAUSE.saturating_sub(began.elapsed()));
        }
        std::thread::sleep(Duration::from_secs(1));
        stop.store(true, Ordering::SeqCst);
    });
    let mut places: HashMap<String, HashSet<String>> = HashMap::new();
    for run in lock(&runs).iter() {
        places.entry(run.attempt.clone()).or_default().insert(run.replica.clone());
    }
    let beyond: Vec<_> = places.iter().filter(|(_, places)| places.len() > ATTEMPTS).collect();
    for (attempt, places) in &beyond {
        record.line(&format!("{attempt} ran on {places:?}"));
    }
    let count = beyond.len();
    record.say(&format!(
        "{} attempts ran; {count} of them on more than {ATTEMPTS} replicas, allowed {ALLOWED}",
        places.len()
    ));
    match count > ALLOWED {
        true => deployment.end_with(BROKEN, &record, "BUDGET is broken"),
        false => deployment.end_with(HELD, &record, "BUDGET holds"),
    }
}

fn start_replica(
    number: usize,
    record: &Record,
    runs: &Arc<Mutex<Vec<Run>>>,
    busy: &Busy,
) -> ReplicaEntry {
    let id = format!("i-{number}");
    let (own, record, runs, busy) = (id.clone(), record.clone(), runs.clone(), busy.clone());
    let script = move |request: &RawMessage, _: usize, stream: &mut TcpStream| {
        let attempt = request.header("berylstep-attempt-id").unwrap_or("-").to_owned();
        record.line(&format!("replica {own} begins {attempt}"));
        lock(&runs).push(Run { at: record.now(), attempt: attempt.clone(), replica: own.clone() });
        let key = format!("{attempt} {own}");
        if let Ok(copy) = stream.try_clone() {
            lock(&busy).insert(key.clone(), copy);
        }
        std::thread::sleep(WORK);
        lock(&busy).remove(&key);
        let status = if fastrand::f64() < ERROR_SHARE { 500 } else { 200 };
        record.line(&format!("replica {own} ends {attempt} with {status}"));
        respond(stream, request, status, "", "done")
    };
    let replica = FakeReplica::start(&id, script);
    ReplicaEntry::new(&id, "desk", replica.address, 12)
}

/// Resets half of the connections that carry a request of the gateway at `target`.
fn reset_some(target: SocketAddr, busy: &Busy, record: &Record) {
    let mark = mark_of(target);
    let mut reset = 0;
    for (key, stream) in lock(busy).iter() {
        if key.starts_with(&mark) && fastrand::f64() < RESET_SHARE {
            let socket = socket2::SockRef::from(stream);
            let is_set = socket.set_linger(Some(Duration::ZERO)).is_ok();
            if is_set && stream.shutdown(std::net::Shutdown::Both).is_ok() {
                reset += 1;
            }
        }
    }
    record.line(&format!("{reset} connections of the first gateway are reset"));
}

/// Returns how the identifiers of the attempts at a gateway begin, by which their connections are told.
fn mark_of(address: SocketAddr) -> String {
    format!("{:04x}", address.port())
}

fn fetch(address: SocketAddr, record: &Record) {
    let attempt = format!("{}{}", mark_of(address), &attempt_id()[4..]);
    let request = format!(
        "GET /fetch/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {attempt}\r\n\
         Berylstep-Deadline-Milliseconds: 1500\r\nX-Api-Key: {ORDINARY_KEY}\r\n\r\n"
    );
    let answer = Caller::connect(address)
        .ok()
        .and_then(|mut caller| caller.call(&request, Duration::from_millis(2000)));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("sent {attempt}, answered {status}"));
}
