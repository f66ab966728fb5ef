//! One replica in trouble sends a body without end. Requests of another route, to sound replicas, go
//! unanswered at the gateway that relays it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::message::{begin_events, end_events, respond, write_event};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::free_address;

use crate::fleet::{desired_state, request, route, send, Answer, GatewayPlan, Record};
use crate::Verdict;

/// `TimeoutMs` of the route whose requests are judged, and the time limit of its requesters.
const TIMEOUT_MS: u64 = 800;
const TIME_LIMIT_MS: u64 = 1500;

/// Time limit of the streams' requesters.
const STREAM_LIMIT: Duration = Duration::from_millis(12_000);

/// Time for which requests are sent, and the pause between two.
const SENDING_TIME: Duration = Duration::from_secs(20);
const SENDING_PAUSE: Duration = Duration::from_millis(250);

pub fn run(record: &Record, directory: &Path, trouble: bool) -> Verdict {
    let store = FakeStore::start();
    let routes = [
        route("guest-ask", "stream", 12_000, 300, 1),
        route("seat-confirm", "unsafe", TIMEOUT_MS, 100, 1),
    ];
    store.put("op", "config", Some(desired_state(1, &routes)));
    let flooded = Arc::new(AtomicU64::new(0));
    let models: Vec<_> = ["i-model-1", "i-model-2", "i-model-3"]
        .into_iter()
        .map(|id| model_replica(id, trouble && id == "i-model-1", &flooded))
        .collect();
    let desks: Vec<_> = ["i-desk-1", "i-desk-2"].into_iter().map(desk_replica).collect();
    for (replicas, service) in [(&models, "guest-ask"), (&desks, "seat-confirm")] {
        for replica in replicas {
            store.put("servers", &replica.id, Some(replica.entry(service, "ready")));
        }
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
    record.line("two gateways are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let asking: Vec<_> = (0..2)
        .map(|client| {
            let (record, is_over, callers) = (record.clone(), is_over.clone(), plans[0].callers());
            std::thread::spawn(move || ask_streams(client, callers, &record, &is_over))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let mut confirming = Vec::new();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < SENDING_TIME {
        for plan in &plans {
            let (record, gateway, callers) = (record.clone(), plan.number, plan.callers());
            let thread =
                std::thread::spawn(move || (gateway, confirm(gateway, number, callers, &record)));
            confirming.push(thread);
        }
        number += 1;
        std::thread::sleep(SENDING_PAUSE);
    }
    let results: Vec<_> = confirming.into_iter().filter_map(|thread| thread.join().ok()).collect();
    is_over.store(true, Ordering::Relaxed);
    let mut is_kept = true;
    for plan in &plans {
        let own: Vec<_> = results.iter().filter(|(gateway, _)| *gateway == plan.number).collect();
        let unanswered = own.iter().filter(|(_, it)| *it != Outcome::InTime).count();
        let silent = own.iter().filter(|(_, it)| *it == Outcome::Silent).count();
        record.line(&format!(
            "gateway {}: {} seat-confirm sent, {unanswered} unanswered at TimeoutMs, {silent} of these \
             half a second later",
            plan.number,
            own.len()
        ));
        is_kept &= 2 * silent <= unanswered;
    }
    let ran: usize = desks.iter().map(|replica| replica.received().len()).sum();
    record.line(&format!(
        "{ran} seat-confirm ran; i-model-1 sent {} bytes without end",
        flooded.load(Ordering::Relaxed)
    ));
    for gateway in &mut gateways {
        if let Some(status) = gateway.ended() {
            record.line(&format!("gateway {} ended by itself: {status}", gateway.plan.number));
        }
        gateway.kill();
    }
    asking.into_iter().for_each(|thread| drop(thread.join()));
    Ok(is_kept)
}

/// Starts a model replica. One in trouble sends bytes that are no answer after its first event, until its
/// connection is closed.
fn model_replica(id: &str, is_in_trouble: bool, flooded: &Arc<AtomicU64>) -> FakeReplica {
    let flooded = flooded.clone();
    FakeReplica::start(id, move |message, _, stream| {
        if !begin_events(stream, message) || !write_event(stream, 1) {
            return false;
        }
        if !is_in_trouble {
            std::thread::sleep(Duration::from_millis(200));
            return write_event(stream, 2) && end_events(stream);
        }
        let noise = "data: noise noise noise noise noise\n\n";
        let block = format!("{:x}\r\n{noise}\r\n", noise.len()).repeat(1000);
        while stream.write_all(block.as_bytes()).is_ok() {
            flooded.fetch_add(block.len() as u64, Ordering::Relaxed);
        }
        false
    })
}

fn desk_replica(id: &str) -> FakeReplica {
    FakeReplica::start(id, |message, _, stream| {
        std::thread::sleep(Duration::from_millis(15));
        respond(stream, message, 200, "", "confirmed")
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Answered by `TimeoutMs`.
    InTime,
    /// Answered within half a second after it.
    Late,
    /// Not answered by then.
    Silent,
}

fn confirm(gateway: u8, number: u32, callers: SocketAddr, record: &Record) -> Outcome {
    let id = format!("confirm-{gateway}-{number}");
    let text = request("POST", "seat-confirm", &id, TIME_LIMIT_MS, "", "seat");
    let began = Instant::now();
    let answer = send(callers, &text, Duration::from_millis(TIME_LIMIT_MS));
    let took = began.elapsed();
    record.line(&format!("{id}: {answer:?} after {} ms", took.as_millis()));
    let is_answered = matches!(answer, Answer::Complete(_));
    match took.as_millis() as u64 {
        _ if !is_answered => Outcome::Silent,
        0..=TIMEOUT_MS => Outcome::InTime,
        took if took <= TIMEOUT_MS + 500 => Outcome::Late,
        _ => Outcome::Silent,
    }
}

/// Asks for one stream after the other, and reads each until its end or the time limit.
fn ask_streams(client: u32, callers: SocketAddr, record: &Record, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("ask-{client}-{number}");
        number += 1;
        let text =
            request("POST", "guest-ask", &id, STREAM_LIMIT.as_millis() as u64, "", "question");
        let began = Instant::now();
        let Ok(mut stream) = TcpStream::connect_timeout(&callers, Duration::from_secs(1)) else {
            record.line(&format!("{id}: no connection"));
            std::thread::sleep(SENDING_PAUSE);
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        if stream.write_all(text.as_bytes()).is_err() {
            continue;
        }
        let (mut total, mut block, mut end) = (0, vec![0; 1 << 20], "time limit");
        while began.elapsed() < STREAM_LIMIT && !is_over.load(Ordering::Relaxed) {
            match stream.read(&mut block) {
                Ok(0) | Err(_) => {
                    end = "connection closed or silent";
                    break;
                }
                Ok(count) => {
                    total += count;
                    if block[..count].ends_with(b"0\r\n\r\n") {
                        end = "complete";
                        break;
                    }
                }
            }
        }
        let took = began.elapsed().as_millis();
        record.line(&format!("{id}: {total} bytes, {end} after {took} ms"));
        std::thread::sleep(SENDING_PAUSE);
    }
}
