//! Sealing: the figures of one window, fixed by one transaction.
//!
//! The transaction also writes into each source's row how much of it was sealed. A counter that
//! grows at the same time changes the row's version and the transaction fails, so that nothing is
//! sealed twice or passed over.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::counters::{UsageCount, UsageCounters, UsageKey};
use super::record::{UsageSource, UsageWrite};
use crate::collections::SharedName;

/// Most rows of late counters in one seal.
const MAX_LATE_ROWS: usize = 500;

/// Row of one source.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Counters.
    pub counters: UsageCounters,
    /// Part of the counters that is in sealed figures.
    #[serde(default)]
    pub sealed: UsageCounters,
}

/// Row of one source with its version; version 0 is an absent row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedUsage {
    /// Version in the table service.
    pub version: u64,
    /// Content.
    pub row: UsageRow,
}

/// Figures of one organisation in one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedUsage {
    /// Organisation.
    pub organisation: SharedName,
    /// Class.
    pub class: SharedName,
    /// Count, late ones included.
    #[serde(flatten)]
    pub count: UsageCount,
    /// Requests that belong to earlier windows, which were sealed before they were heard of.
    pub late_requests: u64,
}

/// What one seal writes, all or nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealPlan {
    /// Window to seal.
    pub window: u64,
    /// Its figures, by organisation and class.
    pub figures: Vec<SealedUsage>,
    /// New content of the sources' rows.
    pub sources: Vec<UsageWrite>,
}

/// Plans the next seal from all rows of sources; `None` where there is nothing to seal.
///
/// `cursor` is the newest sealed window and `closed` the newest one that may be sealed.
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
    let open = rows.keys().filter(|source| source.window <= closed);
    let open: Vec<_> = open.filter(|source| !unsealed(source).is_empty()).collect();
    let next = open.iter().find(|source| !is_late(source)).map(|source| source.window);
    let window = next.or((!open.is_empty()).then_some(closed))?;
    if cursor.is_some_and(|cursor| window <= cursor) {
        return None;
    }
    let late = open.iter().filter(|source| is_late(source)).take(MAX_LATE_ROWS);
    let on_time = open.iter().filter(|source| source.window == window);
    let mut figures = FigureTable::default();
    let mut sources = Vec::new();
    for source in late.chain(on_time) {
        figures.add(&unsealed(source), is_late(source));
        let VersionedUsage { version, row } = &rows[*source];
        let row = UsageRow { counters: row.counters.clone(), sealed: row.counters.clone() };
        sources.push(UsageWrite { source: (*source).clone(), expect: *version, row });
    }
    Some(SealPlan { window, figures: figures.into_figures(), sources })
}

/// Sums of sources.
#[derive(Debug, Default)]
struct FigureTable {
    figures: BTreeMap<UsageKey, (UsageCount, u64)>,
}

impl FigureTable {
    fn add(&mut self, counters: &UsageCounters, late: bool) {
        for (key, count) in counters.iter() {
            let (sum, late_requests) = self.figures.entry(key.clone()).or_default();
            *sum = sum.plus(*count);
            if late {
                *late_requests += count.requests;
            }
        }
    }

    fn into_figures(self) -> Vec<SealedUsage> {
        let figures = self.figures.into_iter().map(|(key, (count, late_requests))| {
            let UsageKey { organisation, class } = key;
            SealedUsage { organisation, class, count, late_requests }
        });
        figures.collect()
    }
}
