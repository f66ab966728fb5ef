//! A part of a prompt that crashes each replica which begins to write an answer on it: the replica writes the first
//! event and its process ends.
//!
//! Exits with 1 if more than three requests with that part reached replicas later than `ContactMs` after the fifth
//! crash (BUDGET), with 0 if not.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use review_standins_2::fleet::{
    desired_state, end_with_parent, free_port, replica_entry, request_text, Gateway,
};
use review_standins_2::http::{listen, read_message};
use review_standins_2::record::{has_trouble, Record, BROKEN, CANNOT_RUN, HELD};
use review_standins_2::store::Store;

/// Replicas, and the time after which one that has crashed is back.
const REPLICAS: usize = 8;
const BACK_AFTER: Duration = Duration::from_secs(2);

/// Three check-in intervals of the sites, after which the store removes the entry of a silent replica.
const ENTRY_TIME: Duration = Duration::from_millis(3600);

/// Part of prompts that crashes replicas.
const DEADLY_PART: &str = "dead0001";

/// Events of a stream, and the pause between them.
const EVENTS: u32 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Callers of sound requests, and the pause between two requests with the deadly part.
const CALLERS: usize = 10;
const DEADLY_INTERVAL: Duration = Duration::from_millis(900);

/// Times from the start of traffic.
const DEADLY_AFTER: Duration = Duration::from_secs(3);
const TRAFFIC_TIME: Duration = Duration::from_secs(32);

/// `ContactMs` of the sites, and the figures of the rule.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const CRASHES: usize = 5;
const TOLERATED: usize = 3;

/// Exit code of a replica that crashes.
const CRASH_CODE: i32 = 70;

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

/// What replicas and callers saw.
#[derive(Default)]
struct Sight {
    /// Times at which replicas crashed, and at which requests with the deadly part reached replicas.
    crashes: Vec<Instant>,
    deadly: Vec<Instant>,
    /// How sound streams ended.
    sound: HashMap<&'static str, usize>,
}

struct Site {
    record: Arc<Record>,
    store: Store,
    sight: Mutex<Sight>,
    next_replica: AtomicU64,
    is_over: AtomicBool,
    processes: Mutex<HashMap<String, Child>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run(record: &Arc<Record>) -> Result<i32, String> {
    let trouble = has_trouble();
    let store = Store::start().map_err(|err| err.to_string())?;
    store.put("op", "config", Some(&desired_state(1, &[("model", "stream", false, 12_000)])));
    let site = Arc::new(Site {
        record: record.clone(),
        store,
        sight: Mutex::default(),
        next_replica: AtomicU64::new(1),
        is_over: AtomicBool::new(false),
        processes: Mutex::default(),
    });
    for _ in 0..REPLICAS {
        start_replica(&site)?;
    }
    let port = free_port("127.0.0.2");
    let gateways =
        [Gateway::start(&site.store, 2, port)?, Gateway::start(&site.store, 3, port)?];
    let addresses = [gateways[0].callers, gateways[1].callers];
    record.line(&format!("gateways are ready trouble={trouble}"));
    let mut threads = Vec::new();
    for caller in 0..CALLERS {
        let site = site.clone();
        threads.push(std::thread::spawn(move || call_sound(&site, caller, &addresses)));
    }
    std::thread::sleep(DEADLY_AFTER);
    let started_at = Instant::now();
    for count in 0_usize.. {
        if started_at.elapsed() + DEADLY_AFTER >= TRAFFIC_TIME {
            break;
        }
        if trouble {
            // No two of these requests are alike.
            let parts = format!("5c1e07a2:60,{DEADLY_PART}:40,d{count:07x}:30");
            let (site, address) = (site.clone(), addresses[count % 2]);
            threads.push(std::thread::spawn(move || {
                let id = format!("dead{count:06x}");
                let (end, events) = read_stream(address, &id, &parts);
                site.record.line(&format!("deadly id={id} end={end} events={events}"));
            }));
        }
        std::thread::sleep(DEADLY_INTERVAL);
    }
    site.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let sight = lock(&site.sight);
    let fifth = sight.crashes.get(CRASHES - 1).copied();
    let late = |at: &&Instant| fifth.is_some_and(|fifth| **at > fifth + CONTACT_TIME);
    let late = sight.deadly.iter().filter(late).count();
    let is_broken = late > TOLERATED;
    let mut sound: Vec<_> = sight.sound.iter().map(|(end, count)| format!("{end}: {count}")).collect();
    sound.sort();
    record.verdict(&format!(
        "BUDGET {}: {late} requests with the part reached replicas later than ContactMs after the fifth \
         crash; {} reached replicas in all, {} replicas crashed; sound streams: {}",
        if is_broken { "broken" } else { "held" },
        sight.deadly.len(),
        sight.crashes.len(),
        sound.join(", ")
    ));
    drop(sight);
    for (_, mut process) in lock(&site.processes).drain() {
        let _ = process.kill();
        let _ = process.wait();
    }
    Ok(if is_broken { BROKEN } else { HELD })
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Starts a replica process under a new identifier. One that crashes is followed by another.
fn start_replica(site: &Arc<Site>) -> Result<(), String> {
    let id = format!("m-{}", site.next_replica.fetch_add(1, Ordering::SeqCst));
    let program = std::env::current_exe().map_err(|err| err.to_string())?;
    let mut command = Command::new(program);
    let command = command.arg(&id).stdin(Stdio::null()).stdout(Stdio::piped());
    // The thread that starts the process ends only with the whole run.
    let mut process = end_with_parent(command).spawn().map_err(|err| err.to_string())?;
    let output = process.stdout.take().ok_or("no output")?;
    let mut lines = BufReader::new(output).lines();
    let first = lines.next().and_then(Result::ok).unwrap_or_default();
    let address: SocketAddr =
        first.parse().map_err(|_| format!("replica {id} does not start: {first}"))?;
    let born = unix_ms();
    site.store.put("servers", &id, Some(&replica_entry(address, "model", "ready", born, 1)));
    site.record.line(&format!("replica {id} starts at {address}"));
    lock(&site.processes).insert(id.clone(), process);
    let site = site.clone();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            site.record.line(&format!("replica {id} {line}"));
            if line.starts_with("deadly") {
                lock(&site.sight).deadly.push(Instant::now());
            }
        }
        if site.is_over.load(Ordering::SeqCst) {
            return;
        }
        let process = lock(&site.processes).remove(&id);
        let ended = process.map(|mut process| process.wait());
        site.record.line(&format!("replica {id} has crashed: {ended:?}"));
        lock(&site.sight).crashes.push(Instant::now());
        std::thread::sleep(BACK_AFTER);
        if !site.is_over.load(Ordering::SeqCst) {
            if let Err(err) = start_replica(&site) {
                site.record.line(&format!("replica not started: {err}"));
            }
        }
        std::thread::sleep(ENTRY_TIME - BACK_AFTER);
        site.store.put("servers", &id, None);
        // The next process ends with the thread that started it, so this one waits for the end of the run.
        while !site.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_secs(30));
    });
    Ok(())
}

