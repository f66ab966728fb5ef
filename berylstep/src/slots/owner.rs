//! Pools that this node owns. One arbiter per pool schedules the asks of all nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use berylstep_core::arbiter::{
    ArbiterDecision, PoolArbiter, ReplicaSpec, RequestKey, SlotOutcome as ArbiterOutcome,
};
use berylstep_core::collections::{HashMap, HashSet, SharedName};
use berylstep_core::limits::LimitTable;
use berylstep_core::refusal::RefusalReason;
use berylstep_core::upstream::LoadReport;
use berylstep_wire::frame::Body;
use berylstep_wire::slot_answer::Decision;
use berylstep_wire::{
    PoolLoad, SlotAnswer, SlotAsk, SlotBeat, SlotGrant, SlotQuery, SlotRecall, SlotRefusal,
    SlotRenewal, SlotReport, SlotReturn,
};

use super::wire;
use crate::node::NodeContext;

/// Maximum time for which a new owner waits for reports before it grants slots.
const GATHER_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between beats, the owner's heartbeats to nodes with asks or slots.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a renewal after which a node's asks and slots are dropped.
const RENEWAL_EXPIRY: Duration = Duration::from_secs(3);

/// Queue of messages to send, each with its receiver.
pub type Outbox = Vec<(SharedName, Body)>;

/// Phase of a pool's ownership.
enum OwnerPhase {
    /// Waits for the reports of these nodes, at most until this time.
    Gathering { until: Duration, awaited: HashSet<SharedName> },
    /// Grants slots.
    Serving,
}

/// Pool that this node owns.
pub struct OwnedPool {
    pool: SharedName,
    arbiter: PoolArbiter,
    phase: OwnerPhase,
    last_beat: Duration,
    last_renewal: HashMap<SharedName, Duration>,
    // Organisations of the requests that count against limits.
    limited: HashMap<RequestKey, SharedName>,
}

impl OwnedPool {
    /// Takes ownership of a pool, and queries the nodes `awaited` for their slots and asks.
    pub fn new(
        node: &NodeContext,
        pool: &SharedName,
        awaited: HashSet<SharedName>,
        outbox: &mut Outbox,
    ) -> Self {
        let now = node.clock.now();
        for peer in &awaited {
            outbox.push((peer.clone(), Body::SlotQuery(SlotQuery { pool: pool.to_string() })));
        }
        log::info!("this node owns the pool: pool={pool} awaited={}", awaited.len());
        let mut owned = Self {
            pool: pool.clone(),
            arbiter: PoolArbiter::default(),
            phase: OwnerPhase::Gathering { until: now + GATHER_TIMEOUT, awaited },
            last_beat: now,
            last_renewal: HashMap::default(),
            limited: HashMap::default(),
        };
        owned.observe_list(node);
        owned
    }

    /// Updates the replicas from the list of upstreams.
    pub fn observe_list(&mut self, node: &NodeContext) {
        let upstreams = node.upstreams();
        let listed = upstreams.all().filter(|entry| entry.pool == self.pool);
        let specs = listed.map(|entry| ReplicaSpec {
            id: entry.id.clone(),
            slots: entry.slots,
            leaving: entry.leaving,
        });
        let specs: Vec<_> = specs.collect();
        self.arbiter.observe_replicas(node.clock.now(), &specs);
    }

    /// Records the load report of an upstream.
    pub fn observe_load(&mut self, now: Duration, upstream: &str, report: LoadReport) {
        self.arbiter.observe_load(now, upstream, report);
    }

    /// Limits all replicas to a fraction of their slots, from 0 to 1. `None` removes the limit.
    pub fn set_share(&mut self, share: Option<f64>) {
        self.arbiter.set_share(share);
    }

    /// Handles an ask: refuses it if the organisation is over a limit, or else queues it.
    pub fn handle_ask(
        &mut self,
        node: &NodeContext,
        limits: &mut LimitTable,
        from: &SharedName,
        ask: &SlotAsk,
        outbox: &mut Outbox,
    ) {
        let now = node.clock.now();
        self.last_renewal.insert(from.clone(), now);
        let demand = wire::slot_demand(now, from, ask, class_latency(node, &ask.class));
        // Only the first attempt of a request counts against the limits.
        let already_counted = ask.preempted || !ask.excluded.is_empty();
        let admitted =
            self.charge_limits(node, limits, &demand.key, &ask.organisation, already_counted);
        match admitted {
            Ok(()) => self.arbiter.submit(now, demand),
            Err(retry_after) => {
                let refused = refusal(RefusalReason::OverLimit, retry_after);
                outbox.push(self.answer_message(demand.key, refused));
            }
        }
    }

