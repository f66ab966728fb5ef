//! One attempt of a request, up to the first bytes of the response body.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::upstream::UpstreamEntry;
use berylstep_http::client::ConnectionReuse;
use berylstep_http::{ClientConnection, ClientResponse, ExchangeError};
use http_types::{Body, Request, Response};
use smol::io::AsyncReadExt;

use super::outgoing::upstream_request;
use super::probe::{probe, ProbeResult};
use super::request::CallerRequest;
use crate::connections::ConnectionChoice;
use crate::node::NodeContext;
use crate::upstream::leaving;

/// Size of the buffer for reading a response body, in bytes.
pub const CHUNK_BYTES: usize = 2 * 1024;

/// Largest response, in bytes, that is buffered completely before its first byte goes to the
/// caller, so that a broken one can be retried.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;

/// Minimum wait for the first byte of a response before the upstream is probed.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Multiple of the class's latency target after which a silent upstream is probed.
const FIRST_BYTE_TIMEOUT_FACTOR: u32 = 4;

/// A failed attempt.
#[derive(Debug)]
pub struct AttemptError {
    /// Whether the upstream may have received any part of the request.
    pub may_have_run: bool,
    /// Whether the upstream itself failed, rather than a single connection to it.
    pub upstream_failed: bool,
    /// Human-readable cause, which the caller receives in the refusal.
    pub message: String,
}

impl AttemptError {
    /// Failure of an attempt before any byte was sent.
    pub fn not_sent(message: String) -> Self {
        Self { may_have_run: false, upstream_failed: true, message }
    }
}

impl From<ExchangeError> for AttemptError {
    fn from(err: ExchangeError) -> Self {
        let may_have_run = err.may_have_run();
        Self { may_have_run, upstream_failed: true, message: err.to_string() }
    }
}

/// A response of which the head and the first bytes of the body have arrived.
#[derive(Debug)]
pub struct StartedResponse {
    /// Id of the request at the upstream.
    pub id: SharedName,
    /// Response without its body.
    pub head: Response,
    /// Start of the body, already read.
    pub first_bytes: Vec<u8>,
    /// Whether `first_bytes` is the whole body.
    pub ended: bool,
    /// Content length in bytes, if the upstream declared it.
    pub length: Option<usize>,
    /// Unread part of the body.
    pub body: Body,
    /// Hands the connection back once the body was read completely.
    pub reuse: ConnectionReuse,
}

/// Returns an id for a new request, unique across nodes and their restarts.
pub fn new_request_id(node: &NodeContext) -> SharedName {
    format!("{}-{}-{}", node.settings.node, node.incarnation(), node.next_request_number()).into()
}

/// Turns a response that announces that the upstream is leaving into a failed attempt.
fn reject_leaving(
    node: &NodeContext,
    upstream: &UpstreamEntry,
    started: StartedResponse,
) -> Result<StartedResponse, AttemptError> {
    if leaving::record_response(node, &upstream.id, &started.head) {
        let message = "the upstream is leaving".to_owned();
        return Err(AttemptError { may_have_run: true, upstream_failed: true, message });
    }
    Ok(started)
}

/// Returns a connection to the upstream.
///
/// # Errors
///
/// If no connection could be opened; nothing has been sent.
pub async fn connect(
    node: &NodeContext,
    upstream: &UpstreamEntry,
    choice: ConnectionChoice,
) -> Result<ClientConnection, AttemptError> {
    Ok(node.connections.connection(upstream.address, choice).await?)
}

