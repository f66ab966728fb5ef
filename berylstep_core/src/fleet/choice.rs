//! Which replica serves a request.
//!
//! Long prompts delay the tokens of every request that runs beside them, so that a part of a
//! model's replicas is kept for short prompts. Within a group, requests of one session go to the
//! same replica, which has their shared prompt in memory, unless it has much more work than others.

use std::time::Duration;

use crate::collections::SharedName;
use crate::fleet::replica::{ReplicaRow, ReplicaTable, OUTPUT_TOKEN_WORK, PLAIN_REQUEST_WORK};
use crate::rendezvous;

/// Longest prompt of the short group, in tokens: the longest that delays a step by less than a
/// tenth of the usual pause between events.
pub const MAX_SHORT_PROMPT_TOKENS: u64 = 3000;

/// Least share of a model's replicas that is kept for short prompts: a burst of long ones may wait
/// for longer than the short ones that it would push aside.
pub const LEAST_SHORT_SHARE: f64 = 1.0 / 3.0;

/// Weight of short work against long work, for its tighter targets.
const SHORT_WORK_WEIGHT: f64 = 1.25;

/// Change of the measured share below which the groups stay as they are: each move of a replica
/// costs the sessions that it served their shared prompts.
const SHARE_STEP: f64 = 0.08;

/// Most work of a session's replica in relation to the mean of its group.
const SESSION_LOAD_BOUND: f64 = 1.5;

/// Work above the bound that a session's replica may always have; about one long prompt.
const SESSION_LOAD_SLACK: u64 = 12_000;

/// Work that a replica in another availability zone must save to be worth the way there.
const ZONE_WORK: u64 = 400;

/// Size of a model request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Prompt.
    pub prompt: u64,
    /// Most output.
    pub output: u64,
}

impl RequestSize {
    /// Work of the whole request; `None` is a request without tokens.
    pub fn work(size: Option<Self>) -> u64 {
        size.map_or(PLAIN_REQUEST_WORK, |size| size.prompt + OUTPUT_TOKEN_WORK * size.output)
    }
}

/// Border between the replicas for short prompts and those for long ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupSplit {
    share: f64,
}

impl Default for GroupSplit {
    fn default() -> Self {
        Self { share: LEAST_SHORT_SHARE }
    }
}

impl GroupSplit {
    /// Share of the replicas that is kept for short prompts.
    pub fn short_share(self) -> f64 {
        self.share
    }

    /// Moves the split to the measured work, both parts in the same unit.
    pub fn update(&mut self, short_work: f64, long_work: f64) {
        let weighted = short_work * SHORT_WORK_WEIGHT;
        let total = weighted + long_work;
        if total <= 0.0 {
            return;
        }
        let measured = (weighted / total).max(LEAST_SHORT_SHARE);
        if (measured - self.share).abs() >= SHARE_STEP {
            self.share = measured;
        }
    }
}

/// What is to be placed.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    /// Service that is to serve it.
    pub service: &'a str,
    /// Size, where it is a model request.
    pub size: Option<RequestSize>,
    /// Prompt part that its session shares.
    pub session: Option<&'a str>,
    /// Share of the replicas that is kept for short prompts.
    pub short_share: f64,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Replicas that are not to be used.
    pub excluded: &'a [SharedName],
}

/// Time after which a replica's memory holds the prompts of the sessions that are its own; parts
/// that were not used for longer are seldom kept.
const WARM_TIME: Duration = Duration::from_secs(8);

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Replica.
    pub replica: SharedName,
    /// Another replica that probably has the session's shared prompt in memory.
    pub warm: Option<SharedName>,
}

/// Replica group of a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SizeGroup {
    Short,
    Long,
}

