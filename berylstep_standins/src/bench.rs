//! Benchmarks: overhead of the request path, slot policy under load and faults, and cost per entity
//! for capacity planning.

pub mod figures;
pub mod load;
pub mod machine;
pub mod messages;
pub mod path;
pub mod policy;
pub mod probe;
pub mod score;
pub mod slopes;
pub mod state;
pub mod streams;
pub mod trace;
pub mod trial;
