//! A single attempt of a request on a replica.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::byte_account::ConnectionPhase;
use berylstep_core::fleet::choice::RequestSize;
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::origins::VersionPin;
use berylstep_core::fleet::replica::ReplicaRow;
use berylstep_http::{BodyDecoder, BodyError, BodyFraming, MessageStream, ResponseMessage};
use futures_util::future::{select, Either};

use crate::body_buffer::BodyBuffer;
use crate::gateway::limits::process_of;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::request::{RequestHandler, RoutedRequest};
use crate::gateway::runs::RunGuard;
use crate::gateway::upstreams::{has_crashed, UpstreamPool, UpstreamStream};
use crate::platform::headers::{
    write_header, write_request_headers, MovedRun, ResponseHeaders, ResponseOwner, UpstreamHeaders,
};
use crate::platform::ReplicaStatement;

/// Largest head of a replica's response.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Largest response that is buffered until it is complete, which still allows a retry on another
/// replica.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Largest body that is copied to be sent at once with its head.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Interim responses that are skipped before the response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Responses to other requests that are skipped on a connection.
const MAX_STALE_RESPONSES: u32 = 2;

/// Replica selected for an attempt.
#[derive(Clone, Debug)]
pub struct ReplicaTarget {
    /// Identifier of the replica.
    pub id: SharedName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Version of its software.
    pub version: SharedName,
    /// Process that published its entry.
    pub process: ProcessId,
    /// Another replica that probably has the KV cache of the session's shared prompt.
    pub cache_source: Option<SocketAddr>,
    /// Slot that was claimed there, if it needs one.
    pub run: Option<Rc<RunGuard>>,
    /// Time at which its turn was asked for, if it needed one.
    pub turn_at: Option<Duration>,
}

impl ReplicaTarget {
    /// Returns the target of a request to the replica in `row`.
    pub fn new(row: &ReplicaRow, cache_source: Option<SocketAddr>) -> Self {
        Self {
            id: row.entry.id.clone(),
            address: row.entry.address,
            version: row.entry.version.clone(),
            process: process_of(row),
            cache_source,
            run: None,
            turn_at: None,
        }
    }

    /// Gives a slot that was claimed back, because the request has not been sent.
    pub fn finish_run(&self) {
        if let Some(run) = &self.run {
            run.finish();
        }
    }
}

/// Options of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOptions<'a> {
    /// Last event that the caller received, when a stream is resumed after it.
    pub last_event: Option<&'a str>,
    /// Moved run that the request continues.
    pub moved_run: Option<&'a MovedRun>,
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The replica responded.
    Responded(Box<StartedResponse>),
    /// No byte of the request was sent.
    NotSent(&'static str),
    /// The replica states, with this status, that the request did not run.
    NotExecuted(u16),
    /// The request may have run, but its response is lost.
    Lost(&'static str),
    /// The deadline passed. The request may have run.
    TimedOut,
}

/// Counts a request towards a replica's load until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    mirror: Rc<StoreMirror>,
    replica: SharedName,
    work: u64,
    prompt: u64,
    run: Rc<RunGuard>,
}

impl LoadGuard {
    fn new(
        mirror: Rc<StoreMirror>,
        replica: SharedName,
        size: Option<RequestSize>,
        work: u64,
        run: Rc<RunGuard>,
    ) -> Self {
        mirror.replicas.borrow_mut().add_load(&replica, work);
        Self { mirror, replica, work, prompt: size.map_or(0, |size| size.prompt), run }
    }

    /// Records that the request has ended at the replica, or was not sent.
    fn finish(&self) {
        self.run.finish();
    }

    /// Removes the prompt's share of the work once the replica has processed the prompt.
    fn finish_prefill(&mut self) {
        let prompt = std::mem::take(&mut self.prompt);
        self.work -= prompt;
        self.mirror.replicas.borrow_mut().reduce_work(&self.replica, prompt);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.mirror.replicas.borrow_mut().remove_load(&self.replica, self.work);
    }
}

