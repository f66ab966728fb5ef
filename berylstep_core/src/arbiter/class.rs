//! The queue of one class: fair among organisations, first in first out within each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::request::RequestKey;
use crate::collections::{HashMap, SharedName};

/// Grants to others after which a waiting class is due one.
pub const FLOOR_GRANTS: u32 = 32;

/// Grants to others after which a class that has waited for [`FLOOR_WAIT`] is due one.
pub const FLOOR_GRANTS_SLOW: u32 = 8;

/// Wait of a class after which [`FLOOR_GRANTS_SLOW`] applies.
pub const FLOOR_WAIT: Duration = Duration::from_secs(1);

/// Waiting requests of one organisation in one class.
#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    // Tokens served, counted from the class's virtual time when the organisation became active.
    served: u64,
    // Expected tokens by place.
    waiting: BTreeMap<i64, (RequestKey, u32)>,
    waiting_units: u64,
}

/// Waiting requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    organisations: HashMap<SharedName, OrganisationQueue>,
    // Organisations with waiting work by tokens served.
    by_served: BTreeSet<(u64, SharedName)>,
    // Organisations with waiting work by length of their queue.
    by_backlog: BTreeSet<(usize, SharedName)>,
    virtual_time: u64,
    waiting: usize,
    waiting_units: u64,
    next_place: i64,
    front_place: i64,
    missed_grants: u32,
    waiting_since: Duration,
    running: usize,
}

impl ClassQueue {
    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Expected tokens of all waiting requests.
    pub fn waiting_units(&self) -> u64 {
        self.waiting_units
    }

    /// Expected tokens that are served before a new request of `organisation`, from what waits now.
    pub fn units_before(&self, organisation: &str) -> u64 {
        let own = self.organisations.get(organisation).map_or(0, |queue| queue.waiting_units);
        let active = self.by_served.len() as u64 + u64::from(own == 0);
        self.waiting_units.min(own.saturating_mul(active))
    }

    /// Waiting requests of one organisation.
    pub fn backlog(&self, organisation: &str) -> usize {
        self.organisations.get(organisation).map_or(0, |queue| queue.waiting.len())
    }

    /// Queues a request at the end of its organisation's queue, or at its head; returns its place.
    pub fn push(
        &mut self,
        now: Duration,
        organisation: &SharedName,
        request: (RequestKey, u32),
        at_head: bool,
    ) -> i64 {
        if self.is_empty() {
            self.missed_grants = 0;
            self.waiting_since = now;
        }
        let place = self.take_place(at_head);
        self.unlist(organisation);
        let virtual_time = self.virtual_time;
        let queue = self.organisations.entry(organisation.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.served = queue.served.max(virtual_time);
        }
        self.waiting += 1;
        self.waiting_units += u64::from(request.1);
        queue.waiting_units += u64::from(request.1);
        queue.waiting.insert(place, request);
        self.list(organisation);
        place
    }

    /// Request that the class serves next.
    pub fn head(&self) -> Option<&RequestKey> {
        let (_, organisation) = self.by_served.first()?;
        let queue = self.organisations.get(organisation)?;
        queue.waiting.first_key_value().map(|(_, (key, _))| key)
    }

    /// Takes a request out without serving it.
    pub fn remove(&mut self, organisation: &SharedName, place: i64) {
        self.unlist(organisation);
        if let Some(queue) = self.organisations.get_mut(organisation) {
            if let Some((_, units)) = queue.waiting.remove(&place) {
                self.waiting -= 1;
                self.waiting_units -= u64::from(units);
                queue.waiting_units -= u64::from(units);
            }
        }
        self.list(organisation);
    }

    /// Takes a request out and charges its organisation with its expected tokens.
    pub fn serve(&mut self, now: Duration, organisation: &SharedName, place: i64, units: u32) {
        self.remove(organisation, place);
        self.unlist(organisation);
        if let Some(queue) = self.organisations.get_mut(organisation) {
            self.virtual_time = self.virtual_time.max(queue.served);
            queue.served += u64::from(units);
        }
        self.list(organisation);
        self.running += 1;
        self.missed_grants = 0;
        self.waiting_since = now;
    }

    /// Counts a slot that was granted elsewhere.
    pub fn adopt(&mut self) {
        self.running += 1;
    }

    /// Ends the use of a slot: corrects the organisation's charge by the actual tokens.
    pub fn correct(&mut self, organisation: &SharedName, charged: u32, actual: u32) {
        self.running = self.running.saturating_sub(1);
        self.unlist(organisation);
        let queue = self.organisations.entry(organisation.clone()).or_default();
        queue.served = (queue.served + u64::from(actual)).saturating_sub(u64::from(charged));
        self.list(organisation);
    }

    /// Counts a grant to another class.
    pub fn note_missed_grant(&mut self) {
        if !self.is_empty() {
            self.missed_grants = self.missed_grants.saturating_add(1);
        }
    }

    /// Whether the class is due a grant by its guaranteed rate.
    pub fn is_floor_due(&self, now: Duration) -> bool {
        let waited = now.saturating_sub(self.waiting_since) >= FLOOR_WAIT;
        let slow_due = waited && self.missed_grants >= FLOOR_GRANTS_SLOW;
        !self.is_empty() && (slow_due || self.missed_grants >= FLOOR_GRANTS)
    }

    /// Organisations from the longest queue down, with the length of their queue.
    pub fn longest_queues(&self) -> impl Iterator<Item = (usize, &SharedName)> {
        self.by_backlog.iter().rev().map(|(backlog, organisation)| (*backlog, organisation))
    }

    /// Request at the end of an organisation's queue.
    pub fn tail(&self, organisation: &str) -> Option<&RequestKey> {
        let queue = self.organisations.get(organisation)?;
        queue.waiting.last_key_value().map(|(_, (key, _))| key)
    }

    /// Forgets organisations whose charge no longer matters: all once nothing waits or runs.
    pub fn forget_idle(&mut self) {
        let idle = self.waiting == 0 && self.running == 0;
        let virtual_time = self.virtual_time;
        self.organisations.retain(|_, queue| {
            let in_debt = !idle && queue.served > virtual_time;
            !queue.waiting.is_empty() || in_debt
        });
    }

    /// Whether the queue may be dropped.
    pub fn is_forgettable(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// Organisations with waiting work or a charge.
    pub fn organisations(&self) -> usize {
        self.organisations.len()
    }

    fn take_place(&mut self, at_head: bool) -> i64 {
        if at_head {
            self.front_place -= 1;
            return self.front_place;
        }
        self.next_place += 1;
        self.next_place
    }

    fn list(&mut self, organisation: &SharedName) {
        let Some(queue) = self.organisations.get(organisation) else { return };
        if queue.waiting.is_empty() {
            return;
        }
        self.by_served.insert((queue.served, organisation.clone()));
        self.by_backlog.insert((queue.waiting.len(), organisation.clone()));
    }

    fn unlist(&mut self, organisation: &SharedName) {
        let Some(queue) = self.organisations.get(organisation) else { return };
        self.by_served.remove(&(queue.served, organisation.clone()));
        self.by_backlog.remove(&(queue.waiting.len(), organisation.clone()));
    }
}
