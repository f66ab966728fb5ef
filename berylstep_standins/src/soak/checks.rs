//! Checks of the guarantees, based on the record of a soak alone.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::Value;

use super::record::{
    answer_body, event_count, is_truncated, parse_organisation, CallerOutcome, CallerRequest,
    FaultTarget, PlannedStop, ReplicaRun, RequestKind, SoakRecord,
};

/// Time after a fault during which time bounds do not apply; the platform's contact time.
const FAULT_GRACE: Duration = Duration::from_secs(4);

/// Maximum time until a version is in force; a bound of the platform.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// Time for which an older version may still be used after a newer one was seen; a bound of the
/// platform.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// The same for a gateway affected by a fault: eight times as long.
const FAULT_ROLLBACK_SLACK: Duration = Duration::from_secs(2);

/// Maximum time for which a draining replica still gets requests; a bound of the platform.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time after which all gateways keep to a limit that a replica has named; a bound of the platform.
const LIMIT_CONTACT: Duration = Duration::from_secs(3);

/// Length of a window in which requests to a limited replica are counted; a bound of the platform.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Requests in a window beyond one and a half times the limit; a bound of the platform.
const LIMIT_SLACK: f64 = 5.0;

/// Maximum time from the signal to the exit of a process, with 1 s of allowance for a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(9);

/// Time after the last byte of a request from which a closed connection counts as a lost request; a
/// bound of the platform.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time after the deadline by which a caller must have its answer; a bound of the platform.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Number of late answers from which they count as a pattern; a bound of the platform.
const MIN_LATE_ANSWERS: usize = 8;

/// Time after the last fault by which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Minimum share of requests served after [`RECOVERY_TIME`]. Replicas have capacity for all
/// requests; the platform requires a quarter.
const MIN_RECOVERED_SHARE: f64 = 0.9;

/// Minimum success rate of each kind and organisation, as a share of the overall success rate; a
/// bound of the platform.
const MIN_FAIR_SHARE: f64 = 0.25;

/// Minimum number of requests for a meaningful success rate.
const MIN_SAMPLES: usize = 40;

/// Memory limit of the smallest VM that the users run, in KiB.
const MEMORY_LIMIT_KIB: u64 = 160 * 1024;

/// Limit of open file descriptors on that VM.
const DESCRIPTOR_LIMIT: usize = 4_100;

/// Status codes that guarantee that a request has not run.
const NOT_RUN_STATUSES: &[u16] = &[408, 421, 429, 503];

/// Status codes of requests that the desired state does not allow.
const DENIED_STATUSES: &[u16] = &[401, 403, 404];

/// Check of one guarantee.
pub struct SoakCheck {
    /// Name of the guarantee, as printed with findings.
    pub name: &'static str,
    /// Lists the violations found in a record.
    pub violations: fn(&SoakRecord) -> Vec<String>,
}

/// All checks.
pub const CHECKS: &[SoakCheck] = &[
    SoakCheck { name: "answers are whole and the caller's own", violations: whole_answers },
    SoakCheck { name: "requests run as they were sent", violations: unchanged_requests },
    SoakCheck { name: "unsafe requests run at most once", violations: at_most_once },
    SoakCheck { name: "refused requests have not run", violations: true_refusals },
    SoakCheck {
        name: "runs are in the name of the key's organisation",
        violations: own_organisation,
    },
    SoakCheck { name: "a version is in force in time", violations: versions_in_force },
    SoakCheck { name: "an older version does not come back", violations: versions_in_order },
    SoakCheck { name: "allowed requests are not denied", violations: no_denials },
    SoakCheck { name: "leaving replicas get no requests", violations: drained_replicas },
    SoakCheck { name: "limits that replicas name hold", violations: kept_limits },
    SoakCheck { name: "planned stops end in time and cut nothing", violations: planned_stops },
    SoakCheck { name: "answers come in time", violations: answers_in_time },
    SoakCheck { name: "a duty has one holder", violations: one_holder },
    SoakCheck { name: "a usage window has one figure", violations: one_figure },
    SoakCheck { name: "no process ends by itself", violations: no_unplanned_ends },
    SoakCheck { name: "memory and descriptors are bounded", violations: bounded_processes },
    SoakCheck { name: "requests are served again after the last fault", violations: recovery },
    SoakCheck { name: "no kind and no organisation is starved", violations: no_starvation },
];

/// Returns the violations of each check that found any.
pub fn findings(record: &SoakRecord) -> Vec<(&'static str, Vec<String>)> {
    let results = CHECKS.iter().map(|check| (check.name, (check.violations)(record)));
    results.filter(|(_, found)| !found.is_empty()).collect()
}

