//! Follows the tables of the store: reads a snapshot, then the feed of its changes.

use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::announced::CatchUpPlan;
use berylstep_core::fleet::position::StorePosition;

use crate::clock::RuntimeClock;
use crate::gateway::freshness::FreshnessWatch;
use crate::gateway::mirror::{StateSource, StoreMirror, StoredCopy};
use crate::gateway::peers::PeerTable;
use crate::platform::desired::{evacuated_zone, DESIRED_KEY, OPERATOR_TABLE};
use crate::platform::entries::REPLICA_TABLE;
use crate::platform::store::{FeedResult, RowSnapshot, StoreRow};
use crate::platform::{CallError, PlatformClient};

/// Time for which a feed call waits for changes. Only a late response reveals a store that has gone
/// silent on open connections, and its changes must be known within a few seconds of its return.
const FEED_WAIT: Duration = Duration::from_secs(3);

/// Delay after a change of replicas, which batches changes that arrive together into one call; a
/// small part of the time within which a leaving replica must get no more requests.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Backoff after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Upper bound of the backoff; below the time within which missing entries must return.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Interval at which a node that does not follow the store checks whether it must.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a node that has just started checks whether its peers have told the state.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a restarted node leaves to its peers, which answer its first pulse at once.
const RESTART_PATIENCE: Duration = Duration::from_millis(80);

/// Time that the nodes of a fleet need to find each other when it starts for the first time.
const FIRST_START_DISCOVERY: Duration = Duration::from_millis(800);

/// Time after which each node of a fleet that starts for the first time reads the store itself
/// unless its peers have told the state.
const FIRST_START_PATIENCE: Duration = Duration::from_millis(3000);

/// Store table to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowedTable {
    /// Rows of the operator, among them the desired state.
    Desired,
    /// Entries of the replicas.
    Replicas,
}

impl FollowedTable {
    fn name(self) -> &'static str {
        match self {
            Self::Desired => OPERATOR_TABLE,
            Self::Replicas => REPLICA_TABLE,
        }
    }
}

/// Keeps the local copy of one table up to date for as long as the node runs.
pub struct TableFollower {
    /// Source of monotonic time.
    pub clock: RuntimeClock,
    /// Client of the store.
    pub store: Rc<PlatformClient>,
    /// Local copy, to which rows are applied.
    pub mirror: Rc<StoreMirror>,
    /// Table of the other nodes, which may follow the store in place of this one.
    pub peers: Rc<PeerTable>,
    /// Whether this node is behind its peers.
    pub freshness: Rc<FreshnessWatch>,
    /// Whether the fleet starts for the first time, with no callers yet.
    pub first_start: bool,
    /// Table to follow.
    pub table: FollowedTable,
}

/// Position in a table and state of its following.
#[derive(Clone, Copy, Debug)]
struct FollowProgress {
    /// Era of the store to which `newest` belongs.
    era: u64,
    /// Newest store revision read.
    newest: u64,
    /// Whether the changes since `newest` can be requested.
    has_snapshot: bool,
    /// Whether this node is counted as following the table.
    follows: bool,
    /// Delay after the next failure.
    backoff: Duration,
}

impl Default for FollowProgress {
    fn default() -> Self {
        Self { era: 0, newest: 0, has_snapshot: false, follows: false, backoff: MIN_BACKOFF }
    }
}

