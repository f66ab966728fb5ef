//! This node's copy of the store: the desired state and the list of replicas.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::desired::DesiredState;
use berylstep_core::fleet::replica::{ReplicaState, ReplicaTable};

use crate::clock::RuntimeClock;
use crate::gateway::notifier::ChangeNotifier;
use crate::platform::desired::decode_desired;
use crate::platform::entries::decode_entry;

/// Time after trouble with the store for which a missing entry may come back: what the platform
/// promises, and the way of the news.
const TROUBLE_TIME: Duration = Duration::from_millis(2500);

/// Tables of the store that are followed.
const FOLLOWED_TABLES: u32 = 2;

/// Removals that are remembered for nodes that ask for what changed.
const MAX_REMOVALS: usize = 512;

/// What changed in the list of replicas since a version.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChanges {
    /// Whether the list is whole.
    pub complete: bool,
    /// Entries.
    pub entries: Vec<(SharedName, StoredCopy)>,
    /// Removed entries with the versions of their removal.
    pub removed: Vec<(SharedName, u64)>,
}

/// Where news came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsSource {
    /// The store.
    Store,
    /// Another node.
    Peer,
}

/// One row as stored.
#[derive(Clone, Debug)]
pub struct StoredCopy {
    /// Version in the store.
    pub revision: u64,
    /// Content.
    pub value: Vec<u8>,
}

/// The copy.
#[derive(Debug)]
pub struct StoreMirror {
    clock: RuntimeClock,
    desired: RefCell<Option<Arc<DesiredState>>>,
    desired_bytes: RefCell<Vec<u8>>,
    /// Replicas with their health and load.
    pub replicas: RefCell<ReplicaTable>,
    copies: RefCell<HashMap<SharedName, StoredCopy>>,
    removals: RefCell<VecDeque<(SharedName, u64)>>,
    /// Version since which all removals are known.
    removals_since: Cell<u64>,
    replica_revision: Cell<u64>,
    has_replicas: Cell<bool>,
    trouble_at: Cell<Option<Duration>>,
    heard_store_at: Cell<Option<Duration>>,
    following: Cell<u32>,
    /// Rung when something newer was taken in.
    pub news: ChangeNotifier,
}

impl StoreMirror {
    /// An empty copy.
    pub fn new(clock: RuntimeClock) -> Self {
        Self {
            clock,
            desired: RefCell::default(),
            desired_bytes: RefCell::default(),
            replicas: RefCell::default(),
            copies: RefCell::default(),
            removals: RefCell::default(),
            removals_since: Cell::new(0),
            replica_revision: Cell::new(0),
            has_replicas: Cell::new(false),
            trouble_at: Cell::new(None),
            heard_store_at: Cell::new(None),
            following: Cell::new(0),
            news: ChangeNotifier::default(),
        }
    }

    /// Desired state in force.
    pub fn desired(&self) -> Option<Arc<DesiredState>> {
        self.desired.borrow().clone()
    }

    /// Version of the desired state in force, 0 before the first.
    pub fn desired_version(&self) -> u64 {
        self.desired.borrow().as_ref().map_or(0, |desired| desired.version)
    }

    /// Desired state as stored.
    pub fn desired_bytes(&self) -> Vec<u8> {
        self.desired_bytes.borrow().clone()
    }

    /// Whether requests can be routed.
    pub fn is_complete(&self) -> bool {
        self.has_replicas.get() && self.desired.borrow().is_some()
    }

    /// Newest version of an entry that is known.
    pub fn replica_revision(&self) -> u64 {
        self.replica_revision.get()
    }

    /// Entries and removals since `revision`, or the whole list where these are not known.
    pub fn replica_changes(&self, revision: u64) -> ReplicaChanges {
        let complete = revision < self.removals_since.get() || revision == 0;
        let copies = self.copies.borrow();
        let entries = copies.iter().filter(|(_, copy)| complete || copy.revision > revision);
        let entries = entries.map(|(id, copy)| (id.clone(), copy.clone())).collect();
        let removals = self.removals.borrow();
        let removed = removals.iter().filter(|(_, at)| !complete && *at > revision);
        ReplicaChanges { complete, entries, removed: removed.cloned().collect() }
    }

    /// Notes that all changes up to a version are known.
    pub fn note_replica_revision(&self, revision: u64) {
        self.replica_revision.set(self.replica_revision.get().max(revision));
    }

    /// Whether both tables of the store are followed at the moment.
    pub fn is_following_store(&self) -> bool {
        self.following.get() == FOLLOWED_TABLES
    }

    /// Notes that one more table is followed, or one less.
    pub fn note_following(&self, begins: bool) {
        let following = self.following.get();
        let changed = if begins { following + 1 } else { following.saturating_sub(1) };
        self.following.set(changed);
    }

    /// Notes that the store answered.
    pub fn note_answer(&self) {
        self.heard_store_at.set(Some(self.clock.now()));
    }

    /// Time since the store last answered this node.
    pub fn store_age(&self) -> Option<Duration> {
        self.heard_store_at.get().map(|at| self.clock.now().saturating_sub(at))
    }

