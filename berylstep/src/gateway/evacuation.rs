//! Evacuated zones, as this node knows them from the store or from its peers.

use berylstep_core::fleet::evacuation::EvacuatedZones;
use berylstep_core::fleet::position::StorePosition;
use berylstep_wire::EvacuationState;

use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::mirror::{StateSource, StoreMirror};
use crate::gateway::request::RequestHandler;

/// Largest number of zones that a message names.
const MAX_ZONES: usize = 64;

/// Longest name of a zone that a message carries, in bytes.
const MAX_ZONE_BYTES: usize = 64;

impl StoreMirror {
    /// Replaces the evacuated zones by those as of `position`, unless newer ones are known.
    pub fn replace_evacuated(
        &self,
        zones: EvacuatedZones,
        position: StorePosition,
        source: StateSource,
    ) {
        let previous = self.evacuation.borrow_mut().replace(zones, position);
        self.apply_evacuated(previous, source);
    }

    /// Applies a change of one row of the operator.
    pub fn change_evacuated(&self, zone: &str, is_evacuated: bool, position: StorePosition) {
        let previous = self.evacuation.borrow_mut().change(zone, is_evacuated, position);
        self.apply_evacuated(previous, StateSource::Store);
    }

    /// Applies what a peer knows, if it knows more than this node.
    pub fn apply_evacuation(&self, message: Option<&EvacuationState>) {
        let Some(message) = message else { return };
        // A peer that has missed the end of an evacuation learns of it from this node's answer.
        self.has_seen_evacuation.set(true);
        let zones = message.zones.iter().map(|zone| (&**zone).into()).collect();
        let position = StorePosition::new(message.era, message.revision);
        self.replace_evacuated(zones, position, StateSource::Peer);
    }

    /// Returns the evacuated zones for peers; `None` if no zone has been evacuated since this node started.
    pub fn evacuation_message(&self) -> Option<EvacuationState> {
        let record = self.evacuation.borrow();
        if !self.has_seen_evacuation.get() {
            return None;
        }
        let names = record.zones().names().into_iter();
        let names = names.filter(|name| name.len() <= MAX_ZONE_BYTES).take(MAX_ZONES);
        Some(EvacuationState {
            era: record.position().era,
            revision: record.position().revision,
            zones: names.map(|name| name.to_string()).collect(),
        })
    }

    /// Puts a change into force; `previous` are the zones before.
    fn apply_evacuated(&self, previous: Option<EvacuatedZones>, source: StateSource) {
        let Some(previous) = previous else { return };
        let record = self.evacuation.borrow();
        let zones = record.zones().clone();
        for zone in zones.without(&previous).names() {
            log::warn!("event=evacuation_begun zone={} source={source:?}", zone.escape_debug());
        }
        for zone in previous.without(&zones).names() {
            log::warn!("event=evacuation_ended zone={} source={source:?}", zone.escape_debug());
        }
        self.has_seen_evacuation.set(true);
        self.replicas.borrow_mut().set_evacuated(zones, self.now());
        self.changed.notify();
    }
}

impl RequestHandler {
    /// Returns whether the zone of a replica is evacuated.
    pub(super) fn is_evacuated(&self, target: &ReplicaTarget) -> bool {
        let replicas = self.mirror.replicas.borrow();
        let zone = replicas.get(&target.id).map(|row| &row.entry.zone);
        zone.is_some_and(|zone| replicas.evacuated().contains(zone))
    }
}
