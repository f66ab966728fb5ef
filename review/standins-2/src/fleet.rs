//! Gateways as processes, started with the command of the deploy file.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::ask;
use crate::store::Store;

/// Command of the deploy file, from the root of the repository.
const GATEWAY_COMMAND: [&str; 2] = ["target/release/berylstep", "gateway"];

/// Time for a gateway to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Makes a process end with the thread that starts it, also if that is killed.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: `prctl` is called in the child before its program starts, and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// A gateway process; ended when dropped.
pub struct Gateway {
    pub process: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    folder: PathBuf,
}

/// Returns a port that is free on all loopback addresses that the scripts use.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a loopback port is free");
    listener.local_addr().expect("a listener has an address").port()
}

impl Gateway {
    /// Starts gateway `number`, from 2 on, and waits until it is ready. Its log goes to `gateway-N.log` in the
    /// folder of the environment variable `WORK`.
    pub fn start(store: &Store, number: u8, peer_port: u16) -> Result<Self, String> {
        let ip = format!("127.0.0.{number}");
        let address = || SocketAddr::new(ip.parse().expect("an IP address"), free_port(&ip));
        let (callers, readiness, directory) = (address(), address(), address());
        let metrics = free_port(&ip);
        let folder = PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| ".".to_owned()));
        // The values of the sites' settings files.
        let settings = format!(
            r#"{{"node": "gateway-{number}", "zone": "a", "region": "r", "ip_address": "{ip}",
                "peer_ports": [{peer_port}, {last_port}], "first_start": true,
                "listen": {{"callers": "{callers}", "readiness": "{readiness}",
                           "directory": "{directory}"}},
                "metrics_port": {metrics}, "memory_mb": 260, "core_share": 0.25,
                "link_mbps": 1000.0, "file_descriptors": 4100, "cloud_address": "{store}",
                "configuration_ms": 2000, "drain_ms": 2000, "stop_grace_s": 8,
                "retry_ratio": 0.2, "retry_extra": 56, "retry_window_s": 10,
                "receiver_checks_fencing": true, "usage_window_s": 5, "directory_ttl_max_s": 5,
                "replica_heartbeat_ms": 1200, "seeds": ["127.0.0.2:1", "127.0.0.3:1"],
                "store_address": "{store}"}}"#,
            last_port = peer_port + 15,
            store = store.address,
        );
        let path = folder.join(format!("settings-{number}.json"));
        std::fs::write(&path, settings).map_err(|err| format!("{}: {err}", path.display()))?;
        let log = std::fs::File::create(folder.join(format!("gateway-{number}.log")));
        let log = log.map_err(|err| err.to_string())?;
        let errors = log.try_clone().map_err(|err| err.to_string())?;
        let mut command = Command::new(GATEWAY_COMMAND[0]);
        command.arg(GATEWAY_COMMAND[1]).env("BERYLSTEP_SETTINGS", &path);
        let command = command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let process = end_with_parent(command).spawn();
        let process = process.map_err(|err| format!("cannot start a gateway: {err}"))?;
        let gateway = Self { process, callers, readiness, directory, folder };
        let until = Instant::now() + START_TIMEOUT;
        while !gateway.is_ready() {
            if Instant::now() > until {
                return Err("a gateway does not become ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(gateway)
    }

    /// Returns whether the gateway reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let text = "GET /v1/readiness HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n";
        ask(self.readiness, text).is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns how the process has ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        self.process.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the last lines of the log of gateway `number`.
    pub fn log_tail(&self, number: u8, lines: usize) -> Vec<String> {
        let path = self.folder.join(format!("gateway-{number}.log"));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let all: Vec<_> = text.lines().map(str::to_owned).collect();
        all[all.len().saturating_sub(lines)..].to_vec()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns the desired state: route `/NAME/` of host `h.example` to the service NAME for each of `routes`, which
/// have a kind, whether they are resumable, and a timeout in milliseconds.
pub fn desired_state(version: u64, routes: &[(&str, &str, bool, u64)]) -> String {
    let route = |(name, kind, resumable, timeout): &(&str, &str, bool, u64)| {
        let attempts = if *resumable || *kind == "safe" { 2 } else { 1 };
        format!(
            r#"{{"Name": "{name}", "Host": "h.example", "Prefix": "/{name}/", "Kind": "{kind}",
                "TimeoutMs": {timeout}, "TargetLatencyMs": 300, "Priority": 0, "Service": "{name}",
                "Attempts": {attempts}, "Public": false, "Resumable": {resumable}, "GapTargetMs": 800}}"#
        )
    };
    let service = |(name, ..): &(&str, &str, bool, u64)| {
        format!(r#"{{"Name": "{name}", "ConnectionLimit": 370}}"#)
    };
    let routes_text: Vec<_> = routes.iter().map(route).collect();
    let services: Vec<_> = routes.iter().map(service).collect();
    format!(
        r#"{{"Version": {version}, "Routes": [{}], "Services": [{}],
            "Limits": {{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}},
            "Tenants": [{{"Name": "org", "Keys": ["key-of-org"], "Priority": 1}}]}}"#,
        routes_text.join(","),
        services.join(",")
    )
}

/// Returns the entry of a replica in the store.
pub fn replica_entry(address: SocketAddr, service: &str, state: &str, born: u64, beat: u64) -> String {
    format!(
        r#"{{"Service": "{service}", "Address": "{address}", "Zone": "a", "Version": "v1",
            "Slots": 64, "State": "{state}", "ColdRemainingMs": 0, "Sequence": {beat}, "born": {born}}}"#
    )
}

/// Returns the text of a caller's request with a body.
pub fn request_text(route: &str, id: &str, timeout_ms: u64, headers: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {id}\r\n\
         Berylstep-Deadline-Milliseconds: {timeout_ms}\r\nX-Api-Key: key-of-org\r\n{headers}\
         Content-Length: 4\r\n\r\nbody"
    )
}
