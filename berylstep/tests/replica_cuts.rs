//! Gateways that are cut off from replicas, while callers, the store and other gateways reach them.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use berylstep_standins::fleet::cut::{CutMode, CuttableReplica};
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{
    begin_events, end_events, read_partial_message, request_text, respond, write_event, RawMessage,
};
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

const GATEWAYS: u8 = 4;

/// Time after the beginning of a cut from which callers must be served as elsewhere.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which requests are counted.
const COUNTED_TIME: Duration = Duration::from_secs(4);

/// Pause between two requests.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Part of the first tries at gateways that are cut off that must be served.
const SERVED_SHARE: f64 = 0.95;

fn source(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, number))
}

/// Starts gateways that replicas can tell apart, and waits until they know each other.
fn start_gateways(store: &FakeStore, count: u8) -> Vec<FleetGateway> {
    let peer_port = free_address().port();
    let gateways = (2..2 + count).map(|number| {
        let config = GatewayConfig {
            binds_upstreams: true,
            ..GatewayConfig::new(store.address, number, peer_port)
        };
        let gateway = config.spawn(std::process::Stdio::piped()).unwrap();
        wait_until("the gateway is ready", || gateway.is_ready());
        gateway
    });
    let gateways = gateways.collect();
    std::thread::sleep(Duration::from_millis(2200));
    gateways
}

struct CutFleet {
    replicas: Vec<CuttableReplica>,
    gateways: Vec<FleetGateway>,
    _store: FakeStore,
}

impl CutFleet {
    fn start() -> Self {
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        let services = ["safe", "unsafe", "resumable"];
        let replicas = services.iter().flat_map(|service| {
            (0..2).map(move |index| (format!("i-{service}-{index}"), *service))
        });
        let replicas = replicas.map(|(id, service)| {
            let replica = CuttableReplica::start(&id, serve);
            store.put("servers", &id, Some(replica.entry(service)));
            replica
        });
        let replicas = replicas.collect();
        let gateways = start_gateways(&store, GATEWAYS);
        Self { replicas, gateways, _store: store }
    }

    /// Sends requests of all routes to a gateway until `end`; returns whether each was served.
    fn send_until(&self, gateway: usize, end: Instant) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        while Instant::now() < end {
            let route = ["safe", "unsafe", "resumable"][sent.len() % 3];
            sent.push(self.send(gateway, route, sent.len()));
            std::thread::sleep(SEND_INTERVAL);
        }
        sent
    }

    fn send(&self, gateway: usize, route: &'static str, number: usize) -> SentRequest {
        let id = format!("id-{gateway}-{route}-{number}-{}", next_number());
        let began = Instant::now();
        let mut stream = self.gateways[gateway].connect();
        let text = request_text(route, &id, 1500, KEY_HEADER);
        std::io::Write::write_all(&mut stream, text.as_bytes()).unwrap();
        let answer = read_partial_message(&mut stream);
        let status = answer.as_ref().map_or(0, |(message, _)| message.status());
        let is_whole = answer.is_some_and(|(_, is_whole)| is_whole);
        SentRequest { id, route, status, is_whole, took: began.elapsed() }
    }

    /// Returns how often a request reached replicas.
    fn arrivals(&self, id: &str) -> usize {
        let received = self.replicas.iter().flat_map(CuttableReplica::received);
        received.filter(|(_, request)| request.header("berylstep-attempt-id") == Some(id)).count()
    }
}