    /// Handles a node's report of its slots and asks. The node is no longer awaited.
    pub fn handle_report(
        &mut self,
        node: &NodeContext,
        limits: &mut LimitTable,
        from: &SharedName,
        report: &SlotReport,
        outbox: &mut Outbox,
    ) {
        let now = node.clock.now();
        self.last_renewal.insert(from.clone(), now);
        // Requests left over from an earlier ownership would block slots until the next renewal.
        self.arbiter.retain_requests(now, from, &reported_requests(report));
        self.release_finished(limits);
        for held in &report.held {
            let Some(ask) = &held.ask else { continue };
            let demand = wire::slot_demand(now, from, ask, class_latency(node, &ask.class));
            let _ = self.charge_limits(node, limits, &demand.key, &ask.organisation, true);
            self.arbiter.adopt(now, demand, held.upstream.as_str().into(), held.started);
        }
        for ask in &report.waiting {
            self.handle_ask(node, limits, from, ask, outbox);
        }
        if let OwnerPhase::Gathering { awaited, .. } = &mut self.phase {
            awaited.remove(from);
        }
    }

    /// Handles the end of an ask or the return of its slot.
    pub fn handle_return(
        &mut self,
        now: Duration,
        limits: &mut LimitTable,
        from: &SharedName,
        ended: &SlotReturn,
    ) {
        let key = RequestKey { node: from.clone(), request: ended.request };
        let SlotReturn { tokens, failed, abandoned, .. } = *ended;
        self.release_limits(limits, &key, tokens);
        self.arbiter.finish(now, &key, ArbiterOutcome { tokens, failed, abandoned });
    }

    /// Records that the response of a request has started.
    pub fn record_started(&mut self, from: &SharedName, request: u64) {
        self.arbiter.record_started(&RequestKey { node: from.clone(), request });
    }

    /// Handles a renewal. Queries the node for a report if the renewal contains unknown requests.
    pub fn handle_renewal(
        &mut self,
        now: Duration,
        limits: &mut LimitTable,
        from: &SharedName,
        renewal: &SlotRenewal,
        outbox: &mut Outbox,
    ) {
        self.last_renewal.insert(from.clone(), now);
        let named: BTreeSet<u64> = renewal.requests.iter().copied().collect();
        let unknown = self.arbiter.retain_requests(now, from, &named);
        self.release_finished(limits);
        if !unknown.is_empty() {
            let pool = self.pool.to_string();
            outbox.push((from.clone(), Body::SlotQuery(SlotQuery { pool })));
        }
    }

    /// Runs the arbiter, and queues its decisions and the beats that are due.
    pub fn tick(&mut self, node: &NodeContext, limits: &mut LimitTable, outbox: &mut Outbox) {
        let now = node.clock.now();
        if let OwnerPhase::Gathering { until, awaited } = &self.phase {
            if now >= *until || awaited.is_empty() {
                self.phase = OwnerPhase::Serving;
            }
        }
        if matches!(self.phase, OwnerPhase::Serving) {
            self.arbiter.tick(now);
        }
        for decision in self.arbiter.take_decisions() {
            let message = self.decision_message(node, limits, decision);
            outbox.extend(message);
        }
        if now.saturating_sub(self.last_beat) >= BEAT_INTERVAL {
            self.last_beat = now;
            self.send_beats(outbox);
            self.drop_expired_nodes(now, limits);
        }
    }

    /// Returns whether nothing waits and no slot is in use.
    pub fn is_idle(&self) -> bool {
        let gathering = matches!(self.phase, OwnerPhase::Gathering { .. });
        !gathering && self.arbiter.waiting() == 0 && self.arbiter.running() == 0
    }

    /// Returns the number of slots in use and of waiting asks.
    pub fn load(&self, pool: &str) -> PoolLoad {
        let running = self.arbiter.running() as u32;
        PoolLoad { pool: pool.to_owned(), running, waiting: self.arbiter.waiting() as u32 }
    }

    fn send_beats(&self, outbox: &mut Outbox) {
        for node in self.arbiter.nodes() {
            outbox.push((node.clone(), Body::SlotBeat(SlotBeat { pool: self.pool.to_string() })));
        }
    }

