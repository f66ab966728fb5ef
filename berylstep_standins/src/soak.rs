//! Randomised soak test: runs gateways as processes, injects faults from outside, and checks the
//! guarantees against what callers, replicas and the store observed. See docs/SOAK.md for usage.

pub mod callers;
pub mod checks;
pub mod plan;
pub mod record;
pub mod replicas;
pub mod site;
