//! Placement: how many upstreams of each kind every availability zone should run for a pool.
//!
//! The dependable kind carries the top tier's demand with one zone gone. The cheap kind carries the
//! rest, spread over the zones; where it can't be had, the dependable kind stands in.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;

/// Part of an upstream's slots that planned demand fills; the rest absorbs bursts.
const PLANNED_FILL: f64 = 0.75;

/// Time constant of the smoothed demand.
const SMOOTHING: Duration = Duration::from_secs(20);

/// Factor on the demand that must fit before the number of upstreams falls.
const SHRINK_MARGIN: f64 = 1.25;

/// Time for which fewer upstreams must have been enough before their number falls.
const SHRINK_AFTER: Duration = Duration::from_secs(600);

/// Period over which changes are limited.
const CHANGE_PERIOD: Duration = Duration::from_secs(3_600);

/// Most changes of a pool's plan within [`CHANGE_PERIOD`].
pub const MAX_CHANGES: usize = 20;

/// How dependable, and how dear, an upstream VM is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// Not evicted by the platform.
    Dependable,
    /// Cheaper, and evicted at short notice, possibly a whole availability zone at once.
    Cheap,
}

/// Measured demand of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Requests in progress, waiting ones included.
    pub requests: f64,
    /// Part of the requests that is of the top tier.
    pub top_tier: f64,
}

/// What one availability zone can give.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneSupply {
    /// Availability zone.
    pub zone: SharedName,
    /// Most dependable upstreams to be had.
    pub dependable_limit: u32,
    /// Most cheap upstreams to be had; 0 during an eviction.
    pub cheap_limit: u32,
}

/// Wanted upstreams of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePlan {
    /// Dependable upstreams.
    pub dependable: u32,
    /// Cheap upstreams.
    pub cheap: u32,
}

impl ZonePlan {
    /// Number of upstreams of one kind.
    pub fn of(self, kind: UpstreamKind) -> u32 {
        match kind {
            UpstreamKind::Dependable => self.dependable,
            UpstreamKind::Cheap => self.cheap,
        }
    }
}

/// Wanted upstreams by zone.
pub type PoolPlan = BTreeMap<SharedName, ZonePlan>;

/// How many upstreams a pool needs, however they are laid out; grows with the demand in both parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PlanSize {
    /// Dependable upstreams in each zone.
    base: u32,
    /// Upstreams in all zones.
    total: u32,
}

impl PlanSize {
    fn for_demand(demand: PoolDemand, slots: u32, zones: usize) -> Self {
        let top_tier = upstreams_for(demand.top_tier, slots);
        let survivors = zones.saturating_sub(1).max(1) as u32;
        let base = top_tier.div_ceil(survivors).max(1);
        Self { base, total: upstreams_for(demand.requests, slots) }
    }

    fn of_plan(plan: &PoolPlan) -> Self {
        let base = plan.values().map(|zone| zone.dependable).min().unwrap_or_default();
        let total = plan.values().map(|zone| zone.dependable + zone.cheap).sum();
        Self { base, total }
    }

    fn max(self, other: Self) -> Self {
        Self { base: self.base.max(other.base), total: self.total.max(other.total) }
    }

    fn lay_out(self, zones: &[ZoneSupply]) -> PoolPlan {
        let mut plan = PoolPlan::new();
        for supply in zones {
            let dependable = self.base.min(supply.dependable_limit);
            plan.insert(supply.zone.clone(), ZonePlan { dependable, cheap: 0 });
        }
        let placed: u32 = plan.values().map(|zone| zone.dependable).sum();
        let mut rest = self.total.saturating_sub(placed);
        rest = spread(&mut plan, zones, UpstreamKind::Cheap, rest);
        spread(&mut plan, zones, UpstreamKind::Dependable, rest);
        plan
    }
}

/// Returns the plan for exactly this demand; `slots` are the requests that one upstream serves.
pub fn plan_pool(demand: PoolDemand, slots: u32, zones: &[ZoneSupply]) -> PoolPlan {
    PlanSize::for_demand(demand, slots, zones.len()).lay_out(zones)
}

/// Adds `rest` upstreams of a kind, each to the zone that has fewest; returns what did not fit.
fn spread(plan: &mut PoolPlan, zones: &[ZoneSupply], kind: UpstreamKind, mut rest: u32) -> u32 {
    while rest > 0 {
        let open = zones.iter().filter(|supply| plan[&supply.zone].of(kind) < supply.limit(kind));
        let fewest = open.min_by_key(|supply| plan[&supply.zone].of(kind));
        let Some(supply) = fewest else { return rest };
        let zone = plan.get_mut(&supply.zone).expect("every zone has a plan");
        match kind {
            UpstreamKind::Dependable => zone.dependable += 1,
            UpstreamKind::Cheap => zone.cheap += 1,
        }
        rest -= 1;
    }
    0
}

