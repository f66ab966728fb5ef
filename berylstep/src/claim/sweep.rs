//! Removal of expired claims.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::claim::{ClaimRow, CLAIM_RETENTION_MS};
use berylstep_core::rendezvous;

use super::CLAIM_PREFIX;
use crate::native::{PlatformError, StoredRow, TableTransaction, TableWrite};
use crate::node::NodeContext;
use crate::store;

/// Delay between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(15 * 60);

/// Delay between pages of a sweep, which limits the load on the table service.
const PAGE_INTERVAL: Duration = Duration::from_millis(200);

/// Rows in a page.
const PAGE_ROWS: usize = 200;

/// Additional retention of expired claims, which allows for clock skew between nodes.
const REMOVAL_MARGIN_MS: u64 = 60 * 60 * 1_000;

/// Rendezvous hashing key that selects the sweeping node.
const SWEEPER_KEY: &str = "claim-sweep";

/// Removes expired claims periodically, until the node stops.
pub async fn run(node: Arc<NodeContext>) {
    loop {
        node.clock.sleep(SWEEP_INTERVAL).await;
        if is_sweeper(&node) {
            if let Err(err) = sweep(&node).await {
                log::warn!("failed to remove expired claims: {err}");
            }
        }
    }
}

/// Returns whether this node is the one that sweeps.
///
/// Two nodes with different views of the membership may both sweep; removals are conditional on
/// the row version, so this is harmless.
fn is_sweeper(node: &NodeContext) -> bool {
    let now = node.clock.now();
    let members = node.members();
    let live = members.live(now).map(|member| &*member.row.node);
    let ranked = rendezvous::rank(SWEEPER_KEY, live);
    ranked.first().is_none_or(|first| **first == *node.settings.node)
}

async fn sweep(node: &NodeContext) -> Result<(), PlatformError> {
    let mut after = String::new();
    loop {
        let rows = node.platform.scan(CLAIM_PREFIX, &after, PAGE_ROWS).await?;
        let Some(last) = rows.last() else { return Ok(()) };
        after.clone_from(&last.key);
        remove_expired(node, &rows).await?;
        node.clock.sleep(PAGE_INTERVAL).await;
    }
}

async fn remove_expired(node: &NodeContext, rows: &[StoredRow]) -> Result<(), PlatformError> {
    let now_ms = node.clock.unix_ms();
    for row in rows.iter().filter(|row| is_removable(row, now_ms)) {
        let write = TableWrite { key: row.key.clone(), expect: Some(row.version), value: None };
        let transaction = TableTransaction { token: store::token(node), writes: vec![write] };
        node.platform.transact(&transaction).await?;
    }
    Ok(())
}

fn is_removable(row: &StoredRow, now_ms: u64) -> bool {
    let parsed = serde_json::from_str::<ClaimRow>(&row.value);
    let age_ms = parsed.map(|claim| now_ms.saturating_sub(claim.claimed_ms));
    age_ms.is_ok_and(|age_ms| age_ms >= CLAIM_RETENTION_MS + REMOVAL_MARGIN_MS)
}
