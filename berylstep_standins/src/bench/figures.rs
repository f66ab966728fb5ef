//! Statistics: quantiles, medians over repetitions and linear regression.

use std::fmt::{Display, Formatter};
use std::time::Duration;

/// Sampled durations of one kind of call.
#[derive(Clone, Debug, Default)]
pub struct DurationSamples {
    samples: Vec<Duration>,
}

impl DurationSamples {
    /// Adds one sample.
    pub fn push(&mut self, sample: Duration) {
        self.samples.push(sample);
    }

    /// Returns the number of samples.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Returns the sample at a quantile from 0 to 1, in microseconds; 0 if there are no samples.
    pub fn quantile_us(&self, quantile: f64) -> f64 {
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let index = (quantile * sorted.len().saturating_sub(1) as f64).round() as usize;
        sorted.get(index).map_or(0.0, |sample| sample.as_secs_f64() * 1e6)
    }
}

/// A figure measured in several repetitions; displayed as median, minimum and maximum.
#[derive(Clone, Debug, Default)]
pub struct RepeatedFigure {
    values: Vec<f64>,
}

impl RepeatedFigure {
    /// Adds the figure of one repetition.
    pub fn push(&mut self, value: f64) {
        self.values.push(value);
    }

    /// Returns the median over all repetitions; 0 if there are none.
    pub fn median(&self) -> f64 {
        self.sorted().get(self.values.len() / 2).copied().unwrap_or_default()
    }

    fn sorted(&self) -> Vec<f64> {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        sorted
    }
}

impl Display for RepeatedFigure {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let sorted = self.sorted();
        let (low, high) = (sorted.first(), sorted.last());
        let (low, high) = (low.copied().unwrap_or_default(), high.copied().unwrap_or_default());
        let digits = f.precision().unwrap_or(1);
        write!(f, "{:.digits$} ({low:.digits$} to {high:.digits$})", self.median())
    }
}

/// Linear regression by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FittedLine {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value of y at 0.
    pub intercept: f64,
    /// Coefficient of determination (R²), from 0 to 1.
    pub fit: f64,
}

impl FittedLine {
    /// Fits a line to points, at least two of which must differ in x.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |product: fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|(x, y)| product(x - mean_x, y - mean_y)).sum()
        };
        let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
        let slope = xy / xx;
        let fit = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
        Self { slope, intercept: mean_y - slope * mean_x, fit }
    }
}
