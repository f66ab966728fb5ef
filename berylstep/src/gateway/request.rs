//! Lifecycle of a request: routing, placement, attempts, response relay and accounting.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::announced::Freshness;
use berylstep_core::fleet::budget::SharedBudget;
use berylstep_core::fleet::desired::{DesiredState, OrganisationEntry, RouteEntry, RouteKind};
use berylstep_core::fleet::engine::EngineSpeed;
use berylstep_core::fleet::origins::VersionPin;
use berylstep_core::fleet::quarantine::{EvidenceKey, QuarantineVerdict};
use berylstep_core::fleet::stop::CutRisk;
use berylstep_http::{MessageStream, RequestMessage};
use smol::future;

use crate::clock::RuntimeClock;
use crate::gateway::admission::AdmissionDesk;
use crate::gateway::attempt::{AttemptOutcome, StartedResponse};
use crate::gateway::brittle::BrittleWatch;
use crate::gateway::cold::ColdWatch;
use crate::gateway::demand::DemandLedger;
use crate::gateway::freshness::FreshnessWatch;
use crate::gateway::handover::PausedPeers;
use crate::gateway::hedging::HedgeWatch;
use crate::gateway::holdings::HoldGuard;
use crate::gateway::limits::LimitWatch;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::origins::OriginDesk;
use crate::gateway::pace::PaceWatch;
use crate::gateway::peers::PeerTable;
use crate::gateway::quarantine::{evidence_keys, CrashWatch, RequestContent};
use crate::gateway::reach::ReachWatch;
use crate::gateway::response::{LocalReply, ResponseWriter};
use crate::gateway::runs::RunWatch;
use crate::gateway::service_level::ServiceLevels;
use crate::gateway::settings::{GatewaySettings, LiveSettings};
use crate::gateway::slots::SlotDesk;
use crate::gateway::stop::GracefulStop;
use crate::gateway::telemetry::{GatewayMetrics, RequestOutcome, RequestTrace};
use crate::gateway::turns::TurnDesk;
use crate::gateway::upstreams::UpstreamPool;
use crate::gateway::usage::UsageLedger;
use crate::platform::headers::CallerHeaders;

/// Bytes of pipelined requests that are buffered while a request is served; about one read.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;

/// Mean `Retry-After` of a refused request, about the time until a replica has room again. Jitter
/// keeps callers from retrying at the same time.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Timeout of a request whose caller sets no deadline. The timeout of its route caps it.
pub(super) const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves callers' requests: routes them, sends them to replicas and relays the responses.
pub struct RequestHandler {
    /// Settings at startup.
    pub settings: Rc<GatewaySettings>,
    /// Settings that a reload may change.
    pub live: Rc<LiveSettings>,
    /// Clock for deadlines and timeouts.
    pub clock: RuntimeClock,
    /// Time at which the node started.
    pub started_at: Duration,
    /// Local copy of the platform's store.
    pub mirror: Rc<StoreMirror>,
    /// Whether this node is behind the desired state of its peers.
    pub freshness: Rc<FreshnessWatch>,
    /// Limits that replicas name.
    pub limits: Rc<LimitWatch>,
    /// Cold replicas.
    pub cold: Rc<ColdWatch>,
    /// Paces of replicas.
    pub pace: Rc<PaceWatch>,
    /// Response times and budgets of hedged requests.
    pub hedging: Rc<HedgeWatch>,
    /// Replicas that are brittle.
    pub brittle: Rc<BrittleWatch>,
    /// Requests of this node at replicas.
    pub runs: Rc<RunWatch>,
    /// Slots of brittle replicas.
    pub slots: Rc<SlotDesk>,
    /// Turns at replicas that have named a limit.
    pub turns: Rc<TurnDesk>,
    /// Origins of streams that callers may take up.
    pub origins: Rc<OriginDesk>,
    /// Prompts that crash replicas.
    pub crashes: Rc<CrashWatch>,
    /// Other nodes of the fleet.
    pub peers: Rc<PeerTable>,
    /// Idle connections to replicas.
    pub upstreams: UpstreamPool,
    /// Services that this node is cut off from.
    pub reach: Rc<ReachWatch>,
    /// Idle connections to nodes that take requests over.
    pub peer_connections: UpstreamPool,
    /// Nodes that are offered no requests for now.
    pub paused_peers: PausedPeers,
    /// Usage counts by organisation.
    pub usage: Rc<UsageLedger>,
    /// Graceful stop and the number of open requests.
    pub stop: Rc<GracefulStop>,
    /// Metrics of this gateway.
    pub metrics: Rc<GatewayMetrics>,
    /// Outcomes against latency targets.
    pub levels: Rc<ServiceLevels>,
    /// Demand by service.
    pub demand: Rc<DemandLedger>,
    /// Retry budget of each service.
    pub budgets: RefCell<HashMap<SharedName, SharedBudget>>,
    /// Admission while callers compete for room.
    pub admission: AdmissionDesk,
}

