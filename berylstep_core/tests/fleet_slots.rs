//! Slots of brittle replicas: what a keeper hands out under which load, and with which messages lost.

use std::collections::BTreeMap;
use std::time::Duration;

use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::runs::{HeldSlot, RunReport, RunTable};
use berylstep_core::fleet::slots::{
    keeper_room, SlotAnswer, SlotAsk, SlotGrant, SlotKeeper, LEARNING_TIME,
};
use berylstep_core::fleet::window::NodeRun;

const PROCESS: ProcessId = ProcessId { replica: 1, born: 7 };
const LIFETIME: Duration = Duration::from_secs(10);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn node(number: usize) -> NodeRun {
    NodeRun { node: format!("n-{number}").into(), incarnation: 1 }
}

fn ask(holder: usize, number: u64, tier: u8, patience: Duration) -> SlotAsk {
    SlotAsk { holder: node(holder), number, process: PROCESS, tier, patience, lifetime: LIFETIME }
}

fn report(next: u64, asked: &[u64], held: &[u64]) -> RunReport {
    let held = held.iter().map(|number| HeldSlot { number: *number, lifetime: LIFETIME });
    RunReport { next, asked: asked.to_vec(), held: held.collect() }
}

/// Returns a keeper that has learnt what is in use, and the time.
fn ready_keeper() -> (SlotKeeper, Duration) {
    let mut keeper = SlotKeeper::default();
    confirm(&mut keeper, Duration::ZERO, LEARNING_TIME);
    (keeper, LEARNING_TIME)
}

/// Confirms every 200 ms that the node is the keeper.
fn confirm(keeper: &mut SlotKeeper, from: Duration, until: Duration) {
    let mut now = from;
    while now <= until {
        keeper.confirm(PROCESS, true, now);
        now += at(200);
    }
}

/// Guards against a keeper that has just been elected and takes slots for free that are in use (LIMIT).
#[test]
fn a_new_keeper_learns_what_is_in_use_before_it_hands_anything_out() {
    let mut keeper = SlotKeeper::default();
    keeper.confirm(PROCESS, true, at(0));
    keeper.report(&node(1), PROCESS, &report(9, &[], &[3, 4]), at(100));
    assert_eq!(keeper.ask(ask(2, 0, 0, at(0)), 3, at(100)), SlotAnswer::Denied(at(500)));
    confirm(&mut keeper, at(200), at(600));
    assert_eq!(keeper.ask(ask(2, 1, 0, at(0)), 3, at(600)), SlotAnswer::Granted);
    assert!(matches!(keeper.ask(ask(2, 2, 0, at(0)), 3, at(600)), SlotAnswer::Denied(_)));
}

/// Guards against a keeper that was frozen while another one took its place (LIMIT).
#[test]
fn a_keeper_that_was_frozen_learns_again() {
    let (mut keeper, now) = ready_keeper();
    let thawed = now + at(3000);
    assert_eq!(keeper.ask(ask(1, 0, 0, at(0)), 3, thawed), SlotAnswer::Denied(LEARNING_TIME));
    keeper.confirm(PROCESS, true, thawed);
    assert!(matches!(keeper.ask(ask(1, 1, 0, at(0)), 3, thawed), SlotAnswer::Denied(_)));
    confirm(&mut keeper, thawed + at(200), thawed + at(600));
    assert_eq!(keeper.ask(ask(1, 2, 0, at(0)), 3, thawed + at(600)), SlotAnswer::Granted);
    keeper.confirm(PROCESS, false, thawed + at(700));
    assert!(matches!(keeper.ask(ask(1, 3, 0, at(0)), 3, thawed + at(700)), SlotAnswer::Denied(_)));
}

struct ReportCase {
    name: &'static str,
    reports: &'static [(u64, &'static [u64], &'static [u64])],
    /// Slots that are known to be in use afterwards, of numbers 5 and 6 that were granted.
    used: usize,
}

