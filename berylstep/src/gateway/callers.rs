//! Accepts callers' connections and receives their requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::desired::CallerLimits;
use berylstep_http::{socket, BodyDecoder, BodyError, HeadError, MessageStream, RequestMessage};
use smol::future;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;

use crate::gateway::request::{RequestHandler, RequestSource};
use crate::gateway::response::{LocalReply, ResponseWriter};

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time by which a connection outlives the configured idle timeout, because a request may already
/// be in transit when the timeout expires.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Time without TCP acknowledgements after which a caller is considered gone.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// File descriptors reserved for everything except callers' connections.
const RESERVED_DESCRIPTORS: usize = 1200;

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Accepts callers' connections.
pub struct CallerListener {
    /// Handler that serves the requests.
    pub handler: Rc<RequestHandler>,
    /// Executor for the tasks of connections.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// File descriptors that the process may open.
    pub descriptors: usize,
    /// Number of open connections.
    pub open: Rc<Cell<usize>>,
    /// Who connects here.
    pub source: RequestSource,
}

/// Counts an open connection until dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl CallerListener {
    /// Accepts connections until the process ends.
    pub async fn run(self, listener: TcpListener) {
        let max_connections = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open.get() < max_connections => {
                    self.open.set(self.open.get() + 1);
                    let open = ConnectionGuard(self.open.clone());
                    let handler = self.handler.clone();
                    let source = self.source;
                    let serving = async move {
                        serve_connection(&handler, stream, source).await;
                        drop(open);
                    };
                    self.tasks.spawn(serving).detach();
                }
                Ok((_, from)) => {
                    log::warn!("event=caller_turned_away caller={from} reason=connections");
                }
                Err(err) => {
                    log::warn!("event=accept_failed listener=callers error=\"{err}\"");
                    self.handler.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
            // A burst of connections must not hold up requests in progress.
            future::yield_now().await;
        }
    }
}

/// A request with its complete body.
struct ReceivedMessage {
    message: RequestMessage,
    body: Vec<u8>,
    arrived: Duration,
}

/// Reasons for which a connection receives no further request.
enum ReceiveError {
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

async fn serve_connection(handler: &RequestHandler, stream: TcpStream, source: RequestSource) {
    if let Err(err) = socket::configure_with_timeout(&stream, DEAD_PEER_TIMEOUT) {
        log::debug!("event=caller_lost error=\"{err}\"");
        return;
    }
    let mut caller = MessageStream::new(stream);
    loop {
        match receive(handler, &mut caller).await {
            Ok(received) => {
                let ReceivedMessage { message, body, arrived } = received;
                if !handler.serve(&mut caller, &message, &body, arrived, source).await {
                    return;
                }
            }
            Err(ReceiveError::Closed) => return,
            Err(ReceiveError::Rejected(reply)) => {
                log::info!(
                    "event=request_rejected status={} reason=\"{}\"",
                    reply.status,
                    reply.reason
                );
                let mut writer = ResponseWriter::new(caller.stream.clone(), "", false);
                if let Err(err) = writer.write_reply(&reply).await {
                    log::debug!("event=answer_not_written status={} error=\"{err}\"", reply.status);
                }
                return;
            }
        }
    }
}

/// Receives the next request with its complete body.
async fn receive(
    handler: &RequestHandler,
    caller: &mut MessageStream,
) -> Result<ReceivedMessage, ReceiveError> {
    let limits = handler.mirror.desired().map(|desired| desired.limits).unwrap_or_default();
    if !caller.has_buffered_bytes() && !wait_for_bytes(handler, caller, &limits).await {
        return Err(ReceiveError::Closed);
    }
    let arrived = handler.clock.now();
    let reading = caller.read_head(limits.head_bytes);
    let Some(head) = handler.clock.timeout(limits.head_timeout, reading).await else {
        return Err(ReceiveError::Rejected(LocalReply::rejected(408, "head too slow")));
    };
    let bytes = head?.ok_or(ReceiveError::Closed)?;
    let message = RequestMessage::parse(&bytes)?;
    if message.expects_continue {
        let mut writer = caller.stream.clone();
        writer.write_all(CONTINUE_RESPONSE).await.map_err(|_| ReceiveError::Closed)?;
    }
    let decoder = BodyDecoder::request(message.framing);
    let reading = caller.read_body(decoder, limits.body_bytes);
    match handler.clock.timeout(BODY_TIMEOUT, reading).await {
        Some(Ok(body)) => Ok(ReceivedMessage { message, body, arrived }),
        Some(Err(BodyError::TooLarge(_))) => {
            Err(ReceiveError::Rejected(LocalReply::rejected(413, "body too large")))
        }
        Some(Err(BodyError::Malformed)) => {
            Err(ReceiveError::Rejected(LocalReply::rejected(400, "body is malformed")))
        }
        Some(Err(BodyError::Truncated | BodyError::Io(_))) => Err(ReceiveError::Closed),
        None => Err(ReceiveError::Rejected(LocalReply::rejected(408, "body too slow"))),
    }
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
