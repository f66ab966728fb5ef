//! Pace of replicas: learnt from elapsed times and statements, forgotten soon, relative to the other replicas of the service, and
//! the same whether one node or many have made the observations.

use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::pace::{LoadStatement, PaceLedger, PaceSample, PaceSum, WorkKind};

const START: Duration = Duration::from_secs(100);

/// Interval between the pulses of a node.
const PULSE: Duration = Duration::from_millis(250);

fn process(replica: u32) -> ProcessId {
    ProcessId { replica, born: 1 }
}

fn sample(kind: WorkKind, ratio: f64) -> PaceSample {
    PaceSample { kind, baseline: 1, ratio }
}

fn statement(pace: f64) -> LoadStatement {
    LoadStatement { pace: Some(pace), ..LoadStatement::default() }
}

fn update(ledger: &mut PaceLedger, replicas: u32, now: Duration) {
    let service = SharedName::from("s");
    ledger.update((0..replicas).map(|replica| (&service, process(replica))), now);
}

/// Returns the interval between responses. 157 plain requests a second are those of the second deployment.
fn interval(kind: WorkKind) -> Duration {
    match kind {
        WorkKind::Plain => Duration::from_micros(6400),
        WorkKind::Model => Duration::from_millis(25),
    }
}

/// Records one response of each replica in turn, every `interval`, from `from` to `until`.
fn run(
    ledger: &mut PaceLedger,
    kind: WorkKind,
    replicas: u32,
    interval: Duration,
    (from, until): (Duration, Duration),
    pace: impl Fn(u32, Duration) -> f64,
) {
    let mut now = from;
    let mut number = 0;
    while now < until {
        let replica = number % replicas;
        ledger.observe_elapsed(process(replica), sample(kind, 0.03 * pace(replica, now)), now);
        update(ledger, replicas, now);
        number += 1;
        now += interval;
    }
}

struct PaceCase {
    name: &'static str,
    kind: WorkKind,
    paces: &'static [f64],
    /// Bounds of the pace of the last replica relative to that of the first.
    bounds: (f64, f64),
}

#[test]
fn paces_are_those_of_the_service_relative_to_its_other_replicas() {
    let cases = [
        PaceCase {
            name: "a third of the replicas is slow",
            kind: WorkKind::Model,
            paces: &[0.7, 0.7, 0.7, 0.7, 1.7, 1.7],
            bounds: (1.8, 2.8),
        },
        PaceCase {
            name: "one of four plain replicas is slow",
            kind: WorkKind::Plain,
            paces: &[1.0, 1.0, 1.0, 2.5],
            bounds: (1.7, 2.8),
        },
        PaceCase {
            name: "the service is slow as a whole",
            kind: WorkKind::Model,
            paces: &[5.0, 5.0, 5.0, 5.0],
            bounds: (0.95, 1.05),
        },
    ];
    for case in cases {
        let mut ledger = PaceLedger::default();
        let end = START + Duration::from_secs(8);
        let count = case.paces.len() as u32;
        let interval = interval(case.kind);
        run(&mut ledger, case.kind, count, interval, (START, end), |replica, _| {
            case.paces[replica as usize]
        });
        let paces: Vec<_> =
            (0..count).map(|replica| ledger.expected_pace(process(replica), end)).collect();
        let ratio = paces[count as usize - 1] / paces[0];
        assert!((case.bounds.0..case.bounds.1).contains(&ratio), "{}: {paces:?}", case.name);
        let logs: f64 = paces.iter().map(|pace| pace.ln()).sum();
        assert!(logs.abs() < 0.1, "{}: the mean of {paces:?} is not 1", case.name);
    }
}

