//! This node's row in the table service, and the rows of the others.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::member::{MemberRow, ROW_REFRESH_INTERVAL};
use berylstep_core::rendezvous;
use smol::channel::{bounded, Receiver, Sender};

use crate::native::{PlatformError, StoredRow, TableTransaction, TableWrite};
use crate::node::NodeContext;
use crate::store;

/// Prefix of the nodes' rows.
const ROW_PREFIX: &str = "node/";

/// Most nodes read at once.
const SCAN_LIMIT: usize = 2_000;

/// Time after which no live node names a leaving node to callers.
pub const LEAVING_PROPAGATION: Duration = Duration::from_secs(3);

/// Time between attempts to join while the table service is unavailable.
const JOIN_RETRY: Duration = Duration::from_millis(500);

/// Attempts to write the row when other writes of this node cross it.
const WRITE_ATTEMPTS: usize = 3;

/// Time after which the row of a node that ran out is removed.
const ROW_REMOVAL: Duration = Duration::from_secs(60);

/// Chooses the node that removes rows that ran out.
const REMOVAL_KEY: &str = "member-row-removal";

/// This node's claim to its name.
#[derive(Debug)]
pub struct MemberRegistration {
    /// Version of the own row, as last read or told; 0 where it is absent.
    row_version: AtomicU64,
    displaced: AtomicBool,
    left: AtomicBool,
    // Closing the channel tells that the name was lost.
    waker: Mutex<Option<Sender<()>>>,
    woken: Receiver<()>,
}

impl Default for MemberRegistration {
    fn default() -> Self {
        let (waker, woken) = bounded(1);
        Self {
            row_version: AtomicU64::new(0),
            displaced: AtomicBool::new(false),
            left: AtomicBool::new(false),
            waker: Mutex::new(Some(waker)),
            woken,
        }
    }
}

impl MemberRegistration {
    /// Whether another process has taken the node's name.
    pub fn is_displaced(&self) -> bool {
        self.displaced.load(Ordering::Relaxed)
    }

    /// Waits until another process has taken the node's name.
    pub async fn wait_displaced(&self) {
        let _ = self.woken.recv().await;
    }

    /// Whether the row may still be written.
    fn is_open(&self) -> bool {
        !self.is_displaced() && !self.left.load(Ordering::Relaxed)
    }

    fn set_displaced(&self) {
        self.displaced.store(true, Ordering::Relaxed);
        self.waker.lock().expect("waker lock").take();
    }

    /// Takes in the own row as it stands in the table service.
    fn observe(&self, node: &NodeContext, stored: Option<&StoredRow>) {
        let row = stored.and_then(parse_row);
        if row.is_some_and(|row| row.incarnation > node.incarnation()) {
            self.set_displaced();
            return;
        }
        self.row_version.store(stored.map_or(0, |stored| stored.version), Ordering::Relaxed);
    }
}

/// Takes a new incarnation and writes the row; retries until the table service answers.
pub async fn join(node: &NodeContext) {
    loop {
        match try_join(node).await {
            Ok(()) => return,
            Err(err) => log::warn!("cannot join yet: {err}"),
        }
        node.clock.sleep(JOIN_RETRY).await;
    }
}

async fn try_join(node: &NodeContext) -> Result<(), PlatformError> {
    let stored = node.platform.row(&row_key(node)).await?;
    let previous = stored.as_ref().and_then(parse_row).map_or(0, |row| row.incarnation);
    node.set_incarnation(node.clock.unix_ms().max(previous + 1));
    node.registration.observe(node, stored.as_ref());
    if !write_row(node, 0).await? {
        let message = "another process joins under the same name".to_owned();
        return Err(PlatformError::Rejected(409, message));
    }
    read_rows(node).await
}

/// Refreshes the row and reads the others', for as long as the node runs.
pub async fn refresh(node: Arc<NodeContext>) {
    loop {
        node.clock.sleep(ROW_REFRESH_INTERVAL).await;
        publish(&node).await;
        if let Err(err) = read_rows(&node).await {
            log::warn!("cannot read member rows: {err}");
        }
    }
}

/// Writes the row now.
pub async fn publish(node: &NodeContext) {
    let beat = node.clock.unix_ms();
    for _ in 0..WRITE_ATTEMPTS {
        if !node.registration.is_open() {
            return;
        }
        match write_row(node, beat).await {
            Ok(true) => return,
            // The version of the row was not known any more; the conflict has told it.
            Ok(false) => {}
            Err(err) => {
                log::warn!("cannot write member row: {err}");
                return;
            }
        }
    }
}

/// Writes the row now, as a task of its own.
pub async fn publish_now(node: Arc<NodeContext>) {
    publish(&node).await;
}

/// Removes the row at the end of a planned stop.
pub async fn leave(node: &NodeContext) {
    node.registration.left.store(true, Ordering::Relaxed);
    for _ in 0..WRITE_ATTEMPTS {
        match write(node, None).await {
            Ok(true) => return,
            Ok(false) if node.registration.is_displaced() => return,
            Ok(false) => {}
            Err(err) => {
                log::warn!("cannot remove member row, it will run out: {err}");
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

/// Writes the own row if it still is this incarnation's; false where it was written in between.
async fn write(node: &NodeContext, value: Option<String>) -> Result<bool, PlatformError> {
    let asked = node.clock.now();
    let expect = Some(node.registration.row_version.load(Ordering::Relaxed));
    let writes = vec![TableWrite { key: row_key(node), expect, value }];
    let transaction = TableTransaction { token: store::token(node), writes };
    let result = node.platform.transact(&transaction).await?;
    node.record_store_response_at(asked);
    if let Some(conflict) = result.conflicts.first() {
        node.registration.observe(node, conflict.row.as_ref());
        return Ok(false);
    }
    Ok(result.committed)
}

/// Reads all rows.
pub async fn read_rows(node: &NodeContext) -> Result<(), PlatformError> {
    let asked = node.clock.now();
    let stored = node.platform.scan(ROW_PREFIX, "", SCAN_LIMIT).await?;
    node.record_store_response_at(asked);
    let own_key = row_key(node);
    node.registration.observe(node, stored.iter().find(|row| row.key == own_key));
    let rows: Vec<_> = stored.iter().filter_map(parse_row).collect();
    let newest = rows.iter().map(|row| row.config_version).max().unwrap_or_default();
    let own = own_row(node, 0);
    {
        let mut members = node.members();
        members.observe_rows(asked, rows);
        if members.get(&node.settings.node).is_none() {
            members.observe_own(own);
        }
    }
    node.follower.note_newest(node, newest);
    remove_expired(node, &stored).await;
    Ok(())
}

/// Removes the rows of nodes that are gone for good, at one node of the cluster.
async fn remove_expired(node: &NodeContext, stored: &[StoredRow]) {
    let now = node.clock.now();
    let expired: Vec<_> = {
        let members = node.members();
        let live: Vec<_> = members.live(now).map(|member| &*member.row.node).collect();
        let first = rendezvous::rank(REMOVAL_KEY, live.into_iter()).first().copied();
        if first != Some(&*node.settings.node) {
            return;
        }
        let old = members.lapsed().filter(|l| now.saturating_sub(l.since) > ROW_REMOVAL);
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
        log::warn!("cannot remove rows that ran out: {err}");
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
