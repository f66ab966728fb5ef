//! Nobody reads the log of a gateway. One of three replicas of streams names its place in a header whose value isn't
//! ASCII, and some of its streams are reset midway. Requests to another service, which is sound, come all the while.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::message::{read_message, request_text, respond};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::free_address;
use review_standins_4::{
    call_stream, desired_state, has_trouble, placed_replica, replica_entry, unix_ms, NodeConfig,
    TrialRecord, TrialResult, KEY_HEADER,
};

/// Callers of streams, the streams of each, and those of five at the replica that are reset: 0.4.
const CALLERS: u32 = 24;
const STREAMS: u32 = 16;
const RESET_OF_FIVE: u32 = 2;

/// Requests to the sound service that fill the log first, and those that are judged.
const FIRST_REQUESTS: u32 = 1000;
const JUDGED_REQUESTS: u32 = 20;

/// Time between two of the first requests; the gateway writes a bounded part of its log each second.
const FIRST_INTERVAL: Duration = Duration::from_millis(4);

/// `TimeoutMs` of the routes, and the half second of CONFIG.
const TIMEOUT: Duration = Duration::from_millis(3000);
const GRACE: Duration = Duration::from_millis(500);

/// Header of the replica.
const PLACE_HEADER: &str = "X-Place: Z\u{fc}rich 3\r\n";

fn main() -> ExitCode {
    match run() {
        Ok(result) => result.into(),
        Err(err) => {
            eprintln!("the trial can't run: {err}");
            TrialResult::NotRun.into()
        }
    }
}

/// Sends a request to the sound service; returns the status of its answer, and the time until then.
fn call_plain(address: SocketAddr, id: &str) -> (Option<u16>, Duration) {
    let began = Instant::now();
    let call = || {
        let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
        stream.set_read_timeout(Some(TIMEOUT + GRACE)).ok()?;
        stream.write_all(request_text("unsafe", id, 3000, KEY_HEADER).as_bytes()).ok()?;
        read_message(&mut stream).map(|answer| answer.status())
    };
    (call(), began.elapsed())
}

fn run() -> std::io::Result<TrialResult> {
    let record = Arc::new(TrialRecord::create()?);
    let has_trouble = has_trouble();
    record.write(format!("trouble: {has_trouble}"));
    let store = FakeStore::start();
    let routes = [("stream", "stream", 2, true), ("unsafe", "unsafe", 1, false)];
    store.put("op", "config", Some(desired_state(1, &routes)));
    let born = unix_ms();
    let reset_of_five = if has_trouble { RESET_OF_FIVE } else { 0 };
    let replicas = [("i-0", PLACE_HEADER, reset_of_five), ("i-1", "", 0), ("i-2", "", 0)]
        .map(|(id, headers, reset_of_five)| placed_replica(id, headers, reset_of_five, born));
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica_entry(replica.address, "stream", born)));
    }
    let sound = FakeReplica::start("i-sound", |request, _, stream| {
        respond(stream, request, 200, "", "done")
    });
    store.put("servers", "i-sound", Some(replica_entry(sound.address, "unsafe", born)));
    let port = free_address().port();
    let configs = [2, 3].map(|number| NodeConfig {
        has_unread_log: number == 2,
        ..NodeConfig::new(number, port, store.address, store.address)
    });
    let mut nodes = Vec::new();
    for config in &configs {
        nodes.push(config.start()?);
    }
    if !nodes.iter().all(|node| node.wait_ready()) {
        record.write("the gateways don't become ready");
        return Ok(TrialResult::NotRun);
    }
    std::thread::sleep(Duration::from_secs(4));
    let address = configs[0].callers();
    let first = (0..FIRST_REQUESTS).map(|number| {
        std::thread::sleep(FIRST_INTERVAL);
        call_plain(address, &format!("first-{number}"))
    });
    let answered = first.filter(|(status, _)| *status == Some(200)).count();
    record.write(format!("{answered} of {FIRST_REQUESTS} first requests answered 200"));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            std::thread::spawn(move || {
                let call = |number| call_stream(address, &format!("s{caller}-{number}"), "");
                // One that gets no answer at all sends no more.
                let parts = (0..STREAMS).map(call).take_while(|part| part.status > 0);
                parts.filter(|part| part.is_whole).count()
            })
        })
        .collect();
    let whole: usize =
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).sum();
    record.write(format!("{whole} of {} streams whole", CALLERS * STREAMS));
    let judged: Vec<_> = (0..JUDGED_REQUESTS)
        .map(|number| std::thread::spawn(move || call_plain(address, &format!("judged-{number}"))))
        .collect();
    let (mut unanswered, mut ran_late) = (0, 0);
    for (number, judged) in judged.into_iter().enumerate() {
        let (status, elapsed) = judged.join().expect("a caller ends");
        record.write(format!("request judged-{number}: {status:?} after {elapsed:.1?}"));
        ran_late += u32::from(status.is_none() || elapsed >= TIMEOUT);
        unanswered += u32::from(status.is_none());
    }
    record.write(format!("the readiness address answers: {}", configs[0].is_ready()));
    record.write(format!("gateway 1: ended by itself: {:?}", nodes[0].ended()));
    record.write(format!("the other gateway is ready: {}", configs[1].is_ready()));
    record.write(format!(
        "{ran_late} of {JUDGED_REQUESTS} requests without an answer at `TimeoutMs`, {unanswered} half a second \
         later; CONFIG allows half of them"
    ));
    if answered < FIRST_REQUESTS as usize / 2 {
        return Ok(TrialResult::NotRun);
    }
    Ok(if unanswered * 2 > ran_late { TrialResult::Broken } else { TrialResult::Held })
}
