//! Preemption of lower tiers' work for higher tiers.

use std::time::Duration;

use super::request::{RequestKey, RequestState, SlotDemand};
use super::{ArbiterDecision, PoolArbiter, QueueKey};

/// A request preempts once it has waited for its latency target divided by this; until then a slot
/// may come free by itself, which wastes no work.
pub const PREEMPT_FRACTION: u32 = 4;

impl PoolArbiter {
    /// Takes back at most one slot for each class whose next request has waited for long.
    pub(super) fn preempt(&mut self, now: Duration) {
        if self.preemptible.is_empty() || self.waiting == 0 {
            return;
        }
        let keys: Vec<QueueKey> = self.queues.keys().cloned().collect();
        let mut waiting = 0;
        for key in keys {
            waiting += self.queues[&key].len();
            if self.recalls >= waiting {
                continue;
            }
            if let Some(victim) = self.victim_for(now, &key) {
                self.recall(&victim);
            }
        }
    }

    fn victim_for(&self, now: Duration, key: &QueueKey) -> Option<RequestKey> {
        let head = self.queues[key].head()?;
        let demand = &self.requests.get(head)?.demand;
        let waited = now.saturating_sub(demand.arrived);
        if waited < demand.latency_target / PREEMPT_FRACTION {
            return None;
        }
        self.victim(now, demand)
    }

    /// Newest grant of the lowest tier below the request's, whose replica may serve the request.
    fn victim(&self, now: Duration, demand: &SlotDemand) -> Option<RequestKey> {
        let lower = self.preemptible.iter().rev().take_while(|(tier, _, _)| *tier > demand.tier);
        let mut lower = lower.filter(|(_, _, key)| match self.requests.get(key) {
            Some(row) => match &row.state {
                RequestState::Granted(slot) => {
                    self.replicas.would_serve(now, &slot.replica, demand)
                }
                RequestState::Waiting { .. } => false,
            },
            None => false,
        });
        lower.next().map(|(_, _, key)| key.clone())
    }

    fn recall(&mut self, key: &RequestKey) {
        let Some(row) = self.requests.get_mut(key) else { return };
        let RequestState::Granted(slot) = &mut row.state else { return };
        slot.recalled = true;
        self.preemptible.remove(&(row.demand.tier, slot.since, key.clone()));
        self.recalls += 1;
        self.decisions.push(ArbiterDecision::Recall { key: key.clone() });
    }
}
