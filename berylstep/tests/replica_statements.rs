//! Tests of what replicas say about themselves in their responses: one that is leaving gets nothing
//! new from any gateway, and one that asks for a pause gets nothing from that gateway meanwhile.

use std::time::{Duration, Instant, SystemTime};

use berylstep::platform::headers::{parse_limit, parse_pause};
use berylstep_core::fleet::limits::LimitStatement;
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway};
use berylstep_standins::fleet::message::{respond, RawMessage};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::Value;

/// Time within which every gateway has heard of a leaving replica; well inside the drain time.
const NOTICE_TIME: Duration = Duration::from_millis(1000);

struct StatementFleet {
    store: FakeStore,
    gateways: Vec<FleetGateway>,
}

fn entry_of(replica: &FakeReplica, born: u64) -> Value {
    let mut entry = replica.entry("safe", "ready");
    entry["born"] = born.into();
    entry
}

fn start_fleet(replicas: &[&FakeReplica]) -> StatementFleet {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in replicas {
        store.put("servers", &replica.id, Some(entry_of(replica, 7)));
    }
    let port = free_address().port();
    let gateways = [2, 3].map(|number| FleetGateway::start(&store, number, port)).into();
    StatementFleet { store, gateways }
}

fn speaking_replica(id: &str, status: u16, headers: &'static str) -> FakeReplica {
    FakeReplica::start(id, move |request, _, stream| {
        respond(stream, request, status, headers, "answer")
    })
}

fn send(gateway: &FleetGateway) -> RawMessage {
    gateway.send("safe", KEY_HEADER).expect("an answer")
}

/// Sends requests to `gateway` until `replica` has received one.
fn reach(gateway: &FleetGateway, replica: &FakeReplica) {
    wait_until("the replica is reached", || {
        send(gateway);
        !replica.received().is_empty()
    });
}

#[test]
fn a_replica_that_says_it_is_leaving_gets_nothing_new_until_it_has_a_new_process() {
    for status in [200, 500, 404] {
        let leaving = speaking_replica("i-1", status, "Server-Leaving: 1\r\n");
        let other = speaking_replica("i-2", 200, "");
        let fleet = start_fleet(&[&leaving, &other]);
        reach(&fleet.gateways[0], &leaving);
        std::thread::sleep(NOTICE_TIME);
        let before = leaving.received().len();
        for round in 0..3 {
            for gateway in &fleet.gateways {
                (0..20).for_each(|_| assert_eq!(send(gateway).status(), 200, "status {status}"));
            }
            // The feed goes on to say that the replica is ready.
            let mut entry = entry_of(&leaving, 7);
            entry["Sequence"] = (10 + round).into();
            entry["Slots"] = (9 + round).into();
            fleet.store.put("servers", "i-1", Some(entry));
            std::thread::sleep(Duration::from_millis(400));
        }
        fleet.store.put("servers", "i-1", None);
        std::thread::sleep(Duration::from_millis(400));
        fleet.store.put("servers", "i-1", Some(entry_of(&leaving, 7)));
        std::thread::sleep(Duration::from_millis(400));
        fleet.gateways.iter().for_each(|gateway| (0..20).for_each(|_| drop(send(gateway))));
        assert_eq!(leaving.received().len(), before, "status {status}");
        fleet.store.put("servers", "i-1", Some(entry_of(&leaving, 8)));
        wait_until("the new process is used", || {
            fleet.gateways.iter().for_each(|gateway| drop(send(gateway)));
            leaving.received().len() > before
        });
    }
}

#[test]
fn a_replica_that_asks_for_a_pause_gets_nothing_from_that_gateway_meanwhile() {
    const PAUSE: Duration = Duration::from_millis(2500);
    let headers = "Retry-After: 2.5\r\nBerylstep-Not-Executed: 1\r\n";
    let pausing = speaking_replica("i-1", 503, headers);
    let other = speaking_replica("i-2", 200, "");
    let fleet = start_fleet(&[&pausing, &other]);
    let gateway = &fleet.gateways[0];
    reach(gateway, &pausing);
    let asked_at = Instant::now();
    let before = pausing.received().len();
    while asked_at.elapsed() < PAUSE - Duration::from_millis(200) {
        assert_eq!(send(gateway).status(), 200);
    }
    assert_eq!(pausing.received().len(), before);
    wait_until("the pause is over", || {
        send(gateway);
        pausing.received().len() > before
    });
}

#[test]
fn callers_are_told_when_a_service_whose_replicas_all_pause_takes_requests_again() {
    let headers = "Retry-After: 4\r\nBerylstep-Not-Executed: 1\r\n";
    let replicas = [speaking_replica("i-1", 503, headers), speaking_replica("i-2", 503, headers)];
    let fleet = start_fleet(&[&replicas[0], &replicas[1]]);
    let gateway = &fleet.gateways[0];
    wait_until("both pause", || {
        send(gateway);
        replicas.iter().all(|replica| !replica.received().is_empty())
    });
    let before: usize = replicas.iter().map(|replica| replica.received().len()).sum();
    let refused = send(gateway);
    assert_eq!(refused.status(), 503);
    let wait: f64 = refused.header("retry-after").expect("a time").parse().expect("seconds");
    assert!((2.0..=4.5).contains(&wait), "{wait} s");
    let after: usize = replicas.iter().map(|replica| replica.received().len()).sum();
    assert_eq!(after, before, "the refused request reached no replica");
}

struct PauseCase {
    value: &'static str,
    pause: Option<Duration>,
}

#[test]
fn pauses_are_read_in_seconds_or_as_a_date_and_nonsense_is_ignored() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
    let cases = [
        PauseCase { value: "5", pause: Some(Duration::from_secs(5)) },
        PauseCase { value: " 0.25 ", pause: Some(Duration::from_millis(250)) },
        PauseCase { value: "Sun, 06 Nov 1994 08:49:40 GMT", pause: Some(Duration::from_secs(3)) },
        PauseCase { value: "Sun, 06 Nov 1994 08:49:30 GMT", pause: None },
        PauseCase { value: "1e300", pause: Some(Duration::from_secs(86_400)) },
        PauseCase { value: "0", pause: None },
        PauseCase { value: "-3", pause: None },
        PauseCase { value: "NaN", pause: None },
        PauseCase { value: "inf", pause: None },
        PauseCase { value: "soon", pause: None },
        PauseCase { value: "", pause: None },
    ];
    for case in cases {
        assert_eq!(parse_pause(case.value, now), case.pause, "{:?}", case.value);
    }
}

struct LimitCase {
    value: &'static str,
    limit: LimitStatement,
}

#[test]
fn limits_are_positive_numbers_and_nonsense_says_nothing() {
    let cases = [
        LimitCase { value: "4", limit: LimitStatement::PerSecond(4.0) },
        LimitCase { value: " 0.5 ", limit: LimitStatement::PerSecond(0.5) },
        LimitCase { value: "1e-3", limit: LimitStatement::PerSecond(0.001) },
        LimitCase { value: "0", limit: LimitStatement::Unsaid },
        LimitCase { value: "-3", limit: LimitStatement::Unsaid },
        LimitCase { value: "NaN", limit: LimitStatement::Unsaid },
        LimitCase { value: "inf", limit: LimitStatement::Unsaid },
        LimitCase { value: "1e400", limit: LimitStatement::Unsaid },
        LimitCase { value: "many", limit: LimitStatement::Unsaid },
        LimitCase { value: "", limit: LimitStatement::Unsaid },
    ];
    for case in cases {
        assert_eq!(parse_limit(case.value), case.limit, "{:?}", case.value);
    }
}
