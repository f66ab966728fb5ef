//! Random traces of requests and their ends, run against an arbiter.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use berylstep_core::arbiter::{
    ArbiterDecision, PoolArbiter, ReplicaSpec, RequestKey, SlotDemand, SlotOutcome,
};
use proptest::prelude::*;

/// Bound on waiting requests in traces.
pub const TRACE_MAX_WAITING: usize = 6;

/// Event of a trace.
#[derive(Clone, Debug)]
pub enum TraceEvent {
    /// A request asks for a slot.
    Ask {
        class: u8,
        organisation: u8,
        tokens: u32,
        deadline_ms: u64,
        idempotent: bool,
        after_ms: u64,
    },
    /// The nth slot in use is returned.
    Finish { nth: usize, tokens: u32, after_ms: u64 },
    /// The response of the nth running request starts.
    Start { nth: usize },
    /// The caller of the nth waiting request cancels it.
    Cancel { nth: usize },
    /// The clock advances.
    Advance { after_ms: u64 },
}

impl TraceEvent {
    /// Returns an idempotent request with a distant deadline.
    pub fn ask(class: u8, organisation: u8, tokens: u32) -> Self {
        let (deadline_ms, idempotent, after_ms) = (1_000_000, true, 0);
        Self::Ask { class, organisation, tokens, deadline_ms, idempotent, after_ms }
    }
}

/// Generates traces with more requests than returned slots, so that the queues fill up.
pub fn trace() -> impl Strategy<Value = Vec<TraceEvent>> {
    let ask = (0u8..6, 0u8..4, 1u32..9, 50u64..5_000, any::<bool>(), 0u64..40).prop_map(
        |(class, organisation, tokens, deadline_ms, idempotent, after_ms)| TraceEvent::Ask {
            class,
            organisation,
            tokens,
            deadline_ms,
            idempotent,
            after_ms,
        },
    );
    let finish = (0usize..8, 0u32..9, 0u64..60)
        .prop_map(|(nth, tokens, after_ms)| TraceEvent::Finish { nth, tokens, after_ms });
    let event = prop_oneof![
        6 => ask,
        5 => finish,
        1 => (0usize..8).prop_map(|nth| TraceEvent::Start { nth }),
        1 => (0usize..8).prop_map(|nth| TraceEvent::Cancel { nth }),
        1 => (0u64..1_500).prop_map(|after_ms| TraceEvent::Advance { after_ms }),
    ];
    proptest::collection::vec(event, 1..200)
}

/// Input of the arbiter.
#[derive(Clone, Debug)]
pub enum TraceInput {
    /// A request for a slot.
    Ask(SlotDemand),
    /// The end of a request.
    Finish(RequestKey, SlotOutcome),
    /// The start of a response.
    Start(RequestKey),
    /// No input, only a tick.
    None,
}

/// Input with the nodes' view before and after it, and the arbiter's decisions.
#[derive(Clone, Debug)]
pub struct TraceStep {
    pub now: Duration,
    pub input: TraceInput,
    pub before: RequestView,
    pub after: RequestView,
    pub decisions: Vec<ArbiterDecision>,
}

/// State of a request as seen by its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    Waiting,
    Running { started: bool, recalled: bool },
}

/// Requests as seen by their nodes.
#[derive(Clone, Debug, Default)]
pub struct RequestView {
    pub requests: BTreeMap<RequestKey, (SlotDemand, RequestStatus)>,
}

impl RequestView {
    /// Returns the waiting requests.
    pub fn waiting(&self) -> impl Iterator<Item = &SlotDemand> {
        let rows = self.requests.values();
        rows.filter(|(_, status)| *status == RequestStatus::Waiting).map(|(demand, _)| demand)
    }

    /// Returns the classes with waiting requests.
    pub fn waiting_classes(&self) -> BTreeSet<String> {
        self.waiting().map(|demand| demand.class.to_string()).collect()
    }

    /// Returns the lowest tier with a request that may be shed.
    pub fn lowest_sheddable_tier(&self) -> Option<u8> {
        let mut counts = BTreeMap::<_, (usize, bool)>::new();
        for demand in self.waiting() {
            let count = counts.entry((demand.tier, demand.class.clone())).or_default();
            count.0 += 1;
            count.1 |= !demand.preempted;
        }
        let sheddable =
            counts.into_iter().filter(|(_, (count, has_candidate))| *count > 1 && *has_candidate);
        sheddable.map(|((tier, _), _)| tier).max()
    }

    /// Returns the tier of a request.
    pub fn tier(&self, key: &RequestKey) -> Option<u8> {
        self.requests.get(key).map(|(demand, _)| demand.tier)
    }
}

/// Runs traces against an arbiter and tracks the nodes' view.
pub struct TraceRunner {
    pub arbiter: PoolArbiter,
    pub now: Duration,
    view: RequestView,
    known: BTreeMap<RequestKey, SlotDemand>,
    next_request: u64,
}

impl TraceRunner {
    pub fn new(replicas: u32, slots: u32) -> Self {
        let mut arbiter = PoolArbiter::new(TRACE_MAX_WAITING);
        let specs = (0..replicas).map(|index| ReplicaSpec {
            id: format!("r{index}").into(),
            slots,
            leaving: false,
        });
        arbiter.observe_replicas(Duration::ZERO, &specs.collect::<Vec<_>>());
        let (view, known) = (RequestView::default(), BTreeMap::new());
        Self { arbiter, now: Duration::ZERO, view, known, next_request: 0 }
    }

