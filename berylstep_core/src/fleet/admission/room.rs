//! Room of a service, and what follows from it.

use std::time::Duration;

use super::tally::TierMix;

/// Requests in progress at which held requests are no longer slowed down, relative to the slots. A short
/// queue keeps the replicas busy between two reports of the nodes.
const TARGET_OCCUPANCY: f64 = 1.1;

/// Time within which the requests in progress are brought to the target. Four times the usual age of the
/// reports of other nodes, so that their delay doesn't make the admitted load oscillate.
const CONTROL_HORIZON: Duration = Duration::from_secs(1);

/// Least pace of admissions, relative to the completions; keeps the pace from stopping at a high load.
const MIN_PACE: f64 = 0.1;

/// Room of a service as a node knows it, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceRoom {
    /// Slots of the replicas that accept requests.
    pub slots: u32,
    /// Requests in progress at these replicas.
    pub requests: u32,
    /// Requests that end per second, over all nodes; 0 if unknown.
    pub ended_per_second: f64,
    /// Part of the room that this node may take, from 0 to 1. The parts of all nodes sum up to about 1.
    pub share: f64,
    /// Whether the counts include those of the other nodes. Without them, the room is this node's safe share
    /// of the whole, and nothing is refused.
    pub knows_others: bool,
}

impl ServiceRoom {
    /// Returns whether enough is known to hold requests or to refuse them.
    pub(super) fn is_known(&self) -> bool {
        self.slots > 0 && self.ended_per_second > 0.0 && self.share > 0.0
    }

    /// Returns whether more requests are in progress than there are slots.
    pub(super) fn is_short(&self) -> bool {
        self.is_known() && self.requests > self.slots
    }

    /// Returns the admissions per second of this node that bring the requests in progress to the target.
    pub(super) fn pace(&self) -> f64 {
        let missing = f64::from(self.slots) * TARGET_OCCUPANCY - f64::from(self.requests);
        let pace = self.ended_per_second + missing / CONTROL_HORIZON.as_secs_f64();
        pace.max(self.ended_per_second * MIN_PACE) * self.share
    }

    /// Returns the time that a request is expected to wait for a slot: until the requests that replicas serve
    /// before it have ended, while more urgent ones go on arriving. `held` requests
    /// that this node holds go before it; other nodes hold about as many for their shares.
    pub(super) fn expected_wait(&self, mix: &TierMix, held: usize) -> Duration {
        let ahead = f64::from(self.requests) * mix.ahead + held as f64 / self.share;
        let queued = (ahead - f64::from(self.slots)).max(0.0);
        let seconds = queued / (self.ended_per_second * mix.drained);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
