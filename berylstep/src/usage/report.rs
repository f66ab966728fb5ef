//! Sealing and reporting of usage windows, under the lease of the usage duty.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::usage::{plan_seal, SealPlan, SealedUsage, UsageSource, VersionedUsage};
use berylstep_http::SendTerms;
use serde::{Deserialize, Serialize};

use super::rows;
use crate::lease::LeaseKeeper;
use crate::native::{
    PlatformError, StoredRow, TableTransaction, TableWrite, UsageEntry, UsageReport,
};
use crate::node::NodeContext;
use crate::store;

/// Row that holds the newest sealed window.
const CURSOR_KEY: &str = "usage/0/cursor";

/// Prefix of the rows of sealed windows.
const SEALED_PREFIX: &str = "usage/0/sealed/";

/// Time for which rows of sealed and reported windows are kept.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Most rows removed at once.
const REMOVAL_LIMIT: usize = 200;

/// Most sealed windows read at once.
const SCAN_LIMIT: usize = 1_000;

/// Figures of a sealed window, written once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SealedRow {
    window: u64,
    figures: Vec<SealedUsage>,
    /// Whether the platform confirmed the report.
    reported: bool,
}

/// Seals and reports windows while this node holds the lease.
pub async fn work(node: Arc<NodeContext>, keeper: Arc<LeaseKeeper>) {
    let interval = super::flush_interval(&node);
    let mut in_touch_since = None;
    loop {
        node.clock.sleep(interval).await;
        if keeper.fencing().is_none() {
            in_touch_since = None;
            continue;
        }
        // After an outage the nodes get a window's grace to store what they counted.
        let now = node.clock.now();
        let since = *in_touch_since.get_or_insert(now);
        let may_seal = now.saturating_sub(since) >= super::grace(&node);
        if let Err(err) = pass(&node, &keeper, may_seal).await {
            log::debug!("usage is not reported yet: {err}");
            if !matches!(err, PlatformError::NotPermitted) {
                in_touch_since = None;
            }
        }
    }
}

async fn pass(
    node: &NodeContext,
    keeper: &Arc<LeaseKeeper>,
    may_seal: bool,
) -> Result<(), PlatformError> {
    while seal_next(node, may_seal).await? {
        if keeper.fencing().is_none() {
            return Err(PlatformError::NotPermitted);
        }
    }
    report_sealed(node, keeper).await
}

/// Seals the oldest window that may be; false where there was none.
async fn seal_next(node: &NodeContext, may_seal: bool) -> Result<bool, PlatformError> {
    let cursor_row = node.platform.row(CURSOR_KEY).await?;
    let rows = rows::read_all(node).await?;
    node.record_store_response();
    let cursor = cursor_row.as_ref().and_then(|row| row.value.parse().ok());
    remove_old_rows(node, &rows, cursor).await?;
    let plan = closed_window(node).and_then(|closed| plan_seal(&rows, cursor, closed));
    let Some(plan) = plan.filter(|_| may_seal) else { return Ok(false) };
    let window = plan.window;
    let transaction = seal_transaction(node, cursor_row.map_or(0, |row| row.version), plan);
    let result = node.platform.transact(&transaction).await?;
    log::info!("usage window sealed: window={window} committed={}", result.committed);
    Ok(true)
}

fn seal_transaction(node: &NodeContext, cursor_version: u64, plan: SealPlan) -> TableTransaction {
    let SealPlan { window, figures, sources } = plan;
    let row = SealedRow { window, figures, reported: false };
    let mut writes = vec![
        TableWrite {
            key: CURSOR_KEY.to_owned(),
            expect: Some(cursor_version),
            value: Some(window.to_string()),
        },
        sealed_write(&row, 0),
    ];
    writes.extend(sources.iter().map(rows::row_write));
    TableTransaction { token: store::token(node), writes }
}

