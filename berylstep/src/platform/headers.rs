//! Headers exchanged with callers and replicas.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::brittle::BrittleStatement;
use berylstep_core::fleet::choice::RequestSize;
use berylstep_core::fleet::limits::LimitStatement;
use berylstep_core::fleet::pace::LoadStatement;
use berylstep_http::{HeaderList, ResponseMessage};

use super::ReplicaStatement;

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
const SERVER_LEAVING: &str = "Server-Leaving";
const SERVER_LIMIT: &str = "Server-Limit";
const SERVER_BRITTLE: &str = "Server-Brittle";
const REPLICA_LOAD: &str = "Berylstep-Replica-Load";
const STORE_ERA: &str = "Store-Era";
const RETRY_AFTER: &str = "Retry-After";
const LAST_EVENT: &str = "Last-Event-Id";
const RESUMES: &str = "Resumes";
const FETCH_FROM: &str = "Kv-Fetch";
const MOVED_FROM: &str = "Kv-From";

/// Largest number of parts of a prompt that are read.
const MAX_PROMPT_PARTS: usize = 16;

/// Value of the lowest urgency level that replicas accept.
const LOWEST_URGENCY: u8 = 9;

/// Headers that are never forwarded from a caller, because this system sets or consumes them.
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

/// Values read from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Identifier of the caller's attempt.
    pub request_id: Option<SharedName>,
    /// Time for which the caller waits for its response, from when it sent the request.
    pub timeout: Option<Duration>,
    /// API key of its organisation.
    pub key: Option<SharedName>,
    /// Size in tokens, if it is a model request.
    pub size: Option<RequestSize>,
    /// Identifier of the prompt part that the requests of the caller's session share.
    pub session: Option<SharedName>,
    /// Attempt that brought the first event of the stream that the caller takes up again.
    pub resumes: Option<SharedName>,
    /// Whether the caller has events of the stream already.
    pub has_last_event: bool,
    /// Identifiers of the parts of the prompt, in their order; those beyond
    /// [`MAX_PROMPT_PARTS`] are left out.
    pub parts: Vec<SharedName>,
}

impl CallerHeaders {
    /// Returns whether the caller takes up a stream that broke off.
    pub fn takes_up_stream(&self) -> bool {
        self.resumes.is_some() || self.has_last_event
    }

    /// Reads the headers of a request; malformed values are ignored.
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
            resumes: shared(RESUMES),
            has_last_event: headers.contains(LAST_EVENT),
            parts: headers.get(PROMPT_PREFIX).map(prompt_parts).unwrap_or_default(),
        }
    }
}

fn read_size(value: &str) -> Option<RequestSize> {
    let (prompt, output) = value.split_once(',')?;
    Some(RequestSize { prompt: prompt.trim().parse().ok()?, output: output.trim().parse().ok()? })
}

/// Returns the identifier of the last but one part of a prompt, because the last belongs to this
/// request alone; that of the only part if there is one.
fn session_part(prefix: &str) -> Option<&str> {
    let mut parts =
        prefix.rsplit(',').map(|part| part.split(':').next().unwrap_or_default().trim());
    let last = parts.next()?;
    parts.next().or(Some(last)).filter(|part| !part.is_empty())
}

fn prompt_parts(prefix: &str) -> Vec<SharedName> {
    let parts = prefix.split(',').map(|part| part.split(':').next().unwrap_or_default().trim());
    let named = parts.filter(|part| !part.is_empty());
    named.take(MAX_PROMPT_PARTS).map(SharedName::from).collect()
}

/// Values of the headers that are added to a request for a replica.
#[derive(Clone, Debug)]
pub struct UpstreamHeaders<'a> {
    /// Time until the deadline, sent in whole milliseconds.
    pub time_left: Duration,
    /// Identifier of the intended replica.
    pub replica: &'a str,
    /// Organisation to which the caller's key belongs.
    pub organisation: Option<&'a str>,
    /// Urgency level; 0 is served first.
    pub priority: u8,
    /// Last event received by the caller, if the stream is to resume after it.
    pub last_event: Option<&'a str>,
    /// Replica from which the cached part of the prompt may be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Moved run that the request continues.
    pub moved_run: Option<&'a MovedRun>,
}

