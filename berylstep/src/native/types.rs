//! Messages of the platform's JSON protocol; docs/PLATFORM.md describes them.

use std::net::SocketAddr;

use berylstep_core::collections::SharedName;
pub use berylstep_core::placement::UpstreamKind;
use serde::{Deserialize, Serialize};

/// One row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Key of the row.
    pub key: String,
    /// Content, JSON by convention.
    pub value: String,
    /// Number of the transaction that wrote the row, from 1; never reused, not even after a removal.
    pub version: u64,
    /// Token of the transaction that wrote the row.
    pub token: String,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWrite {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 means that it must be absent, `None` that any will do.
    pub expect: Option<u64>,
    /// New content; `None` removes the row.
    pub value: Option<String>,
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Unique token, by which a lost answer is settled.
    pub token: String,
    /// Writes, at most one for a key.
    pub writes: Vec<TableWrite>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Whether the writes took effect.
    pub committed: bool,
    /// Version of the written rows; 0 where nothing was written.
    #[serde(default)]
    pub version: u64,
    /// Keys whose versions were not as expected, with their present rows.
    #[serde(default)]
    pub conflicts: Vec<RowConflict>,
}

/// A row whose version was not as expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowConflict {
    /// Key of the row.
    pub key: String,
    /// Present row.
    pub row: Option<StoredRow>,
}

/// Result of reading one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowResult {
    /// The row, if present.
    pub row: Option<StoredRow>,
}

/// Result of reading several rows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanResult {
    /// Rows in key order.
    pub rows: Vec<StoredRow>,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs `berylstep serve`.
    Entry,
    /// Runs a model engine.
    Engine,
    /// Runs a plain service.
    Service,
}

/// Whether a VM goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Identifier, never reused.
    pub id: SharedName,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SharedName,
    /// What the VM is for.
    pub role: VmRole,
    /// Pool that an upstream VM serves; empty for entry VMs.
    #[serde(default = "empty_name")]
    pub pool: SharedName,
    /// Kind of an upstream VM.
    #[serde(default = "dependable")]
    pub kind: UpstreamKind,
    /// Requests that an upstream serves at once.
    #[serde(default)]
    pub slots: u32,
    /// Whether the VM goes on.
    pub state: VmState,
}

/// An order for upstream VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// Unique identifier; the same identifier has effect once.
    pub order: String,
    /// Fencing number of the zone's lease, under which the order is placed.
    pub fencing: u64,
    /// Node and incarnation that place the order.
    pub sender: String,
    /// Availability zone.
    pub zone: SharedName,
    /// Pool to serve.
    pub pool: SharedName,
    /// Kind of VM.
    pub kind: UpstreamKind,
    /// Wanted number of VMs in this zone, pool and kind, counting those that run.
    pub count: u32,
}

/// What the platform made of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReceipt {
    /// Identifier of the order.
    pub order: String,
    /// Number of VMs granted in place of the wanted one; lower where a limit applies.
    pub granted: u32,
}

/// Usage of one organisation in one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Organisation.
    pub organisation: SharedName,
    /// Class.
    pub class: SharedName,
    /// Requests answered.
    pub requests: u64,
    /// Input tokens.
    pub input_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
    /// Part of `requests` that belongs to earlier, already sealed windows.
    pub late_requests: u64,
}

/// Sealed figures of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Start of the window, in milliseconds since the Unix epoch.
    pub window: u64,
    /// Fencing number of the lease under which the report is sent.
    pub fencing: u64,
    /// Node and incarnation that send the report.
    pub sender: String,
    /// Figures by organisation and class, in that order.
    pub figures: Vec<UsageEntry>,
}

fn empty_name() -> SharedName {
    SharedName::from("")
}

fn dependable() -> UpstreamKind {
    UpstreamKind::Dependable
}
