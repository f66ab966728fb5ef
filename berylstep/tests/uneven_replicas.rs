//! Replicas of uneven pace behind gateway processes: one that is slow gets less, and a gateway without requests of its own
//! learns of it from the pulses of another one. Where no replica states its pace, none counts as slow.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::FleetGateway;
use berylstep_standins::fleet::message::{
    begin_events_with, end_events, respond, write_event, RawMessage,
};
use berylstep_standins::fleet::replica::FakeReplica;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(6);

/// Usual time of a request, and that at the slow replica.
const USUAL_TIME: Duration = Duration::from_millis(20);
const SLOW_TIME: Duration = Duration::from_millis(80);

/// Index of the slow replica.
const SLOW: usize = 1;

struct UnevenCase {
    name: &'static str,
    /// Statements of the usual replicas and of the slow one.
    statements: (&'static str, &'static str),
    /// Whether the gateway without requests reports a slow replica.
    is_known: bool,
}

fn start_replica(id: &str, time: Duration, statement: &'static str) -> FakeReplica {
    FakeReplica::start(id, move |request: &RawMessage, _, stream: &mut TcpStream| {
        std::thread::sleep(time);
        respond(stream, request, 200, statement, "answer")
    })
}

/// Returns the number of slow replicas that a gateway reports.
fn slow_replicas(gateway: &FleetGateway) -> Option<u32> {
    let mut stream = TcpStream::connect(gateway.metrics_address).ok()?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let line = text.lines().find(|line| line.starts_with("berylstep_gateway_slow_replicas "))?;
    line.split_once(' ')?.1.trim().parse().ok()
}

#[test]
fn a_slow_replica_is_known_at_all_gateways_only_where_replicas_state_their_paces() {
    let cases = [
        UnevenCase {
            name: "paces are stated",
            statements: (
                "Berylstep-Replica-Load: 1,0,8,100\r\n",
                "Berylstep-Replica-Load: 1,0,8,400\r\n",
            ),
            is_known: true,
        },
        UnevenCase {
            name: "only loads are stated",
            statements: ("Berylstep-Replica-Load: 1,0,8\r\n", "Berylstep-Replica-Load: 1,0,8\r\n"),
            is_known: false,
        },
    ];
    for case in cases {
        let store = FakeStore::start();
        store.put("op", "config", Some(desired_state(1)));
        // Short prompts go to the first third of the replicas, here two of which one is slow.
        let replicas = [0, 1, 2, 3, 4, 5].map(|number| match number {
            SLOW => start_replica("r1", SLOW_TIME, case.statements.1),
            _ => start_replica(&format!("r{number}"), USUAL_TIME, case.statements.0),
        });
        for replica in &replicas {
            store.put("servers", &replica.id, Some(replica.entry("safe", "ready")));
        }
        let port = free_address().port();
        let gateways = [2, 3].map(|number| FleetGateway::start(&store, number, port));
        let headers = format!("{KEY_HEADER}Berylstep-Token-Counts: 100,1\r\n");
        let end = Instant::now() + LOAD_TIME;
        let mut peak = 0;
        std::thread::scope(|scope| {
            for _ in 0..3 {
                scope.spawn(|| {
                    while Instant::now() < end {
                        let answer = gateways[0].send("safe", &headers).expect("an answer");
                        assert_eq!(answer.status(), 200, "{}", case.name);
                    }
                });
            }
            while Instant::now() < end {
                peak = peak.max(slow_replicas(&gateways[1]).unwrap_or_default());
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        let counts = replicas.each_ref().map(|replica| replica.received().len());
        println!("{}: {counts:?}, slow replicas known elsewhere {peak}", case.name);
        assert_eq!(peak > 0, case.is_known, "{}: {peak} slow, {counts:?}", case.name);
        assert!(counts[SLOW] > 0, "{}: {counts:?}", case.name);
        // Work in progress alone gives it about a third of what the other one gets.
        let is_avoided = counts[SLOW] * 10 < counts[0];
        assert_eq!(is_avoided, case.is_known, "{}: {counts:?}", case.name);
    }
}

/// Events of a stream, and their usual gap and that at the slow replica.
const EVENTS: u32 = 20;
const USUAL_GAP: Duration = Duration::from_millis(4);
const SLOW_GAP: Duration = Duration::from_millis(24);

/// A replica that is slow between events only, and states that it isn't.
#[test]
fn a_replica_whose_events_are_slow_is_known_from_their_gaps() {
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    let replicas = [0, 1, 2, 3, 4, 5].map(|number| {
        let gap = if number == SLOW { SLOW_GAP } else { USUAL_GAP };
        FakeReplica::start(&format!("r{number}"), move |request, _, stream| {
            let statement = "Berylstep-Replica-Load: 1,0,8,100\r\n";
            let mut is_written = begin_events_with(stream, request, statement);
            for event in 1..=EVENTS {
                is_written &= write_event(stream, event);
                std::thread::sleep(gap);
            }
            is_written && end_events(stream)
        })
    });
    for replica in &replicas {
        store.put("servers", &replica.id, Some(replica.entry("plain", "ready")));
    }
    let port = free_address().port();
    let gateways = [2, 3].map(|number| FleetGateway::start(&store, number, port));
    let headers = format!("{KEY_HEADER}Berylstep-Token-Counts: 100,20\r\n");
    let end = Instant::now() + LOAD_TIME;
    let mut peak = 0;
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while Instant::now() < end {
                    let answer = gateways[0].send("plain", &headers).expect("an answer");
                    assert_eq!(answer.status(), 200);
                }
            });
        }
        while Instant::now() < end {
            peak = peak.max(slow_replicas(&gateways[1]).unwrap_or_default());
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let counts = replicas.each_ref().map(|replica| replica.received().len());
    println!("gaps: {counts:?}, slow replicas known elsewhere {peak}");
    assert!(peak > 0, "{counts:?}");
    // Without the gaps, both get about the same: their load differs by less than what counts.
    assert!(counts[SLOW] * 4 < counts[0], "{counts:?}");
}
