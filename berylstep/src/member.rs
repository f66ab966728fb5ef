//! Registration of this node in the table service and discovery of the other nodes.
//!
//! Each node has a row under its name, which it refreshes until it leaves.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::member::{MemberRow, ROW_REFRESH_INTERVAL};
use berylstep_core::rendezvous;
use smol::channel::{bounded, Receiver, Sender};

use crate::native::{PlatformError, StoredRow, TableTransaction, TableWrite};
use crate::node::NodeContext;
use crate::store;

/// Key prefix of member rows.
const ROW_PREFIX: &str = "node/";

/// Upper bound of the member rows that are read.
const SCAN_LIMIT: usize = 2_000;

/// Time until no live node directs callers to a leaving node any more.
pub const LEAVING_PROPAGATION: Duration = Duration::from_secs(3);

/// Delay between attempts to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Attempts to write the own row, each of which may conflict with another write of this node.
const WRITE_ATTEMPTS: usize = 3;

/// Time after which an expired row is removed.
const EXPIRED_ROW_RETENTION: Duration = Duration::from_secs(60);

/// Rendezvous hashing key that selects the node that removes expired rows.
const REMOVAL_KEY: &str = "member-row-removal";

/// Registration of this node under its name.
#[derive(Debug)]
pub struct MemberRegistration {
    /// Version of the own row as last read, or 0 if it is absent.
    row_version: AtomicU64,
    displaced: AtomicBool,
    left: AtomicBool,
    // The channel is closed when another process takes the name.
    displaced_sender: Mutex<Option<Sender<()>>>,
    displaced_receiver: Receiver<()>,
}

impl Default for MemberRegistration {
    fn default() -> Self {
        let (displaced_sender, displaced_receiver) = bounded(1);
        Self {
            row_version: AtomicU64::new(0),
            displaced: AtomicBool::new(false),
            left: AtomicBool::new(false),
            displaced_sender: Mutex::new(Some(displaced_sender)),
            displaced_receiver,
        }
    }
}

impl MemberRegistration {
    /// Returns whether another process has taken the node's name.
    pub fn is_displaced(&self) -> bool {
        self.displaced.load(Ordering::Relaxed)
    }

    /// Waits until another process has taken the node's name.
    pub async fn wait_displaced(&self) {
        let _ = self.displaced_receiver.recv().await;
    }

    /// Returns whether the row may still be written.
    fn may_write(&self) -> bool {
        !self.is_displaced() && !self.left.load(Ordering::Relaxed)
    }

    fn set_displaced(&self) {
        self.displaced.store(true, Ordering::Relaxed);
        self.displaced_sender.lock().expect("displacement lock").take();
    }

    /// Updates the registration from the stored row; a newer incarnation displaces this process.
    fn observe(&self, node: &NodeContext, stored: Option<&StoredRow>) {
        let row = stored.and_then(parse_row);
        if row.is_some_and(|row| row.incarnation > node.incarnation()) {
            self.set_displaced();
            return;
        }
        self.row_version.store(stored.map_or(0, |stored| stored.version), Ordering::Relaxed);
    }
}

/// Joins the cluster: chooses a new incarnation, writes the row and reads the other nodes' rows.
///
/// Retries until it succeeds.
pub async fn join(node: &NodeContext) {
    loop {
        match try_join(node).await {
            Ok(()) => return,
            Err(err) => log::warn!("failed to join the cluster, retrying: {err}"),
        }
        node.clock.sleep(JOIN_RETRY_DELAY).await;
    }
}

async fn try_join(node: &NodeContext) -> Result<(), PlatformError> {
    let stored = node.platform.row(&row_key(node)).await?;
    let previous = stored.as_ref().and_then(parse_row).map_or(0, |row| row.incarnation);
    node.set_incarnation(node.clock.unix_ms().max(previous + 1));
    node.registration.observe(node, stored.as_ref());
    if !write_row(node, 0).await? {
        let message = "another process is joining under the same name".to_owned();
        return Err(PlatformError::Rejected(409, message));
    }
    read_rows(node).await
}

/// Refreshes the row and reads the other nodes' rows periodically, until the node stops.
pub async fn refresh(node: Arc<NodeContext>) {
    loop {
        node.clock.sleep(ROW_REFRESH_INTERVAL).await;
        publish(&node).await;
        if let Err(err) = read_rows(&node).await {
            log::warn!("failed to read member rows: {err}");
        }
    }
}

/// Writes the row immediately, unless the node has left or was displaced.
pub async fn publish(node: &NodeContext) {
    let beat = node.clock.unix_ms();
    for _ in 0..WRITE_ATTEMPTS {
        if !node.registration.may_write() {
            return;
        }
        match write_row(node, beat).await {
            Ok(true) => return,
            // The known version of the row was outdated; the conflict has updated it.
            Ok(false) => {}
            Err(err) => {
                log::warn!("failed to write the member row: {err}");
                return;
            }
        }
    }
}

