//! Table of registered replicas with their health and load.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::fleet::cold::ColdMark;
use crate::fleet::evacuation::EvacuatedZones;
use crate::fleet::origins::{PresentVersions, VersionHistory, VersionId, VersionNotes};
use crate::rendezvous;

/// Time for which a replica is avoided after its first failure; about the restart time of its
/// process. Doubles with each further failure, up to [`MAX_AVOIDANCE`].
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(500);

/// Maximum time for which a replica is avoided; the entry of a crashed replica lapses within about
/// this time.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// Time for which a replica counts as full after it rejected a request for lack of capacity; about
/// the time until one of its slots is released.
const FULL_PERIOD: Duration = Duration::from_millis(150);

/// Time for which a replica is retained after its entry went missing while the store was failing.
/// The platform guarantees that entries of live replicas reappear within two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Work of a request to a service that is not a model, in prompt tokens.
pub const PLAIN_REQUEST_WORK: u64 = 1000;

/// Lifecycle state that a replica announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests in progress, then stops.
    Draining,
}

/// Registration entry that a replica publishes in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// Identifier; a restarted process usually has a new one.
    pub id: SharedName,
    /// Service that the replica belongs to.
    pub service: SharedName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SharedName,
    /// Version of its software; what two versions stream doesn't fit together.
    pub version: SharedName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Lifecycle state.
    pub state: ReplicaState,
    /// Whether the platform may reclaim it, together with its whole zone.
    pub spot: bool,
    /// Time from the publication of the entry until the replica stops, if announced.
    pub leaves_in: Option<Duration>,
    /// Start time of its process, in milliseconds since the Unix epoch; 0 if not announced.
    pub born: u64,
}

/// Work in progress at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Number of requests.
    pub requests: u32,
    /// Remaining work, in prompt tokens.
    pub work: u64,
}

/// State of one replica as this node knows it.
#[derive(Clone, Debug)]
pub struct ReplicaRow {
    /// Latest registration entry.
    pub entry: ReplicaEntry,
    /// Hash of the identifier, which names the replica in messages between nodes.
    pub hash: u32,
    /// Version of the software of its service.
    pub version: VersionId,
    /// Revision of the entry in the store.
    pub revision: u64,
    /// Time at which this process of the replica was first seen.
    pub since: Duration,
    /// Load from this node.
    pub own: ReplicaLoad,
    /// Load from all other nodes, by their latest reports.
    pub others: ReplicaLoad,
    /// What is known of its coldness.
    pub cold: ColdMark,
    /// Expected pace, see [`crate::fleet::pace`]; 1 unless replicas state theirs.
    pub pace: f64,
    avoided_until: Duration,
    failures: u32,
    full_until: Duration,
    /// Time until which the replica has asked this node to send nothing.
    quiet_until: Duration,
    expires_at: Option<Duration>,
}

impl ReplicaRow {
    /// Returns the work from all nodes, in prompt tokens.
    pub fn work(&self) -> u64 {
        self.own.work + self.others.work
    }

    /// Returns the number of requests in progress from all nodes.
    pub fn requests(&self) -> u32 {
        self.own.requests + self.others.requests
    }

    /// Returns whether the replica accepts new requests from some node.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ReplicaState::Ready
    }

    /// Returns the time until which the replica has asked this node to send nothing, if it is later
    /// than `now`.
    pub fn quiet_until(&self, now: Duration) -> Option<Duration> {
        Some(self.quiet_until).filter(|until| *until > now)
    }

    /// Returns whether the replica is neither avoided, full nor lapsed at `now`.
    pub fn is_healthy(&self, now: Duration) -> bool {
        self.avoided_until <= now && self.full_until <= now && self.expires_at.is_none()
    }

    /// Returns whether the replica recently rejected a request for lack of capacity.
    pub fn is_full(&self, now: Duration) -> bool {
        self.full_until > now
    }
}

/// Known replicas by identifier.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    rows: HashMap<SharedName, ReplicaRow>,
    departures: HashMap<SharedName, Departure>,
    leaving: HashMap<SharedName, LeavingMark>,
    versions: VersionHistory,
    evacuated: EvacuatedZones,
}

