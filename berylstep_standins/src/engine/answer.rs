//! Answers in the format of the OpenAI API.

use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use super::batch::FinishReason;
use super::call::{CompletionCall, CompletionKind};

/// Final event of a stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Encodes the parts of one answer; holds the fields that they share.
#[derive(Clone, Debug)]
pub struct AnswerEncoder {
    id: String,
    created: u64,
    kind: CompletionKind,
    model: String,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl AnswerEncoder {
    /// Creates the encoder of the answer to `call`.
    ///
    /// `number` makes the answer's identifier unique; `cached_tokens` prompt tokens were cached.
    pub fn new(call: &CompletionCall, number: u64, cached_tokens: u64) -> Self {
        let prefix = match call.kind {
            CompletionKind::Chat => "chatcmpl",
            CompletionKind::Text => "cmpl",
        };
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            id: format!("{prefix}-{number}"),
            created: unix_time.as_secs(),
            kind: call.kind,
            model: call.model.clone(),
            prompt_tokens: call.prompt_tokens(),
            cached_tokens,
        }
    }

    /// Encodes the event of one token; the first event of a chat also contains the role.
    pub fn token_event(&self, token: &str, is_first: bool) -> String {
        let delta = match is_first {
            true => json!({ "role": "assistant", "content": token }),
            false => json!({ "content": token }),
        };
        self.event(&self.choice(delta, token, Value::Null), None)
    }

    /// Encodes the events after the last token: finish reason, usage and end of the stream.
    pub fn end_events(&self, reason: FinishReason, tokens: u64) -> String {
        let choice = self.choice(json!({}), "", reason.as_str().into());
        let reason_event = self.event(&choice, None);
        let usage_event = self.event(&Value::Null, Some(self.usage(tokens)));
        format!("{reason_event}{usage_event}{DONE_EVENT}")
    }

    /// Encodes a non-streamed answer.
    pub fn completion(&self, text: &str, reason: FinishReason, tokens: u64) -> Value {
        let (object, mut choice) = match self.kind {
            CompletionKind::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                ("chat.completion", json!({ "message": message }))
            }
            CompletionKind::Text => ("text_completion", json!({ "text": text })),
        };
        choice["index"] = 0.into();
        choice["finish_reason"] = reason.as_str().into();
        let usage = self.usage(tokens);
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice], "usage": usage,
        })
    }

    fn choice(&self, delta: Value, text: &str, reason: Value) -> Value {
        match self.kind {
            CompletionKind::Chat => json!({ "index": 0, "delta": delta, "finish_reason": reason }),
            CompletionKind::Text => json!({ "index": 0, "text": text, "finish_reason": reason }),
        }
    }

    fn event(&self, choice: &Value, usage: Option<Value>) -> String {
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion.chunk",
            CompletionKind::Text => "text_completion",
        };
        let choices: Vec<&Value> =
            Some(choice).filter(|choice| !choice.is_null()).into_iter().collect();
        let mut message = json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            message["usage"] = usage;
        }
        format!("data: {message}\n\n")
    }

    fn usage(&self, tokens: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}
