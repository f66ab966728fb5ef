//! Simulates who hands out the slots of brittle replicas when messages take time, and keepers freeze or
//! restart.
//!
//! Prints for each way the share of the room (or of the load, if it is less) that was served, the falls
//! and those allowed, and the messages a second at the busiest node.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use berylstep_core::fleet::brittle::slot_share;

const RUN_TIME_MS: u64 = 30_000;
const TOLERATED: usize = 4;
const DOWN_MS: u64 = 2000;
const SEEDS: [u64; 3] = [1, 2, 3];

/// One way between two nodes, or a node and a replica, including the time of a slow VM.
const MESSAGE_MS: u64 = 3;

/// Time after which another node takes over from a frozen keeper.
const TAKEOVER_MS: u64 = 1100;

/// Time for which a new keeper hands out nothing, until it knows the requests in progress.
const LEARNING_MS: u64 = 600;

/// Replicas that a node asks about for one request.
const MAX_ASKS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum SlotRule {
    /// Each node has its share of each replica's slots, or one request at a time without any.
    Shares,
    /// One keeper for the service; a new one takes all slots for free.
    Forgetful,
    /// One keeper for the service; a new one learns first.
    Service,
    /// A keeper for each replica; a new one learns first.
    Replica,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// The node that keeps the first replica's slots freezes for 1.5 s, every 6 s.
    Freeze,
    /// All nodes restart every 10 s.
    Restart,
}

#[derive(Clone, Copy, Debug)]
struct TrialCase {
    nodes: usize,
    replicas: usize,
    slots: u32,
    service_ms: u64,
    load: f64,
    /// Nodes that have callers.
    entered: usize,
    trouble: Trouble,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A request reaches a replica. `restarts` is the number of common restarts before it was sent.
    Start {
        replica: usize,
        node: usize,
        restarts: u64,
    },
    /// A request ends at a replica's process.
    End {
        replica: usize,
        node: usize,
        process: u32,
    },
    /// The keeper learns that a slot is free.
    Release {
        replica: usize,
        restarts: u64,
    },
}

#[derive(Clone, Debug, Default)]
struct ReplicaState {
    busy: u32,
    process: u32,
    down_until: u64,
    rejections: Vec<u64>,
    /// Slots that its keeper takes for used.
    leased: u32,
    learning_until: u64,
}

#[derive(Debug, Default)]
struct TrialResult {
    served: usize,
    falls: usize,
    messages: usize,
}

