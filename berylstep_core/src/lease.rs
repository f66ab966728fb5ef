//! Leases on duties, the tasks that only one node of the cluster performs at a time.
//!
//! A lease decides which node may act on the platform, until when, and with which fencing token. The
//! rules never compare the clocks of two nodes. The holder measures the expiry from before it
//! requested the lease. A successor measures it from when it first read the unchanged row, and adds
//! a margin.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;

/// The margin is one quarter of the expiry.
const MARGIN_DIVISOR: u32 = 4;

/// A send may take half of the margin.
const SEND_DIVISOR: u32 = 2;

/// The holder renews after one third of the expiry.
const RENEW_DIVISOR: u32 = 3;

/// Maximum time that a candidate waits for the one ranked before it.
const MAX_STAGGER: Duration = Duration::from_secs(1);

/// Factor on a successor's wait if the receiver ignores fencing tokens.
const UNFENCED_FACTOR: u32 = 2;

/// Position of the era in a fencing token. Tokens of a newer era are thus above those that were used
/// in an older one, of which the store may have lost the last ones.
const ERA_FENCING_BITS: u32 = 20;

/// Rejections after which fencing tokens don't grow faster.
const MAX_REJECTIONS: u32 = 16;

/// Whether the receiver of a duty's messages rejects old fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverFencing {
    /// The receiver rejects messages with an older fencing token than it has seen.
    Checked,
    /// The receiver accepts every message.
    Ignored,
}

/// Durations that govern a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time from just before the lease was requested until its holder must stop.
    pub expiry: Duration,
}

impl LeaseTimes {
    /// Returns the time after which the holder renews the lease.
    pub fn renewal(self) -> Duration {
        self.expiry / RENEW_DIVISOR
    }

    /// Returns how much longer each candidate waits than the one ranked before it.
    pub fn stagger(self) -> Duration {
        self.renewal().min(MAX_STAGGER)
    }

    /// Returns the time that a successor waits beyond the expiry. It covers the longest send and
    /// differences in clock rates.
    pub fn margin(self) -> Duration {
        self.expiry / MARGIN_DIVISOR
    }

    /// Returns the maximum time from the check of the lease to the last byte of a send.
    pub fn send_limit(self) -> Duration {
        self.margin() / SEND_DIVISOR
    }

    /// Returns the time for which a successor must see the row unchanged.
    pub fn takeover_wait(self, fencing: ReceiverFencing) -> Duration {
        let wait = self.expiry + self.margin();
        match fencing {
            ReceiverFencing::Checked => wait,
            ReceiverFencing::Ignored => wait * UNFENCED_FACTOR,
        }
    }
}

/// A reading of both clocks of a node at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time that stops while the VM is suspended.
    pub monotonic: Duration,
    /// Monotonic time that advances while the VM is suspended.
    pub boot: Duration,
}

impl ClockReading {
    /// Returns the longest time that may have passed since `earlier`.
    pub fn max_elapsed(self, earlier: Self) -> Duration {
        let (monotonic, boot) = self.elapsed(earlier);
        monotonic.max(boot)
    }

    /// Returns the shortest time that may have passed since `earlier`.
    pub fn min_elapsed(self, earlier: Self) -> Duration {
        let (monotonic, boot) = self.elapsed(earlier);
        monotonic.min(boot)
    }

    fn elapsed(self, earlier: Self) -> (Duration, Duration) {
        let monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        let boot = self.boot.saturating_sub(earlier.boot);
        (monotonic, boot)
    }
}

/// A lease as stored in its row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Node that holds or last held the lease.
    pub holder: SharedName,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Fencing token, which increases with each change of holder.
    pub fencing: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// A lease row as read, with its version and the token of the transaction that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedLease {
    /// Content of the row.
    pub row: LeaseRow,
    /// Version in the table service.
    pub version: u64,
    /// Token of the transaction that wrote the row.
    pub token: String,
}

/// A conditional write of a lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Version that the row must have; 0 means that the row must be absent.
    pub expect: u64,
    /// New content of the row.
    pub row: LeaseRow,
}

