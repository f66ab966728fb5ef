//! This node's row in the table service, and the rows of the others.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::member::{MemberRow, ROW_INTERVAL};

use crate::node::NodeContext;
use crate::platform::{PlatformError, TableTransaction, TableWrite};
use crate::store;

/// Prefix of the nodes' rows.
const ROW_PREFIX: &str = "node/";

/// Most nodes read at once.
const SCAN_LIMIT: usize = 2_000;

/// Time after which no live node names a leaving node to callers.
pub const LEAVING_SPREAD: Duration = Duration::from_secs(3);

/// Time between attempts to join while the table service is unavailable.
const JOIN_RETRY: Duration = Duration::from_millis(500);

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
    let key = row_key(node);
    let stored = node.platform.row(&key).await?;
    let previous: Option<MemberRow> = stored.and_then(|row| serde_json::from_str(&row.value).ok());
    let previous = previous.map_or(0, |row| row.incarnation);
    node.set_incarnation(node.clock.unix_ms().max(previous + 1));
    write_row(node, 0).await?;
    read_rows(node).await
}

/// Refreshes the row and reads the others', for as long as the node runs.
pub async fn refresh(node: Arc<NodeContext>) {
    loop {
        node.clock.sleep(ROW_INTERVAL).await;
        publish(&node).await;
        if let Err(err) = read_rows(&node).await {
            log::warn!("cannot read member rows: {err}");
        }
    }
}

/// Writes the row now.
pub async fn publish(node: &NodeContext) {
    let beat = node.clock.unix_ms();
    if let Err(err) = write_row(node, beat).await {
        log::warn!("cannot write member row: {err}");
    }
}

/// Removes the row at the end of a planned stop.
pub async fn leave(node: &NodeContext) {
    let write = TableWrite { key: row_key(node), expect: None, value: None };
    let transaction = TableTransaction { token: store::token(node), writes: vec![write] };
    if let Err(err) = node.platform.transact(&transaction).await {
        log::warn!("cannot remove member row, it will expire: {err}");
    }
}

async fn write_row(node: &NodeContext, beat: u64) -> Result<(), PlatformError> {
    let settings = &node.settings;
    let row = MemberRow {
        node: settings.node.clone(),
        incarnation: node.incarnation(),
        beat,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_advertise,
        caller_address: settings.advertise,
        state: node.state(),
        config_version: node.config.read().expect("config lock").version(),
    };
    let value = serde_json::to_string(&row).expect("rows are valid JSON");
    let write = TableWrite { key: row_key(node), expect: None, value: Some(value) };
    let transaction = TableTransaction { token: store::token(node), writes: vec![write] };
    node.platform.transact(&transaction).await?;
    node.note_store_heard();
    Ok(())
}

async fn read_rows(node: &NodeContext) -> Result<(), PlatformError> {
    let stored = node.platform.scan(ROW_PREFIX, "", SCAN_LIMIT).await?;
    node.note_store_heard();
    let parsed = stored.iter().filter_map(|row| match serde_json::from_str(&row.value) {
        Ok(member) => Some(member),
        Err(err) => {
            log::warn!("member row is malformed: key={} error={err}", row.key);
            None
        }
    });
    let now = node.clock.now();
    node.members().observe_rows(now, parsed.collect());
    Ok(())
}

fn row_key(node: &NodeContext) -> String {
    format!("{ROW_PREFIX}{}", node.settings.node)
}
