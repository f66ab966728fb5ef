//! Keeping the leases of this node's duties in the table service.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::lease::{
    ClockReading, DutyLease, LeaseWrite, ReceiverFencing, VersionedLease, WriteOutcome,
};
use berylstep_core::member::MemberState;
use berylstep_core::rendezvous;

use crate::clock::RuntimeClock;
use crate::native::{PlatformError, StoredRow, TableTransaction, TableWrite};
use crate::node::NodeContext;
use crate::store;

/// Prefix of the rows of leases.
const ROW_PREFIX: &str = "lease/";

/// Nodes that watch the row of one duty.
const MAX_CANDIDATES: usize = 4;

/// Part of the renewal time between two looks at a lease.
const LOOK_DIVISOR: u32 = 2;

/// Longest time between two looks at a lease.
const MAX_LOOK: Duration = Duration::from_secs(1);

/// Time between looks at whether sends are still in flight.
const SEND_POLL: Duration = Duration::from_millis(10);

/// One duty's lease at this node.
#[derive(Debug)]
pub struct LeaseKeeper {
    /// Name of the duty.
    pub duty: SharedName,
    clock: RuntimeClock,
    lease: Mutex<DutyLease>,
    sends: AtomicU32,
    unsettled: AtomicBool,
    closing: AtomicBool,
}

/// Permission to send under a lease, counted as a send in flight until dropped.
#[derive(Debug)]
pub struct SendPermit {
    keeper: Arc<LeaseKeeper>,
    /// Fencing number to send.
    pub fencing: u64,
}

impl SendPermit {
    /// Whether the lease permits a write at this very moment.
    pub fn is_valid(&self) -> bool {
        self.keeper.fencing() == Some(self.fencing)
    }

