//! Stand-in for the platform's store and cloud API.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use super::message::{read_message, RawMessage};
use super::{listen, lock};

/// Time for which a silent store holds an unanswered connection open.
const SILENT_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between the packets of a narrow link.
const PACKET_INTERVAL: Duration = Duration::from_millis(10);

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Executes and answers them.
    #[default]
    Up,
    /// Answers with status 503, without effect.
    Down,
    /// Executes them but never answers, even after the mode has changed.
    Silent,
    /// Executes them but closes the connection without an answer.
    LosesAnswers,
    /// Executes them and answers after this delay.
    Slow(Duration),
    /// Executes them and sends this many bytes of an answer each [`PACKET_INTERVAL`].
    Narrow(usize),
}

/// A call that only the holder of a duty (a task that one node at a time performs) may make.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// Path: `/usage` or `/scaling`.
    pub path: String,
    /// Name of the calling node.
    pub holder: String,
    /// Fencing token of the call.
    pub fencing: u64,
    /// Body of the call.
    pub body: String,
    /// Whether its fencing token was accepted.
    pub is_accepted: bool,
    /// Time of receipt.
    pub at: Instant,
}

#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

/// Copy of the rows of a store, to which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Oldest version from which the change feed can be resumed.
    oldest_version: u64,
    mode: StoreMode,
    /// Number of the era, sent with each answer; rises with each restore.
    era: u64,
    duties: Vec<DutyCall>,
}

/// Stand-in of the platform's store and cloud.
#[derive(Clone, Debug)]
pub struct FakeStore {
    /// Address of the store and the cloud API.
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl FakeStore {
    /// Starts an empty store.
    pub fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        lock(&state.0).era = 1;
        let shared = state.clone();
        let address = listen(move |stream| {
            let mut reader = BufReader::new(stream);
            while let Some(message) = read_message(&mut reader) {
                let (status, body) = handle_call(&shared, &message);
                let (mode, era) = {
                    let state = lock(&shared.0);
                    (state.mode, state.era)
                };
                match mode {
                    StoreMode::Silent => return std::thread::sleep(SILENT_CONNECTION_TIMEOUT),
                    StoreMode::LosesAnswers => return,
                    StoreMode::Slow(delay) => std::thread::sleep(delay),
                    StoreMode::Up | StoreMode::Down | StoreMode::Narrow(_) => {}
                }
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let answer = (head + &body).into_bytes();
                let packet_bytes = match mode {
                    StoreMode::Narrow(bytes) => bytes,
                    _ => answer.len(),
                };
                for packet in answer.chunks(packet_bytes) {
                    if reader.get_mut().write_all(packet).is_err() {
                        return;
                    }
                    if packet.len() < answer.len() {
                        std::thread::sleep(PACKET_INTERVAL);
                    }
                }
            }
        });
        Self { address, state }
    }

    /// Writes a row on behalf of the operator or a replica; `None` deletes it.
    pub fn put(&self, table: &str, key: &str, value: Option<Value>) {
        self.put_bytes(table, key, value.map(|value| value.to_string().into_bytes()));
    }

    /// Writes a row of any content; `None` deletes it.
    pub fn put_bytes(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = lock(&self.state.0);
        state.version += 1;
        let version = state.version;
        let value = value.map(|value| STANDARD.encode(value));
        state.rows.insert((table.to_owned(), key.to_owned()), Row { value, version });
        self.state.1.notify_all();
    }

    /// Changes how calls are handled, including those in progress.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.state.0).mode = mode;
        self.state.1.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state.0);
        StoreCopy { rows: state.rows.clone(), version: state.version }
    }

    /// Goes back to an earlier copy: what was written since is lost, and its versions are given out
    /// again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = lock(&self.state.0);
        state.rows = copy.rows.clone();
        state.version = copy.version;
        state.era += 1;
        self.state.1.notify_all();
    }

    /// Discards the change history: feeds from an earlier version get status 410.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state.0);
        state.version += 1;
        state.oldest_version = state.version;
        self.state.1.notify_all();
    }

    /// Returns the calls to `path` (`/usage` or `/scaling`) so far, in order.
    pub fn duty_calls(&self, path: &str) -> Vec<DutyCall> {
        let state = lock(&self.state.0);
        state.duties.iter().filter(|call| call.path == path).cloned().collect()
    }
}

fn query(target: &str, name: &str) -> String {
    let pairs = target.split('?').nth(1).unwrap_or_default().split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).unwrap_or_default()
}

