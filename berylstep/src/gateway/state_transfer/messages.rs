//! Conversion of manifests, digests and holders from and to messages.

use std::net::{IpAddr, SocketAddr};

use berylstep_core::fleet::document::{DocumentManifest, PieceDigest, PieceEntry, DIGEST_BYTES};
use berylstep_wire::PieceHolder;

use crate::gateway::peers::DocumentHolder;

/// Largest document that a node assembles, in bytes; the store takes less.
const MAX_DOCUMENT_BYTES: usize = 64 << 20;

/// Returns the message that describes the pieces of a document.
pub fn manifest_message(manifest: &DocumentManifest) -> berylstep_wire::DocumentManifest {
    let digests = manifest.pieces.iter().map(|piece| piece.digest);
    berylstep_wire::DocumentManifest {
        digests: digest_bytes(digests),
        sizes: manifest.pieces.iter().map(|piece| piece.bytes as u32).collect(),
    }
}

/// Reads the manifest of the version `version`; `None` if it is malformed or describes a document that is too
/// large.
pub fn read_manifest(
    version: u64,
    message: &berylstep_wire::DocumentManifest,
) -> Option<DocumentManifest> {
    let digests = read_digests(&message.digests)?;
    let sizes = message.sizes.iter().map(|bytes| *bytes as usize);
    if digests.len() != sizes.len() || sizes.clone().sum::<usize>() > MAX_DOCUMENT_BYTES {
        return None;
    }
    let pieces = digests.into_iter().zip(sizes);
    let pieces = pieces.map(|(digest, bytes)| PieceEntry { digest, bytes });
    Some(DocumentManifest { version, pieces: pieces.collect() })
}

/// Returns digests one after the other.
pub fn digest_bytes(digests: impl Iterator<Item = PieceDigest>) -> Vec<u8> {
    digests.flat_map(|digest| digest.as_bytes().to_vec()).collect()
}

/// Reads digests that stand one after the other; `None` if the last one is incomplete.
pub fn read_digests(bytes: &[u8]) -> Option<Vec<PieceDigest>> {
    bytes.chunks(DIGEST_BYTES).map(PieceDigest::from_bytes).collect()
}

/// Returns the message that names a node which answers queries for pieces.
pub fn holder_message(holder: &DocumentHolder) -> PieceHolder {
    let ip = match holder.address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    PieceHolder { ip, port: holder.address.port().into(), slots: holder.slots }
}

/// Reads the address and the number of queries that a node answers at once; `None` if the address is malformed.
pub fn read_holder(message: &PieceHolder) -> Option<(SocketAddr, u32)> {
    let v4 = <[u8; 4]>::try_from(&*message.ip).map(IpAddr::from);
    let ip = v4.or_else(|_| <[u8; 16]>::try_from(&*message.ip).map(IpAddr::from)).ok()?;
    Some((SocketAddr::new(ip, message.port.try_into().ok()?), message.slots))
}
