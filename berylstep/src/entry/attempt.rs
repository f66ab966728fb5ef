//! One attempt of an idempotent request, up to the first bytes of its answer.

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

/// Bytes of an answer that are read at once.
pub const CHUNK_BYTES: usize = 2 * 1024;

/// Longest answer that is read whole before the caller gets its first byte, so that a broken one can
/// be asked for again.
const MAX_HELD_BYTES: usize = 32 * 1024;

/// Shortest time for which an upstream may stay silent before its first byte.
const MIN_FIRST_BYTE: Duration = Duration::from_secs(1);

/// Multiple of the class's latency target after which a silent upstream is looked at.
const FIRST_BYTE_TARGETS: u32 = 4;

/// A failed attempt.
#[derive(Debug)]
pub struct AttemptError {
    /// Whether the upstream can have received any byte.
    pub may_have_run: bool,
    /// Whether the upstream itself failed, rather than one connection to it.
    pub upstream_failed: bool,
    /// Explanation for people.
    pub message: String,
}

impl AttemptError {
    /// An attempt of which no byte was sent.
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

/// An answer whose first bytes have arrived.
#[derive(Debug)]
pub struct StartedResponse {
    /// Id under which the upstream knows the request.
    pub id: SharedName,
    /// Answer without its body.
    pub head: Response,
    /// Bytes of the body that were read.
    pub first: Vec<u8>,
    /// Whether `first` is the whole body.
    pub ended: bool,
    /// Length of the whole body in bytes, where the upstream stated it.
    pub length: Option<usize>,
    /// Rest of the body.
    pub body: Body,
    /// Connection of the answer.
    pub reuse: ConnectionReuse,
}

/// Id of a new request to an upstream.
pub fn new_request_id(node: &NodeContext) -> SharedName {
    format!("{}-{}-{}", node.settings.node, node.incarnation(), node.next_request_number()).into()
}

/// Turns the refusal of an upstream that is leaving into a failed attempt.
fn unless_leaving(
    node: &NodeContext,
    upstream: &UpstreamEntry,
    answer: StartedResponse,
) -> Result<StartedResponse, AttemptError> {
    if leaving::note_answer(node, &upstream.id, &answer.head) {
        let message = "the upstream is leaving".to_owned();
        return Err(AttemptError { may_have_run: true, upstream_failed: true, message });
    }
    Ok(answer)
}

/// Connects to an upstream; nothing has been sent on an error.
pub async fn connect(
    node: &NodeContext,
    upstream: &UpstreamEntry,
    choice: ConnectionChoice,
) -> Result<ClientConnection, AttemptError> {
    Ok(node.connections.connection(upstream.address, choice).await?)
}

/// Sends the request with the given body and waits for the first bytes of the answer.
pub async fn begin(
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
    let left = deadline.saturating_sub(node.clock.now());
    let Some(connected) = node.clock.timeout(left, connecting).await else {
        return Err(AttemptError::not_sent("no connection before the deadline".to_owned()));
    };
    let mut receiving = Box::pin(receive(connected?, outgoing, id));
    let left = deadline.saturating_sub(node.clock.now());
    let limit = first_byte_limit(request, left);
    if let Some(received) = node.clock.timeout(limit, &mut receiving).await {
        return unless_leaving(node, upstream, received?);
    }
    if let Some(err) = judge_silence(node, request, upstream).await {
        return Err(err);
    }
    let left = deadline.saturating_sub(node.clock.now());
    match node.clock.timeout(left, receiving).await {
        Some(received) => unless_leaving(node, upstream, received?),
        None => Err(AttemptError {
            may_have_run: true,
            upstream_failed: true,
            message: "no answer before the deadline".to_owned(),
        }),
    }
}

/// Time without a byte after which the upstream is looked at; a whole model answer has its first
/// byte only at its end.
fn first_byte_limit(request: &CallerRequest, left: Duration) -> Duration {
    let whole_model = request.model.as_ref().is_some_and(|model| !model.stream);
    let target = Duration::from_millis(request.class.latency_ms);
    match whole_model {
        true => left / 2,
        false => (target * FIRST_BYTE_TARGETS).max(MIN_FIRST_BYTE).min(left),
    }
}

/// Decides by a new connection whether a silent attempt is to be given up.
async fn judge_silence(
    node: &NodeContext,
    request: &CallerRequest,
    upstream: &UpstreamEntry,
) -> Option<AttemptError> {
    let whole_model = request.model.as_ref().is_some_and(|model| !model.stream);
    let (upstream_failed, message) = match probe(node, upstream).await {
        ProbeResult::Silent => (true, "upstream is silent"),
        // Its own work shows that the engine may still be generating the answer.
        ProbeResult::Alive { idle: false } if whole_model => return None,
        ProbeResult::Alive { .. } => (false, "connection is silent though its upstream answers"),
    };
    Some(AttemptError { may_have_run: true, upstream_failed, message: message.to_owned() })
}

async fn receive(
    connection: ClientConnection,
    outgoing: Request,
    id: SharedName,
) -> Result<StartedResponse, ExchangeError> {
    let answer = connection.exchange(outgoing).await?;
    let ClientResponse { response: mut head, reuse } = answer;
    let body = head.take_body();
    let length = body.len();
    let held = match length {
        Some(length) if !is_event_stream(&head) => length.min(MAX_HELD_BYTES),
        _ => 0,
    };
    let (first, ended) = (Vec::new(), false);
    let mut begun = StartedResponse { id, head, first, ended, length, body, reuse };
    begun.read_first(held).await.map_err(ExchangeError::Broken)?;
    Ok(begun)
}

impl StartedResponse {
    /// Reads at least one byte, and up to `held` bytes, unless the body ends before.
    async fn read_first(&mut self, held: usize) -> std::io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = self.body.read(&mut chunk).await?;
            self.first.extend_from_slice(&chunk[..count]);
            self.ended = count == 0;
            // One read more than `held` bytes finds the end of a body that was held whole.
            let whole = self.length == Some(self.first.len());
            if self.ended || (self.first.len() >= held && !whole) {
                return Ok(());
            }
        }
    }

    /// Whether the answer is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        is_event_stream(&self.head)
    }
}

fn is_event_stream(head: &Response) -> bool {
    let content_type = head.header("content-type").map(|values| values.last().as_str());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}
