//! Settings of a gateway, read from a JSON file that is rendered at deployment.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::budget::BudgetBounds;
use berylstep_core::fleet::byte_account::AccountBounds;
use berylstep_core::fleet::cold::ColdBounds;
use berylstep_core::fleet::hedging::HedgeBounds;
use displaydoc::Display;
use serde::Deserialize;

use crate::gateway::peers::KnownNode;
use crate::platform::CONTENTION_RULES;

/// Most file descriptors that are reserved for everything except callers' connections.
const MAX_RESERVED_DESCRIPTORS: usize = 1200;

/// Smallest memory of a VM; the process itself takes about a third of it.
const MIN_MEMORY_MB: usize = 32;

/// Bandwidth of a narrow link, in megabits per second.
const NARROW_LINK_MBPS: f64 = 10.0;

/// Bounds on the queries for pieces that a node answers at once.
const MIN_PIECE_SLOTS: u32 = 2;
const MAX_PIECE_SLOTS: u32 = 32;

/// Errors that reject a settings file.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// cannot read {0}: {1}
    Read(String, std::io::Error),
    /// {0} is not valid: {1}
    Parse(String, serde_json::Error),
    /// {0}: {1}
    Invalid(String, String),
}

impl std::error::Error for SettingsError {}

/// Addresses on which a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for the platform's readiness check.
    pub readiness: SocketAddr,
    /// Address for directory queries of callers.
    pub directory: SocketAddr,
}

/// Settings of a gateway; docs/OPERATIONS.md describes them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Name of the node.
    pub node: SharedName,
    /// Availability zone of the node.
    pub zone: SharedName,
    /// Region of the availability zone.
    #[serde(default)]
    pub region: SharedName,
    /// IP address of the VM.
    pub ip_address: IpAddr,
    /// First and last port for traffic between nodes: the first is for messages, the next one for
    /// requests that nodes hand over. Without a second port none are.
    pub peer_ports: (u16, u16),
    /// Addresses of other nodes, possibly stale. Only the IP address is used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Port for metrics, or 0 to serve none.
    #[serde(default)]
    pub metrics_port: u16,
    /// Local address from which connections to replicas are opened; by default the system chooses.
    #[serde(default)]
    pub upstream_source: Option<IpAddr>,
    /// File descriptors that the process may open.
    #[serde(default = "default_descriptors")]
    pub file_descriptors: usize,
    /// Names of the groups of rules that are in force; see [`GatewaySettings::is_contended`].
    #[serde(default)]
    pub rule_groups: Vec<SharedName>,
    /// Memory of the VM, in megabytes.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Share of a CPU core that the node may use.
    #[serde(default = "default_core_share")]
    pub core_share: f64,
    /// Bandwidth of the VM's link, in megabits per second.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// Address of the platform's table store.
    pub store_address: SocketAddr,
    /// Address of the platform's interface for usage and orders, if the deployment has one.
    #[serde(default)]
    pub cloud_address: Option<SocketAddr>,
    /// Time within which an accepted desired state is to be in force, in milliseconds; a node that can't get it until
    /// then serves no requests. Without a bound it serves on by the older one.
    #[serde(default)]
    pub configuration_ms: Option<u64>,
    /// Time for which a leaving replica continues to serve, in milliseconds.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
    /// Time between the signal to stop and the end of the process, in seconds.
    #[serde(default = "default_stop_grace")]
    pub stop_grace_s: f64,
    /// Retries allowed per request, across all nodes.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries allowed in each window in addition to the ratio, across all nodes.
    #[serde(default = "default_retry_extra")]
    pub retry_extra: f64,
    /// Window of the retry budget, in seconds.
    #[serde(default = "default_retry_window")]
    pub retry_window_s: f64,
    /// Hedged requests allowed per request; 0 switches hedging off.
    #[serde(default)]
    pub hedge_ratio: f64,
    /// Quantile of the time to the response after which a request is hedged.
    #[serde(default = "default_hedge_quantile")]
    pub hedge_quantile: f64,
    /// Whether the platform rejects duty calls with an older fencing token than it has seen.
    #[serde(default = "default_fencing")]
    pub receiver_checks_fencing: bool,
    /// Factor on the requests per second that a cold replica tolerates, across all nodes.
    #[serde(default = "default_cold_overage")]
    pub cold_overage: f64,
    /// Requests that a cold replica may get in any second in addition, across all nodes.
    #[serde(default = "default_cold_slack")]
    pub cold_slack: f64,
    /// Length of a usage window, in seconds.
    #[serde(default = "default_usage_window")]
    pub usage_window_s: u64,
    /// Interval of the heartbeats that replicas send to the store, in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub replica_heartbeat_ms: u64,
    /// Upper bound for the lifetime of a directory response, in seconds.
    #[serde(default = "default_directory_ttl")]
    pub directory_ttl_max_s: f64,
    /// Wanted fraction of a route's requests within its latency target, for the burn report.
    #[serde(default = "default_attainment")]
    pub wanted_attainment: f64,
}

