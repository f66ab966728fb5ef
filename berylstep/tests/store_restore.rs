//! Tests of gateway processes over a restore of the store from an older copy: what is written
//! afterwards is in force, what was withdrawn or gone stays so, and duties don't act twice.

use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway};
use berylstep_standins::fleet::message::respond;
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::{FakeStore, StoreCopy};
use berylstep_standins::fleet::{desired_state, desired_state_for, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::json;

/// Time within which a change must be in force at every gateway.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

struct RestoredFleet {
    store: FakeStore,
    gateways: Vec<FleetGateway>,
    replicas: Vec<FakeReplica>,
    copy: StoreCopy,
}

/// Starts two gateways, takes a copy of the store and writes eight further versions.
fn start_fleet(before: impl Fn(&FakeStore, &[FakeReplica])) -> RestoredFleet {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    let replicas: Vec<_> = ["i-1", "i-2", "i-3"].into_iter().map(healthy_replica).collect();
    for replica in &replicas[..2] {
        store.put("servers", &replica.id, Some(replica.entry("safe", "ready")));
    }
    let port = free_address().port();
    let gateways = [2, 3].map(|number| FleetGateway::start(&store, number, port));
    before(&store, &replicas);
    let copy = store.copy();
    for number in 0..8 {
        store.put("servers", &format!("other-{number}"), Some(json!({"unreadable": true})));
    }
    RestoredFleet { store, gateways: gateways.into(), replicas, copy }
}

fn healthy_replica(id: &str) -> FakeReplica {
    FakeReplica::start(id, |request, _, stream| respond(stream, request, 200, "", "answer"))
}

impl RestoredFleet {
    /// Sends `count` requests to each gateway and returns how many each replica received.
    fn spread(&self, count: usize) -> Vec<usize> {
        let before: Vec<_> = self.replicas.iter().map(|r| r.received().len()).collect();
        for gateway in &self.gateways {
            for _ in 0..count {
                gateway.send("safe", KEY_HEADER).expect("an answer");
            }
        }
        let after = self.replicas.iter().map(|r| r.received().len());
        after.zip(before).map(|(after, before)| after - before).collect()
    }

    fn settle(&self) {
        std::thread::sleep(CONFIGURATION_TIME);
    }
}

#[test]
fn what_is_written_after_a_restore_is_in_force_everywhere() {
    let fleet = start_fleet(|_, _| {});
    fleet.store.restore(&fleet.copy);
    let (store, replicas) = (&fleet.store, &fleet.replicas);
    // All of these get versions that were given out before.
    let organisations = json!([{"Name": "org", "Keys": ["second-key"], "Priority": 1}]);
    store.put("op", "config", Some(desired_state_for(2, &organisations)));
    store.put("servers", "i-3", Some(replicas[2].entry("safe", "ready")));
    store.put("servers", "i-1", None);
    let written = Instant::now();
    let in_force = |gateway: &FleetGateway| {
        let answer = gateway.send("safe", "X-Api-Key: second-key\r\n").expect("an answer");
        answer.status() == 200
    };
    wait_until("the new key is in force", || fleet.gateways.iter().all(in_force));
    assert!(written.elapsed() < CONFIGURATION_TIME, "after {:?}", written.elapsed());
    fleet.settle();
    let before = replicas[0].received().len();
    for gateway in &fleet.gateways {
        for _ in 0..20 {
            assert!(in_force(gateway));
        }
    }
    assert_eq!(replicas[0].received().len(), before, "the removed replica is not used");
    assert!(!replicas[2].received().is_empty(), "the added replica is used");
}

#[test]
fn what_was_withdrawn_or_gone_before_a_restore_does_not_return_with_it() {
    let fleet = start_fleet(|store, replicas| {
        store.put("servers", "i-3", Some(replicas[2].entry("safe", "ready")));
    });
    let (store, replicas) = (&fleet.store, &fleet.replicas);
    let organisations = json!([{"Name": "org", "Keys": ["second-key"], "Priority": 1}]);
    store.put("op", "config", Some(desired_state_for(2, &organisations)));
    store.put("servers", "i-1", None);
    store.put("servers", "i-3", Some(replicas[2].entry("safe", "draining")));
    fleet.settle();
    // Two restores in quick succession, to a copy in which all of this is as before.
    fleet.store.restore(&fleet.copy);
    fleet.store.restore(&fleet.copy);
    let until = Instant::now() + Duration::from_secs(3);
    let before: Vec<_> = replicas.iter().map(|replica| replica.received().len()).collect();
    while Instant::now() < until {
        for gateway in &fleet.gateways {
            let withdrawn = gateway.send("safe", KEY_HEADER).expect("an answer");
            assert_eq!(withdrawn.status(), 401, "a withdrawn key");
            let valid = gateway.send("safe", "X-Api-Key: second-key\r\n").expect("an answer");
            assert_eq!(valid.status(), 200, "a valid key");
        }
    }
    assert_eq!(replicas[0].received().len(), before[0], "a replica that was gone");
    assert_eq!(replicas[2].received().len(), before[2], "a replica that was draining");
    // A replica that writes its entry since the restore is used again.
    store.put("servers", "i-1", Some(replicas[0].entry("safe", "ready")));
    fleet.settle();
    fleet.gateways[0].send("safe", "X-Api-Key: second-key\r\n").expect("an answer");
    let used = |_: &()| {
        for gateway in &fleet.gateways {
            gateway.send("safe", "X-Api-Key: second-key\r\n").expect("an answer");
        }
        replicas[0].received().len() > before[0]
    };
    wait_until("the replica that is back is used", || used(&()));
}

#[test]
fn a_restore_loses_no_replica_and_no_request() {
    let fleet = start_fleet(|_, _| {});
    fleet.store.restore(&fleet.copy);
    let spread = fleet.spread(40);
    assert_eq!(spread.iter().sum::<usize>(), 80, "{spread:?}");
}

#[test]
fn duties_go_on_after_a_restore_with_higher_tokens_and_no_window_twice() {
    let fleet = start_fleet(|_, _| {});
    let reports = || fleet.store.duty_calls("/usage");
    wait_until("usage is reported", || reports().len() >= 2);
    fleet.store.restore(&fleet.copy);
    let before = reports().len();
    wait_until("usage is reported again", || reports().len() >= before + 3);
    let calls = reports();
    let (old, new) = calls.split_at(before);
    let highest = old.iter().map(|call| call.fencing).max().unwrap_or_default();
    // Reports that were on their way at the restore may still bear the old token.
    let first_new = new.iter().position(|call| call.fencing > highest);
    assert!(first_new.is_some_and(|index| index <= 1), "{new:?}");
    let mut bodies: Vec<serde_json::Value> = Vec::new();
    for call in calls.iter().filter(|call| call.is_accepted) {
        let body: serde_json::Value = serde_json::from_str(&call.body).expect("JSON");
        let other = bodies.iter().find(|other| other["WindowIndex"] == body["WindowIndex"]);
        assert!(other.is_none_or(|other| *other == body), "{body} after {other:?}");
        bodies.push(body);
    }
    assert!(calls.iter().all(|call| call.is_accepted), "{calls:?}");
}