/// Result of a lease write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// The row had another version, so the write did not and will not take effect.
    Conflict,
    /// No reply arrived; the token in the row shows later whether the write took effect.
    Unknown,
}

/// State machine of one node for one lease.
#[derive(Clone, Debug)]
pub struct DutyLease {
    node: SharedName,
    incarnation: u64,
    times: LeaseTimes,
    fencing: ReceiverFencing,
    held: Option<HeldLease>,
    observed: Option<ObservedRow>,
    pending: Option<PendingWrite>,
    invalidated: bool,
    /// Era of the store in which the row is read and written.
    era: u64,
    /// Whether this node has written the row in this era.
    written_in_era: bool,
    /// Highest fencing token known to have been used.
    known_fencing: u64,
    /// Messages rejected since this node last held the lease.
    rejections: u32,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fencing: u64,
    /// Time just before the write that acquired or renewed the lease was sent.
    sent_at: ClockReading,
}

/// The row as last read, and since when it has been unchanged by this node's clocks.
#[derive(Clone, Debug)]
struct ObservedRow {
    row: Option<VersionedLease>,
    since: ClockReading,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    token: String,
    /// Time just before the write was sent.
    sent_at: ClockReading,
    row: LeaseRow,
}

impl DutyLease {
    /// Creates the state of a node that does not hold the lease.
    pub fn new(
        node: SharedName,
        incarnation: u64,
        times: LeaseTimes,
        fencing: ReceiverFencing,
    ) -> Self {
        Self {
            node,
            incarnation,
            times,
            fencing,
            held: None,
            observed: None,
            pending: None,
            invalidated: false,
            era: 0,
            written_in_era: true,
            known_fencing: 0,
            rejections: 0,
        }
    }

    /// Follows the store into a newer era, after a restore from an older copy. Returns whether a
    /// lease was held.
    ///
    /// The row may be that of an earlier holder, with an earlier fencing token and a version that
    /// is given out again. Nobody therefore owns the row of a new era until it has waited as for a
    /// takeover, by when the lease of the holder in the old era has expired.
    pub fn enter_era(&mut self, era: u64) -> bool {
        if era <= self.era {
            return false;
        }
        let is_first = self.era == 0 && self.observed.is_none() && self.held.is_none();
        self.era = era;
        // A node that starts in a later era does not know how long ago the restore was.
        self.written_in_era = is_first && era == 1;
        self.pending = None;
        self.observed = None;
        self.held.take().is_some()
    }

    /// Records that a fencing token has been used.
    pub fn raise_fencing(&mut self, used: u64) {
        self.known_fencing = self.known_fencing.max(used);
    }

    /// Records that a receiver has rejected a message because of its fencing token. It doesn't tell
    /// the token that it has seen, so the next ones grow faster with each rejection.
    pub fn record_rejection(&mut self) {
        self.rejections = (self.rejections + 1).min(MAX_REJECTIONS);
        self.known_fencing += 1 << self.rejections;
    }

    /// Returns the fencing token with which a send may begin at `now`, or `None` if the lease is not
    /// held or has expired.
    pub fn fencing_token(&self, now: ClockReading) -> Option<u64> {
        let held = self.held?;
        let valid = now.max_elapsed(held.sent_at) < self.times.expiry;
        valid.then_some(held.fencing)
    }

    /// Returns whether the row must be read at `now`: always, unless a held lease is not yet due for
    /// renewal.
    pub fn needs_row(&self, now: ClockReading) -> bool {
        self.held.is_none_or(|held| now.max_elapsed(held.sent_at) >= self.times.renewal())
    }

