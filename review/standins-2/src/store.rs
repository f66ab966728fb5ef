//! The platform's store and its API for usage, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{listen, read_message, Message};
use crate::json::Json;

#[derive(Clone, Debug)]
struct Row {
    /// Content in base64; `None` if the row was dropped.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Rows by table and key; all are in the empty part.
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    highest_fence: u64,
    /// Era of the store, which rises with each restore.
    era: u64,
    is_down: bool,
    /// Calls of duties in the order of their arrival.
    calls: Vec<DutyCall>,
}

/// A call of the holder of a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: String,
    /// Whether the platform accepted it.
    pub is_accepted: bool,
    pub at: Instant,
}

/// Copy of the rows of a store.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store and the API for duties.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        lock(&state.0).era = 1;
        let (shared, started_at) = (state.clone(), Instant::now());
        let address = listen("127.0.0.1:0", move |stream| serve(&shared, started_at, stream))?;
        Ok(Self { address, state })
    }

    /// Writes a row on behalf of the operator or a replica; `None` drops it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = lock(&self.state.0);
        state.version += 1;
        let row = Row { value: value.map(|value| encode(value.as_bytes())), version: state.version };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.state.1.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state.0);
        StoreCopy { rows: state.rows.clone(), version: state.version }
    }

    /// Goes back to a copy: what was written since is gone, and its versions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = lock(&self.state.0);
        state.rows = copy.rows.clone();
        state.version = copy.version;
        state.era += 1;
        self.state.1.notify_all();
    }

    /// Closes all connections on which calls come, or serves them again.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.state.0).is_down = is_down;
        self.state.1.notify_all();
    }

    /// Returns the calls of duties so far.
    pub fn duty_calls(&self) -> Vec<DutyCall> {
        lock(&self.state.0).calls.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(shared: &(Mutex<State>, Condvar), started_at: Instant, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        if lock(&shared.0).is_down {
            return;
        }
        let (status, mut body) = answer(shared, &message);
        let (era, is_down) = {
            let state = lock(&shared.0);
            (state.era, state.is_down)
        };
        if is_down {
            return;
        }
        body = body.replace("NOW", &started_at.elapsed().as_millis().to_string());
        let head = format!(
            "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if reader.get_mut().write_all(head.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(shared: &(Mutex<State>, Condvar), message: &Message) -> (u16, String) {
    let path = message.target().split('?').next().unwrap_or_default();
    let mut state = lock(&shared.0);
    match path {
        "/v1/rows-get" => {
            let table = message.parameter("Table");
            let from = decode_url(message.parameter("From"));
            let to = decode_url(message.parameter("To"));
            let rows = rows(&state, table, |key, row| {
                row.value.is_some() && key >= &*from && (to.is_empty() || key < &*to)
            });
            (200, page(&rows, state.version))
        }
        "/v1/rows-feed" => {
            let table = message.parameter("Table").to_owned();
            let after: u64 = message.parameter("AfterRevision").parse().unwrap_or_default();
            let wait: u64 = message.parameter("WaitMs").parse().unwrap_or_default();
            let is_newer = |_: &str, row: &Row| row.version > after;
            let era = state.era;
            let is_idle = |state: &mut State| {
                !state.is_down
                    && state.era == era
                    && after <= state.version
                    && rows(state, &table, is_newer).is_empty()
            };
            let wait = Duration::from_millis(wait.min(30_000));
            let waited = shared.1.wait_timeout_while(state, wait, is_idle);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if after > state.version {
                return (410, "{}".to_owned());
            }
            let mut rows = rows(&state, &table, is_newer);
            rows.sort_by_key(|(version, _)| *version);
            (200, page(&rows, state.version))
        }
        "/v1/rows-tx" => {
            let text = String::from_utf8_lossy(&message.body).into_owned();
            let answer = Json::parse(&text).and_then(|body| transact(&mut state, &body));
            shared.1.notify_all();
            answer.unwrap_or((400, "{}".to_owned()))
        }
        "/usage" | "/scaling" => {
            let fence = message.header("berylstep-fencing-token").and_then(|it| it.parse().ok());
            let fence: u64 = fence.unwrap_or_default();
            let is_accepted = fence >= state.highest_fence;
            state.highest_fence = state.highest_fence.max(fence);
            state.calls.push(DutyCall {
                path: path.to_owned(),
                holder: message.header("berylstep-duty-holder").unwrap_or_default().to_owned(),
                fence,
                body: String::from_utf8_lossy(&message.body).into_owned(),
                is_accepted,
                at: Instant::now(),
            });
            (if is_accepted { 200 } else { 409 }, "{}".to_owned())
        }
        _ => (404, "{}".to_owned()),
    }
}

/// Returns the rows of a table in the order of their keys, with their versions.
fn rows(state: &State, table: &str, is_wanted: impl Fn(&str, &Row) -> bool) -> Vec<(u64, String)> {
    let of_table = state.rows.iter().filter(|((name, _), _)| name == table);
    let wanted = of_table.filter(|((_, key), row)| is_wanted(key, row));
    let text = |((table, key), row): (&(String, String), &Row)| {
        let value = row.value.as_ref().map_or("null".to_owned(), |value| format!("\"{value}\""));
        let (version, deleted) = (row.version, row.value.is_none());
        let text = format!(
            "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":{value},\
             \"RowVersion\":{version},\"Deleted\":{deleted}}}"
        );
        (version, text)
    };
    wanted.map(text).collect()
}

fn page(rows: &[(u64, String)], version: u64) -> String {
    let rows: Vec<_> = rows.iter().map(|(_, text)| &**text).collect();
    let rows = rows.join(",");
    format!("{{\"Rows\":[{rows}],\"HasMore\":false,\"RowVersion\":{version},\"NowMs\":NOW}}")
}

fn transact(state: &mut State, body: &Json) -> Option<(u16, String)> {
    let row_key = |entry: &Json| {
        let text = |name| entry.get(name).and_then(Json::text).map(str::to_owned);
        Some((text("Table")?, text("Key")?))
    };
    let entries = |name| body.get(name).map(Json::items).unwrap_or_default();
    let mut current = Vec::new();
    let mut holds = true;
    for entry in entries("Expected") {
        let key = row_key(entry)?;
        let row = state.rows.get(&key).filter(|row| row.value.is_some());
        let version = row.map_or(0, |row| row.version);
        holds &= entry.get("RowVersion").and_then(Json::number) == Some(version);
        current.extend(rows(state, &key.0, |name, row| name == key.1 && row.value.is_some()));
    }
    if !holds {
        return Some((412, page(&current, state.version)));
    }
    state.version += 1;
    let version = state.version;
    for put in entries("Puts") {
        let value = put.get("Value").and_then(Json::text).map(str::to_owned);
        state.rows.insert(row_key(put)?, Row { value, version });
    }
    for dropped in entries("Drops") {
        state.rows.insert(row_key(dropped)?, Row { value: None, version });
    }
    Some((200, page(&[], version)))
}

fn decode_url(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = escaped.and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63].into()),
                false => text.push('='),
            }
        }
    }
    text
}
