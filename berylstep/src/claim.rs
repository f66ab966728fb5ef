//! Claims of non-idempotent requests in the table service.

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

/// Prefix of the rows of claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// Silence of the table service after which it counts as down without being asked.
const STORE_SILENCE: Duration = Duration::from_millis(2_500);

/// Longest time for a request to learn from the table service whether it may be sent.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two tries after a lost answer.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// Reads that may fail while a lost answer is settled.
const MAX_FAILED_READS: u32 = 2;

/// Longest time for which the outcome of a claimed request is offered to the table service.
const CLOSE_LIMIT: Duration = Duration::from_secs(60);

/// Time between two tries to write an outcome.
const CLOSE_INTERVAL: Duration = Duration::from_millis(250);

/// When a caller may come back after an outage of the table service.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What identifies one request and its repeats.
#[derive(Clone, Debug)]
pub struct ClaimKey {
    row_key: String,
    body: SharedName,
}

/// Parts of a request that a claim covers.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSubject<'a> {
    /// Organisation; empty on open routes.
    pub organisation: &'a str,
    /// Route.
    pub route: &'a str,
    /// Idempotency key as the caller sent it.
    pub key: &'a str,
    /// Method and target, which a repeat has in common with the first request.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl ClaimKey {
    /// Derives the row of a claim; the key is stored only as a hash.
    pub fn new(node: &NodeContext, subject: ClaimSubject<'_>) -> Self {
        let secret = &node.settings.site_secret;
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any length");
        for part in [subject.organisation, subject.route, subject.key] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        let key = hex::encode(mac.finalize().into_bytes());
        let mut body = Sha256::new();
        body.update((subject.target.len() as u64).to_be_bytes());
        body.update(subject.target.as_bytes());
        body.update(subject.body);
        Self {
            row_key: format!("{CLAIM_PREFIX}{}/{}/{key}", subject.organisation, subject.route),
            body: hex::encode(body.finalize()).into(),
        }
    }
}

/// A claim that this node holds.
///
/// Dropping it releases the key, unless [`ClaimGuard::note_sent`] was called.
pub struct ClaimGuard {
    node: Arc<NodeContext>,
    key: ClaimKey,
    attempt: ClaimAttempt,
    sent: bool,
}

impl ClaimGuard {
    /// Notes that the request is about to be sent; from here on the key stays claimed.
    pub fn note_sent(&mut self) {
        self.sent = true;
    }

    /// Records in the background that an upstream answered with `status`.
    pub fn finish(mut self, status: u16) {
        self.sent = true;
        self.close_later(ClaimState::Finished(status));
    }

    fn close_later(&self, state: ClaimState) {
        let in_flight = InFlightGuard::new(self.node.clone());
        let (node, key) = (self.node.clone(), self.key.clone());
        let attempt = self.attempt.clone();
        let closing = async move {
            let _in_flight = in_flight;
            close(&node, &key, &attempt, state).await;
        };
        smol::spawn(closing).detach();
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.sent {
            self.close_later(ClaimState::Released);
        }
    }
}

/// Refuses a request early, before it is queued, where its key is known to be taken; otherwise
/// returns the attempt to hand to [`acquire`].
pub async fn check(
    node: &Arc<NodeContext>,
    key: &ClaimKey,
) -> Result<ClaimAttempt, RequestRefusal> {
    let reading = read(node, key);
    let stored = match node.clock.timeout(DECISION_TIMEOUT, ready(node, reading)).await {
        Some(stored) => stored?,
        None => return Err(store_down("the table service is too slow")),
    };
    let mut attempt = ClaimAttempt::new(store::token(node), key.body.clone());
    attempt.observe_row(stored.as_ref(), node.clock.unix_ms());
    match attempt.step() {
        ClaimStep::Refuse(denial) => Err(denied(denial)),
        ClaimStep::Read | ClaimStep::Write(_) | ClaimStep::Send => Ok(attempt),
    }
}

/// Claims the key; to be called directly before the request is sent.
pub async fn acquire(
    node: &Arc<NodeContext>,
    key: &ClaimKey,
    attempt: ClaimAttempt,
) -> Result<ClaimGuard, RequestRefusal> {
    let mut guard = ClaimGuard { node: node.clone(), key: key.clone(), attempt, sent: false };
    let deciding = decide(node, key, &mut guard.attempt);
    match node.clock.timeout(DECISION_TIMEOUT, deciding).await {
        Some(Ok(Some(denial))) => {
            // The row belongs to another request, so that there is nothing to release.
            guard.sent = true;
            Err(denied(denial))
        }
        Some(Ok(None)) => Ok(guard),
        // Dropping the guard settles a write that may yet take effect.
        Some(Err(err)) => Err(store_down(&err.to_string())),
        None => Err(store_down("the claim could not be settled in time")),
    }
}

/// Returns why the request may not be sent, or `None` once it is claimed.
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
                    node.clock.sleep(SETTLE_INTERVAL).await;
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

/// Fails at once where the table service has been silent for a while.
async fn ready<T>(
    node: &NodeContext,
    call: impl std::future::Future<Output = Result<T, PlatformError>>,
) -> Result<T, RequestRefusal> {
    if node.store_age().is_none_or(|age| age > STORE_SILENCE) {
        return Err(store_down("the table service has not answered for a while"));
    }
    call.await.map_err(|err| store_down(&err.to_string()))
}

/// Writes how a claimed request ended, for as long as [`CLOSE_LIMIT`].
async fn close(node: &NodeContext, key: &ClaimKey, attempt: &ClaimAttempt, state: ClaimState) {
    let give_up = node.clock.now() + CLOSE_LIMIT;
    while node.clock.now() < give_up {
        if try_close(node, key, attempt, state).await {
            return;
        }
        node.clock.sleep(CLOSE_INTERVAL).await;
    }
    log::warn!("claim stays open: row={} state={state:?}", key.row_key);
}

/// Whether the row needs no further write.
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
    let asked = node.clock.now();
    let row = node.platform.row(&key.row_key).await?;
    node.record_store_response_at(asked);
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
            log::debug!("answer of a claim write is lost: row={row_key} error={err}");
            ClaimWrite::Lost
        }
    }
}

fn claim_row(node: &NodeContext, key: &ClaimKey, state: ClaimState) -> ClaimRow {
    ClaimRow {
        node: node.settings.node.clone(),
        incarnation: node.incarnation(),
        attempt: node.next_request_number(),
        body: key.body.clone(),
        state,
        claimed_ms: node.clock.unix_ms(),
    }
}

/// A row that can't be read protects its key as a request that may have been sent.
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

fn denied(denial: ClaimDenial) -> RequestRefusal {
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

fn store_down(cause: &str) -> RequestRefusal {
    let message = format!("the request cannot be claimed: {cause}");
    let refusal = RequestRefusal::not_run(RefusalReason::StoreDown, message);
    refusal.retry_after(STORE_RETRY_AFTER)
}
