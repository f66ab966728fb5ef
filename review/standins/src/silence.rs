//! A sound replica falls silent for a second or so, around a planned stop of the gateway, while the other
//! replicas are full. No stream may be cut.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::free_address;
use serde_json::{json, Value};

use crate::engine::{ModelReplica, EVENTS};
use crate::fleet::{desired_state, request, route, GatewayPlan, Record};
use crate::Verdict;

pub const SERVICE: &str = "skipper-model";

/// Slots and places in the queue of each replica.
const SLOTS: usize = 4;
const QUEUE: usize = 2;

/// Time for which the replica is silent.
const SILENCE: Duration = Duration::from_millis(1000);

/// Time before which the gateways are in touch, from their start.
const CONTACT_TIME: Duration = Duration::from_millis(3500);

pub fn model_route(
    name: &str,
    timeout_ms: u64,
    target_ms: u64,
    attempts: u32,
    gap_ms: u64,
) -> Value {
    let mut route = route(name, "stream", timeout_ms, target_ms, attempts);
    route["Service"] = json!(SERVICE);
    route["GapTargetMs"] = json!(gap_ms);
    route["Resumable"] = json!(attempts > 1);
    route
}

pub fn run(record: &Record, directory: &Path, trouble: bool) -> Verdict {
    let store = FakeStore::start();
    let routes = [
        model_route("guest-ask", 12_000, 300, 2, 200),
        model_route("trip-report", 15_000, 1500, 1, 800),
    ];
    store.put("op", "config", Some(desired_state(1, &routes)));
    let replicas: Vec<_> = ["i-model-1", "i-model-2", "i-model-3"]
        .into_iter()
        .map(|id| ModelReplica::start(id, "v1", SLOTS, QUEUE, record))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica.entry(SERVICE)));
    }
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
    std::thread::sleep(CONTACT_TIME);
    record.line("two gateways are in touch");
    // Streams that may be resumed at gateway 2, then as much other work as the replicas take.
    let ask = |number: u32| {
        let (record, callers) = (record.clone(), plans[0].callers());
        std::thread::spawn(move || {
            read_stream("guest-ask", &format!("ask-{number}"), (None, 45), 12_000, callers, &record)
        })
    };
    let asked: Vec<_> = (0..6)
        .map(|number| {
            let thread = ask(number);
            std::thread::sleep(Duration::from_millis(30));
            thread
        })
        .collect();
    let room = replicas.len() * (SLOTS + QUEUE) - asked.len();
    let others: Vec<_> = (0..room)
        .map(|number| {
            let (record, callers) = (record.clone(), plans[1].callers());
            let thread = std::thread::spawn(move || {
                read_stream(
                    "trip-report",
                    &format!("report-{number}"),
                    (None, 90),
                    15_000,
                    callers,
                    &record,
                )
            });
            std::thread::sleep(Duration::from_millis(20));
            thread
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    for replica in &replicas {
        record.line(&format!("{}: (running, waiting) = {:?}", replica.id, replica.load()));
    }
    record.line("SIGTERM to gateway 2");
    gateways[0].terminate();
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        record.line(&format!("i-model-1 falls silent for {} ms", SILENCE.as_millis()));
        replicas[0].fall_silent(SILENCE);
    }
    let results: Vec<_> = asked.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let cut = results.iter().filter(|end| **end == StreamEnd::Cut).count();
    record.line(&format!(
        "{cut} of {} streams at gateway 2 ended without a complete answer",
        results.len()
    ));
    gateways.iter_mut().for_each(|gateway| gateway.kill());
    others.into_iter().for_each(|thread| drop(thread.join()));
    Ok(cut == 0)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole stream, or a failure that is whole.
    Complete,
    /// The connection ended before.
    Cut,
}

pub fn read_stream(
    route: &str,
    id: &str,
    (prompt, events): (Option<u32>, u32),
    limit_ms: u64,
    callers: std::net::SocketAddr,
    record: &Record,
) -> StreamEnd {
    // With a stride of 1, the output tokens are the events.
    let size = prompt
        .map_or(String::new(), |prompt| format!("Berylstep-Token-Counts: {prompt},{events}\r\n"));
    let more = format!("{EVENTS}: {events}\r\n{size}");
    let text = request("POST", route, id, limit_ms, &more, "prompt");
    let Ok(mut stream) = TcpStream::connect(callers) else {
        record.line(&format!("{id}: no connection"));
        return StreamEnd::Complete;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(limit_ms)));
    if stream.write_all(text.as_bytes()).is_err() {
        record.line(&format!("{id}: not sent"));
        return StreamEnd::Complete;
    }
    let (mut received, mut block) = (Vec::new(), [0; 4096]);
    let end = loop {
        match stream.read(&mut block) {
            Ok(0) => break StreamEnd::Cut,
            Ok(count) => received.extend_from_slice(&block[..count]),
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => break StreamEnd::Complete,
            Err(_) => break StreamEnd::Cut,
        }
        let text = String::from_utf8_lossy(&received);
        if text.ends_with("0\r\n\r\n")
            || (text.starts_with("HTTP/1.1 5") && text.contains("\r\n\r\n"))
        {
            break StreamEnd::Complete;
        }
    };
    let text = String::from_utf8_lossy(&received);
    let status = text.split(' ').nth(1).unwrap_or("-");
    record.line(&format!(
        "{id}: {end:?}, status {status}, {} of {events} events",
        text.matches("id: ").count()
    ));
    end
}
