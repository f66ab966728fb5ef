//! A node: the state that its components share, and its life cycle from start to drained stop.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::config::{ConfigFreshness, ConfigTable, MAX_CONTACT_AGE};
use berylstep_core::member::{MemberState, MemberTable};
use berylstep_core::upstream::UpstreamTable;
use displaydoc::Display;
use smol::future;
use smol::net::TcpListener;

use crate::burn::BurnTracker;
use crate::clock::RuntimeClock;
use crate::config::NodeSettings;
use crate::connections::ConnectionPool;
use crate::drain::DrainState;
use crate::duty::DutyRegistry;
use crate::entry::budget::RetryBudgets;
use crate::member::MemberRegistration;
use crate::metrics::NodeMetrics;
use crate::native::http::HttpPlatform;
use crate::native::Platform;
use crate::orders::demand::DemandTracker;
use crate::peer::{PeerMesh, PulseLog};
use crate::slots::SlotBroker;
use crate::tail::ConfigFollower;
use crate::upstream::leaving::LeavingNotices;
use crate::usage::UsageBuffers;
use crate::{claim, drain, duty, entry, member, operator, peer, shutdown, slots, tail, upstream};

/// Timeout for connecting to an upstream.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Error that keeps a node from running.
#[derive(Debug, Display)]
pub enum NodeError {
    /// cannot listen on {0}: {1}
    Listen(std::net::SocketAddr, std::io::Error),
    /// cannot register signal handlers: {0}
    Signals(std::io::Error),
    /// another process has taken over the name of node {0}; node names must be unique
    Displaced(SharedName),
}

impl std::error::Error for NodeError {}

/// State shared by all components of a node.
pub struct NodeContext {
    /// Settings, checked at start.
    pub settings: NodeSettings,
    /// Clock and timers.
    pub clock: RuntimeClock,
    /// Client of the platform: its VM list and table service.
    pub platform: Arc<dyn Platform>,
    /// Configuration in force at this node.
    pub config: RwLock<ConfigTable>,
    /// Progress of following the stored configuration.
    pub follower: ConfigFollower,
    /// Registration of this node in the table of nodes.
    pub registration: MemberRegistration,
    /// Progress of a planned stop.
    pub drain: DrainState,
    /// Known nodes by name.
    pub members: Mutex<MemberTable>,
    /// Known upstreams with their load.
    pub upstreams: Mutex<UpstreamTable>,
    /// Grants slots at upstreams to requests.
    pub slots: SlotBroker,
    /// Connections to other nodes.
    pub peers: PeerMesh,
    /// Log of sent pulses, the periodic heartbeats between nodes.
    pub pulses: PulseLog,
    /// Connection pool for upstreams.
    pub connections: ConnectionPool,
    /// Duties that this node holds or may acquire.
    pub duties: DutyRegistry,
    /// Requests in progress, by pool.
    pub demand: DemandTracker,
    /// Notices that upstreams are leaving.
    pub leaving_notices: LeavingNotices,
    /// Usage counters of this node.
    pub usage: UsageBuffers,
    /// Metrics for `/metrics`.
    pub metrics: NodeMetrics,
    /// Counts of met and missed latency targets, for the burn report.
    pub burn: BurnTracker,
    /// Retry budgets of the pools.
    pub retry_budgets: RetryBudgets,
    incarnation: AtomicU64,
    serving: AtomicBool,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    next_request_number: AtomicU64,
    last_store_response: Mutex<Option<Duration>>,
    config_contact: Mutex<ConfigFreshness>,
}

impl NodeContext {
    /// Creates the context of a node that hasn't started.
    pub fn new(settings: NodeSettings, clock: RuntimeClock, platform: Arc<dyn Platform>) -> Self {
        let connections = ConnectionPool::new(clock.clone(), UPSTREAM_CONNECT_TIMEOUT);
        Self {
            settings,
            clock,
            platform,
            config: RwLock::default(),
            follower: ConfigFollower::default(),
            registration: MemberRegistration::default(),
            drain: DrainState::default(),
            members: Mutex::default(),
            upstreams: Mutex::default(),
            slots: SlotBroker::default(),
            peers: PeerMesh::default(),
            pulses: PulseLog::default(),
            connections,
            duties: DutyRegistry::default(),
            demand: DemandTracker::default(),
            leaving_notices: LeavingNotices::default(),
            usage: UsageBuffers::default(),
            metrics: NodeMetrics::default(),
            burn: BurnTracker::default(),
            retry_budgets: RetryBudgets::default(),
            incarnation: AtomicU64::new(0),
            serving: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            next_request_number: AtomicU64::new(1),
            last_store_response: Mutex::new(None),
            config_contact: Mutex::default(),
        }
    }

    /// Returns the incarnation, which grows with each start of the node; 0 until it has joined.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Sets the incarnation, once, when the node joins.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Returns the state that this node announces.
    pub fn state(&self) -> MemberState {
        let serving = self.serving.load(Ordering::Relaxed);
        match self.leaving.load(Ordering::Relaxed) {
            true => MemberState::Leaving,
            false if serving => MemberState::Serving,
            false => MemberState::Joining,
        }
    }

    /// Changes the announced state to serving, unless the node is leaving.
    pub fn set_serving(&self) {
        self.serving.store(true, Ordering::Relaxed);
    }

