//! One node: what its parts share, and its life from start to drained stop.

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
use crate::drain::DrainSignal;
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
use crate::upstream::leaving::LeavingSigns;
use crate::usage::UsageBuffers;
use crate::{claim, drain, duty, entry, member, operator, peer, shutdown, slots, tail, upstream};

/// Longest time to connect to an upstream.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a node could not run.
#[derive(Debug, Display)]
pub enum NodeError {
    /// cannot listen on {0}: {1}
    Listen(std::net::SocketAddr, std::io::Error),
    /// cannot wait for signals: {0}
    Signals(std::io::Error),
    /// another process runs as node {0}: node names are unique, and the newer process goes on
    Displaced(SharedName),
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
    /// Progress of this node's configuration.
    pub follower: ConfigFollower,
    /// This node's row.
    pub registration: MemberRegistration,
    /// Progress of a planned stop.
    pub drain: DrainSignal,
    /// Known nodes.
    pub members: Mutex<MemberTable>,
    /// Known upstreams.
    pub upstreams: Mutex<UpstreamTable>,
    /// Slots of upstreams.
    pub slots: SlotBroker,
    /// Links to other nodes.
    pub peers: PeerMesh,
    /// Pulses sent to them.
    pub pulses: PulseLog,
    /// Idle connections to upstreams.
    pub connections: ConnectionPool,
    /// Duties that this node may come to hold.
    pub duties: DutyRegistry,
    /// Requests in progress, by pool.
    pub demand: DemandTracker,
    /// Signs that upstreams are leaving.
    pub leaving_signs: LeavingSigns,
    /// Counted usage.
    pub usage: UsageBuffers,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Service-level counts.
    pub burn: BurnTracker,
    /// Retry budgets of the pools.
    pub retries: RetryBudgets,
    incarnation: AtomicU64,
    serving: AtomicBool,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    next_request_number: AtomicU64,
    store_heard: Mutex<Option<Duration>>,
    contact: Mutex<ConfigFreshness>,
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
            follower: ConfigFollower::default(),
            registration: MemberRegistration::default(),
            drain: DrainSignal::default(),
            members: Mutex::default(),
            upstreams: Mutex::default(),
            slots: SlotBroker::default(),
            peers: PeerMesh::default(),
            pulses: PulseLog::default(),
            connections,
            duties: DutyRegistry::default(),
            demand: DemandTracker::default(),
            leaving_signs: LeavingSigns::default(),
            usage: UsageBuffers::default(),
            metrics: NodeMetrics::default(),
            burn: BurnTracker::default(),
            retries: RetryBudgets::default(),
            incarnation: AtomicU64::new(0),
            serving: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            next_request_number: AtomicU64::new(1),
            store_heard: Mutex::new(None),
            contact: Mutex::default(),
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
        let serving = self.serving.load(Ordering::Relaxed);
        match self.leaving.load(Ordering::Relaxed) {
            true => MemberState::Leaving,
            false if serving => MemberState::Serving,
            false => MemberState::Joining,
        }
    }

    /// Announces that the node takes requests.
    pub fn set_serving(&self) {
        self.serving.store(true, Ordering::Relaxed);
    }

    /// Announces that the node is leaving.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of a new request, unique within the incarnation.
    pub fn next_request_number(&self) -> u64 {
        self.next_request_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes a successful answer of the table service.
    pub fn record_store_response(&self) {
        self.record_store_response_at(self.clock.now());
    }

    /// Notes that the table service answered a call that was made at `asked`.
    ///
    /// A process that was stopped in between must not take the answer for a recent one.
    pub fn record_store_response_at(&self, asked: Duration) {
        let mut heard = self.store_heard.lock().expect("store lock");
        *heard = (*heard).max(Some(asked));
    }

    /// Age of the last successful answer of the table service.
    pub fn store_age(&self) -> Option<Duration> {
        let heard = *self.store_heard.lock().expect("store lock");
        heard.map(|heard| self.clock.now().saturating_sub(heard))
    }

    /// Notes that the newest version of the configuration was told in answer to a question that
    /// was sent at `asked`.
    pub fn record_config_contact(&self, asked: Duration) {
        self.contact.lock().expect("contact lock").record_answer(asked);
    }

    /// Whether the node must not trust its configuration: neither the table service nor any peer
    /// told its newest version within [`MAX_CONTACT_AGE`], a newer version has been known for too
    /// long, or another process has taken the node's name.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        let behind = self.follower.is_behind();
        let trusted = self.contact.lock().expect("contact lock").is_trusted(now, behind);
        !trusted || self.follower.is_overdue(now) || self.registration.is_displaced()
    }

    /// Whether no peer answered a pulse that was sent within [`MAX_CONTACT_AGE`].
    pub fn are_peers_silent(&self) -> bool {
        let now = self.clock.now();
        let echo = self.members().last_echo();
        echo.is_none_or(|sent| now.saturating_sub(sent) > MAX_CONTACT_AGE)
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
        NodeEnd::Planned
    };
    let displacement = async {
        node.registration.wait_displaced().await;
        NodeEnd::Displaced
    };
    let _serving_task = smol::spawn(serve(node.clone(), callers));
    let end = future::or(displacement, stopping).await;
    // The signals stay registered, so that a second one does not end the process.
    let ended = drain::stop(&node, end).await;
    drop(signals);
    log::info!("node stopped: node={}", node.settings.node);
    ended
}

/// Why a node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeEnd {
    /// A signal asked for a planned stop.
    Planned,
    /// Another process has taken the node's name.
    Displaced,
}

/// Learns the configuration, then serves callers and follows the configuration.
async fn serve(node: Arc<NodeContext>, callers: TcpListener) {
    tail::catch_up_before_serving(&node).await;
    node.drain.start_listener(smol::spawn(entry::listen(node.clone(), callers)));
    node.set_serving();
    peer::announce(&node);
    let _snapshot_task = smol::spawn(tail::snapshot::run(node.clone()));
    let _publish_task = smol::spawn(member::publish_now(node.clone()));
    log::info!("node serves: node={} callers={}", node.settings.node, node.settings.listen);
    tail::follow(node).await;
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|err| NodeError::Listen(address, err))
}
