//! Follows the store's tables.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::RuntimeClock;
use crate::gateway::mirror::{NewsSource, StoreMirror, StoredCopy};
use crate::gateway::peers::PeerTable;
use crate::platform::desired::{DESIRED_KEY, OPERATOR_TABLE};
use crate::platform::entries::REPLICA_TABLE;
use crate::platform::store::{FeedAnswer, RowSnapshot, StoreRow};
use crate::platform::{CallError, PlatformClient};

/// Time for which a feed call waits for news. A store that is silent on open connections shows by a
/// late answer only, and its news must be known within a few seconds of its return.
const FEED_WAIT: Duration = Duration::from_secs(3);

/// Pause after news of replicas, so that changes that come together cost one call; a small part of
/// the time within which a leaving replica must get no more requests.
const NEWS_PAUSE: Duration = Duration::from_millis(100);

/// First pause after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after failed calls; below the time within which entries must be back.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Time between looks of a node for which others follow the store.
const IDLE_LOOK: Duration = Duration::from_millis(250);

/// A table that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowedTable {
    /// The operator's desired state.
    Desired,
    /// The entries of replicas.
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

/// Follows one table for as long as the node runs.
pub struct TableFollower {
    /// Clock.
    pub clock: RuntimeClock,
    /// The store.
    pub store: Rc<PlatformClient>,
    /// Copy that is kept up to date.
    pub mirror: Rc<StoreMirror>,
    /// Other nodes, which may follow the store for this one.
    pub peers: Rc<PeerTable>,
    /// Table.
    pub table: FollowedTable,
}

/// How far a table was followed.
#[derive(Clone, Copy, Debug)]
struct FollowProgress {
    /// Newest version of the store that was seen.
    newest: u64,
    /// Whether changes can be asked for from there on.
    has_snapshot: bool,
    /// Whether this node counts as following the table.
    follows: bool,
    /// Pause after the next failure.
    backoff: Duration,
}

impl Default for FollowProgress {
    fn default() -> Self {
        Self { newest: 0, has_snapshot: false, follows: false, backoff: FIRST_BACKOFF }
    }
}

impl TableFollower {
    /// Reads the table and then its changes, again and again.
    pub async fn run(self) {
        let mut progress = FollowProgress::default();
        loop {
            let now = self.clock.now();
            if self.mirror.is_complete() && !self.peers.must_follow_store(now) {
                self.set_following(&mut progress, false);
                progress.has_snapshot = false;
                self.clock.sleep(IDLE_LOOK).await;
                continue;
            }
            let Err(err) = self.advance(&mut progress).await else {
                self.set_following(&mut progress, true);
                continue;
            };
            self.set_following(&mut progress, false);
            self.mirror.note_trouble();
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

    fn set_following(&self, progress: &mut FollowProgress, follows: bool) {
        if progress.follows != follows {
            progress.follows = follows;
            self.mirror.note_following(follows);
            log::info!(
                "event=store_following table={:?} follows={follows} revision={}",
                self.table,
                progress.newest
            );
        }
    }

    /// Makes one call.
    async fn advance(&self, progress: &mut FollowProgress) -> Result<(), CallError> {
        match progress.has_snapshot {
            true => self.read_changes(progress).await?,
            false => self.read_table(progress).await?,
        }
        self.mirror.note_answer();
        if progress.backoff != FIRST_BACKOFF {
            log::info!("event=store_regained table={:?} revision={}", self.table, progress.newest);
            progress.backoff = FIRST_BACKOFF;
        }
        Ok(())
    }

    async fn read_table(&self, progress: &mut FollowProgress) -> Result<(), CallError> {
        let snapshot = self.store.rows(self.table.name(), "").await?;
        if snapshot.revision < progress.newest {
            // A stale read must not bring back what was removed since.
            log::info!(
                "event=stale_read table={:?} revision={} newest={}",
                self.table,
                snapshot.revision,
                progress.newest
            );
            self.clock.sleep(FIRST_BACKOFF).await;
            return Ok(());
        }
        progress.newest = snapshot.revision;
        progress.has_snapshot = true;
        self.take_all(snapshot);
        Ok(())
    }

    async fn read_changes(&self, progress: &mut FollowProgress) -> Result<(), CallError> {
        match self.store.changes(self.table.name(), progress.newest, FEED_WAIT).await? {
            FeedAnswer::HistoryGone => {
                log::info!(
                    "event=history_gone table={:?} revision={}",
                    self.table,
                    progress.newest
                );
                self.mirror.note_trouble();
                progress.has_snapshot = false;
            }
            FeedAnswer::Changes(changes) => {
                let is_news = !changes.rows.is_empty();
                progress.newest = progress.newest.max(changes.revision);
                changes.rows.into_iter().for_each(|row| self.take(row));
                if is_news && self.table == FollowedTable::Replicas {
                    self.clock.sleep(NEWS_PAUSE).await;
                }
            }
        }
        Ok(())
    }

    fn take_all(&self, snapshot: RowSnapshot) {
        match self.table {
            FollowedTable::Desired => snapshot.rows.into_iter().for_each(|row| self.take(row)),
            FollowedTable::Replicas => {
                let entries = snapshot.rows.into_iter().filter_map(|row| {
                    let copy = StoredCopy { revision: row.revision, value: row.value? };
                    Some((row.key, copy))
                });
                self.mirror.take_replicas(snapshot.revision, entries.collect());
            }
        }
    }

    fn take(&self, row: StoreRow) {
        match (self.table, row.value) {
            (FollowedTable::Desired, Some(value)) if row.key == DESIRED_KEY => {
                self.mirror.take_desired(value, NewsSource::Store);
            }
            (FollowedTable::Desired, _) => {}
            (FollowedTable::Replicas, value) => {
                self.mirror.take_replica(&row.key, row.revision, value);
            }
        }
    }
}
