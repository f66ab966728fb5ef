//! Arbitration of one pool's slots among the requests of one node or of all nodes.
//!
//! Requests, classes, organisations, replicas and nodes stand in tables; [`PoolArbiter::tick`] runs
//! the systems over them: expiry, grants, preemption, clean-up. Decisions are collected in order
//! and taken out by the caller.

mod class;
mod grant;
mod preempt;
pub mod replica;
pub mod request;
mod room;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use class::{FLOOR_GRANTS, FLOOR_GRANTS_SLOW, FLOOR_WAIT};
pub use preempt::PREEMPT_FRACTION;
pub use replica::ReplicaSpec;
pub use request::{RequestKey, SlotDemand, SlotOutcome};
pub use room::MAX_WAITING;

use crate::collections::{HashMap, SharedName};
use crate::estimate::EstimateTable;
use crate::refusal::RefusalReason;
use crate::upstream::LoadReport;
use class::ClassQueue;
use replica::ReplicaTable;
use request::{RequestRow, RequestState, RequestTable, SlotRow};

/// Time between clean-ups of idle organisations and classes.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Time to come back where no replica may serve a request.
pub const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// Weight of a new observation in the pool's time for one token.
const RATE_WEIGHT: f64 = 0.05;

/// Decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArbiterDecision {
    /// The request holds a slot.
    Grant {
        /// Request.
        key: RequestKey,
        /// Replica on which the slot is.
        replica: SharedName,
    },
    /// The request is refused.
    Refuse {
        /// Request.
        key: RequestKey,
        /// Cause.
        reason: RefusalReason,
        /// Time to come back.
        retry_after: Duration,
    },
    /// The slot is taken back; it counts as used until it is returned.
    Recall {
        /// Request that holds the slot.
        key: RequestKey,
    },
}

/// Tier and name of a class, in the order of service.
type QueueKey = (u8, SharedName);

/// Slots of one pool, and the requests that hold them or wait for them.
#[derive(Clone, Debug)]
pub struct PoolArbiter {
    max_waiting: usize,
    requests: RequestTable,
    queues: BTreeMap<QueueKey, ClassQueue>,
    replicas: ReplicaTable,
    estimates: EstimateTable,
    // Requests by node.
    nodes: HashMap<SharedName, BTreeSet<u64>>,
    // Waiting requests by deadline.
    deadlines: BTreeSet<(Duration, RequestKey)>,
    // Slots that may be taken back, by tier and time of grant.
    preemptible: BTreeSet<(u8, Duration, RequestKey)>,
    // Slots taken back and not yet returned.
    recalls: usize,
    // Returned slots that a preemption freed and that go to the highest tier waiting.
    owed_grants: usize,
    waiting: usize,
    running: usize,
    secs_per_unit: f64,
    cleaned: Duration,
    decisions: Vec<ArbiterDecision>,
}

impl Default for PoolArbiter {
    fn default() -> Self {
        Self::new(MAX_WAITING)
    }
}

impl PoolArbiter {
    /// Makes an arbiter without replicas whose queue has room for `max_waiting` requests, besides
    /// one of each class.
    pub fn new(max_waiting: usize) -> Self {
        Self {
            max_waiting,
            requests: RequestTable::default(),
            queues: BTreeMap::new(),
            replicas: ReplicaTable::default(),
            estimates: EstimateTable::default(),
            nodes: HashMap::default(),
            deadlines: BTreeSet::new(),
            preemptible: BTreeSet::new(),
            recalls: 0,
            owed_grants: 0,
            waiting: 0,
            running: 0,
            secs_per_unit: 0.0,
            cleaned: Duration::ZERO,
            decisions: Vec::new(),
        }
    }

    /// Takes in the list of the pool's upstreams.
    pub fn observe_replicas(&mut self, now: Duration, specs: &[ReplicaSpec]) {
        self.replicas.observe_list(now, specs);
    }

    /// Takes in a replica's load report.
    pub fn observe_load(&mut self, now: Duration, replica: &str, report: LoadReport) {
        self.replicas.observe_load(now, replica, report);
    }

    /// Limits every replica to a fraction of its slots; `None` lifts the limit.
    pub fn set_share(&mut self, share: Option<f64>) {
        self.replicas.set_share(share);
    }

