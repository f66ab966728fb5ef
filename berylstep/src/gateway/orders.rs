//! Plans orders for replicas from demand, existing replicas and the results of earlier orders.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::capacity::{
    self, CapacityInput, ZoneReplicas, ZoneState, DEMAND_WINDOW,
};
use berylstep_core::fleet::desired::ServiceEntry;

use crate::clock::RuntimeClock;
use crate::gateway::demand::DemandLedger;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::platform::cloud::ReplicaOrder;
use crate::platform::CallError;

/// Time beyond the boot time of a replica after which an order without visible effect is placed
/// again; an order whose response was lost may be carried out that late.
const EFFECT_SLACK: Duration = Duration::from_secs(3);

/// Time for which no spot replicas are ordered in a zone that had none available.
const EXHAUSTED_BACKOFF: Duration = Duration::from_secs(4);

/// Time after replicas were first seen for which demand is too uncertain to release any.
const DEMAND_SETTLE_TIME: Duration = Duration::from_secs(20);

/// Time after replicas were first seen within which all running ones have announced themselves.
const ANNOUNCE_TIME: Duration = Duration::from_secs(3);

/// Window over which the peak of current demand is taken: about the boot time of a replica.
const CURRENT_DEMAND_WINDOW: Duration = Duration::from_secs(4);

/// Identity of an order: service, availability zone and kind of replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OrderKey {
    service: SharedName,
    zone: SharedName,
    spot: bool,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: Duration,
    /// Highest number of replicas present since.
    peak: u32,
}

/// Plans orders while this node holds the duty.
pub struct OrderPlanner {
    clock: RuntimeClock,
    mirror: Rc<StoreMirror>,
    peers: Rc<PeerTable>,
    demand: Rc<DemandLedger>,
    state: RefCell<OrderState>,
}

#[derive(Debug, Default)]
struct OrderState {
    placed: HashMap<OrderKey, PlacedOrder>,
    exhausted: HashMap<OrderKey, Duration>,
    zones: HashMap<SharedName, Vec<SharedName>>,
    peaks: HashMap<SharedName, Vec<(Duration, f64)>>,
    baselines: HashMap<SharedName, u32>,
    first_seen: Option<Duration>,
}

impl OrderPlanner {
    /// Creates a planner without earlier orders.
    pub fn new(
        clock: RuntimeClock,
        mirror: Rc<StoreMirror>,
        peers: Rc<PeerTable>,
        demand: Rc<DemandLedger>,
    ) -> Self {
        Self { clock, mirror, peers, demand, state: RefCell::default() }
    }

    /// Records replicas and demand. This also runs while another node holds the duty, so that a
    /// takeover starts with known demand.
    pub fn observe_fleet(&self) {
        let Some(desired) = self.mirror.desired() else { return };
        let now = self.clock.now();
        for service in desired.services().filter(|service| service.scaling.is_some()) {
            let present = self.present_replicas(service);
            let total: u32 = present.iter().map(|zone| zone.dependable + zone.spot).sum();
            if total > 0 {
                let mut state = self.state.borrow_mut();
                state.first_seen.get_or_insert(now);
                let dependable = present.iter().map(|zone| zone.dependable).sum();
                let baseline = state.baselines.entry(service.name.clone()).or_default();
                *baseline = (*baseline).max(dependable);
            }
            self.record_demand(&service.name, now);
        }
    }

    /// Returns the orders that are due now.
    pub fn due_orders(&self) -> Vec<ReplicaOrder> {
        let Some(desired) = self.mirror.desired() else { return Vec::new() };
        let now = self.clock.now();
        let mut due = Vec::new();
        for service in desired.services() {
            let Some(bounds) = &service.scaling else { continue };
            let present = self.present_replicas(service);
            if present.is_empty() || self.observed_for(now) < ANNOUNCE_TIME {
                continue;
            }
            let work_per_second = self.peak_demand(&service.name, now, DEMAND_WINDOW);
            let current_work_per_second =
                self.peak_demand(&service.name, now, CURRENT_DEMAND_WINDOW);
            let exhausted = self.exhausted_zones(&service.name, now);
            let baseline = self.baseline(&service.name, now);
            let zones: Vec<_> =
                present.iter().map(|zone| self.zone_state(&service.name, zone)).collect();
            let slots = service.engine.as_ref().map(|engine| engine.slots);
            let speed = self.demand.engine_speed(&service.name, slots);
            let input = CapacityInput {
                bounds,
                replica_work_per_second: speed.replica_work_per_second(),
                zones: &zones,
                work_per_second,
                current_work_per_second,
                exhausted: &exhausted,
                baseline,
            };
            let plan = capacity::plan_replicas(&input);
            log::debug!(
                "event=capacity_planned service={} work_per_second={work_per_second:.0} \
                 baseline={baseline} speed={speed:?} present={present:?} plan={plan:?}",
                service.name
            );
            for (wanted, present) in plan.iter().zip(&present) {
                self.add_due_orders(service, wanted, present, bounds.boot, &exhausted, &mut due);
            }
        }
        due
    }

