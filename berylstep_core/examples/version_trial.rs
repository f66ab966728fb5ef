//! Simulates ways in which a node learns the software version of a stream that another node has
//! served, when the caller takes the stream up after it broke off.
//!
//! Prints for each way the share of these streams that goes on, the share that goes on at another
//! version, and the messages per second of the mean and of the busiest node, while a release changes
//! the shares of two versions and nodes are killed, frozen or all restarted.

use berylstep_core::rendezvous;

const RUN_TIME_S: f64 = 60.0;
/// Time over which the newer version takes all new streams.
const RELEASE_S: f64 = 40.0;
/// Time until a node knows a changed share.
const SHARE_DELAY_S: f64 = 0.3;
const STREAM_S: f64 = 1.5;
/// Share of streams that break off although their node lives on.
const BROKEN_SHARE: f64 = 0.1;
/// Time until a caller takes its stream up.
const RETURN_S: f64 = 0.05;
/// Share of messages that are lost.
const LOSS: f64 = 0.02;
const REPRESENTATIVES_PER_ZONE: usize = 3;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Clone, Copy, Debug)]
enum VersionRule {
    /// Streams go on at any replica.
    Any,
    /// Both nodes compute the version from the attempt's identifier and the shares.
    FromId,
    /// All peers are asked.
    AskAll,
    /// This number of representatives keep the version of each stream.
    Homes(usize),
}

#[derive(Clone, Copy, Debug)]
enum FleetTrouble {
    None,
    TenthKilled,
    TenthFrozen,
    MostRestart,
    AllRestart,
}

#[derive(Clone, Copy, Debug)]
struct FleetSize {
    nodes: usize,
    zones: usize,
    streams_per_s: f64,
}

const SIZES: [FleetSize; 2] = [
    FleetSize { nodes: 8, zones: 3, streams_per_s: 92.0 },
    FleetSize { nodes: 295, zones: 5, streams_per_s: 920.0 },
];

/// Times at which each node is down or frozen, as `(from, to, loses_memory)`.
type Outages = Vec<Vec<(f64, f64, bool)>>;

fn outages(size: FleetSize, trouble: FleetTrouble, random: &mut fastrand::Rng) -> Outages {
    let mut outages = vec![Vec::new(); size.nodes];
    let (share, for_s, loses_memory) = match trouble {
        FleetTrouble::None => return outages,
        FleetTrouble::TenthKilled => (0.1, 1.0, true),
        FleetTrouble::TenthFrozen => (0.1, 2.0, false),
        FleetTrouble::MostRestart => (0.6, 1.0, true),
        FleetTrouble::AllRestart => (1.0, 1.0, true),
    };
    let count = ((size.nodes as f64 * share) as usize).max(1);
    for round in 1..8 {
        let at = f64::from(round) * 7.0;
        let mut nodes: Vec<_> = (0..size.nodes).collect();
        random.shuffle(&mut nodes);
        for node in nodes.into_iter().take(count) {
            outages[node].push((at, at + for_s, loses_memory));
        }
    }
    outages
}

fn is_out(outages: &Outages, node: usize, at: f64) -> bool {
    outages[node].iter().any(|(from, to, _)| (*from..*to).contains(&at))
}

/// Returns whether a node that was told at `from` still remembers at `to`, and can say so.
fn remembers(outages: &Outages, node: usize, from: f64, to: f64) -> bool {
    let forgot =
        outages[node].iter().any(|(at, end, forgets)| *forgets && *end > from && *at <= to);
    !forgot && !is_out(outages, node, to)
}

/// Share of new streams that begin at the newer version.
fn share(at: f64) -> f64 {
    ((at - 10.0) / RELEASE_S).clamp(0.0, 1.0)
}

/// Returns the representatives in the order in which they keep the version of a stream: one of each
/// zone, then the next of each.
fn homes(size: FleetSize, id: &str) -> Vec<usize> {
    let score = |node: usize| rendezvous::score(id, &node.to_string());
    let mut ranked = Vec::new();
    for zone in 0..size.zones {
        let mut nodes: Vec<_> =
            (zone..size.nodes).step_by(size.zones).take(REPRESENTATIVES_PER_ZONE).collect();
        nodes.sort_by_key(|node| std::cmp::Reverse(score(*node)));
        ranked.extend(nodes.into_iter().enumerate().map(|(rank, node)| (rank, score(node), node)));
    }
    ranked.sort_by_key(|(rank, score, _)| (*rank, std::cmp::Reverse(*score)));
    ranked.into_iter().map(|(_, _, node)| node).collect()
}

#[derive(Clone, Debug, Default)]
struct TrialResult {
    taken_up: usize,
    went_on: usize,
    mixed: usize,
    messages: Vec<usize>,
}

