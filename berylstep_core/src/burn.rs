//! Burn rates: how fast each class uses up the error budget of its service level target.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Length of the buckets for the short windows.
pub const FINE_BUCKET: Duration = Duration::from_secs(60);

/// Length of the buckets for the long windows.
pub const COARSE_BUCKET: Duration = Duration::from_secs(30 * 60);

const FINE_BUCKET_COUNT: usize = 60;
const COARSE_BUCKET_COUNT: usize = 144;

/// Windows for which burn rates are reported, shortest first.
pub const BURN_WINDOWS: [BurnWindow; 4] = [
    BurnWindow { name: "5m", length: Duration::from_secs(5 * 60) },
    BurnWindow { name: "1h", length: Duration::from_secs(60 * 60) },
    BurnWindow { name: "6h", length: Duration::from_secs(6 * 60 * 60) },
    BurnWindow { name: "3d", length: Duration::from_secs(3 * 24 * 60 * 60) },
];

/// A time window that ends now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BurnWindow {
    /// Name in reports.
    pub name: &'static str,
    /// Length of the window.
    pub length: Duration,
}

/// Whether one request met its class's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The first byte arrived in time and the response was complete.
    Met,
    /// The request was late, rejected for lack of capacity, failed or aborted.
    Missed,
}

/// Request outcomes of one class within a time span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BurnCount {
    /// Requests that met the target.
    pub met: u64,
    /// Requests that missed it.
    pub missed: u64,
}

/// Counts of one class for each of [`BURN_WINDOWS`].
pub type WindowCounts = [BurnCount; BURN_WINDOWS.len()];

/// Length of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BucketKind {
    /// Length [`FINE_BUCKET`].
    Fine,
    /// Length [`COARSE_BUCKET`].
    Coarse,
}

/// A bucket exported to another node, identified by its age because the nodes' clocks differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgedBucket {
    /// Class of the requests.
    pub class: SharedName,
    /// Length of the bucket.
    pub kind: BucketKind,
    /// Number of buckets of this length that started after this one.
    pub age: u64,
    /// Request outcomes in the bucket.
    pub count: BurnCount,
}

/// Request outcomes by class, in time buckets.
#[derive(Clone, Debug, Default)]
pub struct BurnTable {
    classes: HashMap<SharedName, ClassBuckets>,
}

#[derive(Clone, Debug)]
struct ClassBuckets {
    fine: BucketRing,
    coarse: BucketRing,
}

/// Ring buffer of the newest buckets of one length; a bucket's slot is its index modulo the size.
#[derive(Clone, Debug)]
struct BucketRing {
    bucket_length: Duration,
    slots: Vec<(u64, BurnCount)>,
}

impl BurnCount {
    /// Adds the outcome of one request.
    pub fn add(&mut self, outcome: TargetOutcome) {
        match outcome {
            TargetOutcome::Met => self.met += 1,
            TargetOutcome::Missed => self.missed += 1,
        }
    }

    /// Adds the outcomes of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.met += other.met;
        self.missed += other.missed;
    }

    /// Returns the fraction of requests that met the target, or `None` without requests.
    pub fn attainment(&self) -> Option<f64> {
        let total = self.met + self.missed;
        (total > 0).then(|| self.met as f64 / total as f64)
    }

    /// Returns the misses as a multiple of those that a `target` attainment in (0, 1) allows, or
    /// `None` without requests.
    ///
    /// At a rate of 1, the error budget is used up exactly at the end of the window.
    pub fn burn_rate(&self, target: f64) -> Option<f64> {
        let missed = 1.0 - self.attainment()?;
        Some(missed / (1.0 - target).max(f64::EPSILON))
    }
}

impl BurnTable {
    /// Records the outcome of a request of `class` that ended at `now`.
    pub fn record(&mut self, now: Duration, class: &SharedName, outcome: TargetOutcome) {
        let buckets = self.classes.entry(class.clone()).or_insert_with(ClassBuckets::new);
        buckets.fine.record(now, outcome);
        buckets.coarse.record(now, outcome);
    }

