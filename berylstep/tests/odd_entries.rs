//! Entries of another writer, or of a faulty one, among those of the replicas and in the configuration, and
//! messages that no node has sent.

use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::process::Stdio;
use std::time::Duration;

use berylstep::platform::desired::decode_desired;
use berylstep::platform::entries::decode_entry;
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::respond;
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::{FakeStore, StoreMode};
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;
use berylstep_wire::{FleetPulse, NodeEntry, ReplicaCopy, ReplicaDelta, RunReport, RunRequest};
use prost::Message;

/// Depth of nesting that exhausts the stack of a naive reader.
const DEPTH: usize = 100_000;

/// Time within which a gateway follows a change of the list.
const FOLLOW_TIME: Duration = Duration::from_millis(1500);

struct OddCase {
    name: &'static str,
    id: String,
    entry: Vec<u8>,
}

/// Returns an entry with one field replaced.
fn with_field(field: &str, value: &str) -> Vec<u8> {
    let fields = [
        ("Service", "\"safe\""),
        ("Address", "\"127.0.0.1:9\""),
        ("Zone", "\"a\""),
        ("Version", "\"v1\""),
        ("Slots", "8"),
        ("State", "\"ready\""),
        ("born", "7"),
        ("leaves_ms", "null"),
    ];
    let fields = fields.map(|(name, usual)| {
        let value = if name == field { value } else { usual };
        format!("\"{name}\":{value}")
    });
    format!("{{{}}}", fields.join(",")).into_bytes()
}

/// Returns entries that name no replica to use.
fn odd_entries() -> Vec<OddCase> {
    let nested = |open: &str, close: &str| open.repeat(DEPTH) + &close.repeat(DEPTH);
    let of_field = |name, field, value: &str| (name, with_field(field, value));
    let entries = [
        ("nothing", Vec::new()),
        ("no UTF-8", vec![0xff, 0xfe, 0x00]),
        ("no UTF-8 in a field", [&b"{\"Service\":\"\xc3\x28\"}"[..]].concat()),
        ("a list", b"[1,2]".to_vec()),
        ("cut off", b"{\"Service\":\"safe\",".to_vec()),
        ("nested lists", nested("[", "]").into_bytes()),
        ("nested tables", nested("{\"a\":", "}").into_bytes()),
        of_field("nested deeply in a field that is read", "Zone", &nested("[", "]")),
        of_field("nested deeply in a field that is not read", "Odd\":1,\"Slots", "1"),
        of_field("slots above any number", "Slots", "1e400"),
        of_field("slots of 2^80", "Slots", "1208925819614629174706176"),
        of_field("slots below 0", "Slots", "-1"),
        of_field("no slot", "Slots", "0"),
        of_field("slots and a half", "Slots", "1.5"),
        of_field("born in 2^80", "born", "1208925819614629174706176"),
        of_field("leaves above any number", "leaves_ms", "1e400"),
        of_field("port 99999", "Address", "\"127.0.0.1:99999\""),
        of_field("port -1", "Address", "\"127.0.0.1:-1\""),
        of_field("port 0", "Address", "\"127.0.0.1:0\""),
        of_field("port 2^70", "Address", "\"127.0.0.1:1180591620717411303424\""),
        of_field("no port", "Address", "\"127.0.0.1\""),
        of_field("any address", "Address", "\"0.0.0.0:80\""),
        of_field("address of many", "Address", "\"224.0.0.1:80\""),
        of_field("address is a number", "Address", "17"),
        of_field("unknown state", "State", "\"odd\""),
    ];
    let odd = entries.into_iter().enumerate().map(|(index, (name, entry))| {
        // A field that is only added does not make the entry odd.
        let is_odd = name != "nested deeply in a field that is not read";
        is_odd.then(|| OddCase { name, id: format!("odd-{index}"), entry })
    });
    let mut cases: Vec<_> = odd.flatten().collect();
    let usual = with_field("", "");
    for (name, id) in [
        ("identifier with a line break", "i-9\r\nX-Odd: 1".to_owned()),
        ("identifier with a zero byte", "i-9\0".to_owned()),
        ("identifier that is no ASCII", "i-\u{1f600}".to_owned()),
        ("empty identifier", String::new()),
    ] {
        cases.push(OddCase { name, id, entry: usual.clone() });
    }
    cases
}

#[test]
fn odd_entries_name_no_replica() {
    assert!(decode_entry("i-1", &with_field("", "")).is_ok(), "the usual entry is read");
    for case in odd_entries() {
        assert!(decode_entry(&case.id, &case.entry).is_err(), "{}", case.name);
    }
    // Large values of the right type are read.
    let long = format!("\"{}\"", "z".repeat(200_000));
    for (field, value) in [("Zone", &*long), ("Version", &long), ("Slots", "4294967295")] {
        assert!(decode_entry("i-1", &with_field(field, value)).is_ok(), "{field}");
    }
}

#[test]
fn odd_configurations_are_rejected() {
    for case in odd_entries() {
        assert!(decode_desired(&case.entry).is_err(), "{}", case.name);
    }
}

struct OddFleet {
    store: FakeStore,
    peer_port: u16,
    gateways: Vec<FleetGateway>,
}

