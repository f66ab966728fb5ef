//! Clock of the process, which tests can pause and advance.
//!
//! The timers of smol can't be paused, so all waits in the process go through this clock.

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};
use smol::channel::{bounded, Sender};
use smol::future;

/// Source of time and timers.
#[derive(Clone, Debug)]
pub enum RuntimeClock {
    /// The system's clocks; monotonic time is counted from this instant.
    System(Instant),
    /// Time that stands still until it is advanced.
    Paused(Arc<PausedClock>),
}

/// Time that only [`PausedClock::advance`] moves, for tests.
#[derive(Debug, Default)]
pub struct PausedClock {
    state: Mutex<PausedState>,
}

#[derive(Debug, Default)]
struct PausedState {
    now: Duration,
    sleepers: Vec<(Duration, Sender<()>)>,
}

impl RuntimeClock {
    /// Creates a clock of real time that starts now.
    pub fn system() -> Self {
        Self::System(Instant::now())
    }

    /// Creates a paused clock at time 0 and the handle that advances it.
    pub fn paused() -> (Self, Arc<PausedClock>) {
        let paused = Arc::new(PausedClock::default());
        (Self::Paused(paused.clone()), paused)
    }

    /// Returns the monotonic time since the clock was created; excludes time while the VM is suspended.
    pub fn now(&self) -> Duration {
        match self {
            Self::System(origin) => origin.elapsed(),
            Self::Paused(paused) => paused.now(),
        }
    }

    /// Returns the monotonic time since boot; includes time while the VM is suspended.
    pub fn boot_time(&self) -> Duration {
        match self {
            Self::System(_) => {
                let time = clock_gettime(ClockId::Boottime);
                let secs = u64::try_from(time.tv_sec).unwrap_or_default();
                Duration::from_secs(secs) + Duration::from_nanos(time.tv_nsec as u64)
            }
            Self::Paused(paused) => paused.now(),
        }
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch; 0 for times before it.
    pub fn unix_ms(&self) -> u64 {
        match self {
            Self::System(_) => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                since.as_millis() as u64
            }
            Self::Paused(paused) => paused.now().as_millis() as u64,
        }
    }

    /// Waits for a duration.
    pub async fn sleep(&self, duration: Duration) {
        match self {
            Self::System(_) => {
                smol::Timer::after(duration).await;
            }
            Self::Paused(paused) => paused.sleep(duration).await,
        }
    }

    /// Awaits `operation` for at most `limit` and returns its output, or `None` on timeout.
    pub async fn timeout<F: Future>(&self, limit: Duration, operation: F) -> Option<F::Output> {
        let expiry = async {
            self.sleep(limit).await;
            None
        };
        future::or(async { Some(operation.await) }, expiry).await
    }
}

impl PausedClock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> Duration {
        self.state.lock().expect("clock lock").now
    }

    /// Advances the time by `step` and wakes every sleeper that is due.
    pub fn advance(&self, step: Duration) {
        let mut state = self.state.lock().expect("clock lock");
        state.now += step;
        let now = state.now;
        state.sleepers.retain(|(due, _)| *due > now);
    }

    /// Returns the number of sleepers that are not due yet.
    pub fn sleepers(&self) -> usize {
        self.state.lock().expect("clock lock").sleepers.len()
    }

    async fn sleep(&self, duration: Duration) {
        let (sender, receiver) = bounded(1);
        {
            let mut state = self.state.lock().expect("clock lock");
            let due = state.now + duration;
            if due > state.now {
                state.sleepers.push((due, sender));
            }
        }
        // The channel closes when `advance` drops the sender.
        let _ = receiver.recv().await;
    }
}
