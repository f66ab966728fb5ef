//! Going on with a broken model stream on another replica.

use std::time::Duration;

use displaydoc::Display;
use http_types::{Response, StatusCode};
use serde_json::{json, Value};

use super::attempt::{self, AttemptError, StartedResponse};
use super::forward::MAX_ATTEMPTS;
use super::idempotent;
use super::model_stream::ModelStream;
use super::relay::{AnswerSource, AnswerStream};
use super::request::CallerRequest;
use crate::slots::{SlotGuard, SlotOutcome};

/// Header by which an engine states that it can go on from a given text.
const RESUMABLE_HEADER: &str = "x-resumable";

/// Path of the completions endpoint, whose prompt is one text.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// Longest pause in a caller's stream while another engine is found.
const RESUME_LIMIT: Duration = Duration::from_secs(10);

/// Fields whose effect another engine can't take over in the middle of an answer.
const UNRESUMABLE_FIELDS: &[&str] =
    &["tools", "functions", "response_format", "best_of", "echo", "suffix", "min_tokens"];

/// Why a stream broke.
#[derive(Debug, Display)]
#[displaydoc("cause={message}")]
pub struct ResumeCause {
    /// Whether the upstream itself failed, rather than one connection to it.
    pub upstream_failed: bool,
    message: String,
}

impl ResumeCause {
    /// The upstream failed.
    pub fn upstream(message: String) -> Self {
        Self { upstream_failed: true, message }
    }

    /// The upstream answers over a new connection, but not over this one.
    pub fn silent_connection() -> Self {
        let message = "connection is silent though its upstream answers".to_owned();
        Self { upstream_failed: false, message }
    }
}

/// Whether the engine and the request allow a resumption.
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

/// Finds another engine that goes on with the stream; returns the first bytes of its answer.
pub async fn resume(stream: &mut AnswerStream, cause: &ResumeCause) -> Option<Vec<u8>> {
    let body = continuation(&stream.forwarded.request, stream.model.as_ref()?)?;
    let AnswerSource { slot, .. } = stream.source.take()?;
    log::warn!("stream broke, resuming: upstream={} {cause}", slot.upstream.id);
    leave(stream, slot, cause.upstream_failed);
    let node = stream.forwarded.node.clone();
    stream.forwarded.deadline = node.clock.now() + RESUME_LIMIT;
    stream.forwarded.ask.deadline = stream.forwarded.deadline;
    for _ in 0..MAX_ATTEMPTS {
        if !node.retries.try_withdraw(&stream.forwarded.request.route.pool, node.clock.now()) {
            return None;
        }
        let slot = stream.forwarded.acquire().await.ok()?;
        match begin(stream, &body, &slot).await {
            Ok(answer) => return Some(take_over(stream, answer, slot)),
            Err(err) => idempotent::note_failure(&mut stream.forwarded, slot, &err),
        }
    }
    None
}

fn leave(stream: &mut AnswerStream, slot: SlotGuard, failed: bool) {
    stream.forwarded.leave(slot.upstream.id.clone(), failed);
    slot.finish(SlotOutcome { tokens: 0, failed });
}

async fn begin(
    stream: &AnswerStream,
    body: &[u8],
    slot: &SlotGuard,
) -> Result<StartedResponse, AttemptError> {
    let forwarded = &stream.forwarded;
    let (node, request) = (&forwarded.node, &forwarded.request);
    let begun = attempt::begin(node, request, body, &slot.upstream, forwarded.deadline).await?;
    let goes_on = begun.head.status() == StatusCode::Ok
        && begun.is_event_stream()
        && is_resumable(request, &begun.head);
    match goes_on {
        true => Ok(begun),
        false => Err(AttemptError {
            may_have_run: true,
            upstream_failed: true,
            message: "engine does not resume streams".to_owned(),
        }),
    }
}

fn take_over(stream: &mut AnswerStream, answer: StartedResponse, mut slot: SlotGuard) -> Vec<u8> {
    slot.note_started();
    let StartedResponse { first, body, reuse, .. } = answer;
    if let Some(model) = &mut stream.model {
        model.restart();
    }
    stream.source = Some(AnswerSource { slot, body, reuse });
    first
}

/// Body that asks an engine to go on after the delivered text; `None` where that is impossible.
fn continuation(request: &CallerRequest, model: &ModelStream) -> Option<Vec<u8>> {
    if !model.is_resumable() {
        return None;
    }
    let mut body = serde_json::from_slice::<Value>(&request.body).ok()?;
    for field in ["max_tokens", "max_completion_tokens"] {
        if let Some(limit) = body.get(field).and_then(Value::as_u64) {
            let left = limit.checked_sub(model.tokens()).filter(|left| *left > 0)?;
            body[field] = left.into();
        }
    }
    match request.head.url().path() {
        COMPLETIONS_PATH => {
            let prompt = body.get("prompt")?.as_str()?;
            body["prompt"] = format!("{prompt}{}", model.text()).into();
        }
        _ => append_message(&mut body, model.text())?,
    }
    serde_json::to_vec(&body).ok()
}

/// Appends the text to the message that is being continued, or as a new one.
fn append_message(body: &mut Value, text: &str) -> Option<()> {
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
