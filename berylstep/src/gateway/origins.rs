//! Origins of streams: this node tells some others which version of a service's software began its
//! streams, and asks for the origin of a stream that a caller takes up here.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, HashSet, SharedName};
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::origins::{
    keeper_order, max_stream_age, service_hash, KeeperCandidate, OriginLedger, PresentVersions,
    StreamKey, StreamOrigin, VersionId, VersionPin,
};
use berylstep_wire::{FleetPulse, OriginQuery, OriginReply, ServiceVersions};
use prost::Message;
use smol::net::UdpSocket;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::noted_versions::NoteReader;
use crate::gateway::origin_message::{origin_message, read_origin};
use crate::gateway::peers::{KnownNode, PeerTable};
use crate::gateway::pending::PendingReplies;
use crate::gateway::pulse::envelope;
use crate::gateway::request::{RequestHandler, RoutedRequest, DEFAULT_REQUEST_TIMEOUT};
use crate::gateway::response::LocalReply;
use crate::gateway::saved_origins::SavedOrigins;
use crate::platform::{CallError, PlatformClient};

/// Number of nodes that keep the origin of a stream.
const KEEPERS: usize = 3;

/// Number of nodes that are asked for an origin: more than keep it, because the order of the keepers
/// changes with the nodes that live.
const ASKED_KEEPERS: usize = 2 * KEEPERS;

/// Time within which nodes answer, even if their VMs have little processor time.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which nodes that have not answered are asked once more.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Time added to that within which a caller may take its stream up, for its way here.
const RETENTION_SLACK: Duration = Duration::from_secs(1);

/// Largest number of origins in one datagram.
const MAX_ORIGINS_PER_MESSAGE: usize = 64;

/// What is known about a stream that a caller takes up.
#[derive(Clone, Debug)]
enum OriginLookup {
    /// Its origin.
    Found(StreamOrigin),
    /// Nobody who was asked knows it. The versions of services at the others, by hash of the service.
    Unknown(HashMap<u32, PresentVersions>),
    /// Nobody answered.
    Unreachable,
}

/// What is known about the versions at which a stream of unknown origin may have begun.
#[derive(Clone, Debug, PartialEq, Eq)]
enum VersionLookup {
    /// The versions of the service.
    Known(PresentVersions),
    /// What this node knows may be out of date, for this reason.
    Outdated(&'static str),
}

/// What a replica tells about its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessAnswer {
    /// Start of the process, in milliseconds since the Unix epoch.
    Running(u64),
    /// It doesn't tell, or may not be asked.
    Untold,
    /// It can't be reached, or doesn't answer in time.
    Silent,
}

/// Keeps the origins of streams of this node and of others.
#[derive(Debug)]
pub struct OriginDesk {
    context: OriginContext,
    ledger: RefCell<OriginLedger>,
    /// Services that had several versions when that was last checked.
    mixed: RefCell<HashSet<SharedName>>,
    pending: PendingReplies<OriginReply>,
}

/// Components that an [`OriginDesk`] works with.
#[derive(Clone, Debug)]
pub struct OriginContext {
    /// Clock for timeouts.
    pub clock: RuntimeClock,
    /// Name of this node.
    pub node: SharedName,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Local copy of the list of replicas.
    pub mirror: Rc<StoreMirror>,
    /// Other nodes, from which the keepers are chosen.
    pub peers: Rc<PeerTable>,
    /// Notes of the versions in the store.
    pub notes: Rc<NoteReader>,
    /// Origins in the store.
    pub saved: Rc<SavedOrigins>,
    /// Socket for messages between nodes.
    pub socket: UdpSocket,
}

impl OriginDesk {
    /// Creates a desk that knows no streams.
    pub fn new(context: OriginContext) -> Self {
        Self {
            context,
            ledger: RefCell::default(),
            mixed: RefCell::default(),
            pending: PendingReplies::default(),
        }
    }

