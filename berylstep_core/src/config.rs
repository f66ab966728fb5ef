//! Operators' configuration: entities, and the table that applies committed changes in order.

pub mod entity;
pub mod table;

pub use entity::{
    ClassEntity, ConfigChange, ConfigEntity, KeyEntity, OrganisationEntity, OrganisationLimits,
    RouteEntity, RouteMatch, RouteRepeat,
};
pub use table::{ApplyOutcome, ConfigTable};
