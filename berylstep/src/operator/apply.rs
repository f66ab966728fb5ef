//! Applies operators' changes: validates each as a whole, commits it once and waits until every
//! live member has it in force.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::config::parse::{self, ConfigError, ParsedChange};
use berylstep_core::config::{references, ConfigChange, ConfigRevision, ConfigTable};
use http_types::Response;
use serde_json::Value;

use super::commit::{self, CommitOutcome};
use super::json;
use super::message::{ChangeAnswer, ChangeEffect, EntityEffect};
use crate::node::NodeContext;
use crate::{member, store, tail};

/// Timeout for every live member to have a change in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval for polling the members' configuration versions.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval for reading the member rows while some members have not reported over a peer link.
const ROW_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a serialized revision, in bytes; a revision must fit into one peer frame.
const MAX_REVISION_BYTES: usize = 768 * 1024;

/// Commits a change and waits until it is in force.
pub async fn apply(node: &Arc<NodeContext>, body: &[u8]) -> Response {
    let answer = match parse_body(node, body) {
        Ok(change) => store_change(node, change).await,
        Err(answer) => answer,
    };
    json(answer.status(), &answer)
}

/// Validates a change without storing it and reports its effects.
pub async fn check(node: &Arc<NodeContext>, body: &[u8]) -> Response {
    let answer = match parse_body(node, body) {
        Ok(change) => match validation_errors(node, &change) {
            faults if !faults.is_empty() => ChangeAnswer::Invalid { faults },
            _ => {
                let table = node.config.read().expect("config lock");
                ChangeAnswer::Valid { against: table.version(), effects: effects(&table, &change) }
            }
        },
        Err(answer) => answer,
    };
    json(answer.status(), &answer)
}

/// Reports the outcome of the change with this token.
pub async fn report_outcome(node: &Arc<NodeContext>, token: &str) -> Response {
    let answer = match commit::resolve_outcome(node, token).await {
        CommitOutcome::Committed(version) => {
            wait_in_force(node, version, token, Duration::ZERO).await
        }
        CommitOutcome::Unknown(cause) => unknown(cause, token),
        CommitOutcome::NotStored(cause) => not_stored(cause, token),
        CommitOutcome::Conflict(_) => unknown("conflict".to_owned(), token),
    };
    json(answer.status(), &answer)
}

fn parse_body(node: &NodeContext, body: &[u8]) -> Result<ParsedChange, ChangeAnswer> {
    let message: Value = serde_json::from_slice(body).map_err(|err| {
        let error = ConfigError::new("change", "", &format!("not JSON: {err}"));
        ChangeAnswer::Invalid { faults: vec![error.accepted("a JSON object")] }
    })?;
    Ok(parse::parse_change(&message, &node.settings.site_secret))
}

async fn store_change(node: &Arc<NodeContext>, mut change: ParsedChange) -> ChangeAnswer {
    let supplied_token = change.token.take();
    let is_new_token = supplied_token.is_none();
    let token = supplied_token.unwrap_or_else(|| store::token(node));
    let cause = match commit::find(node, &token).await {
        Ok(Some(version)) => return wait_in_force(node, version, &token, IN_FORCE_TIMEOUT).await,
        Ok(None) => match check_and_commit(node, &token, &change).await {
            Ok(outcome) => return commit_answer(node, outcome, &change, &token).await,
            Err(answer) => return answer,
        },
        Err(err) => err.to_string(),
    };
    // A token supplied by the operator may belong to a change that was stored earlier.
    match is_new_token {
        true => not_stored(cause, &token),
        false => unknown(cause, &token),
    }
}

/// Validates the change against the newest configuration and commits it.
async fn check_and_commit(
    node: &NodeContext,
    token: &str,
    change: &ParsedChange,
) -> Result<CommitOutcome, ChangeAnswer> {
    if !change.field_errors.is_empty() {
        return Err(ChangeAnswer::Invalid { faults: validation_errors(node, change) });
    }
    let polled = tail::poll(node).await;
    let stored = match polled {
        Ok(()) => node.platform.row(tail::VERSION_KEY).await,
        Err(err) => Err(err),
    };
    let stored = stored.map_err(|err| not_stored(err.to_string(), token))?;
    let newest = stored.as_ref().map_or(0, |row| row.value.parse().unwrap_or_default());
    let table = node.config.read().expect("config lock").clone();
    if newest != change.against || table.version() != newest {
        return Ok(CommitOutcome::Conflict(Some(newest)));
    }
    let faults = references::check(&table, change);
    if !faults.is_empty() {
        return Err(ChangeAnswer::Invalid { faults });
    }
    let revision = ConfigRevision { after: newest, changes: change.changes.clone() };
    check_size(&revision)?;
    let outcome = commit::commit(node, token, &revision, stored.as_ref()).await;
    if matches!(outcome, CommitOutcome::Committed(version) if version == revision.version()) {
        apply_and_broadcast(node, &revision);
    }
    Ok(outcome)
}

