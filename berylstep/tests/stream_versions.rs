//! Streams of replicas whose software versions differ, seen by the callers of gateway processes.

use std::io::Write;
use std::net::UdpSocket;
use std::process::Stdio;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{read_partial_message, request_text, RawMessage};
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::versions::{
    VersionedReplica, BREAK_AFTER, BREAK_FIRST, EVENT_PAUSE, STREAM_EVENTS,
};
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use berylstep_standins::relay::{RelayMode, TcpRelay};
use serde_json::json;

/// Start of processes that have run for long.
const LONG_AGO: u64 = 7;

/// Time after its start within which a gateway knows the others, and its share of the retries.
const DISCOVERY_TIME: Duration = Duration::from_millis(2200);

/// Time within which a stream that cannot go on is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

/// Part of the streams that must go on where replicas of their version serve.
const RESUMED_SHARE: f64 = 0.9;

struct VersionedFleet {
    store: FakeStore,
    peer_port: u16,
    replicas: Vec<VersionedReplica>,
    gateways: Vec<FleetGateway>,
}

impl VersionedFleet {
    fn start(gateways: u8, versions: &[&str]) -> Self {
        let store = FakeStore::start();
        let mut desired = desired_state(1);
        let services = desired["Services"].as_array_mut().unwrap();
        for service in services.iter_mut().filter(|service| service["Name"] == "resumable") {
            service["Engine"] =
                json!({"Slots": 8, "KvCacheTokens": 10000, "Moves": true, "Stride": 1});
        }
        store.put("op", "config", Some(desired));
        let replicas = versions.iter().enumerate().map(|(index, version)| {
            let id = format!("i-{index}");
            VersionedReplica::start(&id, "resumable", version, LONG_AGO)
        });
        let replicas: Vec<_> = replicas.collect();
        for replica in &replicas {
            store.put("servers", &replica.replica.id, Some(replica.entry("ready")));
        }
        let peer_port = free_address().port();
        let numbers = 2..2 + gateways;
        let gateways = numbers.map(|number| FleetGateway::start(&store, number, peer_port));
        let gateways = gateways.collect();
        std::thread::sleep(DISCOVERY_TIME);
        Self { store, peer_port, replicas, gateways }
    }

    /// Starts a fleet whose first two gateways reach the store through a relay.
    fn start_relayed(gateways: u8, versions: &[&str]) -> (Self, TcpRelay) {
        let mut fleet = Self::start(0, versions);
        let relay = TcpRelay::start(fleet.store.address).unwrap();
        for number in 2..2 + gateways {
            let address = match number {
                2 | 3 => relay.address(),
                _ => fleet.store.address,
            };
            let config = GatewayConfig::new(address, number, fleet.peer_port);
            fleet.gateways.push(config.spawn(Stdio::null()).expect("the gateway starts"));
        }
        for gateway in &fleet.gateways {
            wait_until("the gateway is ready", || gateway.is_ready());
        }
        (fleet, relay)
    }

    /// Kills all gateways at once, and starts them again.
    fn restart_gateways(&mut self) {
        let count = self.gateways.len() as u8;
        self.gateways.iter_mut().for_each(|gateway| gateway.process.kill());
        self.gateways.clear();
        let started = (2..2 + count).map(|number| {
            let config = GatewayConfig::new(self.store.address, number, self.peer_port);
            let config = GatewayConfig { first_start: false, ..config };
            config.spawn(Stdio::null()).expect("the gateway starts")
        });
        self.gateways = started.collect();
        for gateway in &self.gateways {
            wait_until("the gateway is ready", || gateway.is_ready());
        }
    }

    fn unlist(&self, version: &str) {
        let entry = |replica: &&VersionedReplica| replica.entry("ready")["Version"] == *version;
        for replica in self.replicas.iter().filter(entry) {
            self.store.put("servers", &replica.replica.id, None);
        }
    }

    fn publish(&self, index: usize, state: &str) {
        let replica = &self.replicas[index];
        self.store.put("servers", &replica.replica.id, Some(replica.entry(state)));
    }

