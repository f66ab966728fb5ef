//! Slot broker of a node: asks for slots, schedules the pools that the node owns, and exchanges the
//! messages between the two roles.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylstep_core::collections::{HashMap, HashSet, SharedName};
use berylstep_core::limits::{LimitTable, LimitUsage};
use berylstep_core::upstream::LoadReport;
use berylstep_wire::frame::Body;
use berylstep_wire::slot_answer::Decision;
use berylstep_wire::{
    LimitTotal, LimitTotals, PoolLoad, SlotAnswer, SlotRenewal, SlotReturn, SlotStarted,
};

use super::ledger::{PendingAsk, SlotLedger};
use super::owner::{Outbox, OwnedPool};
use super::ownership::OwnerTable;
use super::{wire, SlotOutcome, SlotRequest};
use crate::config::SlotPolicy;
use crate::node::NodeContext;

/// Tick interval while asks or slots are open.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Tick interval while there are none. Asks are sent and answered without waiting for a tick.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between ticks after which this node counts as stalled, for example by a suspension.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Time between ticks after which other nodes have switched to another owner.
const OWNERSHIP_LOSS_THRESHOLD: Duration = Duration::from_millis(500);

/// Interval between updates of the nodes that may own pools.
const OWNER_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between renewals of slots and asks, and between clean-ups.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between broadcasts of the usage of organisations with limits.
const TOTALS_INTERVAL: Duration = Duration::from_millis(200);

/// Tier that is never preempted.
const HIGHEST_TIER: u8 = 1;

/// Asks and slots of this node, and the pools that it owns.
#[derive(Default)]
pub struct SlotBroker {
    state: Mutex<BrokerState>,
    pub(super) outstanding: Mutex<HashMap<SharedName, u32>>,
}

#[derive(Default)]
struct BrokerState {
    ledger: SlotLedger,
    owners: OwnerTable,
    pools: HashMap<SharedName, OwnedPool>,
    limits: LimitTable,
    outbox: Outbox,
    last_tick: Duration,
    last_refresh: Duration,
    last_cleanup: Duration,
    last_totals: Duration,
}

impl SlotBroker {
    fn state(&self) -> MutexGuard<'_, BrokerState> {
        self.state.lock().expect("slot lock")
    }
}

/// Runs the broker's ticks until the node stops.
pub async fn run(node: Arc<NodeContext>) {
    if node.settings.slot_policy == SlotPolicy::Alone {
        return;
    }
    loop {
        tick(&node);
        let interval = match node.slots.state().is_idle() {
            true => IDLE_TICK_INTERVAL,
            false => TICK_INTERVAL,
        };
        node.clock.sleep(interval).await;
    }
}

/// Sends an ask to the owner of its pool.
pub(super) fn submit(node: &Arc<NodeContext>, ask: &SlotRequest) -> PendingAsk {
    let now = node.clock.now();
    let mut state = node.slots.state();
    if state.ledger.view(&ask.pool).is_none() {
        let owner = state.owner(node, now, &ask.pool);
        state.ledger.set_owner(now, &ask.pool, owner);
    }
    let pending = state.ledger.insert(now, ask);
    let owner = state.ledger.view(&ask.pool).map(|view| view.owner.clone());
    let message = state.ledger.ask_message(now, pending.request);
    if let (Some(owner), Some(message)) = (owner, message) {
        state.outbox.push((owner, Body::SlotAsk(message)));
    }
    state.flush(node);
    pending
}

/// Cancels an ask or returns its slot. Without an outcome, the attempt was abandoned.
pub(super) fn end_request(node: &Arc<NodeContext>, request: u64, outcome: Option<SlotOutcome>) {
    let now = node.clock.now();
    let mut state = node.slots.state();
    let Some(row) = state.ledger.remove(now, request) else { return };
    let owner = state.ledger.view(&row.ask.pool).map(|view| view.owner.clone());
    let Some(owner) = owner else { return };
    let ended = SlotReturn {
        request,
        pool: row.ask.pool.to_string(),
        tokens: outcome.map_or(0, |outcome| outcome.tokens),
        failed: outcome.is_some_and(|outcome| outcome.failed),
        abandoned: outcome.is_none(),
    };
    state.outbox.push((owner, Body::SlotReturn(ended)));
    state.flush(node);
}

