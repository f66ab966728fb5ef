//! Observations of a soak, made from outside the gateways. Times count from the start of traffic.

use std::time::Duration;

use crate::fleet::store::DutyCall;

/// Kind of a request; its route and service have the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// May be retried.
    Safe,
    /// Must run at most once.
    Unsafe,
    /// Stream that must run at most once.
    Plain,
    /// Stream that another replica may continue.
    Resumable,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Plain, Self::Resumable];

    /// Returns the name of the route and service.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Plain => "plain",
            Self::Resumable => "resumable",
        }
    }

    /// Returns whether it is answered with an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Plain | Self::Resumable)
    }

    /// Returns whether it must run at most once.
    pub fn is_once(self) -> bool {
        matches!(self, Self::Unsafe | Self::Plain)
    }
}

/// Outcome of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// Complete response.
    Whole {
        /// Status code.
        status: u16,
        /// Whether it carries a replica's signature.
        is_signed: bool,
        /// Request identifier in the response.
        names: String,
        /// Response body.
        body: String,
    },
    /// The connection closed before the response was complete.
    Broken,
    /// No complete response by some time after the deadline.
    Silent,
}

impl CallerOutcome {
    /// Returns the status code of a complete response.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Whole { status, .. } => Some(*status),
            Self::Broken | Self::Silent => None,
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request identifier.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Number of the organisation whose key it carries.
    pub organisation: usize,
    /// Number of the gateway that it was sent to.
    pub gateway: usize,
    /// Incarnation of that gateway's process, counted from 0.
    pub incarnation: usize,
    /// Time of sending.
    pub sent: Duration,
    /// Time from sending to the caller's deadline.
    pub patience: Duration,
    /// Time at which the response was complete or the caller gave up.
    pub ended: Duration,
    /// Outcome.
    pub end: CallerOutcome,
}

/// Execution of a request at a replica.
#[derive(Clone, Debug)]
pub struct ReplicaRun {
    /// Request identifier.
    pub id: String,
    /// Identifier of the replica.
    pub replica: String,
    /// Service that the replica belongs to.
    pub service: RequestKind,
    /// Organisation that the gateway stated.
    pub organisation: String,
    /// Whether the request still carried the caller's key.
    pub has_key: bool,
    /// Whether method, path, query and body arrived unchanged.
    pub is_unchanged: bool,
    /// Time of receipt.
    pub began: Duration,
    /// Time at which the replica had written its response or failed to write it.
    pub ended: Duration,
}

/// Component affected by a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// A gateway or its connections to callers or the store, by its number.
    Gateway(usize),
    /// A replica or its connections, by its number.
    Replica(usize),
    /// The store.
    Store,
}

/// Interval during which a fault was active.
#[derive(Clone, Copy, Debug)]
pub struct FaultInterval {
    /// Affected component.
    pub target: FaultTarget,
    /// Start of the fault.
    pub from: Duration,
    /// End of the fault.
    pub until: Duration,
}

/// A version of the desired state.
#[derive(Clone, Debug)]
pub struct StateChange {
    /// Version number.
    pub version: u64,
    /// Time at which it was in the store; [`Duration::MAX`] before.
    pub at: Duration,
    /// Numbers of the organisations whose keys it contains.
    pub allowed: Vec<usize>,
}

/// A graceful shutdown of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Number of the gateway.
    pub gateway: usize,
    /// Time of the signal.
    pub at: Duration,
    /// Exit code; `None` if it did not exit in time.
    pub exit: Option<i32>,
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessPeak {
    /// Peak resident memory, in KiB.
    pub memory_kib: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// A limit that a replica named for some time.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLimit {
    /// Identifier of the replica.
    pub replica: String,
    /// Requests per second from all gateways together.
    pub per_second: f64,
    /// Time from which its responses named the limit.
    pub from: Duration,
    /// Time until which they did.
    pub until: Duration,
}

/// All observations of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakRecord {
    /// Requests of the callers.
    pub requests: Vec<CallerRequest>,
    /// Executions at the replicas.
    pub runs: Vec<ReplicaRun>,
    /// Intervals during which faults were active.
    pub fault_intervals: Vec<FaultInterval>,
    /// Versions of the desired state, in order.
    pub changes: Vec<StateChange>,
    /// Identifiers of drained replicas, with the time of the drain.
    pub drains: Vec<(String, Duration)>,
    /// Limits that replicas named.
    pub limits: Vec<NamedLimit>,
    /// Graceful shutdowns.
    pub stops: Vec<PlannedStop>,
    /// Numbers of gateways that exited on their own, with the time.
    pub unplanned_ends: Vec<(usize, Duration)>,
    /// Calls of duty holders, with the time of each.
    pub duties: Vec<(DutyCall, Duration)>,
    /// Samples of the gateway processes' resource usage.
    pub peaks: Vec<ProcessPeak>,
    /// Period after the last fault: end of that fault and end of the traffic.
    pub recovery_period: (Duration, Duration),
}

/// Returns the name of an organisation in a version of the desired state.
///
/// Names differ between versions, so a run shows which version allowed it.
pub fn organisation_name(organisation: usize, version: u64) -> String {
    format!("org-{organisation}-v{version}")
}

/// Returns the number of the organisation and the version that a name was made from.
pub fn parse_organisation(name: &str) -> Option<(usize, u64)> {
    let (organisation, version) = name.strip_prefix("org-")?.split_once("-v")?;
    Some((organisation.parse().ok()?, version.parse().ok()?))
}

/// Returns the number of events in the stream that answers request `id`.
pub fn event_count(id: &str) -> u32 {
    5 + id.bytes().map(u32::from).sum::<u32>() % 25
}

/// One of so many numbers of events makes a replica end its stream inside an event.
const TRUNCATED_STREAM_INTERVAL: u32 = 24;

/// Returns whether the first replica of request `id` ends its stream inside an event.
pub fn is_truncated(id: &str) -> bool {
    event_count(id) % TRUNCATED_STREAM_INTERVAL == 0
}

/// Returns the body of the answer to request `id`, which is not a stream.
pub fn answer_body(id: &str) -> String {
    format!("answer to {id}")
}
