//! Whether a replica that lost a request has crashed.
//!
//! A process that has ended refuses connections, unless its host goes on accepting them. Then it shows
//! in several requests that are lost at once, or later in a new process at its place.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::SharedName;
use crate::fleet::quarantine::CrashId;
use crate::fleet::replica::ReplicaTable;

/// Time after a loss within which a new process shows that the old one has crashed. Replicas that
/// crash are back after some seconds.
const SUCCESSOR_TIME: Duration = Duration::from_secs(10);

/// Requests whose connections break at the same time only if their process ends; a busy replica may
/// reset a single one.
const LOST_AT_ONCE: usize = 2;

/// What became of a new connection to a replica that lost a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It was refused.
    Refused,
    /// It was accepted, and ended before anything was sent.
    Dropped,
    /// It was accepted and stayed open.
    Open,
    /// Nothing came back.
    Silent,
}

/// Loss of a request at one process of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessLoss {
    /// The process, as it would count as crashed.
    pub crash: CrashId,
    /// Service of the replica.
    pub service: SharedName,
    /// Address of the process.
    pub address: SocketAddr,
    /// Time of the loss.
    pub at: Duration,
}

/// Verdict on a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossVerdict {
    /// The process has crashed.
    Crashed,
    /// It is not known yet; a new process would show it.
    Pending,
    /// The process goes on, as far as is known.
    Alive,
}

/// Decides on a loss by a new connection to the replica, the number of requests that this node lost
/// there at the same time, and whether it reaches any other replica. A node that is cut off from all of
/// them can't tell a crash from the cut; the list of replicas shows it later.
pub fn judge_probe(probe: ProbeResult, lost: usize, reaches_others: bool) -> LossVerdict {
    match probe {
        _ if !reaches_others => LossVerdict::Pending,
        ProbeResult::Refused => LossVerdict::Crashed,
        ProbeResult::Dropped if lost >= LOST_AT_ONCE => LossVerdict::Crashed,
        ProbeResult::Dropped | ProbeResult::Open | ProbeResult::Silent => LossVerdict::Pending,
    }
}

/// Decides on a pending loss by the list of replicas.
pub fn judge_successor(table: &ReplicaTable, loss: &ProcessLoss, now: Duration) -> LossVerdict {
    let has_successor = table.rows().any(|row| {
        let is_same_replica = row.hash == loss.crash.replica;
        let is_same_place = row.entry.address == loss.address && row.entry.service == loss.service;
        let is_same_process = is_same_replica && row.entry.born == loss.crash.born;
        (is_same_replica || is_same_place) && !is_same_process && row.since > loss.at
    });
    match has_successor {
        true => LossVerdict::Crashed,
        false if now.saturating_sub(loss.at) < SUCCESSOR_TIME => LossVerdict::Pending,
        false => LossVerdict::Alive,
    }
}
