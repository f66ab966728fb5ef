//! Configuration entities as stored in the table service (JSON).
//!
//! Unknown fields are ignored here, so that nodes of different releases can read the same rows. An
//! operator's change is validated field by field in [`super::parse`].

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;

/// A class of requests with a latency target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassEntity {
    /// Name of the class.
    pub name: SharedName,
    /// Service tier, from 1 (highest) to 3 (lowest).
    pub tier: u8,
    /// Target time from arrival to the first byte of the response, in milliseconds.
    pub latency_ms: u64,
    /// Fraction of requests that should meet the latency target, in (0, 1).
    pub attainment: f64,
    /// Time from arrival after which a request is aborted, in milliseconds.
    pub deadline_ms: u64,
}

/// Limits of an organisation across all nodes; `None` means unlimited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrganisationLimits {
    /// Requests per second.
    pub requests_per_second: Option<u32>,
    /// Output tokens per minute.
    pub tokens_per_minute: Option<u32>,
    /// Concurrent requests.
    pub concurrency: Option<u32>,
}

/// An organisation, the owner of callers' API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationEntity {
    /// Name of the organisation.
    pub name: SharedName,
    /// Limits across all nodes.
    #[serde(default)]
    pub limits: OrganisationLimits,
}

/// A caller's API key, stored only as a hash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyEntity {
    /// Hash of the key: 64 hexadecimal digits, see [`crate::key::KeyHash`].
    pub hash: SharedName,
    /// Organisation that owns the key.
    pub organisation: SharedName,
}

/// Which requests a route matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteMatch {
    /// Requests for this model.
    Model(SharedName),
    /// Requests whose path starts with this prefix.
    Prefix(SharedName),
}

/// Whether requests on a route may be sent to upstreams more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyPolicy {
    /// Requests are idempotent and may be sent again.
    #[default]
    Idempotent,
    /// Requests run at most once; those without an `Idempotency-Key` are sent once, without a
    /// claim.
    SendOnce,
    /// Requests run at most once; those without an `Idempotency-Key` are rejected.
    RequireKey,
}

/// A route from callers to a pool of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntity {
    /// Name of the route.
    pub name: SharedName,
    /// Which requests the route matches.
    #[serde(rename = "match")]
    pub matcher: RouteMatch,
    /// Pool of upstreams that serve the route.
    pub pool: SharedName,
    /// Classes that a request may select; the first is the default.
    pub classes: Vec<SharedName>,
    /// Whether requests are accepted without an API key.
    #[serde(default)]
    pub open: bool,
    /// Whether requests may be sent to upstreams more than once.
    #[serde(default)]
    pub repeat: IdempotencyPolicy,
}

/// A configuration entity of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEntity {
    /// A class of requests.
    Class(ClassEntity),
    /// An organisation.
    Organisation(OrganisationEntity),
    /// A caller's API key.
    Key(KeyEntity),
    /// A route.
    Route(RouteEntity),
}

impl ConfigEntity {
    /// Returns the row key of the entity, without the common prefix `config/entity/`.
    pub fn row_key(&self) -> String {
        match self {
            Self::Class(class) => format!("class/{}", class.name),
            Self::Organisation(organisation) => format!("organisation/{}", organisation.name),
            Self::Key(key) => format!("key/{}", key.hash),
            Self::Route(route) => format!("route/{}", route.name),
        }
    }

    /// Returns the rank of the entity's kind in a snapshot; referenced kinds come first.
    pub fn rank(&self) -> u8 {
        match self {
            Self::Class(_) => 0,
            Self::Organisation(_) => 1,
            Self::Key(_) => 2,
            Self::Route(_) => 3,
        }
    }
}

/// A change to one entity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Creates or replaces an entity.
    Put(ConfigEntity),
    /// Removes the entity with this row key.
    Remove(SharedName),
}

/// The changes of one operator command, applied atomically.
///
/// Each change takes one version number, and nodes advance from [`ConfigRevision::after`] to the
/// last of them in a single step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigRevision {
    /// Version to which the revision applies.
    pub after: u64,
    /// Changes in the order in which they apply.
    pub changes: Vec<ConfigChange>,
}

impl ConfigRevision {
    /// Returns the version after the last change.
    pub fn version(&self) -> u64 {
        self.after + self.changes.len() as u64
    }
}

/// All entities at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the last change included in the snapshot.
    pub version: u64,
    /// Entities; organisations precede their keys.
    pub entities: Vec<ConfigEntity>,
}
