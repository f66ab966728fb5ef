//! Usage: counting by window, safekeeping of counters and sealing of a window's figures.
//!
//! Counters of one node, incarnation and window only grow, so that two states of them merge by
//! their maxima and a repeated write is harmless.

pub mod counters;
pub mod record;
pub mod seal;

pub use counters::{CounterEntry, UsageCount, UsageCounters, UsageKey};
pub use record::{UsageBuffer, UsageSource, UsageWrite};
pub use seal::{plan_seal, SealPlan, SealedUsage, UsageRow, VersionedUsage};