/// Guards against lost, late and reordered messages that free a slot in use, or keep one that is free.
#[test]
fn reports_free_what_has_ended_and_nothing_else() {
    let cases = [
        ReportCase { name: "nothing is heard", reports: &[], used: 2 },
        ReportCase { name: "both are in use", reports: &[(7, &[], &[5, 6])], used: 2 },
        ReportCase { name: "one has ended", reports: &[(7, &[], &[6])], used: 1 },
        ReportCase { name: "sent before the grants", reports: &[(5, &[], &[])], used: 2 },
        ReportCase { name: "sent before a grant arrived", reports: &[(7, &[6], &[5])], used: 2 },
        ReportCase {
            name: "an older one comes late",
            reports: &[(9, &[], &[]), (7, &[], &[5, 6])],
            used: 0,
        },
        ReportCase {
            name: "others were sent without a slot",
            reports: &[(9, &[], &[5, 6, 7])],
            used: 3,
        },
    ];
    for case in cases {
        let (mut keeper, now) = ready_keeper();
        for number in [5, 6] {
            assert_eq!(keeper.ask(ask(1, number, 0, at(0)), 4, now), SlotAnswer::Granted);
            let again = keeper.ask(ask(1, number, 0, at(0)), 4, now);
            assert_eq!(again, SlotAnswer::Granted, "an ask that is sent again gets the same slot");
        }
        keeper.report(&node(2), PROCESS, &report(1, &[], &[]), now);
        for (next, asked, held) in case.reports {
            keeper.report(&node(1), PROCESS, &report(*next, asked, held), now);
        }
        assert_eq!(keeper.used(PROCESS.replica), case.used, "{}", case.name);
    }
    // A node that is never heard of again frees its slots when its requests have ended for certain.
    let (mut keeper, now) = ready_keeper();
    assert_eq!(keeper.ask(ask(1, 0, 0, at(0)), 1, now), SlotAnswer::Granted);
    confirm(&mut keeper, now, now + LIFETIME);
    let free = |keeper: &mut SlotKeeper, now| keeper.ask(ask(2, 0, 0, at(0)), 1, now);
    assert!(matches!(free(&mut keeper, now + LIFETIME - at(1)), SlotAnswer::Denied(_)));
    assert_eq!(free(&mut keeper, now + LIFETIME), SlotAnswer::Granted);
}

#[test]
fn waiting_requests_get_slots_in_the_order_of_their_tiers() {
    let (mut keeper, now) = ready_keeper();
    assert_eq!(keeper.ask(ask(1, 0, 5, at(0)), 1, now), SlotAnswer::Granted);
    let patience = at(400);
    let queued = |keeper: &mut SlotKeeper, holder, tier| {
        matches!(keeper.ask(ask(holder, 0, tier, patience), 1, now), SlotAnswer::Queued(_))
    };
    assert!(queued(&mut keeper, 2, 5) && queued(&mut keeper, 3, 1) && queued(&mut keeper, 4, 1));
    let mut order = Vec::new();
    let mut holder = 1;
    for _ in 0..3 {
        keeper.report(&node(holder), PROCESS, &report(1, &[], &[]), now);
        let grants = keeper.grant_waiting(PROCESS.replica, 1, now);
        let [SlotGrant { holder: granted, number: 0 }] = &*grants else { panic!("{grants:?}") };
        holder = granted.node[2..].parse().unwrap();
        order.push(holder);
    }
    assert_eq!(order, [3, 4, 2]);
    // A request whose patience is over, or that its node has withdrawn, gets none.
    assert!(queued(&mut keeper, 6, 1) && queued(&mut keeper, 7, 1));
    keeper.report(&node(6), PROCESS, &report(1, &[], &[]), now);
    let later = now + patience;
    keeper.report(&node(2), PROCESS, &report(1, &[], &[]), later);
    keeper.confirm(PROCESS, true, later);
    assert_eq!(keeper.grant_waiting(PROCESS.replica, 1, later), []);
}

#[test]
fn refused_callers_are_told_times_one_after_the_other() {
    let (mut keeper, now) = ready_keeper();
    assert_eq!(keeper.ask(ask(1, 0, 5, at(0)), 1, now), SlotAnswer::Granted);
    let mut denied = |holder, patience| match keeper.ask(ask(holder, 0, 5, patience), 1, now) {
        SlotAnswer::Denied(wait) => wait.as_millis(),
        answer => panic!("{answer:?}"),
    };
    assert_eq!(denied(2, at(1)), 100);
    assert_eq!(denied(3, at(1)), 200);
    assert_eq!(denied(4, at(0)), 100, "one that asks elsewhere first takes no place");
    assert_eq!(denied(4, at(1)), 300);
}

/// Guards against rejections that go on because something runs at the replica that nobody reports (LIMIT).
#[test]
fn a_rejection_stops_the_keeper_for_as_long_as_the_replica_needs() {
    for (tolerated, pause) in [(6, 334), (1, 2000), (0, 10_000)] {
        let (mut keeper, now) = ready_keeper();
        keeper.record_rejection(PROCESS, tolerated, now);
        confirm(&mut keeper, now, now + at(pause));
        let early = keeper.ask(ask(1, 0, 0, at(0)), 3, now + at(pause - 2));
        assert!(matches!(early, SlotAnswer::Denied(_)), "{tolerated}: {early:?}");
        let late = keeper.ask(ask(1, 1, 0, at(0)), 3, now + at(pause));
        assert_eq!(late, SlotAnswer::Granted, "{tolerated}");
    }
}

