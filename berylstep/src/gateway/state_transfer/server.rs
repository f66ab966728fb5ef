//! Answers the queries of other nodes for state.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::document_fetch::MAX_QUERY_PIECES;
use berylstep_core::fleet::position::StorePosition;
use berylstep_wire::codec::MAX_FRAME_BYTES;
use berylstep_wire::frame::Body;
use berylstep_wire::{FleetCopy, FleetQuery, PieceEnd, PieceQuery};
use prost::Message;
use smol::future;
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;

use super::compression::PackedPieces;
use super::link::{LinkError, PeerLink};
use super::messages::{holder_message, manifest_message, read_digests};
use crate::clock::RuntimeClock;
use crate::gateway::connection_quota::ConnectionQuota;
use crate::gateway::mirror::pages::ReplicaPage;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::telemetry::GatewayMetrics;

/// Largest desired state that is sent in the answer to a state query; a larger one is sent in pieces.
const MAX_INLINE_BYTES: usize = 64 * 1024;

/// Size of the entries in one answer, from which on the rest is left for the next one.
const MAX_PAGE_BYTES: usize = 128 * 1024;

/// Bytes of a frame around the encoded copy.
const FRAME_OVERHEAD_BYTES: usize = 16;

/// Largest number of other holders that an answer names.
const MAX_NAMED_HOLDERS: usize = 8;

/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of queries for pieces that are answered at once.
#[derive(Debug)]
pub struct PieceSlots {
    total: u32,
    taken: Cell<u32>,
}

/// Takes one of [`PieceSlots`] until it is dropped.
#[derive(Debug)]
struct PieceSlot(Rc<PieceSlots>);

impl Drop for PieceSlot {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
    }
}

impl PieceSlots {
    /// Creates `total` free slots.
    pub fn new(total: u32) -> Self {
        Self { total, taken: Cell::new(0) }
    }

