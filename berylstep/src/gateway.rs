//! A gateway: a node of a fleet that reads its desired state and its replicas from the platform's
//! store.
//!
//! All tasks run on one thread and share state through `Rc` handles.

pub mod admission;
pub mod attempt;
pub mod brittle;
pub mod callers;
pub mod client_metrics;
pub mod cold;
pub mod cold_metrics;
pub mod connection_quota;
pub mod demand;
pub mod desired_copy;
pub mod duties;
pub mod endpoints;
pub mod evacuation;
pub mod feeds;
pub mod freshness;
pub mod handover;
pub mod hedge_metrics;
pub mod hedging;
pub mod holdings;
pub mod limits;
pub mod mirror;
pub mod noted_versions;
pub mod notifier;
pub mod orders;
pub mod origin_message;
pub mod origins;
pub mod pace;
pub mod peers;
pub mod pending;
pub mod pulse;
pub mod quarantine;
pub mod reach;
pub mod receive;
pub mod request;
pub mod response;
pub mod runs;
pub mod saved_origins;
pub mod selection;
pub mod service_level;
pub mod settings;
pub mod silence;
pub mod slots;
pub mod state_transfer;
pub mod status;
pub mod stop;
pub mod stream;
pub mod telemetry;
pub mod transfer_metrics;
pub mod turns;
pub mod upstreams;
pub mod usage;
pub mod version_notes;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use berylstep_core::fleet::window::NodeRun;
use displaydoc::Display;
use smol::net::{TcpListener, UdpSocket};
use smol::stream::StreamExt;
use smol::LocalExecutor;

use crate::clock::RuntimeClock;
use crate::gateway::admission::{AdmissionContext, AdmissionDesk};
use crate::gateway::brittle::BrittleWatch;
use crate::gateway::callers::CallerListener;
use crate::gateway::client_metrics::ClientMetrics;
use crate::gateway::cold::{ColdContext, ColdWatch};
use crate::gateway::connection_quota::ConnectionQuota;
use crate::gateway::demand::DemandLedger;
use crate::gateway::duties::{DutyContext, DutyKeeper};
use crate::gateway::endpoints::EndpointServer;
use crate::gateway::feeds::{FollowedTable, TableFollower};
use crate::gateway::freshness::FreshnessWatch;
use crate::gateway::hedging::HedgeWatch;
use crate::gateway::holdings::Holdings;
use crate::gateway::limits::LimitWatch;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::noted_versions::NoteReader;
use crate::gateway::notifier::ChangeNotifier;
use crate::gateway::origins::{OriginContext, OriginDesk};
use crate::gateway::pace::PaceWatch;
use crate::gateway::peers::PeerTable;
use crate::gateway::pulse::PulseExchange;
use crate::gateway::quarantine::CrashWatch;
use crate::gateway::reach::ReachWatch;
use crate::gateway::request::{RequestHandler, RequestSource};
use crate::gateway::runs::RunWatch;
use crate::gateway::saved_origins::SavedOrigins;
use crate::gateway::service_level::ServiceLevels;
use crate::gateway::settings::{GatewaySettings, LiveSettings, SettingsError};
use crate::gateway::slots::{SlotContext, SlotDesk};
use crate::gateway::state_transfer::compression::PackedPieces;
use crate::gateway::state_transfer::fetcher::DocumentFetcher;
use crate::gateway::state_transfer::server::{PieceSlots, StateServer};
use crate::gateway::state_transfer::StateTransfer;
use crate::gateway::stop::GracefulStop;
use crate::gateway::telemetry::GatewayMetrics;
use crate::gateway::turns::{TurnContext, TurnDesk};
use crate::gateway::upstreams::UpstreamPool;
use crate::gateway::usage::UsageLedger;
use crate::gateway::version_notes::VersionNoter;
use crate::platform::PlatformClient;

/// Interval at which the settings file is checked for changes made without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which expired connections are closed and the retry budget metrics are updated.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Errors that prevent a gateway from starting.
#[derive(Debug, Display)]
pub enum GatewayError {
    /// {0}
    Settings(SettingsError),
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// cannot register signal handlers: {0}
    Signals(std::io::Error),
}

impl std::error::Error for GatewayError {}

/// Sockets that a gateway binds at startup.
struct GatewaySockets {
    callers: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    metrics: Option<TcpListener>,
    peers: TcpListener,
    handovers: Option<TcpListener>,
    pulses: UdpSocket,
}

