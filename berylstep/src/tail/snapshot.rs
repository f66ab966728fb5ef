//! Snapshots of the configuration in the object store, and trimming of the log they replace.

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

/// Key of the row that refers to the newest snapshots.
const SNAPSHOT_KEY: &str = "config/snapshot";

/// Key prefix of entity rows.
pub const ENTITY_PREFIX: &str = "config/entity/";

/// Rendezvous hashing key that selects the node that writes snapshots.
const WRITER_KEY: &str = "config-snapshot";

/// Versions between snapshots.
pub const VERSIONS_PER_SNAPSHOT: u64 = 64;

/// Number of object names, which snapshots use in rotation.
const SNAPSHOT_OBJECTS: u64 = 8;

/// Interval between checks of whether a snapshot is due.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Upper bound of the log rows removed in one transaction.
const TRIM_LIMIT: usize = 100;

/// Rows in a page of entity rows.
const ENTITY_LIMIT: usize = 2_000;

/// Reference to a snapshot in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotPointer {
    /// Configuration version of the snapshot.
    version: u64,
    /// Name of the object.
    object: String,
    /// SHA-256 digest of the object, in hexadecimal.
    digest: String,
}

/// Row that refers to the newest snapshots.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct SnapshotRow {
    /// Newest snapshot; `None` before the first.
    newest: Option<SnapshotPointer>,
    /// Previous snapshot, the fallback if a delayed write has overwritten the newest object.
    previous: Option<SnapshotPointer>,
}

/// Writes snapshots while this node is the one selected to do so, until the node stops.
pub async fn run(node: Arc<NodeContext>) {
    let mut written = 0;
    loop {
        node.clock.sleep(SNAPSHOT_INTERVAL).await;
        let version = super::version(&node);
        if version < written + VERSIONS_PER_SNAPSHOT || !is_writer(&node) {
            continue;
        }
        match write_if_due(&node).await {
            Ok(newest) => written = newest,
            Err(err) => log::warn!("failed to write a configuration snapshot: {err}"),
        }
    }
}

fn is_writer(node: &NodeContext) -> bool {
    let now = node.clock.now();
    let members = node.members();
    let live = members.live(now).map(|member| &*member.row.node);
    rendezvous::rank(WRITER_KEY, live).first() == Some(&&*node.settings.node)
}

/// Writes a snapshot if one is due, and returns the version of the newest snapshot.
async fn write_if_due(node: &NodeContext) -> Result<u64, PlatformError> {
    let stored = node.platform.row(SNAPSHOT_KEY).await?;
    let row: SnapshotRow =
        stored.as_ref().and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default();
    let newest = row.newest.as_ref().map_or(0, |pointer| pointer.version);
    let snapshot = node.config.read().expect("config lock").snapshot();
    if snapshot.version < newest + VERSIONS_PER_SNAPSHOT {
        return Ok(newest);
    }
    let version = snapshot.version;
    let content = serde_json::to_vec(&snapshot).expect("snapshots are valid JSON");
    let object = format!("config-snapshot-{}", version / VERSIONS_PER_SNAPSHOT % SNAPSHOT_OBJECTS);
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

/// Removes the log rows up to and including `version`.
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
///
/// If neither snapshot is readable, the configuration is read from the entity rows.
///
/// # Errors
///
/// Returns an error if the table service or the object store does not answer.
pub async fn load(node: &NodeContext) -> Result<(), PlatformError> {
    let stored = node.platform.row(SNAPSHOT_KEY).await?;
    let row: SnapshotRow =
        stored.and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default();
    for pointer in [row.newest, row.previous].into_iter().flatten() {
        if let Some(snapshot) = read_object(node, &pointer).await? {
            install(node, &snapshot);
            return Ok(());
        }
        log::warn!("configuration snapshot is missing or corrupt: object={}", pointer.object);
    }
    match read_entities(node).await? {
        Some(snapshot) => install(node, &snapshot),
        None => log::warn!("configuration changed while its entity rows were read"),
    }
    Ok(())
}

async fn read_object(
    node: &NodeContext,
    pointer: &SnapshotPointer,
) -> Result<Option<ConfigSnapshot>, PlatformError> {
    let content = node.platform.get(&pointer.object).await?;
    let verified = content.filter(|content| digest(content) == pointer.digest);
    Ok(verified.and_then(|content| serde_json::from_slice(&content).ok()))
}

/// Reads all entity rows; returns `None` if they changed in the meantime or one is malformed.
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
    let is_consistent = node.platform.row(VERSION_KEY).await? == before;
    let version = before.map_or(0, |row| row.value.parse().unwrap_or_default());
    entities.sort_by_key(ConfigEntity::rank);
    Ok(is_consistent.then_some(ConfigSnapshot { version, entities }))
}

fn install(node: &NodeContext, snapshot: &ConfigSnapshot) {
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
    node.follower.record_newest(node, snapshot.version);
}

fn digest(content: &[u8]) -> String {
    hex::encode(Sha256::digest(content))
}
