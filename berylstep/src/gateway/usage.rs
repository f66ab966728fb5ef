//! Usage counted by this node and reported by its peers.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::clock::MedianClock;
use berylstep_core::fleet::desired::DesiredState;
use berylstep_core::fleet::losses::{LossTable, LostResponse};
use berylstep_core::fleet::window::{NodeRun, UsageWindows, WindowCounts};
use berylstep_core::rendezvous;

use crate::clock::RuntimeClock;

/// Time for which counts are retained; several times the deadline of a report.
const RETENTION: Duration = Duration::from_secs(30);

/// Minimum number of retained windows: the current one, those not yet sealed, and a reserve for a
/// node that takes over the duties.
const MIN_RETAINED_WINDOWS: u64 = 6;

/// Counts of requests by run, organisation and window, where windows follow the fleet's median
/// clock.
#[derive(Debug)]
pub struct UsageLedger {
    clock: RuntimeClock,
    run: NodeRun,
    window: Duration,
    windows: RefCell<UsageWindows>,
    losses: RefCell<LossTable>,
    median_clock: RefCell<MedianClock>,
    names: RefCell<OrganisationNames>,
    sealed_window: Cell<u64>,
}

/// Names of all organisations that some desired state contained, by hash.
#[derive(Debug, Default)]
struct OrganisationNames {
    /// Newest version of the desired state whose organisations are known.
    version: u64,
    by_hash: HashMap<u64, SharedName>,
}

/// Returns the hash that identifies an organisation in messages between nodes.
pub fn organisation_hash(name: &str) -> u64 {
    rendezvous::score(name, "")
}

impl UsageLedger {
    /// Creates an empty ledger for `run`, the current run of this node, with windows of length
    /// `window`.
    pub fn new(clock: RuntimeClock, run: NodeRun, window: Duration) -> Self {
        let retained = (RETENTION.as_millis() / window.as_millis()) as u64;
        let windows =
            RefCell::new(UsageWindows::with_retention(retained.max(MIN_RETAINED_WINDOWS)));
        let (losses, median_clock) = (RefCell::default(), RefCell::default());
        let names = RefCell::default();
        let sealed_window = Cell::new(0);
        let ledger =
            Self { clock, run, window, windows, losses, median_clock, names, sealed_window };
        ledger.observe_own_clock();
        ledger
    }

    /// Returns the newest window that some node is known to have sealed; 0 if there is none.
    pub fn sealed_window(&self) -> u64 {
        self.sealed_window.get()
    }

    /// Records that some node has sealed the windows up to `window`.
    pub fn record_sealed(&self, window: u64) {
        if window <= self.current_window() {
            self.sealed_window.set(self.sealed_window.get().max(window));
        }
    }

    /// Makes the organisations of a desired state known by their hashes.
    pub fn learn_organisations(&self, desired: &DesiredState) {
        let mut names = self.names.borrow_mut();
        if names.version == desired.version {
            return;
        }
        names.version = desired.version;
        for organisation in desired.organisations() {
            names.by_hash.insert(organisation_hash(&organisation.name), organisation.name.clone());
        }
    }

    /// Returns the organisation with this hash; `None` if no desired state known here has it.
    pub fn organisation_name(&self, hash: u64) -> Option<SharedName> {
        self.names.borrow().by_hash.get(&hash).cloned()
    }

    /// Returns the number of windows that are retained, including the current one.
    pub fn retained_windows(&self) -> u64 {
        self.windows.borrow().retention()
    }

    /// Returns the current run of this node.
    pub fn run(&self) -> &NodeRun {
        &self.run
    }

    /// Samples this node's wall clock for the median.
    pub fn observe_own_clock(&self) {
        self.observe_clock(&self.run.node, self.clock.unix_ms());
    }

    /// Samples the wall clock of a node, in milliseconds since the Unix epoch, from a message that
    /// has just arrived.
    pub fn observe_clock(&self, node: &SharedName, unix_ms: u64) {
        self.median_clock.borrow_mut().observe(node, unix_ms, self.clock.boot_time());
    }

    /// Returns the median time of the fleet in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.median_clock.borrow_mut().unix_ms(self.clock.boot_time())
    }

    /// Returns the number of the current window, counted from the Unix epoch.
    pub fn current_window(&self) -> u64 {
        self.unix_ms() / self.window.as_millis() as u64
    }

    /// Returns the time since the end of a window; `None` if it has not ended.
    pub fn age(&self, window: u64) -> Option<Duration> {
        let end = (window + 1) * self.window.as_millis() as u64;
        self.unix_ms().checked_sub(end).map(Duration::from_millis)
    }

    /// Counts a request of `organisation` in the current window.
    pub fn count_request(&self, organisation: &SharedName) {
        let window = self.current_window();
        self.windows.borrow_mut().count_request(&self.run, window, organisation);
    }

    /// Records that the response of `replica` to a request of `organisation` that arrived `elapsed`
    /// ago was lost. The request is counted if the replica soon responds to another one.
    pub fn record_lost_response(
        &self,
        replica: &SharedName,
        organisation: &SharedName,
        elapsed: Duration,
    ) {
        let arrived_ms = self.unix_ms().saturating_sub(elapsed.as_millis() as u64);
        let lost = LostResponse {
            organisation: organisation.clone(),
            window: arrived_ms / self.window.as_millis() as u64,
            at: self.clock.now(),
        };
        self.losses.borrow_mut().record_lost(replica, lost);
    }

    /// Records a response of `replica`, and counts its earlier requests whose responses were lost.
    pub fn record_response(&self, replica: &str) {
        let executed = self.losses.borrow_mut().record_response(replica, self.clock.now());
        let mut windows = self.windows.borrow_mut();
        for lost in executed {
            windows.count_request(&self.run, lost.window, &lost.organisation);
        }
    }

    /// Merges the counts that another node has reported for a window so far.
    pub fn merge(&self, run: &NodeRun, window: u64, counts: &WindowCounts) {
        self.windows.borrow_mut().merge(run, window, counts);
    }

    /// Returns this node's counts of a window.
    pub fn own_counts(&self, window: u64) -> WindowCounts {
        let windows = self.windows.borrow();
        let counts = windows.of_run(&self.run).find(|(counted, _)| *counted == window);
        counts.map(|(_, counts)| counts.clone()).unwrap_or_default()
    }

    /// Returns whether the counts of a run in a window add up to `final_requests`, the number that it has told; 0 if it
    /// has told none.
    pub fn has_counted(&self, run: &NodeRun, window: u64, final_requests: u64) -> bool {
        let windows = self.windows.borrow();
        let counts = windows.of_run(run).find(|(counted, _)| *counted == window);
        let counted = counts.map_or(0, |(_, counts)| counts.values().sum::<u64>());
        final_requests > 0 && counted >= final_requests
    }

    /// Records that another node has reported its final counts of a window.
    pub fn record_finished(&self, run: &NodeRun, window: u64) {
        self.windows.borrow_mut().record_finished(run, window);
    }

    /// Returns those of `runs` that started before the end of a window and whose final counts of it
    /// are missing.
    pub fn unfinished(&self, window: u64, runs: impl Iterator<Item = NodeRun>) -> Vec<NodeRun> {
        let end_ms = (window + 1) * self.window.as_millis() as u64;
        let started_before = runs.filter(|run| run.incarnation < end_ms);
        self.windows.borrow().unfinished(window, started_before)
    }

    /// Returns the counts of a window, summed over all nodes.
    pub fn total(&self, window: u64) -> WindowCounts {
        self.windows.borrow().total(window)
    }
}