    fn drop_expired_nodes(&mut self, now: Duration, limits: &mut LimitTable) {
        let expired = |at: &Duration| now.saturating_sub(*at) > RENEWAL_EXPIRY;
        let silent: Vec<_> = self.last_renewal.iter().filter(|(_, at)| expired(at)).collect();
        let silent: Vec<_> = silent.into_iter().map(|(node, _)| node.clone()).collect();
        for node in silent {
            self.last_renewal.remove(&node);
            self.arbiter.drop_node(now, &node);
            self.release_finished(limits);
        }
    }

    fn decision_message(
        &mut self,
        node: &NodeContext,
        limits: &mut LimitTable,
        decision: ArbiterDecision,
    ) -> Option<(SharedName, Body)> {
        match decision {
            ArbiterDecision::Grant { key, replica } => {
                let entry = node.upstreams().get(&replica).cloned();
                let Some(entry) = entry else {
                    let abandoned = ArbiterOutcome { tokens: 0, failed: false, abandoned: true };
                    self.arbiter.finish(node.clock.now(), &key, abandoned);
                    self.release_limits(limits, &key, 0);
                    let retry_after = berylstep_core::arbiter::NO_UPSTREAM_RETRY;
                    return Some(
                        self.answer_message(key, refusal(RefusalReason::NoUpstream, retry_after)),
                    );
                };
                let grant = SlotGrant {
                    upstream: replica.to_string(),
                    address: entry.address.to_string(),
                    zone: entry.zone.to_string(),
                };
                Some(self.answer_message(key, Decision::Grant(grant)))
            }
            ArbiterDecision::Refuse { key, reason, retry_after } => {
                self.release_limits(limits, &key, 0);
                Some(self.answer_message(key, refusal(reason, retry_after)))
            }
            ArbiterDecision::Recall { key } => {
                let recall = SlotRecall { request: key.request, pool: self.pool.to_string() };
                Some((key.node, Body::SlotRecall(recall)))
            }
        }
    }

    fn answer_message(&self, key: RequestKey, decision: Decision) -> (SharedName, Body) {
        let pool = self.pool.to_string();
        let answer = SlotAnswer { request: key.request, pool, decision: Some(decision) };
        (key.node, Body::SlotAnswer(answer))
    }

    /// Counts a request against its organisation's limits. Fails with the retry delay.
    fn charge_limits(
        &mut self,
        node: &NodeContext,
        limits: &mut LimitTable,
        key: &RequestKey,
        organisation: &str,
        already_counted: bool,
    ) -> Result<(), Duration> {
        if self.limited.contains_key(key) || self.arbiter.contains(key) {
            return Ok(());
        }
        let config = node.config.read().expect("config lock");
        let Some(entity) = config.organisation(organisation) else { return Ok(()) };
        if entity.limits == Default::default() {
            return Ok(());
        }
        let now = node.clock.now();
        match already_counted {
            true => limits.adopt(now, &entity.name),
            false => limits.admit(now, &entity.name, &entity.limits)?,
        }
        self.limited.insert(key.clone(), entity.name.clone());
        Ok(())
    }

    fn release_limits(&mut self, limits: &mut LimitTable, key: &RequestKey, tokens: u32) {
        if let Some(organisation) = self.limited.remove(key) {
            limits.finish(&organisation, tokens);
        }
    }

    fn release_finished(&mut self, limits: &mut LimitTable) {
        let arbiter = &self.arbiter;
        let finished = self.limited.keys().filter(|key| !arbiter.contains(key));
        let finished: Vec<_> = finished.cloned().collect();
        for key in finished {
            self.release_limits(limits, &key, 0);
        }
    }
}

fn reported_requests(report: &SlotReport) -> BTreeSet<u64> {
    let held = report.held.iter().filter_map(|held| held.ask.as_ref());
    held.chain(&report.waiting).map(|ask| ask.request).collect()
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> Decision {
    let retry_after_ms = retry_after.as_millis() as u64;
    Decision::Refusal(SlotRefusal { reason: reason.code().to_owned(), retry_after_ms })
}

fn class_latency(node: &NodeContext, class: &str) -> Duration {
    let config = node.config.read().expect("config lock");
    config.class(class).map_or(Duration::ZERO, |class| Duration::from_millis(class.latency_ms))
}