/// Settings that a running node takes from a changed file; all others need a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// Bounds of the retry budget.
    pub retry: BudgetBounds,
    /// Bounds of hedging.
    pub hedge: HedgeBounds,
    /// Time for which a leaving replica continues to serve.
    pub drain: Duration,
    /// Upper bound for the lifetime of a directory response.
    pub directory_ttl_max: Duration,
    /// Wanted fraction of a route's requests within its latency target.
    pub wanted_attainment: f64,
}

/// Reloadable settings in force.
#[derive(Debug)]
pub struct LiveSettings {
    current: Cell<ReloadableSettings>,
}

impl LiveSettings {
    /// Puts the reloadable part of `settings` in force.
    pub fn new(settings: &GatewaySettings) -> Self {
        Self { current: Cell::new(settings.reloadable()) }
    }

    /// Returns the settings in force.
    pub fn get(&self) -> ReloadableSettings {
        self.current.get()
    }

    /// Reloads the file `path` and puts its reloadable settings in force. An invalid file is logged
    /// and changes nothing. `initial` holds the settings at startup.
    pub fn reload(&self, path: &Path, cause: &str, initial: &GatewaySettings) {
        let settings = match GatewaySettings::load(path) {
            Ok(settings) => settings,
            Err(err) => {
                log::error!(
                    "event=settings_rejected cause={cause} error=\"{err}\" outcome=kept_old"
                );
                return;
            }
        };
        let before = self.current.replace(settings.reloadable());
        log::info!(
            "event=settings_reloaded cause={cause} node={} changed={} needs_start={}",
            initial.node,
            before != settings.reloadable(),
            !settings.has_same_fixed_settings(initial)
        );
    }
}

/// Default share of a CPU core.
fn default_core_share() -> f64 {
    1.0
}

/// Default memory of a VM, in megabytes; the smallest one that gateways are deployed on has 120.
fn default_memory() -> usize {
    120
}

/// Default bandwidth of a VM's link, in megabits per second.
fn default_link() -> f64 {
    100.0
}

/// Default drain time, in milliseconds.
fn default_drain() -> u64 {
    2000
}

/// Default number of file descriptors, the usual limit of a process.
fn default_descriptors() -> usize {
    4096
}

/// Default grace period of a stop, in seconds.
fn default_stop_grace() -> f64 {
    8.0
}

/// Default number of retries per request.
fn default_retry_ratio() -> f64 {
    0.2
}

/// Default number of additional retries.
fn default_retry_extra() -> f64 {
    50.0
}

/// Default window of the retry budget, in seconds.
fn default_retry_window() -> f64 {
    10.0
}

/// Default factor on the rate of a cold replica.
fn default_cold_overage() -> f64 {
    1.5
}

/// Default number of additional requests to a cold replica in a second.
fn default_cold_slack() -> f64 {
    5.0
}

/// Default quantile after which a request is hedged.
fn default_hedge_quantile() -> f64 {
    0.95
}

/// Default usage window, in seconds.
fn default_fencing() -> bool {
    true
}

fn default_usage_window() -> u64 {
    5
}

/// Default heartbeat interval of replicas, in milliseconds.
fn default_heartbeat() -> u64 {
    2000
}

/// Default for the wanted fraction of requests within their latency target.
fn default_attainment() -> f64 {
    0.99
}

