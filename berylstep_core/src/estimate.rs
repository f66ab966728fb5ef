//! Estimates of output length by class and organisation, as exponential moving averages.

use crate::collections::{HashMap, SharedName};

/// Estimate before the first observation, in output tokens.
pub const DEFAULT_TOKENS: u32 = 64;

/// Weight of a new observation in a moving average.
const OBSERVATION_WEIGHT: f64 = 0.1;

/// Maximum number of entries in one generation; the table holds at most two generations.
const GENERATION_ENTRIES: usize = 4096;

/// Class and organisation.
type EstimateKey = (SharedName, SharedName);

/// Mean output tokens by class, and by class and organisation.
#[derive(Clone, Debug, Default)]
pub struct EstimateTable {
    classes: HashMap<SharedName, f64>,
    // When the current generation is full, it becomes the previous one, and entries of the old
    // previous generation that were not observed again are dropped.
    current: HashMap<EstimateKey, f64>,
    previous: HashMap<EstimateKey, f64>,
}

impl EstimateTable {
    /// Returns the expected output tokens of a request, at least 1 and at most `max_tokens`.
    pub fn expected(
        &self,
        class: &SharedName,
        organisation: &SharedName,
        max_tokens: Option<u32>,
    ) -> u32 {
        let key = (class.clone(), organisation.clone());
        let for_organisation = self.current.get(&key).or_else(|| self.previous.get(&key));
        let mean = for_organisation.or_else(|| self.classes.get(class));
        let tokens = mean.map_or(DEFAULT_TOKENS, |mean| mean.round() as u32);
        tokens.min(max_tokens.unwrap_or(u32::MAX)).max(1)
    }

    /// Records the output tokens of a finished request.
    pub fn observe(&mut self, class: &SharedName, organisation: &SharedName, tokens: u32) {
        let tokens = f64::from(tokens);
        if self.classes.len() < GENERATION_ENTRIES || self.classes.contains_key(class) {
            let mean = self.classes.entry(class.clone()).or_insert(tokens);
            *mean += (tokens - *mean) * OBSERVATION_WEIGHT;
        }
        let key = (class.clone(), organisation.clone());
        let known = self.current.get(&key).or_else(|| self.previous.get(&key)).copied();
        let mean = known.map_or(tokens, |mean| mean + (tokens - mean) * OBSERVATION_WEIGHT);
        if self.current.len() >= GENERATION_ENTRIES && !self.current.contains_key(&key) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key, mean);
    }

    /// Returns the number of entries by class and organisation over both generations.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns whether nothing has been observed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
