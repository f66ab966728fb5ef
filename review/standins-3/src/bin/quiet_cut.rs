//! Four of ten gateways are cut off from all replicas for 12 s, at a time of little traffic.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use berylstep_review_3::*;
use berylstep_standins::fleet::cut::{CutMode, CuttableReplica};
use berylstep_standins::fleet::lock;
use berylstep_standins::fleet::message::respond;
use serde_json::json;

const GATEWAYS: u8 = 10;
const CUT_GATEWAYS: usize = 4;
/// The cut in the users' record of this rule lasted 12 s.
const CUT_TIME: Duration = Duration::from_secs(12);
const CALM: Duration = Duration::from_secs(8);
const CONTACT: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_millis(15);
/// Mean time between two requests of a route at a gateway.
const PAUSE_MS: u64 = 2000;
const SERVICES: [(&str, &str); 3] = [("check", "safe"), ("fetch", "safe"), ("confirm", "unsafe")];

/// A first try of a caller.
struct Try {
    at: Duration,
    is_cut: bool,
    is_served: bool,
}

fn main() {
    let record = begin();
    watch_time();
    let trouble = has_trouble();
    let mut replicas = Vec::new();
    let mut entries = Vec::new();
    for (service, _) in SERVICES {
        for number in 0..3 {
            let id = format!("i-{service}-{number}");
            let (record, own) = (record.clone(), id.clone());
            let replica = CuttableReplica::start(&id, move |request, stream| {
                let attempt = request.header("berylstep-attempt-id").unwrap_or("-");
                record.line(&format!("replica {own} begins {attempt}"));
                std::thread::sleep(WORK);
                respond(stream, request, 200, "", "done")
            });
            entries.push(ReplicaEntry::new(&id, service, replica.address, 6));
            replicas.push(replica);
        }
    }
    let routes = SERVICES.map(|(name, kind)| {
        json!({
            "Name": name, "Host": "h.example", "Prefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 1500, "TargetLatencyMs": 100, "Priority": 0, "Service": name,
            "Attempts": if kind == "safe" { 2 } else { 1 },
        })
    });
    let services = SERVICES.map(|(name, _)| json!({"Name": name, "ConnectionLimit": 110}));
    let desired = desired_state(json!(routes), json!(services));
    let plan = Plan { gateways: GATEWAYS, desired, replicas: entries, binds_upstreams: true };
    let deployment = Deployment::start(plan, &record);
    std::thread::sleep(Duration::from_secs(2));
    let callers: Vec<_> = deployment.gateways.iter().map(|gateway| gateway.callers).collect();
    let cut: Vec<_> = callers[..CUT_GATEWAYS].iter().map(SocketAddr::ip).collect();
    let tries: Mutex<Vec<Try>> = Mutex::default();
    let end = record.now() + CALM + CUT_TIME;
    let cut_at = record.now() + CALM;
    std::thread::scope(|scope| {
        let (record, tries) = (&record, &tries);
        for (index, address) in callers.iter().copied().enumerate() {
            for (service, kind) in SERVICES {
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(fastrand::u64(..PAUSE_MS)));
                    while record.now() < end {
                        scope.spawn(move || {
                            let at = record.now();
                            let is_served = send(address, service, kind, record);
                            lock(tries).push(Try { at, is_cut: index < CUT_GATEWAYS, is_served });
                        });
                        let pause = PAUSE_MS * fastrand::u64(80..120) / 100;
                        std::thread::sleep(Duration::from_millis(pause));
                    }
                });
            }
        }
        std::thread::sleep(CALM);
        if trouble {
            record.line(&format!("{cut:?} are cut off from all replicas"));
            replicas.iter().for_each(|replica| replica.cut(&cut, CutMode::RequestSilent));
        }
        std::thread::sleep(CUT_TIME);
        replicas.iter().for_each(CuttableReplica::heal);
        record.line("the cut has ended");
    });
    let all_tries = std::mem::take(&mut *lock(&tries));
    let counted: Vec<_> =
        all_tries.iter().filter(|tried| tried.at >= cut_at + CONTACT && tried.at <= end).collect();
    let share = |is_cut: bool| {
        let there = counted.iter().filter(|tried| tried.is_cut == is_cut);
        let served = there.clone().filter(|tried| tried.is_served).count();
        (served, there.count())
    };
    let ((served, sent), (others_served, others_sent)) = (share(true), share(false));
    let allowed = 10 + counted.len() / 50;
    record.say(&format!(
        "first tries served at the gateways that were cut off: {served} of {sent}, at the others {others_served} \
         of {others_sent}; failed there: {}, allowed {allowed}",
        sent - served
    ));
    let is_rare = 3 * served * others_sent < 2 * others_served * sent;
    match is_rare && sent - served > allowed {
        true => deployment.end_with(BROKEN, &record, "RECOVER is broken"),
        false => deployment.end_with(HELD, &record, "RECOVER holds"),
    }
}

fn send(address: SocketAddr, service: &str, kind: &str, record: &Record) -> bool {
    let attempt = attempt_id();
    let method = if kind == "safe" { "GET" } else { "POST" };
    let request = format!(
        "{method} /{service}/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {attempt}\r\n\
         Berylstep-Deadline-Milliseconds: 1500\r\nX-Api-Key: {ORDINARY_KEY}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let answer = Caller::connect(address)
        .ok()
        .and_then(|mut caller| caller.call(&request, Duration::from_millis(2000)));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("sent {attempt} ({service}) to {address}, answered {status}"));
    status == 200
}
