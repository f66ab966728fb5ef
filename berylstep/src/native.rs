//! Interfaces of a native platform: table service, object store, VM list, orders and usage reports.
//!
//! The traits are the edge of the process. [`http::HttpPlatform`] implements them over the JSON
//! protocol of docs/PLATFORM.md; another platform is fitted by writing another implementation.

pub mod http;
pub mod types;

use std::future::Future;
use std::pin::Pin;

use berylstep_http::SendTerms;
use displaydoc::Display;

pub use types::{
    OrderReceipt, StoredRow, TableTransaction, TableWrite, TransactionResult, UpstreamKind,
    UpstreamOrder, UsageEntry, UsageReport, VmEntry, VmRole, VmState,
};

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlatformError {
    /// platform cannot be reached: {0}
    Unreachable(String),
    /// platform did not answer, the call may have taken effect: {0}
    AnswerLost(String),
    /// platform rejected the call with status {0}: {1}
    Rejected(u16, String),
    /// lease does not permit the call, nothing complete was sent
    NotPermitted,
}

impl PlatformError {
    /// Whether the receiver has seen a newer fencing number.
    pub fn is_fenced(&self) -> bool {
        matches!(self, Self::Rejected(FENCED_OFF, _))
    }

    /// Whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::AnswerLost(_))
    }
}

/// Status with which a receiver turns away an old fencing number.
const FENCED_OFF: u16 = 409;

impl std::error::Error for PlatformError {}

/// Future of a call to the platform.
pub type PlatformCall<'a, T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// Rows with versions, changed by conditional transactions.
pub trait TableService: Send + Sync {
    /// Reads one row.
    fn row<'a>(&'a self, key: &'a str) -> PlatformCall<'a, Option<StoredRow>>;

    /// Reads up to `limit` rows with keys that start with `prefix` and follow `after`, in order.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> PlatformCall<'a, Vec<StoredRow>>;

    /// Applies all writes or none.
    fn transact<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> PlatformCall<'a, TransactionResult>;
}

/// Named blobs.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get<'a>(&'a self, name: &'a str) -> PlatformCall<'a, Option<Vec<u8>>>;

    /// Creates or replaces an object.
    fn put<'a>(&'a self, name: &'a str, content: Vec<u8>) -> PlatformCall<'a, ()>;
}

/// The lagging list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the list.
    fn vms(&self) -> PlatformCall<'_, Vec<VmEntry>>;
}

/// Orders of upstreams by availability zone.
pub trait OrderDesk: Send + Sync {
    /// Places an order, where `terms` permit it; the same order identifier has effect once.
    fn place<'a>(
        &'a self,
        order: &'a UpstreamOrder,
        terms: SendTerms<'a>,
    ) -> PlatformCall<'a, OrderReceipt>;

    /// Looks an order up by its identifier.
    fn find<'a>(&'a self, order: &'a str) -> PlatformCall<'a, Option<OrderReceipt>>;
}

/// Usage reports by window.
pub trait UsageDesk: Send + Sync {
    /// Reports the figures of one window, where `terms` permit it.
    fn report<'a>(&'a self, report: &'a UsageReport, terms: SendTerms<'a>) -> PlatformCall<'a, ()>;
}

/// All interfaces of the platform.
pub trait Platform: TableService + ObjectStore + VmList + OrderDesk + UsageDesk {}

impl<T: TableService + ObjectStore + VmList + OrderDesk + UsageDesk> Platform for T {}
