//! Ledger of this node's own asks and slots, with the owner of each pool.

use std::collections::BTreeSet;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::refusal::RequestRefusal;
use berylstep_wire::{HeldSlot, SlotAsk, SlotRenewal, SlotReport};
use smol::channel::{bounded, Receiver, Sender};

use super::wire;
use super::{GrantedSlot, SlotRequest};

/// Time without asks after which a pool's view is removed.
const VIEW_EXPIRY: Duration = Duration::from_secs(10);

/// Answer to an ask: the slot, or the refusal that is sent to the caller.
pub type AskAnswer = Result<GrantedSlot, RequestRefusal>;

/// Ask that waits for its answer.
pub struct PendingAsk {
    /// Number of the ask, unique at this node.
    pub request: u64,
    /// Receives the answer.
    pub answer: Receiver<AskAnswer>,
    /// Receives a message when the granted slot is preempted.
    pub recall: Receiver<()>,
}

/// Ask and, once it is granted, its slot.
pub struct LedgerRow {
    /// Requirements of the attempt.
    pub ask: SlotRequest,
    /// Arrival time of the request. A preempted request keeps it when it asks again.
    pub arrived: Duration,
    /// Whether the request was preempted before.
    pub preempted: bool,
    /// Granted slot.
    pub held: Option<GrantedSlot>,
    /// Whether the response has started.
    pub started: bool,
    /// Whether the slot is being preempted.
    pub recalled: bool,
    answer: Sender<AskAnswer>,
    recall: Sender<()>,
}

/// Pool as seen by a node that asks for its slots.
pub struct PoolView {
    /// Node to which asks go.
    pub owner: SharedName,
    /// Time when the owner was set or the pool last had no asks.
    pub since: Duration,
    /// Time of the last renewal of asks and slots.
    pub last_renewal: Duration,
    rows: BTreeSet<u64>,
}

/// Key of a preempted request until it asks again: pool, class, organisation and deadline.
type PreemptedKey = (SharedName, SharedName, SharedName, Duration);

/// Asks and slots by number.
#[derive(Default)]
pub struct SlotLedger {
    rows: HashMap<u64, LedgerRow>,
    pools: HashMap<SharedName, PoolView>,
    // Arrival times of preempted requests.
    preempted: HashMap<PreemptedKey, Duration>,
    next_request: u64,
}

impl SlotLedger {
    /// Inserts an ask. The pool must have a view.
    pub fn insert(&mut self, now: Duration, ask: &SlotRequest) -> PendingAsk {
        self.next_request += 1;
        let request = self.next_request;
        let first_arrival = self.preempted.remove(&preempted_key(ask));
        let (answer, answer_receiver) = bounded(1);
        let (recall, recall_receiver) = bounded(1);
        let row = LedgerRow {
            ask: ask.clone(),
            arrived: first_arrival.unwrap_or(now),
            preempted: first_arrival.is_some(),
            held: None,
            started: false,
            recalled: false,
            answer,
            recall,
        };
        if let Some(view) = self.pools.get_mut(&ask.pool) {
            if view.rows.is_empty() {
                view.since = now;
                view.last_renewal = now;
            }
            view.rows.insert(request);
        }
        self.rows.insert(request, row);
        PendingAsk { request, answer: answer_receiver, recall: recall_receiver }
    }

    /// Removes an ask that has ended.
    pub fn remove(&mut self, now: Duration, request: u64) -> Option<LedgerRow> {
        let row = self.rows.remove(&request)?;
        if let Some(view) = self.pools.get_mut(&row.ask.pool) {
            view.rows.remove(&request);
            if view.rows.is_empty() {
                view.since = now;
            }
        }
        if row.recalled && !row.started && row.ask.deadline > now {
            self.preempted.insert(preempted_key(&row.ask), row.arrived);
        }
        Some(row)
    }

    /// Returns whether no ask waits and no slot is held.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the ask with this number.
    pub fn get_mut(&mut self, request: u64) -> Option<&mut LedgerRow> {
        self.rows.get_mut(&request)
    }

