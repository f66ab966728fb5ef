//! Duties that one node at a time performs under a lease: reporting usage and ordering replicas.

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
use crate::platform::cloud::DutyHolder;
use crate::platform::store::{CommitResult, RowWrite, StoreRow};
use crate::platform::{CallError, PlatformClient};

/// Table that stores the lease of the duties.
const DUTY_TABLE: &str = "duties";

/// Key of the lease.
const LEASE_KEY: &str = "holder";

/// Table that stores sealed usage, keyed by window.
const USAGE_TABLE: &str = "usage";

/// Time after which a lease that is not renewed expires. A renewal costs two calls to the store,
/// and a takeover takes a quarter longer than the lease, so that a window sealed after 4.5 s is
/// still reported within 10 s.
const LEASE_EXPIRY: Duration = Duration::from_millis(3600);

/// Time after which a lease expires where the platform ignores fencing tokens. A successor waits
/// twice as long there, so the lease is shorter for the same deadline of the windows.
const UNFENCED_LEASE_EXPIRY: Duration = Duration::from_millis(1800);

/// Interval at which the lease and the duties are checked.
const DUTY_INTERVAL: Duration = Duration::from_millis(500);

/// Number of nodes that compete for a free lease.
const MAX_CANDIDATES: usize = 2;

/// Delay between the end of a window and its seal, after which its counts no longer change. By then
/// the last counts of a briefly disconnected node have arrived.
const SEAL_DELAY: Duration = Duration::from_millis(4500);

/// Time after the end of a window until which missing counts are awaited; the report is due after
/// 10 s.
const SEAL_DEADLINE: Duration = Duration::from_millis(8500);

/// Consecutive checks at which the holder is not a representative before it hands the duties over.
const OUTRANKED_CHECKS: u32 = 2;

/// Retention of sealed usage in the store, as a multiple of the retention of counts: a window whose
/// seal has been deleted must never be sealed again.
const SEAL_RETENTION_FACTOR: u64 = 2;

/// Stored form of the lease.
#[derive(Serialize, Deserialize)]
struct StoredLease {
    lease: LeaseRow,
    /// Random token that reveals whether a write whose response was lost has taken effect.
    token: String,
}

/// Shared state and clients that the duties use.
pub struct DutyContext {
    /// Settings that the process started with.
    pub settings: Rc<GatewaySettings>,
    /// Source of monotonic and boot time.
    pub clock: RuntimeClock,
    /// Client of the store.
    pub store: Rc<PlatformClient>,
    /// Client of the platform's usage and scaling interface.
    pub cloud: PlatformClient,
    /// Local copy of the store.
    pub mirror: Rc<StoreMirror>,
    /// Table of the other nodes.
    pub peers: Rc<PeerTable>,
    /// Usage counts of this node and its peers.
    pub usage: Rc<UsageLedger>,
    /// Fencing token published in this node's pulses; 0 while it does not hold the duties.
    pub fencing: Rc<Cell<u64>>,
    /// Metrics of the gateway.
    pub metrics: Rc<GatewayMetrics>,
    /// Demand measured at this node.
    pub demand: Rc<DemandLedger>,
}

/// Acquires and renews the lease, and performs the duties while this node holds it.
pub struct DutyKeeper {
    context: DutyContext,
    lease: RefCell<DutyLease>,
    closing: Cell<bool>,
    /// Whether the last lease operation failed; no fencing token is published then, so that other
    /// nodes start to watch the lease's row.
    in_doubt: Cell<bool>,
    /// Fencing token held at the last check; 0 if this node did not hold the lease.
    held_token: Cell<u64>,
    /// Consecutive checks at which this node held the duties without being a representative.
    outranked_checks: Cell<u32>,
    /// Newest window that needs no further report.
    last_handled: Cell<u64>,
    /// Window whose seal this node has written, until its report is confirmed.
    own_seal: RefCell<Option<(u64, WindowCounts)>>,
    orders: OrderPlanner,
}