    /// Queues a request, or refuses it at once; the decision on a known request is repeated.
    pub fn submit(&mut self, now: Duration, demand: SlotDemand) {
        if let Some(row) = self.requests.get(&demand.key) {
            if let RequestState::Granted(slot) = &row.state {
                let replica = slot.replica.clone();
                self.decisions.push(ArbiterDecision::Grant { key: demand.key, replica });
            }
            return;
        }
        if let Err((reason, retry_after)) = self.admit(now, &demand) {
            let key = demand.key;
            self.decisions.push(ArbiterDecision::Refuse { key, reason, retry_after });
            return;
        }
        self.enqueue(now, demand);
    }

    /// Takes over a slot that another owner granted.
    pub fn adopt(&mut self, now: Duration, demand: SlotDemand, replica: SharedName, started: bool) {
        if self.requests.contains_key(&demand.key) {
            return;
        }
        let units = self.expected_units(&demand);
        self.queues.entry(queue_key(&demand)).or_default().adopt();
        let slot = SlotRow { replica, since: now, started, recalled: false, floor: false };
        self.hold(demand, units, slot);
    }

    /// Notes that the answer of a request has begun.
    pub fn note_started(&mut self, key: &RequestKey) {
        let Some(row) = self.requests.get_mut(key) else { return };
        if let RequestState::Granted(slot) = &mut row.state {
            slot.started = true;
            if std::mem::take(&mut slot.recalled) {
                self.recalls -= 1;
            }
            self.preemptible.remove(&(row.demand.tier, slot.since, key.clone()));
        }
    }

    /// Ends a request, queued or granted.
    pub fn finish(&mut self, now: Duration, key: &RequestKey, outcome: SlotOutcome) {
        let Some(row) = self.forget(key) else { return };
        match &row.state {
            RequestState::Waiting { place } => self.unqueue(&row, *place),
            RequestState::Granted(slot) => self.release(now, &row, slot, outcome),
        }
    }

    /// Ends all requests of a node that is gone.
    pub fn drop_node(&mut self, now: Duration, node: &str) {
        self.retain_requests(now, node, &BTreeSet::new());
    }

    /// Ends the requests of a node that it no longer names; returns named ones that are unknown.
    pub fn retain_requests(
        &mut self,
        now: Duration,
        node: &str,
        named: &BTreeSet<u64>,
    ) -> Vec<u64> {
        let known = self.nodes.get_key_value(node);
        let Some((name, known)) = known.map(|(name, known)| (name.clone(), known.clone())) else {
            return named.iter().copied().collect();
        };
        let gone = SlotOutcome { tokens: 0, failed: false, abandoned: true };
        for request in known.difference(named) {
            let key = RequestKey { node: name.clone(), request: *request };
            self.finish(now, &key, gone);
        }
        named.difference(&known).copied().collect()
    }

    /// Runs the systems at `now`.
    pub fn tick(&mut self, now: Duration) {
        self.expire(now);
        self.grant(now);
        self.preempt(now);
        self.clean_up(now);
    }

    /// Takes out the decisions since the last call, in order.
    pub fn take_decisions(&mut self) -> Vec<ArbiterDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Slots in use.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Slots in use on one replica.
    pub fn held(&self, replica: &str) -> u32 {
        self.replicas.held(replica)
    }

    /// Whether a replica is out of the pool as an outlier.
    pub fn is_ejected(&self, replica: &str) -> bool {
        self.replicas.is_ejected(replica)
    }

    /// Whether a request is queued or holds a slot.
    pub fn contains(&self, key: &RequestKey) -> bool {
        self.requests.contains_key(key)
    }

    /// Whether a node has requests here.
    pub fn serves_node(&self, node: &str) -> bool {
        self.nodes.contains_key(node)
    }

    /// Nodes with requests here.
    pub fn nodes(&self) -> impl Iterator<Item = &SharedName> {
        self.nodes.keys()
    }