/// A request whose head names a route that its caller may use.
pub(super) struct AuthorisedRequest {
    desired: Arc<DesiredState>,
    route: Arc<RouteEntry>,
    headers: CallerHeaders,
    holder: Option<OrganisationEntry>,
}

impl AuthorisedRequest {
    /// Returns the organisation of the caller's key.
    pub(super) fn organisation(self) -> Option<SharedName> {
        self.holder.map(|holder| holder.name)
    }
}

/// A request whose route and organisation are known.
pub struct RoutedRequest<'a> {
    /// Request head as received.
    pub message: &'a RequestMessage,
    /// Complete request body.
    pub body: &'a [u8],
    /// What is held for its connection.
    pub hold: &'a HoldGuard,
    /// Caller's headers that the gateway interprets.
    pub headers: CallerHeaders,
    /// Route that matches the host and the path.
    pub route: Arc<RouteEntry>,
    /// Service chosen from the route's traffic split.
    pub service: SharedName,
    /// Organisation that the caller's key belongs to.
    pub organisation: Option<SharedName>,
    /// Speed of the service's engines.
    pub speed: EngineSpeed,
    /// What evidence about crashes is collected for.
    pub evidence: Vec<EvidenceKey>,
    /// Whether another node has handed it over.
    pub is_handed_over: bool,
    /// Version at which it must run, if it takes up a stream.
    pub pin: VersionPin,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Time at which its first byte arrived.
    pub arrived: Duration,
    /// Time by which the response must be complete.
    pub deadline: Duration,
    /// Whether it is already counted as usage.
    pub counted: Cell<bool>,
}

impl RoutedRequest<'_> {
    /// Returns the caller's request identifier, or `-` without one.
    pub fn id(&self) -> &str {
        self.headers.request_id.as_deref().unwrap_or("-")
    }
}

/// Who sent a request to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSource {
    /// A caller.
    Caller,
    /// A node that is cut off from the replicas.
    Peer,
}

/// Whether the caller received the complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseDelivery {
    /// The response was written completely.
    Complete,
    /// The response was cut short, or the caller disconnected.
    Aborted,
}

/// Attempts made so far for a request.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Replicas that were selected for it.
    pub tried: Vec<SharedName>,
    /// Version at which it must run, once an event has reached the caller.
    pub pin: VersionPin,
    /// Attempts that reached a replica.
    pub sent: u32,
    /// Attempts that the replica may have executed.
    pub ran: u32,
    /// Whether a second attempt was sent while the first had no response.
    pub is_hedged: bool,
    /// Whether it reviews the quarantine of its prompt, for which it may run once.
    pub is_review: bool,
    /// Time until a turn or a slot at its replicas is expected, if none has any now.
    pub turn_wait: Option<Duration>,
}

