//! Gateways run as child processes.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Map, Value};

use super::message::{read_message, request_text, RawMessage};
use super::store::FakeStore;
use crate::process::{binary, free_address, ChildProcess};

/// Time to wait for a condition or a response before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a request to the readiness or directory address.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Waits until `condition` holds.
///
/// # Panics
///
/// If it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Parameters of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Number, from 2 on; also the last byte of the gateway's loopback address.
    pub number: u8,
    /// Peer port, the same for all gateways of the fleet.
    pub peer_port: u16,
    /// Address of the store and the cloud API.
    pub store_address: SocketAddr,
    /// Whether the fleet is being bootstrapped.
    pub first_start: bool,
    /// Whether it connects to replicas from its own address, by which replicas tell gateways apart.
    pub binds_upstreams: bool,
    /// Numbers of the gateways used as seed peers.
    pub seeds: Vec<u8>,
    /// Addresses of the caller, readiness, directory and metrics listeners, in this order.
    pub listen: [SocketAddr; 4],
    /// Further settings, which replace those of the same name.
    pub overrides: Map<String, Value>,
}

impl GatewayConfig {
    /// Creates the parameters of a gateway in a fleet that is being bootstrapped.
    pub fn new(store_address: SocketAddr, number: u8, peer_port: u16) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, number));
        let listen = std::array::from_fn(|_| SocketAddr::new(ip, free_address().port()));
        Self {
            number,
            peer_port,
            store_address,
            first_start: true,
            binds_upstreams: false,
            seeds: vec![2, 3],
            listen,
            overrides: Map::new(),
        }
    }

    /// Starts the process without waiting until it is ready; standard output goes to `log`.
    ///
    /// Fails if the settings file cannot be written or the process cannot be started.
    pub fn spawn(&self, log: Stdio) -> std::io::Result<FleetGateway> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, self.number));
        let [caller_address, readiness_address, directory_address, metrics_address] = self.listen;
        let seeds = self.seeds.iter().map(|number| format!("127.0.0.{number}:1"));
        let mut settings = json!({
            "node": format!("gateway-{}", self.number), "zone": "a", "region": "r",
            "ip_address": ip, "peer_ports": [self.peer_port, self.peer_port + 1],
            "first_start": self.first_start, "seeds": seeds.collect::<Vec<_>>(),
            "listen": {"callers": caller_address, "readiness": readiness_address,
                       "directory": directory_address},
            "metrics_port": metrics_address.port(), "store_address": self.store_address,
            "cloud_address": self.store_address,
            "upstream_source": self.binds_upstreams.then_some(ip),
            "drain_ms": 2000, "stop_grace_s": 8, "retry_ratio": 0.2, "retry_extra": 56,
            "retry_window_s": 10, "usage_window_s": 1,
        });
        for (name, value) in &self.overrides {
            settings[name] = value.clone();
        }
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

/// A running gateway; killed when dropped.
#[derive(Debug)]
pub struct FleetGateway {
    /// Process of the gateway.
    pub process: ChildProcess,
    /// Address of the caller listener.
    pub caller_address: SocketAddr,
    /// Address of the readiness listener.
    pub readiness_address: SocketAddr,
    /// Address of the directory listener.
    pub directory_address: SocketAddr,
    /// Address of the metrics and reports listener.
    pub metrics_address: SocketAddr,
    /// Path of the settings file, which is removed on drop.
    pub settings: PathBuf,
}

impl FleetGateway {
    /// Starts gateway `number` and waits until it is ready.
    ///
    /// Its log goes to a pipe that nobody reads: a full pipe must not block the gateway.
    ///
    /// # Panics
    ///
    /// If it cannot be started or does not become ready within [`WAIT_TIMEOUT`].
    pub fn start(store: &FakeStore, number: u8, peer_port: u16) -> Self {
        let config = GatewayConfig::new(store.address, number, peer_port);
        Self::start_with(&config)
    }

    /// Starts a gateway with these parameters and waits until it is ready.
    ///
    /// # Panics
    ///
    /// If it cannot be started or does not become ready within [`WAIT_TIMEOUT`].
    pub fn start_with(config: &GatewayConfig) -> Self {
        let gateway = config.spawn(Stdio::piped()).expect("the gateway starts");
        wait_until("the gateway is ready", || gateway.is_ready());
        gateway
    }

    /// Returns whether the gateway reports that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.readiness_address, "/v1/readiness").is_some_and(|answer| answer.status() == 200)
    }

    /// Returns its metrics in the Prometheus text format; empty if it does not answer.
    pub fn metrics(&self) -> String {
        get(self.metrics_address, "/metrics").map(|answer| answer.body).unwrap_or_default()
    }

    /// Returns the gateway addresses listed by its directory.
    pub fn addresses(&self) -> Vec<String> {
        listed_addresses(self.directory_address)
    }

    /// Sends a request on a new connection and reads the response; `None` if it ends early.
    pub fn send(&self, route: &str, headers: &str) -> Option<RawMessage> {
        let mut stream = self.connect();
        write_request(&mut stream, route, headers);
        read_message(&mut stream)
    }

    /// Opens a caller connection with a read timeout of [`WAIT_TIMEOUT`].
    ///
    /// # Panics
    ///
    /// If the connection is refused.
    pub fn connect(&self) -> TcpStream {
        let stream =
            TcpStream::connect(self.caller_address).expect("the gateway accepts connections");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is valid");
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

/// Returns the addresses listed by a directory; empty if it does not answer.
pub fn listed_addresses(directory: SocketAddr) -> Vec<String> {
    let answer = get(directory, "/v1/resolution?Name=h.example&Region=r&Zone=a");
    let body = answer.map(|answer| answer.body).unwrap_or_default();
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    let listed = body["Addresses"].as_array().cloned().unwrap_or_default();
    listed.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
}

/// Writes a caller's request with the identifier `id-1` and a deadline of 2000 ms.
///
/// # Panics
///
/// If the connection has been closed.
pub fn write_request(stream: &mut TcpStream, route: &str, headers: &str) {
    let request = request_text(route, "id-1", 2000, headers);
    stream.write_all(request.as_bytes()).expect("the gateway reads");
}

fn get(address: SocketAddr, target: &str) -> Option<RawMessage> {
    let mut stream = TcpStream::connect_timeout(&address, QUERY_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(QUERY_TIMEOUT)).ok()?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}
