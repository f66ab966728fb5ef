//! Leases on duties: who may act towards the platform, until when, and under which fencing number.
//!
//! The rules never compare the clocks of two nodes. A holder counts the expiry from before it asked
//! for the lease; a successor counts it from when it first saw the row unchanged, plus a margin.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::SharedName;

/// Fraction of the expiry that is the margin: one quarter.
const MARGIN_DIVISOR: u32 = 4;

/// Fraction of the margin that one send may take: one half.
const SEND_DIVISOR: u32 = 2;

/// Fraction of the expiry after which the holder renews: one third.
const RENEW_DIVISOR: u32 = 3;

/// Longest time that a candidate waits for the one ranked before it.
const MAX_STAGGER: Duration = Duration::from_secs(1);

/// Factor on a successor's wait where the receiver ignores fencing numbers.
const UNFENCED_FACTOR: u32 = 2;

/// Whether the receiver of a duty's messages turns away old fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverFencing {
    /// The receiver rejects a message with an older fencing number than it has seen.
    Checked,
    /// The receiver takes every message.
    Ignored,
}

/// Durations of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time from before the request for the lease until the holder stops.
    pub expiry: Duration,
}

impl LeaseTimes {
    /// Time after which the holder renews.
    pub fn renewal(self) -> Duration {
        self.expiry / RENEW_DIVISOR
    }

    /// Time that each candidate waits longer than the one ranked before it.
    pub fn stagger(self) -> Duration {
        self.renewal().min(MAX_STAGGER)
    }

    /// Time beyond the expiry that a successor waits; covers the longest send and differing clocks.
    pub fn margin(self) -> Duration {
        self.expiry / MARGIN_DIVISOR
    }

    /// Longest time from the check of the lease to the last byte of a send.
    pub fn send_limit(self) -> Duration {
        self.margin() / SEND_DIVISOR
    }

    /// Time for which a successor must see the row unchanged.
    pub fn takeover_wait(self, fencing: ReceiverFencing) -> Duration {
        let wait = self.expiry + self.margin();
        match fencing {
            ReceiverFencing::Checked => wait,
            ReceiverFencing::Ignored => wait * UNFENCED_FACTOR,
        }
    }
}

/// One moment on both of a node's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time, which stands still while the VM is suspended.
    pub monotonic: Duration,
    /// Monotonic time that goes on while the VM is suspended.
    pub boot: Duration,
}

impl ClockReading {
    /// Longest time that may have passed since `earlier`.
    pub fn longest_since(self, earlier: Self) -> Duration {
        let (monotonic, boot) = self.elapsed(earlier);
        monotonic.max(boot)
    }

    /// Shortest time that may have passed since `earlier`.
    pub fn shortest_since(self, earlier: Self) -> Duration {
        let (monotonic, boot) = self.elapsed(earlier);
        monotonic.min(boot)
    }

    fn elapsed(self, earlier: Self) -> (Duration, Duration) {
        let monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        let boot = self.boot.saturating_sub(earlier.boot);
        (monotonic, boot)
    }
}

/// Row of a lease in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Node that holds or held the lease.
    pub holder: SharedName,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Grows with each change of holder.
    pub fencing: u64,
    /// Whether the holder gave the lease up.
    pub released: bool,
}

/// A row as read, with its version and the token of the write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedLease {
    /// Content.
    pub row: LeaseRow,
    /// Version in the table service.
    pub version: u64,
    /// Token of the transaction that wrote it.
    pub token: String,
}

/// A conditional write of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Version that the row must have; 0 means that it must be absent.
    pub expect: u64,
    /// New content.
    pub row: LeaseRow,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// The row had another version, so the write did not and will not take effect.
    Conflict,
    /// No answer came; the row's token tells later.
    Unknown,
}

/// One node's side of one lease.
#[derive(Clone, Debug)]
pub struct DutyLease {
    node: SharedName,
    incarnation: u64,
    times: LeaseTimes,
    fencing: ReceiverFencing,
    held: Option<HeldLease>,
    watched: Option<WatchedRow>,
    pending: Option<PendingWrite>,
    surrendered: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fencing: u64,
    asked: ClockReading,
}

/// The row as last read, and since when it has been unchanged on this node's clocks.
#[derive(Clone, Debug)]
struct WatchedRow {
    row: Option<VersionedLease>,
    since: ClockReading,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    token: String,
    asked: ClockReading,
    row: LeaseRow,
}

