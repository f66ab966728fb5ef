//! Stand-in for a model engine with continuous batching, a prefix cache, priorities, cancellation
//! and continuation of partial answers.
//!
//! `POST /control/faults` sets the injected faults, `GET /control/requests` returns every request
//! received, and `GET /control/stats` returns counters.

mod answer;
mod batch;
mod cache;
mod call;
mod text;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_http::{task_body, BodySender, ReceivedRequest};
use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

pub use self::batch::{EngineLoad, EngineStats};
pub use crate::record::{record_request, RequestRecord};

use self::answer::AnswerEncoder;
use self::batch::{EngineBatch, SequenceEvent, SequenceHandle};
use self::call::{CompletionBody, CompletionCall, CompletionKind};
use crate::serve;

/// Header that matches an answer to its request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that states whether an interrupted answer can be continued.
const RESUMABLE_HEADER: &str = "x-resumable";

/// Interval between the load samples from which delayed load reports are taken.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of the engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name, included in the answer to `/control/faults`.
    pub name: String,
    /// Duration of an iteration with a single sequence, in milliseconds.
    pub token_ms: u64,
    /// Time that each additional sequence adds to an iteration, in microseconds.
    pub batch_us: u64,
    /// Prefill time of one uncached prompt token, in microseconds.
    pub prefill_us: u64,
    /// Maximum batch size, in sequences.
    pub slots: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Mean output length, in tokens; 0 always generates up to the request's limit.
    pub mean_tokens: u64,
    /// Seed of the random output lengths and errors.
    pub seed: u64,
    /// Delay of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether partial answers can be continued.
    pub resumable: bool,
}

/// Injected faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor by which iterations are slowed down.
    pub slow_factor: f64,
    /// Stalls new and running completions and load reports, keeping connections open.
    pub silent: bool,
    /// Exits the process once it has generated this many tokens since its start.
    pub crash_after_tokens: Option<u64>,
    /// Aborts each stream after this many tokens; the process keeps running.
    pub break_after_tokens: Option<u64>,
    /// Share of completions answered with status 500, from 0 to 1.
    pub error_rate: f64,
    /// Delay before the head of each completion, in milliseconds.
    pub late_ms: u64,
    /// Answers carry a wrong request identifier.
    pub crossed: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            silent: false,
            crash_after_tokens: None,
            break_after_tokens: None,
            error_rate: 0.0,
            late_ms: 0,
            crossed: false,
        }
    }
}

impl EngineFaults {
    fn crash_due(&self, generated: u64) -> bool {
        self.crash_after_tokens.is_some_and(|limit| generated >= limit)
    }
}

#[derive(Debug)]
struct EngineState {
    settings: EngineSettings,
    faults: Arc<Mutex<EngineFaults>>,
    batch: EngineBatch,
    records: Mutex<Vec<RequestRecord>>,
    random: Mutex<fastrand::Rng>,
    reports: Mutex<VecDeque<(Instant, EngineLoad)>>,
    answers: AtomicU64,
}

/// Runs the engine's HTTP server on `address`.
pub async fn run(address: SocketAddr, settings: EngineSettings) -> std::io::Result<()> {
    let faults = Arc::new(Mutex::new(EngineFaults::default()));
    let state = Arc::new(EngineState {
        batch: EngineBatch::new(settings.clone(), faults.clone()),
        random: Mutex::new(fastrand::Rng::with_seed(settings.seed)),
        settings,
        faults,
        records: Mutex::default(),
        reports: Mutex::default(),
        answers: AtomicU64::new(1),
    });
    let batch_state = state.clone();
    let _batch_task = smol::spawn(async move { batch_state.batch.run().await });
    let sample_state = state.clone();
    let _sample_task = smol::spawn(async move { sample_state.sample_loads().await });
    serve::serve(address, move |received| respond(state.clone(), received)).await
}

async fn respond(state: Arc<EngineState>, received: ReceivedRequest) -> Response {
    let path = received.request.url().path();
    match (received.request.method(), path) {
        (Method::Get, "/load") => {
            state.wait_while_silent().await;
            serve::json(&state.reported_load())
        }
        (Method::Get, "/control/requests") => {
            serve::json(&*state.records.lock().expect("record lock"))
        }
        (Method::Get, "/control/stats") => serve::json(&state.batch.stats()),
        (Method::Post, "/control/faults") => state.set_faults(&received.body),
        (Method::Post, "/v1/chat/completions") => {
            complete(state, CompletionKind::Chat, received).await
        }
        (Method::Post, "/v1/completions") => complete(state, CompletionKind::Text, received).await,
        _ => serve::status(404),
    }
}

