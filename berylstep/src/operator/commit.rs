//! Commits changes to the table service and resolves the outcome of commits without an answer.

use std::time::Duration;

use berylstep_core::config::{ConfigChange, ConfigRevision};
use serde::{Deserialize, Serialize};

use crate::native::{PlatformError, StoredRow, TableTransaction, TableWrite};
use crate::node::NodeContext;
use crate::tail::snapshot::ENTITY_PREFIX;
use crate::tail::{log_key, VERSION_KEY};

/// Key prefix of token rows.
const TOKEN_PREFIX: &str = "config/token/";

/// Timeout for resolving the outcome of a commit that got no answer.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between attempts to resolve an outcome.
const RESOLVE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Value of a token row, which makes commits idempotent by token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenRow {
    /// The change was committed as this version.
    Committed(u64),
    /// Nothing was committed; the row makes a delayed commit conflict.
    Void,
}

/// Outcome of a commit.
#[derive(Clone, Debug)]
pub enum CommitOutcome {
    /// Committed as this version.
    Committed(u64),
    /// Another change was committed first; holds the newest version if the conflict reported it.
    Conflict(Option<u64>),
    /// Nothing was stored; holds the cause.
    NotStored(String),
    /// Whether the commit took effect is not known yet; holds the cause.
    Unknown(String),
}

/// Returns the version committed under a token; `None` if the token row is absent or void.
pub async fn find(node: &NodeContext, token: &str) -> Result<Option<u64>, PlatformError> {
    Ok(match parse(node.platform.row(&token_key(token)).await?.as_ref()) {
        Some(TokenRow::Committed(version)) => Some(version),
        Some(TokenRow::Void) | None => None,
    })
}

/// Commits a revision; `stored` is the version row that the revision was validated against.
pub async fn commit(
    node: &NodeContext,
    token: &str,
    revision: &ConfigRevision,
    stored: Option<&StoredRow>,
) -> CommitOutcome {
    let token_row = match node.platform.row(&token_key(token)).await {
        Ok(row) => row,
        Err(err) => return CommitOutcome::NotStored(err.to_string()),
    };
    if let Some(TokenRow::Committed(version)) = parse(token_row.as_ref()) {
        return CommitOutcome::Committed(version);
    }
    let transaction = TableTransaction {
        token: token.to_owned(),
        writes: revision_writes(token, revision, stored, token_row.map_or(0, |row| row.version)),
    };
    match node.platform.transact(&transaction).await {
        Ok(result) if result.committed => CommitOutcome::Committed(revision.version()),
        Ok(result) => {
            let conflicts = result.conflicts;
            if conflicts.iter().any(|conflict| conflict.key == token_key(token)) {
                return resolve_outcome(node, token).await;
            }
            let version_row = conflicts.into_iter().find(|conflict| conflict.key == VERSION_KEY);
            let row = version_row.and_then(|conflict| conflict.row);
            CommitOutcome::Conflict(row.and_then(|row| row.value.parse().ok()))
        }
        Err(PlatformError::AnswerLost(cause)) => {
            log::warn!("no answer to a commit, resolving its outcome: token={token} cause={cause}");
            resolve_outcome(node, token).await
        }
        Err(err) => CommitOutcome::NotStored(err.to_string()),
    }
}

fn revision_writes(
    token: &str,
    revision: &ConfigRevision,
    stored: Option<&StoredRow>,
    token_version: u64,
) -> Vec<TableWrite> {
    let version = revision.version();
    let text = serde_json::to_string(revision).expect("revisions are valid JSON");
    let mut writes = vec![
        TableWrite {
            key: VERSION_KEY.to_owned(),
            expect: Some(stored.map_or(0, |row| row.version)),
            value: Some(version.to_string()),
        },
        TableWrite {
            key: token_key(token),
            expect: Some(token_version),
            value: Some(token_value(&TokenRow::Committed(version))),
        },
        TableWrite { key: log_key(version), expect: Some(0), value: Some(text) },
    ];
    writes.extend(revision.changes.iter().map(entity_write));
    writes
}

fn entity_write(change: &ConfigChange) -> TableWrite {
    match change {
        ConfigChange::Put(entity) => {
            let key = format!("{ENTITY_PREFIX}{}", entity.row_key());
            let value = serde_json::to_string(entity).expect("entities are valid JSON");
            TableWrite { key, expect: None, value: Some(value) }
        }
        ConfigChange::Remove(key) => {
            TableWrite { key: format!("{ENTITY_PREFIX}{key}"), expect: None, value: None }
        }
    }
}

/// Resolves whether a commit took effect, and voids it if it did not, so that a delayed commit
/// can't take effect afterwards.
pub async fn resolve_outcome(node: &NodeContext, token: &str) -> CommitOutcome {
    let deadline = node.clock.now() + RESOLVE_TIMEOUT;
    loop {
        let err = match try_resolve(node, token).await {
            Ok(Some(TokenRow::Committed(version))) => return CommitOutcome::Committed(version),
            Ok(Some(TokenRow::Void)) => {
                return CommitOutcome::NotStored("the commit had no effect".to_owned());
            }
            Ok(None) => "the token's row was written meanwhile".to_owned(),
            Err(err) => err.to_string(),
        };
        if node.clock.now() >= deadline {
            return CommitOutcome::Unknown(err);
        }
        node.clock.sleep(RESOLVE_RETRY_INTERVAL).await;
    }
}

/// Reads the token row, or writes it as void so that a delayed commit conflicts; `None` if another
/// write came first.
async fn try_resolve(node: &NodeContext, token: &str) -> Result<Option<TokenRow>, PlatformError> {
    let key = token_key(token);
    if let Some(found) = parse(node.platform.row(&key).await?.as_ref()) {
        return Ok(Some(found));
    }
    let write = TableWrite { key, expect: Some(0), value: Some(token_value(&TokenRow::Void)) };
    let transaction = TableTransaction { token: crate::store::token(node), writes: vec![write] };
    let result = node.platform.transact(&transaction).await?;
    Ok(result.committed.then_some(TokenRow::Void))
}

fn token_key(token: &str) -> String {
    format!("{TOKEN_PREFIX}{token}")
}

fn token_value(row: &TokenRow) -> String {
    serde_json::to_string(row).expect("rows are valid JSON")
}

fn parse(stored: Option<&StoredRow>) -> Option<TokenRow> {
    serde_json::from_str(&stored?.value).ok()
}
