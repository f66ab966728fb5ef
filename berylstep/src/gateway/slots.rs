//! Slots of brittle replicas: this node asks their keepers for them, and hands out those of the replicas
//! that it keeps.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, HashSet, SharedName};
use berylstep_core::fleet::brittle::SlotSource;
use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::replica::ReplicaRow;
use berylstep_core::fleet::runs::{HeldSlot, RunReport};
use berylstep_core::fleet::slots::{keeper_room, SlotAnswer, SlotAsk, SlotGrant, SlotKeeper};
use berylstep_core::fleet::window::NodeRun;
use berylstep_core::rendezvous;
use berylstep_wire::{self as wire, FleetPulse, RunReply, RunRequest};
use prost::Message;
use smol::net::UdpSocket;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::brittle::BrittleWatch;
use crate::gateway::limits::process_of;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::{KnownNode, PeerTable};
use crate::gateway::pending::{PendingReplies, PendingReply};
use crate::gateway::pulse::{envelope, milliseconds};
use crate::gateway::runs::{RunGuard, RunWatch};

/// Time within which a keeper answers, even if its VM has little processor time. A request is sent
/// twice within it, in case a message is lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
const SENDS: u32 = 2;

/// Time for which a keeper that did not answer is not asked again.
const SILENCE_PAUSE: Duration = Duration::from_millis(400);

/// Time after which a node that is not the keeper may be asked again; about the time in which nodes
/// agree on the keeper.
const HANDOVER_PAUSE: Duration = Duration::from_millis(250);

/// Time beyond its patience for which a request awaits the grant of a slot, which may be on its way.
const GRANT_TRAVEL_TIME: Duration = Duration::from_millis(20);

/// Interval at which changes are looked for, in case a notification was missed.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Asks for slots, and hands them out.
#[derive(Debug)]
pub struct SlotDesk {
    context: SlotContext,
    keeper: RefCell<SlotKeeper>,
    /// Addresses of the nodes that have asked for slots.
    holders: RefCell<HashMap<SharedName, SocketAddr>>,
    /// Asks of this node that wait for their answers, by number of the run.
    pending: PendingReplies<SlotAnswer>,
    /// Keepers that did not answer, and the times from which they are asked again.
    silent: RefCell<HashMap<SocketAddr, Duration>>,
    /// Live nodes that ask for slots, and all nodes that were live lately.
    fleet: Cell<(usize, usize)>,
}

/// Components that a [`SlotDesk`] works with.
#[derive(Clone, Debug)]
pub struct SlotContext {
    /// Clock for timeouts.
    pub clock: RuntimeClock,
    /// This process.
    pub run: NodeRun,
    /// Local copy of the list of replicas.
    pub mirror: Rc<StoreMirror>,
    /// Other nodes, from which the keepers are elected.
    pub peers: Rc<PeerTable>,
    /// Replicas that are brittle.
    pub brittle: Rc<BrittleWatch>,
    /// Requests of this node at replicas.
    pub runs: Rc<RunWatch>,
    /// Socket for messages between nodes.
    pub socket: UdpSocket,
}

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotClaim<'a> {
    /// Replica that the request may be sent to.
    pub target: &'a ReplicaTarget,
    /// Tier of the request; 0 comes first.
    pub tier: u8,
    /// Time for which it may wait for a slot.
    pub patience: Duration,
    /// Time at which the request ends at the replica.
    pub deadline: Duration,
}

impl SlotDesk {
    /// Creates a desk that keeps no slots.
    pub fn new(context: SlotContext) -> Self {
        Self {
            context,
            keeper: RefCell::default(),
            holders: RefCell::default(),
            pending: PendingReplies::default(),
            silent: RefCell::default(),
            fleet: Cell::new((1, 1)),
        }
    }

    fn now(&self) -> Duration {
        self.context.clock.now()
    }

    /// Returns the keeper of a replica's slots, elected among the representatives, which all nodes know;
    /// `None` if none of them hands out slots.
    fn keeper(&self, replica: u32) -> Option<KnownNode> {
        let key = replica.to_string();
        let representatives = self.context.peers.representatives(self.now());
        let keepers = representatives.into_iter().filter(|node| node.keeps_slots);
        keepers.max_by_key(|node| rendezvous::score(&key, &node.node))
    }

