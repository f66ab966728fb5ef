//! Tests of a gateway process with clients that nobody controls: its memory and its descriptors stay under the
//! limits of its VM, and ordinary requests are answered beside the crowd and after it.
//!
//! The tests check nothing that depends on the speed of the machine. They run one at a time.

use std::io::{ErrorKind, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{
    begin_events, read_message, respond, write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::json;

/// Memory of the VM and descriptors of the process, in the gateway's settings. Both are bounds of the tests.
const MEMORY_MB: u64 = 64;
const FILE_DESCRIPTORS: usize = 300;

/// Largest body that the desired state allows.
const BODY_BYTES: usize = 1 << 20;

/// Clients that send bodies, and clients that only hold a connection.
const BODY_CROWD: usize = 100;
const CONNECTION_CROWD: usize = 400;

/// Memory that the process may hold after the crowd beyond what it held before.
const MAX_KEPT_KIB: u64 = 24 * 1024;

/// Time for which a write of a client may wait; a gateway may stop reading.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of samples of the descriptors beside the crowd, and of the memory after it.
const SAMPLES: usize = 40;
const SAMPLE_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a replica works on a request, so that complete bodies are held for a while.
const WORK_TIME: Duration = Duration::from_millis(300);

/// Size of a piece of a body, and of the content of a large and of a small chunk.
const PIECE_BYTES: usize = 32 * 1024;
const LARGE_CHUNK_BYTES: usize = 256 * 1024;
const SMALL_CHUNK_BYTES: usize = 8;

/// Bytes that a client sends of a body that is over the limit.
const OVERSIZED_BYTES: usize = 8 << 20;

/// Body of a response that its caller leaves unread; the gateway buffers it whole.
const RESPONSE_BYTES: usize = 250_000;

/// Listener that a crowd connects to.
#[derive(Clone, Copy, Debug)]
enum CrowdTarget {
    Callers,
    Readiness,
    Directory,
    Metrics,
    Peers,
    Handovers,
}

struct CrowdCase {
    name: &'static str,
    target: CrowdTarget,
    clients: usize,
    /// What each client sends; it holds its connection afterwards.
    send: fn(&mut TcpStream) -> std::io::Result<()>,
}

/// Returns the head of a request with a body, up to and including the blank line.
fn head(route: &str, headers: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: id-1\r\n\
         Berylstep-Deadline-Milliseconds: 3000\r\n{headers}\r\n"
    )
}

fn write_length_head(stream: &mut TcpStream, route: &str, key: &str) -> std::io::Result<()> {
    let headers = format!("{key}Content-Length: {BODY_BYTES}\r\n");
    stream.write_all(head(route, &headers).as_bytes())
}

fn send_all_but_a_byte(stream: &mut TcpStream, route: &str, key: &str) -> std::io::Result<()> {
    write_length_head(stream, route, key)?;
    stream.write_all(&vec![b'x'; BODY_BYTES - 1])
}

/// Sends a chunked body of the largest size but for one byte.
fn send_chunks(stream: &mut TcpStream, chunk_bytes: usize) -> std::io::Result<()> {
    let headers = format!("{KEY_HEADER}Transfer-Encoding: chunked\r\n");
    stream.write_all(head("safe", &headers).as_bytes())?;
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let mut pending = Vec::new();
    for _ in 0..BODY_BYTES / chunk_bytes - 1 {
        pending.extend_from_slice(chunk.as_bytes());
        if pending.len() >= PIECE_BYTES {
            stream.write_all(&pending)?;
            pending.clear();
        }
    }
    let last = chunk_bytes - 1;
    pending.extend_from_slice(format!("{last:x}\r\n{}", "x".repeat(last)).as_bytes());
    stream.write_all(&pending)
}

fn send_open_head(stream: &mut TcpStream) -> std::io::Result<()> {
    let line = format!("X-Filler: {}\r\n", "x".repeat(1000));
    let text = format!("GET /safe/x HTTP/1.1\r\nHost: h\r\n{}", line.repeat(7));
    stream.write_all(text.as_bytes())
}

const CASES: &[CrowdCase] = &[
    CrowdCase {
        name: "whole but for a byte",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| send_all_but_a_byte(stream, "safe", KEY_HEADER),
    },
    CrowdCase {
        name: "piece by piece",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| {
            write_length_head(stream, "safe", KEY_HEADER)?;
            let body = vec![b'x'; BODY_BYTES - 1];
            for piece in body.chunks(PIECE_BYTES) {
                stream.write_all(piece)?;
                std::thread::sleep(Duration::from_millis(2));
            }
            Ok(())
        },
    },
    CrowdCase {
        name: "large chunks",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| send_chunks(stream, LARGE_CHUNK_BYTES),
    },
    CrowdCase {
        name: "small chunks",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| send_chunks(stream, SMALL_CHUNK_BYTES),
    },
    CrowdCase {
        name: "no key",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| send_all_but_a_byte(stream, "safe", ""),
    },
    CrowdCase {
        name: "unknown route",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| send_all_but_a_byte(stream, "none", KEY_HEADER),
    },
    CrowdCase {
        name: "over the limit, announced",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| {
            let headers = format!("{KEY_HEADER}Content-Length: {}\r\n", 1u64 << 40);
            stream.write_all(head("safe", &headers).as_bytes())?;
            let block = vec![b'x'; LARGE_CHUNK_BYTES];
            (0..OVERSIZED_BYTES / block.len()).try_for_each(|_| stream.write_all(&block))
        },
    },
    CrowdCase {
        name: "over the limit, sent",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| {
            let headers = format!("{KEY_HEADER}Transfer-Encoding: chunked\r\n");
            stream.write_all(head("safe", &headers).as_bytes())?;
            let chunk = format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES));
            (0..OVERSIZED_BYTES / PIECE_BYTES).try_for_each(|_| stream.write_all(chunk.as_bytes()))
        },
    },
    CrowdCase {
        name: "pipelined complete bodies",
        target: CrowdTarget::Callers,
        clients: BODY_CROWD,
        send: |stream| {
            let body = vec![b'x'; BODY_BYTES];
            (0..4).try_for_each(|_| {
                write_length_head(stream, "safe", KEY_HEADER)?;
                stream.write_all(&body)
            })
        },
    },
    CrowdCase {
        name: "open heads",
        target: CrowdTarget::Callers,
        clients: CONNECTION_CROWD,
        send: send_open_head,
    },
    CrowdCase {
        name: "responses left unread",
        target: CrowdTarget::Callers,
        clients: CONNECTION_CROWD,
        send: |stream| {
            let headers = format!("{KEY_HEADER}Content-Length: 0\r\n");
            stream.write_all(head("unsafe", &headers).repeat(4).as_bytes())
        },
    },
    CrowdCase {
        name: "streams left unread",
        target: CrowdTarget::Callers,
        clients: CONNECTION_CROWD,
        send: |stream| {
            let headers = format!("{KEY_HEADER}Content-Length: 0\r\n");
            stream.write_all(head("plain", &headers).as_bytes())
        },
    },
    CrowdCase {
        name: "open heads at the readiness address",
        target: CrowdTarget::Readiness,
        clients: CONNECTION_CROWD,
        send: send_open_head,
    },
    CrowdCase {
        name: "open heads at the directory",
        target: CrowdTarget::Directory,
        clients: CONNECTION_CROWD,
        send: send_open_head,
    },
    CrowdCase {
        name: "metrics left unread",
        target: CrowdTarget::Metrics,
        clients: CONNECTION_CROWD,
        send: |stream| {
            let text = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".repeat(200);
            stream.write_all(text.as_bytes())
        },
    },
    CrowdCase {
        name: "open frames at the peer address",
        target: CrowdTarget::Peers,
        clients: CONNECTION_CROWD,
        send: |stream| {
            let length = 1u32 << 20;
            stream.write_all(&length.to_be_bytes())?;
            stream.write_all(&vec![0; length as usize - 1])
        },
    },
    CrowdCase {
        name: "bodies at the handover address",
        target: CrowdTarget::Handovers,
        clients: BODY_CROWD,
        send: |stream| send_all_but_a_byte(stream, "safe", KEY_HEADER),
    },
];

