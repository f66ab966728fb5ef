//! Rows of orders in the table service.

use berylstep_core::collections::HashMap;
use berylstep_core::order::{OrderGroup, OrderRow};

use crate::native::{PlatformError, TableTransaction, TableWrite};
use crate::node::NodeContext;
use crate::store;

/// Prefix of the rows of orders.
const ROW_PREFIX: &str = "order/";

/// Most rows read at once.
const SCAN_LIMIT: usize = 2_000;

/// A group's newest order, with the version of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredOrder {
    /// Row.
    pub row: OrderRow,
    /// Version in the table service.
    pub version: u64,
}

/// Reads the newest order of every group.
pub async fn read_all(
    node: &NodeContext,
) -> Result<HashMap<OrderGroup, StoredOrder>, PlatformError> {
    let stored = node.platform.scan(ROW_PREFIX, "", SCAN_LIMIT).await?;
    node.record_store_response();
    let parsed = stored.into_iter().filter_map(|stored| {
        match serde_json::from_str::<OrderRow>(&stored.value) {
            Ok(row) => Some((row.group.clone(), StoredOrder { row, version: stored.version })),
            Err(err) => {
                log::error!("order row is malformed: key={} error={err}", stored.key);
                None
            }
        }
    });
    Ok(parsed.collect())
}

/// Writes a row that must have version `expect`, and returns its new version.
pub async fn write(node: &NodeContext, row: &OrderRow, expect: u64) -> Result<u64, PlatformError> {
    let key = format!("{ROW_PREFIX}{}", row.group.row_key());
    let value = serde_json::to_string(row).expect("rows are valid JSON");
    let write = TableWrite { key, expect: Some(expect), value: Some(value) };
    let transaction = TableTransaction { token: store::token(node), writes: vec![write] };
    let result = node.platform.transact(&transaction).await?;
    match result.committed {
        true => Ok(result.version),
        // Another node has the zone, or an earlier write took effect; the next look shows which.
        false => Err(PlatformError::NotPermitted),
    }
}
