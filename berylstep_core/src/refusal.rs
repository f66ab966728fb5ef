//! Refusals and what they say about execution.

use std::time::Duration;

/// What a refusal says about whether an upstream ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// No byte of any attempt can have reached an upstream.
    NotRun,
    /// An upstream may or may not have run the request.
    Unknown,
    /// An upstream ran the request.
    Ran,
}

impl RunState {
    /// Value of the `berylstep-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The key is missing, unknown or withdrawn.
    BadKey,
    /// The organisation may not use the requested class.
    ClassNotAllowed,
    /// No route serves the path or model.
    NoRoute,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The organisation is over one of its limits.
    OverLimit,
    /// The queue is full and the request has the lowest claim to a place in it.
    QueueFull,
    /// The deadline cannot be met, or passed while the request was queued.
    Deadline,
    /// No upstream of the pool is available.
    NoUpstream,
    /// The node has lost contact with the table service and with all peers.
    Isolated,
    /// A non-idempotent request cannot be claimed because the table service is unavailable.
    StoreDown,
    /// A request with the same idempotency key is in progress or has been sent.
    Duplicate,
    /// The idempotency key was used with another request.
    KeyReused,
    /// The upstream failed before or during its answer.
    UpstreamFailed,
    /// The node is stopping.
    Stopping,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 15] = [
        Self::BadRequest,
        Self::BadKey,
        Self::ClassNotAllowed,
        Self::NoRoute,
        Self::BodyTooLarge,
        Self::OverLimit,
        Self::QueueFull,
        Self::Deadline,
        Self::NoUpstream,
        Self::Isolated,
        Self::StoreDown,
        Self::Duplicate,
        Self::KeyReused,
        Self::UpstreamFailed,
        Self::Stopping,
    ];

    /// Machine-readable code, the `code` field of an error body.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BadKey => "invalid_api_key",
            Self::ClassNotAllowed => "class_not_allowed",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::OverLimit => "over_limit",
            Self::QueueFull => "queue_full",
            Self::Deadline => "deadline",
            Self::NoUpstream => "no_upstream",
            Self::Isolated => "isolated",
            Self::StoreDown => "store_down",
            Self::Duplicate => "duplicate",
            Self::KeyReused => "idempotency_key_reused",
            Self::UpstreamFailed => "upstream_failed",
            Self::Stopping => "stopping",
        }
    }

    /// HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::BadKey => 401,
            Self::ClassNotAllowed => 403,
            Self::NoRoute => 404,
            Self::Duplicate => 409,
            Self::BodyTooLarge => 413,
            Self::KeyReused => 422,
            Self::OverLimit => 429,
            Self::UpstreamFailed => 502,
            Self::QueueFull
            | Self::Deadline
            | Self::NoUpstream
            | Self::Isolated
            | Self::StoreDown
            | Self::Stopping => 503,
        }
    }
}

/// A request's final refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// What is known about execution.
    pub run: RunState,
    /// When to come back, if coming back can help.
    pub retry_after: Option<Duration>,
    /// Explanation for people.
    pub message: String,
}

impl RequestRefusal {
    /// Refuses a request that no upstream can have seen.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self { reason, run: RunState::NotRun, retry_after: None, message: message.into() }
    }

    /// Refuses a request of which an upstream may have seen a part.
    pub fn unknown(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self { reason, run: RunState::Unknown, retry_after: None, message: message.into() }
    }

    /// Adds the time to come back.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
