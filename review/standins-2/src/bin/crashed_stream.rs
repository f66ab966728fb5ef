//! Streams without a length or chunks, whose replica crashes in the middle of them.
//!
//! Exits with 1 if a caller got a stream as complete that lacks its last events (ORDER), with 0 if none did.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use review_standins_2::fleet::{
    desired_state, end_with_parent, free_port, replica_entry, request_text, Gateway,
};
use review_standins_2::http::{listen, read_message};
use review_standins_2::record::{has_trouble, Record, BROKEN, CANNOT_RUN, HELD};
use review_standins_2::store::Store;

/// Replicas; one at a time crashes and is back under another identifier.
const REPLICAS: usize = 8;
const CRASHES: usize = 8;
const CRASH_INTERVAL: Duration = Duration::from_millis(3000);
const BACK_AFTER: Duration = Duration::from_millis(2000);

/// Three check-in intervals of the sites, after which the store removes the entry of a silent replica.
const ENTRY_TIME: Duration = Duration::from_millis(3600);

/// Events of a stream, and the pause between them.
const EVENTS: usize = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Streams at the same time: two thirds of the replicas' slots.
const CALLERS: usize = 320;

fn main() {
    if let Some(id) = std::env::args().nth(1) {
        return serve_replica(id);
    }
    let record = Arc::new(Record::create());
    match run(&record) {
        Ok(code) => std::process::exit(code),
        Err(err) => {
            record.verdict(&format!("could not run: {err}"));
            std::process::exit(CANNOT_RUN);
        }
    }
}

struct Site {
    record: Arc<Record>,
    store: Store,
    next_replica: AtomicU64,
    is_over: AtomicBool,
    /// Replicas in the order in which they started.
    processes: Mutex<Vec<(String, Child)>>,
    /// Replica of each stream.
    runs: Mutex<HashMap<String, String>>,
    /// How streams ended.
    ends: Mutex<HashMap<&'static str, usize>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run(record: &Arc<Record>) -> Result<i32, String> {
    let trouble = has_trouble();
    let store = Store::start().map_err(|err| err.to_string())?;
    store.put("op", "config", Some(&desired_state(1, &[("model", "stream", false, 15_000)])));
    let site = Arc::new(Site {
        record: record.clone(),
        store,
        next_replica: AtomicU64::new(1),
        is_over: AtomicBool::new(false),
        processes: Mutex::default(),
        runs: Mutex::default(),
        ends: Mutex::default(),
    });
    for _ in 0..REPLICAS {
        start_replica(&site)?;
    }
    let port = free_port("127.0.0.2");
    let gateways =
        [Gateway::start(&site.store, 2, port)?, Gateway::start(&site.store, 3, port)?];
    let addresses = [gateways[0].callers, gateways[1].callers];
    record.line(&format!("gateways are ready trouble={trouble}"));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let site = site.clone();
            std::thread::spawn(move || take_streams(&site, caller, addresses[caller % 2]))
        })
        .collect();
    std::thread::sleep(CRASH_INTERVAL);
    for _ in 0..CRASHES {
        if trouble {
            crash_oldest(&site);
            std::thread::sleep(BACK_AFTER);
            start_replica(&site)?;
        }
        std::thread::sleep(CRASH_INTERVAL - if trouble { BACK_AFTER } else { Duration::ZERO });
    }
    site.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for (_, process) in lock(&site.processes).iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
    let ends = lock(&site.ends).clone();
    let count = |end: &str| ends.get(end).copied().unwrap_or_default();
    let is_broken = count("complete too early") > 0;
    record.verdict(&format!(
        "ORDER {}: {} streams ended as complete before their last event; {} broke off visibly, {} were whole, \
         {} were not served",
        if is_broken { "broken" } else { "held" },
        count("complete too early"),
        count("broken off"),
        count("whole"),
        count("not served")
    ));
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Kills the replica that has run for the longest time. Its entry stays until the store removes it.
fn crash_oldest(site: &Arc<Site>) {
    let (id, mut process) = lock(&site.processes).remove(0);
    let _ = process.kill();
    let _ = process.wait();
    site.record.line(&format!("replica {id} has crashed"));
    let store = site.store.clone();
    std::thread::spawn(move || {
        std::thread::sleep(ENTRY_TIME);
        store.put("servers", &id, None);
    });
}

