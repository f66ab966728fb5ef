//! Usage that this node counted, and what other nodes told of theirs.

use std::cell::RefCell;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::clock::MedianClock;
use berylstep_core::fleet::losses::{LossTable, LostAnswer};
use berylstep_core::fleet::window::{NodeRun, UsageWindows, WindowCounts};

use crate::clock::RuntimeClock;

/// Time for which counts are kept; several times that within which a report is due.
const KEPT_TIME: Duration = Duration::from_secs(30);

/// Fewest windows that are kept: the present one, those that are not sealed yet, and some to spare
/// for a node that takes the duties over.
const LEAST_KEPT_WINDOWS: u64 = 6;

/// Counts by window of true time.
#[derive(Debug)]
pub struct UsageLedger {
    clock: RuntimeClock,
    run: NodeRun,
    window: Duration,
    windows: RefCell<UsageWindows>,
    losses: RefCell<LossTable>,
    time: RefCell<MedianClock>,
}

impl UsageLedger {
    /// An empty ledger of the run `run`.
    pub fn new(clock: RuntimeClock, run: NodeRun, window: Duration) -> Self {
        let kept = (KEPT_TIME.as_millis() / window.as_millis()) as u64;
        let windows = RefCell::new(UsageWindows::with_retention(kept.max(LEAST_KEPT_WINDOWS)));
        let (losses, time) = (RefCell::default(), RefCell::default());
        let ledger = Self { clock, run, window, windows, losses, time };
        ledger.read_own_clock();
        ledger
    }

    /// Windows that are kept, the present one included.
    pub fn kept_windows(&self) -> u64 {
        self.windows.borrow().retention()
    }

    /// This start of this node.
    pub fn run(&self) -> &NodeRun {
        &self.run
    }

    /// Takes in this node's wall clock.
    pub fn read_own_clock(&self) {
        self.observe_clock(&self.run.node, self.clock.unix_ms());
    }

    /// Takes in the wall clock of a node, as it showed a moment ago.
    pub fn observe_clock(&self, node: &SharedName, unix_ms: u64) {
        self.time.borrow_mut().observe(node, unix_ms, self.clock.boot_time());
    }

    /// True time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.time.borrow_mut().unix_ms(self.clock.boot_time())
    }

    /// Window of the present moment.
    pub fn present_window(&self) -> u64 {
        self.unix_ms() / self.window.as_millis() as u64
    }

    /// Time since the end of a window; `None` where it has not ended.
    pub fn age(&self, window: u64) -> Option<Duration> {
        let end = (window + 1) * self.window.as_millis() as u64;
        self.unix_ms().checked_sub(end).map(Duration::from_millis)
    }

    /// Counts a request of `organisation` that began to run now.
    pub fn count(&self, organisation: &SharedName) {
        let window = self.present_window();
        self.windows.borrow_mut().count(&self.run, window, organisation);
    }

    /// Notes that the answer of `replica` to a request of `organisation` that was sent `elapsed` ago
    /// was lost; it is counted if the replica answers others soon.
    pub fn note_lost(&self, replica: &SharedName, organisation: &SharedName, elapsed: Duration) {
        let sent_ms = self.unix_ms().saturating_sub(elapsed.as_millis() as u64);
        let lost = LostAnswer {
            organisation: organisation.clone(),
            window: sent_ms / self.window.as_millis() as u64,
            at: self.clock.now(),
        };
        self.losses.borrow_mut().note_lost(replica, lost);
    }

    /// Notes that `replica` answers, and counts the requests whose answers it had lost.
    pub fn note_answer(&self, replica: &str) {
        let run = self.losses.borrow_mut().note_answer(replica, self.clock.now());
        let mut windows = self.windows.borrow_mut();
        for lost in run {
            windows.count(&self.run, lost.window, &lost.organisation);
        }
    }

    /// Takes in what another node counted so far.
    pub fn merge(&self, run: &NodeRun, window: u64, counts: &WindowCounts) {
        self.windows.borrow_mut().merge(run, window, counts);
    }

    /// This node's counts of a window.
    pub fn own_counts(&self, window: u64) -> WindowCounts {
        let windows = self.windows.borrow();
        let counts = windows.of_run(&self.run).find(|(counted, _)| *counted == window);
        counts.map(|(_, counts)| counts.clone()).unwrap_or_default()
    }

    /// Notes that what another node told of a window is its last count.
    pub fn note_finished(&self, run: &NodeRun, window: u64) {
        self.windows.borrow_mut().note_finished(run, window);
    }

    /// Nodes among `runs` that were there before a window ended and whose last counts are not known.
    pub fn unfinished(&self, window: u64, runs: impl Iterator<Item = NodeRun>) -> Vec<NodeRun> {
        let end_ms = (window + 1) * self.window.as_millis() as u64;
        let were_there = runs.filter(|run| run.incarnation < end_ms);
        self.windows.borrow().unfinished(window, were_there)
    }

    /// Sum over all nodes of one window.
    pub fn total(&self, window: u64) -> WindowCounts {
        self.windows.borrow().total(window)
    }
}
