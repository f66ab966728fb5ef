//! Order of service: strict by tier, least slack among classes, with a guaranteed rate for each.

use std::time::Duration;

use super::request::{RequestKey, RequestState, SlotRow};
use super::{queue_key, ArbiterDecision, PoolArbiter, QueueKey};
use crate::collections::SharedName;

/// Order of a class among those with waiting work; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClassRank {
    floor: FloorRank,
    tier: u8,
    slack: SlackRank,
}

/// Whether the guaranteed rate puts a class first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FloorRank {
    Due,
    NotDue,
}

/// Order by the time at which the latency target is missed; once missed, after all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SlackRank {
    Ahead(Duration),
    Missed(Duration),
}

/// A grant that is about to be made.
#[derive(Clone, Debug)]
struct NextGrant {
    key: RequestKey,
    replica: SharedName,
    floor: bool,
}

impl PoolArbiter {
    /// Grants free slots in the order of service.
    pub(super) fn grant(&mut self, now: Duration) {
        while self.waiting > 0 && self.replicas.free(now) > 0 {
            let Some(next) = self.next_grant(now) else { break };
            self.grant_one(now, next);
        }
        if self.waiting == 0 {
            self.owed_grants = 0;
        }
    }

    /// First request in the order of service that a free replica may serve.
    fn next_grant(&self, now: Duration) -> Option<NextGrant> {
        let mut ranked: Vec<(ClassRank, &QueueKey)> =
            self.queues.keys().filter_map(|key| Some((self.rank(now, key)?, key))).collect();
        ranked.sort_unstable();
        ranked.into_iter().find_map(|(rank, key)| {
            let head = self.queues.get(key)?.head()?;
            let demand = &self.requests.get(head)?.demand;
            let replica = self.replicas.choose(now, demand)?;
            Some(NextGrant { key: head.clone(), replica, floor: rank.floor == FloorRank::Due })
        })
    }

    /// Rank of a class; `None` where nothing waits.
    fn rank(&self, now: Duration, key: &QueueKey) -> Option<ClassRank> {
        let queue = self.queues.get(key)?;
        let demand = &self.requests.get(queue.head()?)?.demand;
        // A slot freed by preemption goes to the tier that it was taken back for.
        let floor = match self.owed_grants == 0 && queue.is_floor_due(now) {
            true => FloorRank::Due,
            false => FloorRank::NotDue,
        };
        let target = demand.arrived + demand.latency_target;
        let slack = match target > now {
            true => SlackRank::Ahead(target),
            false => SlackRank::Missed(target),
        };
        Some(ClassRank { floor, tier: key.0, slack })
    }

    fn grant_one(&mut self, now: Duration, next: NextGrant) {
        let NextGrant { key, replica, floor } = next;
        let Some(row) = self.forget(&key) else { return };
        let RequestState::Waiting { place } = row.state else { return };
        self.waiting -= 1;
        self.deadlines.remove(&(row.demand.deadline, key.clone()));
        let class = queue_key(&row.demand);
        for (other, queue) in &mut self.queues {
            match *other == class {
                true => queue.serve(now, &row.demand.organisation, place, row.units),
                false => queue.note_missed_grant(),
            }
        }
        self.owed_grants = self.owed_grants.saturating_sub(1);
        let slot = SlotRow {
            replica: replica.clone(),
            since: now,
            started: false,
            recalled: false,
            floor,
        };
        self.hold(row.demand, row.units, slot);
        self.decisions.push(ArbiterDecision::Grant { key, replica });
    }
}
