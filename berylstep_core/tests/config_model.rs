//! Model test of the configuration on a node, checked against a reference that replays the log.
//!
//! Revisions arrive from the store and from peers: late, twice, with gaps, between snapshots and
//! across restarts.

use std::time::Duration;

use berylstep_core::config::history::LoggedRevision;
use berylstep_core::config::{
    ApplyOutcome, ConfigChange, ConfigEntity, ConfigLag, ConfigRevision, ConfigTable, KeyEntity,
    OrganisationEntity, OrganisationLimits, RevisionHistory,
};
use berylstep_core::key::KeyHash;
use proptest::prelude::*;

const ORGANISATIONS: u8 = 4;
const KEYS: u8 = 4;

/// An event at the node.
#[derive(Clone, Debug)]
enum NodeEvent {
    /// A peer or the store delivers the revision with this index, in any order and any number of
    /// times.
    Deliver(usize),
    /// The node loads a snapshot that was taken after this many revisions.
    Snapshot(usize),
    /// The node restarts without any state.
    Restart,
    /// A peer that has this many revisions requests those that follow.
    Request(usize),
}

fn organisation(number: u8, concurrency: u8) -> ConfigChange {
    let limits = OrganisationLimits { concurrency: Some(concurrency.into()), ..Default::default() };
    let name = format!("org-{number}").into();
    ConfigChange::Put(ConfigEntity::Organisation(OrganisationEntity { name, limits }))
}

fn key_hash(number: u8) -> KeyHash {
    KeyHash::of(b"secret", &format!("key-{number}"))
}

fn change() -> impl Strategy<Value = ConfigChange> {
    let key = (0..KEYS, 0..ORGANISATIONS).prop_map(|(key, owner)| {
        let hash = key_hash(key).to_hex().into();
        let organisation = format!("org-{owner}").into();
        ConfigChange::Put(ConfigEntity::Key(KeyEntity { hash, organisation }))
    });
    let withdraw = (0..KEYS)
        .prop_map(|key| ConfigChange::Remove(format!("key/{}", key_hash(key).to_hex()).into()));
    prop_oneof![
        (0..ORGANISATIONS, 1..9u8).prop_map(|(number, limit)| organisation(number, limit)),
        key,
        withdraw,
    ]
}

/// Generates a log of revisions with one to three changes each.
fn log() -> impl Strategy<Value = Vec<ConfigRevision>> {
    let revisions = prop::collection::vec(prop::collection::vec(change(), 1..4), 1..12);
    revisions.prop_map(|revisions| {
        let mut after = 0;
        let number_revision = |changes: Vec<ConfigChange>| {
            let revision = ConfigRevision { after, changes };
            after = revision.version();
            revision
        };
        revisions.into_iter().map(number_revision).collect()
    })
}

fn event() -> impl Strategy<Value = NodeEvent> {
    prop_oneof![
        8 => (0..12usize).prop_map(NodeEvent::Deliver),
        1 => (0..13usize).prop_map(NodeEvent::Snapshot),
        1 => Just(NodeEvent::Restart),
        2 => (0..13usize).prop_map(NodeEvent::Request),
    ]
}

/// Reference: the configuration after the first `count` revisions, replayed from the start.
fn replay(log: &[ConfigRevision], count: usize) -> Vec<ConfigEntity> {
    let mut entities: Vec<ConfigEntity> = Vec::new();
    for change in log[..count].iter().flat_map(|revision| &revision.changes) {
        let row_key = match change {
            ConfigChange::Put(entity) => entity.row_key(),
            ConfigChange::Remove(row_key) => row_key.to_string(),
        };
        entities.retain(|entity| entity.row_key() != row_key);
        if let ConfigChange::Put(entity) = change {
            entities.push(entity.clone());
        }
    }
    entities.sort_by_key(|entity| (entity.rank(), entity.row_key()));
    entities
}

fn count_at(log: &[ConfigRevision], version: u64) -> usize {
    log.iter().take_while(|revision| revision.version() <= version).count()
}

#[derive(Default)]
struct NodeModel {
    table: ConfigTable,
    history: RevisionHistory,
}

