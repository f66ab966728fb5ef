//! Capacity planning: the number of upstreams of each kind per pool and availability zone.
//!
//! Dependable upstreams carry the demand of the top tier even if one zone is lost. Cheap upstreams
//! carry the remaining demand, spread over the zones; dependable ones replace them where no cheap
//! capacity is available.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;

/// Share of an upstream's slots that planned demand occupies; the remainder absorbs bursts.
const TARGET_UTILIZATION: f64 = 0.75;

/// Time constant of the exponentially smoothed demand.
const SMOOTHING_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Factor on the demand that a smaller plan must still carry before a pool is scaled down.
const SCALE_DOWN_MARGIN: f64 = 1.25;

/// Time for which a smaller plan must have sufficed before a pool is scaled down.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(600);

/// Sliding window of the limit on plan changes.
const CHANGE_PERIOD: Duration = Duration::from_secs(3_600);

/// Maximum number of changes of a pool's plan within one hour.
pub const MAX_CHANGES: usize = 20;

/// Purchase option of an upstream VM.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// Not evicted by the platform.
    #[default]
    Dependable,
    /// Cheaper; may be evicted at short notice, possibly with all others of the availability zone.
    Cheap,
}

/// Measured demand of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Requests in progress, including queued ones.
    pub requests: f64,
    /// Requests of the top tier among them.
    pub top_tier: f64,
}

/// Upstreams available in one availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneSupply {
    /// Availability zone.
    pub zone: SharedName,
    /// Maximum number of dependable upstreams.
    pub dependable_limit: u32,
    /// Maximum number of cheap upstreams; 0 during an eviction.
    pub cheap_limit: u32,
}

/// Planned upstreams of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePlan {
    /// Number of dependable upstreams.
    pub dependable: u32,
    /// Number of cheap upstreams.
    pub cheap: u32,
}

impl ZonePlan {
    /// Returns the number of upstreams of one kind.
    pub fn of(self, kind: UpstreamKind) -> u32 {
        match kind {
            UpstreamKind::Dependable => self.dependable,
            UpstreamKind::Cheap => self.cheap,
        }
    }
}

/// Planned upstreams by zone.
pub type PoolPlan = BTreeMap<SharedName, ZonePlan>;

/// Number of upstreams that a pool needs, independent of the zones' limits. Both parts are
/// monotonic in the demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PlanSize {
    /// Dependable upstreams per zone.
    dependable_per_zone: u32,
    /// Upstreams of both kinds in all zones.
    total: u32,
}

impl PlanSize {
    fn for_demand(demand: PoolDemand, slots: u32, zones: usize) -> Self {
        let top_tier = upstreams_for(demand.top_tier, slots);
        let surviving_zones = zones.saturating_sub(1).max(1) as u32;
        let dependable_per_zone = top_tier.div_ceil(surviving_zones).max(1);
        Self { dependable_per_zone, total: upstreams_for(demand.requests, slots) }
    }

    fn of_plan(plan: &PoolPlan) -> Self {
        let dependable_per_zone =
            plan.values().map(|zone| zone.dependable).min().unwrap_or_default();
        let total = plan.values().map(|zone| zone.dependable + zone.cheap).sum();
        Self { dependable_per_zone, total }
    }

    fn max(self, other: Self) -> Self {
        Self {
            dependable_per_zone: self.dependable_per_zone.max(other.dependable_per_zone),
            total: self.total.max(other.total),
        }
    }

    fn lay_out(self, zones: &[ZoneSupply]) -> PoolPlan {
        let mut plan = PoolPlan::new();
        for supply in zones {
            let dependable = self.dependable_per_zone.min(supply.dependable_limit);
            plan.insert(supply.zone.clone(), ZonePlan { dependable, cheap: 0 });
        }
        let placed: u32 = plan.values().map(|zone| zone.dependable).sum();
        let mut remaining = self.total.saturating_sub(placed);
        remaining = spread(&mut plan, zones, UpstreamKind::Cheap, remaining);
        spread(&mut plan, zones, UpstreamKind::Dependable, remaining);
        plan
    }
}

/// Returns the plan for this demand, without smoothing; `slots` is the number of requests that one
/// upstream serves concurrently.
pub fn plan_pool(demand: PoolDemand, slots: u32, zones: &[ZoneSupply]) -> PoolPlan {
    PlanSize::for_demand(demand, slots, zones.len()).lay_out(zones)
}

