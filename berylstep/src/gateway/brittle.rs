//! Brittle replicas, as this node knows them, and the way of its requests to a slot there.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::brittle::{slot_share, BrittleLedger, BrittleStatement, SlotSource};
use berylstep_core::fleet::limits::{LimitNotice, ProcessId};
use berylstep_core::fleet::replica::ReplicaRow;
use berylstep_wire::ReplicaBrittleness;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::limits::process_of;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::request::{AttemptHistory, RequestHandler, RoutedRequest};
use crate::gateway::runs::RunWatch;
use crate::gateway::slots::SlotClaim;

/// Time for which a share is used before it is computed again.
const SHARE_LIFETIME: Duration = Duration::from_millis(500);

/// Interval at which a request that waits looks for room in this node's shares.
const ROOM_INTERVAL: Duration = Duration::from_millis(4);

/// Parts of a request's latency target and of its time left for which it waits for room at most.
const WAIT_TARGETS: f64 = 0.5;
const WAIT_TIME_LEFT: f64 = 0.25;

/// Number of replicas that are asked about for one request before it waits for a slot.
const MAX_ASKS: usize = 3;

/// Knows which replicas are brittle, and this node's share of their slots.
#[derive(Debug)]
pub struct BrittleWatch {
    clock: RuntimeClock,
    started_at: Duration,
    node: SharedName,
    mirror: Rc<StoreMirror>,
    peers: Rc<PeerTable>,
    runs: Rc<RunWatch>,
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
        runs: Rc<RunWatch>,
    ) -> Self {
        let (ledger, shares) = (RefCell::default(), RefCell::default());
        let started_at = clock.now();
        Self { clock, started_at, node, mirror, peers, runs, ledger, shares }
    }

    /// Records what the response of the replica `id` to a request that was sent at `sent_at` says.
    pub fn observe(&self, id: &str, statement: BrittleStatement, sent_at: Duration) {
        let notice = {
            let replicas = self.mirror.replicas.borrow();
            let Some(row) = replicas.get(id) else { return };
            let (process, now) = (process_of(row), self.clock.now());
            let mut ledger = self.ledger.borrow_mut();
            ledger.observe(process, &row.entry.service, statement, sent_at, now)
        };
        if let Some(notice) = notice {
            log_change(id, &notice, "response");
            self.update();
            self.mirror.changed.notify();
        }
    }

    /// Applies the notices of a peer.
    pub fn apply(&self, messages: &[ReplicaBrittleness]) {
        let now = self.clock.now();
        let mut is_news = false;
        for notice in messages.iter().map(read_notice) {
            if !self.ledger.borrow_mut().apply(notice, now) {
                continue;
            }
            is_news = true;
            let replicas = self.mirror.replicas.borrow();
            let mut rows = replicas.rows();
            let row = rows.find(|row| process_of(row) == notice.process);
            log_change(row.map_or("-", |row| &row.entry.id), &notice, "peer");
        }
        if is_news {
            self.update();
            self.mirror.changed.notify();
        }
    }

    /// Returns the notices to announce to peers; with `all`, also those in force for long.
    pub fn notices(&self, all: bool) -> Vec<ReplicaBrittleness> {
        let notices = self.ledger.borrow().notices(all, self.clock.now()).into_iter();
        notices.map(notice_message).collect()
    }

    /// Updates which services are brittle.
    pub fn update(&self) {
        let replicas = self.mirror.replicas.borrow();
        let listed = replicas.rows().map(|row| (&row.entry.service, process_of(row)));
        self.ledger.borrow_mut().update_services(listed, self.started_at, self.clock.now());
    }

    /// Returns whether some service may be brittle.
    pub fn knows_brittle(&self) -> bool {
        self.ledger.borrow().knows_brittle()
    }

    /// Returns the rejections per second that a replica tolerates; `None` if it is sound.
    pub fn tolerated(&self, row: &ReplicaRow) -> Option<u32> {
        self.ledger.borrow().tolerated(process_of(row), &row.entry.service)
    }

    /// Returns the rejections per second that the replica `id` tolerates; `None` if it is sound.
    pub fn tolerated_by(&self, id: &str) -> Option<u32> {
        self.mirror.replicas.borrow().get(id).and_then(|row| self.tolerated(row))
    }

    /// Returns who decides on a request to a replica.
    pub fn slot_source(&self, row: &ReplicaRow, has_keeper: bool) -> SlotSource {
        let (process, now) = (process_of(row), self.clock.now());
        self.ledger.borrow().slot_source(process, &row.entry.service, has_keeper, now)
    }

    /// Returns the brittle processes in the list.
    pub fn processes(&self) -> Vec<ProcessId> {
        let replicas = self.mirror.replicas.borrow();
        let brittle = replicas.rows().filter(|row| self.tolerated(row).is_some());
        brittle.map(process_of).collect()
    }

    /// Records that the replica `id` turned a request away for want of room.
    pub fn record_rejection(&self, id: &str) {
        let replicas = self.mirror.replicas.borrow();
        let Some(row) = replicas.get(id) else { return };
        let (nodes, now) = (self.peers.peak_nodes(), self.clock.now());
        let mut ledger = self.ledger.borrow_mut();
        ledger.record_rejection(process_of(row), &row.entry.service, nodes, now);
    }

    /// Returns whether this node's share of a replica's slots leaves room for another request; `least` is
    /// the least share.
    fn has_share(&self, row: &ReplicaRow, least: u32) -> bool {
        let (share, now) = (self.share(row), self.clock.now());
        let running = self.runs.running(row.hash);
        self.ledger.borrow().has_room(process_of(row), share.max(least), running, now)
    }

    /// Returns the number of requests that this node may have at a replica.
    fn share(&self, row: &ReplicaRow) -> u32 {
        let now = self.clock.now();
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
        let now = self.clock.now();
        let replicas = self.mirror.replicas.borrow();
        let listed: Vec<_> = replicas.rows().map(process_of).collect();
        self.ledger.borrow_mut().expire(|process| listed.contains(&process), now);
        self.shares.borrow_mut().retain(|_, (_, at)| now.saturating_sub(*at) < SHARE_LIFETIME);
    }
}