impl RequestHandler {
    /// Serves a request. Returns `false` if the connection must be closed afterwards.
    pub async fn serve(
        &self,
        caller: &mut MessageStream,
        message: &RequestMessage,
        body: &[u8],
        arrived: Duration,
        hold: &HoldGuard,
        source: RequestSource,
    ) -> bool {
        let _open = self.stop.open_request();
        let keep_alive = message.keep_alive && !self.stop.is_stopping();
        let mut writer = ResponseWriter::new(caller.stream.clone(), &message.method, keep_alive)
            .holding(hold, body.len());
        let trace = RequestTrace::new(arrived, self.mirror.desired_version());
        // The state of a request is large, and futures that contain it by value hold it more than once.
        let serving = Box::pin(async {
            let mut request = match self.resolve(message, body, arrived, hold) {
                Ok(request) => request,
                Err(reply) => {
                    trace.record_outcome(RequestOutcome::Rejected(reply.reason));
                    return self.send_reply(&mut writer, &reply).await;
                }
            };
            request.is_handed_over = source == RequestSource::Peer;
            trace.record_route(&request);
            if let Some(delivery) = self.hand_over(&request, &mut writer, &trace).await {
                return delivery;
            }
            let pinned = self.pin_stream(&mut request).await;
            trace.record_route(&request);
            match pinned {
                Ok(()) => self.forward(&request, &mut writer, &trace).await,
                Err(reply) => {
                    trace.record_outcome(reply_outcome(&reply));
                    self.send_reply(&mut writer, &reply).await
                }
            }
        });
        let disconnecting = async {
            caller_disconnects(caller).await;
            trace.record_outcome(RequestOutcome::CallerLeft);
            ResponseDelivery::Aborted
        };
        let ending = async {
            self.stop.wait_last_answers().await;
            if trace.has_content() {
                future::pending::<()>().await;
            }
            None
        };
        let served = async { Some(future::or(serving, disconnecting).await) };
        let delivery = match future::or(served, ending).await {
            Some(delivery) => delivery,
            None => {
                let reply = self.last_reply(&trace);
                trace.record_outcome(reply_outcome(&reply));
                self.send_reply(&mut writer, &reply).await
            }
        };
        let headers = CallerHeaders::read(&message.headers);
        // The node that has the caller counts its service level.
        let levels = (source == RequestSource::Caller).then_some(&*self.levels);
        trace.finish(&self.metrics, levels, headers.request_id.as_deref(), self.clock.now());
        delivery == ResponseDelivery::Complete && keep_alive
    }

    /// Returns the reply to a request without a response whose node is about to end.
    fn last_reply(&self, trace: &RequestTrace) -> LocalReply {
        match trace.is_offered() {
            true => LocalReply::timed_out(),
            false => LocalReply::refused("node is stopping", self.retry_after()),
        }
    }

    /// Finds the route of a request and the organisation of its key, which its head tells.
    pub(super) fn authorise(
        &self,
        message: &RequestMessage,
    ) -> Result<AuthorisedRequest, LocalReply> {
        let Some(desired) = self.mirror.desired().filter(|_| self.mirror.is_complete()) else {
            return Err(LocalReply::refused("not ready", self.retry_after()));
        };
        let freshness = self.freshness.freshness();
        let stale_reply = || LocalReply::refused("desired state is outdated", self.retry_after());
        if freshness == Freshness::Overdue {
            return Err(stale_reply());
        }
        // A newer desired state may have the route or the key.
        let rejection = |status, reason| match freshness {
            Freshness::Current => LocalReply::rejected(status, reason),
            Freshness::Behind | Freshness::Overdue => stale_reply(),
        };
        let host = message.headers.get("host").unwrap_or_default();
        let Some(route) = desired.route(host, message.path()).cloned() else {
            return Err(rejection(404, "no such route"));
        };
        let headers = CallerHeaders::read(&message.headers);
        let holder = headers.key.as_deref().and_then(|key| desired.organisation(key)).cloned();
        if desired.requires_keys && !route.public && holder.is_none() {
            return Err(rejection(401, "unknown key"));
        }
        Ok(AuthorisedRequest { desired, route, headers, holder })
    }

