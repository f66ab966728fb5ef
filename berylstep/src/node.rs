//! One node: what its parts share, and its life from start to drained stop.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use berylstep_core::config::ConfigTable;
use berylstep_core::member::{MemberState, MemberTable};
use berylstep_core::upstream::UpstreamTable;
use displaydoc::Display;
use smol::net::TcpListener;

use crate::burn::BurnLedger;
use crate::clock::RuntimeClock;
use crate::config::NodeSettings;
use crate::connections::ConnectionPool;
use crate::metrics::NodeMetrics;
use crate::peer::PeerMesh;
use crate::platform::http::HttpPlatform;
use crate::platform::Platform;
use crate::slots::SlotBroker;
use crate::{burn, entry, member, operator, peer, shutdown, slots, tail, upstream};

/// Longest time to connect to an upstream.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Without word from the table service and from all peers for this long, keyed work is refused.
pub const ISOLATION_LIMIT: Duration = Duration::from_secs(3);

/// Why a node could not run.
#[derive(Debug, Display)]
pub enum NodeError {
    /// cannot listen on {0}: {1}
    Listen(std::net::SocketAddr, std::io::Error),
    /// cannot wait for signals: {0}
    Signals(std::io::Error),
}

impl std::error::Error for NodeError {}

/// What all parts of a node share.
pub struct NodeContext {
    /// Settings.
    pub settings: NodeSettings,
    /// Clock.
    pub clock: RuntimeClock,
    /// Platform.
    pub platform: Arc<dyn Platform>,
    /// Configuration in force.
    pub config: RwLock<ConfigTable>,
    /// Known nodes.
    pub members: Mutex<MemberTable>,
    /// Known upstreams.
    pub upstreams: Mutex<UpstreamTable>,
    /// Slots of upstreams.
    pub slots: SlotBroker,
    /// Links to other nodes.
    pub peers: PeerMesh,
    /// Idle connections to upstreams.
    pub connections: ConnectionPool,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Service-level counts.
    pub burn: BurnLedger,
    incarnation: AtomicU64,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    next_request: AtomicU64,
    store_heard: Mutex<Option<Duration>>,
}

impl NodeContext {
    /// Makes the context of a node that has not started.
    pub fn new(settings: NodeSettings, clock: RuntimeClock, platform: Arc<dyn Platform>) -> Self {
        let connections = ConnectionPool::new(clock.clone(), UPSTREAM_CONNECT_TIMEOUT);
        Self {
            settings,
            clock,
            platform,
            config: RwLock::default(),
            members: Mutex::default(),
            upstreams: Mutex::default(),
            slots: SlotBroker::default(),
            peers: PeerMesh::default(),
            connections,
            metrics: NodeMetrics::default(),
            burn: BurnLedger::default(),
            incarnation: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            next_request: AtomicU64::new(1),
            store_heard: Mutex::new(None),
        }
    }

    /// Number that grows with each start of the node; 0 before it joined.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Sets the incarnation, once, when the node joins.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Announced state of this node.
    pub fn state(&self) -> MemberState {
        match self.leaving.load(Ordering::Relaxed) {
            true => MemberState::Leaving,
            false => MemberState::Serving,
        }
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of a new request, unique within the incarnation.
    pub fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes a successful answer of the table service.
    pub fn note_store_heard(&self) {
        *self.store_heard.lock().expect("store lock") = Some(self.clock.now());
    }

    /// Age of the last successful answer of the table service.
    pub fn store_age(&self) -> Option<Duration> {
        let heard = *self.store_heard.lock().expect("store lock");
        heard.map(|heard| self.clock.now().saturating_sub(heard))
    }

    /// Whether neither the table service nor any peer was heard within [`ISOLATION_LIMIT`].
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        let store_silent = self.store_age().is_none_or(|age| age > ISOLATION_LIMIT);
        let heard = self.members().last_heard();
        let peers_silent = heard.is_none_or(|heard| now.saturating_sub(heard) > ISOLATION_LIMIT);
        store_silent && peers_silent
    }

    /// Locks the known nodes.
    pub fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().expect("member lock")
    }

    /// Locks the known upstreams.
    pub fn upstreams(&self) -> MutexGuard<'_, UpstreamTable> {
        self.upstreams.lock().expect("upstream lock")
    }
}

/// Counts one request in progress until dropped.
pub struct InFlightGuard {
    node: Arc<NodeContext>,
}

impl InFlightGuard {
    /// Counts one more request at `node`.
    pub fn new(node: Arc<NodeContext>) -> Self {
        node.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { node }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs a node until it was told to stop and has drained.
pub async fn run(settings: NodeSettings) -> Result<(), NodeError> {
    let clock = RuntimeClock::system();
    let platform = Arc::new(HttpPlatform::new(settings.platform, clock.clone()));
    let callers = bind(settings.listen).await?;
    let peers = bind(settings.peer_listen).await?;
    let operators = bind(settings.operator_listen).await?;
    let signals = shutdown::signals().map_err(NodeError::Signals)?;
    let node = Arc::new(NodeContext::new(settings, clock, platform));
    let _operator_task = smol::spawn(operator::listen(node.clone(), operators));
    member::join(&node).await;
    let _tasks = [
        smol::spawn(member::refresh(node.clone())),
        smol::spawn(peer::listen(node.clone(), peers)),
        smol::spawn(peer::dial_members(node.clone())),
        smol::spawn(peer::send_pulses(node.clone())),
        smol::spawn(tail::follow(node.clone())),
        smol::spawn(upstream::watch_list(node.clone())),
        smol::spawn(upstream::poll_loads(node.clone())),
        smol::spawn(slots::keep(node.clone())),
    ];
    let entry_task = smol::spawn(entry::listen(node.clone(), callers));
    log::info!("node serves: node={} callers={}", node.settings.node, node.settings.listen);
    shutdown::wait(signals).await;
    drain(&node).await;
    drop(entry_task);
    burn::hand_over(&node);
    member::leave(&node).await;
    log::info!("node stopped: node={}", node.settings.node);
    Ok(())
}

/// Stops being named to callers, serves until every answer that named this node has run out, and
/// waits for requests in progress.
async fn drain(node: &NodeContext) {
    log::info!("node drains: node={}", node.settings.node);
    node.leaving.store(true, Ordering::Relaxed);
    member::publish(node).await;
    node.clock.sleep(member::LEAVING_SPREAD + node.settings.entries_ttl).await;
    while node.in_flight() > 0 {
        node.clock.sleep(DRAIN_POLL).await;
    }
}

/// Time between looks at the number of requests in progress during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(20);

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|err| NodeError::Listen(address, err))
}
