//! Following the configuration's change log.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::config::{ApplyOutcome, ConfigChange};

use crate::node::NodeContext;
use crate::platform::{PlatformError, StoredRow};

/// Prefix of the log rows; the version follows in 20 digits.
pub const LOG_PREFIX: &str = "config/log/";

/// Time between reads of the log.
const TAIL_INTERVAL: Duration = Duration::from_millis(300);

/// Most changes read at once.
const TAIL_LIMIT: usize = 500;

/// Key of the log row of a version.
pub fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Applies committed changes in order, for as long as the node runs.
pub async fn follow(node: Arc<NodeContext>) {
    loop {
        match read_changes(&node).await {
            Ok(TAIL_LIMIT) => continue,
            Ok(_) => {}
            Err(err) => log::debug!("cannot read the change log: {err}"),
        }
        node.clock.sleep(TAIL_INTERVAL).await;
    }
}

async fn read_changes(node: &NodeContext) -> Result<usize, PlatformError> {
    let version = node.config.read().expect("config lock").version();
    let rows = node.platform.scan(LOG_PREFIX, &log_key(version), TAIL_LIMIT).await?;
    node.note_store_heard();
    for row in &rows {
        apply_row(node, row);
    }
    Ok(rows.len())
}

fn apply_row(node: &NodeContext, row: &StoredRow) {
    let version = row.key.strip_prefix(LOG_PREFIX).and_then(|digits| digits.parse().ok());
    let change = serde_json::from_str::<ConfigChange>(&row.value);
    let (Some(version), Ok(change)) = (version, change) else {
        log::error!("change log row is malformed: key={}", row.key);
        return;
    };
    let outcome = node.config.write().expect("config lock").apply(version, &change);
    match outcome {
        ApplyOutcome::Applied => log::info!("configuration change in force: version={version}"),
        ApplyOutcome::Stale => {}
        ApplyOutcome::Gap => log::warn!("change log has a gap: version={version}"),
    }
}
