//! Record of a run, and the end of the process that the script reports.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Exit code if the rule was broken, held, or could not be checked.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const CANNOT_RUN: i32 = 2;

/// Lines with the time since the start of the run.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record at the path in the environment variable `RECORD`.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|err| {
            eprintln!("cannot write {path}: {err}");
            std::process::exit(CANNOT_RUN)
        });
        Self { started_at: Instant::now(), file: Mutex::new(file) }
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{at:8.3} {text}").expect("the record can be written");
    }

    /// Writes the verdict to the record and to standard output.
    pub fn verdict(&self, text: &str) {
        self.line(&format!("verdict: {text}"));
        println!("{text}");
    }
}

/// Returns whether the disruption is to be applied; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
