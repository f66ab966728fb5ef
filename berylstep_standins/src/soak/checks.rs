//! The promises, judged from a record alone.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::Value;

use super::record::{
    answer_body, event_count, parse_organisation, CallerEnd, CallerRequest, PlannedStop,
    ReplicaRun, RequestKind, SoakRecord, TroubleSpot,
};

/// Time without trouble after which a gateway keeps to bounds; the platform's contact time.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Time within which a version is in force; the platform's bound.
const IN_FORCE_TIME: Duration = Duration::from_secs(3);

/// Time after a version was seen in which an older one may still be; the platform's bound.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// The same for a gateway in trouble; eight times that.
const TROUBLED_ROLLBACK_SLACK: Duration = Duration::from_secs(2);

/// Time after a replica's notice of leaving at which requests must have ended; the platform's bound.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time from the signal to the end of a stopping process, with a second for the machine.
const STOP_TIME: Duration = Duration::from_secs(9);

/// Time after the last byte of a request from which a closed connection loses it; the platform's.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time after a caller's deadline at which it must have its answer; the platform's.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Late answers that are no pattern yet; the platform's.
const FEW_LATE: usize = 8;

/// Time after the last fault at which requests are served again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Share of requests served after it. Replicas have room for all; the platform asks for a quarter.
const RECOVERED_SHARE: f64 = 0.9;

/// Share of the overall rate at which each kind and organisation is served; the platform's bound.
const STARVED_SHARE: f64 = 0.25;

/// Requests from which a share is judged.
const JUDGED_COUNT: usize = 40;

/// Memory and descriptors of the smallest VM that the users run.
const MEMORY_LIMIT_KIB: u64 = 160 * 1024;
const DESCRIPTOR_LIMIT: usize = 4_100;

/// Statuses that promise that a request has not run.
const NOT_RUN: &[u16] = &[408, 421, 429, 503];

/// Statuses that say that the desired state does not allow a request.
const DENIED: &[u16] = &[401, 403, 404];

/// One promise.
pub struct SoakCheck {
    /// Name, as findings print it.
    pub name: &'static str,
    /// Lists what broke it.
    pub judge: fn(&SoakRecord) -> Vec<String>,
}

/// All promises.
pub const CHECKS: &[SoakCheck] = &[
    SoakCheck { name: "answers are whole and the caller's own", judge: whole_answers },
    SoakCheck { name: "requests run as they were sent", judge: unchanged_requests },
    SoakCheck { name: "unsafe requests run at most once", judge: at_most_once },
    SoakCheck { name: "refused requests have not run", judge: true_refusals },
    SoakCheck { name: "runs are in the name of the key's organisation", judge: own_organisation },
    SoakCheck { name: "a version is in force in time", judge: versions_in_force },
    SoakCheck { name: "an older version does not come back", judge: versions_in_order },
    SoakCheck { name: "allowed requests are not denied", judge: no_denials },
    SoakCheck { name: "leaving replicas get no requests", judge: drained_replicas },
    SoakCheck { name: "planned stops end in time and cut nothing", judge: planned_stops },
    SoakCheck { name: "answers come in time", judge: answers_in_time },
    SoakCheck { name: "a duty has one holder", judge: one_holder },
    SoakCheck { name: "a usage window has one figure", judge: one_figure },
    SoakCheck { name: "no process ends by itself", judge: no_unplanned_ends },
    SoakCheck { name: "memory and descriptors are bounded", judge: bounded_processes },
    SoakCheck { name: "requests are served again after the last fault", judge: recovery },
    SoakCheck { name: "no kind and no organisation is starved", judge: no_starvation },
];

/// What broke the promises, by check.
pub fn findings(record: &SoakRecord) -> Vec<(&'static str, Vec<String>)> {
    let judged = CHECKS.iter().map(|check| (check.name, (check.judge)(record)));
    judged.filter(|(_, found)| !found.is_empty()).collect()
}