    /// Sends an attempt to a gateway, which may break off.
    fn attempt(&self, gateway: usize, id: &str, headers: &str) -> StreamPart {
        let mut stream = self.gateways[gateway].connect();
        let text = request_text("resumable", id, 3000, &format!("{KEY_HEADER}{headers}"));
        stream.write_all(text.as_bytes()).unwrap();
        StreamPart::read(read_partial_message(&mut stream))
    }

    /// Begins a stream that breaks off after two events, whichever replica runs it.
    fn begin_broken(&self, gateway: usize, id: &str) -> StreamPart {
        let part = self.attempt(gateway, id, &format!("{BREAK_AFTER}: 2\r\n"));
        assert!(!part.is_whole && !part.events.is_empty(), "{part:?}");
        part
    }

    /// Takes up a stream that broke off.
    fn take_up(&self, gateway: usize, id: &str, first: &str, begun: &StreamPart) -> StreamPart {
        let last = begun.last_id();
        let headers = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        self.attempt(gateway, id, &headers)
    }
}

/// What a caller got of a stream in one attempt.
#[derive(Clone, Debug, Default)]
struct StreamPart {
    status: u16,
    has_retry_time: bool,
    is_whole: bool,
    /// Identifier of each event and the version that wrote it.
    events: Vec<(usize, String)>,
}

impl StreamPart {
    fn read(answer: Option<(RawMessage, bool)>) -> Self {
        let Some((message, is_whole)) = answer else { return Self::default() };
        let events = message.body.split("\n\n").filter_map(|event| {
            let (id, version) = event.strip_prefix("id: ")?.split_once("\ndata: ")?;
            Some((id.parse().ok()?, version.to_owned()))
        });
        Self {
            status: message.status(),
            has_retry_time: message.header("retry-after").is_some(),
            is_whole,
            events: events.collect(),
        }
    }

    fn last_id(&self) -> usize {
        self.events.last().map_or(0, |(id, _)| *id)
    }

    /// Returns this part followed by the next one.
    fn join(mut self, next: Self) -> Self {
        self.events.extend(next.events);
        Self { events: self.events, ..next }
    }

    fn is_mixed(&self) -> bool {
        self.events.windows(2).any(|pair| pair[0].1 != pair[1].1)
    }

    fn is_complete(&self) -> bool {
        self.is_whole && self.events.iter().map(|(id, _)| *id).eq(1..=STREAM_EVENTS)
    }
}

/// Waits for all checks before one that failed is reported, so that every gateway is stopped.
fn join_all(checks: impl IntoIterator<Item = JoinHandle<()>>) {
    let results: Vec<_> = checks.into_iter().map(JoinHandle::join).collect();
    results.into_iter().for_each(|result| result.unwrap());
}

/// Asserts that no stream holds events of two versions, and that most went on.
fn check_streams(what: &str, streams: &[StreamPart]) {
    let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
    assert_eq!(mixed, 0, "{what}: streams of two versions of {}", streams.len());
    let complete = streams.iter().filter(|stream| stream.is_complete()).count();
    let wanted = streams.len() as f64 * RESUMED_SHARE;
    assert!(complete as f64 >= wanted, "{what}: {complete} of {} went on", streams.len());
}

/// Guards against a stream that is resumed at another software version in one answer (ORDER).
#[test]
fn a_broken_stream_is_resumed_only_at_the_version_that_began_it() {
    let fleet = VersionedFleet::start(1, &["v1", "v1", "v2", "v2", "v3", "v3"]);
    let streams: Vec<_> = (0..40)
        .map(|index| fleet.attempt(0, &format!("id-{index}"), &format!("{BREAK_FIRST}: 2\r\n")))
        .collect();
    check_streams("resumed", &streams);
}

