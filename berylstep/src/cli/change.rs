//! The commands `berylstep apply` and `berylstep check`.

use std::process::ExitCode;

use berylstep_core::config::parse;
use gumdrop::Options;
use http_types::Method;
use serde_json::{json, Value};

use super::client::{flag_or_variable, wants_json, ClientError, OperatorClient};
use super::{fleet, print_setting_errors, ServeOptions, EXIT_USAGE};
use crate::config::NodeSettings;
use crate::operator::message::ChangeAnswer;

/// Exit code: the change is committed, but not yet in force at some nodes.
pub const EXIT_STORED: u8 = 3;

/// Exit code: another change was committed first.
pub const EXIT_CONFLICT: u8 = 4;

/// Exit code: the change or file is invalid.
pub const EXIT_INVALID: u8 = 5;

/// Exit code: whether the change was committed is unknown.
pub const EXIT_UNKNOWN: u8 = 6;

/// Exit code: nothing was committed, such as when the node or the table service is unreachable.
pub const EXIT_NOT_STORED: u8 = 7;

/// Placeholder for the site secret when a file is checked without a node.
const CHECK_SECRET: &[u8] = b"no key is kept by a check";

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Prints help.
    #[options(help = "print help")]
    help: bool,
    /// File with the change.
    #[options(free, help = "file with the change (JSON)")]
    file: Option<String>,
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
    /// Version that the change was made against.
    #[options(
        no_short,
        meta = "VERSION",
        help = "version that the change was made against [BERYLSTEP_AGAINST, default as in the file, else the node's]"
    )]
    against: Option<String>,
    /// Idempotency token of the change.
    #[options(
        no_short,
        meta = "TOKEN",
        help = "token under which the change has effect once [BERYLSTEP_TOKEN, default a new one]"
    )]
    token: Option<String>,
    /// Token of an earlier change whose outcome is wanted.
    #[options(
        no_short,
        meta = "TOKEN",
        help = "ask what became of an earlier change, send nothing [BERYLSTEP_SETTLE]"
    )]
    settle: Option<String>,
    /// Prints the node's answer as JSON.
    #[options(no_short, help = "print the answer as JSON [BERYLSTEP_JSON=1]")]
    json: bool,
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// Prints help.
    #[options(help = "print help")]
    help: bool,
    /// File with the change, or flags of `serve`.
    #[options(free, help = "file with a change (JSON); or -- and flags of serve")]
    arguments: Vec<String>,
    /// Operator listener of a node.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "check against the configuration of this node [BERYLSTEP_OPERATORS]"
    )]
    operators: Option<String>,
    /// File with the operators' key.
    #[options(
        no_short,
        meta = "PATH",
        help = "file with the operators' key [BERYLSTEP_OPERATOR_KEY_FILE, or the key in BERYLSTEP_OPERATOR_KEY]"
    )]
    operator_key_file: Option<String>,
    /// Settings file of a gateway.
    #[options(no_short, meta = "PATH", help = "check the settings file of a gateway")]
    gateway: Option<String>,
    /// File with a desired state.
    #[options(no_short, meta = "PATH", help = "check a desired state as the platform stores it")]
    desired: Option<String>,
    /// Prints the result as JSON.
    #[options(no_short, help = "print the result as JSON [BERYLSTEP_JSON=1]")]
    json: bool,
}

