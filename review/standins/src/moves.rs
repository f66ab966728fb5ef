//! A replica that names a limit leaves as planned, while the others have no free slot. Its streams, which may
//! not be resumed, must not be cut around a planned stop of the gateway.

use std::path::Path;
use std::time::Duration;

use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::free_address;
use serde_json::json;

use crate::engine::ModelReplica;
use crate::fleet::{desired_state, GatewayPlan, Record};
use crate::silence::{model_route, read_stream, StreamEnd, SERVICE};
use crate::Verdict;

const SLOTS: usize = 4;
const QUEUE: usize = 8;
const STREAM_EVENTS: u32 = 50;

/// Limit that the replica names, in requests a second; far more than it gets.
const LIMIT: u32 = 50;

pub fn run(record: &Record, directory: &Path, trouble: bool) -> Verdict {
    let store = FakeStore::start();
    let mut desired = desired_state(1, &[model_route("trip-report", 15_000, 1500, 1, 800)]);
    desired["Services"][0]["Engine"] =
        json!({"Slots": SLOTS, "KvCacheTokens": 500_000, "Stride": 1, "Moves": true});
    store.put("op", "config", Some(desired));
    let replicas = [("i-model-1", Some(LIMIT)), ("i-model-2", None), ("i-model-3", None)]
        .map(|(id, limit)| ModelReplica::start_limited(id, "v1", SLOTS, QUEUE, limit, record));
    let publish = |replica: &ModelReplica| {
        store.put("servers", &replica.id, Some(replica.entry(SERVICE)));
    };
    publish(&replicas[0]);
    let peer_port = free_address().port();
    let plans =
        [2, 3].map(|number| GatewayPlan::new(number, peer_port, store.address, directory, &[2, 3]));
    let mut gateways = Vec::new();
    for plan in &plans {
        gateways.push(plan.start(true).map_err(|err| err.to_string())?);
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(20))) {
        return Err("a gateway isn't ready".to_owned());
    }
    std::thread::sleep(Duration::from_millis(3500));
    let start = |number: usize| {
        let (record, callers) = (record.clone(), plans[0].callers());
        // The gateway moves streams whose size it knows.
        let size = ((number < SLOTS).then_some(1000), STREAM_EVENTS);
        let thread = std::thread::spawn(move || {
            let id = format!("report-{number}");
            read_stream("trip-report", &id, size, 15_000, callers, &record)
        });
        std::thread::sleep(Duration::from_millis(40));
        thread
    };
    let mut threads: Vec<_> = (0..SLOTS).map(start).collect();
    replicas[1..].iter().for_each(publish);
    std::thread::sleep(Duration::from_millis(400));
    threads.extend((SLOTS..replicas.len() * SLOTS).map(start));
    std::thread::sleep(Duration::from_millis(500));
    for replica in &replicas {
        record.line(&format!("{}: (running, waiting) = {:?}", replica.id, replica.load()));
    }
    record.line("SIGTERM to gateway 2");
    gateways[0].terminate();
    if trouble {
        record.line("i-model-1 is draining");
        let entry = replicas[0].entry_in_state(SERVICE, "draining");
        store.put("servers", &replicas[0].id, Some(entry));
    }
    let results: Vec<_> = threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let cut = results.iter().filter(|end| **end == StreamEnd::Cut).count();
    record.line(&format!("{cut} of {} streams ended without a complete answer", results.len()));
    gateways.iter_mut().for_each(|gateway| gateway.kill());
    Ok(cut == 0)
}
