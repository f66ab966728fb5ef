//! Streams an upstream's response to the caller.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use berylstep_core::refusal::RunState;
use berylstep_http::client::{ConnectionReuse, REQUEST_ID_HEADER};
use berylstep_http::{channel_body, task_body, BodySender};
use http_types::{Body, Response};
use smol::future;
use smol::io::AsyncReadExt;

use super::attempt::{StartedResponse, CHUNK_BYTES};
use super::forward::ForwardedRequest;
use super::meter::UsageMeter;
use super::model_stream::ModelStream;
use super::probe::{probe, ProbeResult};
use super::response::RUN_HEADER;
use super::resume::{self, BreakCause};
use crate::observer::RequestOutcome;
use crate::slots::{SlotGuard, SlotOutcome};

/// Read timeout of an upstream's response body.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(15);

/// Read timeout of a resumable stream, after which its upstream is probed.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a caller to accept a chunk.
const CALLER_SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Response headers that are not forwarded: hop-by-hop headers and the content length.
const HOP_BY_HOP_HEADERS: &[&str] =
    &["connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade"];

/// Builds the caller's response from the upstream's. If the caller disconnects, the upstream's work
/// is cancelled.
pub fn relay(forwarded: ForwardedRequest, started: StartedResponse, slot: SlotGuard) -> Response {
    let mut response = response_head(&started);
    let length = started.length;
    let stream = ResponseStream::new(forwarded, started, slot, DisconnectPolicy::Cancel);
    set_body(&mut response, task_body(length, |sender| stream.run(sender)));
    response
}

/// Builds the caller's response, and a future that reads the upstream's response to its end even if
/// the caller disconnects.
pub fn relay_to_end(
    forwarded: ForwardedRequest,
    started: StartedResponse,
    slot: SlotGuard,
) -> (Response, impl Future<Output = ()>) {
    let mut response = response_head(&started);
    let (sender, body) = channel_body(started.length);
    let stream = ResponseStream::new(forwarded, started, slot, DisconnectPolicy::ReadToEnd);
    set_body(&mut response, body);
    (response, stream.run(sender))
}

/// Sets the body and preserves the content type, which [`Response::set_body`] replaces.
fn set_body(response: &mut Response, body: Body) {
    let content_type = response.header("content-type").map(|values| values.last().clone());
    response.set_body(body);
    match content_type {
        Some(content_type) => drop(response.insert_header("content-type", content_type)),
        None => drop(response.remove_header("content-type")),
    }
}

fn response_head(started: &StartedResponse) -> Response {
    let mut response = Response::new(started.head.status());
    for (name, values) in started.head.iter() {
        if HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        for value in values.iter() {
            response.append_header(name.clone(), value.clone());
        }
    }
    response.insert_header(REQUEST_ID_HEADER, &*started.id);
    response.insert_header(RUN_HEADER, RunState::Ran.as_str());
    response
}

/// What happens to the upstream's response if the caller disconnects before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisconnectPolicy {
    /// The connection is closed, which cancels the upstream's work.
    Cancel,
    /// The response is read to its end, so that its outcome is known.
    ReadToEnd,
}

/// Upstream, connection and unread body of a response.
pub struct ResponseSource {
    /// Slot at the upstream.
    pub slot: SlotGuard,
    /// Unread part of the body.
    pub body: Body,
    /// Hands the connection back once the body was read completely.
    pub reuse: ConnectionReuse,
}

/// A response that is being streamed to the caller.
pub struct ResponseStream {
    /// Request, with its deadline and excluded upstreams.
    pub forwarded: ForwardedRequest,
    /// Current source of the body; `None` once the response is complete or broken.
    pub source: Option<ResponseSource>,
    /// Parser for a model's event stream; `None` for any other response.
    pub model: Option<ModelStream>,
    first_bytes: Vec<u8>,
    ended: bool,
    /// Unread bytes of the body, if its length is known.
    remaining: Option<usize>,
    meter: UsageMeter,
    disconnect_policy: DisconnectPolicy,
    caller_disconnected: bool,
    succeeded: bool,
}

