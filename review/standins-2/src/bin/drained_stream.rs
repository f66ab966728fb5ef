//! Streams without a length or chunks, whose replica is drained as planned and exits before their last events.
//!
//! Exits with 1 if a caller got a stream as complete that lacks its last events (ORDER), with 0 if none did.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use review_standins_2::fleet::{
    desired_state, end_with_parent, free_port, replica_entry, request_text, Gateway,
};
use review_standins_2::http::{listen, read_message};
use review_standins_2::record::{has_trouble, Record, BROKEN, CANNOT_RUN, HELD};
use review_standins_2::store::Store;

/// The replicas. The first one is drained: a third of them, where `release` takes up to 0.45 on the site.
const REPLICAS: [&str; 3] = ["m-1", "m-2", "m-3"];

/// Events of a stream, and the pause between them.
const EVENTS: u32 = 80;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Streams, and the pause between their starts.
const STREAMS: usize = 12;
const START_INTERVAL: Duration = Duration::from_millis(150);

/// Time from the first stream to the report that the replica is draining.
const DRAIN_AFTER: Duration = Duration::from_millis(2500);

/// `DrainMs` of the sites, and the little longer for which the replica goes on serving.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
const DRAIN_EXTRA: Duration = Duration::from_millis(500);

/// `HeartbeatIntervalMs` of the sites.
const BEAT_INTERVAL: Duration = Duration::from_millis(1200);

fn main() {
    if let Some(id) = std::env::args().nth(1) {
        return serve_replica(id);
    }
    let record = Arc::new(Record::create());
    match run(&record) {
        Ok(code) => std::process::exit(code),
        Err(err) => {
            record.verdict(&format!("could not run: {err}"));
            std::process::exit(CANNOT_RUN);
        }
    }
}

/// A replica process; killed when dropped.
struct Replica {
    process: Child,
    address: SocketAddr,
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn start_replica(record: &Arc<Record>, id: &'static str) -> Result<Replica, String> {
    let program = std::env::current_exe().map_err(|err| err.to_string())?;
    let mut command = Command::new(program);
    let command = command.arg(id).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut process = end_with_parent(command).spawn().map_err(|err| err.to_string())?;
    let output = process.stdout.take().ok_or("no output")?;
    let mut lines = BufReader::new(output).lines();
    let first = lines.next().and_then(Result::ok).unwrap_or_default();
    let address = first.parse().map_err(|_| "a replica does not start".to_owned())?;
    let record = record.clone();
    std::thread::spawn(move || {
        lines.map_while(Result::ok).for_each(|line| record.line(&format!("replica {id} {line}")));
    });
    Ok(Replica { process, address })
}

fn run(record: &Arc<Record>) -> Result<i32, String> {
    let trouble = has_trouble();
    let store = Store::start().map_err(|err| err.to_string())?;
    store.put("op", "config", Some(&desired_state(1, &[("model", "stream", false, 15_000)])));
    let mut replicas =
        REPLICAS.iter().map(|id| start_replica(record, id)).collect::<Result<Vec<_>, _>>()?;
    let addresses: Vec<_> = replicas.iter().map(|replica| replica.address).collect();
    let put = |index: usize, state: &str, beat: u64| {
        let entry = replica_entry(addresses[index], "model", state, 0, beat);
        store.put("servers", REPLICAS[index], Some(&entry));
    };
    (0..REPLICAS.len()).for_each(|index| put(index, "ready", 1));
    let gateway = Gateway::start(&store, 2, free_port("127.0.0.2"))?;
    record.line(&format!("gateway pid={} ready trouble={trouble}", gateway.process.id()));
    let (short, broken_off, whole) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, address) = (record.clone(), gateway.callers);
            let counts = [short.clone(), broken_off.clone(), whole.clone()];
            std::thread::spawn(move || {
                std::thread::sleep(START_INTERVAL * number as u32);
                let count = read_stream(&record, address, number);
                counts[count].fetch_add(1, Ordering::SeqCst);
            })
        })
        .collect();
    std::thread::sleep(DRAIN_AFTER);
    if trouble {
        put(0, "draining", 2);
        record.line("store: m-1 is draining");
    }
    std::thread::sleep(BEAT_INTERVAL);
    (1..REPLICAS.len()).for_each(|index| put(index, "ready", 2));
    std::thread::sleep(DRAIN_TIME + DRAIN_EXTRA - BEAT_INTERVAL);
    if trouble {
        // The replica exits by itself.
        if let Some(input) = &mut replicas[0].process.stdin {
            input.write_all(b"exit\n").map_err(|err| err.to_string())?;
        }
        let ended = replicas[0].process.wait();
        record.line(&format!("replica m-1 has exited: {ended:?}"));
        store.put("servers", "m-1", None);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let (short, broken_off, whole) = (
        short.load(Ordering::SeqCst),
        broken_off.load(Ordering::SeqCst),
        whole.load(Ordering::SeqCst),
    );
    let is_broken = short > 0;
    record.verdict(&format!(
        "ORDER {}: {short} of {STREAMS} streams ended as complete before their last event; {whole} were \
         whole, {broken_off} broke off visibly",
        if is_broken { "broken" } else { "held" },
    ));
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Takes one stream; returns 0 if it ended as complete too early, 1 if it broke off, 2 if it was whole.
fn read_stream(record: &Record, address: SocketAddr, number: usize) -> usize {
    let id = format!("5700aa{number:02x}");
    let headers = "Berylstep-Model: m\r\nBerylstep-Token-Counts: 100,400\r\n";
    record.line(&format!("sent id={id}"));
    let Ok(stream) = TcpStream::connect(address) else { return 1 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let mut reader = BufReader::new(stream);
    if reader.get_mut().write_all(request_text("model", &id, 15_000, headers).as_bytes()).is_err() {
        return 1;
    }
    let Some(answer) = read_message(&mut reader) else { return 1 };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let (status, events) = (answer.status(), body.matches("id: ").count());
    let end = match answer.is_whole {
        true => "complete",
        false => "broken off",
    };
    record.line(&format!("answered id={id} status={status} events={events} of {EVENTS} end={end}"));
    match (answer.is_whole && status == 200, events == EVENTS as usize) {
        (true, false) => 0,
        (true, true) => 2,
        (false, _) => 1,
    }
}

/// Runs a replica until its standard input says that it is to exit or ends.
fn serve_replica(id: String) {
    let serve = move |stream: TcpStream| {
        let mut reader = BufReader::new(stream);
        let Some(request) = read_message(&mut reader) else { return };
        let attempt = request.header("berylstep-attempt-id").unwrap_or("-").to_owned();
        println!("run id={attempt}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {attempt}\r\n\
             Berylstep-Replica-Signature: sig-{id}\r\nContent-Type: text/event-stream\r\n\r\n"
        );
        let stream = reader.get_mut();
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n");
            if stream.write_all(event.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(EVENT_INTERVAL);
        }
        println!("done id={attempt}");
    };
    match listen("127.0.0.1:0", serve) {
        Ok(address) => println!("{address}"),
        Err(err) => println!("{err}"),
    }
    let mut line = String::new();
    let _ = std::io::stdin().read_line(&mut line);
    std::process::exit(0);
}
