//! Tests of burn counts by window.

use std::time::Duration;

use berylstep_core::burn::{BurnCount, BurnTable, TargetOutcome, BURN_WINDOWS, FINE_BUCKET};
use berylstep_core::collections::SharedName;
use proptest::prelude::*;

struct RateCase {
    name: &'static str,
    count: BurnCount,
    wanted: f64,
    rate: Option<f64>,
}

#[test]
fn burn_rate_is_relative_to_the_allowed_misses() {
    let count = |met, missed| BurnCount { met, missed };
    let cases = [
        RateCase { name: "none", count: count(0, 0), wanted: 0.9, rate: None },
        RateCase { name: "met", count: count(5, 0), wanted: 0.9, rate: Some(0.0) },
        RateCase { name: "even", count: count(90, 10), wanted: 0.9, rate: Some(1.0) },
        RateCase { name: "all", count: count(0, 3), wanted: 0.95, rate: Some(20.0) },
    ];
    for case in cases {
        let rate = case.count.burn_rate(case.wanted);
        let close = match (rate, case.rate) {
            (Some(rate), Some(expected)) => (rate - expected).abs() < 1e-9,
            (rate, expected) => rate == expected,
        };
        assert!(close, "{}: {rate:?}", case.name);
    }
}

/// Reference: counts by scanning all events.
fn scan_count(events: &[(u64, bool)], now_s: u64, window: Duration) -> BurnCount {
    let bucket_s = match window <= FINE_BUCKET * 60 {
        true => 60,
        false => 30 * 60,
    };
    let newest = now_s / bucket_s;
    let oldest = (newest + 1).saturating_sub(window.as_secs() / bucket_s);
    let mut count = BurnCount::default();
    for (second, met) in events {
        if (oldest..=newest).contains(&(second / bucket_s)) {
            match met {
                true => count.met += 1,
                false => count.missed += 1,
            }
        }
    }
    count
}

proptest! {
    #[test]
    fn windows_match_a_scan_of_all_events(
        steps in prop::collection::vec((0u64..4_000, any::<bool>()), 1..200),
        idle_s in 0u64..20_000,
    ) {
        let class = SharedName::from("drafting");
        let mut table = BurnTable::default();
        let mut events = Vec::new();
        let mut now_s = 0;
        for (step_s, met) in steps {
            now_s += step_s;
            events.push((now_s, met));
            let outcome = if met { TargetOutcome::Met } else { TargetOutcome::Missed };
            table.record(Duration::from_secs(now_s), &class, outcome);
        }
        now_s += idle_s;
        let counts = table.counts(Duration::from_secs(now_s)).next().unwrap().1;
        for (window, count) in BURN_WINDOWS.iter().zip(counts) {
            prop_assert_eq!(count, scan_count(&events, now_s, window.length), "{}", window.name);
        }
    }
}

proptest! {
    #[test]
    fn imported_buckets_are_added_at_their_age(
        first_s in prop::collection::vec(0u64..300_000, 0..60),
        second_s in prop::collection::vec(0u64..300_000, 0..60),
        clock_offset_s in 0u64..100_000,
    ) {
        let class = SharedName::from("drafting");
        // The successor's clock started later, by a multiple of both bucket lengths.
        let offset = Duration::from_secs(clock_offset_s / 1_800 * 1_800);
        let now = Duration::from_secs(300_000);
        let mut leaving = BurnTable::default();
        let mut successor = BurnTable::default();
        let mut both = BurnTable::default();
        let mut sorted = first_s.clone();
        sorted.sort_unstable();
        for second in sorted {
            leaving.record(Duration::from_secs(second), &class, TargetOutcome::Met);
        }
        let mut sorted = second_s.clone();
        sorted.sort_unstable();
        for second in sorted.into_iter().filter(|second| *second >= offset.as_secs()) {
            successor.record(Duration::from_secs(second) - offset, &class, TargetOutcome::Missed);
        }
        let mut all: Vec<_> = first_s.iter().map(|second| (*second, TargetOutcome::Met)).collect();
        let successor_s = second_s.iter().filter(|second| **second >= offset.as_secs());
        all.extend(successor_s.map(|second| (*second, TargetOutcome::Missed)));
        all.sort_unstable_by_key(|(second, _)| *second);
        for (second, outcome) in all {
            both.record(Duration::from_secs(second), &class, outcome);
        }
        successor.import(now - offset, &leaving.export(now));
        let merged = successor.counts(now - offset).next().map(|(_, counts)| counts);
        let expected = both.counts(now).next().map(|(_, counts)| counts);
        let blank = [BurnCount::default(); BURN_WINDOWS.len()];
        prop_assert_eq!(merged.unwrap_or(blank), expected.unwrap_or(blank));
    }
}