    /// Whether the store was in trouble a moment ago, so that entries may come back.
    pub fn is_troubled(&self) -> bool {
        let now = self.clock.now();
        self.trouble_at.get().is_some_and(|at| now < at + TROUBLE_TIME)
    }

    /// Notes that the store failed to answer.
    pub fn note_trouble(&self) {
        self.trouble_at.set(Some(self.clock.now()));
    }

    /// Takes in a desired state, unless it is older than the one in force.
    pub fn take_desired(&self, value: Vec<u8>, source: NewsSource) {
        let desired = match decode_desired(&value) {
            Ok(desired) => desired,
            Err(err) => {
                log::error!(
                    "event=desired_state_rejected source={source:?} bytes={} error=\"{err}\" \
                     outcome=kept_version_{}",
                    value.len(),
                    self.desired_version()
                );
                return;
            }
        };
        let previous = self.desired_version();
        if desired.version <= previous {
            return;
        }
        log::info!(
            "event=desired_state_applied version={} previous={previous} source={source:?} routes={}",
            desired.version,
            desired.route_count()
        );
        *self.desired.borrow_mut() = Some(Arc::new(desired));
        *self.desired_bytes.borrow_mut() = value;
        self.news.notify();
    }

    /// Takes in the change of one entry; `None` is a removal.
    pub fn take_replica(&self, id: &str, revision: u64, value: Option<Vec<u8>>) {
        if revision > self.replica_revision.get() {
            self.news.notify();
        }
        self.replica_revision.set(self.replica_revision.get().max(revision));
        let known = self.copies.borrow().get(id).map_or(0, |copy| copy.revision);
        if revision < known {
            return;
        }
        match value {
            Some(value) => self.put_replica(id, revision, value),
            None => self.drop_replica(id, revision),
        }
    }

    /// Takes in all entries as of `revision`.
    ///
    /// An older list is left out: it may name replicas that were removed since.
    pub fn take_replicas(&self, revision: u64, entries: Vec<(String, StoredCopy)>) {
        if self.has_replicas.get() && revision < self.replica_revision.get() {
            return;
        }
        let listed: Vec<&str> = entries.iter().map(|(id, _)| &**id).collect();
        let known: Vec<SharedName> = self.copies.borrow().keys().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(&&***id)) {
            let newer = self.copies.borrow().get(id).is_some_and(|copy| copy.revision > revision);
            if !newer {
                self.drop_replica(id, revision);
            }
        }
        for (id, copy) in entries {
            self.take_replica(&id, copy.revision, Some(copy.value));
        }
        self.replica_revision.set(self.replica_revision.get().max(revision));
        self.removals_since.set(revision);
        self.has_replicas.set(true);
    }

    /// Forgets replicas whose entries went missing and did not come back.
    pub fn expire(&self) {
        for id in self.replicas.borrow_mut().expire(self.clock.now()) {
            log::info!("event=replica_removed replica={id} reason=entry_did_not_return");
        }
    }

    fn put_replica(&self, id: &str, revision: u64, value: Vec<u8>) {
        let decoded = decode_entry(id, &value);
        self.copies.borrow_mut().insert(id.into(), StoredCopy { revision, value });
        match decoded {
            Ok(entry) => {
                let (state, service, zone) =
                    (entry.state, entry.service.clone(), entry.zone.clone());
                let spot = entry.spot;
                let now = self.clock.now();
                if self.replicas.borrow_mut().put(entry, revision, now) {
                    log::info!(
                        "event=replica_updated replica={id} state={state:?} service={service} \
                         zone={zone} spot={spot} revision={revision}"
                    );
                }
            }
            Err(err) => {
                log::warn!(
                    "event=replica_entry_rejected replica={id} revision={revision} error=\"{err}\" \
                     outcome=not_used"
                );
                let now = self.clock.now();
                self.replicas.borrow_mut().remove(id, now);
            }
        }
    }

    fn note_removal(&self, id: &str, revision: u64) {
        let mut removals = self.removals.borrow_mut();
        removals.push_back((id.into(), revision));
        if removals.len() > MAX_REMOVALS {
            if let Some((_, dropped)) = removals.pop_front() {
                self.removals_since.set(self.removals_since.get().max(dropped));
            }
        }
    }

    fn drop_replica(&self, id: &str, revision: u64) {
        self.copies.borrow_mut().remove(id);
        self.note_removal(id, revision);
        let now = self.clock.now();
        let troubled = self.is_troubled();
        let mut replicas = self.replicas.borrow_mut();
        let is_ready = replicas.get(id).is_some_and(|row| row.entry.state == ReplicaState::Ready);
        if troubled && is_ready {
            replicas.lapse(id, now);
            log::info!(
                "event=replica_lapsed replica={id} revision={revision} reason=store_trouble"
            );
        } else if replicas.remove(id, now) {
            log::info!(
                "event=replica_removed replica={id} revision={revision} reason=entry_removed"
            );
        }
    }
}
