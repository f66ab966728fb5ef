//! Stand-in for a model engine.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_http::{produced_body, BodySender, ReceivedRequest};
use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::serve;

/// Output tokens where the request names no limit.
const DEFAULT_TOKENS: u64 = 16;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name, which answers carry.
    pub name: String,
    /// Time for one token, in milliseconds.
    pub token_ms: u64,
}

/// A request as the engine received it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReceivedRecord {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

/// Makes the record of a request.
pub fn record(received: &ReceivedRequest) -> ReceivedRecord {
    let request = &received.request;
    let headers = request.iter().map(|(name, values)| {
        (name.as_str().to_owned(), values.iter().map(|v| v.as_str()).collect::<Vec<_>>().join(","))
    });
    ReceivedRecord {
        path: request.url().path().to_owned(),
        headers: headers.collect(),
        body: String::from_utf8_lossy(&received.body).into_owned(),
    }
}

#[derive(Debug)]
struct EngineState {
    settings: EngineSettings,
    running: AtomicU32,
    records: Mutex<Vec<ReceivedRecord>>,
}

/// Serves an engine on `address`.
pub async fn run(address: SocketAddr, settings: EngineSettings) -> std::io::Result<()> {
    let running = AtomicU32::new(0);
    let state = Arc::new(EngineState { settings, running, records: Mutex::default() });
    serve::serve(address, move |received| respond(state.clone(), received)).await
}

async fn respond(state: Arc<EngineState>, received: ReceivedRequest) -> Response {
    let path = received.request.url().path();
    match (received.request.method(), path) {
        (Method::Get, "/load") => {
            let running = state.running.load(Ordering::Relaxed);
            serve::json(&json!({ "running": running, "waiting": 0 }))
        }
        (Method::Get, "/control/requests") => {
            serve::json(&*state.records.lock().expect("record lock"))
        }
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
            state.records.lock().expect("record lock").push(record(&received));
            complete(state, received).await
        }
        _ => serve::status(404),
    }
}

async fn complete(state: Arc<EngineState>, received: ReceivedRequest) -> Response {
    let body: Value = match serve::parse(&received.body) {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let request_id = received.request.header("x-request-id").map(|v| v.last().to_string());
    let streamed = body["stream"].as_bool().unwrap_or_default();
    let running = RunningGuard::new(state);
    let mut response = match streamed {
        true => {
            let mut response = serve::status(200);
            response.set_body(produced_body(None, move |sender| stream(running, sender, tokens)));
            response.insert_header("content-type", "text/event-stream");
            response
        }
        false => {
            running.generate(tokens).await;
            let text: String = (0..tokens).map(|index| running.token(index)).collect();
            let message = json!({ "role": "assistant", "content": text });
            let choice = json!({ "index": 0, "message": message, "finish_reason": "length" });
            let usage = json!({ "prompt_tokens": 1, "completion_tokens": tokens });
            serve::json(&json!({ "choices": [choice], "usage": usage }))
        }
    };
    if let Some(request_id) = request_id {
        response.insert_header("x-request-id", request_id);
    }
    response
}

async fn stream(running: RunningGuard, sender: BodySender, tokens: u64) {
    for index in 0..tokens {
        running.generate(1).await;
        let delta = json!({ "index": 0, "delta": { "content": running.token(index) } });
        let event = format!("data: {}\n\n", json!({ "choices": [delta] }));
        if sender.send(event.into_bytes()).await.is_err() {
            return;
        }
    }
    let usage = json!({ "prompt_tokens": 1, "completion_tokens": tokens });
    let last = format!("data: {}\n\ndata: [DONE]\n\n", json!({ "choices": [], "usage": usage }));
    if sender.send(last.into_bytes()).await.is_ok() {
        sender.finish();
    }
}

/// Counts one running request until dropped.
struct RunningGuard {
    state: Arc<EngineState>,
}

impl RunningGuard {
    fn new(state: Arc<EngineState>) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self { state }
    }

    async fn generate(&self, tokens: u64) {
        let wait = Duration::from_millis(self.state.settings.token_ms * tokens);
        smol::Timer::after(wait).await;
    }

    fn token(&self, index: u64) -> String {
        format!("{}-{index} ", self.state.settings.name)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}
