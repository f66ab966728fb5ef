//! Grant order: strict priority by tier, then the class with the earliest latency target. A
//! guaranteed rate keeps each class from starving.

use std::time::Duration;

use super::request::{RequestKey, RequestState, SlotRow};
use super::{queue_key, ArbiterDecision, PoolArbiter, QueueKey};
use crate::collections::SharedName;

/// Sort key of a class with waiting requests. The lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClassRank {
    guarantee: GuaranteeRank,
    tier: u8,
    slack: SlackRank,
}

/// Whether a class is served ahead of all tiers by its guaranteed rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum GuaranteeRank {
    Due,
    NotDue,
}

/// Sorts by the time of the latency target. Missed targets sort after all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SlackRank {
    Ahead(Duration),
    Missed(Duration),
}

/// Next grant in order, not yet applied.
#[derive(Clone, Debug)]
struct NextGrant {
    key: RequestKey,
    replica: SharedName,
    guaranteed: bool,
}

impl PoolArbiter {
    /// Grants free slots in grant order.
    pub(super) fn grant(&mut self, now: Duration) {
        while self.waiting > 0 && self.replicas.free(now) > 0 {
            let Some(next) = self.next_grant(now) else { break };
            self.grant_one(now, next);
        }
        if self.waiting == 0 {
            self.preemption_credits = 0;
        }
    }

    /// Returns the first request in grant order that a free replica may serve.
    fn next_grant(&self, now: Duration) -> Option<NextGrant> {
        let mut ranked: Vec<(ClassRank, &QueueKey)> =
            self.queues.keys().filter_map(|key| Some((self.rank(now, key)?, key))).collect();
        ranked.sort_unstable();
        ranked.into_iter().find_map(|(rank, key)| {
            let head = self.queues.get(key)?.head()?;
            let demand = &self.requests.get(head)?.demand;
            let replica = self.replicas.select(now, demand)?;
            Some(NextGrant {
                key: head.clone(),
                replica,
                guaranteed: rank.guarantee == GuaranteeRank::Due,
            })
        })
    }

    /// Returns the rank of a class, or `None` if nothing waits.
    fn rank(&self, now: Duration, key: &QueueKey) -> Option<ClassRank> {
        let queue = self.queues.get(key)?;
        let demand = &self.requests.get(queue.head()?)?.demand;
        // A slot freed by preemption goes to the tier that caused the preemption.
        let guarantee = match self.preemption_credits == 0 && queue.is_guarantee_due(now) {
            true => GuaranteeRank::Due,
            false => GuaranteeRank::NotDue,
        };
        let target = demand.arrived + demand.latency_target;
        let slack = match target > now {
            true => SlackRank::Ahead(target),
            false => SlackRank::Missed(target),
        };
        Some(ClassRank { guarantee, tier: key.0, slack })
    }

    fn grant_one(&mut self, now: Duration, next: NextGrant) {
        let NextGrant { key, replica, guaranteed } = next;
        let Some(row) = self.remove_request(&key) else { return };
        let RequestState::Waiting { position } = row.state else { return };
        self.waiting -= 1;
        self.deadlines.remove(&(row.demand.deadline, key.clone()));
        let class = queue_key(&row.demand);
        for (other, queue) in &mut self.queues {
            match *other == class {
                true => queue.serve(now, &row.demand.organisation, position, row.tokens),
                false => queue.record_missed_grant(),
            }
        }
        self.preemption_credits = self.preemption_credits.saturating_sub(1);
        let slot = SlotRow {
            replica: replica.clone(),
            since: now,
            started: false,
            recalled: false,
            guaranteed,
        };
        self.insert_running(row.demand, row.tokens, slot);
        self.decisions.push(ArbiterDecision::Grant { key, replica });
    }
}
