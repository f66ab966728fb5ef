//! Fetches a large desired state in pieces from the nodes that announce it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::document::{DocumentManifest, PieceDigest, PieceReceipt};
use berylstep_core::fleet::document_fetch::{DocumentFetch, FetchStep, QueryEnd};
use berylstep_wire::frame::Body;
use berylstep_wire::{PieceEnd, PieceQuery};

use super::compression::unpack;
use super::link::{LinkError, PeerLink};
use super::messages::{digest_bytes, read_holder};
use crate::clock::RuntimeClock;
use crate::gateway::desired_copy::DesiredOutcome;
use crate::gateway::feeds::FollowedTable;
use crate::gateway::freshness::FreshnessWatch;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::notifier::ChangeNotifier;
use crate::gateway::peers::PeerTable;

/// Longest wait for a document to fetch; a new one ends it.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Pause where no known node has the missing pieces; other nodes may announce the version meanwhile.
const NO_SOURCE_PAUSE: Duration = Duration::from_millis(250);

/// Time for which only nodes of the own availability zone are asked, if one of them announces the version.
const LOCAL_PATIENCE: Duration = Duration::from_secs(1);

/// Fetches one document at a time, always the newest that is known.
pub struct DocumentFetcher {
    clock: RuntimeClock,
    peers: Rc<PeerTable>,
    mirror: Rc<StoreMirror>,
    freshness: Rc<FreshnessWatch>,
    current: RefCell<Option<DocumentFetch>>,
    /// Whether no known node has the missing pieces of the current document.
    is_stuck: Cell<bool>,
    /// Newest version that arrived and can't be decoded here.
    unusable: Cell<u64>,
    changed: ChangeNotifier,
}

impl DocumentFetcher {
    /// Creates a fetcher without a document.
    pub fn new(
        clock: RuntimeClock,
        peers: Rc<PeerTable>,
        mirror: Rc<StoreMirror>,
        freshness: Rc<FreshnessWatch>,
    ) -> Self {
        Self {
            clock,
            peers,
            mirror,
            freshness,
            current: RefCell::default(),
            is_stuck: Cell::new(false),
            unusable: Cell::new(0),
            changed: ChangeNotifier::default(),
        }
    }

    /// Returns the newest version that need not be asked for: it is in force, being fetched or unusable.
    pub fn known_version(&self) -> u64 {
        let current = self.current.borrow();
        let fetched = current.as_ref().filter(|_| !self.is_stuck.get());
        let fetched = fetched.map_or(0, DocumentFetch::version);
        self.mirror.desired_version().max(self.unusable.get()).max(fetched)
    }

    /// Records that a version arrived and can't be decoded here.
    pub fn record_unusable(&self, version: u64) {
        self.unusable.set(self.unusable.get().max(version));
    }

    /// Begins to fetch a document; one that is being fetched gives way to a newer one.
    pub fn begin(&self, manifest: DocumentManifest, source: SocketAddr) {
        let known = self.mirror.desired.pieces();
        let mut current = self.current.borrow_mut();
        let is_newer = current.as_ref().is_none_or(|fetch| fetch.version() < manifest.version);
        if manifest.version <= self.mirror.desired_version() || (!is_newer && !self.is_stuck.get())
        {
            return;
        }
        let now = self.clock.now();
        match &mut *current {
            Some(fetch) => fetch.retarget(manifest, known.as_deref()),
            None => *current = Some(DocumentFetch::new(manifest, known.as_deref(), now)),
        }
        self.is_stuck.set(false);
        if let Some(fetch) = &*current {
            let assembly = fetch.assembly();
            log::info!(
                "event=document_fetch_started version={} peer={source} bytes={} missing_bytes={} \
                 pieces={} missing_pieces={}",
                fetch.version(),
                assembly.manifest().bytes(),
                assembly.missing_bytes(),
                assembly.manifest().pieces.len(),
                assembly.missing_pieces()
            );
        }
        self.changed.notify();
    }

