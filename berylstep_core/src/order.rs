//! Orders of upstreams: an intent is stored before the order is sent, and its result after.

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;
use crate::placement::UpstreamKind;

/// What upstreams an order is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderGroup {
    /// Availability zone.
    pub zone: SharedName,
    /// Pool.
    pub pool: SharedName,
    /// Kind of upstream.
    pub kind: UpstreamKind,
}

impl OrderGroup {
    /// Key of the group's row, below the prefix of orders.
    pub fn row_key(&self) -> String {
        let kind = match self.kind {
            UpstreamKind::Dependable => "dependable",
            UpstreamKind::Cheap => "cheap",
        };
        format!("{}/{}/{kind}", self.zone, self.pool)
    }
}

/// How far the newest order of a group has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The order was or will be sent; its result is not known.
    Intended,
    /// The platform granted this many.
    Granted(u32),
}

/// Row of a group's newest order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Identifier of the order.
    pub order: String,
    /// Fencing number under which the intent was stored.
    pub fencing: u64,
    /// What the order is for.
    pub group: OrderGroup,
    /// Wanted number, counting those that run.
    pub count: u32,
    /// How far the order has come.
    pub state: OrderState,
    /// When the row was written, in milliseconds since the Unix epoch; for operators.
    pub at_ms: u64,
}

/// What to do next for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Ask what became of the stored intent, and send the same order again only if it is unknown.
    Resolve,
    /// Store an intent for this number, then send it.
    Place(u32),
    /// Nothing.
    Idle,
}

/// Decides the next step of a group; `has_waited` says that upstreams granted by the last order
/// have had time to start, and `running` how many run.
pub fn next_step(
    stored: Option<&OrderRow>,
    wanted: u32,
    running: u32,
    has_waited: bool,
) -> OrderStep {
    let Some(row) = stored else {
        return if wanted == running { OrderStep::Idle } else { OrderStep::Place(wanted) };
    };
    match row.state {
        OrderState::Intended => OrderStep::Resolve,
        OrderState::Granted(granted) if wanted != granted && wanted != row.count => {
            OrderStep::Place(wanted)
        }
        // Granted upstreams did not start or are gone, or a limit may have been lifted.
        OrderState::Granted(granted) if has_waited && (running < granted || granted < wanted) => {
            OrderStep::Place(wanted)
        }
        OrderState::Granted(_) => OrderStep::Idle,
    }
}
