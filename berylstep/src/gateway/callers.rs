//! Connections of callers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::desired::CallerLimits;
use berylstep_http::{socket, BodyDecoder, BodyError, HeadError, MessageStream, RequestMessage};
use smol::future;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;

use crate::gateway::request::RequestDesk;
use crate::gateway::response::{AnswerWriter, OwnAnswer};

/// Longest time for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time beyond the operator's idle timeout for which a connection is kept, so that a request that
/// is on its way at the timeout still finds it open.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Time after which a caller that acknowledges nothing is taken as gone.
const LOSS_DETECTION: Duration = Duration::from_secs(3);

/// Pause after a failed accept, which is most often a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// File descriptors that are kept for other things than callers' connections.
const RESERVED_DESCRIPTORS: usize = 1200;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Accepts callers.
pub struct CallerListener {
    /// Serves their requests.
    pub desk: Rc<RequestDesk>,
    /// Executor of the connections' tasks.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// File descriptors of the process.
    pub descriptors: usize,
    /// Open connections.
    pub open: Rc<Cell<usize>>,
}

/// Counts one connection until dropped.
struct OpenConnection(Rc<Cell<usize>>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl CallerListener {
    /// Accepts callers for as long as the node runs.
    pub async fn run(self, listener: TcpListener) {
        let most = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open.get() < most => {
                    self.open.set(self.open.get() + 1);
                    let open = OpenConnection(self.open.clone());
                    let desk = self.desk.clone();
                    let serving = async move {
                        serve(&desk, stream).await;
                        drop(open);
                    };
                    self.tasks.spawn(serving).detach();
                }
                Ok((_, from)) => {
                    log::warn!("event=caller_turned_away caller={from} reason=connections");
                }
                Err(err) => {
                    log::warn!("event=accept_failed listener=callers error=\"{err}\"");
                    self.desk.clock.sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }
}

/// A request as received.
struct ReceivedMessage {
    message: RequestMessage,
    body: Vec<u8>,
    arrived: Duration,
}

/// Why no further request is received.
enum ReceiveEnd {
    /// The connection ends without an answer.
    Closed,
    /// The request is answered and the connection ends.
    Rejected(OwnAnswer),
}

impl From<HeadError> for ReceiveEnd {
    fn from(err: HeadError) -> Self {
        match err {
            HeadError::TooLarge => Self::Rejected(OwnAnswer::rejected(431, "head too large")),
            HeadError::Version => Self::Rejected(OwnAnswer::rejected(505, "not HTTP/1.1")),
            HeadError::Malformed(reason) => Self::Rejected(OwnAnswer::rejected(400, reason)),
            HeadError::Expectation => Self::Rejected(OwnAnswer::rejected(417, "expectation")),
            HeadError::Truncated | HeadError::Io(_) => Self::Closed,
        }
    }
}

async fn serve(desk: &RequestDesk, stream: TcpStream) {
    if let Err(err) = socket::configure_with_timeout(&stream, LOSS_DETECTION) {
        log::debug!("event=caller_lost error=\"{err}\"");
        return;
    }
    let mut caller = MessageStream::new(stream);
    loop {
        match receive(desk, &mut caller).await {
            Ok(received) => {
                let ReceivedMessage { message, body, arrived } = received;
                if !desk.serve(&mut caller, &message, &body, arrived).await {
                    return;
                }
            }
            Err(ReceiveEnd::Closed) => return,
            Err(ReceiveEnd::Rejected(own)) => {
                log::info!(
                    "event=request_rejected status={} reason=\"{}\"",
                    own.status,
                    own.reason
                );
                let mut writer = AnswerWriter::new(caller.stream.clone(), "", false);
                if let Err(err) = writer.write_own(&own).await {
                    log::debug!("event=answer_not_written status={} error=\"{err}\"", own.status);
                }
                return;
            }
        }
    }
}

/// Receives the next request with its whole body.
async fn receive(
    desk: &RequestDesk,
    caller: &mut MessageStream,
) -> Result<ReceivedMessage, ReceiveEnd> {
    let limits = desk.mirror.desired().map(|desired| desired.limits).unwrap_or_default();
    if !caller.has_buffered_bytes() && !wait_for_bytes(desk, caller, &limits).await {
        return Err(ReceiveEnd::Closed);
    }
    let arrived = desk.clock.now();
    let reading = caller.read_head(limits.head_bytes);
    let Some(head) = desk.clock.timeout(limits.head_timeout, reading).await else {
        return Err(ReceiveEnd::Rejected(OwnAnswer::rejected(408, "head too slow")));
    };
    let bytes = head?.ok_or(ReceiveEnd::Closed)?;
    let message = RequestMessage::parse(&bytes)?;
    if message.expects_continue {
        let mut writer = caller.stream.clone();
        writer.write_all(CONTINUE).await.map_err(|_| ReceiveEnd::Closed)?;
    }
    let decoder = BodyDecoder::request(message.framing);
    let reading = caller.read_body(decoder, limits.body_bytes);
    match desk.clock.timeout(BODY_TIMEOUT, reading).await {
        Some(Ok(body)) => Ok(ReceivedMessage { message, body, arrived }),
        Some(Err(BodyError::TooLarge(_))) => {
            Err(ReceiveEnd::Rejected(OwnAnswer::rejected(413, "body too large")))
        }
        Some(Err(BodyError::Malformed)) => {
            Err(ReceiveEnd::Rejected(OwnAnswer::rejected(400, "body is malformed")))
        }
        Some(Err(BodyError::Truncated | BodyError::Io(_))) => Err(ReceiveEnd::Closed),
        None => Err(ReceiveEnd::Rejected(OwnAnswer::rejected(408, "body too slow"))),
    }
}

/// Waits for the first bytes of a request; `false` means that the connection is to be closed.
async fn wait_for_bytes(
    desk: &RequestDesk,
    caller: &mut MessageStream,
    limits: &CallerLimits,
) -> bool {
    let idle = limits.idle_timeout + IDLE_MARGIN;
    let arriving = async { matches!(caller.fill().await, Ok(true)) };
    let closing = async {
        let stopping = desk.stop.idle_close();
        desk.clock.timeout(idle, stopping).await;
        false
    };
    future::or(arriving, closing).await
}
