//! Answers to operators' changes.

use berylstep_core::config::ConfigError;
use serde::{Deserialize, Serialize};

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// The change is committed and every live member has it in force.
    InForce {
        /// Version of the change.
        version: u64,
        /// Token of the change.
        token: String,
        /// Nodes whose rows ran out without a planned stop before they had the change in force:
        /// they crashed, or are cut off and may still serve their callers by an older version.
        lapsed: Vec<String>,
    },
    /// The change is committed and will be in force at every node that runs on.
    Stored {
        /// Version of the change.
        version: u64,
        /// Token of the change.
        token: String,
        /// Nodes that have not told yet that they have the change in force.
        waiting: Vec<String>,
        /// Nodes whose rows ran out, as above.
        lapsed: Vec<String>,
        /// Whether the list of nodes could be read after the commit; if not, it may lack some.
        members_read: bool,
    },
    /// Another change was committed first; nothing was stored.
    Conflict {
        /// Version that the change was made against.
        against: u64,
        /// Newest version.
        newest: u64,
        /// Token of the change.
        token: String,
    },
    /// The change has faults; nothing was stored.
    Invalid {
        /// Every fault.
        faults: Vec<ConfigError>,
    },
    /// Nothing was stored, and nothing will be by this token unless it is sent again.
    NotStored {
        /// Cause.
        cause: String,
        /// Token of the change.
        token: String,
    },
    /// Whether the change was stored is not known; asking for the token settles it.
    Unknown {
        /// Cause.
        cause: String,
        /// Token of the change.
        token: String,
    },
    /// The change has no faults and was not stored, since only a check was asked for.
    Valid {
        /// Version that the change was checked against.
        against: u64,
        /// What would change.
        effects: Vec<ChangeEffect>,
    },
}

/// What a change would do to one entity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEffect {
    /// Row key of the entity.
    pub entity: String,
    /// What would happen to it.
    pub effect: EntityEffect,
}

/// What a change does to an entity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntityEffect {
    /// It is new.
    Create,
    /// It is replaced by another content.
    Replace,
    /// It stays as it is.
    Keep,
    /// It goes.
    Remove,
}

impl ChangeAnswer {
    /// HTTP status of the answer.
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