/// Picks a replica; `None` where the service has none that takes requests.
pub fn choose(
    table: &ReplicaTable,
    query: &PlacementQuery<'_>,
    now: Duration,
) -> Option<Placement> {
    let mut rows: Vec<&ReplicaRow> = table.ready(query.service).collect();
    rows.sort_unstable_by(|left, right| left.entry.id.cmp(&right.entry.id));
    let usable = |row: &&ReplicaRow| !query.excluded.contains(&row.entry.id);
    let Some(size) = query.size else {
        let replica = least_loaded(rows.into_iter().filter(usable), query.zone, now)?;
        return Some(Placement { replica, warm: None });
    };
    let group = match size.prompt <= MAX_SHORT_PROMPT_TOKENS {
        true => SizeGroup::Short,
        false => SizeGroup::Long,
    };
    let is_short = short_group(&rows, query.short_share);
    let members = |wanted: SizeGroup| {
        let flags = rows.iter().zip(&is_short);
        let members = flags.filter(move |(_, short)| **short == (wanted == SizeGroup::Short));
        members.map(|(row, _)| *row).filter(usable).filter(|row| row.is_healthy(now))
    };
    let own: Vec<_> = members(group).collect();
    let other = match group {
        SizeGroup::Short => SizeGroup::Long,
        SizeGroup::Long => SizeGroup::Short,
    };
    let replica = within_group(&own, query)
        .or_else(|| within_group(&members(other).collect::<Vec<_>>(), query))
        .or_else(|| least_loaded(rows.iter().copied().filter(usable), query.zone, now))?;
    let warm = warm_replica(&own, query, now).filter(|warm| *warm != replica);
    Some(Placement { replica, warm })
}

/// Replica that served the session before others were added or its load grew.
fn warm_replica(
    group: &[&ReplicaRow],
    query: &PlacementQuery<'_>,
    now: Duration,
) -> Option<SharedName> {
    let session = query.session?;
    let warm = group.iter().filter(|row| now.saturating_sub(row.since) >= WARM_TIME);
    let first = warm.max_by_key(|row| rendezvous::score(session, &row.entry.id))?;
    Some(first.entry.id.clone())
}

/// Tells for each replica whether it is kept for short prompts; zones take turns, so that the loss
/// of one leaves both groups some.
fn short_group(rows: &[&ReplicaRow], share: f64) -> Vec<bool> {
    let wanted = match rows.len() {
        0 | 1 => 0,
        count => ((count as f64 * share).round() as usize).clamp(1, count - 1),
    };
    let mut places: Vec<(usize, &str, usize)> = Vec::with_capacity(rows.len());
    for (index, row) in rows.iter().enumerate() {
        let zone = &*row.entry.zone;
        let in_zone = places.iter().filter(|(_, other, _)| *other == zone).count();
        places.push((in_zone, zone, index));
    }
    places.sort_unstable();
    let mut flags = vec![false; rows.len()];
    for (_, _, index) in places.into_iter().take(wanted) {
        flags[index] = true;
    }
    flags
}

/// Replica of the session, or the next in its order that has not much more work than others.
fn within_group(group: &[&ReplicaRow], query: &PlacementQuery<'_>) -> Option<SharedName> {
    let total: u64 = group.iter().map(|row| row.work()).sum();
    let mean = total as f64 / group.len().max(1) as f64;
    let bound = (mean * SESSION_LOAD_BOUND) as u64 + SESSION_LOAD_SLACK;
    let least = group.iter().min_by_key(|row| row.work())?;
    let Some(session) = query.session else {
        return Some(least.entry.id.clone());
    };
    let within = group.iter().filter(|row| row.work() <= bound);
    let first = within.max_by_key(|row| rendezvous::score(session, &row.entry.id));
    Some(first.unwrap_or(least).entry.id.clone())
}

fn least_loaded<'a>(
    rows: impl Iterator<Item = &'a ReplicaRow>,
    zone: &str,
    now: Duration,
) -> Option<SharedName> {
    let cost = |row: &&ReplicaRow| {
        let way = if &*row.entry.zone == zone { 0 } else { ZONE_WORK };
        (!row.is_healthy(now), row.work() + way)
    };
    rows.min_by_key(cost).map(|row| row.entry.id.clone())
}