impl SoakRecord {
    /// Whether neither the gateway nor the store was in trouble for the contact time before `from`
    /// and until `until`.
    fn is_calm(&self, gateway: usize, from: Duration, until: Duration) -> bool {
        let from = from.saturating_sub(CONTACT_TIME);
        !self.troubles.iter().any(|trouble| {
            let is_near = match trouble.spot {
                TroubleSpot::Gateway(number) => number == gateway,
                TroubleSpot::Store => true,
                TroubleSpot::Replica(_) => false,
            };
            is_near && trouble.from < until && trouble.until > from
        })
    }

    /// Whether nothing but planned stops of this gateway happened from the contact time before
    /// `from` until `until`.
    fn is_planned(&self, stop: &PlannedStop, from: Duration, until: Duration) -> bool {
        let from = from.saturating_sub(CONTACT_TIME);
        !self.troubles.iter().any(|trouble| {
            let is_stop =
                trouble.spot == TroubleSpot::Gateway(stop.gateway) && trouble.from == stop.at;
            !is_stop && trouble.from < until && trouble.until > from
        })
    }

    fn requests_by_id(&self) -> FxHashMap<&str, &CallerRequest> {
        self.requests.iter().map(|request| (&*request.id, request)).collect()
    }

    /// Runs with the requests that they answer.
    fn paired(&self) -> Vec<(&CallerRequest, &ReplicaRun)> {
        let requests = self.requests_by_id();
        let paired = self.runs.iter().filter_map(|run| Some((*requests.get(&*run.id)?, run)));
        paired.collect()
    }
}

fn whole_body(request: &CallerRequest) -> String {
    match request.kind.is_stream() {
        true => (1..=event_count(&request.id))
            .map(|number| format!("id: {number}\ndata: d{number}\n\n"))
            .collect(),
        false => answer_body(&request.id),
    }
}

fn whole_answers(record: &SoakRecord) -> Vec<String> {
    let wrong = record.requests.iter().filter(|request| match &request.end {
        CallerEnd::Whole { status: 200..=299, is_signed, names, body } => {
            !is_signed || *names != request.id || *body != whole_body(request)
        }
        // Replicas of a soak give no other answer than 200 and 421.
        CallerEnd::Whole { status, is_signed, .. } => *is_signed && *status != 421,
        CallerEnd::Broken | CallerEnd::Silent => false,
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
        let is_refused = request.end.status().is_some_and(|status| NOT_RUN.contains(&status));
        request.kind.is_once() && is_refused && ran.contains(&*request.id)
    });
    untrue.map(|request| format!("{request:?}")).collect()
}

fn own_organisation(record: &SoakRecord) -> Vec<String> {
    let wrong = record.paired().into_iter().filter(|(request, run)| {
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
    let late = record.paired().into_iter().filter_map(|(request, run)| {
        let known = record.changes.iter().filter(|change| change.at + IN_FORCE_TIME < request.sent);
        let newest = known.map(|change| change.version).max()?;
        let is_old = version_of(run) < newest;
        let is_calm = record.is_calm(request.gateway, request.sent, run.began);
        (is_old && is_calm).then(|| format!("version {newest} was due: {request:?} ran as {run:?}"))
    });
    late.collect()
}

fn versions_in_order(record: &SoakRecord) -> Vec<String> {
    let mut by_process: BTreeMap<(usize, usize), Vec<(&CallerRequest, &ReplicaRun)>> =
        BTreeMap::new();
    for (request, run) in record.paired() {
        by_process.entry((request.gateway, request.incarnation)).or_default().push((request, run));
    }
    let mut found = Vec::new();
    for pairs in by_process.values() {
        for (request, run) in pairs {
            let is_calm = record.is_calm(request.gateway, request.sent, run.began);
            let slack = if is_calm { ROLLBACK_SLACK } else { TROUBLED_ROLLBACK_SLACK };
            let seen = pairs.iter().filter(|(_, other)| other.began + slack < request.sent);
            let newest = seen.map(|(_, other)| version_of(other)).max().unwrap_or_default();
            if version_of(run) < newest {
                found.push(format!("version {newest} was seen: {request:?} ran as {run:?}"));
            }
        }
    }
    found
}

/// Organisations that every version allowed.
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
        let is_denied = request.end.status().is_some_and(|status| DENIED.contains(&status));
        is_denied && allowed.contains(&request.organisation)
    });
    denied.map(|request| format!("{request:?}")).collect()
}

