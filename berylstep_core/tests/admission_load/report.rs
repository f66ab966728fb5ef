//! What became of the requests of a load.

use std::time::Duration;

/// What became of the requests of one source.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceReport {
    pub objective: Duration,
    /// Requests, without those that were sent again.
    pub asked: u32,
    pub served: u32,
    pub in_time: u32,
    pub refusals: u32,
    pub longest_hold: Duration,
    pub longest_refused_hold: Duration,
    /// Longest `Retry-After`, relative to the time that its caller had left.
    pub longest_retry_part: f64,
}

impl SourceReport {
    pub fn new(objective: Duration) -> Self {
        Self { objective, ..Self::default() }
    }

    pub fn record_refusal(&mut self, held: Duration, retry_part: f64) {
        self.refusals += 1;
        self.longest_refused_hold = self.longest_refused_hold.max(held);
        self.longest_retry_part = self.longest_retry_part.max(retry_part);
    }

    pub fn record_served(&mut self, first_event: Duration) {
        self.served += 1;
        self.in_time += u32::from(first_event <= self.objective);
    }

    pub fn part_served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }

    pub fn part_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// What became of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    pub sources: Vec<SourceReport>,
    /// Times at which requests were admitted.
    pub admitted: Vec<Duration>,
    pub most_requests: u32,
    /// Least requests in progress at a refusal, relative to the slots.
    pub least_requests_at_refusal: f64,
    /// Slots in use and slots there, summed over the time of the surges.
    pub slots_used: f64,
    pub slots_there: f64,
}

impl LoadReport {
    pub fn new(sources: Vec<SourceReport>) -> Self {
        Self {
            sources,
            admitted: Vec::new(),
            most_requests: 0,
            least_requests_at_refusal: f64::INFINITY,
            slots_used: 0.0,
            slots_there: 0.0,
        }
    }

    pub fn of(&self, index: usize) -> SourceReport {
        self.sources[index]
    }

    pub fn merged(&self, range: std::ops::Range<usize>) -> SourceReport {
        let sources = &self.sources[range];
        SourceReport {
            asked: sources.iter().map(|source| source.asked).sum(),
            served: sources.iter().map(|source| source.served).sum(),
            in_time: sources.iter().map(|source| source.in_time).sum(),
            refusals: sources.iter().map(|source| source.refusals).sum(),
            ..SourceReport::default()
        }
    }

    pub fn part_served(&self) -> f64 {
        self.merged(0..self.sources.len()).part_served()
    }

    pub fn refusals(&self) -> u32 {
        self.sources.iter().map(|source| source.refusals).sum()
    }

    pub fn longest_hold(&self) -> Duration {
        self.sources.iter().map(|source| source.longest_hold).max().unwrap_or_default()
    }

    /// Returns the requests that were admitted between two moments.
    pub fn admitted_between(&self, from: Duration, to: Duration) -> usize {
        self.admitted.iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Returns the part of the slots that was in use during the surges.
    pub fn used_part(&self) -> f64 {
        self.slots_used / self.slots_there
    }

    /// Returns a short account for messages of failed checks.
    pub fn summary(&self) -> String {
        let lines = self.sources.iter().map(|source| {
            format!(
                "asked {} served {:.3} in time {:.3} refusals {} hold {:?}",
                source.asked,
                source.part_served(),
                source.part_in_time(),
                source.refusals,
                source.longest_hold
            )
        });
        let lines: Vec<_> = lines.collect();
        format!("{}; at most {} requests", lines.join("; "), self.most_requests)
    }
}
