//! Turns at replicas that have named a limit: who gets them under which load.

use std::collections::BTreeMap;
use std::time::Duration;

use berylstep_core::fleet::turns::{TurnAnswer, TurnAsk, TurnCandidate, TurnKeeper, TurnPauses};

const SERVICE: &str = "s";
const RUN_TIME: Duration = Duration::from_secs(60);
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which averages settle before anything is counted.
const WARM_UP: Duration = Duration::from_secs(8);

/// Callers of one tier that send at even intervals.
#[derive(Clone, Copy, Debug)]
struct TierLoad {
    tier: u8,
    per_second: f64,
}

struct LoadCase {
    name: &'static str,
    limits: &'static [f64],
    loads: &'static [TierLoad],
    /// Share of each load that must get turns, at least and at most.
    served: &'static [(f64, f64)],
}

#[derive(Default)]
struct RunResult {
    /// Times of the turns, by replica.
    turns: BTreeMap<u32, Vec<Duration>>,
    asked: Vec<f64>,
    granted: Vec<f64>,
}

impl RunResult {
    fn peak(&self, replica: u32) -> usize {
        let turns = &self.turns[&replica];
        let count =
            |from: Duration| turns.iter().filter(|at| (from..from + WINDOW).contains(*at)).count();
        turns.iter().map(|from| count(*from)).max().unwrap_or_default()
    }
}

fn candidates(limits: &[f64]) -> Vec<TurnCandidate> {
    let numbered = limits.iter().zip(0..);
    numbered.map(|(rate, replica)| TurnCandidate { replica, rate: *rate }).collect()
}

/// Sends `loads` for [`RUN_TIME`]; every `handover`, if any, another node becomes the keeper.
fn run(limits: &[f64], loads: &[TierLoad], handover: Option<Duration>) -> RunResult {
    let candidates = candidates(limits);
    let mut keeper = TurnKeeper::default();
    let mut result = RunResult {
        turns: candidates.iter().map(|candidate| (candidate.replica, Vec::new())).collect(),
        asked: vec![0.0; loads.len()],
        granted: vec![0.0; loads.len()],
    };
    let mut sent = vec![0.0; loads.len()];
    let mut next_handover = handover;
    for millisecond in 0..RUN_TIME.as_millis() as u64 {
        let now = Duration::from_millis(millisecond);
        if next_handover.is_some_and(|at| now >= at) {
            keeper = TurnKeeper::default();
            next_handover = handover.map(|interval| now + interval);
        }
        for (index, load) in loads.iter().enumerate() {
            if now.as_secs_f64() * load.per_second < sent[index] {
                continue;
            }
            sent[index] += 1.0;
            let ask = TurnAsk {
                service: SERVICE,
                tier: load.tier,
                patience: Duration::ZERO,
                candidates: &candidates,
            };
            let answer = keeper.take(&ask, now);
            if now < WARM_UP {
                continue;
            }
            result.asked[index] += 1.0;
            if let TurnAnswer::Granted(replica) = answer {
                result.granted[index] += 1.0;
                result.turns.get_mut(&replica).unwrap().push(now);
            }
        }
    }
    result
}

