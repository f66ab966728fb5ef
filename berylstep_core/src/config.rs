//! Configuration set by operators: its entities, and the table that applies committed revisions.

pub mod contact;
pub mod entity;
pub mod history;
pub mod progress;
pub mod reading;
pub mod references;
pub mod table;

pub use contact::{ConfigContact, CONTACT_LIMIT};
pub use entity::{
    ClassEntity, ConfigChange, ConfigEntity, ConfigRevision, ConfigSnapshot, KeyEntity,
    OrganisationEntity, OrganisationLimits, RouteEntity, RouteMatch, RouteRepeat,
};
pub use history::RevisionHistory;
pub use progress::ConfigProgress;
pub use reading::{ChangeReading, ConfigFault};
pub use table::{ApplyOutcome, ConfigTable};
