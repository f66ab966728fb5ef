//! Pace of replicas: how long work takes at each of them at present, relative to the others of its service.
//!
//! A pace of 1 is the usual one of the service; work at a pace of 2 takes twice as long. Observations are logarithms of
//! the ratio of a time to the usual one, so that a replica at half speed and one at double speed deviate equally. Each
//! node keeps decayed sums of its own observations and sends them as they are, so that a repeated or lost message
//! neither doubles nor loses an observation.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::fleet::limits::ProcessId;

/// Largest factor by which a replica counts as slower or faster. One response that waited for something else must
/// not outweigh several others.
const MAX_FACTOR: f64 = 6.0;

/// Smallest pace that is expected of a replica. One that is taken for much faster than it is draws the requests of all nodes.
const MIN_PACE: f64 = 0.5;

/// Weight of the prior, a pace of 1, in observations.
const PRIOR_WEIGHT: f64 = 0.75;

/// Number of replicas at the usual pace that count beside those of a service that have been observed.
const CENTRE_PRIOR: f64 = 0.5;

/// Time after which a stated pace counts half as much as the learnt one; it is a snapshot.
const STATEMENT_HALF_LIFE: Duration = Duration::from_millis(150);

/// Time for which a statement shows that replicas of the deployment differ in pace.
const STATEMENT_RETENTION: Duration = Duration::from_secs(60);

/// Factor by which the weight of a node's earlier observations of a replica falls with each new one. Four responses make up
/// two thirds of the sum, so that a change shows soon at a node that has many responses.
const SAMPLE_DECAY: f64 = 0.75;

/// Weight below which observations are forgotten.
const MIN_WEIGHT: f64 = 0.25;

/// Maximum number of replicas in one report; the ones with the most recent observations are named.
const MAX_REPORTED: usize = 24;

/// Observations from which a usual time is considered known; earlier ones count in part.
const WARM_SAMPLES: f64 = 4.0;

/// Smallest weight of a new observation in a usual time.
const BASELINE_GAIN: f64 = 0.03;

/// Largest factor by which one observation counts as longer or shorter for a usual time that is known.
const MAX_BASELINE_FACTOR: f64 = 2.0;

/// Number of observations that the prior of the usual stated pace, 1, stands for.
const STATED_PRIOR_SAMPLES: f64 = 16.0;

/// Time without observations after which a usual time is forgotten.
const BASELINE_RETENTION: Duration = Duration::from_secs(120);

/// Units of [`PaceSum`].
const LOG_UNITS: f64 = 32.0;
const WEIGHT_UNITS: f64 = 8.0;

/// Smallest pace at which a replica counts as slow.
pub const SLOW_PACE: f64 = 1.3;

/// What a response says about the load of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadStatement {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
    /// Pace at the moment of the response; `None` if the replica doesn't state it.
    pub pace: Option<f64>,
}

/// Kind of work whose time was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Requests to a service that is not a model. They are short and many, so the latest tell enough. With a longer memory,
    /// replicas that are slow for 600 ms are avoided when they have recovered.
    Plain,
    /// Prompts and output of a model. A replica of a large fleet has few of them in a second.
    Model,
}

impl WorkKind {
    /// Returns the time within which the weight of an observation falls to 1/e.
    fn memory(self) -> Duration {
        match self {
            Self::Plain => Duration::from_millis(100),
            Self::Model => Duration::from_secs(2),
        }
    }
}

/// Time that a part of a request took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceSample {
    /// Kind of the work.
    pub kind: WorkKind,
    /// Names the samples that are comparable with this one, such as those of one route.
    pub baseline: u64,
    /// Time it took, relative to what is expected of comparable samples; the unit doesn't matter.
    pub ratio: f64,
}

/// Decayed sum of observations of a replica, in the units of messages between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceSum {
    /// Sum of the logarithms, in 1/32.
    pub logs: i32,
    /// Weight of the observations, in eighths of an observation.
    pub weight: u32,
}

impl PaceSum {
    /// Adds the observations of another node.
    pub fn add(&mut self, other: Self) {
        self.logs = self.logs.saturating_add(other.logs);
        self.weight = self.weight.saturating_add(other.weight);
    }

    /// Removes observations that this sum includes.
    pub fn subtract(&mut self, other: Self) {
        self.logs = self.logs.saturating_sub(other.logs);
        self.weight = self.weight.saturating_sub(other.weight);
    }

    /// Returns the sum and the weight, bounded to what observations can amount to.
    fn values(self) -> (f64, f64) {
        let weight = f64::from(self.weight) / WEIGHT_UNITS;
        let bound = weight * MAX_FACTOR.ln();
        ((f64::from(self.logs) / LOG_UNITS).clamp(-bound, bound), weight)
    }
}

