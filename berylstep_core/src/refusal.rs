//! Reasons for refusing a request, and whether it may have run on an upstream.

use std::time::Duration;

/// Whether an upstream ran a refused request.
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
    /// Returns the value of the `berylstep-run` header.
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
    /// The queue is full and the request has the lowest rank in it.
    QueueFull,
    /// The deadline cannot be met, or passed while the request was queued.
    Deadline,
    /// No upstream of the pool is available.
    NoUpstream,
    /// The node has lost its connections to the table service and to all peers.
    Isolated,
    /// A non-idempotent request cannot be claimed because the table service is unavailable.
    StoreDown,
    /// A request with the same idempotency key is in progress or has already been sent.
    Duplicate,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// The upstream failed before or while answering.
    UpstreamFailed,
    /// The node is shutting down.
    Stopping,
}

impl RefusalReason {
    /// All reasons, in order of declaration.
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

    /// Returns the value of the `code` field of an error body.
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

    /// Returns the HTTP status code.
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

/// Final refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether an upstream ran the request.
    pub run: RunState,
    /// Delay after which a retry may succeed; `None` if a retry can't help.
    pub retry_after: Option<Duration>,
    /// Human-readable explanation, the `message` field of an error body.
    pub message: String,
}

impl RequestRefusal {
    /// Creates the refusal of a request of which no part can have reached an upstream.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self { reason, run: RunState::NotRun, retry_after: None, message: message.into() }
    }

    /// Creates the refusal of a request of which a part may have reached an upstream.
    pub fn unknown(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self { reason, run: RunState::Unknown, retry_after: None, message: message.into() }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
