//! Upstream on raw sockets with scripted behaviour.

#![allow(dead_code, reason = "each test binary uses only some of these functions")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_standins::client::{CallAnswer, CallRequest};
use berylstep_standins::site::{TrialSite, WAIT_TIMEOUT};
use serde_json::{json, Value};

/// A received request.
#[derive(Clone, Debug)]
pub struct FakeRequest {
    pub head: String,
    pub body: String,
    /// Index of the request at this upstream, from 0, not counting load requests.
    pub index: usize,
}

impl FakeRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

type Script = dyn Fn(&FakeRequest, &mut TcpStream) + Send + Sync;

/// A scripted upstream; its threads run until the test process exits.
#[derive(Clone)]
pub struct FakeUpstream {
    pub address: SocketAddr,
    records: Arc<Mutex<Vec<FakeRequest>>>,
}

impl FakeUpstream {
    /// Starts an upstream that handles each request with `script` and then closes the connection;
    /// load requests are answered without it.
    pub fn start(script: impl Fn(&FakeRequest, &mut TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let records = Arc::new(Mutex::new(Vec::new()));
        let (script, shared_records): (Arc<Script>, _) = (Arc::new(script), records.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, records) = (script.clone(), shared_records.clone());
                std::thread::spawn(move || handle(stream, &script, &records));
            }
        });
        Self { address, records }
    }

    pub fn records(&self) -> Vec<FakeRequest> {
        self.records.lock().unwrap().clone()
    }

    pub fn vm(&self, id: &str, pool: &str) -> Value {
        vm(id, pool, self.address)
    }
}

pub fn vm(id: &str, pool: &str, address: SocketAddr) -> Value {
    json!({
        "id": id, "address": address, "zone": "a", "role": "service", "pool": pool,
        "kind": "dependable", "slots": 8, "state": "live",
    })
}

fn handle(mut stream: TcpStream, script: &Arc<Script>, records: &Mutex<Vec<FakeRequest>>) {
    let Some(mut request) = read_request(&mut stream) else { return };
    if request.head.starts_with("GET /load ") {
        return respond(&mut stream, "application/json", r#"{"running":0,"waiting":0}"#);
    }
    {
        let mut records = records.lock().unwrap();
        request.index = records.len();
        records.push(request.clone());
    }
    script(&request, &mut stream);
}

fn read_request(stream: &mut TcpStream) -> Option<FakeRequest> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let request = FakeRequest { head: head.to_owned(), body: body.to_owned(), index: 0 };
        let length = request.header("content-length").map_or(0, |value| value.parse().unwrap());
        if body.len() >= length {
            return Some(request);
        }
    }
}

/// Writes a complete response.
pub fn respond(stream: &mut TcpStream, content_type: &str, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n");
    let _ = write!(stream, "{head}content-length: {length}\r\nconnection: close\r\n\r\n{body}");
}

/// Writes a chunk of a chunked body.
pub fn write_chunk(stream: &mut TcpStream, content: &str) {
    let _ = write!(stream, "{:x}\r\n{content}\r\n", content.len());
}

/// Polls until `condition` holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Replaces the VM list and waits until every node has read it.
pub fn publish(site: &TrialSite, vms: &[Value]) {
    site.call(CallRequest::post(site.platform_address, "/control/vms", &vms));
    // Nodes read the list every 500 ms.
    std::thread::sleep(Duration::from_millis(1_200));
}

/// Configures one class, two organisations with a key each, and routes to pools of the same name.
pub fn configure(site: &TrialSite, deadline_ms: u64, routes: &[(&str, Value, &str)]) {
    let class = json!({ "class": {
        "name": "work", "tier": 1, "latency_ms": 200, "attainment": 0.9,
        "deadline_ms": deadline_ms,
    }});
    let mut put = vec![class];
    for organisation in ["rivers", "hills"] {
        put.push(json!({ "organisation": { "name": organisation } }));
    }
    for (name, matcher, repeat) in routes {
        put.push(json!({ "route": {
            "name": name, "match": matcher, "pool": name, "classes": ["work"], "repeat": repeat,
        }}));
    }
    let grant = json!([
        { "organisation": "rivers", "key": RIVERS_KEY },
        { "organisation": "hills", "key": HILLS_KEY },
    ]);
    let stored = site.apply(0, &json!({ "against": 0, "put": put, "grant": grant }));
    assert_eq!(stored.status, 200, "{}", stored.body);
    for node in &site.nodes {
        wait_until("the configuration is in force", || {
            let call = CallRequest::get(node.caller_address, "/no-such-route");
            site.call(call.key(HILLS_KEY)).status == 404
        });
    }
}

pub const RIVERS_KEY: &str = "key-of-rivers-0123";
pub const HILLS_KEY: &str = "key-of-hills-4567";

/// Sends a call from a new thread.
pub fn spawn_call(call: CallRequest) -> std::thread::JoinHandle<CallAnswer> {
    std::thread::spawn(move || smol::block_on(call.send()).expect("the node responds"))
}
