//! Claims that keep non-idempotent requests from running twice, stored in the table service.
//!
//! A claim is a row that is written before the request is sent; there is one for each idempotency
//! key of an organisation and route.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::claim::{
    closing_version, ClaimAttempt, ClaimDenial, ClaimRow, ClaimState, ClaimStep, ClaimWrite,
    StoredClaim,
};
use berylstep_core::collections::SharedName;
use berylstep_core::refusal::{RefusalReason, RequestRefusal, RunState};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::native::{PlatformError, StoredRow, TableTransaction, TableWrite};
use crate::node::{InFlightGuard, NodeContext};
use crate::store;

pub mod sweep;

/// Key prefix of claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// Silence after which the table service is considered down and is not called.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(2_500);

/// Timeout for checking or acquiring a claim.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Failed reads that are tolerated while a claim is acquired.
const MAX_FAILED_READS: u32 = 2;

/// Timeout for storing the outcome of a claimed request, retries included.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between attempts to store an outcome.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// `Retry-After` of requests that are refused because the table service is down.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Identifies a request and its retries.
#[derive(Clone, Debug)]
pub struct ClaimKey {
    row_key: String,
    request_hash: SharedName,
}

/// Parts of a request from which its claim key is derived.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSubject<'a> {
    /// Organisation that made the request; empty on routes without authentication.
    pub organisation: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Value of the `Idempotency-Key` header.
    pub key: &'a str,
    /// Method, path and query, which must be the same in a retry.
    pub target: &'a str,
    /// Body of the request, which must be the same in a retry.
    pub body: &'a [u8],
}

impl ClaimKey {
    /// Derives the row key and the request hash of a claim.
    ///
    /// The idempotency key is stored only as an HMAC under the site's secret.
    pub fn new(node: &NodeContext, subject: ClaimSubject<'_>) -> Self {
        let secret = &node.settings.site_secret;
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any length");
        for part in [subject.organisation, subject.route, subject.key] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        let key = hex::encode(mac.finalize().into_bytes());
        let mut hasher = Sha256::new();
        hasher.update((subject.target.len() as u64).to_be_bytes());
        hasher.update(subject.target.as_bytes());
        hasher.update(subject.body);
        Self {
            row_key: format!("{CLAIM_PREFIX}{}/{}/{key}", subject.organisation, subject.route),
            request_hash: hex::encode(hasher.finalize()).into(),
        }
    }
}

/// A claim held by this node.
///
/// Dropping the guard releases the idempotency key, unless [`ClaimGuard::record_sent`] or
/// [`ClaimGuard::finish`] was called.
pub struct ClaimGuard {
    node: Arc<NodeContext>,
    key: ClaimKey,
    attempt: ClaimAttempt,
    sent: bool,
}

impl ClaimGuard {
    /// Records that the request is about to be sent, so that dropping the guard keeps the claim.
    pub fn record_sent(&mut self) {
        self.sent = true;
    }

    /// Stores in the background that an upstream responded with the HTTP `status`.
    pub fn finish(mut self, status: u16) {
        self.sent = true;
        self.close_in_background(ClaimState::Finished(status));
    }

    fn close_in_background(&self, state: ClaimState) {
        let in_flight = InFlightGuard::new(self.node.clone());
        let (node, key) = (self.node.clone(), self.key.clone());
        let attempt = self.attempt.clone();
        let close_task = async move {
            let _in_flight = in_flight;
            close(&node, &key, &attempt, state).await;
        };
        smol::spawn(close_task).detach();
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.sent {
            self.close_in_background(ClaimState::Released);
        }
    }
}

/// Checks, before a request is queued, whether its idempotency key is already claimed.
///
/// Returns the attempt to pass to [`acquire`].
///
/// # Errors
///
/// Returns a refusal if the key is claimed or the table service is unavailable.
pub async fn check(
    node: &Arc<NodeContext>,
    key: &ClaimKey,
) -> Result<ClaimAttempt, RequestRefusal> {
    let read_call = read(node, key);
    let stored = match node.clock.timeout(DECISION_TIMEOUT, fail_fast(node, read_call)).await {
        Some(stored) => stored?,
        None => return Err(store_down_refusal("the table service is too slow")),
    };
    let mut attempt = ClaimAttempt::new(store::token(node), key.request_hash.clone());
    attempt.observe_row(stored.as_ref(), node.clock.unix_ms());
    match attempt.step() {
        ClaimStep::Refuse(denial) => Err(denial_refusal(denial)),
        ClaimStep::Read | ClaimStep::Write(_) | ClaimStep::Send => Ok(attempt),
    }
}

/// Acquires the claim; must be called immediately before the request is sent.
///
/// # Errors
///
/// Returns a refusal if another request holds the key or the table service is unavailable.
pub async fn acquire(
    node: &Arc<NodeContext>,
    key: &ClaimKey,
    attempt: ClaimAttempt,
) -> Result<ClaimGuard, RequestRefusal> {
    let mut guard = ClaimGuard { node: node.clone(), key: key.clone(), attempt, sent: false };
    let decision = decide(node, key, &mut guard.attempt);
    match node.clock.timeout(DECISION_TIMEOUT, decision).await {
        Some(Ok(Some(denial))) => {
            // The row belongs to another request, so there is nothing to release.
            guard.sent = true;
            Err(denial_refusal(denial))
        }
        Some(Ok(None)) => Ok(guard),
        // Dropping the guard releases the claim, since an unanswered write may still take effect.
        Some(Err(err)) => Err(store_down_refusal(&err.to_string())),
        None => Err(store_down_refusal("the claim could not be settled in time")),
    }
}

