//! Resumes a broken model stream on a new connection, normally to another upstream.

use std::time::Duration;

use displaydoc::Display;
use http_types::{Response, StatusCode};
use serde_json::{json, Value};

use super::attempt::{self, AttemptError, StartedResponse};
use super::forward::MAX_ATTEMPTS;
use super::idempotent;
use super::model_stream::ModelStream;
use super::relay::{ResponseSource, ResponseStream};
use super::request::CallerRequest;
use crate::slots::{SlotGuard, SlotOutcome};

/// Response header with which an engine states that it can continue from given text.
const RESUMABLE_HEADER: &str = "x-resumable";

/// Path of the completions endpoint, whose prompt is plain text.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// Timeout for resuming a stream, during which the caller receives nothing.
const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

/// Request fields whose effect can't be continued by another engine in the middle of a response.
const UNRESUMABLE_FIELDS: &[&str] =
    &["tools", "functions", "response_format", "best_of", "echo", "suffix", "min_tokens"];

/// Cause of a broken response.
#[derive(Debug, Display)]
#[displaydoc("cause={message}")]
pub struct BreakCause {
    /// Whether the upstream itself failed, rather than a single connection to it.
    pub upstream_failed: bool,
    message: String,
}

impl BreakCause {
    /// Failure of the upstream itself.
    pub fn upstream(message: String) -> Self {
        Self { upstream_failed: true, message }
    }

    /// Stalled connection to an upstream that responds over a new connection.
    pub fn silent_connection() -> Self {
        let message = "connection stalled, but its upstream passed the probe".to_owned();
        Self { upstream_failed: false, message }
    }
}

/// Returns whether the stream can be resumed: the engine states that it supports this, and the
/// request has one choice and no field that prevents it.
pub fn is_resumable(request: &CallerRequest, head: &Response) -> bool {
    let stated = head.header(RESUMABLE_HEADER).map(|values| values.last().as_str());
    if stated != Some("true") {
        return false;
    }
    let Ok(body) = serde_json::from_slice::<Value>(&request.body) else { return false };
    let one_choice = body.get("n").is_none_or(|n| *n == json!(1));
    let given = |field: &&str| body.get(*field).is_some_and(|value| !value.is_null());
    one_choice && !UNRESUMABLE_FIELDS.iter().any(given)
}

/// Continues the stream with a new request and returns the first bytes of its response.
///
/// Returns `None` if the stream can't be resumed, or no engine could do so within the retry budget,
/// the maximum number of attempts and the timeout.
pub async fn resume(stream: &mut ResponseStream, cause: &BreakCause) -> Option<Vec<u8>> {
    let body = continuation_body(&stream.forwarded.request, stream.model.as_ref()?)?;
    let ResponseSource { slot, .. } = stream.source.take()?;
    log::warn!("stream broken; resuming: upstream={} {cause}", slot.upstream.id);
    exclude_upstream(stream, slot, cause.upstream_failed);
    let node = stream.forwarded.node.clone();
    stream.forwarded.deadline = node.clock.now() + RESUME_TIMEOUT;
    stream.forwarded.slot_request.deadline = stream.forwarded.deadline;
    for _ in 0..MAX_ATTEMPTS {
        if !node.retry_budgets.try_withdraw(&stream.forwarded.request.route.pool, node.clock.now())
        {
            return None;
        }
        let slot = stream.forwarded.acquire_slot().await.ok()?;
        match start_resumed_response(stream, &body, &slot).await {
            Ok(started) => return Some(switch_source(stream, started, slot)),
            Err(err) => idempotent::record_failure(&mut stream.forwarded, slot, &err),
        }
    }
    None
}

fn exclude_upstream(stream: &mut ResponseStream, slot: SlotGuard, failed: bool) {
    stream.forwarded.exclude(slot.upstream.id.clone(), failed);
    slot.finish(SlotOutcome { tokens: 0, failed });
}

async fn start_resumed_response(
    stream: &ResponseStream,
    body: &[u8],
    slot: &SlotGuard,
) -> Result<StartedResponse, AttemptError> {
    let forwarded = &stream.forwarded;
    let (node, request) = (&forwarded.node, &forwarded.request);
    let started =
        attempt::start_response(node, request, body, &slot.upstream, forwarded.deadline).await?;
    let can_resume = started.head.status() == StatusCode::Ok
        && started.is_event_stream()
        && is_resumable(request, &started.head);
    match can_resume {
        true => Ok(started),
        false => Err(AttemptError {
            may_have_run: true,
            upstream_failed: true,
            message: "engine does not resume streams".to_owned(),
        }),
    }
}

fn switch_source(
    stream: &mut ResponseStream,
    started: StartedResponse,
    mut slot: SlotGuard,
) -> Vec<u8> {
    slot.record_started();
    let StartedResponse { first_bytes, body, reuse, .. } = started;
    if let Some(model) = &mut stream.model {
        model.resume();
    }
    stream.source = Some(ResponseSource { slot, body, reuse });
    first_bytes
}

/// Builds the request body that makes an engine continue after the generated text; `None` if the
/// request or the stream doesn't allow it.
fn continuation_body(request: &CallerRequest, model: &ModelStream) -> Option<Vec<u8>> {
    if !model.is_resumable() {
        return None;
    }
    let mut body = serde_json::from_slice::<Value>(&request.body).ok()?;
    for field in ["max_tokens", "max_completion_tokens"] {
        if let Some(limit) = body.get(field).and_then(Value::as_u64) {
            let remaining = limit.checked_sub(model.tokens()).filter(|remaining| *remaining > 0)?;
            body[field] = remaining.into();
        }
    }
    match request.head.url().path() {
        COMPLETIONS_PATH => {
            let prompt = body.get("prompt")?.as_str()?;
            body["prompt"] = format!("{prompt}{}", model.text()).into();
        }
        _ => append_text(&mut body, model.text())?,
    }
    serde_json::to_vec(&body).ok()
}

/// Appends the text to the final message if the caller already continues that, or else as a new
/// assistant message.
fn append_text(body: &mut Value, text: &str) -> Option<()> {
    if text.is_empty() {
        return Some(());
    }
    let continues = body.get("continue_final_message") == Some(&json!(true));
    let messages = body.get_mut("messages")?.as_array_mut()?;
    match messages.last_mut().filter(|_| continues) {
        Some(last) => {
            let content = last.get("content")?.as_str()?;
            last["content"] = format!("{content}{text}").into();
        }
        None => messages.push(json!({ "role": "assistant", "content": text })),
    }
    body["continue_final_message"] = true.into();
    body["add_generation_prompt"] = false.into();
    Some(())
}
