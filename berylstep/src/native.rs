//! Interfaces to a native platform: table service, object store, VM list, orders and usage reports.
//!
//! [`http::HttpPlatform`] implements the traits over the JSON protocol of docs/PLATFORM.md; support
//! for another platform is another implementation.

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
    /// Whether the receiver rejected the call because it has seen a newer fencing token.
    pub fn is_fenced(&self) -> bool {
        matches!(self, Self::Rejected(FENCED_STATUS, _))
    }

    /// Whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::AnswerLost(_))
    }
}

/// Status with which a receiver rejects a stale fencing token.
const FENCED_STATUS: u16 = 409;

impl std::error::Error for PlatformError {}

/// Boxed future of a platform call.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// Key-value table whose rows have versions and change by conditional transactions.
pub trait TableService: Send + Sync {
    /// Reads one row; `None` if it is absent.
    fn row<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<StoredRow>>;

    /// Reads up to `limit` rows in key order, from those whose keys start with `prefix` and sort
    /// after `after`.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> PlatformFuture<'a, Vec<StoredRow>>;

    /// Applies all writes of a transaction, or none if a row version is not as expected.
    fn transact<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> PlatformFuture<'a, TransactionResult>;
}

/// Store of named blobs.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn get<'a>(&'a self, name: &'a str) -> PlatformFuture<'a, Option<Vec<u8>>>;

    /// Creates or replaces an object.
    fn put<'a>(&'a self, name: &'a str, content: Vec<u8>) -> PlatformFuture<'a, ()>;
}

/// List of VMs, which lags behind their real state.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn vms(&self) -> PlatformFuture<'_, Vec<VmEntry>>;
}

/// Orders for upstream VMs, placed by availability zone.
pub trait OrderService: Send + Sync {
    /// Places an order if `terms` permit it; idempotent by order identifier.
    fn place<'a>(
        &'a self,
        order: &'a UpstreamOrder,
        terms: SendTerms<'a>,
    ) -> PlatformFuture<'a, OrderReceipt>;

    /// Looks up an order by its identifier; `None` if it was never placed.
    fn find<'a>(&'a self, order: &'a str) -> PlatformFuture<'a, Option<OrderReceipt>>;
}

/// Receiver of usage reports by window.
pub trait UsageService: Send + Sync {
    /// Reports the usage of one window if `terms` permit it.
    fn report<'a>(
        &'a self,
        report: &'a UsageReport,
        terms: SendTerms<'a>,
    ) -> PlatformFuture<'a, ()>;
}

/// All interfaces of the platform.
pub trait Platform: TableService + ObjectStore + VmList + OrderService + UsageService {}

impl<T: TableService + ObjectStore + VmList + OrderService + UsageService> Platform for T {}
