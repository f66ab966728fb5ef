//! Measurements: the path's cost, the policy under load and faults, and slopes for capacity.

pub mod figures;
pub mod machine;
pub mod path;
pub mod probe;
pub mod streams;
pub mod trial;
