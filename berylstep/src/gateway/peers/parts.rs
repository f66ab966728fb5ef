//! Splits a pulse that is larger than a datagram into several, and joins them.
//!
//! A datagram that is too large is not sent at all, and its sender counts as dead. The first part of a split pulse is a
//! pulse of its own; the others carry the rest of its lists and name its sequence number. A part that arrives without
//! the first one is dropped; the next pulse repeats it.

use std::ops::Range;
use std::time::Duration;

use berylstep_wire::{FleetPulse, RunUsage, WindowUsage, ZoneSummary};
use prost::Message;

use super::PeerTable;

/// Largest pulse that is sent in one datagram, in bytes.
const MAX_PULSE_BYTES: usize = 32 * 1024;

/// Size from which on a list of a larger pulse goes on in another part, in bytes.
const MAX_LIST_BYTES: usize = 8 * 1024;

/// Encoded size of an organisation's count in a window of usage, in bytes.
const COUNT_BYTES: usize = 11;

/// Splits a pulse into messages that fit into a datagram each, the pulse itself first.
pub fn split_pulse(mut pulse: FleetPulse) -> Vec<FleetPulse> {
    if pulse.encoded_len() <= MAX_PULSE_BYTES {
        return vec![pulse];
    }
    let envelope = FleetPulse {
        node: pulse.node.clone(),
        incarnation: pulse.incarnation,
        zone: pulse.zone.clone(),
        unix_ms: pulse.unix_ms,
        continues: pulse.sequence,
        ..FleetPulse::default()
    };
    let part = || envelope.clone();
    let mut parts = Vec::new();
    pulse.usage = pulse.usage.into_iter().flat_map(split_window).collect();
    let usage = excess(&mut pulse.usage).into_iter();
    parts.extend(usage.map(|usage| FleetPulse { usage, ..part() }));
    let work = excess(&mut pulse.work).into_iter();
    parts.extend(work.map(|work| FleetPulse { work, ..part() }));
    let paces = excess(&mut pulse.paces).into_iter();
    parts.extend(paces.map(|paces| FleetPulse { paces, ..part() }));
    let nodes = excess(&mut pulse.nodes).into_iter();
    parts.extend(nodes.map(|nodes| FleetPulse { nodes, ..part() }));
    let suspicions = excess(&mut pulse.suspicions).into_iter();
    parts.extend(suspicions.map(|suspicions| FleetPulse { suspicions, ..part() }));
    let clearances = excess(&mut pulse.clearances).into_iter();
    parts.extend(clearances.map(|clearances| FleetPulse { clearances, ..part() }));
    let limits = excess(&mut pulse.replica_limits).into_iter();
    parts.extend(limits.map(|replica_limits| FleetPulse { replica_limits, ..part() }));
    let brittle = excess(&mut pulse.brittle_replicas).into_iter();
    parts.extend(brittle.map(|brittle_replicas| FleetPulse { brittle_replicas, ..part() }));
    let fleet = pulse.fleet.iter_mut().flat_map(excess_of_summary);
    parts.extend(fleet.map(|summary| FleetPulse { fleet: Some(summary), ..part() }));
    let zone = pulse.spoken_for.iter_mut().flat_map(excess_of_summary);
    parts.extend(zone.map(|summary| FleetPulse { spoken_for: Some(summary), ..part() }));
    parts.insert(0, pulse);
    parts
}

/// Takes out of a list what is beyond the size of a part, in chunks of that size.
fn excess<T: Message>(list: &mut Vec<T>) -> Vec<Vec<T>> {
    let mut chunks: Vec<Vec<T>> = Vec::new();
    let mut bytes = MAX_LIST_BYTES;
    for item in std::mem::take(list) {
        bytes += item.encoded_len();
        match chunks.last_mut().filter(|_| bytes <= MAX_LIST_BYTES) {
            Some(chunk) => chunk.push(item),
            None => {
                bytes = item.encoded_len();
                chunks.push(vec![item]);
            }
        }
    }
    let mut chunks = chunks.into_iter();
    *list = chunks.next().unwrap_or_default();
    chunks.collect()
}