    /// Resolves the route, the service and the organisation of a request.
    fn resolve<'a>(
        &self,
        message: &'a RequestMessage,
        body: &'a [u8],
        arrived: Duration,
        hold: &'a HoldGuard,
    ) -> Result<RoutedRequest<'a>, LocalReply> {
        let AuthorisedRequest { desired, route, headers, holder } = self.authorise(message)?;
        let Some(service) = route.service(fastrand::f64()).cloned() else {
            return Err(LocalReply::refused("route has no service", self.retry_after()));
        };
        let timeout = headers.timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT).min(route.timeout);
        if !self.stop.admits(timeout, cut_risk(&route)) {
            return Err(LocalReply::refused("node is stopping", Duration::from_millis(20)));
        }
        let evidence = content_keys(&service, message, body, &headers);
        Ok(RoutedRequest {
            message,
            body,
            hold,
            priority: route.rank(holder.as_ref().and_then(|holder| holder.priority)),
            organisation: holder.map(|organisation| organisation.name),
            evidence,
            is_handed_over: false,
            pin: VersionPin::Any,
            headers,
            speed: self.engine_speed(&desired, &service),
            route,
            service,
            arrived,
            deadline: arrived + timeout,
            counted: Cell::new(false),
        })
    }

    /// Routes a request to another service of its route.
    pub(super) fn redirect_to(&self, request: &mut RoutedRequest<'_>, service: SharedName) {
        request.evidence = content_keys(&service, request.message, request.body, &request.headers);
        if let Some(desired) = self.mirror.desired() {
            request.speed = self.engine_speed(&desired, &service);
        }
        request.service = service;
    }

    /// Sends a request to replicas until one responds or no retry is allowed.
    async fn forward(
        &self,
        request: &RoutedRequest<'_>,
        writer: &mut ResponseWriter<'_>,
        trace: &RequestTrace,
    ) -> ResponseDelivery {
        let verdict = self.check_request(request);
        if let QuarantineVerdict::Refused(wait) = verdict {
            let reply = self.quarantine_reply(wait);
            trace.record_outcome(reply_outcome(&reply));
            return self.send_reply(writer, &reply).await;
        }
        self.demand.record_arrival(&request.service, request.headers.size, request.speed);
        self.with_budget(&request.service, |budget, handler| {
            budget.record_request(&handler.live.get().retry, handler.clock.now());
        });
        self.count_for_hedging(request);
        let is_review = verdict == QuarantineVerdict::Review;
        let pin = request.pin;
        let mut history = AttemptHistory { is_review, pin, ..AttemptHistory::default() };
        if request.is_handed_over && self.reach.is_cut_off(&request.service) {
            let reply = LocalReply::refused("node is cut off", self.retry_after());
            trace.record_outcome(reply_outcome(&reply));
            return self.send_reply(writer, &reply).await;
        }
        let _admission = match self.admit_request(request, trace).await {
            Ok(guard) => guard,
            Err(reply) => {
                trace.record_outcome(reply_outcome(&reply));
                return self.send_reply(writer, &reply).await;
            }
        };
        let mut next = self.select_replica(request, &mut history).await;
        loop {
            let Some(target) = next else {
                let reply = self.failure_reply(request, &history, "no replica takes the request");
                trace.record_outcome(reply_outcome(&reply));
                return self.send_reply(writer, &reply).await;
            };
            trace.record_offer();
            let (target, outcome) =
                self.attempt_until_silent(request, target, &mut history, trace).await;
            trace.record_attempt(request, &target, &outcome, self.clock.now());
            next = match outcome {
                AttemptOutcome::Responded(response) => {
                    history.sent += 1;
                    history.ran += 1;
                    let is_failure = response.head.status >= 500;
                    let retry_target = match is_failure && self.may_retry(request, &history) {
                        true => self.select_replica(request, &mut history).await,
                        false => None,
                    };
                    if retry_target.is_none() {
                        return self.relay(request, *response, &mut history, writer, trace).await;
                    }
                    response.release_connection(&self.upstreams);
                    retry_target
                }
                AttemptOutcome::NotSent(_) => self.select_replica(request, &mut history).await,
                AttemptOutcome::NotExecuted(_) => {
                    history.sent += 1;
                    self.select_replica(request, &mut history).await
                }
                AttemptOutcome::Lost(reason) => {
                    history.sent += 1;
                    history.ran += 1;
                    self.crashes.report_loss(request, &target);
                    if !self.may_retry(request, &history) {
                        self.record_lost_response(request, &target.id);
                        let reply = LocalReply::lost(reason);
                        trace.record_outcome(reply_outcome(&reply));
                        return self.send_reply(writer, &reply).await;
                    }
                    self.select_replica(request, &mut history).await
                }
                AttemptOutcome::TimedOut => {
                    // A stream may have been queued at the replica until the deadline, so it
                    // doesn't count as lost.
                    if request.route.kind != RouteKind::Stream {
                        self.record_lost_response(request, &target.id);
                    }
                    let reply = LocalReply::timed_out();
                    trace.record_outcome(reply_outcome(&reply));
                    return self.send_reply(writer, &reply).await;
                }
            };
            // A retry has been charged to the budget if a replica was selected for it.
            if history.sent == 0 || next.is_some() {
                if let Some(delivery) = self.hand_over(request, writer, trace).await {
                    return delivery;
                }
            }
        }
    }

    fn engine_speed(&self, desired: &DesiredState, service: &str) -> EngineSpeed {
        let engine = desired.service(service).and_then(|service| service.engine.as_ref());
        self.demand.engine_speed(service, engine.map(|engine| engine.slots))
    }

    fn failure_reply(
        &self,
        request: &RoutedRequest<'_>,
        history: &AttemptHistory,
        reason: &'static str,
    ) -> LocalReply {
        match (history.ran, self.quarantine_wait(request, history), history.turn_wait) {
            (0, Some(wait), _) => self.quarantine_reply(wait),
            (0, None, Some(wait)) => LocalReply::refused("replicas are at their limits", wait),
            (0, None, None) => {
                LocalReply::refused(reason, self.service_retry_after(&request.service))
            }
            _ => LocalReply::lost("replicas failed"),
        }
    }

    /// Returns the time after which a refused request to `service` may be sent again. If all its
    /// replicas have asked for quiet, it is the time until the first accepts requests again.
    fn service_retry_after(&self, service: &str) -> Duration {
        let now = self.clock.now();
        let replicas = self.mirror.replicas.borrow();
        let quiet = match replicas.available(service, now).next() {
            Some(_) => None,
            None => replicas.ready(service).filter_map(|row| row.quiet_until(now)).min(),
        };
        quiet.map_or(Duration::ZERO, |until| until - now) + self.retry_after()
    }

    pub(super) fn retry_after(&self) -> Duration {
        RETRY_AFTER.mul_f64(0.5 + fastrand::f64())
    }

    pub(super) async fn send_reply(
        &self,
        writer: &mut ResponseWriter<'_>,
        reply: &LocalReply,
    ) -> ResponseDelivery {
        match writer.write_reply(reply).await {
            Ok(()) => ResponseDelivery::Complete,
            Err(err) => {
                log::debug!("event=answer_not_written status={} error=\"{err}\"", reply.status);
                ResponseDelivery::Aborted
            }
        }
    }

    /// Relays a replica's response to the caller.
    async fn relay(
        &self,
        request: &RoutedRequest<'_>,
        response: StartedResponse,
        history: &mut AttemptHistory,
        writer: &mut ResponseWriter<'_>,
        trace: &RequestTrace,
    ) -> ResponseDelivery {
        if let Some(body) = &response.body {
            // A failing replica may not have run the request.
            if response.head.status < 500 {
                self.crashes.record_started(&request.evidence);
            }
            trace.record_outcome(RequestOutcome::Answered(response.head.status));
            let written = writer.write_whole(&response.head, body).await;
            response.release_connection(&self.upstreams);
            return if written.is_ok() {
                ResponseDelivery::Complete
            } else {
                ResponseDelivery::Aborted
            };
        }
        let outcome = self.relay_stream(request, response, history, writer, trace).await;
        let delivery = match outcome {
            RequestOutcome::Answered(_) => ResponseDelivery::Complete,
            _ => ResponseDelivery::Aborted,
        };
        trace.record_outcome(outcome);
        delivery
    }
}

