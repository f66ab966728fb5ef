//! Tests of the list of replicas over restores of the store: what is listed again, and for how long the
//! removal of a replica is remembered.

use std::time::Duration;

use berylstep::clock::{PausedClock, RuntimeClock};
use berylstep::gateway::mirror::{StoreMirror, StoredCopy};
use berylstep_core::fleet::position::StorePosition;
use serde_json::json;

/// Interval of the heartbeats that replicas send to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the platform has removed the entries of replicas that send no heartbeats.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3 * 1000 + 2500);

/// A change of the list as a node reads it. Numbers are revisions, except for starts of processes.
enum ListStep {
    /// The process that started at this time writes its entry.
    Put(u64, u64),
    Remove(u64),
    /// The store comes back from an older copy that lists the process that started at this time.
    Restore(u64, u64),
    /// The whole list is read, and the replica isn't in it.
    ReadWithout(u64),
    Wait(Duration),
    StoreFailure,
}

struct RestoreCase {
    name: &'static str,
    steps: &'static [ListStep],
    /// Whether the replica is used afterwards.
    is_listed: bool,
}

const BEFORE_TIMEOUT: Duration = HEARTBEAT_TIMEOUT.saturating_sub(Duration::from_millis(1));

const CASES: &[RestoreCase] = &[
    RestoreCase {
        name: "restarted in place before the restore",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::Remove(2),
            ListStep::Put(3, 20),
            ListStep::Restore(3, 20),
        ],
        is_listed: true,
    },
    RestoreCase {
        name: "removed for silence and back as the same process",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::Remove(2),
            ListStep::Put(3, 10),
            ListStep::Restore(3, 10),
        ],
        is_listed: true,
    },
    RestoreCase {
        name: "lapsed while the store was down",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::StoreFailure,
            ListStep::Remove(2),
            ListStep::Restore(1, 10),
        ],
        is_listed: true,
    },
    RestoreCase {
        name: "removed, and started again since the copy",
        steps: &[ListStep::Put(1, 10), ListStep::Remove(2), ListStep::Restore(1, 20)],
        is_listed: true,
    },
    RestoreCase {
        name: "removed before the restore",
        steps: &[ListStep::Put(1, 10), ListStep::Remove(2), ListStep::Restore(1, 10)],
        is_listed: false,
    },
    RestoreCase {
        name: "removed before two restores",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::Remove(2),
            ListStep::Restore(1, 10),
            ListStep::Restore(1, 10),
        ],
        is_listed: false,
    },
    RestoreCase {
        name: "listed again for less than the heartbeat timeout",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::Remove(2),
            ListStep::Restore(1, 10),
            ListStep::Wait(BEFORE_TIMEOUT),
        ],
        is_listed: false,
    },
    RestoreCase {
        name: "listed again for the heartbeat timeout",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::Remove(2),
            ListStep::Restore(1, 10),
            ListStep::Wait(HEARTBEAT_TIMEOUT),
        ],
        is_listed: true,
    },
    RestoreCase {
        name: "listed again, written since",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::Remove(2),
            ListStep::Restore(1, 10),
            ListStep::Put(2, 10),
        ],
        is_listed: true,
    },
    RestoreCase {
        name: "listed again, and missing when the list is read once more",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::Remove(2),
            ListStep::Restore(1, 10),
            ListStep::ReadWithout(3),
            ListStep::Wait(HEARTBEAT_TIMEOUT),
        ],
        is_listed: false,
    },
    RestoreCase {
        name: "listed again, removed since",
        steps: &[
            ListStep::Put(1, 10),
            ListStep::Remove(2),
            ListStep::Restore(1, 10),
            ListStep::Remove(2),
            ListStep::Wait(HEARTBEAT_TIMEOUT),
        ],
        is_listed: false,
    },
];