/// KV cache of a run that was moved between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedRun {
    /// Replica that executed the run before the move.
    pub source: SocketAddr,
    /// Handle of the copy, returned by the engine.
    pub handle: String,
}

/// Appends the headers of a request for a replica to `out`, including those forwarded from the
/// caller.
pub fn write_request_headers(
    headers: &HeaderList,
    values: &UpstreamHeaders<'_>,
    out: &mut Vec<u8>,
) {
    for field in headers.end_to_end() {
        let is_system = SYSTEM_HEADERS.iter().any(|name| field.name.eq_ignore_ascii_case(name));
        let is_replaced =
            values.last_event.is_some() && field.name.eq_ignore_ascii_case(LAST_EVENT);
        if !is_system && !is_replaced {
            write_header(&field.name, &field.value, out);
        }
    }
    write_header(DEADLINE, values.time_left.as_millis().to_string().as_bytes(), out);
    write_header(EXPECTED_REPLICA, values.replica.as_bytes(), out);
    write_header(URGENCY, values.priority.min(LOWEST_URGENCY).to_string().as_bytes(), out);
    if let Some(organisation) = values.organisation {
        write_header(ORGANISATION, organisation.as_bytes(), out);
    }
    if let Some(last_event) = values.last_event {
        write_header(LAST_EVENT, last_event.as_bytes(), out);
    }
    if let Some(run) = values.moved_run {
        let value = format!("{}/{}", run.source, run.handle);
        write_header(MOVED_FROM, value.as_bytes(), out);
    }
    if let Some(address) = values.fetch_from {
        write_header(FETCH_FROM, address.to_string().as_bytes(), out);
    }
}

/// Appends the headers of a request for another node, which treats it as its caller's.
pub fn write_handover_headers(headers: &HeaderList, time_left: Duration, out: &mut Vec<u8>) {
    for field in headers.end_to_end() {
        if !field.name.eq_ignore_ascii_case(DEADLINE) {
            write_header(&field.name, &field.value, out);
        }
    }
    write_header(DEADLINE, time_left.as_millis().to_string().as_bytes(), out);
}

/// Appends one header line to `out`.
pub fn write_header(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Relation of a response to the request that it was received for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOwner {
    /// The response names this request.
    Own,
    /// The response names another request.
    Other,
    /// The response names no request.
    Unnamed,
}

/// Values read from the headers of a replica's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHeaders {
    /// Whether the response belongs to this request.
    pub owner: ResponseOwner,
    /// Whether the replica has signed the response.
    pub signed: bool,
    /// Whether the replica guarantees that it has not run the request and never will.
    pub not_executed: bool,
    /// What the replica says about itself.
    pub statement: ReplicaStatement,
}

/// Status with which a replica may ask for a pause.
const UNAVAILABLE: u16 = 503;

/// Largest pause that is read; a longer one is shortened to it.
const MAX_PAUSE_SECONDS: f64 = 86_400.0;

/// Reads a pause, given in seconds with an optional fraction or as an HTTP date; `None` if it is
/// malformed, negative or over.
pub fn parse_pause(value: &str, now: SystemTime) -> Option<Duration> {
    let value = value.trim();
    let seconds = match value.parse::<f64>() {
        Ok(seconds) => seconds,
        Err(_) => {
            let until = httpdate::parse_http_date(value).ok()?;
            until.duration_since(now).ok()?.as_secs_f64()
        }
    };
    let is_pause = seconds.is_finite() && seconds > 0.0;
    is_pause.then(|| Duration::from_secs_f64(seconds.min(MAX_PAUSE_SECONDS)))
}

/// Reads the limit that a response names, in requests per second. A value that is not a positive
/// number says nothing.
pub fn parse_limit(value: &str) -> LimitStatement {
    match value.trim().parse::<f64>() {
        Ok(rate) if rate.is_finite() && rate > 0.0 => LimitStatement::PerSecond(rate),
        _ => {
            log::debug!("event=limit_malformed value={value:?}");
            LimitStatement::Unsaid
        }
    }
}

