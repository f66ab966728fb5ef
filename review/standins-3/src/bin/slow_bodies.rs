//! Many bodies of legal size that are sent piece by piece, and new connections of ordinary callers.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_review_3::*;
use berylstep_standins::fleet::lock;
use serde_json::json;

/// Connections of the clients that nobody controls.
const CONNECTIONS: usize = 3600;
const THREADS: usize = 36;
const BODY_BYTES: usize = 1_000_000;
const PIECE: [u8; 16] = [b'x'; 16];
const PIECE_PAUSE: Duration = Duration::from_millis(700);
/// Ordinary callers; the rule asks for seven.
const ORDINARY: usize = 8;
const CALM: Duration = Duration::from_secs(4);
/// Time in which the clients have connected.
const RAMP: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(20);
/// The bound of the rule, `ContactMs`.
const CONTACT: Duration = Duration::from_secs(3);

/// A try of an ordinary caller on a new connection.
struct Try {
    caller: usize,
    from: Duration,
    to: Duration,
    status: u16,
}

fn main() {
    let record = begin();
    watch_time();
    let trouble = has_trouble();
    if open_files() < CONNECTIONS + 1000 {
        give_up("too few descriptors for the clients");
    }
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let work = Duration::from_millis(15);
    let replicas = (0..3).map(|number| {
        start_service(&format!("i-{number}"), "desk", 6, &record, &runs, work, |_| 200)
    });
    let routes = json!([{
        "Name": "check", "Host": "h.example", "Prefix": "/check/", "Kind": "safe",
        "TimeoutMs": 800, "TargetLatencyMs": 100, "Priority": 0, "Service": "desk", "Attempts": 2,
    }]);
    let services = json!([{"Name": "desk", "ConnectionLimit": 110}]);
    let desired = desired_state(routes, services);
    let plan = Plan { gateways: 3, desired, replicas: replicas.collect() };
    let deployment = Deployment::start(plan, &record);
    let (target, ready) = (deployment.gateways[0].callers, deployment.gateways[0].readiness);
    let stop = AtomicBool::new(false);
    let (tries, checks): (Mutex<Vec<Try>>, Mutex<Vec<(Duration, bool)>>) = Default::default();
    std::thread::scope(|scope| {
        let (record, stop, tries, checks) = (&record, &stop, &tries, &checks);
        for caller in 0..ORDINARY {
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let tried = try_once(caller, target, record);
                    lock(tries).push(tried);
                    std::thread::sleep(Duration::from_millis(200));
                }
            });
        }
        scope.spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let is_ready = readiness(ready);
                record.line(&format!("the gateway says that it is ready: {is_ready}"));
                lock(checks).push((record.now(), is_ready));
                std::thread::sleep(Duration::from_secs(1));
            }
        });
        std::thread::sleep(CALM);
        if trouble {
            record.line(&format!("{CONNECTIONS} clients begin to send"));
            for _ in 0..THREADS {
                scope.spawn(move || send_slowly(target, stop));
            }
        }
        std::thread::sleep(RAMP + LENGTH);
        stop.store(true, Ordering::SeqCst);
    });
    let (tries, checks) = (lock(&tries), lock(&checks));
    let (from, to) = longest_gap(&tries, record.now());
    let callers = (0..ORDINARY).filter(|caller| {
        tries.iter().any(|tried| tried.caller == *caller && tried.from >= from && tried.to <= to)
    });
    let callers = callers.count();
    let said_ready = checks.iter().filter(|(at, _)| *at >= from && *at <= to).all(|(_, ready)| *ready);
    let failed = tries.iter().filter(|tried| tried.status == 0).count();
    record.say(&format!(
        "{} tries, {failed} without an answer; longest time in which no new connection was served: {:.1} s, \
         with {callers} callers that tried, ready all the while: {said_ready}; allowed {CONTACT:?}",
        tries.len(),
        (to - from).as_secs_f64()
    ));
    drop((tries, checks));
    match to - from > CONTACT && callers >= 7 && said_ready {
        true => deployment.end_with(BROKEN, &record, "RECOVER is broken"),
        false => deployment.end_with(HELD, &record, "RECOVER holds"),
    }
}

/// Returns the longest time between two tries that were answered, or from the last one to `end`.
fn longest_gap(tries: &[Try], end: Duration) -> (Duration, Duration) {
    let mut served: Vec<_> =
        tries.iter().filter(|tried| tried.status > 0).map(|tried| tried.to).collect();
    served.push(end);
    served.sort();
    let gaps = served.windows(2).map(|pair| (pair[0], pair[1]));
    gaps.max_by_key(|(from, to)| *to - *from).unwrap_or_default()
}

fn try_once(caller: usize, address: SocketAddr, record: &Record) -> Try {
    let (from, attempt) = (record.now(), attempt_id());
    let request = format!(
        "GET /check/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {attempt}\r\n\
         Berylstep-Deadline-Milliseconds: 1500\r\nX-Api-Key: {ORDINARY_KEY}\r\n\r\n"
    );
    let (status, what) = match Caller::connect(address) {
        Err(err) => (0, format!("not connected: {err}")),
        Ok(mut connection) => match connection.call(&request, Duration::from_millis(1500)) {
            Some(answer) => (answer.status(), format!("answered {}", answer.status())),
            None => (0, "connected, no answer".to_owned()),
        },
    };
    record.line(&format!("caller {caller} sent {attempt} on a new connection: {what}"));
    Try { caller, from, to: record.now(), status }
}

/// Keeps some connections open and sends a piece of a body on each at a time.
fn send_slowly(address: SocketAddr, stop: &AtomicBool) {
    let mut open: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let round = Instant::now();
        open.retain_mut(|stream| {
            let mut byte = [0; 1];
            let is_open =
                matches!(stream.read(&mut byte), Err(err) if err.kind() == ErrorKind::WouldBlock);
            is_open && stream.write_all(&PIECE).is_ok()
        });
        while open.len() < CONNECTIONS / THREADS && round.elapsed() < PIECE_PAUSE / 2 {
            if let Some(stream) = begin_body(address) {
                open.push(stream);
            }
        }
        std::thread::sleep(PIECE_PAUSE.saturating_sub(round.elapsed()));
    }
}

fn begin_body(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, PIECE_PAUSE / 2).ok()?;
    let head = format!(
        "POST /check/x HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {}\r\n\
         Berylstep-Deadline-Milliseconds: 60000\r\nX-Api-Key: {OTHER_KEY}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n",
        attempt_id()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}
