//! Evacuated availability zones, whose replicas get nothing new.

use crate::collections::{HashSet, SharedName};
use crate::fleet::position::StorePosition;

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

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the names of the zones, sorted.
    pub fn names(&self) -> Vec<SharedName> {
        let mut names: Vec<_> = self.zones.iter().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Returns the zones of `self` that are not in `other`.
    pub fn without(&self, other: &Self) -> Self {
        self.zones.difference(&other.zones).cloned().collect()
    }
}

impl FromIterator<SharedName> for EvacuatedZones {
    fn from_iter<I: IntoIterator<Item = SharedName>>(names: I) -> Self {
        Self { zones: names.into_iter().collect() }
    }
}

/// Evacuated zones as of a position in the history of the store.
///
/// A node that follows the store reads them there; all others take them from any node that knows them as of a
/// newer position. Without the store the last known ones remain in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationRecord {
    zones: EvacuatedZones,
    position: StorePosition,
}

impl EvacuationRecord {
    /// Returns the zones in force.
    pub fn zones(&self) -> &EvacuatedZones {
        &self.zones
    }

    /// Returns the position of which they are known.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Replaces the zones by those as of `position`; returns those in force before if they have changed.
    pub fn replace(
        &mut self,
        zones: EvacuatedZones,
        position: StorePosition,
    ) -> Option<EvacuatedZones> {
        if position <= self.position {
            return None;
        }
        self.position = position;
        (zones != self.zones).then(|| std::mem::replace(&mut self.zones, zones))
    }

    /// Applies a change of one row at `position`; returns the zones in force before if they have changed.
    pub fn change(
        &mut self,
        zone: &str,
        is_evacuated: bool,
        position: StorePosition,
    ) -> Option<EvacuatedZones> {
        let others = self.zones.zones.iter().filter(|name| ***name != *zone).cloned();
        let zones = others.chain(is_evacuated.then(|| zone.into())).collect();
        self.replace(zones, position)
    }
}
