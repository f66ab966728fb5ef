//! Each check of the soak detects its violation and reports nothing for a good record.

use std::time::{Duration, Instant};

use berylstep_standins::fleet::store::DutyCall;
use berylstep_standins::soak::checks::{findings, CHECKS};
use berylstep_standins::soak::record::{
    answer_body, organisation_name, CallerOutcome, CallerRequest, FaultInterval, FaultTarget,
    NamedLimit, PlannedStop, ProcessPeak, ReplicaRun, RequestKind, SoakRecord, StateChange,
};

const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn whole(id: &str, status: u16, body: &str) -> CallerOutcome {
    CallerOutcome::Whole { status, is_signed: status == 200, names: id.into(), body: body.into() }
}

fn refused(request: &mut CallerRequest, status: u16) {
    request.end = whole(&request.id, status, "");
}

fn duty_call(path: &str, holder: &str, fencing: u64, body: &str) -> (DutyCall, Duration) {
    let call = DutyCall {
        path: path.to_owned(),
        holder: holder.to_owned(),
        fencing,
        body: body.to_owned(),
        is_accepted: true,
        at: Instant::now(),
    };
    (call, SECOND)
}

/// Returns a record of 100 unsafe requests, five a second, each run once; version 2 of the desired
/// state follows after 10 s.
fn good_record() -> SoakRecord {
    let mut record = SoakRecord { recovery_period: (at(2.0), at(20.0)), ..SoakRecord::default() };
    for (version, sent) in [(1, 0.0), (2, 10.0)] {
        record.changes.push(StateChange { version, at: at(sent), allowed: vec![0, 1] });
    }
    for number in 0..100 {
        let (id, sent) = (format!("r-{number}"), at(f64::from(number) * 0.2));
        let organisation = number as usize % 2;
        record.requests.push(CallerRequest {
            id: id.clone(),
            kind: RequestKind::Unsafe,
            organisation,
            gateway: 0,
            incarnation: 0,
            sent,
            patience: SECOND,
            ended: sent + at(0.05),
            end: whole(&id, 200, &answer_body(&id)),
        });
        record.runs.push(ReplicaRun {
            id,
            replica: "i-1".into(),
            service: RequestKind::Unsafe,
            organisation: organisation_name(organisation, if number < 51 { 1 } else { 2 }),
            has_key: false,
            is_unchanged: true,
            began: sent + at(0.01),
            ended: sent + at(0.04),
        });
    }
    record.duties.push(duty_call("/usage", "gateway-2", 1, r#"{"WindowIndex":1,"Counts":{}}"#));
    record
}

struct FaultCase {
    /// Part of the name of the check that detects the fault.
    check: &'static str,
    fault: fn(&mut SoakRecord),
}

const FAULTS: &[FaultCase] = &[
    FaultCase {
        check: "whole and the caller's own",
        fault: |record| record.requests[5].end = whole("r-5", 200, "answer to r-"),
    },
    FaultCase {
        check: "whole and the caller's own",
        fault: |record| record.requests[5].end = whole("r-4", 200, &answer_body("r-5")),
    },
    FaultCase { check: "as they were sent", fault: |record| record.runs[5].is_unchanged = false },
    FaultCase { check: "as they were sent", fault: |record| record.runs[5].has_key = true },
    FaultCase { check: "as they were sent", fault: |record| record.runs[5].id = "none".into() },
    FaultCase { check: "at most once", fault: |record| record.runs.push(record.runs[5].clone()) },
    FaultCase {
        check: "refused requests have not run",
        fault: |record| refused(&mut record.requests[5], 503),
    },
    FaultCase {
        check: "key's organisation",
        fault: |record| record.runs[5].organisation = organisation_name(0, 1),
    },
    FaultCase { check: "key's organisation", fault: |record| record.changes[0].allowed = vec![0] },
    FaultCase {
        check: "in force in time",
        fault: |record| {
            for run in &mut record.runs {
                run.organisation = run.organisation.replace("-v2", "-v1");
            }
        },
    },
    FaultCase {
        check: "older version does not come back",
        fault: |record| record.runs[60].organisation = organisation_name(0, 1),
    },
    FaultCase {
        check: "not denied",
        fault: |record| {
            record.runs.remove(5);
            refused(&mut record.requests[5], 401);
        },
    },
    FaultCase {
        check: "leaving replicas",
        fault: |record| record.drains.push(("i-1".into(), at(5.0))),
    },
    FaultCase {
        check: "limits that replicas name",
        fault: |record| {
            record.limits.push(NamedLimit {
                replica: "i-1".into(),
                per_second: 2.0,
                from: at(1.0),
                until: at(18.0),
            });
        },
    },
    FaultCase {
        check: "planned stops",
        fault: |record| {
            record.stops.push(PlannedStop { gateway: 0, at: at(6.0), exit: None });
        },
    },
    FaultCase {
        check: "planned stops",
        fault: |record| {
            record.stops.push(PlannedStop { gateway: 0, at: at(6.0), exit: Some(0) });
            record.requests[31].end = CallerOutcome::Broken;
        },
    },
    FaultCase {
        check: "come in time",
        fault: |record| {
            for request in &mut record.requests[10..20] {
                request.ended = request.sent + at(1.6);
            }
        },
    },
    FaultCase {
        check: "one holder",
        fault: |record| record.duties.push(duty_call("/usage", "gateway-3", 1, "{}")),
    },
    FaultCase {
        check: "one figure",
        fault: |record| {
            let body = r#"{"WindowIndex":1,"Counts":{"a":1}}"#;
            record.duties.push(duty_call("/usage", "gateway-3", 2, body));
        },
    },
    FaultCase { check: "ends by itself", fault: |record| record.unplanned_ends.push((0, at(3.0))) },
    FaultCase {
        check: "bounded",
        fault: |record| {
            record.peaks.push(ProcessPeak { memory_kib: 200 * 1024, descriptors: 10 });
        },
    },
    FaultCase {
        check: "bounded",
        fault: |record| {
            record.peaks.push(ProcessPeak { memory_kib: 1024, descriptors: 5000 });
        },
    },
    FaultCase {
        check: "after the last fault",
        fault: |record| {
            for number in (30..100).step_by(3) {
                record.requests[number].end = CallerOutcome::Broken;
            }
        },
    },
    FaultCase {
        check: "starved",
        fault: |record| {
            for request in record.requests.iter_mut().filter(|one| one.organisation == 1) {
                request.end = CallerOutcome::Broken;
            }
            // Leaves no requests for the recovery check.
            record.recovery_period = (at(19.0), at(20.0));
        },
    },
];

#[test]
fn each_check_finds_its_fault_and_only_that() {
    assert_eq!(findings(&good_record()), Vec::new());
    for (number, case) in FAULTS.iter().enumerate() {
        let mut record = good_record();
        (case.fault)(&mut record);
        let found = findings(&record);
        let names: Vec<_> = found.iter().map(|(name, _)| *name).collect();
        assert_eq!(names.len(), 1, "case {number}, {}: {found:?}", case.check);
        assert!(names[0].contains(case.check), "case {number}: {names:?}");
    }
    let has_case = |name: &str| FAULTS.iter().any(|case| name.contains(case.check));
    assert!(CHECKS.iter().all(|check| has_case(check.name)), "a check has no case");
}

struct ExcuseCase {
    name: &'static str,
    target: FaultTarget,
    from: f64,
    is_excused: bool,
}

#[test]
fn bounds_in_time_hold_only_for_gateways_out_of_trouble() {
    let cases = [
        ExcuseCase { name: "own", target: FaultTarget::Gateway(0), from: 0.0, is_excused: true },
        ExcuseCase { name: "other", target: FaultTarget::Gateway(1), from: 0.0, is_excused: false },
        ExcuseCase { name: "store", target: FaultTarget::Store, from: 0.0, is_excused: true },
        ExcuseCase {
            name: "replica",
            target: FaultTarget::Replica(0),
            from: 0.0,
            is_excused: false,
        },
        ExcuseCase { name: "later", target: FaultTarget::Store, from: 21.0, is_excused: false },
    ];
    for case in cases {
        let mut record = good_record();
        for run in &mut record.runs {
            run.organisation = run.organisation.replace("-v2", "-v1");
        }
        let (from, until) = (at(case.from), at(case.from + 20.0));
        record.fault_intervals.push(FaultInterval { target: case.target, from, until });
        assert_eq!(findings(&record).is_empty(), case.is_excused, "{}", case.name);
    }
}
