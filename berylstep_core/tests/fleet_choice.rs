//! Placement in a fleet: short prompts are kept apart, sessions stay where their prompt is, load is
//! bounded, and failed replicas are avoided.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::choice::{
    choose, GroupSplit, PlacementQuery, RequestSize, LEAST_SHORT_SHARE,
};
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
        slots: 64,
        state: ReplicaState::Ready,
        spot: false,
        leaves_in: None,
        born: 0,
    }
}

/// Twelve replicas in three zones.
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
        service: SERVICE,
        size: Some(RequestSize { prompt, output: 100 }),
        session: Some(session),
        short_share: LEAST_SHORT_SHARE,
        zone: "a",
        excluded,
    }
}

fn place(table: &ReplicaTable, prompt: u64, session: &str) -> SharedName {
    choose(table, &query(prompt, session, &[]), NOW).unwrap().replica
}

/// Replicas that serve a hundred sessions with prompts of this length.
fn used(table: &ReplicaTable, prompt: u64) -> Vec<SharedName> {
    let mut used: Vec<_> =
        (0..100).map(|session| place(table, prompt, &format!("s{session}"))).collect();
    used.sort();
    used.dedup();
    used
}

#[test]
fn long_prompts_never_delay_short_ones_while_both_have_room() {
    let table = fleet();
    let (short, long) = (used(&table, 800), used(&table, 12_000));
    assert_eq!((short.len(), long.len()), (4, 8));
    assert!(short.iter().all(|id| !long.contains(id)));
}

#[test]
fn losing_a_zone_leaves_both_groups_some_replicas() {
    let table = fleet();
    let zone = |id: &SharedName| table.get(id).unwrap().entry.zone.clone();
    for lost in ["a", "b", "c"] {
        let left = |ids: Vec<SharedName>| ids.iter().filter(|id| &*zone(id) != lost).count();
        assert!(left(used(&table, 800)) >= 2, "short group without zone {lost}");
        assert!(left(used(&table, 12_000)) >= 4, "long group without zone {lost}");
    }
}

#[test]
fn a_burst_of_one_session_spreads_once_its_replica_has_much_more_work() {
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
    for id in used(&table, 800) {
        table.note_failure(&id, NOW);
    }
    let id = place(&table, 800, "s");
    assert!(used(&fleet(), 12_000).contains(&id));
}

#[test]
fn a_session_that_moves_to_a_new_replica_names_the_one_that_had_its_prompt() {
    let mut table = fleet();
    let before: Vec<_> = (0..50).map(|s| place(&table, 12_000, &format!("s{s}"))).collect();
    for index in 12..18 {
        table.put(entry(&format!("r{index:02}"), "a"), 2, NOW);
    }
    let mut moved = 0;
    for (session, old) in before.iter().enumerate() {
        let session = format!("s{session}");
        let placement = choose(&table, &query(12_000, &session, &[]), NOW).unwrap();
        if placement.replica != *old {
            moved += 1;
            if let Some(warm) = placement.warm {
                assert!(table.get(&warm).unwrap().since < NOW, "a new replica has no prompts");
            }
        }
    }
    assert!(moved > 0, "new replicas take some sessions");
}

struct AvoidCase {
    name: &'static str,
    spoil: fn(&mut ReplicaTable, &str),
    /// Whether the replica is used again after `later`.
    later: Duration,
    used_later: bool,
}

#[test]
fn failing_replicas_are_avoided_and_readmitted() {
    let cases = [
        AvoidCase {
            name: "cannot be reached",
            spoil: |table, id| assert!(table.note_failure(id, NOW).is_some()),
            later: Duration::from_millis(600),
            used_later: true,
        },
        AvoidCase {
            name: "full",
            spoil: |table, id| table.note_full(id, NOW),
            later: Duration::from_millis(200),
            used_later: true,
        },
        AvoidCase {
            name: "leaving",
            spoil: |table, id| assert!(table.note_leaving(id, NOW)),
            later: Duration::from_secs(60),
            used_later: false,
        },
        AvoidCase {
            name: "removed",
            spoil: |table, id| assert!(table.remove(id, NOW)),
            later: Duration::from_secs(60),
            used_later: false,
        },
        AvoidCase {
            name: "lapsed",
            spoil: |table, id| table.lapse(id, NOW),
            later: Duration::from_secs(1),
            used_later: false,
        },
    ];
    for case in cases {
        let mut table = fleet();
        let id = place(&table, 800, "s");
        (case.spoil)(&mut table, &id);
        assert_ne!(place(&table, 800, "s"), id, "{}: used at once", case.name);
        let later = choose(&table, &query(800, "s", &[]), NOW + case.later).unwrap().replica;
        assert_eq!(later == id, case.used_later, "{}: used later", case.name);
    }
}

#[test]
fn the_last_replica_is_used_even_if_it_failed_but_never_one_that_was_tried() {
    let mut table = ReplicaTable::default();
    table.put(entry("only", "a"), 1, START);
    table.note_failure("only", NOW);
    assert_eq!(&*place(&table, 800, "s"), "only");
    let tried = ["only".into()];
    assert!(choose(&table, &query(800, "s", &tried), NOW).is_none());
}

#[test]
fn plain_requests_go_to_the_least_loaded_replica_and_stay_in_the_zone_among_equals() {
    let mut table = fleet();
    let plain = PlacementQuery { size: None, session: None, ..query(0, "", &[]) };
    let first = choose(&table, &plain, NOW).unwrap().replica;
    assert_eq!(&*table.get(&first).unwrap().entry.zone, "a");
    for id in (0..12).step_by(3).map(|index| format!("r{index:02}")) {
        table.add_load(&id, 1000);
    }
    let second = choose(&table, &plain, NOW).unwrap().replica;
    assert_ne!(&*table.get(&second).unwrap().entry.zone, "a");
}

struct BorderCase {
    name: &'static str,
    /// Short and long work, in order.
    demand: &'static [(f64, f64)],
    share: f64,
}

#[test]
fn the_border_follows_bursts_of_short_prompts_and_keeps_them_a_third() {
    let cases = [
        BorderCase { name: "no demand", demand: &[(0.0, 0.0)], share: LEAST_SHORT_SHARE },
        BorderCase { name: "burst of long", demand: &[(1.0, 9.0)], share: LEAST_SHORT_SHARE },
        BorderCase { name: "burst of short", demand: &[(4.0, 5.0)], share: 0.5 },
        BorderCase { name: "small change", demand: &[(4.0, 5.0), (4.2, 4.8)], share: 0.5 },
        BorderCase {
            name: "burst over",
            demand: &[(4.0, 5.0), (1.0, 9.0)],
            share: LEAST_SHORT_SHARE,
        },
    ];
    for case in cases {
        let mut split = GroupSplit::default();
        case.demand.iter().for_each(|(short, long)| split.update(*short, *long));
        assert!((split.short_share() - case.share).abs() < 1e-9, "{}: {split:?}", case.name);
    }
}
