//! Origins of streams: which version of a service's software began a stream, so that it goes on only
//! at that version.
//!
//! What two versions stream doesn't fit together. A caller takes up a stream that broke off at any
//! node, so nodes tell some others the origins of their streams while a service has several versions.

use std::cmp::Reverse;
use std::time::Duration;

use crate::collections::HashMap;
use crate::fleet::limits::ProcessId;
use crate::fleet::replica::ReplicaRow;
use crate::rendezvous;

/// Longest time for which a version counts as present after its last replica has left.
pub const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// Shortest such time.
const MIN_STREAM_AGE: Duration = Duration::from_secs(10);

/// Returns the age up to which a stream may be taken up, if its route ends it after `timeout` at the
/// latest. Its caller may have taken it up before.
pub fn max_stream_age(timeout: Duration) -> Duration {
    (2 * timeout).clamp(MIN_STREAM_AGE, VERSION_RETENTION)
}

/// Longest time for which an origin is kept.
const MAX_ORIGIN_RETENTION: Duration = Duration::from_secs(300);

/// Largest number of origins that are kept; those that expire first are dropped.
const MAX_ORIGINS: usize = 65_536;

/// Largest difference between the clocks of a node and a replica.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);

/// Hash of the identifier of the attempt that brought a stream's first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that the attempt `id` began.
    pub fn new(id: &str) -> Self {
        Self(rendezvous::score(id, "stream"))
    }
}

/// Hash of a service and a version of the software of its replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionId(pub u32);

impl VersionId {
    /// Returns the identifier of a version of a service.
    pub fn new(service: &str, version: &str) -> Self {
        Self(rendezvous::score(service, version) as u32)
    }
}

/// Version at which a request must run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionPin {
    /// No event of the stream has reached the caller.
    #[default]
    Any,
    /// The version that began the stream.
    Only(VersionId),
}

impl VersionPin {
    /// Returns whether the request may run at a replica.
    pub fn admits(self, row: &ReplicaRow) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => row.version == version,
        }
    }
}

/// Process of a replica that wrote events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Version of its software by its entry.
    pub version: VersionId,
    /// Process that published the entry.
    pub process: ProcessId,
    /// Time at which one of its events arrived, in milliseconds since the Unix epoch.
    pub seen_ms: u64,
}

impl StreamOrigin {
    /// Returns the version that began the stream, given the process that the replica has now; `None`
    /// if the entry may have been out of date, because that process had already started.
    pub fn version(&self, current_born: Option<u64>) -> Option<VersionId> {
        let tolerance = CLOCK_TOLERANCE.as_millis() as u64;
        let is_known = match current_born {
            None => true,
            Some(born) => born == self.process.born || born > self.seen_ms + tolerance,
        };
        is_known.then_some(self.version)
    }
}

/// Node that may keep origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperCandidate<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}

/// Returns the positions of the candidates in the order in which they keep the origin of a stream:
/// first one of each zone, so that an origin outlasts the loss of a zone.
pub fn keeper_order(key: StreamKey, candidates: &[KeeperCandidate<'_>]) -> Vec<usize> {
    let key = format!("{:016x}", key.0);
    let scores: Vec<_> =
        candidates.iter().map(|candidate| rendezvous::score(&key, candidate.node)).collect();
    let rank_in_zone = |index: usize| {
        let zone = candidates[index].zone;
        let others = candidates.iter().zip(&scores).filter(|(other, _)| other.zone == zone);
        others.filter(|(_, score)| **score > scores[index]).count()
    };
    let mut order: Vec<_> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| (rank_in_zone(*index), Reverse(scores[*index])));
    order
}

/// Origins of streams, until their callers can no longer take them up.
#[derive(Debug, Default)]
pub struct OriginLedger {
    rows: HashMap<StreamKey, (StreamOrigin, Duration)>,
}

