//! What a soak saw, from outside the gateways. Times are counted from the start of traffic.

use std::time::Duration;

use crate::fleet::store::DutyCall;

/// Kind of a request, which is also the name of its route and service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// May be repeated.
    Safe,
    /// Must run once at most.
    Unsafe,
    /// Stream that must run once at most.
    Plain,
    /// Stream that may go on elsewhere.
    Resumable,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Plain, Self::Resumable];

    /// Name of its route and service.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Plain => "plain",
            Self::Resumable => "resumable",
        }
    }

    /// Whether it is answered with a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Plain | Self::Resumable)
    }

    /// Whether it must run once at most.
    pub fn is_once(self) -> bool {
        matches!(self, Self::Unsafe | Self::Plain)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEnd {
    /// Whole answer.
    Whole {
        /// Status.
        status: u16,
        /// Whether a replica vouches for it.
        is_signed: bool,
        /// Identifier that the answer names.
        names: String,
        /// Body.
        body: String,
    },
    /// The connection ended before the answer did.
    Broken,
    /// Nothing came until well after the caller's time.
    Silent,
}

impl CallerEnd {
    /// Status of a whole answer.
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
    /// Identifier.
    pub id: String,
    /// Kind.
    pub kind: RequestKind,
    /// Organisation whose key it bears.
    pub organisation: usize,
    /// Gateway that it was sent to.
    pub gateway: usize,
    /// Which process of that gateway, counted from 0.
    pub incarnation: usize,
    /// When it was sent.
    pub sent: Duration,
    /// Time for which the caller waits.
    pub patience: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub end: CallerEnd,
}

/// A request at a replica.
#[derive(Clone, Debug)]
pub struct ReplicaRun {
    /// Identifier of the request.
    pub id: String,
    /// Replica.
    pub replica: String,
    /// Service of the replica.
    pub service: RequestKind,
    /// Organisation as the replica was told.
    pub organisation: String,
    /// Whether it got a caller's key.
    pub has_key: bool,
    /// Whether method, path, query and body were the caller's.
    pub is_unchanged: bool,
    /// When it began.
    pub began: Duration,
    /// When the replica had written the end, or could not go on writing.
    pub ended: Duration,
}

/// What was in trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleSpot {
    /// A gateway or its links to callers or the store.
    Gateway(usize),
    /// A replica or its links, by its number.
    Replica(usize),
    /// The store.
    Store,
}

/// A time of trouble.
#[derive(Clone, Copy, Debug)]
pub struct TroubleSpan {
    /// Where.
    pub spot: TroubleSpot,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// A version of the desired state.
#[derive(Clone, Debug)]
pub struct StateChange {
    /// Version.
    pub version: u64,
    /// When the store had it.
    pub at: Duration,
    /// Organisations whose keys it holds.
    pub allowed: Vec<usize>,
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Gateway.
    pub gateway: usize,
    /// When it got the signal.
    pub at: Duration,
    /// Exit code; `None` where it did not end in time.
    pub exit: Option<i32>,
}

/// What one process used at most.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessPeak {
    /// Resident memory, in KiB.
    pub memory_kib: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Everything that a soak saw.
#[derive(Clone, Debug, Default)]
pub struct SoakRecord {
    /// Requests.
    pub requests: Vec<CallerRequest>,
    /// Runs.
    pub runs: Vec<ReplicaRun>,
    /// Times of trouble.
    pub troubles: Vec<TroubleSpan>,
    /// Versions, in order.
    pub changes: Vec<StateChange>,
    /// Identifiers of replicas whose entries told that they leave, and when.
    pub drains: Vec<(String, Duration)>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Gateways that ended by themselves, and when.
    pub unplanned_ends: Vec<(usize, Duration)>,
    /// Calls of duties, with their times.
    pub duties: Vec<(DutyCall, Duration)>,
    /// Peaks of the gateways' processes.
    pub peaks: Vec<ProcessPeak>,
    /// End of the last fault, and of the traffic.
    pub calm: (Duration, Duration),
}

/// Organisation as it is called in a version: each version names all of them anew, which tells
/// from a run which version allowed it.
pub fn organisation_name(organisation: usize, version: u64) -> String {
    format!("org-{organisation}-v{version}")
}

/// Organisation and version of a name.
pub fn parse_organisation(name: &str) -> Option<(usize, u64)> {
    let (organisation, version) = name.strip_prefix("org-")?.split_once("-v")?;
    Some((organisation.parse().ok()?, version.parse().ok()?))
}

/// Events of the stream `id`.
pub fn event_count(id: &str) -> u32 {
    5 + id.bytes().map(u32::from).sum::<u32>() % 25
}

/// Body of the answer to `id`, where it is no stream.
pub fn answer_body(id: &str) -> String {
    format!("answer to {id}")
}
