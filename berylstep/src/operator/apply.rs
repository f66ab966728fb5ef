//! Operators' changes: checked as a whole, committed once, and followed until they are in force.

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

/// Longest wait until every live member has a change in force.
const IN_FORCE_WAIT: Duration = Duration::from_secs(5);

/// Time between looks at the members' versions.
const IN_FORCE_POLL: Duration = Duration::from_millis(20);

/// Time between reads of the members' rows while some have not answered on a link.
const ROW_POLL: Duration = Duration::from_millis(500);

/// Largest revision, in bytes; it has to fit into a frame of a peer link.
const MAX_REVISION_BYTES: usize = 768 * 1024;

/// Stores a change and waits until it is in force.
pub async fn apply(node: &Arc<NodeContext>, body: &[u8]) -> Response {
    let answer = match read(node, body) {
        Ok(reading) => store_change(node, reading).await,
        Err(answer) => answer,
    };
    json(answer.status(), &answer)
}

/// Checks a change and tells what it would do.
pub async fn check(node: &Arc<NodeContext>, body: &[u8]) -> Response {
    let answer = match read(node, body) {
        Ok(reading) => match faults_of(node, &reading) {
            faults if !faults.is_empty() => ChangeAnswer::Invalid { faults },
            _ => {
                let table = node.config.read().expect("config lock");
                ChangeAnswer::Valid { against: table.version(), effects: effects(&table, &reading) }
            }
        },
        Err(answer) => answer,
    };
    json(answer.status(), &answer)
}

/// Tells what became of the change with this token.
pub async fn settle(node: &Arc<NodeContext>, token: &str) -> Response {
    let answer = match commit::settle(node, token).await {
        CommitOutcome::Committed(version) => in_force(node, version, token, Duration::ZERO).await,
        CommitOutcome::Unknown(cause) => unknown(cause, token),
        CommitOutcome::NotStored(cause) => not_stored(cause, token),
        CommitOutcome::Conflict(_) => unknown("conflict".to_owned(), token),
    };
    json(answer.status(), &answer)
}

fn read(node: &NodeContext, body: &[u8]) -> Result<ParsedChange, ChangeAnswer> {
    let message: Value = serde_json::from_slice(body).map_err(|err| {
        let fault = ConfigError::new("change", "", &format!("not JSON: {err}"));
        ChangeAnswer::Invalid { faults: vec![fault.accepted("a JSON object")] }
    })?;
    Ok(parse::parse_change(&message, &node.settings.site_secret))
}

async fn store_change(node: &Arc<NodeContext>, mut reading: ParsedChange) -> ChangeAnswer {
    let given = reading.token.take();
    let is_retry_safe = given.is_none();
    let token = given.unwrap_or_else(|| store::token(node));
    let cause = match commit::find(node, &token).await {
        Ok(Some(version)) => return in_force(node, version, &token, IN_FORCE_WAIT).await,
        Ok(None) => match prepare(node, &token, &reading).await {
            Ok(outcome) => return answer_of(node, outcome, &reading, &token).await,
            Err(answer) => return answer,
        },
        Err(err) => err.to_string(),
    };
    // A token that was given may belong to a change that was stored earlier.
    match is_retry_safe {
        true => not_stored(cause, &token),
        false => unknown(cause, &token),
    }
}

/// Checks the change against the newest configuration and commits it.
async fn prepare(
    node: &NodeContext,
    token: &str,
    reading: &ParsedChange,
) -> Result<CommitOutcome, ChangeAnswer> {
    if !reading.faults.is_empty() {
        return Err(ChangeAnswer::Invalid { faults: faults_of(node, reading) });
    }
    let caught_up = tail::poll(node).await;
    let stored = match caught_up {
        Ok(()) => node.platform.row(tail::VERSION_KEY).await,
        Err(err) => Err(err),
    };
    let stored = stored.map_err(|err| not_stored(err.to_string(), token))?;
    let newest = stored.as_ref().map_or(0, |row| row.value.parse().unwrap_or_default());
    let table = node.config.read().expect("config lock").clone();
    if newest != reading.against || table.version() != newest {
        return Ok(CommitOutcome::Conflict(Some(newest)));
    }
    let faults = references::check(&table, reading);
    if !faults.is_empty() {
        return Err(ChangeAnswer::Invalid { faults });
    }
    let revision = ConfigRevision { after: newest, changes: reading.changes.clone() };
    check_size(&revision)?;
    let outcome = commit::commit(node, token, &revision, stored.as_ref()).await;
    if matches!(outcome, CommitOutcome::Committed(version) if version == revision.version()) {
        hand_on(node, &revision);
    }
    Ok(outcome)
}

