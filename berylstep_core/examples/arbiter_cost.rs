//! Benchmark of the arbiter: prints the time and memory of an ask, and the time of a return with the
//! next grant, at three queue lengths.

use std::time::{Duration, Instant};

use berylstep_core::arbiter::{PoolArbiter, ReplicaSpec, RequestKey, SlotDemand, SlotOutcome};
use berylstep_core::collections::SharedName;

/// Number of slots in the pool.
const SLOTS: u64 = 80;

/// Number of timed iterations, each a return and the next grant.
const ITERATIONS: u64 = 20_000;

/// Number of waiting requests in all arbiters that are filled for one line of output.
const ARBITER_REQUESTS: u64 = 40_000;

fn main() {
    println!("waiting organisations ask_us grant_return_us bytes_per_waiting");
    for (waiting, organisations) in [(40, 10), (400, 100), (4_000, 1_000)] {
        let bench = CostBench::new(waiting, organisations);
        bench.run();
    }
}

struct CostBench {
    waiting: u64,
    organisations: Vec<SharedName>,
    classes: Vec<SharedName>,
    node: SharedName,
}

impl CostBench {
    fn new(waiting: u64, organisations: usize) -> Self {
        let organisations = (0..organisations).map(|index| format!("org{index}").into()).collect();
        let classes = (0..6).map(|index| format!("class{index}").into()).collect();
        Self { waiting, organisations, classes, node: "n0".into() }
    }

    fn demand(&self, request: u64) -> SlotDemand {
        let class = (request % 6) as usize;
        let organisation = (request.wrapping_mul(7) as usize) % self.organisations.len();
        SlotDemand {
            key: RequestKey { node: self.node.clone(), request },
            tier: 1 + (class / 2) as u8,
            class: self.classes[class].clone(),
            organisation: self.organisations[organisation].clone(),
            arrived: Duration::ZERO,
            latency_target: Duration::from_secs(1),
            deadline: Duration::from_secs(10_000),
            max_tokens: Some(64),
            prefix_hash: request % 50,
            idempotent: true,
            preempted: false,
            excluded: Vec::new(),
        }
    }

    /// Returns an arbiter with all slots in use and a filled queue, and the time taken to queue.
    fn filled(&self) -> (PoolArbiter, Duration) {
        let specs: Vec<_> = (0..10).map(|index| replica(index, SLOTS as u32 / 10)).collect();
        let mut arbiter = PoolArbiter::default();
        arbiter.observe_replicas(Duration::ZERO, &specs);
        let now = Duration::from_millis(1);
        for request in 0..SLOTS {
            arbiter.submit(now, self.demand(request));
            arbiter.tick(now);
        }
        let start = Instant::now();
        for request in SLOTS..SLOTS + self.waiting {
            arbiter.submit(now, self.demand(request));
            arbiter.tick(now);
        }
        (arbiter, start.elapsed())
    }

    fn run(&self) {
        let before = resident_bytes();
        let filled = (0..ARBITER_REQUESTS / self.waiting).map(|_| self.filled());
        let filled: Vec<_> = filled.collect();
        let bytes = (resident_bytes() - before) / ARBITER_REQUESTS as usize;
        let ask: Duration = filled.iter().map(|(_, time)| *time).sum();
        let ask = ask / ARBITER_REQUESTS as u32;
        let Some((mut arbiter, _)) = filled.into_iter().next() else { return };
        let mut held: Vec<_> = (0..SLOTS).collect();
        arbiter.take_decisions();
        let outcome = SlotOutcome { tokens: 60, failed: false, abandoned: false };
        let first_new = SLOTS + self.waiting;
        let mut refill = Duration::ZERO;
        let start = Instant::now();
        for iteration in 0..ITERATIONS {
            let now = Duration::from_micros(2_000 + iteration * 10);
            let slot = (iteration % SLOTS) as usize;
            let key = RequestKey { node: self.node.clone(), request: held[slot] };
            arbiter.finish(now, &key, outcome);
            arbiter.tick(now);
            for decision in arbiter.take_decisions() {
                if let berylstep_core::arbiter::ArbiterDecision::Grant { key, .. } = decision {
                    held[slot] = key.request;
                }
            }
            let refill_start = Instant::now();
            arbiter.submit(now, self.demand(first_new + iteration));
            refill += refill_start.elapsed();
        }
        let grant_return = (start.elapsed() - refill) / ITERATIONS as u32;
        let (ask, grant_return) =
            (ask.as_nanos() as f64 / 1e3, grant_return.as_nanos() as f64 / 1e3);
        let organisations = self.organisations.len();
        println!("{} {organisations} {ask:.2} {grant_return:.2} {bytes}", self.waiting);
    }
}

fn replica(index: u32, slots: u32) -> ReplicaSpec {
    ReplicaSpec { id: format!("r{index}").into(), slots, leaving: false }
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