/// Latest statement of a replica.
#[derive(Clone, Copy, Debug)]
struct StatedPace {
    process: ProcessId,
    log: f64,
    at: Duration,
}

/// Decayed sum of this node's observations of a replica.
#[derive(Clone, Copy, Debug)]
struct LearntPace {
    process: ProcessId,
    kind: WorkKind,
    logs: f64,
    weight: f64,
    at: Duration,
}

impl LearntPace {
    fn decayed(&self, now: Duration) -> (f64, f64) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let factor = (-age / self.kind.memory().as_secs_f64()).exp();
        match self.weight * factor >= MIN_WEIGHT {
            true => (self.logs * factor, self.weight * factor),
            false => (0.0, 0.0),
        }
    }

    fn add(&mut self, log: f64, weight: f64, now: Duration) {
        let (logs, known) = self.decayed(now);
        self.logs = logs * SAMPLE_DECAY + log * weight;
        self.weight = known * SAMPLE_DECAY + weight;
        self.at = now;
    }
}

/// Usual value of comparable samples, as a logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct UsualTime {
    log: f64,
    samples: f64,
    at: Duration,
}

impl UsualTime {
    /// Records a sample; returns how far it deviates from the usual one, and the weight of that observation.
    fn record(&mut self, log: f64, now: Duration) -> (f64, f64) {
        self.at = now;
        self.samples += 1.0;
        if self.samples <= 1.0 {
            self.log = log;
            return (0.0, 0.0);
        }
        let deviation = log - self.log;
        let weight = ((self.samples - 1.0) / WARM_SAMPLES).min(1.0);
        let bound = match weight < 1.0 {
            true => f64::INFINITY,
            false => MAX_BASELINE_FACTOR.ln(),
        };
        let gain = (1.0 / self.samples).max(BASELINE_GAIN);
        self.log += deviation.clamp(-bound, bound) * gain;
        (deviation.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln()), weight)
    }
}

/// Paces of replicas, as this node knows them.
#[derive(Debug, Default)]
pub struct PaceLedger {
    stated: HashMap<u32, StatedPace>,
    /// Time of the latest statement of any replica.
    stated_at: Option<Duration>,
    usual_statement: HashMap<SharedName, UsualTime>,
    /// Kind of the latest measured work of each service.
    kinds: HashMap<SharedName, WorkKind>,
    usual_times: HashMap<u64, UsualTime>,
    learnt: HashMap<u32, LearntPace>,
    others: HashMap<u32, PaceSum>,
    /// Services of the listed replicas.
    services: HashMap<u32, SharedName>,
    /// Mean of the learnt paces of those replicas of a service that have been observed, as a logarithm. What all of them
    /// have in common is no difference in pace.
    centres: HashMap<SharedName, f64>,
}