struct CrowdFleet {
    _store: FakeStore,
    _replicas: Vec<FakeReplica>,
    gateway: FleetGateway,
    peer_port: u16,
}

impl CrowdFleet {
    fn start() -> Self {
        let store = FakeStore::start();
        let mut desired = desired_state(1);
        desired["Limits"]["BodyBytes"] = json!(BODY_BYTES);
        store.put("op", "config", Some(desired));
        let replicas = ["safe", "unsafe", "plain"].map(|service| {
            let replica = FakeReplica::start(&format!("i-{service}"), serve);
            store.put("servers", &replica.id, Some(replica.entry(service, "ready")));
            replica
        });
        let peer_port = free_address().port();
        let mut config = GatewayConfig::new(store.address, 4, peer_port);
        config.overrides.insert("memory_mb".to_owned(), json!(MEMORY_MB));
        config.overrides.insert("file_descriptors".to_owned(), json!(FILE_DESCRIPTORS));
        let gateway = FleetGateway::start_with(&config);
        Self { _store: store, _replicas: replicas.into(), gateway, peer_port }
    }

    fn address(&self, target: CrowdTarget) -> SocketAddr {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 4));
        match target {
            CrowdTarget::Callers => self.gateway.caller_address,
            CrowdTarget::Readiness => self.gateway.readiness_address,
            CrowdTarget::Directory => self.gateway.directory_address,
            CrowdTarget::Metrics => self.gateway.metrics_address,
            CrowdTarget::Peers => SocketAddr::new(ip, self.peer_port),
            CrowdTarget::Handovers => SocketAddr::new(ip, self.peer_port + 1),
        }
    }

    /// Returns a value in KiB of the process's status.
    fn status_kib(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.gateway.process.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or_default()
    }

    fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.gateway.process.id());
        std::fs::read_dir(path).map(Iterator::count).unwrap_or_default()
    }

    /// Sends an ordinary request; returns the status, or 0 without an answer.
    fn ordinary_status(&self, body_bytes: usize) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.gateway.caller_address) else { return 0 };
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the timeout is valid");
        let headers = format!("{KEY_HEADER}Content-Length: {body_bytes}\r\n");
        let sent = stream.write_all(head("safe", &headers).as_bytes());
        if sent.and_then(|()| stream.write_all(&vec![b'y'; body_bytes])).is_err() {
            return 0;
        }
        read_message(&mut stream).map_or(0, |answer| answer.status())
    }
}

