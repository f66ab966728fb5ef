//! Local copy of the store: the desired state and the list of replicas.

pub mod pages;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, HashSet, SharedName};
use berylstep_core::fleet::desired::DesiredState;
use berylstep_core::fleet::document::PiecedDocument;
use berylstep_core::fleet::evacuation::EvacuationRecord;
use berylstep_core::fleet::position::StorePosition;
use berylstep_core::fleet::replica::{LeavingMark, ReplicaEntry, ReplicaState, ReplicaTable};
use berylstep_wire::{LeavingReplica, ReplicaCopy, ReplicaRemoval};

use crate::clock::RuntimeClock;
use crate::gateway::desired_copy::{DesiredCopy, DesiredOutcome};
use crate::gateway::notifier::ChangeNotifier;
use crate::platform::entries::{decode_cold_entry, decode_entry};

/// Time after a store failure for which a missing entry may return: the bound that the platform
/// guarantees, plus the propagation delay.
const STORE_FAILURE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Number of store tables that are followed.
const FOLLOWED_TABLE_COUNT: u32 = 2;

/// Time for which this node tells its peers that a replica is shutting down, so that the notice
/// reaches all nodes although pulses may be lost.
const LEAVING_NOTICE_TIME: Duration = Duration::from_secs(3);

/// Maximum number of replicas that a message names as shutting down.
const MAX_LEAVING_NOTICES: usize = 512;

/// Maximum number of removals retained for incremental responses to peers.
const MAX_REMOVALS: usize = 512;

/// Time for which the removal of an entry is remembered; copies from which the store is restored are
/// younger.
const REMOVAL_RETENTION: Duration = Duration::from_secs(120);

/// Number of missed heartbeats after which the store removes an entry.
const MISSED_HEARTBEATS: u32 = 3;

/// Changes in the list of replicas since a revision.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChanges {
    /// Whether `entries` is the whole list rather than the changes.
    pub complete: bool,
    /// Current entries, with the identifiers of their replicas.
    pub entries: Vec<(SharedName, StoredCopy)>,
    /// Identifiers of removed replicas, with the revisions of their removal.
    pub removed: Vec<(SharedName, u64)>,
}

impl ReplicaChanges {
    /// Returns the changes as messages between nodes.
    pub fn into_messages(self) -> (Vec<ReplicaCopy>, Vec<ReplicaRemoval>) {
        let replicas = self.entries.into_iter().map(|(id, copy)| ReplicaCopy {
            id: id.to_string(),
            revision: copy.revision,
            value: copy.value,
        });
        let removed = self.removed.into_iter();
        let removed = removed.map(|(id, revision)| ReplicaRemoval { id: id.to_string(), revision });
        (replicas.collect(), removed.collect())
    }
}

/// Origin of a state update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateSource {
    /// Read from the store.
    Store,
    /// Received from a peer.
    Peer,
}

/// Value of one stored row.
#[derive(Clone, Debug)]
pub struct StoredCopy {
    /// Revision of the row in the store.
    pub revision: u64,
    /// Encoded content.
    pub value: Vec<u8>,
}

/// Process of a replica whose entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RemovedProcess {
    born: u64,
    address: SocketAddr,
    removed_at: Duration,
}

impl RemovedProcess {
    /// Returns whether this process published `entry`.
    fn published(&self, entry: &ReplicaEntry) -> bool {
        self.born == entry.born && self.address == entry.address
    }
}

