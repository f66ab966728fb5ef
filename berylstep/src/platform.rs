//! Adapter to the platform that hosts the fleets.
//!
//! It translates the names, formats and calls of the platform into the types of this product. It
//! makes no decisions, and no code outside it uses the platform's names.

pub mod cloud;
pub mod desired;
pub mod endpoints;
pub mod engines;
pub mod entries;
pub mod headers;
pub mod store;

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::fleet::brittle::BrittleStatement;
use berylstep_core::fleet::limits::LimitStatement;
use berylstep_core::fleet::pace::LoadStatement;
use berylstep_http::{ClientResponse, ExchangeError};
use displaydoc::Display;
use http_types::{Method, Request, Response, Url};
use smol::io::AsyncReadExt;

use crate::clock::RuntimeClock;
use crate::connections::{ConnectionChoice, ConnectionPool};

/// Timeout for connecting. The platform is in the same region, where a lost packet is retransmitted
/// in less time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a connection with unacknowledged data is closed; below the time within which a
/// node must detect that a connection has gone silent.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1200);

/// Largest body of a response, for receivers that may be faulty.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Largest body of a response of the store: a row of the largest object that the platform stores, in base64, twice
/// over.
const MAX_STORE_BODY_BYTES: usize = 24 * 1024 * 1024;

/// Longest time without progress while a body is read.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for a body, so that a receiver which sends byte by byte doesn't hold a task for ever.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of a body that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// Group of rules that is in force where callers compete for too little room.
pub const CONTENTION_RULES: &str = "pressure";

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// call was not sent: {0}
    NotSent(String),
    /// no answer, the call may have taken effect: {0}
    AnswerLost(String),
    /// refused with status {0}, the call had no effect
    Refused(u16),
    /// rejected with status {0}: {1}
    Rejected(u16, String),
    /// malformed answer: {0}
    Malformed(String),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the receiver rejected the call because it has seen a newer fencing token. An
    /// order that cannot be met is rejected with the same status.
    pub fn is_fenced(&self) -> bool {
        matches!(self, Self::Rejected(CONFLICT, _))
    }
}

impl From<ExchangeError> for CallError {
    fn from(err: ExchangeError) -> Self {
        match err.may_have_run() {
            true => Self::AnswerLost(err.to_string()),
            false => Self::NotSent(err.to_string()),
        }
    }
}

const CONFLICT: u16 = 409;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// HTTP client of one service of the platform.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    clock: RuntimeClock,
    connections: ConnectionPool,
    statement: Cell<ReplicaStatement>,
    newest_era: Cell<u64>,
    max_body_bytes: usize,
}

/// What a replica has said about itself in the headers of its latest response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaStatement {
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Time for which it wants no requests from this node.
    pub pause: Option<Duration>,
    /// Limit of the requests that it takes from all nodes together.
    pub limit: LimitStatement,
    /// Rejections that it tolerates.
    pub brittle: BrittleStatement,
    /// Its load, if it states that.
    pub load: Option<LoadStatement>,
}

/// Status code and body of a response.
type CallResponse = (u16, Vec<u8>);

/// Response of the store with the era in which it was given.
type StoreResponse = (u16, Vec<u8>, u64);

impl PlatformClient {
    /// Creates a client of the service at `address`.
    pub fn new(address: SocketAddr, clock: RuntimeClock) -> Self {
        let pool = ConnectionPool::new(clock.clone(), CONNECT_TIMEOUT);
        let connections = pool.with_loss_detection(UNACKNOWLEDGED_TIMEOUT);
        Self {
            address,
            clock,
            connections,
            statement: Cell::default(),
            newest_era: Cell::default(),
            max_body_bytes: MAX_BODY_BYTES,
        }
    }

    /// Creates a client of the store at `address`, whose responses may be large.
    pub fn of_store(address: SocketAddr, clock: RuntimeClock) -> Self {
        Self { max_body_bytes: MAX_STORE_BODY_BYTES, ..Self::new(address, clock) }
    }

    /// Returns what the receiver said about itself in its latest response, if it is a replica.
    pub fn statement(&self) -> ReplicaStatement {
        self.statement.get()
    }

    /// Returns the newest era that a response of the store has told; 0 before the first.
    pub fn newest_era(&self) -> u64 {
        self.newest_era.get()
    }

    /// Builds a request for `path` with a query string.
    fn request(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<Request, CallError> {
        let url = format!("http://{}{path}", self.address);
        let mut url = Url::parse(&url).map_err(|err| CallError::NotSent(err.to_string()))?;
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        Ok(Request::new(method, url))
    }

    /// Sends a request and waits for its response for at most `timeout`. Status codes that promise
    /// that the call had no effect are returned as errors.
    async fn call(&self, request: Request, timeout: Duration) -> Result<CallResponse, CallError> {
        let called = self.clock.timeout(timeout, self.read_call(request, timeout)).await;
        let (status, body, _) = called.unwrap_or_else(|| Err(timed_out()))?;
        Ok((status, body))
    }

    /// Sends a request that only reads, and returns the era of the response too. Waits for the head of the response
    /// for at most `timeout`; a large body may take longer, as long as it makes progress.
    async fn read_call(
        &self,
        request: Request,
        timeout: Duration,
    ) -> Result<StoreResponse, CallError> {
        // Calls are part of the state of requests, which is to stay small while none is made.
        match Box::pin(self.exchange(request, timeout)).await? {
            (status @ (TOO_MANY_REQUESTS | UNAVAILABLE), ..) => Err(CallError::Refused(status)),
            answer => Ok(answer),
        }
    }

    async fn exchange(
        &self,
        request: Request,
        timeout: Duration,
    ) -> Result<StoreResponse, CallError> {
        let exchanged = self.connections.exchange(self.address, request, ConnectionChoice::Any);
        let exchanged = self.clock.timeout(timeout, exchanged).await;
        let ClientResponse { mut response, reuse } = exchanged.ok_or_else(timed_out)??;
        let body = self.clock.timeout(BODY_TIMEOUT, self.read_body(&mut response)).await;
        let body = body.unwrap_or_else(|| Err(timed_out()))?;
        let status = response.status().into();
        self.statement.set(headers::read_statement(&response));
        let era = headers::read_store_era(&response);
        self.newest_era.set(self.newest_era.get().max(era));
        self.connections.release(self.address, reuse);
        Ok((status, body, era))
    }

    async fn read_body(&self, response: &mut Response) -> Result<Vec<u8>, CallError> {
        let mut body = Vec::new();
        let mut buffer = vec![0; READ_BYTES];
        while body.len() <= self.max_body_bytes {
            let read = self.clock.timeout(BODY_STALL_TIMEOUT, response.read(&mut buffer)).await;
            match read.ok_or_else(timed_out)? {
                Ok(0) => return Ok(body),
                Ok(count) => body.extend_from_slice(&buffer[..count]),
                Err(err) => return Err(CallError::AnswerLost(err.to_string())),
            }
        }
        Err(CallError::AnswerLost("body without end".to_owned()))
    }
}

fn timed_out() -> CallError {
    CallError::AnswerLost("timeout".to_owned())
}

/// Converts an unexpected status code into an error.
fn rejected(status: u16, body: &[u8]) -> CallError {
    CallError::Rejected(status, String::from_utf8_lossy(body).into_owned())
}