/// A response whose head and first content have arrived.
#[derive(Debug)]
pub struct StartedResponse {
    /// Response head.
    pub head: ResponseMessage,
    /// Content that has not been relayed yet.
    pub content: Vec<u8>,
    /// Complete body, if it was buffered.
    pub body: Option<BodyBuffer>,
    target: ReplicaTarget,
    decoder: BodyDecoder,
    stream: MessageStream,
    reusable: bool,
    load: LoadGuard,
}

impl StartedResponse {
    /// Returns whether all content has been read.
    pub fn is_complete(&self) -> bool {
        self.decoder.is_complete()
    }

    /// Returns the replica that responds.
    pub fn target(&self) -> &ReplicaTarget {
        &self.target
    }

    /// Appends more of the response body to `content`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the body is malformed.
    pub async fn read_content(&mut self, content: &mut Vec<u8>) -> Result<(), BodyError> {
        self.stream.read_content(&mut self.decoder, content).await
    }

    /// Returns the connection to `pool` if it can be reused, and records a success of the replica.
    pub fn release_connection(self, pool: &UpstreamPool) {
        if self.decoder.is_complete() {
            self.load.finish();
        }
        if self.reusable && self.decoder.is_complete() && self.head.keep_alive {
            let keep_alive = self.head.headers.get("keep-alive").and_then(keep_alive_timeout);
            pool.release(self.target.address, self.stream, keep_alive);
        }
        self.load.mirror.replicas.borrow_mut().record_success(&self.target.id);
    }

    /// Records that the response was cut short.
    pub fn record_failure(&self, handler: &RequestHandler, reason: &str) {
        handler.record_replica_failure(&self.target.id, reason);
    }
}

/// Parses the timeout of a `Keep-Alive` header.
fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

impl RequestHandler {
    /// Sends the request to `target` and waits for the start of the response.
    pub async fn attempt(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        options: AttemptOptions<'_>,
    ) -> AttemptOutcome {
        let goes_on = options.last_event.is_some() || request.pin != VersionPin::Any;
        if goes_on && !self.is_listed_process(target).await {
            target.finish_run();
            return AttemptOutcome::NotSent("replica has a new process");
        }
        let work = RequestSize::work(request.headers.size, request.speed);
        let was_idle = self.is_lightly_loaded(&target.id);
        let run = target
            .run
            .clone()
            .unwrap_or_else(|| Rc::new(self.runs.begin(target.process.replica, request.deadline)));
        let load =
            LoadGuard::new(self.mirror.clone(), target.id.clone(), request.headers.size, work, run);
        let sent_at = self.clock.now();
        let retryable = request.route.is_retryable();
        let connected = self.upstreams.connect(target.address, retryable).await;
        let upstream = match connected {
            Ok(upstream) => upstream,
            Err(err) => {
                load.finish();
                self.record_replica_failure(&target.id, &err.to_string());
                self.reach.record_failure(&request.service, &target.id);
                return AttemptOutcome::NotSent("cannot connect");
            }
        };
        if let Err(reason) = self.check_cold_target(request, target) {
            load.finish();
            return AttemptOutcome::NotSent(reason);
        }
        if self.limits.rate(&target.id).is_some() {
            self.metrics.record_limited_attempt(&request.service);
        }
        let time_left = request.deadline.saturating_sub(self.clock.now());
        let exchanging = self.exchange(request, target, options, upstream, load);
        match self.clock.timeout(time_left, exchanging).await {
            Some(outcome) => {
                if let (AttemptOutcome::Responded(response), Some(size), true) =
                    (&outcome, request.headers.size, was_idle)
                {
                    if response.head.status < 300 && options.last_event.is_none() {
                        let elapsed = self.clock.now().saturating_sub(sent_at);
                        self.demand.record_first_token(&request.service, size.prompt, elapsed);
                    }
                }
                outcome
            }
            None => {
                self.reach.record_loss(&request.service, &target.id, sent_at);
                AttemptOutcome::TimedOut
            }
        }
    }

