//! Transfers the desired state and the list of replicas between nodes.
//!
//! A node that cannot read the store, because its calls fail or its connection has gone silent,
//! sees in pulses that a peer has newer state and queries that peer.

pub mod link;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::position::StorePosition;
use berylstep_wire::frame::Body;
use berylstep_wire::{FleetCopy, FleetQuery};
use smol::future;
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;

use crate::clock::RuntimeClock;
use crate::gateway::connection_quota::ConnectionQuota;
use crate::gateway::freshness::FreshnessWatch;
use crate::gateway::mirror::{ReplicaChanges, StateSource, StoreMirror, StoredCopy};
use crate::gateway::notifier::ChangeNotifier;
use crate::gateway::peers::PeerTable;
use crate::gateway::telemetry::GatewayMetrics;
use crate::gateway::transfer_metrics::TransferResult;
use link::{LinkError, PeerLink};

/// Interval at which this node's state is compared with that of its peers.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Poll interval of a node that does not yet have the complete state.
const START_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Consecutive polls at which a peer is ahead before it is queried; the change may already be on
/// its way from the store.
const POLLS_BEHIND: u32 = 2;

/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Queries peers for newer state and answers their queries.
pub struct StateTransfer {
    /// Source of monotonic time.
    pub clock: RuntimeClock,
    /// Table of the other nodes.
    pub peers: Rc<PeerTable>,
    /// Local copy of the store, which is read and updated.
    pub mirror: Rc<StoreMirror>,
    /// Notified when a peer has newer state than this node.
    pub peer_ahead: Rc<ChangeNotifier>,
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
            let (desired, replicas) = (self.mirror.desired_version(), self.mirror.position());
            let Some((peer, address)) = self.peers.most_advanced(desired, replicas, now) else {
                polls_behind = 0;
                continue;
            };
            polls_behind += 1;
            if is_new || polls_behind >= POLLS_BEHIND || !follows {
                self.query(&peer, address).await;
            }
        }
    }

    async fn query(&self, peer: &str, address: SocketAddr) {
        let query = FleetQuery {
            desired_version: self.mirror.desired_version(),
            replica_revision: self.mirror.replica_revision(),
            store_era: self.mirror.era(),
        };
        let began = self.clock.now();
        let answer = self.query_peer(address, query).await;
        let elapsed = self.clock.now().saturating_sub(began);
        let result = match &answer {
            Ok(Some(_)) => TransferResult::Received,
            Ok(None) => TransferResult::Empty,
            Err(LinkError::Codec(_)) => TransferResult::Failed,
            Err(LinkError::Stalled(_) | LinkError::TooSlow(_)) => TransferResult::TimedOut,
        };
        self.metrics.transfers.record_query(result, elapsed);
        self.freshness.last_result.set(result.label());
        let ms = elapsed.as_millis();
        match answer {
            Ok(Some(copy)) => self.apply_copy(copy, peer, elapsed),
            Ok(None) => log::warn!("event=handon_empty peer={peer} ms={ms}"),
            Err(err) => log::warn!("event=handon_failed peer={peer} ms={ms} error=\"{err}\""),
        }
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

    fn apply_copy(&self, mut copy: FleetCopy, peer: &str, elapsed: Duration) {
        log::info!(
            "event=handon_received peer={peer} ms={} desired_bytes={} replicas={} replica_revision={}",
            elapsed.as_millis(),
            copy.desired.len(),
            copy.replicas.len(),
            copy.replica_revision
        );
        if !copy.desired.is_empty() {
            self.mirror.apply_desired(std::mem::take(&mut copy.desired), StateSource::Peer);
        }
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

    fn apply_replicas(&self, copy: FleetCopy, peer: &str) {
        if !copy.has_replicas || copy.store_era < self.mirror.era() {
            return;
        }
        let entries = copy.replicas.into_iter().map(|replica| {
            (replica.id, StoredCopy { revision: replica.revision, value: replica.value })
        });
        if copy.complete {
            let position = StorePosition::new(copy.store_era, copy.replica_revision);
            return self.mirror.apply_replica_snapshot(position, entries.collect());
        }
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

    /// Answers queries from peers, for as long as the node runs.
    pub async fn listen(
        self: Rc<Self>,
        tasks: Rc<LocalExecutor<'static>>,
        listener: TcpListener,
        quota: Rc<ConnectionQuota>,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let transfer = self.clone();
                    let answering = async move { transfer.answer_peer(stream).await };
                    tasks.spawn(quota.serve(answering)).detach();
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

    async fn answer_peer(&self, stream: TcpStream) {
        let link = PeerLink::accepted(self.clock.clone(), stream);
        if let Err(err) = self.answer_query(link).await {
            self.metrics.transfers.record_answer_failed(err.label());
            log::warn!("event=handon_answer_failed error=\"{err}\"");
        }
    }

    async fn answer_query(&self, mut link: PeerLink) -> Result<(), LinkError> {
        match link.receive().await? {
            None => Ok(()),
            Some(Body::FleetQuery(query)) => {
                link.send(Body::FleetCopy(self.newer_state(&query))).await
            }
            Some(_) => {
                log::warn!("event=handon_answer_failed error=\"unexpected message, not a query\"");
                Ok(())
            }
        }
    }

    fn newer_state(&self, query: &FleetQuery) -> FleetCopy {
        let is_newer = self.mirror.desired_version() > query.desired_version;
        let desired = if is_newer { self.mirror.desired_bytes() } else { Vec::new() };
        let known = StorePosition::new(query.store_era, query.replica_revision);
        // A node that has only heard of a new era has nothing of it to hand on yet.
        let has_replicas = self.mirror.position() > known && self.mirror.replica_revision() > 0;
        let since = if query.store_era == self.mirror.era() { query.replica_revision } else { 0 };
        let changes = match has_replicas {
            true => self.mirror.replica_changes(since),
            false => ReplicaChanges::default(),
        };
        let complete = changes.complete;
        let (replicas, removed) = changes.into_messages();
        FleetCopy {
            desired,
            has_replicas,
            replica_revision: self.mirror.replica_revision(),
            replicas,
            complete,
            removed,
            store_era: self.mirror.era(),
            leaving: self.mirror.all_leaving(),
            withheld: self.mirror.withheld_entries(),
            store_troubled: self.mirror.has_store_failed_recently(),
            evacuation: self.mirror.evacuation_message(),
        }
    }
}
