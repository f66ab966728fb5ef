//! The process's clock, which tests pause and advance.
//!
//! smol's timers can't be paused, so that every wait in the process asks this clock instead.

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};
use smol::channel::{bounded, Sender};
use smol::future;

/// Source of time for everything that waits.
#[derive(Clone, Debug)]
pub enum RuntimeClock {
    /// Real time, counted from this instant.
    System(Instant),
    /// Time that stands still until a test advances it.
    Paused(Arc<PausedClock>),
}

/// Time that only [`PausedClock::advance`] moves.
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
    /// Clock of real time.
    pub fn system() -> Self {
        Self::System(Instant::now())
    }

    /// Clock that stands still, and the handle that advances it.
    pub fn paused() -> (Self, Arc<PausedClock>) {
        let paused = Arc::new(PausedClock::default());
        (Self::Paused(paused.clone()), paused)
    }

    /// Monotonic time since the clock was made.
    pub fn now(&self) -> Duration {
        match self {
            Self::System(origin) => origin.elapsed(),
            Self::Paused(paused) => paused.now(),
        }
    }

    /// Monotonic time that also counts while the VM is suspended.
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

    /// Wall-clock time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        match self {
            Self::System(_) => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                since.as_millis() as u64
            }
            Self::Paused(paused) => paused.now().as_millis() as u64,
        }
    }

    /// Waits for `wait`.
    pub async fn sleep(&self, wait: Duration) {
        match self {
            Self::System(_) => {
                smol::Timer::after(wait).await;
            }
            Self::Paused(paused) => paused.sleep(wait).await,
        }
    }

    /// Awaits `work` for at most `limit`; `None` is a timeout.
    pub async fn timeout<F: Future>(&self, limit: Duration, work: F) -> Option<F::Output> {
        let expiry = async {
            self.sleep(limit).await;
            None
        };
        future::or(async { Some(work.await) }, expiry).await
    }
}

impl PausedClock {
    /// Time that the clock shows.
    pub fn now(&self) -> Duration {
        self.state.lock().expect("clock lock").now
    }

    /// Moves time on and wakes every sleeper whose time has come.
    pub fn advance(&self, step: Duration) {
        let mut state = self.state.lock().expect("clock lock");
        state.now += step;
        let now = state.now;
        state.sleepers.retain(|(due, _)| *due > now);
    }

    /// Sleepers that wait for a later time.
    pub fn sleepers(&self) -> usize {
        self.state.lock().expect("clock lock").sleepers.len()
    }

    async fn sleep(&self, wait: Duration) {
        let (sender, receiver) = bounded(1);
        {
            let mut state = self.state.lock().expect("clock lock");
            let due = state.now + wait;
            if due > state.now {
                state.sleepers.push((due, sender));
            }
        }
        // The channel closes when `advance` drops the sender.
        let _ = receiver.recv().await;
    }
}
