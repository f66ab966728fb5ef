//! How many replicas of each kind a model needs in each availability zone.
//!
//! Reclaimable replicas cost a fraction of dependable ones and start in seconds, so that they carry
//! most of the load with room to spare; a few dependable ones in each zone carry the most urgent
//! work when the platform reclaims the others.

use std::time::Duration;

use crate::collections::SharedName;
use crate::fleet::desired::ScalingBounds;

/// Work that one replica does in a second at a fair latency, in prompt tokens: engines read 112 to
/// 125 prompt tokens in a millisecond, and requests name the most output that they may have.
pub const REPLICA_WORK_PER_SECOND: f64 = 150_000.0;

/// Part of the wanted replicas that is dependable, where there is a reclaimable kind.
const DEPENDABLE_SHARE: f64 = 0.125;

/// Time for which the highest demand of late is provided for; longer than the pause between bursts
/// in which starting replicas anew would come too late.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// Replicas in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReplicas {
    /// Availability zone.
    pub zone: SharedName,
    /// Dependable ones.
    pub dependable: u32,
    /// Reclaimable ones.
    pub spot: u32,
}

/// Replicas in one availability zone and what was ordered there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneState {
    /// Replicas that take requests.
    pub present: ZoneReplicas,
    /// Dependable replicas that were ordered last; those that are present, where none were.
    pub dependable_ordered: u32,
}

/// What is known when replicas are planned.
#[derive(Clone, Debug)]
pub struct CapacityInput<'a> {
    /// Bounds of the service.
    pub bounds: &'a ScalingBounds,
    /// One entry for each zone in which the service runs.
    pub zones: &'a [ZoneState],
    /// Work that arrives in a second, in prompt tokens; the highest of late.
    pub work_per_second: f64,
    /// Work that arrives in a second at present.
    pub current_work: f64,
    /// Zones in which no reclaimable replica is to be had at the moment.
    pub exhausted: &'a [SharedName],
    /// Replicas that are kept for as long as demand has not been seen for long enough.
    pub baseline: u32,
}

/// Plans the replicas of each zone.
pub fn plan(input: &CapacityInput<'_>) -> Vec<ZoneReplicas> {
    let zones = input.zones.len();
    let needed = (input.work_per_second / REPLICA_WORK_PER_SECOND).ceil();
    let wanted = needed.max(f64::from(input.baseline));
    // Reclaimable replicas are lost by the zone, and cheap enough to have the others bear that.
    let bearing = match input.bounds.spot_price {
        Some(_) if zones > 1 => zones - 1,
        _ => zones.max(1),
    };
    let per_zone = (wanted / bearing as f64).ceil() as u32;
    let per_zone = per_zone.clamp(input.bounds.minimum, input.bounds.maximum);
    let extra = replacement(input, per_zone);
    let plan_zone = |state: &ZoneState| match input.bounds.spot_price {
        None => ZoneReplicas { zone: state.present.zone.clone(), dependable: per_zone, spot: 0 },
        Some(_) => mixed(input.bounds, state, per_zone, extra),
    };
    input.zones.iter().map(plan_zone).collect()
}

/// Dependable replicas that each zone gets beside its least while reclaimable ones are not to be
/// had somewhere: together they make up for what is missing.
fn replacement(input: &CapacityInput<'_>, per_zone: u32) -> Option<u32> {
    if input.exhausted.is_empty() {
        return None;
    }
    let zones = input.zones.len().max(1) as u32;
    let needed = (input.current_work / REPLICA_WORK_PER_SECOND).ceil() as u32;
    let spot: u32 = input.zones.iter().map(|zone| zone.present.spot).sum();
    let missing = needed.saturating_sub(spot + least_dependable(per_zone) * zones);
    Some(missing.div_ceil(zones))
}

/// Dependable replicas of a zone that wants `per_zone`.
fn least_dependable(per_zone: u32) -> u32 {
    let share = (f64::from(per_zone) * DEPENDABLE_SHARE).ceil() as u32;
    share.max(1).min(per_zone)
}

/// Both kinds in one zone; dependable ones are released only once reclaimable ones took over.
fn mixed(
    bounds: &ScalingBounds,
    state: &ZoneState,
    per_zone: u32,
    extra: Option<u32>,
) -> ZoneReplicas {
    let present = &state.present;
    let least = least_dependable(per_zone);
    let kept = present.dependable.max(state.dependable_ordered);
    let taken_over = least + present.spot >= per_zone.min(kept);
    let dependable = match extra {
        Some(extra) => {
            // Room is left for the reclaimable ones, which could not take over otherwise.
            let most = bounds.maximum.div_ceil(2).max(least);
            kept.max((least + extra).min(most))
        }
        None if taken_over => least,
        None => kept.max(least),
    };
    let dependable = dependable.min(bounds.maximum.saturating_sub(present.spot)).max(least);
    let wanted = per_zone - least;
    let spot = wanted.min(bounds.maximum - dependable).max(present.spot.min(wanted));
    ZoneReplicas { zone: present.zone.clone(), dependable, spot }
}
