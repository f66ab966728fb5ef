//! Tests of a gateway process with replicas that respond late: a request is sent to a second one where that is
//! switched on and allowed, one response is used, the other attempt is cancelled, and refusals are true.

use std::io::BufReader;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::gateway::wait_until;
use berylstep_standins::fleet::message::read_partial_message;

use serde_json::json;

use crate::hedge_fleet::Moment::{AtOnce, Late, OtherArrived, OtherEnded};
use crate::hedge_fleet::{wait_for, Deed, FleetSetup, HedgeFleet, Script, LATE};

#[path = "support/hedge_fleet.rs"]
mod hedge_fleet;

/// Time within which a replica that lost must see its connection closed: half of what callers allow.
const CLOSE_TIME: Duration = Duration::from_millis(250);

/// Cases that run at once, each with a gateway of its own.
const PARALLEL_CASES: usize = 4;

const SLOW: Script = Script(Late, Deed::Answer);
const QUICK: Script = Script(AtOnce, Deed::Answer);
const HOLD_ON: Script = Script(AtOnce, Deed::Hold);

/// A request whose first replica is slow, and whether it is hedged.
struct SwitchCase {
    name: &'static str,
    setup: FleetSetup,
    is_hedged: bool,
}

const ON: FleetSetup = FleetSetup::new(SLOW, QUICK);

const SWITCH_CASES: &[SwitchCase] = &[
    SwitchCase { name: "contended", setup: ON, is_hedged: true },
    SwitchCase {
        name: "uneven",
        setup: FleetSetup {
            is_contended: false,
            statement: "Berylstep-Replica-Load: 1,0,8,100\r\n",
            ..ON
        },
        is_hedged: true,
    },
    SwitchCase {
        name: "resumable stream",
        setup: FleetSetup { route: "resumable", ..ON },
        is_hedged: true,
    },
    SwitchCase {
        name: "not switched on",
        setup: FleetSetup { hedge_ratio: None, ..ON },
        is_hedged: false,
    },
    SwitchCase {
        name: "neither contended nor uneven",
        setup: FleetSetup { is_contended: false, ..ON },
        is_hedged: false,
    },
    SwitchCase { name: "unsafe", setup: FleetSetup { route: "unsafe", ..ON }, is_hedged: false },
    SwitchCase {
        name: "stream that is not resumable",
        setup: FleetSetup { route: "plain", ..ON },
        is_hedged: false,
    },
    SwitchCase {
        name: "replicas with a limit",
        setup: FleetSetup { statement: "Server-Limit: 1000\r\n", ..ON },
        is_hedged: false,
    },
    SwitchCase {
        name: "brittle replicas",
        setup: FleetSetup { statement: "Server-Brittle: 4\r\n", ..ON },
        is_hedged: false,
    },
];

// Guards against second attempts that nobody switched on, and against running a request twice that must not be
// repeated.
#[test]
fn a_slow_request_is_hedged_only_where_that_is_switched_on_and_allowed() {
    run_in_groups(
        SWITCH_CASES,
        |case| case.name,
        |case| {
            let fleet = HedgeFleet::start(&case.setup);
            let started = Instant::now();
            let (answer, _) = fleet.send("slow-1", 2000).expect("a response");
            let is_early = started.elapsed() < LATE;
            let hedges = fleet.metric("sent", "");
            assert_eq!(answer.status(), 200);
            assert_eq!(fleet.arrived(), 1 + usize::from(case.is_hedged), "attempts");
            assert_eq!((is_early, hedges), (case.is_hedged, f64::from(u8::from(case.is_hedged))));
        },
    );
}

/// A request that is hedged, and what its caller gets.
struct OutcomeCase {
    name: &'static str,
    first: Script,
    second: Script,
    route: &'static str,
    replicas: usize,
    attempts: usize,
    status: u16,
    is_whole: bool,
}

const fn safe(name: &'static str, first: Script, second: Script, status: u16) -> OutcomeCase {
    OutcomeCase {
        name,
        first,
        second,
        route: "safe",
        replicas: 2,
        attempts: 2,
        status,
        is_whole: true,
    }
}

