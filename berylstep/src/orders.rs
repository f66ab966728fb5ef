//! Orders of upstreams for one availability zone, under the zone's lease.

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
use self::view::SiteView;
use crate::lease::LeaseKeeper;
use crate::native::{OrderReceipt, PlatformError, UpstreamOrder};
use crate::node::NodeContext;
use crate::store;

/// Prefix of the names of zones' duties.
pub const DUTY_PREFIX: &str = "orders/";

/// Time between looks at demand and supply.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Looks after taking the lease before the first order, so that demand and the list are known.
const WARM_UP_LOOKS: u32 = 4;

/// Time for granted upstreams to start and appear in the list, before they are ordered again.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Time for which a limit that the platform set is kept to before more is ordered again.
const LIMIT_MEMORY: Duration = Duration::from_secs(600);

const KINDS: [UpstreamKind; 2] = [UpstreamKind::Dependable, UpstreamKind::Cheap];

/// Orders of one zone, kept for as long as this node holds the zone's lease.
#[derive(Default)]
struct ZoneDesk {
    looks: u32,
    planners: HashMap<SharedName, PoolPlanner>,
    /// When each row was first seen with its version, on this node's clock.
    seen: HashMap<OrderGroup, (u64, Duration)>,
}

/// Orders upstreams of `zone` while this node holds the lease.
pub async fn work(node: Arc<NodeContext>, keeper: Arc<LeaseKeeper>, zone: SharedName) {
    let mut desk = ZoneDesk::default();
    loop {
        node.clock.sleep(LOOK_INTERVAL).await;
        if keeper.fencing().is_none() {
            desk = ZoneDesk::default();
            continue;
        }
        if let Err(err) = desk.look(&node, &keeper, &zone).await {
            log::debug!("orders wait: zone={zone} error={err}");
        }
    }
}

impl ZoneDesk {
    async fn look(
        &mut self,
        node: &NodeContext,
        keeper: &Arc<LeaseKeeper>,
        zone: &SharedName,
    ) -> Result<(), PlatformError> {
        let stored = rows::read_all(node).await?;
        self.note_seen(node.clock.now(), &stored);
        let now = node.clock.now();
        let view = SiteView::of(node, &stored, |group| !self.has_stood(now, group, LIMIT_MEMORY));
        self.looks += 1;
        for pool in view.pools() {
            let running = view.running(&pool);
            let planner = self.planners.entry(pool.clone());
            let planner = planner.or_insert_with(|| PoolPlanner::new(running.clone()));
            let demand = node.demand.total(node.clock.now(), &pool);
            let slots = view.slots(&pool);
            let plan = planner.update(node.clock.now(), demand, slots, &view.supplies(&pool));
            let plan = plan.get(zone).copied();
            let Some(plan) = plan.filter(|_| self.looks > WARM_UP_LOOKS) else { continue };
            let running = running.get(zone).copied().unwrap_or_default();
            for kind in KINDS {
                let group = OrderGroup { zone: zone.clone(), pool: pool.clone(), kind };
                let row = stored.get(&group);
                let has_waited = self.has_stood(node.clock.now(), &group, START_LIMIT);
                let step =
                    next_step(row.map(|r| &r.row), plan.of(kind), running.of(kind), has_waited);
                take_step(node, keeper, &group, row, step).await?;
            }
        }
        Ok(())
    }

    fn note_seen(&mut self, now: Duration, stored: &HashMap<OrderGroup, StoredOrder>) {
        for (group, order) in stored {
            let seen = self.seen.entry(group.clone()).or_insert((order.version, now));
            if seen.0 != order.version {
                *seen = (order.version, now);
            }
        }
    }

    /// Whether the newest order of a group has been seen unchanged for `age`.
    fn has_stood(&self, now: Duration, group: &OrderGroup, age: Duration) -> bool {
        let seen = self.seen.get(group);
        seen.is_some_and(|(_, since)| now.saturating_sub(*since) >= age)
    }
}

async fn take_step(
    node: &NodeContext,
    keeper: &Arc<LeaseKeeper>,
    group: &OrderGroup,
    stored: Option<&StoredOrder>,
    step: OrderStep,
) -> Result<(), PlatformError> {
    match (step, stored) {
        (OrderStep::Idle, _) | (OrderStep::Resolve, None) => Ok(()),
        (OrderStep::Resolve, Some(stored)) => settle(node, keeper, stored).await,
        (OrderStep::Place(count), stored) => {
            let fencing = keeper.fencing().ok_or(PlatformError::NotPermitted)?;
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

/// Asks what became of an order whose result is not known; sends the same one if it never arrived.
async fn settle(
    node: &NodeContext,
    keeper: &Arc<LeaseKeeper>,
    stored: &StoredOrder,
) -> Result<(), PlatformError> {
    match node.platform.find(&stored.row.order).await? {
        Some(receipt) => note_result(node, stored.clone(), &receipt).await,
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
    permit.settle(&result);
    note_result(node, stored, &result?).await
}

async fn note_result(
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