impl SoakRecord {
    /// Returns whether no fault affected the gateway or the store between `until` and
    /// [`FAULT_GRACE`] before `from`.
    fn is_fault_free(&self, gateway: usize, from: Duration, until: Duration) -> bool {
        let from = from.saturating_sub(FAULT_GRACE);
        !self.fault_intervals.iter().any(|fault| {
            let is_relevant = match fault.target {
                FaultTarget::Gateway(number) => number == gateway,
                FaultTarget::Store => true,
                FaultTarget::Replica(_) => false,
            };
            is_relevant && fault.from < until && fault.until > from
        })
    }

    /// Returns whether `stop` was the only fault between `until` and [`FAULT_GRACE`] before `from`.
    fn is_only_fault(&self, stop: &PlannedStop, from: Duration, until: Duration) -> bool {
        let from = from.saturating_sub(FAULT_GRACE);
        !self.fault_intervals.iter().any(|fault| {
            let is_stop =
                fault.target == FaultTarget::Gateway(stop.gateway) && fault.from == stop.at;
            !is_stop && fault.from < until && fault.until > from
        })
    }

    fn requests_by_id(&self) -> FxHashMap<&str, &CallerRequest> {
        self.requests.iter().map(|request| (&*request.id, request)).collect()
    }

    /// Returns the executions, each with its request.
    /// Returns whether a fault affected a gateway less than [`FAULT_GRACE`] before `at`.
    fn is_gateway_disturbed(&self, gateway: usize, at: Duration) -> bool {
        let faults = self.fault_intervals.iter();
        let mut own = faults.filter(|fault| fault.target == FaultTarget::Gateway(gateway));
        own.any(|fault| fault.from < at && fault.until + FAULT_GRACE > at)
    }

    fn requests_with_runs(&self) -> Vec<(&CallerRequest, &ReplicaRun)> {
        let requests = self.requests_by_id();
        let pairs = self.runs.iter().filter_map(|run| Some((*requests.get(&*run.id)?, run)));
        pairs.collect()
    }
}

/// Returns the complete body of a successful response.
fn expected_body(request: &CallerRequest) -> String {
    match request.kind.is_stream() {
        true => (1..=event_count(&request.id))
            .map(|number| format!("id: {number}\ndata: d{number}\n\n"))
            .collect(),
        false => answer_body(&request.id),
    }
}

fn whole_answers(record: &SoakRecord) -> Vec<String> {
    let wrong = record.requests.iter().filter(|request| match &request.end {
        CallerOutcome::Whole { status: 200..=299, is_signed, names, body } => {
            !is_signed || *names != request.id || *body != expected_body(request)
        }
        // Replicas of a soak answer only with 200 or 421.
        CallerOutcome::Whole { status, is_signed, .. } => *is_signed && *status != 421,
        CallerOutcome::Broken | CallerOutcome::Silent => false,
    });
    wrong.map(|request| format!("{request:?}")).collect()
}

fn unchanged_requests(record: &SoakRecord) -> Vec<String> {
    let requests = record.requests_by_id();
    let wrong = record.runs.iter().filter(|run| {
        let request = requests.get(&*run.id);
        !run.is_unchanged || run.has_key || request.is_none_or(|sent| sent.kind != run.service)
    });
    wrong.map(|run| format!("{run:?}")).collect()
}

fn at_most_once(record: &SoakRecord) -> Vec<String> {
    let mut counts: FxHashMap<&str, usize> = FxHashMap::default();
    for run in record.runs.iter().filter(|run| run.service.is_once()) {
        *counts.entry(&run.id).or_default() += 1;
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(id, count)| format!("request {id} ran {count} times")).collect()
}

fn true_refusals(record: &SoakRecord) -> Vec<String> {
    let ran: FxHashSet<&str> = record.runs.iter().map(|run| &*run.id).collect();
    let untrue = record.requests.iter().filter(|request| {
        let is_refused =
            request.end.status().is_some_and(|status| NOT_RUN_STATUSES.contains(&status));
        request.kind.is_once() && is_refused && ran.contains(&*request.id)
    });
    untrue.map(|request| format!("{request:?}")).collect()
}

fn own_organisation(record: &SoakRecord) -> Vec<String> {
    let wrong = record.requests_with_runs().into_iter().filter(|(request, run)| {
        let named = parse_organisation(&run.organisation);
        let allowed = named.and_then(|(organisation, version)| {
            let change = record.changes.iter().find(|change| change.version == version)?;
            Some(organisation == request.organisation && change.allowed.contains(&organisation))
        });
        allowed != Some(true)
    });
    wrong.map(|(request, run)| format!("{request:?} ran as {run:?}")).collect()
}

fn version_of(run: &ReplicaRun) -> u64 {
    parse_organisation(&run.organisation).map_or(0, |(_, version)| version)
}