/// Result of one read of the upstream's response body.
enum ReadOutcome {
    Bytes(usize),
    Complete,
    Broken(BreakCause),
    Withdrawn,
}

type Withdrawal<'a> = Pin<&'a mut (dyn Future<Output = ()> + Send)>;

impl ResponseStream {
    fn new(
        forwarded: ForwardedRequest,
        started: StartedResponse,
        mut slot: SlotGuard,
        disconnect_policy: DisconnectPolicy,
    ) -> Self {
        slot.record_started();
        forwarded.observer.record_attempt(&started.id, &slot.upstream.id);
        let is_event_stream = started.is_event_stream();
        let request = &forwarded.request;
        let streams = request.model.as_ref().is_some_and(|model| model.stream) && is_event_stream;
        let model = streams.then(|| ModelStream::new(resume::is_resumable(request, &started.head)));
        let meter = UsageMeter::new(&forwarded);
        let succeeded = !started.head.status().is_server_error();
        let StartedResponse { first_bytes, ended, length, body, reuse, .. } = started;
        let remaining = length.map(|length| length.saturating_sub(first_bytes.len()));
        let source = Some(ResponseSource { slot, body, reuse });
        let caller_disconnected = false;
        Self {
            forwarded,
            source,
            model,
            first_bytes,
            ended,
            remaining,
            meter,
            disconnect_policy,
            caller_disconnected,
            succeeded,
        }
    }

