//! A part of prompts that crashes each replica that begins to answer it, as the 18th of 20 parts.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_review_3::*;
use berylstep_standins::fleet::crash::{CrashingReplica, ScriptStep};
use berylstep_standins::fleet::lock;
use berylstep_standins::fleet::message::{respond, RawMessage};
use serde_json::json;

const REPLICAS: usize = 8;
const PARTS: usize = 20;
/// Place of the part that crashes replicas, from 0; without trouble it isn't in any prompt.
const BAD_PLACE: usize = 17;
const BAD_PART: &str = "bad0bad0";
const DOWN_TIME: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(40);
/// Requests with the part that may still reach replicas.
const ALLOWED: usize = 3;

fn main() {
    let record = begin();
    watch_time();
    let trouble = has_trouble();
    let crashes: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let reached: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let mut entries: Vec<ReplicaEntry> = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let born: Arc<Mutex<u64>> = Arc::new(Mutex::new(unix_ms()));
        let (crashes, reached, record, own) =
            (crashes.clone(), reached.clone(), record.clone(), (id.clone(), born.clone()));
        let script = move |request: &RawMessage, stream: &mut TcpStream| {
            if let Some(step) = misdirected(request, &own.0, stream) {
                return step;
            }
            let attempt = request.header("berylstep-attempt-id").unwrap_or("-").to_owned();
            let prefix = request.header("berylstep-prompt-prefix").unwrap_or_default();
            if prefix.split(',').any(|part| part.split(':').next() == Some(BAD_PART)) {
                lock(&reached).push(record.now());
                lock(&crashes).push(record.now());
                record.line(&format!("replica {} begins {attempt} and crashes", own.0));
                let born = own.1.clone();
                *lock(&born) = 0;
                std::thread::spawn(move || {
                    std::thread::sleep(DOWN_TIME);
                    *lock(&born) = unix_ms();
                });
                return ScriptStep::Crash;
            }
            std::thread::sleep(Duration::from_millis(20));
            let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            respond(stream, request, 200, "Content-Type: text/event-stream\r\n", events);
            ScriptStep::Answered
        };
        let replica = CrashingReplica::start(&id, DOWN_TIME, script);
        let entry = ReplicaEntry { born, ..ReplicaEntry::new(&id, "model", replica.address, 16) };
        entries.push(entry);
    }
    let routes = json!([{
        "Name": "ask", "Host": "h.example", "Prefix": "/ask/", "Kind": "stream", "TimeoutMs": 5000,
        "TargetLatencyMs": 400, "Priority": 0, "Service": "model", "Attempts": 1,
        "Resumable": false, "GapTargetMs": 400, "StickySessions": true,
    }]);
    let services = json!([{"Name": "model", "ConnectionLimit": 250,
                           "Engine": {"Slots": 16, "KvCacheTokens": 400000, "Stride": 5}}]);
    let desired = desired_state(routes, services);
    let deployment = Deployment::start(Plan { gateways: 3, desired, replicas: entries, binds_upstreams: false }, &record);
    let callers: Vec<_> = deployment.gateways.iter().map(|gateway| gateway.callers).collect();
    let end = Instant::now() + LENGTH;
    std::thread::scope(|scope| {
        for number in 0..6_usize {
            let (record, callers) = (&record, &callers);
            scope.spawn(move || {
                while Instant::now() < end {
                    let address = callers[fastrand::usize(..callers.len())];
                    send(address, false, record);
                    std::thread::sleep(Duration::from_millis(100 + number as u64));
                }
            });
        }
        let (record, callers) = (&record, &callers);
        scope.spawn(move || {
            std::thread::sleep(Duration::from_secs(3));
            while trouble && Instant::now() + CONTACT < end {
                let address = callers[fastrand::usize(..callers.len())];
                scope.spawn(move || send(address, true, record));
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    });
    let mut crashes = lock(&crashes).clone();
    crashes.sort();
    let fifth = crashes.get(4).copied();
    let is_late = |at: &&Duration| fifth.is_some_and(|fifth| **at > fifth + CONTACT);
    let late = lock(&reached).iter().filter(is_late).count();
    record.say(&format!(
        "crashes {}, the fifth at {:?}; requests with the part that reached replicas later than \
         {CONTACT:?} after it: {late}, allowed {ALLOWED}",
        crashes.len(),
        fifth
    ));
    match late > ALLOWED {
        true => deployment.end_with(BROKEN, &record, "BUDGET is broken"),
        false => deployment.end_with(HELD, &record, "BUDGET holds"),
    }
}

/// Answers a request that is for another replica.
fn misdirected(request: &RawMessage, id: &str, stream: &mut TcpStream) -> Option<ScriptStep> {
    let expected = request.header("berylstep-expected-replica")?;
    if expected == id {
        return None;
    }
    use std::io::Write;
    let attempt = request.header("berylstep-attempt-id").unwrap_or("-");
    let answer = format!(
        "HTTP/1.1 421 X\r\nBerylstep-Attempt-Id: {attempt}\r\nBerylstep-Replica-Id: {id}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let _ = stream.write_all(answer.as_bytes());
    Some(ScriptStep::Answered)
}

fn send(address: std::net::SocketAddr, is_bad: bool, record: &Record) {
    let attempt = attempt_id();
    let mut parts: Vec<_> = (0..PARTS - 1).map(|part| format!("{:08x}:100", 0x1000 + part)).collect();
    if is_bad {
        parts[BAD_PLACE] = format!("{BAD_PART}:100");
    }
    parts.push(format!("{:08x}:50", fastrand::u32(..)));
    let request = format!(
        "POST /ask/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {attempt}\r\n\
         Berylstep-Model: m\r\nBerylstep-Token-Counts: {},10\r\nBerylstep-Prompt-Prefix: {}\r\n\
         Berylstep-Deadline-Milliseconds: 5000\r\nX-Api-Key: {ORDINARY_KEY}\r\n\
         Content-Length: 4\r\n\r\nbody",
        PARTS * 100,
        parts.join(",")
    );
    let answer = Caller::connect(address)
        .ok()
        .and_then(|mut caller| caller.call(&request, Duration::from_millis(5500)));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("sent {attempt} with the part: {is_bad}, answered {status}"));
}
