//! Progress of a planned stop.
//!
//! A node that is told to stop leaves the directory at once and goes on serving, because callers
//! keep a list of addresses for up to three times its lifetime.

use std::cell::Cell;
use std::time::Duration;

use crate::clock::RuntimeClock;

/// Lifetime of a directory answer; with callers that keep it three times as long, a node is free of
/// new requests well within the time it has to stop.
pub const DIRECTORY_TTL: Duration = Duration::from_secs(1);

/// Time from the signal until no caller uses an old list of addresses any more.
const STALE_LISTS: Duration = Duration::from_millis(3 * 1000 + 800);

/// Time from the signal within which a stream that outlasts the stop may still begin.
const LATE_STREAMS: Duration = Duration::from_millis(2500);

/// Time before the end of the process at which open requests are given up.
const END_MARGIN: Duration = Duration::from_millis(350);

/// Pause between looks at open requests.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Planned stop of one node.
#[derive(Debug)]
pub struct GracefulStop {
    clock: RuntimeClock,
    grace: Duration,
    began: Cell<Option<Duration>>,
    open: Cell<u32>,
}

/// Counts one request until dropped.
#[derive(Debug)]
pub struct OpenRequest<'a>(&'a GracefulStop);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl GracefulStop {
    /// A node that runs; `grace` is the time that a stop may take.
    pub fn new(clock: RuntimeClock, grace: Duration) -> Self {
        Self { clock, grace, began: Cell::new(None), open: Cell::new(0) }
    }

    /// Begins the stop.
    pub fn begin(&self) {
        if self.began.get().is_none() {
            self.began.set(Some(self.clock.now()));
        }
    }

    /// Whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.began.get().is_some()
    }

    /// Requests in progress.
    pub fn open_requests(&self) -> u32 {
        self.open.get()
    }

    /// Counts a request in progress.
    pub fn open_request(&self) -> OpenRequest<'_> {
        self.open.set(self.open.get() + 1);
        OpenRequest(self)
    }

    /// Whether a request that may last for `longest` can be finished, or may at least begin.
    pub fn admits(&self, longest: Duration) -> bool {
        let Some(began) = self.began.get() else { return true };
        let elapsed = self.clock.now().saturating_sub(began);
        elapsed < LATE_STREAMS || elapsed + longest + END_MARGIN < self.grace
    }

    /// Waits until idle connections may be closed.
    pub async fn idle_close(&self) {
        loop {
            match self.began.get() {
                Some(began) => {
                    let left = (began + STALE_LISTS).saturating_sub(self.clock.now());
                    return self.clock.sleep(left).await;
                }
                None => self.clock.sleep(LOOK_PAUSE * 10).await,
            }
        }
    }

    /// Waits from the begin of the stop until all requests have ended or time is up.
    pub async fn drained(&self) {
        let began = self.began.get().unwrap_or_else(|| self.clock.now());
        loop {
            let elapsed = self.clock.now().saturating_sub(began);
            let is_free = elapsed >= STALE_LISTS + LOOK_PAUSE * 4 && self.open.get() == 0;
            if is_free || elapsed + END_MARGIN >= self.grace {
                return;
            }
            self.clock.sleep(LOOK_PAUSE).await;
        }
    }
}
