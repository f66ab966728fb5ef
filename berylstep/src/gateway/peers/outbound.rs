//! Which pulse goes where.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_wire::{FleetPulse, ZoneSummary};

use super::{PeerRow, PeerTable};

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
    /// A follower tells the representatives of its zone. A representative tells all others, and its
    /// followers. The first of a zone speaks for its followers each time, the others now and then,
    /// in case that it can't be heard everywhere. Other zones hear usage only where it may be
    /// reported.
    pub fn outbound(&self, pulse: &FleetPulse, now: Duration) -> Vec<PulseGroup> {
        let representatives = self.representatives(now);
        let others = representatives.iter().filter(|node| node.node != self.own.node);
        let Some(place) = self.place_in_zone(now) else {
            let near = others.filter(|node| node.zone == self.own.zone);
            let addresses = near.map(|node| node.peer_address).collect();
            return vec![PulseGroup { pulse: pulse.clone(), addresses }];
        };
        let followers = self.followers(now);
        let heirs = self.duty_heirs(now);
        let (heirs, others): (Vec<_>, Vec<_>) = others.partition(|node| heirs.contains(&node.node));
        let spoken_for = self.spoken_for(&followers, place, pulse.sequence);
        let without_usage =
            spoken_for.clone().map(|summary| ZoneSummary { usage: Vec::new(), ..summary });
        let to_followers =
            FleetPulse { zones: self.all_zones(pulse, now), usage: Vec::new(), ..pulse.clone() };
        vec![
            PulseGroup {
                pulse: FleetPulse { spoken_for, ..pulse.clone() },
                addresses: heirs.iter().map(|node| node.peer_address).collect(),
            },
            PulseGroup {
                pulse: FleetPulse { spoken_for: without_usage, usage: Vec::new(), ..pulse.clone() },
                addresses: others.iter().map(|node| node.peer_address).collect(),
            },
            PulseGroup {
                pulse: to_followers,
                addresses: followers.iter().map(|row| row.address).collect(),
            },
        ]
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
