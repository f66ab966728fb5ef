//! The command `berylstep burn`.

use std::process::ExitCode;

use super::client::flag_or_variable;
use super::fleet;
use super::report::{self, ReportOptions};
use crate::burn::report::{BurnReport, ClassReport};

/// Prints the error-budget burn over all nodes, or over the given gateways.
pub fn show(options: &ReportOptions) -> ExitCode {
    match flag_or_variable("gateways", &options.gateways) {
        Some(addresses) => fleet::show_burn(&addresses, options.json, print_text),
        None => report::show(options, "/operator/burn", print_text),
    }
}

fn print_text(report: &BurnReport) {
    println!(
        "counts of {} of {} live nodes, the longest over {} s",
        report.nodes, report.live_nodes, report.counted_s
    );
    println!(
        "{:<16} {:>4} {:>10} {:>7} {:>7} {:>10} {:>10} {:>8} {:>8} {:>8}",
        "class",
        "tier",
        "target ms",
        "wanted",
        "window",
        "met",
        "missed",
        "attained",
        "burn",
        "left"
    );
    for class in &report.classes {
        print_class(class);
    }
    if !report.organisations.is_empty() {
        println!("{:<24} {:>10} {:>10}", "organisation", "met", "missed");
    }
    for organisation in &report.organisations {
        let (met, missed) = (organisation.met, organisation.missed);
        println!("{:<24} {met:>10} {missed:>10}", organisation.organisation);
    }
}

fn print_class(class: &ClassReport) {
    let number = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
    for window in &class.windows {
        println!(
            "{:<16} {:>4} {:>10} {:>7.3} {:>7} {:>10} {:>10} {:>8} {:>8} {:>8}",
            class.class,
            class.tier,
            class.latency_ms,
            class.attainment,
            window.window,
            window.met,
            window.missed,
            number(window.attainment),
            number(window.burn_rate),
            number(class.budget_left)
        );
    }
}
