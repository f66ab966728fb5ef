//! Cooperative scheduling of reads.

use std::task::{Context, Poll};

/// Number of reads without waiting after which other tasks get their turn.
const MAX_READY_READS: u32 = 4;

/// Limits how often a connection is read in a row without waiting. A peer that sends faster than it is
/// read would otherwise keep all other tasks of the thread, and their timers, from running.
#[derive(Debug, Default)]
pub(crate) struct ReadTurn {
    ready_reads: u32,
}

impl ReadTurn {
    /// Returns whether the connection may be read now. If not, the task is woken for its next turn and
    /// must return [`Poll::Pending`].
    pub(crate) fn begin_read(&mut self, cx: &Context<'_>) -> bool {
        if self.ready_reads < MAX_READY_READS {
            return true;
        }
        self.ready_reads = 0;
        cx.waker().wake_by_ref();
        false
    }

    /// Records whether a read had to wait.
    pub(crate) fn record_read<T>(&mut self, polled: &Poll<T>) {
        match polled {
            Poll::Ready(_) => self.ready_reads += 1,
            Poll::Pending => self.ready_reads = 0,
        }
    }
}
