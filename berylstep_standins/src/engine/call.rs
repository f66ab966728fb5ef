//! Completion requests in the format of the OpenAI API.

use serde::Deserialize;
use serde_json::Value;

use super::text::TOKEN_BYTES;

/// Limit of output tokens of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Endpoint of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// JSON body of a completion request.
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

/// A completion request, as the engine executes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionCall {
    /// Endpoint of the request.
    pub kind: CompletionKind,
    /// Name of the model.
    pub model: String,
    /// Complete prompt, including a partial answer to continue.
    pub prompt: String,
    /// Whether the request continues a partial answer, sent as its last assistant message.
    pub continues: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Priority; lower values are served first.
    pub priority: i64,
}

impl CompletionCall {
    /// Creates the request from a body sent to the endpoint `kind`.
    pub fn new(kind: CompletionKind, body: CompletionBody) -> Self {
        let continued = body.messages.last().is_some_and(|last| last.role == "assistant");
        let is_open = body.continue_final_message && continued;
        let has_text = body.messages.last().is_some_and(|last| last.content != "");
        let prompt = match kind {
            CompletionKind::Chat => render_chat(&body.messages, is_open),
            CompletionKind::Text => plain_text(&body.prompt),
        };
        let max_tokens = body.max_tokens.or(body.max_completion_tokens);
        Self {
            kind,
            model: body.model,
            prompt,
            continues: is_open && has_text,
            stream: body.stream,
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: body.priority,
        }
    }

    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.len().div_ceil(TOKEN_BYTES) as u64
    }
}

/// Renders a chat as a prompt; with `is_open`, the last message is a partial answer to continue.
fn render_chat(messages: &[ChatMessage], is_open: bool) -> String {
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
