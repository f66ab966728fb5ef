//! Claims of non-idempotent requests: who may send a request, decided from one row per key.
//!
//! A claim is written directly before the request is sent, and its first state is
//! [`ClaimState::Sent`]. A row that is absent, released or expired therefore proves that no request
//! of the key was sent, and any other row means that one may have been.

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;
use crate::refusal::RunState;

/// Time after which a claim no longer protects its key, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// How far a claimed request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request was sent or is about to be.
    Sent,
    /// An upstream answered with this HTTP status.
    Finished(u16),
    /// The request provably never left the node; the key may be claimed again.
    Released,
}

/// A claim as stored in its row (JSON).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Node that claimed.
    pub node: SharedName,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Number of the request within the incarnation.
    pub attempt: u64,
    /// Hash of the request's method, target and body, in hexadecimal digits.
    pub body: SharedName,
    /// How far the request got.
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
    /// Content.
    pub row: ClaimRow,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDenial {
    /// A request with the same key may have been sent or has run.
    Duplicate(RunState),
    /// The key was used with another request.
    KeyReused,
}

/// Whether a key may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key may be claimed by a write that expects this version.
    Free(u64),
    /// The request may not be sent.
    Denied(ClaimDenial),
}

/// Result of one claiming write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimWrite {
    /// The write took effect.
    Committed,
    /// The write had no effect because this is stored instead.
    Conflict(Option<StoredClaim>),
    /// The answer was lost: the write may have taken effect, or may yet.
    Lost,
}

/// What a claimant does next.
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

/// One claimant's progress from the first read to the decision.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    token: String,
    body: SharedName,
    step: ClaimStep,
    expected: u64,
}

/// Decides from the stored row whether a request with the hash `body` may claim its key.
pub fn judge(stored: Option<&StoredClaim>, body: &str, now_ms: u64) -> ClaimVerdict {
    let Some(StoredClaim { version, row, .. }) = stored else { return ClaimVerdict::Free(0) };
    let expired = now_ms.saturating_sub(row.claimed_ms) >= CLAIM_RETENTION_MS;
    if expired || row.state == ClaimState::Released {
        return ClaimVerdict::Free(*version);
    }
    if *row.body != *body {
        return ClaimVerdict::Denied(ClaimDenial::KeyReused);
    }
    let run = match row.state {
        ClaimState::Finished(_) => RunState::Ran,
        ClaimState::Sent | ClaimState::Released => RunState::Unknown,
    };
    ClaimVerdict::Denied(ClaimDenial::Duplicate(run))
}

/// Version that a write which closes the claim of `token` has to expect; `None` where the row
/// belongs to somebody else or was closed.
///
/// `expected` is the version that the claiming write expected: while it still stands, that write may
/// yet take effect, and the closing write takes its place.
pub fn closing_version(stored: Option<&StoredClaim>, token: &str, expected: u64) -> Option<u64> {
    match stored {
        Some(stored) if stored.token == token => Some(stored.version),
        Some(stored) if stored.version == expected => Some(expected),
        None if expected == 0 => Some(0),
        _ => None,
    }
}

impl ClaimAttempt {
    /// Starts with the token of the claiming transaction and the hash of the request.
    pub fn new(token: String, body: SharedName) -> Self {
        Self { token, body, step: ClaimStep::Read, expected: 0 }
    }

    /// What to do next.
    pub fn step(&self) -> ClaimStep {
        self.step
    }

    /// Token that every claiming write of this attempt carries.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Version that the last claiming write expected.
    pub fn expected(&self) -> u64 {
        self.expected
    }

    /// Takes in the row as read.
    pub fn observe_row(&mut self, stored: Option<&StoredClaim>, now_ms: u64) {
        if stored.is_some_and(|stored| stored.token == self.token) {
            self.step = ClaimStep::Send;
            return;
        }
        self.step = match judge(stored, &self.body, now_ms) {
            ClaimVerdict::Free(version) => {
                self.expected = version;
                ClaimStep::Write(version)
            }
            ClaimVerdict::Denied(denial) => ClaimStep::Refuse(denial),
        };
    }

    /// Takes in the result of a claiming write.
    pub fn observe_write(&mut self, result: &ClaimWrite, now_ms: u64) {
        match result {
            ClaimWrite::Committed => self.step = ClaimStep::Send,
            ClaimWrite::Conflict(stored) => self.observe_row(stored.as_ref(), now_ms),
            ClaimWrite::Lost => self.step = ClaimStep::Read,
        }
    }
}
