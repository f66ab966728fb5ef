//! A randomised fault soak: gateways as processes, faults from outside them, and the promises
//! checked from what callers, replicas and the store saw. docs/SOAK.md tells how to use it.

pub mod callers;
pub mod checks;
pub mod plan;
pub mod record;
pub mod replicas;
pub mod site;
