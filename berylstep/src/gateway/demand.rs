//! Demand for the services, measured at this node and summed over the fleet.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::choice::{GroupSplit, RequestSize};
use berylstep_core::fleet::engine::{EngineEstimator, EngineSpeed};
use berylstep_wire::ClassDemand;

use crate::clock::RuntimeClock;

/// Length of one bucket of arrivals.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// Number of buckets over which demand is averaged; two seconds, so that a burst is visible while
/// it lasts.
const BUCKETS: u64 = 4;

/// Arrival rate of work, in prompt tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkRate {
    /// Rate of all requests.
    pub total: f64,
    /// Rate of requests with short prompts.
    pub short: f64,
}

/// Arrived work and split of the replicas, by service.
#[derive(Debug)]
pub struct DemandLedger {
    clock: RuntimeClock,
    arrivals: RefCell<HashMap<SharedName, VecDeque<WorkBucket>>>,
    splits: RefCell<HashMap<SharedName, GroupSplit>>,
    engines: RefCell<HashMap<SharedName, EngineEstimator>>,
}

#[derive(Clone, Copy, Debug)]
struct WorkBucket {
    index: u64,
    total: u64,
    short: u64,
}

impl DemandLedger {
    /// Creates an empty ledger.
    pub fn new(clock: RuntimeClock) -> Self {
        Self {
            clock,
            arrivals: RefCell::default(),
            splits: RefCell::default(),
            engines: RefCell::default(),
        }
    }

    /// Returns the estimated speed of a service's engines, which have this number of slots if it is
    /// known.
    pub fn engine_speed(&self, service: &str, slots: Option<u32>) -> EngineSpeed {
        let engines = self.engines.borrow();
        engines.get(service).map_or_else(
            || EngineEstimator::default().speed(slots),
            |estimator| estimator.speed(slots),
        )
    }

    /// Returns the time to the first token that is expected of a request that does not wait for others.
    pub fn expected_first_token(&self, service: &str, prompt: u64) -> Duration {
        let engines = self.engines.borrow();
        let expected = |estimator: &EngineEstimator| estimator.expected_first_token(prompt);
        engines.get(service).map_or_else(|| expected(&EngineEstimator::default()), expected)
    }

    /// Records the time to the first token of a request that did not wait for others.
    pub fn record_first_token(&self, service: &SharedName, prompt: u64, elapsed: Duration) {
        let mut engines = self.engines.borrow_mut();
        engines.entry(service.clone()).or_default().record_first_token(prompt, elapsed);
    }

    /// Records the time between the first and the last of `tokens` output tokens of a request.
    pub fn record_output(&self, service: &SharedName, tokens: u64, elapsed: Duration) {
        let mut engines = self.engines.borrow_mut();
        engines.entry(service.clone()).or_default().record_output(tokens, elapsed);
    }

    /// Records the arrival of a request for engines of this speed.
    pub fn record_arrival(
        &self,
        service: &SharedName,
        size: Option<RequestSize>,
        speed: EngineSpeed,
    ) {
        let index = self.current_bucket();
        let work = RequestSize::work(size, speed);
        let is_short = size.is_some_and(|size| size.is_short(speed));
        let short = if is_short { work } else { 0 };
        let mut arrivals = self.arrivals.borrow_mut();
        let buckets = arrivals.entry(service.clone()).or_default();
        match buckets.back_mut() {
            Some(bucket) if bucket.index == index => {
                bucket.total += work;
                bucket.short += short;
            }
            _ => buckets.push_back(WorkBucket { index, total: work, short }),
        }
        while buckets.front().is_some_and(|bucket| bucket.index + BUCKETS < index) {
            buckets.pop_front();
        }
    }

    /// Returns the demand at this node, averaged over the last complete buckets.
    pub fn rate(&self, service: &str) -> WorkRate {
        let current = self.current_bucket();
        let seconds = BUCKET_LENGTH.as_secs_f64() * BUCKETS as f64;
        let arrivals = self.arrivals.borrow();
        let counted = arrivals
            .get(service)
            .into_iter()
            .flatten()
            .filter(|bucket| bucket.index < current && bucket.index + BUCKETS >= current);
        let sum = counted
            .fold((0, 0), |(total, short), bucket| (total + bucket.total, short + bucket.short));
        WorkRate { total: sum.0 as f64 / seconds, short: sum.1 as f64 / seconds }
    }

    /// Encodes the demand at this node for its pulses.
    pub fn message(&self) -> Vec<ClassDemand> {
        let services: Vec<SharedName> = self.arrivals.borrow().keys().cloned().collect();
        let rates = services.into_iter().map(|service| (self.rate(&service), service));
        let demand =
            rates.filter(|(rate, _)| rate.total > 0.0).map(|(rate, service)| ClassDemand {
                service: service.to_string(),
                work_per_second: rate.total as u64,
                short_work_per_second: rate.short as u64,
            });
        demand.collect()
    }

    /// Returns the sum of the demand at this node and that reported by `others`.
    pub fn total_rate<'a>(
        &self,
        service: &str,
        others: impl Iterator<Item = &'a ClassDemand>,
    ) -> WorkRate {
        let reported = others.filter(|demand| demand.service == service);
        reported.fold(self.rate(service), |sum, demand| WorkRate {
            total: sum.total + demand.work_per_second as f64,
            short: sum.short + demand.short_work_per_second as f64,
        })
    }

    /// Adjusts the split of a service's replicas between short and long prompts to the demand of
    /// all nodes.
    pub fn update_split(&self, service: &SharedName, rate: WorkRate) {
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(service.clone()).or_default();
        let before = split.short_share();
        split.update(rate.short, rate.total - rate.short);
        let after = split.short_share();
        if before != after {
            log::info!(
                "event=group_border_moved service={service} short_share={after:.3} \
                 previous={before:.3} work_per_second={:.0}",
                rate.total
            );
        }
    }

    /// Returns the share of a service's replicas that is reserved for short prompts, from 0 to 1.
    pub fn short_share(&self, service: &str) -> f64 {
        self.splits.borrow().get(service).copied().unwrap_or_default().short_share()
    }

    fn current_bucket(&self) -> u64 {
        (self.clock.now().as_millis() / BUCKET_LENGTH.as_millis()) as u64
    }
}
