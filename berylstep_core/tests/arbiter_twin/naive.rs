//! Naive reference scheduler: one list of requests, scanned and sorted for each decision.

use std::collections::BTreeMap;
use std::time::Duration;

use berylstep_core::arbiter::{
    ArbiterDecision, RequestKey, SlotDemand, MAX_MISSED_GRANTS, MAX_MISSED_GRANTS_AFTER_WAIT,
    PREEMPT_FRACTION, STARVATION_WAIT,
};
use berylstep_core::estimate::EstimateTable;
use berylstep_core::refusal::RefusalReason;

use super::trace::{TraceInput, TraceStep, TRACE_MAX_WAITING};

/// Kind and request of a decision.
pub type DecisionKey = (&'static str, RequestKey);

type ClassKey = (u8, String);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowState {
    Waiting,
    Running { since: Duration, preemptible: bool, recalled: bool },
}

#[derive(Clone, Debug)]
struct Row {
    demand: SlotDemand,
    tokens: u64,
    position: i64,
    state: RowState,
}

#[derive(Clone, Debug, Default)]
struct ClassRecord {
    served: BTreeMap<String, u64>,
    virtual_time: u64,
    missed: u32,
    since: Duration,
}

/// Reference scheduler for a pool whose replicas are interchangeable.
pub struct NaiveScheduler {
    slots: usize,
    rows: Vec<Row>,
    classes: BTreeMap<ClassKey, ClassRecord>,
    estimates: EstimateTable,
    preemption_credits: usize,
    last_cleanup: Duration,
    last_position: i64,
    decisions: Vec<DecisionKey>,
}

impl NaiveScheduler {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            rows: Vec::new(),
            classes: BTreeMap::new(),
            estimates: EstimateTable::default(),
            preemption_credits: 0,
            last_cleanup: Duration::ZERO,
            last_position: 0,
            decisions: Vec::new(),
        }
    }

    /// Applies one step of a trace and returns the decisions.
    pub fn step(&mut self, step: &TraceStep) -> Vec<DecisionKey> {
        match &step.input {
            TraceInput::Ask(demand) => self.submit(step, demand),
            TraceInput::Finish(key, outcome) => {
                if let Some(index) = self.rows.iter().position(|row| row.demand.key == *key) {
                    let row = self.rows.remove(index);
                    if let RowState::Running { recalled, .. } = row.state {
                        self.preemption_credits += usize::from(recalled);
                        let organisation = row.demand.organisation.to_string();
                        let class = self.classes.entry(class_key(&row.demand)).or_default();
                        let served = class.served.entry(organisation).or_default();
                        let actual = match (recalled, outcome.abandoned) {
                            (true, true) => 0,
                            (false, true) => row.tokens.max(outcome.tokens.into()),
                            (_, false) => u64::from(outcome.tokens.max(1)),
                        };
                        *served = (*served + actual).saturating_sub(row.tokens);
                        if !outcome.abandoned {
                            let demand = &row.demand;
                            let tokens = outcome.tokens;
                            self.estimates.observe(&demand.class, &demand.organisation, tokens);
                        }
                    }
                }
            }
            TraceInput::Start(key) => {
                for row in self.rows.iter_mut().filter(|row| row.demand.key == *key) {
                    if let RowState::Running { preemptible, recalled, .. } = &mut row.state {
                        *preemptible = false;
                        *recalled = false;
                    }
                }
            }
            TraceInput::None => {}
        }
        self.expire(step.now);
        self.grant(step.now);
        self.preempt(step.now);
        self.clean_up(step.now);
        std::mem::take(&mut self.decisions)
    }

    fn waiting(&self) -> Vec<&Row> {
        self.rows.iter().filter(|row| row.state == RowState::Waiting).collect()
    }

    fn waiting_of(&self, class: &ClassKey) -> Vec<&Row> {
        let mut rows = self.waiting();
        rows.retain(|row| class_key(&row.demand) == *class);
        rows
    }

    fn submit(&mut self, step: &TraceStep, demand: &SlotDemand) {
        let class = class_key(demand);
        let crowded = !self.waiting_of(&class).is_empty() && !demand.preempted;
        let refused_early = step.decisions.iter().any(|decision| match decision {
            ArbiterDecision::Refuse { key, reason: RefusalReason::Deadline, .. } => {
                *key == demand.key
            }
            _ => false,
        });
        // The wait is not estimated here. A refusal by expected wait is copied from the arbiter,
        // unless no other request of the class waits or the request was preempted.
        let early = refused_early && crowded;
        if demand.deadline <= step.now || early || (crowded && !self.make_room(demand)) {
            self.decisions.push(("refuse", demand.key.clone()));
            return;
        }
        let was_empty = self.waiting_of(&class).is_empty();
        let own = |row: &&Row| row.demand.organisation == demand.organisation;
        let first_of_own = !self.waiting_of(&class).iter().any(own);
        let record = self.classes.entry(class).or_default();
        if was_empty {
            record.missed = 0;
            record.since = step.now;
        }
        let served = record.served.entry(demand.organisation.to_string()).or_default();
        if first_of_own {
            *served = (*served).max(record.virtual_time);
        }
        self.last_position += 1;
        let position = if demand.preempted { -self.last_position } else { self.last_position };
        let (class, organisation) = (&demand.class, &demand.organisation);
        let tokens = self.estimates.expected(class, organisation, demand.max_tokens).into();
        self.rows.push(Row { demand: demand.clone(), tokens, position, state: RowState::Waiting });
    }

    /// Sheds a request if the queue is full. Returns false if the new one has the lowest priority.
    fn make_room(&mut self, demand: &SlotDemand) -> bool {
        let mut sizes = BTreeMap::<ClassKey, usize>::new();
        for row in self.waiting() {
            *sizes.entry(class_key(&row.demand)).or_default() += 1;
        }
        let used: usize = sizes.values().map(|size| size - 1).sum();
        if used < TRACE_MAX_WAITING {
            return true;
        }
        let mut classes: Vec<_> = sizes.into_iter().filter(|(_, size)| *size > 1).collect();
        classes.sort_by(|left, right| {
            let order = (right.0 .0, right.1).cmp(&(left.0 .0, left.1));
            order.then_with(|| right.0.cmp(&left.0))
        });
        let candidate =
            classes.iter().find_map(|(class, _)| Some((class, self.shed_candidate(class)?)));
        let Some((class, (backlog, victim))) = candidate else { return false };
        if class.0 < demand.tier {
            return false;
        }
        let own = |row: &&&Row| row.demand.organisation == demand.organisation;
        let own = self.waiting_of(&class_key(demand)).iter().filter(own).count();
        if *class == class_key(demand) && own + 1 >= backlog {
            return false;
        }
        self.rows.retain(|row| row.demand.key != victim);
        self.decisions.push(("refuse", victim));
        true
    }

    /// Returns the request of a class that is shed first: the newest one of the organisation with
    /// the longest queue, among organisations whose newest request was not preempted.
    fn shed_candidate(&self, class: &ClassKey) -> Option<(usize, RequestKey)> {
        let mut queues = BTreeMap::<String, Vec<&Row>>::new();
        for row in self.waiting_of(class) {
            queues.entry(row.demand.organisation.to_string()).or_default().push(row);
        }
        let mut queues: Vec<_> =
            queues.into_iter().map(|(name, rows)| (rows.len(), name, rows)).collect();
        queues.sort_by(|left, right| (right.0, &right.1).cmp(&(left.0, &left.1)));
        queues.into_iter().find_map(|(backlog, _, rows)| {
            let newest = rows.into_iter().max_by_key(|row| row.position)?;
            (!newest.demand.preempted).then(|| (backlog, newest.demand.key.clone()))
        })
    }

    fn expire(&mut self, now: Duration) {
        let mut expired = self.waiting();
        expired.retain(|row| row.demand.deadline <= now);
        expired.sort_by_key(|row| (row.demand.deadline, row.demand.key.clone()));
        let expired: Vec<_> = expired.into_iter().map(|row| row.demand.key.clone()).collect();
        self.rows.retain(|row| !expired.contains(&row.demand.key));
        self.decisions.extend(expired.into_iter().map(|key| ("refuse", key)));
    }

    /// Returns the next request of a class: the first one of the organisation with the least tokens
    /// served.
    fn head(&self, class: &ClassKey) -> Option<&Row> {
        let served = &self.classes.get(class)?.served;
        let order = |row: &Row| {
            let organisation = row.demand.organisation.to_string();
            (served[&organisation], organisation, row.position)
        };
        self.waiting_of(class).into_iter().min_by_key(|row| order(row))
    }

    fn grant(&mut self, now: Duration) {
        while self.rows.len() - self.waiting().len() < self.slots && !self.waiting().is_empty() {
            let mut ranked: Vec<_> = self.classes.keys().cloned().collect();
            ranked.retain(|class| self.head(class).is_some());
            ranked.sort_by_key(|class| {
                let head = &self.head(class).expect("class has a head").demand;
                let target = head.arrived + head.latency_target;
                let guarantee_due =
                    self.preemption_credits == 0 && self.is_guarantee_due(now, class);
                (!guarantee_due, class.0, target <= now, target, class.clone())
            });
            let class = ranked.remove(0);
            let guaranteed = self.preemption_credits == 0 && self.is_guarantee_due(now, &class);
            self.grant_head(now, &class, guaranteed);
        }
        if self.waiting().is_empty() {
            self.preemption_credits = 0;
        }
    }

    fn is_guarantee_due(&self, now: Duration, class: &ClassKey) -> bool {
        let record = &self.classes[class];
        let slow =
            now - record.since >= STARVATION_WAIT && record.missed >= MAX_MISSED_GRANTS_AFTER_WAIT;
        slow || record.missed >= MAX_MISSED_GRANTS
    }

    fn grant_head(&mut self, now: Duration, class: &ClassKey, guaranteed: bool) {
        let key = self.head(class).expect("class has a head").demand.key.clone();
        let others: Vec<_> = self.waiting().iter().map(|row| class_key(&row.demand)).collect();
        for (other, record) in &mut self.classes {
            if other != class && others.contains(other) {
                record.missed += 1;
            }
        }
        let row = self.rows.iter_mut().find(|row| row.demand.key == key).expect("row of the head");
        let preemptible = row.demand.idempotent && !guaranteed;
        row.state = RowState::Running { since: now, preemptible, recalled: false };
        let record = self.classes.get_mut(class).expect("class of the head");
        let served = record.served.get_mut(&*row.demand.organisation).expect("organisation");
        record.virtual_time = record.virtual_time.max(*served);
        *served += row.tokens;
        record.missed = 0;
        record.since = now;
        self.preemption_credits = self.preemption_credits.saturating_sub(1);
        self.decisions.push(("grant", key));
    }

    fn preempt(&mut self, now: Duration) {
        let classes: Vec<_> = self.classes.keys().cloned().collect();
        let mut waiting = 0;
        for class in classes {
            waiting += self.waiting_of(&class).len();
            let recalled =
                |row: &&Row| matches!(row.state, RowState::Running { recalled: true, .. });
            if self.rows.iter().filter(recalled).count() >= waiting {
                continue;
            }
            let Some(head) = self.head(&class) else { continue };
            let (arrived, latency_target) = (head.demand.arrived, head.demand.latency_target);
            if now - arrived < latency_target / PREEMPT_FRACTION {
                continue;
            }
            let mut lower: Vec<_> =
                self.rows.iter_mut().filter(|row| row.demand.tier > class.0).collect();
            lower.retain(|row| {
                matches!(row.state, RowState::Running { preemptible: true, recalled: false, .. })
            });
            lower.sort_by_key(|row| match row.state {
                RowState::Running { since, .. } => (row.demand.tier, since, row.demand.key.clone()),
                RowState::Waiting => unreachable!("only running rows are kept"),
            });
            let Some(victim) = lower.pop() else { continue };
            if let RowState::Running { recalled, .. } = &mut victim.state {
                *recalled = true;
            }
            self.decisions.push(("recall", victim.demand.key.clone()));
        }
    }

    fn clean_up(&mut self, now: Duration) {
        if now - self.last_cleanup < Duration::from_secs(1) {
            return;
        }
        self.last_cleanup = now;
        let rows = &self.rows;
        self.classes.retain(|class, record| {
            let waits = |organisation: &str| {
                rows.iter().any(|row| {
                    row.state == RowState::Waiting
                        && class_key(&row.demand) == *class
                        && *row.demand.organisation == *organisation
                })
            };
            let virtual_time = record.virtual_time;
            record.served.retain(|name, served| waits(name) || *served > virtual_time);
            rows.iter().any(|row| class_key(&row.demand) == *class)
        });
    }
}

fn class_key(demand: &SlotDemand) -> ClassKey {
    (demand.tier, demand.class.to_string())
}
