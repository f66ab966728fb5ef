//! Evacuated zones: their replicas get nothing new, and the newest rows hold everywhere.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::fleet::cold::ColdRule;
use berylstep_core::fleet::evacuation::{EvacuatedZones, EvacuationRecord};
use berylstep_core::fleet::position::StorePosition;
use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState, ReplicaTable};

const SERVICE: &str = "model";
const RULE: ColdRule = ColdRule { start: Duration::from_secs(3), per_second: 14.0 };

fn zones(names: &[&str]) -> EvacuatedZones {
    names.iter().map(|name| (*name).into()).collect()
}

/// Returns a table with a warm replica in each of the zones a, b and c.
fn fleet() -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for zone in ["a", "b", "c"] {
        let entry = ReplicaEntry {
            id: zone.into(),
            service: SERVICE.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 8000)),
            zone: zone.into(),
            version: "v1".into(),
            slots: 64,
            state: ReplicaState::Ready,
            spot: false,
            leaves_in: None,
            born: 1,
        };
        table.put(entry, 1, Duration::ZERO);
        table.apply_cold_time(zone, Some(Duration::ZERO), 1, Duration::ZERO);
    }
    table
}

/// What a node learns of evacuations.
#[derive(Clone, Copy, Debug)]
enum RowEvent {
    /// A row of the store is written or removed.
    Row(&'static str, bool, u64),
    /// All zones as of a position, from the store or from a peer.
    All(&'static [&'static str], (u64, u64)),
}

struct RecordCase {
    name: &'static str,
    events: &'static [RowEvent],
    evacuated: &'static [&'static str],
}

/// Guards against an evacuation that is missed, that comes back after its end, or that ends without the
/// operator (EVAC).
#[test]
fn the_newest_rows_are_in_force() {
    use RowEvent::{All, Row};
    let cases = [
        RecordCase { name: "one zone", events: &[Row("a", true, 5)], evacuated: &["a"] },
        RecordCase {
            name: "two zones, of which one ends",
            events: &[Row("a", true, 5), Row("b", true, 6), Row("a", false, 7)],
            evacuated: &["b"],
        },
        RecordCase {
            name: "the same zone twice",
            events: &[Row("a", true, 5), Row("a", true, 6), Row("a", false, 7)],
            evacuated: &[],
        },
        RecordCase {
            name: "withdrawn at once",
            events: &[Row("a", true, 5), Row("a", false, 6)],
            evacuated: &[],
        },
        RecordCase {
            name: "all zones",
            events: &[Row("a", true, 5), Row("b", true, 6), Row("c", true, 7)],
            evacuated: &["a", "b", "c"],
        },
        RecordCase {
            name: "a peer that lags behind doesn't bring an evacuation back",
            events: &[All(&["a"], (1, 5)), All(&[], (1, 9)), All(&["a"], (1, 5))],
            evacuated: &[],
        },
        RecordCase {
            name: "a snapshot without zones holds against a peer that lags behind",
            events: &[All(&[], (1, 9)), All(&["a"], (1, 5))],
            evacuated: &[],
        },
        RecordCase {
            name: "a peer knows an evacuation that this node has missed",
            events: &[All(&[], (1, 4)), All(&["b"], (1, 5))],
            evacuated: &["b"],
        },
        RecordCase {
            name: "a restored store is right although its revisions are lower",
            events: &[All(&["a"], (1, 9)), All(&[], (2, 3)), All(&["a"], (1, 9))],
            evacuated: &[],
        },
    ];
    for case in cases {
        let mut record = EvacuationRecord::default();
        for event in case.events {
            match event {
                Row(zone, is_evacuated, revision) => {
                    record.change(zone, *is_evacuated, StorePosition::new(1, *revision));
                }
                All(names, (era, revision)) => {
                    record.replace(zones(names), StorePosition::new(*era, *revision));
                }
            }
        }
        assert_eq!(*record.zones(), zones(case.evacuated), "{}", case.name);
    }
}

/// Guards against new requests, resumed streams and moved runs at a zone that the operator has evacuated.
#[test]
fn replicas_of_evacuated_zones_are_not_offered() {
    let cases: [&[&str]; 4] = [&[], &["b"], &["a", "c"], &["a", "b", "c"]];
    for evacuated in cases {
        let mut table = fleet();
        table.set_evacuated(zones(evacuated), Duration::from_secs(1));
        let now = Duration::from_secs(2);
        let mut expected = vec!["a", "b", "c"];
        expected.retain(|zone| !evacuated.contains(zone));
        let mut available: Vec<_> =
            table.available(SERVICE, now).map(|row| &*row.entry.zone).collect();
        available.sort_unstable();
        assert_eq!(available, expected);
        assert_eq!(table.ready(SERVICE).count(), expected.len());
        // Running requests go on, for which the replica is looked up.
        assert!(evacuated.iter().all(|zone| table.get(zone).is_some_and(|row| row.is_ready())));
    }
}

/// Guards against a rush on the replicas of a zone that returns, which are usually cold.
#[test]
fn replicas_of_a_zone_that_returns_count_as_cold_until_their_entries_say_otherwise() {
    let mut table = fleet();
    let seconds = Duration::from_secs;
    table.set_evacuated(zones(&["a", "b"]), seconds(10));
    table.set_evacuated(zones(&["a"]), seconds(20));
    let is_cold = |table: &ReplicaTable, id: &str, at: u64| {
        table.get(id).is_some_and(|row| row.cold.is_cold(&RULE, seconds(at)))
    };
    let cold = |table: &ReplicaTable, at| ["a", "b", "c"].map(|id| is_cold(table, id, at));
    assert_eq!(cold(&table, 21), [false, true, false]);
    // The entry from before the end says nothing about the time after it.
    table.apply_cold_time("b", Some(Duration::ZERO), 1, seconds(21));
    assert!(is_cold(&table, "b", 21));
    table.apply_cold_time("b", Some(Duration::ZERO), 2, seconds(22));
    assert!(!is_cold(&table, "b", 22));
    table.set_evacuated(zones(&[]), seconds(30));
    assert_eq!(cold(&table, 31), [true, false, false]);
    assert_eq!(cold(&table, 33), [false, false, false]);
}