/// Guards against a run that is moved to another software version when its replica leaves (ORDER).
#[test]
fn a_run_is_moved_only_to_a_replica_of_its_version() {
    for versions in [["v1", "v1", "v2", "v2"], ["v1", "v2", "v3", "v4"]] {
        let mut fleet = VersionedFleet::start(1, &versions);
        for round in 0..2 {
            let headers = format!("{EVENT_PAUSE}: 300\r\nBerylstep-Token-Counts: 10,60\r\n");
            let before: Vec<_> = fleet.replicas.iter().map(VersionedReplica::streams).collect();
            let stream = std::thread::scope(|scope| {
                let stream = scope.spawn(|| fleet.attempt(0, &format!("id-{round}"), &headers));
                let mut source = None;
                wait_until("a replica has the stream", || {
                    let mut replicas = fleet.replicas.iter().zip(&before);
                    source = replicas.position(|(replica, count)| replica.streams() > *count);
                    source.is_some()
                });
                std::thread::sleep(Duration::from_millis(200));
                fleet.publish(source.unwrap(), "draining");
                stream.join().unwrap()
            });
            assert!(!stream.is_mixed(), "{versions:?}: {stream:?}");
            assert!(stream.is_complete(), "{versions:?}: {stream:?}");
        }
        fleet.gateways.clear();
    }
}

/// Guards against a stream that its caller takes up at another gateway, and that goes on there at
/// another software version (ORDER) or not at all (LOST).
#[test]
fn a_stream_taken_up_at_any_gateway_goes_on_at_the_version_that_began_it() {
    let fleet = VersionedFleet::start(4, &["v1", "v1", "v2", "v2", "v3", "v3"]);
    let streams: Vec<_> = (0..40)
        .map(|index| {
            let id = format!("id-{index}");
            let begun = fleet.begin_broken(index % 4, &id);
            // Every other caller takes its stream up twice, and names the first attempt each time.
            let begun = match index % 2 {
                0 => begun,
                _ => {
                    let last = begun.last_id();
                    let headers =
                        format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n{BREAK_AFTER}: 1\r\n");
                    let gateway = (index + 2) % 4;
                    let next = fleet.attempt(gateway, &format!("{id}-again"), &headers);
                    begun.join(next)
                }
            };
            let rest = fleet.take_up((index + 1) % 4, &format!("{id}-last"), &id, &begun);
            begun.join(rest)
        })
        .collect();
    check_streams("taken up", &streams);
}

/// Guards against streams that cannot go on because the gateway that served them has been killed
/// (LOST), or that go on at another version then (ORDER).
#[test]
fn a_stream_of_a_killed_gateway_goes_on_at_the_version_that_began_it() {
    let mut fleet = VersionedFleet::start(4, &["v1", "v1", "v2", "v2"]);
    let headers = format!("{EVENT_PAUSE}: 100\r\n");
    let text = |index: usize| {
        request_text("resumable", &format!("id-{index}"), 3000, &format!("{KEY_HEADER}{headers}"))
    };
    let mut callers: Vec<_> = (0..24).map(|_| fleet.gateways[0].connect()).collect();
    for (index, caller) in callers.iter_mut().enumerate() {
        caller.write_all(text(index).as_bytes()).unwrap();
    }
    std::thread::sleep(Duration::from_millis(250));
    fleet.gateways[0].process.kill();
    let streams = callers.iter_mut().enumerate().map(|(index, caller)| {
        let begun = StreamPart::read(read_partial_message(caller));
        assert!(!begun.events.is_empty() && !begun.is_whole, "{begun:?}");
        let id = format!("id-{index}");
        let rest = fleet.take_up(1 + index % 3, &format!("{id}-last"), &id, &begun);
        begun.join(rest)
    });
    check_streams("of a killed gateway", &streams.collect::<Vec<_>>());
}

