//! Client of the platform's table store: versioned rows, change feeds and conditional transactions.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use http_types::Method;
use serde::{Deserialize, Serialize};

use super::{rejected, CallError, PlatformClient};

/// Timeout of one read or write; slow responses of the store take 0.3 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond the requested wait after which the response to a feed call is considered lost.
const FEED_SLACK: Duration = Duration::from_millis(1000);

const GONE: u16 = 410;
const PRECONDITION_FAILED: u16 = 412;
const OK: u16 = 200;

/// Row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRow {
    /// Key within the table.
    pub key: String,
    /// Content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Revision, taken from a counter that grows with every transaction of the store.
    pub revision: u64,
}

/// Rows of a table at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowSnapshot {
    /// Rows, in key order for a read and in order of change for a feed.
    pub rows: Vec<StoreRow>,
    /// Revision of the store at the time of reading.
    pub revision: u64,
    /// Era of the store, which rises with each restore from an older copy.
    pub era: u64,
}

/// Result of reading a change feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedResult {
    /// Changed rows in order, and the revision from which to continue.
    Changes(RowSnapshot),
    /// The store no longer has the requested history.
    HistoryGone,
}

/// Write of one row, conditional on its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Name of the table.
    pub table: &'static str,
    /// Key within the table.
    pub key: String,
    /// New content.
    pub value: Vec<u8>,
    /// Revision that the row must have, 0 if it must be absent; `None` accepts any.
    pub expected: Option<u64>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// All writes took effect.
    Committed,
    /// Nothing was written; holds the current rows of those with an expected revision.
    Conflict(Vec<StoreRow>),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RowsBody {
    #[serde(default)]
    rows: Vec<RowBody>,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    row_version: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RowBody {
    key: String,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    row_version: u64,
    #[serde(default)]
    deleted: bool,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct TransactionBody<'a> {
    expected: Vec<ExpectedBody<'a>>,
    puts: Vec<PutBody<'a>>,
    drops: Vec<DropBody<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct ExpectedBody<'a> {
    table: &'a str,
    /// Spelled in lower case by the platform.
    #[serde(rename = "part")]
    part: &'a str,
    key: &'a str,
    row_version: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct PutBody<'a> {
    table: &'a str,
    #[serde(rename = "part")]
    part: &'a str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct DropBody<'a> {
    table: &'a str,
    #[serde(rename = "part")]
    part: &'a str,
    key: &'a str,
}

impl PlatformClient {
    /// Reads all rows of a table whose keys are not less than `from`. A read that a restore of the
    /// store interrupts is started again.
    pub async fn rows(&self, table: &str, from: &str) -> Result<RowSnapshot, CallError> {
        let first = from.to_owned();
        let mut from = first.clone();
        let mut snapshot = RowSnapshot { rows: Vec::new(), revision: 0, era: 0 };
        loop {
            let query = [("Table", table), ("part", ""), ("From", &*from)];
            let request = self.request(Method::Get, "/v1/rows-get", &query)?;
            let (status, body, era) = self.read_call(request, CALL_TIMEOUT).await?;
            if status != OK {
                return Err(rejected(status, &body));
            }
            let page: RowsBody = decode(&body)?;
            if era != snapshot.era {
                snapshot = RowSnapshot { rows: Vec::new(), revision: 0, era };
                if from != first {
                    from = first.clone();
                    continue;
                }
            }
            // Later pages may be newer; the feed repeats the changes since the first page.
            if snapshot.revision == 0 {
                snapshot.revision = page.row_version;
            }
            snapshot.rows.extend(page.rows.into_iter().map(decode_row));
            match snapshot.rows.last() {
                // The next key in byte order.
                Some(last) if page.has_more => from = format!("{}\0", last.key),
                _ => return Ok(snapshot),
            }
        }
    }

    /// Waits for changes of a table after the revision `after`, for at most `wait`.
    pub async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<FeedResult, CallError> {
        let (after, wait_ms) = (after.to_string(), wait.as_millis().to_string());
        let query = [("Table", table), ("AfterRevision", &*after), ("WaitMs", &*wait_ms)];
        let request = self.request(Method::Get, "/v1/rows-feed", &query)?;
        let (status, body, era) = self.read_call(request, wait + FEED_SLACK).await?;
        match status {
            OK => {
                let body: RowsBody = decode(&body)?;
                let rows = body.rows.into_iter().map(decode_row).collect();
                Ok(FeedResult::Changes(RowSnapshot { rows, revision: body.row_version, era }))
            }
            GONE => Ok(FeedResult::HistoryGone),
            status => Err(rejected(status, &body)),
        }
    }

    /// Applies all writes and removals atomically, or none of them.
    pub async fn commit(
        &self,
        writes: &[RowWrite],
        removals: &[(&'static str, String)],
    ) -> Result<CommitResult, CallError> {
        let expected = writes.iter().filter_map(|write| {
            let row_version = write.expected?;
            Some(ExpectedBody { table: write.table, part: "", key: &write.key, row_version })
        });
        let puts = writes.iter().map(|write| {
            let value = STANDARD.encode(&write.value);
            PutBody { table: write.table, part: "", key: &write.key, value }
        });
        let drops = removals.iter().map(|(table, key)| DropBody { table, part: "", key });
        let body = TransactionBody {
            expected: expected.collect(),
            puts: puts.collect(),
            drops: drops.collect(),
        };
        let mut request = self.request(Method::Post, "/v1/rows-tx", &[])?;
        request.set_body(encode(&body)?);
        request.set_content_type(http_types::mime::JSON);
        let (status, body) = self.call(request, CALL_TIMEOUT).await?;
        match status {
            OK => Ok(CommitResult::Committed),
            PRECONDITION_FAILED => {
                let body: RowsBody = decode(&body)?;
                Ok(CommitResult::Conflict(body.rows.into_iter().map(decode_row).collect()))
            }
            status => Err(rejected(status, &body)),
        }
    }
}

/// Decodes a row. Content that is not valid base64 becomes empty, and the reader of the row reports
/// it as malformed.
fn decode_row(row: RowBody) -> StoreRow {
    let value = row.value.unwrap_or_default();
    let value = (!row.deleted).then(|| STANDARD.decode(value).unwrap_or_default());
    StoreRow { key: row.key, value, revision: row.row_version }
}

pub(super) fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|err| CallError::Malformed(err.to_string()))
}

pub(super) fn encode(body: &impl Serialize) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(body).map_err(|err| CallError::NotSent(err.to_string()))
}
