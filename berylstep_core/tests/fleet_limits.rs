//! Limits that replicas name: which of several statements and notices holds.

use std::time::Duration;

use berylstep_core::fleet::limits::{
    LimitLedger, LimitNotice,
    LimitStatement::{self, PerSecond, Unlimited, Unsaid},
    ProcessId,
};

const PROCESS: ProcessId = ProcessId { replica: 7, born: 3 };

fn at(milliseconds: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(milliseconds)
}

fn notice(born: u64, version: u64, rate: Option<f64>) -> LimitNotice {
    LimitNotice { process: ProcessId { born, ..PROCESS }, version, rate }
}

/// A response, with the times in milliseconds at which its request was sent and it arrived.
type Response = (u64, u64, LimitStatement);

struct StatementCase {
    name: &'static str,
    responses: &'static [Response],
    rate: Option<f64>,
}

#[test]
fn the_limit_is_the_one_that_the_replica_named_last() {
    let cases = [
        StatementCase { name: "none", responses: &[(0, 1, Unlimited)], rate: None },
        StatementCase { name: "named", responses: &[(0, 1, PerSecond(4.0))], rate: Some(4.0) },
        StatementCase {
            name: "ended",
            responses: &[(0, 1, PerSecond(4.0)), (2, 3, Unlimited)],
            rate: None,
        },
        StatementCase {
            name: "a response that says nothing",
            responses: &[(0, 1, PerSecond(4.0)), (2, 3, Unsaid)],
            rate: Some(4.0),
        },
        StatementCase {
            name: "a response that was overtaken doesn't end the limit",
            responses: &[(5, 10, PerSecond(4.0)), (3, 11, Unlimited)],
            rate: Some(4.0),
        },
        StatementCase {
            name: "nor raises it",
            responses: &[(5, 10, PerSecond(4.0)), (3, 11, PerSecond(9.0))],
            rate: Some(4.0),
        },
        StatementCase {
            name: "but may lower it",
            responses: &[(5, 10, PerSecond(4.0)), (3, 11, PerSecond(0.5))],
            rate: Some(0.5),
        },
        StatementCase {
            name: "raised",
            responses: &[(0, 1, PerSecond(4.0)), (2, 3, PerSecond(9.0))],
            rate: Some(9.0),
        },
        StatementCase {
            name: "named again",
            responses: &[(0, 1, PerSecond(4.0)), (2, 3, Unlimited), (4, 5, PerSecond(2.0))],
            rate: Some(2.0),
        },
    ];
    for case in cases {
        let mut ledger = LimitLedger::default();
        for (sent, arrived, statement) in case.responses {
            ledger.observe(PROCESS, *statement, at(*sent), at(*arrived));
        }
        assert_eq!(ledger.rate(PROCESS), case.rate, "{}", case.name);
    }
}

struct NoticeCase {
    name: &'static str,
    notices: [LimitNotice; 2],
    holds: usize,
}

#[test]
fn all_orders_of_notices_lead_to_the_same_limit() {
    let cases = [
        NoticeCase {
            name: "a later change",
            notices: [notice(3, 1, Some(4.0)), notice(3, 2, None)],
            holds: 1,
        },
        NoticeCase {
            name: "two observations at once",
            notices: [notice(3, 1, Some(4.0)), notice(3, 1, Some(2.0))],
            holds: 1,
        },
        NoticeCase {
            name: "an end and a limit at once",
            notices: [notice(3, 2, None), notice(3, 2, Some(2.0))],
            holds: 1,
        },
        NoticeCase {
            name: "a new process",
            notices: [notice(3, 9, Some(1.0)), notice(4, 1, Some(8.0))],
            holds: 1,
        },
    ];
    for case in cases {
        for order in [[0, 1], [1, 0]] {
            let mut ledger = LimitLedger::default();
            for index in order {
                ledger.apply(case.notices[index], at(index as u64));
            }
            let expected = case.notices[case.holds];
            assert_eq!(ledger.notice(expected.process), Some(expected), "{} {order:?}", case.name);
        }
    }
}

/// Guards against a node that missed the end of a limit and tells the others of the limit again.
#[test]
fn a_notice_that_is_out_of_date_is_answered_with_what_is_known() {
    let (old, new) = (notice(3, 1, Some(4.0)), notice(3, 2, None));
    let mut ledger = LimitLedger::default();
    assert!(ledger.apply(old, at(0)));
    assert!(ledger.apply(new, at(10)));
    assert!(ledger.notices(true, at(20_000)).is_empty());
    assert!(!ledger.apply(old, at(20_000)));
    assert_eq!(ledger.notices(false, at(20_001)), [new]);
}

#[test]
fn nodes_that_have_just_started_are_told_the_limits_in_force() {
    let mut ledger = LimitLedger::default();
    ledger.observe(PROCESS, PerSecond(4.0), at(0), at(1));
    assert_eq!(ledger.notices(false, at(10)).len(), 1);
    assert!(ledger.notices(false, at(60_000)).is_empty());
    assert_eq!(ledger.notices(true, at(60_000)), [notice(3, 1, Some(4.0))]);
    ledger.expire(|_| true, at(600_000));
    assert_eq!(ledger.limited_replicas(), 1);
    ledger.expire(|_| false, at(600_000));
    assert_eq!(ledger.limited_replicas(), 0);
}