    /// Records a grant. Returns false if the ask has ended or holds another slot.
    pub fn grant(&mut self, request: u64, slot: GrantedSlot) -> bool {
        let Some(row) = self.rows.get_mut(&request) else { return false };
        if let Some(held) = &row.held {
            return *held == slot;
        }
        row.held = Some(slot.clone());
        row.answer.try_send(Ok(slot)).is_ok()
    }

    /// Ends a waiting ask with a refusal.
    pub fn refuse(&mut self, now: Duration, request: u64, refusal: RequestRefusal) {
        let waiting = self.rows.get(&request).is_some_and(|row| row.held.is_none());
        if !waiting {
            return;
        }
        if let Some(row) = self.remove(now, request) {
            if row.answer.try_send(Err(refusal)).is_err() {
                log::debug!("request {request} was cancelled before its refusal arrived");
            }
        }
    }

    /// Notifies the attempt of a preemption, unless its response has started.
    pub fn recall(&mut self, request: u64) {
        let Some(row) = self.rows.get_mut(&request) else { return };
        if row.held.is_some() && !row.started {
            row.recalled = true;
            if row.recall.try_send(()).is_err() {
                log::debug!("request {request} ended before its recall arrived");
            }
        }
    }

    /// Returns the view of a pool.
    pub fn view(&self, pool: &str) -> Option<&PoolView> {
        self.pools.get(pool)
    }

    /// Sets the owner of a pool, and adds a view if there is none.
    pub fn set_owner(&mut self, now: Duration, pool: &SharedName, owner: SharedName) {
        let new_view = || PoolView {
            owner: owner.clone(),
            since: now,
            last_renewal: now,
            rows: BTreeSet::new(),
        };
        let view = self.pools.entry(pool.clone()).or_insert_with(new_view);
        view.owner = owner.clone();
        view.since = now;
    }

    /// Returns the views of all pools.
    pub fn pools(&self) -> impl Iterator<Item = (&SharedName, &PoolView)> {
        self.pools.iter()
    }

    /// Returns the report of a pool's slots for a new owner, and of its waiting asks if
    /// `with_waiting` is set.
    pub fn report(&self, now: Duration, pool: &SharedName, with_waiting: bool) -> SlotReport {
        let mut report = SlotReport { pool: pool.to_string(), ..SlotReport::default() };
        let Some(view) = self.pools.get(pool) else { return report };
        for (request, row) in view.rows.iter().filter_map(|id| Some((*id, self.rows.get(id)?))) {
            let ask = Some(wire::slot_ask(now, request, row));
            match &row.held {
                Some(slot) => report.held.push(HeldSlot {
                    ask,
                    upstream: slot.upstream.to_string(),
                    started: row.started,
                }),
                None if with_waiting => report.waiting.extend(ask),
                None => {}
            }
        }
        report
    }

    /// Returns the message for an ask.
    pub fn ask_message(&self, now: Duration, request: u64) -> Option<SlotAsk> {
        Some(wire::slot_ask(now, request, self.rows.get(&request)?))
    }

    /// Returns the renewals that are due, with their receivers.
    pub fn due_renewals(
        &mut self,
        now: Duration,
        interval: Duration,
    ) -> Vec<(SharedName, SlotRenewal)> {
        let mut due = Vec::new();
        for (pool, view) in &mut self.pools {
            if !view.rows.is_empty() && now.saturating_sub(view.last_renewal) >= interval {
                view.last_renewal = now;
                let requests = view.rows.iter().copied().collect();
                due.push((view.owner.clone(), SlotRenewal { pool: pool.to_string(), requests }));
            }
        }
        due
    }

    /// Removes expired views, and preempted requests that did not ask again before their deadline.
    pub fn evict_idle(&mut self, now: Duration) {
        let expired =
            |view: &PoolView| view.rows.is_empty() && now.saturating_sub(view.since) > VIEW_EXPIRY;
        self.pools.retain(|_, view| !expired(view));
        self.preempted.retain(|(_, _, _, deadline), _| *deadline > now);
    }
}

impl PoolView {
    /// Returns whether asks or slots are open.
    pub fn is_used(&self) -> bool {
        !self.rows.is_empty()
    }
}

fn preempted_key(ask: &SlotRequest) -> PreemptedKey {
    (ask.pool.clone(), ask.class.clone(), ask.organisation.clone(), ask.deadline)
}