fn notice_message(notice: LimitNotice) -> ReplicaBrittleness {
    ReplicaBrittleness {
        replica: notice.process.replica,
        born: notice.process.born,
        version: notice.version,
        tolerated: notice.rate.map(|rate| rate as u32),
    }
}

fn read_notice(message: &ReplicaBrittleness) -> LimitNotice {
    LimitNotice {
        process: ProcessId { replica: message.replica, born: message.born },
        version: message.version,
        rate: message.tolerated.map(f64::from),
    }
}

fn log_change(id: &str, notice: &LimitNotice, source: &str) {
    let version = notice.version;
    match notice.rate {
        Some(rejections) => log::info!(
            "event=replica_brittle replica={id} rejections_per_s={rejections} version={version} \
             source={source}"
        ),
        None => log::info!("event=replica_sound replica={id} version={version} source={source}"),
    }
}

/// A replica whose slots were all in use when it was asked about.
pub(super) struct BusyReplica {
    target: ReplicaTarget,
    wait: Duration,
}

impl RequestHandler {
    /// Places a request on a replica with room for it. If all replicas that would do are brittle and
    /// full, the request waits for room for a short time.
    pub(super) async fn claim_room(
        &self,
        request: &RoutedRequest<'_>,
        history: &mut AttemptHistory,
    ) -> Option<ReplicaTarget> {
        let now = self.clock.now();
        let time_left = request.deadline.saturating_sub(now).mul_f64(WAIT_TIME_LEFT);
        let until = now + request.route.target.mul_f64(WAIT_TARGETS).min(time_left);
        let mut busy: Vec<BusyReplica> = Vec::new();
        loop {
            let full = self.full_replicas(&request.service, busy.len() >= MAX_ASKS);
            let tried = history.tried.len();
            let asked = busy.iter().map(|busy| busy.target.id.clone());
            history.tried.extend(full.iter().cloned().chain(asked));
            let claimed = self.claim_replica(request, history).await;
            history.tried.truncate(tried);
            if let Some(target) = claimed {
                match self.claim_slot(request, target, Duration::ZERO).await {
                    Ok(target) => return Some(target),
                    Err(denied) => busy.push(denied),
                }
                continue;
            }
            if let Some(soonest) = busy.into_iter().min_by_key(|busy| busy.wait) {
                return self.wait_for_slot(request, history, soonest, until).await;
            }
            let may_free_up = full.iter().any(|id| !history.tried.contains(id));
            if !may_free_up || self.clock.now() >= until {
                return None;
            }
            busy = Vec::new();
            self.clock.sleep(ROOM_INTERVAL).await;
        }
    }

    /// Gets a slot of a replica that was selected, where it needs one.
    pub(super) async fn claim_slot(
        &self,
        request: &RoutedRequest<'_>,
        target: ReplicaTarget,
        patience: Duration,
    ) -> Result<ReplicaTarget, BusyReplica> {
        let needs_slot = {
            let replicas = self.mirror.replicas.borrow();
            let row = replicas.get(&target.id);
            row.is_some_and(|row| self.slots.source(row) == SlotSource::Keeper)
        };
        if !needs_slot {
            return Ok(target);
        }
        let (tier, deadline) = (request.priority, request.deadline);
        let claim = SlotClaim { target: &target, tier, patience, deadline };
        let claimed = self.slots.claim(&claim).await;
        self.metrics.record_slot(&request.service, claimed.is_ok());
        match claimed {
            Ok(guard) => Ok(ReplicaTarget { run: Some(Rc::new(guard)), ..target }),
            Err(wait) => Err(BusyReplica { target, wait }),
        }
    }

    /// Waits for a slot of the replica that is expected to have one first. A request that can't get one in
    /// time is refused at once.
    async fn wait_for_slot(
        &self,
        request: &RoutedRequest<'_>,
        history: &mut AttemptHistory,
        busy: BusyReplica,
        until: Duration,
    ) -> Option<ReplicaTarget> {
        let patience = until.saturating_sub(self.clock.now()).max(Duration::from_millis(1));
        match self.claim_slot(request, busy.target, patience).await {
            Ok(target) => Some(target),
            Err(denied) => {
                history.turn_wait = Some(denied.wait);
                None
            }
        }
    }

    /// Returns the replicas of a service that must get no further request from this node now; with
    /// `all_brittle`, also those whose slots a keeper hands out.
    fn full_replicas(&self, service: &str, all_brittle: bool) -> Vec<SharedName> {
        if !self.brittle.knows_brittle() {
            return Vec::new();
        }
        let replicas = self.mirror.replicas.borrow();
        let mut full = Vec::new();
        let mut shared = Vec::new();
        for row in replicas.ready(service) {
            match self.slots.source(row) {
                SlotSource::Free => {}
                SlotSource::Keeper if all_brittle => full.push(row.entry.id.clone()),
                SlotSource::Keeper => {}
                SlotSource::Share => shared.push(row),
            }
        }
        // Where a service has fewer slots than there are nodes, one request at a time is tried.
        let least = u32::from(shared.iter().all(|row| self.brittle.share(row) == 0));
        let without_share = shared.into_iter().filter(|row| !self.brittle.has_share(row, least));
        full.extend(without_share.map(|row| row.entry.id.clone()));
        full
    }
}
