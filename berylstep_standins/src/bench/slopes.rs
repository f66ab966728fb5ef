//! Cost per entity for docs/CAPACITY.md: size and processor time of messages, state and idle nodes.
//!
//! Each cost is the slope of a line fitted to measurements at several numbers of entities.

use std::process::Command;
use std::time::Duration;

use berylstep_wire::frame::Body;

use super::figures::{FittedLine, RepeatedFigure};
use super::machine::{self, processor_time, thread_time};
use super::messages::{MessageKind, MESSAGE_KINDS};
use super::state::STATE_KINDS;
use crate::site::TrialSite;

/// Repetitions of each measurement.
const REPETITIONS: usize = 5;

/// Numbers of entries in a message, or of messages in a batch.
const MESSAGE_COUNTS: [usize; 4] = [1, 64, 256, 1_024];

/// Encodings and decodings in one timed run.
const MESSAGE_ROUNDS: usize = 200;

/// Numbers of entities in a table.
const STATE_COUNTS: [usize; 3] = [10_000, 20_000, 40_000];

/// Numbers of nodes of an idle site.
const NODE_COUNTS: [usize; 3] = [3, 6, 9];

/// Numbers of upstreams of an idle site.
const UPSTREAM_COUNTS: [usize; 3] = [8, 24, 48];

/// Number of nodes of an idle site with upstreams; costs are averaged over them.
const UPSTREAM_SITE_NODES: usize = 3;

/// Time over which an idle node is measured.
const IDLE_DURATION: Duration = Duration::from_secs(5);

/// Time for links and connections to be established.
const SETTLE_TIME: Duration = Duration::from_secs(1);

type BenchError = Box<dyn std::error::Error>;

/// Measures and prints the cost of messages and state.
///
/// Fails if a measuring process cannot be run.
pub fn run() -> Result<(), BenchError> {
    println!("machine: {}", machine::description());
    println!("slopes: median of {REPETITIONS} repetitions (lowest to highest)");
    println!("| message | bytes at 0 | bytes for each | us for each, encoded and decoded | fit |");
    println!("|---|---|---|---|---|");
    MESSAGE_KINDS.iter().for_each(print_message);
    println!("| state | bytes for each | us to put each | fit of bytes |");
    println!("|---|---|---|---|");
    for kind in STATE_KINDS {
        print_state(kind.name)?;
    }
    println!("load average at the end: {}", machine::load_average());
    Ok(())
}

/// Measures and prints the cost of each peer and upstream for an idle node.
///
/// Fails if a site cannot be started.
pub fn run_idle() -> Result<(), BenchError> {
    println!("machine: {}", machine::description());
    println!("slopes: median of {REPETITIONS} repetitions (lowest to highest)");
    println!("one message in a link's queue: {} bytes", size_of::<Body>());
    println!("| idle process | us a second at 0 | us a second for each | KiB for each | fit |");
    println!("|---|---|---|---|---|");
    print_idle("peer, seen by a node", &NODE_COUNTS, |count| start_site(count, 0))?;
    print_idle("upstream, seen by a node", &UPSTREAM_COUNTS, |count| {
        start_site(UPSTREAM_SITE_NODES, count)
    })?;
    println!("load average at the end: {}", machine::load_average());
    Ok(())
}

fn print_message(kind: &MessageKind) {
    let size = |count: usize| (kind.encode)(count).len() as f64;
    let sizes: Vec<_> = MESSAGE_COUNTS.map(|count| (count as f64, size(count))).into();
    let line = FittedLine::through(&sizes);
    let mut times = RepeatedFigure::default();
    for _ in 0..REPETITIONS {
        let points: Vec<_> =
            MESSAGE_COUNTS.map(|count| (count as f64, codec_us(kind, count))).into();
        times.push(FittedLine::through(&points).slope);
    }
    let FittedLine { slope, intercept, fit } = line;
    println!("| {} | {intercept:.0} | {slope:.1} | {times:.2} | {fit:.3} |", kind.name);
}

/// Returns the processor time to encode and decode one batch, in microseconds.
fn codec_us(kind: &MessageKind, count: usize) -> f64 {
    let before = thread_time();
    for _ in 0..MESSAGE_ROUNDS {
        let bytes = (kind.encode)(count);
        (kind.decode)(&bytes);
    }
    (thread_time() - before).as_secs_f64() * 1e6 / MESSAGE_ROUNDS as f64
}