#[test]
fn a_service_that_becomes_slow_as_a_whole_keeps_paces_near_one() {
    let mut ledger = PaceLedger::default();
    let (change, end) = (START + Duration::from_secs(5), START + Duration::from_secs(7));
    let interval = Duration::from_millis(40);
    run(&mut ledger, WorkKind::Model, 8, interval, (START, end), |_, now| {
        if now < change {
            1.0
        } else {
            4.0
        }
    });
    for replica in 0..8 {
        let pace = ledger.expected_pace(process(replica), end);
        assert!((0.8..1.25).contains(&pace), "replica {replica}: {pace}");
    }
}

#[test]
fn a_replica_at_a_quarter_of_its_speed_is_known_within_four_responses_and_forgotten_within_seconds()
{
    for kind in [WorkKind::Plain, WorkKind::Model] {
        let mut ledger = PaceLedger::default();
        let steady = START + Duration::from_secs(5);
        let interval = interval(kind);
        run(&mut ledger, kind, 4, interval, (START, steady), |_, _| 1.0);
        let slow_end = steady + 16 * interval;
        run(&mut ledger, kind, 4, interval, (steady, slow_end), |replica, _| {
            if replica == 0 {
                4.0
            } else {
                1.0
            }
        });
        let ratio = |ledger: &PaceLedger, now| {
            ledger.expected_pace(process(0), now) / ledger.expected_pace(process(1), now)
        };
        let known = ratio(&ledger, slow_end);
        assert!(known > 1.8, "{kind:?}: after four responses {known}");
        // The replica gets nothing more, so that only time tells that it may have recovered.
        let later = slow_end + Duration::from_secs(5);
        update(&mut ledger, 4, later);
        let forgotten = ratio(&ledger, later);
        assert!(forgotten < 1.4, "{kind:?}: after five seconds {forgotten}");
    }
}

#[test]
fn one_late_response_does_not_make_a_replica_slow() {
    let mut ledger = PaceLedger::default();
    let end = START + Duration::from_secs(5);
    run(&mut ledger, WorkKind::Model, 4, Duration::from_millis(50), (START, end), |_, _| 1.0);
    ledger.observe_elapsed(process(0), sample(WorkKind::Model, 300.0), end);
    update(&mut ledger, 4, end);
    let pace = ledger.expected_pace(process(0), end);
    assert!(pace < 1.6, "one response at ten thousand times its time: {pace}");
}

#[test]
fn a_statement_counts_at_once_and_soon_less_than_what_was_learnt() {
    let mut ledger = PaceLedger::default();
    let end = START + Duration::from_secs(5);
    run(&mut ledger, WorkKind::Model, 4, Duration::from_millis(50), (START, end), |_, _| 1.0);
    ledger.observe_statement(process(0), statement(2.5), end, end);
    update(&mut ledger, 4, end);
    let pace = |ms| ledger.expected_pace(process(0), end + Duration::from_millis(ms));
    assert!(pace(0) > 2.0, "at once: {}", pace(0));
    assert!(pace(600) < 1.4, "after 600 ms: {}", pace(600));
    assert!(pace(8000) < 1.1, "after 8 s: {}", pace(8000));
}

#[test]
fn contradictory_malformed_and_missing_information_falls_back_to_one() {
    let mut ledger = PaceLedger::default();
    update(&mut ledger, 4, START);
    assert_eq!(ledger.expected_pace(process(0), START), 1.0, "nothing is known");
    for pace in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        ledger.observe_statement(process(0), statement(pace), START, START);
        ledger.observe_elapsed(process(0), sample(WorkKind::Model, pace), START);
    }
    assert!(!ledger.has_statements(START));
    assert_eq!(ledger.expected_pace(process(0), START), 1.0, "malformed");
    let logs = 3 * 32;
    let contradictory = [PaceSum { logs, weight: 16 }, PaceSum { logs: -logs, weight: 16 }];
    let mut sum = PaceSum::default();
    contradictory.iter().for_each(|part| sum.add(*part));
    ledger.set_peer_sums(HashMap::from_iter([(0, sum)]));
    update(&mut ledger, 4, START);
    assert_eq!(ledger.expected_pace(process(0), START), 1.0, "contradictory");
    // A sum that its weight can't amount to is bounded.
    let odd = PaceSum { logs: i32::MAX, weight: u32::MAX };
    ledger.set_peer_sums(HashMap::from_iter([(0, odd), (1, PaceSum { logs: 9999, weight: 0 })]));
    let (odd, weightless) =
        (ledger.expected_pace(process(0), START), ledger.expected_pace(process(1), START));
    assert!(odd <= 6.01, "out of range: {odd}");
    assert_eq!(weightless, 1.0);
}

