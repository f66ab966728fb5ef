//! Stand-in of the platform's store and cloud.

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

/// Time for which a silent store keeps a connection open that it will not use again.
const SILENT_CONNECTION: Duration = Duration::from_secs(20);

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers them.
    #[default]
    Up,
    /// Answers 503.
    Down,
    /// Carries them out and never answers those that are open, not even later.
    Silent,
    /// Carries them out and closes the connection.
    LosesAnswers,
    /// Answers after this delay.
    Slow(Duration),
}

/// A call that only the holder of a duty may make.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// Path.
    pub path: String,
    /// Node that made it.
    pub holder: String,
    /// Fencing token.
    pub fencing: u64,
    /// Body.
    pub body: String,
    /// Whether it took effect.
    pub is_accepted: bool,
    /// When it came.
    pub at: Instant,
}

#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Feeds from before this version are turned away.
    oldest: u64,
    mode: StoreMode,
    duties: Vec<DutyCall>,
}

/// Stand-in of the platform's store and cloud.
#[derive(Clone, Debug)]
pub struct FakeStore {
    /// Address of both.
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl FakeStore {
    /// Starts an empty store.
    pub fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let kept = state.clone();
        let address = listen(move |stream| {
            let mut reader = BufReader::new(stream);
            while let Some(message) = read_message(&mut reader) {
                let (status, body) = answer_store(&kept, &message);
                let mode = lock(&kept.0).mode;
                match mode {
                    StoreMode::Silent => return std::thread::sleep(SILENT_CONNECTION),
                    StoreMode::LosesAnswers => return,
                    StoreMode::Slow(delay) => std::thread::sleep(delay),
                    StoreMode::Up | StoreMode::Down => {}
                }
                let body = body.to_string();
                let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
                if reader.get_mut().write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, state }
    }

    /// Writes a row as the operator or a replica does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<Value>) {
        let mut state = lock(&self.state.0);
        state.version += 1;
        let version = state.version;
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        state.rows.insert((table.to_owned(), key.to_owned()), Row { value, version });
        self.state.1.notify_all();
    }

    /// Changes how calls are treated, open ones too.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.state.0).mode = mode;
        self.state.1.notify_all();
    }

    /// Forgets which rows changed when.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state.0);
        state.version += 1;
        state.oldest = state.version;
        self.state.1.notify_all();
    }

    /// Usage reports or orders so far, in order.
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

fn answer_store(shared: &(Mutex<StoreState>, Condvar), message: &RawMessage) -> (u16, Value) {
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
            let idle = |state: &mut StoreState| {
                !matches!(state.mode, StoreMode::Down | StoreMode::Silent)
                    && state.oldest <= after
                    && table_rows(state, &table, after).is_empty()
            };
            let waited = shared.1.wait_timeout_while(state, wait, idle);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            match &*state {
                state if state.mode == StoreMode::Down => (503, json!({})),
                state if state.oldest > after => (410, json!({})),
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
        path @ ("/usage" | "/scaling") => note_duty(&mut state, path, message),
        _ => (404, json!({})),
    }
}

/// Takes a call of a duty unless a newer holder has called before.
fn note_duty(state: &mut StoreState, path: &str, message: &RawMessage) -> (u16, Value) {
    let fencing = message.header("berylstep-fencing-token").and_then(|value| value.parse().ok());
    let fencing = fencing.unwrap_or_default();
    let newest = state.duties.iter().filter(|call| call.path == path && call.is_accepted);
    let is_accepted = newest.map(|call| call.fencing).max().unwrap_or_default() <= fencing;
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
    let place = |entry: &Value| Some((text(entry, "Table")?, text(entry, "Key")?));
    let expected = body["Expected"].as_array()?;
    let holds = |entry: &Value| {
        let row = place(entry).and_then(|place| state.rows.get(&place));
        let version = row.filter(|row| row.value.is_some()).map_or(0, |row| row.version);
        entry["RowVersion"].as_u64() == Some(version)
    };
    if !expected.iter().all(holds) {
        let keys: Vec<_> = expected.iter().filter_map(place).collect();
        let rows = keys.iter().filter_map(|(table, key)| {
            table_rows(state, table, 0).into_iter().find(|row| row["Key"] == **key)
        });
        let rows: Vec<_> = rows.collect();
        return Some((412, json!({"Rows": rows, "RowVersion": state.version, "NowMs": 1})));
    }
    state.version += 1;
    let version = state.version;
    for put in body["Puts"].as_array()? {
        state.rows.insert(place(put)?, Row { value: text(put, "Value"), version });
    }
    for dropped in body["Drops"].as_array()? {
        state.rows.insert(place(dropped)?, Row { value: None, version });
    }
    Some((200, json!({"RowVersion": version, "NowMs": 1})))
}
