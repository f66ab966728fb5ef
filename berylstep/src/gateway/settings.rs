//! Settings of a gateway, from a JSON file that is rendered at deployment.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::budget::BudgetBounds;
use displaydoc::Display;
use serde::Deserialize;

use crate::gateway::peers::KnownNode;

/// Why settings were not taken.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// cannot read {0}: {1}
    Read(String, std::io::Error),
    /// {0} is not valid: {1}
    Parse(String, serde_json::Error),
    /// {0}: {1}
    Range(String, String),
}

impl std::error::Error for SettingsError {}

/// Addresses at which a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// The platform's readiness check.
    pub readiness: SocketAddr,
    /// Callers that ask for addresses.
    pub directory: SocketAddr,
}

/// Settings of one gateway; docs/OPERATIONS.md lists them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Name of the node.
    pub node: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Region.
    #[serde(default)]
    pub region: SharedName,
    /// Address of the VM.
    pub ip_address: IpAddr,
    /// First and last port for traffic between nodes.
    pub peer_ports: (u16, u16),
    /// Addresses of some nodes, of which the IP address counts; may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Port of the metrics; 0 serves none.
    #[serde(default)]
    pub metrics_port: u16,
    /// File descriptors that the process may have open.
    #[serde(default = "default_descriptors")]
    pub file_descriptors: usize,
    /// Share of a core that the node may use.
    #[serde(default = "whole_core")]
    pub core_share: f64,
    /// Table store of the platform.
    pub store_address: SocketAddr,
    /// Usage and order interface of the platform; absent where this deployment has none.
    #[serde(default)]
    pub cloud_address: Option<SocketAddr>,
    /// Time for which a leaving replica serves on, in milliseconds.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
    /// Time between the signal to stop and the end of the process, in seconds.
    #[serde(default = "default_stop_grace")]
    pub stop_grace_s: f64,
    /// Repeats allowed for each request, at all nodes together.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Repeats allowed besides, at all nodes together.
    #[serde(default = "default_retry_extra")]
    pub retry_extra: f64,
    /// Window of the retry budget, in seconds.
    #[serde(default = "default_retry_window")]
    pub retry_window_s: f64,
    /// Length of a usage window, in seconds.
    #[serde(default = "default_usage_window")]
    pub usage_window_s: u64,
    /// Longest time for which callers may keep a list of addresses, in seconds.
    #[serde(default = "default_directory_ttl")]
    pub directory_ttl_max_s: f64,
    /// Fraction of a route's requests that is wanted within its latency target, for the burn report.
    #[serde(default = "default_attainment")]
    pub wanted_attainment: f64,
}

/// Settings that a running node takes over from a changed file; the others need a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeableSettings {
    /// Bounds of the retry budget.
    pub retry: BudgetBounds,
    /// Time for which a leaving replica serves on.
    pub drain: Duration,
    /// Longest time for which callers may keep a list of addresses.
    pub directory_ttl_max: Duration,
    /// Fraction of a route's requests that is wanted within its latency target.
    pub wanted_attainment: f64,
}

/// Changeable settings in force.
#[derive(Debug)]
pub struct LiveSettings {
    present: Cell<ChangeableSettings>,
}

impl LiveSettings {
    /// The settings of a start.
    pub fn new(settings: &GatewaySettings) -> Self {
        Self { present: Cell::new(settings.changeable()) }
    }

    /// Settings in force.
    pub fn get(&self) -> ChangeableSettings {
        self.present.get()
    }

    /// Takes over what may change of the file `path`, of which `started` is the content at the
    /// start.
    pub fn reload(&self, path: &Path, cause: &str, started: &GatewaySettings) {
        let settings = match GatewaySettings::load(path) {
            Ok(settings) => settings,
            Err(err) => {
                log::error!(
                    "event=settings_rejected cause={cause} error=\"{err}\" outcome=kept_old"
                );
                return;
            }
        };
        let before = self.present.replace(settings.changeable());
        log::info!(
            "event=settings_reloaded cause={cause} node={} changed={} needs_start={}",
            started.node,
            before != settings.changeable(),
            !settings.has_same_base(started)
        );
    }
}

/// A whole core, where the deployment does not tell.
fn whole_core() -> f64 {
    1.0
}