impl DutyKeeper {
    /// Creates the keeper of a node that does not hold the lease.
    pub fn new(context: DutyContext) -> Self {
        let run = context.usage.run();
        let (expiry, fencing) = match context.settings.receiver_checks_fencing {
            true => (LEASE_EXPIRY, ReceiverFencing::Checked),
            false => (UNFENCED_LEASE_EXPIRY, ReceiverFencing::Ignored),
        };
        let times = LeaseTimes { expiry };
        let lease = DutyLease::new(run.node.clone(), run.incarnation, times, fencing);
        // After a restart, counts of the current window from before the start may be lost.
        let known_from = context.usage.current_window() + u64::from(!context.settings.first_start);
        let DutyContext { clock, mirror, peers, demand, .. } = &context;
        let orders =
            OrderPlanner::new(clock.clone(), mirror.clone(), peers.clone(), demand.clone());
        Self {
            lease: RefCell::new(lease),
            closing: Cell::new(false),
            in_doubt: Cell::new(false),
            held_token: Cell::new(0),
            outranked_checks: Cell::new(0),
            last_handled: Cell::new(known_from.saturating_sub(1)),
            own_seal: RefCell::default(),
            orders,
            context,
        }
    }

    /// Maintains the lease and performs the duties, for as long as the node runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.context.clock.sleep(DUTY_INTERVAL).await;
            self.orders.observe_fleet();
            self.follow_era();
            if self.closing.get() {
                continue;
            }
            let result = match self.is_outranked() {
                true => self.hand_over().await,
                false => self.maintain_lease().await,
            };
            self.in_doubt.set(result.is_err());
            if let Err(err) = result {
                log::info!("event=lease_not_kept error=\"{err}\"");
            }
            self.publish_fencing();
            if self.permit().is_some() {
                self.place_orders().await;
                self.report_usage().await;
            }
        }
    }

    /// Returns whether this node holds the duties but has not been a representative for several
    /// checks, while the first node of the duty order has counts for all unreported windows.
    fn is_outranked(&self) -> bool {
        let DutyContext { clock, peers, usage, settings, .. } = &self.context;
        let now = clock.now();
        let open_windows = 2 * Duration::from_secs(settings.usage_window_s) + SEAL_DEADLINE;
        let knows_windows = |successor: &KnownNode| {
            let age_ms = usage.unix_ms().saturating_sub(successor.incarnation);
            age_ms >= open_windows.as_millis() as u64
        };
        let is_outside = self.permit().is_some()
            && !peers.is_representative(now)
            && peers.duty_order(now).first().is_some_and(knows_windows);
        self.outranked_checks.set(if is_outside { self.outranked_checks.get() + 1 } else { 0 });
        self.outranked_checks.get() >= OUTRANKED_CHECKS
    }

    async fn hand_over(&self) -> Result<(), CallError> {
        log::info!("event=lease_handed_over reason=not_representative");
        self.release_lease().await
    }

    /// Stops the duties and releases the lease before a planned stop.
    pub async fn release(&self) {
        if self.permit().is_none() {
            self.closing.set(true);
            return;
        }
        self.closing.set(true);
        self.publish_fencing();
        match self.release_lease().await {
            Ok(()) => log::info!("event=lease_released"),
            Err(err) => log::info!("event=lease_left_to_expire error=\"{err}\""),
        }
    }

    /// Marks the lease as free. Reads its row first, because its version grows with every renewal.
    async fn release_lease(&self) -> Result<(), CallError> {
        self.read_lease().await?;
        let write = self.lease.borrow_mut().release();
        match write {
            Some(write) => self.write_lease(&write).await,
            None => Err(CallError::NotSent("another node holds the lease".to_owned())),
        }
    }

    /// Ends a lease of an era of the store that is over, and learns which fencing tokens were used.
    fn follow_era(&self) {
        let DutyContext { store, mirror, peers, clock, .. } = &self.context;
        mirror.enter_era(store.newest_era());
        let mut lease = self.lease.borrow_mut();
        lease.raise_fencing(peers.duty_fencing(clock.now()));
        if lease.enter_era(mirror.era()) {
            log::warn!("event=lease_lost reason=store_restored era={}", mirror.era());
        }
    }

    async fn read_lease(&self) -> Result<(), CallError> {
        let snapshot = self.context.store.rows(DUTY_TABLE, LEASE_KEY).await?;
        self.follow_era();
        if snapshot.era < self.context.mirror.era() {
            return Err(CallError::NotSent("answer from before a restore".to_owned()));
        }
        let row = snapshot.rows.into_iter().find(|row| row.key == LEASE_KEY);
        let now = self.read_clocks();
        self.lease.borrow_mut().observe(now, row.and_then(parse_lease));
        Ok(())
    }

    /// Returns the fencing token under which a call may be made now; `None` if none may.
    fn permit(&self) -> Option<u64> {
        match self.closing.get() {
            true => None,
            false => self.lease.borrow().fencing_token(self.read_clocks()),
        }
    }

    fn publish_fencing(&self) {
        let held = self.permit().unwrap_or_default();
        let published = if self.in_doubt.get() { 0 } else { held };
        self.context.fencing.set(published);
        if self.held_token.replace(held) != held {
            let outcome = if held == 0 { "lost" } else { "held" };
            log::info!("event=lease_changed outcome={outcome} fencing={held}");
        }
        self.context.metrics.duty_fencing.set(held as i64);
    }

    fn read_clocks(&self) -> ClockReading {
        ClockReading { monotonic: self.context.clock.now(), boot: self.context.clock.boot_time() }
    }

    /// Returns this node's rank among the candidates for a free lease, from 0; `None` if it is not
    /// a candidate.
    fn candidate_rank(&self) -> Option<u32> {
        if !self.context.mirror.is_complete() {
            return None;
        }
        let now = self.context.clock.now();
        if self.context.peers.duty_fencing(now) > 0 {
            return None;
        }
        let order = self.context.peers.duty_order(now);
        let rank = order.iter().position(|node| node.node == self.context.settings.node)?;
        (rank < MAX_CANDIDATES).then_some(rank as u32)
    }

    /// Acquires or renews the lease if it is this node's turn.
    async fn maintain_lease(&self) -> Result<(), CallError> {
        let rank = self.candidate_rank();
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
            value: serde_json::to_vec(&stored).expect("a lease serializes to JSON"),
            expected: Some(write.expect),
        };
        self.lease.borrow_mut().begin_write(self.read_clocks(), token, write);
        let result = self.context.store.commit(&[row], &[]).await;
        // A write that a restore has undone must not make this node the holder.
        self.follow_era();
        let outcome = match &result {
            Ok(CommitResult::Committed) => WriteOutcome::Committed,
            Ok(CommitResult::Conflict(_)) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        };
        self.lease.borrow_mut().finish_write(outcome);
        match result? {
            CommitResult::Committed => Ok(()),
            CommitResult::Conflict(_) => {
                Err(CallError::NotSent("lease row changed since it was read".to_owned()))
            }
        }
    }

    /// Places all due orders.
    async fn place_orders(&self) {
        for order in self.orders.due_orders() {
            let Some(fencing) = self.permit() else { return };
            let holder = DutyHolder { node: &self.context.settings.node, fencing };
            let result = self.context.cloud.order_replicas(holder, &order).await;
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
            self.orders.record_result(&order, &result);
            if result.is_err_and(|err| err.is_fenced()) && !self.still_holds().await {
                return;
            }
        }
    }

    /// Reads the lease again after the platform rejected an order with a conflict: either it has
    /// seen a newer holder, or it has no replicas of the ordered kind.
    async fn still_holds(&self) -> bool {
        if let Err(err) = self.read_lease().await {
            log::warn!("event=lease_not_read error=\"{err}\" outcome=surrendered");
            self.lease.borrow_mut().invalidate();
        }
        self.permit().is_some()
    }

    /// Reports all windows that are due.
    async fn report_usage(&self) {
        let current = self.context.usage.current_window();
        let oldest = current.saturating_sub(self.context.usage.retained_windows());
        let from = (self.last_handled.get() + 1).max(oldest);
        for window in from..current {
            let Some(age) = self.context.usage.age(window).filter(|age| *age >= SEAL_DELAY) else {
                return;
            };
            match self.decide_window(window, age) {
                WindowDecision::Report => {}
                WindowDecision::Wait => return,
                WindowDecision::Unknown => {
                    self.last_handled.set(window);
                    continue;
                }
            }
            match self.report_window(window).await {
                Ok(()) => self.last_handled.set(window),
                Err(err) => {
                    log::warn!("event=usage_not_reported window={window} error=\"{err}\"");
                    if err.is_fenced() {
                        let mut lease = self.lease.borrow_mut();
                        lease.record_rejection();
                        lease.invalidate();
                    }
                    return;
                }
            }
        }
    }

    /// Decides whether the counts of a window are complete enough to be reported.
    fn decide_window(&self, window: u64, age: Duration) -> WindowDecision {
        let nodes = self.context.peers.nodes(self.context.clock.now());
        let runs = nodes
            .iter()
            .map(|node| NodeRun { node: node.node.clone(), incarnation: node.incarnation });
        let missing = self.context.usage.unfinished(window, runs);
        let decision = WindowDecision::decide(missing.len(), nodes.len(), age >= SEAL_DEADLINE);
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

    /// Seals the counts of a window in the store and reports the sealed counts.
    async fn report_window(&self, window: u64) -> Result<(), CallError> {
        let own = self.own_seal.borrow().clone().filter(|(sealed, _)| *sealed == window);
        let counts = match own {
            Some((_, counts)) => counts,
            None if window <= self.context.usage.sealed_window() => {
                match self.read_seal(window).await? {
                    Some(counts) => counts,
                    None => {
                        // The seal was lost with a restore, and its figures may have been sent.
                        log::warn!("event=usage_seal_lost window={window} outcome=not_reported");
                        return Ok(());
                    }
                }
            }
            None => self.seal_window(window, self.context.usage.total(window)).await?,
        };
        self.context.usage.record_sealed(window);
        *self.own_seal.borrow_mut() = Some((window, counts.clone()));
        let Some(fencing) = self.permit() else {
            return Err(CallError::NotSent("this node no longer holds the lease".to_owned()));
        };
        let holder = DutyHolder { node: &self.context.settings.node, fencing };
        self.context.cloud.report_usage(holder, window, &counts).await?;
        log::info!(
            "event=usage_reported window={window} fencing={fencing} organisations={} requests={}",
            counts.len(),
            counts.values().sum::<u64>()
        );
        Ok(())
    }

    /// Reads the sealed counts of a window; `None` if there is no seal.
    async fn read_seal(&self, window: u64) -> Result<Option<WindowCounts>, CallError> {
        let key = window_key(window);
        let snapshot = self.context.store.rows(USAGE_TABLE, &key).await?;
        let row = snapshot.rows.into_iter().find(|row| row.key == key);
        let Some(value) = row.and_then(|row| row.value) else { return Ok(None) };
        let decoded = serde_json::from_slice(&value);
        decoded.map(Some).map_err(|err| CallError::Malformed(err.to_string()))
    }

    /// Writes the counts of a window unless it is already sealed; returns the sealed counts.
    async fn seal_window(
        &self,
        window: u64,
        counts: WindowCounts,
    ) -> Result<WindowCounts, CallError> {
        let key = window_key(window);
        let write = RowWrite {
            table: USAGE_TABLE,
            key: key.clone(),
            value: serde_json::to_vec(&counts).expect("usage counts serialize to JSON"),
            expected: Some(0),
        };
        let retained = SEAL_RETENTION_FACTOR * self.context.usage.retained_windows();
        let old = window_key(window.saturating_sub(retained));
        match self.context.store.commit(&[write], &[(USAGE_TABLE, old)]).await? {
            CommitResult::Committed => Ok(counts),
            CommitResult::Conflict(rows) => {
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