    fn take(self: &Rc<Self>) -> Option<PieceSlot> {
        if self.taken.get() >= self.total {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        Some(PieceSlot(self.clone()))
    }
}

/// Serves the state of this node to its peers.
pub struct StateServer {
    /// Source of monotonic time.
    pub clock: RuntimeClock,
    /// Executor for the answers.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// Table of the other nodes.
    pub peers: Rc<PeerTable>,
    /// Local copy of the store.
    pub mirror: Rc<StoreMirror>,
    /// Metrics of this gateway.
    pub metrics: Rc<GatewayMetrics>,
    /// Queries for pieces that are answered at once.
    pub slots: Rc<PieceSlots>,
    /// Pieces as they are sent.
    pub packed: PackedPieces,
}

impl StateServer {
    /// Answers queries from peers, for as long as the node runs.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, quota: Rc<ConnectionQuota>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    let answering = async move { server.answer_peer(stream).await };
                    self.tasks.spawn(quota.serve(answering)).detach();
                }
                Err(err) => {
                    log::warn!("event=accept_failed listener=peers error=\"{err}\"");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
            // A burst of connections must not hold up requests in progress.
            future::yield_now().await;
        }
    }

    async fn answer_peer(self: &Rc<Self>, stream: TcpStream) {
        let link = PeerLink::accepted(self.clock.clone(), stream);
        self.record_result(self.answer_query(link).await);
    }

    fn record_result(&self, result: Result<(), LinkError>) {
        if let Err(err) = result {
            self.metrics.transfers.record_answer_failed(err.label());
            log::warn!("event=handon_answer_failed error=\"{err}\"");
        }
    }

    async fn answer_query(self: &Rc<Self>, mut link: PeerLink) -> Result<(), LinkError> {
        match link.receive().await? {
            None => Ok(()),
            Some(Body::FleetQuery(query)) => {
                link.send(Body::FleetCopy(self.newer_state(&query))).await
            }
            Some(Body::PieceQuery(query)) => match self.slots.take() {
                Some(slot) => {
                    // The slots bound these connections, which must not give way to new ones.
                    let server = self.clone();
                    let answering = async move {
                        server.record_result(server.send_pieces(link, &query).await);
                        drop(slot);
                    };
                    self.tasks.spawn(answering).detach();
                    Ok(())
                }
                None => link.send(Body::PieceEnd(self.piece_end(true, &query))).await,
            },
            Some(_) => {
                log::warn!("event=handon_answer_failed error=\"unexpected message, not a query\"");
                Ok(())
            }
        }
    }

    async fn send_pieces(&self, mut link: PeerLink, query: &PieceQuery) -> Result<(), LinkError> {
        let digests = read_digests(&query.digests).unwrap_or_default();
        if let Some(document) = self.mirror.desired.pieces() {
            for digest in digests.into_iter().take(MAX_QUERY_PIECES) {
                let Some(content) = document.piece(digest) else { continue };
                let piece = self.packed.pack(&document, digest, content);
                self.metrics.transfers.piece_bytes_sent.inc_by(piece.encoded_len() as u64);
                link.send(Body::PieceCopy(piece)).await?;
            }
        }
        link.send(Body::PieceEnd(self.piece_end(false, query))).await
    }

    fn piece_end(&self, busy: bool, query: &PieceQuery) -> PieceEnd {
        let mut holders = self.peers.document_holders(query.desired_version, self.clock.now());
        holders.retain(|holder| holder.is_local);
        fastrand::shuffle(&mut holders);
        holders.truncate(MAX_NAMED_HOLDERS);
        PieceEnd { busy, holders: holders.iter().map(holder_message).collect() }
    }

    fn newer_state(&self, query: &FleetQuery) -> FleetCopy {
        let is_newer = self.mirror.desired_version() > query.desired_version;
        let content = self.mirror.desired.content();
        let is_inline = !query.accepts_parts || content.len() <= MAX_INLINE_BYTES;
        let manifest = match is_newer && !is_inline {
            true => self.mirror.desired.pieces().map(|pieces| manifest_message(pieces.manifest())),
            false => None,
        };
        let desired = if is_newer && is_inline { content.to_vec() } else { Vec::new() };
        let known = StorePosition::new(query.store_era, query.replica_revision);
        // A node that has only heard of a new era has nothing of it to hand on yet.
        let has_replicas = self.mirror.position() > known && self.mirror.replica_revision() > 0;
        let since = if query.store_era == self.mirror.era() { query.replica_revision } else { 0 };
        let max_bytes = if query.accepts_parts { MAX_PAGE_BYTES } else { usize::MAX };
        let page = match has_replicas {
            true => self.mirror.replica_page(since, &query.replicas_after, max_bytes),
            false => ReplicaPage::default(),
        };
        let complete = page.changes.complete;
        let (replicas, removed) = page.changes.into_messages();
        let copy = FleetCopy {
            desired,
            desired_version: if is_newer { self.mirror.desired_version() } else { 0 },
            manifest,
            has_replicas,
            replica_revision: if has_replicas {
                page.revision
            } else {
                self.mirror.replica_revision()
            },
            replicas,
            complete,
            removed,
            store_era: self.mirror.era(),
            leaving: self.mirror.all_leaving(),
            withheld: self.mirror.withheld_entries(max_bytes),
            store_troubled: self.mirror.has_store_failed_recently(),
            evacuation: self.mirror.evacuation_message(),
            replicas_after: query.replicas_after.clone(),
            has_more: page.has_more,
        };
        match query.accepts_parts {
            true => copy,
            false => without_excess(copy),
        }
    }
}

/// Leaves out what doesn't fit into one message for a node that takes no parts: the desired state before the list of
/// replicas.
fn without_excess(mut copy: FleetCopy) -> FleetCopy {
    if copy.encoded_len() > MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES {
        log::warn!(
            "event=handon_incomplete left_out=desired version={} bytes={}",
            copy.desired_version,
            copy.desired.len()
        );
        copy.desired = Vec::new();
        copy.desired_version = 0;
    }
    if copy.encoded_len() > MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES {
        log::warn!("event=handon_incomplete left_out=replicas entries={}", copy.replicas.len());
        copy.has_replicas = false;
        (copy.replicas, copy.removed, copy.withheld) = Default::default();
    }
    copy
}
