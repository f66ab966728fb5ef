//! Cold replicas: processes that have just started and take few requests per second, from all nodes together.
//!
//! A replica is cold while its entry says so, and for the cold time of its service after its process appeared
//! unless its entry says otherwise. A cold replica is treated as one that names a limit (see
//! [`crate::fleet::turns`]), with a rate at which two keepers that disagree for a moment stay within the bounds.

use std::time::Duration;

use crate::fleet::limits::ProcessId;

/// Time from the request for a turn at a cold replica until the turn must have been used. Turns that are used
/// later arrive together with those of the seconds after.
pub const TURN_LIFETIME: Duration = Duration::from_millis(150);

/// Time whose turns may be saved up for a cold replica.
pub const COLD_SAVED: Duration = Duration::from_millis(100);

/// Time for which a keeper that begins to hand out the turns of a cold replica hands out [`TAKEOVER_SHARE`] of
/// them, because the previous keeper may go on for about as long.
pub const TAKEOVER_TIME: Duration = Duration::from_millis(1500);

/// Part of the rate that a keeper hands out in [`TAKEOVER_TIME`].
pub const TAKEOVER_SHARE: f64 = 0.5;

/// Time after the end of the cold time in which the rate of a replica grows. Without it the replica, which has
/// little to do, would be the first choice of all nodes at once.
const GROWTH_TIME: Duration = Duration::from_secs(1);

/// Factor by which the rate has grown at the end of [`GROWTH_TIME`].
const GROWTH_FACTOR: f64 = 5.0;

/// Lowest part of the tolerated rate, for bounds that leave no room for a change of the keeper.
const MIN_SHARE: f64 = 0.1;

/// Number of parts of a fleet that may each have a turn saved up within the bounds.
const SMALL_PARTS: usize = 8;

/// Part of its share that a keeper hands out in a small part of the fleet; the turns of many such parts
/// coincide at random.
const SMALL_PART_SHARE: f64 = 0.5;

/// Bounds on the requests to a cold replica, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate that a cold replica tolerates.
    pub overage: f64,
    /// Requests in any second beyond that.
    pub slack: f64,
}

impl ColdBounds {
    /// Returns the number of requests that a cold replica may get in any second.
    pub fn allowed(&self, per_second: f64) -> f64 {
        per_second * self.overage + self.slack
    }

    /// Returns the rate at which turns are handed out for a replica that tolerates `per_second`: at most
    /// that, and low enough for two keepers in a hand-over, with the turns that each has saved up and those
    /// that are used late.
    pub fn turn_rate(&self, per_second: f64) -> f64 {
        let allowed = self.allowed(per_second);
        let factor = 1.0 + TURN_LIFETIME.as_secs_f64() + TAKEOVER_SHARE;
        // Each of two keepers has saved up one turn, or those of `COLD_SAVED` if that is more.
        let from_saved_time = (allowed - 1.0) / (factor + COLD_SAVED.as_secs_f64());
        let from_saved_turns = (allowed - 2.0) / factor;
        per_second.min(from_saved_time).min(from_saved_turns).max(per_second * MIN_SHARE)
    }
}

/// When replicas of a service are cold, and what they take then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which a process is cold after its start.
    pub start: Duration,
    /// Requests per second that a cold replica tolerates; positive and finite.
    pub per_second: f64,
}

/// What is known of a cold replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdNotice {
    /// Process of the replica.
    pub process: ProcessId,
    /// Requests per second that it tolerates.
    pub per_second: f64,
    /// Time at which it is no longer cold.
    pub until: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ColdState {
    /// Cold for the cold time of the service, because nothing else is known.
    Presumed { since: Duration },
    /// Cold until this time by its entry.
    Stated { until: Duration },
    /// Not cold by its entry; `cold_until` is the end of a cold time that is known.
    Ended { cold_until: Option<Duration> },
}

/// What a node knows of the coldness of one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdMark {
    state: ColdState,
    /// Revision of the newest entry that was applied.
    revision: u64,
    /// Whether an entry of the process was applied.
    has_entry: bool,
}

impl ColdMark {
    /// Creates the mark of a process that has appeared at `now`.
    pub fn new(now: Duration) -> Self {
        Self { state: ColdState::Presumed { since: now }, revision: 0, has_entry: false }
    }