/// Guards against a stream of a time with one version that is lost, or goes on at the new one, when a
/// release begins while it runs (ORDER, LOST).
#[test]
fn a_stream_that_began_before_a_release_goes_on_at_its_version() {
    let fleet = VersionedFleet::start(4, &["v1", "v1", "v1"]);
    let begun: Vec<_> =
        (0..24).map(|index| fleet.begin_broken(index % 4, &format!("id-{index}"))).collect();
    for number in 0..3 {
        let id = format!("i-new-{number}");
        let replica = VersionedReplica::start(&id, "resumable", "v2", LONG_AGO);
        fleet.store.put("servers", &id, Some(replica.entry("ready")));
    }
    std::thread::sleep(Duration::from_millis(700));
    let streams = begun.into_iter().enumerate().map(|(index, begun)| {
        let id = format!("id-{index}");
        let rest = fleet.take_up((index + 1) % 4, &format!("{id}-last"), &id, &begun);
        begun.join(rest)
    });
    check_streams("before a release", &streams.collect::<Vec<_>>());
}

struct RefusalCase {
    name: &'static str,
    versions: &'static [&'static str],
    /// Attempt that the caller names, where it isn't the one that began the stream.
    first: Option<&'static str>,
    /// Version whose replicas have left when the stream is taken up.
    gone: Option<&'static str>,
    /// Whether the stream goes on.
    goes_on: bool,
}

/// Guards against a stream that goes on at a version that may not have begun it, and against a caller
/// that isn't told at once that nothing ran (ORDER).
#[test]
fn a_stream_whose_version_is_unknown_or_gone_is_refused_at_once_and_not_run() {
    let cases = [
        RefusalCase {
            name: "version has left",
            versions: &["v1", "v1", "v2", "v2"],
            first: None,
            gone: Some("v1"),
            goes_on: false,
        },
        RefusalCase {
            name: "nobody knows the attempt, two versions",
            versions: &["v1", "v1", "v2", "v2"],
            first: Some("id-of-nobody"),
            gone: None,
            goes_on: false,
        },
        RefusalCase {
            name: "nobody knows the attempt, one version",
            versions: &["v1", "v1"],
            first: Some("id-of-nobody"),
            gone: None,
            goes_on: true,
        },
        RefusalCase {
            name: "nobody knows the attempt, the other version has just left",
            versions: &["v1", "v1", "v2"],
            first: Some("id-of-nobody"),
            gone: Some("v2"),
            goes_on: false,
        },
    ];
    let checks = cases.map(|case| std::thread::spawn(move || check_refusal(&case)));
    join_all(checks);
}

fn check_refusal(case: &RefusalCase) {
    let fleet = VersionedFleet::start(2, case.versions);
    let is_gone = |version: &str| Some(version) == case.gone;
    let begun = (0..50).find_map(|index| {
        let id = format!("id-{index}");
        let begun = fleet.begin_broken(0, &id);
        let is_wanted = case.first.is_some() || is_gone(&begun.events[0].1);
        is_wanted.then_some((id, begun))
    });
    let (id, begun) = begun.expect("a stream begins at the version");
    for (index, _) in case.versions.iter().enumerate().filter(|(_, version)| is_gone(version)) {
        fleet.store.put("servers", &fleet.replicas[index].replica.id, None);
    }
    std::thread::sleep(Duration::from_millis(500));
    let before: usize = fleet.replicas.iter().map(VersionedReplica::streams).sum();
    let sent = Instant::now();
    let rest = fleet.take_up(1, "id-last", case.first.unwrap_or(&id), &begun);
    let ran = fleet.replicas.iter().map(VersionedReplica::streams).sum::<usize>() - before;
    if case.goes_on {
        assert!(begun.join(rest).is_complete(), "{}", case.name);
        return;
    }
    assert!(sent.elapsed() < REFUSAL_TIME, "{}: {:?}", case.name, sent.elapsed());
    assert_eq!((rest.status, ran), (503, 0), "{}", case.name);
    assert!(!rest.has_retry_time, "{}: coming back is in vain", case.name);
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis().try_into().unwrap()
}

/// Time in which a replica answers late; it is passed over then.
const LATE_ANSWER: Duration = Duration::from_millis(300);

struct RestartCase {
    name: &'static str,
    /// Position of the replica that has another version than its entry says; there are four.
    restarted: &'static [usize],
    /// Whether its entry is written before the stream is taken up.
    is_published: bool,
    /// Time that its process takes to answer.
    delay: Duration,
}

