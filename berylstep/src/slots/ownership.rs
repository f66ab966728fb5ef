//! Which node owns a pool: the highest rendezvous hash over the nodes that answer.

use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::member::MemberState;
use berylstep_core::rendezvous;

use crate::node::NodeContext;

/// Silence after which an owner with open asks is passed over.
pub const OWNER_SILENCE: Duration = Duration::from_millis(150);

/// Time for which a silent owner is passed over at least.
const SUSPICION_TIME: Duration = Duration::from_secs(1);

/// Age of the last message up to which a node counts as answering again.
const RECOVERY_SILENCE: Duration = Duration::from_millis(300);

/// Nodes that may own pools, and when each was heard.
#[derive(Default)]
pub struct OwnerTable {
    heard: HashMap<SharedName, Duration>,
    suspected: HashMap<SharedName, Duration>,
    candidates: Vec<SharedName>,
    known: usize,
}

impl OwnerTable {
    /// Notes that a message came from `node`.
    pub fn record_activity(&mut self, now: Duration, node: &SharedName) {
        self.heard.insert(node.clone(), now);
    }

    /// Notes that this node itself stood still, which says nothing of others.
    pub fn excuse(&mut self, now: Duration) {
        self.heard.values_mut().for_each(|heard| *heard = now);
    }

    /// Passes over an owner that has been silent; `since` is when its answer was first due.
    pub fn judge(&mut self, now: Duration, owner: &SharedName, since: Duration) {
        let heard = self.heard.get(owner).copied().unwrap_or_default().max(since);
        if now.saturating_sub(heard) > OWNER_SILENCE {
            self.suspected.insert(owner.clone(), now + SUSPICION_TIME);
        }
    }

    /// Takes in who lives, who is linked and who leaves.
    pub fn refresh(&mut self, node: &NodeContext, now: Duration) {
        let linked = node.peers.connected();
        let members = node.members();
        let own = &node.settings.node;
        let in_region = |region: &SharedName| *region == node.settings.region;
        let known = members.all().filter(|m| m.is_row_fresh(now) && in_region(&m.row.region));
        self.known = known.filter(|member| member.row.node != *own).count() + 1;
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
        let heard = &self.heard;
        let answers = |name: &SharedName| {
            heard.get(name).is_some_and(|at| now.saturating_sub(*at) <= RECOVERY_SILENCE)
        };
        self.suspected.retain(|name, until| now < *until || !answers(name));
    }

    /// Owner of a pool.
    pub fn owner(&self, own: &SharedName, pool: &str) -> SharedName {
        let trusted = self.candidates.iter().filter(|name| !self.suspected.contains_key(*name));
        let best = trusted.max_by_key(|name| (rendezvous::score(pool, name), (*name).clone()));
        best.unwrap_or(own).clone()
    }

    /// Nodes that a new owner waits for.
    pub fn reachable(&self) -> impl Iterator<Item = &SharedName> {
        self.candidates.iter().filter(|name| !self.suspected.contains_key(*name))
    }

    /// Fraction of all slots that an owner may use where it reaches only a minority of the nodes.
    pub fn share(&self) -> Option<f64> {
        let reachable = self.reachable().count();
        let minority = reachable * 2 < self.known;
        minority.then(|| reachable as f64 / self.known as f64)
    }
}