fn versions_in_force(record: &SoakRecord) -> Vec<String> {
    let late = record.requests_with_runs().into_iter().filter_map(|(request, run)| {
        let known =
            record.changes.iter().filter(|change| change.at + IN_FORCE_LIMIT < request.sent);
        let newest = known.map(|change| change.version).max()?;
        let is_old = version_of(run) < newest;
        let is_fault_free = record.is_fault_free(request.gateway, request.sent, run.began);
        (is_old && is_fault_free)
            .then(|| format!("version {newest} was due: {request:?} ran as {run:?}"))
    });
    late.collect()
}

fn versions_in_order(record: &SoakRecord) -> Vec<String> {
    let mut by_process: BTreeMap<(usize, usize), Vec<(&CallerRequest, &ReplicaRun)>> =
        BTreeMap::new();
    for (request, run) in record.requests_with_runs() {
        by_process.entry((request.gateway, request.incarnation)).or_default().push((request, run));
    }
    let mut found = Vec::new();
    for pairs in by_process.values() {
        for (request, run) in pairs {
            let is_fault_free = record.is_fault_free(request.gateway, request.sent, run.began);
            let slack = if is_fault_free { ROLLBACK_SLACK } else { FAULT_ROLLBACK_SLACK };
            let seen = pairs.iter().filter(|(_, other)| other.began + slack < request.sent);
            let newest = seen.map(|(_, other)| version_of(other)).max().unwrap_or_default();
            if version_of(run) < newest {
                found.push(format!("version {newest} was seen: {request:?} ran as {run:?}"));
            }
        }
    }
    found
}

/// Returns the organisations that every version allowed.
fn always_allowed(record: &SoakRecord) -> FxHashSet<usize> {
    let all = record.changes.iter().flat_map(|change| change.allowed.iter().copied());
    let always = all.filter(|organisation| {
        record.changes.iter().all(|change| change.allowed.contains(organisation))
    });
    always.collect()
}

fn no_denials(record: &SoakRecord) -> Vec<String> {
    let allowed = always_allowed(record);
    let denied = record.requests.iter().filter(|request| {
        let is_denied =
            request.end.status().is_some_and(|status| DENIED_STATUSES.contains(&status));
        is_denied && allowed.contains(&request.organisation)
    });
    denied.map(|request| format!("{request:?}")).collect()
}

fn drained_replicas(record: &SoakRecord) -> Vec<String> {
    let drains: FxHashMap<&str, Duration> =
        record.drains.iter().map(|(replica, at)| (&**replica, *at)).collect();
    let late = record.requests_with_runs().into_iter().filter(|(request, run)| {
        let drained = drains.get(&*run.replica);
        drained.is_some_and(|at| run.began > *at + DRAIN_LIMIT)
            && record.is_fault_free(request.gateway, request.sent, run.began)
    });
    late.map(|(request, run)| format!("{request:?} ran as {run:?}")).collect()
}

fn kept_limits(record: &SoakRecord) -> Vec<String> {
    let mut found = Vec::new();
    for limit in &record.limits {
        let counted = record.requests_with_runs().into_iter().filter(|(request, run)| {
            run.replica == limit.replica
                && run.began >= limit.from + LIMIT_CONTACT
                && run.began < limit.until
                && !record.is_gateway_disturbed(request.gateway, run.began)
        });
        let mut arrivals: Vec<_> = counted.map(|(_, run)| run.began).collect();
        arrivals.sort_unstable();
        let allowed = 1.5 * limit.per_second * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        for (index, from) in arrivals.iter().enumerate() {
            let window = arrivals[index..].iter().take_while(|at| **at < *from + LIMIT_WINDOW);
            let count = window.count();
            if count as f64 > allowed {
                found.push(format!("{limit:?}: {count} requests from {from:?} on"));
                break;
            }
        }
    }
    found
}

fn planned_stops(record: &SoakRecord) -> Vec<String> {
    let mut found = Vec::new();
    let ran: FxHashSet<&str> = record.runs.iter().map(|run| &*run.id).collect();
    for stop in &record.stops {
        let until = stop.at + STOP_LIMIT;
        if stop.exit != Some(0) && record.is_only_fault(stop, stop.at, until) {
            found.push(format!("{stop:?} did not end well"));
        }
        for request in record.requests.iter().filter(|request| request.gateway == stop.gateway) {
            let is_during_stop = request.ended > stop.at && request.sent < until;
            let is_accepted =
                ran.contains(&*request.id) || request.ended > request.sent + LOSS_SLACK;
            // Only a stream that can be resumed outlives a replica that ends it early.
            let is_replica_fault = request.kind == RequestKind::Plain && is_truncated(&request.id);
            let is_cut = request.end == CallerOutcome::Broken
                && request.ended < request.sent + request.patience
                && is_accepted
                && !is_replica_fault;
            if is_during_stop && is_cut && record.is_only_fault(stop, request.sent, request.ended) {
                found.push(format!("{stop:?} cut {request:?}"));
            }
        }
    }
    found
}

