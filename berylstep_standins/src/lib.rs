//! Lightweight stand-ins for the systems around berylstep, for tests, benchmarks and demos.

pub mod bench;
pub mod client;
pub mod engine;
pub mod fleet;
pub mod platform;
pub mod process;
pub mod record;
pub mod relay;
pub mod serve;
pub mod service;
pub mod site;
pub mod soak;
pub mod trial;
