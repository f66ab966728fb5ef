//! Calls to model engines.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use serde::{Deserialize, Serialize};

use super::headers::MovedRun;
use super::store::{decode, encode};
use super::{rejected, CallError, PlatformClient};

/// Longest time for a move: a long prompt takes some milliseconds on an idle link, and queues
/// behind the moves of other runs.
const MOVE_TIMEOUT: Duration = Duration::from_millis(900);

const OK: u16 = 200;

/// Which part of a move is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MovePhase {
    /// The run goes on while its memory is copied.
    Copy,
    /// The run stops, and what is new is copied.
    Stop,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct MoveBody<'a> {
    id: &'a str,
    to: SocketAddr,
    last: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct MovedBody {
    handle: String,
}

impl PlatformClient {
    /// Copies the memory of the run of `request_id` at this engine to the engine at `to`.
    pub async fn move_run(
        &self,
        request_id: &str,
        to: SocketAddr,
        phase: MovePhase,
    ) -> Result<MovedRun, CallError> {
        let mut request = self.request(Method::Post, "/v1/kv-move", &[])?;
        let last = phase == MovePhase::Stop;
        request.set_body(encode(&MoveBody { id: request_id, to, last })?);
        request.set_content_type(http_types::mime::JSON);
        match self.call(request, MOVE_TIMEOUT).await? {
            (OK, body) => {
                let moved: MovedBody = decode(&body)?;
                Ok(MovedRun { source: self.address, handle: moved.handle })
            }
            (status, body) => Err(rejected(status, &body)),
        }
    }
}
