//! Messages of the native platform's JSON protocol, as docs/PLATFORM.md specifies it.

use std::net::SocketAddr;

use berylstep_core::collections::SharedName;
pub use berylstep_core::placement::UpstreamKind;
use serde::{Deserialize, Serialize};

/// One row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Key of the row.
    pub key: String,
    /// Value, JSON by convention.
    pub value: String,
    /// Number of the transaction that wrote the row, from 1; not reused after the row is removed.
    pub version: u64,
    /// Token of the transaction that wrote the row.
    pub token: String,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWrite {
    /// Key of the row.
    pub key: String,
    /// Required version of the row; 0 requires that the row is absent, `None` accepts any version.
    pub expect: Option<u64>,
    /// New value; `None` removes the row.
    pub value: Option<String>,
}

/// Writes that are applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Unique token, stored with the written rows; resolves the outcome if the answer is lost.
    pub token: String,
    /// Writes, at most one per key.
    pub writes: Vec<TableWrite>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Whether the writes were applied.
    pub committed: bool,
    /// Version of the written rows; 0 where nothing was written.
    #[serde(default)]
    pub version: u64,
    /// Rows whose versions were not as expected.
    #[serde(default)]
    pub conflicts: Vec<RowConflict>,
}

/// Conflict on one row: its version was not as expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowConflict {
    /// Key of the row.
    pub key: String,
    /// Current row; `None` if it is absent.
    pub row: Option<StoredRow>,
}

/// Answer to reading one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowResult {
    /// The row; `None` if it is absent.
    pub row: Option<StoredRow>,
}

/// Answer to a scan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanResult {
    /// Rows in key order.
    pub rows: Vec<StoredRow>,
}

/// Role of a VM.
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

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Unique identifier, never reused.
    pub id: SharedName,
    /// Address on which the VM serves requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SharedName,
    /// Role of the VM.
    pub role: VmRole,
    /// Pool that an upstream VM serves; empty for entry VMs.
    #[serde(default = "empty_name")]
    pub pool: SharedName,
    /// Kind of an upstream VM; dependable by default.
    #[serde(default = "dependable")]
    pub kind: UpstreamKind,
    /// Maximum number of concurrent requests of an upstream VM.
    #[serde(default)]
    pub slots: u32,
    /// Lifecycle state of the VM.
    pub state: VmState,
}

/// An order for upstream VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// Unique identifier; makes the order idempotent.
    pub order: String,
    /// Fencing token of the zone's lease, under which the order is placed.
    pub fencing: u64,
    /// Node and incarnation that place the order.
    pub sender: String,
    /// Availability zone.
    pub zone: SharedName,
    /// Pool to serve.
    pub pool: SharedName,
    /// Kind of VM.
    pub kind: UpstreamKind,
    /// Wanted total of VMs of this zone, pool and kind, running ones included.
    pub count: u32,
}

/// The platform's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReceipt {
    /// Identifier of the order.
    pub order: String,
    /// Granted total of VMs; less than the wanted total if a limit applies.
    pub granted: u32,
}

/// Usage of one organisation in one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Organisation.
    pub organisation: SharedName,
    /// Class.
    pub class: SharedName,
    /// Answered requests.
    pub requests: u64,
    /// Input tokens of these requests.
    pub input_tokens: u64,
    /// Output tokens of these requests.
    pub output_tokens: u64,
    /// Requests, included in `requests`, that belong to earlier windows that were already sealed.
    pub late_requests: u64,
}

/// Usage of one window after it was sealed: its totals no longer change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Start of the window, in milliseconds since the Unix epoch.
    pub window: u64,
    /// Fencing token of the lease under which the report is sent.
    pub fencing: u64,
    /// Node and incarnation that send the report.
    pub sender: String,
    /// Entries, sorted by organisation and class.
    pub figures: Vec<UsageEntry>,
}

fn empty_name() -> SharedName {
    SharedName::from("")
}

fn dependable() -> UpstreamKind {
    UpstreamKind::Dependable
}
