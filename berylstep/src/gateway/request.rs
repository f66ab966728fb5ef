//! The way of one request: identify, place, send, relay, settle.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::budget::SharedBudget;
use berylstep_core::fleet::choice::{self, PlacementQuery};
use berylstep_core::fleet::desired::{RouteEntry, RouteKind};
use berylstep_http::{MessageStream, RequestMessage};
use smol::future;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::{AttemptOutcome, AttemptTerms, ReplicaTarget, StartedResponse};
use crate::gateway::demand::DemandLedger;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::response::{AnswerWriter, OwnAnswer};
use crate::gateway::service_level::LevelLedger;
use crate::gateway::settings::{GatewaySettings, LiveSettings};
use crate::gateway::stop::GracefulStop;
use crate::gateway::telemetry::{GatewayMetrics, RequestEnd, RequestTrace};
use crate::gateway::upstreams::UpstreamPool;
use crate::gateway::usage::UsageLedger;
use crate::platform::headers::CallerHeaders;

/// Bytes that a caller may send ahead while its request is served.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// Time after which a caller that was turned away may come back: about the time in which a place at
/// a replica frees. Spread, so that callers don't return together.
const RETURN_TIME: Duration = Duration::from_millis(250);

/// Longest time for which a request without a deadline of its caller or route is kept.
const MAX_PATIENCE: Duration = Duration::from_secs(60);

/// Targets after which an idempotent request without an answer is tried elsewhere.
const SILENCE_TARGETS: f64 = 2.5;

/// Shortest time without an answer after which an idempotent request is tried elsewhere.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Everything that serving a request uses.
pub struct RequestDesk {
    /// Settings of the start.
    pub settings: Rc<GatewaySettings>,
    /// Settings that may change.
    pub live: Rc<LiveSettings>,
    /// Clock.
    pub clock: RuntimeClock,
    /// Copy of the store.
    pub mirror: Rc<StoreMirror>,
    /// Other nodes.
    pub peers: Rc<PeerTable>,
    /// Connections to replicas.
    pub upstreams: UpstreamPool,
    /// Usage.
    pub usage: Rc<UsageLedger>,
    /// Planned stop.
    pub stop: Rc<GracefulStop>,
    /// Metrics.
    pub metrics: Rc<GatewayMetrics>,
    /// Service levels.
    pub levels: Rc<LevelLedger>,
    /// Demand.
    pub demand: Rc<DemandLedger>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<SharedName, SharedBudget>>,
}

/// A request whose route and organisation are known.
pub struct RoutedRequest<'a> {
    /// Head as received.
    pub message: &'a RequestMessage,
    /// Body.
    pub body: &'a [u8],
    /// What the caller says of it.
    pub headers: CallerHeaders,
    /// Route.
    pub route: Arc<RouteEntry>,
    /// Service that serves it.
    pub service: SharedName,
    /// Organisation that holds its key.
    pub organisation: Option<SharedName>,
    /// Rank, where 0 is served first.
    pub priority: u8,
    /// When it began to arrive.
    pub arrived: Duration,
    /// When it must have its final answer.
    pub deadline: Duration,
    /// Whether its usage was counted.
    pub counted: Cell<bool>,
}

impl RoutedRequest<'_> {
    /// Identifier for the log.
    pub fn id(&self) -> &str {
        self.headers.request_id.as_deref().unwrap_or("-")
    }
}

/// What becomes of the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedEnd {
    /// The answer was written whole.
    Whole,
    /// The answer broke off, or the caller left.
    Broken,
}

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Replicas to which it was sent.
    pub tried: Vec<SharedName>,
    /// Attempts that reached a replica.
    pub sent: u32,
    /// Attempts that may have run.
    pub ran: u32,
}

impl RequestDesk {
    /// Serves one request; `false` means that the connection takes no other one.
    pub async fn serve(
        &self,
        caller: &mut MessageStream,
        message: &RequestMessage,
        body: &[u8],
        arrived: Duration,
    ) -> bool {
        let _open = self.stop.open_request();
        let keep_alive = message.keep_alive && !self.stop.is_stopping();
        let mut writer = AnswerWriter::new(caller.stream.clone(), &message.method, keep_alive);
        let trace = RequestTrace::new(arrived);
        let serving = async {
            match self.identify(message, body, arrived) {
                Ok(request) => self.run(&request, &mut writer, &trace).await,
                Err(own) => {
                    trace.end(RequestEnd::Rejected(own.reason));
                    self.finish(&mut writer, &own).await
                }
            }
        };
        let leaving = async {
            caller_leaves(caller).await;
            trace.end(RequestEnd::CallerLeft);
            ServedEnd::Broken
        };
        let end = future::or(serving, leaving).await;
        let headers = CallerHeaders::read(&message.headers);
        trace.settle(&self.metrics, &self.levels, headers.request_id.as_deref(), self.clock.now());
        end == ServedEnd::Whole && keep_alive
    }

