//! Model test of counting, buffering and sealing, checked against a count of all events.

use std::collections::BTreeMap;
use std::time::Duration;

use berylstep_core::usage::{
    plan_seal, SealPlan, SealedUsage, UsageBuffer, UsageCount, UsageCounters, UsageKey,
    UsageSource, UsageWrite, VersionedUsage,
};
use proptest::prelude::*;

const NODES: usize = 3;
const WINDOW_MS: u64 = 100;
const GRACE_MS: u64 = 30;
const ENTRY_LIMIT: usize = 20_000;

#[derive(Clone, Debug)]
enum Action {
    Advance(u64),
    Count {
        node: usize,
        organisation: u8,
        requests: u64,
    },
    /// Prepares writes, which are committed at a later step.
    Prepare {
        node: usize,
        copies: bool,
    },
    Commit {
        node: usize,
        lose_answer: bool,
    },
    Copy {
        from: usize,
        to: usize,
    },
    Kill(usize),
    SealRead(usize),
    SealWrite(usize),
}

/// How many of one process's events are counted, and where they are held.
#[derive(Debug, Default)]
struct SourceTotals {
    counted: u64,
    stored: u64,
    /// Holder, incarnation of the holder, and events in the copy.
    copies: Vec<(usize, u64, u64)>,
}

#[derive(Debug)]
struct Prepared {
    writes: Vec<UsageWrite>,
    own: bool,
    counted: u64,
}

#[derive(Debug)]
struct ModelNode {
    incarnation: u64,
    own: UsageBuffer,
    copies: UsageBuffer,
    prepared: Option<Prepared>,
    plan: Option<(Option<u64>, SealPlan)>,
}

#[derive(Debug)]
struct Model {
    now_ms: u64,
    nodes: Vec<ModelNode>,
    rows: BTreeMap<UsageSource, VersionedUsage>,
    version: u64,
    cursor: Option<u64>,
    sealed: BTreeMap<u64, Vec<SealedUsage>>,
    totals: BTreeMap<(usize, u64), SourceTotals>,
    counted_in: BTreeMap<u64, u64>,
}

fn new_node(incarnation: u64) -> ModelNode {
    let (own, copies) = (UsageBuffer::new(ENTRY_LIMIT), UsageBuffer::new(ENTRY_LIMIT));
    ModelNode { incarnation, own, copies, prepared: None, plan: None }
}

