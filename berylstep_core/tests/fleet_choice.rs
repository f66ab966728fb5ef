//! Replica selection: short prompts have replicas of their own, sessions stay on the replica that
//! has their prompt cached, load is bounded, and failed replicas are avoided.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::choice::{
    choose_replica, GroupSplit, PlacementQuery, RequestSize, MIN_SHORT_SHARE,
};
use berylstep_core::fleet::engine::EngineSpeed;
use berylstep_core::fleet::origins::VersionPin;
use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState, ReplicaTable};

const SERVICE: &str = "model";
const NOW: Duration = Duration::from_secs(100);
const START: Duration = Duration::from_secs(1);

fn entry(id: &str, zone: &str) -> ReplicaEntry {
    ReplicaEntry {
        id: id.into(),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        zone: zone.into(),
        version: "v1".into(),
        slots: 64,
        state: ReplicaState::Ready,
        spot: false,
        leaves_in: None,
        born: 0,
    }
}

/// Returns a table of twelve replicas in three zones.
fn fleet() -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for index in 0..12 {
        let zone = ["a", "b", "c"][index % 3];
        table.put(entry(&format!("r{index:02}"), zone), 1, START);
    }
    table
}

fn query<'a>(prompt: u64, session: &'a str, excluded: &'a [SharedName]) -> PlacementQuery<'a> {
    PlacementQuery {
        pin: VersionPin::Any,
        is_resumable: false,
        service: SERVICE,
        size: Some(RequestSize { prompt, output: 100 }),
        session: Some(session),
        short_share: MIN_SHORT_SHARE,
        zone: "a",
        excluded,
        draw: 0,
        speed: EngineSpeed::default(),
    }
}

fn place(table: &ReplicaTable, prompt: u64, session: &str) -> SharedName {
    choose_replica(table, &query(prompt, session, &[]), NOW).unwrap().replica
}

/// Returns the replicas that serve a hundred sessions with prompts of this length.
fn used_replicas(table: &ReplicaTable, prompt: u64) -> Vec<SharedName> {
    let mut used: Vec<_> =
        (0..100).map(|session| place(table, prompt, &format!("s{session}"))).collect();
    used.sort();
    used.dedup();
    used
}

#[test]
fn short_and_long_prompts_use_separate_replicas() {
    let table = fleet();
    let (short, long) = (used_replicas(&table, 800), used_replicas(&table, 12_000));
    assert_eq!((short.len(), long.len()), (4, 8));
    assert!(short.iter().all(|id| !long.contains(id)));
}

#[test]
fn losing_a_zone_leaves_both_groups_some_replicas() {
    let table = fleet();
    let zone = |id: &SharedName| table.get(id).unwrap().entry.zone.clone();
    for lost in ["a", "b", "c"] {
        let left = |ids: Vec<SharedName>| ids.iter().filter(|id| &*zone(id) != lost).count();
        assert!(left(used_replicas(&table, 800)) >= 2, "short group without zone {lost}");
        assert!(left(used_replicas(&table, 12_000)) >= 4, "long group without zone {lost}");
    }
}

#[test]
fn a_burst_of_one_session_spreads_once_its_replica_exceeds_the_load_bound() {
    let mut table = fleet();
    let mut used = Vec::new();
    for _ in 0..40 {
        let id = place(&table, 12_000, "hot");
        table.add_load(&id, 12_000);
        used.push(id);
    }
    let busiest = used.iter().map(|id| table.get(id).unwrap().work()).max().unwrap();
    let mean = 40 * 12_000 / 8;
    assert!(busiest <= mean * 2 + 24_000, "busiest {busiest}, mean {mean}");
    assert_eq!(used[0], used[1], "the first requests of a session stay together");
}

#[test]
fn short_prompts_use_the_long_group_only_when_their_own_fails() {
    let mut table = fleet();
    for id in used_replicas(&table, 800) {
        table.record_failure(&id, NOW);
    }
    let id = place(&table, 800, "s");
    assert!(used_replicas(&fleet(), 12_000).contains(&id));
}

