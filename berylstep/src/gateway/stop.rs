//! Graceful stop of a gateway.
//!
//! A stopping node leaves the directory at once but continues to serve, because callers may keep a
//! list of addresses for up to three times its lifetime.

use std::cell::Cell;
use std::time::Duration;

use crate::clock::RuntimeClock;

/// Lifetime of a directory response. Callers keep it for up to three times as long, so a stopping
/// node receives no new requests well before its grace period ends.
pub const DIRECTORY_TTL: Duration = Duration::from_secs(1);

/// Time from the signal until callers' old address lists have expired.
const ADDRESS_LIST_EXPIRY: Duration = Duration::from_millis(3 * 1000 + 800);

/// Time from the signal during which requests are admitted even if they may outlast the stop.
const ADMISSION_PERIOD: Duration = Duration::from_millis(2500);

/// Time before the end of the grace period at which open requests are abandoned.
const EXIT_MARGIN: Duration = Duration::from_millis(350);

/// Interval at which the number of open requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of a graceful stop and the number of open requests.
#[derive(Debug)]
pub struct GracefulStop {
    clock: RuntimeClock,
    grace: Duration,
    started_at: Cell<Option<Duration>>,
    open: Cell<u32>,
}

/// Counts an open request until dropped.
#[derive(Debug)]
pub struct OpenRequest<'a>(&'a GracefulStop);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl GracefulStop {
    /// Creates the state of a running node. `grace` is the time that a stop may take.
    pub fn new(clock: RuntimeClock, grace: Duration) -> Self {
        Self { clock, grace, started_at: Cell::new(None), open: Cell::new(0) }
    }

    /// Starts the stop. Later calls have no effect.
    pub fn begin_stop(&self) {
        if self.started_at.get().is_none() {
            self.started_at.set(Some(self.clock.now()));
        }
    }

    /// Returns whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Returns the number of requests in progress.
    pub fn open_requests(&self) -> u32 {
        self.open.get()
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn open_request(&self) -> OpenRequest<'_> {
        self.open.set(self.open.get() + 1);
        OpenRequest(self)
    }

    /// Returns whether a request that takes up to `longest` is admitted. While the node stops, this
    /// requires that it can finish in time or arrives within `ADMISSION_PERIOD` of the signal.
    pub fn admits(&self, longest: Duration) -> bool {
        let Some(started_at) = self.started_at.get() else { return true };
        let elapsed = self.clock.now().saturating_sub(started_at);
        elapsed < ADMISSION_PERIOD || elapsed + longest + EXIT_MARGIN < self.grace
    }

    /// Waits until idle connections may be closed.
    pub async fn wait_idle_close(&self) {
        loop {
            match self.started_at.get() {
                Some(started_at) => {
                    let remaining =
                        (started_at + ADDRESS_LIST_EXPIRY).saturating_sub(self.clock.now());
                    return self.clock.sleep(remaining).await;
                }
                None => self.clock.sleep(POLL_INTERVAL * 10).await,
            }
        }
    }

    /// Waits until callers' old address lists have expired and all requests have ended. Returns
    /// earlier if the grace period is about to end.
    pub async fn wait_drained(&self) {
        let started_at = self.started_at.get().unwrap_or_else(|| self.clock.now());
        loop {
            let elapsed = self.clock.now().saturating_sub(started_at);
            let is_drained =
                elapsed >= ADDRESS_LIST_EXPIRY + POLL_INTERVAL * 4 && self.open.get() == 0;
            if is_drained || elapsed + EXIT_MARGIN >= self.grace {
                return;
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }
}
