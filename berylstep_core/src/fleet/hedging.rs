//! Hedged requests: a second attempt where the first is slower than almost all others of its kind.
//!
//! The delay is a quantile of the time to the response, learnt by each node from its own requests. Attempts
//! that are cancelled, because another one has responded or their caller has left, are censored samples: they
//! are known to take longer than they were waited for. Left out, they would make the quantile too low, since
//! it is slow attempts that are cancelled, and a lower quantile cancels ever more. The product-limit estimator
//! (Kaplan and Meier) takes them into account.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::fleet::choice::RequestSize;
use crate::fleet::desired::RouteKind;

/// Weight of recent responses from which a quantile is known. With fewer, the 0.95 quantile is the largest
/// or the second largest sample.
const MIN_WEIGHT: f64 = 30.0;

/// Time in which the weight of a sample falls to 1/e.
const MEMORY: Duration = Duration::from_secs(2);

/// Weight below which samples are not decayed by time, so that a node with few requests reaches
/// [`MIN_WEIGHT`]; only newer samples displace them.
const KEPT_WEIGHT: f64 = 40.0;

/// Time without a sample after which earlier ones are dropped.
const STALE_AFTER: Duration = Duration::from_secs(30);

/// Shortest interval between decays of the samples.
const DECAY_INTERVAL: Duration = Duration::from_millis(100);

/// Upper bound of the first bucket of the histogram.
const FIRST_BUCKET: Duration = Duration::from_millis(1);

/// Ratio of the upper bounds of consecutive buckets, the relative error of a quantile.
const BUCKET_RATIO: f64 = 1.1;

/// Number of buckets; the last one begins beyond 80 s.
const BUCKETS: usize = 120;

/// Shortest delay of a hedge; about what a new connection to another zone takes.
const MIN_DELAY: Duration = Duration::from_millis(10);

/// Range in which the pace of a replica scales a delay. A wrong pace must neither send each request twice nor
/// put off all hedges.
const PACE_RANGE: (f64, f64) = (0.25, 4.0);

/// Hedges that all nodes together may save up for a burst; each node may save one if there are more nodes.
const FLEET_BURST: f64 = 32.0;

/// Share of the slots in use above which room is short. Beyond it requests soon wait for each other, and
/// a second attempt delays others by as much as it gains.
const MAX_SLOT_USE: f64 = 0.75;

/// Settings of hedging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeBounds {
    /// Hedges allowed per request; 0 switches hedging off.
    pub ratio: f64,
    /// Quantile of the time to the response after which a request is hedged.
    pub quantile: f64,
}

/// Requests whose times to the response are comparable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeKind {
    route: RouteKind,
    /// Logarithm to the base 4 of the prompt length; `None` for a service that is not a model.
    size_class: Option<u32>,
}

impl HedgeKind {
    /// Returns the kind of a request to a route of kind `route`; `size` is that of a model request.
    pub fn new(route: RouteKind, size: Option<RequestSize>) -> Self {
        Self { route, size_class: size.map(|size| size.prompt.max(1).ilog2() / 2) }
    }
}

/// A request in progress that has shown no response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeAsk<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Kind of the request.
    pub kind: HedgeKind,
    /// Pace of its replica, see [`crate::fleet::pace`].
    pub pace: f64,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Whether requests wait for room at this node or at the replicas.
    pub is_room_short: bool,
}

/// Decision on a hedge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgeVerdict {
    /// A second attempt may be sent once the first has had no response for this time.
    After(Duration),
    /// No second attempt is sent, for this reason.
    Denied(HedgeDenial),
}

/// Why no second attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDenial {
    /// Hedging is switched off.
    Off,
    /// Too few responses of this kind are known.
    Unknown,
    /// The share of hedges has been used up.
    Budget,
    /// Room is short.
    Room,
    /// The deadline comes before a second attempt could end.
    Deadline,
    /// No other replica may take the request.
    Replica,
    /// The retry budget of the service has been used up.
    Retries,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The replica responded.
    Responded,
    /// Nobody waits for the response any more.
    Cancelled,
}

