//! What operators see of gateways: service-level burn, status, checks and a reload.

use std::process::{Command, Output};

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway};
use berylstep_standins::fleet::message::respond;
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::{binary, free_address};
use rustix::process::Signal;
use serde_json::{json, Value};

fn good(id: &str) -> FakeReplica {
    FakeReplica::start(id, |request, _, stream| respond(stream, request, 200, "", "answer"))
}

fn store_with(replicas: &[&FakeReplica]) -> FakeStore {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(3)));
    for replica in replicas {
        store.put("servers", &replica.id, Some(replica.entry("safe", "ready")));
    }
    store
}

fn berylstep(arguments: &[&str]) -> Output {
    Command::new(binary("berylstep")).args(arguments).output().unwrap()
}

fn report(command: &str, addresses: &str) -> Value {
    let output = berylstep(&[command, "--gateways", addresses, "--json"]);
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

#[test]
fn the_burn_report_adds_up_what_each_gateway_served_and_missed() {
    let replica = good("i-1");
    let store = store_with(&[&replica]);
    let port = free_address().port();
    let gateways = [2, 3].map(|number| FleetGateway::start(&store, number, port));
    for gateway in &gateways {
        for _ in 0..5 {
            assert_eq!(gateway.send("safe", KEY_HEADER).unwrap().status(), 200);
        }
        // No replica serves this one.
        assert_eq!(gateway.send("unsafe", KEY_HEADER).unwrap().status(), 503);
        // A caller's own fault misses no target.
        assert_eq!(gateway.send("safe", "").unwrap().status(), 401);
    }
    let addresses =
        gateways.each_ref().map(|gateway| gateway.metrics_address.to_string()).join(",");
    let burn = report("burn", &addresses);
    let windows = |class: &str| {
        let classes = burn["classes"].as_array().unwrap();
        let class = classes.iter().find(|report| report["class"] == class).unwrap();
        (class["windows"][0]["met"].clone(), class["windows"][0]["missed"].clone())
    };
    assert_eq!(burn["nodes"], 2);
    assert_eq!(windows("safe"), (json!(10), json!(0)));
    assert_eq!(windows("unsafe"), (json!(0), json!(2)));
    assert_eq!(windows("plain"), (json!(0), json!(0)));
    let organisations = json!([{"organisation": "org", "met": 10, "missed": 2}]);
    assert_eq!(burn["organisations"], organisations);
}

#[test]
fn a_gateway_that_does_not_answer_is_named_and_the_others_are_shown() {
    let replica = good("i-1");
    let store = store_with(&[&replica]);
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    let (here, gone) = (gateway.metrics_address.to_string(), free_address().to_string());
    let output = berylstep(&["burn", "--gateways", &format!("{gone},{here}"), "--json"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains(&gone), "{output:?}");
    let burn: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(burn["nodes"], 1);
}

#[test]
fn the_status_names_replicas_and_versions() {
    let (first, second) = (good("i-1"), good("i-2"));
    let store = store_with(&[&first, &second]);
    store.put("servers", "i-2", Some(second.entry("safe", "draining")));
    let gateway = FleetGateway::start(&store, 5, free_address().port());
    let status = report("status", &gateway.metrics_address.to_string());
    assert_eq!((&status["ready"], &status["desired_version"]), (&json!(true), &json!(3)));
    assert!(status["store_age_ms"].as_u64().is_some(), "{status}");
    let replicas = status["replicas"].as_array().unwrap();
    let states = replicas.iter().map(|replica| (replica["id"].clone(), replica["ready"].clone()));
    let states: Vec<_> = states.collect();
    assert_eq!(states, [(json!("i-1"), json!(true)), (json!("i-2"), json!(false))]);
}

#[test]
fn a_check_names_every_fault_with_its_place() {
    let folder = std::env::temp_dir().join(format!("berylstep-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (wrong, right) = (folder.join("wrong.json"), folder.join("right.json"));
    let mut state = desired_state(1);
    state["Routes"][0]["Service"] = json!("missing");
    state["Routes"][1]["TimeoutMs"] = json!(0);
    state["Routes"][2]["TargetLatencyMs"] = json!(9000);
    std::fs::write(&wrong, state.to_string()).unwrap();
    std::fs::write(&right, desired_state(1).to_string()).unwrap();
    let output = berylstep(&["check", "--desired", wrong.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(5), "{text}");
    for fault in [
        "route safe: service missing",
        "route unsafe: its timeout is 0",
        "route plain: its latency",
    ] {
        assert!(text.contains(fault), "{fault}: {text}");
    }
    assert!(berylstep(&["check", "--desired", right.to_str().unwrap()]).status.success());
    std::fs::write(&wrong, r#"{"node": "n", "peer_ports": [0, 0]"#).unwrap();
    let output = berylstep(&["check", "--gateway", wrong.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(5));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_reload_takes_over_the_retry_budget() {
    let broken = |id: &str| FakeReplica::start(id, |_, _, _| false);
    let (first, second) = (broken("i-1"), broken("i-2"));
    let store = store_with(&[&first, &second]);
    let gateway = FleetGateway::start(&store, 6, free_address().port());
    let attempts = || first.received().len() + second.received().len();
    assert_eq!(gateway.send("safe", KEY_HEADER).unwrap().status(), 502);
    assert_eq!(attempts(), 2);
    let text = std::fs::read_to_string(&gateway.settings).unwrap();
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    (settings["retry_ratio"], settings["retry_extra"]) = (json!(0), json!(0));
    std::fs::write(&gateway.settings, settings.to_string()).unwrap();
    gateway.process.signal(Signal::HUP);
    wait_until("no attempt is repeated", || {
        let before = attempts();
        assert_eq!(gateway.send("safe", KEY_HEADER).unwrap().status(), 502);
        attempts() - before == 1
    });
}
