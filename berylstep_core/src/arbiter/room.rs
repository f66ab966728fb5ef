//! Admission: requests that cannot make their deadline, and room in the queue.

use std::time::Duration;

use super::request::SlotDemand;
use super::{queue_key, PoolArbiter, QueueKey, NO_UPSTREAM_RETRY};
use crate::refusal::RefusalReason;

/// Waiting requests of one pool unless stated otherwise, not counting one of each class, so that none is shut out.
pub const MAX_WAITING: usize = 4096;

/// Shortest time to come back.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Longest time to come back.
const MAX_RETRY: Duration = Duration::from_secs(60);

impl PoolArbiter {
    /// Whether a new request may wait; makes room for it at the expense of lower claims.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        demand: &SlotDemand,
    ) -> Result<(), (RefusalReason, Duration)> {
        if !self.replicas.can_serve(demand) {
            return Err((RefusalReason::NoUpstream, NO_UPSTREAM_RETRY));
        }
        let left = demand.deadline.saturating_sub(now);
        if left.is_zero() {
            return Err((RefusalReason::Deadline, self.retry_after(now, demand.tier)));
        }
        let only_waiter = self.queues.get(&queue_key(demand)).is_none_or(|queue| queue.is_empty());
        if demand.preempted || only_waiter {
            return Ok(());
        }
        let wait = self.expected_wait(now, demand);
        if wait > left {
            let retry_after = (wait - left).clamp(MIN_RETRY, MAX_RETRY);
            return Err((RefusalReason::Deadline, retry_after));
        }
        if self.room_used() >= self.max_waiting && !self.make_room(now, demand) {
            return Err((RefusalReason::QueueFull, self.retry_after(now, demand.tier)));
        }
        Ok(())
    }

    /// Time to come back for work of a tier: until what waits in it and above is served.
    pub(super) fn retry_after(&self, now: Duration, tier: u8) -> Duration {
        let queues = self.queues.range(..(tier.saturating_add(1), "".into()));
        let units: u64 = queues.map(|(_, queue)| queue.waiting_units()).sum();
        self.time_for(now, units).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Time until a slot can be had at the pool's measured rate; never more than a fair guess, so
    /// that a request which could be served is not refused.
    fn expected_wait(&self, now: Duration, demand: &SlotDemand) -> Duration {
        let above = self.queues.range(..(demand.tier, "".into()));
        let above: u64 = above.map(|(_, queue)| queue.waiting_units()).sum();
        let own = self.queues.get(&queue_key(demand));
        let own = own.map_or(0, |queue| queue.units_before(&demand.organisation));
        self.time_for(now, above + own)
    }

    /// Time in which the pool serves `units` tokens; zero before its rate is known.
    fn time_for(&self, now: Duration, units: u64) -> Duration {
        let slots = f64::from(self.replicas.capacity(now).max(1));
        let secs = units as f64 * self.secs_per_unit / slots;
        Duration::from_secs_f64(secs.min(MAX_RETRY.as_secs_f64() * 60.0))
    }

    /// Waiting requests without one of each class; that one takes no room from others.
    fn room_used(&self) -> usize {
        let classes = self.queues.values().filter(|queue| !queue.is_empty()).count();
        self.waiting - classes
    }

    /// Sheds the waiting request with the lowest claim; false where that is the new one.
    fn make_room(&mut self, now: Duration, demand: &SlotDemand) -> bool {
        let Some(tier) = self.lowest_crowded_tier() else { return false };
        if tier < demand.tier {
            return false;
        }
        let Some((queue_key, victim, backlog)) = self.lowest_claim(tier) else { return false };
        if tier == demand.tier {
            let own = self.queues.get(&super::queue_key(demand));
            let own_backlog = own.map_or(0, |queue| queue.backlog(&demand.organisation));
            let same_class = queue_key.1 == demand.class;
            if same_class && own_backlog + 1 >= backlog {
                return false;
            }
        }
        let retry_after = self.retry_after(now, tier);
        self.shed(&victim, RefusalReason::QueueFull, retry_after);
        true
    }

    /// Lowest tier in which a request can make way.
    fn lowest_crowded_tier(&self) -> Option<u8> {
        let mut keys = self.queues.keys().rev();
        keys.find(|key| self.claim_in(key).is_some()).map(|(tier, _)| *tier)
    }

    /// Newest request of the longest queue of an organisation, in the most crowded class of a tier.
    fn lowest_claim(&self, tier: u8) -> Option<(QueueKey, super::RequestKey, usize)> {
        let keys = self.queues.iter().filter(|((queue_tier, _), _)| *queue_tier == tier);
        let mut keys: Vec<_> = keys.map(|(key, queue)| (queue.len(), key.clone())).collect();
        keys.sort();
        keys.into_iter().rev().find_map(|(_, key)| {
            let (victim, backlog) = self.claim_in(&key)?;
            Some((key, victim, backlog))
        })
    }

    /// Request of a class that makes way first; its only waiter and preempted ones never do.
    fn claim_in(&self, key: &QueueKey) -> Option<(super::RequestKey, usize)> {
        let queue = self.queues.get(key).filter(|queue| queue.len() > 1)?;
        queue.longest_queues().find_map(|(backlog, organisation)| {
            let tail = queue.tail(organisation)?;
            let row = self.requests.get(tail)?;
            (!row.demand.preempted).then(|| (tail.clone(), backlog))
        })
    }
}
