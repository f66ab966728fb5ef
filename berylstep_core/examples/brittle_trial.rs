//! Simulates ways to keep nodes within the slots of brittle replicas, which turn a request away for
//! want of a slot and fall over if they do so too often.
//!
//! Prints for each way the share of the room that was used, the falls, and the messages a second at
//! the busiest node, under twice the load that the replicas have room for and under a fifth of it.

use std::collections::BinaryHeap;

use berylstep_core::fleet::brittle::slot_share;

const RUN_TIME_S: f64 = 20.0;
const SERVICE_TIME_S: f64 = 0.02;
const TOLERATED: usize = 4;
const DOWN_S: f64 = 2.0;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Clone, Copy, Debug)]
enum BrittleRule {
    /// Requests are sent to any replica.
    None,
    /// A node leaves a replica alone for a second after a rejection.
    Pause,
    /// Each node has its share of each replica's slots.
    Shares,
    /// One node hands out the slots and is told when they are free again.
    Keeper,
}

#[derive(Clone, Copy, Debug)]
struct SiteCase {
    nodes: usize,
    replicas: usize,
    slots: u32,
    load: f64,
}

#[derive(Debug, Default)]
struct TrialResult {
    served: usize,
    falls: usize,
    messages: usize,
}

fn simulate(rule: BrittleRule, case: SiteCase, random: &mut fastrand::Rng) -> TrialResult {
    let SiteCase { nodes, replicas, slots, load } = case;
    let room = replicas as f64 * f64::from(slots) / SERVICE_TIME_S;
    let names: Vec<_> = (0..nodes).map(|node| format!("n-{node}")).collect();
    let shares: Vec<Vec<u32>> = (0..replicas)
        .map(|replica| {
            let replica = format!("i-{replica}");
            let share = |node: usize| {
                let others: Vec<_> = (0..nodes).filter(|other| *other != node).collect();
                let others: Vec<_> = others.into_iter().map(|other| &*names[other]).collect();
                slot_share(slots, &replica, &names[node], &others, nodes)
            };
            (0..nodes).map(share).collect()
        })
        .collect();
    let mut running = vec![vec![0_u32; nodes]; replicas];
    let mut paused = vec![vec![0.0_f64; nodes]; replicas];
    let mut busy = vec![0_u32; replicas];
    let mut down = vec![0.0_f64; replicas];
    let mut rejections: Vec<Vec<f64>> = vec![Vec::new(); replicas];
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let (mut result, mut now) = (TrialResult::default(), 0.0);
    while now < RUN_TIME_S {
        now -= (1.0 - random.f64()).ln() / (room * load);
        let micros = |at: f64| (at * 1e6) as u64;
        while let Some(std::cmp::Reverse((at, replica, node))) = ends.peek().copied() {
            if at > micros(now) {
                break;
            }
            ends.pop();
            busy[replica] = busy[replica].saturating_sub(1);
            let count = &mut running[replica][node];
            *count = count.saturating_sub(1);
            result.served += 1;
            result.messages += usize::from(matches!(rule, BrittleRule::Keeper));
        }
        let node = random.usize(..nodes);
        let mut order: Vec<_> = (0..replicas).filter(|replica| down[*replica] <= now).collect();
        random.shuffle(&mut order);
        let chosen = order.into_iter().find(|replica| match rule {
            BrittleRule::None => true,
            BrittleRule::Pause => paused[*replica][node] <= now,
            BrittleRule::Shares => running[*replica][node] < shares[*replica][node],
            BrittleRule::Keeper => busy[*replica] < slots,
        });
        result.messages += usize::from(matches!(rule, BrittleRule::Keeper)) * 2;
        let Some(replica) = chosen else { continue };
        if busy[replica] < slots {
            busy[replica] += 1;
            running[replica][node] += 1;
            let service_time = SERVICE_TIME_S * (0.5 + random.f64());
            ends.push(std::cmp::Reverse((micros(now + service_time), replica, node)));
            continue;
        }
        paused[replica][node] = now + 1.0;
        rejections[replica].retain(|at| now - at < 1.0);
        rejections[replica].push(now);
        if rejections[replica].len() > TOLERATED {
            rejections[replica].clear();
            down[replica] = now + DOWN_S;
            running[replica].fill(0);
            busy[replica] = 0;
            result.falls += 1;
        }
    }
    result
}

fn main() {
    let case = |nodes, replicas, slots, load| SiteCase { nodes, replicas, slots, load };
    let cases = [
        case(8, 3, 6, 2.0),
        case(8, 3, 6, 0.2),
        case(295, 5, 6, 2.0),
        case(295, 5, 6, 0.2),
        case(295, 204, 12, 2.0),
    ];
    println!("nodes replicas slots load rule used_share falls allowed messages_per_s");
    for case in cases {
        for rule in
            [BrittleRule::None, BrittleRule::Pause, BrittleRule::Shares, BrittleRule::Keeper]
        {
            let runs = SEEDS.map(|seed| simulate(rule, case, &mut fastrand::Rng::with_seed(seed)));
            let total =
                |value: fn(&TrialResult) -> usize| -> usize { runs.iter().map(value).sum() };
            let seconds = RUN_TIME_S * SEEDS.len() as f64;
            let wanted = case.replicas as f64 * f64::from(case.slots) / SERVICE_TIME_S;
            println!(
                "{} {} {} {} {rule:?} {:.2} {} {} {:.0}",
                case.nodes,
                case.replicas,
                case.slots,
                case.load,
                total(|run| run.served) as f64 / seconds / (wanted * case.load.min(1.0)),
                total(|run| run.falls) / SEEDS.len(),
                2 + case.replicas / 10,
                total(|run| run.messages) as f64 / seconds
            );
        }
    }
}
