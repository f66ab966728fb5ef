//! Three replicas serve streams. One of them names its place in a header whose value isn't ASCII, and some of its
//! streams are reset midway. Their callers take them up again. With `ASCII` set the value is ASCII, for comparison.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::free_address;
use review_standins_4::{
    call_stream, desired_state, has_trouble, placed_replica, replica_entry, unix_ms, NodeConfig,
    TrialRecord, TrialResult,
};

/// Callers, and streams that each of them begins one after the other.
const CALLERS: u32 = 24;
const STREAMS: u32 = 6;

/// Of the streams of the replica, these many in five are reset: 0.4.
const RESET_OF_FIVE: u32 = 2;

/// Times that a caller tries to take a stream up.
const TAKE_UPS: u32 = 2;

/// Smallest number of streams taken up from which LOST is judged.
const MIN_TAKEN_UP: u32 = 12;

/// Header of the replica, and the one for comparison.
const PLACE_HEADER: &str = "X-Place: Z\u{fc}rich 3\r\n";
const ASCII_HEADER: &str = "X-Place: Zurich 3\r\n";

fn main() -> ExitCode {
    match run() {
        Ok(result) => result.into(),
        Err(err) => {
            eprintln!("the trial can't run: {err}");
            TrialResult::NotRun.into()
        }
    }
}

/// Counts of all callers.
#[derive(Default)]
struct StreamCounts {
    new: AtomicU32,
    begun: AtomicU32,
    taken_up: AtomicU32,
    gone_on: AtomicU32,
}

fn run_caller(
    caller: u32,
    addresses: [SocketAddr; 2],
    counts: &StreamCounts,
    record: &TrialRecord,
) {
    for number in 0..STREAMS {
        let id = format!("s{caller}-{number}");
        let node = (caller + number) as usize % 2;
        let first = call_stream(addresses[node], &id, "");
        counts.new.fetch_add(1, Ordering::Relaxed);
        counts.begun.fetch_add(u32::from(first.last_event > 0), Ordering::Relaxed);
        if first.is_whole || first.last_event == 0 {
            continue;
        }
        counts.taken_up.fetch_add(1, Ordering::Relaxed);
        let headers = format!("Resumes: {id}\r\nLast-Event-Id: {}\r\n", first.last_event);
        for attempt in 1..=TAKE_UPS {
            let node = (node + attempt as usize) % 2;
            let next = call_stream(addresses[node], &format!("{id}-r{attempt}"), &headers);
            record.write(format!(
                "stream {id}: broke off after event {}, taken up at gateway {node}: status {}, last event {}, whole {}",
                first.last_event, next.status, next.last_event, next.is_whole
            ));
            if next.last_event > 0 {
                counts.gone_on.fetch_add(1, Ordering::Relaxed);
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

fn run() -> std::io::Result<TrialResult> {
    let record = Arc::new(TrialRecord::create()?);
    let has_trouble = has_trouble();
    record.write(format!("trouble: {has_trouble}"));
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1, &[("stream", "stream", 2, true)])));
    let born = unix_ms();
    let place = match std::env::var_os("ASCII") {
        None => PLACE_HEADER,
        Some(_) => ASCII_HEADER,
    };
    let reset_of_five = if has_trouble { RESET_OF_FIVE } else { 0 };
    let replicas = [("i-0", place, reset_of_five), ("i-1", "", 0), ("i-2", "", 0)]
        .map(|(id, headers, reset_of_five)| placed_replica(id, headers, reset_of_five, born));
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica_entry(replica.address, "stream", born)));
    }
    let port = free_address().port();
    let configs = [2, 3].map(|number| NodeConfig::new(number, port, store.address, store.address));
    let mut nodes = Vec::new();
    for config in &configs {
        nodes.push(config.start()?);
    }
    if !nodes.iter().all(|node| node.wait_ready()) {
        record.write("the gateways don't become ready");
        return Ok(TrialResult::NotRun);
    }
    std::thread::sleep(Duration::from_secs(4));
    let addresses = [configs[0].callers(), configs[1].callers()];
    let counts = Arc::new(StreamCounts::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (counts, record) = (counts.clone(), record.clone());
            std::thread::spawn(move || run_caller(caller, addresses, &counts, &record))
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().expect("a caller ends"));
    for replica in &replicas {
        let received = replica.received();
        let reports = received.iter().filter(|it| it.target().starts_with("/v1/report")).count();
        let streams = received.len() - reports;
        record.write(format!("replica {}: {streams} streams, {reports} report calls", replica.id));
    }
    for node in &nodes {
        let panics = node.log_lines(&["String slice should be valid ASCII"]).len();
        record.write(format!("a gateway wrote {panics} times that a task panicked on the header"));
    }
    let [new, begun, taken_up, gone_on] =
        [&counts.new, &counts.begun, &counts.taken_up, &counts.gone_on]
            .map(|count| count.load(Ordering::Relaxed));
    record.write(format!(
        "{new} new streams, {begun} begun; {taken_up} taken up again, {gone_on} went on; LOST asks for half of \
         the share of new streams"
    ));
    let is_compared = std::env::var_os("ASCII").is_some();
    if begun == 0 || (has_trouble && !is_compared && taken_up < MIN_TAKEN_UP) {
        return Ok(TrialResult::NotRun);
    }
    let new_share = f64::from(begun) / f64::from(new);
    let is_broken =
        taken_up >= MIN_TAKEN_UP && f64::from(gone_on) / f64::from(taken_up) < new_share / 2.0;
    Ok(if is_broken { TrialResult::Broken } else { TrialResult::Held })
}