    fn is_own(&self, node: &KnownNode) -> bool {
        node.node == self.context.run.node
    }

    /// Returns who decides on a request to a replica.
    pub fn source(&self, row: &ReplicaRow) -> SlotSource {
        match self.context.brittle.tolerated(row) {
            None => SlotSource::Free,
            Some(_) => self.context.brittle.slot_source(row, self.keeper(row.hash).is_some()),
        }
    }

    /// Gets a slot for a request. Without one, returns the time until it may be asked for again.
    pub async fn claim(&self, claim: &SlotClaim<'_>) -> Result<RunGuard, Duration> {
        let process = claim.target.process;
        let Some(keeper) = self.keeper(process.replica) else { return Err(HANDOVER_PAUSE) };
        let now = self.now();
        let silent_until = self.silent.borrow().get(&keeper.peer_address).copied();
        if let Some(until) = silent_until.filter(|until| *until > now) {
            return Err(until - now);
        }
        let guard = self.context.runs.ask(process.replica, claim.deadline);
        let pending = self.pending.register_as(guard.number(), 4);
        let answer = match self.is_own(&keeper) {
            true => Some(self.decide(self.own_ask(claim, &guard))),
            false => self.ask_keeper(&keeper, claim, &guard, &pending).await,
        };
        let Some(answer) = answer else {
            log::info!(
                "event=slots_unanswered replica={} keeper={}",
                claim.target.id,
                keeper.peer_address
            );
            self.silent.borrow_mut().insert(keeper.peer_address, now + SILENCE_PAUSE);
            return Err(SILENCE_PAUSE);
        };
        let answer = match answer {
            SlotAnswer::Queued(wait) => {
                self.await_grant(&pending, claim.patience).await.unwrap_or(SlotAnswer::Denied(wait))
            }
            answer => answer,
        };
        match answer {
            SlotAnswer::Granted => {
                guard.start();
                Ok(guard)
            }
            SlotAnswer::Queued(wait) | SlotAnswer::Denied(wait) => Err(wait),
        }
    }

    fn own_ask(&self, claim: &SlotClaim<'_>, guard: &RunGuard) -> SlotAsk {
        SlotAsk {
            holder: self.context.run.clone(),
            number: guard.number(),
            process: claim.target.process,
            tier: claim.tier,
            patience: claim.patience,
            lifetime: claim.deadline.saturating_sub(self.now()),
        }
    }

    /// Asks another node; returns its first answer.
    async fn ask_keeper(
        &self,
        keeper: &KnownNode,
        claim: &SlotClaim<'_>,
        guard: &RunGuard,
        pending: &PendingReply<'_, SlotAnswer>,
    ) -> Option<SlotAnswer> {
        let lifetime = claim.deadline.saturating_sub(self.now());
        let request = RunRequest {
            request: guard.number(),
            replica: claim.target.process.replica,
            born: claim.target.process.born,
            tier: claim.tier.into(),
            patience_ms: milliseconds(claim.patience),
            lifetime_ms: milliseconds(lifetime),
        };
        let message = FleetPulse { run_request: Some(request), ..self.envelope() };
        for _ in 0..SENDS {
            self.send(keeper.peer_address, &message).await;
            let receiving = pending.receive();
            let answer = self.context.clock.timeout(REPLY_TIMEOUT / SENDS, receiving).await;
            if let Some(answer) = answer.flatten() {
                return Some(answer);
            }
        }
        None
    }

    /// Waits until the keeper grants a queued request its slot.
    async fn await_grant(
        &self,
        pending: &PendingReply<'_, SlotAnswer>,
        patience: Duration,
    ) -> Option<SlotAnswer> {
        let until = self.now() + patience + GRANT_TRAVEL_TIME;
        loop {
            let left = until.saturating_sub(self.now());
            match self.context.clock.timeout(left, pending.receive()).await.flatten()? {
                // The answer to the request that was sent again.
                SlotAnswer::Queued(_) => {}
                answer => return Some(answer),
            }
        }
    }

