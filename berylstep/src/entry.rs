//! Listener for callers.

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

/// Longest time for which a connection waits for its next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time from the first byte of a request to its last.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP status of a request that did not arrive in time.
const REQUEST_TIMEOUT_STATUS: u16 = 408;

/// Wait after a failed accept, which is most often a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves callers.
pub async fn listen(node: Arc<NodeContext>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = ConnectionGuard::new(open.clone());
                if connection.count > node.settings.max_connections {
                    log::warn!("caller turned away: too many connections");
                    continue;
                }
                smol::spawn(serve(node.clone(), stream, connection)).detach();
            }
            Err(err) => {
                log::warn!("cannot accept a caller: {err}");
                node.clock.sleep(ACCEPT_RETRY).await;
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
        let ahead = connection.has_buffered_bytes();
        if !ahead && !drain::request_arrives(&node, &stream, IDLE_TIMEOUT).await {
            break;
        }
        // Boxed, so that a connection that waits does not hold the state of receiving and answering.
        let receiving = Box::pin(connection.receive(node.settings.max_body_bytes));
        match node.clock.timeout(RECEIVE_TIMEOUT, receiving).await {
            Some(Ok(Some(received))) => serve_request(&node, &mut connection, received).await,
            Some(Ok(None)) => return,
            Some(Err(err)) => {
                refuse_malformed(&mut connection, &err).await;
                break;
            }
            None => {
                refuse_late(&mut connection).await;
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
    // Boxed, so that its state is freed while the body is streamed.
    let answering = Box::pin(endpoints::respond(node, received));
    let outcome = connection.serve(method, answering).await;
    if outcome != ServeOutcome::Sent {
        log::info!("answer not sent: path={path} outcome={outcome:?}");
    }
}

async fn refuse_late(connection: &mut ServerConnection) {
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

/// Refuses what was not received whole; the connection can't be used after that.
async fn refuse(
    connection: &mut ServerConnection,
    status: u16,
    reason: RefusalReason,
    message: String,
) {
    let mut answer: Response = response::refusal(&RequestRefusal::not_run(reason, message));
    answer.set_status(http_types::StatusCode::try_from(status).expect("known status"));
    connection.close_after_response();
    connection.serve(Method::Post, async { answer }).await;
}
