//! Choice of replicas: least expected work, affinity, outliers, slow starts; refusals at once.

use std::time::Duration;

use berylstep_core::arbiter::{
    ArbiterDecision, PoolArbiter, ReplicaSpec, RequestKey, SlotDemand, SlotOutcome,
};
use berylstep_core::refusal::RefusalReason;
use berylstep_core::upstream::LoadReport;

const SERVED: SlotOutcome = SlotOutcome { tokens: 10, failed: false, abandoned: false };
const FAILED: SlotOutcome = SlotOutcome { tokens: 0, failed: true, abandoned: false };

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn specs(names: &[&str], slots: u32) -> Vec<ReplicaSpec> {
    let spec = |name: &&str| ReplicaSpec { id: (*name).into(), slots, leaving: false };
    names.iter().map(spec).collect()
}

fn arbiter(names: &[&str], slots: u32) -> PoolArbiter {
    let mut arbiter = PoolArbiter::default();
    arbiter.observe_replicas(Duration::ZERO, &specs(names, slots));
    arbiter
}

fn demand(request: u64, now: Duration) -> SlotDemand {
    SlotDemand {
        key: RequestKey { node: "n0".into(), request },
        tier: 2,
        class: "drafting".into(),
        organisation: "rivers".into(),
        arrived: now,
        latency_target: millis(500),
        deadline: now + millis(5_000),
        max_tokens: Some(10),
        prefix_hash: 0,
        idempotent: true,
        preempted: false,
        excluded: Vec::new(),
    }
}

fn decide(arbiter: &mut PoolArbiter, now: Duration, demand: SlotDemand) -> Option<ArbiterDecision> {
    arbiter.submit(now, demand);
    arbiter.tick(now);
    arbiter.take_decisions().pop()
}

fn granted(arbiter: &mut PoolArbiter, now: Duration, demand: SlotDemand) -> Option<String> {
    match decide(arbiter, now, demand) {
        Some(ArbiterDecision::Grant { replica, .. }) => Some(replica.to_string()),
        _ => None,
    }
}

fn finish(arbiter: &mut PoolArbiter, now: Duration, request: u64, outcome: SlotOutcome) {
    arbiter.finish(now, &RequestKey { node: "n0".into(), request }, outcome);
}

/// Serves `count` requests one by one, each on `service(replica)`; returns the replicas.
fn serve_each(
    arbiter: &mut PoolArbiter,
    start: Duration,
    requests: std::ops::Range<u64>,
    service: impl Fn(&str) -> (Duration, SlotOutcome),
) -> Vec<String> {
    let mut now = start;
    let mut replicas = Vec::new();
    for request in requests {
        let replica = granted(arbiter, now, demand(request, now)).expect("a slot is free");
        let (time, outcome) = service(&replica);
        now += time;
        finish(arbiter, now, request, outcome);
        replicas.push(replica);
    }
    replicas
}

#[test]
fn grants_go_to_the_replica_with_the_least_expected_work() {
    let mut arbiter = arbiter(&["a", "b", "c"], 4);
    let now = millis(1);
    let replicas: Vec<_> = (0..6).map(|id| granted(&mut arbiter, now, demand(id, now))).collect();
    for name in ["a", "b", "c"] {
        let count = replicas.iter().flatten().filter(|replica| *replica == name).count();
        assert_eq!(count, 2, "{replicas:?}");
    }
}

#[test]
fn load_reports_count_until_they_are_old() {
    let mut arbiter = arbiter(&["a", "b"], 4);
    let report = LoadReport { running: 4, waiting: 4, tokens_per_second: 0.0 };
    arbiter.observe_load(millis(10), "a", report);
    assert_eq!(granted(&mut arbiter, millis(10), demand(1, millis(10))).as_deref(), Some("b"));
    // Ten half-lives later the grant that is still in use weighs more than the report.
    let later = millis(5_010);
    assert_eq!(granted(&mut arbiter, later, demand(2, later)).as_deref(), Some("a"));
}

#[test]
fn a_prefix_keeps_its_replica_while_the_load_is_within_bounds() {
    let mut arbiter = arbiter(&["a", "b", "c"], 8);
    let now = millis(1);
    let with_prefix = |request| SlotDemand { prefix_hash: 77, ..demand(request, now) };
    let first = granted(&mut arbiter, now, with_prefix(0)).unwrap();
    finish(&mut arbiter, millis(2), 0, SERVED);
    let again: Vec<_> =
        (1..9).filter_map(|id| granted(&mut arbiter, now, with_prefix(id))).collect();
    assert_eq!(again[0], first, "an idle pool keeps the prefix's replica");
    let on_first = again.iter().filter(|replica| **replica == first).count();
    assert!(on_first < 8, "the prefix's replica took all of a burst");
}

#[test]
fn a_failing_replica_is_ejected_and_comes_back_by_a_probe() {
    let mut arbiter = arbiter(&["a", "b"], 4);
    let fails = |replica: &str| match replica {
        "a" => (millis(10), FAILED),
        _ => (millis(10), SERVED),
    };
    serve_each(&mut arbiter, millis(1), 0..20, fails);
    assert!(arbiter.is_ejected("a"));
    assert!(!arbiter.is_ejected("b"));
    let served = |_: &str| (millis(10), SERVED);
    let during = serve_each(&mut arbiter, millis(300), 20..30, served);
    assert!(during.iter().all(|replica| replica == "b"), "{during:?}");
    let after = serve_each(&mut arbiter, millis(3_000), 30..32, served);
    assert_eq!(after[0], "a", "the probe goes to the ejected replica");
    assert!(!arbiter.is_ejected("a"));
}

