//! Open links and their queues.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_wire::frame::Body;
use berylstep_wire::Frame;
use futures_util::{SinkExt, StreamExt};
use smol::channel::{bounded, Receiver, Sender};
use smol::future;

use super::handshake::{FrameReader, FrameWriter, PeerSession};
use crate::node::NodeContext;

/// Messages queued for one peer; a slow peer loses what exceeds them.
const QUEUE_MESSAGES: usize = 1024;

/// Silence after which a link is dropped and dialled again.
const SILENCE_LIMIT: Duration = Duration::from_millis(1000);

/// Open links by the other node's name.
#[derive(Debug, Default)]
pub struct PeerMesh {
    links: Mutex<HashMap<SharedName, PeerLink>>,
    next_link: AtomicU64,
}

#[derive(Debug)]
struct PeerLink {
    link: u64,
    incarnation: u64,
    queue: Sender<Body>,
}

impl PeerMesh {
    /// Queues a message; false where there is no link or its queue is full.
    pub fn send(&self, peer: &str, body: Body) -> bool {
        let links = self.links.lock().expect("link lock");
        links.get(peer).is_some_and(|link| link.queue.try_send(body).is_ok())
    }

    /// Queues a message on every link.
    pub fn broadcast(&self, body: &Body) {
        let links = self.links.lock().expect("link lock");
        for link in links.values() {
            // A peer whose queue is full loses the message and never delays this node.
            let _ = link.queue.try_send(body.clone());
        }
    }

    /// Names of linked nodes.
    pub fn connected(&self) -> Vec<SharedName> {
        self.links.lock().expect("link lock").keys().cloned().collect()
    }

    /// Registers a link in place of an older one; `None` where a newer incarnation is linked.
    fn register(&self, session: &PeerSession) -> Option<(u64, Receiver<Body>)> {
        let (queue, messages) = bounded(QUEUE_MESSAGES);
        let link = self.next_link.fetch_add(1, Ordering::Relaxed);
        let mut links = self.links.lock().expect("link lock");
        let newer = links.get(&session.peer).is_some_and(|l| l.incarnation > session.incarnation);
        if newer {
            return None;
        }
        let entry = PeerLink { link, incarnation: session.incarnation, queue };
        links.insert(session.peer.clone(), entry);
        Some((link, messages))
    }

    fn unregister(&self, peer: &str, link: u64) {
        let mut links = self.links.lock().expect("link lock");
        if links.get(peer).is_some_and(|entry| entry.link == link) {
            links.remove(peer);
        }
    }
}

/// Unregisters a link when dropped.
struct LinkGuard {
    node: Arc<NodeContext>,
    peer: SharedName,
    link: u64,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.node.peers.unregister(&self.peer, self.link);
        log::info!("peer link closed: peer={}", self.peer);
    }
}

/// Runs a link until it fails, is replaced or goes silent.
pub async fn run(node: Arc<NodeContext>, session: PeerSession) {
    let Some((link, messages)) = node.peers.register(&session) else { return };
    let PeerSession { peer, reader, writer, .. } = session;
    log::info!("peer link open: peer={peer}");
    let _guard = LinkGuard { node: node.clone(), peer: peer.clone(), link };
    future::or(read_messages(&node, &peer, reader), write_messages(messages, writer)).await;
}

async fn read_messages(node: &Arc<NodeContext>, peer: &SharedName, mut reader: FrameReader) {
    loop {
        match node.clock.timeout(SILENCE_LIMIT, reader.next()).await {
            Some(Some(Ok(Frame { body: Some(body) }))) => super::dispatch(node, peer, body),
            // A message of a kind that only newer nodes know.
            Some(Some(Ok(Frame { body: None }))) => {}
            Some(Some(Err(err))) => {
                log::warn!("peer link failed: peer={peer} error={err}");
                return;
            }
            Some(None) => return,
            None => {
                log::warn!("peer link silent: peer={peer}");
                return;
            }
        }
    }
}

async fn write_messages(messages: Receiver<Body>, mut writer: FrameWriter) {
    while let Ok(body) = messages.recv().await {
        if writer.feed(Frame { body: Some(body) }).await.is_err() {
            return;
        }
        while let Ok(body) = messages.try_recv() {
            if writer.feed(Frame { body: Some(body) }).await.is_err() {
                return;
            }
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}