    /// Processes the row as read; `now` is a time after the reply arrived.
    pub fn observe(&mut self, now: ClockReading, row: Option<VersionedLease>) {
        self.resolve_pending(row.as_ref());
        if let Some(read) = &row {
            self.raise_fencing(read.row.fencing);
        }
        if !row.as_ref().is_some_and(|read| self.is_own(&read.row)) {
            self.held = None;
        }
        let version = |row: &Option<VersionedLease>| row.as_ref().map_or(0, |read| read.version);
        let unchanged =
            self.observed.as_ref().is_some_and(|old| version(&old.row) == version(&row));
        if !unchanged {
            self.observed = Some(ObservedRow { row, since: now });
        }
    }

    /// Returns the write to make at `now`, if any, after a call of [`Self::observe`]. `rank` is this
    /// node's position among the candidates, from 0.
    pub fn next_write(&self, now: ClockReading, rank: u32) -> Option<LeaseWrite> {
        let observed = self.observed.as_ref()?;
        let Some(read) = &observed.row else {
            let stagger = self.times.stagger() * rank;
            let wait = match self.written_in_era {
                true => Duration::ZERO,
                false => self.times.takeover_wait(self.fencing),
            };
            let due = now.min_elapsed(observed.since) >= wait + stagger;
            return due.then(|| self.write(0, self.next_fencing(0), false));
        };
        let is_own = self.is_own(&read.row) && self.written_in_era;
        if is_own && !read.row.released && !self.invalidated {
            let due =
                self.held.is_none_or(|held| now.max_elapsed(held.sent_at) >= self.times.renewal());
            return due.then(|| self.write(read.version, read.row.fencing, false));
        }
        let wait = match read.row.released && self.written_in_era {
            true => Duration::ZERO,
            false => self.times.takeover_wait(self.fencing),
        };
        let wait = wait + self.times.stagger() * rank;
        let due = now.min_elapsed(observed.since) >= wait;
        due.then(|| self.write(read.version, self.next_fencing(read.row.fencing), false))
    }

    /// Returns a fencing token above `stored`, all that are known to have been used, and those of
    /// earlier eras.
    fn next_fencing(&self, stored: u64) -> u64 {
        let first_of_era = self.era.saturating_sub(1) << ERA_FENCING_BITS;
        (stored.max(self.known_fencing) + 1).max(first_of_era)
    }

    /// Records a write that is about to be sent; `sent_at` is a time before the send.
    pub fn begin_write(&mut self, sent_at: ClockReading, token: String, write: &LeaseWrite) {
        self.pending = Some(PendingWrite { token, sent_at, row: write.row.clone() });
    }

    /// Processes the result of the write that was begun last.
    pub fn finish_write(&mut self, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Committed => self.apply_pending(),
            WriteOutcome::Conflict => {
                self.pending = None;
                self.held = None;
                // The row has changed since it was last read.
                self.observed = None;
            }
            WriteOutcome::Unknown => {}
        }
    }

    /// Releases the lease and returns the write that records the release; no send may be in flight.
    pub fn release(&mut self) -> Option<LeaseWrite> {
        let held = self.held.take()?;
        let read = self.observed.as_ref()?.row.as_ref()?;
        Some(self.write(read.version, held.fencing, true))
    }

    /// Ends the lease immediately, because a receiver has seen a newer fencing token.
    pub fn invalidate(&mut self) {
        self.held = None;
        self.pending = None;
        self.observed = None;
        self.invalidated = true;
    }

    fn resolve_pending(&mut self, row: Option<&VersionedLease>) {
        let Some(pending) = &self.pending else { return };
        if row.is_some_and(|read| read.token == pending.token) {
            self.apply_pending();
        }
    }

    fn apply_pending(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        if pending.row.released {
            return;
        }
        self.held = Some(HeldLease { fencing: pending.row.fencing, sent_at: pending.sent_at });
        self.raise_fencing(pending.row.fencing);
        self.written_in_era = true;
        self.rejections = 0;
        self.invalidated = false;
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.node && row.incarnation == self.incarnation
    }

    fn write(&self, expect: u64, fencing: u64, released: bool) -> LeaseWrite {
        let (holder, incarnation) = (self.node.clone(), self.incarnation);
        LeaseWrite { expect, row: LeaseRow { holder, incarnation, fencing, released } }
    }
}
