//! Time for a replica selection where paces differ. The bounds are asserted in release builds only.
//!
//!     cargo test --release -p berylstep_core --test fleet_placement_cost -- --nocapture

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylstep_core::fleet::choice::{choose_replica, PlacementQuery, RequestSize, MIN_SHORT_SHARE};
use berylstep_core::fleet::engine::EngineSpeed;
use berylstep_core::fleet::origins::VersionPin;
use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState, ReplicaTable};

const NOW: Duration = Duration::from_secs(100);

/// Number of batches; the fastest counts, because other processes share the machine.
const BATCHES: u32 = 10;

struct CostCase {
    replicas: usize,
    /// Selections per batch.
    batch: u32,
    /// Maximum time for one selection.
    bound: Duration,
}

fn fleet(size: usize, is_uneven: bool) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for index in 0..size {
        let id = format!("i-{index:010x}");
        let entry = ReplicaEntry {
            id: id.as_str().into(),
            service: "model".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 8000)),
            zone: ["a", "b", "c"][index % 3].into(),
            version: "v1".into(),
            slots: 12,
            state: ReplicaState::Ready,
            spot: false,
            leaves_in: None,
            born: 0,
        };
        table.put(entry, 1, Duration::from_secs(1));
        table.add_load(&id, (index as u64 * 7919) % 50_000);
        if is_uneven {
            table.set_pace(&id, if index % 3 == 0 { 1.7 } else { 0.7 });
        }
    }
    table
}

/// Guards against a selection whose cost grows with the square of the number of replicas, or much with their paces.
#[test]
fn a_selection_by_pace_stays_within_its_time_bound() {
    let cases = [
        CostCase { replicas: 12, batch: 500, bound: Duration::from_micros(20) },
        CostCase { replicas: 140, batch: 500, bound: Duration::from_micros(75) },
        CostCase { replicas: 10_000, batch: 5, bound: Duration::from_millis(15) },
    ];
    for case in cases {
        for is_uneven in [false, true] {
            let table = fleet(case.replicas, is_uneven);
            let sessions: Vec<String> = (0..64).map(|number| format!("{number:08x}")).collect();
            let batch = || {
                let started = Instant::now();
                for number in 0..case.batch {
                    let query = PlacementQuery {
                        pin: VersionPin::Any,
                        is_resumable: true,
                        service: "model",
                        size: Some(RequestSize {
                            prompt: if number % 2 == 0 { 800 } else { 12_000 },
                            output: 380,
                        }),
                        session: Some(&sessions[number as usize % sessions.len()]),
                        short_share: MIN_SHORT_SHARE,
                        zone: "a",
                        excluded: &[],
                        draw: u64::from(number),
                        speed: EngineSpeed::default(),
                    };
                    black_box(choose_replica(&table, &query, NOW));
                }
                started.elapsed() / case.batch
            };
            let cost = (0..BATCHES).map(|_| batch()).min().unwrap();
            println!("{} replicas, uneven {is_uneven}: {cost:?} a placement", case.replicas);
            if !cfg!(debug_assertions) {
                assert!(cost <= case.bound, "{} replicas: {cost:?}", case.replicas);
            }
        }
    }
}
