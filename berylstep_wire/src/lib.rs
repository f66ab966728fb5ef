//! Messages between berylstep nodes and the framing that carries them.

pub mod codec;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

pub use generated::*;

/// Version of the peer protocol; nodes accept any peer that speaks at least [`MIN_PROTOCOL_VERSION`].
pub const PROTOCOL_VERSION: u32 = 1;

/// Oldest version of the peer protocol that this build understands.
pub const MIN_PROTOCOL_VERSION: u32 = 1;
