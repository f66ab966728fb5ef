//! Orders of replicas: what is wanted, what was ordered and what came of it.

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

/// Time beyond the start of a replica after which an order that shows no effect is placed again; an
/// order without an answer may be carried out that late.
const EFFECT_SLACK: Duration = Duration::from_secs(3);

/// Time for which no reclaimable replicas are ordered in a zone that had none.
const EXHAUSTED_TIME: Duration = Duration::from_secs(4);

/// Time after the first replicas were seen until demand is known well enough to release replicas.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// Time after the first replicas were seen until all that run have announced themselves.
const ANNOUNCE_TIME: Duration = Duration::from_secs(3);

/// Time over which the present demand is taken: about the start of a replica.
const PRESENT_TIME: Duration = Duration::from_secs(4);

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OrderSubject {
    service: SharedName,
    zone: SharedName,
    spot: bool,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: Duration,
    /// Most replicas that were there since.
    seen: u32,
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
    placed: HashMap<OrderSubject, PlacedOrder>,
    exhausted: HashMap<OrderSubject, Duration>,
    zones: HashMap<SharedName, Vec<SharedName>>,
    peaks: HashMap<SharedName, Vec<(Duration, f64)>>,
    baselines: HashMap<SharedName, u32>,
    since: Option<Duration>,
}

impl OrderPlanner {
    /// A desk that has ordered nothing.
    pub fn new(
        clock: RuntimeClock,
        mirror: Rc<StoreMirror>,
        peers: Rc<PeerTable>,
        demand: Rc<DemandLedger>,
    ) -> Self {
        Self { clock, mirror, peers, demand, state: RefCell::default() }
    }

    /// Takes in replicas and demand, also while another node holds the duty, so that a takeover
    /// begins with what is known.
    pub fn observe(&self) {
        let Some(desired) = self.mirror.desired() else { return };
        let now = self.clock.now();
        for service in desired.services().filter(|service| service.scaling.is_some()) {
            let present = self.present(service);
            let total: u32 = present.iter().map(|zone| zone.dependable + zone.spot).sum();
            if total > 0 {
                let mut state = self.state.borrow_mut();
                state.since.get_or_insert(now);
                let dependable = present.iter().map(|zone| zone.dependable).sum();
                let baseline = state.baselines.entry(service.name.clone()).or_default();
                *baseline = (*baseline).max(dependable);
            }
            self.note_demand(&service.name, now);
        }
    }

    /// Orders that are to be placed now.
    pub fn due(&self) -> Vec<ReplicaOrder> {
        let Some(desired) = self.mirror.desired() else { return Vec::new() };
        let now = self.clock.now();
        let mut due = Vec::new();
        for service in desired.services() {
            let Some(bounds) = &service.scaling else { continue };
            let present = self.present(service);
            if present.is_empty() || self.observed_for(now) < ANNOUNCE_TIME {
                continue;
            }
            let work_per_second = self.peak_demand(&service.name, now, DEMAND_WINDOW);
            let current_work = self.peak_demand(&service.name, now, PRESENT_TIME);
            let exhausted = self.exhausted_zones(&service.name, now);
            let baseline = self.baseline(&service.name, now);
            let zones: Vec<_> =
                present.iter().map(|zone| self.zone_state(&service.name, zone)).collect();
            let input = CapacityInput {
                bounds,
                zones: &zones,
                work_per_second,
                current_work,
                exhausted: &exhausted,
                baseline,
            };
            let plan = capacity::plan(&input);
            log::debug!(
                "event=capacity_planned service={} work_per_second={work_per_second:.0} \
                 baseline={baseline} present={present:?} plan={plan:?}",
                service.name
            );
            for (wanted, present) in plan.iter().zip(&present) {
                self.compare(service, wanted, present, bounds.boot, &exhausted, &mut due);
            }
        }
        due
    }

    /// Notes what came of an order.
    pub fn note(&self, order: &ReplicaOrder, result: &Result<(), CallError>) {
        let now = self.clock.now();
        let subject = OrderSubject {
            service: order.service.as_str().into(),
            zone: order.zone.as_str().into(),
            spot: order.spot,
        };
        let mut state = self.state.borrow_mut();
        match result {
            Err(err) if err.is_fenced() => {
                if order.spot {
                    state.exhausted.insert(subject.clone(), now + EXHAUSTED_TIME);
                }
                state.placed.remove(&subject);
            }
            // Nothing was done, so that the order may be placed again at once.
            Err(CallError::TurnedAway(_) | CallError::NotSent(_)) => {
                state.placed.remove(&subject);
            }
            Ok(()) | Err(_) => {
                state.placed.insert(subject, PlacedOrder { count: order.count, at: now, seen: 0 });
            }
        }
    }

    /// Adds the orders that turn `present` into `wanted`.
    fn compare(
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
        for (spot, count, now_present) in kinds {
            let subject =
                OrderSubject { service: service.name.clone(), zone: wanted.zone.clone(), spot };
            let is_due = match state.placed.get_mut(&subject) {
                None => count != now_present,
                Some(placed) if placed.count != count => true,
                Some(placed) => {
                    placed.seen = placed.seen.max(now_present);
                    let overdue = self.clock.now() >= placed.at + boot + EFFECT_SLACK;
                    let reclaimed = now_present < placed.seen.min(count);
                    count != now_present && (overdue || reclaimed)
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
        let subject =
            OrderSubject { service: service.clone(), zone: present.zone.clone(), spot: false };
        let placed = self.state.borrow().placed.get(&subject).map(|placed| placed.count);
        ZoneState {
            present: present.clone(),
            dependable_ordered: placed.unwrap_or(present.dependable),
        }
    }

    /// Replicas that take requests, by zone; zones in which there were some are kept.
    fn present(&self, service: &ServiceEntry) -> Vec<ZoneReplicas> {
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
        let present = zones.iter().map(|zone| ZoneReplicas {
            zone: zone.clone(),
            dependable: count(zone, false),
            spot: count(zone, true),
        });
        present.collect()
    }

    /// Takes in the present demand of all nodes.
    fn note_demand(&self, service: &SharedName, now: Duration) {
        let others = self.peers.demand(now);
        let rate = self.demand.total_rate(service, others.iter());
        self.demand.follow(service, rate);
        let mut state = self.state.borrow_mut();
        let peaks = state.peaks.entry(service.clone()).or_default();
        peaks.push((now, rate.total));
        peaks.retain(|(at, _)| now.saturating_sub(*at) <= DEMAND_WINDOW);
    }

    /// Highest demand within `memory`.
    fn peak_demand(&self, service: &SharedName, now: Duration, memory: Duration) -> f64 {
        let state = self.state.borrow();
        let peaks = state.peaks.get(service).into_iter().flatten();
        let peaks = peaks.filter(|(at, _)| now.saturating_sub(*at) <= memory);
        peaks.map(|(_, work)| *work).fold(0.0, f64::max)
    }

    fn exhausted_zones(&self, service: &SharedName, now: Duration) -> Vec<SharedName> {
        let mut state = self.state.borrow_mut();
        state.exhausted.retain(|_, until| *until > now);
        let subjects = state.exhausted.keys().filter(|subject| subject.service == *service);
        subjects.map(|subject| subject.zone.clone()).collect()
    }

    /// Replicas that were there at first, until demand is known.
    fn baseline(&self, service: &SharedName, now: Duration) -> u32 {
        match self.observed_for(now) < SETTLE_TIME {
            true => self.state.borrow().baselines.get(service).copied().unwrap_or_default(),
            false => 0,
        }
    }

    fn observed_for(&self, now: Duration) -> Duration {
        self.state.borrow().since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}