impl OddFleet {
    fn start_gateway(&mut self, number: u8) {
        let config = GatewayConfig::new(self.store.address, number, self.peer_port);
        let config = GatewayConfig { first_start: number < 4, ..config };
        let gateway = config.spawn(Stdio::null()).expect("the gateway starts");
        wait_until("the gateway is ready", || gateway.is_ready());
        self.gateways.push(gateway);
    }

    /// Asserts that all gateways live and serve, at replicas that are in the list.
    fn check(&mut self, when: &str) {
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            assert_eq!(gateway.process.exit_code(), None, "{when}: gateway {index} has ended");
            for _ in 0..10 {
                let answer = gateway.send("safe", KEY_HEADER);
                let status = answer.as_ref().map(|answer| answer.status());
                assert_eq!(status, Some(200), "{when}: gateway {index}");
            }
        }
    }
}

/// Guards against nodes that end, or no longer follow the list, because of one odd entry or message (ends of
/// their own, LOST).
#[test]
fn gateways_live_on_and_follow_the_list_beside_odd_entries_and_messages() {
    let replicas = ["i-1", "i-2"].map(|id| {
        FakeReplica::start(id, |request, _, stream| respond(stream, request, 200, "", "answer"))
    });
    let entry = |replica: &FakeReplica| Some(replica.entry("safe", "ready"));
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    store.put("servers", "i-1", entry(&replicas[0]));
    let peer_port = free_address().port();
    let mut fleet = OddFleet { store, peer_port, gateways: Vec::new() };
    fleet.start_gateway(2);
    for case in odd_entries() {
        fleet.store.put_bytes("servers", &case.id, Some(case.entry.clone()));
        fleet.store.put_bytes("op", &case.id, Some(case.entry.clone()));
        fleet.store.put_bytes("op", "config", Some(case.entry));
    }
    // One that would be used, if its identifier were one.
    fleet.store.put("servers", "i-9\r\nX-Odd: 1", entry(&replicas[0]));
    std::thread::sleep(FOLLOW_TIME);
    fleet.check("odd entries come");
    fleet.store.put("op", "config", Some(desired_state(2)));
    fleet.start_gateway(3);
    fleet.check("odd entries are there at the start");
    fleet.store.set_mode(StoreMode::Down);
    fleet.start_gateway(4);
    fleet.check("the state is told by a peer");
    fleet.store.set_mode(StoreMode::Up);
    send_odd_messages(peer_port);
    std::thread::sleep(FOLLOW_TIME);
    fleet.check("odd messages");
    // The list is still followed: the first replica leaves, and another one takes its place.
    fleet.store.put("servers", "i-2", entry(&replicas[1]));
    fleet.store.put("servers", "i-1", None);
    std::thread::sleep(FOLLOW_TIME);
    let before = replicas[0].received().len();
    fleet.check("the list changes");
    assert_eq!(replicas[0].received().len(), before, "the replica that has left gets nothing");
    assert!(replicas[1].received().len() >= 30);
    let has_odd_header =
        |replica: &FakeReplica| replica.received().iter().any(|it| it.header("x-odd").is_some());
    assert!(!replicas.iter().any(has_odd_header), "an identifier became a header");
}

fn send_odd_messages(peer_port: u16) {
    let socket = UdpSocket::bind("127.0.0.9:0").expect("a loopback port is free");
    let odd_entry = NodeEntry {
        node: "odd".into(),
        zone: "a".into(),
        peer_ip: vec![1, 2, 3],
        peer_port: 99_999,
        ..NodeEntry::default()
    };
    let copies = odd_entries().into_iter().map(|case| ReplicaCopy {
        id: case.id,
        revision: u64::MAX,
        value: if case.entry.len() < 8000 { case.entry } else { vec![b'['; 8000] },
    });
    let delta = ReplicaDelta { since: 1, replicas: copies.collect(), ..ReplicaDelta::default() };
    let envelope = || FleetPulse { node: "odd".into(), zone: "a".into(), ..FleetPulse::default() };
    let report = RunReport {
        replica: 1,
        born: u64::MAX,
        next: u64::MAX,
        held: vec![1; 100],
        lifetimes_ms: vec![u32::MAX; 7],
        rejected: true,
        ..RunReport::default()
    };
    let request = RunRequest {
        request: u64::MAX,
        tier: u32::MAX,
        patience_ms: u32::MAX,
        lifetime_ms: u32::MAX,
        ..RunRequest::default()
    };
    let pulses = [
        FleetPulse {
            sequence: 1,
            nodes: vec![odd_entry],
            caller_address: "odd".into(),
            ..envelope()
        },
        FleetPulse { replica_delta: Some(delta), ..envelope() },
        FleetPulse { run_reports: vec![report], ..envelope() },
        FleetPulse { run_request: Some(request), ..envelope() },
        FleetPulse { incarnation: u64::MAX, unix_ms: u64::MAX, ..envelope() },
    ];
    let mut messages: Vec<_> = pulses.iter().map(Message::encode_to_vec).collect();
    messages.push(vec![0xff; 1200]);
    messages.push(Vec::new());
    for number in 2..5 {
        for message in &messages {
            let to = format!("127.0.0.{number}:{peer_port}");
            socket.send_to(message, to).expect("the message is sent");
        }
        let mut stream = TcpStream::connect(format!("127.0.0.{number}:{peer_port}"))
            .expect("the gateway accepts connections of peers");
        if let Err(err) = stream.write_all(&vec![b'{'; DEPTH]) {
            log::debug!("the gateway closed the connection: {err}");
        }
    }
}
