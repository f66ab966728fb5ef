//! Whether this node reaches the replicas of a service.
//!
//! Replicas that crash and a node that is cut off look the same from one failed connection. A node
//! counts as cut off from a service once new connections to several of its replicas have failed in
//! turn and none has succeeded since; it then goes on trying in the background.
//!
//! A host on the way may accept connections and then reset them or stay silent, as replicas that fail do.
//! A node therefore also counts as cut off once requests to several replicas were lost, all of them sent
//! after the last response of their services. Only a response shows then that it is reached again, so
//! requests are tried from time to time.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Number of replicas whose connections fail in turn before the node counts as cut off.
const FAILED_REPLICAS: usize = 2;

/// Time for which a failed connection counts.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// Time after which a request is tried at a service whose requests were lost, at first; it doubles with
/// each try.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest such time.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which a request that can be repeated is awaited for a try, before another one is lost to it.
const UNREPEATABLE_PATIENCE: Duration = Duration::from_secs(8);

/// What a change of reachability means for the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The node counts as cut off now.
    CutOff,
    /// The node reaches the service again.
    Reached,
}

/// Tries of requests at a service whose requests were lost.
#[derive(Clone, Copy, Debug)]
struct TrialState {
    interval: Duration,
    next_at: Duration,
}

/// Connections and requests to the replicas of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// Replicas whose latest connection failed, since the last success at any.
    failed: Vec<(SharedName, Duration)>,
    /// Replicas at which a request was lost, since the last response of any.
    lost: Vec<(SharedName, Duration)>,
    responded_at: Option<Duration>,
    /// Whether it is cut off because connections failed.
    is_refused: bool,
    /// Tries, while it is cut off because requests were lost.
    trial: Option<TrialState>,
}

impl ServiceReach {
    fn is_cut_off(&self) -> bool {
        self.is_refused || self.trial.is_some()
    }

    /// Makes a change; returns what it means.
    fn change(&mut self, apply: impl FnOnce(&mut Self)) -> Option<ReachChange> {
        let was_cut_off = self.is_cut_off();
        apply(self);
        match (was_cut_off, self.is_cut_off()) {
            (false, true) => Some(ReachChange::CutOff),
            (true, false) => Some(ReachChange::Reached),
            (false, false) | (true, true) => None,
        }
    }
}

/// Records that something failed at a replica; returns the number of replicas at which it did lately.
fn record_at(
    failed: &mut Vec<(SharedName, Duration)>,
    replica: &SharedName,
    now: Duration,
) -> usize {
    failed.retain(|(known, at)| known != replica && now.saturating_sub(*at) < FAILURE_RETENTION);
    failed.push((replica.clone(), now));
    failed.len()
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
        let failed = record_at(&mut reach.failed, replica, now);
        let is_refused = failed >= FAILED_REPLICAS.min(replicas.max(1));
        reach.change(|reach| reach.is_refused |= is_refused)
    }

    /// Records that a new connection to a replica of the service was opened. It shows nothing about the
    /// requests that it will carry.
    pub fn record_open(&mut self, service: &str) -> Option<ReachChange> {
        let reach = self.services.get_mut(service)?;
        reach.failed.clear();
        reach.change(|reach| reach.is_refused = false)
    }

    /// Records that a request that was sent to a replica at `sent_at` got no response.
    pub fn record_loss(
        &mut self,
        service: &SharedName,
        replica: &SharedName,
        sent_at: Duration,
        now: Duration,
    ) -> Option<ReachChange> {
        let reach = self.services.entry(service.clone()).or_default();
        if reach.responded_at.is_some_and(|at| at >= sent_at) {
            return None;
        }
        record_at(&mut reach.lost, replica, now);
        // A cut mostly concerns several services, each of which has few requests.
        let is_recent =
            |(_, at): &&(SharedName, Duration)| now.saturating_sub(*at) < FAILURE_RETENTION;
        let lost = self.services.values().flat_map(|reach| &reach.lost).filter(is_recent).count();
        if lost < FAILED_REPLICAS {
            return None;
        }
        let reach = self.services.get_mut(service)?;
        let interval = MIN_TRIAL_INTERVAL;
        let first = TrialState { interval, next_at: now + interval };
        reach.change(|reach| {
            reach.trial.get_or_insert(first);
        })
    }

    /// Records a response of a replica of the service; `is_new` tells whether its connection was opened for
    /// the request. An older one may outlive a cut.
    pub fn record_response(
        &mut self,
        service: &SharedName,
        is_new: bool,
        now: Duration,
    ) -> Option<ReachChange> {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceReach::default());
        }
        let reach = self.services.get_mut(service)?;
        reach.responded_at = Some(now);
        reach.lost.clear();
        if is_new {
            reach.failed.clear();
        }
        reach.change(|reach| {
            reach.trial = None;
            reach.is_refused &= !is_new;
        })
    }

    /// Returns whether a request is to be tried at a service whose requests were lost. One that can't be
    /// repeated is tried only if no other has been for long.
    pub fn admits_trial(&mut self, service: &str, is_repeatable: bool, now: Duration) -> bool {
        let Some(reach) = self.services.get_mut(service).filter(|reach| !reach.is_refused) else {
            return false;
        };
        let Some(trial) = &mut reach.trial else { return false };
        let patience = if is_repeatable { Duration::ZERO } else { UNREPEATABLE_PATIENCE };
        if now < trial.next_at + patience {
            return false;
        }
        trial.interval = (2 * trial.interval).min(MAX_TRIAL_INTERVAL);
        trial.next_at = now + trial.interval;
        true
    }

    /// Returns whether this node is cut off from a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(ServiceReach::is_cut_off)
    }

    /// Returns the services that this node is cut off from, sorted.
    pub fn unreachable(&self) -> Vec<SharedName> {
        let cut_off = self.services.iter().filter(|(_, reach)| reach.is_cut_off());
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
