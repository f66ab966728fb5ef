//! Requests that ask for slots, and the slots that they hold.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Identity of a request: the node that asks and the node's own number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Node that asks.
    pub node: SharedName,
    /// Number of the request at that node.
    pub request: u64,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct SlotDemand {
    /// Identity.
    pub key: RequestKey,
    /// Tier: 1 is the highest.
    pub tier: u8,
    /// Class of work.
    pub class: SharedName,
    /// Organisation; empty on open routes.
    pub organisation: SharedName,
    /// When the request came, on the arbiter's clock.
    pub arrived: Duration,
    /// Target time from arrival to the first byte of the answer.
    pub latency_target: Duration,
    /// Time at which the request is given up, on the arbiter's clock.
    pub deadline: Duration,
    /// Most output tokens.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt prefix that others may share; 0 where there is none.
    pub prefix_hash: u64,
    /// Whether the work may be sent again, and so be preempted.
    pub idempotent: bool,
    /// Whether the request lost a slot to a higher tier: it goes to the head and is never shed.
    pub preempted: bool,
    /// Replicas that the request must not be sent to.
    pub excluded: Vec<SharedName>,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotOutcome {
    /// Output tokens; 0 for plain services.
    pub tokens: u32,
    /// Whether the replica failed.
    pub failed: bool,
    /// Whether the work ended before its answer was whole, so that its figures say nothing.
    pub abandoned: bool,
}

/// Where a request stands.
#[derive(Clone, Debug)]
pub enum RequestState {
    /// Queued, at this place among those of its organisation.
    Waiting {
        /// Place; the lowest is served first.
        place: i64,
    },
    /// Holds a slot.
    Granted(SlotRow),
}

/// A slot in use.
#[derive(Clone, Debug)]
pub struct SlotRow {
    /// Replica.
    pub replica: SharedName,
    /// When the slot was granted.
    pub since: Duration,
    /// Whether the answer has begun, which rules preemption out.
    pub started: bool,
    /// Whether the slot is being taken back.
    pub recalled: bool,
    /// Whether the class's guaranteed rate gave the slot, which rules preemption out.
    pub floor: bool,
}

/// A request with its expected work.
#[derive(Clone, Debug)]
pub struct RequestRow {
    /// What was asked for.
    pub demand: SlotDemand,
    /// Expected output tokens.
    pub units: u32,
    /// Where the request stands.
    pub state: RequestState,
}

impl RequestRow {
    /// Whether a higher tier may take the slot back.
    pub fn is_preemptible(&self) -> bool {
        match &self.state {
            RequestState::Granted(slot) => {
                let untouched = !slot.started && !slot.recalled && !slot.floor;
                self.demand.idempotent && untouched
            }
            RequestState::Waiting { .. } => false,
        }
    }
}

/// Requests by identity.
pub type RequestTable = HashMap<RequestKey, RequestRow>;
