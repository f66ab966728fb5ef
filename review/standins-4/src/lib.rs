//! A small fleet of gateways on loopback addresses, with the record of a trial.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use berylstep_standins::fleet::message::{
    begin_events_with, end_events, read_message, read_partial_message, request_text, respond,
    write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::process::free_address;
use serde_json::{json, Value};

/// Time within which a started gateway must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of a query to a gateway.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Record of a trial: a file, and a copy on standard output.
pub struct TrialRecord {
    file: Mutex<File>,
    began: Instant,
}

impl TrialRecord {
    /// Creates the record at the path that the first argument of the program names.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        Ok(Self { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    /// Writes one line with the time since the beginning.
    pub fn write(&self, line: impl Display) {
        let line = format!("{:7.3} {line}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}

/// Returns whether the disruption is to take place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Result of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialResult {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The trial could not take place.
    NotRun,
}

impl From<TrialResult> for ExitCode {
    fn from(result: TrialResult) -> Self {
        Self::from(match result {
            TrialResult::Held => 0,
            TrialResult::Broken => 1,
            TrialResult::NotRun => 2,
        })
    }
}

/// Parameters of a gateway.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Number, from 2 on; also the last byte of its loopback address.
    pub number: u8,
    /// First port for traffic between nodes, the same for all.
    pub peer_port: u16,
    /// Addresses of the caller, readiness, directory and metrics listeners.
    pub listen: [SocketAddr; 4],
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Whether the fleet starts for the first time.
    pub first_start: bool,
    /// Further settings.
    pub overrides: Value,
    /// Whether its log goes to a pipe that nobody reads, in place of a file.
    pub has_unread_log: bool,
}

impl NodeConfig {
    /// Creates the parameters of a gateway.
    pub fn new(number: u8, peer_port: u16, store: SocketAddr, cloud: SocketAddr) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, number));
        let listen = std::array::from_fn(|_| SocketAddr::new(ip, free_address().port()));
        let overrides = json!({});
        Self {
            number,
            peer_port,
            listen,
            store,
            cloud,
            first_start: true,
            overrides,
            has_unread_log: false,
        }
    }

    fn settings(&self) -> Value {
        let [callers, readiness, directory, metrics] = self.listen;
        let mut settings = json!({
            "node": format!("frontend-a-{}", self.number),
            "zone": "a", "region": "r", "ip_address": callers.ip(),
            "peer_ports": [self.peer_port, self.peer_port + 1],
            "first_start": self.first_start,
            "listen": {"callers": callers, "readiness": readiness, "directory": directory},
            "metrics_port": metrics.port(),
            "rule_groups": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                            "stream", "tenants", "leader", "platform"],
            "memory_mb": 260, "core_share": 0.25, "link_mbps": 1000.0, "file_descriptors": 4100,
            "cloud_address": self.cloud, "configuration_ms": 2000, "drain_ms": 2000,
            "stop_grace_s": 8, "retry_ratio": 0.2, "retry_extra": 56, "retry_window_s": 10,
            "receiver_checks_fencing": true, "usage_window_s": 5, "directory_ttl_max_s": 5,
            "replica_heartbeat_ms": 1200,
            "seeds": ["127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1"],
            "store_address": self.store,
        });
        for (name, value) in self.overrides.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        settings
    }

    /// Starts the gateway with the command of the deploy file. Its log goes to the temporary folder.
    pub fn start(&self) -> std::io::Result<GatewayNode> {
        let folder = std::env::temp_dir();
        let name = format!("review-{}-{}-{}", std::process::id(), self.peer_port, self.number);
        let settings = folder.join(format!("{name}.json"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&settings, self.settings().to_string())?;
        let output = match self.has_unread_log {
            false => File::options().create(true).append(true).open(&log)?,
            true => {
                Command::new("mkfifo").arg(&log).status()?;
                // The pipe has a reader, which never reads.
                File::options().read(true).write(true).open(&log)?
            }
        };
        let mut command = Command::new("target/release/berylstep");
        // As deployed, the process gets few variables of its caller.
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .arg("gateway")
            .env("BERYLSTEP_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(GatewayNode { child, config: self.clone(), settings, log })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.listen[0]
    }

    /// Returns the address of the directory.
    pub fn directory(&self) -> SocketAddr {
        self.listen[2]
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.listen[1], "/v1/readiness", "").is_some_and(|answer| answer.status() == 200)
    }
}

/// A running gateway, killed when dropped.
pub struct GatewayNode {
    child: Child,
    /// Its parameters.
    pub config: NodeConfig,
    settings: PathBuf,
    log: PathBuf,
}

impl GatewayNode {
    /// Waits until the gateway is ready; returns whether it is in time.
    pub fn wait_ready(&self) -> bool {
        wait_until(START_TIMEOUT, || self.config.is_ready())
    }

    /// Returns how the process ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Returns the identifier of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Returns the lines of its log that contain one of `words`.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let log = std::fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        let lines = log.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for GatewayNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for path in [&self.settings, &self.log] {
            if std::env::var_os("KEEP_LOGS").is_none() {
                let _ = std::fs::remove_file(path);
            }
        }
    }
}

