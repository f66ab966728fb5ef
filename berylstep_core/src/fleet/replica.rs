//! Table of registered replicas with their health and load.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::{HashMap, SharedName};

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

/// Work of one output token, in prompt tokens. An output token takes a share of a whole engine
/// step, a prompt token only a share of a chunk.
pub const OUTPUT_TOKEN_WORK: u64 = 20;

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
    /// Revision of the entry in the store.
    pub revision: u64,
    /// Time at which this process of the replica was first seen.
    pub since: Duration,
    /// Load from this node.
    pub own: ReplicaLoad,
    /// Load from all other nodes, by their latest reports.
    pub others: ReplicaLoad,
    avoided_until: Duration,
    failures: u32,
    full_until: Duration,
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

    /// Returns whether the replica accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ReplicaState::Ready
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
}

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
    pub fn put(&mut self, entry: ReplicaEntry, revision: u64, now: Duration) -> bool {
        match entry.state {
            ReplicaState::Ready => drop(self.departures.remove(&entry.id)),
            ReplicaState::Draining => self.record_departure(&entry.id, entry.leaves_in, now),
        }
        match self.rows.get_mut(&entry.id) {
            Some(row) if row.revision >= revision => {
                row.expires_at = None;
                false
            }
            Some(row) => {
                let restarted = row.entry.born != entry.born || row.entry.address != entry.address;
                let changed = row.entry != entry || row.expires_at.is_some();
                row.revision = revision;
                row.expires_at = None;
                if restarted {
                    (row.failures, row.avoided_until) = (0, Duration::ZERO);
                    row.since = now;
                }
                row.entry = entry;
                changed
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

    /// Removes lapsed replicas whose entries did not reappear within [`LAPSE_GRACE`]; returns their
    /// identifiers. Also drops departures that are no longer needed.
    pub fn expire(&mut self, now: Duration) -> Vec<SharedName> {
        self.departures
            .retain(|_, departure| now.saturating_sub(departure.noticed_at) < DEPARTURE_RETENTION);
        let lapsed = |row: &&ReplicaRow| row.expires_at.is_some_and(|at| at <= now);
        let expired: Vec<_> =
            self.rows.values().filter(lapsed).map(|row| row.entry.id.clone()).collect();
        for id in &expired {
            self.rows.remove(id);
        }
        expired
    }

    /// Returns a replica by identifier.
    pub fn get(&self, id: &str) -> Option<&ReplicaRow> {
        self.rows.get(id)
    }

    /// Returns all replicas, in no particular order.
    pub fn rows(&self) -> impl Iterator<Item = &ReplicaRow> {
        self.rows.values()
    }

    /// Returns the replicas of a service that accept new requests, in no particular order.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaRow> {
        self.rows.values().filter(move |row| row.is_ready() && &*row.entry.service == service)
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

    /// Replaces the loads from the other nodes; a replica that is not in `loads` has none.
    pub fn set_peer_loads(&mut self, loads: &HashMap<SharedName, ReplicaLoad>) {
        for (id, row) in &mut self.rows {
            row.others = loads.get(id).copied().unwrap_or_default();
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
        Some(avoidance)
    }

    /// Records that a replica rejected a request for lack of capacity.
    pub fn record_full(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.full_until = now + FULL_PERIOD;
        }
    }

    /// Marks a replica as draining on evidence other than its entry; returns `false` if it is not
    /// known or already draining.
    pub fn mark_draining(&mut self, id: &str, now: Duration) -> bool {
        let Some(row) = self.rows.get_mut(id).filter(|row| row.is_ready()) else { return false };
        row.entry.state = ReplicaState::Draining;
        let id = row.entry.id.clone();
        self.record_departure(&id, None, now);
        true
    }
}
