//! Snapshots of the configuration in the object store, and trimming of the log behind them.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::config::{ConfigEntity, ConfigSnapshot, ConfigTable};
use berylstep_core::rendezvous;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{log_key, LOG_PREFIX, VERSION_KEY};
use crate::native::{PlatformError, TableTransaction, TableWrite};
use crate::node::NodeContext;
use crate::store;

/// Row that names the newest snapshots.
const SNAPSHOT_KEY: &str = "config/snapshot";

/// Prefix of the rows of entities.
pub const ENTITY_PREFIX: &str = "config/entity/";

/// Chooses the node that writes snapshots.
const WRITER_KEY: &str = "config-snapshot";

/// Changes after which a snapshot is written.
pub const SNAPSHOT_CHANGES: u64 = 64;

/// Object names that snapshots take in turn.
const SNAPSHOT_SLOTS: u64 = 8;

/// Time between looks at whether a snapshot is due.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Log rows removed in one transaction.
const TRIM_LIMIT: usize = 100;

/// Entity rows read at once.
const ENTITY_LIMIT: usize = 2_000;

/// A snapshot in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotPointer {
    /// Version of the snapshot.
    version: u64,
    /// Name of the object.
    object: String,
    /// SHA-256 of the object in hexadecimal digits.
    digest: String,
}

/// Content of the row that names the newest snapshots.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct SnapshotRow {
    /// Newest snapshot.
    newest: Option<SnapshotPointer>,
    /// The one before, for where the newest object was overwritten by a delayed write.
    previous: Option<SnapshotPointer>,
}

/// Writes snapshots where this node is chosen to, for as long as the node runs.
pub async fn run(node: Arc<NodeContext>) {
    let mut written = 0;
    loop {
        node.clock.sleep(SNAPSHOT_INTERVAL).await;
        let version = super::version(&node);
        if version < written + SNAPSHOT_CHANGES || !is_writer(&node) {
            continue;
        }
        match write(&node).await {
            Ok(newest) => written = newest,
            Err(err) => log::warn!("cannot write a snapshot: {err}"),
        }
    }
}

fn is_writer(node: &NodeContext) -> bool {
    let now = node.clock.now();
    let members = node.members();
    let live = members.live(now).map(|member| &*member.row.node);
    rendezvous::rank(WRITER_KEY, live).first() == Some(&&*node.settings.node)
}

/// Writes a snapshot if one is due; returns the version of the newest one.
async fn write(node: &NodeContext) -> Result<u64, PlatformError> {
    let stored = node.platform.row(SNAPSHOT_KEY).await?;
    let row: SnapshotRow =
        stored.as_ref().and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default();
    let newest = row.newest.as_ref().map_or(0, |pointer| pointer.version);
    let snapshot = node.config.read().expect("config lock").snapshot();
    if snapshot.version < newest + SNAPSHOT_CHANGES {
        return Ok(newest);
    }
    let version = snapshot.version;
    let content = serde_json::to_vec(&snapshot).expect("snapshots are valid JSON");
    let object = format!("config-snapshot-{}", version / SNAPSHOT_CHANGES % SNAPSHOT_SLOTS);
    let pointer = SnapshotPointer { version, object, digest: digest(&content) };
    node.platform.put(&pointer.object, content).await?;
    let previous = row.newest;
    let row = SnapshotRow { newest: Some(pointer), previous: previous.clone() };
    let write = TableWrite {
        key: SNAPSHOT_KEY.to_owned(),
        expect: Some(stored.map_or(0, |stored| stored.version)),
        value: Some(serde_json::to_string(&row).expect("rows are valid JSON")),
    };
    let transaction = TableTransaction { token: store::token(node), writes: vec![write] };
    if !node.platform.transact(&transaction).await?.committed {
        return Ok(newest);
    }
    log::info!("configuration snapshot written: version={version}");
    if let Some(previous) = previous {
        trim(node, previous.version).await?;
    }
    Ok(version)
}

/// Removes the log rows up to `version`.
async fn trim(node: &NodeContext, version: u64) -> Result<(), PlatformError> {
    let end = log_key(version);
    loop {
        let rows = node.platform.scan(LOG_PREFIX, "", TRIM_LIMIT).await?;
        let old = rows.into_iter().filter(|row| row.key <= end);
        let writes: Vec<_> = old
            .map(|row| TableWrite { key: row.key, expect: Some(row.version), value: None })
            .collect();
        if writes.is_empty() {
            return Ok(());
        }
        let transaction = TableTransaction { token: store::token(node), writes };
        if !node.platform.transact(&transaction).await?.committed {
            return Ok(());
        }
    }
}

/// Puts the newest readable snapshot in force if it is newer than the configuration in force.
pub async fn load(node: &NodeContext) -> Result<(), PlatformError> {
    let stored = node.platform.row(SNAPSHOT_KEY).await?;
    let row: SnapshotRow =
        stored.and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default();
    for pointer in [row.newest, row.previous].into_iter().flatten() {
        if let Some(snapshot) = read_object(node, &pointer).await? {
            adopt(node, &snapshot);
            return Ok(());
        }
        log::warn!("configuration snapshot is not the one named: object={}", pointer.object);
    }
    match read_entities(node).await? {
        Some(snapshot) => adopt(node, &snapshot),
        None => log::warn!("configuration changed while its entities were read"),
    }
    Ok(())
}

async fn read_object(
    node: &NodeContext,
    pointer: &SnapshotPointer,
) -> Result<Option<ConfigSnapshot>, PlatformError> {
    let content = node.platform.get(&pointer.object).await?;
    let named = content.filter(|content| digest(content) == pointer.digest);
    Ok(named.and_then(|content| serde_json::from_slice(&content).ok()))
}

/// Reads the rows of all entities; `None` where they changed meanwhile.
async fn read_entities(node: &NodeContext) -> Result<Option<ConfigSnapshot>, PlatformError> {
    let before = node.platform.row(VERSION_KEY).await?;
    let mut entities: Vec<ConfigEntity> = Vec::new();
    let mut after = String::new();
    loop {
        let rows = node.platform.scan(ENTITY_PREFIX, &after, ENTITY_LIMIT).await?;
        let Some(last) = rows.last() else { break };
        after = last.key.clone();
        for row in &rows {
            match serde_json::from_str(&row.value) {
                Ok(entity) => entities.push(entity),
                Err(err) => {
                    log::error!("entity row is malformed: key={} error={err}", row.key);
                    return Ok(None);
                }
            }
        }
    }
    let same = node.platform.row(VERSION_KEY).await? == before;
    let version = before.map_or(0, |row| row.value.parse().unwrap_or_default());
    entities.sort_by_key(ConfigEntity::rank);
    Ok(same.then_some(ConfigSnapshot { version, entities }))
}

fn adopt(node: &NodeContext, snapshot: &ConfigSnapshot) {
    let table = ConfigTable::from_snapshot(snapshot);
    let mut history = node.follower.history.lock().expect("history lock");
    let mut config = node.config.write().expect("config lock");
    if table.version() > config.version() {
        log::info!("configuration in force from a snapshot: version={}", table.version());
        *config = table;
        history.clear();
    }
    drop(config);
    drop(history);
    node.follower.note_newest(node, snapshot.version);
}

fn digest(content: &[u8]) -> String {
    hex::encode(Sha256::digest(content))
}