fn check_size(revision: &ConfigRevision) -> Result<(), ChangeAnswer> {
    let bytes = serde_json::to_string(revision).map_or(usize::MAX, |text| text.len());
    if bytes <= MAX_REVISION_BYTES {
        return Ok(());
    }
    let fault = ConfigError::new("change", "", &format!("{bytes} bytes as stored"));
    let accepted = format!("up to {MAX_REVISION_BYTES} bytes in one change");
    Err(ChangeAnswer::Invalid { faults: vec![fault.accepted(&accepted)] })
}

/// Puts a committed revision in force here and hands it to the peers without the table service.
fn hand_on(node: &NodeContext, revision: &ConfigRevision) {
    let text = serde_json::to_string(revision).expect("revisions are valid JSON");
    if let (_, Some(logged)) = tail::apply_revision(node, revision.version(), &text) {
        tail::broadcast_revisions(node, vec![logged]);
    }
}

async fn answer_of(
    node: &Arc<NodeContext>,
    outcome: CommitOutcome,
    reading: &ParsedChange,
    token: &str,
) -> ChangeAnswer {
    let against = reading.against;
    match outcome {
        CommitOutcome::Committed(version) => in_force(node, version, token, IN_FORCE_WAIT).await,
        CommitOutcome::Conflict(newest) => {
            // The change that was stored first may be this one, sent under the same token.
            if let Ok(Some(version)) = commit::find(node, token).await {
                return in_force(node, version, token, IN_FORCE_WAIT).await;
            }
            let newest = newest.unwrap_or_else(|| node.follower.newest());
            ChangeAnswer::Conflict { against, newest, token: token.to_owned() }
        }
        CommitOutcome::NotStored(cause) => not_stored(cause, token),
        CommitOutcome::Unknown(cause) => unknown(cause, token),
    }
}

/// Waits for at most `wait` until every member has `version` in force.
///
/// The rows are read after the commit: a node that joined earlier is in them, and one that joins
/// later reads the configuration after its row was written.
async fn in_force(node: &NodeContext, version: u64, token: &str, wait: Duration) -> ChangeAnswer {
    let give_up = node.clock.now() + wait;
    let mut members_read = member::read_rows(node).await.is_ok();
    let mut next_read = node.clock.now() + ROW_POLL;
    loop {
        let (waiting, lapsed) = lagging(node, version);
        let token = token.to_owned();
        if waiting.is_empty() && members_read {
            return ChangeAnswer::InForce { version, token, lapsed };
        }
        let now = node.clock.now();
        if now >= give_up {
            return ChangeAnswer::Stored { version, token, waiting, lapsed, members_read };
        }
        if now >= next_read {
            members_read |= member::read_rows(node).await.is_ok();
            next_read = node.clock.now() + ROW_POLL;
        }
        node.clock.sleep(IN_FORCE_POLL).await;
    }
}

/// Members, and nodes whose rows ran out, that are not known to have `version` in force.
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

fn faults_of(node: &NodeContext, reading: &ParsedChange) -> Vec<ConfigError> {
    let table = node.config.read().expect("config lock").clone();
    references::check(&table, reading)
}

fn effects(table: &ConfigTable, reading: &ParsedChange) -> Vec<ChangeEffect> {
    let present = table.snapshot().entities;
    let effect_of = |change: &ConfigChange| match change {
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
    let effects = reading.changes.iter().map(effect_of);
    effects.map(|(entity, effect)| ChangeEffect { entity, effect }).collect()
}