impl DutyLease {
    /// Makes the lease of a node that does not hold it.
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
            watched: None,
            pending: None,
            surrendered: false,
        }
    }

    /// Fencing number under which a send may begin at `now`; `None` where the lease allows none.
    pub fn fencing_token(&self, now: ClockReading) -> Option<u64> {
        let held = self.held?;
        let valid = now.longest_since(held.asked) < self.times.expiry;
        valid.then_some(held.fencing)
    }

    /// Whether the row has to be read at `now`: always, but for a holder that needs not renew yet.
    pub fn needs_row(&self, now: ClockReading) -> bool {
        self.held.is_none_or(|held| now.longest_since(held.asked) >= self.times.renewal())
    }

    /// Takes in the row as read; `now` is a moment after the answer came.
    pub fn observe(&mut self, now: ClockReading, row: Option<VersionedLease>) {
        self.settle_pending(row.as_ref());
        if !row.as_ref().is_some_and(|read| self.is_own(&read.row)) {
            self.held = None;
        }
        let version = |row: &Option<VersionedLease>| row.as_ref().map_or(0, |read| read.version);
        let unchanged = self.watched.as_ref().is_some_and(|w| version(&w.row) == version(&row));
        if !unchanged {
            self.watched = Some(WatchedRow { row, since: now });
        }
    }

    /// Returns the write to make at `now`, after [`Self::observe`]; `rank` is this node's place
    /// among the candidates, from 0.
    pub fn next_write(&self, now: ClockReading, rank: u32) -> Option<LeaseWrite> {
        let watched = self.watched.as_ref()?;
        let Some(read) = &watched.row else {
            let stagger = self.times.stagger() * rank;
            let due = now.shortest_since(watched.since) >= stagger;
            return due.then(|| self.write(0, 1, false));
        };
        if self.is_own(&read.row) && !read.row.released && !self.surrendered {
            let due =
                self.held.is_none_or(|held| now.longest_since(held.asked) >= self.times.renewal());
            return due.then(|| self.write(read.version, read.row.fencing, false));
        }
        let wait = match read.row.released {
            true => Duration::ZERO,
            false => self.times.takeover_wait(self.fencing),
        };
        let wait = wait + self.times.stagger() * rank;
        let due = now.shortest_since(watched.since) >= wait;
        due.then(|| self.write(read.version, read.row.fencing + 1, false))
    }

    /// Notes a write that is about to be sent; `asked` is a moment before that.
    pub fn begin_write(&mut self, asked: ClockReading, token: String, write: &LeaseWrite) {
        self.pending = Some(PendingWrite { token, asked, row: write.row.clone() });
    }

    /// Takes in what became of the write that was begun last.
    pub fn finish_write(&mut self, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Committed => self.take_pending(),
            WriteOutcome::Conflict => {
                self.pending = None;
                self.held = None;
                // The row is not the watched one any more.
                self.watched = None;
            }
            WriteOutcome::Unknown => {}
        }
    }

    /// Gives the lease up and returns the write that says so; no send may be in flight.
    pub fn release(&mut self) -> Option<LeaseWrite> {
        let held = self.held.take()?;
        let read = self.watched.as_ref()?.row.as_ref()?;
        Some(self.write(read.version, held.fencing, true))
    }

    /// Ends the lease at once, because a receiver has seen a newer fencing number.
    pub fn invalidate(&mut self) {
        self.held = None;
        self.pending = None;
        self.watched = None;
        self.surrendered = true;
    }

    fn settle_pending(&mut self, row: Option<&VersionedLease>) {
        let Some(pending) = &self.pending else { return };
        if row.is_some_and(|read| read.token == pending.token) {
            self.take_pending();
        }
    }

    fn take_pending(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        if pending.row.released {
            return;
        }
        self.held = Some(HeldLease { fencing: pending.row.fencing, asked: pending.asked });
        self.surrendered = false;
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.node && row.incarnation == self.incarnation
    }

    fn write(&self, expect: u64, fencing: u64, released: bool) -> LeaseWrite {
        let (holder, incarnation) = (self.node.clone(), self.incarnation);
        LeaseWrite { expect, row: LeaseRow { holder, incarnation, fencing, released } }
    }
}