    /// Returns whether a new request at a replica hardly waits for others.
    fn is_lightly_loaded(&self, id: &str) -> bool {
        let replicas = self.mirror.replicas.borrow();
        replicas.get(id).is_some_and(|row| row.requests() <= row.entry.slots / 4)
    }

    /// Applies what a replica has said about itself in the response to a request that was sent at
    /// `sent_at`.
    pub fn record_statement(&self, id: &str, statement: ReplicaStatement, sent_at: Duration) {
        self.limits.observe(id, statement.limit, sent_at);
        self.brittle.observe(id, statement.brittle, sent_at);
        if let Some(load) = statement.load {
            self.pace.observe(id, load, sent_at);
        }
        if statement.leaving {
            self.mirror.record_replica_leaving(id);
        }
        if let Some(pause) = statement.pause {
            self.mirror.replicas.borrow_mut().record_quiet(id, pause, self.clock.now());
            log::info!("event=replica_quiet replica={id} pause_ms={}", pause.as_millis());
        }
    }

    /// Returns whether a replica has asked this node to send nothing at present.
    pub fn is_quiet(&self, id: &str) -> bool {
        let replicas = self.mirror.replicas.borrow();
        replicas.get(id).is_some_and(|row| row.quiet_until(self.clock.now()).is_some())
    }

    /// Records a failure of a replica, which placement then avoids for a while.
    pub fn record_replica_failure(&self, id: &str, reason: &str) {
        let avoided = self.mirror.replicas.borrow_mut().record_failure(id, self.clock.now());
        let avoided_ms = avoided.unwrap_or_default().as_millis();
        log::info!("event=replica_failed replica={id} avoided_ms={avoided_ms} reason=\"{reason}\"");
    }

    async fn exchange(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        options: AttemptOptions<'_>,
        upstream: UpstreamStream,
        mut load: LoadGuard,
    ) -> AttemptOutcome {
        let (head, body) = self.encode(request, target, options);
        let sent_at = self.clock.now();
        let was_brittle = self.brittle.tolerated_by(&target.id).is_some();
        let UpstreamStream { mut stream, reused } = upstream;
        let method = &*request.message.method;
        let received = send_and_receive(&mut stream, [&*head, body], request, reused).await;
        let (head, headers, sent_whole) = match received {
            Ok(received) => received,
            Err(reason) => {
                log::debug!("event=attempt_broken id={} reused={reused}", request.id());
                self.record_replica_failure(&target.id, reason);
                self.reach.record_loss(&request.service, &target.id, sent_at);
                if !reused {
                    self.reach.record_failure(&request.service, &target.id);
                }
                return AttemptOutcome::Lost(reason);
            }
        };
        self.reach.record_response(&request.service, !reused);
        self.record_statement(&target.id, headers.statement, sent_at);
        let mut decoder = BodyDecoder::response(&head, method);
        if headers.not_executed {
            load.finish();
            let tolerated = self.brittle.tolerated_by(&target.id).filter(|_| head.status != 421);
            if let Some(tolerated) = tolerated {
                self.log_brittle_rejection(request, target, was_brittle);
                self.slots.report_rejection(target, tolerated).await;
            }
            return self.record_refusal(target, head.status);
        }
        if head.status < 300 && !headers.is_acceptable(&head) {
            self.record_replica_failure(&target.id, "answer is not the replica's own");
            return AttemptOutcome::Lost("answer is not the replica's own");
        }
        let implies_not_executed = matches!(head.status, 408 | 421 | 429 | 503);
        if implies_not_executed && !headers.signed {
            return AttemptOutcome::Lost("replica failed without saying whether the request ran");
        }
        let streams = request.route.kind == RouteKind::Stream && head.status < 300;
        let (mut content, mut body) = (Vec::new(), BodyBuffer::new(MAX_BUFFERED_BYTES));
        let read = match streams {
            true => stream.read_content(&mut decoder, &mut content).await,
            false => buffer_body(&mut stream, &mut decoder, &mut content, &mut body, request).await,
        };
        if let Err(err) = read {
            self.record_replica_failure(&target.id, &err.to_string());
            self.count_usage(request);
            return AttemptOutcome::Lost("answer broke off");
        }
        self.count_usage(request);
        self.usage.record_response(&target.id);
        load.finish_prefill();
        self.record_response_pace(request, target, options, head.status, sent_at);
        let body = match !streams && decoder.is_complete() && content.is_empty() {
            true => Some(body),
            false => {
                content.splice(0..0, body.iter().copied());
                None
            }
        };
        if body.is_some() {
            load.finish();
        }
        if body.is_some() && self.is_cut_by_crash(target, &head).await {
            self.record_replica_failure(&target.id, "answer ended with a crash");
            return AttemptOutcome::Lost("answer broke off");
        }
        AttemptOutcome::Responded(Box::new(StartedResponse {
            head,
            content,
            target: target.clone(),
            decoder,
            stream,
            body,
            reusable: sent_whole,
            load,
        }))
    }

