//! Scripted replicas that are brittle: they fall over if they have to turn too many requests away.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::crash::{CrashingReplica, ScriptStep};
use super::lock;
use super::message::respond;
use super::replica::entry;

/// Window in which rejections count.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// Interval at which a waiting request looks for a slot.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How a [`BrittleReplica`] serves.
#[derive(Clone, Copy, Debug)]
pub struct BrittleConfig {
    /// Requests that it runs at once; all others are turned away.
    pub slots: u32,
    /// Time that a request runs.
    pub run_time: Duration,
    /// Requests that it may turn away in a second.
    pub tolerated: usize,
    /// Whether it says so.
    pub says_so: bool,
    /// Time for which it is down after it fell over.
    pub down_time: Duration,
    /// Requests that may wait for a slot.
    pub waiting: u32,
    /// Time after its first request from which none may wait.
    pub waiting_time: Duration,
}

#[derive(Debug, Default)]
struct BrittleState {
    first_request: Option<Instant>,
    /// Number of the process; counts begin anew with each.
    process: usize,
    running: u32,
    waiting: u32,
    served: usize,
    falls: usize,
    rejections: Vec<Instant>,
}

/// A replica that falls over if it turns too many requests away in a second.
#[derive(Clone, Debug)]
pub struct BrittleReplica {
    /// Process that serves the requests.
    pub replica: CrashingReplica,
    config: BrittleConfig,
    state: Arc<Mutex<BrittleState>>,
}

impl BrittleReplica {
    /// Starts a replica.
    pub fn start(id: &str, config: BrittleConfig) -> Self {
        let state: Arc<Mutex<BrittleState>> = Arc::default();
        let shared = state.clone();
        let replica = CrashingReplica::start(id, config.down_time, move |request, stream| {
            let header = match config.says_so {
                true => format!("Server-Brittle: {}\r\n", config.tolerated),
                false => String::new(),
            };
            let Some(process) = admit(&shared, &config) else {
                let header = format!("{header}Berylstep-Not-Executed: full\r\n");
                respond(stream, request, 503, &header, "full");
                return record_rejection(&mut lock(&shared), config.tolerated);
            };
            std::thread::sleep(config.run_time);
            respond(stream, request, 200, &header, "answer");
            let mut state = lock(&shared);
            if state.process == process {
                state.running -= 1;
                state.served += 1;
            }
            ScriptStep::Answered
        });
        Self { replica, config, state }
    }

    /// Returns the replica's entry in the store.
    pub fn entry(&self, service: &str) -> Value {
        let mut entry = entry(self.replica.address, service, "ready");
        entry["Slots"] = self.config.slots.into();
        entry["born"] = self.replica.starts().into();
        entry
    }

    /// Returns how often it fell over, and the requests that it served.
    pub fn falls_and_served(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.falls, state.served)
    }
}

/// Takes a slot, and waits for one where that is allowed; returns the process whose slot it is, or `None`
/// if there is no room.
fn admit(shared: &Mutex<BrittleState>, config: &BrittleConfig) -> Option<usize> {
    let process = {
        let mut state = lock(shared);
        let first_request = *state.first_request.get_or_insert_with(Instant::now);
        if state.running < config.slots {
            state.running += 1;
            return Some(state.process);
        }
        if first_request.elapsed() >= config.waiting_time || state.waiting >= config.waiting {
            return None;
        }
        state.waiting += 1;
        state.process
    };
    loop {
        std::thread::sleep(POLL_INTERVAL);
        let mut state = lock(shared);
        if state.process != process {
            return Some(process);
        }
        if state.running < config.slots {
            state.waiting -= 1;
            state.running += 1;
            return Some(process);
        }
    }
}

fn record_rejection(state: &mut BrittleState, tolerated: usize) -> ScriptStep {
    let now = Instant::now();
    state.rejections.retain(|at| now - *at < REJECTION_WINDOW);
    state.rejections.push(now);
    if state.rejections.len() <= tolerated {
        return ScriptStep::Answered;
    }
    state.rejections.clear();
    (state.running, state.waiting) = (0, 0);
    state.process += 1;
    state.falls += 1;
    ScriptStep::Crash
}
