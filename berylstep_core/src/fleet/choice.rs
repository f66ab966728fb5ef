//! Replica selection for a request.
//!
//! A long prompt delays the output tokens of all requests in the same batch, so a share of a
//! model's replicas is reserved for short prompts. Within each of the two groups, requests of a
//! session are routed to the same replica by rendezvous hashing with bounded loads, because that
//! replica has their shared prompt prefix cached.

use std::time::Duration;

use crate::collections::SharedName;
use crate::fleet::engine::EngineSpeed;
use crate::fleet::origins::VersionPin;
use crate::fleet::pace::SLOW_PACE;
use crate::fleet::replica::{ReplicaRow, ReplicaTable, PLAIN_REQUEST_WORK};
use crate::rendezvous;

/// Maximum prompt length of the short group at engines of the assumed speed, in tokens. A longer prompt delays an engine step by
/// more than a tenth of the usual interval between events.
pub const MAX_SHORT_PROMPT_TOKENS: u64 = 3000;

/// Minimum share of a model's replicas that is reserved for short prompts. Long prompts have the
/// looser latency targets, so a burst of them queues instead of displacing short prompts.
pub const MIN_SHORT_SHARE: f64 = 1.0 / 3.0;

/// Weight of short prompts relative to long ones; their latency targets are tighter.
const SHORT_WORK_WEIGHT: f64 = 1.25;

/// Minimum change of the measured share that resizes the groups. Sessions lose their cached prompts
/// on each replica that changes groups.
const MIN_SHARE_CHANGE: f64 = 0.08;

/// Maximum load of a session's replica relative to the mean load of its group.
const SESSION_LOAD_FACTOR: f64 = 1.5;

/// Load allowed on a session's replica in addition, in prompt tokens; about one long prompt.
const SESSION_LOAD_SLACK: u64 = 12_000;

/// Load penalty for a replica in another availability zone, in prompt tokens; accounts for the
/// latency between zones.
const CROSS_ZONE_WORK: u64 = 400;

/// Largest factor by which a replica's expected completion may exceed the least to count as nearly equal. Random choice among
/// such replicas prevents nodes with the same information from all sending to the same one.
const NEAR_FACTOR: f64 = 1.25;

/// Number of requests of the same size that a replica may have more than another and yet count as equally loaded. Reports of
/// load are up to half a second old; where smaller differences count, all nodes send to the same replica meanwhile.
const LOAD_TOLERANCE: u64 = 2;

/// Share of a session's prompt that its replica is assumed to have cached.
const CACHED_PROMPT_SHARE: f64 = 0.45;

/// Size of a model request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Prompt length.
    pub prompt: u64,
    /// Maximum output length.
    pub output: u64,
}

impl RequestSize {
    /// Returns the work of a request at engines of this speed, in prompt tokens; `None` stands for
    /// a request to a service that is not a model.
    pub fn work(size: Option<Self>, speed: EngineSpeed) -> u64 {
        let Some(size) = size else { return PLAIN_REQUEST_WORK };
        size.prompt + (speed.output_token_work() * size.output as f64) as u64
    }

    /// Returns whether the prompt is short for engines of this speed.
    pub fn is_short(self, speed: EngineSpeed) -> bool {
        self.prompt as f64 <= MAX_SHORT_PROMPT_TOKENS as f64 * speed.token_scale()
    }
}

/// Division of a model's replicas into a group for short prompts and one for long prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupSplit {
    share: f64,
}

impl Default for GroupSplit {
    fn default() -> Self {
        Self { share: MIN_SHORT_SHARE }
    }
}

impl GroupSplit {
    /// Returns the share of the replicas that is reserved for short prompts, from 0 to 1.
    pub fn short_share(self) -> f64 {
        self.share
    }

