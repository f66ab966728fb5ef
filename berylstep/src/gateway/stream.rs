//! Relays streams to callers and resumes them on another replica if the route allows it.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::departure::{is_move_due, StreamProgress};
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::events::{EndMarker, EventSplitter};
use berylstep_core::fleet::origins::{StreamOrigin, VersionPin};
use berylstep_http::{BodyError, BodyFraming, ResponseMessage};
use smol::future;

use crate::gateway::attempt::{AttemptOptions, AttemptOutcome, ReplicaTarget, StartedResponse};
use crate::gateway::pace::EventTiming;
use crate::gateway::request::{AttemptHistory, RequestHandler, RoutedRequest};
use crate::gateway::response::ResponseWriter;
use crate::gateway::telemetry::{
    RequestOutcome, RequestTrace, ResumeCause, Resumption, StreamEnd, StreamReport,
};
use crate::platform::engines::{may_have_stopped, MoveOutcome, MovePhase};
use crate::platform::headers::MovedRun;
use crate::platform::{CallError, PlatformClient};

/// Time without content after which a stream is resumed elsewhere, as a multiple of the target for
/// the gap between events.
const STALL_TIMEOUT_GAPS: u32 = 4;

/// Time before the end of the drain of a replica in which no run returns to it; other nodes may have learnt
/// of its shutdown earlier.
const RETURN_MARGIN: Duration = Duration::from_millis(300);

/// Longest wait for a turn of a run that returns.
const MAX_TURN_WAIT: Duration = Duration::from_millis(400);

/// Largest event, or content without events, that is buffered until its end.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Number of gaps between events from which a stream tells the speed of its engine.
const MIN_TIMED_GAPS: u64 = 4;

/// Relays one stream to its caller.
struct StreamRelay<'a> {
    handler: &'a RequestHandler,
    request: &'a RoutedRequest<'a>,
    history: &'a mut AttemptHistory,
    trace: &'a RequestTrace,
    response: StartedResponse,
    /// Whether the response consists of events; any other is relayed as it arrives.
    is_event_stream: bool,
    splitter: EventSplitter,
    /// Whether complete content has arrived.
    has_started: bool,
    first_event_at: Duration,
    /// Version of the software that wrote the first event, once it has arrived.
    began_version: Option<SharedName>,
    /// Process that wrote the latest events, once one has arrived.
    origin: Option<StreamOrigin>,
    /// Times of events, which tell the replica's pace.
    timing: EventTiming,
    /// Time at which the last complete event arrived, or the response that continues the stream.
    last_event_at: Duration,
    /// Time at which the latest search for another replica ended without one.
    searched_at: Duration,
    /// Copy of the run and the replica that holds it, once the original run has been stopped.
    moved: Option<(ReplicaTarget, MovedRun)>,
    /// Whether a move was attempted, successfully or not.
    move_tried: bool,
    /// Time before which no turn for a move is asked for.
    move_not_before: Duration,
    /// Whether the original run may have been stopped, which ends its response too early.
    may_be_stopped: bool,
}

/// Reason for which no more content of a response arrives.
enum ReadFailure {
    /// The replica is silent, but its connection is open, so that it may go on.
    Stalled,
    /// The response has ended or failed, or its time is up.
    Ended(String),
}

/// Result of the search for a replica that takes a stalled stream over.
enum StallOutcome {
    /// Another replica goes on with the stream.
    Replaced(Box<StartedResponse>),
    /// The replica itself goes on.
    Recovered,
    /// No other replica takes the stream over.
    NoSubstitute,
}

/// Returns whether a response consists of events. On the route of a stream, one without a content
/// type does if its status allows a body.
fn is_event_stream(kind: RouteKind, head: &ResponseMessage) -> bool {
    let content_type = head.headers.get("content-type").unwrap_or(EVENT_STREAM);
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    kind == RouteKind::Stream
        && head.status < 300
        && !head.is_bodiless()
        && media_type.eq_ignore_ascii_case(EVENT_STREAM)
}

