//! Replicas of a pool: free slots, choice among them, and removal of outliers.

use std::time::Duration;

use super::request::{SlotDemand, SlotOutcome};
use crate::collections::{HashMap, SharedName};
use crate::rendezvous;
use crate::upstream::LoadReport;

/// Time over which a new or returning replica's slots become available.
pub const SLOW_START: Duration = Duration::from_secs(5);

/// Fraction of its slots that a new replica starts with.
const SLOW_START_FRACTION: f64 = 0.25;

/// Time after which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);

/// A prefix's preferred replica is taken up to this multiple of the pool's mean expected work.
const AFFINITY_BOUND: f64 = 1.25;

/// Failures in a row after which a replica is ejected.
const EJECT_FAILURES: u32 = 3;

/// Time for a token, in multiples of the pool's median, above which a replica is ejected.
const EJECT_SLOWNESS: f64 = 4.0;

/// Answers after which a replica's speed is judged.
const SPEED_SAMPLES: u32 = 4;

/// First time out of the pool; it doubles with each ejection in a row.
const EJECT_TIME: Duration = Duration::from_secs(1);

/// Most doublings of [`EJECT_TIME`].
const MAX_EJECT_DOUBLINGS: u32 = 5;

/// Time for which a due probe is left to lower tiers before the highest tier is used for it.
const PROBE_GRACE: Duration = Duration::from_secs(2);

/// Weight of a new observation in a replica's speed.
const SPEED_WEIGHT: f64 = 0.2;

/// A replica as the list of upstreams gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSpec {
    /// Identifier.
    pub id: SharedName,
    /// Requests served at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Whether a replica is trusted with work.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplicaHealth {
    /// Takes work.
    Healthy,
    /// Takes no work until this time, then one request at a time as a probe.
    Ejected { until: Duration },
}

#[derive(Clone, Debug)]
struct ReplicaRow {
    spec: ReplicaSpec,
    held: u32,
    held_units: u64,
    warm_from: Option<Duration>,
    health: ReplicaHealth,
    failures: u32,
    ejections: u32,
    secs_per_unit: f64,
    samples: u32,
    // Work that the last report showed above the grants, and when it arrived.
    foreign: f64,
    reported: Duration,
}

/// Replicas by identifier.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    replicas: HashMap<SharedName, ReplicaRow>,
    observed: bool,
    share: Option<f64>,
}

impl ReplicaTable {
    /// Takes in the list of the pool's upstreams; those new to a known pool start slowly.
    pub fn observe_list(&mut self, now: Duration, specs: &[ReplicaSpec]) {
        for row in self.replicas.values_mut() {
            row.spec.leaving = true;
        }
        for spec in specs {
            let warm_from = self.observed.then_some(now);
            let fresh = || ReplicaRow::new(spec.clone(), warm_from);
            self.replicas.entry(spec.id.clone()).or_insert_with(fresh).spec = spec.clone();
        }
        self.observed |= !specs.is_empty();
        let listed = |id: &SharedName| specs.iter().any(|spec| spec.id == *id);
        self.replicas.retain(|id, row| row.held > 0 || listed(id));
    }

    /// Takes in a load report that arrived at `now`.
    pub fn observe_load(&mut self, now: Duration, id: &str, report: LoadReport) {
        if let Some(row) = self.replicas.get_mut(id) {
            row.foreign = f64::from((report.running + report.waiting).saturating_sub(row.held));
            row.reported = now;
        }
    }

    /// Limits every replica to a fraction of its slots; `None` lifts the limit.
    pub fn set_share(&mut self, share: Option<f64>) {
        self.share = share;
    }

    /// Slots of all replicas that take work.
    pub fn capacity(&self, now: Duration) -> u32 {
        self.replicas.values().map(|row| row.usable(now, self.share)).sum()
    }

    /// Free slots of all replicas that take work.
    pub fn free(&self, now: Duration) -> u32 {
        let free = |row: &ReplicaRow| row.usable(now, self.share).saturating_sub(row.held);
        self.replicas.values().map(free).sum()
    }

    /// Slots in use on one replica.
    pub fn held(&self, id: &str) -> u32 {
        self.replicas.get(id).map_or(0, |row| row.held)
    }

    /// Whether any replica that is not leaving may serve the request, free or not.
    pub fn can_serve(&self, demand: &SlotDemand) -> bool {
        let open = self.replicas.values().filter(|row| !row.spec.leaving);
        open.filter(|row| !demand.excluded.contains(&row.spec.id)).count() > 0
    }

    /// Whether one slot less in use on a replica would let it serve the request.
    pub fn would_serve(&self, now: Duration, id: &str, demand: &SlotDemand) -> bool {
        self.replicas.get(id).is_some_and(|row| {
            let within = row.held <= row.usable(now, self.share);
            row.is_open() && within && !demand.excluded.contains(&row.spec.id)
        })
    }

