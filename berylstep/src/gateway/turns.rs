//! Turns at replicas that have named a limit or are cold: this node asks the keeper of a service for them, and
//! hands them out where it is the keeper itself.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::replica::ReplicaRow;
use berylstep_core::fleet::turns::{TurnAnswer, TurnAsk, TurnCandidate, TurnKeeper, TurnPauses};
use berylstep_core::rendezvous;
use berylstep_wire::{ColdCandidate, FleetPulse, TurnReply, TurnRequest};
use prost::Message;
use smol::net::UdpSocket;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::cold::ColdWatch;
use crate::gateway::limits::{limit_message, process_of, read_limit, LimitWatch};
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::pending::PendingReplies;
use crate::gateway::pulse::{envelope, milliseconds};
use crate::gateway::request::{AttemptHistory, RequestHandler, RoutedRequest};
use crate::gateway::telemetry::TurnResult;

/// Time within which a keeper answers, even if its VM has little processor time.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a keeper that did not answer is not asked again.
const SILENCE_PAUSE: Duration = Duration::from_millis(400);

/// Time after which a node that is not the keeper may be asked again; about the time in which nodes
/// agree on the keeper.
const HANDOVER_PAUSE: Duration = Duration::from_millis(250);

/// Largest number of replicas in one request for a turn.
const MAX_CANDIDATES: usize = 16;

/// A replica that needs a turn, with what it takes at most from all nodes together; at least one is given.
#[derive(Clone, Copy, Debug)]
struct BoundedReplica {
    process: ProcessId,
    /// Limit that it has named, in requests per second.
    limit: Option<f64>,
    /// Requests per second because it is or was cold.
    cold: Option<f64>,
}

impl BoundedReplica {
    /// Returns the rate of its turns; the keeper hands out `share` of those of a cold replica.
    fn rate(&self, share: f64) -> f64 {
        let cold = self.cold.map_or(f64::INFINITY, |rate| rate * share);
        self.limit.unwrap_or(f64::INFINITY).min(cold)
    }
}

/// Asks for a turn at one of several replicas; see [`TurnAsk`].
#[derive(Clone, Copy, Debug)]
struct ReplicaAsk<'a> {
    service: &'a str,
    tier: u8,
    patience: Duration,
    candidates: &'a [BoundedReplica],
}

/// Asks for turns, and hands them out.
#[derive(Debug)]
pub struct TurnDesk {
    clock: RuntimeClock,
    node: SharedName,
    incarnation: u64,
    mirror: Rc<StoreMirror>,
    peers: Rc<PeerTable>,
    limits: Rc<LimitWatch>,
    cold: Rc<ColdWatch>,
    socket: UdpSocket,
    keeper: RefCell<TurnKeeper>,
    /// Requests to other nodes that have not been answered.
    pending: PendingReplies<TurnAnswer>,
    /// Turns that are not asked for at present, where other replicas take the requests.
    pauses: RefCell<TurnPauses>,
}

/// Components that a [`TurnDesk`] works with.
#[derive(Clone, Debug)]
pub struct TurnContext {
    /// Clock for timeouts.
    pub clock: RuntimeClock,
    /// Name of this node.
    pub node: SharedName,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Local copy of the list of replicas.
    pub mirror: Rc<StoreMirror>,
    /// Other nodes, from which the keepers are elected.
    pub peers: Rc<PeerTable>,
    /// Limits of replicas.
    pub limits: Rc<LimitWatch>,
    /// Cold replicas.
    pub cold: Rc<ColdWatch>,
    /// Socket for messages between nodes.
    pub socket: UdpSocket,
}

impl TurnDesk {
    /// Creates a desk without turns in hand.
    pub fn new(context: TurnContext) -> Self {
        let TurnContext { clock, node, incarnation, mirror, peers, limits, cold, socket } = context;
        Self {
            clock,
            node,
            incarnation,
            mirror,
            peers,
            limits,
            cold,
            socket,
            keeper: RefCell::default(),
            pending: PendingReplies::default(),
            pauses: RefCell::default(),
        }
    }

