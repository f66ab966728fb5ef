//! Tests of how far a node is behind the versions that others announce, and when it reads the store for them.

use std::time::Duration;

use berylstep_core::fleet::announced::{AnnouncedVersions, CatchUpPlan, Freshness, VersionLag};

/// What a node observes: second, version held, newest version announced.
type Observation = (u64, u64, u64);

struct LagCase {
    name: &'static str,
    observations: &'static [Observation],
    /// Newest version and seconds behind at the last observation.
    lag: Option<(u64, u64)>,
}

const CASES: &[LagCase] = &[
    LagCase { name: "nothing announced", observations: &[(0, 0, 0), (9, 0, 0)], lag: None },
    LagCase { name: "holds the newest", observations: &[(0, 4, 4), (9, 4, 3)], lag: None },
    LagCase {
        name: "misses one",
        observations: &[(1, 4, 4), (2, 4, 5), (6, 4, 5)],
        lag: Some((5, 4)),
    },
    LagCase {
        name: "misses several: the oldest decides",
        observations: &[(2, 4, 5), (4, 4, 8), (6, 4, 8)],
        lag: Some((8, 4)),
    },
    LagCase {
        name: "catches up with the first, not with the second",
        observations: &[(2, 4, 5), (4, 4, 8), (6, 5, 8)],
        lag: Some((8, 2)),
    },
    LagCase {
        name: "catches up",
        observations: &[(2, 4, 5), (4, 4, 8), (6, 8, 8), (9, 8, 8)],
        lag: None,
    },
    LagCase {
        name: "the only node with the newest is gone",
        observations: &[(2, 4, 5), (4, 4, 8), (6, 4, 5)],
        lag: Some((5, 4)),
    },
    LagCase {
        name: "a version that comes back counts anew",
        observations: &[(2, 4, 5), (4, 4, 4), (6, 4, 5), (7, 4, 5)],
        lag: Some((5, 1)),
    },
];

#[test]
fn a_node_knows_since_when_it_is_behind() {
    for case in CASES {
        let mut announced = AnnouncedVersions::default();
        for (second, held, newest) in case.observations {
            announced.observe(*held, *newest, Duration::from_secs(*second));
        }
        let now = case.observations.last().map_or(0, |(second, _, _)| *second);
        let lag = announced.lag(Duration::from_secs(now));
        let expected =
            case.lag.map(|(version, age)| VersionLag { version, age: Duration::from_secs(age) });
        assert_eq!(lag, expected, "{}", case.name);
    }
}

#[test]
fn changes_without_end_take_bounded_memory_and_keep_the_oldest_time() {
    let mut announced = AnnouncedVersions::default();
    for second in 1..=18_000 {
        announced.observe(0, second, Duration::from_secs(second));
    }
    let lag = announced.lag(Duration::from_secs(18_000)).unwrap();
    assert_eq!((lag.version, lag.age), (18_000, Duration::from_secs(17_999)));
}

/// Node that peers leave behind, asked every 50 ms: seconds from which on it is behind, and since which peers have
/// delivered nothing.
struct CatchUpCase {
    name: &'static str,
    behind_from: Option<f64>,
    idle_from: f64,
    /// Earliest and latest first read, and the number of reads in 30 s.
    first_read: Option<(f64, f64)>,
    reads: std::ops::RangeInclusive<usize>,
}

// Guards against a node that waits for its peers for ever, and against a fleet that reads the store at once and without
// end.
#[test]
fn the_store_is_read_where_peers_do_not_deliver() {
    let cases = [
        CatchUpCase {
            name: "holds the newest",
            behind_from: None,
            idle_from: 0.0,
            first_read: None,
            reads: 0..=0,
        },
        CatchUpCase {
            name: "peers deliver nothing",
            behind_from: Some(2.0),
            idle_from: 0.0,
            first_read: Some((3.0, 3.6)),
            reads: 4..=10,
        },
        CatchUpCase {
            name: "peers deliver for ten seconds",
            behind_from: Some(2.0),
            idle_from: 10.0,
            first_read: Some((11.0, 11.6)),
            reads: 3..=8,
        },
    ];
    for case in cases {
        for seed in 0..40 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut plan = CatchUpPlan::default();
            let mut reads = Vec::new();
            for step in 0..600 {
                let now = Duration::from_millis(step * 50);
                let since = |second: f64| now.checked_sub(Duration::from_secs_f64(second));
                let age = case.behind_from.and_then(since);
                let idle = since(case.idle_from).unwrap_or_default();
                if plan.is_read_due(age, idle, now, random.f64()) {
                    reads.push(now.as_secs_f64());
                }
            }
            let is_in_time = match (case.first_read, reads.first()) {
                (None, first) => first.is_none(),
                (Some((earliest, latest)), Some(first)) => (earliest..=latest).contains(first),
                (Some(_), None) => false,
            };
            assert!(is_in_time, "{}: first read at {:?}", case.name, reads.first());
            assert!(case.reads.contains(&reads.len()), "{}: {} reads", case.name, reads.len());
        }
    }
}

struct FreshnessCase {
    name: &'static str,
    age_ms: u64,
    bound_ms: Option<u64>,
    freshness: Freshness,
}

#[test]
fn a_version_is_overdue_before_the_operator_counts_on_the_next_one() {
    let cases = [
        FreshnessCase {
            name: "just announced",
            age_ms: 0,
            bound_ms: Some(3_000),
            freshness: Freshness::Behind,
        },
        FreshnessCase {
            name: "almost due",
            age_ms: 2_499,
            bound_ms: Some(3_000),
            freshness: Freshness::Behind,
        },
        FreshnessCase {
            name: "announced two pulses late",
            age_ms: 2_500,
            bound_ms: Some(3_000),
            freshness: Freshness::Overdue,
        },
        FreshnessCase {
            name: "a bound below two pulses",
            age_ms: 0,
            bound_ms: Some(400),
            freshness: Freshness::Overdue,
        },
        FreshnessCase {
            name: "no bound",
            age_ms: 60_000,
            bound_ms: None,
            freshness: Freshness::Behind,
        },
    ];
    for case in cases {
        let lag = VersionLag { version: 2, age: Duration::from_millis(case.age_ms) };
        let bound = case.bound_ms.map(Duration::from_millis);
        assert_eq!(lag.freshness(bound), case.freshness, "{}", case.name);
    }
}
