//! Streams begin at a replica that has been restarted at another version and whose entry doesn't say so yet; then it
//! falls silent for a second or so.
//!
//! Exits with 1 if more than two streams hold events of two versions (ORDER), with 0 if not.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use review_standins_2::fleet::{desired_state, free_port, replica_entry, request_text, Gateway};
use review_standins_2::http::{read_message, Message};
use review_standins_2::record::{has_trouble, Record, BROKEN, CANNOT_RUN, HELD};
use review_standins_2::store::Store;

const REPLICAS: usize = 3;

/// Events of a stream, and the pause between them.
const EVENTS: u32 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Longest pause between events for which a stream is on time (`GapTargetMs`).
const GAP_TARGET_MS: u32 = 200;

/// Streams, which begin at the same time.
const STREAMS: usize = 18;

/// Times from the start of the new process: the streams, the silence and its end, and the entry, which a replica
/// writes about every `HeartbeatIntervalMs` (1,200 in the sites).
const STREAMS_AT: Duration = Duration::from_millis(50);
const SILENT_AT: Duration = Duration::from_millis(250);
const SPEAKS_AT: Duration = Duration::from_millis(1500);
const ENTRY_AT: Duration = Duration::from_millis(1200);

/// More streams of two versions than these break the rule.
const TOLERATED: usize = 2;

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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One process of a replica.
struct Process {
    id: String,
    version: &'static str,
    born: u64,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Times between which it says nothing.
    silence: Option<(Instant, Instant)>,
    record: Arc<Record>,
}

impl Process {
    /// Starts the process at an address that may just have been in use.
    fn start(self, address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let process = Arc::new(self);
        let accepting = process.clone();
        listener.set_nonblocking(true)?;
        std::thread::spawn(move || {
            while !accepting.has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                lock(&accepting.connections).extend(stream.try_clone());
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(process)
    }

    /// Ends the process: its listener and all its connections close.
    fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in lock(&self.connections).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Waits while the process says nothing.
    fn wait_for_speech(&self) {
        if let Some((from, to)) = self.silence {
            if Instant::now() >= from {
                std::thread::sleep(to.saturating_duration_since(Instant::now()));
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader).filter(|request| request.is_whole) {
            self.wait_for_speech();
            let is_open = match request.target() {
                "/v1/report" => self.send_report(reader.get_mut()),
                _ => self.send_events(&request, reader.get_mut()),
            };
            if !is_open {
                return;
            }
        }
    }

    fn send_report(&self, stream: &mut TcpStream) -> bool {
        let body = format!(
            "{{\"Stage\":\"combined\",\"Models\":[],\"Busy\":false,\"Sequence\":0,\"Waiting\":0,\
             \"Running\":1,\"KvUsed\":1,\"KvTotal\":90000,\"Handles\":0,\"born\":{}}}",
            self.born
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).is_ok()
    }

    fn send_events(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let attempt = request.header("berylstep-attempt-id").unwrap_or("-");
        let after = request.header("last-event-id").and_then(|value| value.parse().ok());
        let after: u32 = after.unwrap_or_default();
        let (id, version) = (&self.id, self.version);
        self.record.line(&format!("run id={attempt} replica={id} version={version} after={after}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {attempt}\r\n\
             Berylstep-Replica-Signature: sig\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in after + 1..=EVENTS {
            self.wait_for_speech();
            let event = format!("id: {number}\ndata: {version} piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            std::thread::sleep(EVENT_INTERVAL);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn run(record: &Arc<Record>) -> Result<i32, String> {
    let trouble = has_trouble();
    let store = Store::start().map_err(|err| err.to_string())?;
    let desired = desired_state(1, &[("model", "stream", true, 12_000)]);
    let desired = desired.replace("\"GapTargetMs\": 800", &format!("\"GapTargetMs\": {GAP_TARGET_MS}"));
    store.put("op", "config", Some(&desired));
    let new_process = |index: usize, version: &'static str, silence| Process {
        id: format!("m-{index}"),
        version,
        born: unix_ms(),
        has_ended: AtomicBool::new(false),
        connections: Mutex::default(),
        silence,
        record: record.clone(),
    };
    let entry = |address: SocketAddr, process: &Process| {
        let entry = replica_entry(address, "model", "ready", process.born, 1);
        entry.replace("\"v1\"", &format!("\"{}\"", process.version))
    };
    let mut processes = Vec::new();
    for index in 1..=REPLICAS {
        let address = SocketAddr::new([127, 0, 0, 1].into(), free_port("127.0.0.1"));
        let process = new_process(index, "build-1", None).start(address);
        let process = process.map_err(|err| err.to_string())?;
        store.put("servers", &process.id, Some(&entry(address, &process)));
        processes.push((address, process));
    }
    let port = free_port("127.0.0.2");
    let gateways = [Gateway::start(&store, 2, port)?, Gateway::start(&store, 3, port)?];
    record.line(&format!("gateways are ready trouble={trouble}"));
    std::thread::sleep(Duration::from_millis(4000));
    let started_at = Instant::now();
    if trouble {
        let (address, process) = &processes[0];
        process.end();
        std::thread::sleep(Duration::from_millis(50));
        let silence = Some((Instant::now() + SILENT_AT, Instant::now() + SPEAKS_AT));
        // A control: the restart alone.
        let silence = silence.filter(|_| std::env::var("SILENCE").map_or(true, |value| value != "0"));
        let process = new_process(1, "build-2", silence).start(*address);
        let process = process.map_err(|err| err.to_string())?;
        record.line(&format!("m-1 was restarted as build-2, born={}", process.born));
        let (store, entry, record) = (store.clone(), entry(*address, &process), record.clone());
        std::thread::spawn(move || {
            std::thread::sleep(ENTRY_AT);
            store.put("servers", "m-1", Some(&entry));
            record.line("the entry of m-1 names build-2");
        });
        processes[0].1 = process;
    }
    std::thread::sleep(STREAMS_AT);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, address) = (record.clone(), gateways[number % 2].callers);
            std::thread::spawn(move || read_stream(&record, address, &format!("5700aa{number:02x}")))
        })
        .collect();
    let mixed = streams.into_iter().filter_map(|stream| stream.join().ok()).filter(|is| *is).count();
    record.line(&format!("traffic ended after {:.1} s", started_at.elapsed().as_secs_f64()));
    let is_broken = mixed > TOLERATED;
    record.verdict(&format!(
        "ORDER {}: {mixed} of {STREAMS} streams hold events of two versions",
        if is_broken { "broken" } else { "held" },
    ));
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Takes one stream; returns whether it holds events of two versions.
fn read_stream(record: &Record, address: SocketAddr, id: &str) -> bool {
    let headers = "Berylstep-Model: m\r\nBerylstep-Token-Counts: 100,200\r\n";
    record.line(&format!("sent id={id}"));
    let Ok(stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
    let mut reader = BufReader::new(stream);
    if reader.get_mut().write_all(request_text("model", id, 12_000, headers).as_bytes()).is_err() {
        return false;
    }
    let Some(answer) = read_message(&mut reader) else { return false };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let count = |version: &str| body.matches(&format!("data: {version} ")).count();
    let (old, new) = (count("build-1"), count("build-2"));
    record.line(&format!(
        "answered id={id} status={} build-1={old} build-2={new} whole={}",
        answer.status(),
        answer.is_whole
    ));
    old > 0 && new > 0
}
