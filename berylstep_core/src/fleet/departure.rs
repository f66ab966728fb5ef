//! Migration of streams off replicas that are shutting down.

use std::time::Duration;

use crate::fleet::replica::Departure;

/// Time before a replica stops at which its streams become due for migration. A migration takes two
/// calls and the start of the run on another replica.
const MOVE_LEAD_TIME: Duration = Duration::from_millis(1200);

/// A stream stays on its replica if it is expected to end at least this long before the replica
/// stops.
const FINISH_MARGIN: Duration = Duration::from_millis(200);

/// Progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamProgress {
    /// Number of events received.
    pub events: u64,
    /// Maximum number of events.
    pub expected: u64,
    /// Time elapsed since the first event.
    pub elapsed: Duration,
}

impl StreamProgress {
    /// Estimates the time until the stream ends from its mean event rate.
    fn remaining_time(self) -> Duration {
        let event_interval = self.elapsed.as_secs_f64() / self.events.max(1) as f64;
        let remaining = self.expected.saturating_sub(self.events);
        Duration::from_secs_f64(event_interval * remaining as f64)
    }
}

/// Returns whether a stream must be migrated at `now` because its replica is expected to stop
/// before the stream ends. A replica that doesn't announce its stop time is assumed to run for
/// `drain`.
pub fn is_move_due(
    departure: Departure,
    progress: StreamProgress,
    drain: Duration,
    now: Duration,
) -> bool {
    let stops_at = departure.noticed_at + departure.leaves_in.unwrap_or(drain);
    let time_left = stops_at.saturating_sub(now);
    time_left <= MOVE_LEAD_TIME && progress.remaining_time() + FINISH_MARGIN > time_left
}
