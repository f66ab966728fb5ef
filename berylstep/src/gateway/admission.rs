//! Admission of requests to models while callers compete for too little room.
//!
//! Each node decides on the requests that reach it, from what it knows anyway: the list of replicas, the
//! requests of other nodes in their pulses, and the ends of its own requests. No message is sent.

pub mod metrics;

use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{FastHasher, HashMap, SharedName};
use berylstep_core::fleet::admission::{
    AdmissionAsk, AdmissionController, AdmissionEnd, AdmissionVerdict, RefusalReason, ServiceRoom,
    TicketNumber,
};
use berylstep_core::fleet::choice::RequestSize;
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::origins::VersionPin;

use crate::clock::RuntimeClock;
use crate::gateway::admission::metrics::CountedDecision;
use crate::gateway::demand::DemandLedger;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::request::{RequestHandler, RoutedRequest};
use crate::gateway::response::LocalReply;
use crate::gateway::telemetry::{RequestOutcome, RequestTrace};

/// Time for which this node's part of the room is kept. Demand is reported with pulses and averaged over
/// some seconds, and its sum over all nodes takes a while.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which the room is kept; requests that wait ask often, and its sum over all replicas takes a while.
const ROOM_INTERVAL: Duration = Duration::from_millis(10);

/// Part of the room that is divided by demand; the rest is divided evenly, so that a node whose callers have
/// just come has a part.
const DEMAND_SHARE: f64 = 0.5;

/// Time for which all nodes draw the same for a request that is sent again.
const DRAW_PERIOD_MS: u64 = 4000;

/// Callers give a stream up after a gap of this time, or of these multiples of the route's targets.
const MIN_GAP_LIMIT: Duration = Duration::from_secs(2);
const TARGET_GAP_FACTOR: u32 = 4;
const GAP_TARGET_FACTOR: u32 = 8;

/// Components that an [`AdmissionDesk`] works with.
#[derive(Clone, Debug)]
pub struct AdmissionContext {
    /// Clock for waits.
    pub clock: RuntimeClock,
    /// Local copy of the list of replicas.
    pub mirror: Rc<StoreMirror>,
    /// Other nodes, which share the room.
    pub peers: Rc<PeerTable>,
    /// Demand at this node, by which the room is shared.
    pub demand: Rc<DemandLedger>,
}

/// Decides on requests to the services that have a model.
#[derive(Debug)]
pub struct AdmissionDesk {
    context: AdmissionContext,
    services: RefCell<HashMap<SharedName, ServiceAdmission>>,
}

#[derive(Debug)]
struct ServiceAdmission {
    controller: AdmissionController,
    share: RoomShare,
    shared_at: Duration,
    room: ServiceRoom,
    room_at: Option<Duration>,
    /// Refusals since the last log line, by reason.
    refused: HashMap<RefusalReason, u32>,
    /// Requests that began to wait since the last log line.
    waited: u32,
}

/// Part of a service's room that this node may take.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RoomShare {
    /// Part of the room that is left beside the requests of the other nodes, which are known.
    Shared(f64),
    /// Part of all slots; the requests of the other nodes are unknown.
    Alone(f64),
}

impl AdmissionDesk {
    /// Creates a desk without requests.
    pub fn new(context: AdmissionContext) -> Self {
        Self { context, services: RefCell::default() }
    }

    /// Drops what is no longer needed, and logs what was held or refused since the last call.
    pub fn report(&self) {
        let now = self.context.clock.now();
        for (service, admission) in self.services.borrow_mut().iter_mut() {
            admission.controller.expire(now);
            let room = admission.room;
            let known = format!(
                "slots={} requests={} ended_per_second={:.1} share={:.3} knows_others={}",
                room.slots, room.requests, room.ended_per_second, room.share, room.knows_others
            );
            for (reason, count) in admission.refused.drain() {
                log::warn!(
                    "event=admission_refused service={service} reason={} count={count} {known}",
                    reason.label()
                );
            }
            let waited = std::mem::take(&mut admission.waited);
            if waited > 0 {
                log::info!("event=admission_waited service={service} count={waited} {known}");
            }
        }
    }

