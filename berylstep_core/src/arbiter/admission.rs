//! Admission control: refuses requests that would miss their deadline, and bounds the queue.

use std::time::Duration;

use super::request::SlotDemand;
use super::{queue_key, PoolArbiter, QueueKey, NO_UPSTREAM_RETRY};
use crate::refusal::RefusalReason;

/// Default bound on the waiting requests of one pool. One request of each class is not counted, so
/// that every class can queue.
pub const MAX_WAITING: usize = 4096;

/// Shortest retry delay.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Longest retry delay.
const MAX_RETRY: Duration = Duration::from_secs(60);

impl PoolArbiter {
    /// Checks whether a new request may be queued. When the queue is full, a waiting request of
    /// lower priority is shed for it.
    ///
    /// An error gives the reason of the refusal and the retry delay.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        demand: &SlotDemand,
    ) -> Result<(), (RefusalReason, Duration)> {
        if !self.replicas.can_serve(demand) {
            return Err((RefusalReason::NoUpstream, NO_UPSTREAM_RETRY));
        }
        let remaining = demand.deadline.saturating_sub(now);
        if remaining.is_zero() {
            return Err((RefusalReason::Deadline, self.retry_after(now, demand.tier)));
        }
        let only_waiter = self.queues.get(&queue_key(demand)).is_none_or(|queue| queue.is_empty());
        if demand.preempted || only_waiter {
            return Ok(());
        }
        let wait = self.expected_wait(now, demand);
        if wait > remaining {
            let retry_after = (wait - remaining).clamp(MIN_RETRY, MAX_RETRY);
            return Err((RefusalReason::Deadline, retry_after));
        }
        if self.counted_waiting() >= self.max_waiting && !self.make_room(now, demand) {
            return Err((RefusalReason::QueueFull, self.retry_after(now, demand.tier)));
        }
        Ok(())
    }

    /// Returns the retry delay for a tier: the time to serve what waits in it and in higher tiers.
    pub(super) fn retry_after(&self, now: Duration, tier: u8) -> Duration {
        let queues = self.queues.range(..(tier.saturating_add(1), "".into()));
        let tokens: u64 = queues.map(|(_, queue)| queue.waiting_tokens()).sum();
        self.service_time(now, tokens).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Estimates the wait for a slot at the pool's measured rate. The estimate is conservative:
    /// a request that could be served in time must not be refused.
    fn expected_wait(&self, now: Duration, demand: &SlotDemand) -> Duration {
        let above = self.queues.range(..(demand.tier, "".into()));
        let above: u64 = above.map(|(_, queue)| queue.waiting_tokens()).sum();
        let own = self.queues.get(&queue_key(demand));
        let own = own.map_or(0, |queue| queue.tokens_before(&demand.organisation));
        self.service_time(now, above + own)
    }

    /// Returns the time in which the pool serves `tokens`. Zero before its rate is known.
    fn service_time(&self, now: Duration, tokens: u64) -> Duration {
        let slots = f64::from(self.replicas.capacity(now).max(1));
        let secs = tokens as f64 * self.secs_per_token / slots;
        Duration::from_secs_f64(secs.min(MAX_RETRY.as_secs_f64() * 60.0))
    }

    /// Returns the waiting requests that count against the bound: all but one of each class.
    fn counted_waiting(&self) -> usize {
        let classes = self.queues.values().filter(|queue| !queue.is_empty()).count();
        self.waiting - classes
    }

    /// Sheds the waiting request of the lowest priority. Returns false if that is the new one.
    fn make_room(&mut self, now: Duration, demand: &SlotDemand) -> bool {
        let Some(tier) = self.lowest_sheddable_tier() else { return false };
        if tier < demand.tier {
            return false;
        }
        let Some((queue_key, victim, backlog)) = self.lowest_priority(tier) else { return false };
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

    /// Returns the lowest tier with a request that may be shed.
    fn lowest_sheddable_tier(&self) -> Option<u8> {
        let mut keys = self.queues.keys().rev();
        keys.find(|key| self.shed_candidate(key).is_some()).map(|(tier, _)| *tier)
    }

    /// Returns the request of a tier that is shed first: the newest one of the organisation with
    /// the longest queue, in the class with the most waiting requests.
    fn lowest_priority(&self, tier: u8) -> Option<(QueueKey, super::RequestKey, usize)> {
        let keys = self.queues.iter().filter(|((queue_tier, _), _)| *queue_tier == tier);
        let mut keys: Vec<_> = keys.map(|(key, queue)| (queue.len(), key.clone())).collect();
        keys.sort();
        keys.into_iter().rev().find_map(|(_, key)| {
            let (victim, backlog) = self.shed_candidate(&key)?;
            Some((key, victim, backlog))
        })
    }

    /// Returns the request of a class that is shed first, and the length of its organisation's
    /// queue. The only request of a class and preempted requests are never shed.
    fn shed_candidate(&self, key: &QueueKey) -> Option<(super::RequestKey, usize)> {
        let queue = self.queues.get(key).filter(|queue| queue.len() > 1)?;
        queue.longest_queues().find_map(|(backlog, organisation)| {
            let tail = queue.tail(organisation)?;
            let row = self.requests.get(tail)?;
            (!row.demand.preempted).then(|| (tail.clone(), backlog))
        })
    }
}
