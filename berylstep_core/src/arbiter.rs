//! Scheduler for the slots of one pool. It serves the requests of one node or of all nodes.
//!
//! [`PoolArbiter::tick`] runs the scheduling steps over the tables of requests, classes and
//! replicas: expiry, grants, preemption and clean-up. The caller drains the decisions, which are
//! kept in order.

mod admission;
mod class;
mod grant;
mod preempt;
pub mod replica;
pub mod request;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use admission::MAX_WAITING;
pub use class::{MAX_MISSED_GRANTS, MAX_MISSED_GRANTS_AFTER_WAIT, STARVATION_WAIT};
pub use preempt::PREEMPT_FRACTION;
pub use replica::ReplicaSpec;
pub use request::{RequestKey, SlotDemand, SlotOutcome};

use crate::collections::{HashMap, SharedName};
use crate::estimate::EstimateTable;
use crate::refusal::RefusalReason;
use crate::upstream::LoadReport;
use class::ClassQueue;
use replica::ReplicaTable;
use request::{RequestRow, RequestState, RequestTable, SlotRow};

/// Interval between clean-ups of idle organisations and classes.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Retry delay of a request that no replica may serve.
pub const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// Weight of a new sample in the moving average of the pool's time per token.
const RATE_WEIGHT: f64 = 0.05;

/// Decision of the scheduler on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArbiterDecision {
    /// The request is given a slot.
    Grant {
        /// Request that holds the slot from now on.
        key: RequestKey,
        /// Identifier of the replica that provides the slot.
        replica: SharedName,
    },
    /// The request is rejected without being served.
    Refuse {
        /// Request that leaves the queue or never entered it.
        key: RequestKey,
        /// Reason that is sent to the caller.
        reason: RefusalReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The slot is preempted. It stays in use until it is returned.
    Recall {
        /// Request that holds the slot.
        key: RequestKey,
    },
}

/// Tier and name of a class, sorted by priority.
type QueueKey = (u8, SharedName);

/// Scheduler for one pool: the requests that hold its slots or wait for them.
#[derive(Clone, Debug)]
pub struct PoolArbiter {
    max_waiting: usize,
    requests: RequestTable,
    queues: BTreeMap<QueueKey, ClassQueue>,
    replicas: ReplicaTable,
    estimates: EstimateTable,
    // Request numbers by node.
    nodes: HashMap<SharedName, BTreeSet<u64>>,
    // Waiting requests ordered by deadline.
    deadlines: BTreeSet<(Duration, RequestKey)>,
    // Running requests that may be preempted, ordered by tier and grant time.
    preemptible: BTreeSet<(u8, Duration, RequestKey)>,
    // Preempted slots that have not been returned yet.
    recalls: usize,
    // Slots returned after a preemption. Each goes to the highest waiting tier.
    preemption_credits: usize,
    waiting: usize,
    running: usize,
    secs_per_token: f64,
    last_cleanup: Duration,
    decisions: Vec<ArbiterDecision>,
}

impl Default for PoolArbiter {
    fn default() -> Self {
        Self::new(MAX_WAITING)
    }
}