#[test]
fn a_session_that_moves_to_a_new_replica_reports_the_one_with_its_cached_prompt() {
    let mut table = fleet();
    let before: Vec<_> = (0..50).map(|s| place(&table, 12_000, &format!("s{s}"))).collect();
    for index in 12..18 {
        table.put(entry(&format!("r{index:02}"), "a"), 2, NOW);
    }
    let mut moved = 0;
    for (session, old) in before.iter().enumerate() {
        let session = format!("s{session}");
        let placement = choose_replica(&table, &query(12_000, &session, &[]), NOW).unwrap();
        if placement.replica != *old {
            moved += 1;
            if let Some(warm) = placement.warm {
                assert!(
                    table.get(&warm).unwrap().since < NOW,
                    "a new replica has no cached prompts"
                );
            }
        }
    }
    assert!(moved > 0, "new replicas take some sessions");
}

struct AvoidCase {
    name: &'static str,
    /// Makes the replica unavailable.
    inject: fn(&mut ReplicaTable, &str),
    /// Time after the fault of the second selection, which uses the replica if `used_later`.
    later: Duration,
    used_later: bool,
}

#[test]
fn failing_replicas_are_avoided_and_readmitted() {
    let cases = [
        AvoidCase {
            name: "unreachable",
            inject: |table, id| assert!(table.record_failure(id, NOW).is_some()),
            later: Duration::from_millis(600),
            used_later: true,
        },
        AvoidCase {
            name: "full",
            inject: |table, id| table.record_full(id, NOW),
            later: Duration::from_millis(200),
            used_later: true,
        },
        AvoidCase {
            name: "leaving",
            inject: |table, id| assert!(table.record_leaving(id, NOW).is_some()),
            later: Duration::from_secs(60),
            used_later: false,
        },
        AvoidCase {
            name: "quiet",
            inject: |table, id| table.record_quiet(id, Duration::from_secs(5), NOW),
            later: Duration::from_millis(4999),
            used_later: false,
        },
        AvoidCase {
            name: "quiet no longer",
            inject: |table, id| table.record_quiet(id, Duration::from_secs(5), NOW),
            later: Duration::from_secs(5),
            used_later: true,
        },
        AvoidCase {
            name: "removed",
            inject: |table, id| assert!(table.remove(id, NOW)),
            later: Duration::from_secs(60),
            used_later: false,
        },
        AvoidCase {
            name: "lapsed",
            inject: |table, id| table.lapse(id, NOW),
            later: Duration::from_secs(1),
            used_later: false,
        },
    ];
    for case in cases {
        let mut table = fleet();
        let id = place(&table, 800, "s");
        (case.inject)(&mut table, &id);
        assert_ne!(place(&table, 800, "s"), id, "{}: selected immediately", case.name);
        let later =
            choose_replica(&table, &query(800, "s", &[]), NOW + case.later).unwrap().replica;
        assert_eq!(later == id, case.used_later, "{}: selected later", case.name);
    }
}

#[test]
fn the_last_replica_is_used_even_if_it_failed_but_not_if_it_is_excluded() {
    let mut table = ReplicaTable::default();
    table.put(entry("only", "a"), 1, START);
    table.record_failure("only", NOW);
    assert_eq!(&*place(&table, 800, "s"), "only");
    let excluded = ["only".into()];
    assert!(choose_replica(&table, &query(800, "s", &excluded), NOW).is_none());
}

#[test]
fn plain_requests_go_to_the_least_loaded_replica_and_stay_in_the_zone_among_equals() {
    let mut table = fleet();
    let plain = PlacementQuery { size: None, session: None, ..query(0, "", &[]) };
    let first = choose_replica(&table, &plain, NOW).unwrap().replica;
    assert_eq!(&*table.get(&first).unwrap().entry.zone, "a");
    for id in (0..12).step_by(3).map(|index| format!("r{index:02}")) {
        table.add_load(&id, 1000);
    }
    let second = choose_replica(&table, &plain, NOW).unwrap().replica;
    assert_ne!(&*table.get(&second).unwrap().entry.zone, "a");
}

struct SplitCase {
    name: &'static str,
    /// Successive measurements of short and long work.
    demand: &'static [(f64, f64)],
    share: f64,
}

