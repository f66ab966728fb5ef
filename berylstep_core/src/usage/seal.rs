//! Sealing, which fixes the usage totals of one window in a single transaction.
//!
//! The transaction also records in each source's row how much of it was sealed. If a counter grows
//! concurrently, the version of its row changes and the transaction fails. Usage is therefore never
//! sealed twice or skipped.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::buffer::{UsageSource, UsageWrite};
use super::counters::{UsageCount, UsageCounters, UsageKey};
use crate::collections::SharedName;

/// Maximum number of rows with late counters in one seal.
const MAX_LATE_ROWS: usize = 500;

/// Stored counters of one source.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// All counters of the source.
    pub counters: UsageCounters,
    /// Part of the counters that is included in sealed totals.
    #[serde(default)]
    pub sealed: UsageCounters,
}

/// Row of one source with its version; an absent row has version 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedUsage {
    /// Version in the table service.
    pub version: u64,
    /// Content of the row.
    pub row: UsageRow,
}

/// Sealed totals of one organisation in one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedUsage {
    /// Organisation; empty for open routes.
    pub organisation: SharedName,
    /// Class of the requests.
    pub class: SharedName,
    /// Totals, including late requests.
    #[serde(flatten)]
    pub count: UsageCount,
    /// Requests of earlier windows that became known only after those windows were sealed.
    pub late_requests: u64,
}

/// The writes of one seal, committed atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealPlan {
    /// Start of the window to seal, in milliseconds since the Unix epoch.
    pub window: u64,
    /// Totals of the window, by organisation and class.
    pub figures: Vec<SealedUsage>,
    /// Updates of the sources' rows.
    pub sources: Vec<UsageWrite>,
}

/// Plans the next seal from the rows of all sources; returns `None` if there is nothing to seal.
///
/// `cursor` is the newest sealed window and `closed` is the newest one that may be sealed.
pub fn plan_seal(
    rows: &BTreeMap<UsageSource, VersionedUsage>,
    cursor: Option<u64>,
    closed: u64,
) -> Option<SealPlan> {
    let unsealed = |source: &UsageSource| {
        let row = &rows[source].row;
        row.counters.difference(&row.sealed)
    };
    let is_late = |source: &UsageSource| cursor.is_some_and(|cursor| source.window <= cursor);
    let sealable = rows.keys().filter(|source| source.window <= closed);
    let unsealed_sources: Vec<_> = sealable.filter(|source| !unsealed(source).is_empty()).collect();
    let next = unsealed_sources.iter().find(|source| !is_late(source)).map(|source| source.window);
    let window = next.or((!unsealed_sources.is_empty()).then_some(closed))?;
    if cursor.is_some_and(|cursor| window <= cursor) {
        return None;
    }
    let late = unsealed_sources.iter().filter(|source| is_late(source)).take(MAX_LATE_ROWS);
    let on_time = unsealed_sources.iter().filter(|source| source.window == window);
    let mut totals = TotalsTable::default();
    let mut sources = Vec::new();
    for source in late.chain(on_time) {
        totals.add(&unsealed(source), is_late(source));
        let VersionedUsage { version, row } = &rows[*source];
        let row = UsageRow { counters: row.counters.clone(), sealed: row.counters.clone() };
        sources.push(UsageWrite { source: (*source).clone(), expect: *version, row });
    }
    Some(SealPlan { window, figures: totals.into_figures(), sources })
}

/// Totals over several sources, with the number of late requests among them.
#[derive(Debug, Default)]
struct TotalsTable {
    totals: BTreeMap<UsageKey, (UsageCount, u64)>,
}

impl TotalsTable {
    fn add(&mut self, counters: &UsageCounters, late: bool) {
        for (key, count) in counters.iter() {
            let (sum, late_requests) = self.totals.entry(key.clone()).or_default();
            *sum = sum.plus(*count);
            if late {
                *late_requests += count.requests;
            }
        }
    }

    fn into_figures(self) -> Vec<SealedUsage> {
        let figures = self.totals.into_iter().map(|(key, (count, late_requests))| {
            let UsageKey { organisation, class } = key;
            SealedUsage { organisation, class, count, late_requests }
        });
        figures.collect()
    }
}