impl Model {
    fn new() -> Self {
        Self {
            now_ms: 1_000,
            nodes: (0..NODES).map(|_| new_node(1)).collect(),
            rows: BTreeMap::new(),
            version: 0,
            cursor: None,
            sealed: BTreeMap::new(),
            totals: BTreeMap::new(),
            counted_in: BTreeMap::new(),
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn count(&mut self, index: usize, organisation: u8, requests: u64) {
        let now = self.now();
        let window = self.now_ms / WINDOW_MS * WINDOW_MS;
        let node = &mut self.nodes[index];
        let incarnation = node.incarnation;
        let source = UsageSource { window, node: format!("n{index}").into(), incarnation };
        let organisation = format!("o{organisation}").into();
        let key = UsageKey { organisation, class: "c".into() };
        let count = UsageCount { requests, input_tokens: 2 * requests, output_tokens: 0 };
        node.own.add_usage(now, source, key, count);
        self.totals.entry((index, incarnation)).or_default().counted += requests;
        *self.counted_in.entry(window).or_default() += requests;
    }

    fn prepare(&mut self, index: usize, copies: bool) {
        let now = self.now();
        let node = &mut self.nodes[index];
        let buffer = if copies { &node.copies } else { &node.own };
        let writes = buffer.writes(now, Duration::ZERO, usize::MAX);
        let counted =
            self.totals.get(&(index, node.incarnation)).map_or(0, |totals| totals.counted);
        node.prepared = Some(Prepared { writes, own: !copies, counted });
    }

    fn commit(&mut self, index: usize, lose_answer: bool) {
        let Some(prepared) = self.nodes[index].prepared.take() else { return };
        let version_of = |source: &UsageSource| self.rows.get(source).map_or(0, |row| row.version);
        let conflicts = prepared.writes.iter().filter(|w| version_of(&w.source) != w.expect);
        let conflicts: Vec<_> = conflicts.map(|write| write.source.clone()).collect();
        if conflicts.is_empty() {
            self.version += 1;
            for write in &prepared.writes {
                let row = VersionedUsage { version: self.version, row: write.row.clone() };
                self.rows.insert(write.source.clone(), row);
            }
            if prepared.own {
                let incarnation = self.nodes[index].incarnation;
                let totals = self.totals.entry((index, incarnation)).or_default();
                totals.stored = totals.stored.max(prepared.counted);
            }
        }
        if lose_answer {
            return;
        }
        let node = &mut self.nodes[index];
        let buffer = if prepared.own { &mut node.own } else { &mut node.copies };
        if conflicts.is_empty() {
            buffer.mark_stored(self.version, &prepared.writes);
        }
        for source in conflicts {
            buffer.resolve_conflict(&source, self.rows.get(&source).cloned());
        }
        node.own.prune_stored();
        node.copies.prune_stored_copies();
    }

    fn copy(&mut self, from: usize, to: usize) {
        if from == to {
            return;
        }
        let now = self.now();
        let unstored = self.nodes[from].own.unstored();
        let copies: Vec<_> = unstored.map(|(s, c)| (s.clone(), c.clone())).collect();
        for (source, counters) in copies {
            assert!(self.nodes[to].copies.merge(now, source, &counters));
        }
        let holder = self.nodes[to].incarnation;
        let incarnation = self.nodes[from].incarnation;
        let totals = self.totals.entry((from, incarnation)).or_default();
        totals.copies.push((to, holder, totals.counted));
    }

    fn seal_read(&mut self, index: usize) {
        let closed = (self.now_ms - GRACE_MS) / WINDOW_MS * WINDOW_MS - WINDOW_MS;
        let plan = plan_seal(&self.rows, self.cursor, closed);
        self.nodes[index].plan = plan.map(|plan| (self.cursor, plan));
    }

    fn seal_write(&mut self, index: usize) {
        let Some((cursor, plan)) = self.nodes[index].plan.take() else { return };
        let version_of = |source: &UsageSource| self.rows.get(source).map_or(0, |row| row.version);
        let current = plan.sources.iter().all(|write| version_of(&write.source) == write.expect);
        if cursor != self.cursor || !current {
            return;
        }
        self.version += 1;
        for write in plan.sources {
            let row = VersionedUsage { version: self.version, row: write.row };
            self.rows.insert(write.source, row);
        }
        self.cursor = Some(plan.window);
        assert!(self.sealed.insert(plan.window, plan.figures).is_none(), "sealed twice");
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Advance(ms) => self.now_ms += ms,
            Action::Count { node, organisation, requests } => {
                self.count(node, organisation, requests)
            }
            Action::Prepare { node, copies } => self.prepare(node, copies),
            Action::Commit { node, lose_answer } => self.commit(node, lose_answer),
            Action::Copy { from, to } => self.copy(from, to),
            Action::Kill(node) => self.nodes[node] = new_node(self.nodes[node].incarnation + 1),
            Action::SealRead(node) => self.seal_read(node),
            Action::SealWrite(node) => self.seal_write(node),
        }
    }

    /// Stores and seals all remaining usage.
    fn finish(&mut self) {
        // Each conflict resolves the rows of one transaction, so a few rounds are enough.
        for _ in 0..10 {
            for index in 0..NODES {
                for copies in [true, false] {
                    self.prepare(index, copies);
                    self.commit(index, false);
                }
            }
        }
        // Sealing each remaining window may take two more windows, because late counters wait for
        // the next seal.
        for _ in 0..100 {
            self.now_ms += WINDOW_MS;
            self.seal_read(0);
            self.seal_write(0);
        }
    }

    fn sealed_requests(&self) -> u64 {
        self.sealed.values().flatten().map(|figure| figure.count.requests).sum()
    }

    fn check(&self) {
        for (window, figures) in &self.sealed {
            let on_time = figures.iter().map(|f| f.count.requests - f.late_requests).sum::<u64>();
            let counted = self.counted_in.get(window).copied().unwrap_or_default();
            assert!(on_time <= counted, "window {window}: {on_time} of {counted} counted");
            let is_consistent =
                figures.iter().all(|f| f.count.input_tokens == 2 * f.count.requests);
            assert!(is_consistent, "window {window}: tokens differ from requests");
        }
        let counted: u64 = self.totals.values().map(|totals| totals.counted).sum();
        assert!(self.sealed_requests() <= counted, "more sealed than counted");
    }

    fn check_finished(&self) {
        self.check();
        let mut total = 0;
        for ((index, incarnation), totals) in &self.totals {
            let alive =
                |&&(holder, run, _): &&(usize, u64, u64)| self.nodes[holder].incarnation == run;
            let copied = totals.copies.iter().filter(alive).map(|copy| copy.2).max().unwrap_or(0);
            let expected = match self.nodes[*index].incarnation == *incarnation {
                true => totals.counted,
                false => totals.stored.max(copied),
            };
            let node = format!("n{index}");
            let of_source = self
                .rows
                .iter()
                .filter(|(source, _)| *source.node == *node && source.incarnation == *incarnation);
            let requests = |counters: &UsageCounters| {
                counters.iter().map(|(_, count)| count.requests).sum::<u64>()
            };
            let stored: u64 = of_source.map(|(_, row)| requests(&row.row.counters)).sum();
            assert!(
                stored >= expected,
                "{node}/{incarnation}: {stored} stored, {expected} expected"
            );
            assert!(
                stored <= totals.counted,
                "{node}/{incarnation}: {stored} of {}",
                totals.counted
            );
            total += stored;
        }
        assert_eq!(self.sealed_requests(), total, "sealed and stored differ");
    }
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let node = 0..NODES;
    let pair = (node.clone(), node.clone());
    let action = prop_oneof![
        3 => (1..60u64).prop_map(Action::Advance),
        6 => (node.clone(), 0..3u8, 1..5u64).prop_map(|(node, organisation, requests)| {
            Action::Count { node, organisation, requests }
        }),
        4 => (node.clone(), any::<bool>()).prop_map(|(node, copies)| {
            Action::Prepare { node, copies }
        }),
        4 => (node.clone(), prop::bool::weighted(0.3)).prop_map(|(node, lose_answer)| {
            Action::Commit { node, lose_answer }
        }),
        3 => pair.prop_map(|(from, to)| Action::Copy { from, to }),
        1 => node.clone().prop_map(Action::Kill),
        3 => node.clone().prop_map(Action::SealRead),
        3 => node.prop_map(Action::SealWrite),
    ];
    prop::collection::vec(action, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn counted_usage_is_sealed_exactly_once(actions in actions()) {
        let mut model = Model::new();
        for action in &actions {
            model.apply(action);
            model.check();
        }
        model.finish();
        model.check_finished();
    }
}

#[test]
fn a_store_outage_of_ten_minutes_loses_no_usage() {
    const OUTAGE_MS: u64 = 600_000;
    const STEP_MS: u64 = 2_000;
    let mut model = Model::new();
    for step in 0..OUTAGE_MS / STEP_MS {
        for node in 0..NODES {
            model.count(node, (step % 3) as u8, 1);
        }
        model.now_ms += STEP_MS;
    }
    assert!(model.nodes.iter().all(|node| node.own.len() <= ENTRY_LIMIT + 3));
    // Each round seals at most one window.
    let rounds = 5;
    (0..rounds).for_each(|_| model.finish());
    model.check_finished();
    let counted: u64 = model.totals.values().map(|totals| totals.counted).sum();
    assert_eq!(model.sealed_requests(), counted);
}

#[test]
fn a_full_buffer_respects_its_limit_and_loses_no_usage() {
    const LIMIT: usize = 50;
    const WINDOWS: u64 = 600;
    const ORGANISATIONS: u64 = 10;
    let mut buffer = UsageBuffer::new(LIMIT);
    for window in 0..WINDOWS {
        for organisation in 0..ORGANISATIONS {
            let source = UsageSource { window, node: "n".into(), incarnation: 1 };
            let organisation = format!("o{organisation}").into();
            let key = UsageKey { organisation, class: "c".into() };
            let count = UsageCount { requests: 1, ..UsageCount::default() };
            buffer.add_usage(Duration::from_secs(window), source, key, count);
        }
        assert!(buffer.len() <= LIMIT + ORGANISATIONS as usize);
    }
    let sums = buffer.unstored().flat_map(|(_, counters)| counters.iter().map(|(_, c)| c.requests));
    assert_eq!(sums.sum::<u64>(), WINDOWS * ORGANISATIONS);
}
