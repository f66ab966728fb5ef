//! Compares two rules for ordering replacements of silent upstreams, on generated recovery times.
//!
//! One takes an upstream as lost after a timeout; the other orders for the group what is missing
//! after the sum of each silent upstream's probability to return, given how long it has been silent.
//! Prints, for each setting, the part of needed capacity that was served and the upstream hours paid
//! above the target.

/// Upstreams wanted.
const TARGET: usize = 12;
/// Upstreams that demand needs; capacity above that serves nothing.
const NEED: usize = 11;
/// Upstreams that one zone holds, which can fall silent at once.
const ZONE: usize = 4;
/// Length of one run, in seconds.
const RUN_S: u64 = 2_000 * 3_600;
/// Step of the simulation, in seconds.
const STEP_S: u64 = 5;
/// Mean time between silences of one upstream, and of a whole zone, in seconds.
const SINGLE_MEAN_S: f64 = 6.0 * 3_600.0;
const ZONE_MEAN_S: f64 = 24.0 * 3_600.0;
/// Part of silences that never end.
const LOST: f64 = 0.3;
/// Median time after which others end, in seconds, and the spread of its logarithm.
const RETURN_MEDIAN_S: f64 = 60.0;
const RETURN_SPREAD: f64 = 1.2;
/// Time that a new upstream takes to start, in seconds.
const START_S: u64 = 120;
/// Shortest time for which an upstream is paid, in seconds.
const PAID_S: u64 = 600;
const SEEDS: [u64; 3] = [1, 2, 3];

/// When replacements are ordered.
#[derive(Clone, Copy, Debug)]
enum ReplacementRule {
    /// An upstream is lost once it has been silent for this many seconds.
    Timeout(u64),
    /// Ordered once this many are expected to be missing from the group.
    Expected(f64),
}

/// One upstream.
#[derive(Clone, Copy, Debug)]
struct Replica {
    started: u64,
    /// Since when it has been silent.
    silent: Option<u64>,
    /// When it returns; never where `None`.
    returns: Option<u64>,
}

/// What one run gave.
#[derive(Clone, Copy, Debug, Default)]
struct RunResult {
    served: f64,
    extra_hours: f64,
}

fn normal(random: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| random.f64()).sum::<f64>() - 6.0
}

/// Upper tail of the standard normal distribution.
fn upper_tail(x: f64) -> f64 {
    let (steps, limit) = (200, 8.0);
    if x >= limit {
        return 0.0;
    }
    let width = (limit - x) / f64::from(steps);
    let density = |x: f64| (-x * x / 2.0).exp() / std::f64::consts::TAU.sqrt();
    (0..steps).map(|step| density(x + (f64::from(step) + 0.5) * width) * width).sum()
}

/// Probability that an upstream returns that has been silent for some seconds.
fn return_probability(silent_s: u64) -> f64 {
    let x = ((silent_s.max(1) as f64) / RETURN_MEDIAN_S).ln() / RETURN_SPREAD;
    let still_to_return = (1.0 - LOST) * upper_tail(x);
    still_to_return / (still_to_return + LOST)
}

fn silence(random: &mut fastrand::Rng, now: u64, replica: &mut Replica) {
    if replica.silent.is_some() || now < replica.started {
        return;
    }
    replica.silent = Some(now);
    let returns = RETURN_MEDIAN_S * (normal(random) * RETURN_SPREAD).exp();
    replica.returns = (random.f64() >= LOST).then_some(now + returns as u64);
}

fn run(rule: ReplacementRule, seed: u64, probabilities: &[f64]) -> RunResult {
    let mut random = fastrand::Rng::with_seed(seed);
    let new = |now| Replica { started: now, silent: None, returns: None };
    let mut group: Vec<_> = (0..TARGET).map(|_| new(0)).collect();
    let mut result = RunResult::default();
    let steps = RUN_S / STEP_S;
    for now in (0..steps).map(|step| step * STEP_S) {
        let step_s = STEP_S as f64;
        for replica in &mut group {
            if replica.returns.is_some_and(|returns| returns <= now) {
                (replica.silent, replica.returns) = (None, None);
            }
            if random.f64() < step_s / SINGLE_MEAN_S {
                silence(&mut random, now, replica);
            }
        }
        if random.f64() < step_s / ZONE_MEAN_S {
            group.iter_mut().take(ZONE).for_each(|r| silence(&mut random, now, r));
        }
        let live = group.iter().filter(|r| r.silent.is_none() && r.started <= now).count();
        result.served += (live.min(NEED) as f64) / (NEED as f64) / (steps as f64);
        result.extra_hours += (group.len() as f64 - TARGET as f64) * step_s / 3_600.0;
        let expected: f64 = group.iter().map(|r| expected_part(rule, now, r, probabilities)).sum();
        let missing = TARGET as f64 - expected;
        let limit = match rule {
            ReplacementRule::Timeout(_) => 1.0,
            ReplacementRule::Expected(limit) => limit,
        };
        if missing >= limit {
            let count = missing.round().max(1.0) as usize;
            group.extend((0..count).map(|_| new(now + START_S)));
        }
        give_back(&mut group, now);
    }
    result
}

/// How much of a replica the rule still counts on.
fn expected_part(rule: ReplacementRule, now: u64, replica: &Replica, known: &[f64]) -> f64 {
    let Some(since) = replica.silent else { return 1.0 };
    let silent = now - since;
    match rule {
        ReplacementRule::Timeout(limit) => f64::from(u8::from(silent < limit)),
        ReplacementRule::Expected(_) => known[((silent / STEP_S) as usize).min(known.len() - 1)],
    }
}

/// Gives back what runs above the target, and what has been silent for longer than any timeout.
fn give_back(group: &mut Vec<Replica>, now: u64) {
    group.retain(|replica| replica.silent.is_none_or(|since| now - since < 3_600));
    let live = |r: &Replica| r.silent.is_none() && r.started <= now;
    let mut surplus = group.iter().filter(|r| live(r)).count().saturating_sub(TARGET);
    group.retain(|replica| {
        let goes = surplus > 0 && live(replica) && now - replica.started >= PAID_S;
        surplus -= usize::from(goes);
        !goes
    });
}

fn main() {
    let known: Vec<_> = (0..720).map(|step| return_probability(step * STEP_S)).collect();
    let timeouts = [30, 60, 120, 180, 300, 450, 600, 900].map(ReplacementRule::Timeout);
    let limits = [0.6, 0.7, 0.8, 0.85, 0.9, 0.95, 1.0, 1.2].map(ReplacementRule::Expected);
    println!("seeds {SEEDS:?}, {} h each", RUN_S / 3_600);
    for rule in timeouts.into_iter().chain(limits) {
        let results = SEEDS.map(|seed| run(rule, seed, &known));
        let mean = |field: fn(&RunResult) -> f64| {
            results.iter().map(field).sum::<f64>() / SEEDS.len() as f64
        };
        let served = 100.0 * mean(|result| result.served);
        let hours = mean(|result| result.extra_hours);
        println!("{rule:?}: served {served:.4}% extra hours {hours:.0}");
    }
}