/// Splits the counts of a window. The end of one that is split shows in the number of its requests only, since parts
/// may be lost.
fn split_window(window: WindowUsage) -> Vec<WindowUsage> {
    let count = MAX_LIST_BYTES / COUNT_BYTES;
    if window.organisations.len() <= count {
        return vec![window];
    }
    let final_requests = if window.ended { window.requests.iter().sum() } else { 0 };
    let counts = window.organisations.chunks(count).zip(window.requests.chunks(count));
    let part = |(organisations, requests): (&[u64], &[u64])| WindowUsage {
        window: window.window,
        ended: false,
        organisations: organisations.to_vec(),
        requests: requests.to_vec(),
        final_requests,
    };
    counts.map(part).collect()
}

/// Takes the replicas out of a summary that are beyond the size of a part.
fn excess_of_summary(summary: &mut ZoneSummary) -> Vec<ZoneSummary> {
    let per_replica = summary.encoded_len() / summary.replicas.len().max(1);
    let count = MAX_LIST_BYTES / per_replica.max(1);
    let end = summary.replicas.len();
    let columns = |range: Range<usize>| ZoneSummary {
        zone: summary.zone.clone(),
        replicas: summary.replicas[range.clone()].to_vec(),
        requests: summary.requests[range.clone()].to_vec(),
        work: summary.work[range.clone()].to_vec(),
        // Both are absent where there are no observations.
        pace_logs: summary.pace_logs.get(range.clone()).unwrap_or_default().to_vec(),
        pace_weights: summary.pace_weights.get(range).unwrap_or_default().to_vec(),
        ..ZoneSummary::default()
    };
    let starts = (count.min(end)..end).step_by(count.max(1));
    let parts: Vec<_> = starts.map(|start| columns(start..end.min(start + count))).collect();
    let first = columns(0..count.min(end));
    summary.replicas = first.replicas;
    summary.requests = first.requests;
    summary.work = first.work;
    summary.pace_logs = first.pace_logs;
    summary.pace_weights = first.pace_weights;
    parts
}

fn extend_summary(summary: &mut ZoneSummary, part: ZoneSummary) {
    summary.replicas.extend(part.replicas);
    summary.requests.extend(part.requests);
    summary.work.extend(part.work);
    summary.pace_logs.extend(part.pace_logs);
    summary.pace_weights.extend(part.pace_weights);
}

impl PeerTable {
    /// Records a further part of the latest pulse of its sender; one of another pulse is dropped.
    pub fn record_part(&self, part: FleetPulse, now: Duration) {
        let mut rows = self.rows.borrow_mut();
        let Some(row) = rows.get_mut(&*part.node) else { return };
        if (row.pulse.incarnation, row.pulse.sequence) != (part.incarnation, part.continues) {
            return;
        }
        row.pulse.work.extend(part.work);
        row.pulse.paces.extend(part.paces);
        let usage = part.usage.into_iter().map(|usage| {
            let node = part.node.clone();
            (RunUsage { node, incarnation: part.incarnation, usage: Some(usage) }, now)
        });
        row.usage.extend(usage);
        drop(rows);
        self.record_nodes(&part.nodes, now);
        let source = (&*part.node, part.continues);
        if let Some(summary) = part.spoken_for {
            let mut rows = self.follower_summaries.borrow_mut();
            if let Some(row) = rows.get_mut(&*summary.zone).filter(|row| row.is_from(source)) {
                extend_summary(&mut row.summary, summary);
            }
        }
        if let Some(summary) = part.fleet {
            let mut total = self.fleet_total.borrow_mut();
            if let Some(row) = total.as_mut().filter(|row| row.is_from(source)) {
                extend_summary(&mut row.summary, summary);
            }
        }
    }
}