/// Records that the response of a request has started.
pub(super) fn record_started(node: &Arc<NodeContext>, request: u64) {
    let mut state = node.slots.state();
    let Some(row) = state.ledger.get_mut(request) else { return };
    if std::mem::replace(&mut row.started, true) {
        return;
    }
    // The owner never preempts such a slot and does not need the message.
    if !row.ask.idempotent || row.ask.tier <= HIGHEST_TIER {
        return;
    }
    let pool = row.ask.pool.clone();
    let Some(owner) = state.ledger.view(&pool).map(|view| view.owner.clone()) else { return };
    let started = SlotStarted { request, pool: pool.to_string() };
    state.outbox.push((owner, Body::SlotStarted(started)));
    state.flush(node);
}

/// Records that a message of any kind came from `peer`.
pub fn record_activity(node: &NodeContext, peer: &str) {
    let now = node.clock.now();
    node.slots.state().owners.record_activity(now, &peer.into());
}

/// Handles a peer's message about slots.
pub fn receive(node: &Arc<NodeContext>, from: &str, body: Body) {
    let mut state = node.slots.state();
    state.handle(node, &from.into(), body);
    state.flush(node);
}

/// Updates the owned pools after a change to the list of upstreams.
pub fn refresh_upstreams(node: &Arc<NodeContext>) {
    let mut state = node.slots.state();
    for owned in state.pools.values_mut() {
        owned.observe_list(node);
    }
    state.flush(node);
}

/// Records the load report of an upstream.
pub fn observe_load(node: &NodeContext, pool: &str, upstream: &str, report: LoadReport) {
    let now = node.clock.now();
    if let Some(owned) = node.slots.state().pools.get_mut(pool) {
        owned.observe_load(now, upstream, report);
    }
}

/// Returns those of `pools` that this node owns.
pub fn owned_pools(node: &NodeContext, pools: HashSet<SharedName>) -> HashSet<SharedName> {
    let state = node.slots.state();
    let own = &node.settings.node;
    pools.into_iter().filter(|pool| state.owners.owner(own, pool) == *own).collect()
}

/// Returns the running and waiting requests of the pools that this node owns.
pub fn pool_loads(node: &NodeContext) -> Vec<PoolLoad> {
    let state = node.slots.state();
    let loads = state.pools.iter().map(|(pool, owned)| owned.load(pool));
    loads.collect()
}

fn tick(node: &Arc<NodeContext>) {
    let now = node.clock.now();
    let mut state = node.slots.state();
    let since_tick = now.saturating_sub(state.last_tick);
    if since_tick > STALL_THRESHOLD {
        state.owners.reset_silence(now);
    }
    if since_tick > OWNERSHIP_LOSS_THRESHOLD {
        state.drop_ownership(now);
    }
    state.last_tick = now;
    state.check_owners(now);
    if now.saturating_sub(state.last_refresh) >= OWNER_REFRESH_INTERVAL {
        state.last_refresh = now;
        state.owners.refresh(node, now);
        let share = state.owners.share();
        state.pools.values_mut().for_each(|owned| owned.set_share(share));
    }
    state.switch_owners(node, now);
    for (owner, renewal) in state.ledger.due_renewals(now, RENEWAL_INTERVAL) {
        state.outbox.push((owner, Body::SlotRenewal(renewal)));
    }
    if now.saturating_sub(state.last_cleanup) >= RENEWAL_INTERVAL {
        state.last_cleanup = now;
        state.clean_up(node, now);
    }
    if now.saturating_sub(state.last_totals) >= TOTALS_INTERVAL {
        state.last_totals = now;
        state.broadcast_totals(node);
    }
    state.flush(node);
}

impl BrokerState {
    /// Returns whether this node has no asks or slots, and no requests in the pools it owns.
    fn is_idle(&self) -> bool {
        self.ledger.is_empty() && self.pools.values().all(OwnedPool::is_idle)
    }

