//! Replicas of a pool: slot accounting, load balancing and outlier ejection.

use std::time::Duration;

use super::request::{SlotDemand, SlotOutcome};
use crate::collections::{HashMap, SharedName};
use crate::rendezvous;
use crate::upstream::LoadReport;

/// Time over which the usable slots of a new or readmitted replica grow to all of them.
pub const SLOW_START: Duration = Duration::from_secs(5);

/// Fraction of the slots that a replica starts with during a slow start.
const SLOW_START_FRACTION: f64 = 0.25;

/// Half-life of a load report's weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);

/// Prefix affinity applies up to this multiple of the pool's mean expected work, plus the time of
/// one token.
const AFFINITY_BOUND: f64 = 1.25;

/// Consecutive failures after which a replica is ejected.
const EJECT_FAILURES: u32 = 3;

/// Time per token, as a multiple of the pool's median, above which a replica is ejected.
const EJECT_SLOWNESS: f64 = 4.0;

/// Samples needed before the speed of a replica is used.
const SPEED_SAMPLES: u32 = 4;

/// Base ejection time. It doubles with each consecutive ejection.
const EJECT_TIME: Duration = Duration::from_secs(1);

/// Limit on the doublings of [`EJECT_TIME`].
const MAX_EJECT_DOUBLINGS: u32 = 5;

/// Time for which a due probe is reserved for lower tiers before the highest tier may serve as one.
const PROBE_GRACE: Duration = Duration::from_secs(2);

/// Weight of a new sample in the moving average of a replica's time per token.
const SPEED_WEIGHT: f64 = 0.2;

/// Replica as given in the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSpec {
    /// Identifier of the upstream.
    pub id: SharedName,
    /// Number of requests that the replica serves concurrently.
    pub slots: u32,
    /// Whether the replica accepts no new requests.
    pub leaving: bool,
}

/// State of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplicaHealth {
    /// Receives requests.
    Healthy,
    /// Receives no requests until this time, then one at a time as a probe.
    Ejected { until: Duration },
}

#[derive(Clone, Debug)]
struct ReplicaRow {
    spec: ReplicaSpec,
    held: u32,
    held_tokens: u64,
    slow_start_from: Option<Duration>,
    health: ReplicaHealth,
    failures: u32,
    ejections: u32,
    secs_per_token: f64,
    samples: u32,
    // Requests in the last load report beyond those granted here, and when the report arrived.
    external_work: f64,
    reported_at: Duration,
}

/// Replicas by identifier.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    replicas: HashMap<SharedName, ReplicaRow>,
    list_received: bool,
    share: Option<f64>,
}

impl ReplicaTable {
    /// Replaces the list of replicas. Replicas added after the first list get a slow start.
    pub fn observe_list(&mut self, now: Duration, specs: &[ReplicaSpec]) {
        for row in self.replicas.values_mut() {
            row.spec.leaving = true;
        }
        for spec in specs {
            let slow_start_from = self.list_received.then_some(now);
            let new_row = || ReplicaRow::new(spec.clone(), slow_start_from);
            self.replicas.entry(spec.id.clone()).or_insert_with(new_row).spec = spec.clone();
        }
        self.list_received |= !specs.is_empty();
        let listed = |id: &SharedName| specs.iter().any(|spec| spec.id == *id);
        self.replicas.retain(|id, row| row.held > 0 || listed(id));
    }

    /// Records a load report received at `now`.
    pub fn observe_load(&mut self, now: Duration, id: &str, report: LoadReport) {
        if let Some(row) = self.replicas.get_mut(id) {
            row.external_work =
                f64::from((report.running + report.waiting).saturating_sub(row.held));
            row.reported_at = now;
        }
    }

    /// Limits every replica to a fraction of its slots, from 0 to 1. `None` removes the limit.
    pub fn set_share(&mut self, share: Option<f64>) {
        self.share = share;
    }

    /// Returns the number of usable slots of all replicas.
    pub fn capacity(&self, now: Duration) -> u32 {
        self.replicas.values().map(|row| row.usable_slots(now, self.share)).sum()
    }

    /// Returns the number of free slots of all replicas.
    pub fn free(&self, now: Duration) -> u32 {
        let free = |row: &ReplicaRow| row.usable_slots(now, self.share).saturating_sub(row.held);
        self.replicas.values().map(free).sum()
    }

    /// Returns the number of slots in use on one replica.
    pub fn held(&self, id: &str) -> u32 {
        self.replicas.get(id).map_or(0, |row| row.held)
    }

