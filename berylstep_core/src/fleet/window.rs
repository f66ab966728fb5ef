//! Usage by window of true time, summed over nodes.
//!
//! Each node counts what it saw and tells all others its whole count of a window again and again,
//! so that a message that is lost or comes twice changes nothing, and the count of a node that is
//! killed stays known.

use std::collections::BTreeMap;

use crate::collections::{HashMap, HashSet, SharedName};

/// Part of the nodes whose last counts may be missing from a report: half of the share by which the
/// platform lets a figure be off.
const MISSING_SHARE: f64 = 0.025;

/// What to do with a window that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowDecision {
    /// The counts are whole, or as good as.
    Report,
    /// Counts are still to come.
    Wait,
    /// Too many counts are missing and will not come: a figure would be false.
    Unknown,
}

impl WindowDecision {
    /// Judges a window of which the counts of `missing` of `nodes` nodes are not known; `is_last`
    /// tells that there is no time to wait.
    pub fn decide(missing: usize, nodes: usize, is_last: bool) -> Self {
        match is_last {
            _ if missing == 0 => Self::Report,
            false => Self::Wait,
            true if missing as f64 <= nodes as f64 * MISSING_SHARE => Self::Report,
            true => Self::Unknown,
        }
    }
}

/// Counts of one window by organisation.
pub type WindowCounts = BTreeMap<SharedName, u64>;

/// One start of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeRun {
    /// Name of the node.
    pub node: SharedName,
    /// Number of the start.
    pub incarnation: u64,
}

/// Counts of all nodes.
#[derive(Clone, Debug)]
pub struct UsageWindows {
    /// Windows that are kept, the newest included.
    kept: u64,
    counts: HashMap<u64, HashMap<NodeRun, WindowCounts>>,
    /// Runs whose counts of a window are their last.
    finished: HashMap<u64, HashSet<NodeRun>>,
    newest: u64,
}

impl UsageWindows {
    /// No counts; the newest `kept` windows will be kept.
    pub fn with_retention(kept: u64) -> Self {
        Self { kept, counts: HashMap::default(), finished: HashMap::default(), newest: 0 }
    }

    /// Counts one request of `organisation`.
    pub fn count(&mut self, run: &NodeRun, window: u64, organisation: &SharedName) {
        self.advance(window);
        if let Some(counts) = self.entry(run, window) {
            *counts.entry(organisation.clone()).or_default() += 1;
        }
    }

    /// Takes in what another node counted in a window so far.
    pub fn merge(&mut self, run: &NodeRun, window: u64, told: &WindowCounts) {
        self.advance(window);
        if let Some(counts) = self.entry(run, window) {
            for (organisation, count) in told {
                let known = counts.entry(organisation.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
    }

    /// Notes that what a run told of a window is its last count.
    pub fn note_finished(&mut self, run: &NodeRun, window: u64) {
        self.advance(window);
        if self.is_kept(window) {
            self.finished.entry(window).or_default().insert(run.clone());
        }
    }

    /// Runs among `runs` whose last count of a window is not known.
    pub fn unfinished(&self, window: u64, runs: impl Iterator<Item = NodeRun>) -> Vec<NodeRun> {
        let finished = self.finished.get(&window);
        runs.filter(|run| !finished.is_some_and(|known| known.contains(run))).collect()
    }

    /// Counts of one run, by window.
    pub fn of_run<'a>(
        &'a self,
        run: &'a NodeRun,
    ) -> impl Iterator<Item = (u64, &'a WindowCounts)> + 'a {
        let windows = self.counts.iter();
        windows.filter_map(move |(window, runs)| runs.get(run).map(|counts| (*window, counts)))
    }

    /// Sum over all nodes of one window.
    pub fn total(&self, window: u64) -> WindowCounts {
        let mut total = WindowCounts::new();
        for counts in self.counts.get(&window).into_iter().flat_map(|runs| runs.values()) {
            for (organisation, count) in counts {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        total
    }

    /// Drops windows that are too old, as seen from `window`.
    pub fn advance(&mut self, window: u64) {
        if window <= self.newest {
            return;
        }
        self.newest = window;
        let oldest = (window + 1).saturating_sub(self.kept);
        self.counts.retain(|kept, _| *kept >= oldest);
        self.finished.retain(|kept, _| *kept >= oldest);
    }

    /// Windows that are kept, the newest included.
    pub fn retention(&self) -> u64 {
        self.kept
    }

    fn is_kept(&self, window: u64) -> bool {
        window + self.kept > self.newest
    }

    fn entry(&mut self, run: &NodeRun, window: u64) -> Option<&mut WindowCounts> {
        if !self.is_kept(window) {
            return None;
        }
        Some(self.counts.entry(window).or_default().entry(run.clone()).or_default())
    }
}