/// Sends a change to a node, or looks up the outcome of an earlier one.
pub fn apply(options: &ApplyOptions) -> ExitCode {
    let client = match OperatorClient::resolve(&options.operators, &options.operator_key_file) {
        Ok(client) => client,
        Err(errors) => return print_setting_errors(&errors),
    };
    let is_json = wants_json(options.json);
    if let Some(token) = flag_or_variable("settle", &options.settle) {
        let answered = client.call(Method::Get, &format!("/operator/changes/{token}"), None);
        return report(answered, &token, is_json);
    }
    let mut change = match read_file(options.file.as_deref()) {
        Ok(change) => change,
        Err(code) => return code,
    };
    let token = flag_or_variable("token", &options.token)
        .or_else(|| change["token"].as_str().map(str::to_owned))
        .unwrap_or_else(|| format!("apply-{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..)));
    change["token"] = json!(token);
    match base_version(&client, options, &change) {
        Ok(against) => change["against"] = against,
        Err(code) => return code,
    }
    report(client.call(Method::Post, "/operator/apply", Some(&change)), &token, is_json)
}

/// Validates settings, or a file with a change, without storing anything.
pub fn check(options: &CheckOptions) -> ExitCode {
    let is_json = wants_json(options.json);
    if options.gateway.is_some() || options.desired.is_some() {
        return fleet::check(options.gateway.as_deref(), options.desired.as_deref());
    }
    let Some(first) = options.arguments.first() else { return check_settings(&[]) };
    if first.starts_with('-') {
        return check_settings(&options.arguments);
    }
    let mut change = match read_file(Some(first)) {
        Ok(change) => change,
        Err(code) => return code,
    };
    if change["against"].is_null() {
        change["against"] = json!(0);
    }
    if flag_or_variable("operators", &options.operators).is_none() {
        let faults = parse::parse_change(&change, CHECK_SECRET).field_errors;
        let answer = match faults.is_empty() {
            true => ChangeAnswer::Valid { against: 0, effects: Vec::new() },
            false => ChangeAnswer::Invalid { faults },
        };
        eprintln!("note: references are checked only with --operators");
        return print(&answer, is_json);
    }
    match OperatorClient::resolve(&options.operators, &options.operator_key_file) {
        Ok(client) => {
            let answered = client.call(Method::Post, "/operator/check", Some(&change));
            report(answered, "", is_json)
        }
        Err(errors) => print_setting_errors(&errors),
    }
}

fn check_settings(flags: &[String]) -> ExitCode {
    let options = match ServeOptions::parse_args_default(flags) {
        Ok(options) => options,
        Err(err) => {
            eprintln!("error: {err}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let variables: Vec<_> = std::env::vars().collect();
    match NodeSettings::resolve(&options, &variables) {
        Ok(settings) => {
            println!("settings are valid: node={} zone={}", settings.node, settings.zone);
            ExitCode::SUCCESS
        }
        Err(errors) => print_setting_errors(&errors),
    }
}

fn read_file(path: Option<&str>) -> Result<Value, ExitCode> {
    let Some(path) = path else {
        eprintln!("error: no file with a change is given");
        return Err(ExitCode::from(EXIT_USAGE));
    };
    let text = std::fs::read_to_string(path).map_err(|err| {
        eprintln!("error: cannot read {path}: {err}");
        ExitCode::from(EXIT_USAGE)
    })?;
    match serde_json::from_str::<Value>(&text) {
        Ok(change) if change.is_object() => Ok(change),
        Ok(_) => {
            eprintln!("error: {path} holds no JSON object");
            Err(ExitCode::from(EXIT_INVALID))
        }
        Err(err) => {
            eprintln!("error: {path} is not JSON: {err}");
            Err(ExitCode::from(EXIT_INVALID))
        }
    }
}

/// Returns the version that the change is based on: from the flag, else from the file, else the
/// version in force at the node.
fn base_version(
    client: &OperatorClient,
    options: &ApplyOptions,
    change: &Value,
) -> Result<Value, ExitCode> {
    if let Some(text) = flag_or_variable("against", &options.against) {
        return text.parse::<u64>().map(|version| json!(version)).map_err(|_| {
            eprintln!("error: --against (or BERYLSTEP_AGAINST) is {text:?}, accepted: a version");
            ExitCode::from(EXIT_USAGE)
        });
    }
    if !change["against"].is_null() {
        return Ok(change["against"].clone());
    }
    match client.call(Method::Get, "/operator/status", None) {
        Ok((_, status)) => Ok(status["config_version"].clone()),
        Err(err) => {
            eprintln!("not stored: {err}");
            Err(ExitCode::from(EXIT_NOT_STORED))
        }
    }
}

fn report(answered: Result<(u16, Value), ClientError>, token: &str, is_json: bool) -> ExitCode {
    let token = token.to_owned();
    let answer = match answered {
        Ok((status, message)) => serde_json::from_value(message).unwrap_or_else(|err| {
            let cause = format!("answer with status {status} is not understood: {err}");
            ChangeAnswer::Unknown { cause, token }
        }),
        Err(err @ ClientError::AnswerLost(_)) => {
            ChangeAnswer::Unknown { cause: err.to_string(), token }
        }
        Err(err) => ChangeAnswer::NotStored { cause: err.to_string(), token },
    };
    print(&answer, is_json)
}

fn print(answer: &ChangeAnswer, is_json: bool) -> ExitCode {
    match is_json {
        true => println!("{}", serde_json::to_string(answer).expect("answers are valid JSON")),
        false => print_text(answer),
    }
    ExitCode::from(match answer {
        ChangeAnswer::InForce { .. } | ChangeAnswer::Valid { .. } => 0,
        ChangeAnswer::Stored { .. } => EXIT_STORED,
        ChangeAnswer::Conflict { .. } => EXIT_CONFLICT,
        ChangeAnswer::Invalid { .. } => EXIT_INVALID,
        ChangeAnswer::Unknown { .. } => EXIT_UNKNOWN,
        ChangeAnswer::NotStored { .. } => EXIT_NOT_STORED,
    })
}

fn print_text(answer: &ChangeAnswer) {
    match answer {
        ChangeAnswer::InForce { version, lapsed, .. } => {
            println!("accepted, in force: version {version}");
            print_lapsed(lapsed);
        }
        ChangeAnswer::Stored { version, token, waiting, lapsed, members_read } => {
            println!("stored, waiting for {} nodes: version {version}", waiting.len());
            for node in waiting {
                println!("  waiting: {node}");
            }
            print_lapsed(lapsed);
            if !members_read {
                println!("  the list of nodes could not be read after the commit");
            }
            println!("ask again with: berylstep apply --settle {token}");
        }
        ChangeAnswer::Conflict { against, newest, .. } => {
            println!("conflict: made against version {against}, the newest is {newest}");
        }
        ChangeAnswer::Invalid { faults } => {
            println!("invalid: {} faults, nothing was stored", faults.len());
            for fault in faults {
                println!("  {fault}");
            }
        }
        ChangeAnswer::NotStored { cause, .. } => println!("not stored: {cause}"),
        ChangeAnswer::Unknown { cause, token } => {
            println!("unknown whether it was stored: {cause}");
            println!("ask again with: berylstep apply --settle {token}");
        }
        ChangeAnswer::Valid { against, effects } => {
            println!("valid against version {against}");
            for effect in effects {
                println!("  {:?}: {}", effect.effect, effect.entity);
            }
        }
    }
}

fn print_lapsed(lapsed: &[String]) {
    for node in lapsed {
        println!(
            "  {node} ran out of contact: it ended, or serves its callers by an older version if it \
             is cut off together with others"
        );
    }
}
