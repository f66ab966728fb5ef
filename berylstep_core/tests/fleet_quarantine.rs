//! Quarantine of prompts that crash replicas: which requests are refused under which load.

use std::time::Duration;

use berylstep_core::fleet::quarantine::{
    part_key, CrashId, EvidenceKey, QuarantineVerdict, RequestQuarantine,
};
use berylstep_core::rendezvous;

/// Returns the keys of the parts of a prompt, or that of the content of a request without one, whose
/// name begins with `=`.
fn keys(names: &str) -> Vec<EvidenceKey> {
    let key = |name: &str| match name.strip_prefix('=') {
        Some(content) => EvidenceKey::Content(rendezvous::score("s", content)),
        None => part_key("s", name),
    };
    names.split(' ').map(key).collect()
}

fn crash(number: u32) -> CrashId {
    CrashId { replica: number, born: 7 }
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(milliseconds)
}

fn is_refused(quarantine: &mut RequestQuarantine, parts: &str, now: Duration) -> bool {
    let verdict = quarantine.check_new(&keys(parts), now, |_, _| false);
    matches!(verdict, QuarantineVerdict::Refused(_))
}

/// What a node learns about requests, with times in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request with these parts was lost in the crash of a replica.
    Lost(u64, &'static str, u32),
    /// A request with these parts began to be answered.
    Started(u64, &'static str),
}

struct PatternCase {
    name: &'static str,
    steps: &'static [Step],
    refused: &'static [&'static str],
    allowed: &'static [&'static str],
}

use Step::{Lost, Started};

const PATTERNS: &[PatternCase] = &[
    PatternCase {
        name: "two crashes may be chance",
        steps: &[Lost(0, "a s dead 1", 1), Lost(1000, "a s dead 2", 2)],
        refused: &[],
        allowed: &["a s dead 3"],
    },
    PatternCase {
        name: "one crash seen by several requests counts once",
        steps: &[Lost(0, "a s 1", 1), Lost(0, "a s 2", 1), Lost(1, "a s 3", 1)],
        refused: &[],
        allowed: &["a s 4"],
    },
    PatternCase {
        name: "a deadly part in one session, whose other requests are sound",
        steps: &[
            Lost(0, "a s dead 1", 1),
            Lost(1000, "a s dead 2", 2),
            Lost(2000, "a s dead 3", 3),
        ],
        refused: &["a s dead 4"],
        allowed: &["a s 5", "a t 6", "b dead"],
    },
    PatternCase {
        name: "a deadly part in several sessions",
        steps: &[
            Lost(0, "a s dead 1", 1),
            Lost(1000, "a t dead 2", 2),
            Started(1100, "a t 9"),
            Lost(2000, "a s dead 3", 3),
            Started(2100, "a s 8"),
        ],
        refused: &["a s dead 4", "a u dead 5", "b dead"],
        allowed: &["a s 5", "a t 6"],
    },
    PatternCase {
        name: "one prompt that its caller sends again and again",
        steps: &[Lost(0, "a s 1", 1), Lost(100, "a s 1", 2), Lost(2000, "a s 1", 3)],
        refused: &["a s 1"],
        allowed: &["a s 2", "a t 1"],
    },
    PatternCase {
        name: "prompts that are sent again and have a deadly part in common",
        steps: &[
            Lost(0, "a s dead 1", 1),
            Lost(100, "a s dead 1", 2),
            Lost(2000, "a s dead 1", 3),
            Lost(2500, "a s dead 2", 4),
            Started(2600, "a s 3"),
        ],
        refused: &["a s dead 4"],
        allowed: &["a s 5"],
    },
    PatternCase {
        name: "sound requests that were lost beside a deadly one",
        steps: &[
            Lost(0, "a s dead 1", 1),
            Lost(0, "a t 2", 1),
            Lost(1000, "a s dead 3", 2),
            Lost(1000, "a t 4", 2),
            Lost(2000, "a s dead 5", 3),
            Lost(2000, "a t 6", 3),
            Lost(3000, "a s dead 7", 4),
        ],
        refused: &["a s dead 8"],
        allowed: &["a t 9", "a s 9"],
    },
    PatternCase {
        name: "a part of much traffic when many replicas crash at once",
        steps: &[
            Started(0, "a s 1"),
            Lost(900, "a s 2", 1),
            Lost(900, "a s 3", 2),
            Lost(900, "a s 4", 3),
            Lost(900, "a s 5", 4),
        ],
        refused: &[],
        allowed: &["a s 6"],
    },
    PatternCase {
        name: "a request that begins to be answered ends the quarantine",
        steps: &[
            Lost(0, "a s 1", 1),
            Lost(0, "a s 2", 2),
            Lost(0, "a s 3", 3),
            Started(100, "a s 4"),
        ],
        refused: &[],
        allowed: &["a s 5"],
    },
    PatternCase {
        name: "a deadly content and others of the same callers",
        steps: &[Lost(0, "=dead", 1), Lost(50, "=dead", 2), Lost(2000, "=dead", 3)],
        refused: &["=dead"],
        allowed: &["=other"],
    },
    PatternCase {
        name: "a content that was lost beside the deadly one, but not in each crash",
        steps: &[
            Lost(0, "=dead", 1),
            Lost(0, "=sound", 1),
            Lost(50, "=dead", 2),
            Lost(50, "=sound", 2),
            Lost(100, "=dead", 3),
            Lost(100, "=sound", 3),
            Lost(3000, "=dead", 4),
        ],
        refused: &["=dead"],
        allowed: &["=sound"],
    },
    PatternCase {
        name: "contents that three crashes don't tell apart",
        steps: &[
            Lost(0, "=dead", 1),
            Lost(0, "=sound", 1),
            Lost(50, "=dead", 2),
            Lost(50, "=sound", 2),
            Lost(100, "=dead", 3),
            Lost(100, "=sound", 3),
        ],
        refused: &[],
        allowed: &["=dead", "=sound"],
    },
    PatternCase {
        name: "contents that five crashes don't tell apart",
        steps: &[
            Lost(0, "=dead", 1),
            Lost(0, "=like", 1),
            Lost(50, "=dead", 2),
            Lost(50, "=like", 2),
            Lost(100, "=dead", 3),
            Lost(100, "=like", 3),
            Lost(3000, "=dead", 4),
            Lost(3000, "=like", 4),
            Lost(3050, "=dead", 5),
            Lost(3050, "=like", 5),
        ],
        refused: &["=dead", "=like"],
        allowed: &["=other"],
    },
    PatternCase {
        name: "two deadly contents",
        steps: &[
            Lost(0, "=dead", 1),
            Lost(0, "=worse", 2),
            Lost(50, "=worse", 3),
            Lost(60, "=dead", 4),
            Lost(100, "=dead", 5),
            Lost(110, "=worse", 6),
        ],
        refused: &["=dead", "=worse"],
        allowed: &["=other"],
    },
    PatternCase {
        name: "a content that is answered is no cause",
        steps: &[
            Lost(0, "=sound", 1),
            Lost(50, "=sound", 2),
            Lost(100, "=sound", 3),
            Started(900, "=sound"),
        ],
        refused: &[],
        allowed: &["=sound"],
    },
];

