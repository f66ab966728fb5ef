//! Simulates two rules for replacing unresponsive upstreams, with randomly generated recovery
//! times.
//!
//! The first rule replaces an upstream after a timeout. The second one sums over the group the
//! probability that each upstream recovers, given how long it has been unresponsive, and orders the
//! difference to the target. Prints for each parameter of a rule the share of the needed capacity
//! that was available, and the upstream hours paid above the target.

/// Target number of upstreams.
const TARGET_UPSTREAMS: usize = 12;
/// Number of upstreams that the demand needs.
const NEEDED_UPSTREAMS: usize = 11;
/// Number of upstreams in the zone that fails as a whole.
const ZONE_UPSTREAMS: usize = 4;
/// Simulated time of one run, in seconds.
const DURATION_S: u64 = 2_000 * 3_600;
/// Time step of the simulation, in seconds.
const STEP_S: u64 = 5;
/// Mean time between failures of one upstream, in seconds.
const UPSTREAM_MTBF_S: f64 = 6.0 * 3_600.0;
/// Mean time between failures of the zone, in seconds.
const ZONE_MTBF_S: f64 = 24.0 * 3_600.0;
/// Share of failures from which an upstream never recovers.
const PERMANENT_SHARE: f64 = 0.3;
/// Median of the log-normally distributed recovery time, in seconds.
const RECOVERY_MEDIAN_S: f64 = 60.0;
/// Standard deviation of the logarithm of the recovery time.
const RECOVERY_LOG_DEVIATION: f64 = 1.2;
/// Boot time of a new upstream, in seconds.
const BOOT_S: u64 = 120;
/// Minimum time for which an upstream is paid, in seconds.
const MIN_PAID_S: u64 = 600;
const SEEDS: [u64; 3] = [1, 2, 3];

/// When replacements are ordered.
#[derive(Clone, Copy, Debug)]
enum ReplacementRule {
    /// An upstream is replaced after it has been unresponsive for this many seconds.
    Timeout(u64),
    /// Replacements are ordered once this many upstreams of the group are expected to be missing.
    Expected(f64),
}

/// One upstream; all times are in seconds since the start of the simulation.
#[derive(Clone, Copy, Debug)]
struct UpstreamModel {
    started: u64,
    /// Start of the current failure.
    failed: Option<u64>,
    /// End of the current failure; `None` if it is permanent.
    recovers: Option<u64>,
}

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
struct RunResult {
    /// Share of the needed capacity that was available.
    served: f64,
    /// Upstream hours above the target.
    extra_hours: f64,
}

/// Returns an approximately normally distributed sample with mean 0 and variance 1.
fn normal_sample(random: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| random.f64()).sum::<f64>() - 6.0
}

/// Returns the upper tail probability of the standard normal distribution.
fn upper_tail(x: f64) -> f64 {
    let (steps, limit) = (200, 8.0);
    if x >= limit {
        return 0.0;
    }
    let width = (limit - x) / f64::from(steps);
    let density = |x: f64| (-x * x / 2.0).exp() / std::f64::consts::TAU.sqrt();
    (0..steps).map(|step| density(x + (f64::from(step) + 0.5) * width) * width).sum()
}

/// Returns the probability that an upstream recovers after it has been unresponsive for `failed_s`.
fn recovery_probability(failed_s: u64) -> f64 {
    let x = ((failed_s.max(1) as f64) / RECOVERY_MEDIAN_S).ln() / RECOVERY_LOG_DEVIATION;
    let still_to_recover = (1.0 - PERMANENT_SHARE) * upper_tail(x);
    still_to_recover / (still_to_recover + PERMANENT_SHARE)
}

fn fail_upstream(random: &mut fastrand::Rng, now: u64, upstream: &mut UpstreamModel) {
    if upstream.failed.is_some() || now < upstream.started {
        return;
    }
    upstream.failed = Some(now);
    let recovers = RECOVERY_MEDIAN_S * (normal_sample(random) * RECOVERY_LOG_DEVIATION).exp();
    upstream.recovers = (random.f64() >= PERMANENT_SHARE).then_some(now + recovers as u64);
}