/// Returns a number that no other request of this process has.
fn next_number() -> usize {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

#[derive(Clone, Debug)]
struct SentRequest {
    id: String,
    route: &'static str,
    status: u16,
    is_whole: bool,
    took: Duration,
}

impl SentRequest {
    fn is_served(&self) -> bool {
        self.status == 200 && self.is_whole
    }
}

fn serve(request: &RawMessage, stream: &mut std::net::TcpStream) -> bool {
    match request.target().starts_with("/resumable") {
        true => {
            begin_events(stream, request)
                && (1..=3).all(|number| write_event(stream, number))
                && end_events(stream)
        }
        false => respond(stream, request, 200, "", "answer"),
    }
}

#[derive(Clone, Copy, Debug)]
struct CutCase {
    mode: CutMode,
    /// Number of the four gateways that are cut off.
    cut: u8,
    /// Service whose replicas can't be reached; all if `None`.
    service: Option<&'static str>,
}

/// Guards against callers that are served worse at gateways that are cut off from replicas (RECOVER).
#[test]
fn callers_of_gateways_that_are_cut_off_from_replicas_are_served_as_elsewhere() {
    let cases = [
        CutCase { mode: CutMode::Silent, cut: 2, service: None },
        CutCase { mode: CutMode::NewSilent, cut: 3, service: None },
        CutCase { mode: CutMode::Reset, cut: 3, service: None },
        CutCase { mode: CutMode::Silent, cut: 2, service: Some("unsafe") },
    ];
    check_cuts(cases);
}

/// Guards against the same where a host on the way accepts connections for the replicas (RECOVER).
#[test]
fn callers_of_gateways_behind_a_host_that_accepts_connections_for_replicas_are_served_as_elsewhere()
{
    check_cuts([
        CutCase { mode: CutMode::RequestReset, cut: 2, service: None },
        CutCase { mode: CutMode::RequestSilent, cut: 2, service: None },
    ]);
}

fn check_cuts<const COUNT: usize>(cases: [CutCase; COUNT]) {
    let checks = cases.map(|case| std::thread::spawn(move || check_cut(case)));
    let results: Vec<_> = checks.into_iter().map(|check| check.join()).collect();
    results.into_iter().for_each(|result| result.unwrap());
}

fn check_cut(case: CutCase) {
    let fleet = CutFleet::start();
    let cut: Vec<_> = (2..2 + case.cut).map(source).collect();
    let send_all = |end: Instant| -> Vec<Vec<SentRequest>> {
        std::thread::scope(|scope| {
            let fleet = &fleet;
            let sending: Vec<_> = (0..usize::from(GATEWAYS))
                .map(|gateway| scope.spawn(move || fleet.send_until(gateway, end)))
                .collect();
            sending.into_iter().map(|sending| sending.join().unwrap()).collect()
        })
    };
    send_all(Instant::now() + Duration::from_millis(500));
    let is_affected = |id: &str| case.service.is_none_or(|service| id.contains(service));
    for replica in fleet.replicas.iter().filter(|replica| is_affected(&replica.id)) {
        replica.cut(&cut, case.mode);
    }
    let early = send_all(Instant::now() + CONTACT_TIME);
    let counted = send_all(Instant::now() + COUNTED_TIME);
    fleet.replicas.iter().for_each(CuttableReplica::heal);
    let after = send_all(Instant::now() + CONTACT_TIME);
    for (gateway, sent) in counted.iter().enumerate() {
        let served = sent.iter().filter(|request| request.is_served()).count();
        let share = served as f64 / sent.len() as f64;
        let failed: Vec<_> = sent.iter().filter(|request| !request.is_served()).take(3).collect();
        assert!(share >= SERVED_SHARE, "{case:?}, gateway {gateway}: {share:.2}, {failed:?}");
    }
    let late = after.iter().flatten().filter(|request| !request.is_served()).count();
    assert!(late * 20 <= after.iter().map(Vec::len).sum(), "{case:?}: {late} failed afterwards");
    for request in early.iter().chain(&counted).chain(&after).flatten() {
        let arrivals = fleet.arrivals(&request.id);
        if request.route == "unsafe" {
            assert!(arrivals <= 1, "{case:?}: {request:?} ran {arrivals} times");
        }
        if request.status == 503 {
            assert_eq!(arrivals, 0, "{case:?}: {request:?} ran");
        }
    }
    let longest = counted.iter().flatten().map(|request| request.took).max().unwrap_or_default();
    assert!(longest < Duration::from_millis(1600), "{case:?}: {longest:?}");
}

/// Events of a slow stream, and the pause before each.
const SLOW_EVENTS: u32 = 8;
const SLOW_PAUSE: Duration = Duration::from_millis(150);

struct TakerCase {
    name: &'static str,
    /// Ends the node that has taken the requests over, while they run.
    end: fn(&mut FleetGateway),
    /// Whether the callers get whole responses.
    is_whole: bool,
}

/// Guards against requests that are lost, or look complete, when the node that took them over stops or
/// dies (RECOVER, MIXED), and against replicas that go on working for callers that have left.
#[test]
fn requests_that_were_handed_over_outlast_a_planned_stop_and_visibly_break_with_a_crash() {
    let cases = [
        TakerCase {
            name: "planned stop",
            end: |gateway| gateway.process.terminate(),
            is_whole: true,
        },
        TakerCase { name: "crash", end: |gateway| gateway.process.kill(), is_whole: false },
    ];
    for case in cases {
        let replica = CuttableReplica::start("i-1", |request, stream| {
            begin_events(stream, request)
                && (1..=SLOW_EVENTS).all(|number| {
                    std::thread::sleep(SLOW_PAUSE);
                    write_event(stream, number)
                })
                && end_events(stream)
        });
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        store.put("servers", "i-1", Some(replica.entry("plain")));
        let mut gateways = start_gateways(&store, 2);
        replica.cut(&[source(2)], CutMode::Silent);
        let send = |id: &str| {
            let mut stream = gateways[0].connect();
            let text = request_text("plain", id, 2900, KEY_HEADER);
            std::io::Write::write_all(&mut stream, text.as_bytes()).unwrap();
            stream
        };
        // The first finds out that the gateway is cut off.
        let first = read_partial_message(&mut send("id-first"));
        assert_eq!(first.map(|(message, _)| message.status()), Some(200), "{}", case.name);
        let mut streams = ["id-1", "id-2", "id-3"].map(send);
        std::thread::sleep(3 * SLOW_PAUSE);
        (case.end)(&mut gateways[1]);
        for stream in &mut streams {
            let (message, is_whole) = read_partial_message(stream).expect("the head arrived");
            assert_eq!((message.status(), is_whole), (200, case.is_whole), "{}", case.name);
        }
        let sources: Vec<_> = replica.received().iter().map(|(source, _)| *source).collect();
        assert_eq!(sources, [source(3); 4], "{}", case.name);
    }
}
