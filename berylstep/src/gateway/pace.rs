//! Paces of replicas, and whether the deployment calls for decisions that follow them.

use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::FastHasher;
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::pace::{
    LoadStatement, PaceLedger, PaceSample, PaceSum, WorkKind, SLOW_PACE,
};
use berylstep_core::fleet::replica::ReplicaRow;

use berylstep_wire::ReplicaPace;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::{AttemptOptions, ReplicaTarget};
use crate::gateway::limits::process_of;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::sums::PaceReports;
use crate::gateway::request::{RequestHandler, RoutedRequest};

/// Time for which a peer's statement that replicas differ in pace holds, so that lost pulses don't change the
/// way in which replicas are selected.
const REPORT_RETENTION: Duration = Duration::from_secs(5);

/// Number of gaps between events that make up one observation.
const TIMED_GAPS: u64 = 6;

/// Added to each measured time. Without it, a delay of a millisecond on the way would make a replica that responds within
/// one appear slow.
const PATH_TIME: Duration = Duration::from_millis(5);

/// Part of the time of a request that was measured; comparable only with the same part of others.
#[derive(Clone, Copy, Debug, Hash)]
enum MeasuredPart {
    Response,
    EventGap,
}

/// Times of the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTiming {
    process: Option<ProcessId>,
    events: u64,
    at: Duration,
}

impl EventTiming {
    /// Records that `events` have arrived, the latest from `process`; returns the mean gap if it spans enough of them.
    fn record(&mut self, process: ProcessId, events: u64, now: Duration) -> Option<Duration> {
        let gaps = events.saturating_sub(self.events);
        let is_same = self.process == Some(process);
        if is_same && gaps < TIMED_GAPS {
            return None;
        }
        let elapsed = now.saturating_sub(self.at);
        *self = Self { process: Some(process), events, at: now };
        is_same.then(|| elapsed.div_f64(gaps as f64))
    }
}

/// Paces of replicas, from the responses that this node receives and from its peers.
#[derive(Debug)]
pub struct PaceWatch {
    clock: RuntimeClock,
    mirror: Rc<StoreMirror>,
    /// Whether the settings say that callers compete for room.
    is_contended: bool,
    ledger: RefCell<PaceLedger>,
    /// Time at which a peer last reported that a replica states its pace.
    reported_at: Cell<Option<Duration>>,
}

impl PaceWatch {
    /// Creates a watch that knows no paces.
    pub fn new(clock: RuntimeClock, mirror: Rc<StoreMirror>, is_contended: bool) -> Self {
        let (ledger, reported_at) = (RefCell::default(), Cell::default());
        Self { clock, mirror, is_contended, ledger, reported_at }
    }

    /// Records what the response to a request that was sent at `sent_at` says about the replica `id`.
    pub fn observe(&self, id: &str, statement: LoadStatement, sent_at: Duration) {
        let was_uneven = self.is_uneven();
        let process = self.mirror.replicas.borrow().get(id).map(process_of);
        let Some(process) = process else { return };
        let now = self.clock.now();
        self.ledger.borrow_mut().observe_statement(process, statement, sent_at, now);
        if !was_uneven && self.is_uneven() {
            log::info!("event=paces_stated replica={id} source=response");
        }
        self.update_row(id, process);
    }

    /// Records how long a part of a request took at the replica `id`.
    fn observe_elapsed(&self, id: &str, process: ProcessId, sample: PaceSample) {
        self.ledger.borrow_mut().observe_elapsed(process, sample, self.clock.now());
        self.update_row(id, process);
    }

    fn update_row(&self, id: &str, process: ProcessId) {
        if self.is_uneven() {
            let pace = self.ledger.borrow().expected_pace(process, self.clock.now());
            self.mirror.replicas.borrow_mut().set_pace(id, pace);
        }
    }

    /// Updates the paces of all replicas with the observations of the other nodes.
    pub fn refresh(&self, reports: PaceReports) {
        let now = self.clock.now();
        let was_uneven = self.is_uneven();
        if reports.states_pace {
            self.reported_at.set(Some(now));
        }
        if !was_uneven && self.is_uneven() {
            log::info!("event=paces_stated source=peer");
        }
        let mut replicas = self.mirror.replicas.borrow_mut();
        if !self.is_uneven() {
            replicas.set_paces(|_| 1.0);
            return;
        }
        let mut ledger = self.ledger.borrow_mut();
        ledger.set_peer_sums(reports.sums);
        ledger.update(replicas.rows().map(|row| (&row.entry.service, process_of(row))), now);
        replicas.set_paces(|row| ledger.expected_pace(process_of(row), now));
    }