    /// Records the result of an order.
    pub fn record_result(&self, order: &ReplicaOrder, result: &Result<(), CallError>) {
        let now = self.clock.now();
        let key = OrderKey {
            service: order.service.as_str().into(),
            zone: order.zone.as_str().into(),
            spot: order.spot,
        };
        let mut state = self.state.borrow_mut();
        match result {
            Err(err) if err.is_fenced() => {
                if order.spot {
                    state.exhausted.insert(key.clone(), now + EXHAUSTED_BACKOFF);
                }
                state.placed.remove(&key);
            }
            // The order had no effect and may be placed again at once.
            Err(CallError::Refused(_) | CallError::NotSent(_)) => {
                state.placed.remove(&key);
            }
            Ok(()) | Err(_) => {
                state.placed.insert(key, PlacedOrder { count: order.count, at: now, peak: 0 });
            }
        }
    }

    /// Adds the orders to `due` that turn `present` into `wanted`.
    fn add_due_orders(
        &self,
        service: &ServiceEntry,
        wanted: &ZoneReplicas,
        present: &ZoneReplicas,
        boot: Duration,
        exhausted: &[SharedName],
        due: &mut Vec<ReplicaOrder>,
    ) {
        let mut state = self.state.borrow_mut();
        let kinds =
            [(true, wanted.spot, present.spot), (false, wanted.dependable, present.dependable)];
        for (spot, count, existing) in kinds {
            let key = OrderKey { service: service.name.clone(), zone: wanted.zone.clone(), spot };
            let is_due = match state.placed.get_mut(&key) {
                None => count != existing,
                Some(placed) if placed.count != count => true,
                Some(placed) => {
                    placed.peak = placed.peak.max(existing);
                    let overdue = self.clock.now() >= placed.at + boot + EFFECT_SLACK;
                    let reclaimed = existing < placed.peak.min(count);
                    count != existing && (overdue || reclaimed)
                }
            };
            if is_due && !(spot && exhausted.contains(&wanted.zone)) {
                due.push(ReplicaOrder {
                    service: service.name.to_string(),
                    zone: wanted.zone.to_string(),
                    spot,
                    count,
                });
            }
        }
    }

    fn zone_state(&self, service: &SharedName, present: &ZoneReplicas) -> ZoneState {
        let key = OrderKey { service: service.clone(), zone: present.zone.clone(), spot: false };
        let placed = self.state.borrow().placed.get(&key).map(|placed| placed.count);
        ZoneState {
            present: present.clone(),
            dependable_ordered: placed.unwrap_or(present.dependable),
        }
    }

    /// Returns the ready replicas by zone, including zones that had some earlier.
    fn present_replicas(&self, service: &ServiceEntry) -> Vec<ZoneReplicas> {
        let mut state = self.state.borrow_mut();
        let zones = state.zones.entry(service.name.clone()).or_default();
        let replicas = self.mirror.replicas.borrow();
        for row in replicas.ready(&service.name) {
            if !zones.contains(&row.entry.zone) {
                zones.push(row.entry.zone.clone());
                zones.sort();
            }
        }
        let count = |zone: &SharedName, spot: bool| {
            let rows = replicas.ready(&service.name);
            rows.filter(|row| row.entry.zone == *zone && row.entry.spot == spot).count() as u32
        };
        // The zones that remain make up for one that is evacuated, in which nothing is ordered or released.
        let zones = zones.iter().filter(|zone| !replicas.evacuated().contains(zone));
        let present = zones.map(|zone| ZoneReplicas {
            zone: zone.clone(),
            dependable: count(zone, false),
            spot: count(zone, true),
        });
        present.collect()
    }

    /// Records the current demand of all nodes.
    fn record_demand(&self, service: &SharedName, now: Duration) {
        let others = self.peers.demand(now);
        let rate = self.demand.total_rate(service, others.iter());
        self.demand.update_split(service, rate);
        let mut state = self.state.borrow_mut();
        let peaks = state.peaks.entry(service.clone()).or_default();
        peaks.push((now, rate.total));
        peaks.retain(|(at, _)| now.saturating_sub(*at) <= DEMAND_WINDOW);
    }

    /// Returns the highest demand within the last `window`, in prompt tokens per second.
    fn peak_demand(&self, service: &SharedName, now: Duration, window: Duration) -> f64 {
        let state = self.state.borrow();
        let peaks = state.peaks.get(service).into_iter().flatten();
        let peaks = peaks.filter(|(at, _)| now.saturating_sub(*at) <= window);
        peaks.map(|(_, work)| *work).fold(0.0, f64::max)
    }

    fn exhausted_zones(&self, service: &SharedName, now: Duration) -> Vec<SharedName> {
        let mut state = self.state.borrow_mut();
        state.exhausted.retain(|_, until| *until > now);
        let keys = state.exhausted.keys().filter(|key| key.service == *service);
        keys.map(|key| key.zone.clone()).collect()
    }

    /// Returns the highest number of dependable replicas seen, while demand is still uncertain; 0
    /// afterwards.
    fn baseline(&self, service: &SharedName, now: Duration) -> u32 {
        match self.observed_for(now) < DEMAND_SETTLE_TIME {
            true => self.state.borrow().baselines.get(service).copied().unwrap_or_default(),
            false => 0,
        }
    }

    fn observed_for(&self, now: Duration) -> Duration {
        self.state.borrow().first_seen.map_or(Duration::ZERO, |first| now.saturating_sub(first))
    }
}
