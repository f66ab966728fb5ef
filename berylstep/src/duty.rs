//! Duties: tasks of the cluster that run on one node at a time, which holds a lease on the duty.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::lease::ReceiverFencing;
use berylstep_core::placement::UpstreamKind;
use serde::Serialize;

use crate::config::OrderMode;
use crate::lease::{self, LeaseKeeper};
use crate::node::NodeContext;
use crate::{orders, usage};

/// Duty of sealing and reporting usage.
///
/// The number is the shard of organisations; there is only one shard.
pub const USAGE_DUTY: &str = "usage/0";

/// Interval between checks for availability zones without a registered duty.
const ZONE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Lease keepers of the duties for which this node is registered.
#[derive(Debug, Default)]
pub struct DutyRegistry {
    keepers: Mutex<Vec<Arc<LeaseKeeper>>>,
}

/// Status of the node's duties, as returned to operators.
#[derive(Debug, Serialize)]
pub struct DutyStatus {
    /// Duties whose leases this node holds.
    pub held: Vec<HeldDuty>,
    /// Whether all usage counters of this node are stored in the table service.
    pub usage_stored: bool,
    /// Requests counted by other nodes whose counters are buffered here until they are stored.
    pub usage_copies: u64,
    /// Cost of all listed upstreams per hour, in the unit of the price settings.
    pub spend_per_hour: u64,
}

/// A duty whose lease this node holds.
#[derive(Debug, Serialize)]
pub struct HeldDuty {
    /// Name of the duty, such as `usage/0`.
    pub duty: SharedName,
    /// Fencing token of the lease.
    pub fencing: u64,
}

impl DutyRegistry {
    fn keepers(&self) -> Vec<Arc<LeaseKeeper>> {
        self.keepers.lock().expect("duty lock").clone()
    }

    /// Registers a duty and returns its lease keeper, or `None` if it is already registered.
    fn add(
        &self,
        node: &NodeContext,
        duty: &str,
        fencing: ReceiverFencing,
    ) -> Option<Arc<LeaseKeeper>> {
        let mut keepers = self.keepers.lock().expect("duty lock");
        if keepers.iter().any(|keeper| &*keeper.duty == duty) {
            return None;
        }
        let keeper = Arc::new(LeaseKeeper::new(node, duty.into(), fencing));
        keepers.push(keeper.clone());
        Some(keeper)
    }
}

/// Competes for all duties and runs those whose lease it holds, until the node stops.
pub async fn run(node: Arc<NodeContext>) {
    let mut tasks = vec![
        smol::spawn(usage::flush(node.clone())),
        smol::spawn(usage::copies::replicate(node.clone())),
    ];
    let fencing = receiver_fencing(node.settings.unfenced_receivers.usage);
    if let Some(keeper) = node.duties.add(&node, USAGE_DUTY, fencing) {
        tasks.push(smol::spawn(lease::maintain(node.clone(), keeper.clone())));
        tasks.push(smol::spawn(usage::report::run(node.clone(), keeper)));
    }
    loop {
        tasks.extend(join_order_duties(&node));
        node.clock.sleep(ZONE_POLL_INTERVAL).await;
    }
}

/// Registers the order duties of newly discovered zones and starts their tasks.
fn join_order_duties(node: &Arc<NodeContext>) -> Vec<smol::Task<()>> {
    let mut tasks = Vec::new();
    if node.settings.orders == OrderMode::Off {
        return tasks;
    }
    let fencing = receiver_fencing(node.settings.unfenced_receivers.orders);
    for zone in orders::view::zones(node) {
        let duty = format!("{}{zone}", orders::DUTY_PREFIX);
        if let Some(keeper) = node.duties.add(node, &duty, fencing) {
            tasks.push(smol::spawn(lease::maintain(node.clone(), keeper.clone())));
            tasks.push(smol::spawn(orders::run(node.clone(), keeper, zone)));
        }
    }
    tasks
}

/// Releases all leases for a planned stop, after the sends in flight have ended.
pub async fn release(node: &NodeContext) {
    for keeper in node.duties.keepers() {
        lease::release(node, &keeper).await;
    }
}

/// Returns the status of this node's duties.
pub fn status(node: &NodeContext) -> DutyStatus {
    let keepers = node.duties.keepers();
    let held = keepers.iter().filter_map(|keeper| {
        let fencing = keeper.fencing_token()?;
        Some(HeldDuty { duty: keeper.duty.clone(), fencing })
    });
    DutyStatus {
        held: held.collect(),
        usage_stored: node.usage.own().is_stored(),
        usage_copies: node.usage.copies().requests(),
        spend_per_hour: spend_per_hour(node),
    }
}

fn spend_per_hour(node: &NodeContext) -> u64 {
    let prices = node.settings.prices;
    let upstreams = node.upstreams();
    let costs = upstreams.all().map(|entry| match entry.kind {
        UpstreamKind::Dependable => prices.dependable,
        UpstreamKind::Cheap => prices.cheap,
    });
    costs.sum()
}

fn receiver_fencing(ignored: bool) -> ReceiverFencing {
    match ignored {
        true => ReceiverFencing::Ignored,
        false => ReceiverFencing::Checked,
    }
}
