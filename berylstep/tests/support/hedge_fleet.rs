//! A gateway with two scripted replicas, for tests of hedged requests.

use std::fs::File;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{
    begin_events, end_events, read_partial_message, request_text, respond, write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use rustix::process::Signal;
use serde_json::{json, Value};

/// Requests from which a gateway learns the time to the response.
const WARM_REQUESTS: usize = 60;

/// Time after which a slow replica responds; requests without hedges are offered elsewhere after 500 ms.
pub const LATE: Duration = Duration::from_millis(300);

/// Time for which a replica that waits for something holds a request at most.
const HOLD: Duration = Duration::from_secs(3);

/// When a replica does something with a request.
#[derive(Clone, Copy)]
pub enum Moment {
    AtOnce,
    Late,
    /// Soon after the other attempt has arrived.
    OtherArrived,
    /// Soon after the other attempt has ended.
    OtherEnded,
}

/// What a replica does with a request.
#[derive(Clone, Copy)]
pub enum Deed {
    Answer,
    Fail,
    Reject,
    Close,
    /// Waits until the gateway closes the connection.
    Hold,
    /// Waits for the other attempt and responds at the same moment.
    AnswerTogether,
    /// Begins a stream and closes the connection after its first event.
    BreakOff,
}

#[derive(Clone, Copy)]
pub struct Script(pub Moment, pub Deed);

/// What the replicas of a case have in common.
pub struct PlayState {
    scripts: [Script; 3],
    /// Header lines of the responses from which the gateway learns.
    statement: &'static str,
    /// Time that a usual response takes.
    usual: Duration,
    pub arrived: AtomicUsize,
    ended: AtomicUsize,
    pub closed: AtomicUsize,
    together: Barrier,
}

impl PlayState {
    fn serve(&self, request: &RawMessage, stream: &mut TcpStream) -> bool {
        let id = request.header("berylstep-attempt-id").unwrap_or_default();
        if id.starts_with("warm") {
            std::thread::sleep(self.usual);
            return self.answer(request, stream);
        }
        let index = self.arrived.fetch_add(1, Ordering::SeqCst);
        let Script(moment, deed) = self.scripts[index.min(2)];
        match moment {
            Moment::AtOnce => {}
            Moment::Late => std::thread::sleep(LATE),
            Moment::OtherArrived => wait_for(&self.arrived, index + 2),
            Moment::OtherEnded => wait_for(&self.ended, 1),
        }
        let keeps_open = match deed {
            Deed::Answer => self.answer(request, stream),
            Deed::Fail => respond(stream, request, 500, "", "failure"),
            Deed::Reject => {
                respond(stream, request, 503, "Berylstep-Not-Executed: full\r\n", "full")
            }
            Deed::Close => false,
            Deed::Hold => {
                stream.set_read_timeout(Some(HOLD)).expect("the read timeout is valid");
                let read = stream.read(&mut [0]);
                let is_closed = read.as_ref().map_or_else(
                    |err| err.kind() == std::io::ErrorKind::ConnectionReset,
                    |count| *count == 0,
                );
                self.closed.fetch_add(usize::from(is_closed), Ordering::SeqCst);
                false
            }
            Deed::AnswerTogether => {
                self.together.wait();
                self.answer(request, stream)
            }
            Deed::BreakOff => {
                let is_begun = begin_events(stream, request) && write_event(stream, 1);
                std::thread::sleep(Duration::from_millis(50));
                assert!(is_begun, "the gateway reads the first event");
                false
            }
        };
        self.ended.fetch_add(1, Ordering::SeqCst);
        keeps_open
    }

    fn answer(&self, request: &RawMessage, stream: &mut TcpStream) -> bool {
        let is_stream =
            ["/plain/", "/resumable/"].iter().any(|route| request.target().starts_with(route));
        if is_stream {
            return begin_events(stream, request) && write_event(stream, 1) && end_events(stream);
        }
        respond(stream, request, 200, self.statement, "answer")
    }
}

/// Waits until `count` is reached, for at most [`HOLD`], and then a little.
pub fn wait_for(counter: &AtomicUsize, count: usize) {
    let until = Instant::now() + HOLD;
    while counter.load(Ordering::SeqCst) < count && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(Duration::from_millis(60));
}

/// A gateway that has learnt the time to the response from two quick replicas.
pub struct HedgeFleet {
    pub state: Arc<PlayState>,
    gateway: FleetGateway,
    route: &'static str,
    /// Metrics when the gateway had learnt the time to the response.
    learning: String,
    log: PathBuf,
    _store: FakeStore,
}

impl HedgeFleet {
    pub fn start(setup: &FleetSetup) -> Self {
        let state = Arc::new(PlayState {
            scripts: setup.scripts,
            statement: setup.statement,
            usual: setup.usual,
            arrived: AtomicUsize::new(0),
            ended: AtomicUsize::new(0),
            closed: AtomicUsize::new(0),
            together: Barrier::new(2),
        });
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        for id in &["i-1", "i-2", "i-3"][..setup.replicas] {
            let state = state.clone();
            let replica =
                FakeReplica::start(id, move |request, _, stream| state.serve(request, stream));
            let mut entry = replica.entry(setup.route, "ready");
            entry["Slots"] = setup.slots.into();
            store.put("servers", id, Some(entry));
        }
        let mut config = GatewayConfig::new(store.address, 4, free_address().port());
        for (name, value) in setup.settings() {
            config.overrides.insert(name.to_owned(), value);
        }
        let name = format!("hedges-{}-{}.log", std::process::id(), config.peer_port);
        let log = std::env::temp_dir().join(name);
        let file = File::create(&log).expect("a log file");
        let gateway = config.spawn(file.into()).expect("the gateway starts");
        wait_until("the gateway is ready", || gateway.is_ready());
        let (route, learning) = (setup.route, String::new());
        let mut fleet = Self { state, gateway, route, learning, log, _store: store };
        fleet.learn();
        fleet
    }

    /// Sends requests from which the gateway learns the time to the response, if hedging is switched on.
    pub fn learn(&mut self) {
        for number in 0..WARM_REQUESTS {
            // A node that doesn't know the slots of brittle replicas yet refuses some requests.
            wait_until("a warm request is answered", || {
                let answer = self.send(&format!("warm-{number}"), 2000);
                answer.is_some_and(|(answer, _)| answer.status() == 200)
            });
        }
        self.learning = self.metrics();
    }

    /// Changes a setting of the gateway while it runs.
    pub fn reload(&self, name: &str, value: Value) {
        let text = std::fs::read_to_string(&self.gateway.settings).expect("settings");
        let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
        settings[name] = value;
        let before = self.log_lines(&["event=settings_reloaded"]).len();
        std::fs::write(&self.gateway.settings, settings.to_string()).expect("settings are written");
        self.gateway.process.signal(Signal::HUP);
        wait_until("the settings are read", || {
            self.log_lines(&["event=settings_reloaded"]).len() > before
        });
    }

    /// Returns the lines of the log that contain all of `parts`.
    pub fn log_lines(&self, parts: &[&str]) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).expect("the log is readable");
        let lines = text.lines().filter(|line| parts.iter().all(|part| line.contains(part)));
        lines.map(str::to_owned).collect()
    }

    pub fn begin(&self, id: &str, timeout_ms: u64) -> TcpStream {
        let mut stream = self.gateway.connect();
        let request = request_text(self.route, id, timeout_ms, KEY_HEADER);
        stream.write_all(request.as_bytes()).expect("the gateway reads");
        stream
    }

    /// Returns the response, and whether it is whole.
    pub fn send(&self, id: &str, timeout_ms: u64) -> Option<(RawMessage, bool)> {
        read_partial_message(&mut BufReader::new(self.begin(id, timeout_ms)))
    }

    pub fn arrived(&self) -> usize {
        self.state.arrived.load(Ordering::SeqCst)
    }

    /// Returns the sum of the samples of a metric whose labels contain `label`, without what the requests counted
    /// from which the gateway has learnt: a busy machine makes some of them slow.
    pub fn metric(&self, name: &str, label: &str) -> f64 {
        let sum = |text: &str| -> f64 {
            let prefix = format!("berylstep_gateway_hedges_{name}_total{{");
            let lines = text.lines().filter(|line| line.starts_with(&prefix));
            let values = lines.filter(|line| line.contains(label));
            values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
        };
        sum(&self.metrics()) - sum(&self.learning)
    }

    /// Returns for which reasons how many requests were not hedged.
    pub fn denials(&self) -> String {
        let reasons = ["unknown", "budget", "room", "deadline", "replica", "retries"];
        reasons.map(|reason| format!("{reason} {}", self.metric("denied", reason))).join(", ")
    }

    fn metrics(&self) -> String {
        let mut stream =
            TcpStream::connect(self.gateway.metrics_address).expect("metrics are served");
        let request = "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("the gateway reads");
        let (answer, _) = read_partial_message(&mut BufReader::new(stream)).expect("metrics");
        answer.body
    }
}