/// Local copy of the store, with the freshness of each part.
#[derive(Debug)]
pub struct StoreMirror {
    clock: RuntimeClock,
    /// Copy of the desired state, for other nodes.
    pub desired: DesiredCopy,
    /// Replicas with their health and load, as used for routing.
    pub replicas: RefCell<ReplicaTable>,
    /// Entries in the order of their identifiers, in which they are handed on.
    copies: RefCell<BTreeMap<SharedName, StoredCopy>>,
    removals: RefCell<VecDeque<(SharedName, u64)>>,
    /// Revision after which all removals are retained.
    removals_since: Cell<u64>,
    /// Newest known position of the list of replicas.
    position: Cell<StorePosition>,
    /// Processes of replicas whose entries were removed and have not returned.
    removed: RefCell<HashMap<SharedName, RemovedProcess>>,
    /// Entries of removed processes that a restored store lists again.
    withheld: RefCell<HashMap<SharedName, StoredCopy>>,
    /// Time until which entries are withheld after a restore of the store.
    withheld_until: Cell<Duration>,
    /// Time for which they are withheld. The store removes an entry whose replica sends no heartbeats,
    /// so those that remain belong to live replicas.
    withholding_time: Duration,
    /// Evacuated zones; [`crate::gateway::evacuation`] changes them.
    pub(super) evacuation: RefCell<EvacuationRecord>,
    /// Whether a zone was evacuated while this node ran, of which others may have to be told.
    pub(super) has_seen_evacuation: Cell<bool>,
    has_replicas: Cell<bool>,
    store_failed_at: Cell<Option<Duration>>,
    store_responded_at: Cell<Option<Duration>>,
    following: Cell<u32>,
    /// Replicas that have said that they are shutting down, with the time at which this node
    /// learnt of it.
    leaving_notices: RefCell<Vec<(Duration, LeavingReplica)>>,
    /// Notified when newer state has been applied.
    pub changed: ChangeNotifier,
}

