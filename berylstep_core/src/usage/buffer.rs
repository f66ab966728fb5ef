//! Buffers for counters that are not yet stored: a node's own, and copies of other nodes' counters.

use std::collections::BTreeMap;
use std::time::Duration;

use super::counters::{UsageCount, UsageCounters, UsageKey};
use super::seal::{UsageRow, VersionedUsage};
use crate::collections::SharedName;

/// The process that counted, and the window in which it did.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageSource {
    /// Start of the window, in milliseconds since the Unix epoch.
    pub window: u64,
    /// Name of the node.
    pub node: SharedName,
    /// Incarnation of the node.
    pub incarnation: u64,
}

impl UsageSource {
    /// Returns the key of the source's row, without the counter prefix; keys sort by window.
    pub fn row_key(&self) -> String {
        format!("{:020}/{}/{}", self.window, self.node, self.incarnation)
    }

    /// Parses a key made by [`Self::row_key`]; returns `None` if it is malformed.
    pub fn from_row_key(key: &str) -> Option<Self> {
        let mut parts = key.splitn(3, '/');
        let window = parts.next()?.parse().ok()?;
        let node = parts.next()?.into();
        let incarnation = parts.next()?.parse().ok()?;
        Some(Self { window, node, incarnation })
    }
}

/// A conditional write of one source's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageWrite {
    /// Source whose row is written.
    pub source: UsageSource,
    /// Version that the row must have; 0 means that the row must be absent.
    pub expect: u64,
    /// New content of the row.
    pub row: UsageRow,
}

/// Counters of one source, and its row as last known to be stored.
#[derive(Clone, Debug, Default)]
struct BufferedSource {
    counters: UsageCounters,
    stored: VersionedUsage,
    changed_at: Duration,
}

/// Counters by source, buffered until the table service holds them.
#[derive(Clone, Debug)]
pub struct UsageBuffer {
    sources: BTreeMap<UsageSource, BufferedSource>,
    entry_limit: usize,
}

impl UsageBuffer {
    /// Creates an empty buffer for about `entry_limit` counters.
    pub fn new(entry_limit: usize) -> Self {
        Self { sources: BTreeMap::new(), entry_limit }
    }

    /// Adds usage of this node to `source`, or to a later window that is already open.
    ///
    /// A window is never reopened after a later one was opened, and no window is opened while the
    /// buffer is full. The buffer therefore holds at most the limit plus one counter for each
    /// organisation and class.
    pub fn add_usage(
        &mut self,
        now: Duration,
        source: UsageSource,
        key: UsageKey,
        count: UsageCount,
    ) {
        let newest = self.sources.keys().next_back();
        let is_full = self.len() >= self.entry_limit;
        let source = match newest {
            Some(newest) if newest.window > source.window || is_full => newest.clone(),
            _ => source,
        };
        let buffered = self.sources.entry(source).or_default();
        buffered.counters.add(key, count);
        buffered.changed_at = now;
    }

    /// Merges counters of another node; returns false if the buffer is full.
    pub fn merge(&mut self, now: Duration, source: UsageSource, counters: &UsageCounters) -> bool {
        if self.len() >= self.entry_limit {
            return false;
        }
        let buffered = self.sources.entry(source).or_default();
        if !counters.difference(&buffered.counters).is_empty() {
            buffered.counters.merge(counters);
            buffered.changed_at = now;
        }
        true
    }

    /// Iterates over the counters that are not known to be stored, by source.
    pub fn unstored(&self) -> impl Iterator<Item = (&UsageSource, &UsageCounters)> {
        let unstored = self.sources.iter().filter(|(_, buffered)| !buffered.is_stored());
        unstored.map(|(source, buffered)| (source, &buffered.counters))
    }

    /// Returns writes of up to `limit` rows whose counters have not changed for `quiet_time`.
    pub fn writes(&self, now: Duration, quiet_time: Duration, limit: usize) -> Vec<UsageWrite> {
        let due = self.sources.iter().filter(|(_, buffered)| {
            !buffered.is_stored() && now.saturating_sub(buffered.changed_at) >= quiet_time
        });
        due.take(limit).map(|(source, buffered)| buffered.write(source)).collect()
    }

    /// Records that `writes` were committed with `version`.
    pub fn mark_stored(&mut self, version: u64, writes: &[UsageWrite]) {
        for write in writes {
            if let Some(buffered) = self.sources.get_mut(&write.source) {
                buffered.stored = VersionedUsage { version, row: write.row.clone() };
            }
        }
    }

    /// Records the row that is stored where a write expected another version.
    pub fn resolve_conflict(&mut self, source: &UsageSource, current: Option<VersionedUsage>) {
        let Some(buffered) = self.sources.get_mut(source) else { return };
        buffered.stored = match current {
            Some(current) => current,
            // Rows are removed only once all their counters are sealed.
            None => {
                let sealed = buffered.stored.row.counters.clone();
                let row = UsageRow { counters: sealed.clone(), sealed };
                VersionedUsage { version: 0, row }
            }
        };
    }

    /// Removes stored counters that can no longer grow: all but those of the newest window.
    pub fn prune_stored(&mut self) {
        let newest = self.sources.keys().next_back().map(|source| source.window);
        self.sources
            .retain(|source, buffered| Some(source.window) == newest || !buffered.is_stored());
    }

    /// Removes copies that the table service holds.
    pub fn prune_stored_copies(&mut self) {
        self.sources.retain(|_, buffered| !buffered.is_stored());
    }

    /// Returns the number of requests in the buffer, including those already stored.
    pub fn requests(&self) -> u64 {
        let counters = self.sources.values().flat_map(|buffered| buffered.counters.iter());
        counters.map(|(_, count)| count.requests).sum()
    }

    /// Returns the number of counters.
    pub fn len(&self) -> usize {
        self.sources.values().map(|buffered| buffered.counters.len()).sum()
    }

    /// Returns whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Returns whether the table service holds all counters.
    pub fn is_stored(&self) -> bool {
        self.sources.values().all(BufferedSource::is_stored)
    }
}

impl BufferedSource {
    fn is_stored(&self) -> bool {
        self.counters.difference(&self.stored.row.counters).is_empty()
    }

    fn write(&self, source: &UsageSource) -> UsageWrite {
        let mut counters = self.counters.clone();
        counters.merge(&self.stored.row.counters);
        let sealed = self.stored.row.sealed.clone();
        let row = UsageRow { counters, sealed };
        UsageWrite { source: source.clone(), expect: self.stored.version, row }
    }
}