    /// Fetches documents for as long as the node runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            match self.next_step() {
                None => self.changed.wait(&self.clock, IDLE_WAIT).await,
                Some(FetchStep::Complete) => self.apply(),
                Some(FetchStep::Query(source, pieces)) => self.query(source, &pieces).await,
                Some(FetchStep::Wait(pause)) => self.changed.wait(&self.clock, pause).await,
                Some(FetchStep::NoSource) => {
                    self.is_stuck.set(true);
                    self.changed.wait(&self.clock, NO_SOURCE_PAUSE).await;
                }
            }
        }
    }

    fn next_step(&self) -> Option<FetchStep> {
        let mut current = self.current.borrow_mut();
        // The store may have told the version meanwhile.
        current.take_if(|fetch| fetch.version() <= self.mirror.desired_version());
        let fetch = current.as_mut()?;
        let now = self.clock.now();
        let holders = self.peers.document_holders(fetch.version(), now);
        let has_local = holders.iter().any(|holder| holder.is_local);
        let is_late = now.saturating_sub(fetch.began_at()) > LOCAL_PATIENCE;
        for holder in holders {
            if holder.is_local || !has_local || is_late {
                fetch.add_source(holder.address, holder.slots);
            }
        }
        Some(fetch.next_step(now, fastrand::f64(), fastrand::f64()))
    }

    fn apply(&self) {
        let Some(fetch) = self.current.take() else { return };
        let Some(document) = fetch.assembly().complete() else { return };
        let outcome = self.mirror.apply_document(document);
        log::info!(
            "event=document_fetch_ended version={} outcome={outcome:?} ms={} received_bytes={}",
            fetch.version(),
            self.clock.now().saturating_sub(fetch.began_at()).as_millis(),
            fetch.received_bytes()
        );
        if outcome == DesiredOutcome::Rejected {
            self.record_unusable(fetch.version());
        }
    }

    async fn query(&self, source: SocketAddr, pieces: &[PieceDigest]) {
        let began = self.clock.now();
        let end = match self.query_source(source, pieces).await {
            Ok(PieceEnd { busy: true, .. }) => QueryEnd::Busy,
            Ok(_) => QueryEnd::Answered,
            Err(err) => {
                log::warn!("event=piece_query_failed peer={source} error=\"{err}\"");
                QueryEnd::Failed
            }
        };
        let now = self.clock.now();
        self.freshness.metrics.transfers.record_piece_query(end);
        if let Some(fetch) = self.current.borrow_mut().as_mut() {
            fetch.record_end(source, pieces, end, began, now, fastrand::f64());
        }
    }

    async fn query_source(
        &self,
        source: SocketAddr,
        pieces: &[PieceDigest],
    ) -> Result<PieceEnd, LinkError> {
        let version = self.current.borrow().as_ref().map_or(0, DocumentFetch::version);
        let mut link = PeerLink::connect(self.clock.clone(), source).await?;
        let digests = digest_bytes(pieces.iter().copied());
        link.send(Body::PieceQuery(PieceQuery { desired_version: version, digests })).await?;
        loop {
            match link.receive().await? {
                Some(Body::PieceCopy(piece)) => self.add_piece(&unpack(piece)?),
                Some(Body::PieceEnd(end)) => {
                    self.add_sources(&end);
                    return Ok(end);
                }
                Some(_) | None => return Err(LinkError::Interrupted),
            }
        }
    }

    fn add_piece(&self, content: &[u8]) {
        let Some(fetch) = &mut *self.current.borrow_mut() else { return };
        if fetch.add_piece(content) == PieceReceipt::Added {
            self.freshness.record_delivery(FollowedTable::Desired);
            self.freshness.metrics.transfers.piece_bytes_received.inc_by(content.len() as u64);
        }
    }

    fn add_sources(&self, end: &PieceEnd) {
        let Some(fetch) = &mut *self.current.borrow_mut() else { return };
        for (address, slots) in end.holders.iter().filter_map(read_holder) {
            fetch.add_source(address, slots);
        }
    }
}