/// Newest window whose grace is over.
fn closed_window(node: &NodeContext) -> Option<u64> {
    let length = node.settings.usage_window.as_millis() as u64;
    let grace = super::grace(node).as_millis() as u64;
    let open = node.clock.unix_ms().checked_sub(grace)? / length * length;
    open.checked_sub(length)
}

async fn remove_old_rows(
    node: &NodeContext,
    rows: &std::collections::BTreeMap<UsageSource, VersionedUsage>,
    cursor: Option<u64>,
) -> Result<(), PlatformError> {
    let oldest = cursor.unwrap_or_default().saturating_sub(RETENTION.as_millis() as u64);
    let old = rows.iter().filter(|(source, stored)| {
        let row = &stored.row;
        source.window < oldest && row.counters.difference(&row.sealed).is_empty()
    });
    let removals = old.map(|(source, stored)| rows::row_removal(source, stored.version));
    let writes: Vec<_> = removals.take(REMOVAL_LIMIT).collect();
    if writes.is_empty() {
        return Ok(());
    }
    let transaction = TableTransaction { token: store::token(node), writes };
    node.platform.transact(&transaction).await.map(|_| ())
}

async fn report_sealed(node: &NodeContext, keeper: &Arc<LeaseKeeper>) -> Result<(), PlatformError> {
    let stored = node.platform.scan(SEALED_PREFIX, "", SCAN_LIMIT).await?;
    let oldest = node.clock.unix_ms().saturating_sub(RETENTION.as_millis() as u64);
    for row in stored {
        let Some(sealed) = parse_sealed(&row) else { continue };
        if !sealed.reported {
            report(node, keeper, &sealed).await?;
            mark_reported(node, sealed, row.version).await?;
        } else if sealed.window < oldest {
            let write = TableWrite { key: row.key, expect: Some(row.version), value: None };
            let transaction = TableTransaction { token: store::token(node), writes: vec![write] };
            node.platform.transact(&transaction).await?;
        }
    }
    Ok(())
}

async fn report(
    node: &NodeContext,
    keeper: &Arc<LeaseKeeper>,
    sealed: &SealedRow,
) -> Result<(), PlatformError> {
    let permit = keeper.permit().ok_or(PlatformError::NotPermitted)?;
    let report = UsageReport {
        window: sealed.window,
        fencing: permit.fencing,
        sender: store::sender(node),
        figures: sealed.figures.iter().map(usage_figure).collect(),
    };
    let is_valid = || permit.is_valid();
    let terms =
        SendTerms { is_permitted: &is_valid, ack_timeout: node.settings.lease_times.send_limit() };
    let result = node.platform.report(&report, terms).await;
    permit.settle(&result);
    result
}

async fn mark_reported(
    node: &NodeContext,
    sealed: SealedRow,
    version: u64,
) -> Result<(), PlatformError> {
    log::info!("usage window reported: window={}", sealed.window);
    let write = sealed_write(&SealedRow { reported: true, ..sealed }, version);
    let transaction = TableTransaction { token: store::token(node), writes: vec![write] };
    node.platform.transact(&transaction).await.map(|_| ())
}

fn sealed_write(row: &SealedRow, expect: u64) -> TableWrite {
    let key = format!("{SEALED_PREFIX}{:020}", row.window);
    let value = serde_json::to_string(row).expect("rows are valid JSON");
    TableWrite { key, expect: Some(expect), value: Some(value) }
}

fn parse_sealed(stored: &StoredRow) -> Option<SealedRow> {
    let parsed = serde_json::from_str(&stored.value);
    parsed.map_err(|err| log::error!("sealed row is malformed: {} {err}", stored.key)).ok()
}

fn usage_figure(figure: &SealedUsage) -> UsageEntry {
    UsageEntry {
        organisation: figure.organisation.clone(),
        class: figure.class.clone(),
        requests: figure.count.requests,
        input_tokens: figure.count.input_tokens,
        output_tokens: figure.count.output_tokens,
        late_requests: figure.late_requests,
    }
}
