//! Evacuated availability zones, whose replicas get nothing new.

use crate::collections::{HashSet, SharedName};

/// Zones that the operator has asked to evacuate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    zones: HashSet<SharedName>,
}

impl EvacuatedZones {
    /// Returns whether the replicas of a zone get nothing new.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }
}