    /// Drops what is no longer needed.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.keeper.borrow_mut().expire(now);
        self.pauses.borrow_mut().expire(now);
    }

    /// Returns the address of the node that hands out the turns of `service`; `None` if it is this
    /// one. Keepers are elected among the representatives, which all nodes know.
    fn keeper_address(&self, service: &str) -> Option<SocketAddr> {
        let representatives = self.peers.representatives(self.clock.now());
        let score = |node: &str| rendezvous::score(service, node);
        let keeper = representatives.iter().max_by_key(|node| score(&node.node))?;
        Some(keeper.peer_address).filter(|_| keeper.node != self.node)
    }

    /// Asks for a turn at one of the replicas in `ask`.
    async fn take(&self, ask: &ReplicaAsk<'_>) -> (TurnAnswer, TurnResult) {
        let Some(address) = self.keeper_address(ask.service) else {
            let answer = self.decide(ask);
            return (answer, TurnResult::of(answer));
        };
        let pending = self.pending.register(1);
        self.send(address, self.request_message(pending.request, ask)).await;
        match self.clock.timeout(REPLY_TIMEOUT, pending.receive()).await.flatten() {
            Some(answer) => (answer, TurnResult::of(answer)),
            None => {
                log::info!("event=turns_unanswered service={} keeper={address}", ask.service);
                // No tier gets an answer.
                self.pause(ask.service, 0, SILENCE_PAUSE);
                (TurnAnswer::Denied(SILENCE_PAUSE), TurnResult::Unanswered)
            }
        }
    }

    /// Decides on a request as the keeper. Where this node hears only a part of the fleet, it hands out that
    /// part of the turns of cold replicas, because another node may hand out the rest.
    fn decide(&self, ask: &ReplicaAsk<'_>) -> TurnAnswer {
        let now = self.clock.now();
        let mut keeper = self.keeper.borrow_mut();
        let is_cold = |candidate: &&BoundedReplica| candidate.cold.is_some();
        let share = match ask.candidates.iter().any(|candidate| is_cold(&candidate)) {
            true => self.cold.turn_share(),
            false => 1.0,
        };
        for candidate in ask.candidates.iter().filter(is_cold) {
            let replica = candidate.process.replica;
            keeper.mark_cold(ask.service, replica, self.cold.turn_lag(replica), now);
        }
        let candidates = ask.candidates.iter().map(|candidate| TurnCandidate {
            replica: candidate.process.replica,
            rate: candidate.rate(share),
        });
        let candidates: Vec<_> = candidates.collect();
        let ReplicaAsk { service, tier, patience, .. } = *ask;
        let ask = TurnAsk { service, tier, patience, candidates: &candidates };
        match keeper.take(&ask, now) {
            // A caller that comes back soon probably finds a node that has more turns.
            TurnAnswer::Denied(wait) if share < 1.0 && self.cold.is_small_part() => {
                TurnAnswer::Denied(wait.min(HANDOVER_PAUSE))
            }
            answer => answer,
        }
    }

    fn request_message(&self, request: u64, ask: &ReplicaAsk<'_>) -> FleetPulse {
        let candidates = ask.candidates.iter();
        let notices = candidates.clone().filter(|candidate| candidate.limit.is_some());
        let notices = notices.filter_map(|candidate| self.limits.notice(candidate.process));
        let cold = candidates.filter_map(|candidate| {
            Some(ColdCandidate {
                replica: candidate.process.replica,
                born: candidate.process.born,
                per_second: candidate.cold?,
            })
        });
        let turn_request = TurnRequest {
            request,
            service: ask.service.to_owned(),
            tier: ask.tier.into(),
            patience_ms: milliseconds(ask.patience),
            candidates: notices.map(limit_message).collect(),
        };
        FleetPulse {
            turn_request: Some(turn_request),
            cold_candidates: cold.collect(),
            ..self.envelope()
        }
    }

    fn envelope(&self) -> FleetPulse {
        envelope(&self.clock, &self.node, self.incarnation)
    }

    async fn send(&self, address: SocketAddr, message: FleetPulse) {
        if let Err(err) = self.socket.send_to(&message.encode_to_vec(), address).await {
            log::debug!("event=turn_message_not_sent peer={address} error=\"{err}\"");
        }
    }

    /// Decides on a request of another node, and sends the answer.
    pub async fn answer(&self, request: &TurnRequest, cold: &[ColdCandidate], from: SocketAddr) {
        self.limits.apply(&request.candidates);
        let candidates = self.read_candidates(request, cold);
        let ask = ReplicaAsk {
            service: &request.service,
            tier: u8::try_from(request.tier).unwrap_or(u8::MAX),
            patience: Duration::from_millis(request.patience_ms.into()),
            candidates: &candidates,
        };
        let answer = match self.keeper_address(&request.service) {
            None => self.decide(&ask),
            Some(_) => TurnAnswer::Denied(HANDOVER_PAUSE),
        };
        let reply = match answer {
            TurnAnswer::Granted(replica) => {
                TurnReply { request: request.request, granted: true, replica, wait_ms: 0 }
            }
            TurnAnswer::Denied(wait) => TurnReply {
                request: request.request,
                granted: false,
                replica: 0,
                wait_ms: milliseconds(wait),
            },
        };
        self.send(from, FleetPulse { turn_reply: Some(reply), ..self.envelope() }).await;
    }

    /// Returns the candidates that another node asks for. Of what that node and this one know of each, the
    /// lower rate counts.
    fn read_candidates(
        &self,
        request: &TurnRequest,
        cold: &[ColdCandidate],
    ) -> Vec<BoundedReplica> {
        let limited = request.candidates.iter().map(read_limit);
        let mut candidates: Vec<_> = limited
            .map(|notice| BoundedReplica {
                process: notice.process,
                limit: notice.rate,
                cold: None,
            })
            .collect();
        let is_rate = |rate: f64| rate.is_finite() && rate > 0.0;
        for message in cold.iter().filter(|message| is_rate(message.per_second)) {
            let process = ProcessId { replica: message.replica, born: message.born };
            let cold = Some(message.per_second);
            match candidates.iter_mut().find(|candidate| candidate.process == process) {
                Some(candidate) => candidate.cold = cold,
                None => candidates.push(BoundedReplica { process, limit: None, cold }),
            }
        }
        let replicas = self.mirror.replicas.borrow();
        for candidate in &mut candidates {
            if let Some(known) = self.limits.notice(candidate.process) {
                candidate.limit = known.rate;
            }
            let row = replicas.rows().find(|row| row.hash == candidate.process.replica);
            if let Some(own) = row.and_then(|row| self.cold.turn_rate(row)) {
                candidate.cold = Some(candidate.cold.map_or(own, |rate| rate.min(own)));
            }
        }
        candidates.retain(|candidate| candidate.limit.is_some() || candidate.cold.is_some());
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    /// Passes a keeper's answer on to the request that waits for it.
    pub fn receive(&self, reply: &TurnReply) {
        let answer = match reply.granted {
            true => TurnAnswer::Granted(reply.replica),
            false => TurnAnswer::Denied(Duration::from_millis(reply.wait_ms.into())),
        };
        if !self.pending.deliver(reply.request, answer) {
            log::debug!("event=turn_reply_late request={}", reply.request);
        }
    }

    /// Stops asking for turns of `service` for a while, where other replicas take its requests.
    fn pause(&self, service: &str, tier: u8, wait: Duration) {
        self.pauses.borrow_mut().pause(service, tier, wait, self.clock.now());
    }

    fn is_paused(&self, service: &str, tier: u8) -> bool {
        self.pauses.borrow().is_paused(service, tier, self.clock.now())
    }

    /// Returns a replica as a candidate for a turn; `None` if it needs none.
    fn candidate(&self, row: &ReplicaRow) -> Option<BoundedReplica> {
        let process = process_of(row);
        let limit = self.limits.notice(process).and_then(|notice| notice.rate);
        let cold = self.cold.turn_rate(row);
        (limit.is_some() || cold.is_some()).then_some(BoundedReplica { process, limit, cold })
    }

    fn needs_turn(&self, id: &str) -> bool {
        let replicas = self.mirror.replicas.borrow();
        replicas.get(id).is_some_and(|row| self.candidate(row).is_some())
    }
}

