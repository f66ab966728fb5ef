//! Snapshot of the supply of upstreams, on which orders are planned.

use std::collections::BTreeSet;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::order::{OrderGroup, OrderState};
use berylstep_core::placement::{PoolPlan, UpstreamKind, ZoneSupply};
use berylstep_core::upstream::UpstreamEntry;

use super::rows::StoredOrder;
use crate::node::NodeContext;

/// Limit of an order group for which the platform has set none.
const NO_LIMIT: u32 = u32::MAX;

/// Snapshot of upstreams, zones and order limits.
pub struct SupplyView {
    upstreams: Vec<UpstreamEntry>,
    zones: BTreeSet<SharedName>,
    limits: HashMap<OrderGroup, u32>,
}

impl SupplyView {
    /// Creates a snapshot from what `node` knows and from the stored orders.
    ///
    /// An order that was granted only in part sets a limit while `is_recent` holds for its group.
    pub fn new(
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
        // Zones are kept as candidates for orders after all their nodes and upstreams are gone.
        let mut zones = zones(node);
        zones.extend(stored.keys().map(|group| group.zone.clone()));
        Self { upstreams, zones, limits }
    }

    /// Returns the pools that have upstreams.
    pub fn pools(&self) -> BTreeSet<SharedName> {
        self.upstreams.iter().map(|entry| entry.pool.clone()).collect()
    }

    /// Returns the fewest slots of any upstream of a pool, or 1 if it has none.
    ///
    /// A slot serves one request at a time.
    pub fn slots(&self, pool: &str) -> u32 {
        let slots = self.upstreams.iter().filter(|entry| &*entry.pool == pool).map(|e| e.slots);
        slots.min().unwrap_or(1)
    }

    /// Counts the upstreams of a pool that accept new requests, by zone.
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

    /// Returns how many upstreams of each kind every zone can supply to a pool.
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

    /// Returns whether any cheap upstream of a zone is leaving.
    fn is_evicting(&self, zone: &SharedName) -> bool {
        let mut cheap = self.upstreams.iter().filter(|entry| entry.kind == UpstreamKind::Cheap);
        cheap.any(|entry| entry.zone == *zone && entry.leaving)
    }
}

/// Returns the availability zones of live nodes and of upstreams.
pub fn zones(node: &NodeContext) -> BTreeSet<SharedName> {
    let now = node.clock.now();
    let mut zones: BTreeSet<_> =
        node.members().live(now).map(|member| member.row.zone.clone()).collect();
    zones.insert(node.settings.zone.clone());
    zones.extend(node.upstreams().all().map(|entry| entry.zone.clone()));
    zones
}
