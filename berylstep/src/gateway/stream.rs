//! Passes streams on, and continues them on another replica where that may be.

use std::time::Duration;

use berylstep_core::fleet::departure::{is_move_due, StreamProgress};
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::events::EventSplitter;

use crate::gateway::attempt::{AttemptOutcome, AttemptTerms, ReplicaTarget, StartedResponse};
use crate::gateway::request::{AttemptHistory, RequestDesk, RoutedRequest};
use crate::gateway::response::AnswerWriter;
use crate::gateway::telemetry::{RequestEnd, RequestTrace};
use crate::platform::engines::MovePhase;
use crate::platform::headers::MovedRun;
use crate::platform::{CallError, PlatformClient};

/// Pauses of a stream, in targets for one, after which it is continued elsewhere.
const PAUSE_TARGETS: u32 = 4;

/// A stream on its way to the caller.
struct StreamRelay<'a> {
    desk: &'a RequestDesk,
    request: &'a RoutedRequest<'a>,
    history: &'a mut AttemptHistory,
    trace: &'a RequestTrace,
    begun: StartedResponse,
    splitter: EventSplitter,
    first_event_at: Duration,
    /// Copy of the run at another replica, once the run here was stopped for it.
    moved: Option<(ReplicaTarget, MovedRun)>,
    /// Whether the run was moved or could not be.
    move_tried: bool,
}

impl RequestDesk {
    /// Passes a stream on to its end.
    pub(super) async fn relay_stream(
        &self,
        request: &RoutedRequest<'_>,
        begun: StartedResponse,
        history: &mut AttemptHistory,
        writer: &mut AnswerWriter,
        trace: &RequestTrace,
    ) -> RequestEnd {
        let relay = StreamRelay {
            desk: self,
            request,
            history,
            trace,
            begun,
            splitter: EventSplitter::default(),
            first_event_at: self.clock.now(),
            moved: None,
            move_tried: false,
        };
        relay.run(writer).await
    }
}

