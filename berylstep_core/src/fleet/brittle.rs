//! Replicas that are brittle: they say how many requests they may turn away in a second, and fall over
//! beyond that.
//!
//! Nodes see only their own rejections, so none may happen at all. A keeper hands the slots of a brittle
//! replica out ([`crate::fleet::slots`]). Where there is none, or not yet, the slots are divided among
//! the nodes, and a node never has more requests there than its share.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::fleet::limits::{LimitLedger, LimitNotice, LimitStatement, ProcessId};
use crate::rendezvous;

/// Part of the slots that is divided where nodes may not know each other and round differently.
const UNKNOWN_FLEET_SHARE: f64 = 0.8;

/// Longest time for which a node without a share leaves a replica alone after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Time after a service became brittle within which all nodes learn of it and tell the keepers what they
/// have at its replicas.
const ONSET_TIME: Duration = Duration::from_secs(1);

/// Time after its start within which a node learns of services that have been brittle before.
const START_TIME: Duration = Duration::from_secs(3);

/// Time for which a service counts as brittle while its replicas have not said anything about it, because
/// all of them have restarted.
const SILENCE_RETENTION: Duration = Duration::from_secs(60);

/// What a response says about the brittleness of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BrittleStatement {
    /// Nothing.
    #[default]
    Unsaid,
    /// The replica may turn any number of requests away.
    Sound,
    /// The replica may turn this number of requests away in a second.
    Tolerates(u32),
}

impl BrittleStatement {
    /// Returns the statement as one about a limit of rejections.
    fn limit(self) -> LimitStatement {
        match self {
            Self::Unsaid => LimitStatement::Unsaid,
            Self::Sound => LimitStatement::Unlimited,
            Self::Tolerates(rejections) => LimitStatement::PerSecond(rejections.into()),
        }
    }
}

/// Who decides whether a replica may get another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotSource {
    /// Nobody; the replica isn't brittle.
    Free,
    /// This node, which keeps within its share of the slots.
    Share,
    /// The keeper of the replica's slots.
    Keeper,
}

#[derive(Clone, Copy, Debug)]
struct ServiceRow {
    tolerated: u32,
    since: Duration,
    /// Time from which keepers hand out the slots.
    kept_from: Duration,
    /// Time at which a listed replica was last known to be brittle.
    seen: Duration,
}

/// What is known of brittle replicas. Their notices are limits of rejections in a second.
#[derive(Debug, Default)]
pub struct BrittleLedger {
    notices: LimitLedger,
    services: HashMap<SharedName, ServiceRow>,
    /// Pauses after rejections, by hash of the replica.
    pauses: HashMap<u32, (ProcessId, Duration)>,
}

