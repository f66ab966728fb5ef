//! Turns to send a request to a replica that has named a limit.
//!
//! One node, the keeper, hands out the turns of all limited replicas of a service, so the limit
//! holds over all nodes and is used wherever the callers are. A keeper starts without turns in hand:
//! while nodes disagree for a moment on which one it is, the replicas get little more than their
//! limit.
//!
//! If there are too few turns, the higher tiers come first: a tier gets what the recent demand of
//! those above it leaves.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::fleet::cold::{COLD_SAVED, TAKEOVER_SHARE, TAKEOVER_TIME};

/// Lowest rate at which a replica is asked, in requests per second. Only responses tell that a limit
/// has ended.
const MIN_RATE: f64 = 1.0 / 30.0;

/// Time whose turns may be saved up while nobody asks.
const MAX_SAVED: Duration = Duration::from_millis(500);

/// Time over which the demand of a tier is averaged.
const DEMAND_PERIOD: Duration = Duration::from_secs(2);

/// Demand that counts as none, in requests per second.
const MIN_DEMAND: f64 = 0.01;

/// Time after which a keeper that was not asked for a cold replica takes over anew. Another node may have been
/// its keeper meanwhile.
const COLD_IDLE: Duration = Duration::from_secs(1);

/// Time after which a replica or a service that nobody has asked for is forgotten.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// Longest time for which a node does not ask for turns of a tier.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Number of tiers; lower ones share the last.
const TIERS: usize = 10;

/// A replica that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnCandidate {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Its limit, in requests per second.
    pub rate: f64,
}

/// Asks for a turn at any one of several replicas of a service.
#[derive(Clone, Copy, Debug)]
pub struct TurnAsk<'a> {
    /// Service of the replicas.
    pub service: &'a str,
    /// Tier of the request; 0 comes first.
    pub tier: u8,
    /// Time for which the request's caller may wait or come back; zero if other replicas take the
    /// request.
    pub patience: Duration,
    /// Replicas in the order of preference.
    pub candidates: &'a [TurnCandidate],
}

/// Answer to a [`TurnAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnAnswer {
    /// The request may be sent to this replica now.
    Granted(u32),
    /// None of the replicas may get the request; a turn is expected after this time.
    Denied(Duration),
}

/// Turns that have accrued at a rate, up to a bound.
#[derive(Clone, Copy, Debug)]
struct TurnBucket {
    turns: f64,
    rate: f64,
    bound: f64,
    filled_at: Duration,
    /// Time until which the replica counts as cold.
    cold_until: Duration,
    /// Time until which another keeper may still hand out turns of the cold replica.
    takeover_until: Duration,
}

impl TurnBucket {
    fn empty(now: Duration) -> Self {
        Self {
            turns: 0.0,
            rate: 0.0,
            bound: 1.0,
            filled_at: now,
            cold_until: Duration::ZERO,
            takeover_until: Duration::ZERO,
        }
    }

    /// Marks the replica as cold. The first time, and after a time in which nobody asked, it has no turns in
    /// hand, but lacks `lag`.
    fn mark_cold(&mut self, lag: f64, now: Duration) {
        if self.cold_until <= now {
            let takeover_until = now + TAKEOVER_TIME;
            *self = Self { turns: -lag, takeover_until, ..Self::empty(now) };
        }
        self.cold_until = now + COLD_IDLE;
    }

    /// Adds the turns of the time since the last call, at the limit `rate` from now on.
    fn refill(&mut self, rate: f64, now: Duration) {
        let rate = match self.takeover_until > now {
            true => rate * TAKEOVER_SHARE,
            false => rate,
        };
        let saved = if self.cold_until > now { COLD_SAVED } else { MAX_SAVED };
        self.fill(rate, saved_turns(rate, saved), now);
    }

    /// Adds the turns of the time since the last call, then changes the rate and the bound.
    fn fill(&mut self, rate: f64, bound: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.turns = (self.turns + elapsed * self.rate).min(self.bound).min(bound);
        (self.rate, self.bound, self.filled_at) = (rate, bound, now);
    }

