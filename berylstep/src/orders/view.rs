//! What a zone's holder sees of pools, zones and earlier orders.

use std::collections::BTreeSet;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::order::{OrderGroup, OrderState};
use berylstep_core::placement::{PoolPlan, UpstreamKind, ZoneSupply};
use berylstep_core::upstream::UpstreamEntry;

use super::rows::StoredOrder;
use crate::node::NodeContext;

/// Number of upstreams where no limit is known.
const NO_LIMIT: u32 = u32::MAX;

/// Upstreams and limits at one moment.
pub struct SiteView {
    upstreams: Vec<UpstreamEntry>,
    zones: BTreeSet<SharedName>,
    limits: HashMap<OrderGroup, u32>,
}

impl SiteView {
    /// Looks at what `node` knows and at the stored orders; limits that `is_recent` denies are
    /// tried again.
    pub fn of(
        node: &NodeContext,
        stored: &HashMap<OrderGroup, StoredOrder>,
        is_recent: impl Fn(&OrderGroup) -> bool,
    ) -> Self {
        let limits = stored.iter().filter_map(|(group, order)| match order.row.state {
            OrderState::Granted(granted) if granted < order.row.count && is_recent(group) => {
                Some((group.clone(), granted))
            }
            _ => None,
        });
        let limits = limits.collect();
        let upstreams = node.upstreams().all().cloned().collect();
        // A zone whose nodes and upstreams are all gone is still one to order in.
        let mut zones = zones(node);
        zones.extend(stored.keys().map(|group| group.zone.clone()));
        Self { upstreams, zones, limits }
    }

    /// Pools that have upstreams.
    pub fn pools(&self) -> BTreeSet<SharedName> {
        self.upstreams.iter().map(|entry| entry.pool.clone()).collect()
    }

    /// Requests that one upstream of a pool serves.
    pub fn slots(&self, pool: &str) -> u32 {
        let slots = self.upstreams.iter().filter(|entry| &*entry.pool == pool).map(|e| e.slots);
        slots.min().unwrap_or(1)
    }

    /// Upstreams of a pool that take new work, by zone.
    pub fn running(&self, pool: &str) -> PoolPlan {
        let mut running = PoolPlan::new();
        for entry in self.upstreams.iter().filter(|e| &*e.pool == pool && !e.leaving) {
            let zone = running.entry(entry.zone.clone()).or_default();
            match entry.kind {
                UpstreamKind::Dependable => zone.dependable += 1,
                UpstreamKind::Cheap => zone.cheap += 1,
            }
        }
        running
    }

    /// What each zone can give to a pool.
    pub fn supplies(&self, pool: &SharedName) -> Vec<ZoneSupply> {
        let limit = |zone: &SharedName, kind| {
            let group = OrderGroup { zone: zone.clone(), pool: pool.clone(), kind };
            self.limits.get(&group).copied().unwrap_or(NO_LIMIT)
        };
        let supplies = self.zones.iter().map(|zone| ZoneSupply {
            zone: zone.clone(),
            dependable_limit: limit(zone, UpstreamKind::Dependable),
            cheap_limit: match self.is_evicting(zone) {
                true => 0,
                false => limit(zone, UpstreamKind::Cheap),
            },
        });
        supplies.collect()
    }

    /// Whether cheap upstreams of a zone are leaving.
    fn is_evicting(&self, zone: &SharedName) -> bool {
        let mut cheap = self.upstreams.iter().filter(|entry| entry.kind == UpstreamKind::Cheap);
        cheap.any(|entry| entry.zone == *zone && entry.leaving)
    }
}

/// Zones of live nodes and of upstreams.
pub fn zones(node: &NodeContext) -> BTreeSet<SharedName> {
    let now = node.clock.now();
    let mut zones: BTreeSet<_> =
        node.members().live(now).map(|member| member.row.zone.clone()).collect();
    zones.insert(node.settings.zone.clone());
    zones.extend(node.upstreams().all().map(|entry| entry.zone.clone()));
    zones
}