#[test]
fn only_requests_with_a_part_that_explains_the_crashes_are_refused() {
    for case in PATTERNS {
        let mut quarantine = RequestQuarantine::default();
        for step in case.steps {
            match *step {
                Lost(time, parts, number) => {
                    quarantine.record_crash(&keys(parts), crash(number), at(time));
                }
                Started(time, parts) => {
                    quarantine.record_started(&keys(parts), at(time));
                }
            }
        }
        let now = at(5000);
        for parts in case.refused {
            assert!(is_refused(&mut quarantine, parts, now), "{}: {parts}", case.name);
            let wait = quarantine.refusal_wait(&keys(parts), now);
            assert!(wait.is_some_and(|wait| !wait.is_zero()), "{}: {parts}", case.name);
        }
        for parts in case.allowed {
            assert!(!is_refused(&mut quarantine, parts, now), "{}: {parts}", case.name);
        }
    }
}

/// Load of a fleet: each crash is seen by another node, and nodes exchange what is new.
#[test]
fn nodes_that_each_see_one_crash_quarantine_the_part_together() {
    let mut nodes: Vec<RequestQuarantine> = (0..8).map(|_| RequestQuarantine::default()).collect();
    for number in 0..3 {
        let now = at(u64::from(number) * 1000);
        let parts = keys(&format!("a s dead {number}"));
        nodes[number as usize].record_crash(&parts, crash(number), now);
        let suspicions: Vec<_> = nodes.iter().flat_map(|node| node.suspicions(true, now)).collect();
        for node in &mut nodes {
            node.apply(&suspicions, &[], now);
        }
    }
    for node in &mut nodes {
        assert!(is_refused(node, "a s dead 9", at(2000)));
        assert!(!is_refused(node, "a s 9", at(2000)));
    }
    // A node that starts later learns it from a representative, which repeats it.
    let later = at(20_000);
    let mut started = RequestQuarantine::default();
    assert!(nodes[7].suspicions(false, later).is_empty());
    started.apply(&nodes[7].suspicions(true, later), &[], later);
    assert!(is_refused(&mut started, "a s dead 10", later));
    // An answer that begins at one node ends the quarantine at all of them.
    assert!(started.record_started(&keys("a s dead 11"), later));
    let clearances = started.clearances();
    for node in &mut nodes {
        node.apply(&[], &clearances, later);
        assert!(!is_refused(node, "a s dead 12", later));
        // What a peer repeats from before does not bring it back.
        let old = [crash(0), crash(1), crash(2)].map(|crash| {
            let part = part_key("s", "dead");
            berylstep_core::fleet::quarantine::CrashSuspicion { key: part, crash, at: at(1000) }
        });
        assert!(!node.apply(&old, &[], later));
        assert!(!is_refused(node, "a s dead 13", later));
    }
}