/// A replica's own statement that it is shutting down. It outlasts entries that say otherwise, and
/// ends with a new process of the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingMark {
    /// Identifier of the replica.
    pub replica: SharedName,
    /// Start time of the process that made the statement, as in [`ReplicaEntry::born`].
    pub born: u64,
    address: SocketAddr,
    noticed_at: Duration,
}

impl LeavingMark {
    /// Returns whether `entry` was published by the process that is shutting down.
    fn applies_to(&self, entry: &ReplicaEntry) -> bool {
        entry.born == self.born && entry.address == self.address
    }
}

/// Time for which a leaving mark is retained without an entry of its replica; no entry of a process
/// that has ended appears later.
const LEAVING_MARK_RETENTION: Duration = Duration::from_secs(120);

/// Upper bound of the time for which a replica may ask a node to send nothing.
const MAX_QUIET: Duration = Duration::from_secs(3600);

/// Announced or observed shutdown of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Time at which the shutdown became known.
    pub noticed_at: Duration,
    /// Time from then until the replica stops, if announced.
    pub leaves_in: Option<Duration>,
}

/// Time for which a departure is retained; no stream lasts longer.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(30);

impl ReplicaTable {
    /// Inserts or updates an entry; returns `false` if it is outdated or unchanged. An entry whose
    /// revision is not newer than the known one doesn't replace it, but ends the replica's lapse.
    pub fn put(&mut self, mut entry: ReplicaEntry, revision: u64, now: Duration) -> bool {
        if let Some(row) = self.rows.get_mut(&entry.id).filter(|row| row.revision >= revision) {
            row.expires_at = None;
            return false;
        }
        match self.leaving.get(&entry.id) {
            Some(mark) if mark.applies_to(&entry) => entry.state = ReplicaState::Draining,
            Some(_) => drop(self.leaving.remove(&entry.id)),
            None => {}
        }
        match entry.state {
            ReplicaState::Ready => drop(self.departures.remove(&entry.id)),
            ReplicaState::Draining => self.record_departure(&entry.id, entry.leaves_in, now),
        }
        let version = VersionId::new(&entry.service, &entry.version);
        self.versions.record(&entry.service, version, now);
        match self.rows.get_mut(&entry.id) {
            Some(row) => {
                self.versions.record(&row.entry.service, row.version, now);
                let restarted = row.entry.born != entry.born || row.entry.address != entry.address;
                let changed = row.entry != entry || row.expires_at.is_some();
                let returns = !row.is_ready() && entry.state == ReplicaState::Ready;
                row.revision = revision;
                row.expires_at = None;
                if restarted {
                    (row.failures, row.avoided_until) = (0, Duration::ZERO);
                    (row.full_until, row.quiet_until) = (Duration::ZERO, Duration::ZERO);
                    row.since = now;
                    row.cold = ColdMark::new(now);
                    row.pace = 1.0;
                } else if returns {
                    row.cold.presume(now);
                }
                row.entry = entry;
                row.version = version;
                changed
            }
            None => {
                let row = ReplicaRow {
                    hash: rendezvous::score(&entry.id, "") as u32,
                    version,
                    revision,
                    since: now,
                    own: ReplicaLoad::default(),
                    others: ReplicaLoad::default(),
                    cold: ColdMark::new(now),
                    pace: 1.0,
                    avoided_until: Duration::ZERO,
                    failures: 0,
                    full_until: Duration::ZERO,
                    quiet_until: Duration::ZERO,
                    expires_at: None,
                    entry,
                };
                self.rows.insert(row.entry.id.clone(), row);
                true
            }
        }
    }

    /// Removes a replica whose entry was deleted; returns whether it was known.
    pub fn remove(&mut self, id: &str, now: Duration) -> bool {
        let removed = self.rows.remove(id);
        if let Some(row) = &removed {
            self.versions.record(&row.entry.service, row.version, now);
            self.record_departure(&row.entry.id, None, now);
        }
        removed.is_some()
    }

    /// Returns the departure of a replica that is shutting down or was removed.
    pub fn departure(&self, id: &str) -> Option<Departure> {
        self.departures.get(id).copied()
    }

