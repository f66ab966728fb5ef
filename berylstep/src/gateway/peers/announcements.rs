//! How far the peers have read the store, as their pulses announce.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::position::StorePosition;

use super::{live, PeerRow, PeerTable};

/// A peer that has a desired state and hands it on in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentHolder {
    /// Address for queries.
    pub address: SocketAddr,
    /// Number of queries that it answers at once.
    pub slots: u32,
    /// Whether it is in this node's availability zone.
    pub is_local: bool,
}

impl PeerRow {
    /// Returns the position of the list of replicas that the peer knows.
    fn position(&self) -> StorePosition {
        StorePosition::new(self.pulse.store_era, self.pulse.replica_revision)
    }
}

impl PeerTable {
    /// Returns the newest version of the desired state that a live peer announces; 0 if there is none.
    pub fn newest_desired(&self, now: Duration) -> u64 {
        let rows = self.rows.borrow();
        live(&rows, now).map(|row| row.pulse.desired_version).max().unwrap_or_default()
    }

    /// Returns the newest position of the list of replicas that a live peer announces.
    pub fn newest_position(&self, now: Duration) -> StorePosition {
        let rows = self.rows.borrow();
        live(&rows, now).map(PeerRow::position).max().unwrap_or_default()
    }

    /// Returns the live peers that announce the version `desired` of the desired state or a newer one and answer
    /// queries for its pieces.
    pub fn document_holders(&self, desired: u64, now: Duration) -> Vec<DocumentHolder> {
        let rows = self.rows.borrow();
        let holders = live(&rows, now)
            .filter(|row| row.pulse.desired_version >= desired && row.pulse.piece_slots > 0);
        let holder = |row: &PeerRow| DocumentHolder {
            address: row.address,
            slots: row.pulse.piece_slots,
            is_local: *row.pulse.zone == *self.own.zone,
        };
        holders.map(holder).collect()
    }

    /// Returns the name and address of the peer furthest ahead of the desired-state version
    /// `desired` or the position `replicas` of the list of replicas. Peers that are `avoided` come last.
    pub fn most_advanced(
        &self,
        desired: u64,
        replicas: StorePosition,
        avoided: impl Fn(&str) -> bool,
        now: Duration,
    ) -> Option<(SharedName, SocketAddr)> {
        let rows = self.rows.borrow();
        let ahead = live(&rows, now)
            .filter(|row| row.pulse.desired_version > desired || row.position() > replicas);
        let furthest = ahead.max_by_key(|row| {
            let is_preferred = !avoided(&row.pulse.node);
            // Nodes that are behind at the same time ask different ones of those that are equally far.
            (is_preferred, row.pulse.desired_version, row.position(), fastrand::u32(..))
        })?;
        Some(((&*furthest.pulse.node).into(), furthest.address))
    }
}
