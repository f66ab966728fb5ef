//! Decisions of the berylstep router.
//!
//! Everything here is free of I/O: entities stand in tables, systems run over them each tick, and
//! the current time is an argument.

pub mod arbiter;
pub mod burn;
pub mod claim;
pub mod collections;
pub mod config;
pub mod estimate;
pub mod fleet;
pub mod key;
pub mod lease;
pub mod limits;
pub mod member;
pub mod order;
pub mod placement;
pub mod refusal;
pub mod rendezvous;
pub mod retry;
pub mod upstream;
pub mod usage;