    /// Returns the origins in the store.
    pub fn saved(&self) -> Rc<SavedOrigins> {
        self.context.saved.clone()
    }

    /// Drops the origins of streams that can no longer be taken up.
    pub fn expire(&self) {
        self.ledger.borrow_mut().expire(self.context.clock.now());
    }

    /// Returns the versions of a service that this node knows of.
    pub fn present_versions(&self, service: &str) -> PresentVersions {
        let OriginContext { clock, mirror, .. } = &self.context;
        let desired = mirror.desired();
        let routes = desired.iter().flat_map(|desired| desired.routes());
        let routes =
            routes.filter(|route| route.targets.iter().any(|target| &*target.service == service));
        let period = max_stream_age(routes.map(|route| route.timeout).max().unwrap_or_default());
        mirror.replicas.borrow().present_versions(service, period, clock.now())
    }

    /// Returns whether streams of a service may have begun at different versions.
    fn is_mixed(&self, service: &str) -> bool {
        self.present_versions(service).sole().is_none()
    }

    /// Returns the first nodes that keep the origin of a stream, in their order.
    fn keeper_nodes(&self, key: StreamKey, count: usize) -> Vec<KnownNode> {
        let nodes = self.context.peers.representatives(self.context.clock.now());
        let candidates: Vec<_> = nodes
            .iter()
            .map(|node| KeeperCandidate { node: &node.node, zone: &node.zone })
            .collect();
        let order = keeper_order(key, &candidates).into_iter().take(count);
        order.map(|index| nodes[index].clone()).collect()
    }

    /// Returns the addresses of the other nodes that keep the origin of a stream, in their order.
    fn keepers(&self, key: StreamKey, count: usize) -> Vec<SocketAddr> {
        let keepers = self.keeper_nodes(key, count).into_iter();
        let others = keepers.filter(|keeper| keeper.node != self.context.node);
        others.map(|keeper| keeper.peer_address).collect()
    }

    /// Saves an origin if this node is the first of its keepers, so that one of them does.
    fn save(&self, message: &berylstep_wire::StreamOrigin) {
        let first = self.keeper_nodes(StreamKey(message.stream), 1);
        if first.first().is_some_and(|keeper| keeper.node == self.context.node) {
            self.context.saved.add(*message);
        }
    }

    /// Records the origin of a stream, and tells its keepers if the service has several versions.
    pub async fn announce(
        &self,
        service: &str,
        key: StreamKey,
        origin: StreamOrigin,
        retention: Duration,
    ) {
        let now = self.context.clock.now();
        self.ledger.borrow_mut().record(key, origin, retention, now);
        if !self.is_mixed(service) {
            return;
        }
        let message = origin_message(key, origin, retention);
        self.save(&message);
        let message = FleetPulse { stream_origins: vec![message], ..self.envelope() };
        self.send(&self.keepers(key, KEEPERS), &message).await;
    }

    /// Tells the keepers of the streams that began while their service had one version, once it has
    /// several.
    pub async fn announce_after_change(&self) {
        let Some(desired) = self.context.mirror.desired() else { return };
        let names = desired.services().map(|service| &service.name);
        let mixed: HashSet<_> = names.filter(|name| self.is_mixed(name)).cloned().collect();
        let known = self.mixed.replace(mixed.clone());
        if mixed.is_subset(&known) {
            return;
        }
        let mut messages: HashMap<SocketAddr, Vec<_>> = HashMap::default();
        let rows: Vec<_> = self.ledger.borrow().rows(self.context.clock.now()).collect();
        for (key, origin, retention) in rows {
            let message = origin_message(key, origin, retention);
            self.save(&message);
            for keeper in self.keepers(key, KEEPERS) {
                messages.entry(keeper).or_default().push(message);
            }
        }
        for (keeper, origins) in messages {
            for part in origins.chunks(MAX_ORIGINS_PER_MESSAGE) {
                let message = FleetPulse { stream_origins: part.to_vec(), ..self.envelope() };
                self.send(&[keeper], &message).await;
            }
        }
    }

