//! Brittle replicas, as this node knows them, and its share of their slots.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::brittle::{slot_share, BrittleLedger, BrittleStatement};
use berylstep_core::fleet::replica::ReplicaRow;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::limits::process_of;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::request::{AttemptHistory, RequestHandler, RoutedRequest};

/// Time for which a share is used before it is computed again.
const SHARE_LIFETIME: Duration = Duration::from_millis(500);

/// Interval at which a request that waits looks for room.
const ROOM_INTERVAL: Duration = Duration::from_millis(4);

/// Parts of a request's latency target and of its time left for which it waits for room at most.
const WAIT_TARGETS: f64 = 0.5;
const WAIT_TIME_LEFT: f64 = 0.25;

/// Knows which replicas are brittle, and how many requests this node may have there.
#[derive(Debug)]
pub struct BrittleWatch {
    clock: RuntimeClock,
    node: SharedName,
    mirror: Rc<StoreMirror>,
    peers: Rc<PeerTable>,
    ledger: RefCell<BrittleLedger>,
    /// Shares by hash of the replica, with the times at which they were computed.
    shares: RefCell<HashMap<u32, (u32, Duration)>>,
}

impl BrittleWatch {
    /// Creates a watch that knows no brittle replica.
    pub fn new(
        clock: RuntimeClock,
        node: SharedName,
        mirror: Rc<StoreMirror>,
        peers: Rc<PeerTable>,
    ) -> Self {
        let (ledger, shares) = (RefCell::default(), RefCell::default());
        Self { clock, node, mirror, peers, ledger, shares }
    }

    /// Records what the response of the replica `id` says.
    pub fn observe(&self, id: &str, statement: BrittleStatement) {
        let replicas = self.mirror.replicas.borrow();
        let Some(process) = replicas.get(id).map(process_of) else { return };
        if !self.ledger.borrow_mut().observe(process, statement) {
            return;
        }
        match statement {
            BrittleStatement::Tolerates(rejections) => {
                log::info!("event=replica_brittle replica={id} rejections_per_s={rejections}");
            }
            BrittleStatement::Sound | BrittleStatement::Unsaid => {
                log::info!("event=replica_sound replica={id}");
            }
        }
    }

    /// Returns whether the replica `id` is known to be brittle.
    pub fn is_brittle(&self, id: &str) -> bool {
        let replicas = self.mirror.replicas.borrow();
        let process = replicas.get(id).map(process_of);
        process.is_some_and(|process| self.ledger.borrow().tolerated(process).is_some())
    }

    /// Records that the replica `id` turned a request away for want of room.
    pub fn record_rejection(&self, id: &str) {
        let replicas = self.mirror.replicas.borrow();
        let Some(process) = replicas.get(id).map(process_of) else { return };
        let nodes = self.peers.peak_nodes();
        self.ledger.borrow_mut().record_rejection(process, nodes, self.clock.now());
    }

    /// Returns the replicas of a service that must get no further request from this node now.
    fn full_replicas(&self, service: &str) -> Vec<SharedName> {
        let now = self.clock.now();
        let replicas = self.mirror.replicas.borrow();
        let ledger = self.ledger.borrow();
        let is_brittle = |row: &&ReplicaRow| ledger.tolerated(process_of(row)).is_some();
        let brittle = replicas.ready(service).filter(is_brittle);
        let shares: Vec<_> = brittle.map(|row| (row, self.share(row, now))).collect();
        // Where a service has fewer slots than there are nodes, one request at a time is tried.
        let least = u32::from(shares.iter().all(|(_, share)| *share == 0));
        let full = shares.into_iter().filter(|(row, share)| {
            !ledger.has_room(process_of(row), (*share).max(least), row.own.requests, now)
        });
        full.map(|(row, _)| row.entry.id.clone()).collect()
    }

    /// Returns the number of requests that this node may have at a replica.
    fn share(&self, row: &ReplicaRow, now: Duration) -> u32 {
        let mut shares = self.shares.borrow_mut();
        if let Some((share, at)) = shares.get(&row.hash) {
            if now.saturating_sub(*at) < SHARE_LIFETIME {
                return *share;
            }
        }
        let nodes = self.peers.nodes(now);
        let others: Vec<_> =
            nodes.iter().filter(|node| !node.leaving).map(|node| &*node.node).collect();
        let fleet = self.peers.peak_nodes().min(nodes.len() + 1).max(self.known_fleet(now));
        let share = slot_share(row.entry.slots, &row.entry.id, &self.node, &others, fleet);
        shares.insert(row.hash, (share, now));
        share
    }

    /// Returns the number of live nodes of the fleet, including those that this node doesn't know.
    fn known_fleet(&self, now: Duration) -> usize {
        match self.peers.is_representative(now) {
            true => 0,
            false => self.peers.peak_nodes(),
        }
    }

    /// Drops what is known of replicas that are no longer in the list.
    pub fn expire(&self) {
        let replicas = self.mirror.replicas.borrow();
        let listed: Vec<_> = replicas.rows().map(process_of).collect();
        self.ledger.borrow_mut().expire(|process| listed.contains(&process));
        let now = self.clock.now();
        self.shares.borrow_mut().retain(|_, (_, at)| now.saturating_sub(*at) < SHARE_LIFETIME);
    }
}

impl RequestHandler {
    /// Places a request where this node has room, and waits for it for a short time if all replicas
    /// that would do are brittle and full.
    pub(super) async fn claim_room(
        &self,
        request: &RoutedRequest<'_>,
        history: &mut AttemptHistory,
    ) -> Option<ReplicaTarget> {
        let now = self.clock.now();
        let time_left = request.deadline.saturating_sub(now).mul_f64(WAIT_TIME_LEFT);
        let until = now + request.route.target.mul_f64(WAIT_TARGETS).min(time_left);
        loop {
            let full = self.brittle.full_replicas(&request.service);
            let tried = history.tried.len();
            history.tried.extend(full.iter().cloned());
            let claimed = self.claim_replica(request, history).await;
            history.tried.truncate(tried);
            let may_free_up = full.iter().any(|id| !history.tried.contains(id));
            if claimed.is_some() || !may_free_up || self.clock.now() >= until {
                return claimed;
            }
            self.clock.sleep(ROOM_INTERVAL).await;
        }
    }
}