    /// Takes in how a send ended: without an answer it may still be on its way, and a receiver that
    /// has seen a newer fencing number ends the lease at once.
    pub fn settle<T>(&self, result: &Result<T, PlatformError>) {
        let Err(err) = result else { return };
        if err.may_have_run() {
            self.keeper.unsettled.store(true, Ordering::SeqCst);
        }
        if err.is_fenced() {
            log::warn!("fenced off: duty={} fencing={}", self.keeper.duty, self.fencing);
            self.keeper.lease().invalidate();
        }
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        self.keeper.sends.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LeaseKeeper {
    /// Makes the keeper of a lease that this node does not hold.
    pub fn new(node: &NodeContext, duty: SharedName, fencing: ReceiverFencing) -> Self {
        let settings = &node.settings;
        let times = settings.lease_times;
        let lease = DutyLease::new(settings.node.clone(), node.incarnation(), times, fencing);
        Self {
            duty,
            clock: node.clock.clone(),
            lease: Mutex::new(lease),
            sends: AtomicU32::new(0),
            unsettled: AtomicBool::new(false),
            closing: AtomicBool::new(false),
        }
    }

    /// Permission to send, if the lease gives it now.
    pub fn permit(self: &Arc<Self>) -> Option<SendPermit> {
        // Counted before the lease is asked, so that a release either sees it or comes first.
        self.sends.fetch_add(1, Ordering::SeqCst);
        let mut permit = SendPermit { keeper: self.clone(), fencing: 0 };
        permit.fencing = self.fencing()?;
        Some(permit)
    }

    /// Fencing number under which a send may begin now.
    pub fn fencing(&self) -> Option<u64> {
        if self.closing.load(Ordering::SeqCst) {
            return None;
        }
        let now = read_clocks(&self.clock);
        self.lease().fencing_token(now)
    }

    fn lease(&self) -> MutexGuard<'_, DutyLease> {
        self.lease.lock().expect("lease lock")
    }
}

/// Takes, renews and loses the lease, for as long as the node runs.
pub async fn keep(node: Arc<NodeContext>, keeper: Arc<LeaseKeeper>) {
    let look = (node.settings.lease_times.renewal() / LOOK_DIVISOR).min(MAX_LOOK);
    loop {
        if !keeper.closing.load(Ordering::SeqCst) {
            if let Err(err) = step(&node, &keeper).await {
                log::debug!("cannot keep lease: duty={} error={err}", keeper.duty);
            }
        }
        node.clock.sleep(look).await;
    }
}

/// Gives the lease up for a planned stop, once no send is in flight.
pub async fn release(node: &NodeContext, keeper: &LeaseKeeper) {
    keeper.closing.store(true, Ordering::SeqCst);
    while keeper.sends.load(Ordering::SeqCst) > 0 {
        node.clock.sleep(SEND_POLL).await;
    }
    if keeper.unsettled.load(Ordering::SeqCst) {
        log::info!("lease is left to expire: duty={}", keeper.duty);
        return;
    }
    match give_up(node, keeper).await {
        Ok(()) => log::info!("lease given up: duty={}", keeper.duty),
        Err(err) => log::info!("lease is left to expire: duty={} error={err}", keeper.duty),
    }
}

async fn give_up(node: &NodeContext, keeper: &LeaseKeeper) -> Result<(), PlatformError> {
    read(node, keeper).await?;
    let write = keeper.lease().release();
    match write {
        Some(write) => commit(node, keeper, &write).await,
        None => Ok(()),
    }
}

async fn step(node: &NodeContext, keeper: &LeaseKeeper) -> Result<(), PlatformError> {
    let rank = rank(node, &keeper.duty);
    let is_candidate = rank.is_some() || keeper.fencing().is_some();
    if !is_candidate || !keeper.lease().needs_row(read_clocks(&node.clock)) {
        return Ok(());
    }
    read(node, keeper).await?;
    let next = keeper.lease().next_write(read_clocks(&node.clock), rank.unwrap_or_default());
    match next {
        Some(write) => commit(node, keeper, &write).await,
        None => Ok(()),
    }
}

async fn read(node: &NodeContext, keeper: &LeaseKeeper) -> Result<(), PlatformError> {
    let stored = node.platform.row(&row_key(&keeper.duty)).await?;
    node.record_store_response();
    keeper.lease().observe(read_clocks(&node.clock), stored.and_then(parse_row));
    Ok(())
}

async fn commit(
    node: &NodeContext,
    keeper: &LeaseKeeper,
    write: &LeaseWrite,
) -> Result<(), PlatformError> {
    let token = store::token(node);
    let value = serde_json::to_string(&write.row).expect("rows are valid JSON");
    let key = row_key(&keeper.duty);
    let row_write = TableWrite { key, expect: Some(write.expect), value: Some(value) };
    let transaction = TableTransaction { token: token.clone(), writes: vec![row_write] };
    keeper.lease().begin_write(read_clocks(&node.clock), token, write);
    let result = node.platform.transact(&transaction).await;
    let outcome = match &result {
        Ok(result) if result.committed => WriteOutcome::Committed,
        Ok(_) => WriteOutcome::Conflict,
        Err(_) => WriteOutcome::Unknown,
    };
    keeper.lease().finish_write(outcome);
    log::debug!("lease written: duty={} row={:?} outcome={outcome:?}", keeper.duty, write.row);
    result.map(|_| ())
}

/// Place of this node among the candidates for a duty; `None` where it is none of them.
fn rank(node: &NodeContext, duty: &str) -> Option<u32> {
    if node.state() == MemberState::Leaving {
        return None;
    }
    let now = node.clock.now();
    let own = &*node.settings.node;
    let members = node.members();
    let others = members.live(now).filter(|member| member.is_serving(now));
    let others = others.map(|member| &*member.row.node).filter(|name| *name != own);
    let ranked = rendezvous::rank(duty, others.chain([own]));
    let place = ranked.iter().position(|name| *name == own)?;
    (place < MAX_CANDIDATES).then_some(place as u32)
}

/// Both clocks of the node, now.
fn read_clocks(clock: &RuntimeClock) -> ClockReading {
    ClockReading { monotonic: clock.now(), boot: clock.boot_time() }
}

fn row_key(duty: &str) -> String {
    format!("{ROW_PREFIX}{duty}")
}

fn parse_row(stored: StoredRow) -> Option<VersionedLease> {
    let StoredRow { key, value, version, token } = stored;
    match serde_json::from_str(&value) {
        Ok(row) => Some(VersionedLease { row, version, token }),
        Err(err) => {
            log::error!("lease row is malformed: key={key} error={err}");
            None
        }
    }
}