const OUTCOME_CASES: &[OutcomeCase] = &[
    safe("the second answers", HOLD_ON, QUICK, 200),
    safe("the first answers", Script(OtherArrived, Deed::Answer), HOLD_ON, 200),
    safe(
        "both answer at the same moment",
        Script(AtOnce, Deed::AnswerTogether),
        Script(AtOnce, Deed::AnswerTogether),
        200,
    ),
    safe(
        "the second is full, the first answers",
        Script(OtherEnded, Deed::Answer),
        Script(AtOnce, Deed::Reject),
        200,
    ),
    safe(
        "the second fails, the first answers",
        Script(OtherEnded, Deed::Answer),
        Script(AtOnce, Deed::Fail),
        200,
    ),
    safe(
        "the second closes, the first answers",
        Script(OtherEnded, Deed::Answer),
        Script(AtOnce, Deed::Close),
        200,
    ),
    safe(
        "the first fails, the second answers",
        Script(OtherArrived, Deed::Fail),
        Script(OtherEnded, Deed::Answer),
        200,
    ),
    safe(
        "the first is full, the second answers",
        Script(OtherArrived, Deed::Reject),
        Script(OtherEnded, Deed::Answer),
        200,
    ),
    safe(
        "the first fails, the second is full",
        Script(OtherArrived, Deed::Fail),
        Script(OtherEnded, Deed::Reject),
        500,
    ),
    safe(
        "both are full",
        Script(OtherArrived, Deed::Reject),
        Script(OtherEnded, Deed::Reject),
        503,
    ),
    safe(
        "the second is full, then the first",
        Script(OtherEnded, Deed::Reject),
        Script(AtOnce, Deed::Reject),
        503,
    ),
    safe(
        "the first closes, the second is full",
        Script(OtherArrived, Deed::Close),
        Script(OtherEnded, Deed::Reject),
        502,
    ),
    safe(
        "the first is full, the second closes",
        Script(OtherArrived, Deed::Reject),
        Script(OtherEnded, Deed::Close),
        502,
    ),
    safe(
        "the second closes, the first is full",
        Script(OtherEnded, Deed::Reject),
        Script(AtOnce, Deed::Close),
        502,
    ),
    safe(
        "the second fails, the first is full",
        Script(OtherEnded, Deed::Reject),
        Script(AtOnce, Deed::Fail),
        502,
    ),
    safe("both close", Script(OtherArrived, Deed::Close), Script(OtherEnded, Deed::Close), 502),
    safe("neither answers before the deadline", HOLD_ON, HOLD_ON, 504),
    OutcomeCase {
        replicas: 3,
        ..safe(
            "the second is full, the first answers before others are asked",
            SLOW,
            Script(AtOnce, Deed::Reject),
            200,
        )
    },
    OutcomeCase {
        replicas: 3,
        attempts: 3,
        ..safe(
            "the second is full, the first stays silent, a third answers",
            HOLD_ON,
            Script(AtOnce, Deed::Reject),
            200,
        )
    },
    OutcomeCase {
        name: "the second wins and breaks off after its first event",
        first: HOLD_ON,
        second: Script(AtOnce, Deed::BreakOff),
        route: "resumable",
        replicas: 3,
        attempts: 2,
        status: 200,
        is_whole: false,
    },
    OutcomeCase {
        name: "the first wins and breaks off after its first event",
        first: Script(OtherArrived, Deed::BreakOff),
        second: HOLD_ON,
        route: "resumable",
        replicas: 3,
        attempts: 2,
        status: 200,
        is_whole: false,
    },
];

// Guards against refusals that say "not run" though one of two attempts may have run, against third attempts at a
// route that allows two, and against responses that are given up for an attempt that then fails.
#[test]
fn a_hedged_request_ends_with_what_is_true_of_both_attempts() {
    run_in_groups(
        OUTCOME_CASES,
        |case| case.name,
        |case| {
            let setup = FleetSetup {
                route: case.route,
                replicas: case.replicas,
                ..FleetSetup::new(case.first, case.second)
            };
            let fleet = HedgeFleet::start(&setup);
            let (answer, is_whole) = fleet.send("slow-1", 1200).expect("a response");
            assert_eq!(
                (answer.status(), is_whole),
                (case.status, case.is_whole),
                "{}",
                answer.body
            );
            let refuses = answer.header("retry-after").is_some();
            assert_eq!(refuses, case.status == 503, "whether it says that it did not run");
            assert_eq!(
                (fleet.arrived(), fleet.metric("sent", "")),
                (case.attempts, 1.0),
                "attempts and hedges; denied: {}",
                fleet.denials()
            );
        },
    );
}

/// An attempt that loses.
struct LoserCase {
    name: &'static str,
    first: Script,
    second: Script,
    /// Whether the caller leaves while both attempts are in progress.
    leaves: bool,
    /// Result in the log.
    result: &'static str,
    /// Attempts that are cancelled.
    cancelled: &'static [&'static str],
    won: f64,
}

const LOSER_CASES: &[LoserCase] = &[
    LoserCase {
        name: "the first loses",
        first: HOLD_ON,
        second: QUICK,
        leaves: false,
        result: "won",
        cancelled: &["first"],
        won: 1.0,
    },
    LoserCase {
        name: "the second loses",
        first: Script(OtherArrived, Deed::Answer),
        second: HOLD_ON,
        leaves: false,
        result: "lost",
        cancelled: &["second"],
        won: 0.0,
    },
    LoserCase {
        name: "the caller leaves",
        first: HOLD_ON,
        second: HOLD_ON,
        leaves: true,
        result: "abandoned",
        cancelled: &["first", "second"],
        won: 0.0,
    },
];