    /// Returns the time until the bucket holds a whole turn.
    fn time_to_turn(&self) -> Duration {
        let seconds = (1.0 - self.turns).max(0.0) / self.rate.max(MIN_RATE);
        Duration::from_secs_f64(seconds)
    }
}

/// Returns the number of turns that may be saved up at a rate in `time`.
fn saved_turns(rate: f64, time: Duration) -> f64 {
    (rate * time.as_secs_f64()).max(1.0)
}

/// What is known of one tier of a service.
#[derive(Clone, Copy, Debug)]
struct TierRow {
    /// Decayed number of asks.
    asks: f64,
    asked_at: Duration,
    /// Turns that the demand of the tiers above leaves to this one and those below.
    left: TurnBucket,
    /// Time of the last turn that refused requests of this tier and those above may come back for.
    promised: Duration,
}

impl TierRow {
    fn new(now: Duration) -> Self {
        Self { asks: 0.0, asked_at: now, left: TurnBucket::empty(now), promised: now }
    }

    /// Returns the recent demand in requests per second.
    fn demand(&self, now: Duration) -> f64 {
        self.decayed(now) / DEMAND_PERIOD.as_secs_f64()
    }

    fn record_ask(&mut self, now: Duration) {
        (self.asks, self.asked_at) = (self.decayed(now) + 1.0, now);
    }

    fn decayed(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.asked_at).as_secs_f64();
        self.asks * (-elapsed / DEMAND_PERIOD.as_secs_f64()).exp()
    }
}

/// Turns of one service.
#[derive(Debug)]
struct ServiceTurns {
    replicas: HashMap<u32, TurnBucket>,
    tiers: [TierRow; TIERS],
}

impl ServiceTurns {
    fn new(now: Duration) -> Self {
        Self { replicas: HashMap::default(), tiers: [TierRow::new(now); TIERS] }
    }

    fn take(&mut self, ask: &TurnAsk<'_>, now: Duration) -> TurnAnswer {
        let tier = usize::from(ask.tier).min(TIERS - 1);
        for candidate in ask.candidates {
            let rate = candidate.rate.max(MIN_RATE);
            let bucket = self.replicas.entry(candidate.replica);
            bucket.or_insert(TurnBucket::empty(now)).refill(rate, now);
        }
        self.fill_tiers(now);
        self.tiers[tier].record_ask(now);
        if let Some(wait) = self.wait_for_tiers_above(tier, now) {
            return self.deny(ask, tier, wait, now);
        }
        let has_turn = |candidate: &&TurnCandidate| {
            self.replicas.get(&candidate.replica).is_some_and(|bucket| bucket.turns >= 1.0)
        };
        let Some(granted) = ask.candidates.iter().find(has_turn).map(|it| it.replica) else {
            let buckets = ask.candidates.iter().filter_map(|it| self.replicas.get(&it.replica));
            let wait = buckets.map(TurnBucket::time_to_turn).min().unwrap_or_default();
            return self.deny(ask, tier, wait, now);
        };
        if let Some(bucket) = self.replicas.get_mut(&granted) {
            bucket.turns -= 1.0;
        }
        for row in &mut self.tiers[..=tier] {
            row.left.turns -= 1.0;
        }
        TurnAnswer::Granted(granted)
    }

    /// Returns the rate of all replicas together, in requests per second.
    fn total_rate(&self) -> f64 {
        self.replicas.values().map(|bucket| bucket.rate).sum()
    }

    fn fill_tiers(&mut self, now: Duration) {
        let total = self.total_rate();
        let bound: f64 = self.replicas.values().map(|bucket| bucket.bound).sum();
        let mut above = 0.0;
        for row in &mut self.tiers {
            row.left.fill((total - above).max(0.0), bound, now);
            above += row.demand(now);
        }
    }