    /// Runs one event, followed by the reaction of the nodes: they return recalled slots and ask
    /// again.
    pub fn step(&mut self, event: &TraceEvent) -> Vec<TraceStep> {
        let input = self.input_of(event);
        let mut steps = vec![self.apply(input)];
        let mut checked = 0;
        while checked < steps.len() {
            let recalled: Vec<_> = steps[checked].decisions.iter().filter_map(recalled).collect();
            for key in recalled {
                steps.extend(self.return_recalled(&key));
            }
            checked += 1;
            assert!(checked < 1_000, "slots are recalled endlessly");
        }
        steps
    }

    /// Returns the class of a request.
    pub fn class_of(&self, key: &RequestKey) -> String {
        self.known[key].class.to_string()
    }

    fn return_recalled(&mut self, key: &RequestKey) -> Vec<TraceStep> {
        if !self.view.requests.contains_key(key) {
            return Vec::new();
        }
        let abandoned = SlotOutcome { tokens: 0, failed: false, abandoned: true };
        let returned = self.apply(TraceInput::Finish(key.clone(), abandoned));
        let mut demand = self.known[key].clone();
        demand.preempted = true;
        demand.key = self.next_key();
        vec![returned, self.apply(TraceInput::Ask(demand))]
    }

    fn input_of(&mut self, event: &TraceEvent) -> TraceInput {
        let running = |status: RequestStatus| matches!(status, RequestStatus::Running { .. });
        match event {
            TraceEvent::Ask { after_ms, .. } => {
                self.now += Duration::from_millis(*after_ms);
                TraceInput::Ask(self.demand_of(event))
            }
            TraceEvent::Finish { nth, tokens, after_ms } => {
                self.now += Duration::from_millis(*after_ms);
                let outcome = SlotOutcome { tokens: *tokens, failed: false, abandoned: false };
                let key = self.nth(*nth, running);
                key.map_or(TraceInput::None, |key| TraceInput::Finish(key, outcome))
            }
            TraceEvent::Start { nth } => {
                self.nth(*nth, running).map_or(TraceInput::None, TraceInput::Start)
            }
            TraceEvent::Cancel { nth } => {
                let abandoned = SlotOutcome { tokens: 0, failed: false, abandoned: true };
                let key = self.nth(*nth, |status| status == RequestStatus::Waiting);
                key.map_or(TraceInput::None, |key| TraceInput::Finish(key, abandoned))
            }
            TraceEvent::Advance { after_ms } => {
                self.now += Duration::from_millis(*after_ms);
                TraceInput::None
            }
        }
    }

    fn demand_of(&mut self, event: &TraceEvent) -> SlotDemand {
        let TraceEvent::Ask { class, organisation, tokens, deadline_ms, idempotent, .. } = event
        else {
            unreachable!("only asks have a demand")
        };
        SlotDemand {
            key: self.next_key(),
            tier: 1 + class / 2,
            class: format!("class{class}").into(),
            organisation: format!("org{organisation}").into(),
            arrived: self.now,
            latency_target: Duration::from_millis(100 + 150 * u64::from(*class)),
            deadline: self.now + Duration::from_millis(*deadline_ms),
            max_tokens: Some(*tokens),
            prefix_hash: 0,
            idempotent: *idempotent,
            preempted: false,
            excluded: Vec::new(),
        }
    }

    fn next_key(&mut self) -> RequestKey {
        self.next_request += 1;
        RequestKey { node: "n0".into(), request: self.next_request }
    }

    fn nth(&self, nth: usize, filter: impl Fn(RequestStatus) -> bool) -> Option<RequestKey> {
        let rows = self.view.requests.iter().filter(|(_, (_, status))| filter(*status));
        let keys: Vec<_> = rows.map(|(key, _)| key.clone()).collect();
        (!keys.is_empty()).then(|| keys[nth % keys.len()].clone())
    }

    fn apply(&mut self, input: TraceInput) -> TraceStep {
        let before = self.view.clone();
        match &input {
            TraceInput::Ask(demand) => {
                self.known.insert(demand.key.clone(), demand.clone());
                let row = (demand.clone(), RequestStatus::Waiting);
                self.view.requests.insert(demand.key.clone(), row);
                self.arbiter.submit(self.now, demand.clone());
            }
            TraceInput::Finish(key, outcome) => {
                self.view.requests.remove(key);
                self.arbiter.finish(self.now, key, *outcome);
            }
            TraceInput::Start(key) => {
                self.arbiter.record_started(key);
                if let Some((_, RequestStatus::Running { started, .. })) =
                    self.view.requests.get_mut(key)
                {
                    *started = true;
                }
            }
            TraceInput::None => {}
        }
        self.arbiter.tick(self.now);
        let decisions = self.arbiter.take_decisions();
        for decision in &decisions {
            self.record_decision(decision);
        }
        let after = self.view.clone();
        TraceStep { now: self.now, input, before, after, decisions }
    }

    fn record_decision(&mut self, decision: &ArbiterDecision) {
        match decision {
            ArbiterDecision::Grant { key, .. } => {
                if let Some((_, status)) = self.view.requests.get_mut(key) {
                    *status = RequestStatus::Running { started: false, recalled: false };
                }
            }
            ArbiterDecision::Refuse { key, .. } => {
                self.view.requests.remove(key);
            }
            ArbiterDecision::Recall { key } => {
                if let Some((_, RequestStatus::Running { recalled, .. })) =
                    self.view.requests.get_mut(key)
                {
                    *recalled = true;
                }
            }
        }
    }
}

fn recalled(decision: &ArbiterDecision) -> Option<RequestKey> {
    match decision {
        ArbiterDecision::Recall { key } => Some(key.clone()),
        _ => None,
    }
}