impl GatewaySockets {
    async fn bind(settings: &GatewaySettings) -> Result<Self, GatewayError> {
        let pulses = UdpSocket::bind(settings.peer_address()).await;
        let metrics = SocketAddr::new(settings.ip_address, settings.metrics_port);
        Ok(Self {
            callers: bind(settings.listen.callers).await?,
            readiness: bind(settings.listen.readiness).await?,
            directory: bind(settings.listen.directory).await?,
            metrics: match settings.metrics_port {
                0 => None,
                _ => Some(bind(metrics).await?),
            },
            peers: bind(settings.peer_address()).await?,
            handovers: match settings.handover_address(settings.ip_address) {
                None => None,
                Some(address) => Some(bind(address).await?),
            },
            pulses: pulses.map_err(|err| GatewayError::Listen(settings.peer_address(), err))?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|err| GatewayError::Listen(address, err))
}

/// Runs a gateway with the settings file `path` until a signal stops it and its requests have
/// drained.
///
/// # Errors
///
/// Returns an error if the settings are invalid, an address cannot be bound or signal handlers
/// cannot be registered.
pub fn run(path: PathBuf) -> Result<(), GatewayError> {
    let tasks = Rc::new(LocalExecutor::new());
    smol::block_on(tasks.run(start(tasks.clone(), path)))
}

async fn start(tasks: Rc<LocalExecutor<'static>>, path: PathBuf) -> Result<(), GatewayError> {
    let settings = Rc::new(GatewaySettings::load(&path).map_err(GatewayError::Settings)?);
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(GatewayError::Signals)?;
    let sockets = GatewaySockets::bind(&settings).await?;
    let context = GatewayContext::new(settings, tasks, sockets.pulses.clone());
    let pulses = context.start_pulses(sockets.pulses);
    context.follow_store();
    context.serve_state_transfer(sockets.peers);
    let listeners = [Some(sockets.readiness), Some(sockets.directory), sockets.metrics];
    context.serve_endpoints(listeners.into_iter().flatten());
    context.serve_callers(sockets.callers, sockets.handovers);
    let duties = context.start_duties();
    let file = Rc::new(SettingsFile {
        path,
        initial: context.settings.clone(),
        live: context.live.clone(),
    });
    context.tasks.spawn(file.clone().watch_changes(context.clock.clone())).detach();
    file.wait_for_stop(&mut signals).await;
    let GatewayContext { settings, stop, .. } = &context;
    stop.begin_stop();
    log::info!("event=stopping node={} open_requests={}", settings.node, stop.open_requests());
    pulses.send_once().await;
    if let Some(duties) = &duties {
        duties.release().await;
    }
    stop.wait_drained().await;
    pulses.send_once().await;
    // The handlers stay registered until here, because a second signal would otherwise end the
    // process before it has drained.
    drop(signals);
    log::info!("event=stopped node={} open_requests={}", settings.node, stop.open_requests());
    Ok(())
}

/// Shared handles from which the components of a gateway are built.
struct GatewayContext {
    settings: Rc<GatewaySettings>,
    clock: RuntimeClock,
    tasks: Rc<LocalExecutor<'static>>,
    stop: Rc<GracefulStop>,
    mirror: Rc<StoreMirror>,
    limits: Rc<LimitWatch>,
    cold: Rc<ColdWatch>,
    pace: Rc<PaceWatch>,
    brittle: Rc<BrittleWatch>,
    runs: Rc<RunWatch>,
    slots: Rc<SlotDesk>,
    turns: Rc<TurnDesk>,
    origins: Rc<OriginDesk>,
    reach: Rc<ReachWatch>,
    crashes: Rc<CrashWatch>,
    peers: Rc<PeerTable>,
    metrics: Rc<GatewayMetrics>,
    live: Rc<LiveSettings>,
    levels: Rc<ServiceLevels>,
    usage: Rc<UsageLedger>,
    demand: Rc<DemandLedger>,
    duty_fencing: Rc<Cell<u64>>,
    peer_ahead: Rc<ChangeNotifier>,
    freshness: Rc<FreshnessWatch>,
    store: Rc<PlatformClient>,
}

impl GatewayContext {
    fn new(
        settings: Rc<GatewaySettings>,
        tasks: Rc<LocalExecutor<'static>>,
        socket: UdpSocket,
    ) -> Self {
        let clock = RuntimeClock::system();
        let run = NodeRun { node: settings.node.clone(), incarnation: clock.unix_ms() };
        log::info!(
            "event=started node={} zone={} incarnation={} version={}",
            run.node,
            settings.zone,
            run.incarnation,
            env!("CARGO_PKG_VERSION")
        );
        let peers = Rc::new(PeerTable::new(settings.known_node(run.incarnation)));
        let window = Duration::from_secs(settings.usage_window_s);
        let heartbeat_interval = Duration::from_millis(settings.replica_heartbeat_ms);
        let mirror = Rc::new(StoreMirror::new(clock.clone(), heartbeat_interval));
        let limits = Rc::new(LimitWatch::new(clock.clone(), mirror.clone()));
        let metrics = Rc::new(GatewayMetrics::default());
        let cold = Rc::new(ColdWatch::new(ColdContext {
            clock: clock.clone(),
            node: run.node.clone(),
            mirror: mirror.clone(),
            peers: peers.clone(),
            bounds: settings.cold_bounds(),
            seeds: settings.seed_peers().len(),
            metrics: metrics.clone(),
        }));
        let turns = TurnDesk::new(TurnContext {
            clock: clock.clone(),
            node: run.node.clone(),
            incarnation: run.incarnation,
            mirror: mirror.clone(),
            peers: peers.clone(),
            limits: limits.clone(),
            cold: cold.clone(),
            socket: socket.clone(),
        });
        let runs = Rc::new(RunWatch::new(clock.clone()));
        let brittle = Rc::new(BrittleWatch::new(
            clock.clone(),
            settings.node.clone(),
            mirror.clone(),
            peers.clone(),
            runs.clone(),
        ));
        let slots = SlotDesk::new(SlotContext {
            clock: clock.clone(),
            run: run.clone(),
            mirror: mirror.clone(),
            peers: peers.clone(),
            brittle: brittle.clone(),
            runs: runs.clone(),
            socket: socket.clone(),
        });
        let store = Rc::new(PlatformClient::of_store(settings.store_address, clock.clone()));
        let origins = OriginDesk::new(OriginContext {
            clock: clock.clone(),
            node: run.node.clone(),
            incarnation: run.incarnation,
            mirror: mirror.clone(),
            peers: peers.clone(),
            notes: Rc::new(NoteReader::new(clock.clone(), store.clone())),
            saved: Rc::new(SavedOrigins::new(clock.clone(), run.node.clone(), store.clone())),
            socket,
        });
        let is_contended = settings.is_contended();
        let freshness = Rc::new(FreshnessWatch {
            clock: clock.clone(),
            mirror: mirror.clone(),
            peers: peers.clone(),
            bound: settings.configuration_bound(),
            metrics: metrics.clone(),
            announced: RefCell::default(),
            positions: RefCell::default(),
            delivered_at: Default::default(),
            last_result: Cell::new("none"),
        });
        Self {
            pace: Rc::new(PaceWatch::new(clock.clone(), mirror.clone(), is_contended)),
            stop: Rc::new(GracefulStop::new(clock.clone(), settings.stop_grace())),
            limits,
            cold,
            brittle,
            runs,
            slots: Rc::new(slots),
            turns: Rc::new(turns),
            origins: Rc::new(origins),
            reach: Rc::new(ReachWatch::new(clock.clone(), mirror.clone())),
            crashes: Rc::new(CrashWatch::new(clock.clone(), mirror.clone())),
            mirror,
            peers,
            metrics,
            live: Rc::new(LiveSettings::new(&settings)),
            levels: Rc::new(ServiceLevels::new(clock.clone())),
            usage: Rc::new(UsageLedger::new(clock.clone(), run, window)),
            demand: Rc::new(DemandLedger::new(clock.clone())),
            duty_fencing: Rc::default(),
            peer_ahead: Rc::default(),
            freshness,
            store,
            settings,
            clock,
            tasks,
        }
    }

    fn follow_store(&self) {
        for table in [FollowedTable::Desired, FollowedTable::Replicas] {
            let follower = TableFollower {
                clock: self.clock.clone(),
                store: self.store.clone(),
                mirror: self.mirror.clone(),
                peers: self.peers.clone(),
                freshness: self.freshness.clone(),
                first_start: self.settings.first_start,
                table,
            };
            self.tasks.spawn(follower.run()).detach();
        }
        let noter = VersionNoter {
            clock: self.clock.clone(),
            store: self.store.clone(),
            mirror: self.mirror.clone(),
            origins: self.origins.clone(),
        };
        self.tasks.spawn(noter.run()).detach();
        let saved = self.origins.saved();
        self.tasks.spawn(async move { saved.run().await }).detach();
    }

    fn start_pulses(&self, socket: UdpSocket) -> Rc<PulseExchange> {
        let pulses = Rc::new(PulseExchange {
            settings: self.settings.clone(),
            clock: self.clock.clone(),
            peers: self.peers.clone(),
            mirror: self.mirror.clone(),
            crashes: self.crashes.clone(),
            limits: self.limits.clone(),
            cold: self.cold.clone(),
            turns: self.turns.clone(),
            pace: self.pace.clone(),
            brittle: self.brittle.clone(),
            slots: self.slots.clone(),
            origins: self.origins.clone(),
            reach: self.reach.clone(),
            usage: self.usage.clone(),
            stop: self.stop.clone(),
            duty_fencing: self.duty_fencing.clone(),
            demand: self.demand.clone(),
            peer_ahead: self.peer_ahead.clone(),
            freshness: self.freshness.clone(),
            sequence: Cell::new(0),
            sent_revisions: RefCell::default(),
            socket,
        });
        self.tasks.spawn(pulses.clone().send_pulses()).detach();
        self.tasks.spawn(pulses.clone().receive_pulses()).detach();
        self.tasks.spawn(self.slots.clone().report_changes()).detach();
        pulses
    }

    fn serve_state_transfer(&self, listener: TcpListener) {
        let fetcher = Rc::new(DocumentFetcher::new(
            self.clock.clone(),
            self.peers.clone(),
            self.mirror.clone(),
            self.freshness.clone(),
        ));
        let state_transfer = Rc::new(StateTransfer {
            clock: self.clock.clone(),
            peers: self.peers.clone(),
            mirror: self.mirror.clone(),
            peer_ahead: self.peer_ahead.clone(),
            pages: RefCell::default(),
            failed_at: RefCell::default(),
            fetcher: fetcher.clone(),
            freshness: self.freshness.clone(),
            metrics: self.metrics.clone(),
        });
        self.tasks.spawn(state_transfer.query_peers()).detach();
        self.tasks.spawn(fetcher.run()).detach();
        let server = Rc::new(StateServer {
            clock: self.clock.clone(),
            tasks: self.tasks.clone(),
            peers: self.peers.clone(),
            mirror: self.mirror.clone(),
            metrics: self.metrics.clone(),
            slots: Rc::new(PieceSlots::new(self.settings.piece_slots())),
            packed: PackedPieces::default(),
        });
        let quota = Rc::new(ConnectionQuota::new(self.settings.max_query_connections()));
        self.tasks.spawn(server.listen(listener, quota)).detach();
    }

    fn serve_endpoints(&self, listeners: impl Iterator<Item = TcpListener>) {
        let endpoints = Rc::new(EndpointServer {
            settings: self.settings.clone(),
            clock: self.clock.clone(),
            mirror: self.mirror.clone(),
            freshness: self.freshness.clone(),
            peers: self.peers.clone(),
            stop: self.stop.clone(),
            metrics: self.metrics.clone(),
            live: self.live.clone(),
            levels: self.levels.clone(),
            reach: self.reach.clone(),
        });
        for listener in listeners {
            let quota = Rc::new(ConnectionQuota::new(self.settings.max_query_connections()));
            let listening = endpoints.clone().listen(self.tasks.clone(), listener, quota);
            self.tasks.spawn(listening).detach();
        }
    }

    fn serve_callers(&self, listener: TcpListener, handovers: Option<TcpListener>) {
        let hedging = HedgeWatch::new(self.clock.clone(), self.live.clone(), self.pace.clone());
        let handler = Rc::new(RequestHandler {
            started_at: self.clock.now(),
            settings: self.settings.clone(),
            clock: self.clock.clone(),
            mirror: self.mirror.clone(),
            freshness: self.freshness.clone(),
            limits: self.limits.clone(),
            cold: self.cold.clone(),
            pace: self.pace.clone(),
            hedging: Rc::new(hedging),
            brittle: self.brittle.clone(),
            runs: self.runs.clone(),
            slots: self.slots.clone(),
            turns: self.turns.clone(),
            origins: self.origins.clone(),
            crashes: self.crashes.clone(),
            peers: self.peers.clone(),
            upstreams: UpstreamPool::new(self.clock.clone(), self.settings.upstream_source),
            reach: self.reach.clone(),
            peer_connections: UpstreamPool::new(self.clock.clone(), None),
            paused_peers: RefCell::default(),
            usage: self.usage.clone(),
            stop: self.stop.clone(),
            metrics: self.metrics.clone(),
            live: self.live.clone(),
            levels: self.levels.clone(),
            demand: self.demand.clone(),
            budgets: RefCell::default(),
            admission: AdmissionDesk::new(AdmissionContext {
                clock: self.clock.clone(),
                mirror: self.mirror.clone(),
                peers: self.peers.clone(),
                demand: self.demand.clone(),
            }),
        });
        self.tasks.spawn(run_maintenance(handler.clone())).detach();
        self.tasks.spawn(self.crashes.clone().verify_losses()).detach();
        self.tasks.spawn(handler.clone().watch_reach()).detach();
        let bounds = self.settings.account_bounds();
        let metrics = ClientMetrics::new(self.metrics.instruments());
        let metrics = metrics.expect("metric names and labels are valid");
        let holdings = Rc::new(Holdings::new(self.clock.clone(), bounds, metrics));
        let listeners = [(Some(listener), RequestSource::Caller), (handovers, RequestSource::Peer)];
        for (listener, source) in listeners {
            let Some(listener) = listener else { continue };
            let callers = CallerListener {
                handler: handler.clone(),
                tasks: self.tasks.clone(),
                holdings: holdings.clone(),
                source,
            };
            self.tasks.spawn(callers.run(listener)).detach();
        }
    }

    /// Starts the duties if the deployment configures a cloud interface.
    fn start_duties(&self) -> Option<Rc<DutyKeeper>> {
        let address = self.settings.cloud_address?;
        let duties = Rc::new(DutyKeeper::new(DutyContext {
            settings: self.settings.clone(),
            clock: self.clock.clone(),
            store: self.store.clone(),
            cloud: PlatformClient::new(address, self.clock.clone()),
            mirror: self.mirror.clone(),
            peers: self.peers.clone(),
            usage: self.usage.clone(),
            fencing: self.duty_fencing.clone(),
            metrics: self.metrics.clone(),
            demand: self.demand.clone(),
        }));
        self.tasks.spawn(duties.clone().run()).detach();
        Some(duties)
    }
}

/// Settings file of a running node, reloaded on a signal or when it changes.
struct SettingsFile {
    path: PathBuf,
    initial: Rc<GatewaySettings>,
    live: Rc<LiveSettings>,
}

impl SettingsFile {
    /// Waits for SIGTERM or SIGINT; SIGHUP reloads the file.
    async fn wait_for_stop(&self, signals: &mut Signals) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => self.live.reload(&self.path, "signal", &self.initial),
                Ok(_) => return,
                Err(err) => log::warn!("event=signal_failed error=\"{err}\""),
            }
        }
    }

    /// Reloads the file whenever its modification time changes.
    async fn watch_changes(self: Rc<Self>, clock: RuntimeClock) {
        let mut modified = modified_time(&self.path);
        loop {
            clock.sleep(SETTINGS_POLL_INTERVAL).await;
            let current = modified_time(&self.path);
            if current != modified {
                modified = current;
                self.live.reload(&self.path, "file_changed", &self.initial);
            }
        }
    }
}

fn modified_time(path: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Periodically closes expired connections and updates the retry budget metrics.
async fn run_maintenance(handler: Rc<RequestHandler>) {
    loop {
        handler.clock.sleep(MAINTENANCE_INTERVAL).await;
        handler.upstreams.close_expired();
        handler.export_retry_budgets();
        handler.limits.expire();
        handler.hedging.expire();
        handler.turns.expire();
        handler.brittle.expire();
        handler.slots.expire();
        handler.origins.expire();
        handler.cold.report();
        handler.admission.report();
        handler.freshness.report();
        handler.metrics.limited_replicas.set(handler.limits.limited_replicas());
        handler.metrics.pace.slow_replicas.set(handler.pace.slow_replicas());
        handler.crashes.expire();
        handler.metrics.quarantined_prompts.set(handler.crashes.quarantined_groups());
    }
}