    /// Returns whether any replica that is not leaving may serve the request, whether it has a free
    /// slot or not.
    pub fn can_serve(&self, demand: &SlotDemand) -> bool {
        let open = self.replicas.values().filter(|row| !row.spec.leaving);
        open.filter(|row| !demand.excluded.contains(&row.spec.id)).count() > 0
    }

    /// Returns whether a replica could serve the request if one of its slots were released.
    pub fn would_serve(&self, now: Duration, id: &str, demand: &SlotDemand) -> bool {
        self.replicas.get(id).is_some_and(|row| {
            let within = row.held <= row.usable_slots(now, self.share);
            row.accepts_work() && within && !demand.excluded.contains(&row.spec.id)
        })
    }

    /// Selects the replica with a free slot and the least expected work.
    ///
    /// The replica preferred for the prompt prefix is selected while its expected work is within
    /// the affinity bound. An ejected replica that is due for a probe comes first.
    pub fn select(&self, now: Duration, demand: &SlotDemand) -> Option<SharedName> {
        if let Some(probe) = self.probe_target(now, demand) {
            return Some(probe);
        }
        let free = |row: &&ReplicaRow| {
            row.health == ReplicaHealth::Healthy
                && row.held < row.usable_slots(now, self.share)
                && !demand.excluded.contains(&row.spec.id)
        };
        let candidates: Vec<_> = self.replicas.values().filter(free).collect();
        let secs_per_token = self.median_secs_per_token();
        let work = |row: &ReplicaRow| row.expected_work(now, secs_per_token);
        if demand.prefix_hash != 0 {
            let prefix = format!("{:016x}", demand.prefix_hash);
            let score = |row: &ReplicaRow| rendezvous::score(&prefix, &row.spec.id);
            let healthy: Vec<_> = self.replicas.values().filter(|row| row.accepts_work()).collect();
            let total: f64 = healthy.iter().map(|row| work(row)).sum();
            let bound = AFFINITY_BOUND * total / healthy.len().max(1) as f64 + secs_per_token;
            let preferred = healthy.into_iter().max_by_key(|row| score(row));
            let preferred = preferred.filter(|row| free(row) && work(row) <= bound);
            if let Some(row) = preferred {
                return Some(row.spec.id.clone());
            }
        }
        let by_work = |left: &&&ReplicaRow, right: &&&ReplicaRow| {
            let order = work(left).total_cmp(&work(right));
            order.then_with(|| left.spec.id.cmp(&right.spec.id))
        };
        candidates.iter().min_by(by_work).map(|row| row.spec.id.clone())
    }

    /// Counts a slot as in use. A replica that is not in the list is added as leaving.
    pub fn occupy_slot(&mut self, id: &SharedName, tokens: u32) {
        let unlisted = ReplicaSpec { id: id.clone(), slots: 0, leaving: true };
        let new_row = || ReplicaRow::new(unlisted, None);
        let row = self.replicas.entry(id.clone()).or_insert_with(new_row);
        row.held += 1;
        row.held_tokens += u64::from(tokens);
    }

    /// Counts a slot as free.
    pub fn release_slot(&mut self, id: &str, tokens: u32) {
        if let Some(row) = self.replicas.get_mut(id) {
            row.held = row.held.saturating_sub(1);
            row.held_tokens = row.held_tokens.saturating_sub(u64::from(tokens));
        }
    }

    /// Updates the health of a replica from the result of one request.
    pub fn observe_outcome(
        &mut self,
        now: Duration,
        id: &str,
        outcome: SlotOutcome,
        service: Duration,
    ) {
        let median = self.median_secs_per_token();
        let ejectable = self.replicas.values().filter(|row| row.accepts_work()).count() > 1;
        let Some(row) = self.replicas.get_mut(id) else { return };
        if outcome.failed {
            row.failures += 1;
            let probe_failed = row.health != ReplicaHealth::Healthy;
            if probe_failed || (row.failures >= EJECT_FAILURES && ejectable) {
                row.eject(now);
            }
            return;
        }
        if outcome.abandoned {
            return;
        }
        row.failures = 0;
        let secs_per_token = service.as_secs_f64() / f64::from(outcome.tokens.max(1));
        let slow = row.observe_speed(secs_per_token, median);
        if row.health != ReplicaHealth::Healthy {
            match slow {
                true => row.eject(now),
                false => row.readmit(now),
            }
        } else if slow && ejectable {
            row.eject(now);
        }
    }

