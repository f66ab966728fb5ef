//! Duties of the cluster that one node at a time holds under a lease.

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

/// Duty of sealing and reporting usage; one shard of organisations today.
pub const USAGE_DUTY: &str = "usage/0";

/// Time between looks for new duties.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Duties that this node may come to hold.
#[derive(Debug, Default)]
pub struct DutyRegistry {
    keepers: Mutex<Vec<Arc<LeaseKeeper>>>,
}

/// State of the node's duties, for operators.
#[derive(Debug, Serialize)]
pub struct DutyStatus {
    /// Held leases with their fencing numbers.
    pub held: Vec<HeldDuty>,
    /// Whether the table service holds all counters of this node.
    pub usage_stored: bool,
    /// Requests of other nodes whose counters are held here until they are stored.
    pub usage_copies: u64,
    /// Cost of the listed upstreams for an hour, in the unit of the price settings.
    pub spend_per_hour: u64,
}

/// A lease that this node holds.
#[derive(Debug, Serialize)]
pub struct HeldDuty {
    /// Name of the duty.
    pub duty: SharedName,
    /// Fencing number.
    pub fencing: u64,
}

impl DutyRegistry {
    fn keepers(&self) -> Vec<Arc<LeaseKeeper>> {
        self.keepers.lock().expect("duty lock").clone()
    }

    /// Registers a duty; `None` where it is known.
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

/// Takes part in all duties, for as long as the node runs.
pub async fn run(node: Arc<NodeContext>) {
    let mut tasks = vec![
        smol::spawn(usage::flush(node.clone())),
        smol::spawn(usage::copies::hand_out(node.clone())),
    ];
    let fencing = fencing_of(node.settings.unfenced_receivers.usage);
    if let Some(keeper) = node.duties.add(&node, USAGE_DUTY, fencing) {
        tasks.push(smol::spawn(lease::keep(node.clone(), keeper.clone())));
        tasks.push(smol::spawn(usage::report::work(node.clone(), keeper)));
    }
    loop {
        tasks.extend(join_order_duties(&node));
        node.clock.sleep(LOOK_INTERVAL).await;
    }
}

/// Takes part in the duties of zones that are new to this node.
fn join_order_duties(node: &Arc<NodeContext>) -> Vec<smol::Task<()>> {
    let mut tasks = Vec::new();
    if node.settings.orders == OrderMode::Off {
        return tasks;
    }
    let fencing = fencing_of(node.settings.unfenced_receivers.orders);
    for zone in orders::view::zones(node) {
        let duty = format!("{}{zone}", orders::DUTY_PREFIX);
        if let Some(keeper) = node.duties.add(node, &duty, fencing) {
            tasks.push(smol::spawn(lease::keep(node.clone(), keeper.clone())));
            tasks.push(smol::spawn(orders::work(node.clone(), keeper, zone)));
        }
    }
    tasks
}

/// Gives all leases up for a planned stop, once no send is in flight.
pub async fn release(node: &NodeContext) {
    for keeper in node.duties.keepers() {
        lease::release(node, &keeper).await;
    }
}

/// State of this node's duties.
pub fn status(node: &NodeContext) -> DutyStatus {
    let keepers = node.duties.keepers();
    let held = keepers.iter().filter_map(|keeper| {
        let fencing = keeper.fencing()?;
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

fn fencing_of(ignored: bool) -> ReceiverFencing {
    match ignored {
        true => ReceiverFencing::Ignored,
        false => ReceiverFencing::Checked,
    }
}
