//! Random traces of asks and returns, run against an arbiter.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use berylstep_core::arbiter::{
    ArbiterDecision, PoolArbiter, ReplicaSpec, RequestKey, SlotDemand, SlotOutcome,
};
use proptest::prelude::*;

/// Room in the queues of traces.
pub const TRACE_ROOM: usize = 6;

/// One event of a trace.
#[derive(Clone, Debug)]
pub enum TraceEvent {
    /// A request asks.
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
    /// The answer of the nth slot in use begins.
    Start { nth: usize },
    /// The nth waiting request is given up by its caller.
    Cancel { nth: usize },
    /// Time passes.
    Pass { after_ms: u64 },
}

impl TraceEvent {
    /// An idempotent ask with a distant deadline.
    pub fn ask(class: u8, organisation: u8, tokens: u32) -> Self {
        let (deadline_ms, idempotent, after_ms) = (1_000_000, true, 0);
        Self::Ask { class, organisation, tokens, deadline_ms, idempotent, after_ms }
    }
}

/// Traces in which asks outnumber returns, so that queues fill.
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
        1 => (0u64..1_500).prop_map(|after_ms| TraceEvent::Pass { after_ms }),
    ];
    proptest::collection::vec(event, 1..200)
}

/// What was done to the arbiter.
#[derive(Clone, Debug)]
pub enum TraceInput {
    /// An ask.
    Ask(SlotDemand),
    /// A return.
    Finish(RequestKey, SlotOutcome),
    /// The begin of an answer.
    Start(RequestKey),
    /// Nothing.
    None,
}

/// One input, the state around it and what the arbiter decided.
#[derive(Clone, Debug)]
pub struct TraceStep {
    pub now: Duration,
    pub input: TraceInput,
    pub before: RequestView,
    pub after: RequestView,
    pub decisions: Vec<ArbiterDecision>,
}

/// Where a request stands, as its node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Waiting,
    Running { started: bool, recalled: bool },
}

/// Requests as their nodes see them.
#[derive(Clone, Debug, Default)]
pub struct RequestView {
    pub requests: BTreeMap<RequestKey, (SlotDemand, Standing)>,
}

impl RequestView {
    /// Waiting requests.
    pub fn waiting(&self) -> impl Iterator<Item = &SlotDemand> {
        let rows = self.requests.values();
        rows.filter(|(_, standing)| *standing == Standing::Waiting).map(|(demand, _)| demand)
    }

    /// Classes with waiting work.
    pub fn waiting_classes(&self) -> BTreeSet<String> {
        self.waiting().map(|demand| demand.class.to_string()).collect()
    }

    /// Lowest tier in which a waiting request takes room that others could use.
    pub fn lowest_crowded_tier(&self) -> Option<u8> {
        let mut counts = BTreeMap::<_, (usize, bool)>::new();
        for demand in self.waiting() {
            let count = counts.entry((demand.tier, demand.class.clone())).or_default();
            count.0 += 1;
            count.1 |= !demand.preempted;
        }
        let crowded = counts.into_iter().filter(|(_, (count, sheddable))| *count > 1 && *sheddable);
        crowded.map(|((tier, _), _)| tier).max()
    }

    /// Tier of a request.
    pub fn tier(&self, key: &RequestKey) -> Option<u8> {
        self.requests.get(key).map(|(demand, _)| demand.tier)
    }
}

/// Runs traces against an arbiter and keeps the nodes' view.
pub struct TraceRunner {
    pub arbiter: PoolArbiter,
    pub now: Duration,
    view: RequestView,
    known: BTreeMap<RequestKey, SlotDemand>,
    next_request: u64,
}

impl TraceRunner {
    pub fn new(replicas: u32, slots: u32) -> Self {
        let mut arbiter = PoolArbiter::new(TRACE_ROOM);
        let specs = (0..replicas).map(|index| ReplicaSpec {
            id: format!("r{index}").into(),
            slots,
            leaving: false,
        });
        arbiter.observe_replicas(Duration::ZERO, &specs.collect::<Vec<_>>());
        let (view, known) = (RequestView::default(), BTreeMap::new());
        Self { arbiter, now: Duration::ZERO, view, known, next_request: 0 }
    }

    /// Runs one event and then what nodes do by themselves: give recalled slots back and ask anew.
    pub fn step(&mut self, event: &TraceEvent) -> Vec<TraceStep> {
        let input = self.input_of(event);
        let mut steps = vec![self.apply(input)];
        let mut checked = 0;
        while checked < steps.len() {
            let recalled: Vec<_> = steps[checked].decisions.iter().filter_map(recalled).collect();
            for key in recalled {
                steps.extend(self.give_back(&key));
            }
            checked += 1;
            assert!(checked < 1_000, "slots are taken back without end");
        }
        steps
    }

    /// Class of a request.
    pub fn class_of(&self, key: &RequestKey) -> String {
        self.known[key].class.to_string()
    }

    fn give_back(&mut self, key: &RequestKey) -> Vec<TraceStep> {
        if !self.view.requests.contains_key(key) {
            return Vec::new();
        }
        let gone = SlotOutcome { tokens: 0, failed: false, abandoned: true };
        let returned = self.apply(TraceInput::Finish(key.clone(), gone));
        let mut demand = self.known[key].clone();
        demand.preempted = true;
        demand.key = self.next_key();
        vec![returned, self.apply(TraceInput::Ask(demand))]
    }

    fn input_of(&mut self, event: &TraceEvent) -> TraceInput {
        let running = |standing: Standing| matches!(standing, Standing::Running { .. });
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
                let gone = SlotOutcome { tokens: 0, failed: false, abandoned: true };
                let key = self.nth(*nth, |standing| standing == Standing::Waiting);
                key.map_or(TraceInput::None, |key| TraceInput::Finish(key, gone))
            }
            TraceEvent::Pass { after_ms } => {
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

    fn nth(&self, nth: usize, filter: impl Fn(Standing) -> bool) -> Option<RequestKey> {
        let rows = self.view.requests.iter().filter(|(_, (_, standing))| filter(*standing));
        let keys: Vec<_> = rows.map(|(key, _)| key.clone()).collect();
        (!keys.is_empty()).then(|| keys[nth % keys.len()].clone())
    }

    fn apply(&mut self, input: TraceInput) -> TraceStep {
        let before = self.view.clone();
        match &input {
            TraceInput::Ask(demand) => {
                self.known.insert(demand.key.clone(), demand.clone());
                let row = (demand.clone(), Standing::Waiting);
                self.view.requests.insert(demand.key.clone(), row);
                self.arbiter.submit(self.now, demand.clone());
            }
            TraceInput::Finish(key, outcome) => {
                self.view.requests.remove(key);
                self.arbiter.finish(self.now, key, *outcome);
            }
            TraceInput::Start(key) => {
                self.arbiter.note_started(key);
                if let Some((_, Standing::Running { started, .. })) =
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
            self.note(decision);
        }
        let after = self.view.clone();
        TraceStep { now: self.now, input, before, after, decisions }
    }

    fn note(&mut self, decision: &ArbiterDecision) {
        match decision {
            ArbiterDecision::Grant { key, .. } => {
                if let Some((_, standing)) = self.view.requests.get_mut(key) {
                    *standing = Standing::Running { started: false, recalled: false };
                }
            }
            ArbiterDecision::Refuse { key, .. } => {
                self.view.requests.remove(key);
            }
            ArbiterDecision::Recall { key } => {
                if let Some((_, Standing::Running { recalled, .. })) =
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
