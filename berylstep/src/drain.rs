//! Planned stop: a graceful shutdown that cuts no request.
//!
//! 1. The node announces that it leaves, and goes on taking requests until every answer of
//!    `/v1/entries` that named it has run out.
//! 2. It answers with `connection: close` and closes connections that stay idle.
//! 3. It closes the listener once no connection is open, removes its row and ends.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};
use smol::future;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use smol::Task;

use crate::node::{NodeContext, NodeEnd, NodeError};
use crate::{burn, duty, member, peer, usage};

/// Time for which an idle connection may still bring a request after the node began to close.
const IDLE_LINGER: Duration = Duration::from_millis(500);

/// Time for the peer of a half-closed connection to close its side.
const CLOSE_LINGER: Duration = Duration::from_millis(500);

/// Time between looks at what is still open.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Longest wait for requests in progress where another process has taken the node's name.
const DISPLACED_LIMIT: Duration = Duration::from_secs(10);

/// Progress of a planned stop.
#[derive(Debug)]
pub struct DrainSignal {
    closing: AtomicBool,
    // Closing the channel wakes every idle connection.
    waker: Mutex<Option<Sender<()>>>,
    woken: Receiver<()>,
    open: Arc<AtomicUsize>,
    listener: Mutex<Option<Task<()>>>,
}

impl Default for DrainSignal {
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

impl DrainSignal {
    /// Counts a new caller connection.
    pub fn open_connection(&self) -> OpenGuard {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenGuard { open: self.open.clone() }
    }

    /// Keeps the task that accepts callers until the drain ends.
    pub fn start_listener(&self, task: Task<()>) {
        *self.listener.lock().expect("listener lock") = Some(task);
    }

    /// Whether connections close after their answer.
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

    async fn closing(&self) {
        // Nothing is ever sent; the channel closes when closing begins.
        let _ = self.woken.recv().await;
    }
}

/// Waits for the first byte of a request; false where none came in time or the peer left.
///
/// A drain ends the wait only after [`IDLE_LINGER`], so that a request on its way is served.
pub async fn request_arrives(node: &NodeContext, stream: &TcpStream, limit: Duration) -> bool {
    let mut probe = [0];
    let arrival = async { matches!(stream.peek(&mut probe).await, Ok(1..)) };
    let expiry = async {
        node.clock.timeout(limit, node.drain.closing()).await;
        node.clock.sleep(IDLE_LINGER).await;
        false
    };
    future::or(arrival, expiry).await
}

/// Closes the sending side and waits for the peer to close too, so that a peer that sends at this
/// moment sees an orderly end and not a reset that loses the answer before it.
pub async fn close_gracefully(node: &NodeContext, mut stream: TcpStream) {
    if stream.shutdown(std::net::Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = [0; 1024];
    let draining = async { while matches!(stream.read(&mut chunk).await, Ok(1..)) {} };
    node.clock.timeout(CLOSE_LINGER, draining).await;
}

/// Stops the node; returns once no request is in progress.
pub async fn stop(node: &NodeContext, end: NodeEnd) -> Result<(), NodeError> {
    match end {
        NodeEnd::Planned => {
            leave(node).await;
            Ok(())
        }
        NodeEnd::Displaced => {
            let name = node.settings.node.clone();
            log::error!("another process runs as this node, which therefore stops: node={name}");
            node.drain.begin_closing();
            node.clock.timeout(DISPLACED_LIMIT, finish(node)).await;
            usage::flush_remaining(node).await;
            Err(NodeError::Displaced(name))
        }
    }
}

async fn leave(node: &NodeContext) {
    log::info!("node drains: node={}", node.settings.node);
    node.set_leaving();
    peer::announce(node);
    member::publish(node).await;
    duty::release(node).await;
    node.clock.sleep(member::LEAVING_PROPAGATION + node.settings.entries_ttl).await;
    log::info!("node closes its connections: open={}", node.drain.open_connections());
    node.drain.begin_closing();
    finish(node).await;
    burn::hand_over(node);
    usage::flush_remaining(node).await;
    member::leave(node).await;
}

/// Waits until no connection is open and no request is in progress.
async fn finish(node: &NodeContext) {
    while node.in_flight() > 0 || node.drain.open_connections() > 0 {
        node.clock.sleep(DRAIN_POLL).await;
    }
    node.drain.stop_listener();
}