/// Reads how many requests a brittle replica may turn away in a second. A value that is not a whole
/// number says nothing.
pub fn parse_brittle(value: &str) -> BrittleStatement {
    match value.trim().parse() {
        Ok(rejections) => BrittleStatement::Tolerates(rejections),
        Err(err) => {
            log::debug!("event=brittle_malformed value={value:?} error=\"{err}\"");
            BrittleStatement::Unsaid
        }
    }
}

/// Reads the load that a response states: running and waiting requests, slots and, optionally, the time for
/// which work goes on at present, in percent of the usual one. `None` if it is malformed.
pub fn parse_load(value: &str) -> Option<LoadStatement> {
    let mut fields = value.split(',').map(str::trim);
    let mut count = || fields.next()?.parse().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    let percent = fields.next().and_then(|percent| percent.parse::<f64>().ok());
    let pace = percent.filter(|percent| percent.is_finite() && *percent > 0.0);
    Some(LoadStatement { running, waiting, slots, pace: pace.map(|percent| percent / 100.0) })
}

/// Returns the era of the store in which a response was given; 0 if it names none.
pub fn read_store_era(response: &http_types::Response) -> u64 {
    let value = response.header(STORE_ERA).and_then(|values| values.as_str().trim().parse().ok());
    value.unwrap_or_default()
}

/// Reads what a replica says about itself in a response to a call of the gateway's own.
pub fn read_statement(response: &http_types::Response) -> ReplicaStatement {
    let value = |name| response.header(name).map(|values| values.as_str());
    let is_unavailable = response.status() == http_types::StatusCode::ServiceUnavailable;
    ReplicaStatement {
        leaving: value(SERVER_LEAVING).is_some_and(|value| value.trim() == "1"),
        pause: value(RETRY_AFTER)
            .filter(|_| is_unavailable)
            .and_then(|value| parse_pause(value, SystemTime::now())),
        limit: value(SERVER_LIMIT).map(parse_limit).unwrap_or_default(),
        brittle: value(SERVER_BRITTLE).map(parse_brittle).unwrap_or_default(),
        load: value(REPLICA_LOAD).and_then(parse_load),
    }
}

/// Status with which a replica refuses a request intended for another one.
const MISDIRECTED: u16 = 421;

impl ResponseHeaders {
    /// Reads the headers of the response to the request `request_id`.
    pub fn read(response: &ResponseMessage, request_id: Option<&str>) -> Self {
        let headers = &response.headers;
        let owner = match (headers.get(ATTEMPT_ID), request_id) {
            (Some(named), Some(own)) if named == own => ResponseOwner::Own,
            (Some(_), _) => ResponseOwner::Other,
            (None, _) => ResponseOwner::Unnamed,
        };
        let signed = headers.contains(SIGNATURE);
        let misdirected = response.status == MISDIRECTED && !signed;
        let not_executed = headers.contains(NOT_EXECUTED) || misdirected;
        // Only the replica itself can tell that it has no limit, or is not brittle.
        let is_own = (signed || headers.contains(NOT_EXECUTED)) && !misdirected;
        let (unnamed, sound) = match is_own {
            true => (LimitStatement::Unlimited, BrittleStatement::Sound),
            false => (LimitStatement::Unsaid, BrittleStatement::Unsaid),
        };
        Self {
            owner,
            signed,
            not_executed,
            statement: ReplicaStatement {
                leaving: headers.get(SERVER_LEAVING).is_some_and(|value| value.trim() == "1"),
                pause: headers
                    .get(RETRY_AFTER)
                    .filter(|_| response.status == UNAVAILABLE)
                    .and_then(|value| parse_pause(value, SystemTime::now())),
                limit: headers.get(SERVER_LIMIT).map_or(unnamed, parse_limit),
                brittle: headers.get(SERVER_BRITTLE).map_or(sound, parse_brittle),
                load: headers.get(REPLICA_LOAD).filter(|_| is_own).and_then(parse_load),
            },
        }
    }

    /// Returns whether the response may be forwarded to the caller: signed, unencoded and not for
    /// another request.
    pub fn is_acceptable(self, response: &ResponseMessage) -> bool {
        let encoded = response.headers.contains("content-encoding");
        self.signed && !encoded && self.owner != ResponseOwner::Other
    }
}
