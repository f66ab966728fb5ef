//! Usage counter rows in the table service.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use berylstep_core::usage::{UsageBuffer, UsageRow, UsageSource, UsageWrite, VersionedUsage};

use crate::native::{PlatformError, StoredRow, TableTransaction, TableWrite, TransactionResult};
use crate::node::NodeContext;
use crate::store;

/// Key prefix of counter rows; the number is the shard, of which there is only one.
const COUNT_PREFIX: &str = "usage/0/count/";

/// Upper bound of the rows written in one transaction.
const MAX_WRITES: usize = 64;

/// Rows in a page.
const PAGE_ROWS: usize = 2_000;

/// Stores counters that have not changed for at least `min_age`.
///
/// Counters that could not be stored remain in the buffer.
pub async fn store(node: &NodeContext, buffer: &Mutex<UsageBuffer>, min_age: Duration) {
    let now = node.clock.now();
    let writes = buffer.lock().expect("usage lock").writes(now, min_age, MAX_WRITES);
    if writes.is_empty() {
        return;
    }
    let rows = writes.iter().map(row_write).collect();
    let transaction = TableTransaction { token: store::token(node), writes: rows };
    match node.platform.transact(&transaction).await {
        Ok(result) => {
            node.record_store_response();
            apply_result(&mut buffer.lock().expect("usage lock"), &writes, result);
        }
        Err(err) => log::debug!("failed to store usage counters: {err}"),
    }
}

fn apply_result(buffer: &mut UsageBuffer, writes: &[UsageWrite], result: TransactionResult) {
    if result.committed {
        return buffer.mark_stored(result.version, writes);
    }
    for conflict in result.conflicts {
        let source = conflict.key.strip_prefix(COUNT_PREFIX).and_then(UsageSource::from_row_key);
        if let Some(source) = source {
            buffer.resolve_conflict(&source, conflict.row.and_then(parse_row));
        }
    }
}

/// Returns the table write that stores a counter row.
pub fn row_write(write: &UsageWrite) -> TableWrite {
    let key = format!("{COUNT_PREFIX}{}", write.source.row_key());
    let value = serde_json::to_string(&write.row).expect("rows are valid JSON");
    TableWrite { key, expect: Some(write.expect), value: Some(value) }
}

/// Returns the table write that removes a counter row with the given version.
pub fn row_removal(source: &UsageSource, version: u64) -> TableWrite {
    let key = format!("{COUNT_PREFIX}{}", source.row_key());
    TableWrite { key, expect: Some(version), value: None }
}

/// Reads all counter rows; malformed rows are logged and skipped.
///
/// # Errors
///
/// Returns an error if the table service does not answer.
pub async fn read_all(
    node: &NodeContext,
) -> Result<BTreeMap<UsageSource, VersionedUsage>, PlatformError> {
    let mut rows = BTreeMap::new();
    let mut after = String::new();
    loop {
        let page = node.platform.scan(COUNT_PREFIX, &after, PAGE_ROWS).await?;
        let is_last = page.len() < PAGE_ROWS;
        after = page.last().map_or(after, |row| row.key.clone());
        for row in page {
            let source = row.key.strip_prefix(COUNT_PREFIX).and_then(UsageSource::from_row_key);
            if let (Some(source), Some(row)) = (source, parse_row(row)) {
                rows.insert(source, row);
            }
        }
        if is_last {
            return Ok(rows);
        }
    }
}

fn parse_row(stored: StoredRow) -> Option<VersionedUsage> {
    match serde_json::from_str::<UsageRow>(&stored.value) {
        Ok(row) => Some(VersionedUsage { version: stored.version, row }),
        Err(err) => {
            log::error!("usage row is malformed: key={} error={err}", stored.key);
            None
        }
    }
}