impl StoreMirror {
    /// Creates an empty copy.
    ///
    /// Replicas send a heartbeat to the store once per `heartbeat_interval`.
    pub fn new(clock: RuntimeClock, heartbeat_interval: Duration) -> Self {
        Self {
            clock,
            desired: DesiredCopy::default(),
            replicas: RefCell::default(),
            copies: RefCell::default(),
            removals: RefCell::default(),
            removals_since: Cell::new(0),
            position: Cell::default(),
            removed: RefCell::default(),
            withheld: RefCell::default(),
            withheld_until: Cell::default(),
            withholding_time: heartbeat_interval * MISSED_HEARTBEATS + STORE_FAILURE_TIMEOUT,
            evacuation: RefCell::default(),
            has_seen_evacuation: Cell::new(false),
            has_replicas: Cell::new(false),
            store_failed_at: Cell::new(None),
            store_responded_at: Cell::new(None),
            following: Cell::new(0),
            leaving_notices: RefCell::default(),
            changed: ChangeNotifier::default(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the desired state in force; `None` before the first.
    pub fn desired(&self) -> Option<Arc<DesiredState>> {
        self.desired.state()
    }

    /// Returns the version of the desired state in force; 0 before the first.
    pub fn desired_version(&self) -> u64 {
        self.desired.version()
    }

    /// Returns whether both the desired state and the replicas are known, so that requests can be
    /// routed.
    pub fn is_complete(&self) -> bool {
        self.has_replicas.get() && self.desired_version() > 0
    }

    /// Returns the newest known revision of the list of replicas.
    pub fn replica_revision(&self) -> u64 {
        self.position.get().revision
    }

    /// Returns the newest known position of the list of replicas in the history of the store.
    pub fn position(&self) -> StorePosition {
        self.position.get()
    }

    /// Returns the newest known era of the store.
    pub fn era(&self) -> u64 {
        self.position.get().era
    }

    /// Takes note that the store has been restored from an older copy, if `era` is a newer one.
    ///
    /// What is known stays in use until the list is read anew. A process known as leaving stays so, although
    /// the older copy may show it as ready. Entries of removed processes are withheld until they are
    /// written again or have outlasted the heartbeat timeout.
    pub fn enter_era(&self, era: u64) {
        let previous = self.position.get();
        if era <= previous.era {
            return;
        }
        self.position.set(StorePosition::new(era, 0));
        let first_contact = previous == StorePosition::default();
        if !first_contact {
            log::warn!("event=store_restored era={era} previous={}", previous.era);
            self.removals.borrow_mut().clear();
            self.withheld.borrow_mut().clear();
            self.withheld_until.set(self.clock.now() + self.withholding_time);
            self.replicas.borrow_mut().begin_era(self.clock.now());
            self.copies.borrow_mut().values_mut().for_each(|copy| copy.revision = 0);
            self.record_store_failure();
        }
        self.removals_since.set(0);
        self.changed.notify();
    }

    /// Returns the entries and removals since `revision`, or the whole list if the removals are no
    /// longer retained.
    pub fn replica_changes(&self, revision: u64) -> ReplicaChanges {
        let complete = revision < self.removals_since.get() || revision == 0;
        let copies = self.copies.borrow();
        let entries = copies.iter().filter(|(_, copy)| complete || copy.revision > revision);
        let entries = entries.map(|(id, copy)| (id.clone(), copy.clone())).collect();
        let removals = self.removals.borrow();
        let removed = removals.iter().filter(|(_, at)| !complete && *at > revision);
        ReplicaChanges { complete, entries, removed: removed.cloned().collect() }
    }

    /// Records that all changes up to `revision` are known.
    pub fn advance_replica_revision(&self, revision: u64) {
        let known = self.position.get();
        self.position.set(StorePosition { revision: known.revision.max(revision), ..known });
    }

    /// Returns whether both tables of the store are currently followed.
    pub fn is_following_store(&self) -> bool {
        self.following.get() == FOLLOWED_TABLE_COUNT
    }

    /// Records that one more table is followed, or one fewer.
    pub fn record_following(&self, begins: bool) {
        let following = self.following.get();
        let changed = if begins { following + 1 } else { following.saturating_sub(1) };
        self.following.set(changed);
    }

    /// Records that the store has responded.
    pub fn record_store_response(&self) {
        self.store_responded_at.set(Some(self.clock.now()));
    }

    /// Returns the time since the store last responded to this node; `None` before the first
    /// response.
    pub fn store_age(&self) -> Option<Duration> {
        self.store_responded_at.get().map(|at| self.clock.now().saturating_sub(at))
    }

    /// Returns whether the store failed recently, so that missing entries may return.
    pub fn has_store_failed_recently(&self) -> bool {
        let now = self.clock.now();
        self.store_failed_at.get().is_some_and(|at| now < at + STORE_FAILURE_TIMEOUT)
    }

    /// Records that the store failed to respond.
    pub fn record_store_failure(&self) {
        self.store_failed_at.set(Some(self.clock.now()));
    }

    /// Applies an encoded desired state, unless it is malformed or not newer than the one in force.
    pub fn apply_desired(&self, value: Vec<u8>, source: StateSource) -> DesiredOutcome {
        let outcome = self.desired.apply_content(value, source);
        self.notify_of(outcome);
        outcome
    }

    /// Applies a desired state that was assembled from pieces, like [`Self::apply_desired`].
    pub fn apply_document(&self, document: PiecedDocument) -> DesiredOutcome {
        let outcome = self.desired.apply_pieces(document);
        self.notify_of(outcome);
        outcome
    }

    fn notify_of(&self, outcome: DesiredOutcome) {
        if outcome == DesiredOutcome::Applied {
            self.changed.notify();
        }
    }

    /// Applies a change of one entry; the value `None` removes it.
    pub fn apply_replica_change(&self, id: &str, revision: u64, value: Option<Vec<u8>>) {
        if revision > self.replica_revision() {
            self.changed.notify();
        }
        self.advance_replica_revision(revision);
        self.change_entry(id, revision, value);
    }

    fn change_entry(&self, id: &str, revision: u64, value: Option<Vec<u8>>) {
        self.withheld.borrow_mut().remove(id);
        let known = self.copies.borrow().get(id).map_or(0, |copy| copy.revision);
        if revision < known {
            return;
        }
        match value {
            Some(value) => self.put_replica(id, revision, value),
            None => self.remove_replica(id, revision),
        }
    }

    /// Replaces the list by all entries as of `position`. Some may be newer, where the list was read in several pages;
    /// other changes since `position` are still to come, so that it isn't passed.
    ///
    /// A list older than the known one is ignored, because it may name replicas removed since.
    pub fn apply_replica_snapshot(
        &self,
        position: StorePosition,
        mut entries: Vec<(String, StoredCopy)>,
    ) {
        self.enter_era(position.era);
        if self.has_replicas.get() && position < self.position.get() {
            return;
        }
        let revision = position.revision;
        self.withhold_removed(&mut entries);
        let listed: HashSet<&str> = entries.iter().map(|(id, _)| &**id).collect();
        let known: Vec<SharedName> = self.copies.borrow().keys().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(&***id)) {
            let newer = self.copies.borrow().get(id).is_some_and(|copy| copy.revision > revision);
            if !newer {
                self.remove_replica(id, revision);
            }
        }
        for (id, copy) in entries {
            self.change_entry(&id, copy.revision, Some(copy.value));
        }
        if revision > self.replica_revision() {
            self.changed.notify();
        }
        self.advance_replica_revision(revision);
        self.removals_since.set(revision);
        self.has_replicas.set(true);
    }

    /// Records that a replica has said in a response that it is shutting down.
    pub fn record_replica_leaving(&self, id: &str) {
        let mark = self.replicas.borrow_mut().record_leaving(id, self.clock.now());
        self.announce_leaving(mark, "response");
    }

    /// Applies a peer's notice that a replica is shutting down.
    pub fn apply_leaving_notice(&self, notice: &LeavingReplica) {
        let mut replicas = self.replicas.borrow_mut();
        let mark = replicas.apply_leaving_notice(notice.replica, notice.born, self.clock.now());
        drop(replicas);
        self.announce_leaving(mark, "peer");
    }

    /// Returns all replicas known to be shutting down, for a peer that has just started.
    pub fn all_leaving(&self) -> Vec<LeavingReplica> {
        let replicas = self.replicas.borrow();
        let leaving = replicas.leaving_replicas().take(MAX_LEAVING_NOTICES);
        leaving.map(|(replica, born)| LeavingReplica { replica, born }).collect()
    }

    /// Returns the replicas that have lately been found to shut down, for peers that may not have
    /// heard of it.
    pub fn leaving_notices(&self) -> Vec<LeavingReplica> {
        let now = self.clock.now();
        let mut notices = self.leaving_notices.borrow_mut();
        notices.retain(|(noticed, _)| now.saturating_sub(*noticed) < LEAVING_NOTICE_TIME);
        notices.iter().map(|(_, notice)| *notice).collect()
    }

    fn announce_leaving(&self, mark: Option<LeavingMark>, source: &str) {
        let Some(mark) = mark else { return };
        log::info!("event=replica_leaving replica={} source={source}", mark.replica);
        let hash = self.replicas.borrow().get(&mark.replica).map_or(0, |row| row.hash);
        let notice = LeavingReplica { replica: hash, born: mark.born };
        self.leaving_notices.borrow_mut().push((self.clock.now(), notice));
        self.changed.notify();
    }

    /// Removes replicas whose entries went missing and have not returned in time, and admits those whose
    /// entries have outlasted a restore of the store.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut removed = self.removed.borrow_mut();
        removed.retain(|_, process| now.saturating_sub(process.removed_at) < REMOVAL_RETENTION);
        for row in self.replicas.borrow_mut().expire(now) {
            log::info!("event=replica_removed replica={} reason=entry_did_not_return", row.id);
            removed.insert(row.id.clone(), removed_process(&row, now));
        }
        drop(removed);
        if now < self.withheld_until.get() {
            return;
        }
        for (id, copy) in self.withheld.take() {
            log::info!("event=replica_readmitted replica={id} revision={}", copy.revision);
            self.put_replica(&id, copy.revision, copy.value);
            self.changed.notify();
        }
    }

    /// Returns the withheld entries, of about `max_bytes` bytes at most, for peers that may not know of their removal.
    /// Others are known there with the next heartbeats of their replicas.
    pub fn withheld_entries(&self, max_bytes: usize) -> Vec<ReplicaCopy> {
        let withheld = self.withheld.borrow();
        let mut bytes = 0;
        let fitting = withheld.iter().take_while(|(id, copy)| {
            bytes += id.len() + copy.value.len();
            bytes <= max_bytes
        });
        let messages = fitting.map(|(id, copy)| ReplicaCopy {
            id: id.to_string(),
            revision: copy.revision,
            value: copy.value.clone(),
        });
        messages.collect()
    }

    /// Withholds entries that a peer withholds, unless they are in use here.
    pub fn withhold_entries(&self, entries: Vec<ReplicaCopy>) {
        let now = self.clock.now();
        if !entries.is_empty() && self.withheld_until.get() <= now {
            self.withheld_until.set(now + self.withholding_time);
        }
        for ReplicaCopy { id, revision, value } in entries {
            if !self.copies.borrow().contains_key(&*id) {
                let copy = StoredCopy { revision, value };
                self.withheld.borrow_mut().entry(id.into()).or_insert(copy);
            }
        }
    }

    /// Takes the entries of removed processes out of a list that was read after a restore of the store. Those
    /// that were withheld before and aren't in the list are forgotten.
    fn withhold_removed(&self, entries: &mut Vec<(String, StoredCopy)>) {
        self.withheld.borrow_mut().clear();
        if self.clock.now() >= self.withheld_until.get() {
            return;
        }
        let removed = self.removed.borrow();
        let mut withheld = self.withheld.borrow_mut();
        entries.retain(|(id, copy)| {
            let Some(process) = removed.get(&**id) else { return true };
            if !decode_entry(id, &copy.value).is_ok_and(|entry| process.published(&entry)) {
                return true;
            }
            log::info!("event=replica_withheld replica={id} revision={}", copy.revision);
            withheld.insert((&**id).into(), copy.clone());
            false
        });
    }

    fn put_replica(&self, id: &str, revision: u64, value: Vec<u8>) {
        let decoded = decode_cold_entry(id, &value);
        self.removed.borrow_mut().remove(id);
        self.copies.borrow_mut().insert(id.into(), StoredCopy { revision, value });
        match decoded {
            Ok((entry, cold_remaining)) => {
                let (state, service, zone) =
                    (entry.state, entry.service.clone(), entry.zone.clone());
                let (spot, version) = (entry.spot, entry.version.clone());
                let now = self.clock.now();
                let mut replicas = self.replicas.borrow_mut();
                let changed = replicas.put(entry, revision, now);
                replicas.apply_cold_time(id, cold_remaining, revision, now);
                if changed {
                    log::info!(
                        "event=replica_updated replica={id} state={state:?} service={service} \
                         zone={zone} version={version} spot={spot} revision={revision}"
                    );
                }
                if let Some(remaining) = cold_remaining.filter(|remaining| !remaining.is_zero()) {
                    log::info!(
                        "event=replica_cold replica={id} remaining_ms={} revision={revision}",
                        remaining.as_millis()
                    );
                }
            }
            Err(err) => {
                log::warn!(
                    "event=replica_entry_rejected replica={} revision={revision} error=\"{err}\" \
                     outcome=not_used",
                    id.escape_debug()
                );
                let now = self.clock.now();
                self.replicas.borrow_mut().remove(id, now);
            }
        }
    }

    fn record_removal(&self, id: &str, revision: u64) {
        let mut removals = self.removals.borrow_mut();
        removals.push_back((id.into(), revision));
        if removals.len() > MAX_REMOVALS {
            if let Some((_, dropped)) = removals.pop_front() {
                self.removals_since.set(self.removals_since.get().max(dropped));
            }
        }
    }

    fn remove_replica(&self, id: &str, revision: u64) {
        self.copies.borrow_mut().remove(id);
        self.record_removal(id, revision);
        let now = self.clock.now();
        let has_failed = self.has_store_failed_recently();
        let mut replicas = self.replicas.borrow_mut();
        let entry = replicas.get(id).map(|row| row.entry.clone());
        let is_ready = entry.as_ref().is_some_and(|entry| entry.state == ReplicaState::Ready);
        if has_failed && is_ready {
            replicas.lapse(id, now);
            log::info!(
                "event=replica_lapsed replica={id} revision={revision} reason=store_trouble"
            );
        } else if let (Some(entry), true) = (entry, replicas.remove(id, now)) {
            let removed = removed_process(&entry, now);
            self.removed.borrow_mut().insert(entry.id, removed);
            log::info!(
                "event=replica_removed replica={id} revision={revision} reason=entry_removed"
            );
        }
    }
}

fn removed_process(entry: &ReplicaEntry, removed_at: Duration) -> RemovedProcess {
    RemovedProcess { born: entry.born, address: entry.address, removed_at }
}
