//! Speed of the model engines of a service, estimated from the responses that pass through a node.
//!
//! Work is measured in prompt tokens. A prompt token takes a share of the engine's prefill rate, an
//! output token takes one of the engine's slots for a step. How much work an output token stands
//! for therefore depends on the engine, and so does the work that a replica completes in a second.

use std::time::Duration;

/// Prefill rate that is assumed until responses tell otherwise, in prompt tokens per second.
const PRIOR_PREFILL_RATE: f64 = 125_000.0;

/// Time for one output token that is assumed until responses tell otherwise.
const PRIOR_STEP: Duration = Duration::from_micros(6000);

/// Time to the first token of an empty prompt that is assumed until responses tell otherwise.
const PRIOR_BASE: Duration = Duration::from_millis(50);

/// Prompt length at which the prior of the prefill rate is placed, in tokens.
const PRIOR_PROMPT: f64 = 8000.0;

/// Weight of the prior, in responses.
const PRIOR_WEIGHT: f64 = 4.0;

/// Factor by which the weight of earlier responses falls with each new one.
const SAMPLE_DECAY: f64 = 0.98;

/// Largest factor by which an estimate departs from its prior.
const MAX_DEPARTURE: f64 = 100.0;

/// Weight of a new response in the estimate of the step time.
const STEP_GAIN: f64 = 0.05;

/// Largest factor by which one response counts as slower or faster than the estimate.
const MAX_STEP_RATIO: f64 = 3.0;

/// Largest factor by which one first token counts as later than expected. Most responses that are
/// later waited for others, whatever was known of the engine's load.
const MAX_DELAY_RATIO: f64 = 1.5;

/// Share of an engine's slots that may be occupied before requests wait for one.
const SLOT_UTILISATION: f64 = 0.75;

/// Work that a replica completes at acceptable latency, relative to its prefill rate; above 1,
/// because the cached part of a prompt is work that takes no time.
const CAPACITY_FACTOR: f64 = 1.2;

/// Slots of an engine that does not tell them.
const DEFAULT_SLOTS: u32 = 16;

/// Speed of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Time for one output token of a request that runs beside others.
    pub step: Duration,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self { prefill_rate: PRIOR_PREFILL_RATE, step: PRIOR_STEP, slots: DEFAULT_SLOTS }
    }
}

impl EngineSpeed {
    /// Returns the work of one output token, in prompt tokens.
    pub fn output_token_work(self) -> f64 {
        let usable_slots = f64::from(self.slots.max(1)) * SLOT_UTILISATION;
        self.step.as_secs_f64() * self.prefill_rate / usable_slots
    }

    /// Returns the work that a replica completes in a second at acceptable latency, in prompt
    /// tokens.
    pub fn replica_work_per_second(self) -> f64 {
        self.prefill_rate * CAPACITY_FACTOR
    }

    /// Returns the factor by which limits given in tokens for the prior are larger for this engine:
    /// a power of two, so that nodes with slightly different estimates agree.
    pub fn token_scale(self) -> f64 {
        (self.prefill_rate / PRIOR_PREFILL_RATE).log2().round().exp2()
    }
}

/// Estimates the speed of a service's engines.
#[derive(Clone, Debug)]
pub struct EngineEstimator {
    /// Decayed sums of a regression of the time to the first token on the prompt's length.
    count: f64,
    prompts: f64,
    times: f64,
    squares: f64,
    products: f64,
    step_seconds: f64,
}

impl Default for EngineEstimator {
    fn default() -> Self {
        Self {
            count: 0.0,
            prompts: 0.0,
            times: 0.0,
            squares: 0.0,
            products: 0.0,
            step_seconds: PRIOR_STEP.as_secs_f64(),
        }
    }
}

impl EngineEstimator {
    /// Records the time from sending a request to its first token. Only requests that did not wait
    /// for others tell the engine's speed.
    pub fn record_first_token(&mut self, prompt: u64, elapsed: Duration) {
        let (prompt, time) = (prompt as f64, elapsed.as_secs_f64());
        let expected = self.expected_time(prompt);
        let time = time.min(expected * MAX_DELAY_RATIO);
        for sum in [
            &mut self.count,
            &mut self.prompts,
            &mut self.times,
            &mut self.squares,
            &mut self.products,
        ] {
            *sum *= SAMPLE_DECAY;
        }
        self.count += 1.0;
        self.prompts += prompt;
        self.times += time;
        self.squares += prompt * prompt;
        self.products += prompt * time;
    }

    /// Records the time between the first and the last of `tokens` output tokens.
    pub fn record_output(&mut self, tokens: u64, elapsed: Duration) {
        if tokens == 0 || elapsed.is_zero() {
            return;
        }
        let sample = elapsed.as_secs_f64() / tokens as f64;
        let known = self.step_seconds;
        let sample = sample.clamp(known / MAX_STEP_RATIO, known * MAX_STEP_RATIO);
        let prior = PRIOR_STEP.as_secs_f64();
        let next = known + (sample - known) * STEP_GAIN;
        self.step_seconds = next.clamp(prior / MAX_DEPARTURE, prior * MAX_DEPARTURE);
    }

    /// Returns the estimated speed of engines with this number of slots, if it is known.
    pub fn speed(&self, slots: Option<u32>) -> EngineSpeed {
        let rate = 1.0 / self.coefficients().1;
        let bounds = (PRIOR_PREFILL_RATE / MAX_DEPARTURE, PRIOR_PREFILL_RATE * MAX_DEPARTURE);
        EngineSpeed {
            prefill_rate: rate.clamp(bounds.0, bounds.1),
            step: Duration::from_secs_f64(self.step_seconds),
            slots: slots.filter(|slots| *slots > 0).unwrap_or(DEFAULT_SLOTS),
        }
    }

    /// Returns the expected time to the first token of a request that does not wait for others.
    pub fn expected_first_token(&self, prompt: u64) -> Duration {
        Duration::from_secs_f64(self.expected_time(prompt as f64))
    }

    fn expected_time(&self, prompt: f64) -> f64 {
        let (base, slope) = self.coefficients();
        base.max(0.0) + prompt * slope
    }

    /// Returns the time to the first token of an empty prompt, and the time for each prompt token.
    fn coefficients(&self) -> (f64, f64) {
        // The prior counts as responses to an empty and to a long prompt.
        let base = PRIOR_BASE.as_secs_f64();
        let long = base + PRIOR_PROMPT / PRIOR_PREFILL_RATE;
        let half = PRIOR_WEIGHT / 2.0;
        let count = self.count + PRIOR_WEIGHT;
        let prompts = self.prompts + half * PRIOR_PROMPT;
        let times = self.times + half * (base + long);
        let squares = self.squares + half * PRIOR_PROMPT * PRIOR_PROMPT;
        let products = self.products + half * PRIOR_PROMPT * long;
        let variance = squares - prompts * prompts / count;
        let covariance = products - prompts * times / count;
        let least = 1.0 / (PRIOR_PREFILL_RATE * MAX_DEPARTURE);
        let slope = (covariance / variance).max(least);
        ((times - slope * prompts) / count, slope)
    }
}
