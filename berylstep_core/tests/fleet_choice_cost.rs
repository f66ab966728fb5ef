//! Time for a replica selection. The bounds are asserted in release builds only.
//!
//!     cargo test --release -p berylstep_core --test fleet_choice_cost -- --nocapture

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylstep_core::fleet::choice::{choose_replica, PlacementQuery, RequestSize, MIN_SHORT_SHARE};
use berylstep_core::fleet::engine::EngineSpeed;
use berylstep_core::fleet::origins::VersionPin;
use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState, ReplicaTable};

const NOW: Duration = Duration::from_secs(100);

/// Selections per batch.
const BATCH_SIZE: u32 = 500;

/// Number of batches; the fastest counts, because other processes share the machine.
const BATCHES: u32 = 10;

struct CostCase {
    replicas: usize,
    /// Maximum time for one selection.
    bound: Duration,
}

fn fleet(size: usize) -> ReplicaTable {
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
    }
    table
}

#[test]
fn a_selection_stays_within_its_time_bound() {
    let cases = [
        CostCase { replicas: 12, bound: Duration::from_micros(20) },
        CostCase { replicas: 112, bound: Duration::from_micros(60) },
    ];
    for case in cases {
        let table = fleet(case.replicas);
        let sessions: Vec<String> = (0..64).map(|number| format!("{number:08x}")).collect();
        let batch = || {
            let started = Instant::now();
            for number in 0..BATCH_SIZE {
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
                    draw: 0,
                    speed: EngineSpeed::default(),
                };
                black_box(choose_replica(&table, &query, NOW));
            }
            started.elapsed() / BATCH_SIZE
        };
        let cost = (0..BATCHES).map(|_| batch()).min().unwrap();
        println!("{} replicas: {cost:?} a placement", case.replicas);
        if !cfg!(debug_assertions) {
            assert!(cost <= case.bound, "{} replicas: {cost:?}", case.replicas);
        }
    }
}