fn drained_replicas(record: &SoakRecord) -> Vec<String> {
    let drains: FxHashMap<&str, Duration> =
        record.drains.iter().map(|(replica, at)| (&**replica, *at)).collect();
    let late = record.paired().into_iter().filter(|(request, run)| {
        let left = drains.get(&*run.replica);
        left.is_some_and(|at| run.began > *at + DRAIN_TIME)
            && record.is_calm(request.gateway, request.sent, run.began)
    });
    late.map(|(request, run)| format!("{request:?} ran as {run:?}")).collect()
}

fn planned_stops(record: &SoakRecord) -> Vec<String> {
    let mut found = Vec::new();
    let ran: FxHashSet<&str> = record.runs.iter().map(|run| &*run.id).collect();
    for stop in &record.stops {
        let until = stop.at + STOP_TIME;
        if stop.exit != Some(0) && record.is_planned(stop, stop.at, until) {
            found.push(format!("{stop:?} did not end well"));
        }
        for request in record.requests.iter().filter(|request| request.gateway == stop.gateway) {
            let is_near = request.ended > stop.at && request.sent < until;
            let is_taken = ran.contains(&*request.id) || request.ended > request.sent + LOSS_SLACK;
            let is_cut = request.end == CallerEnd::Broken
                && request.ended < request.sent + request.patience
                && is_taken;
            if is_near && is_cut && record.is_planned(stop, request.sent, request.ended) {
                found.push(format!("{stop:?} cut {request:?}"));
            }
        }
    }
    found
}

fn answers_in_time(record: &SoakRecord) -> Vec<String> {
    let due = |request: &CallerRequest| request.sent + request.patience;
    let open = record.requests.iter().filter(|request| {
        request.ended > due(request) && record.is_calm(request.gateway, request.sent, request.ended)
    });
    let (mut open_count, mut late) = (0, Vec::new());
    for request in open {
        open_count += 1;
        if request.ended > due(request) + ANSWER_SLACK {
            late.push(format!("{request:?}"));
        }
    }
    let is_pattern = late.len() >= FEW_LATE && late.len() * 2 > open_count;
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

fn served_share<'a>(requests: impl Iterator<Item = &'a CallerRequest>) -> Option<f64> {
    let (mut served, mut all) = (0, 0);
    for request in requests {
        all += 1;
        served += usize::from(request.end.status() == Some(200));
    }
    (all >= JUDGED_COUNT).then(|| served as f64 / all as f64)
}

fn recovery(record: &SoakRecord) -> Vec<String> {
    let allowed = always_allowed(record);
    let (calm, end) = record.calm;
    let late = record.requests.iter().filter(|request| {
        let is_after = request.sent > calm + RECOVERY_TIME;
        is_after && request.sent < end && allowed.contains(&request.organisation)
    });
    let share = served_share(late).filter(|share| *share < RECOVERED_SHARE);
    share.map(|share| format!("{share:.2} of the requests after {calm:?}")).into_iter().collect()
}

fn no_starvation(record: &SoakRecord) -> Vec<String> {
    let allowed = always_allowed(record);
    let judged = || record.requests.iter().filter(|one| allowed.contains(&one.organisation));
    let Some(overall) = served_share(judged()) else { return Vec::new() };
    let is_starved = |share: f64| share < overall * STARVED_SHARE;
    let kinds = RequestKind::ALL.iter().filter_map(|kind| {
        let share = served_share(judged().filter(|request| request.kind == *kind))?;
        is_starved(share).then(|| format!("{}: {share:.2} of {overall:.2}", kind.name()))
    });
    let organisations = allowed.iter().filter_map(|number| {
        let share = served_share(judged().filter(|request| request.organisation == *number))?;
        is_starved(share).then(|| format!("organisation {number}: {share:.2} of {overall:.2}"))
    });
    kinds.chain(organisations).collect()
}
