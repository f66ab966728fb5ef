//! Replicas that are brittle: they say how many requests they may turn away in a second, and fall over
//! beyond that.
//!
//! Nodes see only their own rejections, so none may happen at all: the slots of a brittle replica are
//! divided among the nodes, and a node never has more requests at it than its share.

use std::time::Duration;

use crate::collections::HashMap;
use crate::fleet::limits::ProcessId;
use crate::rendezvous;

/// Part of the slots that is divided where nodes may not know each other and round differently.
const UNKNOWN_FLEET_SHARE: f64 = 0.8;

/// Longest time for which a node without a share leaves a replica alone after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// What a response says about the brittleness of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BrittleStatement {
    /// Nothing.
    #[default]
    Unsaid,
    /// The replica may turn any number of requests away.
    Sound,
    /// The replica may turn this number of requests away in a second.
    Tolerates(u32),
}

#[derive(Clone, Copy, Debug)]
struct BrittleRow {
    process: ProcessId,
    tolerated: u32,
    paused_until: Duration,
}

/// Brittle replicas, by [`ProcessId::replica`].
#[derive(Debug, Default)]
pub struct BrittleLedger {
    rows: HashMap<u32, BrittleRow>,
}

impl BrittleLedger {
    /// Applies what a response says; returns whether the replica has become brittle or sound.
    pub fn observe(&mut self, process: ProcessId, statement: BrittleStatement) -> bool {
        let known = self.tolerated(process);
        match statement {
            BrittleStatement::Unsaid => false,
            BrittleStatement::Sound => {
                self.rows.remove(&process.replica);
                known.is_some()
            }
            BrittleStatement::Tolerates(tolerated) => {
                let row = BrittleRow { process, tolerated, paused_until: Duration::ZERO };
                let row = self.rows.entry(process.replica).or_insert(row);
                (row.process, row.tolerated) = (process, tolerated);
                known.is_none()
            }
        }
    }

    /// Returns the rejections per second that a process tolerates; `None` if it is sound.
    pub fn tolerated(&self, process: ProcessId) -> Option<u32> {
        self.row(process).map(|row| row.tolerated)
    }

    /// Records that the process turned a request of this node away. `nodes` may do the same, so this
    /// one leaves it alone for long enough that they stay within half of what it tolerates.
    pub fn record_rejection(&mut self, process: ProcessId, nodes: usize, now: Duration) {
        let Some(row) = self.rows.get_mut(&process.replica) else { return };
        let seconds = 2.0 * nodes.max(1) as f64 / f64::from(row.tolerated.max(1));
        row.paused_until = now + Duration::from_secs_f64(seconds).min(MAX_PAUSE);
    }

    /// Returns whether a node with this share may send one more request to the process, besides
    /// `running` ones.
    pub fn has_room(&self, process: ProcessId, share: u32, running: u32, now: Duration) -> bool {
        match self.row(process) {
            None => true,
            Some(row) => now >= row.paused_until && running < share,
        }
    }

    /// Drops processes that are no longer in the list of replicas.
    pub fn expire(&mut self, is_listed: impl Fn(ProcessId) -> bool) {
        self.rows.retain(|_, row| is_listed(row.process));
    }

    fn row(&self, process: ProcessId) -> Option<&BrittleRow> {
        self.rows.get(&process.replica).filter(|row| row.process == process)
    }
}

/// Returns the number of a replica's `slots` that `node` may use. `others` are the other nodes that it
/// knows, of `fleet` in all. Nodes that know all others divide the slots exactly.
pub fn slot_share(slots: u32, replica: &str, node: &str, others: &[&str], fleet: usize) -> u32 {
    let nodes = fleet.max(others.len() + 1) as u32;
    let (each, rest) = (slots / nodes, slots % nodes);
    if others.len() + 1 >= fleet {
        let own = rendezvous::score(replica, node);
        let rank = others.iter().filter(|other| rendezvous::score(replica, other) > own).count();
        return each + u32::from((rank as u32) < rest);
    }
    let share = f64::from(slots) / f64::from(nodes) * UNKNOWN_FLEET_SHARE;
    let draw = rendezvous::score(replica, node) as f64 / u64::MAX as f64;
    share as u32 + u32::from(draw < share.fract())
}
