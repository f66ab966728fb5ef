//! A fleet on loopback: a stand-in of the platform's store and cloud, replicas on raw sockets whose
//! behaviour a test scripts, and gateways as processes.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use berylstep_standins::process::{binary, free_address, ChildProcess};
use serde_json::{json, Value};

/// Longest time that a test waits for anything.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A message as received.
#[derive(Clone, Debug)]
pub struct RawMessage {
    pub head: String,
    pub body: String,
}

impl RawMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message with a length or in chunks; `None` where it breaks off.
pub fn read_message(stream: &mut TcpStream) -> Option<RawMessage> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).trim_end().to_owned();
    let mut message = RawMessage { head, body: String::new() };
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(stream)?;
        return Some(message);
    }
    let length = message.header("content-length").map_or(0, |value| value.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

fn read_chunks(stream: &mut TcpStream) -> Option<String> {
    let mut body = String::new();
    loop {
        let mut line = Vec::new();
        let mut byte = [0; 1];
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let size = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(&String::from_utf8_lossy(&chunk[..size]));
    }
}

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Whether calls are answered with 503.
    down: bool,
    /// Whether open calls are never answered, not even after this ends.
    silent: bool,
    /// Usage reports and orders, in order.
    duties: Vec<RawMessage>,
}

/// Stand-in of the platform's store and cloud.
#[derive(Clone)]
pub struct FakeStore {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl FakeStore {
    pub fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let kept = state.clone();
        let address = listen(move |mut stream| {
            while let Some(message) = read_message(&mut stream) {
                let (status, body) = answer_store(&kept, &message);
                if kept.0.lock().unwrap().silent {
                    // The connection stays open and delivers nothing more.
                    std::thread::sleep(WAIT_LIMIT);
                    return;
                }
                let body = body.to_string();
                let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
                if stream.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, state }
    }

    /// Writes a row as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: Option<Value>) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        state.rows.insert((table.to_owned(), key.to_owned()), Row { value, version });
        self.state.1.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        self.state.1.notify_all();
    }

    pub fn set_down(&self, down: bool) {
        self.state.0.lock().unwrap().down = down;
        self.state.1.notify_all();
    }

    pub fn duties(&self, path: &str) -> Vec<RawMessage> {
        let state = self.state.0.lock().unwrap();
        state.duties.iter().filter(|message| message.target() == path).cloned().collect()
    }
}

fn query(target: &str, name: &str) -> String {
    let pairs = target.split('?').nth(1).unwrap_or_default().split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).unwrap_or_default()
}

fn answer_store(shared: &(Mutex<StoreState>, Condvar), message: &RawMessage) -> (u16, Value) {
    let target = message.target().to_owned();
    let mut state = shared.0.lock().unwrap();
    if state.down {
        return (503, json!({}));
    }
    match target.split('?').next().unwrap_or_default() {
        "/v1/rows-get" => {
            let rows = table_rows(&state, &query(&target, "Table"), 0);
            let rows: Vec<_> = rows.into_iter().filter(|row| row["Deleted"] != true).collect();
            (200, json!({"Rows": rows, "HasMore": false, "RowVersion": state.version, "NowMs": 1}))
        }
        "/v1/rows-feed" => {
            let after: u64 = query(&target, "AfterRevision").parse().unwrap();
            let wait = Duration::from_millis(query(&target, "WaitMs").parse().unwrap());
            let table = query(&target, "Table");
            let idle = |state: &mut StoreState| {
                !state.down && !state.silent && table_rows(state, &table, after).is_empty()
            };
            state = shared.1.wait_timeout_while(state, wait, idle).unwrap().0;
            if state.down {
                return (503, json!({}));
            }
            let rows = table_rows(&state, &table, after);
            (200, json!({"Rows": rows, "RowVersion": state.version, "NowMs": 1}))
        }
        "/v1/rows-tx" => transact(&mut state, &serde_json::from_str(&message.body).unwrap()),
        "/usage" | "/scaling" => {
            state.duties.push(message.clone());
            (200, json!({}))
        }
        _ => (404, json!({})),
    }
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

fn transact(state: &mut StoreState, body: &Value) -> (u16, Value) {
    let text = |entry: &Value, name: &str| entry[name].as_str().unwrap().to_owned();
    let place = |entry: &Value| (text(entry, "Table"), text(entry, "Key"));
    let expected = body["Expected"].as_array().unwrap();
    let holds = |entry: &&Value| {
        let row = state.rows.get(&place(entry)).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version) == entry["RowVersion"].as_u64().unwrap()
    };
    if !expected.iter().all(|entry| holds(&entry)) {
        let keys: Vec<_> = expected.iter().map(place).collect();
        let rows = keys.iter().filter_map(|(table, key)| {
            table_rows(state, table, 0).into_iter().find(|row| row["Key"] == **key)
        });
        let rows: Vec<_> = rows.collect();
        return (412, json!({"Rows": rows, "RowVersion": state.version, "NowMs": 1}));
    }
    state.version += 1;
    let version = state.version;
    for put in body["Puts"].as_array().unwrap() {
        state.rows.insert(place(put), Row { value: Some(text(put, "Value")), version });
    }
    for dropped in body["Drops"].as_array().unwrap() {
        state.rows.insert(place(dropped), Row { value: None, version });
    }
    (200, json!({"RowVersion": version, "NowMs": 1}))
}

type Script = dyn Fn(&RawMessage, usize, &mut TcpStream) -> bool + Send + Sync;

/// A replica; its threads end with the test's process.
#[derive(Clone)]
pub struct FakeReplica {
    pub id: String,
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<RawMessage>>>,
}

