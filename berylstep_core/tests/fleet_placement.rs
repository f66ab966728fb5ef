//! Replica selection where replicas differ in pace: the expected completion decides, slow replicas take as much less as
//! they are slower, and sessions stay while that costs less than the prefill it saves.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::choice::{choose_replica, PlacementQuery, RequestSize, MIN_SHORT_SHARE};
use berylstep_core::fleet::engine::EngineSpeed;
use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::origins::VersionPin;
use berylstep_core::fleet::pace::{LoadStatement, PaceLedger, PaceSample, PaceSum, WorkKind};
use berylstep_core::fleet::replica::{
    ReplicaEntry, ReplicaLoad, ReplicaState, ReplicaTable, PLAIN_REQUEST_WORK,
};

const SERVICE: &str = "service";
const NOW: Duration = Duration::from_secs(100);
const START: Duration = Duration::from_secs(1);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn entry(index: usize, slots: u32) -> ReplicaEntry {
    ReplicaEntry {
        id: id(index),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        zone: ZONES[index % 4].into(),
        version: "v1".into(),
        slots,
        state: ReplicaState::Ready,
        spot: false,
        leaves_in: None,
        born: 0,
    }
}

fn id(index: usize) -> SharedName {
    format!("r{index:03}").into()
}

fn index_of(id: &str) -> usize {
    id[1..].parse().unwrap()
}

fn table(count: usize, slots: u32) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for index in 0..count {
        table.put(entry(index, slots), 1, START);
    }
    table
}

fn query<'a>(size: Option<RequestSize>, session: Option<&'a str>, draw: u64) -> PlacementQuery<'a> {
    PlacementQuery {
        pin: VersionPin::Any,
        is_resumable: false,
        service: SERVICE,
        size,
        session,
        short_share: MIN_SHORT_SHARE,
        zone: "a",
        excluded: &[],
        draw,
        speed: EngineSpeed { prefill_rate: 61_200.0, step: Duration::from_micros(3370), slots: 12 },
    }
}

fn place(table: &ReplicaTable, query: &PlacementQuery<'_>) -> SharedName {
    choose_replica(table, query, NOW).unwrap().replica
}

/// Merchant statements of the second deployment.
fn long_size() -> Option<RequestSize> {
    Some(RequestSize { prompt: 11_992, output: 342 })
}

/// Requests that go on at a replica until a time, with their work.
type RunningWork = Vec<VecDeque<(Duration, u64)>>;

/// A load on a fleet: nodes with reports of each other's load at intervals, and replicas that work at their paces.
struct LoadTrial {
    nodes: usize,
    slots: u32,
    size: Option<RequestSize>,
    /// Requests per second from all nodes together.
    rate: f64,
    /// Time of one request at the usual pace.
    time: Duration,
    /// Interval between reports of load and of paces, and the time until the others apply them: a follower's report waits for
    /// the next pulse of its representative.
    report_interval: Duration,
    report_delay: Duration,
    duration: Duration,
}

/// Result of a load trial.
struct TrialResult {
    /// Requests by replica.
    counts: Vec<usize>,
    /// Requests that were sent to a replica while its pace was above that of others.
    slow: usize,
    /// Requests that took more than twice their usual time.
    late: usize,
    total: usize,
    /// Sum of the times of the requests.
    time: Duration,
    /// Largest number of requests at a replica at once.
    peak: usize,
}

