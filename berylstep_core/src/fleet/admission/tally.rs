//! What a node has seen of the load on a service: by tier, organisation and size.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AdmissionAsk, AdmissionEnd};
use crate::collections::HashMap;

/// Time over which served parts are compared.
const FLOOR_TIME: Duration = Duration::from_secs(10);

/// Time over which completions are averaged.
const END_TIME: Duration = Duration::from_secs(3);

/// Time over which the usual load of an organisation is averaged.
const USUAL_TIME: Duration = Duration::from_secs(120);

/// Time for which a node must have counted before it knows the usual load.
const LEARNING_TIME: Duration = Duration::from_secs(20);

/// Time over which the present load of an organisation is averaged.
const PRESENT_TIME: Duration = Duration::from_secs(3);

/// Multiple of its usual load from which on an organisation has to yield. Bursts of all callers reach nearly
/// twice the load.
const UNUSUAL_FACTOR: f64 = 2.5;

/// Requests in [`PRESENT_TIME`] that are never unusual, since chance explains them.
const USUAL_SLACK: f64 = 8.0;

/// Multiple below which it no longer has to. In between, refused requests that come back after the rise would
/// be taken for usual ones, and queue before those of others.
const UNUSUAL_END_FACTOR: f64 = 1.5;

/// Weight of an unusual request in the usual load, which a lasting rise thus changes within many minutes. With
/// 0.2, the allowance of a rising organisation grew by a quarter within 15 s.
const UNUSUAL_WEIGHT: f64 = 0.05;

/// Multiple of its usual load up to which the requests of such an organisation are like those of others.
const USUAL_ALLOWANCE: f64 = 1.2;

/// Least served part of a tier or an organisation, relative to that of all requests. Callers need a quarter;
/// the rest covers requests that fail later. At 0.35, the refused requests of an organisation at 7.5 times its
/// load that were sent again, and so counted twice, brought it enough to delay the others.
const GROUP_FLOOR: f64 = 0.28;

/// Least served part of large requests, relative to that of their tier. Callers need a half.
const LARGE_FLOOR: f64 = 0.7;

/// Part of a tier's requests that count as large.
const LARGE_PART: f64 = 0.3;

/// Step of the estimate of the size from which on requests are large.
const LARGE_STEP: f64 = 0.05;

/// Weight of the mix of recent arrivals in the mix of the requests in progress, in requests.
const MIX_WEIGHT: f64 = 4.0;

/// Requests that must have ended before their rate is known.
const MIN_ENDS: f64 = 4.0;

/// Weight, in ended requests, of the assumption that no more urgent ones arrive.
const DRAIN_WEIGHT: f64 = 4.0;

/// Least part of the completions that is expected to go to a tier and those below it.
const MIN_DRAINED: f64 = 0.1;

/// Requests of a tier that must have asked, or ended, before it is compared with others.
const MIN_COMPARED: f64 = 3.0;

/// Organisations that are counted before idle ones are dropped.
const MAX_ORGANISATIONS: usize = 1024;

/// Count that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedCount {
    value: f64,
    at: Duration,
}

impl DecayedCount {
    fn at(&self, period: Duration, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-elapsed / period.as_secs_f64()).exp()
    }

    fn add(&mut self, amount: f64, period: Duration, now: Duration) {
        *self = Self { value: self.at(period, now) + amount, at: now };
    }
}

/// Requests that asked, and those that were admitted.
#[derive(Clone, Copy, Debug, Default)]
struct ServedPart {
    asked: DecayedCount,
    admitted: DecayedCount,
}

impl ServedPart {
    fn record_ask(&mut self, now: Duration) {
        self.asked.add(1.0, FLOOR_TIME, now);
    }

    fn record_admission(&mut self, now: Duration) {
        self.admitted.add(1.0, FLOOR_TIME, now);
    }

