//! Selects the recipients of each pulse and the fields that they receive.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_wire::{FleetPulse, ZoneSummary};

use super::{KnownNode, PeerRow, PeerTable};

/// Interval, in pulses, at which a standby representative sends the summary of its zone's
/// followers, and at which any representative includes their usage. Shorter than the retention of a
/// received summary.
const STANDBY_PULSE_INTERVAL: u64 = 4;

/// A pulse and its recipients.
#[derive(Clone, Debug)]
pub struct PulseGroup {
    /// Content, the same for every recipient.
    pub pulse: FleetPulse,
    /// Peer addresses of the recipients.
    pub addresses: Vec<SocketAddr>,
}

impl PeerTable {
    /// Returns the pulses for the regular recipients, derived from this node's own `pulse`.
    ///
    /// A follower sends to the representatives of its zone, and to those of all zones while it
    /// holds the duties. A representative sends to all other representatives and to its followers.
    /// The first representative of a zone sends the summary of its followers with every pulse; the
    /// others do so at intervals, in case the first is unreachable from some nodes. Usage is sent
    /// only to nodes that may report it.
    pub fn outbound(&self, pulse: &FleetPulse, now: Duration) -> Vec<PulseGroup> {
        let representatives = self.representatives(now);
        let others = representatives.iter().filter(|node| node.node != self.own.node);
        let Some(rank) = self.rank_in_zone(now) else {
            let is_holder = pulse.duty_fencing > 0;
            let recipients = others.filter(|node| is_holder || node.zone == self.own.zone);
            return vec![PulseGroup { pulse: pulse.clone(), addresses: addresses(recipients) }];
        };
        let followers = self.followers(now);
        let reporters = self.usage_reporters(now);
        let outside = self.outside_reporters(&reporters, &representatives, now);
        let (reporters, others): (Vec<_>, Vec<_>) =
            others.partition(|node| reporters.contains(&node.node));
        let spoken_for = self.summary_to_send(&followers, rank, pulse.sequence);
        let without_usage =
            spoken_for.clone().map(|summary| ZoneSummary { usage: Vec::new(), ..summary });
        let zones = self.all_zones(pulse, now);
        let followers = followers.iter().map(|row| row.address);
        vec![
            PulseGroup {
                pulse: FleetPulse { spoken_for: spoken_for.clone(), ..pulse.clone() },
                addresses: addresses(reporters.into_iter()),
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

    /// Returns the addresses of usage reporters that are not representatives, such as a node that
    /// still holds the duties.
    fn outside_reporters(
        &self,
        reporters: &[SharedName],
        representatives: &[KnownNode],
        now: Duration,
    ) -> Vec<SocketAddr> {
        let is_outside = |row: &PeerRow| {
            let name = &*row.pulse.node;
            reporters.iter().any(|reporter| **reporter == *name)
                && !representatives.iter().any(|node| *node.node == *name)
        };
        let outside = self.live_rows(now).into_iter().filter(is_outside);
        outside.map(|row| row.address).collect()
    }

    /// Returns the summary of the followers for the pulse `sequence`; `None` if this representative
    /// sends none.
    fn summary_to_send(
        &self,
        followers: &[PeerRow],
        rank: usize,
        sequence: u64,
    ) -> Option<ZoneSummary> {
        let is_turn = sequence % STANDBY_PULSE_INTERVAL == rank as u64 % STANDBY_PULSE_INTERVAL;
        let sends_summary = !followers.is_empty() && (rank == 0 || is_turn);
        sends_summary.then(|| self.followers_summary(followers, is_turn))
    }
}

fn addresses<'a>(nodes: impl Iterator<Item = &'a KnownNode>) -> Vec<SocketAddr> {
    nodes.map(|node| node.peer_address).collect()
}
