//! Tests of how far a node is behind the versions that others announce.

use std::time::Duration;

use berylstep_core::fleet::announced::{AnnouncedVersions, VersionLag};

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
