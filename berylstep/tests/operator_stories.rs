//! Tests of gateway processes for faults that operators of similar systems have told of: late second
//! copies of responses, slow and stalled streams, and restarts that bring back what was withdrawn.

use std::io::Write;
use std::net::TcpStream;
use std::process::Stdio;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::{wait_until, write_request, FleetGateway, GatewayConfig};
use berylstep_standins::fleet::message::{
    begin_events, end_events, read_message, request_text, respond, write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, desired_state_for, KEY_HEADER};
use berylstep_standins::process::free_address;
use serde_json::json;

fn start_fleet(service: &str, replicas: &[&FakeReplica]) -> (FakeStore, FleetGateway) {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in replicas {
        store.put("servers", &replica.id, Some(replica.entry(service, "ready")));
    }
    let gateway = FleetGateway::start(&store, 4, free_address().port());
    (store, gateway)
}

struct CopyCase {
    name: &'static str,
    /// Time after a response at which its second copy is sent.
    delay: Duration,
    /// Whether the requests bear an identifier, which the replica echoes.
    identified: bool,
}

#[test]
fn a_late_second_copy_of_a_response_never_answers_another_request() {
    let cases = [
        CopyCase { name: "at once", delay: Duration::ZERO, identified: true },
        CopyCase { name: "while idle", delay: Duration::from_millis(5), identified: true },
        CopyCase { name: "in use again", delay: Duration::from_millis(25), identified: true },
        CopyCase { name: "no identifier", delay: Duration::from_millis(25), identified: false },
    ];
    for case in cases {
        let delay = case.delay;
        let replica = FakeReplica::start("i-1", move |request, _, stream| {
            // Each request takes longer than the copy of the response before.
            std::thread::sleep(Duration::from_millis(40));
            let marker = request.header("x-marker").unwrap_or("-").to_owned();
            let request = request.clone();
            if !respond(stream, &request, 200, "", &marker) {
                return false;
            }
            let Ok(mut copy) = stream.try_clone() else { return false };
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                respond(&mut copy, &request, 200, "", &marker)
            });
            true
        });
        let (_store, gateway) = start_fleet("unsafe", &[&replica]);
        let mut caller = gateway.connect();
        for number in 0..if case.identified { 12 } else { 4 } {
            let headers = format!("{KEY_HEADER}X-Marker: m{number}\r\n");
            let mut text = request_text("unsafe", &format!("id-{number}"), 2000, &headers);
            if !case.identified && number % 2 == 1 {
                text = text.replace(&format!("Berylstep-Attempt-Id: id-{number}\r\n"), "");
            }
            caller.write_all(text.as_bytes()).expect("the gateway reads");
            let answer = read_message(&mut caller).expect("an answer");
            let is_own = answer.body == format!("m{number}");
            assert!(answer.status() != 200 || is_own, "{}: {number}: {answer:?}", case.name);
            if answer.header("connection") == Some("close") {
                caller = gateway.connect();
            }
        }
    }
}

/// Sends `count` events with a pause before each, then ends the stream.
fn send_events(request: &RawMessage, stream: &mut TcpStream, count: u32, pause: Duration) -> bool {
    begin_events(stream, request)
        && (0..count).all(|number| {
            std::thread::sleep(pause);
            write_event(stream, number)
        })
        && end_events(stream)
}

#[test]
fn slow_but_sound_streams_are_not_cut() {
    // The wanted gap is 200 ms; a stream is given up after four of these, if it can go on elsewhere.
    for (route, pause) in [("plain", 450), ("resumable", 450), ("resumable", 900)] {
        let pause = Duration::from_millis(pause);
        let count = (1700 / pause.as_millis()) as u32;
        let replica = FakeReplica::start("i-1", move |request, _, stream| {
            send_events(request, stream, count, pause)
        });
        let (_store, gateway) = start_fleet(route, &[&replica]);
        let mut stream = gateway.connect();
        write_request(&mut stream, route, KEY_HEADER);
        let answer = read_message(&mut stream);
        let answer = answer.unwrap_or_else(|| panic!("{route} with {pause:?} was cut"));
        assert_eq!(answer.body.matches("id:").count(), count as usize, "{route}, {pause:?}");
    }
}