impl RequestHandler {
    /// Places a request, and gets a turn for it where the replica has named a limit or is cold. Such a
    /// replica without a turn is left to other requests.
    pub(super) async fn claim_replica(
        &self,
        request: &RoutedRequest<'_>,
        history: &mut AttemptHistory,
    ) -> Option<ReplicaTarget> {
        let target = self.place_request(request, history.pin, &history.tried)?;
        if !self.turns.needs_turn(&target.id) {
            return Some(target);
        }
        let (candidates, limited) = self.limited_candidates(request, history, &target.id);
        let excluded: Vec<_> = history.tried.iter().chain(&limited).cloned().collect();
        let alternative = self.place_request(request, history.pin, &excluded);
        if alternative.is_some() && self.turns.is_paused(&request.service, request.priority) {
            return alternative;
        }
        let patience = match alternative {
            Some(_) => Duration::ZERO,
            None => request.deadline.saturating_sub(self.clock.now()),
        };
        let asked_at = self.clock.now();
        match self.take_turn(request, &candidates, patience).await {
            TurnAnswer::Granted(replica) => match self.granted_target(request, replica, &target) {
                Some(target) => Some(ReplicaTarget { turn_at: Some(asked_at), ..target }),
                None => self.place_request(request, history.pin, &excluded),
            },
            TurnAnswer::Denied(wait) => {
                if alternative.is_none() {
                    history.turn_wait = Some(wait);
                } else {
                    self.turns.pause(&request.service, request.priority, wait);
                }
                // The table may have changed since the keeper was asked.
                self.place_request(request, history.pin, &excluded)
            }
        }
    }