/// Guards against a stream that goes on at another version because a replica was started again under
/// its identifier before its entry told (ORDER).
#[test]
fn a_replica_restarted_at_another_version_under_its_identifier_mixes_no_stream() {
    let cases = [
        RestartCase {
            name: "one, not listed",
            restarted: &[0],
            is_published: false,
            delay: Duration::ZERO,
        },
        RestartCase {
            name: "two, not listed",
            restarted: &[0, 1],
            is_published: false,
            delay: Duration::ZERO,
        },
        RestartCase {
            name: "one, listed at the end",
            restarted: &[0],
            is_published: true,
            delay: Duration::ZERO,
        },
    ];
    let checks = cases.map(|case| std::thread::spawn(move || check_restart(&case)));
    join_all(checks);
}

/// Guards against a stream that began at a process whose entry was not written yet, and that goes on at
/// the version of the entry because the process answers late (ORDER).
#[test]
fn a_stream_that_began_at_a_restarted_replica_that_answers_late_is_not_mixed() {
    check_restart(&RestartCase {
        name: "one, not listed, answers late",
        restarted: &[0],
        is_published: false,
        delay: LATE_ANSWER,
    });
}

/// Guards against a stream that goes on at a replica that was started again at another version, and does
/// not answer in time which process it is (ORDER).
#[test]
fn a_stream_is_not_taken_up_at_a_replica_that_does_not_confirm_its_process() {
    let fleet = VersionedFleet::start(2, &["v1", "v1", "v1", "v1"]);
    let begun: Vec<_> =
        (0..30).map(|index| fleet.begin_broken(index % 2, &format!("id-{index}"))).collect();
    fleet.replicas[0].restart_as("v2", unix_ms());
    fleet.replicas[0].set_delay(LATE_ANSWER);
    let streams = begun.into_iter().enumerate().map(|(index, begun)| {
        let id = format!("id-{index}");
        let rest = fleet.take_up((index + 1) % 2, &format!("{id}-last"), &id, &begun);
        begun.join(rest)
    });
    check_streams("beside a late replica", &streams.collect::<Vec<_>>());
}

fn check_restart(case: &RestartCase) {
    let fleet = VersionedFleet::start(2, &["v1", "v1", "v1", "v1"]);
    // Connections of the old processes are in the pools.
    (0..12).for_each(|index| {
        let part = fleet.attempt(index % 2, &format!("id-before-{index}"), "");
        assert!(part.is_complete(), "{}: {part:?}", case.name);
    });
    for index in case.restarted {
        fleet.replicas[*index].restart_as("v2", unix_ms());
        fleet.replicas[*index].set_delay(case.delay);
    }
    std::thread::sleep(Duration::from_millis(400));
    let resumed: Vec<_> = (0..30)
        .map(|index| {
            let headers = format!("{BREAK_FIRST}: 2\r\n");
            fleet.attempt(index % 2, &format!("id-resumed-{index}"), &headers)
        })
        .collect();
    let begun: Vec<_> =
        (0..30).map(|index| fleet.begin_broken(index % 2, &format!("id-{index}"))).collect();
    if case.is_published {
        case.restarted.iter().for_each(|index| fleet.publish(*index, "ready"));
        std::thread::sleep(Duration::from_millis(500));
    }
    let taken_up = begun.into_iter().enumerate().map(|(index, begun)| {
        let id = format!("id-{index}");
        let rest = fleet.take_up((index + 1) % 2, &format!("{id}-last"), &id, &begun);
        begun.join(rest)
    });
    for (what, streams) in [("resumed", resumed), ("taken up", taken_up.collect())] {
        let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
        assert_eq!(mixed, 0, "{}, {what}: {mixed} of {}", case.name, streams.len());
        let complete = streams.iter().filter(|stream| stream.is_complete()).count();
        assert!(complete > 0, "{}, {what}: none of {} went on", case.name, streams.len());
    }
}