impl TableFollower {
    /// Reads the table and then its changes, and starts over after an error.
    pub async fn run(self) {
        let mut progress = FollowProgress::default();
        let mut catch_up = CatchUpPlan::default();
        let started_at = self.clock.now();
        loop {
            let now = self.clock.now();
            if self.awaits_peers(now.saturating_sub(started_at)) {
                self.clock.sleep(START_POLL_INTERVAL).await;
                continue;
            }
            if self.mirror.is_complete() && !self.peers.must_follow_store(now) {
                self.set_following(&mut progress, false);
                progress.has_snapshot = false;
                match self.freshness.is_read_due(self.table, &mut catch_up) {
                    true => self.catch_up(&mut progress).await,
                    false => self.clock.sleep(IDLE_POLL_INTERVAL).await,
                }
                continue;
            }
            let Err(err) = self.advance(&mut progress).await else {
                self.set_following(&mut progress, true);
                continue;
            };
            self.set_following(&mut progress, false);
            self.mirror.record_store_failure();
            log::warn!(
                "event=store_lost table={:?} revision={} retry_ms={} error=\"{err}\"",
                self.table,
                progress.newest,
                progress.backoff.as_millis()
            );
            let jitter = 0.5 + fastrand::f64();
            self.clock.sleep(progress.backoff.mul_f64(jitter)).await;
            progress.backoff = (progress.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Reads the table once, since peers don't deliver what they announce.
    async fn catch_up(&self, progress: &mut FollowProgress) {
        self.follow_era(progress);
        match self.read_snapshot(progress).await {
            Ok(()) => log::info!(
                "event=store_read table={:?} revision={} reason=peers_do_not_deliver",
                self.table,
                progress.newest
            ),
            Err(err) => {
                self.mirror.record_store_failure();
                log::warn!("event=store_read_failed table={:?} error=\"{err}\"", self.table);
            }
        }
    }

    /// Returns whether a node that started `elapsed` ago leaves it to its peers to tell the state, so
    /// that a fleet which starts at once doesn't read the store as often as it has nodes.
    fn awaits_peers(&self, elapsed: Duration) -> bool {
        if self.mirror.is_complete() {
            return false;
        }
        if !self.first_start {
            return elapsed < RESTART_PATIENCE;
        }
        let now = self.clock.now();
        let is_reader = elapsed >= FIRST_START_DISCOVERY
            && self.peers.is_representative(now)
            && self.peers.must_follow_store(now);
        elapsed < FIRST_START_PATIENCE && !is_reader
    }

    fn set_following(&self, progress: &mut FollowProgress, follows: bool) {
        if progress.follows != follows {
            progress.follows = follows;
            self.mirror.record_following(follows);
            log::info!(
                "event=store_following table={:?} follows={follows} revision={}",
                self.table,
                progress.newest
            );
        }
    }

    /// Reads the snapshot or the next changes with one call.
    async fn advance(&self, progress: &mut FollowProgress) -> Result<(), CallError> {
        self.follow_era(progress);
        match progress.has_snapshot {
            true => self.read_changes(progress).await?,
            false => self.read_snapshot(progress).await?,
        }
        self.mirror.record_store_response();
        if progress.backoff != MIN_BACKOFF {
            log::info!("event=store_regained table={:?} revision={}", self.table, progress.newest);
            progress.backoff = MIN_BACKOFF;
        }
        Ok(())
    }

    /// Starts over if the store has been restored from an older copy, in which other revisions hold.
    fn follow_era(&self, progress: &mut FollowProgress) {
        let era = self.mirror.era();
        if era > progress.era {
            log::info!(
                "event=store_restored table={:?} era={era} previous={} revision={}",
                self.table,
                progress.era,
                progress.newest
            );
            (progress.era, progress.newest, progress.has_snapshot) = (era, 0, false);
        }
    }

    /// Returns whether a response of this era belongs to the history that is followed. A higher era
    /// becomes the one to follow; a response of a lower one has been overtaken by a restore.
    fn accepts_era(&self, progress: &mut FollowProgress, era: u64) -> bool {
        self.mirror.enter_era(era);
        let is_current = era == self.mirror.era() && era == progress.era;
        self.follow_era(progress);
        is_current
    }

    async fn read_snapshot(&self, progress: &mut FollowProgress) -> Result<(), CallError> {
        let snapshot = self.store.rows(self.table.name(), "").await?;
        if !self.accepts_era(progress, snapshot.era) && snapshot.era < progress.era {
            log::info!("event=stale_era table={:?} era={}", self.table, snapshot.era);
            self.clock.sleep(MIN_BACKOFF).await;
            return Ok(());
        }
        if snapshot.revision < progress.newest {
            // A stale read must not restore rows that have been removed since.
            log::info!(
                "event=stale_read table={:?} revision={} newest={}",
                self.table,
                snapshot.revision,
                progress.newest
            );
            self.clock.sleep(MIN_BACKOFF).await;
            return Ok(());
        }
        progress.newest = snapshot.revision;
        progress.has_snapshot = true;
        self.apply_snapshot(snapshot);
        Ok(())
    }

    async fn read_changes(&self, progress: &mut FollowProgress) -> Result<(), CallError> {
        match self.store.changes(self.table.name(), progress.newest, FEED_WAIT).await? {
            FeedResult::HistoryGone => {
                log::info!(
                    "event=history_gone table={:?} revision={}",
                    self.table,
                    progress.newest
                );
                self.mirror.record_store_failure();
                self.mirror.enter_era(self.store.newest_era());
                progress.has_snapshot = false;
            }
            FeedResult::Changes(changes) if !self.accepts_era(progress, changes.era) => {}
            FeedResult::Changes(changes) => {
                let is_changed = !changes.rows.is_empty();
                progress.newest = progress.newest.max(changes.revision);
                changes.rows.into_iter().for_each(|row| self.apply_row(row));
                if is_changed && self.table == FollowedTable::Replicas {
                    self.clock.sleep(BATCH_DELAY).await;
                }
            }
        }
        Ok(())
    }

    fn apply_snapshot(&self, snapshot: RowSnapshot) {
        match self.table {
            FollowedTable::Desired => {
                let position = StorePosition::new(snapshot.era, snapshot.revision);
                let listed = snapshot.rows.iter().filter(|row| row.value.is_some());
                let zones = listed.filter_map(|row| Some(evacuated_zone(&row.key)?.into()));
                self.mirror.replace_evacuated(zones.collect(), position, StateSource::Store);
                snapshot.rows.into_iter().for_each(|row| self.apply_row(row));
            }
            FollowedTable::Replicas => {
                let entries = snapshot.rows.into_iter().filter_map(|row| {
                    let copy = StoredCopy { revision: row.revision, value: row.value? };
                    Some((row.key, copy))
                });
                let position = StorePosition::new(snapshot.era, snapshot.revision);
                self.mirror.apply_replica_snapshot(position, entries.collect());
            }
        }
    }

    fn apply_row(&self, row: StoreRow) {
        match (self.table, row.value) {
            (FollowedTable::Desired, Some(value)) if row.key == DESIRED_KEY => {
                self.mirror.apply_desired(value, StateSource::Store);
            }
            (FollowedTable::Desired, value) => {
                if let Some(zone) = evacuated_zone(&row.key) {
                    let position = StorePosition::new(self.mirror.era(), row.revision);
                    self.mirror.change_evacuated(zone, value.is_some(), position);
                }
            }
            (FollowedTable::Replicas, value) => {
                self.mirror.apply_replica_change(&row.key, row.revision, value);
            }
        }
    }
}