    /// Changes the announced state to leaving, for good.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns a new request number, unique within the incarnation.
    pub fn next_request_number(&self) -> u64 {
        self.next_request_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Records a successful response of the table service, as of now.
    pub fn record_store_response(&self) {
        self.record_store_response_at(self.clock.now());
    }

    /// Records a successful response of the table service to a call that was sent at `sent_at`.
    ///
    /// The time of the call counts, not that of the response: the process may have been suspended
    /// in between, and the response may be old.
    pub fn record_store_response_at(&self, sent_at: Duration) {
        let mut last_response = self.last_store_response.lock().expect("store lock");
        *last_response = (*last_response).max(Some(sent_at));
    }

    /// Returns the time since the last successful response of the table service; `None` before the
    /// first.
    pub fn store_age(&self) -> Option<Duration> {
        let last_response = *self.last_store_response.lock().expect("store lock");
        last_response.map(|sent_at| self.clock.now().saturating_sub(sent_at))
    }

    /// Records that the table service or a peer reported its newest configuration version in
    /// response to a request that was sent at `sent_at`.
    pub fn record_config_contact(&self, sent_at: Duration) {
        self.config_contact.lock().expect("contact lock").record_contact(sent_at);
    }

    /// Returns whether the node must refuse callers, because its configuration may be outdated:
    /// neither the table service nor any peer has reported the newest version within
    /// [`MAX_CONTACT_AGE`], a newer version has been known for too long without being applied, or
    /// another process has taken the node's name.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        let behind = self.follower.is_behind();
        let trusted = self.config_contact.lock().expect("contact lock").is_trusted(now, behind);
        !trusted || self.follower.is_overdue(now) || self.registration.is_displaced()
    }

    /// Returns whether no peer has echoed a pulse that was sent within [`MAX_CONTACT_AGE`].
    pub fn are_peers_silent(&self) -> bool {
        let now = self.clock.now();
        let echo = self.members().last_echo();
        echo.is_none_or(|sent| now.saturating_sub(sent) > MAX_CONTACT_AGE)
    }

    /// Locks the table of nodes.
    ///
    /// # Panics
    ///
    /// If another thread panicked while holding the lock.
    pub fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().expect("member lock")
    }

    /// Locks the table of upstreams.
    ///
    /// # Panics
    ///
    /// If another thread panicked while holding the lock.
    pub fn upstreams(&self) -> MutexGuard<'_, UpstreamTable> {
        self.upstreams.lock().expect("upstream lock")
    }
}

/// Counts one request in progress until dropped.
pub struct InFlightGuard {
    node: Arc<NodeContext>,
}

impl InFlightGuard {
    /// Adds a request to those in progress at `node`.
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

/// Runs a node until it is told to stop and has drained.
///
/// # Errors
///
/// If an address can't be bound, signal handlers can't be registered, or another process takes the
/// node's name.
pub async fn run(settings: NodeSettings) -> Result<(), NodeError> {
    let clock = RuntimeClock::system();
    let platform = Arc::new(HttpPlatform::new(settings.platform, clock.clone()));
    let callers = bind(settings.listen).await?;
    let peers = bind(settings.peer_listen).await?;
    let operators = bind(settings.operator_listen).await?;
    let mut signals = shutdown::signals().map_err(NodeError::Signals)?;
    let node = Arc::new(NodeContext::new(settings, clock, platform));
    let _operator_task = smol::spawn(operator::listen(node.clone(), operators));
    member::join(&node).await;
    let _tasks = [
        smol::spawn(member::refresh(node.clone())),
        smol::spawn(peer::listen(node.clone(), peers)),
        smol::spawn(peer::dial_members(node.clone())),
        smol::spawn(peer::send_pulses(node.clone())),
        smol::spawn(duty::run(node.clone())),
        smol::spawn(upstream::watch_list(node.clone())),
        smol::spawn(upstream::poll_loads(node.clone())),
        smol::spawn(slots::run(node.clone())),
        smol::spawn(claim::sweep::run(node.clone())),
    ];
    let stopping = async {
        shutdown::wait(&mut signals).await;
        StopReason::Planned
    };
    let displacement = async {
        node.registration.wait_displaced().await;
        StopReason::Displaced
    };
    let _serving_task = smol::spawn(serve(node.clone(), callers));
    let reason = future::or(displacement, stopping).await;
    // The handlers stay registered while draining, so a second signal doesn't kill the process.
    let ended = drain::stop(&node, reason).await;
    drop(signals);
    log::info!("node stopped: node={}", node.settings.node);
    ended
}

/// Why a node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// A signal requested a planned stop.
    Planned,
    /// Another process has taken the node's name.
    Displaced,
}

/// Loads the configuration, then starts serving callers and follows changes of the configuration.
async fn serve(node: Arc<NodeContext>, callers: TcpListener) {
    tail::catch_up_before_serving(&node).await;
    node.drain.set_listener(smol::spawn(entry::listen(node.clone(), callers)));
    node.set_serving();
    peer::announce(&node);
    let _snapshot_task = smol::spawn(tail::snapshot::run(node.clone()));
    let _publish_task = smol::spawn(member::publish_now(node.clone()));
    log::info!("node serving: node={} callers={}", node.settings.node, node.settings.listen);
    tail::follow(node).await;
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|err| NodeError::Listen(address, err))
}
