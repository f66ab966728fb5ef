//! Transfers the desired state and the list of replicas between nodes.
//!
//! A node that cannot read the store, because its calls fail or its connection has gone silent,
//! sees in pulses that a peer has newer state and queries that peer. A small desired state is in the answer; of a
//! large one the answer lists the pieces, which [`fetcher`] gets from all nodes that have them.

pub mod compression;
pub mod fetcher;
pub mod link;
pub mod messages;
pub mod server;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::list_pages::{CompleteList, ListAssembly, ListPage};
use berylstep_core::fleet::position::StorePosition;
use berylstep_wire::frame::Body;
use berylstep_wire::{FleetCopy, FleetQuery};

use crate::clock::RuntimeClock;
use crate::gateway::desired_copy::DesiredOutcome;
use crate::gateway::feeds::FollowedTable;
use crate::gateway::freshness::FreshnessWatch;
use crate::gateway::mirror::{StateSource, StoreMirror, StoredCopy};
use crate::gateway::notifier::ChangeNotifier;
use crate::gateway::peers::PeerTable;
use crate::gateway::telemetry::GatewayMetrics;
use crate::gateway::transfer_metrics::TransferResult;
use fetcher::DocumentFetcher;
use link::{LinkError, PeerLink};
use messages::read_manifest;

/// Interval at which this node's state is compared with that of its peers.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Poll interval of a node that does not yet have the complete state.
const START_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Consecutive polls at which a peer is ahead before it is queried; the change may already be on
/// its way from the store.
const POLLS_BEHIND: u32 = 2;

/// Time for which a peer that failed to answer is asked after all others.
const FAILED_PEER_PAUSE: Duration = Duration::from_secs(2);

/// How much of its newer state a peer has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyExtent {
    /// All that it tells now.
    Whole,
    /// A part, after which the next one can be asked for.
    Partial,
}

/// Queries peers for newer state.
pub struct StateTransfer {
    /// Source of monotonic time.
    pub clock: RuntimeClock,
    /// Table of the other nodes.
    pub peers: Rc<PeerTable>,
    /// Local copy of the store, which is read and updated.
    pub mirror: Rc<StoreMirror>,
    /// Notified when a peer has newer state than this node.
    pub peer_ahead: Rc<ChangeNotifier>,
    /// Pages of the list of replicas that have arrived.
    pub pages: RefCell<ListAssembly<StoredCopy>>,
    /// Times at which peers failed to answer.
    pub failed_at: RefCell<HashMap<SharedName, Duration>>,
    /// Fetches large desired states.
    pub fetcher: Rc<DocumentFetcher>,
    /// Whether this node is behind the desired state of its peers.
    pub freshness: Rc<FreshnessWatch>,
    /// Metrics of this gateway.
    pub metrics: Rc<GatewayMetrics>,
}

impl StateTransfer {
    /// Queries peers that have newer state, for as long as the node runs.
    pub async fn query_peers(self: Rc<Self>) {
        let mut polls_behind = 0;
        loop {
            // A node that has just started cannot serve requests until it has the state.
            let is_new = !self.mirror.is_complete();
            let interval = if is_new { START_POLL_INTERVAL } else { POLL_INTERVAL };
            let follows = self.peers.must_follow_store(self.clock.now());
            match is_new || !follows {
                true => self.peer_ahead.wait(&self.clock, interval).await,
                false => self.clock.sleep(interval).await,
            }
            let now = self.clock.now();
            let (desired, replicas) = (self.fetcher.known_version(), self.mirror.position());
            let furthest =
                self.peers.most_advanced(desired, replicas, |peer| self.is_avoided(peer), now);
            let Some((peer, address)) = furthest else {
                polls_behind = 0;
                continue;
            };
            polls_behind += 1;
            if is_new || polls_behind >= POLLS_BEHIND || !follows {
                // What doesn't fit into one answer is asked for at once.
                while self.query(&peer, address).await == CopyExtent::Partial {}
            }
        }
    }

    /// Returns whether a peer has just failed to answer, so that others are asked first.
    fn is_avoided(&self, peer: &str) -> bool {
        let now = self.clock.now();
        self.failed_at.borrow().get(peer).is_some_and(|at| now < *at + FAILED_PEER_PAUSE)
    }

    fn record_failure(&self, peer: &str) {
        let now = self.clock.now();
        let mut failed_at = self.failed_at.borrow_mut();
        failed_at.retain(|_, at| now < *at + FAILED_PEER_PAUSE);
        failed_at.insert(peer.into(), now);
    }

