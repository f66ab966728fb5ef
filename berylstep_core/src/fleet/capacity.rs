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
pub const REPLICA_WORK_PER_SECOND: f64 = 120_000.0;

/// Part of the wanted replicas that is dependable, where there is a reclaimable kind.
const DEPENDABLE_SHARE: f64 = 0.125;

/// Part of the wanted replicas that a zone gets in dependable ones while no reclaimable ones are to
/// be had; these may be back before more would have started.
const SHORTAGE_SHARE: f64 = 0.5;

/// Time for which the highest demand of late is provided for; longer than the pause between bursts
/// in which starting replicas anew would come too late.
pub const DEMAND_MEMORY: Duration = Duration::from_secs(15);

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

/// What is known when replicas are planned.
#[derive(Clone, Debug)]
pub struct CapacityAsk<'a> {
    /// Bounds of the service.
    pub bounds: &'a ScalingBounds,
    /// Replicas that take requests, one entry for each zone in which the service runs.
    pub present: &'a [ZoneReplicas],
    /// Work that arrives in a second, in prompt tokens; the highest of late.
    pub work_per_second: f64,
    /// Zones in which no reclaimable replica is to be had at the moment.
    pub exhausted: &'a [SharedName],
    /// Replicas that are kept for as long as demand has not been seen for long enough.
    pub baseline: u32,
}

/// Plans the replicas of each zone.
pub fn plan(ask: &CapacityAsk<'_>) -> Vec<ZoneReplicas> {
    let zones = ask.present.len();
    let needed = (ask.work_per_second / REPLICA_WORK_PER_SECOND).ceil();
    let wanted = needed.max(f64::from(ask.baseline));
    // Reclaimable replicas are lost by the zone, and cheap enough to have the others bear that.
    let bearing = match ask.bounds.spot_price {
        Some(_) if zones > 1 => zones - 1,
        _ => zones.max(1),
    };
    let per_zone = (wanted / bearing as f64).ceil() as u32;
    let per_zone = per_zone.clamp(ask.bounds.minimum, ask.bounds.maximum);
    let plan_zone = |present: &ZoneReplicas| match ask.bounds.spot_price {
        None => ZoneReplicas { zone: present.zone.clone(), dependable: per_zone, spot: 0 },
        Some(_) => mixed(ask, present, per_zone),
    };
    ask.present.iter().map(plan_zone).collect()
}

/// Both kinds in one zone; dependable ones are released only once reclaimable ones took over.
fn mixed(ask: &CapacityAsk<'_>, present: &ZoneReplicas, per_zone: u32) -> ZoneReplicas {
    let share = (f64::from(per_zone) * DEPENDABLE_SHARE).ceil() as u32;
    let least = share.max(1).min(per_zone);
    let is_exhausted = ask.exhausted.contains(&present.zone);
    let taken_over = least + present.spot >= per_zone.min(present.dependable);
    let dependable = match (is_exhausted, taken_over) {
        (true, _) => {
            let short = (f64::from(per_zone) * SHORTAGE_SHARE).ceil() as u32;
            present.dependable.max(short.saturating_sub(present.spot))
        }
        (false, true) => least,
        (false, false) => present.dependable.max(least),
    };
    let dependable = dependable.min(ask.bounds.maximum);
    let spot = (per_zone - least).min(ask.bounds.maximum - dependable);
    ZoneReplicas { zone: present.zone.clone(), dependable, spot }
}