/// Sends the request with the given body and waits for the first bytes of the response.
///
/// `deadline` is a time on the node's clock. A silent upstream is probed before the deadline, so
/// that a failed one can be replaced early.
///
/// # Errors
///
/// If the upstream can't be reached, is leaving, breaks the connection, fails its probe or is
/// still silent at the deadline.
pub async fn start_response(
    node: &Arc<NodeContext>,
    request: &CallerRequest,
    body: &[u8],
    upstream: &UpstreamEntry,
    deadline: Duration,
) -> Result<StartedResponse, AttemptError> {
    let id = new_request_id(node);
    let outgoing = upstream_request(node, request, body, upstream, &id);
    let outgoing = outgoing.map_err(|err| AttemptError::not_sent(err.to_string()))?;
    let connecting = connect(node, upstream, ConnectionChoice::Any);
    let remaining = deadline.saturating_sub(node.clock.now());
    let Some(connected) = node.clock.timeout(remaining, connecting).await else {
        return Err(AttemptError::not_sent("no connection before the deadline".to_owned()));
    };
    let mut receiving = Box::pin(receive(connected?, outgoing, id));
    let remaining = deadline.saturating_sub(node.clock.now());
    let timeout = first_byte_timeout(request, remaining);
    if let Some(received) = node.clock.timeout(timeout, &mut receiving).await {
        return reject_leaving(node, upstream, received?);
    }
    if let Some(err) = probe_silent_upstream(node, request, upstream).await {
        return Err(err);
    }
    let remaining = deadline.saturating_sub(node.clock.now());
    match node.clock.timeout(remaining, receiving).await {
        Some(received) => reject_leaving(node, upstream, received?),
        None => Err(AttemptError {
            may_have_run: true,
            upstream_failed: true,
            message: "no answer before the deadline".to_owned(),
        }),
    }
}

/// Returns how long to wait for the first byte before probing the upstream.
///
/// A model response that is not streamed sends its first byte only once generation is complete, so
/// half of the remaining time is allowed for it.
fn first_byte_timeout(request: &CallerRequest, remaining: Duration) -> Duration {
    let is_unstreamed_model = request.model.as_ref().is_some_and(|model| !model.stream);
    let target = Duration::from_millis(request.class.latency_ms);
    match is_unstreamed_model {
        true => remaining / 2,
        false => (target * FIRST_BYTE_TIMEOUT_FACTOR).max(MIN_FIRST_BYTE_TIMEOUT).min(remaining),
    }
}

/// Probes the upstream of a silent attempt; returns an error if the attempt should be given up.
async fn probe_silent_upstream(
    node: &NodeContext,
    request: &CallerRequest,
    upstream: &UpstreamEntry,
) -> Option<AttemptError> {
    let is_unstreamed_model = request.model.as_ref().is_some_and(|model| !model.stream);
    let (upstream_failed, message) = match probe(node, upstream).await {
        ProbeResult::Silent => (true, "upstream is silent"),
        // A busy engine may still be generating this response.
        ProbeResult::Alive { idle: false } if is_unstreamed_model => return None,
        ProbeResult::Alive { .. } => (false, "connection is silent though its upstream answers"),
    };
    Some(AttemptError { may_have_run: true, upstream_failed, message: message.to_owned() })
}

async fn receive(
    connection: ClientConnection,
    outgoing: Request,
    id: SharedName,
) -> Result<StartedResponse, ExchangeError> {
    let received = connection.exchange(outgoing).await?;
    let ClientResponse { response: mut head, reuse } = received;
    let body = head.take_body();
    let length = body.len();
    let buffer_bytes = match length {
        Some(length) if !is_event_stream(&head) => length.min(MAX_BUFFERED_BYTES),
        _ => 0,
    };
    let (first_bytes, ended) = (Vec::new(), false);
    let mut started = StartedResponse { id, head, first_bytes, ended, length, body, reuse };
    started.read_first(buffer_bytes).await.map_err(ExchangeError::Broken)?;
    Ok(started)
}

impl StartedResponse {
    /// Reads at least one byte and at least `buffer_bytes` bytes, unless the body ends first.
    async fn read_first(&mut self, buffer_bytes: usize) -> std::io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = self.body.read(&mut chunk).await?;
            self.first_bytes.extend_from_slice(&chunk[..count]);
            self.ended = count == 0;
            // Reads on after a body of known length is complete, to detect its end.
            let is_complete = self.length == Some(self.first_bytes.len());
            if self.ended || (self.first_bytes.len() >= buffer_bytes && !is_complete) {
                return Ok(());
            }
        }
    }

    /// Returns whether the body is a stream of server-sent events, by its content type.
    pub fn is_event_stream(&self) -> bool {
        is_event_stream(&self.head)
    }
}

fn is_event_stream(head: &Response) -> bool {
    let content_type = head.header("content-type").map(|values| values.last().as_str());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}