    fn owner(&mut self, node: &NodeContext, now: Duration, pool: &str) -> SharedName {
        self.owners.refresh(node, now);
        self.owners.owner(&node.settings.node, pool)
    }

    /// Drops the pools that this node owned before a stall, and reports its asks and slots again.
    fn drop_ownership(&mut self, now: Duration) {
        self.pools.clear();
        self.limits = LimitTable::default();
        let used = self.ledger.pools().filter(|(_, view)| view.is_used());
        let used: Vec<_> = used.map(|(pool, view)| (pool.clone(), view.owner.clone())).collect();
        for (pool, owner) in used {
            let report = self.ledger.report(now, &pool, true);
            self.outbox.push((owner, Body::SlotReport(report)));
        }
    }

    fn check_owners(&mut self, now: Duration) {
        for (_, view) in self.ledger.pools().filter(|(_, view)| view.is_used()) {
            self.owners.suspect_if_silent(now, &view.owner, view.since);
        }
    }

    /// Switches to the current owner of each pool and reports this node's asks and slots to it.
    fn switch_owners(&mut self, node: &NodeContext, now: Duration) {
        let own = &node.settings.node;
        let pools: Vec<_> =
            self.ledger.pools().map(|(pool, view)| (pool.clone(), view.owner.clone())).collect();
        for (pool, before) in pools {
            let owner = self.owners.owner(own, &pool);
            if owner == before {
                continue;
            }
            log::info!("owner of the pool changed: pool={pool} before={before} owner={owner}");
            self.ledger.set_owner(now, &pool, owner.clone());
            let released = SlotRenewal { pool: pool.to_string(), requests: Vec::new() };
            self.outbox.push((before, Body::SlotRenewal(released)));
            let report = self.ledger.report(now, &pool, true);
            self.outbox.push((owner, Body::SlotReport(report)));
        }
    }

    fn clean_up(&mut self, node: &NodeContext, now: Duration) {
        self.ledger.evict_idle(now);
        self.limits.remove_idle(now);
        let (owners, own) = (&self.owners, &node.settings.node);
        // An upstream may be marked as leaving even while the list cannot be read.
        self.pools.values_mut().for_each(|owned| owned.observe_list(node));
        self.pools.retain(|pool, owned| !owned.is_idle() || owners.owner(own, pool) == *own);
    }

    fn broadcast_totals(&self, node: &NodeContext) {
        let totals = self.limits.own().map(|(organisation, usage)| LimitTotal {
            organisation: organisation.to_string(),
            requests: usage.requests,
            tokens: usage.tokens,
            running: usage.running,
        });
        let totals: Vec<_> = totals.collect();
        if !totals.is_empty() {
            node.peers.broadcast(&Body::LimitTotals(LimitTotals { totals }));
        }
    }

    /// Runs the arbiters and sends messages until there are none. Messages to this node are handled
    /// in place.
    fn flush(&mut self, node: &Arc<NodeContext>) {
        loop {
            for owned in self.pools.values_mut() {
                owned.tick(node, &mut self.limits, &mut self.outbox);
            }
            if self.outbox.is_empty() {
                return;
            }
            for (to, body) in std::mem::take(&mut self.outbox) {
                match to == node.settings.node {
                    true => self.handle(node, &to, body),
                    // The next renewal makes up for a lost message.
                    false => drop(node.peers.send(&to, body)),
                }
            }
        }
    }