    /// Finds the route and the organisation of a request.
    fn identify<'a>(
        &self,
        message: &'a RequestMessage,
        body: &'a [u8],
        arrived: Duration,
    ) -> Result<RoutedRequest<'a>, OwnAnswer> {
        let Some(desired) = self.mirror.desired().filter(|_| self.mirror.is_complete()) else {
            return Err(OwnAnswer::refused("not ready", self.return_time()));
        };
        let host = message.headers.get("host").unwrap_or_default();
        let Some(route) = desired.route(host, message.path()).cloned() else {
            return Err(OwnAnswer::rejected(404, "no such route"));
        };
        let headers = CallerHeaders::read(&message.headers);
        let holder = headers.key.as_deref().and_then(|key| desired.organisation(key));
        if desired.requires_keys && !route.public && holder.is_none() {
            return Err(OwnAnswer::rejected(401, "unknown key"));
        }
        let Some(service) = route.service(fastrand::f64()).cloned() else {
            return Err(OwnAnswer::refused("route has no service", self.return_time()));
        };
        let timeout = headers.timeout.unwrap_or(MAX_PATIENCE).min(route.timeout);
        if !self.stop.admits(timeout) {
            return Err(OwnAnswer::refused("node is stopping", Duration::from_millis(20)));
        }
        Ok(RoutedRequest {
            message,
            body,
            organisation: holder.map(|organisation| organisation.name.clone()),
            priority: route.rank(holder.and_then(|holder| holder.priority)),
            headers,
            route,
            service,
            arrived,
            deadline: arrived + timeout,
            counted: Cell::new(false),
        })
    }

    /// Sends a request to replicas until one of them answers it or it must not be sent again.
    async fn run(
        &self,
        request: &RoutedRequest<'_>,
        writer: &mut AnswerWriter,
        trace: &RequestTrace,
    ) -> ServedEnd {
        trace.route(request);
        self.demand.note(&request.service, request.headers.size);
        self.with_budget(&request.service, |budget, desk| {
            budget.note_request(&desk.live.get().retry, desk.clock.now());
        });
        let mut history = AttemptHistory::default();
        let mut next = self.next_target(request, &mut history);
        loop {
            let Some(target) = next else {
                let own = self.give_up(&history, "no replica takes the request");
                trace.end(own_end(&own));
                return self.finish(writer, &own).await;
            };
            let silence = self.silence(request, &history);
            let terms = AttemptTerms { last_event: None, silence, moved_run: None };
            let end = self.attempt(request, &target, terms).await;
            trace.attempt(request, &target, &end, self.clock.now());
            next = match end {
                AttemptOutcome::Answer(begun) => {
                    history.sent += 1;
                    history.ran += 1;
                    let is_failure = begun.response.status >= 500;
                    let again = match is_failure && self.may_repeat(request, &history) {
                        true => self.next_target(request, &mut history),
                        false => None,
                    };
                    if again.is_none() {
                        return self.relay(request, *begun, &mut history, writer, trace).await;
                    }
                    begun.give_back(&self.upstreams);
                    again
                }
                AttemptOutcome::NotSent(_) => self.next_target(request, &mut history),
                AttemptOutcome::NotExecuted(_) => {
                    history.sent += 1;
                    self.next_target(request, &mut history)
                }
                AttemptOutcome::Lost(reason) => {
                    history.sent += 1;
                    history.ran += 1;
                    if !self.may_repeat(request, &history) {
                        self.note_lost_answer(request, &target.id);
                        let own = OwnAnswer::lost(reason);
                        trace.end(own_end(&own));
                        return self.finish(writer, &own).await;
                    }
                    self.next_target(request, &mut history)
                }
                AttemptOutcome::TimedOut => {
                    // A stream may have waited for its turn until now.
                    if request.route.kind != RouteKind::Stream {
                        self.note_lost_answer(request, &target.id);
                    }
                    let own = OwnAnswer::timed_out();
                    trace.end(own_end(&own));
                    return self.finish(writer, &own).await;
                }
            };
        }
    }

    /// Whether the request may run on one more replica.
    pub(super) fn may_repeat(&self, request: &RoutedRequest<'_>, history: &AttemptHistory) -> bool {
        request.route.is_repeatable()
            && history.ran < request.route.attempts
            && self.clock.now() < request.deadline
            && self.has_other_replica(request, history)
    }

    fn has_other_replica(&self, request: &RoutedRequest<'_>, history: &AttemptHistory) -> bool {
        let replicas = self.mirror.replicas.borrow();
        let mut ready = replicas.ready(&request.service);
        ready.any(|row| !history.tried.contains(&row.entry.id))
    }

    /// Chooses the next replica; a repeat is taken out of the retry budget.
    pub(super) fn next_target(
        &self,
        request: &RoutedRequest<'_>,
        history: &mut AttemptHistory,
    ) -> Option<ReplicaTarget> {
        let now = self.clock.now();
        if now >= request.deadline {
            return None;
        }
        let target = self.place(request, &history.tried)?;
        if history.sent > 0 {
            let bounds = self.live.get().retry;
            let nodes = self.peers.peak_nodes();
            let granted = self.with_budget(&request.service, |budget, _| {
                budget.try_withdraw(&bounds, nodes, now)
            });
            if !granted {
                log::info!(
                    "event=retry_denied id={} service={} reason=budget sent={}",
                    request.id(),
                    request.service,
                    history.sent
                );
                return None;
            }
        }
        history.tried.push(target.id.clone());
        Some(target)
    }

    pub(super) fn place(
        &self,
        request: &RoutedRequest<'_>,
        tried: &[SharedName],
    ) -> Option<ReplicaTarget> {
        let replicas = self.mirror.replicas.borrow();
        let query = PlacementQuery {
            service: &request.service,
            size: request.headers.size,
            session: request.headers.session.as_deref(),
            short_share: self.demand.short_share(&request.service),
            zone: &self.settings.zone,
            excluded: tried,
        };
        let placement = choice::choose(&replicas, &query, self.clock.now())?;
        let address = replicas.get(&placement.replica)?.entry.address;
        let warm = placement.warm.and_then(|warm| Some(replicas.get(&warm)?.entry.address));
        Some(ReplicaTarget { id: placement.replica, address, warm })
    }

    /// Time without an answer after which a request is tried elsewhere; `None` waits for the
    /// deadline.
    fn silence(&self, request: &RoutedRequest<'_>, history: &AttemptHistory) -> Option<Duration> {
        let repeatable = request.route.is_repeatable()
            && history.ran + 1 < request.route.attempts
            && self.has_other_replica(request, history);
        repeatable.then(|| request.route.target.mul_f64(SILENCE_TARGETS).max(MIN_SILENCE))
    }

    fn give_up(&self, history: &AttemptHistory, reason: &'static str) -> OwnAnswer {
        match history.ran {
            0 => OwnAnswer::refused(reason, self.return_time()),
            _ => OwnAnswer::lost("replicas failed"),
        }
    }

    fn return_time(&self) -> Duration {
        RETURN_TIME.mul_f64(0.5 + fastrand::f64())
    }

    fn with_budget<T>(
        &self,
        service: &SharedName,
        change: impl FnOnce(&mut SharedBudget, &Self) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        change(budgets.entry(service.clone()).or_default(), self)
    }

    /// Tells the metrics what is left of the retry budgets.
    pub fn note_budgets(&self) {
        let (bounds, nodes) = (self.live.get().retry, self.peers.peak_nodes());
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            let left = budget.remaining(&bounds, nodes, self.clock.now());
            self.metrics.note_retry_budget(service, left);
        }
    }

    async fn finish(&self, writer: &mut AnswerWriter, own: &OwnAnswer) -> ServedEnd {
        match writer.write_own(own).await {
            Ok(()) => ServedEnd::Whole,
            Err(err) => {
                log::debug!("event=answer_not_written status={} error=\"{err}\"", own.status);
                ServedEnd::Broken
            }
        }
    }

    /// Passes an answer on to the caller.
    async fn relay(
        &self,
        request: &RoutedRequest<'_>,
        begun: StartedResponse,
        history: &mut AttemptHistory,
        writer: &mut AnswerWriter,
        trace: &RequestTrace,
    ) -> ServedEnd {
        if begun.is_whole() {
            trace.end(RequestEnd::Answered(begun.response.status));
            let written = writer.write_whole(&begun.response, &begun.content).await;
            begun.give_back(&self.upstreams);
            return if written.is_ok() { ServedEnd::Whole } else { ServedEnd::Broken };
        }
        let end = self.relay_stream(request, begun, history, writer, trace).await;
        let result = match end {
            RequestEnd::Answered(_) => ServedEnd::Whole,
            _ => ServedEnd::Broken,
        };
        trace.end(end);
        result
    }
}

fn own_end(own: &OwnAnswer) -> RequestEnd {
    match own.status {
        503 => RequestEnd::Refused(own.reason),
        504 => RequestEnd::TimedOut,
        _ => RequestEnd::Lost(own.reason),
    }
}

/// Waits until the caller closes its connection; bytes of its next request are kept.
async fn caller_leaves(caller: &mut MessageStream) {
    while caller.buffered_bytes() < MAX_AHEAD_BYTES {
        match caller.fill().await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
    future::pending().await
}
