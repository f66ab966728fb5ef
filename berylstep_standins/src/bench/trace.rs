//! Seeded open-loop arrivals.

use std::time::Duration;

/// One class of the trial.
#[derive(Clone, Copy, Debug)]
pub struct TrialClass {
    /// Name.
    pub name: &'static str,
    /// Tier; 1 is the highest.
    pub tier: u8,
    /// Target for the first token, in milliseconds.
    pub latency_ms: u64,
    /// Time after which a caller leaves, in milliseconds.
    pub deadline_ms: u64,
}

/// Classes, from the highest tier down.
pub const CLASSES: [TrialClass; 3] = [
    TrialClass { name: "answers", tier: 1, latency_ms: 440, deadline_ms: 3_000 },
    TrialClass { name: "drafting", tier: 2, latency_ms: 1_000, deadline_ms: 5_000 },
    TrialClass { name: "batch", tier: 3, latency_ms: 3_000, deadline_ms: 6_000 },
];

/// Organisations; the first ones are larger.
pub const ORGANISATIONS: usize = 10;

/// A steady flow of arrivals.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalFlow {
    /// Index of the class.
    pub class: usize,
    /// Requests a second.
    pub rate: f64,
    /// First arrival, in milliseconds since the start.
    pub from_ms: u64,
    /// End of the flow, in milliseconds since the start.
    pub until_ms: u64,
    /// The only organisation that sends; `None` is all of them.
    pub organisation: Option<usize>,
    /// The only node that is called; `None` is all of them.
    pub node: Option<usize>,
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceArrival {
    /// Time since the start.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the node.
    pub node: usize,
}

/// Arrivals of all flows in the order of time; `nodes` are the nodes that may be called.
pub fn arrivals(seed: u64, flows: &[ArrivalFlow], nodes: &[usize]) -> Vec<TraceArrival> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    for flow in flows {
        let mut at = Duration::from_millis(flow.from_ms);
        loop {
            // Exponential gaps make a Poisson process.
            at += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / flow.rate);
            if at >= Duration::from_millis(flow.until_ms) {
                break;
            }
            let organisation = flow.organisation.unwrap_or_else(|| organisation(&mut random));
            let node = flow.node.unwrap_or_else(|| nodes[random.usize(..nodes.len())]);
            arrivals.push(TraceArrival { at, class: flow.class, organisation, node });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Chooses an organisation; number n is chosen in proportion to 1/(n+1).
fn organisation(random: &mut fastrand::Rng) -> usize {
    let weight = |index: usize| 1.0 / (index + 1) as f64;
    let total: f64 = (0..ORGANISATIONS).map(weight).sum();
    let mut left = random.f64() * total;
    for index in 0..ORGANISATIONS {
        left -= weight(index);
        if left < 0.0 {
            return index;
        }
    }
    ORGANISATIONS - 1
}