    /// Organisations and classes held, for bounds on memory.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.queues.values().map(ClassQueue::organisations).sum(), self.queues.len())
    }

    fn enqueue(&mut self, now: Duration, demand: SlotDemand) {
        let units = self.expected_units(&demand);
        let queue = self.queues.entry(queue_key(&demand)).or_default();
        let request = (demand.key.clone(), units);
        let place = queue.push(now, &demand.organisation, request, demand.preempted);
        self.waiting += 1;
        self.deadlines.insert((demand.deadline, demand.key.clone()));
        self.list_node(&demand.key);
        let key = demand.key.clone();
        let state = RequestState::Waiting { place };
        self.requests.insert(key, RequestRow { demand, units, state });
    }

    /// Enters a request that holds a slot.
    fn hold(&mut self, demand: SlotDemand, units: u32, slot: SlotRow) {
        self.replicas.take(&slot.replica, units);
        self.running += 1;
        let key = demand.key.clone();
        self.list_node(&key);
        let (tier, since) = (demand.tier, slot.since);
        let row = RequestRow { demand, units, state: RequestState::Granted(slot) };
        if row.is_preemptible() {
            self.preemptible.insert((tier, since, key.clone()));
        }
        self.requests.insert(key, row);
    }

    fn release(&mut self, now: Duration, row: &RequestRow, slot: &SlotRow, outcome: SlotOutcome) {
        self.running -= 1;
        self.preemptible.remove(&(row.demand.tier, slot.since, row.demand.key.clone()));
        if slot.recalled {
            self.recalls -= 1;
            self.owed_grants += 1;
        }
        self.replicas.put_back(&slot.replica, row.units);
        let service = now.saturating_sub(slot.since);
        self.replicas.observe_outcome(now, &slot.replica, outcome, service);
        let demand = &row.demand;
        if let Some(queue) = self.queues.get_mut(&queue_key(demand)) {
            let charge = actual_charge(row.units, slot.recalled, outcome);
            queue.correct(&demand.organisation, row.units, charge);
        }
        if outcome.failed || outcome.abandoned {
            return;
        }
        self.estimates.observe(&demand.class, &demand.organisation, outcome.tokens);
        let unit_time = service.as_secs_f64() / f64::from(outcome.tokens.max(1));
        if self.secs_per_unit == 0.0 {
            self.secs_per_unit = unit_time;
        }
        self.secs_per_unit += (unit_time - self.secs_per_unit) * RATE_WEIGHT;
    }

    /// Removes a waiting request from its queue.
    fn unqueue(&mut self, row: &RequestRow, place: i64) {
        self.waiting -= 1;
        self.deadlines.remove(&(row.demand.deadline, row.demand.key.clone()));
        if let Some(queue) = self.queues.get_mut(&queue_key(&row.demand)) {
            queue.remove(&row.demand.organisation, place);
        }
    }

    /// Removes a request from the tables of requests and nodes.
    fn forget(&mut self, key: &RequestKey) -> Option<RequestRow> {
        let row = self.requests.remove(key)?;
        if let Some(requests) = self.nodes.get_mut(&key.node) {
            requests.remove(&key.request);
            if requests.is_empty() {
                self.nodes.remove(&key.node);
            }
        }
        Some(row)
    }

    /// Refuses a waiting request.
    fn shed(&mut self, key: &RequestKey, reason: RefusalReason, retry_after: Duration) {
        let Some(row) = self.forget(key) else { return };
        if let RequestState::Waiting { place } = row.state {
            self.unqueue(&row, place);
        }
        let key = row.demand.key;
        self.decisions.push(ArbiterDecision::Refuse { key, reason, retry_after });
    }

    /// Refuses waiting requests whose deadline has passed.
    fn expire(&mut self, now: Duration) {
        while let Some((deadline, key)) = self.deadlines.first() {
            if *deadline > now {
                return;
            }
            let key = key.clone();
            let tier = self.requests.get(&key).map_or(u8::MAX, |row| row.demand.tier);
            let retry_after = self.retry_after(now, tier);
            self.shed(&key, RefusalReason::Deadline, retry_after);
        }
    }

    fn clean_up(&mut self, now: Duration) {
        if now.saturating_sub(self.cleaned) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned = now;
        for queue in self.queues.values_mut() {
            queue.forget_idle();
        }
        self.queues.retain(|_, queue| !queue.is_forgettable());
    }

    fn expected_units(&self, demand: &SlotDemand) -> u32 {
        self.estimates.expected(&demand.class, &demand.organisation, demand.max_tokens)
    }

    fn list_node(&mut self, key: &RequestKey) {
        self.nodes.entry(key.node.clone()).or_default().insert(key.request);
    }
}

/// Tokens that the use of a slot costs its organisation: none where the slot was taken back, the
/// expected ones where the work was left, since it used the replica all the same.
fn actual_charge(expected: u32, recalled: bool, outcome: SlotOutcome) -> u32 {
    match (recalled, outcome.abandoned) {
        (true, true) => 0,
        (false, true) => expected.max(outcome.tokens),
        (_, false) => outcome.tokens.max(1),
    }
}

fn queue_key(demand: &SlotDemand) -> QueueKey {
    (demand.tier, demand.class.clone())
}
