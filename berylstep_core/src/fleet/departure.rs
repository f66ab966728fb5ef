//! Streams on replicas that are leaving.

use std::time::Duration;

use crate::fleet::replica::Departure;

/// Time before the end of a replica at which its streams are looked at: a move takes two calls and
/// the start of the run elsewhere.
const MOVE_TIME: Duration = Duration::from_millis(1200);

/// Time that a stream must have to spare to be left alone.
const FINISH_MARGIN: Duration = Duration::from_millis(200);

/// How far a stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamProgress {
    /// Events so far.
    pub events: u64,
    /// Most events that the stream may have.
    pub expected: u64,
    /// Time since the first event.
    pub elapsed: Duration,
}

impl StreamProgress {
    /// Time that the rest of the stream takes at the pace so far.
    fn rest(self) -> Duration {
        let pace = self.elapsed.as_secs_f64() / self.events.max(1) as f64;
        let left = self.expected.saturating_sub(self.events);
        Duration::from_secs_f64(pace * left as f64)
    }
}

/// Whether a stream is to be moved at `now`, because its replica will end before it does; a replica
/// that does not tell when serves on for `drain`.
pub fn is_move_due(
    departure: Departure,
    progress: StreamProgress,
    drain: Duration,
    now: Duration,
) -> bool {
    let ends_at = departure.noticed + departure.leaves_in.unwrap_or(drain);
    let left = ends_at.saturating_sub(now);
    left <= MOVE_TIME && progress.rest() + FINISH_MARGIN > left
}