impl LoadTrial {
    /// Runs the load; with `is_paced`, nodes learn paces, otherwise all stay at 1.
    fn run(
        &self,
        replicas: usize,
        is_paced: bool,
        pace: impl Fn(usize, Duration) -> f64,
    ) -> TrialResult {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut tables: Vec<_> = (0..self.nodes).map(|_| table(replicas, self.slots)).collect();
        let hashes: Vec<_> =
            (0..replicas).map(|index| tables[0].get(&id(index)).unwrap().hash).collect();
        let mut ledgers: Vec<PaceLedger> = (0..self.nodes).map(|_| PaceLedger::default()).collect();
        let mut own: Vec<RunningWork> = vec![vec![VecDeque::new(); replicas]; self.nodes];
        let mut arrivals: VecDeque<(Duration, usize, usize, Duration)> = VecDeque::new();
        let mut result = TrialResult {
            counts: vec![0; replicas],
            slow: 0,
            late: 0,
            total: 0,
            time: Duration::ZERO,
            peak: 0,
        };
        let (step, end) = (Duration::from_millis(1), NOW + self.duration);
        let (mut now, mut next_report, mut due) = (NOW, NOW, 0.0);
        let mut reports: Option<(Duration, NodeReports)> = None;
        let work = RequestSize::work(self.size, query(None, None, 0).speed);
        while now < end {
            for (node, running) in own.iter_mut().enumerate() {
                for (index, queue) in running.iter_mut().enumerate() {
                    queue.retain(|(until, work)| {
                        let is_running = *until > now;
                        if !is_running {
                            tables[node].remove_load(&id(index), *work);
                        }
                        is_running
                    });
                }
            }
            while arrivals.front().is_some_and(|(at, ..)| *at <= now) {
                let (_, node, index, elapsed) = arrivals.pop_front().unwrap();
                let process = ProcessId { replica: hashes[index], born: 0 };
                let kind = if self.size.is_some() { WorkKind::Model } else { WorkKind::Plain };
                // Prompts, outputs and load make single times uncertain by up to a factor of 1.8.
                let error = ((rng.f64() - 0.5) * 1.2).exp();
                let ratio = elapsed.as_secs_f64() * error;
                let sample = PaceSample { kind, baseline: 1, ratio };
                ledgers[node].observe_elapsed(process, sample, now);
                let statement =
                    LoadStatement { pace: Some(pace(index, now)), ..LoadStatement::default() };
                ledgers[node].observe_statement(process, statement, now, now);
                if is_paced {
                    let pace = ledgers[node].expected_pace(process, now);
                    tables[node].set_pace(&id(index), pace);
                }
            }
            if now >= next_report {
                next_report = now + self.report_interval;
                reports = Some((now + self.report_delay, NodeReports::new(&tables, &ledgers, now)));
            }
            if let Some((_, sent)) = reports.take_if(|(at, _)| *at <= now) {
                sent.apply(&mut tables, &mut ledgers, &hashes, is_paced, now);
            }
            due += self.rate * step.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let node = rng.usize(..self.nodes);
                let session = format!("s{}", rng.u32(..2000));
                let session = self.size.is_some().then_some(&*session);
                let query = PlacementQuery {
                    zone: ZONES[node % 4],
                    ..query(self.size, session, rng.u64(..))
                };
                let index = index_of(&place(&tables[node], &query));
                tables[node].add_load(&id(index), work);
                // What exceeds the slots waits for them.
                let at_replica: usize = own.iter().map(|running| running[index].len()).sum();
                let waves = 1 + at_replica / self.slots as usize;
                let elapsed = self.time.mul_f64(pace(index, now) * waves as f64);
                own[node][index].push_back((now + elapsed, work));
                let position = arrivals.partition_point(|(at, ..)| *at <= now + elapsed);
                arrivals.insert(position, (now + elapsed, node, index, elapsed));
                let is_slow = pace(index, now) > 1.0;
                result.late += usize::from(elapsed >= 2 * self.time);
                result.time += elapsed;
                result.counts[index] += 1;
                result.slow += usize::from(is_slow);
                result.total += 1;
                result.peak = result.peak.max(at_replica + 1);
            }
            now += step;
        }
        result
    }
}

/// What all nodes report at one time.
struct NodeReports {
    loads: Vec<Vec<(u32, ReplicaLoad)>>,
    paces: Vec<HashMap<u32, PaceSum>>,
}

impl NodeReports {
    fn new(tables: &[ReplicaTable], ledgers: &[PaceLedger], now: Duration) -> Self {
        let loads =
            |table: &ReplicaTable| table.rows().map(|row| (row.hash, row.own)).collect::<Vec<_>>();
        Self {
            loads: tables.iter().map(loads).collect(),
            paces: ledgers.iter().map(|ledger| ledger.reports(now)).collect(),
        }
    }

    fn apply(
        self,
        tables: &mut [ReplicaTable],
        ledgers: &mut [PaceLedger],
        hashes: &[u32],
        is_paced: bool,
        now: Duration,
    ) {
        let service = SharedName::from(SERVICE);
        let mut total: HashMap<u32, ReplicaLoad> = HashMap::default();
        let mut paces: HashMap<u32, PaceSum> = HashMap::default();
        for (hash, load) in self.loads.iter().flatten() {
            let sum = total.entry(*hash).or_default();
            (sum.requests, sum.work) = (sum.requests + load.requests, sum.work + load.work);
        }
        for (hash, sum) in self.paces.iter().flatten() {
            paces.entry(*hash).or_default().add(*sum);
        }
        let process = |replica| ProcessId { replica, born: 0 };
        for (node, table) in tables.iter_mut().enumerate() {
            let mut others = total.clone();
            for (hash, load) in &self.loads[node] {
                let sum = others.get_mut(hash).unwrap();
                (sum.requests, sum.work) = (sum.requests - load.requests, sum.work - load.work);
            }
            table.set_peer_loads(&others);
            let mut sums = paces.clone();
            for (hash, own) in &self.paces[node] {
                sums.get_mut(hash).unwrap().subtract(*own);
            }
            ledgers[node].set_peer_sums(sums);
            ledgers[node].update(hashes.iter().map(|hash| (&service, process(*hash))), now);
            if is_paced {
                table.set_paces(|row| ledgers[node].expected_pace(process(row.hash), now));
            }
        }
    }
}

