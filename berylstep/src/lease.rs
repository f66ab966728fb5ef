//! Acquisition, renewal and release of the leases on this node's duties.
//!
//! Each lease is a row in the table service.

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

/// Key prefix of lease rows.
const ROW_PREFIX: &str = "lease/";

/// Nodes that compete for the lease of a duty.
const MAX_CANDIDATES: usize = 4;

/// Polls of a lease per renewal interval.
const POLLS_PER_RENEWAL: u32 = 2;

/// Upper bound of the interval between polls of a lease.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for sends in flight during a release.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Local state of the lease on one duty.
#[derive(Debug)]
pub struct LeaseKeeper {
    /// Name of the duty, which is also the last part of the row key.
    pub duty: SharedName,
    clock: RuntimeClock,
    lease: Mutex<DutyLease>,
    sends_in_flight: AtomicU32,
    /// Whether a send failed without an answer and may still be delivered.
    has_unknown_send: AtomicBool,
    releasing: AtomicBool,
}

/// Permission to send under a lease; counts as a send in flight until dropped.
#[derive(Debug)]
pub struct SendPermit {
    keeper: Arc<LeaseKeeper>,
    /// Fencing token of the lease, to be included in the message.
    pub fencing: u64,
}

impl SendPermit {
    /// Returns whether the lease is still valid under the same fencing token.
    pub fn is_valid(&self) -> bool {
        self.keeper.fencing_token() == Some(self.fencing)
    }

    /// Records the result of a send.
    ///
    /// Without an answer the message may still be delivered, so the lease is not released early. If
    /// the receiver has seen a newer fencing token, the lease is invalidated at once.
    pub fn record_result<T>(&self, result: &Result<T, PlatformError>) {
        let Err(err) = result else { return };
        if err.may_have_run() {
            self.keeper.has_unknown_send.store(true, Ordering::SeqCst);
        }
        if err.is_fenced() {
            log::warn!(
                "receiver has seen a newer fencing token: duty={} fencing={}",
                self.keeper.duty,
                self.fencing
            );
            self.keeper.lease().invalidate();
        }
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        self.keeper.sends_in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LeaseKeeper {
    /// Creates the keeper of a lease that this node does not hold yet.
    pub fn new(node: &NodeContext, duty: SharedName, fencing: ReceiverFencing) -> Self {
        let settings = &node.settings;
        let times = settings.lease_times;
        let lease = DutyLease::new(settings.node.clone(), node.incarnation(), times, fencing);
        Self {
            duty,
            clock: node.clock.clone(),
            lease: Mutex::new(lease),
            sends_in_flight: AtomicU32::new(0),
            has_unknown_send: AtomicBool::new(false),
            releasing: AtomicBool::new(false),
        }
    }

    /// Returns a permit to send, or `None` if the lease is not valid or is being released.
    pub fn permit(self: &Arc<Self>) -> Option<SendPermit> {
        // The send is counted before the lease is checked, so that a concurrent release either
        // waits for it or prevents it.
        self.sends_in_flight.fetch_add(1, Ordering::SeqCst);
        let mut permit = SendPermit { keeper: self.clone(), fencing: 0 };
        permit.fencing = self.fencing_token()?;
        Some(permit)
    }

    /// Returns the fencing token of the lease, or `None` if it is not valid or is being released.
    pub fn fencing_token(&self) -> Option<u64> {
        if self.releasing.load(Ordering::SeqCst) {
            return None;
        }
        let now = read_clocks(&self.clock);
        self.lease().fencing_token(now)
    }

    fn lease(&self) -> MutexGuard<'_, DutyLease> {
        self.lease.lock().expect("lease lock")
    }
}

/// Acquires and renews the lease, until the node stops.
pub async fn maintain(node: Arc<NodeContext>, keeper: Arc<LeaseKeeper>) {
    let poll_interval =
        (node.settings.lease_times.renewal() / POLLS_PER_RENEWAL).min(MAX_POLL_INTERVAL);
    loop {
        if !keeper.releasing.load(Ordering::SeqCst) {
            if let Err(err) = poll(&node, &keeper).await {
                log::debug!("failed to acquire or renew lease: duty={} error={err}", keeper.duty);
            }
        }
        node.clock.sleep(poll_interval).await;
    }
}

/// Releases the lease for a planned stop, after all sends in flight have ended.
///
/// After a send without an answer the lease is left to expire, since the message may still be
/// delivered.
pub async fn release(node: &NodeContext, keeper: &LeaseKeeper) {
    keeper.releasing.store(true, Ordering::SeqCst);
    while keeper.sends_in_flight.load(Ordering::SeqCst) > 0 {
        node.clock.sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
    if keeper.has_unknown_send.load(Ordering::SeqCst) {
        log::info!("lease is left to expire after a send without an answer: duty={}", keeper.duty);
        return;
    }
    match try_release(node, keeper).await {
        Ok(()) => log::info!("lease released: duty={}", keeper.duty),
        Err(err) => log::info!(
            "failed to release lease, which will expire: duty={} error={err}",
            keeper.duty
        ),
    }
}

async fn try_release(node: &NodeContext, keeper: &LeaseKeeper) -> Result<(), PlatformError> {
    read(node, keeper).await?;
    let write = keeper.lease().release();
    match write {
        Some(write) => commit(node, keeper, &write).await,
        None => Ok(()),
    }
}

/// Acquires or renews the lease if that is due.
async fn poll(node: &NodeContext, keeper: &LeaseKeeper) -> Result<(), PlatformError> {
    let rank = rank(node, &keeper.duty);
    let is_candidate = rank.is_some() || keeper.fencing_token().is_some();
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

/// Returns the rank of this node among the candidates for a duty, from 0.
///
/// Returns `None` if it is not a candidate.
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
    let rank = ranked.iter().position(|name| *name == own)?;
    (rank < MAX_CANDIDATES).then_some(rank as u32)
}

/// Reads the monotonic and the boot clock.
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