/// Returns what evidence about crashes is collected for.
fn content_keys(
    service: &str,
    message: &RequestMessage,
    body: &[u8],
    headers: &CallerHeaders,
) -> Vec<EvidenceKey> {
    let content = RequestContent {
        service,
        caller: headers.key.as_deref().unwrap_or_default(),
        host: message.headers.get("host").unwrap_or_default(),
        method: &message.method,
        target: &message.target,
        body,
    };
    evidence_keys(&content, &headers.parts)
}

/// Returns what it means for the caller of a request on `route` that it is cut off.
fn cut_risk(route: &RouteEntry) -> CutRisk {
    match route.kind {
        _ if route.is_retryable() => CutRisk::Repeatable,
        RouteKind::Stream => CutRisk::BrokenStream,
        RouteKind::Safe | RouteKind::Unsafe => CutRisk::UnknownEffect,
    }
}

pub(super) fn reply_outcome(reply: &LocalReply) -> RequestOutcome {
    match reply.status {
        503 => RequestOutcome::Refused(reply.reason),
        504 => RequestOutcome::TimedOut,
        _ => RequestOutcome::Lost(reply.reason),
    }
}

/// Waits until the caller closes its connection. Bytes of its next request stay buffered.
async fn caller_disconnects(caller: &mut MessageStream) {
    while caller.buffered_bytes() < MAX_PIPELINED_BYTES {
        match caller.fill().await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
    future::pending().await
}
