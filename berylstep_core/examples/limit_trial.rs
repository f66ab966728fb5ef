//! Simulates three ways to keep a replica's limit over all nodes of a fleet: the limit divided
//! evenly, divided by demand that nodes report to each other, and one node that hands out turns.
//!
//! Prints for each way the share of the limit that was used and the largest number of requests in
//! four seconds, where callers are even or come to a few nodes, while the keeper freezes every ten
//! seconds, and where all nodes restart at once every fifteen.

use std::time::Duration;

use berylstep_core::fleet::turns::{TurnAnswer, TurnAsk, TurnCandidate, TurnKeeper};

const NODES: usize = 295;
/// Requests per second to the service, over all nodes.
const DEMAND: f64 = 120.0;
const RUN_TIME_S: f64 = 120.0;
const STEP_S: f64 = 0.001;
const WINDOW_S: f64 = 4.0;
/// Time until a node knows the demand that the others have reported.
const REPORT_DELAY_S: f64 = 0.5;
/// Time over which demand is averaged.
const DEMAND_PERIOD_S: f64 = 2.0;
/// Time from asking the keeper until the request reaches the replica.
const TURN_DELAY_S: f64 = 0.005;
/// Share of asks that are lost on the way.
const LOSS: f64 = 0.01;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Clone, Copy, Debug)]
enum LimitRule {
    EvenShares,
    DemandShares,
    TurnKeeper,
}

#[derive(Clone, Copy, Debug)]
enum FleetTrouble {
    None,
    KeeperFreezes,
    AllRestart,
}

#[derive(Clone, Copy, Debug)]
struct TrialCase {
    limit: f64,
    /// Number of nodes that the callers use.
    busy_nodes: usize,
    trouble: FleetTrouble,
}

/// What a node knows, by the rules that need it.
#[derive(Clone, Debug, Default)]
struct NodeState {
    turns: f64,
    demand: f64,
}

/// Returns the arrival times at the replica.
fn simulate(rule: LimitRule, case: TrialCase, random: &mut fastrand::Rng) -> Vec<f64> {
    let mut nodes = vec![NodeState::default(); NODES];
    let mut keeper = TurnKeeper::default();
    let mut reported: Vec<(f64, f64)> = Vec::new();
    let mut arrivals = Vec::new();
    let candidates = [TurnCandidate { replica: 0, rate: case.limit }];
    let steps = (RUN_TIME_S / STEP_S) as u64;
    for step in 0..steps {
        let now = step as f64 * STEP_S;
        let is_frozen = matches!(case.trouble, FleetTrouble::KeeperFreezes) && now % 10.0 < 1.0;
        if matches!(case.trouble, FleetTrouble::AllRestart) && step % 15_000 == 14_999 {
            nodes.fill(NodeState::default());
            keeper = TurnKeeper::default();
            reported.clear();
        }
        if step % 250 == 0 {
            reported.push((now, nodes.iter().map(|node| node.demand).sum()));
        }
        for node in &mut nodes {
            node.demand *= 1.0 - STEP_S / DEMAND_PERIOD_S;
            node.turns = (node.turns + case.limit / NODES as f64 * STEP_S).min(1.0);
        }
        if random.f64() >= DEMAND * STEP_S {
            continue;
        }
        let node = &mut nodes[random.usize(..case.busy_nodes)];
        node.demand += 1.0 / DEMAND_PERIOD_S;
        let is_sent = match rule {
            LimitRule::EvenShares => {
                let has_turn = node.turns >= 1.0;
                node.turns -= f64::from(u8::from(has_turn));
                has_turn
            }
            LimitRule::DemandShares => {
                let known = reported.iter().rev().find(|(at, _)| now - at >= REPORT_DELAY_S);
                let total = known.map_or(node.demand, |(_, total)| total.max(node.demand));
                random.f64() < case.limit / total.max(case.limit)
            }
            LimitRule::TurnKeeper => {
                let ask = TurnAsk {
                    service: "s",
                    tier: 0,
                    patience: Duration::ZERO,
                    candidates: &candidates,
                };
                let is_lost = is_frozen || random.f64() < LOSS;
                !is_lost
                    && matches!(
                        keeper.take(&ask, Duration::from_secs_f64(now)),
                        TurnAnswer::Granted(_)
                    )
            }
        };
        if is_sent {
            let delay = if matches!(rule, LimitRule::TurnKeeper) { TURN_DELAY_S } else { 0.0 };
            arrivals.push(now + delay);
        }
    }
    arrivals
}

fn peak(arrivals: &[f64]) -> usize {
    let count =
        |from: f64| arrivals.iter().filter(|at| (from..from + WINDOW_S).contains(*at)).count();
    arrivals.iter().map(|from| count(*from)).max().unwrap_or_default()
}

fn main() {
    let troubles = [FleetTrouble::None, FleetTrouble::KeeperFreezes, FleetTrouble::AllRestart];
    println!("rule limit busy_nodes trouble used_share peak allowed_peak");
    for rule in [LimitRule::EvenShares, LimitRule::DemandShares, LimitRule::TurnKeeper] {
        for limit in [1.0, 8.0] {
            for busy_nodes in [NODES, 3] {
                for trouble in troubles {
                    let case = TrialCase { limit, busy_nodes, trouble };
                    let runs =
                        SEEDS.map(|seed| simulate(rule, case, &mut fastrand::Rng::with_seed(seed)));
                    let sent: usize = runs.iter().map(Vec::len).sum();
                    let used = sent as f64 / (limit * RUN_TIME_S * SEEDS.len() as f64);
                    let peak = runs.iter().map(|run| peak(run)).max().unwrap_or_default();
                    let allowed = 1.5 * limit * WINDOW_S + 5.0;
                    println!(
                        "{rule:?} {limit} {busy_nodes} {trouble:?} {used:.2} {peak} {allowed}"
                    );
                }
            }
        }
    }
}