    /// Decides on a request, if this node is the keeper.
    fn decide(&self, ask: SlotAsk) -> SlotAnswer {
        let replica = ask.process.replica;
        match self.keeper(replica) {
            Some(keeper) if self.is_own(&keeper) => {
                let room = self.room(replica);
                self.keeper.borrow_mut().ask(ask, room, self.now())
            }
            _ => SlotAnswer::Denied(HANDOVER_PAUSE),
        }
    }

    /// Returns the number of a replica's slots that this node hands out.
    fn room(&self, replica: u32) -> u32 {
        let (participants, fleet) = self.fleet.get();
        let replicas = self.context.mirror.replicas.borrow();
        let slots =
            replicas.rows().find(|row| row.hash == replica).map_or(0, |row| row.entry.slots);
        keeper_room(slots, replica, &self.context.run.node, participants, fleet)
    }

    /// Answers the request of another node.
    pub async fn answer(&self, holder: NodeRun, request: &RunRequest, from: SocketAddr) {
        self.holders.borrow_mut().insert(holder.node.clone(), from);
        let ask = SlotAsk {
            holder,
            number: request.request,
            process: ProcessId { replica: request.replica, born: request.born },
            tier: u8::try_from(request.tier).unwrap_or(u8::MAX),
            patience: Duration::from_millis(request.patience_ms.into()),
            lifetime: Duration::from_millis(request.lifetime_ms.into()),
        };
        let answer = self.decide(ask);
        self.reply(from, request.request, request.replica, answer).await;
    }

    async fn reply(&self, to: SocketAddr, request: u64, replica: u32, answer: SlotAnswer) {
        let wait_ms = match answer {
            SlotAnswer::Granted => 0,
            SlotAnswer::Queued(wait) | SlotAnswer::Denied(wait) => milliseconds(wait),
        };
        let reply = RunReply {
            request,
            replica,
            granted: answer == SlotAnswer::Granted,
            queued: matches!(answer, SlotAnswer::Queued(_)),
            wait_ms,
        };
        self.send(to, &FleetPulse { run_reply: Some(reply), ..self.envelope() }).await;
    }

    /// Passes a keeper's answer on to the request that waits for it.
    pub fn receive(&self, reply: &RunReply) {
        let wait = Duration::from_millis(reply.wait_ms.into());
        let answer = match (reply.granted, reply.queued) {
            (true, _) => SlotAnswer::Granted,
            (false, true) => SlotAnswer::Queued(wait),
            (false, false) => SlotAnswer::Denied(wait),
        };
        if !self.pending.deliver(reply.request, answer) {
            // The report gives a slot back that nobody waits for any more.
            self.context.runs.mark_changed(reply.replica);
        }
    }

    /// Applies what another node has at replicas, and hands out the slots that are free now.
    pub async fn apply(&self, holder: NodeRun, reports: &[wire::RunReport]) {
        for message in reports {
            let process = ProcessId { replica: message.replica, born: message.born };
            self.apply_report(&holder, process, &read_report(message));
            if message.rejected {
                let (tolerated, now) = (message.tolerated, self.now());
                self.keeper.borrow_mut().record_rejection(process, tolerated, now);
            }
            self.grant_waiting(process.replica).await;
        }
    }

    fn apply_report(&self, holder: &NodeRun, process: ProcessId, report: &RunReport) {
        self.keeper.borrow_mut().report(holder, process, report, self.now());
    }

    async fn grant_waiting(&self, replica: u32) {
        let room = self.room(replica);
        let grants = self.keeper.borrow_mut().grant_waiting(replica, room, self.now());
        for SlotGrant { holder, number } in grants {
            if holder == self.context.run {
                if !self.pending.deliver(number, SlotAnswer::Granted) {
                    self.context.runs.mark_changed(replica);
                }
                continue;
            }
            let address = self.holders.borrow().get(&holder.node).copied();
            if let Some(address) = address {
                self.reply(address, number, replica, SlotAnswer::Granted).await;
            }
        }
    }

    /// Tells the keeper that a replica turned a request away.
    pub async fn report_rejection(&self, target: &ReplicaTarget, tolerated: u32) {
        let Some(keeper) = self.keeper(target.process.replica) else { return };
        let report = self.context.runs.report(target.process.replica);
        if self.is_own(&keeper) {
            self.apply_report(&self.context.run, target.process, &report);
            let mut slots = self.keeper.borrow_mut();
            return slots.record_rejection(target.process, tolerated, self.now());
        }
        let message = report_message(target.process, &report);
        let message = wire::RunReport { rejected: true, tolerated, ..message };
        self.send(
            keeper.peer_address,
            &FleetPulse { run_reports: vec![message], ..self.envelope() },
        )
        .await;
    }

