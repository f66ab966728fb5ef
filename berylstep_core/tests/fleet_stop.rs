//! Requests that a stopping node takes.

use std::time::Duration;

use berylstep_core::fleet::stop::{CutRisk, StopSchedule};

struct StopCase {
    name: &'static str,
    grace_ms: u64,
    elapsed_ms: u64,
    longest_ms: u64,
    /// Whether it is taken, if it can be repeated, is a stream that can't go on, or has an effect that would be unknown.
    admitted: [bool; 3],
}

const CASES: &[StopCase] = &[
    StopCase {
        name: "short, early",
        grace_ms: 8_000,
        elapsed_ms: 100,
        longest_ms: 1_000,
        admitted: [true, true, true],
    },
    StopCase {
        name: "short, late",
        grace_ms: 8_000,
        elapsed_ms: 6_000,
        longest_ms: 1_000,
        admitted: [true, true, true],
    },
    StopCase {
        name: "short, too late",
        grace_ms: 8_000,
        elapsed_ms: 6_700,
        longest_ms: 1_000,
        admitted: [false, false, false],
    },
    StopCase {
        name: "longer than the stop, early",
        grace_ms: 8_000,
        elapsed_ms: 2_400,
        longest_ms: 10_000,
        admitted: [true, true, false],
    },
    StopCase {
        name: "longer than the stop, late",
        grace_ms: 8_000,
        elapsed_ms: 2_500,
        longest_ms: 10_000,
        admitted: [false, false, false],
    },
    StopCase {
        name: "much longer than the stop",
        grace_ms: 8_000,
        elapsed_ms: 100,
        longest_ms: 60_000,
        admitted: [true, false, false],
    },
    StopCase {
        name: "a short stop, late in its grace",
        grace_ms: 3_000,
        elapsed_ms: 1_000,
        longest_ms: 3_000,
        admitted: [false, false, false],
    },
    StopCase {
        name: "a short stop, early",
        grace_ms: 3_000,
        elapsed_ms: 900,
        longest_ms: 3_000,
        admitted: [true, true, false],
    },
];

// Guards against requests that a stopping node takes late and then cuts, among them such as may not be repeated.
#[test]
fn a_request_that_may_be_cut_is_taken_only_where_its_caller_can_bear_it() {
    for case in CASES {
        let schedule = StopSchedule::new(Duration::from_millis(case.grace_ms));
        let risks = [CutRisk::Repeatable, CutRisk::BrokenStream, CutRisk::UnknownEffect];
        let elapsed = Duration::from_millis(case.elapsed_ms);
        let longest = Duration::from_millis(case.longest_ms);
        let admitted = risks.map(|risk| schedule.admits(elapsed, longest, risk));
        assert_eq!(admitted, case.admitted, "{}", case.name);
    }
}

#[test]
fn the_last_answers_come_before_the_exit_and_the_exit_before_the_kill() {
    for grace_ms in [0, 200, 1_000, 8_000] {
        let schedule = StopSchedule::new(Duration::from_millis(grace_ms));
        assert!(schedule.last_answer_time() <= schedule.exit_time(), "{grace_ms}");
        assert!(schedule.exit_time() <= Duration::from_millis(grace_ms), "{grace_ms}");
    }
}
