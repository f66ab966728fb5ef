//! Sums of what several nodes tell.

use berylstep_core::collections::HashMap;
use berylstep_core::fleet::replica::ReplicaLoad;
use berylstep_wire::{FleetPulse, ReplicaWork, ZoneSummary};

/// Adds work in progress to the sums of its replicas.
pub fn add_work(sums: &mut HashMap<u32, ReplicaLoad>, told: &[ReplicaWork]) {
    for work in told {
        let sum = sums.entry(work.replica).or_default();
        sum.requests += work.requests;
        sum.work += work.work;
    }
}

/// Adds what one node tells.
pub fn add_pulse(summary: &mut ZoneSummary, pulse: &FleetPulse) {
    let told = ZoneSummary {
        work: pulse.work.clone(),
        demand: pulse.demand.clone(),
        duty_fencing: if pulse.leaving { 0 } else { pulse.duty_fencing },
        nodes: 1,
        ..Default::default()
    };
    add_summary(summary, &told);
}

/// Adds what several nodes tell.
pub fn add_summary(summary: &mut ZoneSummary, told: &ZoneSummary) {
    for work in &told.work {
        match summary.work.iter_mut().find(|sum| sum.replica == work.replica) {
            Some(sum) => {
                sum.requests += work.requests;
                sum.work += work.work;
            }
            None => summary.work.push(*work),
        }
    }
    for demand in &told.demand {
        match summary.demand.iter_mut().find(|sum| sum.service == demand.service) {
            Some(sum) => {
                sum.work_per_second += demand.work_per_second;
                sum.short_work_per_second += demand.short_work_per_second;
            }
            None => summary.demand.push(demand.clone()),
        }
    }
    summary.duty_fencing = summary.duty_fencing.max(told.duty_fencing);
    summary.nodes += told.nodes;
}