    async fn query(&self, peer: &str, address: SocketAddr) -> CopyExtent {
        let query = FleetQuery {
            desired_version: self.fetcher.known_version(),
            replica_revision: self.mirror.replica_revision(),
            store_era: self.mirror.era(),
            accepts_parts: true,
            replicas_after: self.pages.borrow().next_after().to_owned(),
        };
        let began = self.clock.now();
        let answer = self.query_peer(address, query).await;
        let elapsed = self.clock.now().saturating_sub(began);
        let result = match &answer {
            Ok(Some(_)) => TransferResult::Received,
            Ok(None) => TransferResult::Empty,
            Err(LinkError::Stalled(_) | LinkError::TooSlow(_)) => TransferResult::TimedOut,
            Err(_) => TransferResult::Failed,
        };
        self.metrics.transfers.record_query(result, elapsed);
        self.freshness.last_result.set(result.label());
        let ms = elapsed.as_millis();
        match answer {
            Ok(Some(copy)) => {
                let has_more = copy.has_more;
                if copy.has_replicas {
                    self.freshness.record_delivery(FollowedTable::Replicas);
                }
                let reached = self.reached();
                self.apply_copy(copy, peer, address, elapsed);
                if has_more && self.reached() != reached {
                    return CopyExtent::Partial;
                }
            }
            Ok(None) => {
                self.record_failure(peer);
                log::warn!("event=handon_empty peer={peer} ms={ms}");
            }
            Err(err) => {
                self.record_failure(peer);
                log::warn!("event=handon_failed peer={peer} ms={ms} error=\"{err}\"");
            }
        }
        CopyExtent::Whole
    }

    /// Returns what is known of the list of replicas, and the end of the pages that have arrived.
    fn reached(&self) -> (StorePosition, String) {
        (self.mirror.position(), self.pages.borrow().next_after().to_owned())
    }

    async fn query_peer(
        &self,
        address: SocketAddr,
        query: FleetQuery,
    ) -> Result<Option<FleetCopy>, LinkError> {
        let mut link = PeerLink::connect(self.clock.clone(), address).await?;
        link.send(Body::FleetQuery(query)).await?;
        Ok(link.receive().await?.and_then(|body| match body {
            Body::FleetCopy(copy) => Some(copy),
            _ => None,
        }))
    }

    fn apply_copy(&self, mut copy: FleetCopy, peer: &str, address: SocketAddr, elapsed: Duration) {
        log::info!(
            "event=handon_received peer={peer} ms={} desired_bytes={} replicas={} replica_revision={}",
            elapsed.as_millis(),
            copy.desired.len(),
            copy.replicas.len(),
            copy.replica_revision
        );
        self.apply_desired(&mut copy, address);
        self.mirror.apply_evacuation(copy.evacuation.as_ref());
        if copy.store_troubled {
            self.mirror.record_store_failure();
        }
        let leaving = std::mem::take(&mut copy.leaving);
        let withheld = std::mem::take(&mut copy.withheld);
        let era = copy.store_era;
        self.apply_replicas(copy, peer);
        if era == self.mirror.era() {
            self.mirror.withhold_entries(withheld);
        }
        leaving.iter().for_each(|notice| self.mirror.apply_leaving_notice(notice));
    }

    fn apply_desired(&self, copy: &mut FleetCopy, address: SocketAddr) {
        let version = copy.desired_version;
        if let Some(message) = copy.manifest.take() {
            match read_manifest(version, &message) {
                Some(manifest) => self.fetcher.begin(manifest, address),
                None => {
                    log::error!("event=manifest_rejected peer={address} version={version}");
                    self.fetcher.record_unusable(version);
                }
            }
        }
        if copy.desired.is_empty() {
            return;
        }
        let content = std::mem::take(&mut copy.desired);
        if self.mirror.apply_desired(content, StateSource::Peer) == DesiredOutcome::Rejected {
            self.fetcher.record_unusable(version);
        }
    }

    fn apply_replicas(&self, copy: FleetCopy, peer: &str) {
        if !copy.has_replicas || copy.store_era < self.mirror.era() {
            return;
        }
        let entries = copy.replicas.into_iter().map(|replica| {
            (replica.id, StoredCopy { revision: replica.revision, value: replica.value })
        });
        if copy.complete {
            let page = ListPage {
                after: copy.replicas_after,
                entries: entries.collect(),
                position: StorePosition::new(copy.store_era, copy.replica_revision),
                has_more: copy.has_more,
            };
            let list = self.pages.borrow_mut().add(page);
            if let Some(CompleteList { entries, position }) = list {
                self.mirror.apply_replica_snapshot(position, entries);
            }
            return;
        }
        self.pages.borrow_mut().clear();
        if copy.store_era != self.mirror.era() {
            log::info!("event=handon_ignored peer={peer} era={}", copy.store_era);
            return;
        }
        for (id, stored) in entries {
            self.mirror.apply_replica_change(&id, stored.revision, Some(stored.value));
        }
        for removal in copy.removed {
            self.mirror.apply_replica_change(&removal.id, removal.revision, None);
        }
        self.mirror.advance_replica_revision(copy.replica_revision);
    }
}