fn handle_call(shared: &(Mutex<StoreState>, Condvar), message: &RawMessage) -> (u16, Value) {
    let target = message.target().to_owned();
    let mut state = lock(&shared.0);
    if state.mode == StoreMode::Down {
        return (503, json!({}));
    }
    match target.split('?').next().unwrap_or_default() {
        "/v1/rows-get" => {
            let rows = table_rows(&state, &query(&target, "Table"), 0);
            let rows: Vec<_> = rows.into_iter().filter(|row| row["Deleted"] != true).collect();
            (200, json!({"Rows": rows, "HasMore": false, "RowVersion": state.version, "NowMs": 1}))
        }
        "/v1/rows-feed" => {
            let after = query(&target, "AfterRevision").parse().unwrap_or_default();
            let wait = Duration::from_millis(query(&target, "WaitMs").parse().unwrap_or_default());
            let table = query(&target, "Table");
            let is_idle = |state: &mut StoreState| {
                !matches!(state.mode, StoreMode::Down | StoreMode::Silent)
                    && state.oldest_version <= after
                    && state.version >= after
                    && table_rows(state, &table, after).is_empty()
            };
            let waited = shared.1.wait_timeout_while(state, wait, is_idle);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            match &*state {
                state if state.mode == StoreMode::Down => (503, json!({})),
                state if state.oldest_version > after || state.version < after => (410, json!({})),
                state => {
                    let rows = table_rows(state, &table, after);
                    (200, json!({"Rows": rows, "RowVersion": state.version, "NowMs": 1}))
                }
            }
        }
        "/v1/rows-tx" => match serde_json::from_str(&message.body) {
            Ok(body) => transact(&mut state, &body).unwrap_or((400, json!({}))),
            Err(_) => (400, json!({})),
        },
        path @ ("/usage" | "/scaling") => record_duty_call(&mut state, path, message),
        _ => (404, json!({})),
    }
}

/// Records a call of a duty holder; rejects it if a call with a newer fencing token was accepted.
fn record_duty_call(state: &mut StoreState, path: &str, message: &RawMessage) -> (u16, Value) {
    let fencing = message.header("berylstep-fencing-token").and_then(|value| value.parse().ok());
    let fencing = fencing.unwrap_or_default();
    let accepted = state.duties.iter().filter(|call| call.path == path && call.is_accepted);
    let is_accepted = accepted.map(|call| call.fencing).max().unwrap_or_default() <= fencing;
    state.duties.push(DutyCall {
        path: path.to_owned(),
        holder: message.header("berylstep-duty-holder").unwrap_or_default().to_owned(),
        fencing,
        body: message.body.clone(),
        is_accepted,
        at: Instant::now(),
    });
    (if is_accepted { 200 } else { 409 }, json!({}))
}

fn table_rows(state: &StoreState, table: &str, after: u64) -> Vec<Value> {
    let rows = state.rows.iter().filter(|((name, _), row)| name == table && row.version > after);
    let mut rows: Vec<_> = rows.collect();
    rows.sort_by_key(|(_, row)| row.version);
    let row = |((table, key), row): (&(String, String), &Row)| {
        json!({"Table": table, "part": "", "Key": key, "Value": row.value,
               "RowVersion": row.version, "Deleted": row.value.is_none()})
    };
    rows.into_iter().map(row).collect()
}

fn transact(state: &mut StoreState, body: &Value) -> Option<(u16, Value)> {
    let text = |entry: &Value, name: &str| entry[name].as_str().map(str::to_owned);
    let row_key = |entry: &Value| Some((text(entry, "Table")?, text(entry, "Key")?));
    let expected = body["Expected"].as_array()?;
    let holds = |entry: &Value| {
        let row = row_key(entry).and_then(|key| state.rows.get(&key));
        let version = row.filter(|row| row.value.is_some()).map_or(0, |row| row.version);
        entry["RowVersion"].as_u64() == Some(version)
    };
    if !expected.iter().all(holds) {
        let keys: Vec<_> = expected.iter().filter_map(row_key).collect();
        let rows = keys.iter().filter_map(|(table, key)| {
            table_rows(state, table, 0).into_iter().find(|row| row["Key"] == **key)
        });
        let rows: Vec<_> = rows.collect();
        return Some((412, json!({"Rows": rows, "RowVersion": state.version, "NowMs": 1})));
    }
    state.version += 1;
    let version = state.version;
    for put in body["Puts"].as_array()? {
        state.rows.insert(row_key(put)?, Row { value: text(put, "Value"), version });
    }
    for dropped in body["Drops"].as_array()? {
        state.rows.insert(row_key(dropped)?, Row { value: None, version });
    }
    Some((200, json!({"RowVersion": version, "NowMs": 1})))
}