impl OriginLedger {
    /// Records an origin for `retention`. The first one of a stream stays.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        retention: Duration,
        now: Duration,
    ) {
        let expires_at = now + retention.min(MAX_ORIGIN_RETENTION);
        let row = self.rows.entry(key).or_insert((origin, expires_at));
        row.1 = row.1.max(expires_at);
        if self.rows.len() > MAX_ORIGINS {
            self.drop_earliest();
        }
    }

    /// Returns the origin of a stream.
    pub fn get(&self, key: StreamKey) -> Option<StreamOrigin> {
        self.rows.get(&key).map(|(origin, _)| *origin)
    }

    /// Returns all origins with the time until they expire.
    pub fn rows(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (StreamKey, StreamOrigin, Duration)> + '_ {
        let rows = self.rows.iter();
        rows.map(move |(key, (origin, expires_at))| (*key, *origin, expires_at.saturating_sub(now)))
    }

    /// Drops the origins of streams that can no longer be taken up.
    pub fn expire(&mut self, now: Duration) {
        self.rows.retain(|_, (_, expires_at)| *expires_at > now);
    }

    /// Drops the sixteenth part that expires first, so that this is rarely done.
    fn drop_earliest(&mut self) {
        let mut times: Vec<_> = self.rows.values().map(|(_, expires_at)| *expires_at).collect();
        let (_, limit, _) = times.select_nth_unstable(MAX_ORIGINS / 16);
        let limit = *limit;
        self.rows.retain(|_, (_, expires_at)| *expires_at > limit);
    }
}

/// Versions of a service's replicas that are present, or were lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PresentVersions {
    /// The versions, in ascending order.
    pub versions: Vec<VersionId>,
    /// Whether no other version was present when a stream that may be taken up began.
    pub is_complete: bool,
}

impl PresentVersions {
    /// Adds what another node knows.
    pub fn merge(&mut self, other: &Self) {
        self.versions.extend(&other.versions);
        self.versions.sort_unstable();
        self.versions.dedup();
        self.is_complete |= other.is_complete;
    }

    /// Returns the versions to note down; none if there is one only.
    pub fn noted(&self) -> &[VersionId] {
        match self.versions.len() {
            0 | 1 => &[],
            _ => &self.versions,
        }
    }

    /// Returns the only version that a stream can have begun at; `None` if there may be others.
    pub fn sole(&self) -> Option<VersionId> {
        match *self.versions {
            [version] if self.is_complete => Some(version),
            _ => None,
        }
    }
}

/// Times at which the versions of services were last present.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Service, version and time.
    last_seen: Vec<(u32, VersionId, Duration)>,
    /// Time of the first record.
    begins_at: Option<Duration>,
    /// Versions that the fleet has noted down, by service; `None` until they have been read.
    noted: Option<VersionNotes>,
}

/// Versions of each service that are present, or were lately, as the fleet has noted them down where they
/// outlast its nodes. A service that isn't noted has had one.
pub type VersionNotes = HashMap<u32, Vec<VersionId>>;

/// Returns the hash that names a service in messages between nodes.
pub fn service_hash(service: &str) -> u32 {
    rendezvous::score(service, "service") as u32
}

impl VersionHistory {
    /// Records that a replica was in the list at `now`.
    pub fn record(&mut self, service: &str, version: VersionId, now: Duration) {
        self.begins_at.get_or_insert(now);
        let service = service_hash(service);
        match self.last_seen.iter_mut().find(|(_, seen, _)| *seen == version) {
            Some((_, _, at)) => *at = now,
            None => self.last_seen.push((service, version, now)),
        }
    }

    /// Drops versions that are no longer relevant.
    pub fn expire(&mut self, now: Duration) {
        self.last_seen.retain(|(_, _, at)| now.saturating_sub(*at) < VERSION_RETENTION);
    }

    fn recent(
        &self,
        service: &str,
        period: Duration,
        now: Duration,
    ) -> impl Iterator<Item = VersionId> + '_ {
        let service = service_hash(service);
        let of_service = self.last_seen.iter().filter(move |(name, ..)| *name == service);
        let recent = of_service.filter(move |(_, _, at)| now.saturating_sub(*at) < period);
        recent.map(|(_, version, _)| *version)
    }

    /// Sets the versions that have been noted down.
    pub fn set_notes(&mut self, notes: VersionNotes) {
        self.noted = Some(notes);
    }

    /// Returns the versions of a service that were present within `period`. A history that doesn't go
    /// back so far relies on what has been noted down.
    pub fn present(&self, service: &str, period: Duration, now: Duration) -> PresentVersions {
        let versions = self.recent(service, period, now).collect();
        let is_long = self.begins_at.is_some_and(|at| now.saturating_sub(at) >= period);
        let mut present = PresentVersions { versions, is_complete: is_long };
        if let Some(noted) = self.noted.as_ref().filter(|_| !is_long) {
            let versions = noted.get(&service_hash(service)).cloned().unwrap_or_default();
            present.merge(&PresentVersions { versions, is_complete: true });
        }
        present
    }
}
