//! Operators' configuration: entities, and the table that applies committed changes in order.

pub mod entity;
pub mod freshness;
pub mod history;
pub mod lag;
pub mod parse;
pub mod references;
pub mod table;

pub use entity::{
    ClassEntity, ConfigChange, ConfigEntity, ConfigRevision, ConfigSnapshot, IdempotencyPolicy,
    KeyEntity, OrganisationEntity, OrganisationLimits, RouteEntity, RouteMatch,
};
pub use freshness::{ConfigFreshness, MAX_CONTACT_AGE};
pub use history::RevisionHistory;
pub use lag::ConfigLag;
pub use parse::{ConfigError, ParsedChange};
pub use table::{ApplyOutcome, ConfigTable};
