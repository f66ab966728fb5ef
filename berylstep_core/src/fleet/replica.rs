//! Table of the replicas that have announced themselves, with their health and load.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// First time for which a replica is avoided after it failed to serve; about the time of one
/// restart of its process.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(500);

/// Longest time for which a replica is avoided; a crashed one's entry lapses within about this time.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// Time for which a replica that turned a request away for lack of room is taken as full; about the
/// time in which a slot frees.
const FULL_TIME: Duration = Duration::from_millis(150);

/// Time for which a replica is kept whose entry went missing while the store was in trouble; the
/// platform promises live ones back within two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Work of one output token in units of one prompt token: a decoded token takes a share of a whole
/// engine step, a prompt token a share of a chunk.
pub const OUTPUT_TOKEN_WORK: u64 = 20;

/// Work of a request without tokens, in the same units.
pub const PLAIN_REQUEST_WORK: u64 = 1000;

/// Whether a replica takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Takes requests.
    Ready,
    /// Finishes its requests and ends.
    Draining,
}

/// A replica as it announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// Identifier; a new process mostly has a new one.
    pub id: SharedName,
    /// Service that it serves.
    pub service: SharedName,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SharedName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ReplicaState,
    /// Whether it may be reclaimed with its whole zone.
    pub spot: bool,
    /// Time from the entry until it ends, where it tells.
    pub leaves_in: Option<Duration>,
    /// Start of its process, in milliseconds since the Unix epoch; 0 where it is not told.
    pub born: u64,
}

/// Work in progress at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests.
    pub requests: u32,
    /// Work that has not been done, in prompt tokens.
    pub work: u64,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct ReplicaRow {
    /// What it announced.
    pub entry: ReplicaEntry,
    /// Version of the entry in the store.
    pub revision: u64,
    /// When this process of the replica became known.
    pub since: Duration,
    /// This node's requests.
    pub own: ReplicaLoad,
    /// Requests of all other nodes, as they told last.
    pub others: ReplicaLoad,
    avoided_until: Duration,
    failures: u32,
    full_until: Duration,
    lapses_at: Option<Duration>,
}

impl ReplicaRow {
    /// Work of all nodes.
    pub fn work(&self) -> u64 {
        self.own.work + self.others.work
    }

    /// Requests of all nodes.
    pub fn requests(&self) -> u32 {
        self.own.requests + self.others.requests
    }

    /// Whether new requests may be sent to it.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ReplicaState::Ready
    }

    /// Whether nothing speaks against sending to it at `now`.
    pub fn is_healthy(&self, now: Duration) -> bool {
        self.avoided_until <= now && self.full_until <= now && self.lapses_at.is_none()
    }

    /// Whether it turned a request away a moment ago.
    pub fn is_full(&self, now: Duration) -> bool {
        self.full_until > now
    }
}

/// All known replicas.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    rows: HashMap<SharedName, ReplicaRow>,
    departures: HashMap<SharedName, Departure>,
}

/// A replica that is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When that became known.
    pub noticed: Duration,
    /// Time from then until it ends, where it told.
    pub leaves_in: Option<Duration>,
}

/// Time for which a departure is remembered; streams last no longer.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(30);

impl ReplicaTable {
    /// Takes in an entry; `false` means that it was no news.
    pub fn put(&mut self, entry: ReplicaEntry, revision: u64, now: Duration) -> bool {
        match entry.state {
            ReplicaState::Ready => drop(self.departures.remove(&entry.id)),
            ReplicaState::Draining => self.note_departure(&entry.id, entry.leaves_in, now),
        }
        match self.rows.get_mut(&entry.id) {
            Some(row) if row.revision >= revision => {
                row.lapses_at = None;
                false
            }
            Some(row) => {
                let reborn = row.entry.born != entry.born || row.entry.address != entry.address;
                let news = row.entry != entry || row.lapses_at.is_some();
                row.revision = revision;
                row.lapses_at = None;
                if reborn {
                    (row.failures, row.avoided_until) = (0, Duration::ZERO);
                    row.since = now;
                }
                row.entry = entry;
                news
            }
            None => {
                let row = ReplicaRow {
                    revision,
                    since: now,
                    own: ReplicaLoad::default(),
                    others: ReplicaLoad::default(),
                    avoided_until: Duration::ZERO,
                    failures: 0,
                    full_until: Duration::ZERO,
                    lapses_at: None,
                    entry,
                };
                self.rows.insert(row.entry.id.clone(), row);
                true
            }
        }
    }

