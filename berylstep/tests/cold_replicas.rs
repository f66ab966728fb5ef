//! Cold replicas, which all gateways together must send few requests.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{read_message, request_text, respond};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::{FakeStore, StoreMode};
use berylstep_standins::fleet::{desired_state, lock, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::{json, Value};

const GATEWAYS: u8 = 3;

/// Length of a window in which the requests to a cold replica are bounded.
const WINDOW: Duration = Duration::from_secs(1);

/// Time for which a replica of the service is cold after its start.
const COLD_START: Duration = Duration::from_secs(3);

/// Requests per second that a cold replica of the service takes.
const COLD_PER_SECOND: f64 = 10.0;

/// Requests that a cold replica may get in a window, with the default bounds.
const ALLOWED: usize = 20;

/// Time within which all gateways have read a new entry from the store or learnt it from a peer.
const NOTICE_TIME: Duration = Duration::from_millis(700);

/// Pause of each gateway's callers between a request and the next.
const SEND_INTERVAL: Duration = Duration::from_millis(10);

/// A replica that notes when requests arrive.
struct CountingReplica {
    replica: FakeReplica,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl CountingReplica {
    fn start(id: &str) -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let log = arrivals.clone();
        let replica = FakeReplica::start(id, move |request, _, stream| {
            lock(&log).push(Instant::now());
            respond(stream, request, 200, "", "answer")
        });
        Self { replica, arrivals }
    }

    /// Returns an entry of the replica's process that started at `born`. Without `cold_ms` it says nothing of
    /// the time for which the replica stays cold.
    fn entry(&self, born: u64, cold_ms: Option<u64>) -> Value {
        let mut entry = self.replica.entry("safe", "ready");
        entry["born"] = born.into();
        match cold_ms {
            Some(cold_ms) => entry["ColdRemainingMs"] = cold_ms.into(),
            None => drop(entry.as_object_mut().unwrap().remove("ColdRemainingMs")),
        }
        entry
    }

    fn arrived(&self, from: Instant, to: Instant) -> usize {
        lock(&self.arrivals).iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Returns the largest number of requests in a window that lies between two moments.
    fn peak(&self, from: Instant, to: Instant) -> usize {
        let begins: Vec<_> =
            lock(&self.arrivals).iter().copied().filter(|at| (from..to).contains(at)).collect();
        let counts = begins.iter().map(|begin| self.arrived(*begin, (*begin + WINDOW).min(to)));
        counts.max().unwrap_or_default()
    }
}

/// Returns a store whose service `safe` has cold replicas.
fn cold_store() -> FakeStore {
    let store = FakeStore::start();
    let mut state = desired_state(1);
    let services = state["Services"].as_array_mut().unwrap();
    let service = services.iter_mut().find(|service| service["Name"] == "safe").unwrap();
    service["ColdStartS"] = COLD_START.as_secs_f64().into();
    service["ColdPerS"] = COLD_PER_SECOND.into();
    store.put("op", "config", Some(state));
    store
}

fn put(store: &FakeStore, replica: &CountingReplica, born: u64, cold_ms: Option<u64>) {
    store.put("servers", &replica.replica.id, Some(replica.entry(born, cold_ms)));
}

fn start_gateways(store: &FakeStore) -> Vec<FleetGateway> {
    let peer_port = free_address().port();
    let gateways = (2..2 + GATEWAYS).map(|number| FleetGateway::start(store, number, peer_port));
    gateways.collect()
}

/// What callers at one gateway got.
#[derive(Debug, Default)]
struct SentCounts {
    served: usize,
    /// Refusals, with the longest time that one took.
    refused: usize,
    slowest_refusal: Duration,
    others: usize,
}

/// Sends requests to all gateways at the same time until `end`.
fn send_until(gateways: &[&FleetGateway], end: Instant) -> Vec<SentCounts> {
    std::thread::scope(|scope| {
        let senders = gateways.iter().map(|gateway| {
            scope.spawn(move || {
                let mut counts = SentCounts::default();
                while Instant::now() < end {
                    let at = Instant::now();
                    let answer = gateway.send("safe", KEY_HEADER);
                    match answer.as_ref().map_or(0, |answer| answer.status()) {
                        200 => counts.served += 1,
                        503 => {
                            counts.refused += 1;
                            counts.slowest_refusal = counts.slowest_refusal.max(at.elapsed());
                            let wait = answer.unwrap().header("retry-after").map(str::to_owned);
                            let wait: f64 = wait.expect("a time").parse().expect("seconds");
                            assert!(wait > 0.0, "{wait} s");
                        }
                        _ => counts.others += 1,
                    }
                    std::thread::sleep(SEND_INTERVAL.saturating_sub(at.elapsed()));
                }
                counts
            })
        });
        let senders: Vec<_> = senders.collect();
        senders.into_iter().map(|sender| sender.join().unwrap()).collect()
    })
}

/// How a replica becomes cold.
#[derive(Clone, Copy, Debug)]
enum ColdCase {
    /// It is new, and its entry says how long it stays cold.
    New,
    /// It is new, and its entry doesn't say that it is cold.
    NewUnsaid,
    /// Its process was replaced, and its entry doesn't say that it is cold.
    Restarted,
    /// Its entry says so of the same process.
    Again,
}

/// Guards against more requests to a cold replica than it takes, against one that is left out, and against
/// requests that wait or fail although another replica takes them (FAILBACK).
#[test]
fn a_cold_replica_gets_what_it_takes_and_others_take_the_rest() {
    let cases = [ColdCase::New, ColdCase::NewUnsaid, ColdCase::Restarted, ColdCase::Again];
    let checks = cases.map(|case| std::thread::spawn(move || check_cold(case)));
    checks.into_iter().for_each(|check| check.join().unwrap());
}

fn check_cold(case: ColdCase) {
    let store = cold_store();
    let [warm, cold] = ["i-1", "i-2"].map(CountingReplica::start);
    put(&store, &warm, 1, Some(0));
    if matches!(case, ColdCase::Restarted | ColdCase::Again) {
        put(&store, &cold, 1, Some(0));
    }
    let gateways = start_gateways(&store);
    let gateways: Vec<_> = gateways.iter().collect();
    send_until(&gateways, Instant::now() + Duration::from_millis(500));
    let cold_ms = COLD_START.as_millis() as u64;
    let begin = Instant::now();
    match case {
        ColdCase::New => put(&store, &cold, 1, Some(cold_ms)),
        ColdCase::NewUnsaid => put(&store, &cold, 1, None),
        ColdCase::Restarted => put(&store, &cold, 2, None),
        ColdCase::Again => put(&store, &cold, 1, Some(cold_ms)),
    }
    let end = begin + COLD_START;
    let sent = send_until(&gateways, end + 2 * WINDOW);
    // Until the gateways have read the entry, they know a warm replica.
    let from = match case {
        ColdCase::New | ColdCase::NewUnsaid => begin,
        ColdCase::Restarted | ColdCase::Again => begin + NOTICE_TIME,
    };
    let (peak, used) = (cold.peak(from, end), cold.arrived(begin + WINDOW, end));
    assert!(peak <= ALLOWED, "{case:?}: {peak} in a second");
    assert!(used >= 10, "{case:?}: {used} in two seconds");
    assert!(sent.iter().all(|counts| counts.refused + counts.others == 0), "{case:?}: {sent:?}");
    let after = cold.arrived(end + WINDOW, end + 2 * WINDOW);
    assert!(after > ALLOWED, "{case:?}: {after} in the second after the cold time");
}

/// Guards against a rush where all replicas return cold at the same time, and against requests that wait
/// there (FAILBACK).
#[test]
fn where_all_replicas_are_cold_requests_beyond_what_they_take_are_refused_at_once() {
    let store = cold_store();
    let replicas = ["i-1", "i-2", "i-3"].map(CountingReplica::start);
    replicas.iter().for_each(|replica| put(&store, replica, 1, Some(0)));
    let gateways = start_gateways(&store);
    let gateways: Vec<_> = gateways.iter().collect();
    send_until(&gateways, Instant::now() + Duration::from_millis(500));
    for replica in &replicas {
        store.put("servers", &replica.replica.id, None);
    }
    let no_replica = Duration::from_millis(1000);
    send_until(&gateways, Instant::now() + no_replica);
    let begin = Instant::now();
    replicas.iter().for_each(|replica| put(&store, replica, 2, Some(2500)));
    let end = begin + Duration::from_millis(2500);
    let sent = send_until(&gateways, end);
    for replica in &replicas {
        let (peak, used) = (replica.peak(begin, end), replica.arrived(begin, end));
        assert!(peak <= ALLOWED, "{} got {peak} in a second", replica.replica.id);
        assert!(used >= 10, "{} got {used}", replica.replica.id);
    }
    for counts in &sent {
        assert!(counts.refused > 0 && counts.served > 0 && counts.others == 0, "{sent:?}");
        assert!(counts.slowest_refusal < Duration::from_millis(400), "{sent:?}");
    }
}

/// Guards against parts of a fleet that each send what all together may (FAILBACK).
#[test]
fn gateways_that_never_hear_each_other_share_what_a_cold_replica_takes() {
    let store = cold_store();
    let [warm, cold] = ["i-1", "i-2"].map(CountingReplica::start);
    put(&store, &warm, 1, Some(0));
    let gateways = (2..6).map(|number| {
        let mut config = GatewayConfig::new(store.address, number, free_address().port());
        config.seeds = vec![2, 3, 4, 5];
        FleetGateway::start_with(&config)
    });
    let gateways: Vec<_> = gateways.collect();
    let gateways: Vec<_> = gateways.iter().collect();
    send_until(&gateways, Instant::now() + Duration::from_millis(500));
    let begin = Instant::now();
    put(&store, &cold, 1, Some(4000));
    let sent = send_until(&gateways, begin + Duration::from_secs(4));
    let peak = cold.peak(begin, begin + Duration::from_secs(4));
    assert!(peak <= ALLOWED, "{peak} in a second");
    assert!(cold.arrived(begin, Instant::now()) > 0, "the replica is left out");
    assert!(sent.iter().all(|counts| counts.refused + counts.others == 0), "{sent:?}");
}

#[derive(Clone, Copy, Debug)]
struct PauseCase {
    name: &'static str,
    gateways: u8,
    /// Whether the store is away when the gateway goes on, so that nothing tells it of the change.
    store_is_away: bool,
}

/// Guards against a gateway that stood still while a replica became cold, and sends all that has come in
/// meanwhile (FAILBACK).
#[test]
fn a_gateway_that_was_paused_does_not_send_what_has_piled_up_to_a_cold_replica() {
    let cases = [
        PauseCase { name: "others tell it", gateways: GATEWAYS, store_is_away: false },
        PauseCase { name: "nothing tells it", gateways: 1, store_is_away: true },
    ];
    let checks = cases.map(|case| std::thread::spawn(move || check_pause(case)));
    checks.into_iter().for_each(|check| check.join().unwrap());
}

fn check_pause(case: PauseCase) {
    const PILED_UP: usize = 60;
    let store = cold_store();
    let replica = CountingReplica::start("i-1");
    put(&store, &replica, 1, Some(0));
    let peer_port = free_address().port();
    let gateways = (2..2 + case.gateways).map(|number| {
        let mut config = GatewayConfig::new(store.address, number, peer_port);
        config.seeds = (2..2 + case.gateways).collect();
        FleetGateway::start_with(&config)
    });
    let gateways: Vec<_> = gateways.collect();
    let all: Vec<_> = gateways.iter().collect();
    send_until(&all, Instant::now() + Duration::from_millis(500));
    gateways[0].process.freeze();
    let mut callers: Vec<_> = (0..PILED_UP).map(|_| gateways[0].connect()).collect();
    for caller in &mut callers {
        let request = request_text("safe", "id-1", 6000, KEY_HEADER);
        caller.write_all(request.as_bytes()).expect("the connection is open");
    }
    std::thread::sleep(Duration::from_millis(1500));
    if case.store_is_away {
        store.set_mode(StoreMode::Down);
    }
    let begin = Instant::now();
    put(&store, &replica, 2, Some(4000));
    std::thread::sleep(NOTICE_TIME);
    gateways[0].process.thaw();
    let answers = callers.iter_mut().filter_map(read_message);
    let statuses: Vec<_> = answers.map(|answer| answer.status()).collect();
    let peak = replica.peak(begin, Instant::now());
    assert!(peak <= ALLOWED, "{}: {peak} in a second: {statuses:?}", case.name);
    assert_eq!(statuses.len(), PILED_UP, "{}", case.name);
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
}

/// Guards against a cold replica that gets more while the gateway that hands out turns stands still or is
/// replaced, or that is then left out for long (FAILBACK).
#[test]
fn a_cold_replica_stays_within_its_bounds_while_gateways_freeze_and_restart() {
    let store = cold_store();
    let [warm, cold] = ["i-1", "i-2"].map(CountingReplica::start);
    put(&store, &warm, 1, Some(0));
    let peer_port = free_address().port();
    let numbers = 2..2 + GATEWAYS;
    let gateways = numbers.map(|number| FleetGateway::start(&store, number, peer_port));
    let mut gateways: Vec<_> = gateways.collect();
    let begin = Instant::now();
    put(&store, &cold, 1, Some(60_000));
    for index in 0..gateways.len() {
        gateways[index].process.freeze();
        let others: Vec<_> =
            gateways.iter().filter(|it| it.process.id() != gateways[index].process.id()).collect();
        let sent = send_until(&others, Instant::now() + Duration::from_millis(1800));
        assert!(sent.iter().all(|counts| counts.refused + counts.others == 0), "{sent:?}");
        gateways[index].process.thaw();
        let all: Vec<_> = gateways.iter().collect();
        let sent = send_until(&all, Instant::now() + Duration::from_millis(1500));
        assert!(sent.iter().all(|counts| counts.others == 0), "{sent:?}");
    }
    for index in 0..gateways.len() {
        drop(gateways.remove(index));
        gateways.insert(index, FleetGateway::start(&store, 2 + index as u8, peer_port));
        let all: Vec<_> = gateways.iter().collect();
        let sent = send_until(&all, Instant::now() + Duration::from_millis(1200));
        assert!(sent.iter().all(|counts| counts.others == 0), "{sent:?}");
    }
    let peak = cold.peak(begin, Instant::now());
    assert!(peak <= ALLOWED, "{peak} in a second");
    let all: Vec<_> = gateways.iter().collect();
    let after = Instant::now();
    send_until(&all, after + 2 * WINDOW);
    let used = cold.arrived(after, Instant::now());
    assert!(used >= 10, "{used} in two seconds");
}

/// Guards against gateways that refuse requests because the store is away, and against replicas that are
/// forgotten to be cold meanwhile.
#[test]
fn what_is_known_of_cold_replicas_holds_while_the_store_is_away() {
    let store = cold_store();
    let [warm, cold] = ["i-1", "i-2"].map(CountingReplica::start);
    put(&store, &warm, 1, Some(0));
    let gateways = start_gateways(&store);
    let gateways: Vec<_> = gateways.iter().collect();
    let begin = Instant::now();
    put(&store, &cold, 1, Some(60_000));
    wait_until("the cold replica is used", || {
        send_until(&gateways, Instant::now() + Duration::from_millis(100));
        cold.arrived(begin, Instant::now()) > 0
    });
    store.set_mode(StoreMode::Down);
    let sent = send_until(&gateways, Instant::now() + Duration::from_secs(4));
    let peak = cold.peak(begin, Instant::now());
    assert!(peak <= ALLOWED, "{peak} in a second");
    assert!(sent.iter().all(|counts| counts.refused + counts.others == 0), "{sent:?}");
}

/// Guards against a change for services that have no cold replicas: what their entries say doesn't matter.
#[test]
fn a_service_without_a_rate_for_cold_replicas_is_served_as_before() {
    for per_second in [None, Some(0)] {
        let store = FakeStore::start();
        let mut state = desired_state(1);
        for service in state["Services"].as_array_mut().unwrap() {
            service["ColdStartS"] = json!(3.0);
            if let Some(per_second) = per_second {
                service["ColdPerS"] = json!(per_second);
            }
        }
        store.put("op", "config", Some(state));
        let replica = CountingReplica::start("i-1");
        put(&store, &replica, 1, Some(60_000));
        let gateways = start_gateways(&store);
        let gateways: Vec<_> = gateways.iter().collect();
        let sent = send_until(&gateways, Instant::now() + Duration::from_secs(1));
        assert!(sent.iter().all(|counts| counts.refused + counts.others == 0), "{sent:?}");
        assert!(sent.iter().map(|counts| counts.served).sum::<usize>() > 2 * ALLOWED, "{sent:?}");
    }
}
