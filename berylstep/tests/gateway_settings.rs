//! Settings of a gateway: what a deployment leaves out has a default, and what is wrong is named.

use berylstep::gateway::settings::GatewaySettings;
use serde_json::{json, Value};

fn least() -> Value {
    json!({
        "node": "n", "zone": "a", "ip_address": "10.0.0.1", "peer_ports": [7340, 7355],
        "listen": {"callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "directory": "10.0.0.1:3"},
        "store_address": "10.0.0.9:1",
    })
}

fn parse(settings: &Value) -> Result<GatewaySettings, String> {
    let content = settings.to_string();
    GatewaySettings::parse("settings.json", content.as_bytes()).map_err(|err| err.to_string())
}

#[test]
fn what_a_deployment_leaves_out_has_a_default() {
    let settings = parse(&least()).unwrap();
    assert_eq!(settings.cloud_address, None);
    assert!(settings.seed_peers().is_empty() && !settings.first_start);
    assert!(settings.stop_grace().as_secs() > 0 && settings.usage_window_s > 0);
}

struct FaultCase {
    field: &'static str,
    value: Value,
    message: &'static str,
}

#[test]
fn what_is_wrong_is_named() {
    let cases = [
        FaultCase { field: "node", value: json!(""), message: "node must be a name" },
        FaultCase { field: "peer_ports", value: json!([0, 0]), message: "peer_ports must be" },
        FaultCase { field: "stop_grace_s", value: json!(0), message: "stop_grace_s must be" },
        FaultCase { field: "retry_ratio", value: json!(-1), message: "retry_ratio must be" },
        FaultCase { field: "usage_window_s", value: json!(0), message: "usage_window_s must be" },
        FaultCase { field: "store_address", value: json!("here"), message: "not valid" },
        FaultCase { field: "ip_address", value: Value::Null, message: "not valid" },
    ];
    for case in cases {
        let mut settings = least();
        settings[case.field] = case.value;
        let message = parse(&settings).unwrap_err();
        assert!(message.contains(case.message), "{}: {message}", case.field);
    }
}

#[test]
fn seeds_are_reached_at_the_peer_port() {
    let mut settings = least();
    settings["seeds"] = json!(["10.0.0.1:8229", "10.0.0.2:8229"]);
    let seeds = parse(&settings).unwrap().seed_peers();
    assert_eq!(seeds, ["10.0.0.2:7340".parse().unwrap()]);
}
