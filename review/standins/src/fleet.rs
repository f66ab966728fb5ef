//! A small fleet on loopback addresses: gateways started with the command of the deploy file.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_standins::process::free_address;
use serde_json::{json, Value};

/// Lines of `record.txt`: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn elapsed_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.elapsed_ms());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ports of a gateway; they stay the same over its restarts.
#[derive(Clone, Debug)]
pub struct GatewayPlan {
    pub number: u8,
    pub peer_port: u16,
    pub ports: [u16; 4],
    pub store: SocketAddr,
    pub with_cloud: bool,
    pub directory: PathBuf,
    pub seeds: Vec<u8>,
    pub zone: &'static str,
}

impl GatewayPlan {
    pub fn new(
        number: u8,
        peer_port: u16,
        store: SocketAddr,
        directory: &Path,
        seeds: &[u8],
    ) -> Self {
        Self {
            number,
            peer_port,
            ports: std::array::from_fn(|_| free_address().port()),
            store,
            with_cloud: false,
            directory: directory.to_owned(),
            seeds: seeds.to_owned(),
            zone: "a",
        }
    }

    pub fn ip(&self) -> String {
        format!("127.0.0.{}", self.number)
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.ip(), self.ports[index]).parse().unwrap()
    }

    pub fn callers(&self) -> SocketAddr {
        self.address(0)
    }

    /// Writes the settings as the template of the deploy file renders them, and starts the process.
    pub fn start(&self, bootstrap: bool) -> std::io::Result<Gateway> {
        let seeds: Vec<_> = self.seeds.iter().map(|seed| format!("127.0.0.{seed}:1")).collect();
        let mut settings = json!({
            "node": format!("frontend-{}-{}", self.zone, self.number), "zone": self.zone, "region": "r",
            "ip_address": self.ip(), "peer_ports": [self.peer_port, self.peer_port + 1],
            "listen": {"callers": self.address(0), "readiness": self.address(1),
                       "directory": self.address(2)},
            "metrics_port": self.ports[3], "core_share": 0.25, "file_descriptors": 4100,
            "drain_ms": 2000, "stop_grace_s": 8, "retry_ratio": 0.2, "retry_extra": 56,
            "retry_window_s": 10, "receiver_checks_fencing": true, "usage_window_s": 5,
            "directory_ttl_max_s": 5, "seeds": seeds, "store_address": self.store,
        });
        if bootstrap {
            settings["first_start"] = json!(true);
        }
        if self.with_cloud {
            settings["cloud_address"] = json!(self.store);
        }
        let path = self.directory.join(format!("gateway-{}.json", self.number));
        std::fs::write(&path, settings.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("gateway-{}.log", self.number)))?;
        let errors = log.try_clone()?;
        let child = Command::new("target/release/berylstep")
            .arg("gateway")
            .env("BERYLSTEP_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        let mut pids =
            File::options().create(true).append(true).open(self.directory.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Gateway { plan: self.clone(), child })
    }
}

/// A running gateway; killed when dropped.
pub struct Gateway {
    pub plan: GatewayPlan,
    pub child: Child,
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        get(self.plan.address(1), "/v1/readiness", Duration::from_secs(1))
            .is_some_and(|it| it.0 == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let command = format!("kill -TERM {}", self.child.id());
        let _ = Command::new("sh").arg("-c").arg(command).status();
    }

    /// Returns how the process has ended by itself, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a GET on a new connection; returns the status and what followed the head.
pub fn get(address: SocketAddr, target: &str, limit: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}

/// Returns a desired state with one tenant and these routes, each with a service of its own.
pub fn desired_state(version: u64, routes: &[Value]) -> Value {
    let services: Vec<_> = routes
        .iter()
        .map(|route| json!({"Name": route["Service"], "ConnectionLimit": 370}))
        .collect();
    json!({
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "tenant-1", "Keys": ["key-1"]}],
    })
}

/// Returns a route `/NAME/` of the host `h.example` to the service NAME.
pub fn route(name: &str, kind: &str, timeout_ms: u64, target_ms: u64, attempts: u32) -> Value {
    json!({"Name": name, "Host": "h.example", "Prefix": format!("/{name}/"), "Kind": kind,
           "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": 0, "Service": name,
           "Attempts": attempts, "Public": false})
}

/// Returns the text of a request with the key of the only tenant.
pub fn request(
    method: &str,
    route: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &str,
) -> String {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} /{route}/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {id}\r\n\
         Berylstep-Deadline-Milliseconds: {deadline_ms}\r\nX-Api-Key: key-1\r\n{more}{length}\r\n{body}"
    )
}

/// What a requester got.
#[derive(Debug)]
#[allow(dead_code, reason = "the texts are for the record")]
pub enum Answer {
    Complete(u16),
    /// The connection ended without a complete answer.
    Closed(String),
    /// Nothing for the whole limit.
    Nothing,
    NotConnected(String),
}

/// Sends a request on `stream` and reads an answer that has a length.
pub fn exchange(stream: &mut TcpStream, text: &str, limit: Duration) -> Answer {
    let until = Instant::now() + limit;
    if let Err(err) = stream.write_all(text.as_bytes()) {
        return Answer::Closed(err.to_string());
    }
    let mut received = Vec::new();
    let mut block = [0; 4096];
    loop {
        if let Some(status) = complete_status(&received) {
            return Answer::Complete(status);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Answer::Nothing;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut block) {
            Ok(0) => return Answer::Closed("end of file".to_owned()),
            Ok(count) => received.extend_from_slice(&block[..count]),
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => return Answer::Nothing,
            Err(err) => return Answer::Closed(err.to_string()),
        }
    }
}

fn complete_status(received: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    match length {
        Some(length) => (body.len() >= length).then_some(status),
        None => body.ends_with("0\r\n\r\n").then_some(status),
    }
}

/// Connects to a gateway and sends one request.
pub fn send(address: SocketAddr, text: &str, limit: Duration) -> Answer {
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(mut stream) => exchange(&mut stream, text, limit),
        Err(err) => Answer::NotConnected(err.to_string()),
    }
}
