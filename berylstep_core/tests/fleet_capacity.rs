//! Capacity planning: demand is met without the spot replicas of one zone, dependable replicas are
//! released only after spot replicas have taken over, and plans recover from a shortage.

use berylstep_core::fleet::capacity::{plan_replicas, CapacityInput, ZoneReplicas, ZoneState};
use berylstep_core::fleet::desired::ScalingBounds;

const MAXIMUM: u32 = 8;
const REPLICA_WORK_PER_SECOND: f64 = 150_000.0;

fn bounds(spot_price: Option<f64>) -> ScalingBounds {
    ScalingBounds {
        minimum: 1,
        maximum: MAXIMUM,
        boot: std::time::Duration::from_secs(4),
        spot_price,
        zone_prices: Vec::new(),
    }
}

fn replicas(zone: &str, dependable: u32, spot: u32) -> ZoneReplicas {
    ZoneReplicas { zone: zone.into(), dependable, spot }
}

fn state(zone: &str, dependable: u32, spot: u32, ordered: u32) -> ZoneState {
    ZoneState { present: replicas(zone, dependable, spot), dependable_ordered: ordered }
}

struct PlanCase {
    name: &'static str,
    spot_price: Option<f64>,
    zones: Vec<ZoneState>,
    /// Demand as a number of fully loaded replicas.
    demand: f64,
    exhausted: &'static [&'static str],
    baseline: u32,
    plan: Vec<ZoneReplicas>,
}

#[test]
fn plans_replicas_by_zone() {
    let even =
        |dependable, spot| ["a", "b", "c"].map(|zone| replicas(zone, dependable, spot)).to_vec();
    let states = |dependable, spot, ordered| {
        ["a", "b", "c"].map(|zone| state(zone, dependable, spot, ordered)).to_vec()
    };
    let cases = [
        PlanCase {
            name: "at startup, spot replicas are added first",
            spot_price: Some(0.2),
            zones: states(4, 0, 4),
            demand: 0.0,
            exhausted: &[],
            baseline: 12,
            plan: even(4, 4),
        },
        PlanCase {
            name: "dependable replicas are released once spot replicas are ready",
            spot_price: Some(0.2),
            zones: states(4, 4, 4),
            demand: 10.0,
            exhausted: &[],
            baseline: 12,
            plan: even(1, 5),
        },
        PlanCase {
            name: "demand above the maximum, dependable replicas released",
            spot_price: Some(0.2),
            zones: states(4, 4, 4),
            demand: 100.0,
            exhausted: &[],
            baseline: 12,
            plan: even(1, 7),
        },
        PlanCase {
            name: "a zone is reclaimed and has no spot capacity",
            spot_price: Some(0.2),
            zones: vec![state("a", 1, 5, 1), state("b", 1, 0, 1), state("c", 1, 5, 1)],
            demand: 16.0,
            exhausted: &["b"],
            baseline: 0,
            plan: vec![replicas("a", 2, 6), replicas("b", 2, 6), replicas("c", 2, 6)],
        },
        PlanCase {
            name: "dependable replacements stay until spot replicas are back",
            spot_price: Some(0.2),
            zones: vec![state("a", 1, 7, 4), state("b", 1, 0, 4), state("c", 1, 7, 4)],
            demand: 16.0,
            exhausted: &[],
            baseline: 0,
            plan: vec![replicas("a", 1, 7), replicas("b", 4, 4), replicas("c", 1, 7)],
        },
        PlanCase {
            name: "service without spot replicas",
            spot_price: None,
            zones: states(4, 0, 4),
            demand: 6.0,
            exhausted: &[],
            baseline: 0,
            plan: even(2, 0),
        },
        PlanCase {
            name: "no demand",
            spot_price: Some(0.2),
            zones: states(1, 5, 1),
            demand: 0.0,
            exhausted: &[],
            baseline: 0,
            plan: even(1, 0),
        },
    ];
    for case in cases {
        let exhausted: Vec<_> = case.exhausted.iter().map(|zone| (*zone).into()).collect();
        let input = CapacityInput {
            bounds: &bounds(case.spot_price),
            zones: &case.zones,
            work_per_second: case.demand * REPLICA_WORK_PER_SECOND,
            current_work_per_second: case.demand * REPLICA_WORK_PER_SECOND,
            replica_work_per_second: REPLICA_WORK_PER_SECOND,
            exhausted: &exhausted,
            baseline: case.baseline,
        };
        assert_eq!(plan_replicas(&input), case.plan, "{}", case.name);
    }
}

#[test]
fn spot_replicas_return_after_a_shortage() {
    let bounds = bounds(Some(0.2));
    for dependable in 1..=MAXIMUM {
        let mut zones = ["a", "b", "c"].map(|zone| state(zone, dependable, 0, dependable));
        for _ in 0..20 {
            let input = CapacityInput {
                bounds: &bounds,
                zones: &zones,
                work_per_second: 16.0 * REPLICA_WORK_PER_SECOND,
                current_work_per_second: 16.0 * REPLICA_WORK_PER_SECOND,
                replica_work_per_second: REPLICA_WORK_PER_SECOND,
                exhausted: &[],
                baseline: 0,
            };
            let wanted = plan_replicas(&input);
            zones = std::array::from_fn(|index| {
                let ZoneReplicas { zone, dependable, spot } = &wanted[index];
                state(zone, *dependable, *spot, *dependable)
            });
        }
        let left = zones[0].present.clone();
        // Plans limit dependable replicas to half of the maximum, because a zone at its maximum of
        // dependable replicas has no room for spot replicas.
        if dependable <= MAXIMUM.div_ceil(2) {
            assert_eq!(left, replicas("a", 1, 7), "from {dependable} dependable replicas");
        }
    }
}
