//! Claims on non-idempotent requests: one row per idempotency key decides who may send a request.
//!
//! A claim is written directly before the request is sent, and its first state is
//! [`ClaimState::Sent`]. A row that is absent or released therefore proves that no request of the
//! key was sent, an expired row no longer protects its key, and any other row means that a request
//! may have been sent.

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;
use crate::refusal::RunState;

/// Time after which a claim expires and no longer protects its key, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Progress of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request has been sent or is about to be sent.
    Sent,
    /// An upstream answered with this HTTP status.
    Finished(u16),
    /// The request was provably not sent; the key may be claimed again.
    Released,
}

/// A claim as stored in its row (JSON).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Node that made the claim.
    pub node: SharedName,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Number of the request within the incarnation.
    pub attempt: u64,
    /// Hash of the request's method, target and body, in hexadecimal digits.
    pub body: SharedName,
    /// Progress of the request.
    pub state: ClaimState,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub claimed_ms: u64,
}

/// A claim with the version of its row and the token of the transaction that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// Version of the row.
    pub version: u64,
    /// Token of the transaction that wrote the row.
    pub token: String,
    /// Content of the row.
    pub row: ClaimRow,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDenial {
    /// A request with the same key may have been sent or has run.
    Duplicate(RunState),
    /// The key was used for a different request.
    KeyReused,
}

/// Whether a key may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The key may be claimed by a write that expects this version.
    Free(u64),
    /// The request may not be sent.
    Denied(ClaimDenial),
}

/// Result of a write that claims a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimWrite {
    /// The write took effect.
    Committed,
    /// The write had no effect because the row, given here, had another version.
    Conflict(Option<StoredClaim>),
    /// No reply arrived: the write may have taken effect, or may still do so.
    Lost,
}

/// Next step of a claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Read the row.
    Read,
    /// Write the claim, expecting this version.
    Write(u64),
    /// Send the request.
    Send,
    /// Refuse the request.
    Refuse(ClaimDenial),
}

/// State machine of one claimant, from the first read to the decision.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    token: String,
    request_hash: SharedName,
    step: ClaimStep,
    expected_version: u64,
}

/// Decides from the stored row whether a request with the hash `request_hash` may claim its key.
pub fn evaluate_claim(
    stored: Option<&StoredClaim>,
    request_hash: &str,
    now_ms: u64,
) -> ClaimDecision {
    let Some(StoredClaim { version, row, .. }) = stored else { return ClaimDecision::Free(0) };
    let is_expired = now_ms.saturating_sub(row.claimed_ms) >= CLAIM_RETENTION_MS;
    if is_expired || row.state == ClaimState::Released {
        return ClaimDecision::Free(*version);
    }
    if *row.body != *request_hash {
        return ClaimDecision::Denied(ClaimDenial::KeyReused);
    }
    let run = match row.state {
        ClaimState::Finished(_) => RunState::Ran,
        ClaimState::Sent | ClaimState::Released => RunState::Unknown,
    };
    ClaimDecision::Denied(ClaimDenial::Duplicate(run))
}

/// Returns the version that a write which closes the claim of `token` must expect, or `None` if the
/// row belongs to another claimant or the claim is already closed.
///
/// `expected` is the version that the claiming write expected. While the row still has it, the
/// claiming write may yet take effect; the closing write then replaces it and makes it fail.
pub fn closing_version(stored: Option<&StoredClaim>, token: &str, expected: u64) -> Option<u64> {
    match stored {
        Some(stored) if stored.token == token => Some(stored.version),
        Some(stored) if stored.version == expected => Some(expected),
        None if expected == 0 => Some(0),
        _ => None,
    }
}

impl ClaimAttempt {
    /// Starts an attempt with the token of the claiming transaction and the hash of the request.
    pub fn new(token: String, request_hash: SharedName) -> Self {
        Self { token, request_hash, step: ClaimStep::Read, expected_version: 0 }
    }

    /// Returns the next step.
    pub fn step(&self) -> ClaimStep {
        self.step
    }

    /// Returns the token that every claiming write of this attempt carries.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Returns the version that the last claiming write expected.
    pub fn expected(&self) -> u64 {
        self.expected_version
    }

    /// Determines the next step from the row as read.
    pub fn observe_row(&mut self, stored: Option<&StoredClaim>, now_ms: u64) {
        if stored.is_some_and(|stored| stored.token == self.token) {
            self.step = ClaimStep::Send;
            return;
        }
        self.step = match evaluate_claim(stored, &self.request_hash, now_ms) {
            ClaimDecision::Free(version) => {
                self.expected_version = version;
                ClaimStep::Write(version)
            }
            ClaimDecision::Denied(denial) => ClaimStep::Refuse(denial),
        };
    }

    /// Determines the next step from the result of a claiming write.
    pub fn observe_write(&mut self, result: &ClaimWrite, now_ms: u64) {
        match result {
            ClaimWrite::Committed => self.step = ClaimStep::Send,
            ClaimWrite::Conflict(stored) => self.observe_row(stored.as_ref(), now_ms),
            ClaimWrite::Lost => self.step = ClaimStep::Read,
        }
    }
}