// Guards against replicas that go on with a request that nobody waits for any more.
#[test]
fn the_connection_of_an_attempt_that_loses_is_closed_at_once() {
    run_in_groups(
        LOSER_CASES,
        |case| case.name,
        |case| {
            let fleet = HedgeFleet::start(&FleetSetup::new(case.first, case.second));
            let stream = fleet.begin("slow-1", 2000);
            if case.leaves {
                wait_for(&fleet.state.arrived, 2);
                drop(stream);
            } else {
                let answer = read_partial_message(&mut BufReader::new(stream));
                assert!(answer.is_some_and(|(answer, _)| answer.status() == 200));
            }
            let (ended, closed) = (Instant::now(), case.cancelled.len());
            wait_until("the connections are closed", || {
                fleet.state.closed.load(Ordering::SeqCst) >= closed
            });
            assert!(ended.elapsed() < CLOSE_TIME, "closed after {:?}", ended.elapsed());
            wait_until("the hedge is counted", || fleet.metric("cancelled", "") == closed as f64);
            for attempt in case.cancelled {
                assert_eq!(fleet.metric("cancelled", attempt), 1.0, "{attempt}");
            }
            assert_eq!((fleet.metric("won", ""), fleet.arrived()), (case.won, 2));
            let lines = fleet.log_lines(&["event=request_hedged id=slow-1 ", case.result]);
            let names_both = |line: &String| {
                let places = [["first=i-1", "second=i-2"], ["first=i-2", "second=i-1"]];
                places.iter().any(|parts| parts.iter().all(|part| line.contains(part)))
            };
            assert!(lines.len() == 1 && lines.iter().all(names_both), "{lines:?}");
        },
    );
}

/// Slow requests at the same moment.
struct RoomCase {
    name: &'static str,
    slots: u32,
    hedges: usize,
}

const ROOM_CASES: &[RoomCase] = &[
    RoomCase { name: "most slots are free", slots: 8, hedges: 2 },
    RoomCase { name: "all slots are in use", slots: 1, hedges: 0 },
];

// Guards against second attempts that take the room of other requests.
#[test]
fn requests_are_not_hedged_while_room_is_short() {
    run_in_groups(
        ROOM_CASES,
        |case| case.name,
        |case| {
            // Both requests are in progress before the first of them may be hedged.
            let usual = Duration::from_millis(50);
            let setup = FleetSetup { slots: case.slots, usual, ..FleetSetup::new(SLOW, SLOW) };
            let fleet = HedgeFleet::start(&setup);
            let streams = [1, 2].map(|number| fleet.begin(&format!("slow-{number}"), 2000));
            for stream in streams {
                let answer = read_partial_message(&mut BufReader::new(stream));
                assert!(answer.is_some_and(|(answer, _)| answer.status() == 200));
            }
            assert_eq!(fleet.metric("sent", ""), case.hedges as f64);
            assert_eq!(fleet.metric("denied", "room"), (2 - case.hedges) as f64);
        },
    );
}

// Guards against a change of the setting that only takes effect at the next start.
#[test]
fn a_reload_switches_hedging_on_and_off() {
    let setup = FleetSetup { hedge_ratio: None, scripts: [SLOW; 3], ..FleetSetup::new(SLOW, SLOW) };
    let mut fleet = HedgeFleet::start(&setup);
    for (number, (ratio, hedges)) in [(0.0, 0.0), (0.3, 1.0), (0.0, 0.0)].into_iter().enumerate() {
        fleet.reload("hedge_ratio", json!(ratio));
        fleet.learn();
        let answer = fleet.send(&format!("slow-{number}"), 2000);
        assert!(answer.is_some_and(|(answer, _)| answer.status() == 200));
        assert_eq!(fleet.metric("sent", ""), hedges, "ratio {ratio}");
    }
}

/// Runs some cases at a time, and names those that failed.
fn run_in_groups<C: Sync>(cases: &'static [C], name: fn(&C) -> &'static str, run: fn(&C)) {
    let mut failed = Vec::new();
    for group in cases.chunks(PARALLEL_CASES) {
        let threads = group.iter().map(|case| (name(case), std::thread::spawn(move || run(case))));
        let threads: Vec<_> = threads.collect();
        let ended = threads.into_iter().map(|(name, thread)| (name, thread.join()));
        failed.extend(ended.filter(|(_, run)| run.is_err()).map(|(name, _)| name));
    }
    assert!(failed.is_empty(), "{failed:?}");
}