/// What an attempt says about the time to the response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSample {
    /// Kind of the request.
    pub kind: HedgeKind,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Time from its start to its end.
    pub elapsed: Duration,
    /// Pace of its replica when it began.
    pub pace: f64,
}

/// Returns whether room is short at replicas with this many requests in progress and slots.
pub fn is_room_short(requests: u64, slots: u64) -> bool {
    requests as f64 > slots as f64 * MAX_SLOT_USE
}

/// Response times and hedge budgets of this node's requests.
#[derive(Debug, Default)]
pub struct HedgeLedger {
    services: HashMap<SharedName, ServiceHedges>,
}

#[derive(Debug, Default)]
struct ServiceHedges {
    /// Hedges that may be sent now. Each request adds to them; they don't depend on time.
    tokens: f64,
    kinds: Vec<(HedgeKind, ResponseTimes)>,
}

impl HedgeLedger {
    /// Records a request of this node, which is one of `nodes`.
    pub fn record_request(&mut self, service: &SharedName, bounds: &HedgeBounds, nodes: usize) {
        let burst = (FLEET_BURST / nodes.max(1) as f64).max(1.0);
        let hedges = self.services.entry(service.clone()).or_default();
        hedges.tokens = (hedges.tokens + bounds.ratio).min(burst);
    }

    /// Records an attempt that has ended.
    pub fn record_attempt(&mut self, service: &SharedName, sample: &AttemptSample, now: Duration) {
        let AttemptSample { kind, end, elapsed, pace } = *sample;
        let hedges = self.services.entry(service.clone()).or_default();
        let index = hedges.kinds.iter().position(|(known, _)| *known == kind);
        let index = index.unwrap_or_else(|| {
            hedges.kinds.push((kind, ResponseTimes::new(now)));
            hedges.kinds.len() - 1
        });
        hedges.kinds[index].1.record(end, elapsed.div_f64(usable_pace(pace)), now);
    }

    /// Decides when a request may be hedged.
    pub fn decide(&self, ask: &HedgeAsk<'_>, bounds: &HedgeBounds, now: Duration) -> HedgeVerdict {
        if bounds.ratio <= 0.0 {
            return HedgeVerdict::Denied(HedgeDenial::Off);
        }
        let times = self.times(ask, now);
        match times.and_then(|times| times.quantile(bounds.quantile)) {
            Some(quantile) => {
                HedgeVerdict::After(quantile.mul_f64(usable_pace(ask.pace)).max(MIN_DELAY))
            }
            None => HedgeVerdict::Denied(HedgeDenial::Unknown),
        }
    }

    /// Takes a hedge for a request whose time has come out of the budget.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request must not be hedged now.
    pub fn claim(
        &mut self,
        ask: &HedgeAsk<'_>,
        bounds: &HedgeBounds,
        now: Duration,
    ) -> Result<(), HedgeDenial> {
        if let HedgeVerdict::Denied(denial) = self.decide(ask, bounds, now) {
            return Err(denial);
        }
        if ask.is_room_short {
            return Err(HedgeDenial::Room);
        }
        let typical = self.times(ask, now).and_then(|times| times.quantile(0.5));
        if typical.is_none_or(|typical| ask.time_left < typical) {
            return Err(HedgeDenial::Deadline);
        }
        match self.services.get_mut(ask.service) {
            Some(hedges) if hedges.tokens >= 1.0 => hedges.tokens -= 1.0,
            _ => return Err(HedgeDenial::Budget),
        }
        Ok(())
    }

    /// Returns a hedge to the budget that was not sent.
    pub fn refund(&mut self, service: &str) {
        if let Some(hedges) = self.services.get_mut(service) {
            hedges.tokens += 1.0;
        }
    }

