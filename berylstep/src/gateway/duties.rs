//! Duties that one node holds at a time: usage reports and orders of replicas.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::fleet::window::{NodeRun, WindowCounts, WindowDecision};
use berylstep_core::lease::{
    ClockReading, DutyLease, LeaseRow, LeaseTimes, ReceiverFencing, VersionedLease, WriteOutcome,
};
use serde::{Deserialize, Serialize};

use crate::clock::RuntimeClock;
use crate::gateway::demand::DemandLedger;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::orders::OrderPlanner;
use crate::gateway::peers::{KnownNode, PeerTable};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::telemetry::GatewayMetrics;
use crate::gateway::usage::UsageLedger;
use crate::platform::cloud::DutyTerms;
use crate::platform::store::{CommitAnswer, RowWrite, StoreRow};
use crate::platform::{CallError, PlatformClient};

/// Table of the duties' lease.
const DUTY_TABLE: &str = "duties";

/// Key of the lease.
const LEASE_KEY: &str = "holder";

/// Table of sealed usage, by window.
const USAGE_TABLE: &str = "usage";

/// Time for which a lease is held without renewal. A renewal costs two calls to the store, and a
/// takeover takes a quarter longer than the lease: a window that is sealed after 4.5 s is still
/// reported within 10 s.
const LEASE_EXPIRY: Duration = Duration::from_millis(3600);

/// Time between looks at the duties.
const DUTY_LOOK: Duration = Duration::from_millis(500);

/// Nodes that try to take the lease when no node holds it.
const CANDIDATES: usize = 2;

/// Time after the end of a window at which it is sealed: the last counts of a node that was cut off
/// for a moment are in by then.
const SEAL_AFTER: Duration = Duration::from_millis(4500);

/// Time after the end of a window until which last counts are waited for; a report is due after 10 s.
const LAST_SEAL: Duration = Duration::from_millis(8500);

/// Looks in a row at which a holder is not a representative before it hands over.
const LOOKS_OUTRANKED: u32 = 2;

/// Time for which sealed usage stays in the store, as a multiple of that for which counts are kept:
/// a window whose seal is gone must never be sealed again.
const SEAL_KEPT_FACTOR: u64 = 2;

/// Lease as stored.
#[derive(Serialize, Deserialize)]
struct StoredLease {
    lease: LeaseRow,
    /// Settles a write whose answer was lost.
    token: String,
}

/// What the duties use.
pub struct DutyContext {
    /// Settings.
    pub settings: Rc<GatewaySettings>,
    /// Clock.
    pub clock: RuntimeClock,
    /// The store.
    pub store: Rc<PlatformClient>,
    /// Usage and order interface of the platform.
    pub cloud: PlatformClient,
    /// Copy of the store.
    pub mirror: Rc<StoreMirror>,
    /// Other nodes.
    pub peers: Rc<PeerTable>,
    /// Usage.
    pub usage: Rc<UsageLedger>,
    /// Fencing token under which this node holds the duties, for its pulses.
    pub fencing: Rc<Cell<u64>>,
    /// Metrics.
    pub metrics: Rc<GatewayMetrics>,
    /// Demand.
    pub demand: Rc<DemandLedger>,
}

/// Keeps the lease and does the duties while this node holds it.
pub struct DutyKeeper {
    handles: DutyContext,
    lease: RefCell<DutyLease>,
    closing: Cell<bool>,
    /// Whether the last call for the lease failed: others then begin to watch its row.
    in_doubt: Cell<bool>,
    held: Cell<u64>,
    /// Looks in a row at which this node held the duties without being a representative.
    outranked: Cell<u32>,
    reported: Cell<u64>,
    orders: OrderPlanner,
}

