//! Limits that replicas name in their responses, as this node knows them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::limits::{LimitLedger, LimitNotice, LimitStatement, ProcessId};
use berylstep_core::fleet::replica::ReplicaRow;
use berylstep_wire::ReplicaLimit;

use crate::clock::RuntimeClock;
use crate::gateway::mirror::StoreMirror;

/// Limits of replicas, from this node's responses and from its peers.
#[derive(Debug)]
pub struct LimitWatch {
    clock: RuntimeClock,
    mirror: Rc<StoreMirror>,
    ledger: RefCell<LimitLedger>,
}

/// Returns the identity of the process that published a replica's entry.
pub fn process_of(row: &ReplicaRow) -> ProcessId {
    ProcessId { replica: row.hash, born: row.entry.born }
}

impl LimitWatch {
    /// Creates a watch that knows no limits.
    pub fn new(clock: RuntimeClock, mirror: Rc<StoreMirror>) -> Self {
        Self { clock, mirror, ledger: RefCell::default() }
    }

    /// Records what the response to a request that was sent at `sent_at` says about the limit of
    /// the replica `id`.
    pub fn observe(&self, id: &str, statement: LimitStatement, sent_at: Duration) {
        let replicas = self.mirror.replicas.borrow();
        let Some(process) = replicas.get(id).map(process_of) else { return };
        let now = self.clock.now();
        let changed = self.ledger.borrow_mut().observe(process, statement, sent_at, now);
        if let Some(notice) = changed {
            log_change(id, &notice, "response");
            self.mirror.changed.notify();
        }
    }

    /// Applies the notices of a peer.
    pub fn apply(&self, limits: &[ReplicaLimit]) {
        let now = self.clock.now();
        for notice in limits.iter().map(read_limit) {
            if !self.ledger.borrow_mut().apply(notice, now) {
                continue;
            }
            let replicas = self.mirror.replicas.borrow();
            let mut rows = replicas.rows();
            let row = rows.find(|row| process_of(row) == notice.process);
            log_change(row.map_or("-", |row| &row.entry.id), &notice, "peer");
            self.mirror.changed.notify();
        }
    }

    /// Returns the limits to announce; with `all`, also those in force for long.
    pub fn notices(&self, all: bool) -> Vec<ReplicaLimit> {
        let notices = self.ledger.borrow().notices(all, self.clock.now()).into_iter();
        notices.map(limit_message).collect()
    }

    /// Returns what is known of the limit of a process.
    pub fn notice(&self, process: ProcessId) -> Option<LimitNotice> {
        self.ledger.borrow().notice(process)
    }

    /// Returns the limit of the replica `id` in requests per second; `None` if it has none.
    pub fn rate(&self, id: &str) -> Option<f64> {
        let replicas = self.mirror.replicas.borrow();
        self.ledger.borrow().rate(replicas.get(id).map(process_of)?)
    }

    /// Returns the number of replicas with a limit.
    pub fn limited_replicas(&self) -> i64 {
        self.ledger.borrow().limited_replicas() as i64
    }

    /// Drops what is known of replicas that are no longer in the list.
    pub fn expire(&self) {
        let replicas = self.mirror.replicas.borrow();
        let listed: Vec<_> = replicas.rows().map(process_of).collect();
        self.ledger.borrow_mut().expire(|process| listed.contains(&process), self.clock.now());
    }
}

/// Converts a limit to its message.
pub fn limit_message(notice: LimitNotice) -> ReplicaLimit {
    ReplicaLimit {
        replica: notice.process.replica,
        born: notice.process.born,
        version: notice.version,
        per_second: notice.rate.unwrap_or_default(),
    }
}

/// Reads a limit from its message; a rate that is not a positive number stands for none.
pub fn read_limit(message: &ReplicaLimit) -> LimitNotice {
    let rate = message.per_second;
    LimitNotice {
        process: ProcessId { replica: message.replica, born: message.born },
        version: message.version,
        rate: Some(rate).filter(|rate| rate.is_finite() && *rate > 0.0),
    }
}

fn log_change(id: &str, notice: &LimitNotice, source: &str) {
    let (version, rate) = (notice.version, notice.rate);
    match rate {
        Some(rate) => log::info!(
            "event=replica_limited replica={id} per_second={rate} version={version} source={source}"
        ),
        None => {
            log::info!("event=replica_unlimited replica={id} version={version} source={source}")
        }
    }
}