impl PaceLedger {
    /// Records what the response to a request that was sent at `sent_at` says about its replica.
    pub fn observe_statement(
        &mut self,
        process: ProcessId,
        statement: LoadStatement,
        _sent_at: Duration,
        now: Duration,
    ) {
        let Some(pace) = statement.pace.filter(|pace| pace.is_finite() && *pace > 0.0) else {
            return;
        };
        self.stated_at = Some(now);
        if self.stated.get(&process.replica).is_some_and(|row| row.process.born > process.born) {
            return;
        }
        let log = pace.ln().clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln());
        let log = match self.services.get(&process.replica) {
            Some(service) => {
                let usual = self
                    .usual_statement
                    .entry(service.clone())
                    .or_insert(UsualTime { samples: STATED_PRIOR_SAMPLES, ..UsualTime::default() });
                usual.record(log, now).0
            }
            None => log,
        };
        self.stated.insert(process.replica, StatedPace { process, log, at: now });
        let kind = self.services.get(&process.replica).and_then(|service| self.kinds.get(service));
        let kind = kind.copied().unwrap_or(WorkKind::Model);
        self.learn(process, kind, log, 1.0, now);
    }

    /// Records how long a part of a request took at a replica.
    pub fn observe_elapsed(&mut self, process: ProcessId, sample: PaceSample, now: Duration) {
        if !sample.ratio.is_finite() || sample.ratio <= 0.0 {
            return;
        }
        let usual = self.usual_times.entry(sample.baseline).or_default();
        let (log, weight) = usual.record(sample.ratio.ln(), now);
        if let Some(service) = self.services.get(&process.replica) {
            self.kinds.insert(service.clone(), sample.kind);
        }
        self.learn(process, sample.kind, log, weight, now);
    }

    fn learn(&mut self, process: ProcessId, kind: WorkKind, log: f64, weight: f64, now: Duration) {
        let fresh = LearntPace { process, kind, logs: 0.0, weight: 0.0, at: now };
        let row = self.learnt.entry(process.replica).or_insert(fresh);
        if row.process.born > process.born {
            return;
        }
        if row.process != process {
            *row = fresh;
        }
        row.add(log, weight, now);
        row.kind = kind;
    }

    /// Returns the pace that a request which is sent now is expected to meet; 1 if nothing is known.
    pub fn expected_pace(&self, process: ProcessId, now: Duration) -> f64 {
        let (mean, share) = self.learnt_mean(process, now);
        let centre = self.services.get(&process.replica).and_then(|name| self.centres.get(name));
        let learnt = (mean - centre.copied().unwrap_or_default()) * share;
        let stated = self.stated.get(&process.replica).filter(|row| row.process == process);
        let log = stated.map_or(learnt, |row| {
            let age = now.saturating_sub(row.at).as_secs_f64();
            let share = (-age / STATEMENT_HALF_LIFE.as_secs_f64()).exp2();
            learnt + (row.log - learnt) * share
        });
        log.exp().clamp(MIN_PACE, MAX_FACTOR)
    }

    /// Returns the mean of the observations of all nodes, and its share beside the prior, from 0 to 1.
    fn learnt_mean(&self, process: ProcessId, now: Duration) -> (f64, f64) {
        let own = self.learnt.get(&process.replica).filter(|row| row.process == process);
        let (logs, weight) = own.map_or((0.0, 0.0), |row| row.decayed(now));
        let others = self.others.get(&process.replica).copied().unwrap_or_default().values();
        let (logs, weight) = (logs + others.0, weight + others.1);
        match weight > 0.0 {
            true => (logs / weight, weight / (weight + PRIOR_WEIGHT)),
            false => (0.0, 0.0),
        }
    }

    /// Returns whether some replica has stated its pace to this node lately.
    pub fn has_statements(&self, now: Duration) -> bool {
        self.stated_at.is_some_and(|at| now.saturating_sub(at) < STATEMENT_RETENTION)
    }

    /// Returns this node's observations for its peers, by hash of the replica.
    pub fn reports(&self, now: Duration) -> HashMap<u32, PaceSum> {
        let known = self.learnt.values().filter(|row| row.decayed(now).1 > 0.0);
        let mut known: Vec<_> = known.collect();
        known.sort_unstable_by_key(|row| std::cmp::Reverse(row.at));
        let message = |row: &LearntPace| {
            let (logs, weight) = row.decayed(now);
            let logs = (logs * LOG_UNITS).round() as i32;
            (row.process.replica, PaceSum { logs, weight: (weight * WEIGHT_UNITS).round() as u32 })
        };
        known.into_iter().take(MAX_REPORTED).map(message).collect()
    }

    /// Replaces the observations of all other nodes, by hash of the replica.
    pub fn set_peer_sums(&mut self, sums: HashMap<u32, PaceSum>) {
        self.others = sums;
    }

    /// Updates what is usual for each service from its listed replicas, and forgets the others. A service that is slow as
    /// a whole has paces near 1.
    pub fn update<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a SharedName, ProcessId)>,
        now: Duration,
    ) {
        let mut services = HashMap::default();
        let mut sums: HashMap<SharedName, (f64, f64)> = HashMap::default();
        for (service, process) in listed {
            let (mean, share) = self.learnt_mean(process, now);
            match sums.get_mut(service) {
                Some((sum, total)) => (*sum, *total) = (*sum + mean * share, *total + share),
                None => drop(sums.insert(service.clone(), (mean * share, share))),
            }
            services.insert(process.replica, service.clone());
        }
        self.stated.retain(|replica, _| services.contains_key(replica));
        self.learnt
            .retain(|replica, row| services.contains_key(replica) && row.decayed(now).1 > 0.0);
        let is_recent = |usual: &UsualTime| now.saturating_sub(usual.at) < BASELINE_RETENTION;
        self.usual_times.retain(|_, usual| is_recent(usual));
        self.usual_statement.retain(|_, usual| is_recent(usual));
        self.services = services;
        self.kinds.retain(|name, _| sums.contains_key(name));
        let centre = |(sum, total)| sum / (total + CENTRE_PRIOR);
        self.centres = sums.into_iter().map(|(name, sums)| (name, centre(sums))).collect();
    }
}
