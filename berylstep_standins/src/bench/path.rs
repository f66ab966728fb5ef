//! Overhead of the request path through one node: latency, processor time and memory.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylstep_http::ExchangeError;

use super::figures::{DurationSamples, FittedLine, RepeatedFigure};
use super::machine::{processor_time, resident_kib};
use super::probe::ProbeCaller;
use super::trial::{self, CALLER_KEY};
use super::{machine, streams};
use crate::site::TrialSite;

/// Repetitions of each measurement.
const REPETITIONS: usize = 5;

/// Timed calls of each kind per repetition.
const CALLS: usize = 2_000;

/// Output tokens of a timed streamed call.
const STREAM_TOKENS: u64 = 4;

/// Streams held open while latency is measured.
const OPEN_STREAMS: usize = 200;

/// Token interval of streams held open while latency is measured, in milliseconds.
const STREAM_TOKEN_MS: u64 = 50;

/// Token interval of streams held open while memory is measured, in milliseconds.
const IDLE_TOKEN_MS: u64 = 250;

/// Numbers of open streams at which memory is sampled.
const MEMORY_STEPS: &[usize] = &[0, 200, 400, 800];

/// Delay between the first data on all streams and a memory sample.
const MEMORY_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Number of concurrent callers under load.
const LOAD_CALLERS: usize = 16;

/// Duration of the load in each repetition.
const LOAD_DURATION: Duration = Duration::from_secs(2);

type BenchError = Box<dyn std::error::Error>;

/// Measures and prints all figures of the request path.
///
/// Fails if the site cannot be started or a call fails.
pub fn run() -> Result<(), BenchError> {
    println!("machine: {}", machine::description());
    println!("figures: median of {REPETITIONS} repetitions (lowest to highest)");
    let site = trial::start(STREAM_TOKEN_MS)?;
    let node = site.nodes[0].caller_address;
    print_latency("no open streams", &site)?;
    let background = streams::start(node, OPEN_STREAMS)?;
    print_latency(&format!("{OPEN_STREAMS} open streams"), &site)?;
    drop(background);
    print_requests_per_core(&site)?;
    drop(site);
    print_memory()?;
    println!("load average at the end: {}", machine::load_average());
    Ok(())
}

/// Prints the latency of direct and forwarded calls, and their difference.
fn print_latency(condition: &str, site: &TrialSite) -> Result<(), BenchError> {
    let (engine, node) = (site.upstreams[0].address, site.nodes[0].caller_address);
    for (kind, stream, tokens) in [("whole", false, 1), ("first event", true, STREAM_TOKENS)] {
        let mut figures: [RepeatedFigure; 6] = Default::default();
        for _ in 0..REPETITIONS {
            let (direct, forwarded) =
                smol::block_on(measure_interleaved(engine, node, stream, tokens))?;
            for (index, quantile) in [0.5, 0.99].into_iter().enumerate() {
                let pair = [direct.quantile_us(quantile), forwarded.quantile_us(quantile)];
                figures[index].push(pair[0]);
                figures[2 + index].push(pair[1]);
                figures[4 + index].push(pair[1] - pair[0]);
            }
        }
        let [direct_50, direct_99, node_50, node_99, added_50, added_99] = figures;
        println!("{condition}, {kind}, {CALLS} calls each, in us:");
        println!("  direct p50 {direct_50}  p99 {direct_99}");
        println!("  node   p50 {node_50}  p99 {node_99}");
        println!("  added  p50 {added_50}  p99 {added_99}");
    }
    Ok(())
}

/// Alternates between direct and forwarded calls and returns the samples of each.
async fn measure_interleaved(
    engine: SocketAddr,
    node: SocketAddr,
    stream: bool,
    tokens: u64,
) -> Result<(DurationSamples, DurationSamples), ExchangeError> {
    let body = trial::probe_body(stream, tokens);
    let mut callers = [engine, node].map(|address| ProbeCaller::new(address, CALLER_KEY));
    let mut samples = [DurationSamples::default(), DurationSamples::default()];
    for _ in 0..CALLS {
        for (caller, samples) in callers.iter_mut().zip(&mut samples) {
            let timing = caller.call(&body).await?;
            assert_eq!(timing.status, 200, "timed calls must succeed");
            samples.push(if stream { timing.first } else { timing.total });
        }
    }
    let [direct, forwarded] = samples;
    Ok((direct, forwarded))
}

/// Prints the number of requests per second of the node's processor time.
fn print_requests_per_core(site: &TrialSite) -> Result<(), BenchError> {
    let node = &site.nodes[0];
    let idle = idle_processor_share(node.process.id());
    println!("node without requests: {:.2}% of a core", idle * 100.0);
    for (kind, stream, tokens) in [("whole", false, 1), ("streamed, 64 tokens", true, 64)] {
        let mut figure = RepeatedFigure::default();
        for _ in 0..REPETITIONS {
            let before = processor_time(node.process.id());
            let answered = smol::block_on(run_load(node.caller_address, stream, tokens))?;
            let used = processor_time(node.process.id()) - before;
            figure.push(answered as f64 / used.as_secs_f64());
        }
        println!("requests per processor second, {kind}, {LOAD_CALLERS} callers: {figure}");
    }
    Ok(())
}

fn idle_processor_share(pid: u32) -> f64 {
    let before = processor_time(pid);
    std::thread::sleep(LOAD_DURATION);
    (processor_time(pid) - before).as_secs_f64() / LOAD_DURATION.as_secs_f64()
}

/// Loads the node with [`LOAD_CALLERS`] closed-loop callers; returns the number of answers.
async fn run_load(node: SocketAddr, stream: bool, tokens: u64) -> Result<usize, ExchangeError> {
    let end = Instant::now() + LOAD_DURATION;
    let call_until_end = move || async move {
        let body = trial::probe_body(stream, tokens);
        let mut caller = ProbeCaller::new(node, CALLER_KEY);
        let mut answered = 0;
        while Instant::now() < end {
            let timing = caller.call(&body).await?;
            assert_eq!(timing.status, 200, "calls under load must succeed");
            answered += 1;
        }
        Ok(answered)
    };
    let tasks: Vec<_> = (0..LOAD_CALLERS).map(|_| smol::spawn(call_until_end())).collect();
    let mut answered = 0;
    for task in tasks {
        answered += task.await?;
    }
    Ok(answered)
}

/// Prints the memory that each open stream adds to a newly started node.
///
/// Fails if a process cannot be started.
pub fn print_memory() -> Result<(), BenchError> {
    let mut site = trial::start(IDLE_TOKEN_MS)?;
    let mut slopes = RepeatedFigure::default();
    let mut bases = RepeatedFigure::default();
    for repetition in 0..REPETITIONS {
        trial::restart_node(&mut site)?;
        let node = &site.nodes[0];
        let mut held = Vec::new();
        let mut points = Vec::new();
        for &count in MEMORY_STEPS {
            let more = count - points.last().map_or(0, |&(open, _)| open as usize);
            if more > 0 {
                held.push(streams::start(node.caller_address, more)?);
            }
            std::thread::sleep(MEMORY_SETTLE_TIME);
            points.push((count as f64, resident_kib(node.process.id()) as f64));
        }
        let line = FittedLine::through(&points);
        println!("memory {repetition}: (streams, KiB) {points:?} fit {:.3}", line.fit);
        slopes.push(line.slope);
        bases.push(line.intercept);
    }
    println!("memory of a node in KiB: {bases}; for each open stream: {slopes}");
    Ok(())
}
