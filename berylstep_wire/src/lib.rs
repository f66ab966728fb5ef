//! Messages between berylstep nodes and their framing.

pub mod codec;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

pub use generated::*;

/// Version of the peer protocol of this build.
///
/// Nodes accept any peer whose version is at least [`MIN_PROTOCOL_VERSION`].
pub const PROTOCOL_VERSION: u32 = 1;

/// Oldest supported version of the peer protocol.
pub const MIN_PROTOCOL_VERSION: u32 = 1;
