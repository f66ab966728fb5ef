//! Replication of counters to two peers, until the table service has stored them.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::rendezvous;
use berylstep_core::usage::{CounterEntry, UsageCount, UsageCounters, UsageSource};
use berylstep_wire::frame::Body;
use berylstep_wire::{UsageCopy, UsageCounter};

use crate::node::NodeContext;

/// Peers that hold a copy of this node's counters.
const COPY_HOLDERS: usize = 2;

/// Interval between messages with changed counters.
const COPY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between full retransmissions, since messages may be lost.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Upper bound of the counters in a message.
const MAX_MESSAGE_COUNTERS: usize = 2_000;

/// Counters that were sent to the current copy holders.
#[derive(Debug, Default)]
struct SentCopies {
    peers: Vec<SharedName>,
    sent: HashMap<UsageSource, UsageCounters>,
    since: Duration,
}

/// Sends changed counters to two peers periodically, until the node stops.
pub async fn replicate(node: Arc<NodeContext>) {
    let mut copies = SentCopies::default();
    loop {
        node.clock.sleep(COPY_INTERVAL).await;
        let now = node.clock.now();
        let peers = copy_holders(&node);
        if peers != copies.peers || now.saturating_sub(copies.since) >= RESEND_INTERVAL {
            copies = SentCopies { peers, since: now, ..SentCopies::default() };
        }
        let messages = copies.messages(&node);
        for (peer, message) in
            copies.peers.iter().flat_map(|p| messages.iter().map(move |m| (p, m)))
        {
            node.peers.send(peer, Body::UsageCopy(message.clone()));
        }
    }
}

impl SentCopies {
    /// Returns messages with the counters that have changed since they were last sent.
    fn messages(&mut self, node: &NodeContext) -> Vec<UsageCopy> {
        let own = node.usage.own();
        let mut messages = Vec::new();
        for (source, counters) in own.unstored() {
            let sent = self.sent.entry(source.clone()).or_default();
            let changed = counters.changed_from(sent);
            messages
                .extend(changed.chunks(MAX_MESSAGE_COUNTERS).map(|part| usage_copy(source, part)));
            sent.merge(counters);
        }
        messages
    }
}

fn copy_holders(node: &NodeContext) -> Vec<SharedName> {
    let connected = node.peers.connected();
    let key = format!("usage/{}", node.settings.node);
    let ranked = rendezvous::rank(&key, connected.iter().map(|name| &**name));
    ranked.into_iter().take(COPY_HOLDERS).map(SharedName::from).collect()
}

fn usage_copy(source: &UsageSource, entries: &[CounterEntry]) -> UsageCopy {
    let counters = entries.iter().map(|entry| UsageCounter {
        organisation: entry.organisation.to_string(),
        class: entry.class.to_string(),
        requests: entry.count.requests,
        input_tokens: entry.count.input_tokens,
        output_tokens: entry.count.output_tokens,
    });
    UsageCopy {
        node: source.node.to_string(),
        incarnation: source.incarnation,
        window: source.window,
        counters: counters.collect(),
    }
}

/// Merges counters received from a peer into the buffer of copies.
pub fn observe(node: &NodeContext, message: UsageCopy) {
    let UsageCopy { node: name, incarnation, window, counters } = message;
    let source = UsageSource { window, node: name.into(), incarnation };
    let entries: Vec<_> = counters.into_iter().map(counter_entry).collect();
    let counters = UsageCounters::from(entries);
    if !node.usage.copies().merge(node.clock.now(), source, &counters) {
        log::warn!("buffer for copies of usage counters is full; dropping a message");
    }
}

fn counter_entry(counter: UsageCounter) -> CounterEntry {
    let UsageCounter { organisation, class, requests, input_tokens, output_tokens } = counter;
    let count = UsageCount { requests, input_tokens, output_tokens };
    CounterEntry { organisation: organisation.into(), class: class.into(), count }
}
