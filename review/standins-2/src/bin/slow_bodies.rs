//! Clients that nobody controls send many chunked bodies at once, in very small chunks, beside ordinary callers.
//!
//! Exits with 1 if the gateway says that it is ready and took no new connection for `ContactMs` while seven or more
//! callers tried (RECOVER), with 0 if it did not.

use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use review_standins_2::fleet::{desired_state, free_port, replica_entry, Gateway};
use review_standins_2::http::{listen, read_message};
use review_standins_2::record::{has_trouble, Record, BROKEN, CANNOT_RUN, HELD};
use review_standins_2::socket::connect_from;
use review_standins_2::store::Store;

/// Clients that nobody controls, and the very small chunks in which they send their bodies.
const CROWD: usize = 3400;
const CROWD_THREADS: usize = 17;
const CHUNK: &[u8] = b"8\r\nxxxxxxxx\r\n";
const CHUNK_INTERVAL: Duration = Duration::from_millis(600);

/// Ordinary callers; each tries on a new connection, as after a new answer of the directory.
const CALLERS: usize = 10;
const CALLER_PAUSE: Duration = Duration::from_millis(200);

/// Time that ordinary callers allow for an answer; the time limit of their requests.
const CALLER_PATIENCE: Duration = Duration::from_millis(1500);

/// Descriptors that the crowd takes in this process, and the gateway in its own.
const MIN_DESCRIPTORS: u64 = 4500;

/// Times from the start of ordinary traffic.
const CROWD_AFTER: Duration = Duration::from_secs(3);
const TRAFFIC_TIME: Duration = Duration::from_secs(25);

/// `ContactMs` of the sites, and the callers of the rule.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MIN_TRYING: usize = 7;

/// One try of an ordinary caller.
#[derive(Clone, Copy)]
struct Try {
    caller: usize,
    began: Duration,
    /// Time at which the gateway was seen to have read the request: it answered.
    taken: Option<Duration>,
}

fn main() {
    let record = Arc::new(Record::create());
    match run(&record) {
        Ok(code) => std::process::exit(code),
        Err(err) => {
            record.verdict(&format!("could not run: {err}"));
            std::process::exit(CANNOT_RUN);
        }
    }
}

fn run(record: &Arc<Record>) -> Result<i32, String> {
    let trouble = has_trouble();
    let descriptors = descriptor_limit();
    if descriptors < MIN_DESCRIPTORS {
        return Err(format!("{descriptors} descriptors a process, {MIN_DESCRIPTORS} needed"));
    }
    let store = Store::start().map_err(|err| err.to_string())?;
    store.put("op", "config", Some(&desired_state(1, &[("desk", "safe", false, 1500)])));
    let desk = start_desk(record).map_err(|err| err.to_string())?;
    store.put("servers", "d-1", Some(&replica_entry(desk, "desk", "ready", 0, 1)));
    let mut gateway = Gateway::start(&store, 2, free_port("127.0.0.2"))?;
    let pid = gateway.process.id();
    record.line(&format!("gateway pid={pid} ready trouble={trouble}"));
    let is_over = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let started_at = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, tries, is_over) = (record.clone(), tries.clone(), is_over.clone());
            let address = gateway.callers;
            std::thread::spawn(move || {
                call(caller, address, started_at, &record, &tries, &is_over)
            })
        })
        .collect();
    std::thread::sleep(CROWD_AFTER);
    let opened = Arc::new(AtomicUsize::new(0));
    let mut crowd = Vec::new();
    if trouble {
        record.line(&format!(
            "crowd begins: {CROWD} clients, chunks of 8 bytes each {} ms",
            CHUNK_INTERVAL.as_millis()
        ));
        for thread in 0..CROWD_THREADS {
            let (opened, is_over, address) = (opened.clone(), is_over.clone(), gateway.callers);
            crowd.push(std::thread::spawn(move || send_bodies(thread, address, &opened, &is_over)));
        }
    }
    let mut ready_samples = (0, 0);
    while started_at.elapsed() < TRAFFIC_TIME {
        std::thread::sleep(Duration::from_millis(500));
        let is_ready = gateway.is_ready();
        ready_samples = (ready_samples.0 + usize::from(is_ready), ready_samples.1 + 1);
        record.line(&format!(
            "gateway ready={is_ready} crowd_open={} rss_kib={}",
            opened.load(Ordering::SeqCst),
            resident_kib(pid)
        ));
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in callers.into_iter().chain(crowd) {
        let _ = thread.join();
    }
    let ended = gateway.ended();
    let tries = tries.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let (from, to, trying) = longest_gap(&tries);
    let is_broken = to.saturating_sub(from) >= CONTACT_TIME && trying >= MIN_TRYING;
    let answered = tries.iter().filter(|it| it.taken.is_some()).count();
    record.verdict(&format!(
        "RECOVER {}: longest time without a new connection that was taken {:.1} s (from {:.1} s), {trying} \
         callers tried in it; {answered} of {} tries answered; ready in {} of {} samples; process ended: {}",
        if is_broken { "broken" } else { "held" },
        to.saturating_sub(from).as_secs_f64(),
        from.as_secs_f64(),
        tries.len(),
        ready_samples.0,
        ready_samples.1,
        ended.as_deref().unwrap_or("no")
    ));
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Returns the longest time in which no try was taken, and the callers that tried in it.
fn longest_gap(tries: &[Try]) -> (Duration, Duration, usize) {
    let mut taken: Vec<_> = tries.iter().filter_map(|it| it.taken).collect();
    taken.push(Duration::ZERO);
    taken.push(TRAFFIC_TIME);
    taken.sort_unstable();
    let gaps = taken.windows(2).map(|pair| (pair[0], pair[1]));
    let (from, to) = gaps.max_by_key(|(from, to)| *to - *from).unwrap_or_default();
    let mut callers: Vec<_> = tries
        .iter()
        .filter(|it| it.began >= from && it.began + CALLER_PATIENCE <= to)
        .map(|it| it.caller)
        .collect();
    callers.sort_unstable();
    callers.dedup();
    (from, to, callers.len())
}

/// Returns the soft limit of this process, which the gateway inherits.
fn descriptor_limit() -> u64 {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find(|line| line.starts_with("Max open files")).unwrap_or_default();
    match line.split_whitespace().nth(3) {
        Some("unlimited") => u64::MAX,
        Some(limit) => limit.parse().unwrap_or_default(),
        None => 0,
    }
}

fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// Sends requests, each on a new connection from an address of the caller's own.
fn call(
    caller: usize,
    address: SocketAddr,
    started_at: Instant,
    record: &Record,
    tries: &Mutex<Vec<Try>>,
    is_over: &AtomicBool,
) {
    let own = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 10 + caller as u8));
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{caller:02}{count:06x}");
        let began = started_at.elapsed();
        let outcome = send_one(own, address, &id);
        record.line(&format!("caller id={id} outcome={outcome}"));
        let taken = outcome.starts_with("status").then(|| started_at.elapsed());
        let sample = Try { caller, began, taken };
        tries.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
        std::thread::sleep(CALLER_PAUSE);
    }
}