#[test]
fn statements_and_observations_of_an_earlier_process_are_forgotten() {
    let mut ledger = PaceLedger::default();
    let new = ProcessId { replica: 0, born: 2 };
    for _ in 0..8 {
        ledger.observe_statement(process(0), statement(4.0), START, START);
    }
    assert_eq!(ledger.expected_pace(new, START), 1.0);
    ledger.observe_statement(new, statement(1.0), START, START);
    ledger.observe_statement(process(0), statement(4.0), START, START);
    assert_eq!(ledger.expected_pace(new, START), 1.0, "a late response of the earlier process");
}

#[test]
fn statements_show_an_uneven_deployment_for_a_minute() {
    let mut ledger = PaceLedger::default();
    ledger.observe_statement(process(0), LoadStatement::default(), START, START);
    assert!(!ledger.has_statements(START), "a statement without a pace");
    ledger.observe_statement(process(0), statement(1.0), START, START);
    assert!(ledger.has_statements(START + Duration::from_secs(59)));
    assert!(!ledger.has_statements(START + Duration::from_secs(61)));
}

/// 77 nodes and 140 replicas of which a third is slow, at 3.5 responses a second from each replica: a node has one of each
/// replica in 22 seconds, so that only the sums of all nodes tell the paces.
#[test]
fn nodes_with_few_responses_learn_the_paces_of_all_replicas_from_each_other() {
    const NODES: usize = 77;
    const REPLICAS: u32 = 140;
    const PER_PULSE: usize = 122;
    let mut ledgers: Vec<PaceLedger> = (0..NODES).map(|_| PaceLedger::default()).collect();
    let mut rng = fastrand::Rng::with_seed(7);
    let true_pace = |replica: u32| if replica % 3 == 0 { 1.7 } else { 0.7 };
    let mut now = START;
    let mut largest = 0;
    for _ in 0..60 {
        let reports: Vec<_> = ledgers.iter().map(|ledger| ledger.reports(now)).collect();
        largest = largest.max(reports.iter().map(|report| report.len()).max().unwrap());
        let mut total: HashMap<u32, PaceSum> = HashMap::default();
        for (replica, sum) in reports.iter().flatten() {
            total.entry(*replica).or_default().add(*sum);
        }
        now += PULSE;
        for (ledger, own) in ledgers.iter_mut().zip(&reports) {
            let mut others = total.clone();
            for (replica, sum) in own {
                others.get_mut(replica).unwrap().subtract(*sum);
            }
            ledger.set_peer_sums(others);
            update(ledger, REPLICAS, now);
        }
        for _ in 0..PER_PULSE {
            let (node, replica) = (rng.usize(..NODES), rng.u32(..REPLICAS));
            let noise = (rng.f64() - 0.5) * 0.8;
            let ratio = 0.2 * true_pace(replica) * noise.exp();
            ledgers[node].observe_elapsed(process(replica), sample(WorkKind::Model, ratio), now);
        }
    }
    assert!(largest <= 24, "a report names {largest} replicas");
    for (node, ledger) in ledgers.iter().enumerate().step_by(19) {
        let is_slow = |replica: &u32| ledger.expected_pace(process(*replica), now) > 1.2;
        let wrong = (0..REPLICAS).filter(|replica| is_slow(replica) != (replica % 3 == 0));
        let wrong = wrong.count();
        // Random choice leaves some replicas without any response for two seconds.
        assert!(wrong <= 7, "node {node} takes {wrong} of {REPLICAS} replicas for something else");
    }
}
