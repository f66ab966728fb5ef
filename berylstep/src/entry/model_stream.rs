//! A model's event stream: whole events, their tokens, and a seamless change of the engine.

use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;

use super::meter::TokenUsage;

/// Longest event; a stream with longer ones is passed on as it comes and can't be resumed.
const MAX_EVENT_BYTES: usize = 16 * 1024;

/// Longest text that is kept for a resumption, in bytes.
const MAX_TEXT_BYTES: usize = 24 * 1024;

const DATA_PREFIX: &str = "data:";

/// The fields of an event that are looked at.
#[derive(Debug, Default, Deserialize)]
struct EventMessage {
    #[serde(default)]
    choices: Vec<EventChoice>,
    #[serde(default)]
    usage: Option<TokenUsage>,
}

/// One choice of an event.
#[derive(Debug, Deserialize)]
struct EventChoice {
    #[serde(default)]
    index: u32,
    #[serde(default)]
    delta: EventDelta,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

/// What a chat event adds to the message.
#[derive(Debug, Default, Deserialize)]
struct EventDelta {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    tool_calls: Option<IgnoredAny>,
    #[serde(default)]
    function_call: Option<IgnoredAny>,
    #[serde(default)]
    reasoning_content: Option<IgnoredAny>,
}

/// Content of a stream so far.
#[derive(Debug)]
pub struct ModelStream {
    pending: Vec<u8>,
    text: String,
    tokens: u64,
    stated: Option<TokenUsage>,
    resumable: bool,
    oversized: bool,
    /// Tokens that earlier engines delivered; `None` while the first engine still serves.
    resumed_after: Option<u64>,
    /// Identifier that the first engine gave the answer.
    answer_id: Option<Value>,
}

impl ModelStream {
    /// Starts a stream; `resumable` tells whether its engine can go on from a text.
    pub fn new(resumable: bool) -> Self {
        Self {
            pending: Vec::new(),
            text: String::new(),
            tokens: 0,
            stated: None,
            resumable,
            oversized: false,
            resumed_after: None,
            answer_id: None,
        }
    }

    /// Whether another engine can go on where this one breaks off.
    pub fn is_resumable(&self) -> bool {
        self.resumable
    }

    /// Text delivered so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Output tokens delivered so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Usage as the engine stated it, or else as counted by events.
    pub fn usage(&self) -> TokenUsage {
        self.stated.unwrap_or(TokenUsage { input: 0, output: self.tokens })
    }

    /// Goes on with the stream of another engine, which was given the text.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.resumed_after = Some(self.tokens);
    }

    /// Takes in bytes and returns the whole events to pass on.
    pub fn accept(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        if self.oversized {
            return std::mem::take(&mut self.pending);
        }
        let Some(end) = last_event_end(&self.pending) else {
            if self.pending.len() <= MAX_EVENT_BYTES {
                return Vec::new();
            }
            self.oversized = true;
            self.resumable = false;
            return std::mem::take(&mut self.pending);
        };
        let rest = self.pending.split_off(end);
        let events = std::mem::replace(&mut self.pending, rest);
        self.take_events(events)
    }

    /// Returns what follows the last whole event, at the end of the stream.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    fn take_events(&mut self, events: Vec<u8>) -> Vec<u8> {
        let Ok(text) = std::str::from_utf8(&events) else {
            self.resumable = false;
            return events;
        };
        let mut passed = String::new();
        let resumed_after = self.resumed_after;
        for line in text.lines() {
            let Some(data) = line.strip_prefix(DATA_PREFIX).map(str::trim) else { continue };
            let event = self.take_event(data);
            let Some(delivered) = resumed_after else { continue };
            if let Some(event) = event {
                passed.push_str(&self.continued_event(data, &event, delivered));
            }
        }
        match resumed_after {
            Some(_) => passed.into_bytes(),
            None => events,
        }
    }

    /// Counts one event; `None` where it is not to be passed on from a resumed stream.
    fn take_event(&mut self, data: &str) -> Option<EventMessage> {
        let Ok(event) = serde_json::from_str::<EventMessage>(data) else {
            return Some(EventMessage::default());
        };
        if let Some(stated) = event.usage {
            self.state_usage(stated);
        }
        let mut has_content = event.choices.is_empty();
        for choice in &event.choices {
            has_content |= self.take_choice(choice);
        }
        self.keep_answer_id(data);
        has_content.then_some(event)
    }

    /// Counts one choice and tells whether it adds anything.
    fn take_choice(&mut self, choice: &EventChoice) -> bool {
        let delta = &choice.delta;
        let is_special = choice.index > 0
            || delta.tool_calls.is_some()
            || delta.function_call.is_some()
            || delta.reasoning_content.is_some();
        if is_special || choice.finish_reason.is_some() {
            self.resumable = false;
        }
        let added = delta.content.as_ref().or(choice.text.as_ref());
        let added = added.map_or("", String::as_str);
        if !added.is_empty() {
            self.tokens += 1;
            self.keep_text(added);
        }
        is_special || choice.finish_reason.is_some() || !added.is_empty()
    }

    fn keep_text(&mut self, added: &str) {
        if !self.resumable {
            return;
        }
        self.text.push_str(added);
        if self.text.len() > MAX_TEXT_BYTES {
            self.resumable = false;
            self.text = String::new();
        }
    }

    /// A resumed engine counts only its own output, and the text that it was given as input.
    fn state_usage(&mut self, stated: TokenUsage) {
        let delivered = self.resumed_after.unwrap_or_default();
        self.stated = Some(TokenUsage {
            input: stated.input.saturating_sub(delivered),
            output: stated.output + delivered,
        });
    }

    fn keep_answer_id(&mut self, data: &str) {
        if self.resumable && self.answer_id.is_none() {
            let event = serde_json::from_str::<Value>(data).unwrap_or_default();
            self.answer_id = Some(event["id"].clone());
        }
    }

    /// The event of a resumed stream as the first engine would have sent it.
    fn continued_event(&self, data: &str, event: &EventMessage, delivered: u64) -> String {
        let Ok(mut message) = serde_json::from_str::<Value>(data) else {
            return format!("data: {data}\n\n");
        };
        if let (Some(id), Some(present)) = (&self.answer_id, message.get_mut("id")) {
            present.clone_from(id);
        }
        if let (Some(_), Some(usage)) = (event.usage, self.stated) {
            message["usage"]["prompt_tokens"] = usage.input.into();
            message["usage"]["completion_tokens"] = usage.output.into();
            message["usage"]["total_tokens"] = (usage.input + usage.output).into();
        }
        log::trace!("event of a resumed stream: delivered_before={delivered}");
        format!("data: {message}\n\n")
    }
}

/// Position after the last whole event.
fn last_event_end(buffer: &[u8]) -> Option<usize> {
    let blank = |window: &[u8]| window == b"\n\n";
    let blank_crlf = |window: &[u8]| window == b"\n\r\n";
    let plain = buffer.windows(2).rposition(blank).map(|start| start + 2);
    let crlf = buffer.windows(3).rposition(blank_crlf).map(|start| start + 3);
    plain.max(crlf)
}
