//! Graceful stop of a gateway.
//!
//! A stopping node leaves the directory at once but continues to serve, because callers may keep a
//! list of addresses for up to three times its lifetime.

use std::cell::Cell;
use std::time::Duration;

use berylstep_core::fleet::stop::{CutRisk, StopSchedule};
use smol::channel::{bounded, Receiver, Sender};

use crate::clock::RuntimeClock;

/// Lifetime of a directory response. Callers keep it for up to three times as long, so a stopping
/// node receives no new requests well before its grace period ends.
pub const DIRECTORY_TTL: Duration = Duration::from_secs(1);

/// Time from the signal until callers' old address lists have expired.
const ADDRESS_LIST_EXPIRY: Duration = Duration::from_millis(3 * 1000 + 800);

/// Time that a connection has for its first request when it is opened after all idle ones were closed.
const FIRST_REQUEST_PATIENCE: Duration = Duration::from_millis(500);

/// Interval at which the number of open requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of a graceful stop and the number of open requests.
#[derive(Debug)]
pub struct GracefulStop {
    clock: RuntimeClock,
    schedule: StopSchedule,
    started_at: Cell<Option<Duration>>,
    /// Closed when the stop begins, which wakes all who wait for it.
    signal: Receiver<()>,
    signal_sender: Sender<()>,
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
        let schedule = StopSchedule::new(grace);
        let (signal_sender, signal) = bounded(1);
        let (started_at, open) = (Cell::new(None), Cell::new(0));
        Self { clock, schedule, started_at, signal, signal_sender, open }
    }

    /// Starts the stop. Later calls have no effect.
    pub fn begin_stop(&self) {
        if self.started_at.get().is_none() {
            self.started_at.set(Some(self.clock.now()));
            self.signal_sender.close();
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

    /// Returns whether a request that takes up to `longest` is admitted.
    pub fn admits(&self, longest: Duration, risk: CutRisk) -> bool {
        let Some(started_at) = self.started_at.get() else { return true };
        let elapsed = self.clock.now().saturating_sub(started_at);
        self.schedule.admits(elapsed, longest, risk)
    }

    /// Waits until idle connections may be closed. A connection that has just been opened has time for its first
    /// request, which gets an answer.
    pub async fn wait_idle_close(&self) {
        let opened_at = self.clock.now();
        let started_at = self.wait_started().await;
        let close_at = (started_at + ADDRESS_LIST_EXPIRY).max(opened_at + FIRST_REQUEST_PATIENCE);
        self.clock.sleep(close_at.saturating_sub(self.clock.now())).await;
    }

    /// Waits until requests without a response are to be answered, because the process is about to end.
    pub async fn wait_last_answers(&self) {
        let started_at = self.wait_started().await;
        let answer_at = started_at + self.schedule.last_answer_time();
        self.clock.sleep(answer_at.saturating_sub(self.clock.now())).await;
    }

    /// Waits for the stop and returns the time of its signal.
    async fn wait_started(&self) -> Duration {
        loop {
            if let Some(started_at) = self.started_at.get() {
                return started_at;
            }
            // Nothing is ever sent: the stop closes the channel.
            if self.signal.recv().await.is_ok() {
                log::error!("event=unexpected_stop_message");
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
            if is_drained || elapsed >= self.schedule.exit_time() {
                return;
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }
}
