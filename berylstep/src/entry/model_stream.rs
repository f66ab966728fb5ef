//! Parser for a model's server-sent events: passes on whole events, counts their tokens, and joins
//! the output of engines that resume one another into one stream.

use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;

use super::meter::TokenUsage;

/// Maximum length of an event in bytes; a stream with a longer one is passed on unparsed and can't
/// be resumed.
const MAX_EVENT_BYTES: usize = 16 * 1024;

/// Maximum length of the generated text that is kept for resuming, in bytes.
const MAX_TEXT_BYTES: usize = 24 * 1024;

const DATA_PREFIX: &str = "data:";

/// Fields of an event that the parser reads.
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

/// Part of the message in a chat event.
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

/// Parsed state of an event stream.
#[derive(Debug)]
pub struct ModelStream {
    pending: Vec<u8>,
    text: String,
    tokens: u64,
    reported_usage: Option<TokenUsage>,
    resumable: bool,
    oversized: bool,
    /// Output tokens of earlier engines; `None` while the first engine still serves.
    tokens_before_resume: Option<u64>,
    /// Value of `id` in the first engine's events.
    response_id: Option<Value>,
}

impl ModelStream {
    /// Creates an empty stream; `resumable` says whether the engine can continue from given text.
    pub fn new(resumable: bool) -> Self {
        Self {
            pending: Vec::new(),
            text: String::new(),
            tokens: 0,
            reported_usage: None,
            resumable,
            oversized: false,
            tokens_before_resume: None,
            response_id: None,
        }
    }

    /// Returns whether another engine can continue the stream if this one breaks.
    pub fn is_resumable(&self) -> bool {
        self.resumable
    }

    /// Returns the generated text so far; empty if it grew too long to be kept.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the output tokens so far, one for each event with text.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the usage that the engine reported, or else the number of events with text.
    pub fn usage(&self) -> TokenUsage {
        self.reported_usage.unwrap_or(TokenUsage { input: 0, output: self.tokens })
    }

    /// Switches to the stream of another engine, which continues from the generated text.
    pub fn resume(&mut self) {
        self.pending.clear();
        self.tokens_before_resume = Some(self.tokens);
    }

    /// Buffers bytes from the engine and returns the complete events to pass on.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
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
        self.process_events(events)
    }

    /// Returns whether the bytes received so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    fn process_events(&mut self, events: Vec<u8>) -> Vec<u8> {
        let Ok(text) = std::str::from_utf8(&events) else {
            self.resumable = false;
            return events;
        };
        let mut passed = String::new();
        let tokens_before_resume = self.tokens_before_resume;
        for line in text.lines() {
            let Some(data) = line.strip_prefix(DATA_PREFIX).map(str::trim) else { continue };
            let event = self.record_event(data);
            let Some(delivered) = tokens_before_resume else { continue };
            if let Some(event) = event {
                passed.push_str(&self.rewrite_event(data, &event, delivered));
            }
        }
        match tokens_before_resume {
            Some(_) => passed.into_bytes(),
            None => events,
        }
    }

    /// Records one event; returns `None` if a resumed stream must not pass it on, because it only
    /// repeats the start of the message.
    fn record_event(&mut self, data: &str) -> Option<EventMessage> {
        let Ok(event) = serde_json::from_str::<EventMessage>(data) else {
            return Some(EventMessage::default());
        };
        if let Some(reported_usage) = event.usage {
            self.record_usage(reported_usage);
        }
        let mut has_content = event.choices.is_empty();
        for choice in &event.choices {
            has_content |= self.record_choice(choice);
        }
        self.record_response_id(data);
        has_content.then_some(event)
    }

    /// Records one choice; returns whether it adds anything to the message.
    fn record_choice(&mut self, choice: &EventChoice) -> bool {
        let delta = &choice.delta;
        let is_non_text = choice.index > 0
            || delta.tool_calls.is_some()
            || delta.function_call.is_some()
            || delta.reasoning_content.is_some();
        if is_non_text || choice.finish_reason.is_some() {
            self.resumable = false;
        }
        let added = delta.content.as_ref().or(choice.text.as_ref());
        let added = added.map_or("", String::as_str);
        if !added.is_empty() {
            self.tokens += 1;
            self.record_text(added);
        }
        is_non_text || choice.finish_reason.is_some() || !added.is_empty()
    }

    fn record_text(&mut self, added: &str) {
        if !self.resumable {
            return;
        }
        self.text.push_str(added);
        if self.text.len() > MAX_TEXT_BYTES {
            self.resumable = false;
            self.text = String::new();
        }
    }

    /// Records the engine's usage report. A resumed engine reports earlier output as input, so that
    /// is moved back to the output.
    fn record_usage(&mut self, reported_usage: TokenUsage) {
        let delivered = self.tokens_before_resume.unwrap_or_default();
        self.reported_usage = Some(TokenUsage {
            input: reported_usage.input.saturating_sub(delivered),
            output: reported_usage.output + delivered,
        });
    }

    fn record_response_id(&mut self, data: &str) {
        if self.resumable && self.response_id.is_none() {
            let event = serde_json::from_str::<Value>(data).unwrap_or_default();
            self.response_id = Some(event["id"].clone());
        }
    }

    /// Rewrites an event of a resumed stream with the first engine's id and the total usage.
    fn rewrite_event(&self, data: &str, event: &EventMessage, delivered: u64) -> String {
        let Ok(mut message) = serde_json::from_str::<Value>(data) else {
            return format!("data: {data}\n\n");
        };
        if let (Some(id), Some(present)) = (&self.response_id, message.get_mut("id")) {
            present.clone_from(id);
        }
        if let (Some(_), Some(usage)) = (event.usage, self.reported_usage) {
            message["usage"]["prompt_tokens"] = usage.input.into();
            message["usage"]["completion_tokens"] = usage.output.into();
            message["usage"]["total_tokens"] = (usage.input + usage.output).into();
        }
        log::trace!("event rewritten in a resumed stream: delivered_before={delivered}");
        format!("data: {message}\n\n")
    }
}

/// Returns the position after the last complete event.
fn last_event_end(buffer: &[u8]) -> Option<usize> {
    let blank = |window: &[u8]| window == b"\n\n";
    let blank_crlf = |window: &[u8]| window == b"\n\r\n";
    let plain = buffer.windows(2).rposition(blank).map(|start| start + 2);
    let crlf = buffer.windows(3).rposition(blank_crlf).map(|start| start + 3);
    plain.max(crlf)
}
