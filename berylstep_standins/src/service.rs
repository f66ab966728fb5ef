//! Stand-in for a plain service, which records every call to reveal duplicates.
//!
//! `POST /control/faults` sets the injected faults, `GET /control/requests` returns every call that
//! took effect, and `GET /control/refused` returns the number of calls refused because the service
//! is leaving.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_http::ReceivedRequest;
use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::record::{record_request, RequestRecord};
use crate::serve;

/// Exit code of an injected crash.
const CRASH_EXIT_CODE: i32 = 70;

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name, included in answers.
    pub name: String,
    /// Processing time of a call, in milliseconds.
    pub delay_ms: u64,
}

/// Injected faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay between a call's effect and its answer, in milliseconds.
    pub late_ms: u64,
    /// Number of calls that take effect but whose connection is closed without an answer.
    pub lose_answers: u32,
    /// Share of calls that fail with status 500 without effect, from 0 to 1.
    pub error_rate: f64,
    /// Exits the process after this many more calls took effect, before the last is answered.
    pub crash_after_calls: Option<u32>,
    /// Refuses calls with status 503 and `x-leaving: true`, without effect.
    pub leaving: bool,
}

#[derive(Debug)]
struct ServiceState {
    settings: ServiceSettings,
    faults: Mutex<ServiceFaults>,
    records: Mutex<Vec<RequestRecord>>,
    random: Mutex<fastrand::Rng>,
    running: AtomicUsize,
    refused: AtomicUsize,
}

/// Runs the service's HTTP server on `address`.
pub async fn run(address: SocketAddr, settings: ServiceSettings) -> std::io::Result<()> {
    let state = Arc::new(ServiceState {
        settings,
        faults: Mutex::default(),
        records: Mutex::default(),
        random: Mutex::new(fastrand::Rng::with_seed(0)),
        running: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
    });
    serve::serve(address, move |received| respond(state.clone(), received)).await
}

async fn respond(state: Arc<ServiceState>, received: ReceivedRequest) -> Response {
    let path = received.request.url().path();
    match (received.request.method(), path) {
        (Method::Get, "/load") => {
            let running = state.running.load(Ordering::Relaxed);
            serve::json(&json!({ "running": running, "waiting": 0 }))
        }
        (Method::Get, "/control/requests") => {
            serve::json(&*state.records.lock().expect("record lock"))
        }
        (Method::Get, "/control/refused") => serve::json(&state.refused.load(Ordering::Relaxed)),
        (Method::Post, "/control/faults") => state.set_faults(&received.body),
        _ => state.execute(&received).await,
    }
}

impl ServiceState {
    fn set_faults(&self, body: &[u8]) -> Response {
        let faults: ServiceFaults = match serve::parse(body) {
            Ok(faults) => faults,
            Err(refusal) => return *refusal,
        };
        *self.faults.lock().expect("fault lock") = faults.clone();
        serve::json(&faults)
    }

    async fn execute(&self, received: &ReceivedRequest) -> Response {
        if self.faults.lock().expect("fault lock").leaving {
            self.refused.fetch_add(1, Ordering::Relaxed);
            let mut response = serve::status(503);
            response.insert_header("x-leaving", "true");
            return response;
        }
        let _running = RunningGuard::new(&self.running);
        smol::Timer::after(Duration::from_millis(self.settings.delay_ms)).await;
        let error_rate = self.faults.lock().expect("fault lock").error_rate;
        if self.random.lock().expect("random lock").f64() < error_rate {
            return serve::status(500);
        }
        let confirmed = {
            let mut records = self.records.lock().expect("record lock");
            records.push(record_request(received));
            records.len()
        };
        let (late, is_lost) = self.next_answer_fault();
        smol::Timer::after(late).await;
        if is_lost {
            return serve::lost_answer();
        }
        let message = json!({ "confirmed": confirmed, "service": self.settings.name });
        let mut response = serve::json(&message);
        if let Some(id) = received.request.header("x-request-id") {
            response.insert_header("x-request-id", id.last().as_str());
        }
        response
    }

    /// Returns the delay of the next answer and whether it is lost; exits the process if a crash is
    /// due.
    fn next_answer_fault(&self) -> (Duration, bool) {
        let mut faults = self.faults.lock().expect("fault lock");
        if let Some(calls) = &mut faults.crash_after_calls {
            *calls = calls.saturating_sub(1);
            if *calls == 0 {
                std::process::exit(CRASH_EXIT_CODE);
            }
        }
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        (Duration::from_millis(faults.late_ms), is_lost)
    }
}

/// Counts a call as running until dropped.
struct RunningGuard<'a> {
    running: &'a AtomicUsize,
}

impl<'a> RunningGuard<'a> {
    fn new(running: &'a AtomicUsize) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self { running }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}
