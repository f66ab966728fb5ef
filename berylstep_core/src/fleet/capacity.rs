//! Capacity planning: the number of dependable and spot replicas of a model in each availability
//! zone.
//!
//! Spot replicas cost a fraction of dependable ones and start within seconds, so they carry most of
//! the load, with headroom. A few dependable replicas in each zone serve the most urgent requests
//! when the platform reclaims the spot replicas.

use std::time::Duration;

use crate::collections::SharedName;
use crate::fleet::desired::ScalingBounds;

/// Share of the planned replicas that is dependable if the service also uses spot replicas.
const DEPENDABLE_SHARE: f64 = 0.125;

/// Window over which the peak demand is provisioned. It exceeds the pause between bursts, because
/// replicas that are started with the next burst become ready too late for it.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// Number of replicas in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReplicas {
    /// Availability zone.
    pub zone: SharedName,
    /// Replicas that the platform doesn't reclaim.
    pub dependable: u32,
    /// Cheaper replicas that the platform may reclaim at short notice.
    pub spot: u32,
}

/// Running and ordered replicas of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneState {
    /// Replicas that accept requests.
    pub present: ZoneReplicas,
    /// Dependable replicas requested by the latest order; the number present if there was none.
    pub dependable_ordered: u32,
}

/// Input of the capacity plan of one service.
#[derive(Clone, Debug)]
pub struct CapacityInput<'a> {
    /// Scaling bounds of the service.
    pub bounds: &'a ScalingBounds,
    /// State of each zone in which the service runs.
    pub zones: &'a [ZoneState],
    /// Peak arrival rate over the demand window, in prompt tokens per second.
    pub work_per_second: f64,
    /// Peak arrival rate over the last few seconds, in prompt tokens per second.
    pub current_work_per_second: f64,
    /// Work that one replica completes in a second at acceptable latency, in prompt tokens.
    pub replica_work_per_second: f64,
    /// Zones in which the platform currently has no spot capacity.
    pub exhausted: &'a [SharedName],
    /// Lower bound on the planned replicas until demand has been observed for long enough.
    pub baseline: u32,
}

/// Returns the planned replicas of each zone.
pub fn plan_replicas(input: &CapacityInput<'_>) -> Vec<ZoneReplicas> {
    let zones = input.zones.len();
    let needed = (input.work_per_second / input.replica_work_per_second).ceil();
    let wanted = needed.max(f64::from(input.baseline));
    // The platform may reclaim all spot replicas of a zone at once; the other zones are sized to
    // carry the load without it, which spot prices make affordable.
    let carrying_zones = match input.bounds.spot_price {
        Some(_) if zones > 1 => zones - 1,
        _ => zones.max(1),
    };
    let per_zone = (wanted / carrying_zones as f64).ceil() as u32;
    let per_zone = per_zone.clamp(input.bounds.minimum, input.bounds.maximum);
    let extra = dependable_surplus(input, per_zone);
    let plan_zone = |state: &ZoneState| match input.bounds.spot_price {
        None => ZoneReplicas { zone: state.present.zone.clone(), dependable: per_zone, spot: 0 },
        Some(_) => plan_mixed_zone(input.bounds, state, per_zone, extra),
    };
    input.zones.iter().map(plan_zone).collect()
}

/// Returns the dependable replicas that each zone runs above its minimum while some zone has no
/// spot capacity; over all zones they replace the missing replicas. `None` if no zone is exhausted.
fn dependable_surplus(input: &CapacityInput<'_>, per_zone: u32) -> Option<u32> {
    if input.exhausted.is_empty() {
        return None;
    }
    let zones = input.zones.len().max(1) as u32;
    let needed = (input.current_work_per_second / input.replica_work_per_second).ceil() as u32;
    let spot: u32 = input.zones.iter().map(|zone| zone.present.spot).sum();
    let missing = needed.saturating_sub(spot + min_dependable(per_zone) * zones);
    Some(missing.div_ceil(zones))
}

/// Returns the minimum of dependable replicas in a zone with `per_zone` planned replicas.
fn min_dependable(per_zone: u32) -> u32 {
    let share = (f64::from(per_zone) * DEPENDABLE_SHARE).ceil() as u32;
    share.max(1).min(per_zone)
}

/// Plans dependable and spot replicas of one zone. Dependable replicas are released only after spot
/// replicas have taken over their load.
fn plan_mixed_zone(
    bounds: &ScalingBounds,
    state: &ZoneState,
    per_zone: u32,
    extra: Option<u32>,
) -> ZoneReplicas {
    let present = &state.present;
    let minimum = min_dependable(per_zone);
    let retained = present.dependable.max(state.dependable_ordered);
    let taken_over = minimum + present.spot >= per_zone.min(retained);
    let dependable = match extra {
        Some(extra) => {
            // Leaves room below the maximum for spot replicas, which could not take over otherwise.
            let limit = bounds.maximum.div_ceil(2).max(minimum);
            retained.max((minimum + extra).min(limit))
        }
        None if taken_over => minimum,
        None => retained.max(minimum),
    };
    let dependable = dependable.min(bounds.maximum.saturating_sub(present.spot)).max(minimum);
    let wanted = per_zone - minimum;
    let spot = wanted.min(bounds.maximum - dependable).max(present.spot.min(wanted));
    ZoneReplicas { zone: present.zone.clone(), dependable, spot }
}