impl DutyKeeper {
    /// A node that does not hold the lease.
    pub fn new(handles: DutyContext) -> Self {
        let run = handles.usage.run();
        let times = LeaseTimes { expiry: LEASE_EXPIRY };
        let lease =
            DutyLease::new(run.node.clone(), run.incarnation, times, ReceiverFencing::Checked);
        // A window in which nodes ran before can't be known whole.
        let known_from = handles.usage.present_window() + u64::from(!handles.settings.first_start);
        let DutyContext { clock, mirror, peers, demand, .. } = &handles;
        let orders =
            OrderPlanner::new(clock.clone(), mirror.clone(), peers.clone(), demand.clone());
        Self {
            lease: RefCell::new(lease),
            closing: Cell::new(false),
            in_doubt: Cell::new(false),
            held: Cell::new(0),
            outranked: Cell::new(0),
            reported: Cell::new(known_from.saturating_sub(1)),
            orders,
            handles,
        }
    }

    /// Keeps the lease and does the duties, for as long as the node runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.handles.clock.sleep(DUTY_LOOK).await;
            self.orders.observe();
            if self.closing.get() {
                continue;
            }
            let kept = match self.is_outranked() {
                true => self.hand_over().await,
                false => self.keep_lease().await,
            };
            self.in_doubt.set(kept.is_err());
            if let Err(err) = kept {
                log::info!("event=lease_not_kept error=\"{err}\"");
            }
            self.publish_fencing();
            if self.permit().is_some() {
                self.place_orders().await;
                self.report_usage().await;
            }
        }
    }

    /// Whether this node holds the duties and has not been a representative for some looks, while
    /// the next in the order knows all windows that are not reported yet.
    fn is_outranked(&self) -> bool {
        let DutyContext { clock, peers, usage, settings, .. } = &self.handles;
        let now = clock.now();
        let open_windows = 2 * Duration::from_secs(settings.usage_window_s) + LAST_SEAL;
        let knows_windows = |heir: &KnownNode| {
            let age_ms = usage.unix_ms().saturating_sub(heir.incarnation);
            age_ms >= open_windows.as_millis() as u64
        };
        let is_outside = self.permit().is_some()
            && !peers.is_representative(now)
            && peers.duty_order(now).first().is_some_and(knows_windows);
        self.outranked.set(if is_outside { self.outranked.get() + 1 } else { 0 });
        self.outranked.get() >= LOOKS_OUTRANKED
    }

    async fn hand_over(&self) -> Result<(), CallError> {
        log::info!("event=lease_handed_over reason=not_representative");
        self.give_up().await
    }

    /// Gives the lease up before a planned stop.
    pub async fn release(&self) {
        if self.permit().is_none() {
            self.closing.set(true);
            return;
        }
        self.closing.set(true);
        self.publish_fencing();
        match self.give_up().await {
            Ok(()) => log::info!("event=lease_released"),
            Err(err) => log::info!("event=lease_left_to_expire error=\"{err}\""),
        }
    }

    /// Writes that the lease is free; its row is read first, for its version grows with renewals.
    async fn give_up(&self) -> Result<(), CallError> {
        self.read_lease().await?;
        let write = self.lease.borrow_mut().release();
        match write {
            Some(write) => self.write_lease(&write).await,
            None => Err(CallError::NotSent("another node holds the lease".to_owned())),
        }
    }

    async fn read_lease(&self) -> Result<(), CallError> {
        let snapshot = self.handles.store.rows(DUTY_TABLE, LEASE_KEY).await?;
        let row = snapshot.rows.into_iter().find(|row| row.key == LEASE_KEY);
        let now = self.read_clocks();
        self.lease.borrow_mut().observe(now, row.and_then(parse_lease));
        Ok(())
    }

    /// Fencing token under which a call may be made now.
    fn permit(&self) -> Option<u64> {
        match self.closing.get() {
            true => None,
            false => self.lease.borrow().fencing_token(self.read_clocks()),
        }
    }

    fn publish_fencing(&self) {
        let held = self.permit().unwrap_or_default();
        let told = if self.in_doubt.get() { 0 } else { held };
        self.handles.fencing.set(told);
        if self.held.replace(held) != held {
            let outcome = if held == 0 { "lost" } else { "held" };
            log::info!("event=lease_changed outcome={outcome} fencing={held}");
        }
        self.handles.metrics.duty_fencing.set(held as i64);
    }

    fn read_clocks(&self) -> ClockReading {
        ClockReading { monotonic: self.handles.clock.now(), boot: self.handles.clock.boot_time() }
    }

    /// Place among the nodes that try to take the lease; `None` where this node leaves it to others.
    fn rank(&self) -> Option<u32> {
        if !self.handles.mirror.is_complete() {
            return None;
        }
        let now = self.handles.clock.now();
        if self.handles.peers.duty_fencing(now) > 0 {
            return None;
        }
        let order = self.handles.peers.duty_order(now);
        let place = order.iter().position(|node| node.node == self.handles.settings.node)?;
        (place < CANDIDATES).then_some(place as u32)
    }

    async fn keep_lease(&self) -> Result<(), CallError> {
        let rank = self.rank();
        let holds = self.permit().is_some();
        if !holds && rank.is_none() {
            return Ok(());
        }
        if !self.lease.borrow().needs_row(self.read_clocks()) {
            return Ok(());
        }
        self.read_lease().await?;
        let now = self.read_clocks();
        let next = self.lease.borrow().next_write(now, rank.unwrap_or_default());
        match next {
            Some(write) => self.write_lease(&write).await,
            None => Ok(()),
        }
    }

    async fn write_lease(
        &self,
        write: &berylstep_core::lease::LeaseWrite,
    ) -> Result<(), CallError> {
        let token = format!("{:016x}", fastrand::u64(..));
        let stored = StoredLease { lease: write.row.clone(), token: token.clone() };
        let row = RowWrite {
            table: DUTY_TABLE,
            key: LEASE_KEY.to_owned(),
            value: serde_json::to_vec(&stored).expect("leases are valid JSON"),
            expected: Some(write.expect),
        };
        self.lease.borrow_mut().begin_write(self.read_clocks(), token, write);
        let result = self.handles.store.commit(&[row], &[]).await;
        let outcome = match &result {
            Ok(CommitAnswer::Committed) => WriteOutcome::Committed,
            Ok(CommitAnswer::Conflict(_)) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        };
        self.lease.borrow_mut().finish_write(outcome);
        match result? {
            CommitAnswer::Committed => Ok(()),
            CommitAnswer::Conflict(_) => {
                Err(CallError::NotSent("the lease's row has changed".to_owned()))
            }
        }
    }

    /// Places the orders that are due.
    async fn place_orders(&self) {
        for order in self.orders.due() {
            let Some(fencing) = self.permit() else { return };
            let terms = DutyTerms { holder: &self.handles.settings.node, fencing };
            let result = self.handles.cloud.order_replicas(terms, &order).await;
            let outcome = match &result {
                Ok(()) => "accepted".to_owned(),
                Err(err) => format!("failed: {err}"),
            };
            log::info!(
                "event=replicas_ordered service={} zone={} spot={} count={} fencing={fencing} \
                 outcome=\"{outcome}\"",
                order.service,
                order.zone,
                order.spot,
                order.count
            );
            self.orders.note(&order, &result);
            if result.is_err_and(|err| err.is_fenced()) && !self.still_holds().await {
                return;
            }
        }
    }

    /// Reads the lease anew after a call was turned away: either a newer holder was seen, or there
    /// was nothing to be had.
    async fn still_holds(&self) -> bool {
        if let Err(err) = self.read_lease().await {
            log::warn!("event=lease_not_read error=\"{err}\" outcome=surrendered");
            self.lease.borrow_mut().invalidate();
        }
        self.permit().is_some()
    }

    /// Reports the windows that are due.
    async fn report_usage(&self) {
        let present = self.handles.usage.present_window();
        let oldest = present.saturating_sub(self.handles.usage.kept_windows());
        let from = (self.reported.get() + 1).max(oldest);
        for window in from..present {
            let Some(age) = self.handles.usage.age(window).filter(|age| *age >= SEAL_AFTER) else {
                return;
            };
            match self.decide_window(window, age) {
                WindowDecision::Report => {}
                WindowDecision::Wait => return,
                WindowDecision::Unknown => {
                    self.reported.set(window);
                    continue;
                }
            }
            match self.report_window(window).await {
                Ok(()) => self.reported.set(window),
                Err(err) => {
                    log::warn!("event=usage_not_reported window={window} error=\"{err}\"");
                    if err.is_fenced() {
                        self.lease.borrow_mut().invalidate();
                    }
                    return;
                }
            }
        }
    }

    /// Whether the counts of a window are known well enough to be reported.
    fn decide_window(&self, window: u64, age: Duration) -> WindowDecision {
        let nodes = self.handles.peers.nodes(self.handles.clock.now());
        let runs = nodes
            .iter()
            .map(|node| NodeRun { node: node.node.clone(), incarnation: node.incarnation });
        let missing = self.handles.usage.unfinished(window, runs);
        let decision = WindowDecision::decide(missing.len(), nodes.len(), age >= LAST_SEAL);
        match decision {
            WindowDecision::Report => {}
            WindowDecision::Wait => {
                log::debug!("event=usage_awaited window={window} of={missing:?}")
            }
            WindowDecision::Unknown => log::warn!(
                "event=usage_unknown window={window} nodes={} missing={} first_missing={} \
                 outcome=not_reported",
                nodes.len(),
                missing.len(),
                missing.first().map_or("-", |run| &*run.node)
            ),
        }
        decision
    }

    /// Seals the counts of a window in the store and reports what is sealed.
    async fn report_window(&self, window: u64) -> Result<(), CallError> {
        let counts = self.seal(window, self.handles.usage.total(window)).await?;
        let Some(fencing) = self.permit() else {
            return Err(CallError::NotSent("lease is no longer held".to_owned()));
        };
        let terms = DutyTerms { holder: &self.handles.settings.node, fencing };
        self.handles.cloud.report_usage(terms, window, &counts).await?;
        log::info!(
            "event=usage_reported window={window} fencing={fencing} organisations={} requests={}",
            counts.len(),
            counts.values().sum::<u64>()
        );
        Ok(())
    }

    /// Writes the counts unless some are sealed already; returns those that are.
    async fn seal(&self, window: u64, counts: WindowCounts) -> Result<WindowCounts, CallError> {
        let key = window_key(window);
        let write = RowWrite {
            table: USAGE_TABLE,
            key: key.clone(),
            value: serde_json::to_vec(&counts).expect("counts are valid JSON"),
            expected: Some(0),
        };
        let kept = SEAL_KEPT_FACTOR * self.handles.usage.kept_windows();
        let old = window_key(window.saturating_sub(kept));
        match self.handles.store.commit(&[write], &[(USAGE_TABLE, old)]).await? {
            CommitAnswer::Committed => Ok(counts),
            CommitAnswer::Conflict(rows) => {
                let sealed = rows.into_iter().find(|row| row.key == key);
                let value = sealed.and_then(|row| row.value).unwrap_or_default();
                let decoded = serde_json::from_slice(&value);
                decoded.map_err(|err| CallError::Malformed(err.to_string()))
            }
        }
    }
}

fn window_key(window: u64) -> String {
    format!("{window:012}")
}

fn parse_lease(row: StoreRow) -> Option<VersionedLease> {
    let value = row.value?;
    match serde_json::from_slice::<StoredLease>(&value) {
        Ok(stored) => {
            Some(VersionedLease { row: stored.lease, version: row.revision, token: stored.token })
        }
        Err(err) => {
            log::error!("event=lease_row_malformed revision={} error=\"{err}\"", row.revision);
            None
        }
    }
}
