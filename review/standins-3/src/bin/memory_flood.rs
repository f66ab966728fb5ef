//! Many bodies of legal size that stop just short of their end, and the memory of the machine.

use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_review_3::*;
use berylstep_standins::fleet::lock;
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// Connections of the clients that nobody controls.
const CONNECTIONS: usize = 8000;
const THREADS: usize = 40;
/// Time between two moments at which all clients send.
const WAVE: Duration = Duration::from_millis(1300);
const BODY_BYTES: usize = 65_531;
/// Memory of the machine, in KiB; a process beyond it is killed.
const MEMORY_KIB: u64 = 260 * 1024;
const ORDINARY: usize = 48;
const WORK: Duration = Duration::from_millis(300);
const CALM: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(75);
/// Time that a client gives a connection.
const CONNECT_PATIENCE: Duration = Duration::from_secs(3);
/// A connection is being opened (Linux).
const EINPROGRESS: i32 = 115;
/// Requests that may be passed on and then get no answer.
const ALLOWED: usize = 3;

fn main() {
    let record = begin();
    watch_time();
    let trouble = has_trouble();
    if open_files() < CONNECTIONS + 1000 {
        give_up("too few descriptors for the clients");
    }
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let replicas = (0..6).map(|number| {
        start_service(&format!("i-{number}"), "desk", 12, &record, &runs, WORK, |_| 200)
    });
    let routes = json!([{
        "Name": "confirm", "Host": "h.example", "Prefix": "/confirm/", "Kind": "unsafe",
        "TimeoutMs": 3000, "TargetLatencyMs": 500, "Priority": 0, "Service": "desk", "Attempts": 1,
    }]);
    let services = json!([{"Name": "desk", "ConnectionLimit": 110}]);
    let desired = desired_state(routes, services);
    let plan = Plan { gateways: 3, desired, replicas: replicas.collect(), binds_upstreams: false };
    let mut deployment = Deployment::start(plan, &record);
    let (target, pid) = (deployment.gateways[0].callers, deployment.gateways[0].process.id());
    let (stop, killed_at) = (AtomicBool::new(false), AtomicU64::new(0));
    let peak = AtomicU64::new(0);
    let unanswered: Mutex<Vec<String>> = Mutex::default();
    let process = Mutex::new(&mut deployment.gateways[0].process);
    std::thread::scope(|scope| {
        let (record, stop, killed_at, peak, unanswered, process) =
            (&record, &stop, &killed_at, &peak, &unanswered, &process);
        for _ in 0..ORDINARY {
            scope.spawn(move || call_in_turn(target, stop, record, unanswered));
        }
        // The platform watches the memory of the machine.
        scope.spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let used = resident_kib(pid);
                peak.fetch_max(used, Ordering::SeqCst);
                if used > MEMORY_KIB {
                    record.say(&format!("process uses {used} KiB of {MEMORY_KIB}: killed"));
                    lock(process).kill();
                    killed_at.store(record.now().as_millis() as u64, Ordering::SeqCst);
                    return;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        std::thread::sleep(CALM);
        let end = Instant::now() + LENGTH;
        if trouble {
            let started = Instant::now();
            record.line(&format!("{CONNECTIONS} clients begin to send"));
            for _ in 0..THREADS {
                scope.spawn(move || send_short(target, stop, started));
            }
        }
        while Instant::now() < end && killed_at.load(Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(500));
        stop.store(true, Ordering::SeqCst);
    });
    let ran: HashSet<_> = lock(&runs).iter().map(|run| run.attempt.clone()).collect();
    let lost = lock(&unanswered).iter().filter(|attempt| ran.contains(*attempt)).count();
    let killed = killed_at.load(Ordering::SeqCst) > 0;
    record.say(&format!(
        "peak {} KiB of {MEMORY_KIB}; killed: {killed}; requests of kept connections that were passed on and \
         whose connections closed without an answer: {lost}, allowed {ALLOWED}",
        peak.load(Ordering::SeqCst)
    ));
    match killed && lost > ALLOWED {
        true => deployment.end_with(BROKEN, &record, "LOST is broken, and a process ended"),
        false => deployment.end_with(HELD, &record, "the process stayed within its memory"),
    }
}

fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or_default()
}

/// Sends requests one after the other on a kept connection.
fn call_in_turn(
    address: SocketAddr,
    stop: &AtomicBool,
    record: &Record,
    unanswered: &Mutex<Vec<String>>,
) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut caller) = Caller::connect(address) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut is_kept = false;
        while !stop.load(Ordering::SeqCst) {
            let attempt = attempt_id();
            let request = format!(
                "POST /confirm/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {attempt}\r\n\
                 Berylstep-Deadline-Milliseconds: 3000\r\nX-Api-Key: {ORDINARY_KEY}\r\n\
                 Content-Length: 4\r\n\r\nbody"
            );
            let sent_at = Instant::now();
            let answer = caller.call(&request, Duration::from_millis(3500));
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            record.line(&format!("sent {attempt} on a kept connection: {is_kept}, answered {status}"));
            if answer.is_none() {
                let is_closed = sent_at.elapsed() < Duration::from_millis(3000);
                if is_kept && is_closed {
                    lock(unanswered).push(attempt);
                }
                break;
            }
            is_kept = true;
        }
    }
}

/// A connection of a client that nobody controls.
struct ShortBody {
    stream: TcpStream,
    request: Vec<u8>,
    head_bytes: usize,
    sent: usize,
    opened_at: Instant,
}

impl ShortBody {
    /// Begins to connect.
    fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Err(err) if err.raw_os_error() != Some(EINPROGRESS) => return Err(err),
            _ => {}
        }
        let mut request = format!(
            "POST /confirm/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {}\r\n\
             Berylstep-Deadline-Milliseconds: 3000\r\nX-Api-Key: {OTHER_KEY}\r\n\
             Content-Length: {BODY_BYTES}\r\n\r\n",
            attempt_id()
        );
        let head_bytes = request.len();
        request.extend(std::iter::repeat_n('x', BODY_BYTES - 1));
        let request = request.into_bytes();
        Ok(Self { stream: socket.into(), request, head_bytes, sent: 0, opened_at: Instant::now() })
    }

    /// Sends what can be sent now; returns whether the connection is of use.
    fn advance(&mut self) -> bool {
        while self.sent < self.request.len() {
            // The body follows its head.
            let end = match self.sent < self.head_bytes {
                true => self.head_bytes,
                false => self.request.len(),
            };
            match self.stream.write(&self.request[self.sent..end]) {
                Ok(count) => self.sent += count,
                Err(err) if is_pending(&err) => {
                    return self.sent > 0 || self.opened_at.elapsed() < CONNECT_PATIENCE
                }
                Err(_) => return false,
            }
        }
        let mut bytes = [0; 512];
        match self.stream.read(&mut bytes) {
            Ok(count) => count > 0,
            Err(err) => is_pending(&err),
        }
    }
}

fn is_pending(err: &std::io::Error) -> bool {
    matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected)
}

/// Keeps some connections open, each with a request that lacks the last byte of its body. All clients send at
/// once, as often as `WAVE`.
fn send_short(address: SocketAddr, stop: &AtomicBool, start: Instant) {
    let mut open: Vec<ShortBody> = Vec::new();
    for wave in 0.. {
        while open.len() < CONNECTIONS / THREADS {
            match ShortBody::open(address) {
                Ok(body) => open.push(body),
                Err(_) => break,
            }
        }
        while start.elapsed() < WAVE * wave {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            open.retain_mut(ShortBody::advance);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
