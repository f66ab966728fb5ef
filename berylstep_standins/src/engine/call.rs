//! Completion calls in OpenAI's shape.

use serde::Deserialize;
use serde_json::Value;

use super::text::TOKEN_BYTES;

/// Output tokens where the request names no limit.
const DEFAULT_TOKENS: u64 = 16;

/// Which of the two endpoints was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Body of a completion call.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    continue_final_message: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Value,
}

/// A call as the engine runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionCall {
    /// Endpoint.
    pub kind: CompletionKind,
    /// Model.
    pub model: String,
    /// Whole prompt, with the text that is to be continued.
    pub prompt: String,
    /// Whether the call continues an earlier answer by a trailing assistant message.
    pub continues: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Most output tokens.
    pub max_tokens: u64,
    /// Lower numbers are served first.
    pub priority: i64,
}

impl CompletionCall {
    /// Makes the call of a body sent to the endpoint `kind`.
    pub fn new(kind: CompletionKind, body: CompletionBody) -> Self {
        let continued = body.messages.last().is_some_and(|last| last.role == "assistant");
        let is_open = body.continue_final_message && continued;
        let has_text = body.messages.last().is_some_and(|last| last.content != "");
        let prompt = match kind {
            CompletionKind::Chat => rendered_chat(&body.messages, is_open),
            CompletionKind::Text => plain_text(&body.prompt),
        };
        let max_tokens = body.max_tokens.or(body.max_completion_tokens);
        Self {
            kind,
            model: body.model,
            prompt,
            continues: is_open && has_text,
            stream: body.stream,
            max_tokens: max_tokens.unwrap_or(DEFAULT_TOKENS),
            priority: body.priority,
        }
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.len().div_ceil(TOKEN_BYTES) as u64
    }
}

/// Renders a chat up to the point where the answer goes on.
fn rendered_chat(messages: &[ChatMessage], is_open: bool) -> String {
    let mut prompt = String::new();
    let (open, closed) = match messages.split_last() {
        Some((last, rest)) if is_open => (plain_text(&last.content), rest),
        _ => (String::new(), messages),
    };
    for message in closed {
        prompt.push_str(&message.role);
        prompt.push('\n');
        prompt.push_str(&plain_text(&message.content));
        prompt.push('\n');
    }
    prompt.push_str("assistant\n");
    prompt.push_str(&open);
    prompt
}

fn plain_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        parts => parts.to_string(),
    }
}