    fn record_departure(&mut self, id: &SharedName, leaves_in: Option<Duration>, now: Duration) {
        self.departures.entry(id.clone()).or_insert(Departure { noticed_at: now, leaves_in });
    }

    /// Records that an entry went missing while the store was failing. The replica is selected only
    /// as a last resort, and removed by [`Self::expire`] unless its entry reappears.
    pub fn lapse(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.expires_at.get_or_insert(now + LAPSE_GRACE);
        }
    }

    /// Removes lapsed replicas whose entries did not reappear within [`LAPSE_GRACE`]; returns these
    /// entries. Also drops departures that are no longer needed.
    pub fn expire(&mut self, now: Duration) -> Vec<ReplicaEntry> {
        self.departures
            .retain(|_, departure| now.saturating_sub(departure.noticed_at) < DEPARTURE_RETENTION);
        let rows = &self.rows;
        self.leaving.retain(|id, mark| {
            rows.contains_key(id) || now.saturating_sub(mark.noticed_at) < LEAVING_MARK_RETENTION
        });
        let lapsed = |row: &&ReplicaRow| row.expires_at.is_some_and(|at| at <= now);
        let expired: Vec<_> =
            self.rows.values().filter(lapsed).map(|row| row.entry.id.clone()).collect();
        let removed = expired.iter().filter_map(|id| self.rows.remove(id));
        let entries: Vec<_> = removed
            .map(|row| {
                self.versions.record(&row.entry.service, row.version, now);
                row.entry
            })
            .collect();
        self.versions.expire(now);
        entries
    }

    /// Returns a replica by identifier.
    pub fn get(&self, id: &str) -> Option<&ReplicaRow> {
        self.rows.get(id)
    }

    /// Returns all replicas, in no particular order.
    pub fn rows(&self) -> impl Iterator<Item = &ReplicaRow> {
        self.rows.values()
    }

    /// Returns the replicas of a service that accept a new request from this node at `now`, in no
    /// particular order.
    pub fn available<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a ReplicaRow> {
        self.ready(service).filter(move |row| row.quiet_until(now).is_none())
    }

    /// Returns the replicas of a service that accept new requests and are not in an evacuated zone, in no
    /// particular order.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaRow> {
        let rows = self.rows.values();
        let rows = rows.filter(move |row| row.is_ready() && &*row.entry.service == service);
        rows.filter(|row| !self.evacuated.contains(&row.entry.zone))
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Replaces the evacuated zones. The replicas of zones that are no longer evacuated count as cold unless
    /// their entries say otherwise from now on.
    pub fn set_evacuated(&mut self, zones: EvacuatedZones, now: Duration) {
        let ended = std::mem::replace(&mut self.evacuated, zones).without(&self.evacuated);
        let returning = self.rows.values_mut().filter(|row| ended.contains(&row.entry.zone));
        returning.for_each(|row| row.cold.presume(now));
    }

    /// Applies the remaining cold time that the entry of `revision` states, after [`Self::put`].
    pub fn apply_cold_time(
        &mut self,
        id: &str,
        remaining: Option<Duration>,
        revision: u64,
        now: Duration,
    ) {
        if let Some(row) = self.rows.get_mut(id) {
            row.cold.apply(remaining, revision, now);
        }
    }

    /// Returns the versions of a service's software that are present or were within `period`.
    pub fn present_versions(
        &self,
        service: &str,
        period: Duration,
        now: Duration,
    ) -> PresentVersions {
        let rows = self.rows.values().filter(|row| &*row.entry.service == service);
        let listed = rows.map(|row| row.version).collect();
        let mut present = self.versions.present(service, period, now);
        present.merge(&PresentVersions { versions: listed, is_complete: false });
        present
    }

    /// Sets the versions of services that the fleet has noted down.
    pub fn set_version_notes(&mut self, notes: VersionNotes) {
        self.versions.set_notes(notes);
    }

    /// Adds a request of this node with its work, in prompt tokens.
    pub fn add_load(&mut self, id: &str, work: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.requests += 1;
            row.own.work += work;
        }
    }

    /// Subtracts completed work of this node's requests, in prompt tokens.
    pub fn reduce_work(&mut self, id: &str, work: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.work = row.own.work.saturating_sub(work);
        }
    }

    /// Removes a request of this node with its remaining work, in prompt tokens.
    pub fn remove_load(&mut self, id: &str, work: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.requests = row.own.requests.saturating_sub(1);
            row.own.work = row.own.work.saturating_sub(work);
        }
    }

    /// Replaces the loads from the other nodes, given by [`ReplicaRow::hash`]; a replica that is
    /// not in `loads` has none.
    pub fn set_peer_loads(&mut self, loads: &HashMap<u32, ReplicaLoad>) {
        for row in self.rows.values_mut() {
            row.others = loads.get(&row.hash).copied().unwrap_or_default();
        }
    }

    /// Sets the pace of each replica.
    pub fn set_paces(&mut self, pace: impl Fn(&ReplicaRow) -> f64) {
        for row in self.rows.values_mut() {
            row.pace = pace(row);
        }
    }

    /// Sets the pace of one replica.
    pub fn set_pace(&mut self, id: &str, pace: f64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.pace = pace;
        }
    }

    /// Records a successful response; the replica is no longer avoided.
    pub fn record_success(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            (row.failures, row.avoided_until) = (0, Duration::ZERO);
        }
    }

    /// Records that a replica could not be reached or aborted a response. Returns the time for
    /// which it is avoided; `None` if it is not known.
    pub fn record_failure(&mut self, id: &str, now: Duration) -> Option<Duration> {
        let row = self.rows.get_mut(id)?;
        let avoidance = (INITIAL_AVOIDANCE * (1 << row.failures.min(4))).min(MAX_AVOIDANCE);
        row.failures += 1;
        row.avoided_until = now + avoidance;
        // Its process may have ended, and its next one is cold before its entry says so.
        row.cold.presume(now);
        Some(avoidance)
    }

    /// Records that a replica rejected a request for lack of capacity.
    pub fn record_full(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.full_until = now + FULL_PERIOD;
        }
    }

    /// Prepares for entries from a store that has been restored from an older copy: revisions start
    /// anew, and a replica known as draining stays so until it has a new process.
    pub fn begin_era(&mut self, now: Duration) {
        let draining = self.rows.values().filter(|row| !row.is_ready());
        let draining: Vec<_> = draining.map(|row| row.entry.id.clone()).collect();
        for id in draining {
            self.record_leaving(&id, now);
        }
        for row in self.rows.values_mut() {
            row.revision = 0;
            row.cold.begin_era();
        }
    }

    /// Records that a replica rejected a request and wants no other from this node for `pause`.
    pub fn record_quiet(&mut self, id: &str, pause: Duration, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.quiet_until = row.quiet_until.max(now + pause.min(MAX_QUIET));
        }
    }

    /// Records that the process of a replica has said that it is shutting down; returns the mark
    /// unless it was known or the replica isn't.
    pub fn record_leaving(&mut self, id: &str, now: Duration) -> Option<LeavingMark> {
        let row = self.rows.get_mut(id)?;
        if self.leaving.get(id).is_some_and(|mark| mark.applies_to(&row.entry)) {
            return None;
        }
        row.entry.state = ReplicaState::Draining;
        let mark = LeavingMark {
            replica: row.entry.id.clone(),
            born: row.entry.born,
            address: row.entry.address,
            noticed_at: now,
        };
        self.leaving.insert(mark.replica.clone(), mark.clone());
        self.record_departure(&mark.replica, None, now);
        Some(mark)
    }

    /// Returns the known replicas that have said that they are shutting down, by
    /// [`ReplicaRow::hash`] and start of their process.
    pub fn leaving_replicas(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        let marks = self.leaving.values();
        marks.filter_map(|mark| Some((self.rows.get(&mark.replica)?.hash, mark.born)))
    }

    /// Applies the notice of a peer that the process of a replica that started at `born` is
    /// shutting down; `hash` is [`ReplicaRow::hash`]. Returns the mark if it was not known.
    pub fn apply_leaving_notice(
        &mut self,
        hash: u32,
        born: u64,
        now: Duration,
    ) -> Option<LeavingMark> {
        let mut rows = self.rows.values();
        let row = rows.find(|row| row.hash == hash && row.entry.born == born)?;
        let id = row.entry.id.clone();
        self.record_leaving(&id, now)
    }
}
