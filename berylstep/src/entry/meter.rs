//! Counts the tokens that a response used.

use std::sync::Arc;

use berylstep_core::collections::SharedName;
use serde::Deserialize;

use super::forward::ForwardedRequest;
use crate::node::NodeContext;
use crate::usage::{self, UsageEvent};

/// Length of the end of a response body that is searched for the usage field, in bytes.
const TAIL_BYTES: usize = 1024;

/// JSON field in which an engine reports usage.
const USAGE_FIELD: &[u8] = b"\"usage\"";

/// Token counts as an engine reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    #[serde(default, rename = "prompt_tokens")]
    pub input: u64,
    /// Generated tokens.
    #[serde(default, rename = "completion_tokens")]
    pub output: u64,
}

/// Counts the tokens of one response and records the usage when dropped.
pub struct UsageMeter {
    node: Arc<NodeContext>,
    organisation: SharedName,
    class: SharedName,
    is_model: bool,
    counted: TokenUsage,
    tail: Vec<u8>,
}

impl UsageMeter {
    /// Creates a meter with zero tokens for the request's organisation and class.
    pub fn new(forwarded: &ForwardedRequest) -> Self {
        Self {
            node: forwarded.node.clone(),
            organisation: forwarded.slot_request.organisation.clone(),
            class: forwarded.slot_request.class.clone(),
            is_model: forwarded.request.model.is_some(),
            counted: TokenUsage::default(),
            tail: Vec::new(),
        }
    }

    /// Replaces the count with `counted`.
    pub fn set_usage(&mut self, counted: TokenUsage) {
        self.counted = counted;
    }

    /// Scans bytes of a response that is not streamed as events, which reports its usage near its
    /// end; does nothing for plain services.
    pub fn observe(&mut self, bytes: &[u8]) {
        if !self.is_model {
            return;
        }
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL_BYTES)..]);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
        if let Some(counted) = parse_usage(&self.tail) {
            self.counted = counted;
        }
    }

    /// Returns the output tokens so far, at most [`u32::MAX`].
    pub fn output_tokens(&self) -> u32 {
        u32::try_from(self.counted.output).unwrap_or(u32::MAX)
    }
}

impl Drop for UsageMeter {
    fn drop(&mut self) {
        let event = UsageEvent {
            organisation: self.organisation.clone(),
            class: self.class.clone(),
            input_tokens: self.counted.input,
            output_tokens: self.counted.output,
        };
        usage::record(&self.node, &event);
    }
}

fn parse_usage(tail: &[u8]) -> Option<TokenUsage> {
    let start = tail.windows(USAGE_FIELD.len()).rposition(|window| window == USAGE_FIELD)?;
    let rest = tail[start + USAGE_FIELD.len()..].trim_ascii_start().strip_prefix(b":")?;
    serde_json::Deserializer::from_slice(rest).into_iter().next()?.ok()
}