#[test]
fn a_restarted_replica_has_all_its_slots() {
    let (mut keeper, now) = ready_keeper();
    assert_eq!(keeper.ask(ask(1, 0, 0, at(0)), 1, now), SlotAnswer::Granted);
    let restarted = ProcessId { born: 8, ..PROCESS };
    let of_new = SlotAsk { process: restarted, ..ask(2, 0, 0, at(0)) };
    assert_eq!(keeper.ask(of_new, 1, now), SlotAnswer::Granted);
    keeper.report(&node(1), PROCESS, &report(1, &[], &[0]), now);
    assert_eq!(keeper.used(PROCESS.replica), 1, "a report on the old process says nothing");
    assert!(matches!(keeper.ask(ask(3, 0, 0, at(0)), 9, now), SlotAnswer::Denied(_)));
}

/// Guards against keepers in parts of a fleet that is cut, or beside nodes of an earlier version, which
/// together hand out more than there is (LIMIT).
#[test]
fn keepers_of_parts_of_a_fleet_hand_out_parts_of_the_slots() {
    assert_eq!(keeper_room(6, 1, "n", 78, 78), 6);
    for parts in [&[39, 39][..], &[60, 18], &[26, 26, 26], &[1, 77], &[7, 1]] {
        let fleet: usize = parts.iter().sum();
        let sum_of = |replica| -> u32 {
            let rooms = parts.iter().enumerate();
            rooms
                .map(|(index, part)| keeper_room(12, replica, &format!("n-{index}"), *part, fleet))
                .sum()
        };
        let sums: Vec<u32> = (0..200).map(sum_of).collect();
        let above = sums.iter().filter(|sum| **sum > 12).count();
        let mean = f64::from(sums.iter().sum::<u32>()) / 200.0;
        assert!(above == 0 && (8.0..=11.0).contains(&mean), "{parts:?}: {above} above, {mean}");
    }
}

/// Guards against requests that were given up and still run at their replica, whose slots are handed out
/// again (LIMIT).
#[test]
fn an_abandoned_run_takes_its_slot_for_as_long_as_others_take() {
    let mut runs = RunTable::default();
    let deadline = at(5000);
    let first = runs.begin(1, deadline, at(0));
    runs.abandon(1, first, at(10));
    assert_eq!(runs.running(1, at(4999)), 1, "until its deadline while nothing is known");
    assert_eq!(runs.running(1, at(5000)), 0);
    let second = runs.begin(2, deadline, at(0));
    runs.finish(2, second, at(40));
    let third = runs.begin(2, deadline, at(100));
    runs.abandon(2, third, at(110));
    assert_eq!((runs.running(2, at(149)), runs.running(2, at(150))), (1, 0));
    // An ask that got no slot takes none.
    let asked = runs.ask(3, deadline, at(0));
    assert_eq!(runs.report(3, at(1)).asked, [asked]);
    runs.abandon(3, asked, at(2));
    let report = runs.report(3, at(3));
    assert!(report.asked.is_empty() && report.held.is_empty());
}

/// Load and trouble of a simulated fleet.
struct FleetCase {
    name: &'static str,
    nodes: usize,
    slots: u32,
    run_ms: u64,
    /// Requests in a second.
    load: u64,
    /// Nodes that have callers.
    entered: usize,
    /// Part of the messages that is lost, in percent.
    lost: u32,
    /// Interval at which another node becomes the keeper, in milliseconds.
    handover_ms: u64,
    /// Part of what fits, or of the load if it is less, that must be served.
    served_share: f64,
}

/// A node's request at the replica.
struct FleetRun {
    node: usize,
    number: u64,
    ends: u64,
}

