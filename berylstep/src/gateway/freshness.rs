//! Compares the local copy of the store with the versions that other nodes announce.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::announced::{AnnouncedVersions, CatchUpPlan, Freshness, VersionLag};
use berylstep_core::fleet::position::StorePosition;

use crate::clock::RuntimeClock;
use crate::gateway::feeds::FollowedTable;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::telemetry::GatewayMetrics;

/// Knows whether this node is behind its peers, and since when.
pub struct FreshnessWatch {
    /// Source of monotonic time.
    pub clock: RuntimeClock,
    /// Local copy of the store.
    pub mirror: Rc<StoreMirror>,
    /// Table of the other nodes.
    pub peers: Rc<PeerTable>,
    /// Time within which an accepted desired state is to be in force, if the deployment has a bound.
    pub bound: Option<Duration>,
    /// Metrics of this gateway.
    pub metrics: Rc<GatewayMetrics>,
    /// Versions of the desired state that peers announce.
    pub announced: RefCell<AnnouncedVersions<u64>>,
    /// Positions of the list of replicas that peers announce.
    pub positions: RefCell<AnnouncedVersions<StorePosition>>,
    /// Times at which a peer last delivered a piece of a desired state and a part of the list of replicas.
    pub delivered_at: [Cell<Duration>; 2],
    /// Result of the latest query of a peer, for the log.
    pub last_result: Cell<&'static str>,
}

impl FreshnessWatch {
    /// Takes note of what one peer announces.
    pub fn record_announcement(&self, desired: u64, position: StorePosition) {
        let now = self.clock.now();
        self.announced.borrow_mut().announce(self.mirror.desired_version(), desired, now);
        self.positions.borrow_mut().announce(self.mirror.position(), position, now);
    }

    /// Takes note of what all live peers announce, and forgets what only others did.
    pub fn update(&self) {
        let now = self.clock.now();
        let (held, announced) = (self.mirror.desired_version(), self.peers.newest_desired(now));
        self.announced.borrow_mut().observe(held, announced, now);
        let (held, announced) = (self.mirror.position(), self.peers.newest_position(now));
        self.positions.borrow_mut().observe(held, announced, now);
    }

    /// Records that a peer has delivered a part of what is missing of a table.
    pub fn record_delivery(&self, table: FollowedTable) {
        self.delivered_at[table as usize].set(self.clock.now());
    }

    /// Returns whether this node is to read a table itself, since peers announce something newer and don't deliver it.
    pub fn is_read_due(&self, table: FollowedTable, plan: &mut CatchUpPlan) -> bool {
        self.update();
        let now = self.clock.now();
        let age = match table {
            FollowedTable::Desired => self.announced.borrow().lag(now).map(|lag| lag.age),
            FollowedTable::Replicas => self.positions.borrow().lag(now).map(|lag| lag.age),
        };
        let idle = now.saturating_sub(self.delivered_at[table as usize].get());
        plan.is_read_due(age, idle, now, fastrand::f64())
    }

    /// Returns whether this node may go by its desired state, as of the latest pulses.
    pub fn freshness(&self) -> Freshness {
        let lag = self.announced.borrow().lag(self.clock.now());
        let lag = lag.filter(|lag| lag.version > self.mirror.desired_version());
        lag.map_or(Freshness::Current, |lag| lag.freshness(self.bound))
    }

    /// Returns whether requests may be served by the desired state in force.
    pub fn is_usable(&self) -> bool {
        self.mirror.is_complete() && self.freshness() != Freshness::Overdue
    }

    /// Returns how far this node is behind its peers; `None` if it isn't.
    pub fn lag(&self) -> Option<VersionLag<u64>> {
        self.update();
        self.announced.borrow().lag(self.clock.now())
    }

    /// Updates the metrics.
    pub fn report_metrics(&self) {
        let lag = self.lag();
        let held = self.mirror.desired_version();
        let metrics = &self.metrics.transfers;
        metrics.announced_version.set(lag.map_or(held, |lag| lag.version) as i64);
        metrics.lag.set(lag.map_or(0, |lag| lag.age.as_millis() as i64));
        metrics.rejected.inc_by(self.mirror.desired.rejected() - metrics.rejected.get());
    }

    /// Logs how far this node is behind, if it is.
    pub fn report(&self) {
        if let Some(lag) = self.lag() {
            log::warn!(
                "event=desired_state_behind version={} announced={} age_ms={} follows_store={} \
                 last_query={}",
                self.mirror.desired_version(),
                lag.version,
                lag.age.as_millis(),
                self.mirror.is_following_store(),
                self.last_result.get()
            );
        }
    }
}
