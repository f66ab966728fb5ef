//! A sound model replica: `slots` requests run, a few more wait, the others are rejected as not executed. Its
//! process may crash and start again, and may be silent for a while.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use berylstep_standins::fleet::message::{
    begin_events_with, end_events, read_message, respond, RawMessage,
};
use berylstep_standins::process::free_address;
use serde_json::{json, Value};

use crate::fleet::Record;

/// Header in which a requester of the stand-ins says how many events its answer has.
pub const EVENTS: &str = "X-Events";

/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which the listener looks for a crash or a start.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What changes with a new process of the replica.
#[derive(Default)]
struct EngineProcess {
    version: String,
    born: u128,
    /// Number of the process; 0 while none runs.
    number: u64,
    started: u64,
    running: usize,
    waiting: usize,
    /// Time until which the replica says nothing.
    silent_until: Option<Instant>,
    connections: Vec<TcpStream>,
    /// Last event of each run, by the identifier of its request, and whether a move has stopped it.
    runs: HashMap<String, (u32, bool)>,
    /// Runs that a move has stopped, whose memory is kept here under their handle.
    kept: Vec<String>,
    /// Places that a move has taken here, under the handle.
    copies: Vec<String>,
}

struct EngineShared {
    id: String,
    slots: usize,
    queue: usize,
    record: Record,
    /// Value of `Server-Limit` in all answers.
    limit: Option<u32>,
    address: SocketAddr,
    process: Mutex<EngineProcess>,
    freed: Condvar,
}

/// All replicas, which copy the memory of runs to each other.
static REPLICAS: Mutex<Vec<Arc<EngineShared>>> = Mutex::new(Vec::new());

pub struct ModelReplica {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<EngineShared>,
}

impl ModelReplica {
    pub fn start(id: &str, version: &str, slots: usize, queue: usize, record: &Record) -> Self {
        Self::start_limited(id, version, slots, queue, None, record)
    }

    /// Starts a replica that names a limit in all its answers.
    pub fn start_limited(
        id: &str,
        version: &str,
        slots: usize,
        queue: usize,
        limit: Option<u32>,
        record: &Record,
    ) -> Self {
        let address = free_address();
        let shared = Arc::new(EngineShared {
            id: id.to_owned(),
            slots,
            queue,
            record: record.clone(),
            limit,
            address,
            process: Mutex::default(),
            freed: Condvar::new(),
        });
        REPLICAS.lock().unwrap().push(shared.clone());
        let engine = shared.clone();
        std::thread::spawn(move || engine.listen(address));
        let replica = Self { id: id.to_owned(), address, shared };
        replica.start_process(version, Duration::ZERO);
        replica
    }

    /// Starts a new process under the same identifier, which is silent at first.
    pub fn start_process(&self, version: &str, silence: Duration) {
        let mut process = self.shared.process.lock().unwrap();
        process.version = version.to_owned();
        process.born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        process.started += 1;
        process.number = process.started;
        process.silent_until = Some(Instant::now() + silence);
        drop(process);
        std::thread::sleep(5 * POLL_INTERVAL);
    }

    /// Ends the process: its connections break and new ones are refused.
    pub fn crash(&self) {
        let mut process = self.shared.process.lock().unwrap();
        process.number = 0;
        (process.running, process.waiting) = (0, 0);
        process.runs.clear();
        process.kept.clear();
        process.copies.clear();
        for connection in process.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.shared.freed.notify_all();
        drop(process);
        std::thread::sleep(5 * POLL_INTERVAL);
    }

    /// Returns the entry that the current process writes to the store.
    pub fn entry(&self, service: &str) -> Value {
        self.entry_in_state(service, "ready")
    }

    pub fn entry_in_state(&self, service: &str, state: &str) -> Value {
        let process = self.shared.process.lock().unwrap();
        json!({"Service": service, "Address": self.address, "Zone": "a", "Version": process.version,
               "Slots": self.shared.slots, "State": state, "ColdRemainingMs": 0, "Sequence": 1,
               "born": process.born as u64})
    }

