//! HTTP listener for callers.

pub mod at_most_once;
pub mod attempt;
pub mod budget;
pub mod credentials;
pub mod endpoints;
pub mod forward;
pub mod idempotent;
pub mod meter;
pub mod model_stream;
pub mod outgoing;
pub mod probe;
pub mod relay;
pub mod request;
pub mod response;
pub mod resume;
pub mod watch;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use berylstep_http::server::ServeOutcome;
use berylstep_http::{socket, ReceiveError, ReceivedRequest, ServerConnection};
use http_types::{Method, Response};
use smol::net::{TcpListener, TcpStream};

use crate::drain;
use crate::node::{InFlightGuard, NodeContext};

/// How long a keep-alive connection may wait for its next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a request may take to arrive, from its first byte to its last.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP status 408, Request Timeout.
const REQUEST_TIMEOUT_STATUS: u16 = 408;

/// Delay after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers' connections and serves each in a task of its own, up to `max_connections`.
pub async fn listen(node: Arc<NodeContext>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = ConnectionGuard::new(open.clone());
                if connection.count > node.settings.max_connections {
                    log::warn!("caller's connection closed: max_connections reached");
                    continue;
                }
                smol::spawn(serve(node.clone(), stream, connection)).detach();
            }
            Err(err) => {
                log::warn!("cannot accept a caller's connection: {err}");
                node.clock.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts one open connection until dropped.
struct ConnectionGuard {
    open: Arc<AtomicUsize>,
    count: usize,
}

impl ConnectionGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        let count = open.fetch_add(1, Ordering::Relaxed) + 1;
        Self { open, count }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(node: Arc<NodeContext>, stream: TcpStream, _guard: ConnectionGuard) {
    if socket::configure(&stream).is_err() {
        return;
    }
    let _open = node.drain.open_connection();
    let mut connection = ServerConnection::new(stream.clone());
    while connection.is_reusable() {
        let pipelined = connection.has_buffered_bytes();
        if !pipelined && !drain::wait_for_request(&node, &stream, IDLE_TIMEOUT).await {
            break;
        }
        // Boxed, so that an idle connection does not reserve memory for receiving and responding.
        let receiving = Box::pin(connection.receive(node.settings.max_body_bytes));
        match node.clock.timeout(RECEIVE_TIMEOUT, receiving).await {
            Some(Ok(Some(received))) => serve_request(&node, &mut connection, received).await,
            Some(Ok(None)) => return,
            Some(Err(err)) => {
                refuse_malformed(&mut connection, &err).await;
                break;
            }
            None => {
                refuse_timed_out(&mut connection).await;
                break;
            }
        }
    }
    drain::close_gracefully(&node, stream).await;
}

async fn serve_request(
    node: &Arc<NodeContext>,
    connection: &mut ServerConnection,
    received: ReceivedRequest,
) {
    let _in_flight = InFlightGuard::new(node.clone());
    if node.drain.is_closing() {
        connection.close_after_response();
    }
    let method = received.request.method();
    let path = received.request.url().path().to_owned();
    // Boxed, so that its memory is freed before the body is streamed.
    let responding = Box::pin(endpoints::respond(node, received));
    let outcome = connection.serve(method, responding).await;
    if outcome != ServeOutcome::Sent {
        log::info!("response not sent completely: path={path} outcome={outcome:?}");
    }
}

async fn refuse_timed_out(connection: &mut ServerConnection) {
    let message = format!("the request did not arrive within {RECEIVE_TIMEOUT:?}");
    refuse(connection, REQUEST_TIMEOUT_STATUS, RefusalReason::BadRequest, message).await;
}

async fn refuse_malformed(connection: &mut ServerConnection, err: &ReceiveError) {
    let Some(status) = err.status() else { return };
    let reason = match err {
        ReceiveError::BodyTooLarge(_) => RefusalReason::BodyTooLarge,
        _ => RefusalReason::BadRequest,
    };
    refuse(connection, status, reason, err.to_string()).await;
}

/// Refuses a request that was not received completely, and closes the connection: the start of the
/// next request is unknown.
async fn refuse(
    connection: &mut ServerConnection,
    status: u16,
    reason: RefusalReason,
    message: String,
) {
    let mut response: Response = response::refusal(&RequestRefusal::not_run(reason, message));
    response.set_status(http_types::StatusCode::try_from(status).expect("known status"));
    connection.close_after_response();
    connection.serve(Method::Post, async { response }).await;
}
