//! A small deployment for the review's scripts: gateways as separate processes, the platform's store, and a
//! record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use berylstep_standins::fleet::lock;
use berylstep_standins::fleet::message::{read_message, RawMessage};
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::{free_address, ChildProcess};
use serde_json::{json, Value};

/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that couldn't run.
pub const NOT_RUN: i32 = 2;

/// Interval at which replicas check in.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time after which a case that hasn't ended is given up.
const CASE_LIMIT: Duration = Duration::from_secs(112);

/// Record of a case, at the path in the environment variable `RECORD`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Writes one line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        writeln!(lock(&self.file), "{at:8.3} {text}").expect("the record can be written");
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Starts the record.
pub fn begin() -> Record {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = File::create(path);
    let file = Arc::new(Mutex::new(file.unwrap_or_else(|err| give_up(&format!("record: {err}")))));
    Record { start: Instant::now(), file }
}

/// Returns whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends a case that can't run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(NOT_RUN)
}

/// Returns how many descriptors a process may open.
pub fn open_files() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find(|line| line.starts_with("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().nth(3));
    soft.and_then(|soft| soft.parse().ok()).unwrap_or(usize::MAX)
}

/// A replica's entry in the store.
#[derive(Clone)]
pub struct ReplicaEntry {
    /// Identifier.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Start of its process; 0 while it is down.
    pub born: Arc<Mutex<u64>>,
}

impl ReplicaEntry {
    /// Describes a replica that has just started.
    pub fn new(id: &str, service: &str, address: SocketAddr, slots: u32) -> Self {
        let born = Arc::new(Mutex::new(unix_ms()));
        Self { id: id.to_owned(), service: service.to_owned(), address, slots, born }
    }
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// A deployment; its gateways end when it is dropped.
pub struct Deployment {
    /// Gateways.
    pub gateways: Vec<Gateway>,
    /// The platform's store.
    pub store: FakeStore,
}

/// A gateway process and its addresses.
pub struct Gateway {
    /// Process.
    pub process: ChildProcess,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness.
    pub readiness: SocketAddr,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
    }
}

/// What a deployment is started with.
pub struct Plan {
    /// Number of gateways.
    pub gateways: u8,
    /// The desired state.
    pub desired: Value,
    /// Replicas, which check in.
    pub replicas: Vec<ReplicaEntry>,
    /// Whether gateways connect to replicas from their own addresses, by which replicas tell them apart.
    pub binds_upstreams: bool,
}

impl Deployment {
    /// Starts a deployment and waits until all its gateways are ready.
    pub fn start(plan: Plan, record: &Record) -> Self {
        let folder = std::env::var("WORK").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
        let store = FakeStore::start();
        store.put("op", "config", Some(plan.desired));
        check_in(&store, &plan.replicas, 1);
        let beats = (store.clone(), plan.replicas);
        std::thread::spawn(move || {
            for sequence in 2.. {
                std::thread::sleep(HEARTBEAT);
                check_in(&beats.0, &beats.1, sequence);
            }
        });
        let peer_port = free_address().port();
        // Addresses of their own keep runs at the same time apart.
        let net = 16 + (std::process::id() % 200) as u8;
        let ips: Vec<_> = (2..2 + plan.gateways).map(|n| Ipv4Addr::new(127, 9, net, n)).collect();
        let gateways: Vec<_> = ips
            .iter()
            .enumerate()
            .map(|(index, ip)| start_gateway(index, *ip, &ips, peer_port, &store, &folder, plan.binds_upstreams))
            .collect();
        let deployment = Self { gateways, store };
        let end = Instant::now() + Duration::from_secs(20);
        while !deployment.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > end {
                deployment.end_with(NOT_RUN, record, "the gateways did not become ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("{} gateways are ready", deployment.gateways.len()));
        deployment
    }

    /// Ends all processes, and then this one.
    pub fn end_with(self, code: i32, record: &Record, verdict: &str) -> ! {
        record.say(&format!("{verdict}: exit {code}"));
        drop(self);
        std::process::exit(code)
    }
}

fn check_in(store: &FakeStore, replicas: &[ReplicaEntry], sequence: u64) {
    for replica in replicas {
        let born = *lock(&replica.born);
        if born > 0 {
            let entry = json!({
                "Service": replica.service, "Address": replica.address, "Zone": "a",
                "Version": "v1", "Slots": replica.slots, "State": "ready", "ColdRemainingMs": 0,
                "Sequence": sequence, "born": born,
            });
            store.put("servers", &replica.id, Some(entry));
        }
    }
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Makes a process end with the one that starts it, also if that is killed.
fn end_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: `prctl` is called in the child before its program starts, and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// Starts a gateway with the command of the deploy file and the settings of a machine of the small deployment.
fn start_gateway(
    index: usize,
    ip: Ipv4Addr,
    all: &[Ipv4Addr],
    peer_port: u16,
    store: &FakeStore,
    folder: &Path,
    binds_upstreams: bool,
) -> Gateway {
    let listen = || SocketAddr::new(IpAddr::V4(ip), free_address().port());
    let (callers, readiness, directory) = (listen(), listen(), listen());
    let seeds: Vec<_> = all.iter().take(3).map(|ip| format!("{ip}:1")).collect();
    let settings = json!({
        "node": format!("frontend-a-{}", index + 1), "zone": "a", "region": "r", "ip_address": ip,
        "peer_ports": [peer_port, peer_port + 1], "first_start": true, "seeds": seeds,
        "listen": {"callers": callers, "readiness": readiness, "directory": directory},
        "metrics_port": 0, "store_address": store.address, "cloud_address": store.address,
        "rule_groups": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                        "tenants", "leader", "platform"],
        "memory_mb": 260, "core_share": 0.25, "link_mbps": 1000.0, "file_descriptors": 4100,
        "configuration_ms": 2000, "drain_ms": 2000, "stop_grace_s": 8, "retry_ratio": 0.2,
        "retry_extra": 56, "retry_window_s": 10, "receiver_checks_fencing": true,
        "usage_window_s": 5, "directory_ttl_max_s": 5, "replica_heartbeat_ms": 1200,
        "upstream_source": binds_upstreams.then_some(ip),
    });
    let path = folder.join(format!("settings-{index}.json"));
    let log = File::create(folder.join(format!("log-{index}.txt")));
    let written = std::fs::write(&path, settings.to_string());
    let (Ok(log), Ok(())) = (log, written) else { give_up("settings can't be written") };
    let mut command = Command::new("target/release/berylstep");
    command.arg("gateway").env("BERYLSTEP_SETTINGS", &path).stdout(log).stderr(Stdio::null());
    let process = ChildProcess::start(end_with_parent(&mut command));
    let process = process.unwrap_or_else(|err| give_up(&format!("gateway: {err}")));
    Gateway { process, callers, readiness }
}

impl Gateway {
    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        readiness(self.readiness)
    }
}

/// Returns whether the gateway with this readiness address says that it is ready.
pub fn readiness(address: SocketAddr) -> bool {
    let timeout = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else { return false };
    let request = b"GET /v1/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let is_set = stream.set_read_timeout(Some(timeout)).is_ok();
    let is_sent = is_set && stream.write_all(request).is_ok();
    is_sent && read_message(&mut stream).is_some_and(|answer| answer.status() == 200)
}

/// A caller's connection.
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    /// Connects within a second, the time that callers allow.
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request and waits for its answer; `None` if there is none in time.
    pub fn call(&mut self, request: &str, timeout: Duration) -> Option<RawMessage> {
        self.reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        read_message(&mut self.reader)
    }
}

/// Returns a new identifier of an attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// Returns a desired state with these routes and services, and two organisations with a key each.
pub fn desired_state(routes: Value, services: Value) -> Value {
    json!({
        "Version": 1, "Routes": routes, "Services": services,
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 5000,
                   "IdleTimeoutMs": 10000},
        "Tenants": [{"Name": "ordinary", "Keys": [ORDINARY_KEY]},
                    {"Name": "other", "Keys": [OTHER_KEY]}],
    })
}