/// Returns whether a response goes on with the events of a stream that began with `status`. Any other success
/// is an answer of its own, which has no place in the stream.
fn continues_events(status: u16, head: &ResponseMessage) -> bool {
    head.status == status && is_event_stream(RouteKind::Stream, head)
}

impl RequestHandler {
    /// Relays a stream until it ends.
    pub(super) async fn relay_stream(
        &self,
        request: &RoutedRequest<'_>,
        response: StartedResponse,
        history: &mut AttemptHistory,
        writer: &mut ResponseWriter<'_>,
        trace: &RequestTrace,
    ) -> RequestOutcome {
        let relay = StreamRelay {
            handler: self,
            request,
            history,
            trace,
            is_event_stream: is_event_stream(request.route.kind, &response.head),
            response,
            splitter: EventSplitter::default(),
            has_started: false,
            first_event_at: self.clock.now(),
            began_version: None,
            origin: None,
            timing: EventTiming::default(),
            last_event_at: self.clock.now(),
            searched_at: Duration::ZERO,
            moved: None,
            move_tried: false,
            move_not_before: Duration::ZERO,
            may_be_stopped: false,
        };
        if request.headers.takes_up_stream() {
            relay.record_resumed(ResumeCause::TakenUp);
        }
        relay.run(writer).await
    }
}

