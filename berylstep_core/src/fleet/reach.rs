//! Whether this node reaches the replicas of a service.
//!
//! Replicas that crash and a node that is cut off look the same from one failed connection. A node
//! counts as cut off from a service once new connections to several of its replicas have failed in
//! turn and none has succeeded since; it then goes on trying in the background.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Number of replicas whose connections fail in turn before the node counts as cut off.
const FAILED_REPLICAS: usize = 2;

/// Time for which a failed connection counts.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// What a change of reachability means for the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The node counts as cut off now.
    CutOff,
    /// The node reaches the service again.
    Reached,
}

/// New connections to the replicas of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// Replicas whose latest connection failed, since the last success at any.
    failed: Vec<(SharedName, Duration)>,
    is_cut_off: bool,
}

/// Reachability of services, by name.
#[derive(Debug, Default)]
pub struct ReachLedger {
    services: HashMap<SharedName, ServiceReach>,
}

impl ReachLedger {
    /// Records that a new connection to a replica could not be opened; `replicas` is the number of
    /// replicas of its service.
    pub fn record_failure(
        &mut self,
        service: &SharedName,
        replica: &SharedName,
        replicas: usize,
        now: Duration,
    ) -> Option<ReachChange> {
        let reach = self.services.entry(service.clone()).or_default();
        reach.failed.retain(|(failed, at)| {
            failed != replica && now.saturating_sub(*at) < FAILURE_RETENTION
        });
        reach.failed.push((replica.clone(), now));
        let is_cut_off = reach.failed.len() >= FAILED_REPLICAS.min(replicas.max(1));
        if !is_cut_off || reach.is_cut_off {
            return None;
        }
        reach.is_cut_off = true;
        Some(ReachChange::CutOff)
    }

    /// Records that a new connection to a replica of the service was opened.
    pub fn record_success(&mut self, service: &str) -> Option<ReachChange> {
        let reach = self.services.get_mut(service)?;
        reach.failed.clear();
        std::mem::take(&mut reach.is_cut_off).then_some(ReachChange::Reached)
    }

    /// Returns whether this node is cut off from a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|reach| reach.is_cut_off)
    }

    /// Returns the services that this node is cut off from, sorted.
    pub fn unreachable(&self) -> Vec<SharedName> {
        let cut_off = self.services.iter().filter(|(_, reach)| reach.is_cut_off);
        let mut names: Vec<_> = cut_off.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        names
    }
}

/// A node that may take requests over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverCandidate {
    /// Whether it serves callers and reaches the service.
    pub is_sound: bool,
    /// CPU share in thousandths of a core.
    pub core_permille: u32,
}

/// Selects a node by its share of the processors of all sound ones; `draw` is between 0 and 1.
pub fn choose_node(candidates: &[HandoverCandidate], draw: f64) -> Option<usize> {
    let weight = |candidate: &HandoverCandidate| match candidate.is_sound {
        true => f64::from(candidate.core_permille.max(1)),
        false => 0.0,
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut remaining = draw * total;
    for (index, candidate) in candidates.iter().enumerate() {
        remaining -= weight(candidate);
        if remaining < 0.0 && candidate.is_sound {
            return Some(index);
        }
    }
    candidates.iter().rposition(|candidate| candidate.is_sound)
}