    /// Returns the admitted part of the requests that have asked; 1 if none has. `deciding` requests, which
    /// are not decided on yet, are left out.
    fn part(&self, deciding: f64, now: Duration) -> f64 {
        let asked = self.asked.at(FLOOR_TIME, now) - deciding;
        match asked > 0.01 {
            true => self.admitted.at(FLOOR_TIME, now) / asked,
            false => 1.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TierTally {
    running: u32,
    all: ServedPart,
    large: ServedPart,
    served: DecayedCount,
    ended: DecayedCount,
    large_from: f64,
}

impl TierTally {
    /// Returns whether a request is large for its tier, and learns from its size.
    fn observe_size(&mut self, work: u64) -> bool {
        let work = (work as f64).max(1.0);
        if self.large_from == 0.0 {
            self.large_from = work;
            return false;
        }
        let is_large = work > self.large_from;
        // Rises and falls cancel out where the wanted part of the requests is larger.
        let step = match is_large {
            true => (1.0 - LARGE_PART) * LARGE_STEP,
            false => -LARGE_PART * LARGE_STEP,
        };
        self.large_from *= 1.0 + step;
        is_large
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct OrganisationTally {
    all: ServedPart,
    usual: DecayedCount,
    present: DecayedCount,
    /// Whether it sends many times its usual load.
    is_rising: bool,
    allowance: f64,
    refilled_at: Duration,
}

/// What is known of a request on arrival.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalNotice {
    /// Whether it is beyond the usual load of its organisation.
    pub is_unusual: bool,
    /// Whether it is among the large ones of its tier.
    pub is_large: bool,
}

/// Place of a tier among the requests in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TierMix {
    /// Part of the requests in progress that are of this tier or a more urgent one.
    pub ahead: f64,
    /// Part of the completions that are of this tier or a less urgent one.
    pub drained: f64,
    /// Part of the completions that are of this tier or a more urgent one.
    pub taken: f64,
}

/// Counts of a node for one service.
#[derive(Debug, Default)]
pub struct LoadTally {
    started_at: Duration,
    tiers: BTreeMap<u8, TierTally>,
    organisations: HashMap<u64, OrganisationTally>,
    all: ServedPart,
    /// Load of all organisations over [`USUAL_TIME`] and [`PRESENT_TIME`].
    usual: DecayedCount,
    present: DecayedCount,
    ended: DecayedCount,
    /// Time that requests had a slot, summed over them, in seconds.
    slot_seconds: DecayedCount,
    /// Requests that were admitted and have not ended.
    running: u32,
    /// Part of the requests in progress that have a slot.
    slot_part: f64,
}

impl LoadTally {
    /// Creates empty counts at `now`.
    pub fn new(now: Duration) -> Self {
        Self { started_at: now, slot_part: 1.0, ..Self::default() }
    }

    /// Records a request that asks for admission. One that isn't counted leaves no trace in served parts.
    pub fn record_arrival(
        &mut self,
        ask: &AdmissionAsk,
        is_counted: bool,
        now: Duration,
    ) -> ArrivalNotice {
        let is_unusual = self.record_organisation(ask.organisation, is_counted, now);
        let tier = self.tiers.entry(ask.tier).or_default();
        let is_large = tier.observe_size(ask.work);
        if is_counted {
            self.all.record_ask(now);
            tier.all.record_ask(now);
            if is_large {
                tier.large.record_ask(now);
            }
        }
        ArrivalNotice { is_unusual, is_large }
    }

    /// Records a request of an organisation; returns whether it is beyond its usual load.
    fn record_organisation(&mut self, organisation: u64, is_counted: bool, now: Duration) -> bool {
        if organisation == 0 {
            return false;
        }
        let age = now.saturating_sub(self.started_at);
        let seconds = USUAL_TIME.as_secs_f64();
        // The averages have not filled up yet while the node is young.
        let seconds = seconds * (1.0 - (-age.as_secs_f64() / seconds).exp());
        let count = self.organisations.len().max(1) as f64;
        let mean = self.usual.at(USUAL_TIME, now) / count;
        let tally = self.organisations.entry(organisation).or_default();
        // An organisation below the average is never unusual, so that new ones have a place.
        let usual = tally.usual.at(USUAL_TIME, now).max(mean);
        let others_usual = self.usual.at(USUAL_TIME, now) - tally.usual.at(USUAL_TIME, now);
        self.present.add(1.0, PRESENT_TIME, now);
        tally.present.add(1.0, PRESENT_TIME, now);
        let present = tally.present.at(PRESENT_TIME, now);
        let others_present = self.present.at(PRESENT_TIME, now) - present;
        // Where the load of all organisations rises, as after a quiet time, none of them is unusual; nor is one
        // that is alone.
        let per_present = PRESENT_TIME.as_secs_f64() / seconds.max(1.0);
        let common = match others_present > 0.5 {
            true => others_present / (others_usual * per_present).max(f64::MIN_POSITIVE),
            false => f64::INFINITY,
        };
        let usual_now = usual * per_present * common.max(1.0);
        let factor = if tally.is_rising { UNUSUAL_END_FACTOR } else { UNUSUAL_FACTOR };
        tally.is_rising = present > (usual_now * factor).max(USUAL_SLACK);
        let elapsed = now.saturating_sub(tally.refilled_at).as_secs_f64();
        let allowed = usual_now / PRESENT_TIME.as_secs_f64() * USUAL_ALLOWANCE;
        tally.allowance = (tally.allowance + allowed * elapsed).min(allowed.max(1.0));
        tally.refilled_at = now;
        let is_allowed = tally.allowance >= 1.0;
        if is_allowed {
            tally.allowance -= 1.0;
        }
        let is_unusual = tally.is_rising && !is_allowed;
        let weight = if is_unusual { UNUSUAL_WEIGHT } else { 1.0 };
        tally.usual.add(weight, USUAL_TIME, now);
        self.usual.add(weight, USUAL_TIME, now);
        if is_counted {
            tally.all.record_ask(now);
        }
        is_unusual && age >= LEARNING_TIME
    }

    /// Records that a request is admitted.
    pub fn record_admission(
        &mut self,
        ask: &AdmissionAsk,
        is_large: bool,
        is_counted: bool,
        now: Duration,
    ) {
        self.pass_time(now);
        self.running += 1;
        let tier = self.tiers.entry(ask.tier).or_default();
        tier.running += 1;
        if !is_counted {
            return;
        }
        self.all.record_admission(now);
        tier.all.record_admission(now);
        if is_large {
            tier.large.record_admission(now);
        }
        if let Some(organisation) = self.organisations.get_mut(&ask.organisation) {
            organisation.all.record_admission(now);
        }
    }

    /// Records that an admitted request has ended.
    pub fn record_end(&mut self, tier: u8, end: AdmissionEnd, now: Duration) {
        self.pass_time(now);
        self.running = self.running.saturating_sub(1);
        let tier = self.tiers.entry(tier).or_default();
        tier.running = tier.running.saturating_sub(1);
        match end {
            AdmissionEnd::NotRun => return,
            AdmissionEnd::Failed => {}
            AdmissionEnd::Served => tier.served.add(1.0, FLOOR_TIME, now),
        }
        tier.ended.add(1.0, FLOOR_TIME, now);
        self.ended.add(1.0, END_TIME, now);
    }

    fn pass_time(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.slot_seconds.at).min(END_TIME);
        let seconds = elapsed.as_secs_f64() * f64::from(self.running) * self.slot_part;
        self.slot_seconds.add(seconds, END_TIME, now);
    }

    /// Returns the requests that end per second over all nodes; 0 if too few of this node have ended. It is
    /// taken from the time that requests have a slot, which doesn't depend on the length of the queue: rates
    /// of the last seconds would be too low when a burst follows a time of little load, and too high by the
    /// queue's growth if they were taken from the whole time that requests are in progress.
    pub fn completion_rate(&mut self, slots: u32, requests: u32, now: Duration) -> f64 {
        self.pass_time(now);
        let running = f64::from(requests.min(slots));
        self.slot_part = if requests > 0 { running / f64::from(requests) } else { 1.0 };
        let ended = self.ended.at(END_TIME, now);
        let seconds = self.slot_seconds.at(END_TIME, now);
        match ended >= MIN_ENDS && seconds > 0.0 {
            true => running * ended / seconds,
            false => 0.0,
        }
    }

    /// Returns whether no more urgent tier has asked lately.
    pub fn is_most_urgent(&self, tier: u8) -> bool {
        let now = self.all.asked.at;
        let mut urgent = self.tiers.range(..tier);
        urgent.all(|(_, tally)| tally.running == 0 && tally.all.asked.at(FLOOR_TIME, now) < 0.5)
    }

    /// Returns whether a tier is the most urgent of several that have asked lately.
    pub fn leads_others(&self, tier: u8, now: Duration) -> bool {
        let asked = |tally: &TierTally| tally.all.asked.at(FLOOR_TIME, now) >= MIN_COMPARED;
        let mut lower = self.tiers.range(tier..).filter(|(other, _)| **other > tier);
        self.is_most_urgent(tier) && lower.any(|(_, tally)| asked(tally))
    }

    /// Returns the place of a tier among the requests in progress. The mix at this node stands for that at
    /// all nodes.
    pub fn mix(&self, tier: u8, now: Duration) -> TierMix {
        let lower = || self.tiers.range(tier..).filter(|(other, _)| **other > tier);
        let asked = |tally: &TierTally| tally.all.asked.at(FLOOR_TIME, now);
        let asked_lower: f64 = lower().map(|(_, tally)| asked(tally)).sum();
        let asked_all: f64 = self.tiers.values().map(asked).sum();
        let arriving_lower = asked_lower / asked_all.max(f64::MIN_POSITIVE);
        let running_lower: u32 = lower().map(|(_, tally)| tally.running).sum();
        let behind = (f64::from(running_lower) + MIX_WEIGHT * arriving_lower)
            / (f64::from(self.running) + MIX_WEIGHT);
        let ended = |tally: &TierTally| tally.ended.at(FLOOR_TIME, now);
        let ended_here: f64 = self.tiers.range(tier..).map(|(_, tally)| ended(tally)).sum();
        let ended_all: f64 = self.tiers.values().map(ended).sum();
        let drained = (ended_here + DRAIN_WEIGHT) / (ended_all + DRAIN_WEIGHT);
        let ended_up_to: f64 = self.tiers.range(..=tier).map(|(_, tally)| ended(tally)).sum();
        let taken = ended_up_to / ended_all.max(f64::MIN_POSITIVE);
        TierMix { ahead: 1.0 - behind, drained: drained.max(MIN_DRAINED), taken }
    }

    /// Returns whether the tier, organisation or size of a request that has asked is served too rarely.
    pub fn is_below_floor(&self, ask: &AdmissionAsk, is_large: bool, now: Duration) -> bool {
        let all = self.all.part(1.0, now);
        let Some(tier) = self.tiers.get(&ask.tier) else { return false };
        let organisation = self.organisations.get(&ask.organisation);
        let floor = all * GROUP_FLOOR;
        tier.all.part(0.0, now) < floor
            || organisation.is_some_and(|tally| tally.all.part(0.0, now) < floor)
            || (is_large
                && tier.large.part(0.0, now) < tier.all.part(1.0, now).min(1.0) * LARGE_FLOOR)
    }

    /// Returns whether a lower tier is admitted more often than this one.
    pub fn is_behind_lower(&self, tier: u8, now: Duration) -> bool {
        let Some(own) = self.tiers.get(&tier) else { return false };
        let own = own.all.part(1.0, now);
        let mut lower = self.tiers.range(tier..).filter(|(other, _)| **other > tier);
        lower.any(|(_, tally)| {
            tally.all.asked.at(FLOOR_TIME, now) >= MIN_COMPARED && tally.all.part(0.0, now) > own
        })
    }

    /// Returns whether a lower tier gets responses too rarely, compared with this one.
    pub fn starves_lower(&self, tier: u8, now: Duration) -> bool {
        // Requests in progress are left out, since those of some tiers run for longer.
        let served = |tally: &TierTally| {
            let ended = tally.ended.at(FLOOR_TIME, now);
            let part = || tally.served.at(FLOOR_TIME, now) / ended * tally.all.part(0.0, now);
            (ended >= MIN_COMPARED).then(part)
        };
        let Some(own) = self.tiers.get(&tier).and_then(served) else { return false };
        let mut lower = self.tiers.range(tier..).filter(|(other, _)| **other > tier);
        lower.any(|(_, tally)| served(tally).is_some_and(|part| part < own * GROUP_FLOOR))
    }

    /// Drops organisations that have been idle, if there are many.
    pub fn expire(&mut self, now: Duration) {
        if self.organisations.len() > MAX_ORGANISATIONS {
            self.organisations.retain(|_, tally| tally.usual.at(USUAL_TIME, now) > 0.1);
        }
    }
}