/// Takes sound streams, one after the other.
fn call_sound(site: &Site, caller: usize, addresses: &[SocketAddr; 2]) {
    for count in 0_usize.. {
        if site.is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("50{caller:02}{count:06x}");
        let parts = format!("5c1e07a2:60,7e55{caller:04x}:40,a{caller:02}{count:05x}:30");
        let (end, events) = read_stream(addresses[(caller + count) % 2], &id, &parts);
        site.record.line(&format!("sound id={id} end={end} events={events}"));
        *lock(&site.sight).sound.entry(end).or_default() += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Takes one stream; returns how it ended, and the number of its events.
fn read_stream(address: SocketAddr, id: &str, parts: &str) -> (&'static str, usize) {
    let headers = format!(
        "Berylstep-Model: m\r\nBerylstep-Token-Counts: 130,60\r\nBerylstep-Prompt-Prefix: {parts}\r\n"
    );
    let Ok(stream) = TcpStream::connect(address) else { return ("not connected", 0) };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
    let mut reader = BufReader::new(stream);
    if reader.get_mut().write_all(request_text("model", id, 12_000, &headers).as_bytes()).is_err() {
        return ("not sent", 0);
    }
    let Some(answer) = read_message(&mut reader) else { return ("no answer", 0) };
    let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
    match (answer.status(), answer.is_whole && events == EVENTS as usize) {
        (200, true) => ("whole", events),
        (200, false) => ("broken off", events),
        (503, _) => ("refused", events),
        _ => ("failed", events),
    }
}

/// Runs a replica until it crashes or is killed.
fn serve_replica(id: String) {
    // Before the first event, or after it.
    let is_early = std::env::var("CRASH").is_ok_and(|value| value == "early");
    let serve = move |stream: TcpStream| {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader).filter(|request| request.is_whole) {
            if request.target() == "/v1/report" {
                let text = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n";
                if reader.get_mut().write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.header("berylstep-attempt-id").unwrap_or("-").to_owned();
            let parts = request.header("berylstep-prompt-prefix").unwrap_or_default();
            let is_deadly = parts.contains(DEADLY_PART);
            println!("{} id={attempt}", if is_deadly { "deadly" } else { "run" });
            if is_deadly && is_early {
                std::process::exit(CRASH_CODE);
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {attempt}\r\n\
                 Berylstep-Replica-Signature: sig-{id}\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            if reader.get_mut().write_all(head.as_bytes()).is_err() {
                return;
            }
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: piece {number}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if reader.get_mut().write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                if is_deadly {
                    std::thread::sleep(Duration::from_millis(20));
                    std::process::exit(CRASH_CODE);
                }
                std::thread::sleep(EVENT_INTERVAL);
            }
            if reader.get_mut().write_all(b"0\r\n\r\n").is_err() {
                return;
            }
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