    fn handle(&mut self, node: &Arc<NodeContext>, from: &SharedName, body: Body) {
        let now = node.clock.now();
        self.owners.record_activity(now, from);
        match body {
            Body::SlotAnswer(answer) => self.apply_answer(node, now, from, &answer),
            Body::SlotRecall(recall) => self.ledger.recall(recall.request),
            Body::SlotQuery(query) => self.answer_query(node, now, from, &query.pool.into()),
            Body::SlotBeat(_) => {}
            Body::SlotAsk(ask) => {
                let pool = ask.pool.as_str().into();
                self.ensure_owned(node, &pool);
                let Self { pools, limits, outbox, .. } = self;
                if let Some(owned) = pools.get_mut(&pool) {
                    owned.handle_ask(node, limits, from, &ask, outbox);
                }
            }
            Body::SlotReport(report) => {
                let pool = report.pool.as_str().into();
                self.ensure_owned(node, &pool);
                let Self { pools, limits, outbox, .. } = self;
                if let Some(owned) = pools.get_mut(&pool) {
                    owned.handle_report(node, limits, from, &report, outbox);
                }
            }
            Body::SlotReturn(ended) => {
                if let Some(owned) = self.pools.get_mut(ended.pool.as_str()) {
                    owned.handle_return(now, &mut self.limits, from, &ended);
                }
            }
            Body::SlotStarted(started) => {
                if let Some(owned) = self.pools.get_mut(started.pool.as_str()) {
                    owned.record_started(from, started.request);
                }
            }
            Body::SlotRenewal(renewal) => {
                let Self { pools, limits, outbox, .. } = self;
                if let Some(owned) = pools.get_mut(renewal.pool.as_str()) {
                    owned.handle_renewal(now, limits, from, &renewal, outbox);
                } else if !renewal.requests.is_empty() {
                    self.ensure_owned(node, &renewal.pool.as_str().into());
                }
            }
            Body::UpstreamLoads(loads) => {
                for load in loads.loads {
                    let report = LoadReport {
                        running: load.running,
                        waiting: load.waiting,
                        tokens_per_second: load.tokens_per_second,
                    };
                    node.upstreams().observe_load(now, &load.upstream, report);
                }
            }
            Body::LimitTotals(totals) => {
                for total in totals.totals {
                    let LimitTotal { organisation, requests, tokens, running } = total;
                    let usage = LimitUsage { requests, tokens, running };
                    self.limits.observe_remote(from, &organisation, usage);
                }
            }
            _ => {}
        }
    }

    /// Takes ownership of a pool, unless this node has it already.
    fn ensure_owned(&mut self, node: &NodeContext, pool: &SharedName) {
        if self.pools.contains_key(pool) {
            return;
        }
        self.owners.refresh(node, node.clock.now());
        let awaited = self.owners.reachable().cloned().collect();
        let mut owned = OwnedPool::new(node, pool, awaited, &mut self.outbox);
        owned.set_share(self.owners.share());
        self.pools.insert(pool.clone(), owned);
    }

    /// Reports to a new owner. Waiting asks are included only if this node considers it the owner
    /// too.
    fn answer_query(
        &mut self,
        node: &NodeContext,
        now: Duration,
        from: &SharedName,
        pool: &SharedName,
    ) {
        self.switch_owners(node, now);
        let owner = self.ledger.view(pool).map(|view| view.owner.clone());
        let is_owner = owner.is_none_or(|owner| owner == *from);
        let report = self.ledger.report(now, pool, is_owner);
        self.outbox.push((from.clone(), Body::SlotReport(report)));
    }

    fn apply_answer(
        &mut self,
        node: &NodeContext,
        now: Duration,
        from: &SharedName,
        answer: &SlotAnswer,
    ) {
        let owner = self.ledger.view(&answer.pool).map(|view| view.owner.clone());
        let from_owner = owner.is_some_and(|owner| owner == *from);
        match &answer.decision {
            Some(Decision::Grant(grant)) => {
                let slot = wire::granted_slot(grant);
                let accepted =
                    from_owner && slot.is_some_and(|slot| self.ledger.grant(answer.request, slot));
                if !accepted {
                    log::debug!(
                        "returned an unusable grant: node={} owner={from}",
                        node.settings.node
                    );
                    let (request, pool) = (answer.request, answer.pool.clone());
                    let abandoned = true;
                    let ended = SlotReturn { request, pool, abandoned, ..SlotReturn::default() };
                    self.outbox.push((from.clone(), Body::SlotReturn(ended)));
                }
            }
            Some(Decision::Refusal(refusal)) if from_owner => {
                let refusal = wire::request_refusal(refusal, &answer.pool);
                self.ledger.refuse(now, answer.request, refusal);
            }
            Some(Decision::Refusal(_)) | None => {}
        }
    }
}
