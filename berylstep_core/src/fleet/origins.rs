//! Versions of the software of replicas. What two versions stream doesn't fit together, so a stream
//! goes on only at the version that began it.

use crate::fleet::replica::ReplicaRow;
use crate::rendezvous;

/// Hash of a service and a version of the software of its replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionId(pub u32);

impl VersionId {
    /// Returns the identifier of a version of a service.
    pub fn new(service: &str, version: &str) -> Self {
        Self(rendezvous::score(service, version) as u32)
    }
}

/// Version at which a request must run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionPin {
    /// No event of the stream has reached the caller.
    #[default]
    Any,
    /// The version that began the stream.
    Only(VersionId),
}

impl VersionPin {
    /// Returns whether the request may run at a replica.
    pub fn admits(self, row: &ReplicaRow) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => row.version == version,
        }
    }
}