#[test]
fn turns_are_used_up_and_higher_tiers_come_first() {
    let cases = [
        LoadCase {
            name: "less than the limit: everybody is served",
            limits: &[4.0],
            loads: &[TierLoad { tier: 1, per_second: 1.0 }, TierLoad { tier: 3, per_second: 1.5 }],
            served: &[(0.95, 1.0), (0.95, 1.0)],
        },
        LoadCase {
            name: "one tier asks for ten times the limit",
            limits: &[4.0],
            loads: &[TierLoad { tier: 0, per_second: 40.0 }],
            served: &[(0.095, 0.101)],
        },
        LoadCase {
            name: "a slow limit is used up",
            limits: &[0.5],
            loads: &[TierLoad { tier: 0, per_second: 40.0 }],
            served: &[(0.012, 0.0126)],
        },
        LoadCase {
            name: "the limits of several replicas are used up",
            limits: &[1.0, 2.0, 5.0],
            loads: &[TierLoad { tier: 0, per_second: 80.0 }],
            served: &[(0.095, 0.101)],
        },
        LoadCase {
            name: "the higher tier is served and the lower one gets the rest",
            limits: &[4.0, 4.0],
            loads: &[TierLoad { tier: 0, per_second: 5.0 }, TierLoad { tier: 2, per_second: 30.0 }],
            served: &[(0.9, 1.0), (0.07, 0.12)],
        },
        LoadCase {
            name: "a higher tier that needs all turns gets nearly all",
            limits: &[4.0],
            loads: &[TierLoad { tier: 0, per_second: 8.0 }, TierLoad { tier: 2, per_second: 30.0 }],
            served: &[(0.45, 0.51), (0.0, 0.01)],
        },
    ];
    for case in cases {
        let result = run(case.limits, case.loads, None);
        for (index, (least, most)) in case.served.iter().enumerate() {
            let share = result.granted[index] / result.asked[index];
            assert!((*least..=*most).contains(&share), "{}, load {index}: {share:.3}", case.name);
        }
    }
}

/// Guards against keepers that follow each other and together hand out more than the limit (LIMIT).
#[test]
fn a_limit_holds_through_handovers() {
    let loads = [TierLoad { tier: 0, per_second: 60.0 }];
    for limit in [0.5, 1.0, 4.0, 12.0, 50.0] {
        for handover in [None, Some(300), Some(1500), Some(7000)] {
            let result = run(&[limit], &loads, handover.map(Duration::from_millis));
            let (peak, seconds) = (result.peak(0) as f64, WINDOW.as_secs_f64());
            assert!(peak <= 1.2 * limit * seconds + 1.0, "{limit}, {handover:?}: {peak}");
        }
    }
}

#[test]
fn refused_callers_are_told_times_in_the_order_of_their_tiers() {
    let mut keeper = TurnKeeper::default();
    let candidates = candidates(&[2.0]);
    let mut wait = |tier, patience, now| {
        let ask = TurnAsk { service: SERVICE, tier, patience, candidates: &candidates };
        match keeper.take(&ask, now) {
            TurnAnswer::Granted(_) => None,
            TurnAnswer::Denied(wait) => Some(wait.as_millis()),
        }
    };
    let (now, patience) = (Duration::from_secs(10), Duration::from_secs(2));
    assert_eq!(wait(3, patience, now), Some(500));
    assert_eq!(wait(3, patience, now), Some(1000));
    assert_eq!(wait(3, patience, now), Some(1500));
    // Callers that won't come back take no place.
    assert_eq!(wait(3, Duration::ZERO, now), Some(2000));
    assert_eq!(wait(3, Duration::from_secs(1), now), Some(2000));
    // A higher tier doesn't wait for a lower one, which comes after it from then on.
    assert_eq!(wait(0, patience, now), Some(500));
    assert_eq!(wait(0, patience, now), Some(1000));
    assert!(wait(3, patience, now) >= Some(2500));
}

/// Guards against a limit that goes unused because a lower tier was denied a turn for long.
#[test]
fn a_denied_turn_stops_neither_higher_tiers_nor_asks_for_long() {
    let mut pauses = TurnPauses::default();
    let (now, long) = (Duration::from_secs(10), Duration::from_secs(30));
    pauses.pause(SERVICE, 3, long, now);
    let is_paused =
        |tier, millis| pauses.is_paused(SERVICE, tier, now + Duration::from_millis(millis));
    assert!(is_paused(3, 0) && is_paused(5, 0));
    assert!(!is_paused(2, 0));
    assert!(is_paused(3, 900) && !is_paused(3, 1100));
    assert!(!pauses.is_paused("other", 3, now));
}

#[test]
fn a_replica_with_a_tiny_limit_is_still_asked_whether_it_holds() {
    let result = run(&[1e-6], &[TierLoad { tier: 0, per_second: 10.0 }], None);
    assert!((1..=2).contains(&result.turns[&0].len()), "{} turns", result.turns[&0].len());
}
