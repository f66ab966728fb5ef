//! `berylstep status`.

use std::process::ExitCode;

use gumdrop::Options;
use http_types::Method;

use super::access::{wants_json, OperatorAccess};
use super::usage_errors;
use crate::operator::status::StatusMessage;

/// Options of `status`.
#[derive(Debug, Options)]
pub struct StatusOptions {
    /// Prints help.
    #[options(help = "print help")]
    help: bool,
    /// Operator listener of a node.
    #[options(no_short, meta = "ADDRESS", help = "operator listener [BERYLSTEP_OPERATORS]")]
    operators: Option<String>,
    /// File with the operators' key.
    #[options(
        no_short,
        meta = "PATH",
        help = "file with the operators' key [BERYLSTEP_OPERATOR_KEY_FILE, or the key in BERYLSTEP_OPERATOR_KEY]"
    )]
    operator_key_file: Option<String>,
    /// Prints the answer as JSON.
    #[options(no_short, help = "print the answer as JSON [BERYLSTEP_JSON=1]")]
    json: bool,
}

/// Shows what a node knows of its site.
pub fn show(options: &StatusOptions) -> ExitCode {
    let access = match OperatorAccess::resolve(&options.operators, &options.operator_key_file) {
        Ok(access) => access,
        Err(errors) => return usage_errors(&errors),
    };
    let message = match access.call(Method::Get, "/operator/status", None) {
        Ok((_, message)) => message,
        Err(err) => {
            eprintln!("error: {err}");
            return ExitCode::FAILURE;
        }
    };
    if wants_json(options.json) {
        println!("{message}");
        return ExitCode::SUCCESS;
    }
    match serde_json::from_value(message) {
        Ok(status) => {
            print_text(&status);
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("error: the node's answer is not understood: {err}");
            ExitCode::FAILURE
        }
    }
}

fn print_text(status: &StatusMessage) {
    println!(
        "node {} ({:?}): configuration {} of {}, isolated: {}, in progress: {}",
        status.node,
        status.state,
        status.config_version,
        status.newest_version,
        status.isolated,
        status.in_flight
    );
    match status.store_age_ms {
        Some(age) => println!("table service answered {age} ms ago"),
        None => println!("table service has not answered"),
    }
    println!("{:<20} {:<12} {:<22} {:<8} {:>8}", "member", "zone", "address", "state", "version");
    for member in &status.members {
        let state = match (member.serving, member.live) {
            (true, _) => "serving",
            (false, true) => "closed",
            (false, false) => "silent",
        };
        println!(
            "{:<20} {:<12} {:<22} {:<8} {:>8}",
            member.node, member.zone, member.address, state, member.config_version
        );
    }
    for lapsed in &status.lapsed {
        println!("ran out of contact: {} at version {}", lapsed.node, lapsed.config_version);
    }
    println!("{:<20} {:<12} {:<16} {:<8} {:>8}", "upstream", "zone", "pool", "state", "running");
    for upstream in &status.upstreams {
        let state = if upstream.leaving { "leaving" } else { "live" };
        let running = upstream.running.map_or("-".to_owned(), |running| running.to_string());
        println!(
            "{:<20} {:<12} {:<16} {:<8} {:>8}",
            upstream.id, upstream.zone, upstream.pool, state, running
        );
    }
}