fn simulate(
    rule: VersionRule,
    size: FleetSize,
    trouble: FleetTrouble,
    random: &mut fastrand::Rng,
) -> TrialResult {
    let outages = outages(size, trouble, random);
    let mut result = TrialResult { messages: vec![0; size.nodes], ..TrialResult::default() };
    for _ in 0..(size.streams_per_s * RUN_TIME_S) as usize {
        let begun = random.f64() * RUN_TIME_S;
        let node = random.usize(..size.nodes);
        if is_out(&outages, node, begun) {
            continue;
        }
        let id = format!("{:016x}", random.u64(..));
        let draw = rendezvous::score(&id, "") as f64 / u64::MAX as f64;
        let is_newer = match rule {
            VersionRule::FromId => draw < share(begun - random.f64() * SHARE_DELAY_S),
            _ => random.f64() < share(begun),
        };
        let keepers = homes(size, &id);
        let mut told = Vec::new();
        if let VersionRule::Homes(copies) = rule {
            for home in keepers.iter().take(copies).filter(|home| **home != node) {
                result.messages[*home] += 1;
                result.messages[node] += 1;
                if random.f64() >= LOSS && !is_out(&outages, *home, begun) {
                    told.push(*home);
                }
            }
        }
        told.push(node);
        let lost_at = outages[node]
            .iter()
            .map(|(from, ..)| *from)
            .find(|from| (begun..begun + STREAM_S).contains(from));
        let broken_at = (random.f64() < BROKEN_SHARE).then(|| begun + random.f64() * STREAM_S);
        let Some(broken_at) = lost_at.or(broken_at) else { continue };
        let now = broken_at + RETURN_S;
        let up: Vec<_> = (0..size.nodes).filter(|node| !is_out(&outages, *node, now)).collect();
        let Some(taker) = random.choice(up) else { continue };
        result.taken_up += 1;
        let mut knows = |node: usize, messages: &mut Vec<usize>| {
            if node == taker {
                return told.contains(&node) && remembers(&outages, node, begun, now);
            }
            messages[node] += 2;
            messages[taker] += 2;
            told.contains(&node)
                && remembers(&outages, node, begun, now)
                && random.f64() >= 2.0 * LOSS
        };
        let known = match rule {
            VersionRule::Any => None,
            VersionRule::FromId => Some(draw < share(now)),
            VersionRule::AskAll => {
                let known: Vec<_> =
                    (0..size.nodes).map(|node| knows(node, &mut result.messages)).collect();
                if !known.contains(&true) {
                    continue;
                }
                Some(is_newer)
            }
            VersionRule::Homes(copies) => {
                let asked = keepers.iter().take(2 * copies).chain([&taker]);
                let known: Vec<_> = asked.map(|node| knows(*node, &mut result.messages)).collect();
                if !known.contains(&true) {
                    continue;
                }
                Some(is_newer)
            }
        };
        let goes_on_newer = known.unwrap_or_else(|| random.f64() < share(now));
        result.went_on += 1;
        result.mixed += usize::from(goes_on_newer != is_newer);
    }
    result
}

fn main() {
    let rules = [
        VersionRule::Any,
        VersionRule::FromId,
        VersionRule::AskAll,
        VersionRule::Homes(1),
        VersionRule::Homes(2),
        VersionRule::Homes(3),
    ];
    let troubles = [
        FleetTrouble::None,
        FleetTrouble::TenthKilled,
        FleetTrouble::TenthFrozen,
        FleetTrouble::MostRestart,
        FleetTrouble::AllRestart,
    ];
    println!("nodes trouble rule taken_up went_on mixed messages_per_s mean busiest");
    for size in SIZES {
        for trouble in troubles {
            for rule in rules {
                let runs = SEEDS
                    .map(|seed| simulate(rule, size, trouble, &mut fastrand::Rng::with_seed(seed)));
                let total =
                    |count: fn(&TrialResult) -> usize| -> usize { runs.iter().map(count).sum() };
                let (taken, mixed) = (total(|run| run.taken_up), total(|run| run.mixed));
                let went_on = total(|run| run.went_on) as f64 / taken as f64;
                let seconds = RUN_TIME_S * SEEDS.len() as f64;
                let mut sums = vec![0; size.nodes];
                for run in &runs {
                    sums.iter_mut().zip(&run.messages).for_each(|(sum, count)| *sum += count);
                }
                let mean = sums.iter().sum::<usize>() as f64 / seconds / size.nodes as f64;
                let busiest = sums.iter().copied().max().unwrap_or_default() as f64 / seconds;
                println!(
                    "{} {trouble:?} {rule:?} {taken} {went_on:.2} {mixed} {mean:.1} {busiest:.1}",
                    size.nodes
                );
            }
        }
    }
}
