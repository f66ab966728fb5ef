//! Service-level burn: how fast each class uses up the misses that its target allows.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Length of the buckets that serve the short windows.
pub const FINE_BUCKET: Duration = Duration::from_secs(60);

/// Length of the buckets that serve the long windows.
pub const COARSE_BUCKET: Duration = Duration::from_secs(30 * 60);

const FINE_BUCKETS: usize = 60;
const COARSE_BUCKETS: usize = 144;

/// Windows of a report, shortest first.
pub const BURN_WINDOWS: [BurnWindow; 4] = [
    BurnWindow { name: "5m", length: Duration::from_secs(5 * 60) },
    BurnWindow { name: "1h", length: Duration::from_secs(60 * 60) },
    BurnWindow { name: "6h", length: Duration::from_secs(6 * 60 * 60) },
    BurnWindow { name: "3d", length: Duration::from_secs(3 * 24 * 60 * 60) },
];

/// A span of time up to now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BurnWindow {
    /// Name in reports.
    pub name: &'static str,
    /// Length.
    pub length: Duration,
}

/// Whether one request met its class's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// First byte in time, and the answer was whole.
    Met,
    /// Late, refused for want of capacity, failed or broken off.
    Missed,
}

/// Requests of one class in some span of time.
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
    /// [`FINE_BUCKET`].
    Fine,
    /// [`COARSE_BUCKET`].
    Coarse,
}

/// One bucket on its way to another node, whose clock starts elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgedBucket {
    /// Class.
    pub class: SharedName,
    /// Length of the bucket.
    pub kind: BucketKind,
    /// Number of buckets that have begun since this one.
    pub age: u64,
    /// Requests.
    pub count: BurnCount,
}

/// Outcomes by class, in buckets of time.
#[derive(Clone, Debug, Default)]
pub struct BurnTable {
    classes: HashMap<SharedName, ClassBuckets>,
}

#[derive(Clone, Debug)]
struct ClassBuckets {
    fine: BucketRing,
    coarse: BucketRing,
}

/// The newest buckets of one length; a bucket's slot is its index modulo the size.
#[derive(Clone, Debug)]
struct BucketRing {
    bucket: Duration,
    slots: Vec<(u64, BurnCount)>,
}

impl BurnCount {
    /// Adds one request.
    pub fn add(&mut self, outcome: TargetOutcome) {
        match outcome {
            TargetOutcome::Met => self.met += 1,
            TargetOutcome::Missed => self.missed += 1,
        }
    }

    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.met += other.met;
        self.missed += other.missed;
    }

    /// Fraction of requests that met the target; `None` without requests.
    pub fn attainment(&self) -> Option<f64> {
        let total = self.met + self.missed;
        (total > 0).then(|| self.met as f64 / total as f64)
    }

    /// Misses as a multiple of those that the `wanted` attainment allows; `None` without requests.
    ///
    /// At 1 the allowed misses are used up exactly at the end of the window.
    pub fn burn_rate(&self, wanted: f64) -> Option<f64> {
        let missed = 1.0 - self.attainment()?;
        Some(missed / (1.0 - wanted).max(f64::EPSILON))
    }
}

impl BurnTable {
    /// Counts one request of `class` that ended at `now`.
    pub fn record(&mut self, now: Duration, class: &SharedName, outcome: TargetOutcome) {
        let buckets = self.classes.entry(class.clone()).or_insert_with(ClassBuckets::new);
        buckets.fine.record(now, outcome);
        buckets.coarse.record(now, outcome);
    }

    /// Counts of every class and window up to `now`, in no particular order.
    pub fn counts(&self, now: Duration) -> impl Iterator<Item = (&SharedName, WindowCounts)> {
        self.classes.iter().map(move |(class, buckets)| (class, buckets.counts(now)))
    }

    /// All buckets that are not empty, with their ages at `now`.
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

    /// Forgets classes that `is_known` does not hold.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.classes.retain(|class, _| is_known(class));
    }
}

impl ClassBuckets {
    fn new() -> Self {
        Self {
            fine: BucketRing::new(FINE_BUCKET, FINE_BUCKETS),
            coarse: BucketRing::new(COARSE_BUCKET, COARSE_BUCKETS),
        }
    }

    fn counts(&self, now: Duration) -> WindowCounts {
        let fine_span = FINE_BUCKET * FINE_BUCKETS as u32;
        BURN_WINDOWS.map(|window| match window.length <= fine_span {
            true => self.fine.sum(now, window.length),
            false => self.coarse.sum(now, window.length),
        })
    }
}

impl BucketRing {
    fn new(bucket: Duration, size: usize) -> Self {
        Self { bucket, slots: vec![(0, BurnCount::default()); size] }
    }

    /// Index of the bucket that holds `time`; counted from `slots.len()`, so that buckets older
    /// than the node's clock have an index too.
    fn index(&self, time: Duration) -> u64 {
        (time.as_millis() / self.bucket.as_millis()) as u64 + self.slots.len() as u64
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
            let is_kept = age < self.slots.len() as u64;
            if is_kept && *count != BurnCount::default() {
                aged.push(AgedBucket { class: class.clone(), kind, age, count: *count });
            }
        }
    }

    fn import(&mut self, now: Duration, bucket: &AgedBucket) {
        let is_kept = bucket.age < self.slots.len() as u64;
        if let (true, Some(index)) = (is_kept, self.index(now).checked_sub(bucket.age)) {
            self.merge(index, &bucket.count);
        }
    }

    /// Sums the present bucket and those before it that make up `length`.
    fn sum(&self, now: Duration, length: Duration) -> BurnCount {
        let newest = self.index(now);
        let buckets = (length.as_millis() / self.bucket.as_millis()) as u64;
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