/// Adds `remaining` upstreams of a kind, each to the zone that has the fewest; returns the number
/// that exceeds the zones' limits.
fn spread(
    plan: &mut PoolPlan,
    zones: &[ZoneSupply],
    kind: UpstreamKind,
    mut remaining: u32,
) -> u32 {
    while remaining > 0 {
        let available =
            zones.iter().filter(|supply| plan[&supply.zone].of(kind) < supply.limit(kind));
        let least_used = available.min_by_key(|supply| plan[&supply.zone].of(kind));
        let Some(supply) = least_used else { return remaining };
        let zone = plan.get_mut(&supply.zone).expect("every zone has a plan");
        match kind {
            UpstreamKind::Dependable => zone.dependable += 1,
            UpstreamKind::Cheap => zone.cheap += 1,
        }
        remaining -= 1;
    }
    0
}

fn upstreams_for(requests: f64, slots: u32) -> u32 {
    (requests / (f64::from(slots.max(1)) * TARGET_UTILIZATION)).ceil() as u32
}

impl ZoneSupply {
    fn limit(&self, kind: UpstreamKind) -> u32 {
        match kind {
            UpstreamKind::Dependable => self.dependable_limit,
            UpstreamKind::Cheap => self.cheap_limit,
        }
    }
}

/// Maintains the plan of one pool; scales up immediately and down after a delay.
#[derive(Clone, Debug)]
pub struct PoolPlanner {
    smoothed: Option<(Duration, PoolDemand)>,
    size: PlanSize,
    plan: PoolPlan,
    surplus_since: Option<Duration>,
    changes: Vec<Duration>,
}

impl PoolPlanner {
    /// Creates a planner whose initial plan is the running upstreams.
    pub fn new(running: PoolPlan) -> Self {
        Self {
            smoothed: None,
            size: PlanSize::of_plan(&running),
            plan: running,
            surplus_since: None,
            changes: Vec::new(),
        }
    }

    /// Updates the plan with the demand measured at `now` and returns it; `slots` is the number of
    /// requests that one upstream serves concurrently.
    pub fn update(
        &mut self,
        now: Duration,
        demand: PoolDemand,
        slots: u32,
        zones: &[ZoneSupply],
    ) -> &PoolPlan {
        let demand = self.smooth(now, demand);
        let needed = PlanSize::for_demand(demand, slots, zones.len());
        let reduced = PlanSize::for_demand(demand.times(SCALE_DOWN_MARGIN), slots, zones.len());
        let size = self.next_size(now, needed, reduced);
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

    fn next_size(&mut self, now: Duration, needed: PlanSize, reduced: PlanSize) -> PlanSize {
        let grown = self.size.max(needed);
        let has_surplus = reduced != self.size && reduced.max(self.size) == self.size;
        if grown != self.size || !has_surplus {
            self.surplus_since = None;
            return grown;
        }
        let since = *self.surplus_since.get_or_insert(now);
        match now.saturating_sub(since) >= SCALE_DOWN_DELAY {
            true => reduced,
            false => self.size,
        }
    }

    fn smooth(&mut self, now: Duration, demand: PoolDemand) -> PoolDemand {
        let smoothed = match self.smoothed {
            None => demand,
            Some((before, last)) => {
                let elapsed = now.saturating_sub(before).as_secs_f64();
                let weight = 1.0 - (-elapsed / SMOOTHING_TIME_CONSTANT.as_secs_f64()).exp();
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

/// Cost of running upstreams and of missed latency targets, in the same unit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementCost {
    /// Cost of upstream hours.
    pub spend: f64,
    /// Cost of requests that missed the latency target of their class.
    pub lost: f64,
}

impl PlacementCost {
    /// Adds the cost of running a plan for `hours`, during which `missed` requests missed their
    /// target.
    pub fn add(&mut self, plan: &PoolPlan, hours: f64, prices: UnitPrices, missed: f64) {
        let dependable: u32 = plan.values().map(|zone| zone.dependable).sum();
        let cheap: u32 = plan.values().map(|zone| zone.cheap).sum();
        let rate = f64::from(dependable) * prices.dependable + f64::from(cheap) * prices.cheap;
        self.spend += rate * hours;
        self.lost += missed * prices.miss;
    }

    /// Returns the sum of both costs.
    pub fn total(self) -> f64 {
        self.spend + self.lost
    }
}

/// Unit prices for [`PlacementCost`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnitPrices {
    /// Price of a dependable upstream per hour.
    pub dependable: f64,
    /// Price of a cheap upstream per hour.
    pub cheap: f64,
    /// Price of a request that missed its target.
    pub miss: f64,
}