    /// Forgets a replica whose entry was removed.
    pub fn remove(&mut self, id: &str, now: Duration) -> bool {
        let removed = self.rows.remove(id);
        if let Some(row) = &removed {
            self.note_departure(&row.entry.id, None, now);
        }
        removed.is_some()
    }

    /// Whether and how a replica is leaving.
    pub fn departure(&self, id: &str) -> Option<Departure> {
        self.departures.get(id).copied()
    }

    fn note_departure(&mut self, id: &SharedName, leaves_in: Option<Duration>, now: Duration) {
        self.departures.entry(id.clone()).or_insert(Departure { noticed: now, leaves_in });
    }

    /// Notes that an entry went missing while the store was in trouble; the replica is used last,
    /// and forgotten by [`Self::expire`] unless its entry comes back.
    pub fn lapse(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.lapses_at.get_or_insert(now + LAPSE_GRACE);
        }
    }

    /// Forgets replicas whose entries did not come back in time, and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<SharedName> {
        self.departures.retain(|_, left| now.saturating_sub(left.noticed) < DEPARTURE_MEMORY);
        let lapsed = |row: &&ReplicaRow| row.lapses_at.is_some_and(|at| at <= now);
        let expired: Vec<_> =
            self.rows.values().filter(lapsed).map(|row| row.entry.id.clone()).collect();
        for id in &expired {
            self.rows.remove(id);
        }
        expired
    }

    /// One replica.
    pub fn get(&self, id: &str) -> Option<&ReplicaRow> {
        self.rows.get(id)
    }

    /// All replicas, in no order.
    pub fn rows(&self) -> impl Iterator<Item = &ReplicaRow> {
        self.rows.values()
    }

    /// Replicas of a service that take new requests, in no order.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaRow> {
        self.rows.values().filter(move |row| row.is_ready() && &*row.entry.service == service)
    }

    /// Adds work of this node.
    pub fn add_load(&mut self, id: &str, work: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.requests += 1;
            row.own.work += work;
        }
    }

    /// Notes that a part of this node's work at a replica was done.
    pub fn reduce_work(&mut self, id: &str, work: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.work = row.own.work.saturating_sub(work);
        }
    }

    /// Removes a request of this node and what is left of its work.
    pub fn remove_load(&mut self, id: &str, work: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.requests = row.own.requests.saturating_sub(1);
            row.own.work = row.own.work.saturating_sub(work);
        }
    }

    /// Sets what the other nodes have in progress.
    pub fn set_peer_loads(&mut self, loads: &HashMap<SharedName, ReplicaLoad>) {
        for (id, row) in &mut self.rows {
            row.others = loads.get(id).copied().unwrap_or_default();
        }
    }

    /// Notes that a replica answered as it should.
    pub fn note_success(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            (row.failures, row.avoided_until) = (0, Duration::ZERO);
        }
    }

    /// Notes that a replica could not be reached or broke off, and returns for how long it is
    /// avoided.
    pub fn note_failure(&mut self, id: &str, now: Duration) -> Option<Duration> {
        let row = self.rows.get_mut(id)?;
        let avoidance = (FIRST_AVOIDANCE * (1 << row.failures.min(4))).min(MAX_AVOIDANCE);
        row.failures += 1;
        row.avoided_until = now + avoidance;
        Some(avoidance)
    }

    /// Notes that a replica turned a request away for lack of room.
    pub fn note_full(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.full_until = now + FULL_TIME;
        }
    }

    /// Notes a sign other than its entry that a replica is leaving; `false` means that it was known.
    pub fn note_leaving(&mut self, id: &str, now: Duration) -> bool {
        let Some(row) = self.rows.get_mut(id).filter(|row| row.is_ready()) else { return false };
        row.entry.state = ReplicaState::Draining;
        let id = row.entry.id.clone();
        self.note_departure(&id, None, now);
        true
    }
}