    /// Makes the replica say nothing for this time, after which it goes on.
    pub fn fall_silent(&self, time: Duration) {
        self.shared.process.lock().unwrap().silent_until = Some(Instant::now() + time);
    }

    /// Returns the numbers of running and waiting requests.
    pub fn load(&self) -> (usize, usize) {
        let process = self.shared.process.lock().unwrap();
        (process.running, process.waiting)
    }
}

impl EngineShared {
    /// Accepts connections while a process runs.
    fn listen(self: Arc<Self>, address: SocketAddr) {
        let mut listener: Option<TcpListener> = None;
        loop {
            let number = self.process.lock().unwrap().number;
            match (&listener, number) {
                (Some(_), 0) => listener = None,
                (None, 1..) => {
                    listener = TcpListener::bind(address).ok();
                    if let Some(listener) = &listener {
                        let _ = listener.set_nonblocking(true);
                    }
                }
                _ => {}
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.process.lock().unwrap().connections.push(copy);
                    }
                    let engine = self.clone();
                    std::thread::spawn(move || engine.serve(stream, number));
                }
                _ => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            self.wait_while_silent();
            if !self.is_alive(number) || !self.answer(&message, reader.get_mut(), number) {
                break;
            }
        }
        let _ = reader.get_ref().shutdown(Shutdown::Both);
    }

    fn is_alive(&self, number: u64) -> bool {
        self.process.lock().unwrap().number == number
    }

    fn answer(&self, message: &RawMessage, stream: &mut TcpStream, number: u64) -> bool {
        if message.target().starts_with("/v1/report") {
            let born = self.process.lock().unwrap().born as u64;
            let report = json!({"Stage": "combined", "Busy": false, "Sequence": 1, "born": born});
            return respond(stream, message, 200, "", &report.to_string());
        }
        if message.target().starts_with("/v1/kv-move") {
            return self.move_run(message, stream);
        }
        let id = message.header("berylstep-attempt-id").unwrap_or("-").to_owned();
        let name = &self.id;
        if message.header("berylstep-expected-replica").is_some_and(|expected| expected != *name) {
            return respond(stream, message, 421, "Berylstep-Not-Executed: other\r\n", "other");
        }
        let handle = message.header("kv-from").and_then(|value| value.split('/').nth(1));
        if let Some(handle) = handle {
            let mut process = self.process.lock().unwrap();
            let places = process.kept.len() + process.copies.len();
            process.kept.retain(|kept| kept != handle);
            process.copies.retain(|copy| copy != handle);
            if process.kept.len() + process.copies.len() == places {
                drop(process);
                return respond(
                    stream,
                    message,
                    503,
                    "Berylstep-Not-Executed: handle\r\n",
                    "no copy",
                );
            }
            process.running += 1;
        } else if !self.admit(number) {
            self.record.line(&format!("{name}: {id} rejected as not executed, full"));
            return respond(stream, message, 503, "Berylstep-Not-Executed: full\r\n", "full");
        }
        let is_whole = self.run(&id, message, stream, number);
        let mut process = self.process.lock().unwrap();
        if process.number == number {
            process.running -= 1;
            process.runs.remove(&id);
        }
        self.freed.notify_all();
        is_whole
    }

    fn is_stopped(&self, id: &str) -> bool {
        self.process.lock().unwrap().runs.get(id).is_some_and(|(_, is_stopped)| *is_stopped)
    }

    fn limit_header(&self) -> String {
        self.limit.map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"))
    }

    /// Copies a run to another replica. With `Last` it stops first; where the other has no room, the source
    /// keeps the memory, and the answer names the handle all the same.
    fn move_run(&self, message: &RawMessage, stream: &mut TcpStream) -> bool {
        let body: Value = serde_json::from_str(&message.body).unwrap_or_default();
        let id = body["Id"].as_str().unwrap_or_default().to_owned();
        let is_last = body["Last"].as_bool().unwrap_or(false);
        let to = body["To"].as_str().and_then(|to| to.parse::<SocketAddr>().ok());
        let created = {
            let mut process = self.process.lock().unwrap();
            match process.runs.get_mut(&id) {
                Some(run) => {
                    run.1 |= is_last;
                    run.0
                }
                None => {
                    drop(process);
                    return respond(stream, message, 404, &self.limit_header(), "{}");
                }
            }
        };
        let handle = format!("h-{id}");
        let replicas = REPLICAS.lock().unwrap().clone();
        let has_room = replicas.iter().filter(|it| Some(it.address) == to).any(|destination| {
            let mut process = destination.process.lock().unwrap();
            let taken = process.running + process.copies.len();
            let is_there = process.copies.contains(&handle);
            if !is_there && taken < destination.slots {
                process.copies.push(handle.clone());
            }
            is_there || taken < destination.slots
        });
        let status = if has_room { 200 } else { 503 };
        if is_last {
            self.process.lock().unwrap().kept.push(handle.clone());
        }
        let (name, last) = (&self.id, if is_last { ", which stops it" } else { "" });
        self.record
            .line(&format!("{name}: move of {id} to {to:?}{last}: {status}, {created} events"));
        let answer = match has_room || is_last {
            true => json!({"Handle": handle, "Created": created}),
            false => json!({}),
        };
        respond(stream, message, status, &self.limit_header(), &answer.to_string())
    }

    fn wait_while_silent(&self) {
        let until = self.process.lock().unwrap().silent_until;
        if let Some(until) = until {
            std::thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    /// Waits for a slot; returns `false` if the queue is full.
    fn admit(&self, number: u64) -> bool {
        let mut process = self.process.lock().unwrap();
        if process.running >= self.slots && process.waiting >= self.queue {
            return false;
        }
        process.waiting += 1;
        let is_full =
            |process: &mut EngineProcess| process.number == number && process.running >= self.slots;
        let mut process = self.freed.wait_while(process, is_full).unwrap();
        if process.number == number {
            process.waiting -= 1;
            process.running += 1;
        }
        true
    }

    fn run(&self, id: &str, message: &RawMessage, stream: &mut TcpStream, number: u64) -> bool {
        let (name, record) = (&self.id, &self.record);
        let version = self.process.lock().unwrap().version.clone();
        let count = message.header(EVENTS).and_then(|value| value.parse().ok()).unwrap_or(1);
        let last: u32 =
            message.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
        record.line(&format!("{name} ({version}): {id} runs after event {last}"));
        self.process.lock().unwrap().runs.insert(id.to_owned(), (last, false));
        for event in last + 1..=count {
            std::thread::sleep(EVENT_PAUSE);
            self.wait_while_silent();
            if !self.is_alive(number) {
                record.line(&format!(
                    "{name} ({version}): {id} lost in a crash before event {event}"
                ));
                return false;
            }
            if self.is_stopped(id) {
                record.line(&format!(
                    "{name} ({version}): {id} was stopped by a move at event {event}"
                ));
                return false;
            }
            let is_begun =
                event > last + 1 || begin_events_with(stream, message, &self.limit_header());
            if !is_begun || !write_event(stream, event, &version) {
                record.line(&format!(
                    "{name} ({version}): {id} left by the gateway before event {event}"
                ));
                return false;
            }
            if let Some(run) = self.process.lock().unwrap().runs.get_mut(id) {
                run.0 = event;
            }
        }
        record.line(&format!("{name} ({version}): {id} ran to its end"));
        end_events(stream)
    }
}

fn write_event(stream: &mut TcpStream, number: u32, version: &str) -> bool {
    let event = format!("id: {number}\ndata: {version}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok()
}