fn check_size(revision: &ConfigRevision) -> Result<(), ChangeAnswer> {
    let bytes = serde_json::to_string(revision).map_or(usize::MAX, |text| text.len());
    if bytes <= MAX_REVISION_BYTES {
        return Ok(());
    }
    let error = ConfigError::new("change", "", &format!("{bytes} bytes as stored"));
    let accepted = format!("up to {MAX_REVISION_BYTES} bytes in one change");
    Err(ChangeAnswer::Invalid { faults: vec![error.accepted(&accepted)] })
}

/// Applies a committed revision locally and broadcasts it to the peers, which then need not read it
/// from the table service.
fn apply_and_broadcast(node: &NodeContext, revision: &ConfigRevision) {
    let text = serde_json::to_string(revision).expect("revisions are valid JSON");
    if let (_, Some(logged)) = tail::apply_revision(node, revision.version(), &text) {
        tail::broadcast_revisions(node, vec![logged]);
    }
}

async fn commit_answer(
    node: &Arc<NodeContext>,
    outcome: CommitOutcome,
    change: &ParsedChange,
    token: &str,
) -> ChangeAnswer {
    let against = change.against;
    match outcome {
        CommitOutcome::Committed(version) => {
            wait_in_force(node, version, token, IN_FORCE_TIMEOUT).await
        }
        CommitOutcome::Conflict(newest) => {
            // The conflicting change may be this one, committed earlier under the same token.
            if let Ok(Some(version)) = commit::find(node, token).await {
                return wait_in_force(node, version, token, IN_FORCE_TIMEOUT).await;
            }
            let newest = newest.unwrap_or_else(|| node.follower.newest());
            ChangeAnswer::Conflict { against, newest, token: token.to_owned() }
        }
        CommitOutcome::NotStored(cause) => not_stored(cause, token),
        CommitOutcome::Unknown(cause) => unknown(cause, token),
    }
}

/// Waits up to `timeout` until every member has `version` in force.
///
/// The member rows are read after the commit. They include every node that joined before the
/// commit; a node that joins later writes its row first and then reads the new configuration.
async fn wait_in_force(
    node: &NodeContext,
    version: u64,
    token: &str,
    timeout: Duration,
) -> ChangeAnswer {
    let deadline = node.clock.now() + timeout;
    let mut members_read = member::read_rows(node).await.is_ok();
    let mut next_read = node.clock.now() + ROW_POLL_INTERVAL;
    loop {
        let (waiting, lapsed) = lagging(node, version);
        let token = token.to_owned();
        if waiting.is_empty() && members_read {
            return ChangeAnswer::InForce { version, token, lapsed };
        }
        let now = node.clock.now();
        if now >= deadline {
            return ChangeAnswer::Stored { version, token, waiting, lapsed, members_read };
        }
        if now >= next_read {
            members_read |= member::read_rows(node).await.is_ok();
            next_read = node.clock.now() + ROW_POLL_INTERVAL;
        }
        node.clock.sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

/// Returns the members, and the nodes with expired rows, that are not known to have `version` in
/// force.
fn lagging(node: &NodeContext, version: u64) -> (Vec<String>, Vec<String>) {
    let own = node.config.read().expect("config lock").version();
    let members = node.members();
    let version_of = |name: &str, known: u64| match name == &*node.settings.node {
        true => own,
        false => known,
    };
    let waiting = members
        .all()
        .filter(|member| version_of(&member.row.node, member.config_version) < version)
        .map(|member| member.row.node.to_string());
    let lapsed = members.lapsed().filter(|lapsed| lapsed.config_version < version);
    let mut waiting: Vec<_> = waiting.collect();
    let mut lapsed: Vec<_> = lapsed.map(|lapsed| lapsed.row.node.to_string()).collect();
    waiting.sort();
    lapsed.sort();
    (waiting, lapsed)
}

fn not_stored(cause: String, token: &str) -> ChangeAnswer {
    ChangeAnswer::NotStored { cause, token: token.to_owned() }
}

fn unknown(cause: String, token: &str) -> ChangeAnswer {
    ChangeAnswer::Unknown { cause, token: token.to_owned() }
}

fn validation_errors(node: &NodeContext, change: &ParsedChange) -> Vec<ConfigError> {
    let table = node.config.read().expect("config lock").clone();
    references::check(&table, change)
}

fn effects(table: &ConfigTable, change: &ParsedChange) -> Vec<ChangeEffect> {
    let present = table.snapshot().entities;
    let effect_of = |write: &ConfigChange| match write {
        ConfigChange::Remove(row_key) => (row_key.to_string(), EntityEffect::Remove),
        ConfigChange::Put(entity) => {
            let row_key = entity.row_key();
            let effect = match present.iter().find(|known| known.row_key() == row_key) {
                None => EntityEffect::Create,
                Some(known) if known == entity => EntityEffect::Keep,
                Some(_) => EntityEffect::Replace,
            };
            (row_key, effect)
        }
    };
    let effects = change.changes.iter().map(effect_of);
    effects.map(|(entity, effect)| ChangeEffect { entity, effect }).collect()
}
