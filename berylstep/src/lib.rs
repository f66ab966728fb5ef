//! The berylstep process: command line, settings, network and storage around the decisions of
//! `berylstep_core`.

pub mod body_buffer;
pub mod burn;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod config;
pub mod connections;
pub mod drain;
pub mod duty;
pub mod entry;
pub mod gateway;
pub mod instruments;
pub mod lease;
pub mod logging;
pub mod member;
pub mod metrics;
pub mod native;
pub mod node;
pub mod observer;
pub mod operator;
pub mod orders;
pub mod peer;
pub mod platform;
pub mod shutdown;
pub mod slots;
pub mod store;
pub mod tail;
pub mod upstream;
pub mod usage;
