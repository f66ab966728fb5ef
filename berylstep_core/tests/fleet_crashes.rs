//! Whether a replica that lost a request has crashed.

use std::time::Duration;

use berylstep_core::fleet::crashes::{
    judge_probe, judge_successor,
    LossVerdict::{self, Alive, Crashed, Pending},
    ProbeResult, ProcessLoss,
};
use berylstep_core::fleet::quarantine::CrashId;
use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState, ReplicaTable};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(100 + seconds)
}

fn entry(id: &str, service: &str, port: u16, born: u64) -> ReplicaEntry {
    ReplicaEntry {
        id: id.into(),
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 8,
        state: ReplicaState::Ready,
        spot: false,
        leaves_in: None,
        born,
    }
}

struct ProbeCase {
    probe: ProbeResult,
    lost: usize,
    /// Whether the node reaches other replicas.
    reaches_others: bool,
    verdict: LossVerdict,
}

/// Guards against requests that are refused at all nodes because one that is cut off from the replicas
/// takes the cut for their crashes (RECOVER).
#[test]
fn a_new_connection_tells_whether_the_process_has_ended() {
    let cases = [
        ProbeCase { probe: ProbeResult::Refused, lost: 1, reaches_others: true, verdict: Crashed },
        ProbeCase { probe: ProbeResult::Dropped, lost: 1, reaches_others: true, verdict: Pending },
        ProbeCase { probe: ProbeResult::Dropped, lost: 2, reaches_others: true, verdict: Crashed },
        ProbeCase { probe: ProbeResult::Open, lost: 1, reaches_others: true, verdict: Pending },
        ProbeCase { probe: ProbeResult::Open, lost: 9, reaches_others: true, verdict: Pending },
        ProbeCase { probe: ProbeResult::Silent, lost: 9, reaches_others: true, verdict: Pending },
        ProbeCase { probe: ProbeResult::Refused, lost: 1, reaches_others: false, verdict: Pending },
        ProbeCase { probe: ProbeResult::Dropped, lost: 9, reaches_others: false, verdict: Pending },
    ];
    for case in cases {
        let verdict = judge_probe(case.probe, case.lost, case.reaches_others);
        assert_eq!(
            verdict, case.verdict,
            "{:?}, {} lost, reaches others: {}",
            case.probe, case.lost, case.reaches_others
        );
    }
}

struct SuccessorCase {
    name: &'static str,
    /// Entries with the times in seconds at which they are put; the loss is at 5 s.
    entries: &'static [(u64, &'static str, &'static str, u16, u64)],
    now: u64,
    verdict: LossVerdict,
}

/// Guards against crashes that are not recognised because the host goes on accepting connections.
#[test]
fn a_new_process_at_its_place_shows_that_a_replica_has_crashed() {
    let cases = [
        SuccessorCase {
            name: "the same process goes on",
            entries: &[(0, "i-1", "s", 1, 7), (6, "i-1", "s", 1, 7)],
            now: 14,
            verdict: Pending,
        },
        SuccessorCase {
            name: "nothing happens for long",
            entries: &[(0, "i-1", "s", 1, 7)],
            now: 15,
            verdict: Alive,
        },
        SuccessorCase {
            name: "the replica starts again",
            entries: &[(0, "i-1", "s", 1, 7), (6, "i-1", "s", 1, 8)],
            now: 7,
            verdict: Crashed,
        },
        SuccessorCase {
            name: "another replica starts at its address",
            entries: &[(0, "i-1", "s", 1, 7), (6, "i-2", "s", 1, 8)],
            now: 7,
            verdict: Crashed,
        },
        SuccessorCase {
            name: "a replica of another service gets its address",
            entries: &[(0, "i-1", "s", 1, 7), (6, "i-2", "t", 1, 8)],
            now: 7,
            verdict: Pending,
        },
        SuccessorCase {
            name: "another replica starts elsewhere",
            entries: &[(0, "i-1", "s", 1, 7), (6, "i-2", "s", 2, 8)],
            now: 7,
            verdict: Pending,
        },
        SuccessorCase {
            name: "an entry of an older process is left at its address",
            entries: &[(0, "i-0", "s", 1, 6), (1, "i-1", "s", 1, 7)],
            now: 7,
            verdict: Pending,
        },
    ];
    for case in cases {
        let mut table = ReplicaTable::default();
        let mut loss = None;
        for (revision, (time, id, service, port, born)) in (1..).zip(case.entries) {
            table.put(entry(id, service, *port, *born), revision, at(*time));
            let row = table.get("i-1").filter(|_| loss.is_none());
            loss = loss.or_else(|| {
                let row = row?;
                Some(ProcessLoss {
                    crash: CrashId { replica: row.hash, born: row.entry.born },
                    service: row.entry.service.clone(),
                    address: row.entry.address,
                    at: at(5),
                })
            });
        }
        let verdict = judge_successor(&table, &loss.unwrap(), at(case.now));
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}
