//! Calls to model engines that move running requests between replicas.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use serde::{Deserialize, Serialize};

use super::headers::MovedRun;
use super::store::{decode, encode};
use super::{rejected, CallError, PlatformClient, TOO_MANY_REQUESTS, UNAVAILABLE};

/// Timeout of a move; a long prompt takes a few milliseconds on an idle link, but queues behind
/// other moves.
const MOVE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a report, which an engine answers without a slot. One that is silent for longer is passed over.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;

/// Phase of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MovePhase {
    /// The run continues while its KV cache is copied.
    Copy,
    /// The run stops, and the rest of its KV cache is copied.
    Stop,
}

/// Where the KV cache of a run is after a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveOutcome {
    /// At the other engine.
    Moved(MovedRun),
    /// Still at this engine, which has stopped the run.
    Kept(MovedRun),
}

/// Returns whether the engine may have stopped the run, after a call with [`MovePhase::Stop`]. It
/// stops a run before it copies the rest, so a run may be stopped although the copy failed.
pub fn may_have_stopped(stopped: &Result<MoveOutcome, CallError>) -> bool {
    match stopped {
        Ok(_) | Err(CallError::AnswerLost(_) | CallError::Malformed(_) | CallError::Refused(_)) => {
            true
        }
        Err(CallError::NotSent(_)) => false,
        // The engine has no such run, or another call is moving it.
        Err(CallError::Rejected(status, _)) => !matches!(*status, NOT_FOUND | CONFLICT),
    }
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct MoveBody<'a> {
    id: &'a str,
    to: SocketAddr,
    last: bool,
}

#[derive(Deserialize)]
struct ReportBody {
    /// Start of the process; spelled in lower case by the platform.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct MovedBody {
    handle: String,
}

impl PlatformClient {
    /// Returns the start of the engine's process in milliseconds since the Unix epoch; `None` if it
    /// doesn't tell.
    pub async fn process_start(&self) -> Result<Option<u64>, CallError> {
        let request = self.request(Method::Get, "/v1/report", &[])?;
        match self.call(request, REPORT_TIMEOUT).await? {
            (OK, body) => {
                let report: ReportBody = decode(&body)?;
                Ok(Some(report.born).filter(|born| *born > 0))
            }
            (status, body) => Err(rejected(status, &body)),
        }
    }

    /// Copies the KV cache of the request `request_id` from this engine to the engine at `to`. An engine that
    /// has stopped the run although the other has no room keeps its KV cache.
    pub async fn move_run(
        &self,
        request_id: &str,
        to: SocketAddr,
        phase: MovePhase,
    ) -> Result<MoveOutcome, CallError> {
        let mut request = self.request(Method::Post, "/v1/kv-move", &[])?;
        let last = phase == MovePhase::Stop;
        request.set_body(encode(&MoveBody { id: request_id, to, last })?);
        request.set_content_type(http_types::mime::JSON);
        let exchanging = Box::pin(self.exchange(request, MOVE_TIMEOUT));
        let exchanged = self.clock.timeout(MOVE_TIMEOUT, exchanging).await;
        let Some(exchanged) = exchanged else {
            return Err(CallError::AnswerLost("timeout".to_owned()));
        };
        let (status, body, _) = exchanged?;
        let run = decode::<MovedBody>(&body)
            .map(|moved| MovedRun { source: self.address, handle: moved.handle });
        match status {
            OK => run.map(MoveOutcome::Moved),
            UNAVAILABLE if last => {
                run.map(MoveOutcome::Kept).map_err(|_| CallError::Refused(status))
            }
            TOO_MANY_REQUESTS | UNAVAILABLE => Err(CallError::Refused(status)),
            status => Err(rejected(status, &body)),
        }
    }
}