    /// Adjusts the share to the measured work; both arguments have the same unit.
    pub fn update(&mut self, short_work: f64, long_work: f64) {
        let weighted = short_work * SHORT_WORK_WEIGHT;
        let total = weighted + long_work;
        if total <= 0.0 {
            return;
        }
        let measured = (weighted / total).max(MIN_SHORT_SHARE);
        if (measured - self.share).abs() >= MIN_SHARE_CHANGE {
            self.share = measured;
        }
    }
}

/// Request for which a replica is selected.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    /// Service that the request is routed to.
    pub service: &'a str,
    /// Size of a model request; `None` for other services.
    pub size: Option<RequestSize>,
    /// Identifier of the prompt prefix that the requests of the session share.
    pub session: Option<&'a str>,
    /// Speed of the service's engines.
    pub speed: EngineSpeed,
    /// Share of the replicas that is reserved for short prompts, from 0 to 1.
    pub short_share: f64,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Replicas that must not be selected.
    pub excluded: &'a [SharedName],
    /// Version that must be selected, where a stream goes on.
    pub pin: VersionPin,
    /// Whether it begins a stream that may go on at another replica of the same version.
    pub is_resumable: bool,
    /// Random number that selects among equally loaded replicas, so that nodes which see the same
    /// loads spread their requests.
    pub draw: u64,
}

/// Time after which a replica has cached the prompts of the sessions that are routed to it. Prompt
/// prefixes that were unused for longer are usually evicted.
const WARM_UP_TIME: Duration = Duration::from_secs(8);

/// Replica selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Identifier of the selected replica.
    pub replica: SharedName,
    /// Another replica that probably has the session's shared prompt cached.
    pub warm: Option<SharedName>,
}

/// Replica group that serves a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SizeGroup {
    Short,
    Long,
}

/// Selects a replica; returns `None` if the service has no replica that accepts requests.
pub fn choose_replica(
    table: &ReplicaTable,
    query: &PlacementQuery<'_>,
    now: Duration,
) -> Option<Placement> {
    let mut rows: Vec<&ReplicaRow> = table.available(query.service, now).collect();
    rows.sort_unstable_by(|left, right| left.entry.id.cmp(&right.entry.id));
    let rows = rows.as_slice();
    let alone = match query.is_resumable {
        true => replicas_left_alone(rows),
        false => Vec::new(),
    };
    let least = alone.iter().map(|row| row.work()).min();
    if let Some(least) = least {
        let slack = SESSION_LOAD_SLACK as f64 * query.speed.token_scale();
        let bound = least as f64 * SESSION_LOAD_FACTOR + slack;
        let is_wanted = |row: &ReplicaRow| {
            row.work() as f64 <= bound && alone.iter().all(|other| other.hash != row.hash)
        };
        if let Some(placement) = place_among(rows, query, now, is_wanted) {
            return Some(placement);
        }
    }
    place_among(rows, query, now, |_| true)
}

/// Returns the replicas at which no stream should begin that could go on elsewhere: those that are
/// the only one of their version, while another version has several.
fn replicas_left_alone<'a>(rows: &[&'a ReplicaRow]) -> Vec<&'a ReplicaRow> {
    let mut versions: Vec<_> = rows.iter().map(|row| row.version).collect();
    versions.sort_unstable();
    let groups = || versions.chunk_by(|left, right| left == right);
    if !groups().any(|group| group.len() > 1) {
        return Vec::new();
    }
    let single: Vec<_> = groups().filter(|group| group.len() == 1).map(|group| group[0]).collect();
    rows.iter().copied().filter(|row| single.contains(&row.version)).collect()
}

