//! Estimation of engines' speed: engines that differ by two orders of magnitude are told from the
//! responses, and queueing doesn't pass for a slow engine.

use std::time::Duration;

use berylstep_core::fleet::choice::RequestSize;
use berylstep_core::fleet::engine::{EngineEstimator, EngineSpeed};

struct EngineCase {
    name: &'static str,
    /// Prompt tokens per second.
    prefill_rate: f64,
    step: Duration,
    slots: u32,
}

const ENGINES: &[EngineCase] = &[
    EngineCase {
        name: "as assumed",
        prefill_rate: 125_000.0,
        step: Duration::from_millis(6),
        slots: 64,
    },
    EngineCase {
        name: "a tenth as fast, few slots",
        prefill_rate: 12_500.0,
        step: Duration::from_millis(45),
        slots: 4,
    },
    EngineCase {
        name: "ten times as fast, many slots",
        prefill_rate: 1_250_000.0,
        step: Duration::from_micros(500),
        slots: 512,
    },
];

/// Returns the time to the first token; a third of the prompts is partly cached.
fn first_token(case: &EngineCase, number: u64, prompt: u64) -> Duration {
    let cached = if number % 3 == 0 { 0.3 } else { 0.0 };
    let base = Duration::from_millis(62);
    base + Duration::from_secs_f64(prompt as f64 * (1.0 - cached) / case.prefill_rate)
}

fn prompt(number: u64) -> u64 {
    500 + number * 7919 % 16_000
}

fn estimate(case: &EngineCase, delay: impl Fn(u64) -> Duration) -> EngineSpeed {
    let mut estimator = EngineEstimator::default();
    for number in 0..200 {
        let time = first_token(case, number, prompt(number)) + delay(number);
        estimator.record_first_token(prompt(number), time);
        estimator.record_output(100, case.step * 100);
    }
    estimator.speed(Some(case.slots))
}

#[test]
fn the_speed_of_unknown_engines_is_learnt_within_two_hundred_responses() {
    for case in ENGINES {
        let speed = estimate(case, |_| Duration::ZERO);
        let rate = speed.prefill_rate / case.prefill_rate;
        assert!((0.6..=1.7).contains(&rate), "{}: rate {rate:.2} of the true one", case.name);
        let step = speed.step.as_secs_f64() / case.step.as_secs_f64();
        assert!((0.8..=1.25).contains(&step), "{}: step {step:.2} of the true one", case.name);
    }
}

#[test]
fn requests_that_waited_now_and_then_don_t_make_an_engine_look_slow() {
    for case in ENGINES {
        let speed = estimate(case, |number| match number % 10 {
            0 => Duration::from_secs(5),
            _ => Duration::ZERO,
        });
        let rate = speed.prefill_rate / case.prefill_rate;
        assert!((0.4..=2.5).contains(&rate), "{}: rate {rate:.2} of the true one", case.name);
    }
}

#[test]
fn an_output_token_is_more_work_where_slots_are_few() {
    let speed = |slots| EngineSpeed { slots, ..EngineSpeed::default() };
    let size = Some(RequestSize { prompt: 1000, output: 100 });
    let few = RequestSize::work(size, speed(12));
    let many = RequestSize::work(size, speed(64));
    assert!(few > 2 * many, "{few} and {many}");
}
