//! Decision logic of the berylstep router.
//!
//! The crate performs no I/O: state is held in tables, functions over them run on each tick, and
//! the current time is passed as an argument.

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
