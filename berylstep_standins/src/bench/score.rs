//! Scores of a benchmark run.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use super::load::{CallOutcome, CallRecord};
use super::trace::{CLASSES, ORGANISATIONS};

/// Scores of one run.
#[derive(Clone, Debug, Default)]
pub struct RunScore {
    /// Share of requests answered completely with the first token within the target, by class.
    pub attainment: [f64; CLASSES.len()],
    /// Number of requests, by class.
    pub requests: [usize; CLASSES.len()],
    /// Tokens per second of answers within the target.
    pub goodput: f64,
    /// Tokens generated for incomplete answers, relative to the tokens of answers within the
    /// target.
    pub wasted: f64,
    /// Lowest ratio of served requests to max-min fair share among organisations, by class.
    pub worst_organisation: [f64; CLASSES.len()],
    /// Cost of the run, in replica-seconds.
    pub spend: f64,
    /// Number of refusals, by status code and error code.
    pub refusals: BTreeMap<String, usize>,
    /// Number of answers that ended early.
    pub broken: usize,
    /// Number of callers that gave up.
    pub late: usize,
    /// Longest interval without a first token in the highest tier.
    pub longest_gap: Duration,
}

impl RunScore {
    /// Scores a run of `length` in which engines generated `tokens` tokens.
    ///
    /// Fairness between organisations is scored over the arrivals within `window`, where demand is
    /// steady.
    pub fn new(
        records: &[CallRecord],
        tokens: u64,
        length: Duration,
        window: Range<Duration>,
        spend: f64,
    ) -> Self {
        let mut score = Self { spend, ..Self::default() };
        let (mut whole_tokens, mut good_tokens) = (0, 0);
        let mut good = [0_usize; CLASSES.len()];
        for record in records {
            let class = record.arrival.class;
            score.requests[class] += 1;
            match &record.outcome {
                CallOutcome::Whole { first, tokens } => {
                    whole_tokens += tokens;
                    if *first <= Duration::from_millis(CLASSES[class].latency_ms) {
                        good[class] += 1;
                        good_tokens += tokens;
                    }
                }
                CallOutcome::Refused(status, reason) => {
                    *score.refusals.entry(format!("{status} {reason}")).or_default() += 1;
                }
                CallOutcome::Broken(_) => score.broken += 1,
                CallOutcome::Late => score.late += 1,
            }
        }
        for (class, good) in good.into_iter().enumerate() {
            score.attainment[class] = good as f64 / score.requests[class].max(1) as f64;
        }
        score.goodput = good_tokens as f64 / length.as_secs_f64();
        score.wasted = tokens.saturating_sub(whole_tokens) as f64 / good_tokens.max(1) as f64;
        score.worst_organisation = worst_organisation(records, &window);
        score.longest_gap = longest_gap(records);
        score
    }
}

/// Returns the lowest ratio of served requests to max-min fair share among organisations, by class.
fn worst_organisation(records: &[CallRecord], window: &Range<Duration>) -> [f64; CLASSES.len()] {
    let records: Vec<_> =
        records.iter().filter(|record| window.contains(&record.arrival.at)).collect();
    std::array::from_fn(|class| worst_in_class(&records, class))
}

/// Returns the same for one class.
fn worst_in_class(records: &[&CallRecord], class: usize) -> f64 {
    let mut demands = [0.0; ORGANISATIONS];
    let mut served = [0.0; ORGANISATIONS];
    for record in records.iter().filter(|record| record.arrival.class == class) {
        demands[record.arrival.organisation] += 1.0;
        if matches!(record.outcome, CallOutcome::Whole { .. }) {
            served[record.arrival.organisation] += 1.0;
        }
    }
    let shares = max_min_shares(&demands, served.iter().sum());
    let pairs = shares.into_iter().zip(served).filter(|(share, _)| *share > 0.0);
    pairs.map(|(share, served)| served / share).fold(1.0, f64::min)
}

/// Returns the max-min fair shares of `capacity`: no share exceeds its demand, and small demands
/// are met first.
pub fn max_min_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&left, &right| demands[left].total_cmp(&demands[right]));
    let mut shares = vec![0.0; demands.len()];
    let mut remaining = capacity;
    for (position, &index) in order.iter().enumerate() {
        let equal = remaining / (demands.len() - position) as f64;
        shares[index] = demands[index].min(equal);
        remaining -= shares[index];
    }
    shares
}

/// Returns the longest interval between consecutive first tokens in the highest tier.
fn longest_gap(records: &[CallRecord]) -> Duration {
    let firsts = records.iter().filter_map(|record| match record.outcome {
        CallOutcome::Whole { first, .. } if record.arrival.class == 0 => {
            Some(record.arrival.at + first)
        }
        _ => None,
    });
    let mut firsts: Vec<Duration> = firsts.collect();
    firsts.sort_unstable();
    firsts.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}