#[test]
fn a_stalled_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere_or_ends() {
    let stalled = |id: &str| {
        FakeReplica::start(id, |request, _, stream| {
            let started = begin_events(stream, request) && write_event(stream, 0);
            while started && stream.write_all(b"1\r\n:\r\n").is_ok() {
                std::thread::sleep(Duration::from_millis(100));
            }
            false
        })
    };
    let replica = stalled("i-1");
    let (_store, gateway) = start_fleet("plain", &[&replica]);
    let mut stream = gateway.connect();
    write_request(&mut stream, "plain", KEY_HEADER);
    let started = Instant::now();
    assert!(read_message(&mut stream).is_none(), "it must not look complete");
    assert!(started.elapsed() < Duration::from_millis(2500), "after {:?}", started.elapsed());

    let first = stalled("i-1");
    let second = FakeReplica::start("i-2", |request, _, stream| {
        let from = request.header("last-event-id").map_or(0, |_| 1);
        begin_events(stream, request)
            && (from..4).all(|number| write_event(stream, number))
            && end_events(stream)
    });
    let (_store, gateway) = start_fleet("resumable", &[&first, &second]);
    // Whichever replica is selected, the caller gets the four events within its two seconds.
    wait_until("the stalled replica was tried", || {
        let answer = gateway.send("resumable", KEY_HEADER).expect("a whole stream");
        assert_eq!(answer.body.matches("id:").count(), 4, "{}", answer.body);
        !first.received().is_empty()
    });
}

#[test]
fn a_restarted_process_uses_no_withdrawn_key_and_no_replica_that_left() {
    let gone =
        FakeReplica::start("i-1", |request, _, stream| respond(stream, request, 200, "", "answer"));
    let leaving = FakeReplica::start("i-2", |request, _, stream| {
        respond(stream, request, 200, "Server-Leaving: 1\r\n", "answer")
    });
    let sound =
        FakeReplica::start("i-3", |request, _, stream| respond(stream, request, 200, "", "answer"));
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in [&gone, &leaving, &sound] {
        store.put("servers", &replica.id, Some(replica.entry("safe", "ready")));
    }
    let port = free_address().port();
    let first = FleetGateway::start(&store, 2, port);
    let config = GatewayConfig { first_start: false, ..GatewayConfig::new(store.address, 3, port) };
    let mut second = config.spawn(Stdio::null()).expect("the gateway starts");
    wait_until("the second gateway is ready", || second.is_ready());
    wait_until("the leaving replica is reached", || {
        first.send("safe", KEY_HEADER).expect("an answer");
        !leaving.received().is_empty()
    });
    store.put("servers", "i-1", None);
    let organisations = json!([{"Name": "org", "Keys": ["second-key"], "Priority": 1}]);
    store.put("op", "config", Some(desired_state_for(2, &organisations)));
    // Longer than the time for which nodes tell each other of a replica that is found to leave.
    std::thread::sleep(Duration::from_millis(4000));
    for _ in 0..3 {
        second.process.kill();
        drop(second);
        let before = (gone.received().len(), leaving.received().len());
        second = config.spawn(Stdio::null()).expect("the gateway starts again");
        wait_until("the second gateway is ready again", || second.is_ready());
        for _ in 0..30 {
            assert_eq!(second.send("safe", KEY_HEADER).expect("an answer").status(), 401);
            let valid = second.send("safe", "X-Api-Key: second-key\r\n").expect("an answer");
            assert_eq!(valid.status(), 200);
        }
        assert_eq!((gone.received().len(), leaving.received().len()), before);
    }
}