impl StreamRelay<'_> {
    async fn run(mut self, writer: &mut AnswerWriter) -> RequestEnd {
        let status = self.begun.response.status;
        let mut content = std::mem::take(&mut self.begun.content);
        loop {
            let whole = self.splitter.accept(&content);
            content.clear();
            let written = match writer.is_begun() {
                false => writer.begin_stream(&self.begun.response, &whole).await,
                true => writer.write_content(&whole).await,
            };
            if written.is_err() {
                return RequestEnd::CallerLeft;
            }
            if self.begun.is_complete() {
                let rest = self.splitter.take_partial();
                self.begun.give_back(&self.desk.upstreams);
                return match writer.end_stream(&rest).await {
                    Ok(()) => RequestEnd::Answered(status),
                    Err(_) => RequestEnd::CallerLeft,
                };
            }
            if self.is_move_due() {
                self.move_away().await;
            }
            let Err(reason) = self.read(&mut content).await else { continue };
            self.splitter.discard_partial();
            let next = match self.moved.take() {
                Some((target, run)) => self.go_on(target, run).await,
                None => {
                    self.begun.note_failure(self.desk, &reason);
                    self.resume().await
                }
            };
            match next {
                Some(next) => self.begun = next,
                None => {
                    log::info!(
                        "event=stream_broken id={} replica={} events={} age_ms={} reason=\"{reason}\"",
                        self.request.id(),
                        self.begun.target().id,
                        self.splitter.events(),
                        self.desk.clock.now().saturating_sub(self.request.arrived).as_millis()
                    );
                    return RequestEnd::Broken(self.splitter.events());
                }
            }
            content = std::mem::take(&mut self.begun.content);
        }
    }

    /// Reads more content; the error tells why there is none.
    async fn read(&mut self, content: &mut Vec<u8>) -> Result<(), String> {
        let clock = &self.desk.clock;
        let left = self.request.deadline.saturating_sub(clock.now());
        let pause = self.request.route.gap_target.filter(|_| self.is_resumable());
        let pause = pause.filter(|_| self.desk.may_repeat(self.request, self.history));
        let limit = pause.map_or(left, |pause| (pause * PAUSE_TARGETS).min(left));
        match clock.timeout(limit, self.begun.read_content(content)).await {
            Some(Ok(())) => Ok(()),
            Some(Err(err)) => Err(err.to_string()),
            None => Err("no event in time".to_owned()),
        }
    }

    fn is_resumable(&self) -> bool {
        self.request.route.kind == RouteKind::Stream && self.request.route.resumable
    }

    /// Whether the replica will end before the stream does.
    fn is_move_due(&self) -> bool {
        if self.move_tried || self.splitter.last_id().is_none() {
            return false;
        }
        let replicas = self.desk.mirror.replicas.borrow();
        let Some(departure) = replicas.departure(&self.begun.target().id) else { return false };
        let Some(desired) = self.desk.mirror.desired() else { return false };
        let service = desired.service(&self.request.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return false;
        };
        let now = self.desk.clock.now();
        let output = self.request.headers.size.map_or(0, |size| size.output);
        let progress = StreamProgress {
            events: self.splitter.events(),
            expected: output.div_ceil(engine.event_tokens),
            elapsed: now.saturating_sub(self.first_event_at),
        };
        engine.moves && is_move_due(departure, progress, self.desk.live.get().drain, now)
    }

    /// Copies the run to another replica and stops it here; its stream then ends.
    async fn move_away(&mut self) {
        self.move_tried = true;
        let request = self.request;
        let Some(target) = self.desk.place(request, &self.history.tried) else { return };
        let source = self.begun.target().clone();
        let result = self.copy_and_stop(&source, &target).await;
        let outcome = match &result {
            Ok(_) => "moved".to_owned(),
            Err(err) => format!("stays: {err}"),
        };
        log::info!(
            "event=run_moved id={} from={} to={} events={} outcome=\"{outcome}\"",
            request.id(),
            source.id,
            target.id,
            self.splitter.events()
        );
        self.moved = result.ok().map(|run| (target, run));
    }

    async fn copy_and_stop(
        &self,
        source: &ReplicaTarget,
        target: &ReplicaTarget,
    ) -> Result<MovedRun, CallError> {
        let engine = PlatformClient::new(source.address, self.desk.clock.clone());
        let id = self.request.id();
        engine.move_run(id, target.address, MovePhase::Copy).await?;
        engine.move_run(id, target.address, MovePhase::Stop).await
    }

    /// Goes on with a moved run.
    async fn go_on(&mut self, target: ReplicaTarget, run: MovedRun) -> Option<StartedResponse> {
        self.history.tried.push(target.id.clone());
        let last_event = self.splitter.last_id();
        let terms = AttemptTerms { last_event, silence: None, moved_run: Some(&run) };
        let end = self.desk.attempt(self.request, &target, terms).await;
        self.trace.attempt(self.request, &target, &end, self.desk.clock.now());
        match end {
            AttemptOutcome::Answer(begun) if begun.response.status < 300 => Some(*begun),
            _ => self.resume().await,
        }
    }

    /// Continues the stream after its last event on another replica, where it may run again.
    async fn resume(&mut self) -> Option<StartedResponse> {
        while self.is_resumable() && self.desk.may_repeat(self.request, self.history) {
            let target = self.desk.next_target(self.request, self.history)?;
            let last_event = self.splitter.last_id();
            let terms = AttemptTerms { last_event, silence: None, moved_run: None };
            let end = self.desk.attempt(self.request, &target, terms).await;
            self.trace.attempt(self.request, &target, &end, self.desk.clock.now());
            match end {
                AttemptOutcome::Answer(begun) if begun.response.status < 300 => {
                    self.history.ran += 1;
                    return Some(*begun);
                }
                AttemptOutcome::Answer(_) | AttemptOutcome::Lost(_) | AttemptOutcome::TimedOut => {
                    self.history.ran += 1;
                    self.history.sent += 1;
                }
                AttemptOutcome::NotSent(_) => {}
                AttemptOutcome::NotExecuted(_) => self.history.sent += 1,
            }
        }
        None
    }
}