    /// Drops samples that are too old to be used.
    pub fn expire(&mut self, now: Duration) {
        for hedges in self.services.values_mut() {
            hedges.kinds.retain(|(_, times)| !times.is_stale(now));
        }
    }

    fn times(&self, ask: &HedgeAsk<'_>, now: Duration) -> Option<&ResponseTimes> {
        let kinds = &self.services.get(ask.service)?.kinds;
        let (_, times) = kinds.iter().find(|(kind, _)| *kind == ask.kind)?;
        Some(times).filter(|times| !times.is_stale(now))
    }
}

fn usable_pace(pace: f64) -> f64 {
    match pace.is_finite() {
        true => pace.clamp(PACE_RANGE.0, PACE_RANGE.1),
        false => 1.0,
    }
}

/// Decayed histogram of the times to the response at a pace of 1.
#[derive(Debug)]
struct ResponseTimes {
    buckets: Box<[TimeBucket; BUCKETS]>,
    decayed_at: Duration,
    newest: Duration,
}

/// Weight of the samples of a bucket.
#[derive(Clone, Copy, Debug, Default)]
struct TimeBucket {
    responded: f64,
    cancelled: f64,
}

impl ResponseTimes {
    fn new(now: Duration) -> Self {
        Self { buckets: Box::new([TimeBucket::default(); BUCKETS]), decayed_at: now, newest: now }
    }

    fn record(&mut self, end: AttemptEnd, time: Duration, now: Duration) {
        if self.is_stale(now) {
            *self = Self::new(now);
        }
        self.decay(now);
        self.newest = now;
        let bucket = &mut self.buckets[bucket_index(time)];
        match end {
            AttemptEnd::Responded => bucket.responded += 1.0,
            AttemptEnd::Cancelled => bucket.cancelled += 1.0,
        }
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at);
        // A clock that went back restarts the interval.
        if elapsed < DECAY_INTERVAL && now >= self.decayed_at {
            return;
        }
        self.decayed_at = now;
        let weight = self.weight();
        if weight <= KEPT_WEIGHT {
            return;
        }
        let by_time = (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        let factor = by_time.max(KEPT_WEIGHT / weight);
        for bucket in self.buckets.iter_mut() {
            bucket.responded *= factor;
            bucket.cancelled *= factor;
        }
    }

    fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.newest) > STALE_AFTER
    }

    fn weight(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.responded + bucket.cancelled).sum()
    }

    /// Returns the time by which this share of the attempts has a response; `None` if too few are known. If so
    /// many were cancelled that it can't be told, it is the longest known time, cancelled attempts included: it is
    /// too short then, but longer than the delay after which these attempts were hedged.
    fn quantile(&self, share: f64) -> Option<Duration> {
        let responded: f64 = self.buckets.iter().map(|bucket| bucket.responded).sum();
        if responded < MIN_WEIGHT {
            return None;
        }
        let mut at_risk = self.weight();
        let mut waiting = 1.0;
        let mut longest = None;
        for (index, bucket) in self.buckets.iter().enumerate() {
            if bucket.responded + bucket.cancelled <= 0.0 {
                continue;
            }
            let time = FIRST_BUCKET.mul_f64(BUCKET_RATIO.powi(index as i32));
            if bucket.responded > 0.0 {
                waiting *= (1.0 - bucket.responded / at_risk).max(0.0);
            }
            if 1.0 - waiting >= share {
                return Some(time);
            }
            at_risk -= bucket.responded + bucket.cancelled;
            longest = Some(time);
        }
        longest
    }
}

/// Returns the bucket of a time; the upper bound of bucket `i` is `FIRST_BUCKET` times `BUCKET_RATIO` to the
/// power of `i`.
fn bucket_index(time: Duration) -> usize {
    let ratio = time.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    match ratio > 1.0 {
        true => (ratio.log(BUCKET_RATIO).ceil() as usize).min(BUCKETS - 1),
        false => 0,
    }
}