    /// Returns this node's observations for its peers.
    pub fn reports(&self) -> Vec<ReplicaPace> {
        if !self.is_uneven() {
            return Vec::new();
        }
        let sums = self.ledger.borrow().reports(self.clock.now()).into_iter();
        let message = |(replica, sum): (u32, PaceSum)| ReplicaPace {
            replica,
            logs: sum.logs,
            weight: sum.weight,
        };
        sums.map(message).collect()
    }

    /// Returns the pace that a request which is sent to a replica now is expected to meet.
    pub fn expected_pace(&self, row: &ReplicaRow) -> f64 {
        match self.is_uneven() {
            true => self.ledger.borrow().expected_pace(process_of(row), self.clock.now()),
            false => 1.0,
        }
    }

    /// Returns whether some replica has stated its pace to this node lately.
    pub fn has_statements(&self) -> bool {
        self.ledger.borrow().has_statements(self.clock.now())
    }

    /// Returns whether replicas of the deployment differ in pace, which some of them state.
    pub fn is_uneven(&self) -> bool {
        let now = self.clock.now();
        let is_recent = |at: Duration| now.saturating_sub(at) < REPORT_RETENTION;
        self.reported_at.get().is_some_and(is_recent) || self.has_statements()
    }

    /// Returns whether callers compete for too little room, by the settings.
    pub fn is_contended(&self) -> bool {
        self.is_contended
    }

    /// Returns the number of replicas that are known to be slow.
    pub fn slow_replicas(&self) -> i64 {
        let replicas = self.mirror.replicas.borrow();
        replicas.rows().filter(|row| row.pace >= SLOW_PACE).count() as i64
    }
}

impl RequestHandler {
    /// Records how long a replica took to respond to a request that was sent at `sent_at`: with the first content
    /// of a stream, or with the whole of any other response.
    pub(super) fn record_response_pace(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        options: AttemptOptions<'_>,
        status: u16,
        sent_at: Duration,
    ) {
        let is_resumed = options.last_event.is_some() || options.moved_run.is_some();
        if !self.pace.is_uneven() || status >= 300 || is_resumed {
            return;
        }
        let elapsed = self.clock.now().saturating_sub(sent_at);
        // Where requests wait for others, the time tells the load and not the pace.
        let (kind, expected, max_load) = match request.headers.size {
            None => (WorkKind::Plain, Duration::from_secs(1), 1.0),
            Some(size) => {
                let prefill = self.demand.expected_first_token(&request.service, size.prompt);
                let output = match request.route.kind {
                    RouteKind::Stream => Duration::ZERO,
                    _ => {
                        let tokens = u32::try_from(size.output).unwrap_or(u32::MAX);
                        request.speed.step.saturating_mul(tokens)
                    }
                };
                (WorkKind::Model, prefill.saturating_add(output), 0.5)
            }
        };
        if self.is_loaded(target, max_load) {
            return;
        }
        let baseline = baseline(request, MeasuredPart::Response);
        let ratio = (elapsed + PATH_TIME).as_secs_f64() / expected.as_secs_f64();
        let sample = PaceSample { kind, baseline, ratio };
        self.pace.observe_elapsed(&target.id, target.process, sample);
    }

    /// Records that `events` of a stream have arrived, the latest from this replica.
    pub(super) fn record_event_pace(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
        timing: &mut EventTiming,
        events: u64,
    ) {
        let Some(gap) = timing.record(target.process, events, self.clock.now()) else { return };
        if !self.pace.is_uneven() || self.is_loaded(target, 1.0) {
            return;
        }
        let kind = match request.headers.size {
            Some(_) => WorkKind::Model,
            None => WorkKind::Plain,
        };
        let baseline = baseline(request, MeasuredPart::EventGap);
        let sample = PaceSample { kind, baseline, ratio: (gap + PATH_TIME).as_secs_f64() };
        self.pace.observe_elapsed(&target.id, target.process, sample);
    }

    /// Returns whether more than this share of the slots of a replica is in use.
    fn is_loaded(&self, target: &ReplicaTarget, share: f64) -> bool {
        let replicas = self.mirror.replicas.borrow();
        let row = replicas.get(&target.id);
        row.is_none_or(|row| {
            f64::from(row.requests()) > (f64::from(row.entry.slots) * share).max(1.0)
        })
    }
}

/// Names the observations that are comparable with the one of this part of a request.
fn baseline(request: &RoutedRequest<'_>, part: MeasuredPart) -> u64 {
    let mut hasher = FastHasher::default();
    (&*request.service, &*request.route.name, part).hash(&mut hasher);
    hasher.finish()
}
