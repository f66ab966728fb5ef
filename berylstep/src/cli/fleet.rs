//! Commands for gateways: reports, and validation of their settings and desired state.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use serde::de::DeserializeOwned;

use super::change::EXIT_INVALID;
use super::client::{self, wants_json};
use super::EXIT_USAGE;
use crate::burn::report::BurnReport;
use crate::gateway::endpoints::{BURN_PATH, STATUS_PATH};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::status::FleetStatus;
use crate::platform::desired::decode_desired;

/// Prints the merged burn report of the gateways at `addresses`, separated by commas.
pub fn show_burn(addresses: &str, json: bool, print_text: impl FnOnce(&BurnReport)) -> ExitCode {
    let (reports, code) = match read_all::<BurnReport>(addresses, BURN_PATH) {
        Ok(read) => read,
        Err(code) => return code,
    };
    let mut reports = reports.into_iter();
    let Some(mut sum) = reports.next() else { return code };
    reports.for_each(|report| sum.merge(&report));
    sum.organisations.sort_by_key(|organisation| Reverse(organisation.missed));
    match (wants_json(json), serde_json::to_string(&sum)) {
        (true, Ok(text)) => println!("{text}"),
        _ => print_text(&sum),
    }
    code
}

/// Prints the status report of each gateway at `addresses`, separated by commas.
pub fn show_status(addresses: &str, json: bool) -> ExitCode {
    let (statuses, code) = match read_all::<FleetStatus>(addresses, STATUS_PATH) {
        Ok(read) => read,
        Err(code) => return code,
    };
    for status in &statuses {
        match (wants_json(json), serde_json::to_string(status)) {
            (true, Ok(text)) => println!("{text}"),
            _ => print_status(status),
        }
    }
    code
}

/// Reads a report from each gateway.
///
/// Prints an error for each gateway without a valid answer, and returns a failure as the exit code if
/// there was any.
fn read_all<T: DeserializeOwned>(
    addresses: &str,
    target: &str,
) -> Result<(Vec<T>, ExitCode), ExitCode> {
    let parsed: Result<Vec<SocketAddr>, _> =
        addresses.split(',').map(|address| address.trim().parse()).collect();
    let Ok(parsed) = parsed else {
        eprintln!("error: --gateways takes IP addresses and ports, separated by commas");
        return Err(ExitCode::from(EXIT_USAGE));
    };
    let mut code = ExitCode::SUCCESS;
    let mut reports = Vec::new();
    for address in parsed {
        let report = match client::get(address, target) {
            Ok((200, body)) => serde_json::from_value(body).map_err(|err| err.to_string()),
            Ok((status, _)) => Err(format!("status {status}")),
            Err(err) => Err(err.to_string()),
        };
        match report {
            Ok(report) => reports.push(report),
            Err(err) => {
                eprintln!("error: {address}: {err}");
                code = ExitCode::FAILURE;
            }
        }
    }
    Ok((reports, code))
}

fn print_status(status: &FleetStatus) {
    println!(
        "node {}: ready {}, stopping {}, in progress {}, desired state {}, follows the store {}, \
         duties {}",
        status.node,
        status.ready,
        status.stopping,
        status.open_requests,
        status.desired_version,
        status.follows_store,
        status.duty_fencing > 0
    );
    if let Some(lag) = status.desired_lag_ms {
        println!(
            "behind desired state {}, announced {lag} ms ago by another node",
            status.announced_version
        );
    }
    match status.store_age_ms {
        Some(age) => println!("the store answered it {age} ms ago"),
        None => println!("the store has not answered it"),
    }
    println!("{:<20} {:<12} {:<22} {:<8}", "node", "zone", "address", "state");
    for node in &status.nodes {
        let state = if node.ready { "ready" } else { "closed" };
        println!("{:<20} {:<12} {:<22} {state:<8}", node.node, node.zone, node.address);
    }
    println!(
        "{:<20} {:<16} {:<12} {:<8} {:>8} {:>10}",
        "replica", "service", "zone", "state", "running", "work"
    );
    for replica in &status.replicas {
        let state = match (replica.ready, replica.sound) {
            (false, _) => "leaving",
            (true, false) => "avoided",
            (true, true) => "ready",
        };
        println!(
            "{:<20} {:<16} {:<12} {state:<8} {:>8} {:>10}",
            replica.id, replica.service, replica.zone, replica.requests, replica.work
        );
    }
}

/// Validates a gateway's settings file and a file with a desired state, if given; prints every error.
pub fn check(settings: Option<&str>, desired: Option<&str>) -> ExitCode {
    let mut errors = Vec::new();
    if let Some(path) = settings {
        match GatewaySettings::load(Path::new(path)) {
            Ok(_) => println!("{path}: settings are valid"),
            Err(err) => errors.push(err.to_string()),
        }
    }
    if let Some(path) = desired {
        let found = check_desired(path);
        if found.is_empty() {
            println!("{path}: desired state is valid");
        }
        errors.extend(found);
    }
    for err in &errors {
        eprintln!("error: {err}");
    }
    if errors.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_INVALID)
    }
}

fn check_desired(path: &str) -> Vec<String> {
    let content = match std::fs::read(path) {
        Ok(content) => content,
        Err(err) => return vec![format!("cannot read {path}: {err}")],
    };
    match decode_desired(&content) {
        Ok(desired) => {
            desired.faults().into_iter().map(|fault| format!("{path}: {fault}")).collect()
        }
        Err(err) => vec![format!("{path}: {err}")],
    }
}