impl StreamRelay<'_> {
    async fn run(mut self, writer: &mut ResponseWriter<'_>) -> RequestOutcome {
        let status = self.response.head.status;
        let mut content = std::mem::take(&mut self.response.content);
        loop {
            let whole = match self.is_event_stream {
                true => self.splitter.accept(&content),
                false => std::mem::take(&mut content),
            };
            content.clear();
            if !whole.is_empty() {
                self.last_event_at = self.handler.clock.now();
                let (target, events) = (self.response.target(), self.splitter.events());
                self.handler.record_event_pace(self.request, target, &mut self.timing, events);
                self.record_started().await;
            }
            if self.splitter.partial_bytes() > MAX_EVENT_BYTES {
                self.record_end(StreamEnd::Broken);
                self.response.record_failure(self.handler, "event without end");
                return RequestOutcome::Broken(self.splitter.events());
            }
            let written = match writer.is_started() {
                false => writer.start_stream(&self.response.head, &whole).await,
                true => writer.write_content(&whole).await,
            };
            if written.is_err() {
                return RequestOutcome::CallerLeft;
            }
            if self.response.is_complete() && self.is_whole().await {
                self.record_end(StreamEnd::Complete);
                self.record_output();
                self.response.release_connection(&self.handler.upstreams);
                return match writer.end_stream(&[]).await {
                    Ok(()) => RequestOutcome::Answered(status),
                    Err(_) => RequestOutcome::CallerLeft,
                };
            }
            if !self.response.is_complete() && self.is_move_due() {
                self.move_run().await;
            }
            let reason = match self.read_more(&mut content).await {
                Ok(()) => continue,
                Err(ReadFailure::Ended(reason)) => reason,
                Err(ReadFailure::Stalled) => {
                    self.response.record_failure(self.handler, "no event before the timeout");
                    let outcome = self.replace_stalled(&mut content).await;
                    self.log_stall(&outcome);
                    match outcome {
                        StallOutcome::Replaced(next) => {
                            self.record_broken();
                            content = self.go_on(*next, ResumeCause::Broken);
                        }
                        StallOutcome::Recovered => {}
                        StallOutcome::NoSubstitute => self.searched_at = self.handler.clock.now(),
                    }
                    continue;
                }
            };
            self.record_broken();
            let (cause, next) = match self.moved.take() {
                Some((target, run)) => {
                    (ResumeCause::Moved, self.continue_moved_run(target, run).await)
                }
                None => {
                    self.response.record_failure(self.handler, &reason);
                    (ResumeCause::Broken, self.resume().await)
                }
            };
            let Some(next) = next else {
                log::info!(
                    "event=stream_broken id={} replica={} events={} age_ms={} reason=\"{reason}\"",
                    self.request.id(),
                    self.response.target().id,
                    self.splitter.events(),
                    self.handler.clock.now().saturating_sub(self.request.arrived).as_millis()
                );
                return RequestOutcome::Broken(self.splitter.events());
            };
            content = self.go_on(next, cause);
        }
    }

    /// Records that the current response is given up before it was whole.
    fn record_broken(&mut self) {
        self.record_end(match self.response.is_complete() {
            true => StreamEnd::Truncated,
            false => StreamEnd::Broken,
        });
        if !self.has_started {
            self.handler.crashes.report_loss(self.request, self.response.target());
        }
        self.splitter.discard_partial();
    }

    /// Goes on with another response; returns its first content.
    fn go_on(&mut self, next: StartedResponse, cause: ResumeCause) -> Vec<u8> {
        self.response = next;
        self.origin =
            self.origin.map(|_| self.handler.stream_origin(self.request, self.response.target()));
        if self.has_started {
            self.record_resumed(cause);
        }
        self.may_be_stopped = false;
        self.last_event_at = self.handler.clock.now();
        std::mem::take(&mut self.response.content)
    }

    fn log_stall(&self, outcome: &StallOutcome) {
        let outcome = match outcome {
            StallOutcome::Replaced(_) => "replaced",
            StallOutcome::Recovered => "recovered",
            StallOutcome::NoSubstitute => "no_substitute",
        };
        log::info!(
            "event=stream_stalled id={} replica={} events={} silent_ms={} outcome={outcome}",
            self.request.id(),
            self.response.target().id,
            self.splitter.events(),
            self.handler.clock.now().saturating_sub(self.last_event_at).as_millis()
        );
    }

    /// Records that the prompt did not crash the replica, and which version began the stream.
    async fn record_started(&mut self) {
        if !std::mem::replace(&mut self.has_started, true) {
            self.handler.crashes.record_started(&self.request.evidence);
            let target = self.response.target();
            self.began_version = Some(target.version.clone());
            let origin = self.handler.stream_origin(self.request, target);
            // What two versions write doesn't fit together, so the stream stays at this one.
            self.history.pin = VersionPin::Only(origin.version);
            self.origin = Some(origin);
            self.handler.announce_origin(self.request, origin).await;
        }
    }

    /// Records that the stream goes on at the replica of the current response.
    fn record_resumed(&self, cause: ResumeCause) {
        let target = self.response.target();
        let began_version = self.began_version.as_deref();
        let resumption = Resumption { cause, target, began_version };
        self.handler.metrics.record_resumed(self.request, resumption);
    }

    /// Records how the current replica's response ended.
    fn record_end(&self, end: StreamEnd) {
        let report = StreamReport {
            framing: self.response.head.framing,
            end,
            events: self.splitter.events(),
            partial_bytes: self.splitter.partial_bytes(),
        };
        self.trace.record_stream(&self.handler.metrics, &self.request.service, report);
    }

    /// Records how fast the engine produced the stream, if it came from one run.
    fn record_output(&self) {
        let Some(desired) = self.handler.mirror.desired() else { return };
        let service = desired.service(&self.request.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else { return };
        let gaps = self.splitter.events().saturating_sub(1);
        if self.history.ran > 1 || self.move_tried || gaps < MIN_TIMED_GAPS {
            return;
        }
        let elapsed = self.handler.clock.now().saturating_sub(self.first_event_at);
        let tokens = gaps * engine.event_tokens;
        self.handler.demand.record_output(&self.request.service, tokens, elapsed);
    }

    /// Returns whether a response that is complete by its framing has delivered the whole stream.
    async fn is_whole(&self) -> bool {
        let marker = match self.response.head.framing {
            BodyFraming::Length(_) | BodyFraming::Chunked => EndMarker::Framing,
            BodyFraming::Unframed => EndMarker::Close,
        };
        // A run that was stopped ends with the same close as one that is finished.
        let is_cut_by_move = marker == EndMarker::Close && self.may_be_stopped;
        let has_all_events = !self.is_event_stream || self.splitter.is_whole(marker);
        has_all_events
            && !is_cut_by_move
            && !self.handler.is_cut_by_crash(self.response.target(), &self.response.head).await
    }

    /// Reads more content, or returns why there is none.
    async fn read_more(&mut self, content: &mut Vec<u8>) -> Result<(), ReadFailure> {
        if self.response.is_complete() {
            return Err(ReadFailure::Ended("response ended before it was whole".to_owned()));
        }
        let clock = &self.handler.clock;
        let time_left = self.request.deadline.saturating_sub(clock.now());
        let gap = self.request.route.gap_target.filter(|_| self.is_resumable());
        // Another replica is only looked for if the stream can go on there.
        let gap = gap.filter(|_| {
            self.handler.may_retry(self.request, self.history)
                && self.handler.has_unlimited_alternative(self.request, self.history)
                && self.handler.has_retry_budget(&self.request.service)
        });
        // Bytes that complete no event don't count as progress.
        let silent = clock.now().saturating_sub(self.last_event_at.max(self.searched_at));
        let limit = gap.map_or(time_left, |gap| {
            (gap * STALL_TIMEOUT_GAPS).saturating_sub(silent).min(time_left)
        });
        match clock.timeout(limit, self.response.read_content(content)).await {
            Some(Ok(())) => Ok(()),
            Some(Err(err)) => Err(ReadFailure::Ended(err.to_string())),
            None if limit < time_left && self.moved.is_none() => Err(ReadFailure::Stalled),
            None => Err(ReadFailure::Ended("no event before the timeout".to_owned())),
        }
    }

    /// Looks for another replica that goes on with a stalled stream. The connection to the current one
    /// stays open until another has responded, and the stream stays there if it goes on first.
    async fn replace_stalled(&mut self, content: &mut Vec<u8>) -> StallOutcome {
        let splitter = self.splitter.clone();
        let (response, mut search) = self.split_search();
        let recovering = async {
            match read_event(response, splitter, content).await {
                Ok(()) => StallOutcome::Recovered,
                // A response that has failed leaves it to the search.
                Err(_) => future::pending().await,
            }
        };
        let searching = async {
            while let Some(mut next) = search.run().await {
                // A replica that has begun its response may fall silent as well.
                match search.read_first_event(&mut next).await {
                    Ok(()) => return StallOutcome::Replaced(Box::new(next)),
                    Err(err) => next.record_failure(search.handler, &err.to_string()),
                }
            }
            StallOutcome::NoSubstitute
        };
        future::or(recovering, searching).await
    }

    /// Returns whether the response may go on at another replica. One without events, or whose events have no
    /// identifiers, would begin anew there.
    fn is_resumable(&self) -> bool {
        let is_allowed =
            self.request.route.kind == RouteKind::Stream && self.request.route.resumable;
        let can_go_on = !self.has_started || self.splitter.last_id().is_some();
        is_allowed && self.is_event_stream && can_go_on
    }

    /// Returns whether the run must be moved because its replica stops before the stream ends.
    fn is_move_due(&self) -> bool {
        let now = self.handler.clock.now();
        if self.move_tried || now < self.move_not_before || self.splitter.last_id().is_none() {
            return false;
        }
        let replicas = self.handler.mirror.replicas.borrow();
        let Some(departure) = replicas.departure(&self.response.target().id) else { return false };
        let Some(desired) = self.handler.mirror.desired() else { return false };
        let service = desired.service(&self.request.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return false;
        };
        let output = self.request.headers.size.map_or(0, |size| size.output);
        let progress = StreamProgress {
            events: self.splitter.events(),
            expected: output.div_ceil(engine.event_tokens),
            elapsed: now.saturating_sub(self.first_event_at),
        };
        engine.moves && is_move_due(departure, progress, self.handler.live.get().drain, now)
    }

    /// Copies the run to another replica and stops the original, which ends its stream.
    async fn move_run(&mut self) {
        let request = self.request;
        let source = self.response.target().clone();
        let is_limited = self.handler.limits.rate(&source.id).is_some();
        if let Err(wait) = self.handler.claim_call(request, &source.id).await {
            self.move_not_before = self.handler.clock.now() + wait;
            return;
        }
        self.move_tried = true;
        let claimed = self.handler.claim_replica(request, self.history).await;
        let Some(target) = claimed else { return };
        let claimed = self.handler.claim_slot(request, target, Duration::ZERO).await;
        let Ok(target) = claimed else { return };
        let result = self.copy_and_stop(&source, &target, is_limited).await;
        let outcome = match &result {
            Ok(MoveOutcome::Moved(_)) => "moved".to_owned(),
            Ok(MoveOutcome::Kept(_)) => "no room, kept at its replica".to_owned(),
            Err(err) => format!("not moved: {err}"),
        };
        log::info!(
            "event=run_moved id={} from={} to={} events={} outcome=\"{outcome}\"",
            request.id(),
            source.id,
            target.id,
            self.splitter.events()
        );
        self.moved = result.ok().map(|outcome| match outcome {
            MoveOutcome::Moved(run) => (target, run),
            MoveOutcome::Kept(run) => (source, run),
        });
    }

    async fn copy_and_stop(
        &mut self,
        source: &ReplicaTarget,
        target: &ReplicaTarget,
        is_limited: bool,
    ) -> Result<MoveOutcome, CallError> {
        if self.handler.is_quiet(&source.id) {
            return Err(CallError::NotSent("replica wants no calls for now".to_owned()));
        }
        let engine = PlatformClient::new(source.address, self.handler.clock.clone());
        let id = self.request.id();
        // A limited replica gets one call; its run stands still while all of its KV cache is copied.
        if !is_limited {
            let sent_at = self.handler.clock.now();
            let copied = engine.move_run(id, target.address, MovePhase::Copy).await;
            self.handler.record_statement(&source.id, engine.statement(), sent_at);
            copied?;
        }
        let sent_at = self.handler.clock.now();
        let stopped = engine.move_run(id, target.address, MovePhase::Stop).await;
        self.may_be_stopped = may_have_stopped(&stopped);
        self.handler.record_statement(&source.id, engine.statement(), sent_at);
        stopped
    }

    /// Returns whether the run may go on at the replica that has stopped it, which is shutting down.
    async fn may_return(&self, source: &ReplicaTarget) -> bool {
        let handler = self.handler;
        if handler.is_quiet(&source.id) {
            return false;
        }
        // A replica that names a limit gets the request with a turn of its own.
        if let Err(wait) = handler.claim_call(self.request, &source.id).await {
            handler.clock.sleep(wait.min(MAX_TURN_WAIT)).await;
            if handler.claim_call(self.request, &source.id).await.is_err() {
                return false;
            }
        }
        let replicas = handler.mirror.replicas.borrow();
        let Some(departure) = replicas.departure(&source.id) else { return false };
        let accepts_until = departure.noticed_at + handler.live.get().drain;
        handler.clock.now() + RETURN_MARGIN < accepts_until
    }

    /// Continues the stream on the replica that holds the run.
    async fn continue_moved_run(
        &mut self,
        target: ReplicaTarget,
        run: MovedRun,
    ) -> Option<StartedResponse> {
        let returns = target.id == self.response.target().id;
        if returns && !self.may_return(&target).await {
            return self.resume().await;
        }
        self.history.tried.push(target.id.clone());
        let last_event = self.splitter.last_id();
        let options = AttemptOptions { last_event, moved_run: Some(&run) };
        let outcome = self.handler.attempt(self.request, &target, options).await;
        self.trace.record_attempt(self.request, &target, &outcome, self.handler.clock.now());
        match outcome {
            AttemptOutcome::Responded(response)
                if continues_events(self.response.head.status, &response.head) =>
            {
                Some(*response)
            }
            _ => self.resume().await,
        }
    }

    /// Resumes the stream after its last event on another replica, if the request may run again.
    async fn resume(&mut self) -> Option<StartedResponse> {
        match self.is_resumable() {
            true => self.split_search().1.run().await,
            false => None,
        }
    }

    /// Returns the current response, and the search for a replica that goes on after its last event.
    fn split_search(&mut self) -> (&mut StartedResponse, ResumeSearch<'_>) {
        let search = ResumeSearch {
            handler: self.handler,
            request: self.request,
            history: self.history,
            trace: self.trace,
            status: self.response.head.status,
            last_event: self.splitter.last_id().map(str::to_owned),
            origin: self.origin,
            last_event_at: self.last_event_at,
        };
        (&mut self.response, search)
    }
}

