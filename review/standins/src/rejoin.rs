//! All gateways but one are killed at the same moment, while replicas of two versions serve. Requesters take
//! their streams up at the gateway that lives on, where they must go on.

use std::path::Path;
use std::time::Duration;

use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::free_address;

use crate::drill::{attempt, run_stream, TakeUp};
use crate::engine::ModelReplica;
use crate::fleet::{desired_state, GatewayPlan, Record};
use crate::silence::{model_route, SERVICE};
use crate::Verdict;

/// Machines by zone, as on the site's sheet.
const ZONES: [&str; 8] = ["a", "a", "a", "b", "b", "b", "c", "c"];

/// Streams at each gateway that is killed, and new ones at the other.
const STREAMS_EACH: usize = 6;
const NEW_STREAMS: usize = 14;

pub fn run(record: &Record, directory: &Path, trouble: bool) -> Verdict {
    let store = FakeStore::start();
    store.put(
        "op",
        "config",
        Some(desired_state(1, &[model_route("guest-ask", 12_000, 300, 2, 200)])),
    );
    let versions = ["build-1", "build-1", "build-2", "build-2"];
    let replicas: Vec<_> = versions
        .iter()
        .enumerate()
        .map(|(index, version)| {
            ModelReplica::start(&format!("i-model-{index}"), version, 64, 16, record)
        })
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica.entry(SERVICE)));
    }
    let peer_port = free_address().port();
    let plans: Vec<_> = ZONES
        .iter()
        .zip(2..)
        .map(|(zone, number)| {
            let plan = GatewayPlan::new(number, peer_port, store.address, directory, &[2, 5, 8]);
            GatewayPlan { zone, ..plan }
        })
        .collect();
    let mut gateways = Vec::new();
    for plan in &plans {
        gateways.push(plan.start(true).map_err(|err| err.to_string())?);
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(20))) {
        return Err("a gateway isn't ready".to_owned());
    }
    // Identifiers decide which nodes keep the origins of the streams; they are new in each run.
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let draw = now.subsec_nanos();
    // The first gateway lives on.
    std::thread::sleep(Duration::from_millis(4500));
    let streams: Vec<_> = (0..STREAMS_EACH * (plans.len() - 1))
        .map(|number| {
            let (record, plans) = (record.clone(), plans.clone());
            std::thread::sleep(Duration::from_millis(15));
            std::thread::spawn(move || {
                let gateway = 1 + number % (plans.len() - 1);
                let id = format!("{draw:08x}{number:08x}");
                run_stream(&id, plans[gateway].callers(), plans[0].callers(), 50, &record)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1000));
    if trouble {
        record.line("gateways 3 to 9 are killed");
        for gateway in &mut gateways[1..] {
            let _ = gateway.child.kill();
        }
    }
    let begun: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            let (record, callers) = (record.clone(), plans[0].callers());
            std::thread::sleep(Duration::from_millis(40));
            std::thread::spawn(move || {
                let id = format!("new-{number}");
                let part = attempt(&id, "", 5, callers, Duration::from_secs(3));
                record.line(&format!("{id}: {part:?}"));
                part.events > 0
            })
        })
        .collect();
    let begun = begun.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    let ends: Vec<_> = streams.into_iter().filter_map(|it| it.join().ok()).collect();
    let taken_up = ends.iter().filter(|end| **end != TakeUp::NotNeeded).count();
    let gone_on = ends.iter().filter(|end| **end == TakeUp::GoneOn).count();
    record.line(&format!(
        "{taken_up} of {} streams were taken up at gateway 2, {gone_on} went on; of {NEW_STREAMS} new streams \
         {begun} began",
        ends.len()
    ));
    gateways.iter_mut().for_each(|gateway| gateway.kill());
    // The rule counts from 12 streams on: the share that goes on is under half of the share that begins.
    Ok(taken_up < 12 || 2 * gone_on * NEW_STREAMS >= begun * taken_up)
}