impl FakeReplica {
    /// Answers each request by `script`, which gets its number at this replica and tells whether
    /// the connection is kept.
    pub fn start(
        id: &str,
        script: impl Fn(&RawMessage, usize, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let received: Arc<Mutex<Vec<RawMessage>>> = Arc::default();
        let kept = received.clone();
        let script: Arc<Script> = Arc::new(script);
        let address = listen(move |mut stream| {
            while let Some(message) = read_message(&mut stream) {
                let index = {
                    let mut received = kept.lock().unwrap();
                    received.push(message.clone());
                    received.len() - 1
                };
                if !script(&message, index, &mut stream) {
                    return;
                }
            }
        });
        Self { id: id.to_owned(), address, received }
    }

    pub fn received(&self) -> Vec<RawMessage> {
        self.received.lock().unwrap().clone()
    }

    /// Entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        json!({"Service": service, "Address": self.address, "Zone": "a", "Version": "v1",
               "Slots": 8, "State": state, "ColdRemainingMs": 0, "Sequence": 1})
    }
}

/// Writes a whole answer in the name of a replica; `headers` are further header lines.
pub fn respond(
    stream: &mut TcpStream,
    request: &RawMessage,
    status: u16,
    headers: &str,
    body: &str,
) -> bool {
    let id = request.header("berylstep-attempt-id").unwrap_or("-");
    let head = format!(
        "HTTP/1.1 {status} X\r\nBerylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: sig\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok()
}

/// Begins a chunked stream of events.
pub fn begin_events(stream: &mut TcpStream, request: &RawMessage) {
    let id = request.header("berylstep-attempt-id").unwrap_or("-");
    let head = format!(
        "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: sig\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
}

/// Writes event `number`.
pub fn write_event(stream: &mut TcpStream, number: u32) -> bool {
    let event = format!("id: {number}\ndata: d{number}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok()
}

/// Ends a stream as whole.
pub fn end_events(stream: &mut TcpStream) -> bool {
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// A desired state with one safe, one unsafe and two stream routes, on services of these names.
pub fn desired(version: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({"Name": name, "Host": "h.example", "Prefix": format!("/{name}/"), "Kind": kind,
               "TimeoutMs": 3000, "TargetLatencyMs": 200, "Priority": 0, "Service": name,
               "Attempts": attempts, "Public": false, "Resumable": resumable, "GapTargetMs": 200})
    };
    let names = ["safe", "unsafe", "plain", "resumable"];
    let services: Vec<_> =
        names.iter().map(|name| json!({"Name": name, "ConnectionLimit": 100})).collect();
    json!({
        "Version": version,
        "Routes": [route("safe", "safe", 2, false), route("unsafe", "unsafe", 1, false),
                   route("plain", "stream", 1, false), route("resumable", "stream", 2, true)],
        "Services": services,
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 65536, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "org", "Keys": ["key-of-org"], "Priority": 1}],
    })
}

/// One gateway.
pub struct FleetGateway {
    pub process: ChildProcess,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub settings: PathBuf,
    pub number: u8,
}

impl FleetGateway {
    /// Starts gateway number `number`, which lives on a loopback address of its own.
    pub fn start(store: &FakeStore, number: u8, peer_port: u16) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, number));
        let free = || SocketAddr::new(ip, free_address().port());
        let (callers, readiness, directory) = (free(), free(), free());
        let settings = json!({
            "node": format!("gateway-{number}"), "zone": "a", "region": "r", "ip_address": ip,
            "peer_ports": [peer_port, peer_port],
            "first_start": true, "seeds": ["127.0.0.2:1", "127.0.0.3:1"],
            "listen": {"callers": callers, "readiness": readiness, "directory": directory},
            "store_address": store.address, "cloud_address": store.address,
            "drain_ms": 2000, "stop_grace_s": 8, "retry_ratio": 0.2, "retry_extra": 56,
            "retry_window_s": 10, "usage_window_s": 1,
        });
        let name = format!("fleet-{}-{peer_port}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut command = Command::new(binary("berylstep"));
        command.arg("gateway").arg("--settings").arg(&path);
        // The log is not read, which must not stop the process.
        command.stdout(Stdio::piped());
        let process = ChildProcess::start(&mut command).unwrap();
        let gateway = Self { process, callers, readiness, directory, settings: path, number };
        wait_until("the gateway is ready", || gateway.is_ready());
        gateway
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/v1/readiness").is_some_and(|answer| answer.status() == 200)
    }

    /// Addresses that the directory names.
    pub fn addresses(&self) -> Vec<String> {
        let answer = get(self.directory, "/v1/resolution?Name=h.example&Region=r&Zone=a");
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        let body: Value = serde_json::from_str(&body).unwrap_or_default();
        let listed = body["Addresses"].as_array().cloned().unwrap_or_default();
        listed.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    /// Sends a request on a new connection; `None` where the answer breaks off.
    pub fn send(&self, route: &str, headers: &str) -> Option<RawMessage> {
        let mut stream = self.connect();
        write_request(&mut stream, route, headers);
        read_message(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream
    }
}

impl Drop for FleetGateway {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Key of the only organisation.
pub const KEY: &str = "X-Api-Key: key-of-org\r\n";

pub fn write_request(stream: &mut TcpStream, route: &str, headers: &str) {
    let request = format!(
        "POST /{route}/x?y=%20 HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: id-1\r\n\
         Berylstep-Deadline-Milliseconds: 2000\r\n{headers}Content-Length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).unwrap();
}

fn get(address: SocketAddr, target: &str) -> Option<RawMessage> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}
