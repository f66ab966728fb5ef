//! Decodes the entries with which replicas register themselves in the store.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState};
use serde::de::Error;
use serde::Deserialize;

/// Table that stores the entries of replicas, keyed by replica identifier.
pub const REPLICA_TABLE: &str = "servers";

/// Entry written by a replica; entries of other writers may lack fields or have mistyped ones.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct EntryBody {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Replicas that name none count as one version.
    #[serde(default)]
    version: String,
    slots: NonZeroU32,
    state: StateBody,
    /// Whether the platform may reclaim the replica, together with its zone.
    #[serde(default)]
    spot: bool,
    /// Time in milliseconds until a draining replica stops; spelled in lower case by the platform.
    #[serde(rename = "leaves_ms", default)]
    leaves_ms: Option<f64>,
    /// Start of the replica's process; spelled in lower case by the platform.
    #[serde(rename = "born", default)]
    born: u64,
    /// Time in milliseconds for which the replica stays cold; of any type, because an entry that misstates it
    /// is still that of a replica.
    #[serde(default)]
    cold_remaining_ms: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateBody {
    Ready,
    Draining,
}

/// Decodes the entry of the replica `id`; a missing or mistyped field is an error, as is an identifier that
/// can't be sent in a header, or an address that requests can't be sent to.
pub fn decode_entry(id: &str, content: &[u8]) -> Result<ReplicaEntry, serde_json::Error> {
    decode_cold_entry(id, content).map(|(entry, _)| entry)
}

/// Decodes an entry like [`decode_entry`], with the time for which the replica stays cold; `None` if the entry
/// says nothing of it.
pub fn decode_cold_entry(
    id: &str,
    content: &[u8],
) -> Result<(ReplicaEntry, Option<Duration>), serde_json::Error> {
    let body: EntryBody = serde_json::from_slice(content)?;
    if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Error::custom("identifier is empty or not printable"));
    }
    let (ip, port) = (body.address.ip(), body.address.port());
    if port == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(Error::custom("address accepts no connections"));
    }
    let cold = body.cold_remaining_ms.as_f64().filter(|ms| *ms >= 0.0);
    let cold = cold.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    let entry = ReplicaEntry {
        id: id.into(),
        service: body.service.into(),
        address: body.address,
        zone: body.zone.into(),
        version: body.version.into(),
        slots: body.slots.get(),
        state: match body.state {
            StateBody::Ready => ReplicaState::Ready,
            StateBody::Draining => ReplicaState::Draining,
        },
        spot: body.spot,
        leaves_in: body.leaves_ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok()),
        born: body.born,
    };
    Ok((entry, cold))
}