/// Selects among the replicas that are wanted.
fn place_among<'a>(
    rows: &[&'a ReplicaRow],
    query: &PlacementQuery<'_>,
    now: Duration,
    is_wanted: impl Fn(&ReplicaRow) -> bool,
) -> Option<Placement> {
    let is_allowed = |row: &&ReplicaRow| {
        query.pin.admits(row) && !query.excluded.contains(&row.entry.id) && is_wanted(row)
    };
    let is_uneven = rows.iter().any(|row| row.pace != 1.0);
    let least_of = |rows: &[&'a ReplicaRow]| {
        let allowed = rows.iter().copied().filter(is_allowed);
        match is_uneven {
            true => soonest_replica(allowed, query, now),
            false => least_loaded(allowed, query, now),
        }
    };
    let Some(size) = query.size else {
        let replica = least_of(rows)?;
        return Some(Placement { replica, warm: None });
    };
    let group = match size.is_short(query.speed) {
        true => SizeGroup::Short,
        false => SizeGroup::Long,
    };
    let is_short = short_group_flags(rows, query.short_share);
    let members = |wanted: SizeGroup| {
        let flags = rows.iter().zip(&is_short);
        let members = flags.filter(move |(_, short)| **short == (wanted == SizeGroup::Short));
        members.map(|(row, _)| *row).filter(is_allowed).filter(|row| row.is_healthy(now))
    };
    let own_group: Vec<_> = members(group).collect();
    let other = match group {
        SizeGroup::Short => SizeGroup::Long,
        SizeGroup::Long => SizeGroup::Short,
    };
    let in_group = |group: &[&ReplicaRow]| match is_uneven {
        true => paced_session_replica(group, query, size, now),
        false => session_replica(group, query),
    };
    let replica = in_group(&own_group)
        .or_else(|| in_group(&members(other).collect::<Vec<_>>()))
        .or_else(|| least_of(rows))?;
    let warm = warm_replica(&own_group, query, now).filter(|warm| *warm != replica);
    Some(Placement { replica, warm })
}

/// Returns the replica that served the session before replicas were added or its load grew.
fn warm_replica(
    group: &[&ReplicaRow],
    query: &PlacementQuery<'_>,
    now: Duration,
) -> Option<SharedName> {
    let session = query.session?;
    let warm = group.iter().filter(|row| now.saturating_sub(row.since) >= WARM_UP_TIME);
    let first = warm.max_by_key(|row| rendezvous::score(session, &row.entry.id))?;
    Some(first.entry.id.clone())
}

/// Returns for each replica whether it is reserved for short prompts. Replicas are picked from the
/// zones in turn, so both groups keep replicas if a zone is lost.
fn short_group_flags(rows: &[&ReplicaRow], share: f64) -> Vec<bool> {
    let wanted = match rows.len() {
        0 | 1 => 0,
        count => ((count as f64 * share).round() as usize).clamp(1, count - 1),
    };
    let mut positions: Vec<(usize, &str, usize)> = Vec::with_capacity(rows.len());
    let mut zones: Vec<(&str, usize)> = Vec::new();
    for (index, row) in rows.iter().enumerate() {
        let zone = &*row.entry.zone;
        let in_zone = match zones.iter_mut().find(|(other, _)| *other == zone) {
            Some((_, count)) => {
                *count += 1;
                *count
            }
            None => {
                zones.push((zone, 0));
                0
            }
        };
        positions.push((in_zone, zone, index));
    }
    positions.sort_unstable();
    let mut flags = vec![false; rows.len()];
    for (_, _, index) in positions.into_iter().take(wanted) {
        flags[index] = true;
    }
    flags
}

/// Returns the replica with the session's highest rendezvous score among those within the load
/// bound; the least loaded one if the request has no session.
fn session_replica(group: &[&ReplicaRow], query: &PlacementQuery<'_>) -> Option<SharedName> {
    let total: u64 = group.iter().map(|row| row.work()).sum();
    let mean = total as f64 / group.len().max(1) as f64;
    let slack = SESSION_LOAD_SLACK as f64 * query.speed.token_scale();
    let bound = (mean * SESSION_LOAD_FACTOR + slack) as u64;
    let least = group.iter().min_by_key(|row| (row.work(), tie_order(row, query.draw)))?;
    let Some(session) = query.session else {
        return Some(least.entry.id.clone());
    };
    let within = group.iter().filter(|row| row.work() <= bound);
    let first = within.max_by_key(|row| rendezvous::score(session, &row.entry.id));
    Some(first.unwrap_or(least).entry.id.clone())
}

