//! Simulates three ways to keep the requests to a cold replica within its bounds over all nodes of a fleet: a
//! share of the rate at each node, turns of a keeper as for a limit, and turns of a keeper as for a cold replica.
//!
//! Prints for each way the share of the tolerated rate that was used and the largest number of requests in a
//! second, while nothing happens, the keeper freezes every five seconds and two keepers are in office for a second
//! after it, all nodes restart at once every four seconds, and three zones are cut off from each other.

use std::time::Duration;

use berylstep_core::fleet::cold::{ColdBounds, FleetSight, TURN_LIFETIME};
use berylstep_core::fleet::turns::{TurnAnswer, TurnAsk, TurnCandidate, TurnKeeper};

const NODES: usize = 71;
const ZONES: usize = 3;
/// Requests per second that would go to the cold replica, over all nodes.
const DEMAND: f64 = 300.0;
const PER_SECOND: f64 = 14.0;
const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, slack: 5.0 };
const RUN_TIME_MS: u64 = 60_000;
const FREEZE_INTERVAL_MS: u64 = 5000;
const FREEZE_MS: u64 = 1000;
const RESTART_INTERVAL_MS: u64 = 4000;
/// Share of asks that are lost on the way.
const LOSS: f64 = 0.01;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Clone, Copy, Debug, PartialEq)]
enum ColdWay {
    NodeShares,
    LimitTurns,
    ColdTurns,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum FleetTrouble {
    None,
    KeeperFreezes,
    AllRestart,
    ZonesCutOff,
}

impl FleetTrouble {
    /// Returns the keeper that a node of `zone` asks at `millis`, if it answers.
    fn keeper(self, zone: usize, millis: u64, random: &mut fastrand::Rng) -> Option<usize> {
        let phase = millis % FREEZE_INTERVAL_MS;
        match self {
            Self::None | Self::AllRestart => Some(0),
            Self::ZonesCutOff => Some(zone),
            Self::KeeperFreezes if phase < FREEZE_MS => None,
            Self::KeeperFreezes if phase < 2 * FREEZE_MS => Some(random.usize(..2)),
            Self::KeeperFreezes => Some((millis / FREEZE_INTERVAL_MS % 2) as usize),
        }
    }
}

/// Returns the arrival times at the replica, in milliseconds.
fn simulate(way: ColdWay, trouble: FleetTrouble, random: &mut fastrand::Rng) -> Vec<u64> {
    let mut nodes = [0.0_f64; NODES];
    let mut keepers: Vec<_> = (0..ZONES).map(|_| TurnKeeper::default()).collect();
    let mut arrivals = Vec::new();
    let heard = if trouble == FleetTrouble::ZonesCutOff { NODES / ZONES } else { NODES };
    let sight = FleetSight { heard, known: NODES, has_store: true, was_paused: false };
    let rate = match way {
        ColdWay::ColdTurns => BOUNDS.turn_rate(PER_SECOND) * sight.turn_share(),
        ColdWay::NodeShares | ColdWay::LimitTurns => PER_SECOND,
    };
    for millis in 0..RUN_TIME_MS {
        if trouble == FleetTrouble::AllRestart && millis % RESTART_INTERVAL_MS == 0 {
            nodes = [0.0; NODES];
            keepers = (0..ZONES).map(|_| TurnKeeper::default()).collect();
        }
        for turns in &mut nodes {
            *turns = (*turns + PER_SECOND / NODES as f64 / 1000.0).min(1.0);
        }
        if random.f64() >= DEMAND / 1000.0 {
            continue;
        }
        let node = random.usize(..NODES);
        let is_sent = match way {
            ColdWay::NodeShares => {
                let has_turn = nodes[node] >= 1.0;
                nodes[node] -= f64::from(u8::from(has_turn));
                has_turn
            }
            ColdWay::LimitTurns | ColdWay::ColdTurns => {
                let keeper = trouble.keeper(node % ZONES, millis, random);
                let Some(keeper) = keeper.filter(|_| random.f64() >= LOSS) else { continue };
                let keeper = &mut keepers[keeper];
                let now = Duration::from_millis(millis);
                if way == ColdWay::ColdTurns {
                    keeper.mark_cold("s", 0, 0.0, now);
                }
                let candidates = [TurnCandidate { replica: 0, rate }];
                let (tier, patience) = (0, Duration::ZERO);
                let ask = TurnAsk { service: "s", tier, patience, candidates: &candidates };
                matches!(keeper.take(&ask, now), TurnAnswer::Granted(_))
            }
        };
        if is_sent {
            arrivals.push(millis + random.u64(..TURN_LIFETIME.as_millis() as u64));
        }
    }
    arrivals.sort_unstable();
    arrivals
}

fn peak(arrivals: &[u64]) -> usize {
    let count =
        |from: &u64| arrivals.iter().filter(|at| (*from..*from + 1000).contains(*at)).count();
    arrivals.iter().map(count).max().unwrap_or_default()
}

fn main() {
    let troubles = [
        FleetTrouble::None,
        FleetTrouble::KeeperFreezes,
        FleetTrouble::AllRestart,
        FleetTrouble::ZonesCutOff,
    ];
    println!("way trouble used_share peak allowed_peak");
    for way in [ColdWay::NodeShares, ColdWay::LimitTurns, ColdWay::ColdTurns] {
        for trouble in troubles {
            let runs =
                SEEDS.map(|seed| simulate(way, trouble, &mut fastrand::Rng::with_seed(seed)));
            let sent: usize = runs.iter().map(Vec::len).sum();
            let seconds = RUN_TIME_MS as f64 / 1000.0 * SEEDS.len() as f64;
            let used = sent as f64 / (PER_SECOND * seconds);
            let peak = runs.iter().map(|run| peak(run)).max().unwrap_or_default();
            println!("{way:?} {trouble:?} {used:.2} {peak} {}", BOUNDS.allowed(PER_SECOND));
        }
    }
}
