//! Traces of open-loop arrivals, generated from a seed.

use std::time::Duration;

/// A request class of the benchmark.
#[derive(Clone, Copy, Debug)]
pub struct TrialClass {
    /// Name of the class.
    pub name: &'static str,
    /// Tier; 1 is the highest.
    pub tier: u8,
    /// Target time to the first token, in milliseconds.
    pub latency_ms: u64,
    /// Time after which a caller gives up, in milliseconds.
    pub deadline_ms: u64,
}

/// Request classes, in descending order of tier.
pub const CLASSES: [TrialClass; 3] = [
    TrialClass { name: "answers", tier: 1, latency_ms: 440, deadline_ms: 3_000 },
    TrialClass { name: "drafting", tier: 2, latency_ms: 1_000, deadline_ms: 5_000 },
    TrialClass { name: "batch", tier: 3, latency_ms: 3_000, deadline_ms: 6_000 },
];

/// Number of organisations; lower indices send more requests.
pub const ORGANISATIONS: usize = 10;

/// A Poisson flow of arrivals with a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalFlow {
    /// Index of the class.
    pub class: usize,
    /// Rate, in requests per second.
    pub rate: f64,
    /// Start of the flow, in milliseconds since the start of the trace.
    pub from_ms: u64,
    /// End of the flow, in milliseconds since the start of the trace.
    pub until_ms: u64,
    /// Organisation that sends all requests; `None` draws one for each request.
    pub organisation: Option<usize>,
    /// Node that gets all requests; `None` draws one for each request.
    pub node: Option<usize>,
}

/// A request of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceArrival {
    /// Arrival time, since the start of the trace.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the node.
    pub node: usize,
}

/// Returns the arrivals of all flows in order of time; nodes are drawn from `nodes`.
pub fn arrivals(seed: u64, flows: &[ArrivalFlow], nodes: &[usize]) -> Vec<TraceArrival> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    for flow in flows {
        let mut at = Duration::from_millis(flow.from_ms);
        loop {
            // Exponential interarrival times make a Poisson process.
            at += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / flow.rate);
            if at >= Duration::from_millis(flow.until_ms) {
                break;
            }
            let organisation = flow.organisation.unwrap_or_else(|| draw_organisation(&mut random));
            let node = flow.node.unwrap_or_else(|| nodes[random.usize(..nodes.len())]);
            arrivals.push(TraceArrival { at, class: flow.class, organisation, node });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Draws an organisation; index n has a weight of 1/(n+1).
fn draw_organisation(random: &mut fastrand::Rng) -> usize {
    let weight = |index: usize| 1.0 / (index + 1) as f64;
    let total: f64 = (0..ORGANISATIONS).map(weight).sum();
    let mut remaining = random.f64() * total;
    for index in 0..ORGANISATIONS {
        remaining -= weight(index);
        if remaining < 0.0 {
            return index;
        }
    }
    ORGANISATIONS - 1
}