fn entry(born: u64) -> Vec<u8> {
    let entry = json!({"Service": "model", "Address": "127.0.0.1:9", "Zone": "a", "Version": "v",
                       "Slots": 4, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": born});
    entry.to_string().into_bytes()
}

/// A node's copy of the store, read from the era 1 on.
struct MirrorTrial {
    mirror: StoreMirror,
    paused: std::sync::Arc<PausedClock>,
    era: u64,
}

impl MirrorTrial {
    fn new() -> Self {
        let (clock, paused) = RuntimeClock::paused();
        paused.advance(Duration::from_secs(60));
        let mirror = StoreMirror::new(clock, HEARTBEAT_INTERVAL);
        mirror.apply_replica_snapshot(StorePosition::new(1, 1), Vec::new());
        Self { mirror, paused, era: 1 }
    }

    fn apply(&mut self, step: &ListStep) {
        match step {
            ListStep::Put(revision, born) => {
                self.mirror.apply_replica_change("i-1", *revision, Some(entry(*born)));
            }
            ListStep::Remove(revision) => self.mirror.apply_replica_change("i-1", *revision, None),
            ListStep::Restore(revision, born) => {
                self.era += 1;
                self.mirror.enter_era(self.era);
                let copy = StoredCopy { revision: *revision, value: entry(*born) };
                let position = StorePosition::new(self.era, *revision);
                self.mirror.apply_replica_snapshot(position, vec![("i-1".to_owned(), copy)]);
            }
            ListStep::ReadWithout(revision) => {
                let position = StorePosition::new(self.era, *revision);
                self.mirror.apply_replica_snapshot(position, Vec::new());
            }
            ListStep::Wait(time) => self.paused.advance(*time),
            ListStep::StoreFailure => self.mirror.record_store_failure(),
        }
        self.mirror.expire();
    }

    fn is_listed(&self) -> bool {
        let replicas = self.mirror.replicas.borrow();
        let now = self.paused.now();
        replicas.get("i-1").is_some_and(|row| row.is_ready() && row.is_healthy(now))
    }
}

// Guards against replicas that stay unused for good after a restore of the store.
#[test]
fn a_restore_brings_back_live_replicas_and_only_those() {
    for case in CASES {
        let mut trial = MirrorTrial::new();
        case.steps.iter().for_each(|step| trial.apply(step));
        assert_eq!(trial.is_listed(), case.is_listed, "{}", case.name);
    }
}

// Guards against a node that doesn't hear of an entry because the node that read it withholds it.
#[test]
fn withheld_entries_are_handed_on_and_withheld_by_peers_too() {
    let mut reader = MirrorTrial::new();
    for step in [ListStep::Put(1, 10), ListStep::Remove(2), ListStep::Restore(1, 10)] {
        reader.apply(&step);
    }
    let mut peer = MirrorTrial::new();
    peer.mirror.apply_replica_snapshot(StorePosition::new(2, 1), Vec::new());
    peer.mirror.withhold_entries(reader.mirror.withheld_entries(usize::MAX));
    peer.apply(&ListStep::Wait(BEFORE_TIMEOUT));
    assert!(!peer.is_listed());
    peer.apply(&ListStep::Wait(Duration::from_millis(1)));
    assert!(peer.is_listed());
}

// Guards against a list in several pages whose newest entry stands for all changes up to its revision: nodes that are
// told the list then never learn of the others.
#[test]
fn a_list_with_newer_entries_does_not_pass_its_own_position() {
    let (clock, _) = RuntimeClock::paused();
    let mirror = StoreMirror::new(clock, HEARTBEAT_INTERVAL);
    let copy = |revision, born| StoredCopy { revision, value: entry(born) };
    // The first page is as of revision 5; "i-2" has changed before the second one was read, and so has "i-1".
    let list = vec![("i-1".to_owned(), copy(3, 1)), ("i-2".to_owned(), copy(7, 1))];
    mirror.apply_replica_snapshot(StorePosition::new(1, 5), list);
    assert_eq!(mirror.position(), StorePosition::new(1, 5));
    mirror.apply_replica_change("i-1", 6, None);
    let told = mirror.replica_changes(5);
    let entries: Vec<_> = told.entries.iter().map(|(id, copy)| (&**id, copy.revision)).collect();
    assert_eq!(entries, [("i-2", 7)]);
    assert_eq!(told.removed, [("i-1".into(), 6)]);
}