    /// Returns how long a tier has to wait because the tiers above it need all turns; `None` if
    /// there is one for it.
    fn wait_for_tiers_above(&self, tier: usize, now: Duration) -> Option<Duration> {
        let mut above = 0.0;
        let mut wait = None;
        for (index, row) in self.tiers[..=tier].iter().enumerate() {
            if index > 0 && above > MIN_DEMAND && row.left.turns < 1.0 {
                wait = wait.max(Some(row.left.time_to_turn()));
            }
            above += row.demand(now);
        }
        wait
    }

    /// Denies a turn. Callers that can come back are told times one after the other, in the order of
    /// their tiers.
    fn deny(
        &mut self,
        ask: &TurnAsk<'_>,
        tier: usize,
        wait: Duration,
        now: Duration,
    ) -> TurnAnswer {
        let expected = (now + wait).max(self.tiers[tier].promised);
        let wait = expected - now;
        if !ask.patience.is_zero() && wait <= ask.patience {
            let interval = Duration::from_secs_f64(1.0 / self.total_rate().max(MIN_RATE));
            for row in &mut self.tiers[tier..] {
                row.promised = row.promised.max(now).max(expected) + interval;
            }
        }
        TurnAnswer::Denied(wait)
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.tiers.iter().all(|row| now.saturating_sub(row.asked_at) >= IDLE_RETENTION)
    }
}

/// Times until which a node does not ask for turns that were denied.
#[derive(Debug, Default)]
pub struct TurnPauses {
    /// Pauses by service, with the highest tier that each holds for.
    until: HashMap<SharedName, Vec<(u8, Duration)>>,
}

impl TurnPauses {
    /// Records that no turn of `service` for requests of `tier`, nor of those below, is expected for
    /// `wait`. The demand of the tiers above may end sooner, so a pause is short.
    pub fn pause(&mut self, service: &str, tier: u8, wait: Duration, now: Duration) {
        let pauses = self.until.entry(service.into()).or_default();
        pauses.retain(|(known, _)| *known != tier);
        pauses.push((tier, now + wait.min(MAX_PAUSE)));
    }

    /// Returns whether it is of no use to ask for a turn.
    pub fn is_paused(&self, service: &str, tier: u8, now: Duration) -> bool {
        let pauses = self.until.get(service);
        pauses.is_some_and(|pauses| pauses.iter().any(|(at, until)| *at <= tier && *until > now))
    }

    /// Drops pauses that are over.
    pub fn expire(&mut self, now: Duration) {
        self.until.retain(|_, pauses| pauses.iter().any(|(_, until)| *until > now));
    }
}

/// Hands out the turns of limited replicas.
#[derive(Debug, Default)]
pub struct TurnKeeper {
    services: HashMap<SharedName, ServiceTurns>,
}

impl TurnKeeper {
    /// Decides on one request.
    pub fn take(&mut self, ask: &TurnAsk<'_>, now: Duration) -> TurnAnswer {
        let service = self.services.entry(ask.service.into());
        service.or_insert_with(|| ServiceTurns::new(now)).take(ask, now)
    }

    /// Marks a replica of `service` as cold, before each request for its turns. The turns of a cold replica are
    /// hardly saved up, and a keeper begins with a part of them. `lag` from 0 to 1 is the part of a turn by
    /// which it begins later; keepers that don't hear each other should differ in it.
    pub fn mark_cold(&mut self, service: &str, replica: u32, lag: f64, now: Duration) {
        let service = self.services.entry(service.into());
        let replicas = &mut service.or_insert_with(|| ServiceTurns::new(now)).replicas;
        replicas.entry(replica).or_insert(TurnBucket::empty(now)).mark_cold(lag, now);
    }

    /// Drops what nobody has asked for in a while.
    pub fn expire(&mut self, now: Duration) {
        self.services.retain(|_, service| {
            service
                .replicas
                .retain(|_, bucket| now.saturating_sub(bucket.filled_at) < IDLE_RETENTION);
            !service.is_idle(now)
        });
    }
}
