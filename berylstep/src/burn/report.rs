//! The service-level burn report, as nodes write it and commands read it.

use berylstep_core::burn::{BurnCount, WindowCounts, BURN_WINDOWS};
use berylstep_core::collections::SharedName;
use serde::{Deserialize, Serialize};

/// Burn of all classes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Nodes whose counts are included.
    pub nodes: usize,
    /// Live nodes, this one included.
    pub live_nodes: usize,
    /// Longest time that any included node has counted for, in seconds; windows that are longer are
    /// not full yet.
    pub counted_s: u64,
    /// Classes by name.
    pub classes: Vec<ClassReport>,
    /// Organisations since the start of the nodes, those with most misses first; gateways only.
    #[serde(default)]
    pub organisations: Vec<OrganisationReport>,
}

/// Requests of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationReport {
    /// Organisation.
    pub organisation: SharedName,
    /// Requests that met the target of their class.
    pub met: u64,
    /// Requests that missed it.
    pub missed: u64,
}

/// Burn of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Class.
    pub class: SharedName,
    /// Tier.
    pub tier: u8,
    /// Target time to the first byte, in milliseconds.
    pub latency_ms: u64,
    /// Wanted fraction of requests that meet the target.
    pub attainment: f64,
    /// Part of the longest window's allowed misses that is left; below 0 it is overdrawn.
    pub budget_left: Option<f64>,
    /// Windows, shortest first.
    pub windows: Vec<WindowReport>,
}

/// Burn of one class in one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Name of the window.
    pub window: String,
    /// Requests that met the target.
    pub met: u64,
    /// Requests that missed it.
    pub missed: u64,
    /// Fraction that met the target; absent without requests.
    pub attainment: Option<f64>,
    /// Misses as a multiple of the allowed ones; absent without requests.
    pub burn_rate: Option<f64>,
}

/// What a class is promised.
#[derive(Clone, Debug)]
pub struct ClassTarget {
    /// Class.
    pub class: SharedName,
    /// Tier.
    pub tier: u8,
    /// Target time to the first byte, in milliseconds.
    pub latency_ms: u64,
    /// Wanted fraction of requests that meet the target.
    pub attainment: f64,
}

impl ClassReport {
    /// Report on a class with these counts.
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

    /// Adds the counts of the same class at another node.
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
    /// Adds the report of another node.
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
