//! Counting, safekeeping and sealing against a naive twin that counts every event once.

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
    /// Prepares writes; they reach the table at a later step.
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

/// How much of one process's events is safe, and where.
#[derive(Debug, Default)]
struct TwinSource {
    counted: u64,
    stored: u64,
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
    twin: BTreeMap<(usize, u64), TwinSource>,
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
            twin: BTreeMap::new(),
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
        node.own.count(now, source, key, count);
        self.twin.entry((index, incarnation)).or_default().counted += requests;
        *self.counted_in.entry(window).or_default() += requests;
    }

    fn prepare(&mut self, index: usize, copies: bool) {
        let now = self.now();
        let node = &mut self.nodes[index];
        let records = if copies { &node.copies } else { &node.own };
        let writes = records.writes(now, Duration::ZERO, usize::MAX);
        let counted = self.twin.get(&(index, node.incarnation)).map_or(0, |twin| twin.counted);
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
                let twin = self.twin.entry((index, incarnation)).or_default();
                twin.stored = twin.stored.max(prepared.counted);
            }
        }
        if lose_answer {
            return;
        }
        let node = &mut self.nodes[index];
        let records = if prepared.own { &mut node.own } else { &mut node.copies };
        if conflicts.is_empty() {
            records.mark_stored(self.version, &prepared.writes);
        }
        for source in conflicts {
            records.resolve_conflict(&source, self.rows.get(&source).cloned());
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
        let twin = self.twin.entry((from, incarnation)).or_default();
        twin.copies.push((to, holder, twin.counted));
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

    /// Lets everything that is left be stored and sealed.
    fn finish(&mut self) {
        // Each conflict settles the rows of one transaction, so that a few rounds are enough.
        for _ in 0..10 {
            for index in 0..NODES {
                for copies in [true, false] {
                    self.prepare(index, copies);
                    self.commit(index, false);
                }
            }
        }
        // Two windows more for each one that is left, as late counters wait for the next.
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
            let doubled = figures.iter().all(|f| f.count.input_tokens == 2 * f.count.requests);
            assert!(doubled, "window {window}: tokens differ from requests");
        }
        let counted: u64 = self.twin.values().map(|twin| twin.counted).sum();
        assert!(self.sealed_requests() <= counted, "more sealed than counted");
    }

    fn check_finished(&self) {
        self.check();
        let mut total = 0;
        for ((index, incarnation), twin) in &self.twin {
            let alive =
                |&&(holder, life, _): &&(usize, u64, u64)| self.nodes[holder].incarnation == life;
            let copied = twin.copies.iter().filter(alive).map(|copy| copy.2).max().unwrap_or(0);
            let safe = match self.nodes[*index].incarnation == *incarnation {
                true => twin.counted,
                false => twin.stored.max(copied),
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
            assert!(stored >= safe, "{node}/{incarnation}: {stored} stored, {safe} were safe");
            assert!(stored <= twin.counted, "{node}/{incarnation}: {stored} of {}", twin.counted);
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
fn ten_minutes_without_the_store_lose_nothing() {
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
    let counted: u64 = model.twin.values().map(|twin| twin.counted).sum();
    assert_eq!(model.sealed_requests(), counted);
}

#[test]
fn full_records_hold_no_more_than_the_limit_and_lose_nothing() {
    const LIMIT: usize = 50;
    const WINDOWS: u64 = 600;
    const ORGANISATIONS: u64 = 10;
    let mut records = UsageBuffer::new(LIMIT);
    for window in 0..WINDOWS {
        for organisation in 0..ORGANISATIONS {
            let source = UsageSource { window, node: "n".into(), incarnation: 1 };
            let organisation = format!("o{organisation}").into();
            let key = UsageKey { organisation, class: "c".into() };
            let count = UsageCount { requests: 1, ..UsageCount::default() };
            records.count(Duration::from_secs(window), source, key, count);
        }
        assert!(records.len() <= LIMIT + ORGANISATIONS as usize);
    }
    let sums =
        records.unstored().flat_map(|(_, counters)| counters.iter().map(|(_, c)| c.requests));
    assert_eq!(sums.sum::<u64>(), WINDOWS * ORGANISATIONS);
}
