//! Starts a small site on loopback: platform, two engines, one plain service and three nodes.

use std::process::{Command, ExitCode};

use berylstep_standins::client::{CallAnswer, CallRequest};
use berylstep_standins::site::TrialSite;
use gumdrop::Options;
use serde_json::{json, Value};

/// API key of the trial organisation.
const CALLER_KEY: &str = "trial-caller-key";

/// Name of the trial organisation.
const ORGANISATION: &str = "trial";

#[derive(Debug, Options)]
struct QuickstartOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(no_short, help = "send one chat completion and one booking, then exit")]
    once: bool,
}

fn main() -> ExitCode {
    let options = QuickstartOptions::parse_args_default_or_exit();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &QuickstartOptions) -> Result<(), Box<dyn std::error::Error>> {
    build_binaries()?;
    let mut site = TrialSite::start()?;
    site.add_engine("drafter", "a", &[])?;
    site.add_engine("drafter", "b", &[])?;
    site.add_service("booking", "c", &[])?;
    for zone in ["a", "b", "c"] {
        site.add_node(zone, &[])?;
    }
    site.wait_ready();
    let stored = site.apply(0, &configuration());
    if stored.status != 200 {
        return Err(format!("configuration was not stored: {}", stored.body).into());
    }
    site.wait_status("/v1/models", CALLER_KEY, &[200]);
    wait_in_force(&site);
    print_site(&site);
    if options.once {
        return call_once(&site);
    }
    loop {
        std::thread::park();
    }
}

/// Builds the binaries of the site in the same profile as this one.
fn build_binaries() -> Result<(), Box<dyn std::error::Error>> {
    let mut command = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()));
    command.args(["build", "--quiet", "--package", "berylstep", "--package", "berylstep_standins"]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    match command.status()?.success() {
        true => Ok(()),
        false => Err("the build failed".into()),
    }
}

fn configuration() -> Value {
    let class = |name: &str, tier: u8, latency_ms: u64| {
        json!({ "class": {
            "name": name, "tier": tier, "latency_ms": latency_ms, "attainment": 0.95,
            "deadline_ms": 30_000,
        }})
    };
    let route = |name: &str, matcher: Value, pool: &str, class: &str, repeat: &str| {
        json!({ "route": {
            "name": name, "match": matcher, "pool": pool, "classes": [class], "repeat": repeat,
        }})
    };
    json!({
        "against": 0,
        "put": [
            class("availability", 1, 440),
            class("drafting", 2, 2_000),
            { "organisation": { "name": ORGANISATION } },
            route("drafter", json!({ "model": "drafter" }), "drafter", "drafting", "idempotent"),
            route("booking", json!({ "prefix": "/booking" }), "booking", "availability", "send_once"),
        ],
        "grant": [{ "organisation": ORGANISATION, "key": CALLER_KEY }],
    })
}

fn wait_in_force(site: &TrialSite) {
    for node in &site.nodes {
        site.wait_until("the configuration is in force", |site| {
            let call = CallRequest::get(node.caller_address, "/v1/models").key(CALLER_KEY);
            site.call(call).body.contains("drafter")
        });
    }
}

fn chat() -> Value {
    let message = json!({ "role": "user", "content": "Marlin season?" });
    json!({ "model": "drafter", "stream": true, "max_tokens": 8, "messages": [message] })
}

fn print_site(site: &TrialSite) {
    println!("platform  http://{}", site.platform_address);
    for upstream in &site.upstreams {
        println!("upstream  http://{} {}", upstream.address, upstream.vm["id"]);
    }
    for node in &site.nodes {
        println!(
            "node      http://{} (operators http://{})",
            node.caller_address, node.operator_address
        );
    }
    println!("key       {CALLER_KEY}");
    let url = format!("http://{}/v1/chat/completions", site.nodes[0].caller_address);
    println!("try: curl -N {url} -H 'Authorization: Bearer {CALLER_KEY}' -d '{}'", chat());
}

fn call_once(site: &TrialSite) -> Result<(), Box<dyn std::error::Error>> {
    let entries = site.call(CallRequest::get(site.nodes[0].caller_address, "/v1/entries")).json();
    let entries = entries["entries"].as_array().cloned().unwrap_or_default();
    let [first, .., last] = &entries[..] else {
        return Err("fewer than two entries are advertised".into());
    };
    let chat_call = CallRequest::post(entry_address(first)?, "/v1/chat/completions", &chat());
    let chat_answer = smol::block_on(chat_call.key(CALLER_KEY).send())?;
    report("chat completion", &chat_answer, "[DONE]")?;
    let booking = json!({ "seat": "12A", "date": "2026-12-24" });
    let booking_call = CallRequest::post(entry_address(last)?, "/booking/seats", &booking);
    let booking_answer = smol::block_on(booking_call.key(CALLER_KEY).send())?;
    report("booking", &booking_answer, "confirmed")
}

fn entry_address(entry: &Value) -> Result<std::net::SocketAddr, Box<dyn std::error::Error>> {
    let url = entry["url"].as_str().unwrap_or_default();
    Ok(url.trim_start_matches("http://").parse()?)
}

fn report(
    what: &str,
    answer: &CallAnswer,
    expected: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    println!("{what}: status {} berylstep-run {}\n{}", answer.status, answer.run, answer.body);
    match answer.status == 200 && answer.body.contains(expected) {
        true => Ok(()),
        false => Err(format!("{what} failed").into()),
    }
}
