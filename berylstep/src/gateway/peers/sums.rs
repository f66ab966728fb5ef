//! Aggregation of the state that several nodes report.

use berylstep_core::collections::{HashMap, HashSet};
use berylstep_core::fleet::pace::PaceSum;
use berylstep_core::fleet::replica::ReplicaLoad;
use berylstep_wire::{ClassDemand, FleetPulse, ZoneSummary};

/// Observations of paces that several nodes report.
#[derive(Debug, Default)]
pub struct PaceReports {
    /// Sums by hash of the replica.
    pub sums: HashMap<u32, PaceSum>,
    /// Whether a replica has stated its pace to one of the nodes lately.
    pub states_pace: bool,
}

impl PaceReports {
    fn add(&mut self, replica: u32, logs: i32, weight: u32) {
        if weight > 0 {
            self.sums.entry(replica).or_default().add(PaceSum { logs, weight });
        }
    }
}

/// Sums of the state that several nodes report.
#[derive(Debug, Default)]
pub struct SummaryBuilder {
    loads: HashMap<u32, ReplicaLoad>,
    paces: PaceReports,
    demand: Vec<ClassDemand>,
    duty_fencing: u64,
    nodes: u32,
}

impl SummaryBuilder {
    /// Adds the state reported in one node's pulse.
    pub fn add_pulse(&mut self, pulse: &FleetPulse) {
        for work in &pulse.work {
            self.add_load(work.replica, work.requests, work.work);
        }
        for pace in &pulse.paces {
            self.paces.add(pace.replica, pace.logs, pace.weight);
        }
        self.paces.states_pace |= pulse.states_pace;
        self.add_demand(&pulse.demand);
        if !pulse.leaving {
            self.duty_fencing = self.duty_fencing.max(pulse.duty_fencing);
        }
        self.nodes += 1;
    }

    /// Adds the sums over other nodes.
    pub fn add_summary(&mut self, summary: &ZoneSummary) {
        let loads = summary.replicas.iter().zip(&summary.requests).zip(&summary.work);
        for ((replica, requests), work) in loads {
            self.add_load(*replica, *requests, *work);
        }
        let paces = summary.replicas.iter().zip(&summary.pace_logs).zip(&summary.pace_weights);
        for ((replica, logs), weight) in paces {
            self.paces.add(*replica, *logs, *weight);
        }
        self.paces.states_pace |= summary.states_pace;
        self.add_demand(&summary.demand);
        self.duty_fencing = self.duty_fencing.max(summary.duty_fencing);
        self.nodes += summary.nodes;
    }

    /// Returns the sums as a summary of `zone`.
    pub fn build(self, zone: &str) -> ZoneSummary {
        let mut loads: Vec<_> = self.loads.into_iter().collect();
        let paces = &self.paces.sums;
        let mut known: Vec<_> = Vec::new();
        if !paces.is_empty() {
            let busy: HashSet<_> = loads.iter().map(|(replica, _)| *replica).collect();
            let idle = paces.keys().filter(|replica| !busy.contains(*replica));
            loads.extend(idle.map(|replica| (*replica, ReplicaLoad::default())));
            let known_sum = |replica| paces.get(replica).copied().unwrap_or_default();
            known = loads.iter().map(|(replica, _)| known_sum(replica)).collect();
        }
        ZoneSummary {
            zone: zone.to_owned(),
            replicas: loads.iter().map(|(replica, _)| *replica).collect(),
            requests: loads.iter().map(|(_, load)| load.requests).collect(),
            work: loads.iter().map(|(_, load)| load.work).collect(),
            demand: self.demand,
            usage: Vec::new(),
            duty_fencing: self.duty_fencing,
            nodes: self.nodes,
            pace_logs: known.iter().map(|sum| sum.logs).collect(),
            pace_weights: known.iter().map(|sum| sum.weight).collect(),
            states_pace: self.paces.states_pace,
        }
    }

    /// Returns the observations of paces.
    pub fn into_paces(self) -> PaceReports {
        self.paces
    }

    /// Returns the work in progress by replica hash.
    pub fn into_loads(self) -> HashMap<u32, ReplicaLoad> {
        self.loads
    }

    fn add_load(&mut self, replica: u32, requests: u32, work: u64) {
        let sum = self.loads.entry(replica).or_default();
        sum.requests += requests;
        sum.work += work;
    }

    fn add_demand(&mut self, reported: &[ClassDemand]) {
        for demand in reported {
            match self.demand.iter_mut().find(|sum| sum.service == demand.service) {
                Some(sum) => {
                    sum.work_per_second += demand.work_per_second;
                    sum.short_work_per_second += demand.short_work_per_second;
                }
                None => self.demand.push(demand.clone()),
            }
        }
    }
}