impl BrittleLedger {
    /// Applies what the response to a request that was sent at `sent_at` says; returns the notice if it
    /// is news.
    pub fn observe(
        &mut self,
        process: ProcessId,
        service: &str,
        statement: BrittleStatement,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitNotice> {
        // A process that is taken for brittle because its service is may be sound.
        let inherited = self.services.get(service);
        if statement == BrittleStatement::Sound
            && self.notices.notice(process).is_none()
            && inherited.is_some_and(|row| sent_at > row.since)
        {
            let notice = LimitNotice { process, version: 1, rate: None };
            return self.notices.apply(notice, now).then_some(notice);
        }
        self.notices.observe(process, statement.limit(), sent_at, now)
    }

    /// Applies the notice of a peer; returns whether it is new.
    pub fn apply(&mut self, notice: LimitNotice, now: Duration) -> bool {
        self.notices.apply(notice, now)
    }

    /// Returns the notices to announce to peers; with `all`, also those in force for long.
    pub fn notices(&self, all: bool, now: Duration) -> Vec<LimitNotice> {
        self.notices.notices(all, now)
    }

    /// Updates what is known of the services from the `listed` replicas. Replicas of a service are brittle
    /// at the same time, so one that has just restarted is taken for brittle like the others.
    ///
    /// A node that has started at `started_at` and learns of it soon has missed the onset.
    pub fn update_services<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a SharedName, ProcessId)>,
        started_at: Duration,
        now: Duration,
    ) {
        let mut known: HashMap<&SharedName, Option<u32>> = HashMap::default();
        for (service, process) in listed {
            let Some(notice) = self.notices.notice(process) else { continue };
            let lowest = known.entry(service).or_default();
            *lowest = match (*lowest, tolerated_rejections(&notice)) {
                (Some(known), Some(rejections)) => Some(known.min(rejections)),
                (known, rejections) => known.or(rejections),
            };
        }
        self.services.retain(|service, row| match known.get(service) {
            Some(lowest) => lowest.is_some(),
            None => now.saturating_sub(row.seen) < SILENCE_RETENTION,
        });
        let has_missed_onset = now.saturating_sub(started_at) < START_TIME;
        let kept_from = if has_missed_onset { now } else { now + ONSET_TIME };
        for (service, lowest) in known {
            let Some(tolerated) = lowest else { continue };
            let row = ServiceRow { tolerated, since: now, kept_from, seen: now };
            let row = self.services.entry(service.clone()).or_insert(row);
            (row.tolerated, row.seen) = (tolerated, now);
        }
    }

    /// Returns whether some service may be brittle.
    pub fn knows_brittle(&self) -> bool {
        !self.services.is_empty() || self.notices.limited_replicas() > 0
    }

    /// Returns the rejections per second that a process of `service` tolerates; `None` if it is sound.
    pub fn tolerated(&self, process: ProcessId, service: &str) -> Option<u32> {
        match self.notices.notice(process) {
            Some(notice) => tolerated_rejections(&notice),
            None => self.services.get(service).map(|row| row.tolerated),
        }
    }

    /// Returns who decides on a request to a process of `service`; `has_keeper` tells whether some node
    /// hands its slots out.
    pub fn slot_source(
        &self,
        process: ProcessId,
        service: &str,
        has_keeper: bool,
        now: Duration,
    ) -> SlotSource {
        if self.tolerated(process, service).is_none() {
            return SlotSource::Free;
        }
        let is_kept = self.services.get(service).is_some_and(|row| now >= row.kept_from);
        match has_keeper && is_kept {
            true => SlotSource::Keeper,
            false => SlotSource::Share,
        }
    }

    /// Records that the process turned a request of this node away. `nodes` may do the same, so this
    /// one leaves it alone for long enough that they stay within half of what it tolerates.
    pub fn record_rejection(
        &mut self,
        process: ProcessId,
        service: &str,
        nodes: usize,
        now: Duration,
    ) {
        let Some(tolerated) = self.tolerated(process, service) else { return };
        let seconds = 2.0 * nodes.max(1) as f64 / f64::from(tolerated.max(1));
        let until = now + Duration::from_secs_f64(seconds).min(MAX_PAUSE);
        self.pauses.insert(process.replica, (process, until));
    }

    /// Returns whether a node with this share may send one more request to a brittle process, besides
    /// `running` ones.
    pub fn has_room(&self, process: ProcessId, share: u32, running: u32, now: Duration) -> bool {
        let pause = self.pauses.get(&process.replica).filter(|(paused, _)| *paused == process);
        running < share && pause.is_none_or(|(_, until)| now >= *until)
    }

    /// Drops processes that are no longer in the list of replicas.
    pub fn expire(&mut self, is_listed: impl Fn(ProcessId) -> bool, now: Duration) {
        self.pauses.retain(|_, (process, _)| is_listed(*process));
        self.notices.expire(is_listed, now);
    }
}

fn tolerated_rejections(notice: &LimitNotice) -> Option<u32> {
    notice.rate.map(|rate| rate as u32)
}

/// Returns the number of a replica's `slots` that `node` may use. `others` are the other nodes that it
/// knows, of `fleet` in all. Nodes that know all others divide the slots exactly.
pub fn slot_share(slots: u32, replica: &str, node: &str, others: &[&str], fleet: usize) -> u32 {
    let nodes = fleet.max(others.len() + 1) as u32;
    let (each, rest) = (slots / nodes, slots % nodes);
    if others.len() + 1 >= fleet {
        let own = rendezvous::score(replica, node);
        let rank = others.iter().filter(|other| rendezvous::score(replica, other) > own).count();
        return each + u32::from((rank as u32) < rest);
    }
    let share = f64::from(slots) / f64::from(nodes) * UNKNOWN_FLEET_SHARE;
    let draw = rendezvous::score(replica, node) as f64 / u64::MAX as f64;
    share as u32 + u32::from(draw < share.fract())
}
