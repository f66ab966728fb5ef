//! Usage accounting: counters per window, their buffering, and sealing of a window's totals.
//!
//! The counters of one node, incarnation and window only grow. Two states of them therefore merge
//! by taking the maximum of each counter, and a repeated write is harmless.

pub mod buffer;
pub mod counters;
pub mod seal;

pub use buffer::{UsageBuffer, UsageSource, UsageWrite};
pub use counters::{CounterEntry, UsageCount, UsageCounters, UsageKey};
pub use seal::{plan_seal, SealPlan, SealedUsage, UsageRow, VersionedUsage};
