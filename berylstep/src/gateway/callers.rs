//! Accepts callers' connections and serves their requests one after the other.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::byte_account::ConnectionPhase;
use berylstep_http::{socket, MessageStream};
use smol::future;
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;

use crate::gateway::holdings::{HoldGuard, Holdings};
use crate::gateway::receive::{memory_reply, receive, ReceiveError, ReceivedMessage};
use crate::gateway::request::{RequestHandler, RequestSource};
use crate::gateway::response::{LocalReply, ResponseWriter};

/// Time without TCP acknowledgements after which a caller is considered gone.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which a caller waits for a place when all are taken; callers give up a connection on which nothing
/// is read after about as long.
const PLACE_PATIENCE: Duration = Duration::from_secs(1);

/// Time for which the rest of a rejected request is read and dropped. A connection that is closed with unread
/// bytes is reset, and the reply may be lost with it.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes that the system keeps unread or unsent for a caller. It would let both grow to megabytes, which count
/// towards the memory of the VM; this is enough for 100 Mbit/s at 10 ms.
const SOCKET_BUFFER_BYTES: usize = 128 * 1024;

/// Accepts callers' connections.
pub struct CallerListener {
    /// Handler that serves the requests.
    pub handler: Rc<RequestHandler>,
    /// Executor for the tasks of connections.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// Account of what is held for callers.
    pub holdings: Rc<Holdings>,
    /// Who connects here.
    pub source: RequestSource,
}

impl CallerListener {
    /// Accepts connections until the process ends.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => match self.holdings.open(from.ip(), PLACE_PATIENCE).await {
                    Some(hold) => {
                        let handler = self.handler.clone();
                        let source = self.source;
                        let serving =
                            async move { serve_connection(&handler, stream, hold, source).await };
                        self.tasks.spawn(serving).detach();
                    }
                    None => log::debug!("event=caller_turned_away caller={from}"),
                },
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

/// How the service of a connection ended.
enum ConnectionEnd {
    /// The caller left, or its last response was written.
    Finished,
    /// A request is rejected before it was read completely.
    Rejected(LocalReply),
}

async fn serve_connection(
    handler: &RequestHandler,
    stream: TcpStream,
    hold: HoldGuard,
    source: RequestSource,
) {
    if let Err(err) = socket::configure_with_timeout(&stream, DEAD_PEER_TIMEOUT) {
        log::debug!("event=caller_lost error=\"{err}\"");
        return;
    }
    if let Err(err) = socket::bound_buffers(&stream, SOCKET_BUFFER_BYTES) {
        log::debug!("event=buffers_not_bounded error=\"{err}\"");
    }
    let is_receiving = Cell::new(false);
    let mut caller = MessageStream::new(stream);
    let serving = async {
        loop {
            is_receiving.set(true);
            let received = receive(handler, &mut caller, &hold).await;
            is_receiving.set(false);
            match received {
                Ok(received) => {
                    // Idle connections are many, so the state of a request has memory of its own.
                    let serving = serve_request(handler, &mut caller, received, &hold, source);
                    if !Box::pin(serving).await {
                        return ConnectionEnd::Finished;
                    }
                }
                Err(ReceiveError::Closed) => return ConnectionEnd::Finished,
                Err(ReceiveError::Rejected(reply)) => return ConnectionEnd::Rejected(reply),
            }
        }
    };
    let yielding = async {
        hold.wait_closing().await;
        match is_receiving.get() {
            true => ConnectionEnd::Rejected(memory_reply()),
            false => ConnectionEnd::Finished,
        }
    };
    if let ConnectionEnd::Rejected(reply) = future::or(serving, yielding).await {
        reject(handler, &mut caller, &reply).await;
    }
}

async fn serve_request(
    handler: &RequestHandler,
    caller: &mut MessageStream,
    received: ReceivedMessage,
    hold: &HoldGuard,
    source: RequestSource,
) -> bool {
    let ReceivedMessage { message, body, arrived } = received;
    if !hold.hold(ConnectionPhase::Serving, body.len()) {
        let mut writer = ResponseWriter::new(caller.stream.clone(), &message.method, false);
        if let Err(err) = writer.write_reply(&memory_reply()).await {
            log::debug!("event=answer_not_written error=\"{err}\"");
        }
        return false;
    }
    handler.serve(caller, &message, &body, arrived, hold, source).await
}

/// Replies to a request that was not read completely, and drops the rest of it.
async fn reject(handler: &RequestHandler, caller: &mut MessageStream, reply: &LocalReply) {
    log::info!("event=request_rejected status={} reason=\"{}\"", reply.status, reply.reason);
    let mut writer = ResponseWriter::new(caller.stream.clone(), "", false);
    let lingering = async {
        if let Err(err) = writer.write_reply(reply).await {
            log::debug!("event=answer_not_written status={} error=\"{err}\"", reply.status);
            return;
        }
        if caller.stream.shutdown(std::net::Shutdown::Write).is_ok() {
            caller.discard().await;
        }
    };
    handler.clock.timeout(LINGER_TIME, lingering).await;
}
