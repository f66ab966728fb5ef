//! Rows of counters in the table service.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use berylstep_core::usage::{UsageBuffer, UsageRow, UsageSource, UsageWrite, VersionedUsage};

use crate::native::{PlatformError, StoredRow, TableTransaction, TableWrite, TransactionResult};
use crate::node::NodeContext;
use crate::store;

/// Prefix of the rows of counters; one shard today.
const COUNT_PREFIX: &str = "usage/0/count/";

/// Most rows written at once.
const WRITE_LIMIT: usize = 64;

/// Most rows read at once.
const SCAN_LIMIT: usize = 2_000;

/// Stores counters that have not changed for `settled`.
pub async fn store(node: &NodeContext, records: &Mutex<UsageBuffer>, settled: Duration) {
    let now = node.clock.now();
    let writes = records.lock().expect("usage lock").writes(now, settled, WRITE_LIMIT);
    if writes.is_empty() {
        return;
    }
    let rows = writes.iter().map(row_write).collect();
    let transaction = TableTransaction { token: store::token(node), writes: rows };
    match node.platform.transact(&transaction).await {
        Ok(result) => {
            node.record_store_response();
            settle(&mut records.lock().expect("usage lock"), &writes, result);
        }
        Err(err) => log::debug!("usage counters are not stored yet: {err}"),
    }
}

fn settle(records: &mut UsageBuffer, writes: &[UsageWrite], result: TransactionResult) {
    if result.committed {
        return records.mark_stored(result.version, writes);
    }
    for conflict in result.conflicts {
        let source = conflict.key.strip_prefix(COUNT_PREFIX).and_then(UsageSource::from_row_key);
        if let Some(source) = source {
            records.resolve_conflict(&source, conflict.row.and_then(parse_row));
        }
    }
}

/// Write of one row of counters.
pub fn row_write(write: &UsageWrite) -> TableWrite {
    let key = format!("{COUNT_PREFIX}{}", write.source.row_key());
    let value = serde_json::to_string(&write.row).expect("rows are valid JSON");
    TableWrite { key, expect: Some(write.expect), value: Some(value) }
}

/// Removal of one row of counters.
pub fn row_removal(source: &UsageSource, version: u64) -> TableWrite {
    let key = format!("{COUNT_PREFIX}{}", source.row_key());
    TableWrite { key, expect: Some(version), value: None }
}

/// Reads all rows of counters.
pub async fn read_all(
    node: &NodeContext,
) -> Result<BTreeMap<UsageSource, VersionedUsage>, PlatformError> {
    let mut rows = BTreeMap::new();
    let mut after = String::new();
    loop {
        let page = node.platform.scan(COUNT_PREFIX, &after, SCAN_LIMIT).await?;
        let is_last = page.len() < SCAN_LIMIT;
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
