//! Usage accounting: counted by each node, copied to two peers and stored in the table service.
//!
//! Usage is counted in windows of fixed length. After a window has ended, the holder of the usage
//! duty seals it, which fixes its figures, and reports it to the platform.

pub mod copies;
pub mod report;
pub mod rows;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::usage::{UsageBuffer, UsageCount, UsageKey, UsageSource};

use crate::node::NodeContext;

/// Upper bound of buffered counters, for this node's own and for copies of others each.
///
/// At about 200 bytes each, both buffers together stay under 8 MB.
const MAX_BUFFERED_COUNTERS: usize = 20_000;

/// Shortest and longest interval between flushes of counters.
const FLUSH_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));

/// Flushes of counters per window, before [`FLUSH_INTERVAL_BOUNDS`] apply.
const FLUSHES_PER_WINDOW: u32 = 4;

/// Flush intervals after which an unchanged copy is stored on behalf of its owner.
const COPY_SETTLE_FLUSHES: u32 = 2;

/// Flush intervals between the end of a window and its sealing.
const GRACE_FLUSHES: u32 = 4;

/// Timeout for storing counters during a planned stop.
const STOP_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between attempts to store counters during a planned stop.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Usage of one request that received a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageEvent {
    /// Organisation that made the request; empty on routes without authentication.
    pub organisation: SharedName,
    /// Name of the request's class.
    pub class: SharedName,
    /// Input tokens; 0 for plain services.
    pub input_tokens: u64,
    /// Output tokens delivered; 0 for plain services.
    pub output_tokens: u64,
}

/// Buffered counters: this node's own, and copies of its peers'.
#[derive(Debug)]
pub struct UsageBuffers {
    own: Mutex<UsageBuffer>,
    copies: Mutex<UsageBuffer>,
}

impl Default for UsageBuffers {
    fn default() -> Self {
        let own = Mutex::new(UsageBuffer::new(MAX_BUFFERED_COUNTERS));
        let copies = Mutex::new(UsageBuffer::new(MAX_BUFFERED_COUNTERS));
        Self { own, copies }
    }
}

impl UsageBuffers {
    /// Locks the buffer of this node's own counters.
    pub fn own(&self) -> MutexGuard<'_, UsageBuffer> {
        self.own.lock().expect("usage lock")
    }

    /// Locks the buffer of copies of other nodes' counters.
    pub fn copies(&self) -> MutexGuard<'_, UsageBuffer> {
        self.copies.lock().expect("usage lock")
    }
}

/// Counts one request in the current window.
///
/// A response that breaks off after its first byte counts as well.
pub fn record(node: &NodeContext, event: &UsageEvent) {
    let window_ms = node.settings.usage_window.as_millis() as u64;
    let window = node.clock.unix_ms() / window_ms * window_ms;
    let incarnation = node.incarnation();
    let source = UsageSource { window, node: node.settings.node.clone(), incarnation };
    let UsageEvent { organisation, class, input_tokens, output_tokens } = event.clone();
    let count = UsageCount { requests: 1, input_tokens, output_tokens };
    let key = UsageKey { organisation, class };
    node.usage.own().add_usage(node.clock.now(), source, key, count);
}

/// Returns the interval between flushes of counters.
pub fn flush_interval(node: &NodeContext) -> Duration {
    let (shortest, longest) = FLUSH_INTERVAL_BOUNDS;
    (node.settings.usage_window / FLUSHES_PER_WINDOW).clamp(shortest, longest)
}

/// Returns the time between the end of a window and its sealing.
pub fn grace(node: &NodeContext) -> Duration {
    flush_interval(node) * GRACE_FLUSHES
}

/// Flushes counters to the table service periodically, until the node stops.
pub async fn flush(node: Arc<NodeContext>) {
    let interval = flush_interval(&node);
    loop {
        node.clock.sleep(interval).await;
        rows::store(&node, &node.usage.own, Duration::ZERO).await;
        node.usage.own().prune_stored();
        rows::store(&node, &node.usage.copies, interval * COPY_SETTLE_FLUSHES).await;
        node.usage.copies().prune_stored_copies();
    }
}

/// Stores all own counters before a planned stop.
///
/// Counters that cannot be stored in time are stored by the two peers that hold copies.
pub async fn flush_remaining(node: &NodeContext) {
    let flush_all = async {
        while !node.usage.own().is_stored() {
            rows::store(node, &node.usage.own, Duration::ZERO).await;
            if !node.usage.own().is_stored() {
                node.clock.sleep(STOP_RETRY_DELAY).await;
            }
        }
    };
    if node.clock.timeout(STOP_FLUSH_TIMEOUT, flush_all).await.is_none() {
        log::warn!("timed out storing usage counters; the peers that hold copies will store them");
    }
}