    /// Returns whether a response that has ended may be incomplete: only the close of its connection
    /// marks the end, and its replica has crashed. One that is shutting down may refuse connections
    /// before its last responses are complete.
    pub async fn is_cut_by_crash(&self, target: &ReplicaTarget, head: &ResponseMessage) -> bool {
        let is_ready =
            self.mirror.replicas.borrow().get(&target.id).is_some_and(|row| row.is_ready());
        head.framing == BodyFraming::Unframed
            && is_ready
            && has_crashed(&self.clock, target.address).await
    }

    /// Logs that a brittle replica turned a request away, and whether it was known to be brittle when
    /// the request was sent.
    fn log_brittle_rejection(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        was_known: bool,
    ) {
        self.metrics.record_brittle_rejection(&request.service, was_known);
        log::info!(
            "event=brittle_rejection replica={} born={} id={} known={was_known} slot={} running={}",
            target.id,
            target.process.born,
            request.id(),
            target.run.is_some(),
            self.runs.running(target.process.replica)
        );
    }

    /// Handles a response stating that the request did not run. Its connection is closed, because a faulty
    /// replica may write the refusal once more where the response to another request is due.
    fn record_refusal(&self, target: &ReplicaTarget, status: u16) -> AttemptOutcome {
        let now = self.clock.now();
        match status {
            421 => self.record_replica_failure(&target.id, "another replica has its address"),
            _ => {
                self.mirror.replicas.borrow_mut().record_full(&target.id, now);
                self.brittle.record_rejection(&target.id);
            }
        }
        AttemptOutcome::NotExecuted(status)
    }

    /// Counts the request towards its organisation's usage, at most once.
    fn count_usage(&self, request: &RoutedRequest<'_>) {
        let Some(organisation) = &request.organisation else { return };
        if !request.counted.replace(true) {
            self.usage.count_request(organisation);
        }
    }

    /// Records that the response of a replica is lost and the request will not be retried.
    pub fn record_lost_response(&self, request: &RoutedRequest<'_>, replica: &SharedName) {
        let Some(organisation) = &request.organisation else { return };
        if !request.counted.replace(true) {
            let elapsed = self.clock.now().saturating_sub(request.arrived);
            self.usage.record_lost_response(replica, organisation, elapsed);
        }
    }

    /// Returns the bytes of a request: its head with a short body, and a long body, which isn't copied.
    fn encode<'a>(
        &self,
        request: &RoutedRequest<'a>,
        target: &ReplicaTarget,
        options: AttemptOptions<'_>,
    ) -> (Vec<u8>, &'a [u8]) {
        let message = request.message;
        let copied = if request.body.len() <= MAX_COPIED_BYTES { request.body } else { &[] };
        let mut bytes = Vec::with_capacity(1024 + copied.len());
        let line = format!("{} {} HTTP/1.1\r\n", message.method, message.target);
        bytes.extend_from_slice(line.as_bytes());
        let headers = UpstreamHeaders {
            time_left: request.deadline.saturating_sub(self.clock.now()),
            replica: &target.id,
            organisation: request.organisation.as_deref(),
            priority: request.priority,
            last_event: options.last_event,
            fetch_from: target.cache_source.filter(|_| options.moved_run.is_none()),
            moved_run: options.moved_run,
        };
        write_request_headers(&message.headers, &headers, &mut bytes);
        let has_body = message.framing != berylstep_http::BodyFraming::Unframed;
        if has_body {
            let length = request.body.len().to_string();
            write_header("Content-Length", length.as_bytes(), &mut bytes);
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(copied);
        (bytes, &request.body[copied.len()..])
    }
}