fn least_loaded<'a>(
    rows: impl Iterator<Item = &'a ReplicaRow>,
    query: &PlacementQuery<'_>,
    now: Duration,
) -> Option<SharedName> {
    let cost = |row: &&ReplicaRow| {
        let zone_work = if &*row.entry.zone == query.zone { 0 } else { CROSS_ZONE_WORK };
        (!row.is_healthy(now), row.work() + zone_work, tie_order(row, query.draw))
    };
    rows.min_by_key(cost).map(|row| row.entry.id.clone())
}

/// Returns the replica of a session where paces differ: the one with the highest rendezvous score among those whose expected
/// completion is within the bound. It allows for the load of the group, of which reports lag, and for the prefill that the session
/// saves at its own replica. A slow replica gets the session only if the request is complete there no later than at the best one,
/// except for that prefill.
fn paced_session_replica(
    group: &[&ReplicaRow],
    query: &PlacementQuery<'_>,
    size: RequestSize,
    now: Duration,
) -> Option<SharedName> {
    let Some(session) = query.session else {
        return soonest_replica(group.iter().copied(), query, now);
    };
    let own = RequestSize::work(query.size, query.speed);
    let total: f64 = group.iter().map(|row| row.work() as f64 * row.pace).sum();
    let mean = total / group.len().max(1) as f64;
    // The harmonic mean is the pace of the group as a whole. The least pace of many is mostly one that is underestimated.
    let rates: f64 = group.iter().map(|row| row.pace.recip()).sum();
    let usual = group.len() as f64 / rates;
    let saved = size.prompt as f64 * CACHED_PROMPT_SHARE;
    let bound = mean * SESSION_LOAD_FACTOR + (own as f64 + saved) * usual;
    let completions = group.iter().map(|row| expected_completion(row, own));
    let slow_bound = completions.fold(f64::INFINITY, f64::min) + saved * usual;
    let within = group.iter().filter(|row| {
        let bound = if row.pace < SLOW_PACE * usual { bound } else { slow_bound.min(bound) };
        expected_completion(row, own) <= bound
    });
    let first = within.max_by_key(|row| rendezvous::score(session, &row.entry.id));
    match first {
        Some(row) => Some(row.entry.id.clone()),
        None => soonest_replica(group.iter().copied(), query, now),
    }
}

/// Returns a replica at which the request is expected to be complete soonest, selected at random among nearly equal ones.
fn soonest_replica<'a>(
    rows: impl Iterator<Item = &'a ReplicaRow> + Clone,
    query: &PlacementQuery<'_>,
    now: Duration,
) -> Option<SharedName> {
    let own = RequestSize::work(query.size, query.speed);
    let cost = |row: &ReplicaRow| {
        let zone_work = if &*row.entry.zone == query.zone { 0 } else { CROSS_ZONE_WORK };
        let queued = row.work().saturating_sub(own.saturating_mul(LOAD_TOLERANCE));
        queued.saturating_add(own) as f64 * row.pace + zone_work as f64
    };
    let has_healthy = rows.clone().any(|row| row.is_healthy(now));
    let candidates = rows.filter(|row| row.is_healthy(now) == has_healthy);
    let least = candidates.clone().map(cost).min_by(f64::total_cmp)?;
    let near = candidates.filter(|row| cost(row) <= least * NEAR_FACTOR);
    near.min_by_key(|row| tie_order(row, query.draw)).map(|row| row.entry.id.clone())
}

/// Returns the work that a replica has to do until a request with this work is complete, in prompt tokens at the usual
/// pace.
fn expected_completion(row: &ReplicaRow, own: u64) -> f64 {
    row.work().saturating_add(own) as f64 * row.pace
}

/// Returns the position of a replica in a random order that depends on `draw`.
fn tie_order(row: &ReplicaRow, draw: u64) -> u64 {
    (u64::from(row.hash) ^ draw).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
