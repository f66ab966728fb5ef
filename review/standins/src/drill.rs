//! Replicas were restarted in place, one after the other. Later the store comes back from a copy some seconds
//! old, and a gateway is stopped as planned. Requesters take their streams up at the other gateway, where they
//! must go on: the replicas are sound and listed all the while.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::free_address;

use crate::engine::{ModelReplica, EVENTS};
use crate::fleet::{desired_state, request, GatewayPlan, Record};
use crate::silence::{model_route, SERVICE};
use crate::Verdict;

const STREAMS: usize = 14;

/// Events of a stream, which takes 11 s, and its requester's time limit.
const STREAM_EVENTS: u32 = 105;
const TIME_LIMIT: Duration = Duration::from_millis(12_000);

/// Time between the copy of the store and its return.
const COPY_AGE: Duration = Duration::from_secs(5);

pub fn run(record: &Record, directory: &Path, trouble: bool) -> Verdict {
    let store = FakeStore::start();
    let routes = [model_route("guest-ask", TIME_LIMIT.as_millis() as u64, 300, 2, 200)];
    store.put("op", "config", Some(desired_state(1, &routes)));
    let replica = |id: &str, version: &str| ModelReplica::start(id, version, 32, 8, record);
    let old = ["i-model-1", "i-model-2", "i-model-3"].map(|id| replica(id, "build-1"));
    let new = ["i-model-4", "i-model-5"].map(|id| replica(id, "build-2"));
    let publish = |replica: &ModelReplica| {
        store.put("servers", &replica.id, Some(replica.entry(SERVICE)));
    };
    old.iter().for_each(publish);
    let peer_port = free_address().port();
    let plans =
        [2, 3].map(|number| GatewayPlan::new(number, peer_port, store.address, directory, &[2, 3]));
    let mut gateways = Vec::new();
    for plan in &plans {
        gateways.push(plan.start(true).map_err(|err| err.to_string())?);
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(20))) {
        return Err("a gateway isn't ready".to_owned());
    }
    for replica in &old {
        // A planned restart: the entry is removed, and the replica serves on for `DrainMs` and a little longer.
        store.put("servers", &replica.id, None);
        std::thread::sleep(Duration::from_millis(2200));
        replica.crash();
        std::thread::sleep(Duration::from_millis(500));
        replica.start_process("build-1", Duration::ZERO);
        publish(replica);
        record.line(&format!("{} has been restarted under its identifier", replica.id));
        std::thread::sleep(Duration::from_millis(500));
    }
    std::thread::sleep(Duration::from_secs(1));
    // From here on nothing changes in the store but what gateways write.
    let copy = store.copy();
    std::thread::sleep(COPY_AGE);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, plans) = (record.clone(), plans.clone());
            std::thread::sleep(Duration::from_millis(20));
            std::thread::spawn(move || {
                let id = format!("ask-{number}");
                run_stream(&id, plans[0].callers(), plans[1].callers(), STREAM_EVENTS, &record)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        store.restore(&copy);
        record.line("the store is back from a copy 5 s old");
    }
    new.iter().for_each(publish);
    record.line("two replicas of build-2 are added");
    record.line("SIGTERM to gateway 2");
    gateways[0].terminate();
    // New streams at gateway 3, in the seconds in which the others are taken up.
    std::thread::sleep(Duration::from_millis(7_800));
    let begun: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, callers) = (record.clone(), plans[1].callers());
            std::thread::sleep(Duration::from_millis(40));
            std::thread::spawn(move || {
                let id = format!("new-{number}");
                let part = attempt(&id, "", 5, callers, Duration::from_secs(3));
                record.line(&format!("{id}: {part:?}"));
                part.events > 0
            })
        })
        .collect();
    let begun = begun.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    let ends: Vec<_> = streams.into_iter().filter_map(|it| it.join().ok()).collect();
    let taken_up = ends.iter().filter(|end| **end != TakeUp::NotNeeded).count();
    let gone_on = ends.iter().filter(|end| **end == TakeUp::GoneOn).count();
    record.line(&format!(
        "{taken_up} streams were taken up at gateway 3, {gone_on} went on; of {STREAMS} new streams {begun} began"
    ));
    gateways.iter_mut().for_each(|gateway| gateway.kill());
    if taken_up < 12 {
        return Err("fewer than 12 streams were taken up".to_owned());
    }
    // The share that goes on is under half of the share that begins.
    Ok(2 * gone_on * STREAMS >= begun * taken_up)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeUp {
    NotNeeded,
    GoneOn,
    Refused,
}

/// What came of one attempt.
#[derive(Debug)]
#[allow(dead_code, reason = "all of it goes into the record")]
pub struct StreamPart {
    pub status: String,
    pub events: usize,
    pub is_complete: bool,
}

/// Runs a stream at one gateway, and takes it up at the other when its connection breaks.
pub fn run_stream(
    id: &str,
    first: SocketAddr,
    second: SocketAddr,
    events: u32,
    record: &Record,
) -> TakeUp {
    let started = Instant::now();
    let part = attempt(id, "", events, first, TIME_LIMIT);
    record.line(&format!("{id}: {part:?}"));
    if part.is_complete || part.events == 0 {
        return TakeUp::NotNeeded;
    }
    // Requesters of these streams come back once, as on the site's sheet.
    let more = format!("Last-Event-Id: {}\r\nResumes: {id}\r\n", part.events);
    let left = TIME_LIMIT.saturating_sub(started.elapsed());
    let next = attempt(&format!("{id}-again"), &more, events, second, left);
    record.line(&format!("{id} taken up after event {}: {next:?}", part.events));
    match next.events {
        0 => TakeUp::Refused,
        _ => TakeUp::GoneOn,
    }
}

pub fn attempt(
    id: &str,
    more: &str,
    events: u32,
    callers: SocketAddr,
    limit: Duration,
) -> StreamPart {
    let more = format!("{EVENTS}: {events}\r\n{more}");
    let text = request("POST", "guest-ask", id, limit.as_millis() as u64, &more, "question");
    let mut received = Vec::new();
    if let Ok(mut stream) = TcpStream::connect_timeout(&callers, Duration::from_secs(1)) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let _ = stream.write_all(text.as_bytes());
        let mut block = [0; 4096];
        while let Ok(count) = stream.read(&mut block) {
            received.extend_from_slice(&block[..count]);
            let is_failure = received.starts_with(b"HTTP/1.1 5");
            if count == 0 || received.ends_with(b"0\r\n\r\n") || is_failure {
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&received);
    StreamPart {
        status: text.split(' ').nth(1).unwrap_or("-").to_owned(),
        events: text.matches("id: ").count(),
        is_complete: text.ends_with("0\r\n\r\n"),
    }
}