async fn complete(
    state: Arc<EngineState>,
    kind: CompletionKind,
    received: ReceivedRequest,
) -> Response {
    state.records.lock().expect("record lock").push(record_request(&received));
    let body: CompletionBody = match serve::parse(&received.body) {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let call = CompletionCall::new(kind, body);
    state.wait_while_silent().await;
    let faults = state.faults();
    if faults.late_ms > 0 {
        smol::Timer::after(Duration::from_millis(faults.late_ms)).await;
    }
    if state.random.lock().expect("random lock").f64() < faults.error_rate {
        return serve::status(500);
    }
    if call.continues && !state.settings.resumable {
        return serve::status(400);
    }
    let handle = state.batch.submit(&call);
    let number = state.answers.fetch_add(1, Ordering::Relaxed);
    let encoder = AnswerEncoder::new(&call, number, handle.cached_tokens);
    let mut response = match call.stream {
        true => stream_answer(encoder, handle, faults.break_after_tokens),
        false => complete_answer(&encoder, &handle).await,
    };
    if let Some(values) = received.request.header(REQUEST_ID_HEADER) {
        let id = values.last().as_str();
        match faults.crossed {
            true => response.insert_header(REQUEST_ID_HEADER, format!("{id}-other")),
            false => response.insert_header(REQUEST_ID_HEADER, id),
        };
    }
    response.insert_header(RESUMABLE_HEADER, state.settings.resumable.to_string());
    response
}

async fn complete_answer(encoder: &AnswerEncoder, handle: &SequenceHandle) -> Response {
    let (mut text, mut tokens) = (String::new(), 0);
    while let Ok(event) = handle.events.recv().await {
        match event {
            SequenceEvent::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            SequenceEvent::Finished(reason) => {
                return serve::json(&encoder.completion(&text, reason, tokens));
            }
        }
    }
    serve::status(500)
}

fn stream_answer(
    encoder: AnswerEncoder,
    handle: SequenceHandle,
    break_after_tokens: Option<u64>,
) -> Response {
    let mut response = serve::status(200);
    let body =
        task_body(None, move |sender| send_events(encoder, handle, sender, break_after_tokens));
    response.set_body(body);
    response.insert_header("content-type", "text/event-stream");
    response
}

async fn send_events(
    encoder: AnswerEncoder,
    handle: SequenceHandle,
    sender: BodySender,
    break_after_tokens: Option<u64>,
) {
    let mut tokens = 0;
    while let Ok(event) = handle.events.recv().await {
        if break_after_tokens.is_some_and(|limit| tokens >= limit) {
            return;
        }
        let bytes = match event {
            SequenceEvent::Token(token) => encoder.token_event(&token, tokens == 0),
            SequenceEvent::Finished(reason) => {
                if sender.send(encoder.end_events(reason, tokens).into_bytes()).await.is_ok() {
                    sender.finish();
                }
                return;
            }
        };
        tokens += 1;
        if sender.send(bytes.into_bytes()).await.is_err() {
            return;
        }
    }
}

impl EngineState {
    fn faults(&self) -> EngineFaults {
        self.faults.lock().expect("fault lock").clone()
    }

    fn set_faults(&self, body: &[u8]) -> Response {
        let faults: EngineFaults = match serve::parse(body) {
            Ok(faults) => faults,
            Err(refusal) => return *refusal,
        };
        *self.faults.lock().expect("fault lock") = faults.clone();
        serve::json(&json!({ "name": self.settings.name, "faults": faults }))
    }

    async fn wait_while_silent(&self) {
        while self.faults().silent {
            smol::Timer::after(LOAD_SAMPLE_INTERVAL).await;
        }
    }

    /// Returns the load as it was `load_lag_ms` ago.
    fn reported_load(&self) -> EngineLoad {
        if self.settings.load_lag_ms == 0 {
            return self.batch.load();
        }
        let reports = self.reports.lock().expect("report lock");
        reports.front().map_or(EngineLoad::default(), |(_, load)| *load)
    }

    /// Samples the load periodically if load reports are delayed; the oldest sample comes first.
    async fn sample_loads(&self) {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        while !lag.is_zero() {
            self.sample_load(lag);
            smol::Timer::after(LOAD_SAMPLE_INTERVAL).await;
        }
    }

    fn sample_load(&self, lag: Duration) {
        let now = Instant::now();
        let load = self.batch.load();
        let mut reports = self.reports.lock().expect("report lock");
        reports.push_back((now, load));
        while reports.get(1).is_some_and(|(sampled_at, _)| now - *sampled_at >= lag) {
            reports.pop_front();
        }
    }
}
