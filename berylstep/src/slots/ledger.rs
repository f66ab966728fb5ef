//! This node's own asks and slots, by pool and owner.

use std::collections::BTreeSet;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::refusal::RequestRefusal;
use berylstep_wire::{HeldSlot, SlotAsk, SlotRenewal, SlotReport};
use smol::channel::{bounded, Receiver, Sender};

use super::wire;
use super::{GrantedSlot, SlotRequest};

/// Time without asks after which a pool's owner is forgotten.
const VIEW_EXPIRY: Duration = Duration::from_secs(10);

/// Answer to an ask.
pub type AskAnswer = Result<GrantedSlot, RequestRefusal>;

/// An ask whose answer is awaited.
pub struct PendingAsk {
    /// Number of the ask at this node.
    pub request: u64,
    /// Receives the answer.
    pub answer: Receiver<AskAnswer>,
    /// Receives when the granted slot is taken back.
    pub recall: Receiver<()>,
}

/// One ask and, once it is granted, its slot.
pub struct LedgerRow {
    /// What was asked for.
    pub ask: SlotRequest,
    /// When the request came first.
    pub arrived: Duration,
    /// Whether the request lost a slot to a higher tier before.
    pub preempted: bool,
    /// Granted slot.
    pub held: Option<GrantedSlot>,
    /// Whether the answer has begun.
    pub started: bool,
    /// Whether the slot is being taken back.
    pub recalled: bool,
    answer: Sender<AskAnswer>,
    recall: Sender<()>,
}

/// A pool as this node uses it.
pub struct PoolView {
    /// Node to which asks go.
    pub owner: SharedName,
    /// When the owner was chosen or the pool was last without asks.
    pub since: Duration,
    /// When asks and slots were last renewed.
    pub renewed: Duration,
    rows: BTreeSet<u64>,
}

/// Identity of a preempted request until it asks anew: pool, class, organisation and deadline.
type PreemptedKey = (SharedName, SharedName, SharedName, Duration);

/// Asks and slots by number.
#[derive(Default)]
pub struct SlotLedger {
    rows: HashMap<u64, LedgerRow>,
    pools: HashMap<SharedName, PoolView>,
    // When requests that lost their slot came first.
    preempted: HashMap<PreemptedKey, Duration>,
    next_request: u64,
}

impl SlotLedger {
    /// Enters an ask; the pool must have a view.
    pub fn enter(&mut self, now: Duration, ask: &SlotRequest) -> PendingAsk {
        self.next_request += 1;
        let request = self.next_request;
        let first_asked = self.preempted.remove(&preempted_key(ask));
        let (answer, answers) = bounded(1);
        let (recall, recalls) = bounded(1);
        let row = LedgerRow {
            ask: ask.clone(),
            arrived: first_asked.unwrap_or(now),
            preempted: first_asked.is_some(),
            held: None,
            started: false,
            recalled: false,
            answer,
            recall,
        };
        if let Some(view) = self.pools.get_mut(&ask.pool) {
            if view.rows.is_empty() {
                view.since = now;
                view.renewed = now;
            }
            view.rows.insert(request);
        }
        self.rows.insert(request, row);
        PendingAsk { request, answer: answers, recall: recalls }
    }

    /// Takes out an ask that has ended.
    pub fn leave(&mut self, now: Duration, request: u64) -> Option<LedgerRow> {
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

    /// Whether no ask waits and no slot is held.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Ask by number.
    pub fn get_mut(&mut self, request: u64) -> Option<&mut LedgerRow> {
        self.rows.get_mut(&request)
    }

    /// Enters a grant; false where the ask has ended or holds another slot.
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
        if let Some(row) = self.leave(now, request) {
            if row.answer.try_send(Err(refusal)).is_err() {
                log::debug!("request {request} left before its refusal");
            }
        }
    }

    /// Passes a recall on to the attempt, unless its answer has begun.
    pub fn recall(&mut self, request: u64) {
        let Some(row) = self.rows.get_mut(&request) else { return };
        if row.held.is_some() && !row.started {
            row.recalled = true;
            if row.recall.try_send(()).is_err() {
                log::debug!("request {request} ended before its recall");
            }
        }
    }

    /// View of a pool.
    pub fn view(&self, pool: &str) -> Option<&PoolView> {
        self.pools.get(pool)
    }

    /// Sets the owner of a pool.
    pub fn set_owner(&mut self, now: Duration, pool: &SharedName, owner: SharedName) {
        let fresh =
            || PoolView { owner: owner.clone(), since: now, renewed: now, rows: BTreeSet::new() };
        let view = self.pools.entry(pool.clone()).or_insert_with(fresh);
        view.owner = owner.clone();
        view.since = now;
    }

    /// Pools in use.
    pub fn pools(&self) -> impl Iterator<Item = (&SharedName, &PoolView)> {
        self.pools.iter()
    }

    /// All asks and slots of a pool, for a new owner.
    pub fn report(&self, now: Duration, pool: &SharedName, with_waiting: bool) -> SlotReport {
        let mut report = SlotReport { pool: pool.to_string(), ..SlotReport::default() };
        let Some(view) = self.pools.get(pool) else { return report };
        for (request, row) in view.rows.iter().filter_map(|id| Some((*id, self.rows.get(id)?))) {
            let ask = Some(wire::ask(now, request, row));
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

    /// Message for one ask.
    pub fn ask_message(&self, now: Duration, request: u64) -> Option<SlotAsk> {
        Some(wire::ask(now, request, self.rows.get(&request)?))
    }

    /// Renewals that are due, with the owners they go to.
    pub fn due_renewals(
        &mut self,
        now: Duration,
        interval: Duration,
    ) -> Vec<(SharedName, SlotRenewal)> {
        let mut due = Vec::new();
        for (pool, view) in &mut self.pools {
            if !view.rows.is_empty() && now.saturating_sub(view.renewed) >= interval {
                view.renewed = now;
                let requests = view.rows.iter().copied().collect();
                due.push((view.owner.clone(), SlotRenewal { pool: pool.to_string(), requests }));
            }
        }
        due
    }

    /// Forgets unused pools and preempted requests that did not ask anew.
    pub fn forget_idle(&mut self, now: Duration) {
        let unused =
            |view: &PoolView| view.rows.is_empty() && now.saturating_sub(view.since) > VIEW_EXPIRY;
        self.pools.retain(|_, view| !unused(view));
        self.preempted.retain(|(_, _, _, deadline), _| *deadline > now);
    }
}

impl PoolView {
    /// Whether asks or slots are open.
    pub fn is_used(&self) -> bool {
        !self.rows.is_empty()
    }
}

fn preempted_key(ask: &SlotRequest) -> PreemptedKey {
    (ask.pool.clone(), ask.class.clone(), ask.organisation.clone(), ask.deadline)
}