fn simulate(rule: ReplacementRule, seed: u64, probabilities: &[f64]) -> RunResult {
    let mut random = fastrand::Rng::with_seed(seed);
    let new = |now| UpstreamModel { started: now, failed: None, recovers: None };
    let mut group: Vec<_> = (0..TARGET_UPSTREAMS).map(|_| new(0)).collect();
    let mut result = RunResult::default();
    let steps = DURATION_S / STEP_S;
    for now in (0..steps).map(|step| step * STEP_S) {
        let step_s = STEP_S as f64;
        for upstream in &mut group {
            if upstream.recovers.is_some_and(|recovers| recovers <= now) {
                (upstream.failed, upstream.recovers) = (None, None);
            }
            if random.f64() < step_s / UPSTREAM_MTBF_S {
                fail_upstream(&mut random, now, upstream);
            }
        }
        if random.f64() < step_s / ZONE_MTBF_S {
            group
                .iter_mut()
                .take(ZONE_UPSTREAMS)
                .for_each(|upstream| fail_upstream(&mut random, now, upstream));
        }
        let live = group
            .iter()
            .filter(|upstream| upstream.failed.is_none() && upstream.started <= now)
            .count();
        result.served +=
            (live.min(NEEDED_UPSTREAMS) as f64) / (NEEDED_UPSTREAMS as f64) / (steps as f64);
        result.extra_hours += (group.len() as f64 - TARGET_UPSTREAMS as f64) * step_s / 3_600.0;
        let expected: f64 = group
            .iter()
            .map(|upstream| expected_availability(rule, now, upstream, probabilities))
            .sum();
        let missing = TARGET_UPSTREAMS as f64 - expected;
        let limit = match rule {
            ReplacementRule::Timeout(_) => 1.0,
            ReplacementRule::Expected(limit) => limit,
        };
        if missing >= limit {
            let count = missing.round().max(1.0) as usize;
            group.extend((0..count).map(|_| new(now + BOOT_S)));
        }
        release_surplus(&mut group, now);
    }
    result
}

/// Returns the share of an upstream that the rule expects to be available, from 0 to 1.
fn expected_availability(
    rule: ReplacementRule,
    now: u64,
    upstream: &UpstreamModel,
    table: &[f64],
) -> f64 {
    let Some(since) = upstream.failed else { return 1.0 };
    let down_s = now - since;
    match rule {
        ReplacementRule::Timeout(limit) => f64::from(u8::from(down_s < limit)),
        ReplacementRule::Expected(_) => table[((down_s / STEP_S) as usize).min(table.len() - 1)],
    }
}

/// Releases upstreams above the target, and those that have been unresponsive for longer than any
/// timeout.
fn release_surplus(group: &mut Vec<UpstreamModel>, now: u64) {
    group.retain(|upstream| upstream.failed.is_none_or(|since| now - since < 3_600));
    let live = |upstream: &UpstreamModel| upstream.failed.is_none() && upstream.started <= now;
    let mut surplus =
        group.iter().filter(|upstream| live(upstream)).count().saturating_sub(TARGET_UPSTREAMS);
    group.retain(|upstream| {
        let is_released = surplus > 0 && live(upstream) && now - upstream.started >= MIN_PAID_S;
        surplus -= usize::from(is_released);
        !is_released
    });
}

fn main() {
    let probabilities: Vec<_> = (0..720).map(|step| recovery_probability(step * STEP_S)).collect();
    let timeouts = [30, 60, 120, 180, 300, 450, 600, 900].map(ReplacementRule::Timeout);
    let limits = [0.6, 0.7, 0.8, 0.85, 0.9, 0.95, 1.0, 1.2].map(ReplacementRule::Expected);
    println!("seeds {SEEDS:?}, {} h each", DURATION_S / 3_600);
    for rule in timeouts.into_iter().chain(limits) {
        let results = SEEDS.map(|seed| simulate(rule, seed, &probabilities));
        let mean = |field: fn(&RunResult) -> f64| {
            results.iter().map(field).sum::<f64>() / SEEDS.len() as f64
        };
        let served = 100.0 * mean(|result| result.served);
        let hours = mean(|result| result.extra_hours);
        println!("{rule:?}: served {served:.4}% extra hours {hours:.0}");
    }
}
