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
}

#[derive(Debug, Default)]
struct BrittleState {
    running: u32,
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
            let is_admitted = {
                let mut state = lock(&shared);
                let is_admitted = state.running < config.slots;
                state.running += u32::from(is_admitted);
                is_admitted
            };
            if !is_admitted {
                let header = format!("{header}Berylstep-Not-Executed: full\r\n");
                respond(stream, request, 503, &header, "full");
                return record_rejection(&mut lock(&shared), config.tolerated);
            }
            std::thread::sleep(config.run_time);
            respond(stream, request, 200, &header, "answer");
            let mut state = lock(&shared);
            state.running = state.running.saturating_sub(1);
            state.served += 1;
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

fn record_rejection(state: &mut BrittleState, tolerated: usize) -> ScriptStep {
    let now = Instant::now();
    state.rejections.retain(|at| now - *at < REJECTION_WINDOW);
    state.rejections.push(now);
    if state.rejections.len() <= tolerated {
        return ScriptStep::Answered;
    }
    state.rejections.clear();
    state.running = 0;
    state.falls += 1;
    ScriptStep::Crash
}
