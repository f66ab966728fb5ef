//! Queue of one class: fair queueing among organisations, FIFO within each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::request::RequestKey;
use crate::collections::{HashMap, SharedName};

/// Grants to other classes after which a waiting class must be served.
pub const MAX_MISSED_GRANTS: u32 = 32;

/// Grants to other classes after which a class must be served once it has waited for
/// [`STARVATION_WAIT`].
pub const MAX_MISSED_GRANTS_AFTER_WAIT: u32 = 8;

/// Time without a grant after which [`MAX_MISSED_GRANTS_AFTER_WAIT`] applies to a class.
pub const STARVATION_WAIT: Duration = Duration::from_secs(1);

/// FIFO queue of one organisation in one class.
#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    // Tokens served, counted from the class's virtual time at which the organisation became active.
    served: u64,
    // Requests and their expected tokens by position.
    waiting: BTreeMap<i64, (RequestKey, u32)>,
    waiting_tokens: u64,
}

/// Fair queue over the organisations of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    organisations: HashMap<SharedName, OrganisationQueue>,
    // Organisations with waiting requests, ordered by tokens served.
    by_served: BTreeSet<(u64, SharedName)>,
    // Organisations with waiting requests, ordered by queue length.
    by_backlog: BTreeSet<(usize, SharedName)>,
    virtual_time: u64,
    waiting: usize,
    waiting_tokens: u64,
    tail_position: i64,
    head_position: i64,
    missed_grants: u32,
    waiting_since: Duration,
    running: usize,
}

impl ClassQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the expected tokens of all waiting requests.
    pub fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    /// Estimates the tokens of waiting requests that are served before a new request of
    /// `organisation`.
    pub fn tokens_before(&self, organisation: &str) -> u64 {
        let own = self.organisations.get(organisation).map_or(0, |queue| queue.waiting_tokens);
        let active = self.by_served.len() as u64 + u64::from(own == 0);
        self.waiting_tokens.min(own.saturating_mul(active))
    }

    /// Returns the number of waiting requests of one organisation.
    pub fn backlog(&self, organisation: &str) -> usize {
        self.organisations.get(organisation).map_or(0, |queue| queue.waiting.len())
    }

    /// Inserts a request at the end of its organisation's queue, or at its head. Returns its
    /// position.
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
        let position = self.allocate_position(at_head);
        self.unindex(organisation);
        let virtual_time = self.virtual_time;
        let queue = self.organisations.entry(organisation.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.served = queue.served.max(virtual_time);
        }
        self.waiting += 1;
        self.waiting_tokens += u64::from(request.1);
        queue.waiting_tokens += u64::from(request.1);
        queue.waiting.insert(position, request);
        self.index(organisation);
        position
    }

    /// Returns the request that is served next.
    pub fn head(&self) -> Option<&RequestKey> {
        let (_, organisation) = self.by_served.first()?;
        let queue = self.organisations.get(organisation)?;
        queue.waiting.first_key_value().map(|(_, (key, _))| key)
    }

    /// Removes a request without serving it.
    pub fn remove(&mut self, organisation: &SharedName, position: i64) {
        self.unindex(organisation);
        if let Some(queue) = self.organisations.get_mut(organisation) {
            if let Some((_, tokens)) = queue.waiting.remove(&position) {
                self.waiting -= 1;
                self.waiting_tokens -= u64::from(tokens);
                queue.waiting_tokens -= u64::from(tokens);
            }
        }
        self.index(organisation);
    }

    /// Removes a request that is granted a slot, and charges its organisation the expected tokens.
    pub fn serve(&mut self, now: Duration, organisation: &SharedName, position: i64, tokens: u32) {
        self.remove(organisation, position);
        self.unindex(organisation);
        if let Some(queue) = self.organisations.get_mut(organisation) {
            self.virtual_time = self.virtual_time.max(queue.served);
            queue.served += u64::from(tokens);
        }
        self.index(organisation);
        self.running += 1;
        self.missed_grants = 0;
        self.waiting_since = now;
    }

    /// Counts a running request that another node granted.
    pub fn adopt(&mut self) {
        self.running += 1;
    }

    /// Ends the use of a slot: replaces the charged tokens by the actual ones.
    pub fn settle_charge(&mut self, organisation: &SharedName, charged: u32, actual: u32) {
        self.running = self.running.saturating_sub(1);
        self.unindex(organisation);
        let queue = self.organisations.entry(organisation.clone()).or_default();
        queue.served = (queue.served + u64::from(actual)).saturating_sub(u64::from(charged));
        self.index(organisation);
    }

    /// Counts a grant to another class while this one waits.
    pub fn record_missed_grant(&mut self) {
        if !self.is_empty() {
            self.missed_grants = self.missed_grants.saturating_add(1);
        }
    }

    /// Returns whether the class is due a grant by its guaranteed rate, which prevents starvation.
    pub fn is_guarantee_due(&self, now: Duration) -> bool {
        let waited = now.saturating_sub(self.waiting_since) >= STARVATION_WAIT;
        let slow_due = waited && self.missed_grants >= MAX_MISSED_GRANTS_AFTER_WAIT;
        !self.is_empty() && (slow_due || self.missed_grants >= MAX_MISSED_GRANTS)
    }

    /// Returns queue lengths and organisations, the longest queue first.
    pub fn longest_queues(&self) -> impl Iterator<Item = (usize, &SharedName)> {
        self.by_backlog.iter().rev().map(|(backlog, organisation)| (*backlog, organisation))
    }

    /// Returns the last request of an organisation's queue.
    pub fn tail(&self, organisation: &str) -> Option<&RequestKey> {
        let queue = self.organisations.get(organisation)?;
        queue.waiting.last_key_value().map(|(_, (key, _))| key)
    }

    /// Removes organisations that have nothing waiting and no charge above the virtual time. An
    /// idle class drops all charges.
    pub fn evict_idle(&mut self) {
        let idle = self.waiting == 0 && self.running == 0;
        let virtual_time = self.virtual_time;
        self.organisations.retain(|_, queue| {
            let in_debt = !idle && queue.served > virtual_time;
            !queue.waiting.is_empty() || in_debt
        });
    }

    /// Returns whether the queue is idle and may be removed.
    pub fn is_removable(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// Returns the number of organisations with waiting requests or a charge.
    pub fn organisation_count(&self) -> usize {
        self.organisations.len()
    }

    fn allocate_position(&mut self, at_head: bool) -> i64 {
        if at_head {
            self.head_position -= 1;
            return self.head_position;
        }
        self.tail_position += 1;
        self.tail_position
    }

    fn index(&mut self, organisation: &SharedName) {
        let Some(queue) = self.organisations.get(organisation) else { return };
        if queue.waiting.is_empty() {
            return;
        }
        self.by_served.insert((queue.served, organisation.clone()));
        self.by_backlog.insert((queue.waiting.len(), organisation.clone()));
    }

    fn unindex(&mut self, organisation: &SharedName) {
        let Some(queue) = self.organisations.get(organisation) else { return };
        self.by_served.remove(&(queue.served, organisation.clone()));
        self.by_backlog.remove(&(queue.waiting.len(), organisation.clone()));
    }
}
