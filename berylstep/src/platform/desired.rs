//! Decodes the operator's desired state from the platform's format.

use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::cold::ColdRule;
use berylstep_core::fleet::desired::{
    CallerLimits, DesiredState, EngineSpec, OrganisationEntry, RouteEntry, RouteKind, RouteTarget,
    ScalingBounds, ServiceEntry,
};
use serde::Deserialize;

/// Table that stores the operator's rows.
pub const OPERATOR_TABLE: &str = "op";

/// Key of the desired state within the table.
pub const DESIRED_KEY: &str = "config";

/// Prefix of the keys that ask to evacuate a zone; the name of the zone follows.
const EVACUATION_PREFIX: &str = "evacuate/";

/// Returns the zone that a row of the operator asks to evacuate for as long as the row exists; `None` if it is
/// about something else.
pub fn evacuated_zone(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX).filter(|zone| !zone.is_empty())
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct DesiredBody {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: Option<LimitsBody>,
    /// Absent if requests need no key.
    #[serde(default)]
    tenants: Option<Vec<TenantBody>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RouteBody {
    name: String,
    host: String,
    prefix: String,
    kind: String,
    /// Deadline of the final response, in milliseconds after the arrival of the request.
    timeout_ms: f64,
    /// Latency objective in milliseconds.
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    /// The only target, if there is no traffic split.
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<SplitBody>,
    #[serde(default = "default_attempts")]
    attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    gap_target_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SplitBody {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceBody {
    name: String,
    #[serde(default)]
    connection_limit: Option<u32>,
    #[serde(default)]
    engine: Option<EngineBody>,
    #[serde(default)]
    scaling: Option<ScalingBody>,
    /// Time for which a replica is cold after its start, in seconds.
    #[serde(default)]
    cold_start_s: Option<f64>,
    /// Requests per second that a cold replica takes from all nodes together; absent or 0 if replicas are
    /// never cold.
    #[serde(default)]
    cold_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct EngineBody {
    slots: u32,
    kv_cache_tokens: u64,
    /// Output tokens per stream event.
    #[serde(default)]
    stride: u64,
    #[serde(default)]
    moves: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ScalingBody {
    minimum: u32,
    maximum: u32,
    #[serde(default)]
    boot_s: f64,
    #[serde(default)]
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: HashMap<String, f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct LimitsBody {
    header_bytes: usize,
    body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantBody {
    name: String,
    #[serde(default)]
    keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
}

fn default_attempts() -> u32 {
    1
}

/// Decodes a stored desired state; unknown fields are ignored, and missing required fields are an
/// error.
pub fn decode_desired(content: &[u8]) -> Result<DesiredState, serde_json::Error> {
    let body: DesiredBody = serde_json::from_slice(content)?;
    let limits = body.limits.map(LimitsBody::into_limits).unwrap_or_default();
    let mut desired = DesiredState::new(body.version, limits, body.tenants.is_some());
    for route in body.routes {
        desired.add_route(route.into_route());
    }
    for service in body.services {
        desired.add_service(service.into_service());
    }
    for tenant in body.tenants.into_iter().flatten() {
        let organisation =
            OrganisationEntry { name: tenant.name.into(), priority: tenant.priority };
        for key in tenant.keys {
            desired.add_key(key.into(), organisation.clone());
        }
    }
    Ok(desired)
}

impl RouteBody {
    fn into_route(self) -> RouteEntry {
        let only = self.service.map(|service| SplitBody { service, weight: 1.0 });
        let split = match self.traffic_split.is_empty() {
            true => only.into_iter().collect(),
            false => self.traffic_split,
        };
        let target =
            |split: SplitBody| RouteTarget { service: split.service.into(), weight: split.weight };
        RouteEntry {
            name: self.name.into(),
            host: self.host.to_ascii_lowercase().into(),
            prefix: self.prefix.into(),
            kind: match self.kind.as_str() {
                "safe" => RouteKind::Safe,
                "stream" => RouteKind::Stream,
                // Requests of an unknown kind must not be retried.
                _ => RouteKind::Unsafe,
            },
            timeout: milliseconds(self.timeout_ms),
            target: milliseconds(self.target_latency_ms),
            gap_target: self.gap_target_ms.map(milliseconds),
            priority: self.priority,
            targets: split.into_iter().map(target).collect(),
            attempts: self.attempts.max(1),
            public: self.public,
            resumable: self.resumable,
        }
    }
}

impl ServiceBody {
    fn into_service(self) -> ServiceEntry {
        let engine = self.engine.map(|engine| EngineSpec {
            slots: engine.slots,
            kv_cache_tokens: engine.kv_cache_tokens,
            event_tokens: engine.stride.max(1),
            moves: engine.moves,
        });
        let cold_start = milliseconds(self.cold_start_s.unwrap_or_default() * 1000.0);
        let cold_rate = self.cold_per_s.filter(|rate| rate.is_finite() && *rate > 0.0);
        ServiceEntry {
            cold: cold_rate.map(|per_second| ColdRule { start: cold_start, per_second }),
            name: self.name.into(),
            connection_limit: self.connection_limit.unwrap_or(u32::MAX),
            engine,
            scaling: self.scaling.map(ScalingBody::into_bounds),
        }
    }
}

impl ScalingBody {
    fn into_bounds(self) -> ScalingBounds {
        let prices = self.zone_prices.into_iter();
        let mut zone_prices: Vec<(SharedName, f64)> =
            prices.map(|(zone, price)| (zone.into(), price)).collect();
        zone_prices.sort_by(|(left, _), (right, _)| left.cmp(right));
        ScalingBounds {
            minimum: self.minimum,
            maximum: self.maximum,
            boot: milliseconds(self.boot_s * 1000.0),
            spot_price: self.spot_price,
            zone_prices,
        }
    }
}

impl LimitsBody {
    fn into_limits(self) -> CallerLimits {
        CallerLimits {
            head_bytes: self.header_bytes,
            body_bytes: self.body_bytes,
            head_timeout: milliseconds(self.header_timeout_ms),
            idle_timeout: milliseconds(self.idle_timeout_ms),
        }
    }
}

/// Converts milliseconds, which may be fractional; negative and out-of-range values become zero.
fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1000.0).unwrap_or_default()
}