/// Guards against the refusal of a part of much traffic, of which the node that lost its requests had
/// no others lately.
#[test]
fn a_node_that_knows_a_suspected_part_as_sound_clears_it_for_the_others() {
    let mut nodes = [RequestQuarantine::default(), RequestQuarantine::default()];
    nodes[1].record_started(&keys("a s 1"), at(0));
    for number in 0..3 {
        nodes[0].record_crash(&keys(&format!("a t{number} u{number}")), crash(number), at(500));
    }
    assert!(is_refused(&mut nodes[0], "a u 3", at(600)));
    let suspicions = nodes[0].suspicions(false, at(600));
    nodes[1].apply(&suspicions, &[], at(600));
    assert!(!is_refused(&mut nodes[1], "a u 3", at(600)));
    let clearances = nodes[1].clearances();
    nodes[0].apply(&[], &clearances, at(700));
    assert!(!is_refused(&mut nodes[0], "a u 3", at(700)));
}

/// Guards against a quarantine that a node brings back after a freeze, in which it was ended.
#[test]
fn evidence_from_before_a_clearance_does_not_come_back() {
    let mut nodes = [RequestQuarantine::default(), RequestQuarantine::default()];
    for node in &mut nodes {
        for number in 0..3 {
            node.record_crash(&keys(&format!("s u{number}")), crash(number), at(0));
        }
    }
    nodes[1].record_started(&keys("s 1"), at(100));
    for second in 0..60 {
        nodes[1].expire(at(second * 1000));
    }
    // The first node stood still until now.
    let thawed = at(60_000);
    let suspicions = nodes[0].suspicions(true, thawed);
    nodes[1].apply(&suspicions, &[], thawed);
    assert!(!is_refused(&mut nodes[1], "s 2", thawed));
    let clearances = nodes[1].clearances();
    nodes[0].apply(&[], &clearances, thawed);
    assert!(!is_refused(&mut nodes[0], "s 2", thawed));
}

#[test]
fn one_node_reviews_a_quarantine_with_one_request_ever_more_rarely() {
    let mut quarantine = RequestQuarantine::default();
    for number in 0..3 {
        quarantine.record_crash(&keys(&format!("dead {number}")), crash(number), at(0));
    }
    let mut last_crash = at(0);
    let mut passed = Vec::new();
    let mut number = 3;
    for second in 0..400 {
        let now = at(second * 1000);
        let parts = keys(&format!("dead x{second}"));
        let other = quarantine.check_new(&parts, now, |_, _| false);
        assert!(matches!(other, QuarantineVerdict::Refused(_)), "{second}");
        if quarantine.check_new(&parts, now, |_, _| true) == QuarantineVerdict::Review {
            passed.push((now - last_crash).as_secs());
            quarantine.record_crash(&parts, crash(number), now);
            (last_crash, number) = (now, number + 1);
        }
    }
    assert_eq!(passed, [30, 60, 120]);
    // Without new evidence it ends.
    quarantine.expire(last_crash + Duration::from_secs(601));
    assert!(!is_refused(&mut quarantine, "dead y", last_crash + Duration::from_secs(601)));
}

/// Guards against reviews of a content that crash more than three replicas in half an hour (BUDGET).
#[test]
fn a_deadly_content_is_reviewed_ever_more_rarely_however_fast_it_crashed_replicas() {
    for burst in [3, 5] {
        let mut quarantine = RequestQuarantine::default();
        for number in 0..burst {
            quarantine.record_crash(&keys("=dead"), crash(number), at(u64::from(number) * 40));
        }
        let mut passed = Vec::new();
        for second in 0..1800 {
            let now = at(second * 1000);
            quarantine.expire(now);
            match quarantine.check_new(&keys("=dead"), now, |_, _| true) {
                QuarantineVerdict::Review => {
                    passed.push(second);
                    quarantine.record_crash(&keys("=dead"), crash(burst + second as u32), now);
                }
                verdict => assert!(matches!(verdict, QuarantineVerdict::Refused(_)), "{second}"),
            }
        }
        assert_eq!(passed.len(), 3, "{passed:?}");
        assert!(passed[0] >= 30, "{passed:?}");
    }
}

/// Guards against a request that goes on to crash replicas because a mass crash has left no room for
/// evidence against it.
#[test]
fn a_deadly_request_is_known_right_after_a_mass_crash() {
    let mut quarantine = RequestQuarantine::default();
    for number in 0..10_000 {
        quarantine.record_crash(&keys(&format!("=p{number}")), crash(number), at(0));
    }
    for number in 0..3 {
        let time = at(1000 + u64::from(number) * 100);
        quarantine.record_crash(&keys("=dead"), crash(20_000 + number), time);
    }
    assert!(is_refused(&mut quarantine, "=dead", at(2000)));
}

#[test]
fn evidence_and_its_announcements_stay_bounded_in_a_mass_crash() {
    let mut quarantine = RequestQuarantine::default();
    for number in 0..20_000 {
        quarantine.record_crash(&keys(&format!("p{number}")), crash(number), at(0));
    }
    assert!(quarantine.suspicions(true, at(1)).len() <= 64);
    quarantine.expire(at(1));
    assert!(quarantine.groups().is_empty());
}