impl Drop for HedgeFleet {
    fn drop(&mut self) {
        if let Err(err) = std::fs::remove_file(&self.log) {
            eprintln!("cannot remove {}: {err}", self.log.display());
        }
    }
}

/// How a fleet is set up.
#[derive(Clone, Copy)]
pub struct FleetSetup {
    pub route: &'static str,
    /// What is done with the attempts, in the order of their arrival; the last one stands for all further ones.
    pub scripts: [Script; 3],
    /// Number of replicas, up to 3.
    pub replicas: usize,
    pub slots: u32,
    pub statement: &'static str,
    pub usual: Duration,
    pub hedge_ratio: Option<f64>,
    pub is_contended: bool,
}

impl FleetSetup {
    pub const fn new(first: Script, second: Script) -> Self {
        Self {
            route: "safe",
            scripts: [first, second, Script(Moment::AtOnce, Deed::Answer)],
            replicas: 2,
            slots: 8,
            statement: "",
            usual: Duration::ZERO,
            hedge_ratio: Some(0.3),
            is_contended: true,
        }
    }

    fn settings(&self) -> Vec<(&'static str, Value)> {
        let groups: &[&str] = if self.is_contended { &["pressure"] } else { &[] };
        let ratio = self.hedge_ratio.map(|ratio| ("hedge_ratio", json!(ratio)));
        [("rule_groups", json!(groups))].into_iter().chain(ratio).collect()
    }
}
