//! Whether a node counts as cut off from the replicas of a service, and who takes its requests.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::reach::{choose_node, HandoverCandidate, ReachChange, ReachLedger};

/// Outcome of a new connection: the replica's number and whether it was opened, after a time.
type Connection = (u32, bool, u64);

struct ReachCase {
    name: &'static str,
    replicas: usize,
    connections: &'static [Connection],
    is_cut_off: bool,
}

/// Guards against a node that takes a crashed replica for a cut, or never finds out that it is cut off
/// itself (RECOVER).
#[test]
fn a_node_is_cut_off_once_several_replicas_fail_in_turn() {
    let cases = [
        ReachCase {
            name: "one replica, again and again",
            replicas: 12,
            connections: &[(1, false, 0), (1, false, 10), (1, false, 20)],
            is_cut_off: false,
        },
        ReachCase {
            name: "two replicas in turn",
            replicas: 12,
            connections: &[(1, false, 0), (2, false, 10)],
            is_cut_off: true,
        },
        ReachCase {
            name: "a success between",
            replicas: 12,
            connections: &[(1, false, 0), (3, true, 5), (2, false, 10)],
            is_cut_off: false,
        },
        ReachCase {
            name: "failures far apart",
            replicas: 12,
            connections: &[(1, false, 0), (2, false, 6_000)],
            is_cut_off: false,
        },
        ReachCase {
            name: "the only replica",
            replicas: 1,
            connections: &[(1, false, 0)],
            is_cut_off: true,
        },
        ReachCase {
            name: "reached again",
            replicas: 12,
            connections: &[(1, false, 0), (2, false, 10), (2, true, 500)],
            is_cut_off: false,
        },
    ];
    for case in cases {
        let mut ledger = ReachLedger::default();
        let service = SharedName::from("model");
        let mut changes = Vec::new();
        for (replica, is_open, at_ms) in case.connections {
            let replica = SharedName::from(format!("i-{replica}"));
            let now = Duration::from_millis(*at_ms);
            changes.extend(match is_open {
                true => ledger.record_open(&service),
                false => ledger.record_failure(&service, &replica, case.replicas, now),
            });
        }
        assert_eq!(ledger.is_cut_off(&service), case.is_cut_off, "{}", case.name);
        assert_eq!(ledger.unreachable().len(), usize::from(case.is_cut_off), "{}", case.name);
        let last = changes.last().copied();
        assert_eq!(last == Some(ReachChange::CutOff), case.is_cut_off, "{}: {last:?}", case.name);
    }
}

/// Guards against a service that counts as cut off because another one is.
#[test]
fn services_are_told_apart() {
    let mut ledger = ReachLedger::default();
    let (model, desk) = (SharedName::from("model"), SharedName::from("desk"));
    for replica in ["i-1", "i-2"] {
        ledger.record_failure(&model, &replica.into(), 3, Duration::ZERO);
    }
    assert!(ledger.is_cut_off(&model) && !ledger.is_cut_off(&desk));
    assert_eq!(ledger.record_open(&desk), None);
    assert_eq!(ledger.unreachable(), [model]);
}

/// Guards against requests of a zone that all go to one node, or to one that is cut off too.
#[test]
fn sound_nodes_take_requests_by_their_processors() {
    let candidate = |is_sound, core_permille| HandoverCandidate { is_sound, core_permille };
    let candidates = [candidate(true, 120), candidate(false, 500), candidate(true, 240)];
    let mut taken = [0; 3];
    for draw in 0..300 {
        let node = choose_node(&candidates, f64::from(draw) / 300.0).unwrap();
        taken[node] += 1;
    }
    assert_eq!(taken, [100, 0, 200]);
    assert_eq!(choose_node(&candidates[1..2], 0.5), None);
    assert_eq!(choose_node(&[], 0.5), None);
}

/// What a node sees of a service's requests.
#[derive(Clone, Copy, Debug)]
enum RequestEvent {
    /// A request to this replica, sent at this time, was lost.
    Lost(u32, u64),
    /// A response came; whether its connection was opened for the request.
    Response(bool),
    /// A connection without a request was opened.
    Open,
}

struct LossCase {
    name: &'static str,
    /// Events, and their times in milliseconds.
    events: &'static [(u64, RequestEvent)],
    is_cut_off: bool,
}