/// Reads and writes the claim row until the key is claimed or the claim is denied.
///
/// Returns `None` once the key is claimed, otherwise the reason why the request must not be sent.
async fn decide(
    node: &NodeContext,
    key: &ClaimKey,
    attempt: &mut ClaimAttempt,
) -> Result<Option<ClaimDenial>, PlatformError> {
    let mut failed_reads = 0;
    loop {
        let now_ms = node.clock.unix_ms();
        match attempt.step() {
            ClaimStep::Read => match read(node, key).await {
                Ok(stored) => attempt.observe_row(stored.as_ref(), now_ms),
                Err(err) if failed_reads >= MAX_FAILED_READS => return Err(err),
                Err(_) => {
                    failed_reads += 1;
                    node.clock.sleep(READ_RETRY_DELAY).await;
                }
            },
            ClaimStep::Write(expect) => {
                let row = claim_row(node, key, ClaimState::Sent);
                let token = attempt.token().to_owned();
                let result = write(node, &key.row_key, token, expect, &row).await;
                attempt.observe_write(&result, now_ms);
            }
            ClaimStep::Send => return Ok(None),
            ClaimStep::Refuse(denial) => return Ok(Some(denial)),
        }
    }
}

/// Awaits a call to the table service, or fails fast if the service is considered down.
async fn fail_fast<T>(
    node: &NodeContext,
    call: impl std::future::Future<Output = Result<T, PlatformError>>,
) -> Result<T, RequestRefusal> {
    if node.store_age().is_none_or(|age| age > MAX_STORE_SILENCE) {
        return Err(store_down_refusal("the table service has not answered for a while"));
    }
    call.await.map_err(|err| store_down_refusal(&err.to_string()))
}

/// Stores the outcome of a claimed request, with retries until [`CLOSE_TIMEOUT`] has passed.
async fn close(node: &NodeContext, key: &ClaimKey, attempt: &ClaimAttempt, state: ClaimState) {
    let deadline = node.clock.now() + CLOSE_TIMEOUT;
    while node.clock.now() < deadline {
        if try_close(node, key, attempt, state).await {
            return;
        }
        node.clock.sleep(CLOSE_RETRY_DELAY).await;
    }
    log::warn!(
        "outcome of a claimed request could not be stored: row={} state={state:?}",
        key.row_key
    );
}

/// Attempts once to store an outcome; returns whether the row needs no further write.
async fn try_close(
    node: &NodeContext,
    key: &ClaimKey,
    attempt: &ClaimAttempt,
    state: ClaimState,
) -> bool {
    let Ok(stored) = read(node, key).await else { return false };
    let version = closing_version(stored.as_ref(), attempt.token(), attempt.expected());
    let Some(version) = version else { return true };
    let row = claim_row(node, key, state);
    let result = write(node, &key.row_key, store::token(node), version, &row).await;
    result == ClaimWrite::Committed
}

async fn read(node: &NodeContext, key: &ClaimKey) -> Result<Option<StoredClaim>, PlatformError> {
    let sent_at = node.clock.now();
    let row = node.platform.row(&key.row_key).await?;
    node.record_store_response_at(sent_at);
    Ok(row.map(stored_claim))
}

async fn write(
    node: &NodeContext,
    row_key: &str,
    token: String,
    expect: u64,
    row: &ClaimRow,
) -> ClaimWrite {
    let value = serde_json::to_string(row).expect("rows are valid JSON");
    let write = TableWrite { key: row_key.to_owned(), expect: Some(expect), value: Some(value) };
    let transaction = TableTransaction { token, writes: vec![write] };
    match node.platform.transact(&transaction).await {
        Ok(result) if result.committed => ClaimWrite::Committed,
        Ok(result) => {
            let mut rows = result.conflicts.into_iter().filter_map(|conflict| conflict.row);
            ClaimWrite::Conflict(rows.next().map(stored_claim))
        }
        Err(err) => {
            log::debug!("outcome of a claim write is unknown: row={row_key} error={err}");
            ClaimWrite::Lost
        }
    }
}

fn claim_row(node: &NodeContext, key: &ClaimKey, state: ClaimState) -> ClaimRow {
    ClaimRow {
        node: node.settings.node.clone(),
        incarnation: node.incarnation(),
        attempt: node.next_request_number(),
        body: key.request_hash.clone(),
        state,
        claimed_ms: node.clock.unix_ms(),
    }
}

/// Parses a claim row.
///
/// A malformed row denies its key, as if a request had been sent.
fn stored_claim(row: StoredRow) -> StoredClaim {
    let parsed = serde_json::from_str(&row.value).unwrap_or_else(|err| {
        log::error!("claim row is malformed: key={} error={err}", row.key);
        ClaimRow {
            node: "".into(),
            incarnation: 0,
            attempt: 0,
            body: "".into(),
            state: ClaimState::Sent,
            claimed_ms: u64::MAX,
        }
    });
    StoredClaim { version: row.version, token: row.token, row: parsed }
}

fn denial_refusal(denial: ClaimDenial) -> RequestRefusal {
    match denial {
        ClaimDenial::KeyReused => {
            let message = "the Idempotency-Key was used with another request";
            RequestRefusal::not_run(RefusalReason::KeyReused, message)
        }
        ClaimDenial::Duplicate(run) => {
            let message = match run {
                RunState::Ran => "a request with this Idempotency-Key has run",
                RunState::Unknown | RunState::NotRun => {
                    "a request with this Idempotency-Key was sent and may have run"
                }
            };
            RequestRefusal { run, ..RequestRefusal::unknown(RefusalReason::Duplicate, message) }
        }
    }
}

fn store_down_refusal(cause: &str) -> RequestRefusal {
    let message = format!("the request cannot be claimed: {cause}");
    let refusal = RequestRefusal::not_run(RefusalReason::StoreDown, message);
    refusal.retry_after(STORE_RETRY_AFTER)
}
