//! Settings of the process, from flags and environment variables.

pub mod settings;

pub use settings::{
    NodeSettings, OrderMode, ReplicaPrices, SettingError, SlotPolicy, UnfencedReceivers,
};