fn start_replica(site: &Arc<Site>) -> Result<(), String> {
    let id = format!("m-{}", site.next_replica.fetch_add(1, Ordering::SeqCst));
    let program = std::env::current_exe().map_err(|err| err.to_string())?;
    let mut command = Command::new(program);
    let command = command.arg(&id).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut process = end_with_parent(command).spawn().map_err(|err| err.to_string())?;
    let output = process.stdout.take().ok_or("no output")?;
    let mut lines = BufReader::new(output).lines();
    let first = lines.next().and_then(Result::ok).unwrap_or_default();
    let address: SocketAddr =
        first.parse().map_err(|_| format!("replica {id} does not start: {first}"))?;
    site.store.put("servers", &id, Some(&replica_entry(address, "model", "ready", 0, 1)));
    site.record.line(&format!("replica {id} starts at {address}"));
    lock(&site.processes).push((id.clone(), process));
    let site = site.clone();
    std::thread::spawn(move || {
        for attempt in lines.map_while(Result::ok) {
            lock(&site.runs).insert(attempt, id.clone());
        }
    });
    Ok(())
}

/// Takes streams, one after the other.
fn take_streams(site: &Site, caller: usize, address: SocketAddr) {
    // Callers begin one after the other, so that streams end at different times.
    std::thread::sleep(Duration::from_millis(caller as u64 * 7));
    for count in 0_usize.. {
        if site.is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("50{caller:03x}{count:05x}");
        let (end, events) = read_stream(address, &id);
        if end != "whole" {
            let replica = lock(&site.runs).get(&id).cloned().unwrap_or_default();
            site.record.line(&format!(
                "answered id={id} replica={replica} events={events} of {EVENTS} end=\"{end}\""
            ));
            std::thread::sleep(Duration::from_millis(200));
        }
        *lock(&site.ends).entry(end).or_default() += 1;
    }
}

/// Takes one stream; returns how it ended, and the number of its events.
fn read_stream(address: SocketAddr, id: &str) -> (&'static str, usize) {
    let headers = "Berylstep-Model: m\r\nBerylstep-Token-Counts: 100,300\r\n";
    let Ok(stream) = TcpStream::connect(address) else { return ("not served", 0) };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(16)));
    let mut reader = BufReader::new(stream);
    if reader.get_mut().write_all(request_text("model", id, 15_000, headers).as_bytes()).is_err() {
        return ("not served", 0);
    }
    let Some(answer) = read_message(&mut reader) else { return ("not served", 0) };
    let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
    let end = match (answer.status(), answer.is_whole, events == EVENTS) {
        (200, true, true) => "whole",
        (200, true, false) => "complete too early",
        (200, false, _) => "broken off",
        _ => "not served",
    };
    (end, events)
}

/// Runs a replica until it is killed.
fn serve_replica(id: String) {
    let serve = move |stream: TcpStream| {
        let mut reader = BufReader::new(stream);
        let Some(request) = read_message(&mut reader) else { return };
        let attempt = request.header("berylstep-attempt-id").unwrap_or("-").to_owned();
        println!("{attempt}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {attempt}\r\n\
             Berylstep-Replica-Signature: sig-{id}\r\nContent-Type: text/event-stream\r\n\r\n"
        );
        let stream = reader.get_mut();
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n");
            if stream.write_all(event.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(EVENT_INTERVAL);
        }
    };
    match listen("127.0.0.1:0", serve) {
        Ok(address) => println!("{address}"),
        Err(err) => println!("{err}"),
    }
    loop {
        std::thread::sleep(Duration::from_secs(60));
    }
}
