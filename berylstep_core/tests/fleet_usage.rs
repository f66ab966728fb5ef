//! Usage windows: counts tolerate lost, duplicate and reordered messages, and the cluster time
//! tolerates clocks that step.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::clock::MedianClock;
use berylstep_core::fleet::window::{NodeRun, UsageWindows, WindowCounts, WindowDecision};
use proptest::prelude::*;

fn run(node: &str, incarnation: u64) -> NodeRun {
    NodeRun { node: node.into(), incarnation }
}

fn counts(pairs: &[(&str, u64)]) -> WindowCounts {
    pairs.iter().map(|(name, count)| ((*name).into(), *count)).collect()
}

#[test]
fn counts_of_a_restarted_node_add_to_its_earlier_counts() {
    let mut windows = UsageWindows::with_retention(6);
    windows.merge(&run("n", 1), 7, &counts(&[("org", 40)]));
    windows.merge(&run("n", 2), 7, &counts(&[("org", 2)]));
    assert_eq!(windows.total(7), counts(&[("org", 42)]));
}

#[test]
fn old_windows_are_dropped_and_not_reopened() {
    let mut windows = UsageWindows::with_retention(6);
    windows.merge(&run("n", 1), 7, &counts(&[("org", 1)]));
    windows.advance(20);
    windows.merge(&run("n", 1), 7, &counts(&[("org", 1)]));
    assert!(windows.total(7).is_empty());
}

struct DecisionCase {
    name: &'static str,
    /// Number of nodes.
    nodes: usize,
    /// Number of nodes whose final counts have arrived.
    finished: usize,
    is_overdue: bool,
    decision: WindowDecision,
}

#[test]
fn a_window_is_reported_only_if_its_counts_are_complete() {
    use WindowDecision::{Report, Unknown, Wait};
    let cases = [
        DecisionCase { name: "all", nodes: 78, finished: 78, is_overdue: false, decision: Report },
        DecisionCase {
            name: "one late",
            nodes: 78,
            finished: 77,
            is_overdue: false,
            decision: Wait,
        },
        DecisionCase {
            name: "one lost",
            nodes: 78,
            finished: 77,
            is_overdue: true,
            decision: Report,
        },
        DecisionCase {
            name: "few of many",
            nodes: 78,
            finished: 3,
            is_overdue: true,
            decision: Unknown,
        },
        DecisionCase {
            name: "one of eight",
            nodes: 8,
            finished: 7,
            is_overdue: true,
            decision: Unknown,
        },
        DecisionCase { name: "alone", nodes: 0, finished: 0, is_overdue: false, decision: Report },
    ];
    for case in cases {
        let runs: Vec<_> = (0..case.nodes).map(|number| run(&format!("n{number}"), 1)).collect();
        let mut windows = UsageWindows::with_retention(6);
        for run in &runs {
            windows.merge(run, 7, &counts(&[("org", 1)]));
        }
        for run in &runs[..case.finished] {
            windows.record_finished(run, 7);
        }
        let missing = windows.unfinished(7, runs.into_iter()).len();
        assert_eq!(missing, case.nodes - case.finished, "{}", case.name);
        let decision = WindowDecision::decide(missing, case.nodes, case.is_overdue);
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

#[test]
fn a_restarted_node_has_to_report_final_counts_again() {
    let mut windows = UsageWindows::with_retention(6);
    windows.record_finished(&run("n", 1), 7);
    assert_eq!(windows.unfinished(7, [run("n", 2)].into_iter()), [run("n", 2)]);
    windows.record_finished(&run("n", 2), 7);
    assert!(windows.unfinished(7, [run("n", 2)].into_iter()).is_empty());
}

proptest! {
    #[test]
    fn messages_in_any_order_give_the_newest_count(order in Just(()).prop_perturb(|_, mut rng| {
        let mut reported: Vec<u64> = (1..=20).flat_map(|count| [count, count]).collect();
        for position in (1..reported.len()).rev() {
            reported.swap(position, rng.random_range(0..=position));
        }
        reported
    })) {
        let mut windows = UsageWindows::with_retention(6);
        for count in order {
            windows.merge(&run("n", 1), 3, &counts(&[("org", count)]));
        }
        prop_assert_eq!(windows.total(3), counts(&[("org", 20)]));
    }
}

struct ClockCase {
    name: &'static str,
    /// Errors of the nodes' wall clocks, in milliseconds; the first node is the local one.
    errors: &'static [i64],
    /// Maximum error of the cluster time, in milliseconds.
    max_error: i64,
}

#[test]
fn cluster_time_follows_the_median_clock() {
    let cases = [
        ClockCase { name: "own clock steps ahead", errors: &[2000, 3, -4, 0, 2], max_error: 4 },
        ClockCase { name: "own clock steps back", errors: &[-2000, 3, -4, 0, 2], max_error: 4 },
        ClockCase {
            name: "a third of the clocks step",
            errors: &[2000, 2000, 3, -4, 0, 2],
            max_error: 4,
        },
        ClockCase { name: "alone", errors: &[5], max_error: 5 },
    ];
    let true_ms = 1_785_738_700_281_i64;
    let boot = Duration::from_secs(90);
    for case in cases {
        let mut clock = MedianClock::default();
        for (node, error) in case.errors.iter().enumerate() {
            let node: SharedName = format!("n{node}").into();
            clock.observe(&node, (true_ms + error) as u64, boot);
        }
        let later = Duration::from_millis(250);
        let shown_ms = clock.unix_ms(boot + later) as i64 - later.as_millis() as i64;
        assert!(
            (shown_ms - true_ms).abs() <= case.max_error,
            "{}: off by {}",
            case.name,
            shown_ms - true_ms
        );
    }
}