struct CommonKillCase {
    name: &'static str,
    versions: &'static [&'static str],
    /// Version whose replicas have all left when the gateways are killed.
    gone: Option<&'static str>,
    /// Time between that and the kill.
    since_gone: Duration,
    /// Whether the streams go on.
    goes_on: bool,
}

/// Guards against streams that are taken up after all gateways were killed at once, and go on at another
/// version than the one that began them, whose replicas have served for as long as the others and have
/// left by then (ORDER), and against streams that never go on after that (LOST).
#[test]
fn streams_taken_up_after_all_gateways_were_killed_go_on_at_their_version_or_not_at_all() {
    let cases = [
        CommonKillCase {
            name: "the old version has just left",
            versions: &["v1", "v1", "v2", "v2"],
            gone: Some("v1"),
            since_gone: Duration::from_millis(300),
            goes_on: false,
        },
        CommonKillCase {
            name: "the old version left some seconds ago",
            versions: &["v1", "v1", "v2", "v2"],
            gone: Some("v1"),
            since_gone: Duration::from_secs(4),
            goes_on: false,
        },
        CommonKillCase {
            name: "both versions are there",
            versions: &["v1", "v1", "v2", "v2"],
            gone: None,
            since_gone: Duration::ZERO,
            goes_on: false,
        },
        CommonKillCase {
            name: "there was one version",
            versions: &["v1", "v1"],
            gone: None,
            since_gone: Duration::ZERO,
            goes_on: true,
        },
    ];
    let checks = cases.map(|case| std::thread::spawn(move || check_common_kill(&case)));
    join_all(checks);
}

