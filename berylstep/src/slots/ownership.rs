//! Pool ownership: the responsive node with the highest rendezvous hash owns a pool.

use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::member::MemberState;
use berylstep_core::rendezvous;

use crate::node::NodeContext;

/// Time without messages after which an owner with open asks is suspected to have failed.
pub const OWNER_SILENCE_LIMIT: Duration = Duration::from_millis(150);

/// Minimum time for which a suspected owner is skipped.
const SUSPICION_TIME: Duration = Duration::from_secs(1);

/// Age of the last message up to which a suspected node counts as responsive again.
const RECOVERY_SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// Nodes that may own pools, with the time of the last message from each.
#[derive(Default)]
pub struct OwnerTable {
    last_heard: HashMap<SharedName, Duration>,
    suspected: HashMap<SharedName, Duration>,
    candidates: Vec<SharedName>,
    known_nodes: usize,
}

impl OwnerTable {
    /// Records a message from `node`.
    pub fn record_activity(&mut self, now: Duration, node: &SharedName) {
        self.last_heard.insert(node.clone(), now);
    }

    /// Counts the silence of all nodes from `now`, after a stall of this node during which it
    /// handled no messages.
    pub fn reset_silence(&mut self, now: Duration) {
        self.last_heard.values_mut().for_each(|last_heard| *last_heard = now);
    }

    /// Suspects an owner that has been silent. Silence counts from `since` at the earliest, because
    /// no answer of the owner was due before.
    pub fn suspect_if_silent(&mut self, now: Duration, owner: &SharedName, since: Duration) {
        let last_heard = self.last_heard.get(owner).copied().unwrap_or_default().max(since);
        if now.saturating_sub(last_heard) > OWNER_SILENCE_LIMIT {
            self.suspected.insert(owner.clone(), now + SUSPICION_TIME);
        }
    }

    /// Updates the candidates from membership, open links and leaving nodes.
    pub fn refresh(&mut self, node: &NodeContext, now: Duration) {
        let linked = node.peers.connected();
        let members = node.members();
        let own = &node.settings.node;
        let in_region = |region: &SharedName| *region == node.settings.region;
        let known = members.all().filter(|m| m.is_row_fresh(now) && in_region(&m.row.region));
        self.known_nodes = known.filter(|member| member.row.node != *own).count() + 1;
        let live = members.live(now).filter(|member| in_region(&member.row.region));
        let linked = live.filter(|member| linked.contains(&member.row.node));
        let mut reachable = vec![(own.clone(), node.state() == MemberState::Leaving)];
        reachable.extend(linked.map(|member| {
            let leaving = member.leaving || member.row.state == MemberState::Leaving;
            (member.row.node.clone(), leaving)
        }));
        let all_leave = reachable.iter().all(|(_, leaving)| *leaving);
        reachable.retain(|(_, leaving)| all_leave || !leaving);
        self.candidates = reachable.into_iter().map(|(name, _)| name).collect();
        let last_heard = &self.last_heard;
        let is_responsive = |name: &SharedName| {
            last_heard.get(name).is_some_and(|at| now.saturating_sub(*at) <= RECOVERY_SILENCE_LIMIT)
        };
        self.suspected.retain(|name, until| now < *until || !is_responsive(name));
    }

    /// Returns the owner of a pool, or `own` if there is no candidate.
    pub fn owner(&self, own: &SharedName, pool: &str) -> SharedName {
        let trusted = self.candidates.iter().filter(|name| !self.suspected.contains_key(*name));
        let best = trusted.max_by_key(|name| (rendezvous::score(pool, name), (*name).clone()));
        best.unwrap_or(own).clone()
    }

    /// Returns the nodes that may own pools and are not suspected.
    pub fn reachable(&self) -> impl Iterator<Item = &SharedName> {
        self.candidates.iter().filter(|name| !self.suspected.contains_key(*name))
    }

    /// Returns the fraction of all slots that an owner may use while it reaches only a minority of
    /// the nodes. `None` if it reaches at least half of them.
    pub fn share(&self) -> Option<f64> {
        let reachable = self.reachable().count();
        let minority = reachable * 2 < self.known_nodes;
        minority.then(|| reachable as f64 / self.known_nodes as f64)
    }
}