impl PoolArbiter {
    /// Creates an arbiter without replicas. Its queue holds up to `max_waiting` requests, not
    /// counting one of each class.
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
            preemption_credits: 0,
            waiting: 0,
            running: 0,
            secs_per_token: 0.0,
            last_cleanup: Duration::ZERO,
            decisions: Vec::new(),
        }
    }

    /// Replaces the list of the pool's replicas.
    pub fn observe_replicas(&mut self, now: Duration, specs: &[ReplicaSpec]) {
        self.replicas.observe_list(now, specs);
    }

    /// Records the load report of a replica, received at `now`.
    pub fn observe_load(&mut self, now: Duration, replica: &str, report: LoadReport) {
        self.replicas.observe_load(now, replica, report);
    }

    /// Limits every replica to a fraction of its slots, from 0 to 1. `None` removes the limit.
    pub fn set_share(&mut self, share: Option<f64>) {
        self.replicas.set_share(share);
    }

    /// Queues a request, or refuses it at once.
    ///
    /// Idempotent: a request that already holds a slot gets the same grant again.
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

    /// Records a slot that a previous owner of the pool granted.
    pub fn adopt(&mut self, now: Duration, demand: SlotDemand, replica: SharedName, started: bool) {
        if self.requests.contains_key(&demand.key) {
            return;
        }
        let tokens = self.expected_tokens(&demand);
        self.queues.entry(queue_key(&demand)).or_default().adopt();
        let slot = SlotRow { replica, since: now, started, recalled: false, guaranteed: false };
        self.insert_running(demand, tokens, slot);
    }

    /// Records that the response of a request has started, which rules out its preemption.
    pub fn record_started(&mut self, key: &RequestKey) {
        let Some(row) = self.requests.get_mut(key) else { return };
        if let RequestState::Granted(slot) = &mut row.state {
            slot.started = true;
            if std::mem::take(&mut slot.recalled) {
                self.recalls -= 1;
            }
            self.preemptible.remove(&(row.demand.tier, slot.since, key.clone()));
        }
    }

    /// Removes a request that has ended, whether it was queued or held a slot.
    pub fn finish(&mut self, now: Duration, key: &RequestKey, outcome: SlotOutcome) {
        let Some(row) = self.remove_request(key) else { return };
        match &row.state {
            RequestState::Waiting { position } => self.dequeue(&row, *position),
            RequestState::Granted(slot) => self.release(now, &row, slot, outcome),
        }
    }

    /// Removes all requests of a node that is gone.
    pub fn drop_node(&mut self, now: Duration, node: &str) {
        self.retain_requests(now, node, &BTreeSet::new());
    }

    /// Removes the requests of a node that are not in `named`.
    ///
    /// Returns the named requests that are unknown here.
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
        let abandoned = SlotOutcome { tokens: 0, failed: false, abandoned: true };
        for request in known.difference(named) {
            let key = RequestKey { node: name.clone(), request: *request };
            self.finish(now, &key, abandoned);
        }
        named.difference(&known).copied().collect()
    }

    /// Runs expiry, grants, preemption and clean-up at `now`.
    pub fn tick(&mut self, now: Duration) {
        self.expire(now);
        self.grant(now);
        self.preempt(now);
        self.clean_up(now);
    }

    /// Drains the decisions made since the last call, in order.
    pub fn take_decisions(&mut self) -> Vec<ArbiterDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of slots in use.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of slots in use on one replica.
    pub fn held(&self, replica: &str) -> u32 {
        self.replicas.held(replica)
    }

    /// Returns whether a replica is ejected from the pool as an outlier.
    pub fn is_ejected(&self, replica: &str) -> bool {
        self.replicas.is_ejected(replica)
    }

    /// Returns whether a request is queued or holds a slot.
    pub fn contains(&self, key: &RequestKey) -> bool {
        self.requests.contains_key(key)
    }

    /// Returns whether a node has queued or running requests.
    pub fn serves_node(&self, node: &str) -> bool {
        self.nodes.contains_key(node)
    }

    /// Returns the nodes with queued or running requests.
    pub fn nodes(&self) -> impl Iterator<Item = &SharedName> {
        self.nodes.keys()
    }

    /// Returns the number of organisations and of classes in memory.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.queues.values().map(ClassQueue::organisation_count).sum(), self.queues.len())
    }

    fn enqueue(&mut self, now: Duration, demand: SlotDemand) {
        let tokens = self.expected_tokens(&demand);
        let queue = self.queues.entry(queue_key(&demand)).or_default();
        let request = (demand.key.clone(), tokens);
        let position = queue.push(now, &demand.organisation, request, demand.preempted);
        self.waiting += 1;
        self.deadlines.insert((demand.deadline, demand.key.clone()));
        self.index_node(&demand.key);
        let key = demand.key.clone();
        let state = RequestState::Waiting { position };
        self.requests.insert(key, RequestRow { demand, tokens, state });
    }

    /// Inserts a request that holds a slot.
    fn insert_running(&mut self, demand: SlotDemand, tokens: u32, slot: SlotRow) {
        self.replicas.occupy_slot(&slot.replica, tokens);
        self.running += 1;
        let key = demand.key.clone();
        self.index_node(&key);
        let (tier, since) = (demand.tier, slot.since);
        let row = RequestRow { demand, tokens, state: RequestState::Granted(slot) };
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
            self.preemption_credits += 1;
        }
        self.replicas.release_slot(&slot.replica, row.tokens);
        let service = now.saturating_sub(slot.since);
        self.replicas.observe_outcome(now, &slot.replica, outcome, service);
        let demand = &row.demand;
        if let Some(queue) = self.queues.get_mut(&queue_key(demand)) {
            let charge = actual_charge(row.tokens, slot.recalled, outcome);
            queue.settle_charge(&demand.organisation, row.tokens, charge);
        }
        if outcome.failed || outcome.abandoned {
            return;
        }
        self.estimates.observe(&demand.class, &demand.organisation, outcome.tokens);
        let secs_per_token = service.as_secs_f64() / f64::from(outcome.tokens.max(1));
        if self.secs_per_token == 0.0 {
            self.secs_per_token = secs_per_token;
        }
        self.secs_per_token += (secs_per_token - self.secs_per_token) * RATE_WEIGHT;
    }

    /// Removes a waiting request from its queue.
    fn dequeue(&mut self, row: &RequestRow, position: i64) {
        self.waiting -= 1;
        self.deadlines.remove(&(row.demand.deadline, row.demand.key.clone()));
        if let Some(queue) = self.queues.get_mut(&queue_key(&row.demand)) {
            queue.remove(&row.demand.organisation, position);
        }
    }

    /// Removes a request from the table of requests and the index by node.
    fn remove_request(&mut self, key: &RequestKey) -> Option<RequestRow> {
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
        let Some(row) = self.remove_request(key) else { return };
        if let RequestState::Waiting { position } = row.state {
            self.dequeue(&row, position);
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
        if now.saturating_sub(self.last_cleanup) < CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now;
        for queue in self.queues.values_mut() {
            queue.evict_idle();
        }
        self.queues.retain(|_, queue| !queue.is_removable());
    }

    fn expected_tokens(&self, demand: &SlotDemand) -> u32 {
        self.estimates.expected(&demand.class, &demand.organisation, demand.max_tokens)
    }

    fn index_node(&mut self, key: &RequestKey) {
        self.nodes.entry(key.node.clone()).or_default().insert(key.request);
    }
}

/// Returns the tokens that an organisation is charged for the use of a slot.
///
/// A preempted request that was abandoned is free. Any other abandoned request costs at least its
/// expected tokens, since the replica worked on it nevertheless.
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
