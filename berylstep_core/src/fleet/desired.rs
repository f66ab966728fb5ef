//! Desired state: the routes, services and organisations that the operator configured.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::fleet::cold::ColdRule;

/// Retry semantics of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// Answered with an event stream; a request may run at most once unless the stream is
    /// resumable.
    Stream,
}

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Service name.
    pub service: SharedName,
    /// Weight relative to the other targets of the route.
    pub weight: f64,
}

/// Route of requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// Route name, unique within a desired state.
    pub name: SharedName,
    /// Host name, in lower case.
    pub host: SharedName,
    /// Path prefix that the route matches.
    pub prefix: SharedName,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Maximum time until the final answer to a request.
    pub timeout: Duration,
    /// Latency target: time to the complete answer, or to the first event of a stream.
    pub target: Duration,
    /// Latency target for the interval between two events of a stream.
    pub gap_target: Option<Duration>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Services that the route's requests are split between.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of upstreams on which a request may run.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether a stream may be resumed on another upstream.
    pub resumable: bool,
}

/// Number of route priorities within each organisation priority.
const ROUTE_RANKS: u8 = 3;

impl RouteEntry {
    /// Returns the rank of a request; 0 is served first. Requests are ordered by the organisation's
    /// priority, then by the route's.
    pub fn rank(&self, organisation: Option<u8>) -> u8 {
        let route = self.priority.min(ROUTE_RANKS - 1);
        match organisation {
            Some(organisation) => organisation.saturating_mul(ROUTE_RANKS).saturating_add(route),
            None => self.priority,
        }
    }

    /// Returns whether a request may be retried after an attempt that may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Selects the service of a request by weight; `draw` is uniformly distributed from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&SharedName> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rfind(|target| target.weight > 0.0).map(|target| &target.service)
    }
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests per engine.
    pub slots: u32,
    /// Capacity of an engine's key-value cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Output tokens per event of a stream.
    pub event_tokens: u64,
    /// Whether a run can be migrated to another engine.
    pub moves: bool,
}

/// Bounds on the upstreams that are ordered for a service in each availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// Minimum number of upstreams, both kinds together.
    pub minimum: u32,
    /// Maximum number of upstreams, both kinds together.
    pub maximum: u32,
    /// Time from an order to the first served request.
    pub boot: Duration,
    /// Price of a spot upstream as a fraction of the dependable price; `None` if the service has no
    /// spot upstreams.
    pub spot_price: Option<f64>,
    /// Price per second by availability zone.
    pub zone_prices: Vec<(SharedName, f64)>,
}

/// Service that runs on upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Service name.
    pub name: SharedName,
    /// Maximum number of connections to one upstream, over all nodes.
    pub connection_limit: u32,
    /// Engine properties; `None` if the service is not a model.
    pub engine: Option<EngineSpec>,
    /// Scaling bounds; `None` if no upstreams may be ordered.
    pub scaling: Option<ScalingBounds>,
    /// When its replicas are cold; `None` if they never are.
    pub cold: Option<ColdRule>,
}

/// Organisation that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationEntry {
    /// Organisation name.
    pub name: SharedName,
    /// Priority of its requests, compared before that of the route; 0 is served first.
    pub priority: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for reading a request head.
    pub head_timeout: Duration,
    /// Timeout for idle connections.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits in force until the first desired state is known.
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
    /// Version, which increases with each change.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Whether requests require the key of an organisation.
    pub requires_keys: bool,
    routes: HashMap<SharedName, Vec<Arc<RouteEntry>>>,
    services: HashMap<SharedName, ServiceEntry>,
    keys: HashMap<SharedName, OrganisationEntry>,
}

impl DesiredState {
    /// Creates a desired state without routes, services and keys.
    pub fn new(version: u64, limits: CallerLimits, requires_keys: bool) -> Self {
        Self { version, limits, requires_keys, ..Self::default() }
    }

    /// Adds a route; the routes of a host are ordered by descending prefix length.
    pub fn add_route(&mut self, route: RouteEntry) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let position = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(position, Arc::new(route));
    }

    /// Adds a service; replaces one of the same name.
    pub fn add_service(&mut self, service: ServiceEntry) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds a key; a key that exists is reassigned to `organisation`.
    pub fn add_key(&mut self, key: SharedName, organisation: OrganisationEntry) {
        self.keys.insert(key, organisation);
    }

    /// Returns the route with the longest matching prefix of `path` among the routes of `host`,
    /// which may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.routes.get(name.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the organisation that `key` belongs to.
    pub fn organisation(&self, key: &str) -> Option<&OrganisationEntry> {
        self.keys.get(key)
    }

    /// Returns the organisations of all keys; one with several keys is repeated.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationEntry> {
        self.keys.values()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// Returns all routes; those of a host are in matching order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        self.routes.values().flatten()
    }

    /// Validates the desired state; returns its faults, sorted, each with the name of its route or
    /// service.
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

    /// Returns the number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