/// Key of the ordinary callers.
pub const ORDINARY_KEY: &str = "ordinarykey000000001";

/// Key of the clients that nobody controls.
pub const OTHER_KEY: &str = "otherkey000000000002";

/// Gives the case up after its longest time.
pub fn watch_time() {
    std::thread::spawn(|| {
        std::thread::sleep(CASE_LIMIT);
        give_up("it took too long");
    });
}

/// Starts a replica that serves each request in `work` and records what it runs; it answers with what `status`
/// returns for the request, and resets the connection for 0.
pub fn start_service(
    id: &str,
    service: &str,
    slots: u32,
    record: &Record,
    runs: &Arc<Mutex<Vec<Run>>>,
    work: Duration,
    status: impl Fn(&RawMessage) -> u16 + Send + Sync + 'static,
) -> ReplicaEntry {
    use berylstep_standins::fleet::message::respond;
    use berylstep_standins::fleet::replica::FakeReplica;
    let (own, record, runs) = (id.to_owned(), record.clone(), runs.clone());
    let replica = FakeReplica::start(id, move |request, _, stream| {
        let attempt = request.header("berylstep-attempt-id").unwrap_or("-").to_owned();
        if request.header("berylstep-expected-replica").is_some_and(|expected| expected != own) {
            let answer = format!(
                "HTTP/1.1 421 X\r\nBerylstep-Attempt-Id: {attempt}\r\nBerylstep-Replica-Id: {own}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        record.line(&format!("replica {own} begins {attempt}"));
        lock(&runs).push(Run { at: record.now(), attempt, replica: own.clone() });
        std::thread::sleep(work);
        match status(request) {
            0 => {
                let linger = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                linger.is_err()
            }
            status => respond(stream, request, status, "", "done"),
        }
    });
    ReplicaEntry::new(id, service, replica.address, slots)
}

/// One request that a replica began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time of the start.
    pub at: Duration,
    /// Identifier of the attempt.
    pub attempt: String,
    /// Identifier of the replica.
    pub replica: String,
}
