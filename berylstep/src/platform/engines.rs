//! Calls to model engines that move running requests between replicas.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use serde::{Deserialize, Serialize};

use super::headers::MovedRun;
use super::store::{decode, encode};
use super::{rejected, CallError, PlatformClient};

/// Timeout of a move; a long prompt takes a few milliseconds on an idle link, but queues behind
/// other moves.
const MOVE_TIMEOUT: Duration = Duration::from_millis(900);

const OK: u16 = 200;

/// Phase of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MovePhase {
    /// The run continues while its KV cache is copied.
    Copy,
    /// The run stops, and the rest of its KV cache is copied.
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
    /// Copies the KV cache of the request `request_id` from this engine to the engine at `to`.
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