    fn with_service<T>(
        &self,
        service: &SharedName,
        change: impl FnOnce(&mut ServiceAdmission, Duration) -> T,
    ) -> T {
        let now = self.context.clock.now();
        let mut services = self.services.borrow_mut();
        let admission = services.entry(service.clone()).or_insert_with(|| ServiceAdmission {
            controller: AdmissionController::new(fastrand::f64(), now),
            share: self.share(service, now),
            shared_at: now,
            room: ServiceRoom::default(),
            room_at: None,
            refused: HashMap::default(),
            waited: 0,
        });
        change(admission, now)
    }

    /// Returns this node's part of a service's room.
    fn share(&self, service: &str, now: Duration) -> RoomShare {
        let AdmissionContext { peers, demand, .. } = &self.context;
        if !peers.sees_most_nodes(now) {
            return RoomShare::Alone(1.0 / peers.peak_nodes().max(1) as f64);
        }
        let own = demand.rate(service).total;
        let reported = peers.demand(now);
        let total = demand.total_rate(service, reported.iter()).total;
        // What a follower is told of all nodes includes its own demand.
        let total = if peers.is_representative(now) { total } else { total - own };
        let even = 1.0 / (peers.nodes(now).len() + 1) as f64;
        let by_demand = if own > 0.0 { own / total.max(own) } else { even };
        RoomShare::Shared(by_demand * DEMAND_SHARE + even * (1.0 - DEMAND_SHARE))
    }

    /// Decides on a request that has entered.
    fn decide(&self, service: &SharedName, number: TicketNumber) -> AdmissionVerdict {
        self.with_service(service, |admission, now| {
            if now.saturating_sub(admission.shared_at) >= SHARE_INTERVAL {
                admission.share = self.share(service, now);
                admission.shared_at = now;
            }
            if admission.room_at.is_none_or(|at| now.saturating_sub(at) >= ROOM_INTERVAL) {
                admission.room = self.room(service, admission, now);
                admission.room_at = Some(now);
            }
            let verdict = admission.controller.decide(number, &admission.room, now);
            if let AdmissionVerdict::Refused { reason, .. } = verdict {
                *admission.refused.entry(reason).or_default() += 1;
            }
            verdict
        })
    }

    /// Returns the room at the replicas that accept requests.
    fn room(&self, service: &str, admission: &mut ServiceAdmission, now: Duration) -> ServiceRoom {
        let replicas = self.context.mirror.replicas.borrow();
        let (mut slots, mut own, mut others) = (0_u32, 0_u32, 0_u32);
        for row in replicas.available(service, now) {
            slots = slots.saturating_add(row.entry.slots);
            own = own.saturating_add(row.own.requests);
            others = others.saturating_add(row.others.requests);
        }
        let (slots, requests, share, knows_others) = match admission.share {
            RoomShare::Shared(share) => (slots, own.saturating_add(others), share, true),
            RoomShare::Alone(part) => ((f64::from(slots) * part) as u32, own, 1.0, false),
        };
        let ended_per_second = admission.controller.completion_rate(slots, requests, now);
        ServiceRoom { slots, requests, ended_per_second, share, knows_others }
    }
}

/// A request that waits or is admitted, until dropped.
#[derive(Debug)]
pub struct AdmissionGuard<'a> {
    desk: &'a AdmissionDesk,
    service: SharedName,
    number: TicketNumber,
    trace: &'a RequestTrace,
    has_waited: Cell<bool>,
}

impl<'a> AdmissionGuard<'a> {
    fn new(desk: &'a AdmissionDesk, request: &RoutedRequest<'_>, trace: &'a RequestTrace) -> Self {
        let ask = admission_ask(request, desk.context.clock.unix_ms());
        let arrive = |admission: &mut ServiceAdmission, now| admission.controller.arrive(ask, now);
        let number = desk.with_service(&request.service, arrive);
        let service = request.service.clone();
        Self { desk, service, number, trace, has_waited: Cell::new(false) }
    }

    /// Admits the request whatever the room is.
    fn admit(&self) {
        let number = self.number;
        self.desk.with_service(&self.service, |admission, now| {
            admission.controller.admit(number, now);
        });
    }

