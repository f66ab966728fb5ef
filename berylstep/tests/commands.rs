//! The operators' commands and their exit codes.

use std::path::PathBuf;
use std::process::{Command, Output};

use berylstep_standins::process::binary;
use berylstep_standins::site::operate::initial_change;
use berylstep_standins::site::{TrialSite, OPERATOR_KEY};
use serde_json::{json, Value};

/// A file that is removed when dropped.
struct ChangeFile(PathBuf);

impl ChangeFile {
    fn new(name: &str, change: &Value) -> Self {
        let path = std::env::temp_dir().join(format!("berylstep-{}-{name}", std::process::id()));
        std::fs::write(&path, change.to_string()).unwrap();
        Self(path)
    }
}

impl Drop for ChangeFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn berylstep(site: &TrialSite, arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(binary("berylstep"));
    command.args(arguments).env("BERYLSTEP_OPERATOR_KEY", OPERATOR_KEY);
    command.env("BERYLSTEP_OPERATORS", site.nodes[0].operator_address.to_string());
    finished(command)
}

fn finished(mut command: Command) -> (i32, String) {
    let Output { status, stdout, stderr } = command.output().unwrap();
    let text = [stdout, stderr].concat();
    (status.code().unwrap(), String::from_utf8(text).unwrap())
}

struct CommandCase {
    name: &'static str,
    arguments: Vec<String>,
    change: Value,
    code: i32,
    contains: &'static str,
}

#[test]
fn commands_tell_what_became_of_a_change() {
    let mut site = TrialSite::start().unwrap();
    for zone in ["a", "b"] {
        site.add_node(zone, &[]).unwrap();
    }
    site.wait_ready();
    let case = |name, arguments: &[&str], change, code, contains| CommandCase {
        name,
        arguments: arguments.iter().map(|&argument| argument.to_owned()).collect(),
        change,
        code,
        contains,
    };
    let organisation = |name: &str| json!({ "put": [{ "organisation": { "name": name } }] });
    let faulty = json!({ "put": [{ "class": { "name": "busy", "tier": 9 } }] });
    let cases = [
        case("check", &["check"], initial_change("key"), 0, "Create: class/drafting"),
        case(
            "check a fault",
            &["check"],
            faulty.clone(),
            5,
            "accepted: a whole number from 1 to 3",
        ),
        case("apply", &["apply"], initial_change("key"), 0, "accepted, in force: version 5"),
        case("apply a fault", &["apply"], faulty, 5, "class/busy: latency_ms: missing"),
        case("same again", &["apply"], initial_change("key"), 4, "the newest is 5"),
        case("read", &["apply"], organisation("cellar"), 0, "in force: version 6"),
        case("flag", &["apply", "--against", "5"], organisation("late"), 4, "against version 5"),
        case(
            "token",
            &["apply", "--json", "--token", "token-of-press"],
            organisation("press"),
            0,
            "\"state\":\"in_force\",\"version\":7",
        ),
        case("ask", &["apply", "--settle", "token-of-press"], json!({}), 0, "version 7"),
        case("ask in vain", &["apply", "--settle", "token-of-none"], json!({}), 7, "not stored"),
        case(
            "no node",
            &["apply", "--operators", "127.0.0.1:1"],
            organisation("x"),
            7,
            "not stored",
        ),
        case("no address", &["apply", "--operators", "x"], organisation("x"), 2, "--operators"),
    ];
    for case in cases {
        let file = ChangeFile::new("change.json", &case.change);
        let mut arguments: Vec<_> = case.arguments.iter().map(String::as_str).collect();
        arguments.push(file.0.to_str().unwrap());
        let (code, text) = berylstep(&site, &arguments);
        assert_eq!(code, case.code, "{}: {text}", case.name);
        assert!(text.contains(case.contains), "{}: {text}", case.name);
    }
    site.nodes[1].process.freeze();
    let file = ChangeFile::new("frozen.json", &organisation("late"));
    let (code, text) = berylstep(&site, &["apply", file.0.to_str().unwrap()]);
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("waiting: n1"), "{text}");
    let (code, text) = berylstep(&site, &["status"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("configuration 8 of 8, isolated: false"), "{text}");
    let (code, text) = berylstep(&site, &["burn"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("live nodes") && text.contains("drafting"), "{text}");
    site.set_faults(&json!({ "lose_answers": 1_000, "down_after": "config/version" }));
    let (code, text) = berylstep(&site, &["apply", file.0.to_str().unwrap()]);
    assert_eq!(code, 6, "{text}");
    assert!(text.contains("berylstep apply --settle apply-"), "{text}");
}

#[test]
fn settings_are_checked_without_starting_a_node() {
    let flags = ["check", "--", "--node", "n0", "--listen", "127.0.0.1:1", "--platform", "x"];
    let mut command = Command::new(binary("berylstep"));
    command.args(flags).env_clear().env("BERYLSTEP_ZONE", "a").env("BERYLSTEP_COLOUR", "red");
    let (code, text) = finished(command);
    assert_eq!(code, 2, "{text}");
    for part in ["BERYLSTEP_COLOUR", "--platform", "--peer-listen", "--site-secret-file"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}
