//! Load generator, scores and statistics, checked against cases with known results.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use berylstep_standins::bench::figures::{DurationSamples, FittedLine};
use berylstep_standins::bench::load::{self, CallOutcome, CallRecord};
use berylstep_standins::bench::score::{max_min_shares, RunScore};
use berylstep_standins::bench::trace::{arrivals, ArrivalFlow, TraceArrival};
use berylstep_standins::client::CallRequest;
use berylstep_standins::process::{binary, ChildProcess};
use serde_json::{json, Value};

const TOKENS: u64 = 5;

struct ShareCase {
    name: &'static str,
    demands: &'static [f64],
    capacity: f64,
    shares: &'static [f64],
}

#[test]
fn max_min_shares_are_known() {
    let cases = [
        ShareCase { name: "enough", demands: &[1.0, 2.0], capacity: 9.0, shares: &[1.0, 2.0] },
        ShareCase { name: "equal", demands: &[9.0, 9.0], capacity: 4.0, shares: &[2.0, 2.0] },
        ShareCase {
            name: "one large",
            demands: &[8.0, 1.0, 3.0],
            capacity: 7.0,
            shares: &[3.0, 1.0, 3.0],
        },
        ShareCase { name: "none", demands: &[0.0, 4.0], capacity: 3.0, shares: &[0.0, 3.0] },
    ];
    for case in cases {
        assert_eq!(max_min_shares(case.demands, case.capacity), case.shares, "{}", case.name);
    }
}

#[test]
fn a_line_and_a_quantile_are_found() {
    let line = FittedLine::through(&[(0.0, 3.0), (1.0, 5.0), (5.0, 13.0)]);
    assert_eq!((line.slope, line.intercept, line.fit), (2.0, 3.0, 1.0));
    let mut samples = DurationSamples::default();
    (1..=101).for_each(|value| samples.push(Duration::from_micros(value)));
    assert_eq!((samples.quantile_us(0.5), samples.quantile_us(0.99)), (51.0, 100.0));
}

#[test]
fn arrivals_follow_their_seed_and_rate() {
    let flow = ArrivalFlow {
        class: 1,
        rate: 1_000.0,
        from_ms: 2_000,
        until_ms: 12_000,
        organisation: None,
        node: None,
    };
    let trace = arrivals(7, &[flow], &[3, 5]);
    assert_eq!(trace, arrivals(7, &[flow], &[3, 5]));
    assert_ne!(trace, arrivals(8, &[flow], &[3, 5]));
    // 10,000 are expected; four standard deviations of a Poisson count are 400.
    assert!((9_600..=10_400).contains(&trace.len()), "seed 7: {}", trace.len());
    assert!(trace.iter().all(|arrival| [3, 5].contains(&arrival.node)));
    let largest = trace.iter().filter(|arrival| arrival.organisation == 0).count();
    // Organisation 0 has a share of 1 in 2.929.
    assert!((3_200..=3_630).contains(&largest), "seed 7: {largest}");
}

struct RunCase {
    name: &'static str,
    faults: Value,
    attainment: f64,
    goodput: f64,
    outcome: fn(&CallOutcome) -> bool,
}

/// Sends ten requests of five tokens each at once, directly to an engine.
#[test]
fn runs_with_a_known_answer_are_scored_so() {
    let cases = [
        RunCase {
            name: "all served",
            faults: json!({}),
            attainment: 1.0,
            goodput: 25.0,
            outcome: |outcome| matches!(outcome, CallOutcome::Whole { tokens: TOKENS, .. }),
        },
        RunCase {
            name: "all refused",
            faults: json!({ "error_rate": 1.0 }),
            attainment: 0.0,
            goodput: 0.0,
            outcome: |outcome| matches!(outcome, CallOutcome::Refused(500, _)),
        },
        RunCase {
            name: "all broken",
            faults: json!({ "break_after_tokens": 2 }),
            attainment: 0.0,
            goodput: 0.0,
            outcome: |outcome| matches!(outcome, CallOutcome::Broken(_)),
        },
        RunCase {
            name: "all late",
            faults: json!({ "silent": true }),
            attainment: 0.0,
            goodput: 0.0,
            outcome: |outcome| matches!(outcome, CallOutcome::Late),
        },
    ];
    for case in cases {
        let (_process, address) = start_engine(&case.faults);
        let arrival = |organisation| TraceArrival {
            at: Duration::from_millis(10),
            class: 0,
            organisation,
            node: 0,
        };
        let trace: Vec<_> = (0..10).map(arrival).collect();
        let records = load::send(&trace, &[address], TOKENS, |_| {});
        let length = Duration::from_secs(2);
        let whole = if case.attainment > 0.0 { 50 } else { 0 };
        let score = RunScore::new(&records, whole + 10, length, Duration::ZERO..length, 0.0);
        for record in &records {
            assert!((case.outcome)(&record.outcome), "{}: {:?}", case.name, record.outcome);
        }
        assert_eq!(score.attainment[0], case.attainment, "{}", case.name);
        assert_eq!(score.goodput, case.goodput, "{}", case.name);
        let wasted = if whole > 0 { 0.2 } else { 10.0 };
        assert_eq!(score.wasted, wasted, "{}", case.name);
    }
}

fn start_engine(faults: &Value) -> (ChildProcess, SocketAddr) {
    let mut command = Command::new(binary("standin"));
    command.args(["engine", "--listen", "127.0.0.1:0", "--token-ms", "1", "--slots", "16"]);
    let (process, address) = ChildProcess::start_listener(&mut command).unwrap();
    let call = CallRequest::post(address, "/control/faults", faults);
    assert_eq!(smol::block_on(call.send()).unwrap().status, 200);
    (process, address)
}

struct FairnessCase {
    name: &'static str,
    /// Number of served requests out of ten, by organisation.
    served: [usize; 2],
    worst: f64,
}

#[test]
fn the_worst_organisation_is_judged_by_its_max_min_share_within_the_window() {
    let cases = [
        FairnessCase { name: "even", served: [4, 4], worst: 1.0 },
        FairnessCase { name: "uneven", served: [6, 2], worst: 0.5 },
        FairnessCase { name: "one only", served: [10, 0], worst: 0.0 },
    ];
    for case in cases {
        let mut records = Vec::new();
        for (organisation, served) in case.served.into_iter().enumerate() {
            for number in 0..10 {
                let outcome = match number < served {
                    true => CallOutcome::Whole { first: Duration::ZERO, tokens: TOKENS },
                    false => CallOutcome::Late,
                };
                records.push(record(Duration::from_secs(1), organisation, outcome));
            }
        }
        // Arrivals before the window do not count.
        records.push(record(Duration::ZERO, 0, CallOutcome::Late));
        let window = Duration::from_secs(1)..Duration::from_secs(2);
        let score = RunScore::new(&records, 0, Duration::from_secs(2), window, 0.0);
        assert_eq!(score.worst_organisation, [1.0, 1.0, case.worst], "{}", case.name);
    }
}

fn record(at: Duration, organisation: usize, outcome: CallOutcome) -> CallRecord {
    CallRecord { arrival: TraceArrival { at, class: 2, organisation, node: 0 }, outcome }
}
