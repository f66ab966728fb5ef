//! Pools that this node owns: one arbiter each, fed by the asks of all nodes.

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

/// Time for which a new owner listens to reports before it grants.
const GATHER_TIME: Duration = Duration::from_millis(100);

/// Time between beats to nodes with asks or slots.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a renewal after which a node's asks and slots are forgotten.
const RENEWAL_EXPIRY: Duration = Duration::from_secs(3);

/// Messages with their receivers, in order.
pub type Outbox = Vec<(SharedName, Body)>;

/// Whether an owner grants already.
enum OwnerPhase {
    /// Waits for the reports of these nodes, until this time at the latest.
    Gathering { until: Duration, awaited: HashSet<SharedName> },
    /// Grants.
    Serving,
}

/// One pool that this node owns.
pub struct OwnedPool {
    pool: SharedName,
    arbiter: PoolArbiter,
    phase: OwnerPhase,
    beaten: Duration,
    renewed: HashMap<SharedName, Duration>,
    // Requests counted against limits, with their organisation.
    limited: HashMap<RequestKey, SharedName>,
}

impl OwnedPool {
    /// Begins to own a pool: asks the nodes `awaited` for their slots and asks.
    pub fn begin(
        node: &NodeContext,
        pool: &SharedName,
        awaited: HashSet<SharedName>,
        outbox: &mut Outbox,
    ) -> Self {
        let now = node.clock.now();
        for peer in &awaited {
            outbox.push((peer.clone(), Body::SlotQuery(SlotQuery { pool: pool.to_string() })));
        }
        log::info!("pool owned: pool={pool} awaited={}", awaited.len());
        let mut owned = Self {
            pool: pool.clone(),
            arbiter: PoolArbiter::default(),
            phase: OwnerPhase::Gathering { until: now + GATHER_TIME, awaited },
            beaten: now,
            renewed: HashMap::default(),
            limited: HashMap::default(),
        };
        owned.observe_list(node);
        owned
    }

    /// Takes in the list of upstreams.
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

    /// Takes in a load report.
    pub fn observe_load(&mut self, now: Duration, upstream: &str, report: LoadReport) {
        self.arbiter.observe_load(now, upstream, report);
    }

    /// Limits all replicas to a fraction of their slots.
    pub fn set_share(&mut self, share: Option<f64>) {
        self.arbiter.set_share(share);
    }

    /// Takes in an ask.
    pub fn ask(
        &mut self,
        node: &NodeContext,
        limits: &mut LimitTable,
        from: &SharedName,
        ask: &SlotAsk,
        outbox: &mut Outbox,
    ) {
        let now = node.clock.now();
        self.renewed.insert(from.clone(), now);
        let demand = wire::demand(now, from, ask, class_latency(node, &ask.class));
        // Attempts after the first were counted with the first.
        let counted_before = ask.preempted || !ask.excluded.is_empty();
        let admitted = self.count(node, limits, &demand.key, &ask.organisation, counted_before);
        match admitted {
            Ok(()) => self.arbiter.submit(now, demand),
            Err(retry_after) => {
                let refused = refusal(RefusalReason::OverLimit, retry_after);
                outbox.push(self.answer(demand.key, refused));
            }
        }
    }

    /// Takes in a node's slots and asks; a node that was awaited has reported.
    pub fn report(
        &mut self,
        node: &NodeContext,
        limits: &mut LimitTable,
        from: &SharedName,
        report: &SlotReport,
        outbox: &mut Outbox,
    ) {
        let now = node.clock.now();
        self.renewed.insert(from.clone(), now);
        // What an earlier time as owner left behind would block slots until the next renewal.
        self.arbiter.retain_requests(now, from, &reported_requests(report));
        self.uncount_gone(limits);
        for held in &report.held {
            let Some(ask) = &held.ask else { continue };
            let demand = wire::demand(now, from, ask, class_latency(node, &ask.class));
            let _ = self.count(node, limits, &demand.key, &ask.organisation, true);
            self.arbiter.adopt(now, demand, held.upstream.as_str().into(), held.started);
        }
        for ask in &report.waiting {
            self.ask(node, limits, from, ask, outbox);
        }
        if let OwnerPhase::Gathering { awaited, .. } = &mut self.phase {
            awaited.remove(from);
        }
    }

    /// Takes in the end of an ask.
    pub fn finish(
        &mut self,
        now: Duration,
        limits: &mut LimitTable,
        from: &SharedName,
        ended: &SlotReturn,
    ) {
        let key = RequestKey { node: from.clone(), request: ended.request };
        let SlotReturn { tokens, failed, abandoned, .. } = *ended;
        self.uncount(limits, &key, tokens);
        self.arbiter.finish(now, &key, ArbiterOutcome { tokens, failed, abandoned });
    }

    /// Takes in the begin of an answer.
    pub fn note_started(&mut self, from: &SharedName, request: u64) {
        self.arbiter.note_started(&RequestKey { node: from.clone(), request });
    }