    /// Records that the request waits; returns whether it is the first time.
    fn record_wait(&self) -> bool {
        if self.has_waited.replace(true) {
            return false;
        }
        self.desk.with_service(&self.service, |admission, _| admission.waited += 1);
        true
    }
}

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        let end = match self.trace.outcome() {
            Some(RequestOutcome::Answered(status)) if status < 500 => AdmissionEnd::Served,
            Some(RequestOutcome::Refused(_) | RequestOutcome::Rejected(_)) => AdmissionEnd::NotRun,
            _ => AdmissionEnd::Failed,
        };
        let number = self.number;
        self.desk.with_service(&self.service, |admission, now| {
            admission.controller.leave(number, end, now);
        });
    }
}

impl RequestHandler {
    /// Waits until a request may be placed, or refuses it. Returns no guard where admission isn't decided on.
    pub(super) async fn admit_request<'a>(
        &'a self,
        request: &RoutedRequest<'_>,
        trace: &'a RequestTrace,
    ) -> Result<Option<AdmissionGuard<'a>>, LocalReply> {
        if !self.pace.is_contended() || !self.is_model(&request.service) {
            return Ok(None);
        }
        let guard = AdmissionGuard::new(&self.admission, request, trace);
        let record = |decision| {
            self.metrics.admission.record_decision(&request.service, request.priority, decision);
        };
        // Streams that go on were admitted when they began, and requests that another node handed over are
        // late already. Only a stream whose beginning is known has a version, whatever its caller says.
        if request.pin != VersionPin::Any || request.is_handed_over {
            guard.admit();
            record(CountedDecision::Admitted);
            return Ok(Some(guard));
        }
        loop {
            match self.admission.decide(&request.service, guard.number) {
                AdmissionVerdict::Admitted => {
                    record(CountedDecision::Admitted);
                    return Ok(Some(guard));
                }
                AdmissionVerdict::Waits(wait) => {
                    if guard.record_wait() {
                        record(CountedDecision::Waited);
                    }
                    self.clock.sleep(wait).await;
                }
                AdmissionVerdict::Refused { reason, retry_after } => {
                    record(CountedDecision::Refused);
                    self.metrics.admission.record_refusal(&request.service, reason.label());
                    return Err(LocalReply::refused(refusal_text(reason), retry_after));
                }
            }
        }
    }

    fn is_model(&self, service: &str) -> bool {
        let desired = self.mirror.desired();
        let entry = desired.as_ref().and_then(|desired| desired.service(service));
        entry.is_some_and(|entry| entry.engine.is_some())
    }
}

fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TooLate => "too many requests to answer in time",
        RefusalReason::UnusualLoad => "organisation sends many times its usual load",
        RefusalReason::SentAgainEarly => "request was sent again too early",
        RefusalReason::TierFloor => "other tiers are served too rarely",
    }
}

fn admission_ask(request: &RoutedRequest<'_>, unix_ms: u64) -> AdmissionAsk {
    let RoutedRequest { route, message, arrived, deadline, .. } = request;
    let gap_limit = match route.kind {
        RouteKind::Stream => MIN_GAP_LIMIT
            .max(route.target * TARGET_GAP_FACTOR)
            .max(route.gap_target.unwrap_or_default() * GAP_TARGET_FACTOR),
        RouteKind::Safe | RouteKind::Unsafe => deadline.saturating_sub(*arrived),
    };
    let content = (&request.headers.key, &message.method, &message.target, request.body);
    let id = request.headers.request_id.as_ref();
    AdmissionAsk {
        tier: request.priority,
        organisation: request.organisation.as_ref().map_or(0, |name| hash_of(name).max(1)),
        arrived: *arrived,
        objective: *arrived + route.target,
        deadline: *deadline,
        gap_limit,
        work: RequestSize::work(request.headers.size, request.speed),
        identity: id.map_or(0, |id| hash_of(&(id, &content)).max(1)),
        draw: draw_of(&content, unix_ms / DRAW_PERIOD_MS),
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = FastHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns a number from 0 to 1, the same at all nodes.
fn draw_of(content: &impl Hash, period: u64) -> f64 {
    fastrand::Rng::with_seed(hash_of(&(content, period))).f64()
}