#[test]
fn the_short_group_grows_with_its_demand_and_keeps_at_least_a_third() {
    let cases = [
        SplitCase { name: "no demand", demand: &[(0.0, 0.0)], share: MIN_SHORT_SHARE },
        SplitCase { name: "burst of long", demand: &[(1.0, 9.0)], share: MIN_SHORT_SHARE },
        SplitCase { name: "burst of short", demand: &[(4.0, 5.0)], share: 0.5 },
        SplitCase { name: "small change", demand: &[(4.0, 5.0), (4.2, 4.8)], share: 0.5 },
        SplitCase { name: "burst over", demand: &[(4.0, 5.0), (1.0, 9.0)], share: MIN_SHORT_SHARE },
    ];
    for case in cases {
        let mut split = GroupSplit::default();
        case.demand.iter().for_each(|(short, long)| split.update(*short, *long));
        assert!((split.short_share() - case.share).abs() < 1e-9, "{}: {split:?}", case.name);
    }
}

#[test]
fn idle_replicas_share_the_requests_of_nodes_that_see_the_same_loads() {
    const REQUESTS: u64 = 600;
    struct TieCase {
        name: &'static str,
        size: Option<RequestSize>,
    }
    let cases = [
        TieCase { name: "plain", size: None },
        TieCase {
            name: "model without a session",
            size: Some(RequestSize { prompt: 800, output: 10 }),
        },
    ];
    for case in cases {
        let table = fleet();
        let mut counts: HashMap<SharedName, u64> = HashMap::default();
        for number in 0..REQUESTS {
            // Consecutive draws, as far from random as a generator could be.
            let draw = number.wrapping_mul(0x2545_f491_4f6c_dd1d);
            let query =
                PlacementQuery { size: case.size, session: None, draw, ..query(0, "", &[]) };
            let placement = choose_replica(&table, &query, NOW).expect("replicas are ready");
            *counts.entry(placement.replica).or_default() += 1;
        }
        let largest = counts.values().max().copied().unwrap_or_default();
        let mean = REQUESTS as f64 / counts.len() as f64;
        assert!(counts.len() >= 3, "{}: {counts:?}", case.name);
        assert!(largest as f64 <= 1.5 * mean, "{}: {counts:?}", case.name);
    }
}

struct ReleaseCase {
    name: &'static str,
    /// Number of the twelve replicas at the newer version.
    newer: usize,
    /// Work at each replica but the only one of a version.
    work: u64,
    is_resumable: bool,
    /// Whether the only replica of a version gets some of two hundred streams.
    uses_last: bool,
}

/// Guards against streams that can't go on when they break off, because a release has begun or is
/// about to end and they began at the only replica of their version (LOST).
#[test]
fn resumable_streams_avoid_the_only_replica_of_a_version_unless_the_others_are_loaded() {
    let case = |name, newer, work, is_resumable, uses_last| ReleaseCase {
        name,
        newer,
        work,
        is_resumable,
        uses_last,
    };
    let cases = [
        case("first of the release", 1, 0, true, false),
        case("last of the release", 11, 0, true, false),
        case("half of the release", 6, 0, true, true),
        case("streams that can't be resumed", 1, 0, false, true),
        case("the others are loaded", 1, 100_000, true, true),
    ];
    for case in cases {
        let mut table = fleet();
        let id = |index: usize| format!("r{index:02}");
        for index in 0..12 {
            let zone = ["a", "b", "c"][index % 3];
            let version = if index < case.newer { "v2" } else { "v1" };
            let entry = ReplicaEntry { version: version.into(), ..entry(&id(index), zone) };
            table.put(entry, 2, START);
        }
        let last = if case.newer == 11 { id(11) } else { id(0) };
        for index in (0..12).filter(|index| id(*index) != last) {
            table.add_load(&id(index), case.work);
        }
        let uses = (0..200).any(|number| {
            let session = format!("s{number}");
            let prompt = if number % 2 == 0 { 800 } else { 12_000 };
            let query =
                PlacementQuery { is_resumable: case.is_resumable, ..query(prompt, &session, &[]) };
            *choose_replica(&table, &query, NOW).unwrap().replica == *last
        });
        assert_eq!(uses, case.uses_last, "{}", case.name);
    }
}

/// Guards against a request that is refused because only the last replica of a version is left.
#[test]
fn a_stream_begins_at_the_only_replica_of_a_version_if_no_other_is_left() {
    let mut table = fleet();
    table.put(ReplicaEntry { version: "v2".into(), ..entry("r00", "a") }, 2, START);
    let excluded: Vec<SharedName> = (1..12).map(|index| format!("r{index:02}").into()).collect();
    let query = PlacementQuery { is_resumable: true, ..query(800, "s", &excluded) };
    assert_eq!(&*choose_replica(&table, &query, NOW).unwrap().replica, "r00");
}
