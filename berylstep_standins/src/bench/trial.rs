//! Site on which the request path is measured.

use serde_json::{json, Value};

use crate::client::CallRequest;
use crate::site::TrialSite;

/// API key of the measuring organisation.
pub const CALLER_KEY: &str = "bench-caller-key";

/// Model of the timed calls.
pub const PROBE_MODEL: &str = "probe";

/// Model of the streams held open.
pub const BACKGROUND_MODEL: &str = "background";

/// Number of engines for the streams held open; each sends a token on all its streams at once.
const BACKGROUND_ENGINES: usize = 8;

/// Starts a node, an engine that answers immediately, and engines that send a token on each stream
/// every `token_ms` milliseconds.
///
/// Fails if a process cannot be started or the configuration is rejected.
pub fn start(token_ms: u64) -> std::io::Result<TrialSite> {
    let mut site = TrialSite::start()?;
    site.add_engine(PROBE_MODEL, "a", &["--token-ms", "0", "--slots", "256"])?;
    for _ in 0..BACKGROUND_ENGINES {
        let token_ms = token_ms.to_string();
        let arguments = ["--token-ms", &token_ms, "--batch-us", "0", "--slots", "256"];
        site.add_engine(BACKGROUND_MODEL, "a", &arguments)?;
    }
    site.add_node("a", &[])?;
    site.wait_ready();
    let stored = site.apply(0, &configuration());
    if stored.status >= 300 {
        return Err(std::io::Error::other(format!(
            "configuration was not stored: {}",
            stored.body
        )));
    }
    wait_in_force(&site);
    Ok(site)
}

/// Restarts the node, so that its memory is that of a new process.
///
/// Fails if the process cannot be started.
pub fn restart_node(site: &mut TrialSite) -> std::io::Result<()> {
    site.restart_node(0, "a", &[])?;
    wait_in_force(site);
    Ok(())
}

/// Returns the body of a timed call.
pub fn probe_body(stream: bool, max_tokens: u64) -> Value {
    let message = json!({ "role": "user", "content": "Marlin season?" });
    json!({
        "model": PROBE_MODEL, "stream": stream, "max_tokens": max_tokens, "messages": [message],
    })
}

fn wait_in_force(site: &TrialSite) {
    for model in [PROBE_MODEL, BACKGROUND_MODEL] {
        let message = json!({ "role": "user", "content": "ready?" });
        let body = json!({ "model": model, "max_tokens": 1, "messages": [message] });
        site.wait_until("the node forwards", |site| {
            let call =
                CallRequest::post(site.nodes[0].caller_address, "/v1/chat/completions", &body);
            site.call(call.key(CALLER_KEY)).status == 200
        });
    }
}

fn configuration() -> Value {
    let class = json!({ "class": {
        "name": "bench", "tier": 1, "latency_ms": 1_000, "attainment": 0.9,
        "deadline_ms": 600_000,
    }});
    let route = |model: &str| {
        json!({ "route": {
            "name": model, "match": { "model": model }, "pool": model, "classes": ["bench"],
        }})
    };
    json!({
        "against": 0,
        "put": [
            class,
            { "organisation": { "name": "bench" } },
            route(PROBE_MODEL),
            route(BACKGROUND_MODEL),
        ],
        "grant": [{ "organisation": "bench", "key": CALLER_KEY }],
    })
}