fn send_signal(process: u32, name: &str) {
    let sent = Command::new("kill").arg(format!("-{name}")).arg(process.to_string()).status();
    sent.expect("kill can be run");
}

/// Waits until `condition` holds; returns whether it does within `timeout`.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Sends a GET request with additional header lines, each ending in CRLF.
pub fn get(address: SocketAddr, target: &str, headers: &str) -> Option<RawMessage> {
    let mut stream = TcpStream::connect_timeout(&address, QUERY_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(QUERY_TIMEOUT)).ok()?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: h\r\n{headers}Connection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}

/// Header line with the key of the only organisation of [`desired_state`].
pub const KEY_HEADER: &str = "X-Api-Key: key-of-org\r\n";

/// Returns a desired state with one route for each (name, kind, attempts, resumable), to the service of the same
/// name, with a timeout of 3 s.
pub fn desired_state(version: u64, routes: &[(&str, &str, u32, bool)]) -> Value {
    let route = |&(name, kind, attempts, resumable): &(&str, &str, u32, bool)| {
        json!({"Name": name, "Host": "h.example", "Prefix": format!("/{name}/"), "Kind": kind,
               "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 0, "Service": name,
               "Attempts": attempts, "Public": false, "Resumable": resumable,
               "GapTargetMs": 200})
    };
    let service =
        |&(name, ..): &(&str, &str, u32, bool)| json!({"Name": name, "ConnectionLimit": 370});
    json!({
        "Version": version,
        "Routes": routes.iter().map(route).collect::<Vec<_>>(),
        "Services": routes.iter().map(service).collect::<Vec<_>>(),
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "org", "Keys": ["key-of-org"]}],
    })
}

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns the entry of a ready replica whose process started at `born`.
pub fn replica_entry(address: SocketAddr, service: &str, born: u64) -> Value {
    json!({"Service": service, "Address": address, "Zone": "a", "Version": "v1", "Slots": 64,
           "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": born})
}

/// Returns the body of a sound replica's report.
pub fn report_body(born: u64) -> String {
    json!({"Stage": "combined", "Models": [], "Busy": false, "Sequence": 0, "Waiting": 0,
           "Running": 0, "KvUsed": 0, "KvTotal": 1, "Handles": 0, "born": born})
    .to_string()
}

/// Events of a stream of [`placed_replica`], and the one before which a stream is reset.
const EVENTS: u32 = 8;
const RESET_BEFORE: u32 = 4;

/// Time from the first stream of [`placed_replica`] within which streams are reset.
const RESET_TIME: Duration = Duration::from_millis(3500);

/// Starts a replica that serves streams with `headers` in all its answers. Of five streams it resets
/// `reset_of_five` midway, the last of the five, for [`RESET_TIME`].
pub fn placed_replica(
    id: &str,
    headers: &'static str,
    reset_of_five: u32,
    born: u64,
) -> FakeReplica {
    let (streams, first) = (AtomicU32::new(0), OnceLock::new());
    FakeReplica::start(id, move |request, _, stream| {
        if request.target().starts_with("/v1/report") {
            return respond(stream, request, 200, headers, &report_body(born));
        }
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let number = streams.fetch_add(1, Ordering::Relaxed);
        let is_reset = number % 5 >= 5 - reset_of_five
            && first.get_or_init(Instant::now).elapsed() < RESET_TIME;
        let begun = begin_events_with(stream, request, headers);
        for event in after + 1..=EVENTS {
            if (is_reset && event >= RESET_BEFORE) || !write_event(stream, event) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
        begun && end_events(stream)
    })
}

/// What a caller got of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPart {
    /// Status of the answer; 0 without one.
    pub status: u16,
    /// Identifier of the last event; 0 without one.
    pub last_event: u32,
    /// Whether the answer was complete.
    pub is_whole: bool,
}

/// Runs a request on the route `stream`.
pub fn call_stream(address: SocketAddr, id: &str, headers: &str) -> StreamPart {
    let call = || {
        let mut stream = TcpStream::connect_timeout(&address, QUERY_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let headers = format!("{KEY_HEADER}{headers}");
        stream.write_all(request_text("stream", id, 3000, &headers).as_bytes()).ok()?;
        read_partial_message(&mut stream)
    };
    let Some((answer, is_whole)) = call() else { return StreamPart::default() };
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    let last_event = ids.filter_map(|id| id.parse().ok()).max().unwrap_or(0);
    StreamPart { status: answer.status(), last_event, is_whole }
}

/// A stand-in in a process of its own, killed when dropped.
pub struct StandinProcess(Child);

impl StandinProcess {
    /// Starts a program of this package and waits until it listens.
    pub fn start(program: &str, arguments: &[&str]) -> std::io::Result<Self> {
        let program = std::env::current_exe()?.with_file_name(program);
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("it is piped")).read_line(&mut line)?;
        Ok(Self(child))
    }
}

impl StandinProcess {
    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        send_signal(self.0.id(), name);
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
