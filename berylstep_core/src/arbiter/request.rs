//! Requests for slots, and the slots they hold.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Identifier of a request, unique among all nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Name of the node that sent the request.
    pub node: SharedName,
    /// Request number, unique at that node.
    pub request: u64,
}

/// Requirements of a request for a slot.
#[derive(Clone, Debug)]
pub struct SlotDemand {
    /// Identifier of the request.
    pub key: RequestKey,
    /// Priority tier. 1 is the highest.
    pub tier: u8,
    /// Name of the class, which sets tier and latency target.
    pub class: SharedName,
    /// Organisation of the caller. Empty on open routes.
    pub organisation: SharedName,
    /// Arrival time, on the arbiter's clock.
    pub arrived: Duration,
    /// Target time from arrival to the first byte of the response.
    pub latency_target: Duration,
    /// Time after which the request is refused, on the arbiter's clock.
    pub deadline: Duration,
    /// Upper bound on output tokens, if the request states one.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt prefix that other requests may share, 0 if there is none.
    pub prefix_hash: u64,
    /// Whether the request may be sent again, and hence be preempted.
    pub idempotent: bool,
    /// Whether the request was preempted before. It is queued at the head and never shed.
    pub preempted: bool,
    /// Replicas that must not serve the request.
    pub excluded: Vec<SharedName>,
}

/// Result of the use of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotOutcome {
    /// Output tokens, 0 for services other than models.
    pub tokens: u32,
    /// Whether the replica failed to serve the request.
    pub failed: bool,
    /// Whether the request ended before its response was complete. Its duration and tokens are not
    /// used as samples.
    pub abandoned: bool,
}

/// State of a request.
#[derive(Clone, Debug)]
pub enum RequestState {
    /// Queued.
    Waiting {
        /// Position in the organisation's queue. The lowest is served first.
        position: i64,
    },
    /// Holds a slot.
    Granted(SlotRow),
}

/// Slot in use.
#[derive(Clone, Debug)]
pub struct SlotRow {
    /// Identifier of the replica.
    pub replica: SharedName,
    /// Time of the grant, on the arbiter's clock.
    pub since: Duration,
    /// Whether the response has started, which rules out preemption.
    pub started: bool,
    /// Whether the slot is being preempted.
    pub recalled: bool,
    /// Whether the slot was granted by the class's guaranteed rate, which rules out preemption.
    pub guaranteed: bool,
}

/// Entry of the request table.
#[derive(Clone, Debug)]
pub struct RequestRow {
    /// Requirements of the request.
    pub demand: SlotDemand,
    /// Expected output tokens.
    pub tokens: u32,
    /// Whether the request waits or holds a slot.
    pub state: RequestState,
}

impl RequestRow {
    /// Returns whether a higher tier may preempt the request.
    pub fn is_preemptible(&self) -> bool {
        match &self.state {
            RequestState::Granted(slot) => {
                let recallable = !slot.started && !slot.recalled && !slot.guaranteed;
                self.demand.idempotent && recallable
            }
            RequestState::Waiting { .. } => false,
        }
    }
}

/// Requests by identifier.
pub type RequestTable = HashMap<RequestKey, RequestRow>;
