//! Usage windows: counts survive lost, repeated and late messages; true time survives stepped
//! clocks.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::truth::TrueTime;
use berylstep_core::fleet::window::{NodeRun, UsageWindows, WindowCounts};
use proptest::prelude::*;

fn run(node: &str, incarnation: u64) -> NodeRun {
    NodeRun { node: node.into(), incarnation }
}

fn counts(pairs: &[(&str, u64)]) -> WindowCounts {
    pairs.iter().map(|(name, count)| ((*name).into(), *count)).collect()
}

#[test]
fn a_restarted_node_adds_to_what_it_counted_before() {
    let mut windows = UsageWindows::default();
    windows.merge(&run("n", 1), 7, &counts(&[("org", 40)]));
    windows.merge(&run("n", 2), 7, &counts(&[("org", 2)]));
    assert_eq!(windows.total(7), counts(&[("org", 42)]));
}

#[test]
fn old_windows_are_dropped_and_not_reopened() {
    let mut windows = UsageWindows::default();
    windows.merge(&run("n", 1), 7, &counts(&[("org", 1)]));
    windows.advance(20);
    windows.merge(&run("n", 1), 7, &counts(&[("org", 1)]));
    assert!(windows.total(7).is_empty());
}

proptest! {
    #[test]
    fn messages_in_any_order_give_the_last_count(order in Just(()).prop_perturb(|_, mut rng| {
        let mut told: Vec<u64> = (1..=20).flat_map(|count| [count, count]).collect();
        for place in (1..told.len()).rev() {
            told.swap(place, rng.random_range(0..=place));
        }
        told
    })) {
        let mut windows = UsageWindows::default();
        for count in order {
            windows.merge(&run("n", 1), 3, &counts(&[("org", count)]));
        }
        prop_assert_eq!(windows.total(3), counts(&[("org", 20)]));
    }
}

struct ClockCase {
    name: &'static str,
    /// Error of each node's wall clock, in milliseconds; the first is this node's.
    errors: &'static [i64],
    /// Largest error of the true time.
    most: i64,
}

#[test]
fn true_time_follows_the_median_clock() {
    let cases = [
        ClockCase { name: "own clock steps ahead", errors: &[2000, 3, -4, 0, 2], most: 4 },
        ClockCase { name: "own clock steps back", errors: &[-2000, 3, -4, 0, 2], most: 4 },
        ClockCase { name: "a third step", errors: &[2000, 2000, 3, -4, 0, 2], most: 4 },
        ClockCase { name: "alone", errors: &[5], most: 5 },
    ];
    let truth = 1_785_738_700_281_i64;
    let boot = Duration::from_secs(90);
    for case in cases {
        let mut time = TrueTime::default();
        for (node, error) in case.errors.iter().enumerate() {
            let node: SharedName = format!("n{node}").into();
            time.observe(&node, (truth + error) as u64, boot);
        }
        let later = Duration::from_millis(250);
        let shown = time.unix_ms(boot + later) as i64 - later.as_millis() as i64;
        assert!((shown - truth).abs() <= case.most, "{}: off by {}", case.name, shown - truth);
    }
}
