//! Reads the versions of services that the fleet has noted in the store.

use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::HashMap;
use berylstep_core::fleet::origins::{service_hash, VersionId, VersionNotes};
use smol::lock::Mutex;

use crate::clock::RuntimeClock;
use crate::platform::{CallError, PlatformClient};

/// Table that stores the versions of each service, keyed by the service.
pub const VERSION_TABLE: &str = "versions";

/// Time for which the notes are shared by requests, so that many streams that are taken up at once cost one
/// call.
const SHARING_TIME: Duration = Duration::from_millis(100);

/// Timeout of a request that waits for the notes.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Notes of the store at one revision.
#[derive(Debug, Default)]
pub struct StoredNotes {
    /// Versions of each service.
    pub notes: VersionNotes,
    /// Revisions of the rows, by hash of the service.
    pub revisions: HashMap<u32, u64>,
}

/// Reads the notes.
///
/// # Errors
///
/// Returns an error if the store doesn't answer.
pub async fn read_notes(store: &PlatformClient) -> Result<StoredNotes, CallError> {
    let snapshot = store.rows(VERSION_TABLE, "").await?;
    let mut stored = StoredNotes::default();
    for row in snapshot.rows {
        let Some(value) = row.value else { continue };
        let service = service_hash(&row.key);
        stored.revisions.insert(service, row.revision);
        match serde_json::from_slice::<Vec<u32>>(&value) {
            Ok(versions) => {
                let versions = versions.into_iter().map(VersionId).collect();
                stored.notes.insert(service, versions);
            }
            Err(err) => {
                log::error!("event=version_note_malformed service={} error=\"{err}\"", row.key);
            }
        }
    }
    Ok(stored)
}

/// Reads the notes for requests, which share them for a moment.
#[derive(Debug)]
pub struct NoteReader {
    clock: RuntimeClock,
    store: Rc<PlatformClient>,
    /// Latest notes, with the time at which they had been read.
    latest: Mutex<Option<(Duration, VersionNotes)>>,
}

impl NoteReader {
    /// Creates a reader that has read nothing.
    pub fn new(clock: RuntimeClock, store: Rc<PlatformClient>) -> Self {
        Self { clock, store, latest: Mutex::new(None) }
    }

    /// Returns the versions that are noted for a service, at most [`SHARING_TIME`] old; `None` if the store
    /// can't be read in time.
    pub async fn noted_versions(&self, service: &str) -> Option<Vec<VersionId>> {
        self.clock.timeout(READ_TIMEOUT, self.read(service)).await.flatten()
    }

    async fn read(&self, service: &str) -> Option<Vec<VersionId>> {
        let mut latest = self.latest.lock().await;
        let now = self.clock.now();
        if latest.as_ref().is_none_or(|(at, _)| now.saturating_sub(*at) > SHARING_TIME) {
            match read_notes(&self.store).await {
                Ok(stored) => *latest = Some((self.clock.now(), stored.notes)),
                Err(err) => {
                    log::info!("event=version_notes_not_read error=\"{err}\"");
                    return None;
                }
            }
        }
        let notes = latest.as_ref().map(|(_, notes)| notes)?;
        Some(notes.get(&service_hash(service)).cloned().unwrap_or_default())
    }
}
