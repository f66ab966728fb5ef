//! Which pulse goes where.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_wire::{FleetPulse, ZoneSummary};

use super::{KnownNode, PeerRow, PeerTable};

/// Pulses between two in which a representative that is not the first of its zone speaks for its
/// followers, and between two in which any tells their usage; within the time for which what was
/// told is kept.
const STANDBY_EVERY: u64 = 4;

/// A pulse and where it goes.
#[derive(Clone, Debug)]
pub struct PulseGroup {
    /// The pulse.
    pub pulse: FleetPulse,
    /// Addresses.
    pub addresses: Vec<SocketAddr>,
}

impl PeerTable {
    /// Pulses to the nodes that this one tells regularly, of which `pulse` tells of itself.
    ///
    /// A follower tells the representatives of its zone, and all of them while it holds the duties.
    /// A representative tells all others, and its followers. The first of a zone speaks for its
    /// followers each time, the others now and then, in case that it can't be heard everywhere.
    /// Usage is told where it may be reported.
    pub fn outbound(&self, pulse: &FleetPulse, now: Duration) -> Vec<PulseGroup> {
        let representatives = self.representatives(now);
        let others = representatives.iter().filter(|node| node.node != self.own.node);
        let Some(place) = self.place_in_zone(now) else {
            let is_holder = pulse.duty_fencing > 0;
            let near = others.filter(|node| is_holder || node.zone == self.own.zone);
            return vec![PulseGroup { pulse: pulse.clone(), addresses: addresses(near) }];
        };
        let followers = self.followers(now);
        let heirs = self.duty_heirs(now);
        let outside = self.outside_heirs(&heirs, &representatives, now);
        let (heirs, others): (Vec<_>, Vec<_>) = others.partition(|node| heirs.contains(&node.node));
        let spoken_for = self.spoken_for(&followers, place, pulse.sequence);
        let without_usage =
            spoken_for.clone().map(|summary| ZoneSummary { usage: Vec::new(), ..summary });
        let zones = self.all_zones(pulse, now);
        let followers = followers.iter().map(|row| row.address);
        vec![
            PulseGroup {
                pulse: FleetPulse { spoken_for: spoken_for.clone(), ..pulse.clone() },
                addresses: addresses(heirs.into_iter()),
            },
            PulseGroup {
                pulse: FleetPulse { spoken_for: without_usage, usage: Vec::new(), ..pulse.clone() },
                addresses: addresses(others.into_iter()),
            },
            PulseGroup {
                pulse: FleetPulse { zones: zones.clone(), usage: Vec::new(), ..pulse.clone() },
                addresses: followers.filter(|address| !outside.contains(address)).collect(),
            },
            PulseGroup {
                pulse: FleetPulse { zones, spoken_for, ..pulse.clone() },
                addresses: outside,
            },
        ]
    }

    /// Addresses of heirs that are not representatives: a node that still holds the duties.
    fn outside_heirs(
        &self,
        heirs: &[SharedName],
        representatives: &[KnownNode],
        now: Duration,
    ) -> Vec<SocketAddr> {
        let is_outside = |row: &PeerRow| {
            let name = &*row.pulse.node;
            heirs.iter().any(|heir| **heir == *name)
                && !representatives.iter().any(|node| *node.node == *name)
        };
        let outside = self.live_rows(now).into_iter().filter(is_outside);
        outside.map(|row| row.address).collect()
    }

    /// What a representative tells of its followers with the pulse of this number, if anything.
    fn spoken_for(
        &self,
        followers: &[PeerRow],
        place: usize,
        sequence: u64,
    ) -> Option<ZoneSummary> {
        let is_turn = sequence % STANDBY_EVERY == place as u64 % STANDBY_EVERY;
        let speaks = !followers.is_empty() && (place == 0 || is_turn);
        speaks.then(|| self.followers_summary(followers, is_turn))
    }
}

fn addresses<'a>(nodes: impl Iterator<Item = &'a KnownNode>) -> Vec<SocketAddr> {
    nodes.map(|node| node.peer_address).collect()
}