/// Time for which a replica serves on where the deployment does not tell.
fn default_drain() -> u64 {
    2000
}

/// Usual limit of a process.
fn default_descriptors() -> usize {
    4096
}

/// Time of a stop where the deployment does not tell.
fn default_stop_grace() -> f64 {
    8.0
}

/// Repeats for each request where the deployment sets no budget.
fn default_retry_ratio() -> f64 {
    0.2
}

/// Further repeats where the deployment sets no budget.
fn default_retry_extra() -> f64 {
    50.0
}

/// Window of the budget where the deployment sets none.
fn default_retry_window() -> f64 {
    10.0
}

/// Usage window where the deployment does not tell.
fn default_usage_window() -> u64 {
    5
}

/// A usual objective, where the deployment does not tell.
fn default_attainment() -> f64 {
    0.99
}

/// Lifetime of an address list where the deployment does not tell.
fn default_directory_ttl() -> f64 {
    5.0
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let content = std::fs::read(path).map_err(|err| SettingsError::Read(name.clone(), err))?;
        Self::parse(&name, &content)
    }

    /// Parses and checks the content of the settings file `name`.
    pub fn parse(name: &str, content: &[u8]) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_slice(content)
            .map_err(|err| SettingsError::Parse(name.to_owned(), err))?;
        let faults = settings.faults();
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(SettingsError::Range(name.to_owned(), faults.join("; "))),
        }
    }

    /// What is out of bounds, all of it.
    fn faults(&self) -> Vec<&'static str> {
        let positive = |value: f64| value > 0.0 && value.is_finite();
        let checks = [
            (!self.node.is_empty(), "node must be a name"),
            (!self.zone.is_empty(), "zone must be a name"),
            (self.peer_ports.0 > 0, "peer_ports must be above 0"),
            (self.file_descriptors > 0, "file_descriptors must be above 0"),
            (positive(self.core_share), "core_share must be above 0"),
            (positive(self.stop_grace_s), "stop_grace_s must be above 0"),
            (self.retry_ratio >= 0.0, "retry_ratio must be 0 or above"),
            (self.retry_extra >= 0.0, "retry_extra must be 0 or above"),
            (positive(self.retry_window_s), "retry_window_s must be above 0"),
            (self.usage_window_s > 0, "usage_window_s must be above 0"),
            (positive(self.directory_ttl_max_s), "directory_ttl_max_s must be above 0"),
            (
                self.wanted_attainment > 0.0 && self.wanted_attainment < 1.0,
                "wanted_attainment must be between 0 and 1",
            ),
        ];
        checks.into_iter().filter(|(holds, _)| !holds).map(|(_, fault)| fault).collect()
    }

    /// What may change while the node runs.
    fn changeable(&self) -> ChangeableSettings {
        ChangeableSettings {
            retry: BudgetBounds {
                ratio: self.retry_ratio,
                extra: self.retry_extra,
                window: Duration::from_secs_f64(self.retry_window_s),
            },
            drain: Duration::from_millis(self.drain_ms),
            directory_ttl_max: Duration::from_secs_f64(self.directory_ttl_max_s),
            wanted_attainment: self.wanted_attainment,
        }
    }

    /// Whether all that needs a start is as in `started`; what counts at a start only is left out.
    fn has_same_base(&self, started: &Self) -> bool {
        let base = |settings: &Self| {
            let mut base = settings.clone();
            (base.retry_ratio, base.retry_extra, base.retry_window_s) = (0.0, 0.0, 0.0);
            (base.drain_ms, base.directory_ttl_max_s, base.wanted_attainment) = (0, 0.0, 0.0);
            (base.first_start, base.seeds) = (false, Vec::new());
            base
        };
        base(self) == base(started)
    }

    /// Address for datagrams and queries of other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip_address, self.peer_ports.0)
    }

    /// Peer addresses of the seeds; ports are the same on all nodes.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_ports.0));
        seeds.filter(|seed| *seed != self.peer_address()).collect()
    }

    /// Share of a core that the node may use, in thousandths.
    pub fn core_permille(&self) -> u32 {
        (self.core_share * 1000.0) as u32
    }

    /// This node as others know it.
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
        }
    }

    /// Time between the signal to stop and the end of the process.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }
}