    /// Gets a turn for a call about a request to the replica `id`. Without one, returns the time
    /// until it may be asked for again.
    pub(super) async fn claim_call(
        &self,
        request: &RoutedRequest<'_>,
        id: &str,
    ) -> Result<(), Duration> {
        let candidate = {
            let replicas = self.mirror.replicas.borrow();
            replicas.get(id).and_then(|row| self.turns.candidate(row))
        };
        let Some(candidate) = candidate else { return Ok(()) };
        match self.take_turn(request, &[candidate], Duration::ZERO).await {
            TurnAnswer::Granted(_) => Ok(()),
            TurnAnswer::Denied(wait) => Err(wait),
        }
    }

    async fn take_turn(
        &self,
        request: &RoutedRequest<'_>,
        candidates: &[BoundedReplica],
        patience: Duration,
    ) -> TurnAnswer {
        let ask =
            ReplicaAsk { service: &request.service, tier: request.priority, patience, candidates };
        let (answer, result) = self.turns.take(&ask).await;
        self.metrics.record_turn(&request.service, result);
        answer
    }

    /// Returns the limited replicas that may take the request, the preferred one first, and the
    /// identifiers of all limited replicas of its service.
    fn limited_candidates(
        &self,
        request: &RoutedRequest<'_>,
        history: &AttemptHistory,
        preferred: &str,
    ) -> (Vec<BoundedReplica>, Vec<SharedName>) {
        let now = self.clock.now();
        let replicas = self.mirror.replicas.borrow();
        let available = replicas.available(&request.service, now);
        let admitted = available.filter(|row| history.pin.admits(row));
        let limited = admitted.filter_map(|row| Some((row, self.turns.candidate(row)?)));
        let mut limited: Vec<_> = limited.collect();
        limited.sort_unstable_by_key(|(row, _)| {
            (*row.entry.id != *preferred, !row.is_healthy(now), row.work(), row.entry.id.clone())
        });
        let ids = limited.iter().map(|(row, _)| row.entry.id.clone()).collect();
        let untried = limited.iter().filter(|(row, _)| !history.tried.contains(&row.entry.id));
        let candidates = untried.map(|(_, candidate)| *candidate).take(MAX_CANDIDATES).collect();
        (candidates, ids)
    }

    /// Returns the replica that a turn was granted for, unless it has gone or paused meanwhile.
    fn granted_target(
        &self,
        request: &RoutedRequest<'_>,
        hash: u32,
        preferred: &ReplicaTarget,
    ) -> Option<ReplicaTarget> {
        let replicas = self.mirror.replicas.borrow();
        let mut available = replicas.available(&request.service, self.clock.now());
        let row = available.find(|row| row.hash == hash)?;
        let cache_source = preferred.cache_source.filter(|_| row.entry.id == preferred.id);
        Some(ReplicaTarget::new(row, cache_source))
    }
}