    /// Replica with the least expected work among those with a free slot, or the prefix's
    /// preferred one while its work is within bounds.
    pub fn choose(&self, now: Duration, demand: &SlotDemand) -> Option<SharedName> {
        if let Some(probe) = self.probe_target(now, demand) {
            return Some(probe);
        }
        let free = |row: &&ReplicaRow| {
            row.health == ReplicaHealth::Healthy
                && row.held < row.usable(now, self.share)
                && !demand.excluded.contains(&row.spec.id)
        };
        let candidates: Vec<_> = self.replicas.values().filter(free).collect();
        let unit_time = self.median_unit_time();
        let work = |row: &ReplicaRow| row.expected_work(now, unit_time);
        if demand.prefix_hash != 0 {
            let prefix = format!("{:016x}", demand.prefix_hash);
            let score = |row: &ReplicaRow| rendezvous::score(&prefix, &row.spec.id);
            let healthy: Vec<_> = self.replicas.values().filter(|row| row.is_open()).collect();
            let total: f64 = healthy.iter().map(|row| work(row)).sum();
            let bound = AFFINITY_BOUND * total / healthy.len().max(1) as f64 + unit_time;
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

    /// Counts a slot as taken.
    pub fn take(&mut self, id: &SharedName, units: u32) {
        let unlisted = ReplicaSpec { id: id.clone(), slots: 0, leaving: true };
        let fresh = || ReplicaRow::new(unlisted, None);
        let row = self.replicas.entry(id.clone()).or_insert_with(fresh);
        row.held += 1;
        row.held_units += u64::from(units);
    }

    /// Counts a slot as free again.
    pub fn put_back(&mut self, id: &str, units: u32) {
        if let Some(row) = self.replicas.get_mut(id) {
            row.held = row.held.saturating_sub(1);
            row.held_units = row.held_units.saturating_sub(u64::from(units));
        }
    }

    /// Judges a replica by how the use of one of its slots ended.
    pub fn observe_outcome(
        &mut self,
        now: Duration,
        id: &str,
        outcome: SlotOutcome,
        service: Duration,
    ) {
        let median = self.median_unit_time();
        let ejectable = self.replicas.values().filter(|row| row.is_open()).count() > 1;
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
        let unit_time = service.as_secs_f64() / f64::from(outcome.tokens.max(1));
        let slow = row.observe_speed(unit_time, median);
        if row.health != ReplicaHealth::Healthy {
            match slow {
                true => row.eject(now),
                false => row.readmit(now),
            }
        } else if slow && ejectable {
            row.eject(now);
        }
    }

    /// Median over replicas of the time for one token, in seconds; 0 before anything was served.
    pub fn median_unit_time(&self) -> f64 {
        let sampled = self.replicas.values().filter(|row| row.samples >= SPEED_SAMPLES);
        let mut times: Vec<_> = sampled.map(|row| row.secs_per_unit).collect();
        if times.is_empty() {
            return 0.0;
        }
        // The lower median, so that one slow replica of two is seen as slow.
        let middle = (times.len() - 1) / 2;
        *times.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Whether the replica is out of the pool at `now`.
    pub fn is_ejected(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|row| row.health != ReplicaHealth::Healthy)
    }

    /// Ejected replica that is due a probe; probes are idempotent requests only.
    fn probe_target(&self, now: Duration, demand: &SlotDemand) -> Option<SharedName> {
        if !demand.idempotent {
            return None;
        }
        let grace = if demand.tier <= 1 { PROBE_GRACE } else { Duration::ZERO };
        let due = |row: &&ReplicaRow| {
            matches!(row.health, ReplicaHealth::Ejected { until } if now >= until + grace)
                && row.held < row.usable(now, self.share)
                && !demand.excluded.contains(&row.spec.id)
        };
        self.replicas.values().find(due).map(|row| row.spec.id.clone())
    }
}

impl ReplicaRow {
    fn new(spec: ReplicaSpec, warm_from: Option<Duration>) -> Self {
        Self {
            spec,
            held: 0,
            held_units: 0,
            warm_from,
            health: ReplicaHealth::Healthy,
            failures: 0,
            ejections: 0,
            secs_per_unit: 0.0,
            samples: 0,
            foreign: 0.0,
            reported: Duration::ZERO,
        }
    }

    fn is_open(&self) -> bool {
        !self.spec.leaving && self.health == ReplicaHealth::Healthy
    }

    /// Slots that may be in use at `now`.
    fn usable(&self, now: Duration, share: Option<f64>) -> u32 {
        if self.spec.leaving {
            return 0;
        }
        if let ReplicaHealth::Ejected { until } = self.health {
            return u32::from(now >= until);
        }
        let warmth = self.warm_from.map_or(1.0, |from| {
            let age = now.saturating_sub(from).as_secs_f64() / SLOW_START.as_secs_f64();
            (SLOW_START_FRACTION + age).min(1.0)
        });
        let fraction = warmth * share.unwrap_or(1.0);
        (f64::from(self.spec.slots) * fraction).ceil() as u32
    }

    /// Seconds of work before a new request, from grants and the aged report.
    fn expected_work(&self, now: Duration, median_unit_time: f64) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let discount = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        let mean_units = match self.held {
            0 => 1.0,
            held => self.held_units as f64 / f64::from(held),
        };
        let units = self.held_units as f64 + self.foreign * discount * mean_units;
        let unit_time = match self.samples >= SPEED_SAMPLES {
            true => self.secs_per_unit,
            false if median_unit_time > 0.0 => median_unit_time,
            false => 1.0,
        };
        units * unit_time / f64::from(self.spec.slots.max(1))
    }

    /// Takes in a time for one token; true where the replica is an outlier.
    fn observe_speed(&mut self, unit_time: f64, median: f64) -> bool {
        if self.samples == 0 {
            self.secs_per_unit = unit_time;
        }
        self.samples = self.samples.saturating_add(1);
        self.secs_per_unit += (unit_time - self.secs_per_unit) * SPEED_WEIGHT;
        let judged = match self.health {
            ReplicaHealth::Healthy => self.secs_per_unit,
            ReplicaHealth::Ejected { .. } => unit_time,
        };
        self.samples >= SPEED_SAMPLES && median > 0.0 && judged > EJECT_SLOWNESS * median
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
        self.warm_from = Some(now);
    }
}