    /// Records that the replica may have become cold without saying so: it failed, or its zone was evacuated.
    /// An entry that is read later may say otherwise.
    pub fn presume(&mut self, now: Duration) {
        self.state = match self.state {
            // A cold time that an entry states is not cut short.
            ColdState::Stated { until } if until > now => ColdState::Stated { until },
            _ => ColdState::Presumed { since: now },
        };
    }

    /// Forgets the revision of the newest entry, because revisions start anew.
    pub fn begin_era(&mut self) {
        self.revision = 0;
    }

    /// Applies the remaining cold time that the entry of `revision` states. One that states none ends nothing.
    pub fn apply(&mut self, remaining: Option<Duration>, revision: u64, now: Duration) {
        if revision <= self.revision {
            return;
        }
        let is_first = !self.has_entry;
        (self.revision, self.has_entry) = (revision, true);
        self.state = match remaining {
            None => self.state,
            Some(Duration::ZERO) if is_first => ColdState::Ended { cold_until: None },
            Some(Duration::ZERO) => match self.state {
                ColdState::Presumed { .. } => ColdState::Ended { cold_until: Some(now) },
                ColdState::Stated { until } => {
                    ColdState::Ended { cold_until: Some(until.min(now)) }
                }
                ended @ ColdState::Ended { .. } => ended,
            },
            Some(remaining) => ColdState::Stated { until: now + remaining },
        };
    }

    /// Returns the end of the known cold time of a replica under `rule`, which may have passed.
    pub fn cold_until(&self, rule: &ColdRule) -> Option<Duration> {
        match self.state {
            ColdState::Presumed { since } => Some(since + rule.start),
            ColdState::Stated { until } => Some(until),
            ColdState::Ended { cold_until } => cold_until,
        }
    }

    /// Returns whether the replica is cold at `now`.
    pub fn is_cold(&self, rule: &ColdRule, now: Duration) -> bool {
        self.cold_until(rule).is_some_and(|until| until > now)
    }

    /// Returns the rate at which turns for the replica are handed out at `now`; `None` if it needs none. The
    /// rate grows for a while after the cold time.
    pub fn turn_rate(&self, rule: &ColdRule, bounds: &ColdBounds, now: Duration) -> Option<f64> {
        let until = self.cold_until(rule)?;
        let since_end = now.saturating_sub(until);
        if since_end >= GROWTH_TIME {
            return None;
        }
        let part = since_end.as_secs_f64() / GROWTH_TIME.as_secs_f64();
        Some(bounds.turn_rate(rule.per_second) * (1.0 + part * (GROWTH_FACTOR - 1.0)))
    }
}

/// What a node knows of the fleet that it is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSight {
    /// Nodes that it hears from, directly or through others, including itself.
    pub heard: usize,
    /// Nodes of the fleet, as far as it knows.
    pub known: usize,
    /// Whether it reads the store, or hears from a node that does.
    pub has_store: bool,
    /// Whether it has lately been unable to work, so that all it knows may be out of date.
    pub was_paused: bool,
}

impl FleetSight {
    /// Returns the part of a cold replica's turns that this node may hand out as their keeper. The parts of
    /// nodes that don't hear each other add up to one at most.
    pub fn turn_share(&self) -> f64 {
        let known = self.known.max(1);
        let share = self.heard.clamp(1, known) as f64 / known as f64;
        match self.is_small_part() {
            true => share * SMALL_PART_SHARE,
            false => share,
        }
    }

    /// Returns whether this node hears so few others that there may be many parts of the fleet, each of which
    /// has a turn saved up. Their keepers must not all begin with the same number of turns in hand.
    pub fn is_small_part(&self) -> bool {
        SMALL_PARTS * self.heard.max(1) < self.known
    }

    /// Returns whether replicas may have become cold without this node's hearing of it: it is cut off from the
    /// store and from most nodes, or was paused. Where the whole fleet lacks the store, all would need turns
    /// for as long as that lasts, which costs more requests than it protects.
    pub fn is_outdated(&self) -> bool {
        self.was_paused || (!self.has_store && 2 * self.heard <= self.known)
    }
}
