//! Aggregation of the state that several nodes report.

use berylstep_core::collections::HashMap;
use berylstep_core::fleet::replica::ReplicaLoad;
use berylstep_wire::{FleetPulse, ReplicaWork, ZoneSummary};

/// Adds reported work in progress to the per-replica sums, keyed by replica hash.
pub fn add_work(sums: &mut HashMap<u32, ReplicaLoad>, reported: &[ReplicaWork]) {
    for work in reported {
        let sum = sums.entry(work.replica).or_default();
        sum.requests += work.requests;
        sum.work += work.work;
    }
}

/// Adds the state reported in one node's pulse to a zone summary.
pub fn add_pulse(summary: &mut ZoneSummary, pulse: &FleetPulse) {
    let reported = ZoneSummary {
        work: pulse.work.clone(),
        demand: pulse.demand.clone(),
        duty_fencing: if pulse.leaving { 0 } else { pulse.duty_fencing },
        nodes: 1,
        ..Default::default()
    };
    add_summary(summary, &reported);
}

/// Adds one zone summary to another.
pub fn add_summary(summary: &mut ZoneSummary, reported: &ZoneSummary) {
    for work in &reported.work {
        match summary.work.iter_mut().find(|sum| sum.replica == work.replica) {
            Some(sum) => {
                sum.requests += work.requests;
                sum.work += work.work;
            }
            None => summary.work.push(*work),
        }
    }
    for demand in &reported.demand {
        match summary.demand.iter_mut().find(|sum| sum.service == demand.service) {
            Some(sum) => {
                sum.work_per_second += demand.work_per_second;
                sum.short_work_per_second += demand.short_work_per_second;
            }
            None => summary.demand.push(demand.clone()),
        }
    }
    summary.duty_fencing = summary.duty_fencing.max(reported.duty_fencing);
    summary.nodes += reported.nodes;
}
