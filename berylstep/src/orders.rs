//! Orders for upstreams in an availability zone, placed by the node that holds the zone's lease.

pub mod demand;
pub mod rows;
pub mod view;

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::order::{next_step, OrderGroup, OrderRow, OrderState, OrderStep};
use berylstep_core::placement::{PoolPlanner, UpstreamKind};
use berylstep_http::SendTerms;

use self::rows::StoredOrder;
use self::view::SupplyView;
use crate::lease::LeaseKeeper;
use crate::native::{OrderReceipt, PlatformError, UpstreamOrder};
use crate::node::NodeContext;
use crate::store;

/// Prefix of the names of order duties; the zone follows.
pub const DUTY_PREFIX: &str = "orders/";

/// Interval between reconciliations of demand and supply.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// Reconciliations after the lease was acquired that place no orders yet.
///
/// They allow the demand of the peers and the list of upstreams to arrive.
const WARM_UP_PASSES: u32 = 4;

/// Timeout for granted upstreams to appear in the list, after which they are ordered again.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which no more is ordered after the platform granted less than was ordered.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);

const KINDS: [UpstreamKind; 2] = [UpstreamKind::Dependable, UpstreamKind::Cheap];

/// Reconciles the upstreams of a zone with its demand while this node holds the zone's lease.
#[derive(Default)]
struct ZoneController {
    passes: u32,
    planners: HashMap<SharedName, PoolPlanner>,
    /// Version of each row and the time when it was first seen, on this node's clock.
    versions: HashMap<OrderGroup, (u64, Duration)>,
}

/// Orders upstreams in `zone` whenever this node holds the lease, until the node stops.
pub async fn run(node: Arc<NodeContext>, keeper: Arc<LeaseKeeper>, zone: SharedName) {
    let mut controller = ZoneController::default();
    loop {
        node.clock.sleep(RECONCILE_INTERVAL).await;
        if keeper.fencing_token().is_none() {
            controller = ZoneController::default();
            continue;
        }
        if let Err(err) = controller.reconcile(&node, &keeper, &zone).await {
            log::debug!("failed to order upstreams: zone={zone} error={err}");
        }
    }
}

impl ZoneController {
    async fn reconcile(
        &mut self,
        node: &NodeContext,
        keeper: &Arc<LeaseKeeper>,
        zone: &SharedName,
    ) -> Result<(), PlatformError> {
        let stored = rows::read_all(node).await?;
        self.record_versions(node.clock.now(), &stored);
        let now = node.clock.now();
        let view =
            SupplyView::new(node, &stored, |group| !self.is_unchanged(now, group, LIMIT_RETENTION));
        self.passes += 1;
        for pool in view.pools() {
            let running = view.running(&pool);
            let planner = self.planners.entry(pool.clone());
            let planner = planner.or_insert_with(|| PoolPlanner::new(running.clone()));
            let demand = node.demand.total(node.clock.now(), &pool);
            let slots = view.slots(&pool);
            let plan = planner.update(node.clock.now(), demand, slots, &view.supplies(&pool));
            let plan = plan.get(zone).copied();
            let Some(plan) = plan.filter(|_| self.passes > WARM_UP_PASSES) else { continue };
            let running = running.get(zone).copied().unwrap_or_default();
            for kind in KINDS {
                let group = OrderGroup { zone: zone.clone(), pool: pool.clone(), kind };
                let row = stored.get(&group);
                let start_timed_out = self.is_unchanged(node.clock.now(), &group, START_TIMEOUT);
                let step = next_step(
                    row.map(|r| &r.row),
                    plan.of(kind),
                    running.of(kind),
                    start_timed_out,
                );
                execute_step(node, keeper, &group, row, step).await?;
            }
        }
        Ok(())
    }

    fn record_versions(&mut self, now: Duration, stored: &HashMap<OrderGroup, StoredOrder>) {
        for (group, order) in stored {
            let known = self.versions.entry(group.clone()).or_insert((order.version, now));
            if known.0 != order.version {
                *known = (order.version, now);
            }
        }
    }

    /// Returns whether the newest order of a group has been unchanged for at least `age`.
    fn is_unchanged(&self, now: Duration, group: &OrderGroup, age: Duration) -> bool {
        let known = self.versions.get(group);
        known.is_some_and(|(_, since)| now.saturating_sub(*since) >= age)
    }
}

async fn execute_step(
    node: &NodeContext,
    keeper: &Arc<LeaseKeeper>,
    group: &OrderGroup,
    stored: Option<&StoredOrder>,
    step: OrderStep,
) -> Result<(), PlatformError> {
    match (step, stored) {
        (OrderStep::Idle, _) | (OrderStep::Resolve, None) => Ok(()),
        (OrderStep::Resolve, Some(stored)) => resolve(node, keeper, stored).await,
        (OrderStep::Place(count), stored) => {
            let fencing = keeper.fencing_token().ok_or(PlatformError::NotPermitted)?;
            let row = OrderRow {
                order: store::token(node),
                fencing,
                group: group.clone(),
                count,
                state: OrderState::Intended,
                at_ms: node.clock.unix_ms(),
            };
            let version = rows::write(node, &row, stored.map_or(0, |s| s.version)).await?;
            place(node, keeper, StoredOrder { row, version }).await
        }
    }
}

/// Resolves an order whose result is unknown.
///
/// If the platform does not know the order, it is sent again under the same identifier.
async fn resolve(
    node: &NodeContext,
    keeper: &Arc<LeaseKeeper>,
    stored: &StoredOrder,
) -> Result<(), PlatformError> {
    match node.platform.find(&stored.row.order).await? {
        Some(receipt) => record_receipt(node, stored.clone(), &receipt).await,
        None => place(node, keeper, stored.clone()).await,
    }
}

async fn place(
    node: &NodeContext,
    keeper: &Arc<LeaseKeeper>,
    stored: StoredOrder,
) -> Result<(), PlatformError> {
    let permit = keeper.permit().ok_or(PlatformError::NotPermitted)?;
    let OrderGroup { zone, pool, kind } = stored.row.group.clone();
    let order = UpstreamOrder {
        order: stored.row.order.clone(),
        fencing: permit.fencing,
        sender: store::sender(node),
        zone,
        pool,
        kind,
        count: stored.row.count,
    };
    let is_valid = || permit.is_valid();
    let terms =
        SendTerms { is_permitted: &is_valid, ack_timeout: node.settings.lease_times.send_limit() };
    let result = node.platform.place(&order, terms).await;
    permit.record_result(&result);
    record_receipt(node, stored, &result?).await
}

async fn record_receipt(
    node: &NodeContext,
    stored: StoredOrder,
    receipt: &OrderReceipt,
) -> Result<(), PlatformError> {
    let StoredOrder { mut row, version } = stored;
    row.state = OrderState::Granted(receipt.granted);
    let OrderGroup { zone, pool, kind } = &row.group;
    let (count, granted) = (row.count, receipt.granted);
    log::info!(
        "upstreams ordered: zone={zone} pool={pool} kind={kind:?} count={count} granted={granted}"
    );
    rows::write(node, &row, version).await.map(|_| ())
}
