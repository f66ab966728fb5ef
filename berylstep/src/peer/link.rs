//! Open peer links and their send queues.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::member::{MemberRow, MemberState};
use berylstep_wire::frame::Body;
use berylstep_wire::{Frame, Hello, Pulse};
use futures_util::{SinkExt, StreamExt};
use smol::channel::{bounded, Receiver, Sender};
use smol::future;

use super::handshake::{codec_refusal, FrameReader, FrameWriter, LinkRefusal, PeerSession};
use crate::node::NodeContext;

/// Capacity of a peer's send queue; messages to a slow peer are dropped once it is full.
const QUEUE_CAPACITY: usize = 1024;

/// Time without a received message after which a link is dropped and dialled again.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Open links by peer name.
#[derive(Debug, Default)]
pub struct PeerMesh {
    links: Mutex<HashMap<SharedName, PeerLink>>,
    next_id: AtomicU64,
    refusals: Mutex<HashMap<LinkRefusal, u64>>,
}

#[derive(Debug)]
struct PeerLink {
    id: u64,
    incarnation: u64,
    preferred: bool,
    queue: Sender<Body>,
    /// Highest sequence number of the pulses received on this link, echoed in this node's pulses.
    last_pulse: u64,
}

impl PeerLink {
    /// Queues a message, or drops it if the queue is full, so that a slow peer never delays this node.
    fn try_send(&self, body: Body) {
        if let Err(err) = self.queue.try_send(body) {
            log::debug!("message to a peer dropped: link={} error={err}", self.id);
        }
    }
}

impl PeerMesh {
    /// Queues a message; returns false if there is no link or its queue is full.
    pub fn send(&self, peer: &str, body: Body) -> bool {
        let links = self.links.lock().expect("link lock");
        links.get(peer).is_some_and(|link| link.queue.try_send(body).is_ok())
    }

    /// Queues a message on every link.
    pub fn broadcast(&self, body: &Body) {
        let links = self.links.lock().expect("link lock");
        for link in links.values() {
            link.try_send(body.clone());
        }
    }

    /// Queues a pulse on every link, each with the echo of that link's last received pulse.
    pub fn broadcast_pulse(&self, pulse: &Pulse) {
        let links = self.links.lock().expect("link lock");
        for link in links.values() {
            let pulse = Pulse { echo: link.last_pulse, ..pulse.clone() };
            link.try_send(Body::Pulse(pulse));
        }
    }

    /// Records the sequence number of a pulse received from `peer`, to be echoed.
    pub fn record_pulse(&self, peer: &str, sequence: u64) {
        let mut links = self.links.lock().expect("link lock");
        if let Some(link) = links.get_mut(peer) {
            link.last_pulse = link.last_pulse.max(sequence);
        }
    }

    /// Returns the names of the linked nodes, in no particular order.
    pub fn connected(&self) -> Vec<SharedName> {
        self.links.lock().expect("link lock").keys().cloned().collect()
    }

    /// Counts a refused or dropped link.
    pub fn count_refusal(&self, refusal: LinkRefusal) {
        *self.refusals.lock().expect("refusal lock").entry(refusal).or_default() += 1;
    }

    /// Returns the number of refused and dropped links, by cause.
    pub fn refusals(&self) -> HashMap<LinkRefusal, u64> {
        self.refusals.lock().expect("refusal lock").clone()
    }

    /// Registers a link, which replaces an older one to the same peer; `None` if a newer incarnation
    /// of the peer is linked, or if both nodes dialled and the open link is the preferred one.
    fn register(&self, session: &PeerSession) -> Option<(u64, Receiver<Body>)> {
        let (queue, messages) = bounded(QUEUE_CAPACITY);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut links = self.links.lock().expect("link lock");
        let incarnation = session.hello.incarnation;
        let preferred = session.preferred;
        let is_redundant = links.get(&session.peer).is_some_and(|open| {
            let same = open.incarnation == incarnation;
            open.incarnation > incarnation || (same && open.preferred && !preferred)
        });
        if is_redundant {
            return None;
        }
        let entry = PeerLink { id, incarnation, preferred, queue, last_pulse: 0 };
        links.insert(session.peer.clone(), entry);
        Some((id, messages))
    }

    fn unregister(&self, peer: &str, id: u64) {
        let mut links = self.links.lock().expect("link lock");
        if links.get(peer).is_some_and(|entry| entry.id == id) {
            links.remove(peer);
        }
    }
}

/// Unregisters a link when dropped.
struct LinkGuard {
    node: Arc<NodeContext>,
    peer: SharedName,
    id: u64,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.node.peers.unregister(&self.peer, self.id);
        log::info!("peer link closed: peer={}", self.peer);
    }
}

/// Runs a link until it fails, is replaced or times out.
pub async fn run(node: Arc<NodeContext>, session: PeerSession) {
    let Some((id, messages)) = node.peers.register(&session) else { return };
    let PeerSession { peer, hello, reader, writer, .. } = session;
    log::info!("peer link open: peer={peer}");
    if let Some(row) = member_row(&hello) {
        node.members().observe_hello(node.clock.now(), row);
    }
    super::announce(&node);
    let _guard = LinkGuard { node: node.clone(), peer: peer.clone(), id };
    future::or(read_messages(&node, &peer, reader), write_messages(messages, writer)).await;
}

/// Builds a provisional member row from a hello, for use until the stored row is read; `None` if an
/// address does not parse.
fn member_row(hello: &Hello) -> Option<MemberRow> {
    Some(MemberRow {
        node: hello.node.as_str().into(),
        incarnation: hello.incarnation,
        beat: 0,
        region: hello.region.as_str().into(),
        zone: hello.zone.as_str().into(),
        peer_address: hello.peer_address.parse().ok()?,
        caller_address: hello.caller_address.parse().ok()?,
        state: MemberState::Joining,
        config_version: 0,
    })
}

async fn read_messages(node: &Arc<NodeContext>, peer: &SharedName, mut reader: FrameReader) {
    let mut last_received = node.clock.now();
    loop {
        let received = node.clock.timeout(SILENCE_TIMEOUT, reader.next()).await;
        let silence = node.clock.now().saturating_sub(last_received);
        last_received += silence;
        // A message read after this process was suspended may have waited in the socket and is no
        // proof of recent contact.
        if silence >= SILENCE_TIMEOUT {
            log::warn!("peer link timed out: peer={peer}");
            node.peers.count_refusal(LinkRefusal::Silent);
            return;
        }
        match received {
            Some(Some(Ok(Frame { body: Some(body) }))) => super::dispatch(node, peer, body),
            // An unknown message kind, sent by a newer version.
            Some(Some(Ok(Frame { body: None }))) => {}
            Some(Some(Err(err))) => {
                log::warn!("peer link failed: peer={peer} error={err}");
                node.peers.count_refusal(codec_refusal(&err));
                return;
            }
            Some(None) | None => return,
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