/// The plain service of the second deployment: one of four replicas takes 2.5 times as long, for 600 ms at a time. 20
/// nodes stand for the 77 at the same total rate.
#[test]
fn plain_requests_avoid_the_replica_that_is_slow_at_the_moment() {
    let trial = LoadTrial {
        nodes: 20,
        slots: 6,
        size: None,
        rate: 157.0,
        time: Duration::from_millis(30),
        report_interval: Duration::from_millis(250),
        report_delay: Duration::from_millis(125),
        duration: Duration::from_secs(60),
    };
    let pace = |index: usize, now: Duration| {
        if (now.as_millis() / 600) as usize % 4 == index {
            2.5
        } else {
            1.0
        }
    };
    let (before, after) = (trial.run(4, false, pace), trial.run(4, true, pace));
    println!(
        "slow: {} of {} without paces, {} with; late {} and {}; peak {} and {}; time {:?} and {:?}",
        before.slow,
        before.total,
        after.slow,
        before.late,
        after.late,
        before.peak,
        after.peak,
        before.time / before.total as u32,
        after.time / after.total as u32
    );
    assert!(after.slow * 10 <= before.slow * 7, "{} of {}", after.slow, before.slow);
    assert!(after.peak <= before.peak, "peak {} before {}", after.peak, before.peak);
}

/// The model service of the second deployment: a third of 140 replicas takes 1.7 times the usual time, the others 0.7 times.
#[test]
fn a_slow_third_of_the_model_replicas_takes_less_than_its_share() {
    let trial = LoadTrial {
        nodes: 20,
        slots: 12,
        size: long_size(),
        rate: 155.0,
        time: Duration::from_millis(900),
        report_interval: Duration::from_millis(250),
        report_delay: Duration::from_millis(125),
        duration: Duration::from_secs(16),
    };
    let pace = |index: usize, _| if index % 3 == 0 { 1.7 } else { 0.7 };
    let (before, after) = (trial.run(140, false, pace), trial.run(140, true, pace));
    println!(
        "slow: {} of {} without paces, {} with; late {} and {}; peak {} and {}; time {:?} and {:?}",
        before.slow,
        before.total,
        after.slow,
        before.late,
        after.late,
        before.peak,
        after.peak,
        before.time / before.total as u32,
        after.time / after.total as u32
    );
    assert!(after.slow * 5 <= before.slow * 3, "{} of {}", after.slow, before.slow);
    assert!(after.time * 10 <= before.time * 9, "{:?} of {:?}", after.time, before.time);
    assert!(after.peak <= 12, "a replica got {} requests for 12 slots", after.peak);
    let most = after.counts.iter().max().unwrap();
    assert!(*most * 140 <= after.total * 5, "one replica got {most} of {}", after.total);
}

/// Many nodes with the same information must not all send to the replica that looks best.
#[test]
fn nodes_with_the_same_information_spread_their_requests() {
    struct SpreadCase {
        name: &'static str,
        replicas: usize,
        size: Option<RequestSize>,
        paces: &'static [f64],
        loads: &'static [u64],
        /// Least number of replicas that share the requests, and largest share of one, in hundredths.
        bounds: (usize, usize),
    }
    let cases = [
        SpreadCase {
            name: "one plain replica has one request less",
            replicas: 4,
            size: None,
            paces: &[0.8, 0.8, 0.8, 2.0],
            loads: &[0, 1, 1, 1],
            bounds: (3, 60),
        },
        SpreadCase {
            name: "paces that differ by measurement errors",
            replicas: 4,
            size: None,
            paces: &[1.0, 1.02, 0.99, 1.05],
            loads: &[0, 0, 0, 0],
            bounds: (4, 40),
        },
        SpreadCase {
            name: "model replicas, idle",
            replicas: 12,
            size: Some(RequestSize { prompt: 826, output: 261 }),
            paces: &[1.01, 0.99, 1.0, 1.05],
            loads: &[0],
            bounds: (4, 50),
        },
    ];
    for case in cases {
        let mut table = table(case.replicas, 12);
        for index in 0..case.replicas {
            table.set_pace(&id(index), case.paces[index % case.paces.len()]);
            let load = case.loads[index % case.loads.len()] * PLAIN_REQUEST_WORK;
            table.add_load(&id(index), load);
        }
        let mut counts: HashMap<SharedName, usize> = HashMap::default();
        for number in 0..400 {
            let draw = fastrand::Rng::with_seed(number).u64(..);
            let query = PlacementQuery { zone: "elsewhere", ..query(case.size, None, draw) };
            *counts.entry(place(&table, &query)).or_default() += 1;
        }
        let most = *counts.values().max().unwrap();
        assert!(counts.len() >= case.bounds.0, "{}: {counts:?}", case.name);
        assert!(most <= 4 * case.bounds.1, "{}: {counts:?}", case.name);
    }
}