/// Same as [`publish`], but owns its argument, so that it can be spawned as a task.
pub async fn publish_now(node: Arc<NodeContext>) {
    publish(&node).await;
}

/// Removes the row at the end of a planned stop; if that fails, the row expires.
pub async fn leave(node: &NodeContext) {
    node.registration.left.store(true, Ordering::Relaxed);
    for _ in 0..WRITE_ATTEMPTS {
        match write(node, None).await {
            Ok(true) => return,
            Ok(false) if node.registration.is_displaced() => return,
            Ok(false) => {}
            Err(err) => {
                log::warn!("failed to remove the member row, which will expire: {err}");
                return;
            }
        }
    }
}

async fn write_row(node: &NodeContext, beat: u64) -> Result<bool, PlatformError> {
    let row = own_row(node, beat);
    node.members().observe_own(row.clone());
    let value = serde_json::to_string(&row).expect("rows are valid JSON");
    write(node, Some(value)).await
}

fn own_row(node: &NodeContext, beat: u64) -> MemberRow {
    let settings = &node.settings;
    MemberRow {
        node: settings.node.clone(),
        incarnation: node.incarnation(),
        beat,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_advertise,
        caller_address: settings.advertise,
        state: node.state(),
        config_version: node.config.read().expect("config lock").version(),
    }
}

/// Writes or removes the own row if its version is the known one.
///
/// Returns `false` if the row was written in the meantime.
async fn write(node: &NodeContext, value: Option<String>) -> Result<bool, PlatformError> {
    let sent_at = node.clock.now();
    let expect = Some(node.registration.row_version.load(Ordering::Relaxed));
    let writes = vec![TableWrite { key: row_key(node), expect, value }];
    let transaction = TableTransaction { token: store::token(node), writes };
    let result = node.platform.transact(&transaction).await?;
    node.record_store_response_at(sent_at);
    if let Some(conflict) = result.conflicts.first() {
        node.registration.observe(node, conflict.row.as_ref());
        return Ok(false);
    }
    Ok(result.committed)
}

/// Reads the rows of all nodes; malformed rows are logged and skipped.
///
/// # Errors
///
/// Returns an error if the table service does not answer.
pub async fn read_rows(node: &NodeContext) -> Result<(), PlatformError> {
    let sent_at = node.clock.now();
    let stored = node.platform.scan(ROW_PREFIX, "", SCAN_LIMIT).await?;
    node.record_store_response_at(sent_at);
    let own_key = row_key(node);
    node.registration.observe(node, stored.iter().find(|row| row.key == own_key));
    let rows: Vec<_> = stored.iter().filter_map(parse_row).collect();
    let newest = rows.iter().map(|row| row.config_version).max().unwrap_or_default();
    let own = own_row(node, 0);
    {
        let mut members = node.members();
        members.observe_rows(sent_at, rows);
        if members.get(&node.settings.node).is_none() {
            members.observe_own(own);
        }
    }
    node.follower.record_newest(node, newest);
    remove_expired(node, &stored).await;
    Ok(())
}

/// Removes expired rows if this node is the one selected to do so.
async fn remove_expired(node: &NodeContext, stored: &[StoredRow]) {
    let now = node.clock.now();
    let expired: Vec<_> = {
        let members = node.members();
        let live: Vec<_> = members.live(now).map(|member| &*member.row.node).collect();
        let remover = rendezvous::rank(REMOVAL_KEY, live.into_iter()).first().copied();
        if remover != Some(&*node.settings.node) {
            return;
        }
        let old = members.lapsed().filter(|l| now.saturating_sub(l.since) > EXPIRED_ROW_RETENTION);
        old.map(|lapsed| format!("{ROW_PREFIX}{}", lapsed.row.node)).collect()
    };
    let removals = stored.iter().filter(|row| expired.contains(&row.key)).map(|row| TableWrite {
        key: row.key.clone(),
        expect: Some(row.version),
        value: None,
    });
    let writes: Vec<_> = removals.collect();
    if writes.is_empty() {
        return;
    }
    let transaction = TableTransaction { token: store::token(node), writes };
    if let Err(err) = node.platform.transact(&transaction).await {
        log::warn!("failed to remove expired member rows: {err}");
    }
}

fn parse_row(stored: &StoredRow) -> Option<MemberRow> {
    match serde_json::from_str(&stored.value) {
        Ok(row) => Some(row),
        Err(err) => {
            log::warn!("member row is malformed: key={} error={err}", stored.key);
            None
        }
    }
}

fn row_key(node: &NodeContext) -> String {
    format!("{ROW_PREFIX}{}", node.settings.node)
}