/// Serves a request of a crowd: events as fast as they are read, a large response or a short one.
fn serve(request: &RawMessage, _: usize, stream: &mut TcpStream) -> bool {
    if request.target().starts_with("/plain") {
        let begun = begin_events(stream, request);
        return begun && (1..u32::MAX).all(|number| write_event(stream, number));
    }
    if request.target().starts_with("/unsafe") {
        return respond(stream, request, 200, "", &"x".repeat(RESPONSE_BYTES));
    }
    std::thread::sleep(WORK_TIME);
    respond(stream, request, 200, "", "answer")
}

/// Clients that have sent what their case says, and hold their connections until dropped.
struct Crowd {
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Crowd {
    fn start(case: &'static CrowdCase, address: SocketAddr, sent: &Arc<AtomicUsize>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let threads = (0..case.clients).map(|_| {
            let (is_over, sent) = (is_over.clone(), sent.clone());
            std::thread::spawn(move || {
                let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5));
                if let Ok(stream) = &stream {
                    let mut stream = stream;
                    let timeout = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                    timeout.expect("the timeout is valid");
                    let mut writer = stream.try_clone().expect("the stream can be cloned");
                    // A refused client sees its connection fail, or its writes wait.
                    if let Err(err) = (case.send)(&mut writer) {
                        assert_ne!(err.kind(), ErrorKind::InvalidInput, "{err}");
                    }
                    let _ = stream.flush();
                }
                sent.fetch_add(1, Ordering::SeqCst);
                while !is_over.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        });
        Self { threads: threads.collect(), is_over }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().expect("a client ends");
        }
    }
}

