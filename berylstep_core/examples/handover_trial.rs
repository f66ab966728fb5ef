//! Simulates how nodes that are cut off from replicas hand their requests to others.
//!
//! Prints for each way the requests a second at the busiest node that takes them, as a multiple of
//! what a node has without a cut, one and eight seconds after the cut, and the share of first tries
//! that are served.

const STEP_S: f64 = 0.01;
const TTL_S: f64 = 2.0;
/// Requests per second of each node's callers without a cut.
const RATE: f64 = 12.0;
const REPRESENTATIVES_PER_ZONE: usize = 3;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Clone, Copy, Debug, PartialEq)]
enum HandoverRule {
    /// The directory leaves out nodes that are cut off; they refuse what still comes.
    DirectoryOnly,
    /// A random node is taken.
    Random,
    /// The less loaded of two random nodes is taken, by loads of a quarter of a second ago.
    LessLoaded,
    /// A random representative of any zone is taken.
    Representative,
}

#[derive(Clone, Copy, Debug)]
struct FleetCase {
    nodes: usize,
    zones: usize,
    /// Nodes that are cut off are the first ones of the first zones.
    cut: usize,
    /// Whether the directory leaves out nodes that are cut off.
    leaves_directory: bool,
}

struct CutResult {
    busiest: [f64; 2],
    served: f64,
}

fn simulate(rule: HandoverRule, case: FleetCase, random: &mut fastrand::Rng) -> CutResult {
    let per_zone = case.nodes.div_ceil(case.zones);
    let order: Vec<usize> = (0..case.nodes).collect();
    let (cut, sound) = order.split_at(case.cut);
    let is_known = |node: &usize, from: usize| {
        let is_near = node / per_zone == from / per_zone;
        is_near || node % per_zone < REPRESENTATIVES_PER_ZONE
    };
    let mut counts = vec![[0.0; 2]; case.nodes];
    let mut recent = vec![0.0_f64; case.nodes];
    let mut reported = recent.clone();
    let (mut sent, mut served) = (0, 0);
    for step in 0..(9.0 / STEP_S) as usize {
        let now = step as f64 * STEP_S;
        if step % 25 == 0 {
            reported.clone_from(&recent);
        }
        recent.iter_mut().for_each(|load| *load *= 1.0 - STEP_S);
        for caller in 0..case.nodes {
            if random.f64() >= RATE * STEP_S {
                continue;
            }
            // Callers keep an answer of the directory for one to three lifetimes.
            let lifetime = TTL_S * (1.0 + 2.0 * (caller % 7) as f64 / 6.0);
            let asked_again = now > lifetime * random.f64();
            let entry = match case.leaves_directory && asked_again {
                true => sound[random.usize(..sound.len())],
                false => caller,
            };
            sent += 1;
            let taker = match cut.contains(&entry) {
                false => Some(entry),
                true => {
                    let known: Vec<_> =
                        sound.iter().copied().filter(|node| is_known(node, entry)).collect();
                    let pick = |random: &mut fastrand::Rng| random.choice(known.iter().copied());
                    match rule {
                        HandoverRule::DirectoryOnly => None,
                        HandoverRule::Random => pick(random),
                        HandoverRule::LessLoaded => {
                            let pair = [pick(random), pick(random)];
                            let pair = pair.into_iter().flatten();
                            pair.min_by(|a, b| reported[*a].total_cmp(&reported[*b]))
                        }
                        HandoverRule::Representative => {
                            let is_representative =
                                |n: &usize| n % per_zone < REPRESENTATIVES_PER_ZONE;
                            let known: Vec<_> =
                                known.into_iter().filter(is_representative).collect();
                            random.choice(known)
                        }
                    }
                }
            };
            let Some(taker) = taker else { continue };
            served += 1;
            recent[taker] += 1.0;
            for (index, from) in [1.0, 8.0].into_iter().enumerate() {
                counts[taker][index] += f64::from(u8::from((from..from + 1.0).contains(&now)));
            }
        }
    }
    let busiest = |index: usize| counts.iter().map(|count| count[index]).fold(0.0, f64::max) / RATE;
    CutResult { busiest: [busiest(0), busiest(1)], served: f64::from(served) / f64::from(sent) }
}

fn main() {
    let case =
        |nodes, zones, cut, leaves_directory| FleetCase { nodes, zones, cut, leaves_directory };
    let cases = [
        case(8, 3, 2, false),
        case(8, 3, 5, false),
        case(8, 3, 5, true),
        case(295, 5, 59, false),
        case(295, 5, 177, false),
        case(295, 5, 177, true),
    ];
    println!("nodes cut leaves_directory rule served busiest_at_1_s busiest_at_8_s");
    for case in cases {
        for rule in [
            HandoverRule::DirectoryOnly,
            HandoverRule::Random,
            HandoverRule::LessLoaded,
            HandoverRule::Representative,
        ] {
            let runs = SEEDS.map(|seed| simulate(rule, case, &mut fastrand::Rng::with_seed(seed)));
            let mean = |value: fn(&CutResult) -> f64| {
                runs.iter().map(value).sum::<f64>() / runs.len() as f64
            };
            println!(
                "{} {} {} {rule:?} {:.2} {:.1} {:.1}",
                case.nodes,
                case.cut,
                case.leaves_directory,
                mean(|run| run.served),
                mean(|run| run.busiest[0]),
                mean(|run| run.busiest[1])
            );
        }
    }
}
