//! A sound replica falls silent for a second or so in the middle of a stream and goes on.
//!
//! Exits with 1 if a request went on at another replica while the one before still worked on it 400 ms later
//! (TWICE), with 0 if not.

use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use review_standins_2::fleet::{desired_state, free_port, replica_entry, request_text, Gateway};
use review_standins_2::http::{listen, read_message, Message};
use review_standins_2::record::{has_trouble, Record, BROKEN, CANNOT_RUN, HELD};
use review_standins_2::store::Store;

/// Events of a stream.
const EVENTS: u32 = 8;

/// Tokens of an event, and the time for one token: a step beside a long prompt, of which 4,096 tokens are read at a
/// time at 125 in a millisecond, and 3.27 ms.
const EVENT_TOKENS: u32 = 16;
const TOKEN_TIME: Duration = Duration::from_millis(36);

/// Longest pause between events for which a stream is on time (`GapTargetMs`).
const GAP_TARGET_MS: u32 = 250;

/// Event after which the replica falls silent, and for how long.
const SILENT_AFTER: u32 = 3;
const SILENCE: Duration = Duration::from_millis(1300);

/// Streams, one after the other.
const STREAMS: usize = 4;

/// Time after which the replica before must no longer work on a request that goes on elsewhere.
const OVERLAP_TIME: Duration = Duration::from_millis(400);

/// One run of a request at a replica.
#[derive(Clone, Debug)]
struct Run {
    replica: &'static str,
    after_event: u32,
    began: Instant,
    ended: Option<Instant>,
}

type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn main() {
    let record = Arc::new(Record::create());
    match run(&record) {
        Ok(code) => std::process::exit(code),
        Err(err) => {
            record.verdict(&format!("could not run: {err}"));
            std::process::exit(CANNOT_RUN);
        }
    }
}

fn run(record: &Arc<Record>) -> Result<i32, String> {
    let trouble = has_trouble();
    let runs: Runs = Arc::default();
    let store = Store::start().map_err(|err| err.to_string())?;
    let desired = desired_state(1, &[("model", "stream", true, 15_000)]);
    let desired = desired.replace("\"GapTargetMs\": 800", &format!("\"GapTargetMs\": {GAP_TARGET_MS}"));
    store.put("op", "config", Some(&desired));
    for id in ["m-1", "m-2", "m-3"] {
        let address = start_replica(record, &runs, id, trouble).map_err(|err| err.to_string())?;
        store.put("servers", id, Some(&replica_entry(address, "model", "ready", 0, 1)));
    }
    let gateway = Gateway::start(&store, 2, free_port("127.0.0.2"))?;
    record.line(&format!("gateway pid={} ready trouble={trouble}", gateway.process.id()));
    for number in 0..STREAMS {
        read_stream(record, gateway.callers, &format!("5700aa{number:02x}"));
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut broken = 0;
    for (id, runs) in lock(&runs).iter() {
        for pair in runs.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            let end = |run: &Run| run.ended.unwrap_or_else(Instant::now);
            let until = end(before).min(end(after));
            let overlap = until.saturating_duration_since(after.began);
            let is_broken = after.after_event > 0 && overlap > OVERLAP_TIME;
            broken += usize::from(is_broken);
            record.line(&format!(
                "request id={id} began at {}, went on at {} after event {}; both worked on it for {} ms{}",
                before.replica,
                after.replica,
                after.after_event,
                overlap.as_millis(),
                if is_broken { ": TWICE" } else { "" }
            ));
        }
    }
    record.verdict(&format!(
        "TWICE {}: {broken} of {STREAMS} streams went on at another replica while the one before still worked \
         on them 400 ms later",
        if broken > 0 { "broken" } else { "held" },
    ));
    Ok(if broken > 0 { BROKEN } else { HELD })
}

fn read_stream(record: &Record, address: SocketAddr, id: &str) {
    let headers = "Berylstep-Model: m\r\nBerylstep-Token-Counts: 100,60\r\n";
    record.line(&format!("sent id={id}"));
    let Ok(stream) = TcpStream::connect(address) else { return record.line("not connected") };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(16)));
    let mut reader = BufReader::new(stream);
    if reader.get_mut().write_all(request_text("model", id, 15_000, headers).as_bytes()).is_err() {
        return record.line("not sent");
    }
    match read_message(&mut reader) {
        Some(answer) => {
            let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
            let (status, is_whole) = (answer.status(), answer.is_whole);
            record.line(&format!("answered id={id} status={status} events={events} whole={is_whole}"));
        }
        None => record.line(&format!("closed without an answer id={id}")),
    }
}

fn start_replica(
    record: &Arc<Record>,
    runs: &Runs,
    id: &'static str,
    trouble: bool,
) -> std::io::Result<SocketAddr> {
    let (record, runs) = (record.clone(), runs.clone());
    listen("127.0.0.1:0", move |stream| {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader).filter(|request| request.is_whole) {
            if !serve(&record, &runs, id, trouble, &request, reader.get_mut()) {
                return;
            }
        }
    })
}

fn serve(
    record: &Record,
    runs: &Runs,
    replica: &'static str,
    trouble: bool,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let id = request.header("berylstep-attempt-id").unwrap_or("-").to_owned();
    let after = request.header("last-event-id").and_then(|value| value.parse().ok());
    let after_event: u32 = after.unwrap_or_default();
    let index = {
        let mut runs = lock(runs);
        let rows = runs.entry(id.clone()).or_default();
        rows.push(Run { replica, after_event, began: Instant::now(), ended: None });
        rows.len() - 1
    };
    record.line(&format!("run id={id} replica={replica} after_event={after_event}"));
    let is_open = send_events(trouble && after_event == 0, &id, after_event, stream);
    if let Some(run) = lock(runs).get_mut(&id).and_then(|rows| rows.get_mut(index)) {
        run.ended = Some(Instant::now());
    }
    let end = if is_open { "done" } else { "given up" };
    record.line(&format!("run ended id={id} replica={replica} end=\"{end}\""));
    is_open
}

/// Streams the events; with `falls_silent`, not at an even pace. Returns whether the connection stays open.
fn send_events(falls_silent: bool, id: &str, after_event: u32, stream: &mut TcpStream) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: sig\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in after_event + 1..=EVENTS {
        if falls_silent && number == SILENT_AFTER + 1 && !work(stream, SILENCE) {
            return false;
        }
        // The first token is there at once.
        let tokens = if number == after_event + 1 { EVENT_TOKENS - 1 } else { EVENT_TOKENS };
        if !work(stream, TOKEN_TIME * tokens) {
            return false;
        }
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Works for a while; returns `false` as soon as the connection is closed, which ends the run.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
    while Instant::now() < until {
        match stream.peek(&mut [0]) {
            Ok(0) => return false,
            Ok(_) => std::thread::sleep(Duration::from_millis(5)),
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
    let _ = stream.set_read_timeout(None);
    true
}
