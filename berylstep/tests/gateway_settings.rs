//! Settings of a gateway: defaults for omitted fields and messages for invalid ones.

use berylstep::gateway::settings::GatewaySettings;
use serde_json::{json, Value};

fn minimal_settings() -> Value {
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
fn omitted_settings_have_defaults() {
    let settings = parse(&minimal_settings()).unwrap();
    assert_eq!(settings.cloud_address, None);
    assert!(settings.seed_peers().is_empty() && !settings.first_start);
    assert!(settings.stop_grace().as_secs() > 0 && settings.usage_window_s > 0);
    assert_eq!((settings.hedge_ratio, settings.hedge_quantile), (0.0, 0.95));
}

struct InvalidCase {
    field: &'static str,
    value: Value,
    message: &'static str,
}

#[test]
fn invalid_settings_are_named() {
    let cases = [
        InvalidCase { field: "node", value: json!(""), message: "node must not be empty" },
        InvalidCase { field: "peer_ports", value: json!([0, 0]), message: "peer_ports must be" },
        InvalidCase { field: "stop_grace_s", value: json!(0), message: "stop_grace_s must be" },
        InvalidCase { field: "retry_ratio", value: json!(-1), message: "retry_ratio must be" },
        InvalidCase { field: "hedge_ratio", value: json!(-0.1), message: "hedge_ratio must be" },
        InvalidCase { field: "hedge_ratio", value: json!(1.5), message: "hedge_ratio must be" },
        InvalidCase { field: "hedge_quantile", value: json!(0.4), message: "hedge_quantile must" },
        InvalidCase { field: "hedge_quantile", value: json!(1), message: "hedge_quantile must" },
        InvalidCase { field: "usage_window_s", value: json!(0), message: "usage_window_s must be" },
        InvalidCase { field: "store_address", value: json!("here"), message: "not valid" },
        InvalidCase { field: "ip_address", value: Value::Null, message: "not valid" },
    ];
    for case in cases {
        let mut settings = minimal_settings();
        settings[case.field] = case.value;
        let message = parse(&settings).unwrap_err();
        assert!(message.contains(case.message), "{}: {message}", case.field);
    }
}

#[test]
fn seeds_use_the_peer_port() {
    let mut settings = minimal_settings();
    settings["seeds"] = json!(["10.0.0.1:8229", "10.0.0.2:8229"]);
    let seeds = parse(&settings).unwrap().seed_peers();
    assert_eq!(seeds, ["10.0.0.2:7340".parse().unwrap()]);
}
