//! Origins of streams as messages between nodes, which the store holds too.

use std::time::Duration;

use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::origins::{StreamKey, StreamOrigin, VersionId};

/// Returns the message that tells an origin, which is kept for `retention`.
pub fn origin_message(
    key: StreamKey,
    origin: StreamOrigin,
    retention: Duration,
) -> berylstep_wire::StreamOrigin {
    berylstep_wire::StreamOrigin {
        stream: key.0,
        version: origin.version.0,
        replica: origin.process.replica,
        born: origin.process.born,
        seen_unix_ms: origin.seen_ms,
        retention_ms: u32::try_from(retention.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Returns the origin that a message tells.
pub fn read_origin(message: &berylstep_wire::StreamOrigin) -> StreamOrigin {
    StreamOrigin {
        version: VersionId(message.version),
        process: ProcessId { replica: message.replica, born: message.born },
        seen_ms: message.seen_unix_ms,
    }
}