fn send_one(own: IpAddr, address: SocketAddr, id: &str) -> String {
    let mut stream = match connect_from(own, address, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(err) => return format!("not connected within 1 s: {:?}", err.kind()),
    };
    let text = format!(
        "GET /desk/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {id}\r\n\
         Berylstep-Deadline-Milliseconds: 1500\r\nX-Api-Key: key-of-org\r\n\r\n"
    );
    let _ = stream.set_read_timeout(Some(CALLER_PATIENCE));
    if let Err(err) = stream.write_all(text.as_bytes()) {
        return format!("not sent: {err}");
    }
    match read_message(&mut BufReader::new(stream)) {
        Some(answer) => format!("status {}", answer.status()),
        None => "closed or silent".to_owned(),
    }
}

/// Opens a part of the crowd's connections and sends a chunk on each of them from time to time.
fn send_bodies(thread: usize, address: SocketAddr, opened: &AtomicUsize, is_over: &AtomicBool) {
    let own = IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1));
    let head = format!(
        "POST /desk/upload HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: c{thread:03}\r\n\
         Berylstep-Deadline-Milliseconds: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut streams: Vec<TcpStream> = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let round = Instant::now();
        let before = streams.len();
        streams.retain_mut(|stream| stream.write_all(CHUNK).is_ok());
        opened.fetch_sub(before - streams.len(), Ordering::SeqCst);
        while streams.len() < CROWD / CROWD_THREADS && round.elapsed() < CHUNK_INTERVAL {
            let Ok(mut stream) = connect_from(own, address, Duration::from_millis(300)) else { break };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
            if stream.write_all(head.as_bytes()).is_err() {
                break;
            }
            streams.push(stream);
            opened.fetch_add(1, Ordering::SeqCst);
        }
        std::thread::sleep(CHUNK_INTERVAL.saturating_sub(round.elapsed()));
    }
}

fn start_desk(record: &Arc<Record>) -> std::io::Result<SocketAddr> {
    let record = record.clone();
    listen("127.0.0.1:0", move |stream| {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader).filter(|request| request.is_whole) {
            let id = request.header("berylstep-attempt-id").unwrap_or("-").to_owned();
            record.line(&format!("run id={id} replica=d-1"));
            std::thread::sleep(Duration::from_millis(15));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {id}\r\n\
                 Berylstep-Replica-Signature: sig\r\nContent-Length: 4\r\n\r\ndone"
            );
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}
