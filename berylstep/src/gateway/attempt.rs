//! One attempt of a request at one replica.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::choice::RequestSize;
use berylstep_core::fleet::desired::RouteKind;
use berylstep_http::{BodyDecoder, BodyError, MessageStream, ResponseMessage};
use futures_util::future::{select, Either};
use smol::io::AsyncWriteExt;

use crate::gateway::mirror::StoreMirror;
use crate::gateway::request::{RequestDesk, RoutedRequest};
use crate::gateway::upstreams::{UpstreamPool, UpstreamStream};
use crate::platform::headers::{
    write_header, write_request_headers, AnswerHeaders, AnswerOwner, MovedRun, UpstreamHeaders,
};

/// Longest head of a replica's answer, in bytes.
const MAX_ANSWER_HEAD: usize = 64 * 1024;

/// Largest answer that is held until it is whole, so that it can still be asked for elsewhere.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// Answers to other requests that are skipped on one connection.
const MAX_SKIPPED_ANSWERS: u32 = 2;

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct ReplicaTarget {
    /// Identifier of the replica.
    pub id: SharedName,
    /// Address.
    pub address: SocketAddr,
    /// Replica from which it may fetch the session's shared prompt.
    pub warm: Option<SocketAddr>,
}

/// Terms of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTerms<'a> {
    /// Last event that the caller has, where a stream goes on after it.
    pub last_event: Option<&'a str>,
    /// Time without an answer after which the attempt is given up before the deadline.
    pub silence: Option<Duration>,
    /// Moved run that the request goes on from.
    pub moved_run: Option<&'a MovedRun>,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The replica answered.
    Answer(Box<StartedResponse>),
    /// Nothing was sent.
    NotSent(&'static str),
    /// The replica promises that the request did not run.
    NotExecuted(u16),
    /// The request may have run, and its answer is lost.
    Lost(&'static str),
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// Work at a replica, until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    mirror: Rc<StoreMirror>,
    replica: SharedName,
    work: u64,
    prompt: u64,
}

impl LoadGuard {
    fn new(mirror: Rc<StoreMirror>, replica: SharedName, size: Option<RequestSize>) -> Self {
        let work = RequestSize::work(size);
        mirror.replicas.borrow_mut().add_load(&replica, work);
        Self { mirror, replica, work, prompt: size.map_or(0, |size| size.prompt) }
    }

    /// Notes that the prompt was read.
    fn note_begun(&mut self) {
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

/// An answer whose head and first content have come.
#[derive(Debug)]
pub struct StartedResponse {
    /// Head.
    pub response: ResponseMessage,
    /// Content that has not been passed on.
    pub content: Vec<u8>,
    target: ReplicaTarget,
    decoder: BodyDecoder,
    stream: MessageStream,
    reusable: bool,
    held: bool,
    load: LoadGuard,
}

impl StartedResponse {
    /// Whether the whole answer is in [`Self::content`].
    pub fn is_whole(&self) -> bool {
        self.held
    }

    /// Whether all content was read.
    pub fn is_complete(&self) -> bool {
        self.decoder.is_complete()
    }

    /// Replica that answers.
    pub fn target(&self) -> &ReplicaTarget {
        &self.target
    }

    /// Reads more content.
    pub async fn read_content(&mut self, content: &mut Vec<u8>) -> Result<(), BodyError> {
        self.stream.read_content(&mut self.decoder, content).await
    }

    /// Returns the connection of an answer that was read whole.
    pub fn give_back(self, pool: &UpstreamPool) {
        if self.reusable && self.decoder.is_complete() && self.response.keep_alive {
            let keep_alive = self.response.headers.get("keep-alive").and_then(idle_timeout);
            pool.give_back(self.target.address, self.stream, keep_alive);
        }
        self.load.mirror.replicas.borrow_mut().note_success(&self.target.id);
    }

    /// Notes that the answer broke off.
    pub fn note_failure(&self, desk: &RequestDesk, reason: &str) {
        desk.note_replica_failure(&self.target.id, reason);
    }
}

/// Timeout in a `Keep-Alive` header.
fn idle_timeout(value: &str) -> Option<Duration> {
    let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

impl RequestDesk {
    /// Sends the request to `target` and waits for its answer.
    pub async fn attempt(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        terms: AttemptTerms<'_>,
    ) -> AttemptOutcome {
        let load = LoadGuard::new(self.mirror.clone(), target.id.clone(), request.headers.size);
        let repeatable = request.route.is_repeatable();
        let connected = self.upstreams.connect(target.address, repeatable).await;
        let upstream = match connected {
            Ok(upstream) => upstream,
            Err(err) => {
                self.note_replica_failure(&target.id, &err.to_string());
                return AttemptOutcome::NotSent("cannot connect");
            }
        };
        let left = request.deadline.saturating_sub(self.clock.now());
        let limit = terms.silence.map_or(left, |silence| silence.min(left));
        let exchanging = self.exchange(request, target, terms, upstream, load);
        match self.clock.timeout(limit, exchanging).await {
            Some(end) => end,
            None if limit < left => {
                self.note_replica_failure(&target.id, "no answer in time");
                AttemptOutcome::Lost("replica is silent")
            }
            None => AttemptOutcome::TimedOut,
        }
    }

    /// Notes that a replica failed; it is avoided for a while.
    pub fn note_replica_failure(&self, id: &str, reason: &str) {
        let avoided = self.mirror.replicas.borrow_mut().note_failure(id, self.clock.now());
        let avoided_ms = avoided.unwrap_or_default().as_millis();
        log::info!("event=replica_failed replica={id} avoided_ms={avoided_ms} reason=\"{reason}\"");
    }

    async fn exchange(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        terms: AttemptTerms<'_>,
        upstream: UpstreamStream,
        mut load: LoadGuard,
    ) -> AttemptOutcome {
        let bytes = self.encode(request, target, terms);
        let UpstreamStream { mut stream, reused } = upstream;
        let method = &*request.message.method;
        let received = send_and_receive(&mut stream, &bytes, request, reused).await;
        let (response, headers, sent_whole) = match received {
            Ok(received) => received,
            Err(reason) => {
                log::debug!("event=attempt_broken id={} reused={reused}", request.id());
                self.note_replica_failure(&target.id, reason);
                return AttemptOutcome::Lost(reason);
            }
        };
        let mut decoder = BodyDecoder::response(&response, method);
        if headers.not_executed {
            return self.take_refusal(target, response, decoder, stream, sent_whole).await;
        }
        if response.status < 300 && !headers.is_acceptable(&response) {
            self.note_replica_failure(&target.id, "answer is not the replica's own");
            return AttemptOutcome::Lost("answer is not the replica's own");
        }
        let promises_not_run = matches!(response.status, 408 | 421 | 429 | 503);
        if promises_not_run && !headers.signed {
            return AttemptOutcome::Lost("replica failed without saying whether the request ran");
        }
        let streams = request.route.kind == RouteKind::Stream && response.status < 300;
        let mut content = Vec::new();
        let read = match streams {
            true => stream.read_content(&mut decoder, &mut content).await,
            false => hold(&mut stream, &mut decoder, &mut content).await,
        };
        if let Err(err) = read {
            self.note_replica_failure(&target.id, &err.to_string());
            self.count(request);
            return AttemptOutcome::Lost("answer broke off");
        }
        self.count(request);
        self.usage.note_answer(&target.id);
        load.note_begun();
        let held = !streams && decoder.is_complete();
        AttemptOutcome::Answer(Box::new(StartedResponse {
            response,
            content,
            target: target.clone(),
            decoder,
            stream,
            reusable: sent_whole,
            held,
            load,
        }))
    }

    /// Takes in that a replica did not run the request.
    async fn take_refusal(
        &self,
        target: &ReplicaTarget,
        response: ResponseMessage,
        mut decoder: BodyDecoder,
        mut stream: MessageStream,
        sent_whole: bool,
    ) -> AttemptOutcome {
        let mut content = Vec::new();
        let read = hold(&mut stream, &mut decoder, &mut content).await;
        if read.is_ok() && sent_whole && decoder.is_complete() && response.keep_alive {
            let keep_alive = response.headers.get("keep-alive").and_then(idle_timeout);
            self.upstreams.give_back(target.address, stream, keep_alive);
        }
        let now = self.clock.now();
        match response.status {
            421 => self.note_replica_failure(&target.id, "another replica has its address"),
            _ => self.mirror.replicas.borrow_mut().note_full(&target.id, now),
        }
        AttemptOutcome::NotExecuted(response.status)
    }

    /// Counts the request as begun, once.
    fn count(&self, request: &RoutedRequest<'_>) {
        let Some(organisation) = &request.organisation else { return };
        if !request.counted.replace(true) {
            self.usage.count(organisation);
        }
    }

    /// Notes that the answer of a replica that was sent the request is lost for good.
    pub fn note_lost_answer(&self, request: &RoutedRequest<'_>, replica: &SharedName) {
        let Some(organisation) = &request.organisation else { return };
        if !request.counted.replace(true) {
            let elapsed = self.clock.now().saturating_sub(request.arrived);
            self.usage.note_lost(replica, organisation, elapsed);
        }
    }

    fn encode(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        terms: AttemptTerms<'_>,
    ) -> Vec<u8> {
        let message = request.message;
        let mut bytes = Vec::with_capacity(1024 + request.body.len());
        let line = format!("{} {} HTTP/1.1\r\n", message.method, message.target);
        bytes.extend_from_slice(line.as_bytes());
        let headers = UpstreamHeaders {
            time_left: request.deadline.saturating_sub(self.clock.now()),
            replica: &target.id,
            organisation: request.organisation.as_deref(),
            priority: request.priority,
            last_event: terms.last_event,
            fetch_from: target.warm.filter(|_| terms.moved_run.is_none()),
            moved_run: terms.moved_run,
        };
        write_request_headers(&message.headers, &headers, &mut bytes);
        let has_body = message.framing != berylstep_http::BodyFraming::Unframed;
        if has_body {
            let length = request.body.len().to_string();
            write_header("Content-Length", length.as_bytes(), &mut bytes);
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(request.body);
        bytes
    }
}

/// Sends `bytes` and receives the head of the answer; tells whether all bytes were sent.
async fn send_and_receive(
    stream: &mut MessageStream,
    bytes: &[u8],
    request: &RoutedRequest<'_>,
    reused: bool,
) -> Result<(ResponseMessage, AnswerHeaders, bool), &'static str> {
    let mut writer = stream.stream.clone();
    let writing = Box::pin(async move { writer.write_all(bytes).await });
    let reading = Box::pin(receive_head(stream, request, reused));
    match select(writing, reading).await {
        Either::Left((Ok(()), reading)) => {
            reading.await.map(|(response, headers)| (response, headers, true))
        }
        // The replica may have answered before it stopped reading.
        Either::Left((Err(_), reading)) => {
            reading.await.map(|(response, headers)| (response, headers, false))
        }
        Either::Right((received, _)) => {
            received.map(|(response, headers)| (response, headers, false))
        }
    }
}

/// Receives the head of the answer to `request`; answers to other requests are skipped, and so are
/// nameless ones that an earlier request on a `reused` connection may have left.
async fn receive_head(
    stream: &mut MessageStream,
    request: &RoutedRequest<'_>,
    reused: bool,
) -> Result<(ResponseMessage, AnswerHeaders), &'static str> {
    let mut skipped = 0;
    loop {
        let head = stream.read_head(MAX_ANSWER_HEAD).await;
        let bytes = match head {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Err("replica closed the connection"),
            Err(_) => return Err("replica broke off or sent no answer"),
        };
        let response = ResponseMessage::parse(&bytes).map_err(|_| "answer is malformed")?;
        if response.status < 200 {
            continue;
        }
        let headers = AnswerHeaders::read(&response, request.headers.request_id.as_deref());
        let is_leftover = match headers.owner {
            AnswerOwner::Own => false,
            AnswerOwner::Other => true,
            AnswerOwner::Unnamed => reused && !headers.signed && response.status < 300,
        };
        if !is_leftover {
            return Ok((response, headers));
        }
        skipped += 1;
        if skipped > MAX_SKIPPED_ANSWERS {
            return Err("replica answers other requests");
        }
        let decoder = BodyDecoder::response(&response, &request.message.method);
        let body = stream.read_body(decoder, MAX_HELD_BYTES).await;
        body.map_err(|_| "late answer to another request broke off")?;
    }
}

/// Reads an answer whole, unless it is too large to be held.
async fn hold(
    stream: &mut MessageStream,
    decoder: &mut BodyDecoder,
    content: &mut Vec<u8>,
) -> Result<(), BodyError> {
    while !decoder.is_complete() && content.len() < MAX_HELD_BYTES {
        stream.read_content(decoder, content).await?;
    }
    Ok(())
}