    /// Records what another node has announced.
    pub fn record_all(&self, origins: &[berylstep_wire::StreamOrigin]) {
        let now = self.context.clock.now();
        let mut ledger = self.ledger.borrow_mut();
        for message in origins {
            let retention = Duration::from_millis(message.retention_ms.into());
            ledger.record(StreamKey(message.stream), read_origin(message), retention, now);
            self.save(message);
        }
    }

    /// Answers the query of another node.
    pub async fn answer(&self, query: &OriginQuery, from: SocketAddr) {
        let key = StreamKey(query.stream);
        let origin = self.ledger.borrow().get(key);
        let desired = self.context.mirror.desired();
        let services = desired.iter().flat_map(|desired| desired.services()).map(|service| {
            let present = self.present_versions(&service.name);
            ServiceVersions {
                service: service_hash(&service.name),
                versions: present.versions.iter().map(|version| version.0).collect(),
                complete: present.is_complete,
            }
        });
        let reply = OriginReply {
            request: query.request,
            origin: origin.map(|origin| origin_message(key, origin, Duration::ZERO)),
            services: services.collect(),
        };
        self.send(&[from], &FleetPulse { origin_reply: Some(reply), ..self.envelope() }).await;
    }

    /// Passes a reply on to the request that waits for it.
    pub fn receive(&self, reply: OriginReply) {
        let request = reply.request;
        if !self.pending.deliver(request, reply) {
            log::debug!("event=origin_reply_late request={request}");
        }
    }

    /// Finds the origin of a stream here or at the nodes that keep it.
    async fn find(&self, key: StreamKey) -> OriginLookup {
        if let Some(origin) = self.ledger.borrow().get(key) {
            return OriginLookup::Found(origin);
        }
        let keepers = self.keepers(key, ASKED_KEEPERS);
        if keepers.is_empty() {
            // A node that has lost all others may have an outdated list of replicas.
            return match self.context.peers.peak_nodes() {
                0 | 1 => OriginLookup::Unknown(HashMap::default()),
                _ => OriginLookup::Unreachable,
            };
        }
        let pending = self.pending.register(2 * keepers.len());
        let query = OriginQuery { request: pending.request, stream: key.0 };
        let message = FleetPulse { origin_query: Some(query), ..self.envelope() };
        let clock = &self.context.clock;
        let deadline = clock.now() + REPLY_TIMEOUT;
        let (mut replies, mut versions) = (0, HashMap::<u32, PresentVersions>::default());
        let mut wait = REPEAT_DELAY;
        self.send(&keepers, &message).await;
        while replies < keepers.len() {
            let Some(reply) = clock.timeout(wait, pending.receive()).await.flatten() else {
                let now = clock.now();
                if now >= deadline {
                    break;
                }
                wait = deadline - now;
                self.send(&keepers, &message).await;
                continue;
            };
            if let Some(origin) = &reply.origin {
                return OriginLookup::Found(read_origin(origin));
            }
            replies += 1;
            for service in &reply.services {
                let present = PresentVersions {
                    versions: service.versions.iter().copied().map(VersionId).collect(),
                    is_complete: service.complete,
                };
                versions.entry(service.service).or_default().merge(&present);
            }
        }
        match replies {
            0 => OriginLookup::Unreachable,
            _ => OriginLookup::Unknown(versions),
        }
    }

