//! Open-loop load generator: sends the requests of a trace and records their outcomes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use berylstep_http::{ClientConnection, ExchangeError};
use http_types::{Method, Request, Url};
use serde_json::{json, Value};
use smol::future;
use smol::io::AsyncReadExt;

use super::trace::{TraceArrival, CLASSES};

/// Model, and pool, that all requests of a trace are for.
pub const POOL: &str = "drafter";

/// Maximum number of nodes to which a caller tries to connect.
const MAX_ATTEMPTS: usize = 3;

/// Time after the deadline for which a caller waits for the rest of an answer that has started.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer was complete.
    Whole {
        /// Time to the first token.
        first: Duration,
        /// Number of output tokens.
        tokens: u64,
    },
    /// Refused with this status code and error code.
    Refused(u16, String),
    /// The answer ended early, or no node could be reached.
    Broken(String),
    /// The caller gave up: the answer had not started by the deadline or took too long to complete.
    Late,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Request of the trace.
    pub arrival: TraceArrival,
    /// Outcome of the request.
    pub outcome: CallOutcome,
}

/// Returns the API key of an organisation.
pub fn key_of(organisation: usize) -> String {
    format!("bench-key-{organisation}")
}

/// Sends each request at its arrival time and returns the outcomes in the order of the trace.
///
/// `on_arrival` is called before each request with its arrival time.
pub fn send(
    arrivals: &[TraceArrival],
    nodes: &[SocketAddr],
    max_tokens: u64,
    mut on_arrival: impl FnMut(Duration),
) -> Vec<CallRecord> {
    let started = Instant::now();
    let mut tasks = Vec::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        std::thread::sleep(arrival.at.saturating_sub(started.elapsed()));
        on_arrival(arrival.at);
        let (arrival, nodes) = (arrival.clone(), nodes.to_vec());
        tasks.push(smol::spawn(call(arrival, nodes, number, max_tokens)));
    }
    smol::block_on(async {
        let mut records = Vec::new();
        for task in tasks {
            records.push(task.await);
        }
        records
    })
}

async fn call(
    arrival: TraceArrival,
    nodes: Vec<SocketAddr>,
    number: usize,
    max_tokens: u64,
) -> CallRecord {
    let class = CLASSES[arrival.class];
    let deadline = Duration::from_millis(class.deadline_ms);
    let message = json!({ "role": "user", "content": format!("question {number}") });
    let body = json!({
        "model": POOL, "stream": true, "max_tokens": max_tokens, "messages": [message],
    });
    let has_started = AtomicBool::new(false);
    let attempts = async {
        let mut outcome = CallOutcome::Broken("no node".to_owned());
        for attempt in 0..MAX_ATTEMPTS {
            let node = nodes[(arrival.node + attempt) % nodes.len()];
            match exchange(node, &arrival, &body, &has_started).await {
                Ok(done) => return done,
                Err(ExchangeError::Connect(err)) => {
                    outcome = CallOutcome::Broken(err.to_string());
                }
                Err(err) => return CallOutcome::Broken(err.to_string()),
            }
        }
        outcome
    };
    let timeout = async {
        smol::Timer::after(deadline).await;
        // A caller abandons an answer that has started only if it takes too long to complete.
        if has_started.load(Ordering::Relaxed) {
            smol::Timer::after(ANSWER_TIMEOUT).await;
        }
        CallOutcome::Late
    };
    let outcome = future::or(attempts, timeout).await;
    CallRecord { arrival, outcome }
}

async fn exchange(
    node: SocketAddr,
    arrival: &TraceArrival,
    body: &Value,
    has_started: &AtomicBool,
) -> Result<CallOutcome, ExchangeError> {
    let started = Instant::now();
    let connection = ClientConnection::connect(node).await?;
    let mut answer = connection.exchange(request(node, arrival, body)).await?;
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    let mut first = None;
    loop {
        let count = answer.response.read(&mut chunk).await.map_err(ExchangeError::Broken)?;
        if count == 0 {
            break;
        }
        first.get_or_insert_with(|| started.elapsed());
        has_started.store(true, Ordering::Relaxed);
        text.extend_from_slice(&chunk[..count]);
    }
    let status = answer.response.status().into();
    Ok(classify(status, first.unwrap_or_default(), &String::from_utf8_lossy(&text)))
}

fn request(node: SocketAddr, arrival: &TraceArrival, body: &Value) -> Request {
    let url = Url::parse(&format!("http://{node}/v1/chat/completions")).expect("valid target");
    let mut request = Request::new(Method::Post, url);
    request.set_body(body.to_string());
    request.insert_header("content-type", "application/json");
    let authorization = format!("Bearer {}", key_of(arrival.organisation));
    request.insert_header("authorization", authorization);
    request.insert_header("berylstep-class", CLASSES[arrival.class].name);
    request
}

fn classify(status: u16, first: Duration, text: &str) -> CallOutcome {
    if status != 200 {
        let body: Value = serde_json::from_str(text).unwrap_or_default();
        let reason = body["error"]["code"].as_str().unwrap_or("none");
        return CallOutcome::Refused(status, reason.to_owned());
    }
    if !text.ends_with("data: [DONE]\n\n") {
        return CallOutcome::Broken("stream ended without [DONE]".to_owned());
    }
    let usage = text.rsplit_once("\"completion_tokens\":").map_or("", |(_, rest)| rest);
    let digits = usage.split(|letter: char| !letter.is_ascii_digit()).next();
    let tokens = digits.and_then(|digits| digits.parse().ok()).unwrap_or_default();
    CallOutcome::Whole { first, tokens }
}
