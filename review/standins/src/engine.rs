//! A sound model replica: `slots` requests run, a few more wait, the others are rejected as not executed.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use berylstep_standins::fleet::message::{begin_events, end_events, respond, RawMessage};
use berylstep_standins::fleet::replica::FakeReplica;
use serde_json::{json, Value};

use crate::fleet::Record;

/// Header in which a requester of the stand-ins says how many events its answer has.
pub const EVENTS: &str = "X-Events";

/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Milliseconds since the epoch at which the replicas started, long ago.
const BORN: u64 = 1_700_000_000_000;

#[derive(Default)]
struct EngineState {
    running: usize,
    waiting: usize,
    /// Time until which the replica says nothing.
    silent_until: Option<Instant>,
}

struct EngineShared {
    state: Mutex<EngineState>,
    freed: Condvar,
}

pub struct ModelReplica {
    pub replica: FakeReplica,
    shared: Arc<EngineShared>,
    slots: usize,
}

impl ModelReplica {
    pub fn start(id: &str, slots: usize, queue: usize, record: &Record) -> Self {
        let shared = Arc::new(EngineShared { state: Mutex::default(), freed: Condvar::new() });
        let (engine, record, name) = (shared.clone(), record.clone(), id.to_owned());
        let replica = FakeReplica::start(id, move |message, _, stream| {
            engine.wait_while_silent();
            if message.target().starts_with("/v1/report") {
                let report =
                    json!({"Stage": "combined", "Busy": false, "Sequence": 1, "born": BORN});
                return respond(stream, message, 200, "", &report.to_string());
            }
            let id = message.header("berylstep-attempt-id").unwrap_or("-").to_owned();
            if !engine.admit(slots, queue) {
                record.line(&format!("{name}: {id} rejected as not executed, full"));
                return respond(stream, message, 503, "Berylstep-Not-Executed: full\r\n", "full");
            }
            let is_whole = engine.run(&name, &id, message, stream, &record);
            engine.release();
            is_whole
        });
        Self { replica, shared, slots }
    }

    pub fn entry(&self, service: &str) -> Value {
        let mut entry = self.replica.entry(service, "ready");
        entry["Slots"] = json!(self.slots);
        entry["born"] = json!(BORN);
        entry
    }

    /// Makes the replica say nothing for this time, after which it goes on.
    pub fn fall_silent(&self, time: Duration) {
        self.shared.state.lock().unwrap().silent_until = Some(Instant::now() + time);
    }

    /// Returns the numbers of running and waiting requests.
    pub fn load(&self) -> (usize, usize) {
        let state = self.shared.state.lock().unwrap();
        (state.running, state.waiting)
    }
}

impl EngineShared {
    fn wait_while_silent(&self) {
        let until = self.state.lock().unwrap().silent_until;
        if let Some(until) = until {
            std::thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    /// Waits for a slot; returns `false` if the queue is full.
    fn admit(&self, slots: usize, queue: usize) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.running >= slots && state.waiting >= queue {
            return false;
        }
        state.waiting += 1;
        let mut state = self.freed.wait_while(state, |state| state.running >= slots).unwrap();
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn release(&self) {
        self.state.lock().unwrap().running -= 1;
        self.freed.notify_all();
    }

    fn run(
        &self,
        name: &str,
        id: &str,
        message: &RawMessage,
        stream: &mut TcpStream,
        record: &Record,
    ) -> bool {
        let count = message.header(EVENTS).and_then(|value| value.parse().ok()).unwrap_or(1);
        let last: u32 =
            message.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
        record.line(&format!("{name}: {id} runs after event {last}"));
        for number in last + 1..=count {
            std::thread::sleep(EVENT_PAUSE);
            self.wait_while_silent();
            let is_begun = number > last + 1 || begin_events(stream, message);
            if !is_begun || !write_event(stream, number) {
                record.line(&format!("{name}: {id} left by the gateway before event {number}"));
                return false;
            }
        }
        record.line(&format!("{name}: {id} ran to its end"));
        end_events(stream)
    }
}

fn write_event(stream: &mut TcpStream, number: u32) -> bool {
    let event = format!("id: {number}\ndata: tokens\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok()
}
