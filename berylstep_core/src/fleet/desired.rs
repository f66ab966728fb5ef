//! Desired state: routes, services and organisations as the operator wants them.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// What may be repeated of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// A request may run once at most.
    Unsafe,
    /// Answered by a stream of events; may run once at most unless it can be resumed.
    Stream,
}

/// A service to which a route sends a share of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: SharedName,
    /// Share in relation to the other targets.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// Name, unique within a desired state.
    pub name: SharedName,
    /// Host name in lower case.
    pub host: SharedName,
    /// Start of the paths that belong to the route.
    pub prefix: SharedName,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a request is kept without a final answer.
    pub timeout: Duration,
    /// Latency target: time to the whole answer, or to the first event of a stream.
    pub target: Duration,
    /// Longest pause between two events that is still on time.
    pub gap_target: Option<Duration>,
    /// Rank, where 0 is served first.
    pub priority: u8,
    /// Services that serve the route.
    pub targets: Vec<RouteTarget>,
    /// Most upstreams on which one request may run.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be continued on another upstream.
    pub resumable: bool,
}

/// Ranks of routes within one rank of organisations.
const ROUTE_RANKS: u8 = 3;

impl RouteEntry {
    /// Rank of a request, where 0 is served first: the organisation's goes before the route's,
    /// which decides among organisations of the same rank.
    pub fn rank(&self, organisation: Option<u8>) -> u8 {
        let route = self.priority.min(ROUTE_RANKS - 1);
        match organisation {
            Some(organisation) => organisation.saturating_mul(ROUTE_RANKS).saturating_add(route),
            None => self.priority,
        }
    }

    /// Whether a request may run again after an attempt that may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Service for one request; `draw` is evenly distributed over 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&SharedName> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * total;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rfind(|target| target.weight > 0.0).map(|target| &target.service)
    }
}

/// What is known of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub kv_cache_tokens: u64,
    /// Output tokens of one event of a stream.
    pub event_tokens: u64,
    /// Whether a run can be moved to another engine.
    pub moves: bool,
}

/// How many upstreams of a service may be ordered in each availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// Fewest upstreams, both kinds together.
    pub minimum: u32,
    /// Most upstreams, both kinds together.
    pub maximum: u32,
    /// Time from an order to the first served request.
    pub boot: Duration,
    /// Price of the reclaimable kind as a fraction of the dependable one's; `None` where there is
    /// no such kind.
    pub spot_price: Option<f64>,
    /// Price of one second by availability zone.
    pub zone_prices: Vec<(SharedName, f64)>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name.
    pub name: SharedName,
    /// Connections that one upstream accepts from all nodes together.
    pub connection_limit: u32,
    /// Engines, where the service is a model.
    pub engine: Option<EngineSpec>,
    /// Bounds of orders, where upstreams may be ordered.
    pub scaling: Option<ScalingBounds>,
}

/// An organisation as found by one of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationEntry {
    /// Name.
    pub name: SharedName,
    /// Rank of its requests, which goes before that of the route.
    pub priority: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head in bytes.
    pub head_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for which a head may take.
    pub head_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits before the first desired state is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the desired state.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// Version, which grows with each change.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Whether requests need the key of an organisation.
    pub requires_keys: bool,
    routes: HashMap<SharedName, Vec<Arc<RouteEntry>>>,
    services: HashMap<SharedName, ServiceEntry>,
    keys: HashMap<SharedName, OrganisationEntry>,
}

impl DesiredState {
    /// A version without routes; `requires_keys` tells whether requests need a key.
    pub fn new(version: u64, limits: CallerLimits, requires_keys: bool) -> Self {
        Self { version, limits, requires_keys, ..Self::default() }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: RouteEntry) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServiceEntry) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds a key of an organisation.
    pub fn add_key(&mut self, key: SharedName, organisation: OrganisationEntry) {
        self.keys.insert(key, organisation);
    }

    /// Route of a request: the longest prefix of `path` among the routes of `host`, which may carry
    /// a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.routes.get(name.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Organisation that holds `key`.
    pub fn organisation(&self, key: &str) -> Option<&OrganisationEntry> {
        self.keys.get(key)
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        self.routes.values().flatten()
    }

    /// What cannot be served as it stands, each with its place.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for route in self.routes() {
            let mut fault = |text: String| faults.push(format!("route {}: {text}", route.name));
            if route.targets.iter().all(|target| target.weight <= 0.0) {
                fault("no service gets its requests".to_owned());
            }
            for target in &route.targets {
                if !self.services.contains_key(&target.service) {
                    fault(format!("service {} is not defined", target.service));
                }
            }
            if route.timeout.is_zero() {
                fault("its timeout is 0".to_owned());
            }
            if route.target > route.timeout {
                fault("its latency target is above its timeout".to_owned());
            }
        }
        for service in self.services() {
            let bounds = service.scaling.as_ref();
            if bounds.is_some_and(|bounds| bounds.minimum > bounds.maximum) {
                faults.push(format!("service {}: minimum is above maximum", service.name));
            }
        }
        faults.sort();
        faults
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
