//! Demand of the services at this node.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_wire::ClassDemand;

use crate::clock::RuntimeClock;

/// Length of one bucket of arrivals.
const BUCKET: Duration = Duration::from_millis(500);

/// Buckets over which demand is averaged: two seconds, so that a burst shows while it lasts.
const BUCKETS: u64 = 4;

/// Work that arrived, by service.
#[derive(Debug)]
pub struct DemandLedger {
    clock: RuntimeClock,
    arrivals: RefCell<HashMap<SharedName, VecDeque<WorkBucket>>>,
}

#[derive(Clone, Copy, Debug)]
struct WorkBucket {
    index: u64,
    work: u64,
}

impl DemandLedger {
    /// An empty ledger.
    pub fn new(clock: RuntimeClock) -> Self {
        Self { clock, arrivals: RefCell::default() }
    }

    /// Notes the work of a request that arrived.
    pub fn note(&self, service: &SharedName, work: u64) {
        let index = self.present();
        let mut arrivals = self.arrivals.borrow_mut();
        let buckets = arrivals.entry(service.clone()).or_default();
        match buckets.back_mut() {
            Some(bucket) if bucket.index == index => bucket.work += work,
            _ => buckets.push_back(WorkBucket { index, work }),
        }
        while buckets.front().is_some_and(|bucket| bucket.index + BUCKETS < index) {
            buckets.pop_front();
        }
    }

    /// Work that arrived in a second, by service, over the last whole buckets.
    pub fn work_per_second(&self) -> Vec<(SharedName, f64)> {
        let present = self.present();
        let seconds = BUCKET.as_secs_f64() * BUCKETS as f64;
        let arrivals = self.arrivals.borrow();
        let demand = arrivals.iter().map(|(service, buckets)| {
            let counted = buckets
                .iter()
                .filter(|bucket| bucket.index < present && bucket.index + BUCKETS >= present);
            let work: u64 = counted.map(|bucket| bucket.work).sum();
            (service.clone(), work as f64 / seconds)
        });
        demand.collect()
    }

    /// Demand for other nodes.
    pub fn message(&self) -> Vec<ClassDemand> {
        let demand = self.work_per_second().into_iter().filter(|(_, work)| *work > 0.0);
        let message = |(service, work): (SharedName, f64)| ClassDemand {
            service: service.to_string(),
            work_per_second: work as u64,
            refused_permille: 0,
        };
        demand.map(message).collect()
    }

    fn present(&self) -> u64 {
        (self.clock.now().as_millis() / BUCKET.as_millis()) as u64
    }
}