    /// Copies the body to the caller. If the upstream's body breaks and can't be resumed, the
    /// caller's body is left incomplete, so that the caller sees the failure.
    async fn run(mut self, sender: BodySender) {
        let watch = self.forwarded.watch.clone();
        let withdrawn = async move { watch.withdrawn().await };
        smol::pin!(withdrawn);
        let first_bytes = std::mem::take(&mut self.first_bytes);
        if self.ended {
            self.meter.observe(&first_bytes);
            self.release();
        }
        if !self.deliver(&sender, &first_bytes).await {
            return;
        }
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let outcome = self.read(&mut chunk, withdrawn.as_mut()).await;
            match self.reject_partial_event(outcome) {
                ReadOutcome::Bytes(count) => {
                    if !self.deliver(&sender, &chunk[..count]).await {
                        return;
                    }
                }
                ReadOutcome::Complete => return self.finish(sender).await,
                ReadOutcome::Withdrawn => {
                    return self.forwarded.observer.record_outcome(RequestOutcome::Withdrawn);
                }
                ReadOutcome::Broken(cause) => {
                    let Some(first_bytes) = Box::pin(resume::resume(&mut self, &cause)).await
                    else {
                        return self.record_broken(&cause);
                    };
                    if !self.deliver(&sender, &first_bytes).await {
                        return;
                    }
                }
            }
        }
    }

    /// Turns the end of a stream inside an event into a failure of its upstream.
    fn reject_partial_event(&self, outcome: ReadOutcome) -> ReadOutcome {
        let is_partial = self.model.as_ref().is_some_and(ModelStream::is_inside_event);
        match outcome {
            ReadOutcome::Complete if is_partial => {
                ReadOutcome::Broken(BreakCause::upstream("stream ended inside an event".to_owned()))
            }
            outcome => outcome,
        }
    }

    /// Reads the next bytes. A withdrawn key ends the read only if the upstream's work may be
    /// cancelled.
    async fn read(&mut self, chunk: &mut [u8], withdrawn: Withdrawal<'_>) -> ReadOutcome {
        if self.ended {
            return ReadOutcome::Complete;
        }
        let cancels = self.disconnect_policy == DisconnectPolicy::Cancel;
        let withdrawal = async {
            match cancels {
                true => withdrawn.await,
                false => future::pending().await,
            }
            ReadOutcome::Withdrawn
        };
        future::or(self.read_or_probe(chunk), withdrawal).await
    }

    async fn read_or_probe(&mut self, chunk: &mut [u8]) -> ReadOutcome {
        let Some(source) = &mut self.source else { return ReadOutcome::Complete };
        let node = &self.forwarded.node;
        let resumable = self.model.as_ref().is_some_and(ModelStream::is_resumable);
        let timeout = if resumable { TOKEN_TIMEOUT } else { PROGRESS_TIMEOUT };
        match node.clock.timeout(timeout, source.body.read(chunk)).await {
            Some(Ok(0)) => ReadOutcome::Complete,
            Some(Ok(count)) => {
                self.check_body_end(count).await;
                ReadOutcome::Bytes(count)
            }
            Some(Err(err)) => ReadOutcome::Broken(BreakCause::upstream(err.to_string())),
            None => ReadOutcome::Broken(match Box::pin(probe(node, &source.slot.upstream)).await {
                ProbeResult::Silent => BreakCause::upstream("upstream failed the probe".to_owned()),
                ProbeResult::Alive { .. } => BreakCause::silent_connection(),
            }),
        }
    }

    /// Detects the end of a body of known length as soon as all its bytes are read, so that the
    /// slot is returned even if the caller disconnects right after the last byte.
    async fn check_body_end(&mut self, count: usize) {
        let Some(remaining) = &mut self.remaining else { return };
        *remaining = remaining.saturating_sub(count);
        if *remaining > 0 {
            return;
        }
        if let Some(source) = &mut self.source {
            self.ended = matches!(source.body.read(&mut [0; 1]).await, Ok(0));
        }
        if self.ended {
            self.release();
        }
    }

    /// Sends bytes to the caller; returns `false` if the response should not be read further.
    async fn deliver(&mut self, sender: &BodySender, bytes: &[u8]) -> bool {
        let outgoing = match &mut self.model {
            Some(model) => {
                let events = model.push(bytes);
                self.meter.set_usage(model.usage());
                events
            }
            None => {
                self.meter.observe(bytes);
                bytes.to_vec()
            }
        };
        self.send(sender, outgoing).await
    }

    async fn send(&mut self, sender: &BodySender, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() || self.caller_disconnected {
            return true;
        }
        let clock = &self.forwarded.node.clock;
        let sent = clock.timeout(CALLER_SEND_TIMEOUT, sender.send(bytes)).await;
        self.caller_disconnected = !matches!(sent, Some(Ok(())));
        if !self.caller_disconnected {
            self.forwarded.observer.record_delivery(self.meter.output_tokens().into());
        }
        !self.caller_disconnected || self.disconnect_policy == DisconnectPolicy::ReadToEnd
    }

    async fn finish(mut self, sender: BodySender) {
        self.release();
        if !self.caller_disconnected {
            let outcome = match self.succeeded {
                true => RequestOutcome::Answered,
                false => RequestOutcome::UpstreamError,
            };
            self.forwarded.observer.record_outcome(outcome);
            sender.finish();
        }
    }

    /// Returns the connection and the slot after a complete response.
    fn release(&mut self) {
        let Some(ResponseSource { slot, body, reuse }) = self.source.take() else { return };
        drop(body);
        let node = &self.forwarded.node;
        node.connections.release(slot.upstream.address, reuse);
        slot.finish(SlotOutcome { tokens: self.meter.output_tokens(), failed: !self.succeeded });
        if self.succeeded {
            node.retry_budgets.record_success(&self.forwarded.request.route.pool, node.clock.now());
        }
    }

    fn record_broken(mut self, cause: &BreakCause) {
        log::warn!("response broken: class={} {cause}", self.forwarded.request.class.name);
        self.forwarded.observer.record_outcome(RequestOutcome::Broken);
        if let Some(ResponseSource { slot, .. }) = self.source.take() {
            let tokens = self.meter.output_tokens();
            slot.finish(SlotOutcome { tokens, failed: cause.upstream_failed });
        }
    }
}
