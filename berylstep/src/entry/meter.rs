//! Counting what one answer used.

use std::sync::Arc;

use berylstep_core::collections::SharedName;
use serde::Deserialize;

use super::forward::ForwardedRequest;
use crate::node::NodeContext;
use crate::usage::{self, UsageEvent};

/// End of a whole answer in which its usage is looked for, in bytes.
const TAIL_BYTES: usize = 1024;

/// Field of an answer that states its usage.
const USAGE_FIELD: &[u8] = b"\"usage\"";

/// Tokens as an answer states them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct TokenUsage {
    /// Input tokens.
    #[serde(default, rename = "prompt_tokens")]
    pub input: u64,
    /// Output tokens.
    #[serde(default, rename = "completion_tokens")]
    pub output: u64,
}

/// Counts one answer from its first byte on and records it when dropped.
pub struct UsageMeter {
    node: Arc<NodeContext>,
    organisation: SharedName,
    class: SharedName,
    is_model: bool,
    counted: TokenUsage,
    tail: Vec<u8>,
}

impl UsageMeter {
    /// Starts with no tokens.
    pub fn new(forwarded: &ForwardedRequest) -> Self {
        Self {
            node: forwarded.node.clone(),
            organisation: forwarded.ask.organisation.clone(),
            class: forwarded.ask.class.clone(),
            is_model: forwarded.request.model.is_some(),
            counted: TokenUsage::default(),
            tail: Vec::new(),
        }
    }

    /// Replaces the count.
    pub fn set(&mut self, counted: TokenUsage) {
        self.counted = counted;
    }

    /// Takes in bytes of a whole answer, which states its usage near its end.
    pub fn observe(&mut self, bytes: &[u8]) {
        if !self.is_model {
            return;
        }
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL_BYTES)..]);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
        if let Some(counted) = stated_usage(&self.tail) {
            self.counted = counted;
        }
    }

    /// Output tokens so far.
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

fn stated_usage(tail: &[u8]) -> Option<TokenUsage> {
    let start = tail.windows(USAGE_FIELD.len()).rposition(|window| window == USAGE_FIELD)?;
    let rest = tail[start + USAGE_FIELD.len()..].trim_ascii_start().strip_prefix(b":")?;
    serde_json::Deserializer::from_slice(rest).into_iter().next()?.ok()
}
