//! Usage per organisation and window of cluster time, summed over all nodes.
//!
//! Each node repeatedly sends its cumulative counts of a window to all other nodes. Merging takes
//! the maximum, so lost or duplicate messages don't change the result, and the counts of a killed
//! node survive on its peers.

use std::collections::BTreeMap;

use crate::collections::{HashMap, HashSet, SharedName};

/// Maximum share of the nodes whose final counts may be missing from a report; half of the relative
/// error that the platform accepts in a figure.
const MAX_MISSING_SHARE: f64 = 0.025;

/// Whether to report the usage of a window that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowDecision {
    /// The final counts are complete, or missing from a tolerable share of the nodes at the
    /// deadline.
    Report,
    /// Final counts are outstanding and the deadline has not passed.
    Wait,
    /// Too many final counts are missing at the deadline; a total would be wrong.
    Unknown,
}

impl WindowDecision {
    /// Decides on a window for which the final counts of `missing` of `nodes` nodes are unknown;
    /// `is_overdue` is set once the report can't wait any longer.
    pub fn decide(missing: usize, nodes: usize, is_overdue: bool) -> Self {
        match is_overdue {
            _ if missing == 0 => Self::Report,
            false => Self::Wait,
            true if missing as f64 <= nodes as f64 * MAX_MISSING_SHARE => Self::Report,
            true => Self::Unknown,
        }
    }
}

/// Request counts of one window by organisation.
pub type WindowCounts = BTreeMap<SharedName, u64>;

/// One incarnation of a node, from the start of its process to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeRun {
    /// Node name.
    pub node: SharedName,
    /// Incarnation number, different for each start of the node.
    pub incarnation: u64,
}

/// Request counts of all nodes by window.
#[derive(Clone, Debug)]
pub struct UsageWindows {
    /// Number of retained windows, including the newest.
    retention: u64,
    counts: HashMap<u64, HashMap<NodeRun, WindowCounts>>,
    /// Node incarnations whose final counts of a window have arrived.
    finished: HashMap<u64, HashSet<NodeRun>>,
    newest: u64,
}

impl UsageWindows {
    /// Creates an empty table that retains the newest `retention` windows.
    pub fn with_retention(retention: u64) -> Self {
        Self { retention, counts: HashMap::default(), finished: HashMap::default(), newest: 0 }
    }

    /// Counts one request of `organisation`.
    pub fn count_request(&mut self, run: &NodeRun, window: u64, organisation: &SharedName) {
        self.advance(window);
        if let Some(counts) = self.entry(run, window) {
            *counts.entry(organisation.clone()).or_default() += 1;
        }
    }

    /// Merges the cumulative counts of another node's window.
    pub fn merge(&mut self, run: &NodeRun, window: u64, reported: &WindowCounts) {
        self.advance(window);
        if let Some(counts) = self.entry(run, window) {
            for (organisation, count) in reported {
                let known = counts.entry(organisation.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
    }

    /// Records that the counts of `run` in a window are final.
    pub fn record_finished(&mut self, run: &NodeRun, window: u64) {
        self.advance(window);
        if self.is_retained(window) {
            self.finished.entry(window).or_default().insert(run.clone());
        }
    }

    /// Returns those of `runs` whose final counts of a window have not arrived.
    pub fn unfinished(&self, window: u64, runs: impl Iterator<Item = NodeRun>) -> Vec<NodeRun> {
        let finished = self.finished.get(&window);
        runs.filter(|run| !finished.is_some_and(|known| known.contains(run))).collect()
    }

    /// Returns the counts of one node incarnation with their windows.
    pub fn of_run<'a>(
        &'a self,
        run: &'a NodeRun,
    ) -> impl Iterator<Item = (u64, &'a WindowCounts)> + 'a {
        let windows = self.counts.iter();
        windows.filter_map(move |(window, runs)| runs.get(run).map(|counts| (*window, counts)))
    }

    /// Returns the counts of a window, summed over all nodes.
    pub fn total(&self, window: u64) -> WindowCounts {
        let mut total = WindowCounts::new();
        for counts in self.counts.get(&window).into_iter().flat_map(|runs| runs.values()) {
            for (organisation, count) in counts {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        total
    }

    /// Advances the newest window to `window` and drops windows beyond the retention.
    pub fn advance(&mut self, window: u64) {
        if window <= self.newest {
            return;
        }
        self.newest = window;
        let oldest = (window + 1).saturating_sub(self.retention);
        self.counts.retain(|index, _| *index >= oldest);
        self.finished.retain(|index, _| *index >= oldest);
    }

    /// Returns the number of retained windows, including the newest.
    pub fn retention(&self) -> u64 {
        self.retention
    }

    fn is_retained(&self, window: u64) -> bool {
        window + self.retention > self.newest
    }

    fn entry(&mut self, run: &NodeRun, window: u64) -> Option<&mut WindowCounts> {
        if !self.is_retained(window) {
            return None;
        }
        Some(self.counts.entry(window).or_default().entry(run.clone()).or_default())
    }
}
