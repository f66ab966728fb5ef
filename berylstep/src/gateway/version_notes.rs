//! Notes in the store of the versions that a service has, or had lately. They outlast a common restart of
//! the nodes, after which the list of replicas doesn't tell which versions have just left.

use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::origins::service_hash;

use crate::clock::RuntimeClock;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::noted_versions::{read_notes, StoredNotes, VERSION_TABLE};
use crate::gateway::origins::OriginDesk;
use crate::platform::store::{CommitResult, RowWrite};
use crate::platform::{CallError, PlatformClient};

/// Interval at which the notes are compared with the list of replicas.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Notes and the era of the store, which rises with each restore from an older copy.
#[derive(Debug)]
struct EraNotes {
    era: u64,
    stored: StoredNotes,
}

/// Reads and writes the notes while this node follows the store.
pub struct VersionNoter {
    /// Source of monotonic time.
    pub clock: RuntimeClock,
    /// Client of the store.
    pub store: Rc<PlatformClient>,
    /// Local copy of the list of replicas.
    pub mirror: Rc<StoreMirror>,
    /// Versions that this node knows of.
    pub origins: Rc<OriginDesk>,
}

impl VersionNoter {
    /// Keeps the notes up to date for as long as the node runs.
    pub async fn run(self) {
        let mut latest = None;
        let mut backoff = MIN_BACKOFF;
        loop {
            if self.mirror.is_following_store() {
                match self.update(&mut latest).await {
                    Ok(()) => backoff = MIN_BACKOFF,
                    Err(err) => {
                        latest = None;
                        log::warn!(
                            "event=version_notes_failed retry_ms={} error=\"{err}\"",
                            backoff.as_millis()
                        );
                        self.clock.sleep(backoff.mul_f64(0.5 + fastrand::f64())).await;
                        backoff = (backoff * 2).min(MAX_BACKOFF);
                        continue;
                    }
                }
            }
            // Nodes that follow the store look at different times, so that mostly one writes.
            self.clock.sleep(CHECK_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    /// Reads the notes if they aren't known, and writes those that have changed.
    async fn update(&self, latest: &mut Option<EraNotes>) -> Result<(), CallError> {
        let era = self.mirror.era();
        if latest.as_ref().is_none_or(|notes| notes.era != era) {
            *latest = Some(self.read(era).await?);
        }
        if !latest.as_ref().is_some_and(|notes| self.is_outdated(&notes.stored)) {
            return Ok(());
        }
        // Another node may have written them meanwhile.
        let current = self.read(era).await?;
        let writes = self.writes(&current.stored);
        *latest = Some(current);
        if writes.is_empty() {
            return Ok(());
        }
        let result = self.store.commit(&writes, &[]).await?;
        log::info!(
            "event=versions_noted services={} written={}",
            writes.len(),
            result == CommitResult::Committed
        );
        *latest = Some(self.read(era).await?);
        Ok(())
    }

    async fn read(&self, era: u64) -> Result<EraNotes, CallError> {
        let stored = read_notes(&self.store).await?;
        self.mirror.replicas.borrow_mut().set_version_notes(stored.notes.clone());
        Ok(EraNotes { era, stored })
    }

    fn is_outdated(&self, stored: &StoredNotes) -> bool {
        !self.writes(stored).is_empty()
    }

    /// Returns the rows that differ from what this node knows.
    fn writes(&self, stored: &StoredNotes) -> Vec<RowWrite> {
        let Some(desired) = self.mirror.desired() else { return Vec::new() };
        let services = desired.services().filter_map(|service| {
            let present = self.origins.present_versions(&service.name);
            let hash = service_hash(&service.name);
            let noted = stored.notes.get(&hash).map(|noted| &**noted).unwrap_or_default();
            if noted == present.noted() {
                return None;
            }
            let versions: Vec<_> = present.noted().iter().map(|version| version.0).collect();
            Some(RowWrite {
                table: VERSION_TABLE,
                key: service.name.to_string(),
                value: serde_json::to_vec(&versions).expect("versions serialize to JSON"),
                expected: Some(stored.revisions.get(&hash).copied().unwrap_or_default()),
            })
        });
        services.collect()
    }
}
