//! The command `berylstep status`.

use std::process::ExitCode;

use super::client::flag_or_variable;
use super::fleet;
use super::report::{self, ReportOptions};
use crate::operator::status::StatusMessage;

/// Prints the status report of a node, or of each of the given gateways.
pub fn show(options: &ReportOptions) -> ExitCode {
    match flag_or_variable("gateways", &options.gateways) {
        Some(addresses) => fleet::show_status(&addresses, options.json),
        None => report::show(options, "/operator/status", print_text),
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