impl NodeModel {
    fn deliver(&mut self, revision: &ConfigRevision) -> ApplyOutcome {
        let outcome = self.table.apply_revision(revision);
        if outcome == ApplyOutcome::Applied {
            let text = serde_json::to_string(revision).unwrap().into();
            let (after, version) = (revision.after, revision.version());
            self.history.push(LoggedRevision { after, version, text });
        }
        outcome
    }

    fn load(&mut self, table: ConfigTable) {
        if table.version() > self.table.version() {
            self.table = table;
            self.history.clear();
        }
    }
}

fn table_after(log: &[ConfigRevision], count: usize) -> ConfigTable {
    let mut table = ConfigTable::default();
    for revision in &log[..count] {
        assert_eq!(table.apply_revision(revision), ApplyOutcome::Applied);
    }
    table
}

proptest! {
    #[test]
    fn a_node_holds_a_prefix_of_the_log_and_its_version_never_decreases(
        log in log(),
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut node = NodeModel::default();
        for event in events {
            let before = node.table.version();
            let mut restarted = false;
            match event {
                NodeEvent::Deliver(index) if index < log.len() => {
                    let outcome = node.deliver(&log[index]);
                    let expected = match log[index].after {
                        after if after == before => ApplyOutcome::Applied,
                        after if after < before => ApplyOutcome::Stale,
                        _ => ApplyOutcome::Gap,
                    };
                    prop_assert_eq!(outcome, expected);
                }
                NodeEvent::Snapshot(count) if count <= log.len() => {
                    let snapshot = table_after(&log, count).snapshot();
                    let text = serde_json::to_string(&snapshot).unwrap();
                    let read = serde_json::from_str(&text).unwrap();
                    node.load(ConfigTable::from_snapshot(&read));
                }
                NodeEvent::Restart => {
                    node = NodeModel::default();
                    restarted = true;
                }
                NodeEvent::Request(count) if count <= log.len() => {
                    check_request(&node, &log, count)?;
                }
                _ => {}
            }
            prop_assert!(restarted || node.table.version() >= before);
            let count = count_at(&log, node.table.version());
            prop_assert_eq!(node.table.snapshot().entities, replay(&log, count));
        }
        for revision in &log {
            node.deliver(revision);
        }
        prop_assert_eq!(node.table.snapshot().entities, replay(&log, log.len()));
        check_keys(&node.table)?;
    }

    #[test]
    fn a_lag_is_overdue_only_after_the_limit(
        steps in prop::collection::vec((0..400u64, 0..5u64, 0..5u64), 1..40),
    ) {
        let mut lag = ConfigLag::default();
        let (mut now, mut own, mut newest) = (0, 0, 0);
        let mut behind_since = None;
        for (wait, ahead, caught) in steps {
            now += wait;
            newest = newest.max(own + ahead);
            lag.record_newest(Duration::from_millis(now), own + ahead, own);
            if own < newest {
                behind_since.get_or_insert(now);
            }
            own = newest.min(own + caught);
            lag.record_own(Duration::from_millis(now), own);
            if own == newest {
                behind_since = None;
            }
            let overdue = behind_since.is_some_and(|since| now + 1_000 - since > 1_000);
            prop_assert_eq!(lag.is_behind(), own < newest);
            prop_assert_eq!(lag.is_overdue(Duration::from_millis(now + 1_000)), overdue);
        }
    }
}

/// Checks that a node returns the revisions after the requested version without a gap, byte for
/// byte as logged.
fn check_request(
    node: &NodeModel,
    log: &[ConfigRevision],
    count: usize,
) -> Result<(), TestCaseError> {
    let version = log[..count].last().map_or(0, ConfigRevision::version);
    let returned = node.history.after(version, usize::MAX);
    for (revision, expected) in returned.iter().zip(&log[count..]) {
        prop_assert_eq!(&*revision.text, serde_json::to_string(expected).unwrap());
        prop_assert_eq!(revision.version, expected.version());
    }
    if let Some(last) = returned.last() {
        prop_assert_eq!(last.version, node.table.version());
    }
    Ok(())
}

/// Checks that each key resolves to the organisation that owns it.
fn check_keys(table: &ConfigTable) -> Result<(), TestCaseError> {
    for number in 0..KEYS {
        let hash = key_hash(number);
        let listed = table.keys().find(|(known, _)| **known == hash).map(|(_, owner)| owner);
        prop_assert_eq!(table.organisation_of(&hash), listed);
    }
    Ok(())
}
