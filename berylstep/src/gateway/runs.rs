//! Requests of this node that are or may be running at replicas.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::HashSet;
use berylstep_core::fleet::runs::{RunReport, RunTable};

use crate::clock::RuntimeClock;
use crate::gateway::notifier::ChangeNotifier;

/// Counts the requests that this node has at each replica.
#[derive(Debug)]
pub struct RunWatch {
    clock: RuntimeClock,
    table: RefCell<RunTable>,
    /// Hashes of the replicas whose changes are reported at once.
    watched: RefCell<HashSet<u32>>,
    changed: RefCell<HashSet<u32>>,
    wake: ChangeNotifier,
}

impl RunWatch {
    /// Creates a watch without requests.
    pub fn new(clock: RuntimeClock) -> Self {
        Self {
            clock,
            table: RefCell::default(),
            watched: RefCell::default(),
            changed: RefCell::default(),
            wake: ChangeNotifier::default(),
        }
    }

    /// Records a request that goes to a replica, until the guard is dropped. `deadline` ends it there.
    pub fn begin(self: &Rc<Self>, replica: u32, deadline: Duration) -> RunGuard {
        let number = self.table.borrow_mut().begin(replica, deadline, self.clock.now());
        self.guard(replica, number)
    }

    /// Records a request that a slot is asked for, until the guard is dropped.
    pub fn ask(self: &Rc<Self>, replica: u32, deadline: Duration) -> RunGuard {
        let number = self.table.borrow_mut().ask(replica, deadline, self.clock.now());
        self.guard(replica, number)
    }

    fn guard(self: &Rc<Self>, replica: u32, number: u64) -> RunGuard {
        RunGuard { watch: self.clone(), replica, number, is_finished: Cell::new(false) }
    }

    /// Returns the number of requests that take a slot of a replica.
    pub fn running(&self, replica: u32) -> u32 {
        self.table.borrow().running(replica, self.clock.now())
    }

    /// Returns all that this node has at a replica.
    pub fn report(&self, replica: u32) -> RunReport {
        self.table.borrow_mut().report(replica, self.clock.now())
    }

    /// Returns the replicas that this node has requests at, or had lately.
    pub fn busy_replicas(&self) -> Vec<u32> {
        self.table.borrow().busy_replicas(self.clock.now())
    }

    /// Sets the replicas whose changes are reported at once.
    pub fn watch(&self, replicas: HashSet<u32>) {
        *self.watched.borrow_mut() = replicas;
    }

    /// Waits for changes at watched replicas, for at most `timeout`, and returns these replicas.
    pub async fn wait_for_changes(&self, timeout: Duration) -> HashSet<u32> {
        self.wake.wait(&self.clock, timeout).await;
        std::mem::take(&mut *self.changed.borrow_mut())
    }

    /// Has a replica's requests reported if it is watched.
    pub fn mark_changed(&self, replica: u32) {
        if self.watched.borrow().contains(&replica) {
            self.changed.borrow_mut().insert(replica);
            self.wake.notify();
        }
    }

    /// Drops what is known of replicas that are no longer in the list.
    pub fn expire(&self, is_listed: impl Fn(u32) -> bool) {
        self.table.borrow_mut().expire(is_listed, self.clock.now());
    }
}

/// A request at a replica. Dropped before it has finished, it may go on there.
#[derive(Debug)]
pub struct RunGuard {
    watch: Rc<RunWatch>,
    replica: u32,
    number: u64,
    is_finished: Cell<bool>,
}

impl RunGuard {
    /// Returns the number of the run at this node.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Records that the run has got the slot that it asked for.
    pub fn start(&self) {
        let now = self.watch.clock.now();
        self.watch.table.borrow_mut().start(self.replica, self.number, now);
    }

    /// Records that the request has ended at the replica, or was not sent.
    pub fn finish(&self) {
        self.is_finished.set(true);
        let now = self.watch.clock.now();
        self.watch.table.borrow_mut().finish(self.replica, self.number, now);
        self.watch.mark_changed(self.replica);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_finished.get() {
            let now = self.watch.clock.now();
            self.watch.table.borrow_mut().abandon(self.replica, self.number, now);
            self.watch.mark_changed(self.replica);
        }
    }
}
