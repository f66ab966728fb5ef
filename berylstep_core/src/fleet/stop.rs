//! Which requests a stopping node still takes, and when it answers those that it can't wait for.

use std::time::Duration;

/// Longest time from the signal during which requests are taken that may outlast the stop. Callers whose address lists
/// still name the node send most of them in this time.
const ADMISSION_PERIOD: Duration = Duration::from_millis(2500);

/// Part of the grace period that the time above is bounded by.
const ADMISSION_DIVISOR: u32 = 3;

/// Time before the end of the grace period at which the process ends.
const EXIT_MARGIN: Duration = Duration::from_millis(350);

/// Time that the last answers have to reach their callers.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// What it means for a caller that its request is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutRisk {
    /// The request can be sent again.
    Repeatable,
    /// A stream breaks visibly, and can't go on elsewhere.
    BrokenStream,
    /// Whether the request has taken effect remains unknown.
    UnknownEffect,
}

/// Times of a planned stop, counted from its signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    grace: Duration,
}

impl StopSchedule {
    /// Creates the schedule of a stop after which the process is killed once `grace` has passed.
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns the time at which the process ends although requests are open.
    pub fn exit_time(&self) -> Duration {
        self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns the time at which requests without a response are answered, before they would be cut.
    pub fn last_answer_time(&self) -> Duration {
        self.exit_time().saturating_sub(ANSWER_TIME)
    }

    /// Returns whether a request that takes up to `longest` is taken `elapsed` after the signal. Most requests take a
    /// small part of that; those that are refused go to another node at once.
    pub fn admits(&self, elapsed: Duration, longest: Duration, risk: CutRisk) -> bool {
        let remaining = self.exit_time().saturating_sub(elapsed);
        if longest < remaining {
            return true;
        }
        let is_early = elapsed < ADMISSION_PERIOD.min(self.grace / ADMISSION_DIVISOR);
        is_early
            && match risk {
                CutRisk::Repeatable => true,
                CutRisk::BrokenStream => remaining >= longest / 2,
                CutRisk::UnknownEffect => false,
            }
    }
}
