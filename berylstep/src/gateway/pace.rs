//! Paces of replicas, and whether the deployment calls for decisions that follow them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::pace::{LoadStatement, PaceLedger};
use berylstep_core::fleet::replica::ReplicaRow;

use crate::clock::RuntimeClock;
use crate::gateway::limits::process_of;
use crate::gateway::mirror::StoreMirror;

/// Paces of replicas, from the responses that this node receives and from its peers.
#[derive(Debug)]
pub struct PaceWatch {
    clock: RuntimeClock,
    mirror: Rc<StoreMirror>,
    /// Whether the settings say that callers compete for room.
    is_contended: bool,
    ledger: RefCell<PaceLedger>,
}

impl PaceWatch {
    /// Creates a watch that knows no paces.
    pub fn new(clock: RuntimeClock, mirror: Rc<StoreMirror>, is_contended: bool) -> Self {
        Self { clock, mirror, is_contended, ledger: RefCell::default() }
    }

    /// Records what the response to a request that was sent at `sent_at` says about the replica `id`.
    pub fn observe(&self, id: &str, statement: LoadStatement, sent_at: Duration) {
        let replicas = self.mirror.replicas.borrow();
        let Some(process) = replicas.get(id).map(process_of) else { return };
        let mut ledger = self.ledger.borrow_mut();
        ledger.observe_statement(process, statement, sent_at, self.clock.now());
    }

    /// Returns the pace that a request which is sent to a replica now is expected to meet.
    pub fn expected_pace(&self, row: &ReplicaRow) -> f64 {
        self.ledger.borrow().expected_pace(process_of(row), self.clock.now())
    }

    /// Returns whether replicas of the deployment differ in pace, which some of them state.
    pub fn is_uneven(&self) -> bool {
        self.ledger.borrow().has_statements()
    }

    /// Returns whether callers compete for too little room, by the settings.
    pub fn is_contended(&self) -> bool {
        self.is_contended
    }
}
