//! Entities of the configuration, as stored in rows of the table service (JSON).
//!
//! Unknown fields are passed over here, so that nodes of two releases read the same rows; what an
//! operator hands in is checked field by field in [`super::parse`].

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;

/// A class of work with its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassEntity {
    /// Name of the class.
    pub name: SharedName,
    /// Service tier: 1 is the highest, 3 the lowest.
    pub tier: u8,
    /// Target time from arrival to the first byte of the answer, in milliseconds.
    pub latency_ms: u64,
    /// Wanted fraction of requests that meet the latency target, in (0, 1).
    pub attainment: f64,
    /// Time after which a request of this class is given up, in milliseconds from arrival.
    pub deadline_ms: u64,
}

/// Limits of an organisation over all nodes; absent limits do not apply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrganisationLimits {
    /// Requests a second.
    pub requests_per_second: Option<u32>,
    /// Output tokens a minute.
    pub tokens_per_minute: Option<u32>,
    /// Requests in progress at once.
    pub concurrency: Option<u32>,
}

/// An organisation that holds keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationEntity {
    /// Name of the organisation.
    pub name: SharedName,
    /// Limits over all nodes.
    #[serde(default)]
    pub limits: OrganisationLimits,
}

/// A caller's key, held only as a hash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyEntity {
    /// Hash of the key: 64 hexadecimal digits, see [`crate::key::KeyHash`].
    pub hash: SharedName,
    /// Organisation that the key belongs to.
    pub organisation: SharedName,
}

/// What requests a route takes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteMatch {
    /// Model requests that name this model.
    Model(SharedName),
    /// Requests whose path starts with this prefix.
    Prefix(SharedName),
}

/// Whether requests of a route may be sent more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyPolicy {
    /// Requests are idempotent.
    #[default]
    Idempotent,
    /// Requests run at most once; those without an `Idempotency-Key` are sent once, unclaimed.
    SendOnce,
    /// Requests run at most once; those without an `Idempotency-Key` are refused.
    RequireKey,
}

/// A route from callers to a pool of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntity {
    /// Name of the route.
    pub name: SharedName,
    /// What requests the route takes.
    #[serde(rename = "match")]
    pub matcher: RouteMatch,
    /// Pool of upstreams that serve the route.
    pub pool: SharedName,
    /// Classes a request may name; the first is the default.
    pub classes: Vec<SharedName>,
    /// Whether requests need no key.
    #[serde(default)]
    pub open: bool,
    /// Whether requests may be sent more than once.
    #[serde(default)]
    pub repeat: IdempotencyPolicy,
}

/// Any entity of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEntity {
    /// A class of work.
    Class(ClassEntity),
    /// An organisation.
    Organisation(OrganisationEntity),
    /// A caller's key.
    Key(KeyEntity),
    /// A route.
    Route(RouteEntity),
}

impl ConfigEntity {
    /// Row key of the entity below `config/`.
    pub fn row_key(&self) -> String {
        match self {
            Self::Class(class) => format!("class/{}", class.name),
            Self::Organisation(organisation) => format!("organisation/{}", organisation.name),
            Self::Key(key) => format!("key/{}", key.hash),
            Self::Route(route) => format!("route/{}", route.name),
        }
    }

    /// Place of the entity's kind in a snapshot: what is referred to precedes what refers to it.
    pub fn rank(&self) -> u8 {
        match self {
            Self::Class(_) => 0,
            Self::Organisation(_) => 1,
            Self::Key(_) => 2,
            Self::Route(_) => 3,
        }
    }
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Creates or replaces an entity.
    Put(ConfigEntity),
    /// Removes the entity with this row key.
    Remove(SharedName),
}

/// What one operator's change did; takes effect as a whole.
///
/// A change of several entities takes one version number for each, and nodes go from
/// [`ConfigRevision::after`] to the last of them in one step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigRevision {
    /// Version that the revision follows.
    pub after: u64,
    /// Changes in order.
    pub changes: Vec<ConfigChange>,
}

impl ConfigRevision {
    /// Version after the last change.
    pub fn version(&self) -> u64 {
        self.after + self.changes.len() as u64
    }
}

/// All entities at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the last change that the snapshot holds.
    pub version: u64,
    /// Entities; organisations precede their keys.
    pub entities: Vec<ConfigEntity>,
}
