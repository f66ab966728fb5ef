//! Capacity planning of pools: plans tolerate the loss of a zone, respect limits and don't flap.

use std::time::Duration;

use berylstep_core::placement::{
    plan_pool, PoolDemand, PoolPlan, PoolPlanner, ZoneSupply, MAX_CHANGES,
};
use proptest::prelude::*;

const SLOTS: u32 = 8;
const NO_LIMIT: u32 = 1_000;
const TICK: Duration = Duration::from_secs(2);

fn supply(zone: &str, dependable_limit: u32, cheap_limit: u32) -> ZoneSupply {
    ZoneSupply { zone: zone.into(), dependable_limit, cheap_limit }
}

fn zones() -> Vec<ZoneSupply> {
    ["a", "b", "c"].map(|zone| supply(zone, NO_LIMIT, NO_LIMIT)).to_vec()
}

fn totals(plan: &PoolPlan) -> (u32, u32) {
    plan.values().fold((0, 0), |sum, zone| (sum.0 + zone.dependable, sum.1 + zone.cheap))
}

struct PlanCase {
    name: &'static str,
    demand: PoolDemand,
    zones: Vec<ZoneSupply>,
    /// Total of dependable and of cheap upstreams.
    totals: (u32, u32),
}

#[test]
fn plans_follow_demand_and_supply() {
    let demand = |requests, top_tier| PoolDemand { requests, top_tier };
    let limited = |cheap| zones().into_iter().map(move |z| ZoneSupply { cheap_limit: cheap, ..z });
    let cases = [
        PlanCase { name: "idle", demand: demand(0.0, 0.0), zones: zones(), totals: (3, 0) },
        // 24 requests need 4 upstreams; with 2 per zone, two zones still carry them.
        PlanCase { name: "top tier", demand: demand(24.0, 24.0), zones: zones(), totals: (6, 0) },
        PlanCase { name: "lower tiers", demand: demand(60.0, 0.0), zones: zones(), totals: (3, 7) },
        PlanCase {
            name: "limited cheap capacity",
            demand: demand(60.0, 0.0),
            zones: limited(1).collect(),
            totals: (7, 3),
        },
        PlanCase {
            name: "no cheap capacity",
            demand: demand(60.0, 0.0),
            zones: limited(0).collect(),
            totals: (10, 0),
        },
        PlanCase {
            name: "one zone evicted",
            demand: demand(60.0, 0.0),
            zones: vec![supply("a", 9, 0), supply("b", 9, 9), supply("c", 9, 9)],
            totals: (3, 7),
        },
    ];
    for case in cases {
        let plan = plan_pool(case.demand, SLOTS, &case.zones);
        assert_eq!(totals(&plan), case.totals, "{}: {plan:?}", case.name);
    }
}

/// Runs a planner with one demand per tick and returns the successive distinct plans.
fn run(demands: impl Iterator<Item = f64>) -> Vec<PoolPlan> {
    let mut planner = PoolPlanner::new(PoolPlan::new());
    let mut changes: Vec<PoolPlan> = Vec::new();
    for (tick, requests) in demands.enumerate() {
        let demand = PoolDemand { requests, top_tier: requests / 4.0 };
        let plan = planner.update(TICK * tick as u32, demand, SLOTS, &zones());
        if changes.last() != Some(plan) {
            changes.push(plan.clone());
        }
    }
    changes
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 200, ..ProptestConfig::with_cases(30) })]

    #[test]
    fn dependable_upstreams_carry_the_top_tier_without_any_one_zone(
        top_tier in 0.0..500.0f64,
        lower_tiers in 0.0..500.0f64,
    ) {
        let plan =
            plan_pool(PoolDemand { requests: top_tier + lower_tiers, top_tier }, SLOTS, &zones());
        for lost in plan.keys() {
            let surviving = plan.iter().filter(|(zone, _)| *zone != lost);
            let slots: u32 = surviving.map(|(_, zone)| zone.dependable * SLOTS).sum();
            prop_assert!(f64::from(slots) >= top_tier, "zone {lost} lost: {plan:?}");
        }
    }

    #[test]
    fn bounded_noise_never_shrinks_the_plan(
        base in 1.0..400.0f64,
        noise in prop::collection::vec(0.9..1.1f64, 700),
    ) {
        let changes = run(noise.into_iter().map(|factor| base * factor));
        for pair in changes.windows(2) {
            let (before, after) = (totals(&pair[0]), totals(&pair[1]));
            let grows = after.0 >= before.0 && after.0 + after.1 >= before.0 + before.1;
            prop_assert!(grows, "{before:?} to {after:?}");
        }
    }

    #[test]
    fn changes_are_limited_within_an_hour(
        demands in prop::collection::vec(0.0..2_000.0f64, 1_800),
    ) {
        prop_assert!(run(demands.into_iter()).len() <= MAX_CHANGES);
    }
}

#[test]
fn the_plan_shrinks_once_demand_stays_low() {
    let high = std::iter::repeat_n(200.0, 60);
    let low = std::iter::repeat_n(20.0, 600);
    let changes = run(high.chain(low));
    let (first, last) = (totals(&changes[0]), totals(changes.last().unwrap()));
    assert!(last.1 < first.1, "{first:?} to {last:?}");
    assert_eq!(changes.len(), 2);
}
