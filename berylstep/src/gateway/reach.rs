//! Whether this node reaches the replicas of each service, and tries that find out.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashSet, SharedName};
use berylstep_core::fleet::origins::service_hash;
use berylstep_core::fleet::reach::{ReachChange, ReachLedger};
use futures_util::future::join_all;
use smol::io::AsyncReadExt;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::notifier::ChangeNotifier;
use crate::gateway::request::RequestHandler;

/// Interval at which a node that is cut off tries to reach the replicas again.
const TRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a node looks for suspicions, in case it missed a notification.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of replicas that are tried at once.
const TRIED_REPLICAS: usize = 3;

/// Time for which a new connection must stay open; a firewall may accept and reset it.
const OPEN_TIME: Duration = Duration::from_millis(50);

/// What this node knows of its own paths to the replicas.
#[derive(Debug)]
pub struct ReachWatch {
    clock: RuntimeClock,
    mirror: Rc<StoreMirror>,
    ledger: RefCell<ReachLedger>,
    suspected: RefCell<HashSet<SharedName>>,
    wake: ChangeNotifier,
}

impl ReachWatch {
    /// Creates a watch that takes all services for reachable.
    pub fn new(clock: RuntimeClock, mirror: Rc<StoreMirror>) -> Self {
        Self {
            clock,
            mirror,
            ledger: RefCell::default(),
            suspected: RefCell::default(),
            wake: ChangeNotifier::default(),
        }
    }

    /// Returns whether this node is cut off from a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.ledger.borrow().is_cut_off(service)
    }

    /// Returns the hashes of the services that this node is cut off from.
    pub fn unreachable(&self) -> Vec<u32> {
        self.ledger.borrow().unreachable().iter().map(|service| service_hash(service)).collect()
    }

    /// Records that a new connection to a replica failed before it carried a response.
    pub fn record_failure(&self, service: &SharedName, replica: &SharedName) {
        self.record_try_failure(service, replica);
        self.suspect(service);
    }

    fn record_try_failure(&self, service: &SharedName, replica: &SharedName) {
        let replicas = self.mirror.replicas.borrow().ready(service).count();
        let now = self.clock.now();
        let change = self.ledger.borrow_mut().record_failure(service, replica, replicas, now);
        self.apply(service, change);
    }

    /// Records that a new connection to a replica of the service was opened.
    fn record_open(&self, service: &SharedName) {
        let change = self.ledger.borrow_mut().record_open(service);
        self.apply(service, change);
    }

    /// Records that a request that was sent to a replica at `sent_at` got no response, and has new
    /// connections to the service tried.
    pub fn record_loss(&self, service: &SharedName, replica: &SharedName, sent_at: Duration) {
        let now = self.clock.now();
        let change = self.ledger.borrow_mut().record_loss(service, replica, sent_at, now);
        self.apply(service, change);
        self.suspect(service);
    }

    /// Records a response of a replica of the service; `is_new` tells whether its connection was opened for
    /// the request.
    pub fn record_response(&self, service: &SharedName, is_new: bool) {
        let now = self.clock.now();
        let change = self.ledger.borrow_mut().record_response(service, is_new, now);
        self.apply(service, change);
    }

    /// Returns whether a request is to be tried at a service that this node is cut off from.
    pub fn admits_trial(&self, service: &str, is_repeatable: bool) -> bool {
        self.ledger.borrow_mut().admits_trial(service, is_repeatable, self.clock.now())
    }

    /// Has new connections to the service tried, because an old one was silent or broke.
    fn suspect(&self, service: &SharedName) {
        if self.suspected.borrow_mut().insert(service.clone()) {
            self.wake.notify();
        }
    }

    fn apply(&self, service: &SharedName, change: Option<ReachChange>) {
        match change {
            Some(ReachChange::CutOff) => log::warn!("event=cut_off service={service}"),
            Some(ReachChange::Reached) => log::info!("event=reached_again service={service}"),
            None => return,
        }
        // The other nodes learn it with the next pulse.
        self.mirror.changed.notify();
    }

    /// Waits until services must be tried, and returns them.
    async fn next_services(&self) -> HashSet<SharedName> {
        let cut_off = self.ledger.borrow().unreachable();
        let wait = if cut_off.is_empty() { IDLE_INTERVAL } else { TRY_INTERVAL };
        self.wake.wait(&self.clock, wait).await;
        let mut services = self.suspected.take();
        services.extend(cut_off);
        services
    }

    /// Returns some replicas of a service.
    fn targets(&self, service: &str) -> Vec<ReplicaTarget> {
        let replicas = self.mirror.replicas.borrow();
        let ready = replicas.ready(service).map(|row| ReplicaTarget::new(row, None));
        fastrand::choose_multiple(ready, TRIED_REPLICAS)
    }
}

impl RequestHandler {
    /// Tries to reach services that this node may be cut off from, for as long as it runs.
    pub async fn watch_reach(self: Rc<Self>) {
        loop {
            for service in self.reach.next_services().await {
                let targets = self.reach.targets(&service);
                join_all(targets.iter().map(|target| self.try_replica(&service, target))).await;
                if self.reach.is_cut_off(&service) {
                    self.drop_connections(&service);
                }
            }
            self.clock.sleep(TRY_INTERVAL / 10).await;
        }
    }

    /// Opens a connection to a replica, which carries no request.
    async fn try_replica(&self, service: &SharedName, target: &ReplicaTarget) {
        let is_open = match self.upstreams.open(target.address).await {
            Ok(mut stream) => {
                let mut byte = [0];
                let closed = self.clock.timeout(OPEN_TIME, stream.read(&mut byte)).await;
                matches!(closed, None | Some(Ok(1)))
            }
            Err(_) => false,
        };
        match is_open {
            true => self.reach.record_open(service),
            false => self.reach.record_try_failure(service, &target.id),
        }
    }

    /// Closes idle connections to the replicas of a service, which may have gone silent.
    fn drop_connections(&self, service: &str) {
        let replicas = self.mirror.replicas.borrow();
        replicas.ready(service).for_each(|row| self.upstreams.close_idle(row.entry.address));
    }
}
