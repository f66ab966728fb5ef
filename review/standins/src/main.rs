//! Runs one case of the review: `review_case NAME RECORD DIRECTORY`. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod drill;
mod endless;
mod engine;
mod fleet;
mod moves;
mod rejoin;
mod silence;
mod versions;

use std::path::PathBuf;
use std::process::ExitCode;

use fleet::Record;

/// Result of a case: whether the rule held.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(record), Some(directory)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review_case NAME RECORD DIRECTORY");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let directory = PathBuf::from(directory);
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("cannot write the record: {err}");
            return ExitCode::from(2);
        }
    };
    let verdict = match name.as_str() {
        "endless" => endless::run(&record, &directory, trouble),
        "silence" => silence::run(&record, &directory, trouble),
        "rejoin" => rejoin::run(&record, &directory, trouble),
        "drill" => drill::run(&record, &directory, trouble),
        "moves" => moves::run(&record, &directory, trouble),
        "versions" => versions::run(&record, &directory, trouble),
        _ => Err(format!("no case {name}")),
    };
    match verdict {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(err) => {
            record.line(&format!("the case couldn't run: {err}"));
            ExitCode::from(2)
        }
    }
}