    /// Finds the versions at which a stream may have begun whose origin nobody knows, given those that
    /// other nodes know of; `None` if no other node answered.
    ///
    /// A node that was cut off or stood still, and the nodes that it reaches, may know the old versions only. One
    /// version alone is therefore compared with the notes in the store. While the store can't be read by anyone,
    /// no other version can appear, so a node that reaches most others may rely on its list.
    async fn find_versions(
        &self,
        service: &str,
        others: Option<&HashMap<u32, PresentVersions>>,
    ) -> VersionLookup {
        let mut present = self.present_versions(service);
        if let Some(others) = others.and_then(|others| others.get(&service_hash(service))) {
            present.merge(others);
        }
        match present.versions.len() {
            0 => return VersionLookup::Outdated("versions_not_read"),
            1 => {}
            _ => return VersionLookup::Known(present),
        }
        let OriginContext { clock, peers, notes, .. } = &self.context;
        match (notes.noted_versions(service).await, others) {
            (Some(versions), _) => {
                present.merge(&PresentVersions { versions, is_complete: true });
                VersionLookup::Known(present)
            }
            (None, None) => VersionLookup::Outdated("no_peer"),
            (None, Some(_)) if present.is_complete && peers.sees_most_nodes(clock.now()) => {
                VersionLookup::Known(present)
            }
            (None, Some(_)) => VersionLookup::Outdated("versions_not_read"),
        }
    }

    fn envelope(&self) -> FleetPulse {
        let OriginContext { clock, node, incarnation, .. } = &self.context;
        envelope(clock, node, *incarnation)
    }

    async fn send(&self, addresses: &[SocketAddr], message: &FleetPulse) {
        let bytes = message.encode_to_vec();
        for address in addresses {
            if let Err(err) = self.context.socket.send_to(&bytes, *address).await {
                log::debug!("event=origin_message_not_sent peer={address} error=\"{err}\"");
            }
        }
    }
}

impl RequestHandler {
    /// Returns the origin of a stream whose first event has just arrived from `target`.
    pub(super) fn stream_origin(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
    ) -> StreamOrigin {
        StreamOrigin {
            version: VersionId::new(&request.service, &target.version),
            process: target.process,
            seen_ms: self.clock.unix_ms(),
        }
    }