#[test]
fn a_replica_at_a_quarter_of_its_speed_is_avoided_and_used_again() {
    for size in [None, long_size()] {
        let mut table = table(8, 12);
        let share = |table: &ReplicaTable| {
            let place = |number: u64| {
                let session = format!("s{number}");
                let session = size.is_some().then_some(&*session);
                place(table, &query(size, session, number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
            };
            (0..400).filter(|number| *place(*number) == *id(4)).count()
        };
        // The paces are never exactly 1 where some replica states its own.
        table.set_paces(|_| 1.001);
        let usual = share(&table);
        assert!(usual > 0, "{size:?}: never used");
        table.set_pace(&id(4), 4.0);
        assert_eq!(share(&table), 0, "{size:?}: used while slow");
        table.set_pace(&id(4), 1.0);
        let again = share(&table);
        assert!(again * 2 >= usual, "{size:?}: {again} after {usual}");
    }
}

/// A slow replica is better than one that has more than the difference to do.
#[test]
fn a_slow_replica_is_used_once_the_others_have_more_to_do() {
    let mut table = table(4, 6);
    table.set_paces(|row| if *row.entry.id == *id(0) { 2.0 } else { 0.8 });
    assert_ne!(place(&table, &query(None, None, 1)), id(0));
    for index in 1..4 {
        (0..5).for_each(|_| table.add_load(&id(index), PLAIN_REQUEST_WORK));
    }
    assert_eq!(place(&table, &query(None, None, 1)), id(0));
}

#[test]
fn a_session_stays_at_its_replica_while_that_costs_less_than_the_prefill_it_saves() {
    struct StayCase {
        name: &'static str,
        /// Pace of the session's replica; that of the others is 1.
        pace: f64,
        /// Work in progress at the session's replica, and at each of the others.
        loads: (u64, u64),
        stays: bool,
    }
    let cases = [
        StayCase { name: "alike", pace: 1.001, loads: (0, 0), stays: true },
        StayCase { name: "somewhat slower", pace: 1.2, loads: (0, 0), stays: true },
        StayCase { name: "much slower", pace: 1.7, loads: (0, 0), stays: false },
        StayCase {
            name: "a short prompt's work there",
            pace: 1.001,
            loads: (3000, 0),
            stays: true,
        },
        StayCase { name: "a long queue there", pace: 1.001, loads: (60_000, 0), stays: false },
        StayCase {
            name: "much slower, idle, others busy",
            pace: 1.7,
            loads: (0, 40_000),
            stays: true,
        },
        StayCase { name: "faster and busier", pace: 0.5, loads: (60_000, 30_000), stays: true },
    ];
    for case in cases {
        let mut table = table(12, 12);
        let query = query(long_size(), Some("s"), 1);
        let home = place(&table, &query);
        table.set_paces(|row| if row.entry.id == home { case.pace } else { 1.0 });
        for index in 0..12 {
            let load = if id(index) == home { case.loads.0 } else { case.loads.1 };
            table.add_load(&id(index), load);
        }
        let placement = choose_replica(&table, &query, NOW).unwrap();
        assert_eq!(placement.replica == home, case.stays, "{}", case.name);
        if !case.stays {
            assert_eq!(
                placement.warm,
                Some(home),
                "{}: the cached prefix can be fetched",
                case.name
            );
        }
    }
}

/// Failed replicas are the last resort however fast they are.
#[test]
fn a_fast_replica_that_failed_is_avoided() {
    for size in [None, long_size()] {
        let mut table = table(4, 12);
        table.set_paces(|row| if *row.entry.id == *id(1) { 0.3 } else { 1.2 });
        table.record_failure(&id(1), NOW);
        for draw in 0..50 {
            assert_ne!(place(&table, &query(size, None, draw)), id(1), "{size:?}");
        }
    }
}

/// Where no replica states its pace, all paces are 1 and the choice is by work alone.
#[test]
fn equal_paces_of_one_leave_the_choice_as_it_is_without_paces() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..200 {
        let mut table = table(12, 12);
        (0..12).for_each(|index| table.add_load(&id(index), rng.u64(..40_000)));
        let session = format!("s{}", rng.u32(..50));
        let size = if rng.bool() { long_size() } else { None };
        let query = query(size, size.is_some().then_some(&*session), rng.u64(..));
        let before = choose_replica(&table, &query, NOW);
        table.set_paces(|_| 4.0);
        table.set_paces(|_| 1.0);
        assert_eq!(choose_replica(&table, &query, NOW), before);
    }
}