/// Search for a replica that goes on with a stream.
struct ResumeSearch<'a> {
    handler: &'a RequestHandler,
    request: &'a RoutedRequest<'a>,
    history: &'a mut AttemptHistory,
    trace: &'a RequestTrace,
    /// Status with which the stream began.
    status: u16,
    /// Last event that the caller received.
    last_event: Option<String>,
    /// Process that wrote it.
    origin: Option<StreamOrigin>,
    last_event_at: Duration,
}

impl ResumeSearch<'_> {
    /// Returns whether the version that wrote the events so far is known. The replica's entry may be out
    /// of date, if it was started again under its identifier before the last event.
    async fn is_version_known(&self) -> bool {
        let Some(origin) = self.origin else { return true };
        let clock = &self.handler.clock;
        let since_event = clock.now().saturating_sub(self.last_event_at);
        let seen_ms = clock.unix_ms().saturating_sub(since_event.as_millis() as u64);
        self.handler.confirm_origin(&StreamOrigin { seen_ms, ..origin }).await.is_some()
    }

    /// Reads a response up to its first event, which stays in its content, or to its end.
    async fn read_first_event(&self, response: &mut StartedResponse) -> Result<(), BodyError> {
        let mut content = std::mem::take(&mut response.content);
        let (mut splitter, clock) = (EventSplitter::default(), &self.handler.clock);
        let has_event = !splitter.accept(&content).is_empty();
        let time_left = self.request.deadline.saturating_sub(clock.now());
        let result = match has_event || response.is_complete() {
            true => Ok(()),
            false => {
                let reading = read_event(response, splitter, &mut content);
                clock.timeout(time_left, reading).await.unwrap_or(Err(BodyError::Truncated))
            }
        };
        response.content = content;
        result
    }

    /// Sends the request to other replicas until one goes on. A search that is dropped counts the attempt in
    /// progress as one that ran.
    async fn run(&mut self) -> Option<StartedResponse> {
        if !self.is_version_known().await {
            return None;
        }
        while self.handler.may_retry(self.request, self.history) {
            let target = self.handler.select_replica(self.request, self.history).await?;
            let last_event = self.last_event.as_deref();
            let options = AttemptOptions { last_event, moved_run: None };
            self.history.sent += 1;
            self.history.ran += 1;
            let outcome = self.handler.attempt(self.request, &target, options).await;
            self.trace.record_attempt(self.request, &target, &outcome, self.handler.clock.now());
            match outcome {
                AttemptOutcome::Responded(response)
                    if continues_events(self.status, &response.head) =>
                {
                    return Some(*response);
                }
                AttemptOutcome::Responded(response) => {
                    log::info!(
                        "event=continuation_rejected id={} replica={} status={}",
                        self.request.id(),
                        target.id,
                        response.head.status
                    );
                }
                AttemptOutcome::Lost(_) | AttemptOutcome::TimedOut => {}
                AttemptOutcome::NotSent(_) => {
                    self.history.sent -= 1;
                    self.history.ran -= 1;
                }
                AttemptOutcome::NotExecuted(_) => self.history.ran -= 1,
            }
        }
        None
    }
}

/// Reads content up to the end of an event or of the response; `splitter` holds what arrived before.
async fn read_event(
    response: &mut StartedResponse,
    mut splitter: EventSplitter,
    content: &mut Vec<u8>,
) -> Result<(), BodyError> {
    loop {
        let known = content.len();
        response.read_content(content).await?;
        let has_event = !splitter.accept(&content[known..]).is_empty();
        if has_event || response.is_complete() || splitter.partial_bytes() > MAX_EVENT_BYTES {
            return Ok(());
        }
    }
}
