//! Origins of streams in the store, where they outlast the loss of all nodes that keep them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::origins::{StreamKey, StreamOrigin};
use berylstep_wire::FleetPulse;
use prost::Message;
use smol::lock::Mutex;

use crate::clock::RuntimeClock;
use crate::gateway::origin_message::read_origin;
use crate::platform::store::RowWrite;
use crate::platform::{CallError, PlatformClient};

/// Table of the origins. Its keys begin with the time at which the row expires.
const ORIGIN_TABLE: &str = "origins";

/// Interval at which a node writes the origins that it has learnt.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// Backoff after a failed write.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Largest number of origins in one row, which holds 64 KiB at most.
const MAX_ORIGINS_PER_ROW: usize = 800;

/// Largest number of origins that wait for a write; the oldest are dropped.
const MAX_UNSAVED: usize = 4 * MAX_ORIGINS_PER_ROW;

/// Time after its expiry from which a row is removed by any node, because the one that wrote it has ended.
const ABANDONED_AFTER: Duration = Duration::from_secs(60);

/// Largest number of rows that are removed in one transaction.
const MAX_REMOVALS: usize = 50;

/// Time for which origins that were read are shared by requests.
const SHARING_TIME: Duration = Duration::from_millis(100);

/// Timeout of a request that waits for origins.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Writes origins to the store and reads those of other nodes.
#[derive(Debug)]
pub struct SavedOrigins {
    clock: RuntimeClock,
    node: SharedName,
    store: Rc<PlatformClient>,
    unsaved: RefCell<Vec<berylstep_wire::StreamOrigin>>,
    /// Latest origins, with the time at which they had been read.
    latest: Mutex<Option<(Duration, HashMap<StreamKey, StreamOrigin>)>>,
}

/// Rows that this node has written, and the number of the next one.
#[derive(Debug, Default)]
struct SaveProgress {
    /// Expiry in milliseconds since the Unix epoch, and key.
    rows: Vec<(u64, String)>,
    next: u64,
}

impl SavedOrigins {
    /// Creates a store without origins for the node of this name.
    pub fn new(clock: RuntimeClock, node: SharedName, store: Rc<PlatformClient>) -> Self {
        Self { clock, node, store, unsaved: RefCell::default(), latest: Mutex::new(None) }
    }

    /// Adds an origin to those that are written next.
    pub fn add(&self, origin: berylstep_wire::StreamOrigin) {
        let mut unsaved = self.unsaved.borrow_mut();
        unsaved.push(origin);
        let excess = unsaved.len().saturating_sub(MAX_UNSAVED);
        if excess > 0 {
            log::debug!("event=origins_not_saved dropped={excess} reason=too_many");
            unsaved.drain(..excess);
        }
    }

    /// Writes new origins and removes expired rows, for as long as the node runs.
    pub async fn run(&self) {
        let mut progress = SaveProgress::default();
        let mut backoff = MIN_BACKOFF;
        loop {
            self.clock.sleep(SAVE_INTERVAL.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
            match self.save(&mut progress).await {
                Ok(()) => backoff = MIN_BACKOFF,
                Err(err) => {
                    log::warn!(
                        "event=origins_not_saved retry_ms={} error=\"{err}\"",
                        backoff.as_millis()
                    );
                    self.clock.sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    async fn save(&self, progress: &mut SaveProgress) -> Result<(), CallError> {
        let now = self.clock.unix_ms();
        let count = self.unsaved.borrow().len().min(MAX_ORIGINS_PER_ROW);
        let origins = self.unsaved.borrow()[..count].to_vec();
        let expired = progress.rows.iter().filter(|(expiry, _)| *expiry <= now);
        let removals: Vec<_> =
            expired.take(MAX_REMOVALS).map(|(_, key)| (ORIGIN_TABLE, key.clone())).collect();
        if origins.is_empty() && removals.is_empty() {
            return Ok(());
        }
        let retention = origins.iter().map(|origin| u64::from(origin.retention_ms)).max();
        let expiry = now + retention.unwrap_or_default();
        let key = format!("{expiry:015}-{}-{}", self.node, progress.next);
        let writes = match origins.is_empty() {
            true => Vec::new(),
            false => {
                progress.next += 1;
                progress.rows.push((expiry, key.clone()));
                let content = FleetPulse { stream_origins: origins, ..FleetPulse::default() };
                let value = content.encode_to_vec();
                vec![RowWrite { table: ORIGIN_TABLE, key, value, expected: None }]
            }
        };
        // A write without an answer is repeated under another key, and both rows expire.
        self.store.commit(&writes, &removals).await?;
        progress.rows.retain(|(_, key)| removals.iter().all(|(_, removed)| removed != key));
        let mut unsaved = self.unsaved.borrow_mut();
        let written = count.min(unsaved.len());
        unsaved.drain(..written);
        Ok(())
    }

    /// Finds the origin of a stream in the store; `None` if it isn't there or the store can't be read in time.
    pub async fn find(&self, key: StreamKey) -> Option<StreamOrigin> {
        self.clock.timeout(READ_TIMEOUT, self.read(key)).await.flatten()
    }

    async fn read(&self, key: StreamKey) -> Option<StreamOrigin> {
        let mut latest = self.latest.lock().await;
        let now = self.clock.now();
        if latest.as_ref().is_none_or(|(at, _)| now.saturating_sub(*at) > SHARING_TIME) {
            match self.read_all().await {
                Ok(origins) => *latest = Some((self.clock.now(), origins)),
                Err(err) => {
                    log::info!("event=origins_not_read error=\"{err}\"");
                    return None;
                }
            }
        }
        latest.as_ref().and_then(|(_, origins)| origins.get(&key).copied())
    }

    async fn read_all(&self) -> Result<HashMap<StreamKey, StreamOrigin>, CallError> {
        let snapshot = self.store.rows(ORIGIN_TABLE, "").await?;
        let abandoned_before =
            self.clock.unix_ms().saturating_sub(ABANDONED_AFTER.as_millis() as u64);
        let (mut origins, mut abandoned) = (HashMap::default(), Vec::new());
        for row in snapshot.rows {
            let expiry = row.key.split('-').next().and_then(|expiry| expiry.parse::<u64>().ok());
            if expiry.is_none_or(|expiry| expiry < abandoned_before) {
                abandoned.push((ORIGIN_TABLE, row.key));
                continue;
            }
            match FleetPulse::decode(&*row.value.unwrap_or_default()) {
                Ok(content) => origins.extend(
                    content
                        .stream_origins
                        .iter()
                        .map(|message| (StreamKey(message.stream), read_origin(message))),
                ),
                Err(err) => {
                    log::error!("event=saved_origins_malformed key={} error=\"{err}\"", row.key);
                }
            }
        }
        abandoned.truncate(MAX_REMOVALS);
        if !abandoned.is_empty() {
            if let Err(err) = self.store.commit(&[], &abandoned).await {
                log::info!("event=origins_not_removed rows={} error=\"{err}\"", abandoned.len());
            }
        }
        Ok(origins)
    }
}
