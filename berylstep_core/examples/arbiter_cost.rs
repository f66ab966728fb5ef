//! Prints time and memory for an ask, a grant and a return at three queue lengths.

use std::time::{Duration, Instant};

use berylstep_core::arbiter::{PoolArbiter, ReplicaSpec, RequestKey, SlotDemand, SlotOutcome};
use berylstep_core::collections::SharedName;

/// Slots of the pool.
const SLOTS: u64 = 80;

/// Turns of a slot that are timed.
const TURNS: u64 = 20_000;

/// Waiting requests over all arbiters that are filled for one line.
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

    /// An arbiter with all slots in use, and the time that the asks after that took.
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
        let asked = SLOTS + self.waiting;
        let mut refill = Duration::ZERO;
        let start = Instant::now();
        for turn in 0..TURNS {
            let now = Duration::from_micros(2_000 + turn * 10);
            let slot = (turn % SLOTS) as usize;
            let key = RequestKey { node: self.node.clone(), request: held[slot] };
            arbiter.finish(now, &key, outcome);
            arbiter.tick(now);
            for decision in arbiter.take_decisions() {
                if let berylstep_core::arbiter::ArbiterDecision::Grant { key, .. } = decision {
                    held[slot] = key.request;
                }
            }
            let refill_start = Instant::now();
            arbiter.submit(now, self.demand(asked + turn));
            refill += refill_start.elapsed();
        }
        let turn = (start.elapsed() - refill) / TURNS as u32;
        let (ask, turn) = (ask.as_nanos() as f64 / 1e3, turn.as_nanos() as f64 / 1e3);
        let organisations = self.organisations.len();
        println!("{} {organisations} {ask:.2} {turn:.2} {bytes}", self.waiting);
    }
}

fn replica(index: u32, slots: u32) -> ReplicaSpec {
    ReplicaSpec { id: format!("r{index}").into(), slots, leaving: false }
}

/// Resident memory of this process.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
