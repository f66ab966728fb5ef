//! Answers to operators' change requests.

use berylstep_core::config::ConfigError;
use serde::{Deserialize, Serialize};

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// The change is committed and every live member has it in force.
    InForce {
        /// Version of the change.
        version: u64,
        /// Token of the change.
        token: String,
        /// Nodes whose member rows expired without a planned stop before they had the change in
        /// force: they crashed, or are partitioned and may still serve callers with an older version.
        lapsed: Vec<String>,
    },
    /// The change is committed, but some live members are not known to have it in force yet.
    Stored {
        /// Version of the change.
        version: u64,
        /// Token of the change.
        token: String,
        /// Members that have not reported the change in force yet.
        waiting: Vec<String>,
        /// As in [`Self::InForce`].
        lapsed: Vec<String>,
        /// Whether the member rows could be read after the commit; if not, `waiting` may be
        /// incomplete.
        members_read: bool,
    },
    /// Another change was committed first; nothing was stored.
    Conflict {
        /// Version that the change is based on.
        against: u64,
        /// Newest committed version.
        newest: u64,
        /// Token of the change.
        token: String,
    },
    /// The change is invalid; nothing was stored.
    Invalid {
        /// All validation errors.
        faults: Vec<ConfigError>,
    },
    /// Nothing was stored, and nothing will be under this token unless the change is sent again.
    NotStored {
        /// Reason for an operator to read.
        cause: String,
        /// Token of the change.
        token: String,
    },
    /// Whether the change was stored is not known; looking up the token resolves it.
    Unknown {
        /// Reason for an operator to read.
        cause: String,
        /// Token of the change.
        token: String,
    },
    /// The change is valid; it was only checked and not stored.
    Valid {
        /// Version that the change was validated against.
        against: u64,
        /// Effect on each entity in the change.
        effects: Vec<ChangeEffect>,
    },
}

/// Effect of a change on one entity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEffect {
    /// Row key of the entity.
    pub entity: String,
    /// Kind of effect.
    pub effect: EntityEffect,
}

/// Kind of effect on an entity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntityEffect {
    /// The entity is created.
    Create,
    /// The entity's content is replaced.
    Replace,
    /// The entity is unchanged.
    Keep,
    /// The entity is removed.
    Remove,
}

impl ChangeAnswer {
    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::InForce { .. } | Self::Valid { .. } => 200,
            Self::Stored { .. } => 202,
            Self::Invalid { .. } => 400,
            Self::Conflict { .. } => 409,
            Self::NotStored { .. } => 503,
            Self::Unknown { .. } => 504,
        }
    }
}
