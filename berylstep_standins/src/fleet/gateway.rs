//! Gateways as processes.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::message::{read_message, request_text, RawMessage};
use super::store::FakeStore;
use crate::process::{binary, free_address, ChildProcess};

/// Longest time that a test waits for anything.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for one question to a readiness or directory address.
const QUESTION_TIME: Duration = Duration::from_millis(1000);

/// Waits until `condition` holds.
///
/// # Panics
///
/// Where it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// What a gateway is started with.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Number, from 2 on; the gateway lives on a loopback address of its own.
    pub number: u8,
    /// Port for traffic between gateways.
    pub peer_port: u16,
    /// Store and cloud.
    pub store_address: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Numbers of the gateways that are its seeds.
    pub seeds: Vec<u8>,
    /// Addresses for callers, readiness, directory and metrics.
    pub listen: [SocketAddr; 4],
}

impl GatewayConfig {
    /// A gateway of a fleet that starts for the first time.
    pub fn new(store_address: SocketAddr, number: u8, peer_port: u16) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, number));
        let listen = std::array::from_fn(|_| SocketAddr::new(ip, free_address().port()));
        Self { number, peer_port, store_address, first_start: true, seeds: vec![2, 3], listen }
    }

    /// Starts the process and does not wait for it; its log goes to `log`.
    pub fn spawn(&self, log: Stdio) -> std::io::Result<FleetGateway> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, self.number));
        let [caller_address, readiness_address, directory_address, metrics_address] = self.listen;
        let seeds = self.seeds.iter().map(|number| format!("127.0.0.{number}:1"));
        let settings = json!({
            "node": format!("gateway-{}", self.number), "zone": "a", "region": "r",
            "ip_address": ip, "peer_ports": [self.peer_port, self.peer_port],
            "first_start": self.first_start, "seeds": seeds.collect::<Vec<_>>(),
            "listen": {"callers": caller_address, "readiness": readiness_address, "directory": directory_address},
            "metrics_port": metrics_address.port(), "store_address": self.store_address, "cloud_address": self.store_address,
            "drain_ms": 2000, "stop_grace_s": 8, "retry_ratio": 0.2, "retry_extra": 56,
            "retry_window_s": 10, "usage_window_s": 1,
        });
        let file = format!("fleet-{}-{}-{}.json", std::process::id(), self.peer_port, self.number);
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings.to_string())?;
        let mut command = Command::new(binary("berylstep"));
        command.arg("gateway").arg("--settings").arg(&path).stdout(log);
        let process = ChildProcess::start(&mut command)?;
        Ok(FleetGateway {
            process,
            caller_address,
            readiness_address,
            directory_address,
            metrics_address,
            settings: path,
        })
    }
}

/// One gateway.
#[derive(Debug)]
pub struct FleetGateway {
    /// Its process.
    pub process: ChildProcess,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    /// Address of the directory.
    pub directory_address: SocketAddr,
    /// Address of the metrics and reports.
    pub metrics_address: SocketAddr,
    /// Settings file, removed when dropped.
    pub settings: PathBuf,
}

impl FleetGateway {
    /// Starts gateway number `number` and waits until it is ready. Its log is not read, which must
    /// not stop it.
    ///
    /// # Panics
    ///
    /// Where it does not start.
    pub fn start(store: &FakeStore, number: u8, peer_port: u16) -> Self {
        let plan = GatewayConfig::new(store.address, number, peer_port);
        let gateway = plan.spawn(Stdio::piped()).expect("the gateway starts");
        wait_until("the gateway is ready", || gateway.is_ready());
        gateway
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.readiness_address, "/v1/readiness").is_some_and(|answer| answer.status() == 200)
    }

    /// Addresses that its directory names.
    pub fn addresses(&self) -> Vec<String> {
        listed_addresses(self.directory_address)
    }

    /// Sends a request on a new connection; `None` where the answer breaks off.
    pub fn send(&self, route: &str, headers: &str) -> Option<RawMessage> {
        let mut stream = self.connect();
        write_request(&mut stream, route, headers);
        read_message(&mut stream)
    }

    /// A connection of a caller.
    ///
    /// # Panics
    ///
    /// Where the gateway takes none.
    pub fn connect(&self) -> TcpStream {
        let stream =
            TcpStream::connect(self.caller_address).expect("the gateway takes connections");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit is set");
        stream
    }
}

impl Drop for FleetGateway {
    fn drop(&mut self) {
        if let Err(err) = std::fs::remove_file(&self.settings) {
            log::warn!("cannot remove {}: {err}", self.settings.display());
        }
    }
}

/// Addresses that a directory names; none where it does not answer.
pub fn listed_addresses(directory: SocketAddr) -> Vec<String> {
    let answer = get(directory, "/v1/resolution?Name=h.example&Region=r&Zone=a");
    let body = answer.map(|answer| answer.body).unwrap_or_default();
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    let listed = body["Addresses"].as_array().cloned().unwrap_or_default();
    listed.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
}

/// Writes the request `id-1` of a caller.
///
/// # Panics
///
/// Where the connection is closed.
pub fn write_request(stream: &mut TcpStream, route: &str, headers: &str) {
    let request = request_text(route, "id-1", 2000, headers);
    stream.write_all(request.as_bytes()).expect("the gateway reads");
}

fn get(address: SocketAddr, target: &str) -> Option<RawMessage> {
    let mut stream = TcpStream::connect_timeout(&address, QUESTION_TIME).ok()?;
    stream.set_read_timeout(Some(QUESTION_TIME)).ok()?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}
