//! A replica is started again in place with another version of its software, under the identifier that it had. It
//! takes streams before its first check-in, and some of them are reset. The second argument is `limited`, where the
//! replicas name limits in all their answers, or `clock`, where its clock is ahead,
//! `unlisted`, where it doesn't reach the store, so that its entry expires, `taken_up`, where callers take up a
//! stream that breaks off at another of eight gateways, or `drained`, where no stream is reset, and the replica is
//! drained as planned soon after its first check-in.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use berylstep_standins::fleet::message::{read_partial_message, request_text};
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::process::free_address;
use serde_json::json;

use review_standins_4::{
    desired_state, has_trouble, replica_entry, unix_ms, NodeConfig, StandinProcess, TrialRecord,
    TrialResult, KEY_HEADER,
};

/// Streams that are begun before the replica is started again.
const STREAMS_BEFORE: u32 = 8;

/// Of the streams of the replica, these many in five are reset once it is back: 0.4.
const RESET_OF_FIVE: &str = "2";

/// Time from the start of the replica to its first check-in.
const CHECK_IN: Duration = Duration::from_millis(1200);

/// Time from the start of the replica to the end of its old entry, which the store removes after three check-in
/// intervals of silence; the last check-in was half an interval before the start.
const EXPIRY: Duration = Duration::from_millis(3000);

/// Time from the first check-in of the replica to its notice that it is draining, where that is tried.
const DRAIN_AFTER: Duration = Duration::from_millis(300);

/// Events of a stream where the replica is drained: they take 6 s.
const DRAINED_EVENTS: &str = "60";

/// `TimeoutMs` of the route.
const TIMEOUT_MS: u64 = 8000;

/// Time by which the clock of the replica is ahead, where that is tried.
const CLOCK_AHEAD_MS: u64 = 2000;

/// Tokens of a request and of its answer.
const TOKENS_HEADER: &str = "Berylstep-Token-Counts: 10,60\r\n";

/// Header of replicas in need, where that is tried: each takes 100 requests a second from all machines.
const LIMIT_HEADER: &str = "Server-Limit: 100";

/// Streams of two versions that ORDER allows.
const MAX_MIXED: usize = 2;

fn main() -> ExitCode {
    match run() {
        Ok(result) => result.into(),
        Err(err) => {
            eprintln!("the trial can't run: {err}");
            TrialResult::NotRun.into()
        }
    }
}

/// Starts a replica in a process of its own.
fn start_replica(
    address: SocketAddr,
    version: &str,
    born: u64,
    reset_of_five: &str,
    trial: &TrialVariant,
) -> std::io::Result<StandinProcess> {
    let (address, born) = (address.to_string(), born.to_string());
    let TrialVariant { header, events, reset_before, .. } = *trial;
    let arguments = [&*address, version, &*born, header, reset_of_five, events, reset_before];
    StandinProcess::start("versioned_replica", &arguments)
}

/// What differs between the variants.
#[derive(Clone, Copy)]
struct TrialVariant {
    /// Header of all answers of the replicas.
    header: &'static str,
    /// Time by which the clock of the replica is ahead.
    clock_ahead_ms: u64,
    /// Whether the replica reaches the store once it is back.
    checks_in: bool,
    /// Events of a stream, and the one before which it is reset.
    events: &'static str,
    reset_before: &'static str,
    /// Replicas of the service, of which one is started again.
    replicas: u32,
    /// Streams that are begun once it is back.
    streams_after: u32,
    /// Time between the beginnings of two streams.
    begin_interval: Duration,
    /// Gateways, in three zones.
    gateways: u8,
    /// Whether callers take up a stream that breaks off.
    takes_up: bool,
    /// Of the streams of the replica, these many in five are reset once it is back.
    reset_of_five: &'static str,
    /// Whether the replica is drained, and its runs may be moved to another one.
    is_drained: bool,
}

