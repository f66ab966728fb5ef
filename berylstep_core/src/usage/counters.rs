//! Counters by organisation and class.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;

/// What one counter counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// Requests answered.
    pub requests: u64,
    /// Input tokens.
    pub input_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

impl UsageCount {
    /// Sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            input_tokens: self.input_tokens + other.input_tokens,
            output_tokens: self.output_tokens + other.output_tokens,
        }
    }

    /// Larger of each.
    pub fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            input_tokens: self.input_tokens.max(other.input_tokens),
            output_tokens: self.output_tokens.max(other.output_tokens),
        }
    }

    /// What this has beyond `other`.
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            input_tokens: self.input_tokens.saturating_sub(other.input_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
        }
    }
}

/// Whom a counter is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageKey {
    /// Organisation; empty on open routes.
    pub organisation: SharedName,
    /// Class.
    pub class: SharedName,
}

/// One counter as rows and messages hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterEntry {
    /// Organisation.
    pub organisation: SharedName,
    /// Class.
    pub class: SharedName,
    /// Count.
    #[serde(flatten)]
    pub count: UsageCount,
}

/// Counters by organisation and class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<CounterEntry>", into = "Vec<CounterEntry>")]
pub struct UsageCounters {
    counts: BTreeMap<UsageKey, UsageCount>,
}

impl UsageCounters {
    /// Adds to one counter.
    pub fn add(&mut self, key: UsageKey, count: UsageCount) {
        let counter = self.counts.entry(key).or_default();
        *counter = counter.plus(count);
    }

    /// Raises each counter to that of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (key, count) in &other.counts {
            let counter = self.counts.entry(key.clone()).or_default();
            *counter = counter.max(*count);
        }
    }

    /// What these have beyond `other`.
    pub fn difference(&self, other: &Self) -> Self {
        let remainders = self.counts.iter().map(|(key, count)| {
            let known = other.counts.get(key).copied().unwrap_or_default();
            (key.clone(), count.minus(known))
        });
        let counts = remainders.filter(|(_, count)| *count != UsageCount::default()).collect();
        Self { counts }
    }

    /// Counters that differ from those of `other`, with their whole counts.
    pub fn changed_from(&self, other: &Self) -> Vec<CounterEntry> {
        let changed =
            self.counts.iter().filter(|(key, count)| other.counts.get(key) != Some(count));
        let entries = changed.map(|(key, count)| {
            let UsageKey { organisation, class } = key.clone();
            CounterEntry { organisation, class, count: *count }
        });
        entries.collect()
    }

    /// Counters in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&UsageKey, &UsageCount)> {
        self.counts.iter()
    }

    /// Whether there is a counter for `key`.
    pub fn contains(&self, key: &UsageKey) -> bool {
        self.counts.contains_key(key)
    }

    /// Number of counters.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether there are no counters.
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
