//! Sends a trace to a site, open loop, and records how each request fared.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use berylstep_http::{ClientConnection, ExchangeError};
use http_types::{Method, Request, Url};
use serde_json::{json, Value};
use smol::future;
use smol::io::AsyncReadExt;

use super::trace::{TraceArrival, CLASSES};

/// Model that all requests of a trace name.
pub const POOL: &str = "drafter";

/// Most nodes that a caller tries while no connection can be made.
const MAX_TRIES: usize = 3;

/// Time after the deadline for which a caller waits for the rest of an answer that has begun.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer came.
    Whole {
        /// Until the first token.
        first: Duration,
        /// Output tokens.
        tokens: u64,
    },
    /// Refused with this status and reason.
    Refused(u16, String),
    /// The answer broke off, or no node could be reached.
    Broken(String),
    /// The caller left: the answer had not begun by the deadline, or went on for too long.
    Late,
}

/// One request with its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Request.
    pub arrival: TraceArrival,
    /// Outcome.
    pub outcome: CallOutcome,
}

/// Key of an organisation.
pub fn key_of(organisation: usize) -> String {
    format!("bench-key-{organisation}")
}

/// Sends every arrival at its time; `at_time` is called between arrivals with the time since the
/// start.
pub fn send(
    arrivals: &[TraceArrival],
    nodes: &[SocketAddr],
    max_tokens: u64,
    mut at_time: impl FnMut(Duration),
) -> Vec<CallRecord> {
    let started = Instant::now();
    let mut tasks = Vec::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        std::thread::sleep(arrival.at.saturating_sub(started.elapsed()));
        at_time(arrival.at);
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
    let patience = Duration::from_millis(class.deadline_ms);
    let message = json!({ "role": "user", "content": format!("question {number}") });
    let body = json!({
        "model": POOL, "stream": true, "max_tokens": max_tokens, "messages": [message],
    });
    let started = AtomicBool::new(false);
    let calling = async {
        let mut outcome = CallOutcome::Broken("no node".to_owned());
        for attempt in 0..MAX_TRIES {
            let node = nodes[(arrival.node + attempt) % nodes.len()];
            match exchange(node, &arrival, &body, &started).await {
                Ok(done) => return done,
                Err(ExchangeError::Connect(err)) => {
                    outcome = CallOutcome::Broken(err.to_string());
                }
                Err(err) => return CallOutcome::Broken(err.to_string()),
            }
        }
        outcome
    };
    let leaving = async {
        smol::Timer::after(patience).await;
        // Nobody leaves an answer that has begun, unless it goes on for too long.
        if started.load(Ordering::Relaxed) {
            smol::Timer::after(ANSWER_LIMIT).await;
        }
        CallOutcome::Late
    };
    let outcome = future::or(calling, leaving).await;
    CallRecord { arrival, outcome }
}

async fn exchange(
    node: SocketAddr,
    arrival: &TraceArrival,
    body: &Value,
    has_begun: &AtomicBool,
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
        has_begun.store(true, Ordering::Relaxed);
        text.extend_from_slice(&chunk[..count]);
    }
    let status = answer.response.status().into();
    Ok(outcome(status, first.unwrap_or_default(), &String::from_utf8_lossy(&text)))
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

fn outcome(status: u16, first: Duration, text: &str) -> CallOutcome {
    if status != 200 {
        let body: Value = serde_json::from_str(text).unwrap_or_default();
        let reason = body["error"]["code"].as_str().unwrap_or("none");
        return CallOutcome::Refused(status, reason.to_owned());
    }
    if !text.ends_with("data: [DONE]\n\n") {
        return CallOutcome::Broken("no end of the stream".to_owned());
    }
    let usage = text.rsplit_once("\"completion_tokens\":").map_or("", |(_, rest)| rest);
    let digits = usage.split(|letter: char| !letter.is_ascii_digit()).next();
    let tokens = digits.and_then(|digits| digits.parse().ok()).unwrap_or_default();
    CallOutcome::Whole { first, tokens }
}