/// Crowds would measure each other if they came at once.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs one crowd; returns what was broken.
fn violations(case: &'static CrowdCase) -> Vec<String> {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = CrowdFleet::start();
    let mut broken = Vec::new();
    let mut check = |holds: bool, text: String| {
        if !holds {
            broken.push(text);
        }
    };
    let calm = fleet.ordinary_status(BODY_BYTES);
    check(calm == 200, format!("the largest body in calm got {calm}"));
    let before = fleet.status_kib("VmRSS:");
    let sent = Arc::new(AtomicUsize::new(0));
    let descriptors = AtomicU64::new(0);
    let crowd = Crowd::start(case, fleet.address(case.target), &sent);
    wait_until("the crowd has sent", || {
        descriptors.fetch_max(fleet.open_descriptors() as u64, Ordering::SeqCst);
        sent.load(Ordering::SeqCst) == case.clients
    });
    descriptors.fetch_max(fleet.open_descriptors() as u64, Ordering::SeqCst);
    let beside = fleet.ordinary_status(4);
    check(beside == 200, format!("an ordinary request beside the crowd got {beside}"));
    check(fleet.gateway.is_ready(), "the readiness address doesn't answer".to_owned());
    check(!fleet.gateway.addresses().is_empty(), "the directory doesn't answer".to_owned());
    // Connections may still wait to be accepted.
    for _ in 0..SAMPLES {
        descriptors.fetch_max(fleet.open_descriptors() as u64, Ordering::SeqCst);
        std::thread::sleep(SAMPLE_PAUSE);
    }
    drop(crowd);
    let after = fleet.ordinary_status(4);
    check(after == 200, format!("an ordinary request after the crowd got {after}"));
    let exit = fleet.gateway.process.exit_code();
    check(exit.is_none(), format!("the process ended with {exit:?}"));
    let peak = fleet.status_kib("VmHWM:");
    let bound = MEMORY_MB * 1024;
    check(peak <= bound, format!("{peak} KiB of memory at the peak, {bound} allowed"));
    let open = descriptors.into_inner();
    check(open <= FILE_DESCRIPTORS as u64, format!("{open} of {FILE_DESCRIPTORS} descriptors"));
    let mut kept = 0;
    for _ in 0..SAMPLES {
        kept = fleet.status_kib("VmRSS:").saturating_sub(before);
        if kept <= MAX_KEPT_KIB {
            break;
        }
        std::thread::sleep(SAMPLE_PAUSE);
    }
    check(kept <= MAX_KEPT_KIB, format!("{kept} KiB of memory are kept after the crowd"));
    println!("{}: before {before} KiB, peak {peak}, kept {kept}, descriptors {open}", case.name);
    broken
}

fn case(name: &str) -> &'static CrowdCase {
    CASES.iter().find(|case| case.name == name).expect("the case exists")
}

macro_rules! crowd_tests {
    ($($test:ident => $name:literal,)*) => {
        $(
            #[test]
            fn $test() {
                let broken = violations(case($name));
                assert!(broken.is_empty(), "{}: {broken:?}", $name);
            }
        )*

        #[test]
        fn each_case_has_a_test() {
            let names = [$($name),*];
            assert!(CASES.iter().all(|case| names.contains(&case.name)));
        }
    };
}

// Guards against clients that end the process, take its descriptors or keep it from answering others.
crowd_tests! {
    a_crowd_of_bodies_whole_but_for_a_byte => "whole but for a byte",
    a_crowd_of_bodies_piece_by_piece => "piece by piece",
    a_crowd_of_bodies_in_large_chunks => "large chunks",
    a_crowd_of_bodies_in_small_chunks => "small chunks",
    a_crowd_without_a_key => "no key",
    a_crowd_on_an_unknown_route => "unknown route",
    a_crowd_of_announced_oversized_bodies => "over the limit, announced",
    a_crowd_of_oversized_bodies => "over the limit, sent",
    a_crowd_of_pipelined_bodies => "pipelined complete bodies",
    a_crowd_of_open_heads => "open heads",
    a_crowd_that_reads_no_responses => "responses left unread",
    a_crowd_that_reads_no_streams => "streams left unread",
    a_crowd_at_the_readiness_address => "open heads at the readiness address",
    a_crowd_at_the_directory => "open heads at the directory",
    a_crowd_that_reads_no_metrics => "metrics left unread",
    a_crowd_at_the_peer_address => "open frames at the peer address",
    a_crowd_at_the_handover_address => "bodies at the handover address",
}
