//! Options and output shared by the commands that print a report.

use std::process::ExitCode;

use gumdrop::Options;
use http_types::Method;
use serde::de::DeserializeOwned;

use super::client::{wants_json, OperatorClient};
use super::print_setting_errors;

/// Options of `status` and `burn`.
#[derive(Debug, Options)]
pub struct ReportOptions {
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
    /// Metrics addresses of gateways, separated by commas.
    #[options(
        no_short,
        meta = "ADDRESSES",
        help = "metrics addresses of gateways, separated by commas, in place of an operator listener [BERYLSTEP_GATEWAYS]"
    )]
    pub gateways: Option<String>,
    /// Prints the answer as JSON.
    #[options(no_short, help = "print the answer as JSON [BERYLSTEP_JSON=1]")]
    pub json: bool,
}

/// Reads the report at path `target` from a node and prints it as JSON or with `print_text`.
pub fn show<T: DeserializeOwned>(
    options: &ReportOptions,
    target: &str,
    print_text: impl FnOnce(&T),
) -> ExitCode {
    let client = match OperatorClient::resolve(&options.operators, &options.operator_key_file) {
        Ok(client) => client,
        Err(errors) => return print_setting_errors(&errors),
    };
    let message = match client.call(Method::Get, target, None) {
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
        Ok(report) => {
            print_text(&report);
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("error: the node's answer is not understood: {err}");
            ExitCode::FAILURE
        }
    }
}
