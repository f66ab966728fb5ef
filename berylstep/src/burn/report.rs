//! Format of the error-budget burn report.

use berylstep_core::burn::{BurnCount, WindowCounts, BURN_WINDOWS};
use berylstep_core::collections::SharedName;
use serde::{Deserialize, Serialize};

/// Error-budget burn of all classes.
///
/// A class's error budget is the fraction of requests that may miss its latency target; the burn
/// rate is the fraction that missed it, as a multiple of the budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Nodes whose counts are included.
    pub nodes: usize,
    /// Live nodes, this one included.
    pub live_nodes: usize,
    /// Longest time span that any included node's counts cover, in seconds; longer windows are not
    /// full yet.
    pub counted_s: u64,
    /// Reports of the classes.
    pub classes: Vec<ClassReport>,
    /// Counts by organisation since the nodes started, sorted by misses, largest first; reported by
    /// gateways only.
    #[serde(default)]
    pub organisations: Vec<OrganisationReport>,
}

/// Requests of one organisation by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationReport {
    /// Name of the organisation.
    pub organisation: SharedName,
    /// Requests that met the latency target of their class and were answered in full.
    pub met: u64,
    /// Requests that were late, refused for lack of capacity, failed or cut short.
    pub missed: u64,
}

/// Error-budget burn of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: SharedName,
    /// Priority tier of the class.
    pub tier: u8,
    /// Latency target for the first byte, in milliseconds.
    pub latency_ms: u64,
    /// Objective: the fraction of requests that is to meet the target, from 0 to 1.
    pub attainment: f64,
    /// Fraction of the longest window's error budget that is left; negative once overspent, absent
    /// without requests.
    pub budget_left: Option<f64>,
    /// Windows, sorted by length, shortest first.
    pub windows: Vec<WindowReport>,
}

/// Error-budget burn of one class in one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Name of the window, which tells its length.
    pub window: String,
    /// Requests that met the latency target and were answered in full.
    pub met: u64,
    /// Requests that were late, refused for lack of capacity, failed or cut short.
    pub missed: u64,
    /// Fraction of requests that met the target; absent without requests.
    pub attainment: Option<f64>,
    /// Misses as a multiple of the error budget; absent without requests.
    pub burn_rate: Option<f64>,
}

/// Service-level objective of a class.
#[derive(Clone, Debug)]
pub struct ClassTarget {
    /// Name of the class.
    pub class: SharedName,
    /// Priority tier of the class.
    pub tier: u8,
    /// Latency target for the first byte, in milliseconds.
    pub latency_ms: u64,
    /// Objective: the fraction of requests that is to meet the target, from 0 to 1.
    pub attainment: f64,
}

impl ClassReport {
    /// Computes the report of a class from its counts.
    pub fn new(target: ClassTarget, counts: WindowCounts) -> Self {
        let windows = BURN_WINDOWS.iter().zip(counts).map(|(window, count)| WindowReport {
            window: window.name.to_owned(),
            met: count.met,
            missed: count.missed,
            attainment: count.attainment(),
            burn_rate: count.burn_rate(target.attainment),
        });
        let windows: Vec<_> = windows.collect();
        let longest_rate = windows.last().and_then(|window| window.burn_rate);
        Self {
            class: target.class,
            tier: target.tier,
            latency_ms: target.latency_ms,
            attainment: target.attainment,
            budget_left: longest_rate.map(|rate| 1.0 - rate),
            windows,
        }
    }

    /// Adds another node's counts of the same class.
    pub fn merge(&mut self, other: &Self) {
        let mut counts = WindowCounts::default();
        for report in [&*self, other] {
            for (count, window) in counts.iter_mut().zip(&report.windows) {
                count.merge(&BurnCount { met: window.met, missed: window.missed });
            }
        }
        let target = ClassTarget {
            class: self.class.clone(),
            tier: self.tier,
            latency_ms: self.latency_ms,
            attainment: self.attainment,
        };
        *self = Self::new(target, counts);
    }
}

impl BurnReport {
    /// Adds another node's report.
    pub fn merge(&mut self, other: &Self) {
        self.nodes += other.nodes;
        self.live_nodes = self.live_nodes.max(other.live_nodes);
        self.counted_s = self.counted_s.max(other.counted_s);
        for class in &other.classes {
            match self.classes.iter_mut().find(|known| known.class == class.class) {
                Some(known) => known.merge(class),
                None => self.classes.push(class.clone()),
            }
        }
        for organisation in &other.organisations {
            let known = self.organisations.iter_mut();
            match known.into_iter().find(|known| known.organisation == organisation.organisation) {
                Some(known) => {
                    known.met += organisation.met;
                    known.missed += organisation.missed;
                }
                None => self.organisations.push(organisation.clone()),
            }
        }
    }
}