    /// Reports what this node has at brittle replicas, and confirms which of them it keeps; to be called
    /// with each pulse.
    pub async fn update(&self) {
        let now = self.now();
        self.context.brittle.update();
        self.fleet.set(self.context.peers.slot_participants(now));
        let brittle = self.context.brittle.processes();
        self.context.runs.watch(brittle.iter().map(|process| process.replica).collect());
        for process in &brittle {
            let keeper = self.keeper(process.replica);
            let is_keeper = keeper.is_some_and(|keeper| self.is_own(&keeper));
            self.keeper.borrow_mut().confirm(*process, is_keeper, now);
        }
        let busy: HashSet<_> = self.context.runs.busy_replicas().into_iter().collect();
        self.report(brittle.into_iter().filter(|process| busy.contains(&process.replica))).await;
        let awaited = self.keeper.borrow().awaited_replicas();
        for replica in awaited {
            self.grant_waiting(replica).await;
        }
        self.keeper.borrow_mut().expire(now);
        self.silent.borrow_mut().retain(|_, until| *until > now);
    }

    /// Reports changes at brittle replicas at once, for as long as the node runs.
    pub async fn report_changes(self: Rc<Self>) {
        loop {
            let changed = self.context.runs.wait_for_changes(IDLE_INTERVAL).await;
            if changed.is_empty() {
                continue;
            }
            let processes = self.context.brittle.processes().into_iter();
            self.report(processes.filter(|process| changed.contains(&process.replica))).await;
        }
    }

    /// Reports all that this node has at some replicas to their keepers.
    async fn report(&self, processes: impl Iterator<Item = ProcessId>) {
        let mut messages: HashMap<SocketAddr, Vec<wire::RunReport>> = HashMap::default();
        for process in processes {
            let Some(keeper) = self.keeper(process.replica) else { continue };
            let report = self.context.runs.report(process.replica);
            if self.is_own(&keeper) {
                self.apply_report(&self.context.run, process, &report);
                self.grant_waiting(process.replica).await;
                continue;
            }
            let reports = messages.entry(keeper.peer_address).or_default();
            reports.push(report_message(process, &report));
        }
        for (address, run_reports) in messages {
            self.send(address, &FleetPulse { run_reports, ..self.envelope() }).await;
        }
    }

    fn envelope(&self) -> FleetPulse {
        let SlotContext { clock, run, .. } = &self.context;
        envelope(clock, &run.node, run.incarnation)
    }

    async fn send(&self, address: SocketAddr, message: &FleetPulse) {
        if let Err(err) = self.context.socket.send_to(&message.encode_to_vec(), address).await {
            log::debug!("event=slot_message_not_sent peer={address} error=\"{err}\"");
        }
    }

    /// Drops what is known of replicas that are no longer in the list.
    pub fn expire(&self) {
        let replicas = self.context.mirror.replicas.borrow();
        let listed: HashSet<_> = replicas.rows().map(|row| process_of(row).replica).collect();
        self.context.runs.expire(|replica| listed.contains(&replica));
    }
}

fn report_message(process: ProcessId, report: &RunReport) -> wire::RunReport {
    wire::RunReport {
        replica: process.replica,
        born: process.born,
        next: report.next,
        asked: report.asked.clone(),
        held: report.held.iter().map(|held| held.number).collect(),
        lifetimes_ms: report.held.iter().map(|held| milliseconds(held.lifetime)).collect(),
        rejected: false,
        tolerated: 0,
    }
}

fn read_report(message: &wire::RunReport) -> RunReport {
    let held = message.held.iter().zip(&message.lifetimes_ms);
    let held = held.map(|(number, lifetime_ms)| HeldSlot {
        number: *number,
        lifetime: Duration::from_millis((*lifetime_ms).into()),
    });
    RunReport { next: message.next, asked: message.asked.clone(), held: held.collect() }
}