    /// Returns the counts of each class for the windows that end at `now`, in no particular order.
    pub fn counts(&self, now: Duration) -> impl Iterator<Item = (&SharedName, WindowCounts)> {
        self.classes.iter().map(move |(class, buckets)| (class, buckets.counts(now)))
    }

    /// Returns all buckets that are not empty, with their ages at `now`.
    pub fn export(&self, now: Duration) -> Vec<AgedBucket> {
        let mut aged = Vec::new();
        for (class, buckets) in &self.classes {
            buckets.fine.export(now, class, BucketKind::Fine, &mut aged);
            buckets.coarse.export(now, class, BucketKind::Coarse, &mut aged);
        }
        aged
    }

    /// Adds buckets that another node exported just before `now`.
    pub fn import(&mut self, now: Duration, aged: &[AgedBucket]) {
        for bucket in aged {
            let buckets =
                self.classes.entry(bucket.class.clone()).or_insert_with(ClassBuckets::new);
            match bucket.kind {
                BucketKind::Fine => buckets.fine.import(now, bucket),
                BucketKind::Coarse => buckets.coarse.import(now, bucket),
            }
        }
    }

    /// Removes the classes for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.classes.retain(|class, _| is_known(class));
    }
}

impl ClassBuckets {
    fn new() -> Self {
        Self {
            fine: BucketRing::new(FINE_BUCKET, FINE_BUCKET_COUNT),
            coarse: BucketRing::new(COARSE_BUCKET, COARSE_BUCKET_COUNT),
        }
    }

    fn counts(&self, now: Duration) -> WindowCounts {
        let fine_span = FINE_BUCKET * FINE_BUCKET_COUNT as u32;
        BURN_WINDOWS.map(|window| match window.length <= fine_span {
            true => self.fine.sum(now, window.length),
            false => self.coarse.sum(now, window.length),
        })
    }
}

impl BucketRing {
    fn new(bucket_length: Duration, size: usize) -> Self {
        Self { bucket_length, slots: vec![(0, BurnCount::default()); size] }
    }

    /// Returns the index of the bucket that contains `time`. Indexes start at `slots.len()`, so that
    /// imported buckets older than the node's clock have an index too.
    fn index(&self, time: Duration) -> u64 {
        (time.as_millis() / self.bucket_length.as_millis()) as u64 + self.slots.len() as u64
    }

    fn record(&mut self, now: Duration, outcome: TargetOutcome) {
        let mut count = BurnCount::default();
        count.add(outcome);
        self.merge(self.index(now), &count);
    }

    fn merge(&mut self, index: u64, count: &BurnCount) {
        let size = self.slots.len() as u64;
        let slot = &mut self.slots[(index % size) as usize];
        if slot.0 != index {
            *slot = (index, BurnCount::default());
        }
        slot.1.merge(count);
    }

    fn export(
        &self,
        now: Duration,
        class: &SharedName,
        kind: BucketKind,
        aged: &mut Vec<AgedBucket>,
    ) {
        let newest = self.index(now);
        for (index, count) in &self.slots {
            let age = newest.saturating_sub(*index);
            let is_recent = age < self.slots.len() as u64;
            if is_recent && *count != BurnCount::default() {
                aged.push(AgedBucket { class: class.clone(), kind, age, count: *count });
            }
        }
    }

    fn import(&mut self, now: Duration, bucket: &AgedBucket) {
        let is_recent = bucket.age < self.slots.len() as u64;
        if let (true, Some(index)) = (is_recent, self.index(now).checked_sub(bucket.age)) {
            self.merge(index, &bucket.count);
        }
    }

    /// Sums the current bucket and the preceding ones that together span `length`.
    fn sum(&self, now: Duration, length: Duration) -> BurnCount {
        let newest = self.index(now);
        let buckets = (length.as_millis() / self.bucket_length.as_millis()) as u64;
        let oldest = (newest + 1).saturating_sub(buckets);
        let mut sum = BurnCount::default();
        for (index, count) in &self.slots {
            if (oldest..=newest).contains(index) {
                sum.merge(count);
            }
        }
        sum
    }
}
