//! Process settings, read from flags and environment variables.

pub mod settings;

pub use settings::{
    NodeSettings, OrderMode, SettingError, SlotPolicy, UnfencedReceivers, UpstreamPrices,
};
