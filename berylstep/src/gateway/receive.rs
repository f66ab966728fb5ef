//! Receives requests from clients within the limits on what the node holds for them.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::byte_account::{ConnectionPhase, SMALL_BYTES};
use berylstep_core::fleet::desired::CallerLimits;
use berylstep_http::{
    BodyDecoder, BodyError, BodyFraming, HeadError, MessageStream, RequestMessage,
};
use smol::future;
use smol::io::AsyncWriteExt;

use crate::body_buffer::BodyBuffer;
use crate::gateway::holdings::HoldGuard;
use crate::gateway::request::RequestHandler;
use crate::gateway::response::LocalReply;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time without content of a body. On the slowest link that gateways are deployed with, shared by
/// thousands of clients, each still gets a packet in this time.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time by which a connection outlives the configured idle timeout, because a request may already
/// be in transit when the timeout expires.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// `Retry-After` of a request that is refused for want of memory: by then others have ended or stalled.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request with its complete body.
pub(super) struct ReceivedMessage {
    /// Request head.
    pub message: RequestMessage,
    /// Request body.
    pub body: BodyBuffer,
    /// Time at which its first byte arrived.
    pub arrived: Duration,
}

/// Reasons for which a connection receives no further request.
pub(super) enum ReceiveError {
    /// The connection is closed without a response.
    Closed,
    /// The reply is sent and the connection is closed.
    Rejected(LocalReply),
}

impl From<HeadError> for ReceiveError {
    fn from(err: HeadError) -> Self {
        match err {
            HeadError::TooLarge => Self::Rejected(LocalReply::rejected(431, "head too large")),
            HeadError::Version => Self::Rejected(LocalReply::rejected(505, "not HTTP/1.1")),
            HeadError::Malformed(reason) => Self::Rejected(LocalReply::rejected(400, reason)),
            HeadError::Expectation => Self::Rejected(LocalReply::rejected(417, "expectation")),
            HeadError::Truncated | HeadError::Io(_) => Self::Closed,
        }
    }
}

/// Returns the reply to a request that there is no memory for.
pub(super) fn memory_reply() -> LocalReply {
    LocalReply::refused("node is out of memory for clients", REFUSAL_PAUSE)
}

/// Receives the next request with its complete body.
pub(super) async fn receive(
    handler: &RequestHandler,
    caller: &mut MessageStream,
    hold: &HoldGuard,
) -> Result<ReceivedMessage, ReceiveError> {
    let limits = handler.mirror.desired().map(|desired| desired.limits).unwrap_or_default();
    if !caller.has_buffered_bytes() {
        hold.hold(ConnectionPhase::Idle, 0);
        if !wait_for_bytes(handler, caller, &limits).await {
            return Err(ReceiveError::Closed);
        }
    }
    let arrived = handler.clock.now();
    let reading = receive_head(caller, limits.head_bytes, hold);
    let Some(message) = handler.clock.timeout(limits.head_timeout, reading).await else {
        return Err(ReceiveError::Rejected(LocalReply::rejected(408, "head too slow")));
    };
    let message = message?;
    // A body is only held for a request that may be served; a small one is read all the same, so that the
    // connection can be used again.
    let rejection = match handler.authorise(&message) {
        Ok(authorised) => {
            let organisation = authorised.organisation();
            organisation.into_iter().for_each(|name: SharedName| hold.assign(name));
            None
        }
        Err(reply) => Some(reply),
    };
    let max_bytes = match rejection {
        Some(_) => limits.body_bytes.min(SMALL_BYTES),
        None => limits.body_bytes,
    };
    let too_large = || match &rejection {
        Some(reply) => ReceiveError::Rejected(*reply),
        None => ReceiveError::Rejected(LocalReply::rejected(413, "body too large")),
    };
    let body_bytes = match message.framing {
        BodyFraming::Length(length) if length > max_bytes as u64 => return Err(too_large()),
        BodyFraming::Length(length) => length as usize,
        BodyFraming::Chunked | BodyFraming::Unframed => max_bytes,
    };
    if message.expects_continue {
        let mut writer = caller.stream.clone();
        writer.write_all(CONTINUE_RESPONSE).await.map_err(|_| ReceiveError::Closed)?;
    }
    let decoder = BodyDecoder::request(message.framing);
    let reading = receive_body(handler, caller, decoder, body_bytes, hold);
    match handler.clock.timeout(BODY_TIMEOUT, reading).await {
        Some(Ok(body)) => Ok(ReceivedMessage { message, body, arrived }),
        Some(Err(BodyFailure::Malformed(BodyError::TooLarge(_)))) => Err(too_large()),
        Some(Err(BodyFailure::Malformed(BodyError::Malformed))) => {
            Err(ReceiveError::Rejected(LocalReply::rejected(400, "body is malformed")))
        }
        Some(Err(BodyFailure::Malformed(BodyError::Truncated | BodyError::Io(_)))) => {
            Err(ReceiveError::Closed)
        }
        Some(Err(BodyFailure::NoMemory)) => Err(ReceiveError::Rejected(memory_reply())),
        Some(Err(BodyFailure::Stalled)) | None => {
            Err(ReceiveError::Rejected(LocalReply::rejected(408, "body too slow")))
        }
    }
}

async fn receive_head(
    caller: &mut MessageStream,
    max_bytes: usize,
    hold: &HoldGuard,
) -> Result<RequestMessage, ReceiveError> {
    let mut searched = 0;
    loop {
        if !hold.hold(ConnectionPhase::Receiving, caller.buffered_bytes()) {
            return Err(ReceiveError::Rejected(memory_reply()));
        }
        if let Some(head) = caller.take_head(max_bytes, &mut searched)? {
            return Ok(RequestMessage::parse(&head)?);
        }
        match caller.fill().await {
            Ok(true) => {}
            Ok(false) | Err(_) => return Err(ReceiveError::Closed),
        }
    }
}

/// Why a body was not received.
enum BodyFailure {
    /// Its bytes are no body within the limit, or ended early.
    Malformed(BodyError),
    /// There is no memory for more of it.
    NoMemory,
    /// Its client sends nothing.
    Stalled,
}

async fn receive_body(
    handler: &RequestHandler,
    caller: &mut MessageStream,
    mut decoder: BodyDecoder,
    max_bytes: usize,
    hold: &HoldGuard,
) -> Result<BodyBuffer, BodyFailure> {
    let mut body = BodyBuffer::new(max_bytes);
    let mut content = Vec::new();
    while !decoder.is_complete() {
        let reading = caller.read_content(&mut decoder, &mut content);
        match handler.clock.timeout(BODY_STALL_TIMEOUT, reading).await {
            Some(read) => read.map_err(BodyFailure::Malformed)?,
            None => return Err(BodyFailure::Stalled),
        }
        if !hold.hold(ConnectionPhase::Receiving, body.len() + content.len()) {
            return Err(BodyFailure::NoMemory);
        }
        body.append(&content).map_err(BodyFailure::Malformed)?;
        content.clear();
    }
    Ok(body)
}

/// Waits for the first bytes of a request. Returns `false` if the connection must be closed.
async fn wait_for_bytes(
    handler: &RequestHandler,
    caller: &mut MessageStream,
    limits: &CallerLimits,
) -> bool {
    let idle = limits.idle_timeout + IDLE_MARGIN;
    let arriving = async { matches!(caller.fill().await, Ok(true)) };
    let closing = async {
        let stopping = handler.stop.wait_idle_close();
        handler.clock.timeout(idle, stopping).await;
        false
    };
    future::or(arriving, closing).await
}
