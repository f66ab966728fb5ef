//! Differential tests of the arbiter against a naive scheduler that scans and sorts all requests,
//! and properties over random traces.

#[path = "arbiter_twin/naive.rs"]
mod naive;
#[path = "arbiter_twin/trace.rs"]
mod trace;

use std::collections::BTreeMap;
use std::time::Duration;

use berylstep_core::arbiter::{ArbiterDecision, MAX_MISSED_GRANTS};
use berylstep_core::refusal::RefusalReason;
use naive::{DecisionKey, NaiveScheduler};
use proptest::prelude::*;
use trace::{trace, RequestStatus, TraceEvent, TraceInput, TraceRunner};

/// Number of classes in a trace.
const CLASSES: u32 = 6;

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Both schedulers make the same grants, refusals and recalls in the same order.
    #[test]
    fn same_decisions_as_naive_scheduler(events in trace()) {
        let mut runner = TraceRunner::new(1, 4);
        let mut naive = NaiveScheduler::new(4);
        for event in &events {
            for step in runner.step(event) {
                let decided: Vec<_> = step.decisions.iter().map(decision_key).collect();
                prop_assert_eq!(decided, naive.step(&step), "after {:?}", step.input);
            }
        }
    }

    /// No replica has more slots in use than it provides.
    #[test]
    fn slots_are_never_over_granted(events in trace()) {
        let mut runner = TraceRunner::new(3, 2);
        for event in &events {
            runner.step(event);
            for replica in ["r0", "r1", "r2"] {
                prop_assert!(runner.arbiter.held(replica) <= 2);
            }
        }
    }

    /// After every node is dropped, no slot is in use, nothing waits and all tables are empty.
    #[test]
    fn slots_come_back_after_any_drop(events in trace()) {
        let mut runner = TraceRunner::new(3, 2);
        for event in &events {
            runner.step(event);
        }
        let now = runner.now + Duration::from_secs(5);
        runner.arbiter.drop_node(now, "n0");
        runner.arbiter.tick(now);
        prop_assert_eq!(runner.arbiter.running(), 0);
        for replica in ["r0", "r1", "r2"] {
            prop_assert_eq!(runner.arbiter.held(replica), 0);
        }
        prop_assert_eq!(runner.arbiter.waiting(), 0);
        prop_assert_eq!(runner.arbiter.table_sizes(), (0, 0));
        prop_assert_eq!(runner.arbiter.nodes().count(), 0);
    }

    /// No request is shed while a lower tier has a request to shed, and only requests of lower
    /// tiers are preempted.
    #[test]
    fn lower_tiers_make_way_first(events in trace()) {
        let mut runner = TraceRunner::new(2, 2);
        for event in &events {
            for step in runner.step(event) {
                for decision in &step.decisions {
                    match decision {
                        ArbiterDecision::Refuse { key, reason: RefusalReason::QueueFull, .. } => {
                            let asked = match &step.input {
                                TraceInput::Ask(demand) => Some(demand.tier),
                                _ => None,
                            };
                            let tier = step.before.tier(key).or(asked);
                            prop_assert!(step.before.lowest_sheddable_tier() <= tier);
                        }
                        ArbiterDecision::Recall { key } => {
                            let (demand, status) = &step.after.requests[key];
                            prop_assert!(demand.idempotent);
                            prop_assert_eq!(
                                *status,
                                RequestStatus::Running { started: false, recalled: true }
                            );
                            let higher = step.after.waiting().any(|row| row.tier < demand.tier);
                            prop_assert!(higher);
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// A preempted request is refused only after its deadline, never for a full queue or its
    /// expected wait.
    #[test]
    fn preempted_work_is_not_shed(events in trace()) {
        let mut runner = TraceRunner::new(1, 4);
        for event in &events {
            for step in runner.step(event) {
                for decision in &step.decisions {
                    let ArbiterDecision::Refuse { key, .. } = decision else { continue };
                    let asked = match &step.input {
                        TraceInput::Ask(demand) if demand.key == *key => Some(demand),
                        _ => step.before.requests.get(key).map(|(demand, _)| demand),
                    };
                    let demand = asked.expect("refused requests were known");
                    prop_assert!(!demand.preempted || demand.deadline <= step.now);
                }
            }
        }
    }

    /// Every class with waiting requests is served within a bounded number of grants to others.
    #[test]
    fn no_class_starves(events in proptest::collection::vec(trace(), 4)) {
        let mut runner = TraceRunner::new(1, 4);
        let mut missed = BTreeMap::<String, u32>::new();
        for event in events.iter().flatten() {
            for step in runner.step(event) {
                let before = step.before.waiting_classes();
                for decision in &step.decisions {
                    let ArbiterDecision::Grant { key, .. } = decision else { continue };
                    let granted = runner.class_of(key);
                    missed.remove(&granted);
                    for class in before.iter().filter(|class| **class != granted) {
                        *missed.entry(class.clone()).or_default() += 1;
                    }
                }
                let after = step.after.waiting_classes();
                missed.retain(|class, _| after.contains(class));
                // Other classes may be due as well, and slots freed by preemption are granted first.
                let bound = MAX_MISSED_GRANTS + 2 * CLASSES;
                prop_assert!(missed.values().all(|grants| *grants <= bound), "{:?}", missed);
            }
        }
    }
}

/// Returns the kind and request of a decision. Replica and retry delay may differ between the two
/// schedulers.
fn decision_key(decision: &ArbiterDecision) -> DecisionKey {
    match decision {
        ArbiterDecision::Grant { key, .. } => ("grant", key.clone()),
        ArbiterDecision::Refuse { key, .. } => ("refuse", key.clone()),
        ArbiterDecision::Recall { key } => ("recall", key.clone()),
    }
}

#[test]
fn an_endless_higher_tier_leaves_the_lowest_class_its_floor() {
    let mut runner = TraceRunner::new(1, 2);
    for _ in 0..2 {
        runner.step(&TraceEvent::ask(0, 1, 3));
    }
    runner.step(&TraceEvent::ask(5, 0, 3));
    for grants in 1..=MAX_MISSED_GRANTS + 1 {
        runner.step(&TraceEvent::ask(0, 1, 3));
        let steps = runner.step(&TraceEvent::Finish { nth: 0, tokens: 3, after_ms: 1 });
        let mut decisions = steps.iter().flat_map(|step| &step.decisions);
        let lowest = decisions.any(|decision| match decision {
            ArbiterDecision::Grant { key, .. } => runner.class_of(key) == "class5",
            _ => false,
        });
        if lowest {
            return;
        }
        assert!(grants <= MAX_MISSED_GRANTS, "not served within {grants} grants");
    }
    panic!("the lowest class was not served");
}
