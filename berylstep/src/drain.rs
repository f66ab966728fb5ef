//! Planned stop: a graceful shutdown that interrupts no request.
//!
//! 1. The node announces that it is leaving, and continues to accept requests until every response
//!    of `/v1/entries` that lists it has expired.
//! 2. It sends its responses with `connection: close` and closes idle connections.
//! 3. Once no connection is open, it closes the listener, removes its row and exits.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};
use smol::future;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use smol::Task;

use crate::node::{NodeContext, NodeError, StopReason};
use crate::{burn, duty, member, peer, usage};

/// How long an idle connection stays open after its timeout or the start of closing, for a request
/// already in transit.
const IDLE_LINGER: Duration = Duration::from_millis(500);

/// How long a half-closed connection waits for its peer to close the other half.
const CLOSE_LINGER: Duration = Duration::from_millis(500);

/// Interval between checks for open connections and requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long requests in progress may continue after another process has taken the node's name.
const DISPLACED_DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Progress of a planned stop.
#[derive(Debug)]
pub struct DrainState {
    closing: AtomicBool,
    // Dropping the sender closes the channel, which wakes the task of every idle connection.
    waker: Mutex<Option<Sender<()>>>,
    woken: Receiver<()>,
    open: Arc<AtomicUsize>,
    listener: Mutex<Option<Task<()>>>,
}

impl Default for DrainState {
    fn default() -> Self {
        let (waker, woken) = bounded(1);
        Self {
            closing: AtomicBool::new(false),
            waker: Mutex::new(Some(waker)),
            woken,
            open: Arc::default(),
            listener: Mutex::default(),
        }
    }
}

/// Counts one open caller connection until dropped.
#[derive(Debug)]
pub struct OpenGuard {
    open: Arc<AtomicUsize>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl DrainState {
    /// Counts a new caller connection as open until the returned guard is dropped.
    pub fn open_connection(&self) -> OpenGuard {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenGuard { open: self.open.clone() }
    }

    /// Stores the task that accepts callers, which is cancelled once the drain is complete.
    pub fn set_listener(&self, task: Task<()>) {
        *self.listener.lock().expect("listener lock") = Some(task);
    }

    /// Returns whether connections are closed after their next response.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    fn begin_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.waker.lock().expect("waker lock").take();
    }

    fn stop_listener(&self) {
        self.listener.lock().expect("listener lock").take();
    }

    fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    async fn wait_for_closing(&self) {
        // Nothing is ever sent; the receive ends once the channel is closed.
        let _ = self.woken.recv().await;
    }
}

/// Waits for the first byte of a request; returns false if none arrives in time or the peer closes
/// the connection.
///
/// The wait ends 500 ms after `limit` or after a drain began to close connections, so that a
/// request in transit is still served.
pub async fn wait_for_request(node: &NodeContext, stream: &TcpStream, limit: Duration) -> bool {
    let mut probe = [0];
    let arrival = async { matches!(stream.peek(&mut probe).await, Ok(1..)) };
    let expiry = async {
        node.clock.timeout(limit, node.drain.wait_for_closing()).await;
        node.clock.sleep(IDLE_LINGER).await;
        false
    };
    future::or(arrival, expiry).await
}

/// Shuts down the sending side and waits briefly for the peer to close the connection.
///
/// Closing at once would reset the connection if the peer is sending, and the reset could discard
/// the last response before the peer reads it.
pub async fn close_gracefully(node: &NodeContext, mut stream: TcpStream) {
    if stream.shutdown(std::net::Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = [0; 1024];
    let draining = async { while matches!(stream.read(&mut chunk).await, Ok(1..)) {} };
    node.clock.timeout(CLOSE_LINGER, draining).await;
}

/// Drains and stops the node; returns once no request is in progress.
///
/// # Errors
///
/// [`NodeError::Displaced`] if another process has taken the node's name. Requests in progress are
/// then cut off after 10 seconds.
pub async fn stop(node: &NodeContext, reason: StopReason) -> Result<(), NodeError> {
    match reason {
        StopReason::Planned => {
            leave_cluster(node).await;
            Ok(())
        }
        StopReason::Displaced => {
            let name = node.settings.node.clone();
            log::error!("node name taken over by another process; stopping: node={name}");
            node.drain.begin_closing();
            node.clock.timeout(DISPLACED_DRAIN_TIMEOUT, wait_until_drained(node)).await;
            usage::flush_remaining(node).await;
            Err(NodeError::Displaced(name))
        }
    }
}

async fn leave_cluster(node: &NodeContext) {
    log::info!("node draining: node={}", node.settings.node);
    node.set_leaving();
    peer::announce(node);
    member::publish(node).await;
    duty::release(node).await;
    node.clock.sleep(member::LEAVING_PROPAGATION + node.settings.entries_ttl).await;
    log::info!("closing connections: open={}", node.drain.open_connections());
    node.drain.begin_closing();
    wait_until_drained(node).await;
    burn::hand_over(node);
    usage::flush_remaining(node).await;
    member::leave(node).await;
}

/// Waits until no connection is open and no request is in progress, then closes the listener.
async fn wait_until_drained(node: &NodeContext) {
    while node.in_flight() > 0 || node.drain.open_connections() > 0 {
        node.clock.sleep(DRAIN_POLL_INTERVAL).await;
    }
    node.drain.stop_listener();
}