fn check_common_kill(case: &CommonKillCase) {
    let mut fleet = VersionedFleet::start(4, case.versions);
    let begun: Vec<_> =
        (0..24).map(|index| fleet.begin_broken(index % 4, &format!("id-{index}"))).collect();
    if let Some(gone) = case.gone {
        fleet.unlist(gone);
    }
    std::thread::sleep(case.since_gone);
    fleet.restart_gateways();
    let parts = begun.iter().enumerate().map(|(index, begun)| {
        // A caller that is told when to come back does.
        let mut rest = StreamPart::default();
        for attempt in 0..4 {
            let (id, gateway) = (format!("id-{index}"), (index + attempt) % 4);
            rest = fleet.take_up(gateway, &format!("{id}-{attempt}"), &id, begun);
            if !rest.has_retry_time {
                break;
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        rest
    });
    let parts: Vec<_> = parts.collect();
    assert!(parts.iter().all(|part| matches!(part.status, 200 | 503)), "{}: {parts:?}", case.name);
    let streams: Vec<_> =
        begun.into_iter().zip(parts).map(|(begun, rest)| begun.join(rest)).collect();
    match case.goes_on {
        true => check_streams(case.name, &streams),
        false => {
            let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
            assert_eq!(mixed, 0, "{}: streams of two versions of {}", case.name, streams.len());
        }
    }
}

/// Time after which a gateway takes the versions that it has listed for all that there were.
const LISTED_TIME: Duration = Duration::from_secs(11);

/// Time after which gateways that stand still are forgotten by the others.
const FORGET_TIME: Duration = Duration::from_secs(4);

/// Time in which gateways that go on hear from each other.
const GREETING_TIME: Duration = Duration::from_millis(800);

const OUT_OF_STEP: std::ops::Range<usize> = 0..2;
const IN_STEP: std::ops::Range<usize> = 2..4;

/// Fills the receive buffer of a gateway that stands still, so that it misses what the others tell it.
fn fill_receive_buffer(number: u8, peer_port: u16) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..4000 {
        if let Err(err) =
            socket.send_to(&[0; 1000], (format!("127.0.0.{number}").as_str(), peer_port))
        {
            log::debug!("datagram not sent: {err}");
        }
    }
}

/// Guards against a stream that goes on at another version at a gateway that was out of step while that of
/// the stream appeared, and asks another that was out of step too (ORDER).
#[test]
fn a_gateway_out_of_step_refuses_streams_of_versions_that_it_has_missed() {
    let (mut fleet, relay) = VersionedFleet::start_relayed(4, &["v1", "v1"]);
    std::thread::sleep(LISTED_TIME);
    fleet.gateways[OUT_OF_STEP].iter().for_each(|gateway| gateway.process.freeze());
    relay.set_mode(RelayMode::Hold);
    (2..4).for_each(|number| fill_receive_buffer(number, fleet.peer_port));
    for id in ["i-2", "i-3"] {
        fleet.replicas.push(VersionedReplica::start(id, "resumable", "v2", LONG_AGO));
        fleet.publish(fleet.replicas.len() - 1, "ready");
    }
    std::thread::sleep(FORGET_TIME);
    let begun: Vec<_> =
        (0..24).map(|index| fleet.begin_broken(IN_STEP.start, &format!("id-{index}"))).collect();
    assert!(
        begun.iter().any(|part| part.events[0].1 == "v2"),
        "no stream began at the new version"
    );
    fleet.gateways[IN_STEP].iter().for_each(|gateway| gateway.process.freeze());
    fleet.gateways[OUT_OF_STEP].iter().for_each(|gateway| gateway.process.thaw());
    std::thread::sleep(GREETING_TIME);
    let streams = begun.into_iter().enumerate().map(|(index, begun)| {
        let (id, next) = (format!("id-{index}"), format!("id-{index}-again"));
        let rest = fleet.take_up(index % 2, &next, &id, &begun);
        assert!(rest.status != 503 || rest.has_retry_time, "{rest:?}");
        begun.join(rest)
    });
    let mixed = streams.filter(StreamPart::is_mixed).count();
    assert_eq!(mixed, 0, "streams of two versions");
}

/// Guards against streams of a service with one version that are refused because the store is away, or
/// because no other gateway answers (LOST).
#[test]
fn streams_of_the_only_version_go_on_without_the_store_or_without_other_gateways() {
    let (mut fleet, relay) = VersionedFleet::start_relayed(2, &["v1", "v1"]);
    std::thread::sleep(LISTED_TIME);
    let begin = |fleet: &VersionedFleet, name: &str| {
        let begun = (0..12).map(|index| fleet.begin_broken(1, &format!("{name}-{index}")));
        begun.collect::<Vec<_>>()
    };
    let take_up = |fleet: &VersionedFleet, name: &str, begun: Vec<StreamPart>| {
        let streams = begun.into_iter().enumerate().map(|(index, begun)| {
            let id = format!("{name}-{index}");
            let rest = fleet.take_up(0, &format!("{id}-again"), &id, &begun);
            begun.join(rest)
        });
        check_streams(name, &streams.collect::<Vec<_>>());
    };
    let begun = begin(&fleet, "without the store");
    relay.set_mode(RelayMode::Hold);
    take_up(&fleet, "without the store", begun);
    relay.set_mode(RelayMode::Open);
    let begun = begin(&fleet, "without others");
    fleet.gateways[1].process.kill();
    take_up(&fleet, "without others", begun);
}

/// Time in which the origins of streams are written to the store.
const SAVE_TIME: Duration = Duration::from_millis(1500);

/// Guards against streams that don't go on because all gateways but one were killed at once (LOST).
#[test]
fn streams_go_on_at_the_last_gateway_after_all_others_were_killed() {
    let mut fleet = VersionedFleet::start(7, &["v1", "v1", "v2", "v2"]);
    let begun: Vec<_> =
        (0..30).map(|index| fleet.begin_broken(index % 6, &format!("id-{index}"))).collect();
    std::thread::sleep(SAVE_TIME);
    fleet.gateways[..6].iter_mut().for_each(|gateway| gateway.process.kill());
    let streams = begun.into_iter().enumerate().map(|(index, begun)| {
        let id = format!("id-{index}");
        let rest = fleet.take_up(6, &format!("{id}-again"), &id, &begun);
        begun.join(rest)
    });
    check_streams("at the last gateway", &streams.collect::<Vec<_>>());
}
