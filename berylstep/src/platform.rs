//! Adapter to the platform of the fleets that berylstep is deployed on.
//!
//! It knows the names, formats and calls of that platform and translates them into the product's
//! types; it decides nothing, and nothing outside it knows those names.

pub mod cloud;
pub mod desired;
pub mod endpoints;
pub mod engines;
pub mod entries;
pub mod headers;
pub mod store;

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_http::{ClientResponse, ExchangeError};
use displaydoc::Display;
use http_types::{Method, Request, Url};

use crate::clock::RuntimeClock;
use crate::connections::{ConnectionChoice, ConnectionPool};

/// Longest time to connect; the platform is within the region, so that a lost packet shows in less.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an unacknowledged connection is given up; below the time within which a node
/// has to notice that a connection has gone silent.
const LOSS_DETECTION: Duration = Duration::from_millis(1200);

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// not connected: {0}
    NotSent(String),
    /// no answer, the call may have taken effect: {0}
    AnswerLost(String),
    /// turned away with status {0}, the call had no effect
    TurnedAway(u16),
    /// rejected with status {0}: {1}
    Rejected(u16, String),
    /// answer cannot be decoded: {0}
    Malformed(String),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether the receiver has seen a newer fencing token.
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

/// HTTP calls to one service of the platform.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    clock: RuntimeClock,
    connections: ConnectionPool,
}

/// Status and body of an answer.
type CallAnswer = (u16, Vec<u8>);

impl PlatformClient {
    /// Talks to the service at `address`.
    pub fn new(address: SocketAddr, clock: RuntimeClock) -> Self {
        let pool = ConnectionPool::new(clock.clone(), CONNECT_TIMEOUT);
        Self { address, clock, connections: pool.with_loss_detection(LOSS_DETECTION) }
    }

    /// Builds a call of `path` with a query.
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

    /// Makes a call that is given up after `limit`; a status that says that nothing was done is an
    /// error.
    async fn call(&self, request: Request, limit: Duration) -> Result<CallAnswer, CallError> {
        let exchanged = self.clock.timeout(limit, self.exchange(request)).await;
        match exchanged {
            Some(Ok((TOO_MANY_REQUESTS, _))) => Err(CallError::TurnedAway(TOO_MANY_REQUESTS)),
            Some(Ok((UNAVAILABLE, _))) => Err(CallError::TurnedAway(UNAVAILABLE)),
            Some(answer) => answer,
            None => Err(CallError::AnswerLost("timeout".to_owned())),
        }
    }

    async fn exchange(&self, request: Request) -> Result<CallAnswer, CallError> {
        let exchanged = self.connections.exchange(self.address, request, ConnectionChoice::Any);
        let ClientResponse { mut response, reuse } = exchanged.await?;
        let body = response.body_bytes().await;
        let body = body.map_err(|err| CallError::AnswerLost(err.to_string()))?;
        let status = response.status().into();
        self.connections.release(self.address, reuse);
        Ok((status, body))
    }
}

/// Turns an unexpected status into an error.
fn rejected(status: u16, body: &[u8]) -> CallError {
    CallError::Rejected(status, String::from_utf8_lossy(body).into_owned())
}
