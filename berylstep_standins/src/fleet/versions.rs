//! Replicas of several software versions, whose streams name the version that wrote each event.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use socket2::SockRef;

use super::crash::{CrashingReplica, ScriptStep};
use super::lock;
use super::message::{begin_events, end_events, respond, RawMessage};

/// Header in which a caller asks the replicas that run its request to break off after this many
/// events.
pub const BREAK_AFTER: &str = "X-Break-After";

/// Header in which a caller asks only the replica that begins its stream to break off after this
/// many events.
pub const BREAK_FIRST: &str = "X-Break-First";

/// Header in which a caller sets the pause between events, in milliseconds.
pub const EVENT_PAUSE: &str = "X-Event-Pause";

/// Number of events of a whole stream.
pub const STREAM_EVENTS: usize = 6;

/// State of the current process of a [`VersionedReplica`].
#[derive(Debug)]
struct ProcessInfo {
    version: String,
    born: u64,
    /// Whether its runs were stopped by a move.
    is_stopped: bool,
    /// Time that it takes to answer.
    delay: Duration,
}

impl ProcessInfo {
    fn new(version: &str, born: u64) -> Self {
        Self { version: version.to_owned(), born, is_stopped: false, delay: Duration::ZERO }
    }
}

/// A replica that streams numbered events, each of which names the version that wrote it.
#[derive(Clone, Debug)]
pub struct VersionedReplica {
    /// Process that serves the requests.
    pub replica: CrashingReplica,
    service: String,
    process: Arc<Mutex<ProcessInfo>>,
}

impl VersionedReplica {
    /// Starts a replica of `service` at this version. Its process started at `born`, in milliseconds
    /// since the Unix epoch.
    pub fn start(id: &str, service: &str, version: &str, born: u64) -> Self {
        let process = Arc::new(Mutex::new(ProcessInfo::new(version, born)));
        let shared = process.clone();
        let replica = CrashingReplica::start(id, Duration::ZERO, move |request, stream| {
            serve(request, stream, &shared)
        });
        Self { replica, service: service.to_owned(), process }
    }

    /// Replaces the process by one of another version under the same identifier and address. Its
    /// entry in the store stays as it was.
    pub fn restart_as(&self, version: &str, born: u64) {
        let mut process = lock(&self.process);
        *process = ProcessInfo::new(version, born);
        self.replica.close_connections();
    }

    /// Makes the current process answer everything so late.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.process).delay = delay;
    }

    /// Returns the entry that the current process writes to the store.
    pub fn entry(&self, state: &str) -> Value {
        let process = lock(&self.process);
        let mut entry = super::replica::entry(self.replica.address, &self.service, state);
        entry["Version"] = json!(process.version);
        entry["born"] = json!(process.born);
        entry
    }

    /// Returns the number of streams that were requested so far, whether they began or went on.
    pub fn streams(&self) -> usize {
        self.replica.received().iter().filter(|request| request.target() != REPORT_PATH).count()
    }
}

const REPORT_PATH: &str = "/v1/report";
const MOVE_PATH: &str = "/v1/kv-move";

fn serve(request: &RawMessage, stream: &mut TcpStream, process: &Mutex<ProcessInfo>) -> ScriptStep {
    let (version, born, delay) = {
        let process = lock(process);
        (process.version.clone(), process.born, process.delay)
    };
    std::thread::sleep(delay);
    match request.target() {
        REPORT_PATH => {
            let report = json!({"Stage": "combined", "Busy": false, "Sequence": 1, "born": born});
            respond(stream, request, 200, "", &report.to_string());
        }
        MOVE_PATH => {
            lock(process).is_stopped |= request.body.contains("\"Last\":true");
            respond(stream, request, 200, "", "{\"Handle\": \"h1\", \"Created\": 1}");
        }
        _ => write_stream(request, stream, &version, process),
    }
    ScriptStep::Answered
}

fn number(request: &RawMessage, header: &str) -> Option<usize> {
    request.header(header).and_then(|value| value.parse().ok())
}

fn write_stream(
    request: &RawMessage,
    stream: &mut TcpStream,
    version: &str,
    process: &Mutex<ProcessInfo>,
) {
    let is_moved = request.header("kv-from").is_some();
    let last = number(request, "last-event-id");
    let break_first = number(request, BREAK_FIRST).filter(|_| last.is_none());
    let break_after = number(request, BREAK_AFTER).or(break_first);
    let pause = Duration::from_millis(number(request, EVENT_PAUSE).unwrap_or_default() as u64);
    let mut is_open = begin_events(stream, request);
    for (written, id) in (last.unwrap_or_default() + 1..=STREAM_EVENTS).enumerate() {
        let is_stopped = !is_moved && lock(process).is_stopped;
        if is_stopped || break_after.is_some_and(|limit| written >= limit) {
            // The gateway reads what was written before the reset discards it.
            std::thread::sleep(Duration::from_millis(30));
            if let Err(err) = SockRef::from(&*stream).set_linger(Some(Duration::ZERO)) {
                log::debug!("connection is closed instead of reset: {err}");
            }
            if let Err(err) = stream.shutdown(std::net::Shutdown::Both) {
                log::debug!("connection was closed before: {err}");
            }
            return;
        }
        let event = format!("id: {id}\ndata: {version}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
        std::thread::sleep(pause);
    }
    if !(is_open && end_events(stream)) {
        log::debug!("the gateway closed a stream");
    }
}
