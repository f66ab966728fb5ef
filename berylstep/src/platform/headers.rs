//! Headers between callers, this system and replicas.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::choice::RequestSize;
use berylstep_http::{HeaderList, ResponseMessage};

const ATTEMPT_ID: &str = "Berylstep-Attempt-Id";
const DEADLINE: &str = "Berylstep-Deadline-Milliseconds";
const KEY: &str = "X-Api-Key";
const TOKEN_COUNTS: &str = "Berylstep-Token-Counts";
const PROMPT_PREFIX: &str = "Berylstep-Prompt-Prefix";
const EXPECTED_REPLICA: &str = "Berylstep-Expected-Replica";
const ORGANISATION: &str = "Berylstep-Tenant";
const URGENCY: &str = "Berylstep-Urgency-Level";
const SIGNATURE: &str = "Berylstep-Replica-Signature";
const NOT_EXECUTED: &str = "Berylstep-Not-Executed";
const LAST_EVENT: &str = "Last-Event-Id";
const FETCH_FROM: &str = "Kv-Fetch";
const MOVED_FROM: &str = "Kv-From";

/// Lowest urgency that a replica knows.
const LOWEST_URGENCY: u8 = 9;

/// Headers that a caller may not hand through: this system sets or consumes them.
const SYSTEM_HEADERS: &[&str] = &[
    DEADLINE,
    KEY,
    EXPECTED_REPLICA,
    ORGANISATION,
    URGENCY,
    "Berylstep-Expected-Version",
    "Berylstep-Hold",
    "Berylstep-Pin-Milliseconds",
    "Berylstep-Kv-Backup",
    MOVED_FROM,
    FETCH_FROM,
];

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Identifier of this attempt of the caller.
    pub request_id: Option<SharedName>,
    /// Time for which the caller waits, from when it sent the request.
    pub timeout: Option<Duration>,
    /// Key of its organisation.
    pub key: Option<SharedName>,
    /// Size, where it is a model request.
    pub size: Option<RequestSize>,
    /// Prompt part that the caller's session shares.
    pub session: Option<SharedName>,
}

impl CallerHeaders {
    /// Reads the headers of a request.
    pub fn read(headers: &HeaderList) -> Self {
        let shared = |name| headers.get(name).map(SharedName::from);
        let timeout = headers.get(DEADLINE).and_then(|value| value.trim().parse().ok());
        let size = headers.get(TOKEN_COUNTS).and_then(read_size);
        Self {
            request_id: shared(ATTEMPT_ID),
            timeout: timeout.map(Duration::from_millis),
            key: shared(KEY),
            size,
            session: headers.get(PROMPT_PREFIX).and_then(session_part).map(SharedName::from),
        }
    }
}

fn read_size(value: &str) -> Option<RequestSize> {
    let (prompt, output) = value.split_once(',')?;
    Some(RequestSize { prompt: prompt.trim().parse().ok()?, output: output.trim().parse().ok()? })
}

/// Identifier of the last part but one: the last belongs to the request alone. A prompt of one
/// part shares nothing but that part.
fn session_part(prefix: &str) -> Option<&str> {
    let mut parts =
        prefix.rsplit(',').map(|part| part.split(':').next().unwrap_or_default().trim());
    let last = parts.next()?;
    parts.next().or(Some(last)).filter(|part| !part.is_empty())
}

/// What a replica is told besides the caller's own headers.
#[derive(Clone, Debug)]
pub struct UpstreamHeaders<'a> {
    /// Time that is left, in whole milliseconds.
    pub time_left: Duration,
    /// Identifier of the replica that is meant.
    pub replica: &'a str,
    /// Organisation that holds the caller's key.
    pub organisation: Option<&'a str>,
    /// Rank, where 0 is served first.
    pub priority: u8,
    /// Last event that the caller has, where a stream is to go on after it.
    pub last_event: Option<&'a str>,
    /// Replica from which it may fetch what that one keeps of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Moved run that the request goes on from.
    pub moved_run: Option<&'a MovedRun>,
}

/// Memory of a run that was moved between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedRun {
    /// Replica at which it ran.
    pub source: SocketAddr,
    /// Name of the copy.
    pub handle: String,
}

/// Appends the headers of a request to a replica, the caller's included.
pub fn write_request_headers(headers: &HeaderList, marks: &UpstreamHeaders<'_>, out: &mut Vec<u8>) {
    for field in headers.end_to_end() {
        let is_system = SYSTEM_HEADERS.iter().any(|name| field.name.eq_ignore_ascii_case(name));
        let is_replaced = marks.last_event.is_some() && field.name.eq_ignore_ascii_case(LAST_EVENT);
        if !is_system && !is_replaced {
            write_header(&field.name, &field.value, out);
        }
    }
    write_header(DEADLINE, marks.time_left.as_millis().to_string().as_bytes(), out);
    write_header(EXPECTED_REPLICA, marks.replica.as_bytes(), out);
    write_header(URGENCY, marks.priority.min(LOWEST_URGENCY).to_string().as_bytes(), out);
    if let Some(organisation) = marks.organisation {
        write_header(ORGANISATION, organisation.as_bytes(), out);
    }
    if let Some(last_event) = marks.last_event {
        write_header(LAST_EVENT, last_event.as_bytes(), out);
    }
    if let Some(run) = marks.moved_run {
        let value = format!("{}/{}", run.source, run.handle);
        write_header(MOVED_FROM, value.as_bytes(), out);
    }
    if let Some(address) = marks.fetch_from {
        write_header(FETCH_FROM, address.to_string().as_bytes(), out);
    }
}

/// Appends one header line.
pub fn write_header(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Whose answer a response is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOwner {
    /// It names the request.
    Own,
    /// It names another request.
    Other,
    /// It names none.
    Unnamed,
}

/// What a replica says of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHeaders {
    /// Whose answer it is.
    pub owner: AnswerOwner,
    /// Whether the replica vouches for the answer.
    pub signed: bool,
    /// Whether the replica promises that the request did not run there and never will.
    pub not_executed: bool,
}

/// Status with which a replica turns away a request that was meant for another one.
const MISDIRECTED: u16 = 421;

impl AnswerHeaders {
    /// Reads the answer to the request `request_id`.
    pub fn read(response: &ResponseMessage, request_id: Option<&str>) -> Self {
        let headers = &response.headers;
        let owner = match (headers.get(ATTEMPT_ID), request_id) {
            (Some(named), Some(own)) if named == own => AnswerOwner::Own,
            (Some(_), Some(_)) => AnswerOwner::Other,
            _ => AnswerOwner::Unnamed,
        };
        let turned_away = response.status == MISDIRECTED && !headers.contains(SIGNATURE);
        Self {
            owner,
            signed: headers.contains(SIGNATURE),
            not_executed: headers.contains(NOT_EXECUTED) || turned_away,
        }
    }

    /// Whether the answer may be passed on as the replica's own.
    pub fn is_acceptable(self, response: &ResponseMessage) -> bool {
        let encoded = response.headers.contains("content-encoding");
        self.signed && !encoded && self.owner != AnswerOwner::Other
    }
}
