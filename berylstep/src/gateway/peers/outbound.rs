//! Selects the recipients of each pulse and the fields that they receive.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_wire::{FleetPulse, ReplicaDelta, RunUsage, ZoneSummary};

use super::sums::SummaryBuilder;
use super::view::FleetView;
use super::{live, KnownNode, PeerTable};

/// Interval, in pulses, at which a standby representative sends the summary of its zone's
/// followers, and at which any representative includes their usage. Shorter than the retention of a
/// received summary.
const STANDBY_PULSE_INTERVAL: u64 = 4;

/// Interval, in pulses, at which a standby representative sends to its followers; two of these
/// pulses may be lost before it no longer counts as live.
const STANDBY_CONTACT_INTERVAL: u64 = 2;

/// Maximum size of the usage in one datagram, in bytes. A summary with more is continued in further
/// datagrams.
const MAX_USAGE_BYTES: usize = 16 * 1024;

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
    /// The first representative of a zone sends sums with every pulse; the others do so at
    /// intervals, in case the first is unreachable from some nodes. Usage is sent only to nodes
    /// that may report it; changes of the replica list, `delta`, only to followers.
    pub fn outbound(
        &self,
        pulse: &FleetPulse,
        delta: Option<ReplicaDelta>,
        now: Duration,
    ) -> Vec<PulseGroup> {
        let view = self.view(now);
        let others = view.representatives.iter().filter(|node| node.node != self.own.node);
        let Some(rank) = view.rank else {
            let is_holder = pulse.duty_fencing > 0;
            let recipients = others.filter(|node| is_holder || node.zone == self.own.zone);
            return vec![PulseGroup { pulse: pulse.clone(), addresses: addresses(recipients) }];
        };
        let reporters = self.usage_reporters(now);
        let outside = self.outside_reporters(&reporters, &view, now);
        let (reporters, others): (Vec<_>, Vec<_>) =
            others.partition(|node| reporters.contains(&node.node));
        let is_turn =
            pulse.sequence % STANDBY_PULSE_INTERVAL == rank as u64 % STANDBY_PULSE_INTERVAL;
        let spoken_for = (rank == 0 || is_turn).then(|| self.followers_summary(&view, now));
        let spoken_for = spoken_for.filter(|summary| summary.nodes > 0);
        let usage = if is_turn { self.followers_usage(&view, now) } else { Vec::new() };
        let mut usage = usage_chunks(usage).into_iter();
        let with_usage = spoken_for
            .clone()
            .map(|summary| ZoneSummary { usage: usage.next().unwrap_or_default(), ..summary });
        let sends_sums = rank == 0 || is_turn;
        let fleet = (sends_sums || !outside.is_empty()).then(|| self.fleet_summary(pulse, now));
        let to_outside = FleetPulse {
            fleet: fleet.clone(),
            replica_delta: delta.clone(),
            spoken_for: with_usage.clone(),
            ..pulse.clone()
        };
        let to_follower = FleetPulse {
            fleet: fleet.filter(|_| sends_sums),
            replica_delta: delta,
            usage: Vec::new(),
            ..pulse.clone()
        };
        let mut groups = vec![
            PulseGroup {
                pulse: FleetPulse { spoken_for: with_usage, ..pulse.clone() },
                addresses: addresses(reporters.iter().copied()),
            },
            PulseGroup {
                pulse: FleetPulse { spoken_for, usage: Vec::new(), ..pulse.clone() },
                addresses: addresses(others.into_iter()),
            },
            PulseGroup { pulse: to_outside, addresses: outside.clone() },
        ];
        if rank == 0 || pulse.sequence % STANDBY_CONTACT_INTERVAL == 0 {
            let followers = self.follower_addresses(&view, now);
            let addresses = followers.into_iter().filter(|to| !outside.contains(to)).collect();
            groups.push(PulseGroup { pulse: to_follower, addresses });
        }
        let mut reporters = addresses(reporters.into_iter());
        reporters.extend(outside);
        groups.extend(usage.map(|usage| PulseGroup {
            pulse: usage_continuation(pulse, &self.own.zone, usage),
            addresses: reporters.clone(),
        }));
        groups
    }

    /// Returns the addresses of usage reporters that are not representatives, such as a node that
    /// still holds the duties.
    fn outside_reporters(
        &self,
        reporters: &[SharedName],
        view: &FleetView,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let rows = self.rows.borrow();
        let outside = live(&rows, now).filter(|row| {
            let name = &*row.pulse.node;
            !view.is_representative(name) && reporters.iter().any(|reporter| **reporter == *name)
        });
        outside.map(|row| row.address).collect()
    }

    fn follower_addresses(&self, view: &FleetView, now: Duration) -> Vec<SocketAddr> {
        let rows = self.rows.borrow();
        self.followers(&rows, view, now).map(|row| row.address).collect()
    }

    /// Returns the live followers in this node's zone.
    fn followers<'a>(
        &'a self,
        rows: &'a super::PeerRows,
        view: &'a FleetView,
        now: Duration,
    ) -> impl Iterator<Item = &'a super::PeerRow> {
        live(rows, now).filter(|row| {
            *row.pulse.zone == *self.own.zone && !view.is_representative(&row.pulse.node)
        })
    }

    /// Sums the state of the followers.
    fn followers_summary(&self, view: &FleetView, now: Duration) -> ZoneSummary {
        let rows = self.rows.borrow();
        let mut builder = SummaryBuilder::default();
        self.followers(&rows, view, now).for_each(|row| builder.add_pulse(&row.pulse));
        builder.build(&self.own.zone)
    }

    /// Returns the latest usage of the followers.
    fn followers_usage(&self, view: &FleetView, now: Duration) -> Vec<RunUsage> {
        let rows = self.rows.borrow();
        let usage = self.followers(&rows, view, now).flat_map(|row| &row.usage);
        usage.map(|(run, _)| run.clone()).collect()
    }
}

/// Splits usage into parts that each fit into a datagram.
fn usage_chunks(usage: Vec<RunUsage>) -> Vec<Vec<RunUsage>> {
    let mut chunks: Vec<Vec<RunUsage>> = Vec::new();
    let mut bytes = 0;
    for run in usage {
        let size = prost::Message::encoded_len(&run);
        match chunks.last_mut() {
            Some(chunk) if bytes + size <= MAX_USAGE_BYTES => {
                bytes += size;
                chunk.push(run);
            }
            _ => {
                bytes = size;
                chunks.push(vec![run]);
            }
        }
    }
    chunks
}

/// Returns a message that carries only more usage of the followers. Without a sequence number, it
/// doesn't replace the state from `pulse`.
fn usage_continuation(pulse: &FleetPulse, zone: &str, usage: Vec<RunUsage>) -> FleetPulse {
    FleetPulse {
        node: pulse.node.clone(),
        incarnation: pulse.incarnation,
        zone: pulse.zone.clone(),
        unix_ms: pulse.unix_ms,
        spoken_for: Some(ZoneSummary { zone: zone.to_owned(), usage, ..Default::default() }),
        ..Default::default()
    }
}

fn addresses<'a>(nodes: impl Iterator<Item = &'a KnownNode>) -> Vec<SocketAddr> {
    nodes.map(|node| node.peer_address).collect()
}