/// Simulates a replica that rejects what finds no slot; returns the most requests that it had at once
/// and those that it ran in a second.
fn simulate(case: &FleetCase, random: &mut fastrand::Rng) -> (usize, f64) {
    const SECONDS: u64 = 20;
    let mut keepers: Vec<SlotKeeper> = (0..case.nodes).map(|_| SlotKeeper::default()).collect();
    let mut tables: Vec<RunTable> = (0..case.nodes).map(|_| RunTable::default()).collect();
    let mut running: Vec<FleetRun> = Vec::new();
    // Messages that arrive at a time: reports and asks at the keeper, slots at a node.
    let mut reports: BTreeMap<u64, Vec<(usize, RunReport)>> = BTreeMap::new();
    let mut asks: BTreeMap<u64, Vec<(usize, u64)>> = BTreeMap::new();
    let mut answers: BTreeMap<u64, Vec<(usize, u64, bool)>> = BTreeMap::new();
    let mut given_up: BTreeMap<u64, Vec<(usize, u64)>> = BTreeMap::new();
    let (mut most, mut served, mut sent) = (0, 0, 0);
    for now in 0..SECONDS * 1000 {
        let time = at(now);
        let keeper = (now / case.handover_ms.max(1)) as usize % case.nodes;
        let keeper = if case.handover_ms == 0 { 0 } else { keeper };
        if now % 200 == 0 {
            for (index, slots) in keepers.iter_mut().enumerate() {
                slots.confirm(PROCESS, index == keeper, time);
            }
            for (index, table) in tables.iter_mut().enumerate() {
                if !table.busy_replicas(time).is_empty() {
                    let delay = random.u64(1..5);
                    reports.entry(now + delay).or_default().push((index, table.report(1, time)));
                }
            }
        }
        while sent * 1000 < case.load * now {
            sent += 1;
            let from = random.usize(..case.entered);
            let number = tables[from].ask(1, time + LIFETIME, time);
            asks.entry(now + random.u64(1..5)).or_default().push((from, number));
            given_up.entry(now + 100).or_default().push((from, number));
        }
        for (from, message) in reports.remove(&now).unwrap_or_default() {
            if random.u32(..100) >= case.lost {
                keepers[keeper].report(&node(from), PROCESS, &message, time);
            }
        }
        for (from, number) in asks.remove(&now).unwrap_or_default() {
            if random.u32(..100) < case.lost {
                continue;
            }
            let ask = ask(from, number, 0, Duration::ZERO);
            let is_granted = keepers[keeper].ask(ask, case.slots, time) == SlotAnswer::Granted;
            if random.u32(..100) >= case.lost {
                answers.entry(now + random.u64(1..5)).or_default().push((from, number, is_granted));
            }
        }
        for (from, number, is_granted) in answers.remove(&now).unwrap_or_default() {
            if !is_granted {
                tables[from].abandon(1, number, time);
            } else if tables[from].report(1, time).asked.contains(&number) {
                tables[from].start(1, number, time);
                let ends = now + random.u64(case.run_ms / 2..=case.run_ms * 3 / 2);
                running.push(FleetRun { node: from, number, ends });
            }
        }
        for (from, number) in given_up.remove(&now).unwrap_or_default() {
            if tables[from].report(1, time).asked.contains(&number) {
                tables[from].abandon(1, number, time);
                let message = tables[from].report(1, time);
                reports.entry(now + random.u64(1..5)).or_default().push((from, message));
            }
        }
        most = most.max(running.len());
        let (ended, others): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|run: &FleetRun| run.ends <= now);
        running = others;
        for run in ended {
            tables[run.node].finish(1, run.number, time);
            let delay = random.u64(1..5);
            reports
                .entry(now + delay)
                .or_default()
                .push((run.node, tables[run.node].report(1, time)));
            served += 1;
        }
    }
    (most, f64::from(served) / SECONDS as f64)
}

/// Guards against a replica that gets more requests at once than it has slots for, or fewer than fit,
/// under the loads and troubles of hundreds of nodes (LIMIT).
#[test]
fn a_brittle_replica_never_gets_more_than_it_has_slots_for() {
    let calm = FleetCase {
        name: "overload at all nodes",
        nodes: 78,
        slots: 6,
        run_ms: 60,
        load: 300,
        entered: 78,
        lost: 0,
        handover_ms: 0,
        served_share: 0.8,
    };
    let cases = [
        FleetCase { name: "8 nodes", nodes: 8, entered: 8, ..calm },
        FleetCase { name: "295 nodes", nodes: 295, entered: 295, ..calm },
        FleetCase { name: "callers at three nodes", entered: 3, ..calm },
        FleetCase { name: "less than fits", load: 40, served_share: 0.95, ..calm },
        FleetCase { name: "long runs", run_ms: 1000, slots: 12, load: 30, ..calm },
        FleetCase { name: "lost messages", lost: 3, served_share: 0.7, ..calm },
        FleetCase {
            name: "another keeper every 2 s",
            handover_ms: 2000,
            served_share: 0.5,
            ..calm
        },
        FleetCase {
            name: "another keeper every 2 s, long runs",
            handover_ms: 2000,
            run_ms: 1000,
            slots: 12,
            load: 30,
            served_share: 0.5,
            ..calm
        },
        calm,
    ];
    for case in cases {
        for seed in 1..=3 {
            let (most, served) = simulate(&case, &mut fastrand::Rng::with_seed(seed));
            let room = f64::from(case.slots) * 1000.0 / case.run_ms as f64;
            let wanted = room.min(case.load as f64) * case.served_share;
            let text = format!("{}, seed {seed}: {most} at once, {served} of {wanted}", case.name);
            assert!(most <= case.slots as usize && served >= wanted, "{text}");
        }
    }
}
