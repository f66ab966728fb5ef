//! The log output is rate-limited, reserves room for warnings and errors, and never blocks on a
//! stalled reader.

use std::io::Write;
use std::time::Duration;

use berylstep::clock::RuntimeClock;
use berylstep::logging::{BoundedSink, LineOutput};

/// Output that records written lines and can be made unwritable.
#[derive(Debug, Default)]
struct RecordedOutput {
    is_full: bool,
    lines: Vec<String>,
}

impl LineOutput for RecordedOutput {
    fn is_writable(&self) -> bool {
        !self.is_full
    }

    fn write_line(&mut self, line: &[u8]) {
        self.lines.push(String::from_utf8_lossy(line).into_owned());
    }
}

fn line(level: &str, number: usize) -> String {
    format!("time=now level={level} event=test number={number} {}\n", "x".repeat(200))
}

struct SinkCase {
    name: &'static str,
    /// Number of lines at level `info`, written first.
    info: usize,
    /// Number of lines at level `warn`.
    failures: usize,
    /// Whether the reader has stalled.
    is_full: bool,
    all_failures: bool,
    all_info: bool,
}

#[test]
fn failures_are_kept_when_other_lines_are_dropped() {
    let cases = [
        SinkCase {
            name: "few",
            info: 20,
            failures: 20,
            is_full: false,
            all_failures: true,
            all_info: true,
        },
        SinkCase {
            name: "many successes and few failures",
            info: 5000,
            failures: 40,
            is_full: false,
            all_failures: true,
            all_info: false,
        },
        SinkCase {
            name: "many of both",
            info: 5000,
            failures: 5000,
            is_full: false,
            all_failures: false,
            all_info: false,
        },
        SinkCase {
            name: "a stalled reader",
            info: 20,
            failures: 20,
            is_full: true,
            all_failures: false,
            all_info: false,
        },
    ];
    for case in cases {
        let (clock, paused) = RuntimeClock::paused();
        let output = RecordedOutput { is_full: case.is_full, lines: Vec::new() };
        let mut sink = BoundedSink::new(output, clock);
        for number in 0..case.info {
            sink.write_all(line("info", number).as_bytes()).unwrap();
        }
        for number in 0..case.failures {
            sink.write_all(line("warn", number).as_bytes()).unwrap();
        }
        let kept = |sink: &mut BoundedSink<RecordedOutput>, level: &str| {
            let wanted = format!("level={level} event=test");
            sink.output().lines.iter().filter(|line| line.contains(&wanted)).count()
        };
        let (info, failures) = (kept(&mut sink, "info"), kept(&mut sink, "warn"));
        assert_eq!(info == case.info, case.all_info, "{}: {info} info lines", case.name);
        assert_eq!(failures == case.failures, case.all_failures, "{}: {failures}", case.name);
        let bytes: usize = sink.output().lines.iter().map(String::len).sum();
        assert!(bytes <= 68 * 1024, "{}: {bytes} bytes in a second", case.name);
        // Dropped lines are reported by kind once the output is writable again.
        sink.output().is_full = false;
        paused.advance(Duration::from_secs(1));
        sink.write_all(line("info", 0).as_bytes()).unwrap();
        let reported = reported_counts(&sink.output().lines);
        assert_eq!(reported, (case.info - info, case.failures - failures), "{}", case.name);
    }
}

/// Sums the dropped lines that the log reports: lines at level `info`, and failures.
fn reported_counts(lines: &[String]) -> (usize, usize) {
    let number = |line: &str, name: &str| -> usize {
        let field = line.split_whitespace().find_map(|field| field.strip_prefix(name));
        field.unwrap().parse().unwrap()
    };
    let reports = lines.iter().filter(|line| line.contains("event=log_lines_left_out"));
    reports.fold((0, 0), |(info, failures), line| {
        (info + number(line, "info="), failures + number(line, "failures="))
    })
}