impl TrialVariant {
    fn new(name: &str) -> Self {
        let plain = Self {
            header: "",
            clock_ahead_ms: 0,
            checks_in: true,
            events: "14",
            reset_before: "5",
            replicas: 8,
            streams_after: 100,
            begin_interval: Duration::from_millis(6),
            gateways: 2,
            takes_up: false,
            reset_of_five: RESET_OF_FIVE,
            is_drained: false,
        };
        match name {
            "limited" => Self { header: LIMIT_HEADER, ..plain },
            "clock" => Self { clock_ahead_ms: CLOCK_AHEAD_MS, ..plain },
            "unlisted" => Self { checks_in: false, events: "50", reset_before: "36", ..plain },
            "taken_up" => Self {
                streams_after: 400,
                begin_interval: Duration::from_millis(1),
                gateways: 8,
                takes_up: true,
                ..plain
            },
            "drained" => {
                Self { events: DRAINED_EVENTS, reset_of_five: "0", is_drained: true, ..plain }
            }
            // For comparison.
            _ => plain,
        }
    }
}

/// What a caller got: whether it was whole, and the versions that wrote its events, in their order.
type StreamAnswer = Option<(bool, Vec<String>)>;

fn call_stream(address: SocketAddr, id: &str, headers: &str) -> StreamAnswer {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    let headers = format!("{KEY_HEADER}{TOKENS_HEADER}{headers}");
    let request = request_text("stream", id, TIMEOUT_MS, &headers);
    stream.write_all(request.as_bytes()).ok()?;
    let (answer, is_whole) = read_partial_message(&mut stream)?;
    let lines = answer.body.lines().filter_map(|line| line.strip_prefix("data: written by "));
    Some((is_whole, lines.map(str::to_owned).collect()))
}

/// Takes up a stream that broke off.
fn take_up(address: SocketAddr, id: &str, versions: &[String]) -> StreamAnswer {
    let headers = format!("Resumes: {id}\r\nLast-Event-Id: {}\r\n", versions.len());
    call_stream(address, &format!("{id}-again"), &headers)
}

/// Returns how many events in a row each version wrote.
fn count_runs(versions: &[String]) -> String {
    let runs = versions.chunk_by(|a, b| a == b);
    runs.map(|run| format!("{} of {}", run.len(), run[0])).collect::<Vec<_>>().join(", ")
}

/// Runs a stream, and takes it up at the next gateway if that is tried and it breaks off.
fn run_caller(
    id: &str,
    addresses: [SocketAddr; 2],
    takes_up: bool,
    record: &TrialRecord,
) -> StreamAnswer {
    let mut answer = call_stream(addresses[0], id, "");
    let mut tries = 1;
    if let Some((is_whole, versions)) = &mut answer {
        if takes_up && !*is_whole && !versions.is_empty() {
            tries = 2;
            if let Some((is_rest_whole, rest)) = take_up(addresses[1], id, versions) {
                *is_whole = is_rest_whole && !rest.is_empty();
                versions.extend(rest);
            }
        }
    }
    record.write(match &answer {
        None => format!("caller of {id}: no answer"),
        Some((is_whole, versions)) => {
            let events = count_runs(versions);
            format!("caller of {id}: whole: {is_whole}, events: {events}, tries: {tries}")
        }
    });
    answer
}

/// Begins streams at all gateways in turn.
fn begin_streams(
    name: &str,
    count: u32,
    addresses: &[SocketAddr],
    trial: &TrialVariant,
    record: &Arc<TrialRecord>,
) -> Vec<std::thread::JoinHandle<StreamAnswer>> {
    let begin = |number: u32| {
        let gateway = |offset: usize| addresses[(number as usize + offset) % addresses.len()];
        let (record, addresses, takes_up) =
            (record.clone(), [gateway(0), gateway(1)], trial.takes_up);
        let id = format!("{name}-{number}");
        std::thread::sleep(trial.begin_interval);
        std::thread::spawn(move || run_caller(&id, addresses, takes_up, &record))
    };
    (0..count).map(begin).collect()
}

