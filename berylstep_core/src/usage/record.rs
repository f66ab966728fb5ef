//! Counters that a node keeps until the table service holds them: its own and copies of others'.

use std::collections::BTreeMap;
use std::time::Duration;

use super::counters::{UsageCount, UsageCounters, UsageKey};
use super::seal::{UsageRow, VersionedUsage};
use crate::collections::SharedName;

/// Which process counted, and in which window.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageSource {
    /// Start of the window, in milliseconds since the Unix epoch.
    pub window: u64,
    /// Node.
    pub node: SharedName,
    /// Incarnation of the node.
    pub incarnation: u64,
}

impl UsageSource {
    /// Key of the source's row, below the prefix of counters; sorts by window.
    pub fn row_key(&self) -> String {
        format!("{:020}/{}/{}", self.window, self.node, self.incarnation)
    }

    /// Parses what [`Self::row_key`] gave.
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
    /// Source.
    pub source: UsageSource,
    /// Version that the row must have; 0 means that it must be absent.
    pub expect: u64,
    /// New content.
    pub row: UsageRow,
}

/// Counters of one source, with what the table service is known to hold of them.
#[derive(Clone, Debug, Default)]
struct CountRecord {
    counters: UsageCounters,
    stored: VersionedUsage,
    changed: Duration,
}

/// Counters by source, kept until the table service holds them.
#[derive(Clone, Debug)]
pub struct UsageBuffer {
    records: BTreeMap<UsageSource, CountRecord>,
    entry_limit: usize,
}

impl UsageBuffer {
    /// Makes empty records that hold about `entry_limit` counters.
    pub fn new(entry_limit: usize) -> Self {
        Self { records: BTreeMap::new(), entry_limit }
    }

    /// Counts usage of this node in `source`, or in a later window that is already open.
    ///
    /// A window that was left is never opened again, and none is opened while the records are
    /// full: at most the limit and one counter for each organisation and class are held.
    pub fn count(&mut self, now: Duration, source: UsageSource, key: UsageKey, count: UsageCount) {
        let newest = self.records.keys().next_back();
        let full = self.len() >= self.entry_limit;
        let source = match newest {
            Some(newest) if newest.window > source.window || full => newest.clone(),
            _ => source,
        };
        let record = self.records.entry(source).or_default();
        record.counters.add(key, count);
        record.changed = now;
    }

    /// Takes in counters of another node; false where the records are full.
    pub fn merge(&mut self, now: Duration, source: UsageSource, counters: &UsageCounters) -> bool {
        if self.len() >= self.entry_limit {
            return false;
        }
        let record = self.records.entry(source).or_default();
        if !counters.difference(&record.counters).is_empty() {
            record.counters.merge(counters);
            record.changed = now;
        }
        true
    }

    /// Counters that the table service is not known to hold, by source.
    pub fn unstored(&self) -> impl Iterator<Item = (&UsageSource, &UsageCounters)> {
        let unstored = self.records.iter().filter(|(_, record)| !record.is_stored());
        unstored.map(|(source, record)| (source, &record.counters))
    }

    /// Writes of up to `limit` rows whose counters have not changed for `settled`.
    pub fn writes(&self, now: Duration, settled: Duration, limit: usize) -> Vec<UsageWrite> {
        let due = self.records.iter().filter(|(_, record)| {
            !record.is_stored() && now.saturating_sub(record.changed) >= settled
        });
        due.take(limit).map(|(source, record)| record.write(source)).collect()
    }

    /// Takes in that `writes` took effect with `version`.
    pub fn mark_stored(&mut self, version: u64, writes: &[UsageWrite]) {
        for write in writes {
            if let Some(record) = self.records.get_mut(&write.source) {
                record.stored = VersionedUsage { version, row: write.row.clone() };
            }
        }
    }

    /// Takes in the row that stands where a write expected another version.
    pub fn resolve_conflict(&mut self, source: &UsageSource, present: Option<VersionedUsage>) {
        let Some(record) = self.records.get_mut(source) else { return };
        record.stored = match present {
            Some(present) => present,
            // Rows are removed only when everything in them was sealed.
            None => {
                let sealed = record.stored.row.counters.clone();
                let row = UsageRow { counters: sealed.clone(), sealed };
                VersionedUsage { version: 0, row }
            }
        };
    }

    /// Forgets stored counters that can't grow any more: all but those of the newest window.
    pub fn prune_stored(&mut self) {
        let newest = self.records.keys().next_back().map(|source| source.window);
        self.records.retain(|source, record| Some(source.window) == newest || !record.is_stored());
    }

    /// Forgets copies that the table service holds.
    pub fn prune_stored_copies(&mut self) {
        self.records.retain(|_, record| !record.is_stored());
    }

    /// Requests counted, stored ones included as long as they are held here.
    pub fn requests(&self) -> u64 {
        let counters = self.records.values().flat_map(|record| record.counters.iter());
        counters.map(|(_, count)| count.requests).sum()
    }

    /// Number of counters.
    pub fn len(&self) -> usize {
        self.records.values().map(|record| record.counters.len()).sum()
    }

    /// Whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the table service holds everything.
    pub fn is_stored(&self) -> bool {
        self.records.values().all(CountRecord::is_stored)
    }
}

impl CountRecord {
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