/// Sends `parts` and receives the response head. The flag tells whether all bytes were sent.
async fn send_and_receive(
    stream: &mut MessageStream,
    parts: [&[u8]; 2],
    request: &RoutedRequest<'_>,
    reused: bool,
) -> Result<(ResponseMessage, ResponseHeaders, bool), &'static str> {
    let mut writer = stream.writer();
    let writing = Box::pin(async move {
        writer.write_all(parts[0]).await?;
        writer.write_all(parts[1]).await
    });
    let reading = Box::pin(receive_head(stream, request, reused));
    match select(writing, reading).await {
        Either::Left((Ok(()), reading)) => {
            reading.await.map(|(head, headers)| (head, headers, true))
        }
        // The replica may have responded before it stopped reading.
        Either::Left((Err(_), reading)) => {
            reading.await.map(|(head, headers)| (head, headers, false))
        }
        Either::Right((received, _)) => received.map(|(head, headers)| (head, headers, false)),
    }
}

/// Receives the head of the response to `request`. Skips responses to other requests, and successes and
/// refusals without an attempt identifier that an earlier request may have left on a `reused` connection.
async fn receive_head(
    stream: &mut MessageStream,
    request: &RoutedRequest<'_>,
    reused: bool,
) -> Result<(ResponseMessage, ResponseHeaders), &'static str> {
    let (mut interim, mut skipped, mut leaving) = (0, 0, false);
    loop {
        let head = stream.read_head(MAX_HEAD_BYTES).await;
        let bytes = match head {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Err("replica closed the connection"),
            Err(_) => return Err("replica broke off or sent no answer"),
        };
        let response = ResponseMessage::parse(&bytes).map_err(|_| "answer is malformed")?;
        if response.status < 200 {
            interim += 1;
            match interim <= MAX_INTERIM_RESPONSES {
                true => continue,
                false => return Err("replica sends interim responses without end"),
            }
        }
        let mut headers = ResponseHeaders::read(&response, request.headers.request_id.as_deref());
        // A late response to another request is still one of the same replica.
        leaving |= headers.statement.leaving;
        headers.statement.leaving = leaving;
        let is_stale = match headers.owner {
            ResponseOwner::Own => false,
            ResponseOwner::Other => true,
            ResponseOwner::Unnamed => {
                // A replica can't name a request that has no identifier.
                let is_refusal = headers.not_executed && request.headers.request_id.is_some();
                reused && !headers.signed && (response.status < 300 || is_refusal)
            }
        };
        if !is_stale {
            return Ok((response, headers));
        }
        skipped += 1;
        if skipped > MAX_STALE_RESPONSES {
            return Err("replica answers other requests");
        }
        let decoder = BodyDecoder::response(&response, &request.message.method);
        let body = stream.read_body(decoder, MAX_BUFFERED_BYTES).await;
        body.map_err(|_| "late answer to another request broke off")?;
    }
}

/// Reads a response into `body` until it is complete or exceeds the buffer; `content` is what no longer fits.
async fn buffer_body(
    stream: &mut MessageStream,
    decoder: &mut BodyDecoder,
    content: &mut Vec<u8>,
    body: &mut BodyBuffer,
    request: &RoutedRequest<'_>,
) -> Result<(), BodyError> {
    while !decoder.is_complete() {
        // Without memory for more, the response is relayed as it arrives.
        let held = request.body.len() + body.len();
        if body.len() > MAX_COPIED_BYTES && !request.hold.hold(ConnectionPhase::Serving, held) {
            break;
        }
        stream.read_content(decoder, content).await?;
        if body.append(content).is_err() {
            break;
        }
        content.clear();
    }
    Ok(())
}