fn run() -> std::io::Result<TrialResult> {
    let record = Arc::new(TrialRecord::create()?);
    let has_trouble = has_trouble();
    let variant = std::env::args().nth(2).unwrap_or_default();
    record.write(format!("trouble: {has_trouble}, {variant}"));
    let trial = TrialVariant::new(&variant);
    let store = FakeStore::start();
    let mut desired = desired_state(1, &[("stream", "stream", trial.replicas, true)]);
    desired["Routes"][0]["TimeoutMs"] = TIMEOUT_MS.into();
    if trial.is_drained {
        desired["Services"][0]["Engine"] =
            json!({"Slots": 64, "KvCacheTokens": 100_000, "Moves": true, "Stride": 1});
    }
    store.put("op", "config", Some(desired));
    let addresses: Vec<_> = (0..trial.replicas).map(|_| free_address()).collect();
    let born = unix_ms();
    let mut replicas = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        replicas.push(start_replica(*address, "v1", born, "0", &trial)?);
        let entry = replica_entry(*address, "stream", born);
        store.put("servers", &format!("i-{number}"), Some(entry));
    }
    let port = free_address().port();
    let configs: Vec<_> = (0..trial.gateways)
        .map(|index| {
            let mut config = NodeConfig::new(index + 2, port, store.address, store.address);
            let zone = ["a", "b", "c"][usize::from(index) % 3];
            config.overrides = json!({"zone": zone});
            config
        })
        .collect();
    let mut nodes = Vec::new();
    for config in &configs {
        nodes.push(config.start()?);
    }
    if !nodes.iter().all(|node| node.wait_ready()) {
        record.write("the gateways don't become ready");
        return Ok(TrialResult::NotRun);
    }
    std::thread::sleep(Duration::from_secs(2));
    let gateways: Vec<_> = configs.iter().map(NodeConfig::callers).collect();
    for caller in begin_streams("before", STREAMS_BEFORE, &gateways, &trial, &record) {
        caller.join().expect("a caller ends");
    }
    std::thread::sleep(Duration::from_secs(2));
    let restarted_at = unix_ms() + trial.clock_ahead_ms;
    if has_trouble {
        record.write("replica i-0 ends, and is started again as v2 under its identifier");
        replicas.remove(0);
        let replica = start_replica(addresses[0], "v2", restarted_at, trial.reset_of_five, &trial)?;
        replicas.insert(0, replica);
    }
    let callers = begin_streams("after", trial.streams_after, &gateways, &trial, &record);
    let since_restart = unix_ms() + trial.clock_ahead_ms - restarted_at;
    std::thread::sleep(CHECK_IN.saturating_sub(Duration::from_millis(since_restart)));
    if has_trouble && !trial.checks_in {
        std::thread::sleep(EXPIRY - CHECK_IN);
        record.write("the entry of replica i-0 expires, since it doesn't reach the store");
        store.put("servers", "i-0", None);
    } else if has_trouble {
        record.write(format!("replica i-0 checks in as v2, born at {restarted_at}"));
        let mut entry = replica_entry(addresses[0], "stream", restarted_at);
        entry["Version"] = "v2".into();
        store.put("servers", "i-0", Some(entry.clone()));
        if trial.is_drained {
            std::thread::sleep(DRAIN_AFTER);
            record.write("replica i-0 reports that it is draining");
            entry["State"] = "draining".into();
            store.put("servers", "i-0", Some(entry));
        }
    }
    let (mut mixed, mut whole, mut begun) = (0, 0, 0);
    for caller in callers {
        let Some((is_whole, versions)) = caller.join().expect("a caller ends") else { continue };
        begun += usize::from(!versions.is_empty());
        whole += usize::from(is_whole);
        mixed += usize::from(versions.windows(2).any(|pair| pair[0] != pair[1]));
    }
    for line in nodes
        .iter()
        .flat_map(|node| node.log_lines(&["replica_updated", "replica_limited", "run_moved"]))
    {
        record.write(format!("a gateway wrote: {line}"));
    }
    record.write(format!(
        "{begun} streams begun, {whole} whole, {mixed} with events of two versions; ORDER allows {MAX_MIXED}"
    ));
    if begun < trial.streams_after as usize / 2 {
        return Ok(TrialResult::NotRun);
    }
    Ok(if mixed > MAX_MIXED { TrialResult::Broken } else { TrialResult::Held })
}
