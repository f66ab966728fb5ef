//! Usage counters by organisation and class.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;

/// Totals of one counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// Answered requests.
    pub requests: u64,
    /// Input tokens.
    pub input_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

impl UsageCount {
    /// Returns the sum of each field.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            input_tokens: self.input_tokens + other.input_tokens,
            output_tokens: self.output_tokens + other.output_tokens,
        }
    }

    /// Returns the maximum of each field.
    pub fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            input_tokens: self.input_tokens.max(other.input_tokens),
            output_tokens: self.output_tokens.max(other.output_tokens),
        }
    }

    /// Returns the difference of each field, or 0 where `other` is larger.
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            input_tokens: self.input_tokens.saturating_sub(other.input_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
        }
    }
}

/// Organisation and class to which a counter belongs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageKey {
    /// Organisation; empty for open routes.
    pub organisation: SharedName,
    /// Class of the requests.
    pub class: SharedName,
}

/// A counter as serialized in rows and messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterEntry {
    /// Organisation; empty for open routes.
    pub organisation: SharedName,
    /// Class of the requests.
    pub class: SharedName,
    /// Totals of the counter.
    #[serde(flatten)]
    pub count: UsageCount,
}

/// Usage counters by organisation and class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<CounterEntry>", into = "Vec<CounterEntry>")]
pub struct UsageCounters {
    counts: BTreeMap<UsageKey, UsageCount>,
}

impl UsageCounters {
    /// Adds `count` to the counter of `key`.
    pub fn add(&mut self, key: UsageKey, count: UsageCount) {
        let counter = self.counts.entry(key).or_default();
        *counter = counter.plus(count);
    }

    /// Raises each counter to its value in `other` if that is larger.
    pub fn merge(&mut self, other: &Self) {
        for (key, count) in &other.counts {
            let counter = self.counts.entry(key.clone()).or_default();
            *counter = counter.max(*count);
        }
    }

    /// Returns by how much the counters exceed those in `other`, without those that do not.
    pub fn difference(&self, other: &Self) -> Self {
        let remainders = self.counts.iter().map(|(key, count)| {
            let known = other.counts.get(key).copied().unwrap_or_default();
            (key.clone(), count.minus(known))
        });
        let counts = remainders.filter(|(_, count)| *count != UsageCount::default()).collect();
        Self { counts }
    }

    /// Returns the counters that differ from those in `other`, with their full totals.
    pub fn changed_from(&self, other: &Self) -> Vec<CounterEntry> {
        let changed =
            self.counts.iter().filter(|(key, count)| other.counts.get(key) != Some(count));
        let entries = changed.map(|(key, count)| {
            let UsageKey { organisation, class } = key.clone();
            CounterEntry { organisation, class, count: *count }
        });
        entries.collect()
    }

    /// Iterates over the counters in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&UsageKey, &UsageCount)> {
        self.counts.iter()
    }

    /// Returns whether there is a counter for `key`.
    pub fn contains(&self, key: &UsageKey) -> bool {
        self.counts.contains_key(key)
    }

    /// Returns the number of counters.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}

impl From<Vec<CounterEntry>> for UsageCounters {
    fn from(entries: Vec<CounterEntry>) -> Self {
        let mut counters = Self::default();
        for CounterEntry { organisation, class, count } in entries {
            counters.add(UsageKey { organisation, class }, count);
        }
        counters
    }
}

impl From<UsageCounters> for Vec<CounterEntry> {
    fn from(counters: UsageCounters) -> Self {
        let entries = counters.counts.into_iter().map(|(key, count)| {
            let UsageKey { organisation, class } = key;
            CounterEntry { organisation, class, count }
        });
        entries.collect()
    }
}