/// Guards against a node behind a host that accepts connections for the replicas and loses the requests, and
/// against one that takes replicas that fail beside others for a cut (RECOVER).
#[test]
fn a_node_is_cut_off_once_requests_to_several_replicas_are_lost_without_a_response() {
    use RequestEvent::{Lost, Open, Response};
    let cases = [
        LossCase {
            name: "two replicas",
            events: &[(100, Lost(1, 90)), (120, Lost(2, 110))],
            is_cut_off: true,
        },
        LossCase {
            name: "one replica, again and again",
            events: &[(100, Lost(1, 90)), (120, Lost(1, 110)), (140, Lost(1, 130))],
            is_cut_off: false,
        },
        LossCase {
            name: "a response between",
            events: &[(100, Lost(1, 90)), (105, Response(false)), (120, Lost(2, 110))],
            is_cut_off: false,
        },
        LossCase {
            name: "silent for long, while others responded",
            events: &[(900, Response(false)), (1000, Lost(1, 10)), (1010, Lost(2, 20))],
            is_cut_off: false,
        },
        LossCase {
            name: "far apart",
            events: &[(100, Lost(1, 90)), (6000, Lost(2, 5990))],
            is_cut_off: false,
        },
        LossCase {
            name: "a connection that opens proves nothing",
            events: &[(100, Lost(1, 90)), (120, Lost(2, 110)), (130, Open)],
            is_cut_off: true,
        },
        LossCase {
            name: "a response on an old connection proves it",
            events: &[(100, Lost(1, 90)), (120, Lost(2, 110)), (130, Response(false))],
            is_cut_off: false,
        },
    ];
    for case in cases {
        let mut ledger = ReachLedger::default();
        let service = SharedName::from("model");
        for (at_ms, event) in case.events {
            let now = Duration::from_millis(*at_ms);
            match event {
                Lost(replica, sent_ms) => {
                    let replica = SharedName::from(format!("i-{replica}"));
                    ledger.record_loss(&service, &replica, Duration::from_millis(*sent_ms), now)
                }
                Response(is_new) => ledger.record_response(&service, *is_new, now),
                Open => ledger.record_open(&service),
            };
        }
        assert_eq!(ledger.is_cut_off(&service), case.is_cut_off, "{}", case.name);
    }
}

/// Guards against a node whose services each lose few requests, and that takes each of them for a replica's
/// failure (RECOVER).
#[test]
fn requests_that_several_services_lose_count_together() {
    let mut ledger = ReachLedger::default();
    let (model, desk) = (SharedName::from("model"), SharedName::from("desk"));
    let at = Duration::from_millis;
    ledger.record_loss(&model, &"i-1".into(), at(0), at(10));
    assert!(!ledger.is_cut_off(&model));
    ledger.record_loss(&desk, &"i-7".into(), at(10), at(20));
    assert!(ledger.is_cut_off(&desk) && !ledger.is_cut_off(&model));
    ledger.record_loss(&model, &"i-1".into(), at(20), at(30));
    assert!(ledger.is_cut_off(&model));
    ledger.record_response(&model, true, at(40));
    assert!(ledger.is_cut_off(&desk) && !ledger.is_cut_off(&model));
}

/// Guards against a node whose connections are refused and that takes a response on an old one for a sign
/// that it reaches the service (RECOVER).
#[test]
fn a_response_on_an_old_connection_does_not_end_a_cut_of_new_ones() {
    let mut ledger = ReachLedger::default();
    let service = SharedName::from("model");
    for replica in ["i-1", "i-2"] {
        ledger.record_failure(&service, &replica.into(), 12, Duration::ZERO);
    }
    ledger.record_response(&service, false, Duration::ZERO);
    assert!(ledger.is_cut_off(&service));
    ledger.record_response(&service, true, Duration::ZERO);
    assert!(!ledger.is_cut_off(&service));
}

/// Guards against a node that loses many requests to find out whether it reaches a service again, or never
/// does.
#[test]
fn requests_are_tried_more_and_more_rarely_at_a_service_whose_requests_are_lost() {
    let mut ledger = ReachLedger::default();
    let service = SharedName::from("model");
    let at = Duration::from_millis;
    assert!(!ledger.admits_trial(&service, true, at(0)), "it is not cut off");
    for replica in ["i-1", "i-2"] {
        ledger.record_loss(&service, &replica.into(), at(0), at(0));
    }
    let mut trials = Vec::new();
    for now in 0..20_000 {
        if ledger.admits_trial(&service, true, at(now)) {
            trials.push(now);
            ledger.record_loss(&service, &"i-3".into(), at(now), at(now));
        }
    }
    assert_eq!(trials, [500, 1500, 3500, 7500, 11_500, 15_500, 19_500]);
    let is_early = ledger.admits_trial(&service, false, at(31_400));
    assert!(!is_early, "one that can be repeated is preferred");
    assert!(ledger.admits_trial(&service, false, at(31_500)));
    ledger.record_response(&service, true, at(31_600));
    assert!(!ledger.is_cut_off(&service));
}