    /// Takes in a renewal; asks for a report where it names what is unknown here.
    pub fn renew(
        &mut self,
        now: Duration,
        limits: &mut LimitTable,
        from: &SharedName,
        renewal: &SlotRenewal,
        outbox: &mut Outbox,
    ) {
        self.renewed.insert(from.clone(), now);
        let named: BTreeSet<u64> = renewal.requests.iter().copied().collect();
        let unknown = self.arbiter.retain_requests(now, from, &named);
        self.uncount_gone(limits);
        if !unknown.is_empty() {
            let pool = self.pool.to_string();
            outbox.push((from.clone(), Body::SlotQuery(SlotQuery { pool })));
        }
    }

    /// Decides what can be decided, and sends decisions and beats.
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
            let message = self.message_of(node, limits, decision);
            outbox.extend(message);
        }
        if now.saturating_sub(self.beaten) >= BEAT_INTERVAL {
            self.beaten = now;
            self.beat(outbox);
            self.drop_silent(now, limits);
        }
    }

    /// Whether nothing waits and no slot is in use.
    pub fn is_idle(&self) -> bool {
        let gathering = matches!(self.phase, OwnerPhase::Gathering { .. });
        !gathering && self.arbiter.waiting() == 0 && self.arbiter.running() == 0
    }

    /// Slots in use and waiting asks.
    pub fn load(&self, pool: &str) -> PoolLoad {
        let running = self.arbiter.running() as u32;
        PoolLoad { pool: pool.to_owned(), running, waiting: self.arbiter.waiting() as u32 }
    }

    fn beat(&self, outbox: &mut Outbox) {
        for node in self.arbiter.nodes() {
            outbox.push((node.clone(), Body::SlotBeat(SlotBeat { pool: self.pool.to_string() })));
        }
    }

    fn drop_silent(&mut self, now: Duration, limits: &mut LimitTable) {
        let expired = |renewed: &Duration| now.saturating_sub(*renewed) > RENEWAL_EXPIRY;
        let silent: Vec<_> = self.renewed.iter().filter(|(_, renewed)| expired(renewed)).collect();
        let silent: Vec<_> = silent.into_iter().map(|(node, _)| node.clone()).collect();
        for node in silent {
            self.renewed.remove(&node);
            self.arbiter.drop_node(now, &node);
            self.uncount_gone(limits);
        }
    }

    fn message_of(
        &mut self,
        node: &NodeContext,
        limits: &mut LimitTable,
        decision: ArbiterDecision,
    ) -> Option<(SharedName, Body)> {
        match decision {
            ArbiterDecision::Grant { key, replica } => {
                let entry = node.upstreams().get(&replica).cloned();
                let Some(entry) = entry else {
                    let gone = ArbiterOutcome { tokens: 0, failed: false, abandoned: true };
                    self.arbiter.finish(node.clock.now(), &key, gone);
                    self.uncount(limits, &key, 0);
                    let retry_after = berylstep_core::arbiter::NO_UPSTREAM_RETRY;
                    return Some(self.answer(key, refusal(RefusalReason::NoUpstream, retry_after)));
                };
                let grant = SlotGrant {
                    upstream: replica.to_string(),
                    address: entry.address.to_string(),
                    zone: entry.zone.to_string(),
                };
                Some(self.answer(key, Decision::Grant(grant)))
            }
            ArbiterDecision::Refuse { key, reason, retry_after } => {
                self.uncount(limits, &key, 0);
                Some(self.answer(key, refusal(reason, retry_after)))
            }
            ArbiterDecision::Recall { key } => {
                let recall = SlotRecall { request: key.request, pool: self.pool.to_string() };
                Some((key.node, Body::SlotRecall(recall)))
            }
        }
    }

    fn answer(&self, key: RequestKey, decision: Decision) -> (SharedName, Body) {
        let pool = self.pool.to_string();
        let answer = SlotAnswer { request: key.request, pool, decision: Some(decision) };
        (key.node, Body::SlotAnswer(answer))
    }

    /// Counts a request against its organisation's limits, or returns the time to come back.
    fn count(
        &mut self,
        node: &NodeContext,
        limits: &mut LimitTable,
        key: &RequestKey,
        organisation: &str,
        counted_before: bool,
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
        match counted_before {
            true => limits.adopt(now, &entity.name),
            false => limits.admit(now, &entity.name, &entity.limits)?,
        }
        self.limited.insert(key.clone(), entity.name.clone());
        Ok(())
    }

    fn uncount(&mut self, limits: &mut LimitTable, key: &RequestKey, tokens: u32) {
        if let Some(organisation) = self.limited.remove(key) {
            limits.finish(&organisation, tokens);
        }
    }

    fn uncount_gone(&mut self, limits: &mut LimitTable) {
        let arbiter = &self.arbiter;
        let gone = self.limited.keys().filter(|key| !arbiter.contains(key));
        let gone: Vec<_> = gone.cloned().collect();
        for key in gone {
            self.uncount(limits, &key, 0);
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