fn answers_in_time(record: &SoakRecord) -> Vec<String> {
    let due = |request: &CallerRequest| request.sent + request.patience;
    let open = record.requests.iter().filter(|request| {
        request.ended > due(request)
            && record.is_fault_free(request.gateway, request.sent, request.ended)
    });
    let (mut open_count, mut late) = (0, Vec::new());
    for request in open {
        open_count += 1;
        if request.ended > due(request) + ANSWER_SLACK {
            late.push(format!("{request:?}"));
        }
    }
    let is_pattern = late.len() >= MIN_LATE_ANSWERS && late.len() * 2 > open_count;
    if is_pattern {
        late
    } else {
        Vec::new()
    }
}

fn one_holder(record: &SoakRecord) -> Vec<String> {
    let mut holders: BTreeMap<(&str, u64), FxHashSet<&str>> = BTreeMap::new();
    for (call, _) in &record.duties {
        holders.entry((&call.path, call.fencing)).or_default().insert(&call.holder);
    }
    let shared = holders.into_iter().filter(|(_, names)| names.len() > 1);
    shared.map(|(duty, names)| format!("{duty:?} was held by {names:?}")).collect()
}

fn one_figure(record: &SoakRecord) -> Vec<String> {
    let mut figures: BTreeMap<u64, FxHashSet<String>> = BTreeMap::new();
    let accepted = record.duties.iter().filter(|(call, _)| call.is_accepted);
    for (call, _) in accepted.filter(|(call, _)| call.path == "/usage") {
        let body: Value = serde_json::from_str(&call.body).unwrap_or_default();
        let window = body["WindowIndex"].as_u64().unwrap_or_default();
        figures.entry(window).or_default().insert(body["Counts"].to_string());
    }
    let several = figures.into_iter().filter(|(_, counts)| counts.len() > 1);
    several.map(|(window, counts)| format!("window {window}: {counts:?}")).collect()
}

fn no_unplanned_ends(record: &SoakRecord) -> Vec<String> {
    let ends = record.unplanned_ends.iter();
    ends.map(|(gateway, at)| format!("gateway {gateway} ended at {at:?}")).collect()
}

fn bounded_processes(record: &SoakRecord) -> Vec<String> {
    let beyond = record
        .peaks
        .iter()
        .filter(|peak| peak.memory_kib > MEMORY_LIMIT_KIB || peak.descriptors > DESCRIPTOR_LIMIT);
    beyond.map(|peak| format!("{peak:?}")).collect()
}

/// Returns the share of requests answered with status 200; `None` if there are too few.
fn served_share<'a>(requests: impl Iterator<Item = &'a CallerRequest>) -> Option<f64> {
    let (mut served, mut all) = (0, 0);
    for request in requests {
        all += 1;
        served += usize::from(request.end.status() == Some(200));
    }
    (all >= MIN_SAMPLES).then(|| served as f64 / all as f64)
}

fn recovery(record: &SoakRecord) -> Vec<String> {
    let allowed = always_allowed(record);
    let (last_fault, end) = record.recovery_period;
    let requests = record.requests.iter().filter(|request| {
        let is_after = request.sent > last_fault + RECOVERY_TIME;
        is_after && request.sent < end && allowed.contains(&request.organisation)
    });
    let share = served_share(requests).filter(|share| *share < MIN_RECOVERED_SHARE);
    share
        .map(|share| format!("{share:.2} of the requests after {last_fault:?}"))
        .into_iter()
        .collect()
}

fn no_starvation(record: &SoakRecord) -> Vec<String> {
    let allowed = always_allowed(record);
    let samples = || record.requests.iter().filter(|one| allowed.contains(&one.organisation));
    let Some(overall) = served_share(samples()) else { return Vec::new() };
    let is_starved = |share: f64| share < overall * MIN_FAIR_SHARE;
    let kinds = RequestKind::ALL.iter().filter_map(|kind| {
        let share = served_share(samples().filter(|request| request.kind == *kind))?;
        is_starved(share).then(|| format!("{}: {share:.2} of {overall:.2}", kind.name()))
    });
    let organisations = allowed.iter().filter_map(|number| {
        let share = served_share(samples().filter(|request| request.organisation == *number))?;
        is_starved(share).then(|| format!("organisation {number}: {share:.2} of {overall:.2}"))
    });
    kinds.chain(organisations).collect()
}
