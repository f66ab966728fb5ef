//! Orders of upstreams. The intent is stored before an order is sent and its result afterwards, so
//! an order whose result was not stored can be resolved later.

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;
use crate::placement::UpstreamKind;

/// Group of upstreams that is ordered together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderGroup {
    /// Availability zone.
    pub zone: SharedName,
    /// Pool that the upstreams serve.
    pub pool: SharedName,
    /// Kind of upstream.
    pub kind: UpstreamKind,
}

impl OrderGroup {
    /// Returns the key of the group's row, relative to the key prefix of orders.
    pub fn row_key(&self) -> String {
        let kind = match self.kind {
            UpstreamKind::Dependable => "dependable",
            UpstreamKind::Cheap => "cheap",
        };
        format!("{}/{}/{kind}", self.zone, self.pool)
    }
}

/// State of the newest order of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The intent is stored; whether the order was sent, and its result, are unknown.
    Intended,
    /// The platform granted this number of upstreams.
    Granted(u32),
}

/// Stored row of a group's newest order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Identifier of the order.
    pub order: String,
    /// Fencing token under which the intent was stored.
    pub fencing: u64,
    /// Ordered group.
    pub group: OrderGroup,
    /// Ordered total of upstreams, including those that already run.
    pub count: u32,
    /// State of the order.
    pub state: OrderState,
    /// Time of the write, in milliseconds since the Unix epoch; informational.
    pub at_ms: u64,
}

/// Next action for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Query the result of the stored intent; resend the same order only if the platform doesn't
    /// know it.
    Resolve,
    /// Store an intent for this number of upstreams, then send the order.
    Place(u32),
    /// Nothing to do.
    Idle,
}

/// Returns the next action for a group of which `running` upstreams run. `start_delay_elapsed` is
/// set once upstreams granted by the last order have had time to start.
pub fn next_step(
    stored: Option<&OrderRow>,
    wanted: u32,
    running: u32,
    start_delay_elapsed: bool,
) -> OrderStep {
    let Some(row) = stored else {
        return if wanted == running { OrderStep::Idle } else { OrderStep::Place(wanted) };
    };
    match row.state {
        OrderState::Intended => OrderStep::Resolve,
        OrderState::Granted(granted) if wanted != granted && wanted != row.count => {
            OrderStep::Place(wanted)
        }
        // Granted upstreams failed to start or have stopped, or the platform granted fewer than
        // wanted and its limit may have been raised since.
        OrderState::Granted(granted)
            if start_delay_elapsed && (running < granted || granted < wanted) =>
        {
            OrderStep::Place(wanted)
        }
        OrderState::Granted(_) => OrderStep::Idle,
    }
}