#[test]
fn the_last_replica_is_never_ejected() {
    let mut arbiter = arbiter(&["a"], 4);
    serve_each(&mut arbiter, millis(1), 0..20, |_| (millis(10), FAILED));
    assert!(!arbiter.is_ejected("a"));
}

#[test]
fn a_replica_at_a_tenth_of_its_speed_is_ejected() {
    let mut arbiter = arbiter(&["a", "b", "c"], 1);
    let mut now = millis(1);
    for round in 0..20u64 {
        let ids = round * 3..round * 3 + 3;
        let replicas: Vec<_> = ids
            .clone()
            .filter_map(|id| Some((id, granted(&mut arbiter, now, demand(id, now))?)))
            .collect();
        now += millis(100);
        for (id, replica) in replicas.iter().filter(|(_, replica)| replica != "a") {
            assert!(replica == "b" || replica == "c");
            finish(&mut arbiter, now, *id, SERVED);
        }
        now += millis(900);
        for (id, _) in replicas.iter().filter(|(_, replica)| replica == "a") {
            finish(&mut arbiter, now, *id, SERVED);
        }
        for id in ids {
            finish(&mut arbiter, now, id, SlotOutcome { abandoned: true, ..SERVED });
        }
        arbiter.tick(now);
        arbiter.take_decisions();
        if arbiter.is_ejected("a") {
            return;
        }
    }
    panic!("the slow replica was not ejected");
}

#[test]
fn a_new_replica_starts_slowly_and_a_leaving_one_gets_nothing() {
    let mut arbiter = arbiter(&["a"], 8);
    let now = millis(10_000);
    let mut listed = specs(&["a", "b"], 8);
    listed[0].leaving = true;
    arbiter.observe_replicas(now, &listed);
    let grants = |arbiter: &mut PoolArbiter, now, ids: std::ops::Range<u64>| {
        let granted = ids.filter_map(|id| granted(arbiter, now, demand(id, now)));
        granted.collect::<Vec<_>>()
    };
    let early = grants(&mut arbiter, now, 0..8);
    assert_eq!(early, ["b", "b"], "a quarter of its slots at first");
    arbiter.tick(now + millis(4_500));
    arbiter.take_decisions();
    assert_eq!(arbiter.held("b"), 8, "all of its slots after the slow start");
    assert_eq!(arbiter.held("a"), 0);
}

#[test]
fn a_share_limits_every_replica() {
    let mut arbiter = arbiter(&["a", "b"], 8);
    arbiter.set_share(Some(0.25));
    for id in 0..10 {
        decide(&mut arbiter, millis(1), demand(id, millis(1)));
    }
    assert_eq!((arbiter.held("a"), arbiter.held("b")), (2, 2));
}

struct RefusalCase {
    name: &'static str,
    change: fn(&mut SlotDemand),
    refused: Option<RefusalReason>,
}

#[test]
fn what_cannot_be_served_is_refused_at_once() {
    let cases = [
        RefusalCase { name: "in time", change: |_| {}, refused: None },
        RefusalCase {
            name: "deadline too near",
            change: |demand| demand.deadline = demand.arrived + millis(500),
            refused: Some(RefusalReason::Deadline),
        },
        RefusalCase {
            name: "higher tier with the same deadline",
            change: |demand| {
                demand.deadline = demand.arrived + millis(500);
                demand.tier = 1;
            },
            refused: None,
        },
        RefusalCase {
            name: "another organisation with the same deadline",
            change: |demand| {
                demand.deadline = demand.arrived + millis(500);
                demand.organisation = "cellars".into();
            },
            refused: None,
        },
        RefusalCase {
            name: "preempted before",
            change: |demand| {
                demand.deadline = demand.arrived + millis(500);
                demand.preempted = true;
            },
            refused: None,
        },
        RefusalCase {
            name: "all replicas tried",
            change: |demand| demand.excluded = vec!["a".into()],
            refused: Some(RefusalReason::NoUpstream),
        },
    ];
    for case in cases {
        let mut arbiter = arbiter(&["a"], 1);
        serve_each(&mut arbiter, millis(1), 0..20, |_| (millis(100), SERVED));
        let now = millis(3_000);
        // One in service and ten waiting: about a second of work.
        for id in 100..111 {
            decide(&mut arbiter, now, demand(id, now));
        }
        let mut asked = demand(200, now);
        (case.change)(&mut asked);
        let refused = match decide(&mut arbiter, now, asked) {
            Some(ArbiterDecision::Refuse { key, reason, retry_after }) => {
                assert_eq!(key.request, 200, "{}", case.name);
                assert!(retry_after >= millis(1_000), "{}", case.name);
                Some(reason)
            }
            _ => None,
        };
        assert_eq!(refused, case.refused, "{}", case.name);
    }
}