/// Default upper bound for the lifetime of a directory response, in seconds.
fn default_directory_ttl() -> f64 {
    5.0
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not valid JSON or has a value out of range.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let content = std::fs::read(path).map_err(|err| SettingsError::Read(name.clone(), err))?;
        Self::parse(&name, &content)
    }

    /// Parses and validates the content of the settings file `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the content is not valid JSON or has a value out of range.
    pub fn parse(name: &str, content: &[u8]) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_slice(content)
            .map_err(|err| SettingsError::Parse(name.to_owned(), err))?;
        let violations = settings.violations();
        match violations.is_empty() {
            true => Ok(settings),
            false => Err(SettingsError::Invalid(name.to_owned(), violations.join("; "))),
        }
    }

    /// Returns a message for each value out of range.
    fn violations(&self) -> Vec<&'static str> {
        let positive = |value: f64| value > 0.0 && value.is_finite();
        let checks = [
            (!self.node.is_empty(), "node must not be empty"),
            (!self.zone.is_empty(), "zone must not be empty"),
            (self.peer_ports.0 > 0, "peer_ports must be above 0"),
            (self.file_descriptors > 0, "file_descriptors must be above 0"),
            (self.memory_mb >= MIN_MEMORY_MB, "memory_mb must be 32 or above"),
            (positive(self.core_share), "core_share must be above 0"),
            (positive(self.link_mbps), "link_mbps must be above 0"),
            (positive(self.stop_grace_s), "stop_grace_s must be above 0"),
            (self.retry_ratio >= 0.0, "retry_ratio must be 0 or above"),
            (self.retry_extra >= 0.0, "retry_extra must be 0 or above"),
            (positive(self.retry_window_s), "retry_window_s must be above 0"),
            (positive(self.cold_overage), "cold_overage must be above 0"),
            (self.cold_slack >= 0.0, "cold_slack must be 0 or above"),
            (
                (0.0..=1.0).contains(&self.hedge_ratio),
                "hedge_ratio must be 0 or above, and at most 1",
            ),
            (
                self.hedge_quantile >= 0.5 && self.hedge_quantile < 1.0,
                "hedge_quantile must be 0.5 or above, and below 1",
            ),
            (self.usage_window_s > 0, "usage_window_s must be above 0"),
            (self.replica_heartbeat_ms > 0, "replica_heartbeat_ms must be above 0"),
            (positive(self.directory_ttl_max_s), "directory_ttl_max_s must be above 0"),
            (
                self.wanted_attainment > 0.0 && self.wanted_attainment < 1.0,
                "wanted_attainment must be between 0 and 1",
            ),
        ];
        checks.into_iter().filter(|(holds, _)| !holds).map(|(_, violation)| violation).collect()
    }

    /// Returns the settings that may change while the node runs.
    fn reloadable(&self) -> ReloadableSettings {
        ReloadableSettings {
            retry: BudgetBounds {
                ratio: self.retry_ratio,
                extra: self.retry_extra,
                window: Duration::from_secs_f64(self.retry_window_s),
            },
            hedge: HedgeBounds { ratio: self.hedge_ratio, quantile: self.hedge_quantile },
            drain: Duration::from_millis(self.drain_ms),
            directory_ttl_max: Duration::from_secs_f64(self.directory_ttl_max_s),
            wanted_attainment: self.wanted_attainment,
        }
    }

    /// Returns whether all settings that need a restart equal those of `initial`. Settings that
    /// only matter at startup are ignored.
    fn has_same_fixed_settings(&self, initial: &Self) -> bool {
        let fixed = |settings: &Self| {
            let mut fixed = settings.clone();
            (fixed.retry_ratio, fixed.retry_extra, fixed.retry_window_s) = (0.0, 0.0, 0.0);
            (fixed.hedge_ratio, fixed.hedge_quantile) = (0.0, 0.0);
            (fixed.drain_ms, fixed.directory_ttl_max_s, fixed.wanted_attainment) = (0, 0.0, 0.0);
            (fixed.first_start, fixed.seeds) = (false, Vec::new());
            fixed
        };
        fixed(self) == fixed(initial)
    }

    /// Returns the bounds on what is held for clients: part of the memory, and descriptors beside those that are
    /// reserved for replicas, peers, the store and queries.
    pub fn account_bounds(&self) -> AccountBounds {
        let reserved = MAX_RESERVED_DESCRIPTORS.min(self.file_descriptors / 3 * 2);
        AccountBounds {
            bytes: (self.memory_mb << 20) / 5 * 2,
            connections: (self.file_descriptors - reserved).max(1),
            descriptors: (self.file_descriptors - reserved / 2).max(2),
        }
    }

    /// Returns the number of connections that each listener for queries keeps open.
    pub fn max_query_connections(&self) -> usize {
        (self.file_descriptors / 32).clamp(16, 128)
    }

    /// Returns the number of queries for pieces of the desired state that the node answers at once: as many as
    /// narrow links fit into its own, within bounds.
    pub fn piece_slots(&self) -> u32 {
        ((self.link_mbps / NARROW_LINK_MBPS) as u32).clamp(MIN_PIECE_SLOTS, MAX_PIECE_SLOTS)
    }

    /// Returns whether the deployment says that callers compete for too little room at times.
    pub fn is_contended(&self) -> bool {
        self.rule_groups.iter().any(|group| **group == *CONTENTION_RULES)
    }

    /// Returns the bounds on the requests to cold replicas.
    pub fn cold_bounds(&self) -> ColdBounds {
        ColdBounds { overage: self.cold_overage, slack: self.cold_slack }
    }

    /// Returns the address for datagrams and queries of other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip_address, self.peer_ports.0)
    }

    /// Returns the peer addresses of the seeds, except this node's own. All nodes use the same
    /// port.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_ports.0));
        seeds.filter(|seed| *seed != self.peer_address()).collect()
    }

    /// Returns the share of a CPU core that the node may use, in thousandths.
    pub fn core_permille(&self) -> u32 {
        (self.core_share * 1000.0) as u32
    }

    /// Returns this node's own entry for the peer table.
    pub fn known_node(&self, incarnation: u64) -> KnownNode {
        KnownNode {
            node: self.node.clone(),
            zone: self.zone.clone(),
            peer_address: self.peer_address(),
            caller_address: self.listen.callers,
            ready: false,
            leaving: false,
            incarnation,
            core_permille: self.core_permille(),
            unreachable: Vec::new(),
            keeps_slots: true,
        }
    }

    /// Returns the address at which the node with this IP address takes requests from other nodes;
    /// `None` if there is no port for it.
    pub fn handover_address(&self, ip: IpAddr) -> Option<SocketAddr> {
        let (first, last) = self.peer_ports;
        (last > first).then(|| SocketAddr::new(ip, first + 1))
    }

    /// Returns the time within which an accepted desired state is to be in force, if there is a bound.
    pub fn configuration_bound(&self) -> Option<Duration> {
        self.configuration_ms.map(Duration::from_millis)
    }

    /// Returns the time between the signal to stop and the end of the process.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }
}