    /// Records the origin of a stream before its first event is relayed, and tells other nodes.
    pub(super) async fn announce_origin(&self, request: &RoutedRequest<'_>, origin: StreamOrigin) {
        let headers = &request.headers;
        let Some(id) = headers.resumes.as_ref().or(headers.request_id.as_ref()) else { return };
        let timeout = headers.timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT);
        let time_left = (request.arrived + timeout).saturating_sub(self.clock.now());
        let retention = time_left + RETENTION_SLACK;
        self.origins.announce(&request.service, StreamKey::new(id), origin, retention).await;
    }

    /// Pins a request that takes up a stream to the version that began it.
    ///
    /// # Errors
    ///
    /// Returns the reply to the caller if the stream can't go on here. Nothing was run.
    pub(super) async fn pin_stream(
        &self,
        request: &mut RoutedRequest<'_>,
    ) -> Result<(), LocalReply> {
        let headers = &request.headers;
        if request.route.kind != RouteKind::Stream || !headers.takes_up_stream() {
            return Ok(());
        }
        let key = StreamKey::new(headers.resumes.as_deref().unwrap_or_default());
        let version = match self.origins.find(key).await {
            OriginLookup::Found(origin) => self.confirm_origin(&origin).await,
            OriginLookup::Unknown(others) => {
                self.find_unkept_version(request, key, Some(&others)).await?
            }
            OriginLookup::Unreachable => self.find_unkept_version(request, key, None).await?,
        };
        let Some(version) = version else {
            self.metrics.record_not_resumed(request, "version_unknown");
            return Err(LocalReply::not_resumed("version that began the stream is unknown"));
        };
        let replicas = self.mirror.replicas.borrow();
        let services = request.route.targets.iter().filter(|target| target.weight > 0.0);
        let serving = services
            .map(|target| &target.service)
            .find(|service| replicas.ready(service).any(|row| row.version == version));
        let Some(service) = serving.cloned() else {
            self.metrics.record_not_resumed(request, "version_gone");
            return Err(LocalReply::not_resumed("version that began the stream has gone"));
        };
        drop(replicas);
        request.pin = VersionPin::Only(version);
        if service != request.service {
            self.redirect_to(request, service);
        }
        Ok(())
    }

    /// Returns the version of a stream whose origin no node knows: the only one there was, or the one that is
    /// saved in the store. `None` if neither tells.
    async fn find_unkept_version(
        &self,
        request: &RoutedRequest<'_>,
        key: StreamKey,
        others: Option<&HashMap<u32, PresentVersions>>,
    ) -> Result<Option<VersionId>, LocalReply> {
        let present = match self.origins.find_versions(&request.service, others).await {
            VersionLookup::Known(present) => present,
            VersionLookup::Outdated(reason) => {
                self.metrics.record_not_resumed(request, reason);
                let reason = "versions of the service may be out of date here";
                return Err(LocalReply::refused(reason, self.retry_after()));
            }
        };
        if let Some(version) = present.sole() {
            return Ok(Some(version));
        }
        match self.origins.saved().find(key).await {
            Some(origin) => Ok(self.confirm_origin(&origin).await),
            None => Ok(None),
        }
    }

    /// Returns the version of an origin, unless its replica may have been replaced under the same
    /// identifier before. The replica is asked, because its entry may be out of date.
    pub(super) async fn confirm_origin(&self, origin: &StreamOrigin) -> Option<VersionId> {
        let listed = {
            let replicas = self.mirror.replicas.borrow();
            let row = replicas.rows().find(|row| row.hash == origin.process.replica);
            row.map(|row| (ReplicaTarget::new(row, None), row.version))
        };
        let Some((target, version)) = listed else { return Some(origin.version) };
        if target.process != origin.process {
            let is_same = version == origin.version;
            let known = origin.version(Some(target.process.born));
            return known.or(Some(origin.version).filter(|_| is_same));
        }
        origin.version(self.running_process(&target).await)
    }

    /// Returns whether the process of a replica is the one that published its entry, as far as it tells. One
    /// that doesn't answer may be another.
    pub(super) async fn is_listed_process(&self, target: &ReplicaTarget) -> bool {
        let (id, listed) = (&target.id, target.process.born);
        let answer = self.ask_process(target).await;
        match answer {
            ProcessAnswer::Running(born) if born != listed => {
                log::info!("event=replica_entry_outdated replica={id} born={listed}");
                false
            }
            ProcessAnswer::Running(_) | ProcessAnswer::Untold => true,
            ProcessAnswer::Silent => {
                self.record_replica_failure(id, "process is not confirmed");
                false
            }
        }
    }

    /// Returns the start of the process that a replica has now; `None` if that isn't known.
    async fn running_process(&self, target: &ReplicaTarget) -> Option<u64> {
        match self.ask_process(target).await {
            ProcessAnswer::Running(born) => Some(born),
            ProcessAnswer::Untold | ProcessAnswer::Silent => None,
        }
    }

    /// Asks a replica for the start of its process, unless it may not be asked.
    async fn ask_process(&self, target: &ReplicaTarget) -> ProcessAnswer {
        let is_limited = self.limits.rate(&target.id).is_some();
        if target.process.born == 0 || is_limited || self.is_quiet(&target.id) {
            return ProcessAnswer::Untold;
        }
        let engine = PlatformClient::new(target.address, self.clock.clone());
        let sent_at = self.clock.now();
        let born = engine.process_start().await;
        self.record_statement(&target.id, engine.statement(), sent_at);
        match born {
            Ok(Some(born)) => ProcessAnswer::Running(born),
            Ok(None) | Err(CallError::Rejected(..) | CallError::Refused(_)) => {
                ProcessAnswer::Untold
            }
            Err(err) => {
                log::info!("event=process_not_told replica={} error=\"{err}\"", target.id);
                ProcessAnswer::Silent
            }
        }
    }
}