fn simulate(rule: SlotRule, case: TrialCase, random: &mut fastrand::Rng) -> TrialResult {
    let names: Vec<_> = (0..case.nodes).map(|node| format!("n-{node}")).collect();
    let share = |replica: usize, node: usize| {
        let others: Vec<_> = (0..case.nodes).filter(|other| *other != node).collect();
        let others: Vec<_> = others.into_iter().map(|other| &*names[other]).collect();
        slot_share(case.slots, &format!("i-{replica}"), &names[node], &others, case.nodes)
    };
    let shares: Vec<Vec<u32>> = match rule {
        SlotRule::Shares => {
            { (0..case.replicas).map(|it| (0..case.nodes).map(|node| share(it, node)).collect()) }
                .collect()
        }
        _ => Vec::new(),
    };
    let mut own = vec![vec![0_u32; case.nodes]; case.replicas];
    let mut paused = vec![vec![0_u64; case.nodes]; case.replicas];
    let mut replicas = vec![ReplicaState::default(); case.replicas];
    let room = case.replicas as f64 * f64::from(case.slots) / case.service_ms as f64;
    let mut events = BinaryHeap::from([Reverse((0, Event::Arrival))]);
    let (mut result, mut arrival) = (TrialResult::default(), 0.0);
    let mut last_restart = 0;
    while let Some(Reverse((now, event))) = events.pop() {
        if now >= RUN_TIME_MS {
            break;
        }
        if case.trouble == Trouble::Restart && now / 10_000 > last_restart {
            last_restart = now / 10_000;
            // Connections close, and the replicas drop what was running.
            for (state, own) in replicas.iter_mut().zip(&mut own) {
                (state.busy, state.leased, state.process) = (0, 0, state.process + 1);
                let learns = rule != SlotRule::Forgetful;
                state.learning_until = if learns { now + LEARNING_MS } else { now };
                own.fill(0);
            }
        }
        match event {
            Event::Arrival => {
                arrival -= (1.0 - random.f64()).ln() / (room * case.load);
                events.push(Reverse((arrival as u64, Event::Arrival)));
                let node = random.usize(..case.entered);
                let mut order: Vec<_> = (0..case.replicas).collect();
                order.retain(|it| replicas[*it].down_until <= now);
                random.shuffle(&mut order);
                if rule == SlotRule::Shares {
                    let shares_of = |it: usize| shares[it][node];
                    let least = u32::from(order.iter().all(|it| shares_of(*it) == 0));
                    let chosen = order.into_iter().find(|it| {
                        paused[*it][node] <= now && own[*it][node] < shares_of(*it).max(least)
                    });
                    if let Some(replica) = chosen {
                        own[replica][node] += 1;
                        events.push(Reverse((
                            now + MESSAGE_MS,
                            Event::Start { replica, node, restarts: last_restart },
                        )));
                    }
                    continue;
                }
                // A frozen keeper is silent, then another one learns what is in use.
                let phase = now % 6000;
                let is_silent = |replica: usize| {
                    let is_kept = rule != SlotRule::Replica || replica == 0;
                    case.trouble == Trouble::Freeze && is_kept && phase < TAKEOVER_MS
                };
                let is_learning = |replica: usize| {
                    let is_kept = rule != SlotRule::Replica || replica == 0;
                    let learns = TAKEOVER_MS..TAKEOVER_MS + 2 * LEARNING_MS;
                    case.trouble == Trouble::Freeze
                        && rule != SlotRule::Forgetful
                        && is_kept
                        && learns.contains(&phase)
                };
                if rule == SlotRule::Forgetful
                    && case.trouble == Trouble::Freeze
                    && (TAKEOVER_MS..TAKEOVER_MS + 20).contains(&phase)
                {
                    replicas.iter_mut().for_each(|state| state.leased = 0);
                }
                let asks = if rule == SlotRule::Replica { MAX_ASKS } else { case.replicas };
                let messages = if rule == SlotRule::Replica { 0 } else { 2 };
                result.messages += messages;
                let mut asked = 0;
                let chosen = order.into_iter().take(asks).find(|it| {
                    asked += 1;
                    let state = &replicas[*it];
                    !is_silent(*it)
                        && !is_learning(*it)
                        && state.learning_until <= now
                        && state.leased < case.slots
                });
                result.messages += if rule == SlotRule::Replica { 2 * asked } else { 0 };
                if let Some(replica) = chosen {
                    replicas[replica].leased += 1;
                    let trips = if rule == SlotRule::Replica { asked as u64 } else { 1 };
                    let at = now + (2 * trips + 1) * MESSAGE_MS;
                    events.push(Reverse((
                        at,
                        Event::Start { replica, node, restarts: last_restart },
                    )));
                }
            }
            // The node that sent it is gone.
            Event::Start { restarts, .. } if restarts != last_restart => {}
            Event::Start { replica, node, .. } => {
                let state = &mut replicas[replica];
                let release = Reverse((
                    now + 2 * MESSAGE_MS,
                    Event::Release { replica, restarts: last_restart },
                ));
                if state.down_until > now {
                    own[replica][node] = own[replica][node].saturating_sub(1);
                    events.push(release);
                    continue;
                }
                if state.busy < case.slots {
                    state.busy += 1;
                    let service = case.service_ms as f64 * (0.5 + random.f64());
                    let end = Event::End { replica, node, process: state.process };
                    events.push(Reverse((now + service as u64, end)));
                    continue;
                }
                own[replica][node] = own[replica][node].saturating_sub(1);
                paused[replica][node] = now + 1000;
                events.push(release);
                state.rejections.retain(|at| now - at < 1000);
                state.rejections.push(now);
                if state.rejections.len() > TOLERATED {
                    let process = state.process + 1;
                    *state =
                        ReplicaState { process, down_until: now + DOWN_MS, ..Default::default() };
                    own[replica].fill(0);
                    result.falls += 1;
                }
            }
            Event::End { replica, node, process } => {
                let state = &mut replicas[replica];
                if state.process == process {
                    state.busy -= 1;
                    result.served += 1;
                    own[replica][node] = own[replica][node].saturating_sub(1);
                    events.push(Reverse((
                        now + 2 * MESSAGE_MS,
                        Event::Release { replica, restarts: last_restart },
                    )));
                }
            }
            Event::Release { restarts, .. } if restarts != last_restart => {}
            Event::Release { replica, .. } => {
                result.messages += usize::from(rule != SlotRule::Shares);
                let state = &mut replicas[replica];
                state.leased = state.leased.saturating_sub(1);
            }
        }
    }
    result
}

fn main() {
    println!("nodes entered replicas slots ms load trouble | rule served_share falls allowed messages_per_s");
    for (nodes, replicas, slots, service_ms) in
        [(8, 3, 6, 15), (78, 3, 6, 15), (295, 5, 6, 15), (78, 112, 12, 1000), (295, 204, 12, 1000)]
    {
        for (load, entered, trouble) in [
            (1.5, nodes, Trouble::None),
            (0.6, nodes, Trouble::None),
            (1.5, 3, Trouble::None),
            (1.5, nodes, Trouble::Freeze),
            (1.5, nodes, Trouble::Restart),
        ] {
            let case = TrialCase { nodes, replicas, slots, service_ms, load, entered, trouble };
            for rule in
                [SlotRule::Shares, SlotRule::Forgetful, SlotRule::Service, SlotRule::Replica]
            {
                let run = |seed| simulate(rule, case, &mut fastrand::Rng::with_seed(seed));
                let runs = SEEDS.map(run);
                let total = |value: fn(&TrialResult) -> usize| -> f64 {
                    runs.iter().map(value).sum::<usize>() as f64
                };
                let seconds = RUN_TIME_MS as f64 / 1000.0 * SEEDS.len() as f64;
                let room = replicas as f64 * f64::from(slots) / service_ms as f64 * 1000.0;
                let keepers = match rule {
                    SlotRule::Shares | SlotRule::Forgetful | SlotRule::Service => 1.0,
                    SlotRule::Replica => replicas.min(9) as f64,
                };
                println!(
                    "{nodes} {entered} {replicas} {slots} {service_ms} {load} {trouble:?} | {rule:?} \
                     {:.2} {:.0} {} {:.0}",
                    total(|run| run.served) / seconds / (room * load.min(1.0)),
                    total(|run| run.falls) / SEEDS.len() as f64,
                    2 + replicas / 10,
                    total(|run| run.messages) / seconds / keepers
                );
            }
        }
    }
}