/// Builds each table in a new process and prints the cost per entity.
fn print_state(kind: &str) -> Result<(), BenchError> {
    let mut bytes = RepeatedFigure::default();
    let mut times = RepeatedFigure::default();
    let mut fit = 1.0_f64;
    for _ in 0..REPETITIONS {
        let mut memory_points = Vec::new();
        let mut time_points = Vec::new();
        for count in STATE_COUNTS {
            let (memory_kib, micros) = measure_table(kind, count)?;
            memory_points.push((count as f64, memory_kib * 1024.0));
            time_points.push((count as f64, micros));
        }
        let line = FittedLine::through(&memory_points);
        bytes.push(line.slope);
        fit = fit.min(line.fit);
        times.push(FittedLine::through(&time_points).slope);
    }
    println!("| {kind} | {bytes} | {times:.2} | {fit:.3} |");
    Ok(())
}

/// Runs [`print_table`] in a new process and returns the resident memory in KiB and the processor
/// time in microseconds.
fn measure_table(kind: &str, count: usize) -> Result<(f64, f64), BenchError> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["state", "--kind", kind, "--count", &count.to_string()]);
    let output = String::from_utf8(command.output()?.stdout)?;
    let mut numbers = output.split_whitespace().map(str::parse::<f64>);
    match (numbers.next(), numbers.next()) {
        (Some(Ok(memory_kib)), Some(Ok(micros))) => Ok((memory_kib, micros)),
        _ => Err(format!("unexpected output for table {kind}: {output:?}").into()),
    }
}

/// Builds one table and prints the resident memory it takes in KiB and the processor time to build
/// it in microseconds.
///
/// Fails if there is no table of this kind.
pub fn print_table(kind: &str, count: usize) -> Result<(), BenchError> {
    let found = STATE_KINDS.iter().find(|known| known.name == kind);
    let build = found.ok_or_else(|| format!("no such table: {kind}"))?.build;
    let before = machine::resident_kib(std::process::id());
    let started = thread_time();
    let table = build(count);
    let micros = (thread_time() - started).as_micros();
    println!("{} {micros}", machine::resident_kib(std::process::id()) - before);
    drop(table);
    Ok(())
}

fn print_idle(
    name: &str,
    counts: &[usize],
    start: impl Fn(usize) -> std::io::Result<TrialSite>,
) -> Result<(), BenchError> {
    let mut bases = RepeatedFigure::default();
    let mut slopes = RepeatedFigure::default();
    let mut memory = RepeatedFigure::default();
    let mut fit = 1.0_f64;
    for _ in 0..REPETITIONS {
        let mut time_points = Vec::new();
        let mut memory_points = Vec::new();
        for &count in counts {
            let (micros, memory_kib) = idle_cost(&start(count)?);
            time_points.push((count as f64, micros));
            memory_points.push((count as f64, memory_kib));
        }
        let line = FittedLine::through(&time_points);
        bases.push(line.intercept);
        slopes.push(line.slope);
        fit = fit.min(line.fit);
        memory.push(FittedLine::through(&memory_points).slope);
    }
    println!("| {name} | {bases:.0} | {slopes:.0} | {memory} | {fit:.3} |");
    Ok(())
}

/// Returns the processor time per second in microseconds and the resident memory in KiB, averaged
/// over all nodes.
fn idle_cost(site: &TrialSite) -> (f64, f64) {
    std::thread::sleep(SETTLE_TIME);
    let pids: Vec<u32> = site.nodes.iter().map(|node| node.process.id()).collect();
    let used = || pids.iter().map(|&pid| processor_time(pid)).sum::<Duration>();
    let before = used();
    std::thread::sleep(IDLE_DURATION);
    let micros = (used() - before).as_secs_f64() * 1e6 / IDLE_DURATION.as_secs_f64();
    let memory_kib: u64 = pids.iter().map(|&pid| machine::resident_kib(pid)).sum();
    let count = pids.len() as f64;
    (micros / count, memory_kib as f64 / count)
}

fn start_site(nodes: usize, upstreams: usize) -> std::io::Result<TrialSite> {
    let mut site = TrialSite::start()?;
    for _ in 0..upstreams {
        site.add_engine("drafter", "a", &[])?;
    }
    for index in 0..nodes {
        site.add_node(["a", "b", "c"][index % 3], &[])?;
    }
    site.wait_ready();
    Ok(site)
}
