//! docs/OPERATING.md lists exactly the flags, environment variables, metrics and refusal codes of
//! the code.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use berylstep::cli::{ServeOptions, SERVE_FLAGS};
use berylstep::clock::RuntimeClock;
use berylstep::config::settings::environment_variable;
use berylstep::config::NodeSettings;
use berylstep::native::http::HttpPlatform;
use berylstep::node::NodeContext;
use berylstep_core::refusal::RefusalReason;

const PAGE: &str = include_str!("../../docs/OPERATING.md");

/// Returns the first cells of the table rows under a heading, without backquotes.
fn first_cells(heading: &str) -> BTreeSet<String> {
    let section = PAGE.split("\n## ").find(|section| section.starts_with(heading));
    let section = section.unwrap_or_else(|| panic!("no section {heading}"));
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

fn node() -> NodeContext {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let secret = "0123456789abcdef";
    let variables = [
        ("NODE", "n0"),
        ("ZONE", "a"),
        ("LISTEN", "127.0.0.1:1"),
        ("PEER_LISTEN", "127.0.0.1:2"),
        ("OPERATOR_LISTEN", "127.0.0.1:3"),
        ("PLATFORM", "127.0.0.1:9"),
        ("SITE_SECRET", secret),
        ("OPERATOR_KEY", secret),
    ];
    let variables = variables.map(|(name, value)| (format!("BERYLSTEP_{name}"), value.to_owned()));
    let settings = NodeSettings::resolve(&ServeOptions::default(), &variables).unwrap();
    let clock = RuntimeClock::system();
    let platform = Arc::new(HttpPlatform::new(address, clock.clone()));
    NodeContext::new(settings, clock, platform)
}

#[test]
fn every_flag_and_variable_is_described() {
    let described = first_cells("Start a node");
    let flags: BTreeSet<_> = SERVE_FLAGS.iter().map(|flag| format!("--{flag}")).collect();
    assert_eq!(described, flags);
    for flag in SERVE_FLAGS {
        let variable = environment_variable(flag);
        assert!(PAGE.contains(&format!("`{variable}`")), "{variable} is not described");
    }
}

#[test]
fn every_flag_has_a_help_line_with_its_variable() {
    let usage = ServeOptions::usage_text();
    for flag in SERVE_FLAGS {
        assert!(usage.contains(&format!("--{flag} ")), "--{flag} is not in the help");
        assert!(
            usage.contains(&environment_variable(flag)),
            "{} is not in the help",
            environment_variable(flag)
        );
    }
}

#[test]
fn every_metric_is_described() {
    let node = node();
    for counter in [&node.metrics.requests, &node.metrics.targets] {
        counter.with_label_values(&["class", "label"]).inc();
    }
    for counter in [&node.metrics.failed_attempts, &node.metrics.output_tokens] {
        counter.with_label_values(&["label"]).inc();
    }
    node.metrics.first_byte.with_label_values(&["class"]).observe(1.0);
    let rendered = node.metrics.render(&node);
    let helped = rendered.lines().filter_map(|line| line.strip_prefix("# HELP "));
    let mut metrics: BTreeSet<_> =
        helped.filter_map(|line| line.split(' ').next()).map(str::to_owned).collect();
    // The gauge is exported only once there is a class.
    metrics.insert("berylstep_class_target_ms".to_owned());
    assert_eq!(first_cells("Metrics"), metrics);
}

#[test]
fn every_refusal_is_described() {
    let codes: BTreeSet<_> = RefusalReason::ALL.iter().map(|r| r.code().to_owned()).collect();
    assert_eq!(first_cells("Callers"), codes);
}
