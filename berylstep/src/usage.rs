//! Usage of this node's requests: counted here, kept safe by two peers, stored in the table service.

pub mod copies;
pub mod report;
pub mod rows;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::usage::{UsageBuffer, UsageCount, UsageKey, UsageSource};

use crate::node::NodeContext;

/// Counters of this node, and counters of others, that are held until they are stored; at about
/// 200 bytes each they stay under 8 MB.
const ENTRY_LIMIT: usize = 20_000;

/// Shortest and longest time between two writes of this node's counters.
const FLUSH_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Part of a window between two writes of counters.
const FLUSH_DIVISOR: u32 = 4;

/// Flush intervals after which an unchanged copy is stored in its owner's place.
const SETTLE_FLUSHES: u32 = 2;

/// Flush intervals after a window's end before it is sealed.
const GRACE_FLUSHES: u32 = 4;

/// Longest time that a planned stop spends on storing counters.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Time between attempts to store counters during a planned stop.
const STOP_RETRY: Duration = Duration::from_millis(100);

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

/// Counters that this node holds.
#[derive(Debug)]
pub struct UsageBuffers {
    own: Mutex<UsageBuffer>,
    copies: Mutex<UsageBuffer>,
}

impl Default for UsageBuffers {
    fn default() -> Self {
        let own = Mutex::new(UsageBuffer::new(ENTRY_LIMIT));
        let copies = Mutex::new(UsageBuffer::new(ENTRY_LIMIT));
        Self { own, copies }
    }
}

impl UsageBuffers {
    /// Locks this node's own counters.
    pub fn own(&self) -> MutexGuard<'_, UsageBuffer> {
        self.own.lock().expect("usage lock")
    }

    /// Locks the copies of other nodes' counters.
    pub fn copies(&self) -> MutexGuard<'_, UsageBuffer> {
        self.copies.lock().expect("usage lock")
    }
}

/// Counts one request, whole or broken off after its first byte.
pub fn record(node: &NodeContext, event: &UsageEvent) {
    let window_ms = node.settings.usage_window.as_millis() as u64;
    let window = node.clock.unix_ms() / window_ms * window_ms;
    let incarnation = node.incarnation();
    let source = UsageSource { window, node: node.settings.node.clone(), incarnation };
    let UsageEvent { organisation, class, input_tokens, output_tokens } = event.clone();
    let count = UsageCount { requests: 1, input_tokens, output_tokens };
    let key = UsageKey { organisation, class };
    node.usage.own().count(node.clock.now(), source, key, count);
}

/// Time between two writes of this node's counters.
pub fn flush_interval(node: &NodeContext) -> Duration {
    let (shortest, longest) = FLUSH_BOUNDS;
    (node.settings.usage_window / FLUSH_DIVISOR).clamp(shortest, longest)
}

/// Time after a window's end before it is sealed.
pub fn grace(node: &NodeContext) -> Duration {
    flush_interval(node) * GRACE_FLUSHES
}

/// Stores counters, for as long as the node runs.
pub async fn flush(node: Arc<NodeContext>) {
    let interval = flush_interval(&node);
    loop {
        node.clock.sleep(interval).await;
        rows::store(&node, &node.usage.own, Duration::ZERO).await;
        node.usage.own().prune_stored();
        rows::store(&node, &node.usage.copies, interval * SETTLE_FLUSHES).await;
        node.usage.copies().prune_stored_copies();
    }
}

/// Stores all counters before a planned stop; what can't be stored stays with the peers.
pub async fn flush_remaining(node: &NodeContext) {
    let storing = async {
        while !node.usage.own().is_stored() {
            rows::store(node, &node.usage.own, Duration::ZERO).await;
            if !node.usage.own().is_stored() {
                node.clock.sleep(STOP_RETRY).await;
            }
        }
    };
    if node.clock.timeout(STOP_LIMIT, storing).await.is_none() {
        log::warn!("usage counters are not stored, two peers hold them");
    }
}