    /// Returns the median time per token of the replicas, in seconds. 0 before any has enough
    /// samples.
    pub fn median_secs_per_token(&self) -> f64 {
        let sampled = self.replicas.values().filter(|row| row.samples >= SPEED_SAMPLES);
        let mut times: Vec<_> = sampled.map(|row| row.secs_per_token).collect();
        if times.is_empty() {
            return 0.0;
        }
        // Uses the lower median, so that the slower of two replicas is detected as an outlier.
        let middle = (times.len() - 1) / 2;
        *times.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Returns whether the replica is ejected from the pool.
    pub fn is_ejected(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|row| row.health != ReplicaHealth::Healthy)
    }

    /// Returns an ejected replica that is due for a probe. Only idempotent requests are probes.
    fn probe_target(&self, now: Duration, demand: &SlotDemand) -> Option<SharedName> {
        if !demand.idempotent {
            return None;
        }
        let grace = if demand.tier <= 1 { PROBE_GRACE } else { Duration::ZERO };
        let due = |row: &&ReplicaRow| {
            matches!(row.health, ReplicaHealth::Ejected { until } if now >= until + grace)
                && row.held < row.usable_slots(now, self.share)
                && !demand.excluded.contains(&row.spec.id)
        };
        self.replicas.values().find(due).map(|row| row.spec.id.clone())
    }
}

impl ReplicaRow {
    fn new(spec: ReplicaSpec, slow_start_from: Option<Duration>) -> Self {
        Self {
            spec,
            held: 0,
            held_tokens: 0,
            slow_start_from,
            health: ReplicaHealth::Healthy,
            failures: 0,
            ejections: 0,
            secs_per_token: 0.0,
            samples: 0,
            external_work: 0.0,
            reported_at: Duration::ZERO,
        }
    }

    fn accepts_work(&self) -> bool {
        !self.spec.leaving && self.health == ReplicaHealth::Healthy
    }

    /// Returns the number of slots that may be in use at `now`.
    fn usable_slots(&self, now: Duration, share: Option<f64>) -> u32 {
        if self.spec.leaving {
            return 0;
        }
        if let ReplicaHealth::Ejected { until } = self.health {
            return u32::from(now >= until);
        }
        let ramp = self.slow_start_from.map_or(1.0, |from| {
            let age = now.saturating_sub(from).as_secs_f64() / SLOW_START.as_secs_f64();
            (SLOW_START_FRACTION + age).min(1.0)
        });
        let fraction = ramp * share.unwrap_or(1.0);
        (f64::from(self.spec.slots) * fraction).ceil() as u32
    }

    /// Estimates the seconds of work ahead of a new request, from the grants and the load report
    /// weighted by its age.
    fn expected_work(&self, now: Duration, median_secs_per_token: f64) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let discount = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        let mean_tokens = match self.held {
            0 => 1.0,
            held => self.held_tokens as f64 / f64::from(held),
        };
        let tokens = self.held_tokens as f64 + self.external_work * discount * mean_tokens;
        let secs_per_token = match self.samples >= SPEED_SAMPLES {
            true => self.secs_per_token,
            false if median_secs_per_token > 0.0 => median_secs_per_token,
            false => 1.0,
        };
        tokens * secs_per_token / f64::from(self.spec.slots.max(1))
    }

    /// Records a sample of the time per token. Returns whether the replica is an outlier.
    fn observe_speed(&mut self, secs_per_token: f64, median: f64) -> bool {
        if self.samples == 0 {
            self.secs_per_token = secs_per_token;
        }
        self.samples = self.samples.saturating_add(1);
        self.secs_per_token += (secs_per_token - self.secs_per_token) * SPEED_WEIGHT;
        let measured = match self.health {
            ReplicaHealth::Healthy => self.secs_per_token,
            ReplicaHealth::Ejected { .. } => secs_per_token,
        };
        self.samples >= SPEED_SAMPLES && median > 0.0 && measured > EJECT_SLOWNESS * median
    }

    fn eject(&mut self, now: Duration) {
        let doublings = self.ejections.min(MAX_EJECT_DOUBLINGS);
        self.health = ReplicaHealth::Ejected { until: now + EJECT_TIME * 2u32.pow(doublings) };
        self.ejections += 1;
    }

    fn readmit(&mut self, now: Duration) {
        self.health = ReplicaHealth::Healthy;
        self.ejections = self.ejections.saturating_sub(1);
        self.failures = 0;
        self.samples = 0;
        self.slow_start_from = Some(now);
    }
}