fn upstreams_for(requests: f64, slots: u32) -> u32 {
    (requests / (f64::from(slots.max(1)) * PLANNED_FILL)).ceil() as u32
}

impl ZoneSupply {
    fn limit(&self, kind: UpstreamKind) -> u32 {
        match kind {
            UpstreamKind::Dependable => self.dependable_limit,
            UpstreamKind::Cheap => self.cheap_limit,
        }
    }
}

/// Plan of one pool over time: grows at once and shrinks slowly.
#[derive(Clone, Debug)]
pub struct PoolPlanner {
    smoothed: Option<(Duration, PoolDemand)>,
    size: PlanSize,
    plan: PoolPlan,
    ample_since: Option<Duration>,
    changes: Vec<Duration>,
}

impl PoolPlanner {
    /// Starts from what runs.
    pub fn new(running: PoolPlan) -> Self {
        Self {
            smoothed: None,
            size: PlanSize::of_plan(&running),
            plan: running,
            ample_since: None,
            changes: Vec::new(),
        }
    }

    /// Takes in the demand measured at `now` and returns the plan in force.
    pub fn update(
        &mut self,
        now: Duration,
        demand: PoolDemand,
        slots: u32,
        zones: &[ZoneSupply],
    ) -> &PoolPlan {
        let demand = self.smooth(now, demand);
        let needed = PlanSize::for_demand(demand, slots, zones.len());
        let ample = PlanSize::for_demand(demand.times(SHRINK_MARGIN), slots, zones.len());
        let size = self.next_size(now, needed, ample);
        let plan = size.lay_out(zones);
        self.changes.retain(|changed| now.saturating_sub(*changed) < CHANGE_PERIOD);
        if plan == self.plan {
            self.size = size;
        } else if self.changes.len() < MAX_CHANGES {
            self.changes.push(now);
            self.size = size;
            self.plan = plan;
        }
        &self.plan
    }

    fn next_size(&mut self, now: Duration, needed: PlanSize, ample: PlanSize) -> PlanSize {
        let grown = self.size.max(needed);
        let is_ample = ample != self.size && ample.max(self.size) == self.size;
        if grown != self.size || !is_ample {
            self.ample_since = None;
            return grown;
        }
        let since = *self.ample_since.get_or_insert(now);
        match now.saturating_sub(since) >= SHRINK_AFTER {
            true => ample,
            false => self.size,
        }
    }

    fn smooth(&mut self, now: Duration, demand: PoolDemand) -> PoolDemand {
        let smoothed = match self.smoothed {
            None => demand,
            Some((before, last)) => {
                let elapsed = now.saturating_sub(before).as_secs_f64();
                let weight = 1.0 - (-elapsed / SMOOTHING.as_secs_f64()).exp();
                last.times(1.0 - weight).plus(demand.times(weight))
            }
        };
        self.smoothed = Some((now, smoothed));
        smoothed
    }
}

impl PoolDemand {
    fn times(self, factor: f64) -> Self {
        Self { requests: self.requests * factor, top_tier: self.top_tier * factor }
    }

    fn plus(self, other: Self) -> Self {
        Self { requests: self.requests + other.requests, top_tier: self.top_tier + other.top_tier }
    }
}

/// Cost of running upstreams and of missing targets, in one figure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementCost {
    /// Cost of upstream hours.
    pub spend: f64,
    /// Cost of requests that missed their class's target.
    pub lost: f64,
}

impl PlacementCost {
    /// Adds `hours` of a plan, during which `missed` requests missed their target.
    pub fn add(&mut self, plan: &PoolPlan, hours: f64, prices: UnitPrices, missed: f64) {
        let dependable: u32 = plan.values().map(|zone| zone.dependable).sum();
        let cheap: u32 = plan.values().map(|zone| zone.cheap).sum();
        let rate = f64::from(dependable) * prices.dependable + f64::from(cheap) * prices.cheap;
        self.spend += rate * hours;
        self.lost += missed * prices.miss;
    }

    /// Sum of both.
    pub fn total(self) -> f64 {
        self.spend + self.lost
    }
}

/// Prices by which spend and lost attainment are added up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnitPrices {
    /// A dependable upstream for an hour.
    pub dependable: f64,
    /// A cheap upstream for an hour.
    pub cheap: f64,
    /// One request that missed its target.
    pub miss: f64,
}
