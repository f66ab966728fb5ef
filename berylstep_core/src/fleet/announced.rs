//! Versions that other nodes have announced and that this node doesn't hold.

use std::collections::VecDeque;
use std::time::Duration;

/// Largest number of missing versions whose times are kept; the oldest one decides how far a node is behind.
const MAX_MISSING: usize = 32;

/// Time after the store has accepted a version by which a node hears of it: until the second pulse.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);

/// Time that peers have to deliver a version they announce, and without progress, before the store is read.
const PEER_PATIENCE: Duration = Duration::from_secs(1);

/// Time over which the nodes of a fleet spread their first reads.
const READ_SPREAD: Duration = Duration::from_millis(500);

/// Pause after the first read; it doubles with each further one.
const MIN_READ_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause between reads.
const MAX_READ_PAUSE: Duration = Duration::from_secs(8);

/// How far a node is behind the newest announced version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionLag<V> {
    /// Newest announced version.
    pub version: V,
    /// Time since the oldest missing version was first announced.
    pub age: Duration,
}

/// Whether a node may go by the version that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It holds the newest announced version.
    Current,
    /// A newer version is announced, and may still be on its way: what the held one allows may be done, what it
    /// doesn't know may be allowed by now.
    Behind,
    /// The newer version is to be in force, so that what the held one allows may have been withdrawn.
    Overdue,
}

impl<V> VersionLag<V> {
    /// Returns whether a node with this lag may go by its version, if an accepted one is to be in force within `bound`.
    pub fn freshness(&self, bound: Option<Duration>) -> Freshness {
        match bound {
            Some(bound) if self.age + ANNOUNCEMENT_DELAY >= bound => Freshness::Overdue,
            _ => Freshness::Behind,
        }
    }
}

/// Announced versions that are missing here, with the times of their first announcements.
#[derive(Clone, Debug)]
pub struct AnnouncedVersions<V> {
    missing: VecDeque<(V, Duration)>,
}

impl<V> Default for AnnouncedVersions<V> {
    fn default() -> Self {
        Self { missing: VecDeque::new() }
    }
}

impl<V: Copy + Ord> AnnouncedVersions<V> {
    /// Records the newest version that live nodes announce, and the version `held` here.
    ///
    /// Versions above `announced` are dropped: nobody that is live has them.
    pub fn observe(&mut self, held: V, announced: V, now: Duration) {
        self.missing.retain(|(version, _)| *version > held && *version <= announced);
        self.announce(held, announced, now);
    }

    /// Records a version that one node announces, and the version `held` here.
    pub fn announce(&mut self, held: V, announced: V, now: Duration) {
        let newest = self.missing.back().map_or(held, |(version, _)| held.max(*version));
        if announced <= newest {
            return;
        }
        let is_full = self.missing.len() >= MAX_MISSING;
        match self.missing.back_mut().filter(|_| is_full) {
            Some(newest) => newest.0 = announced,
            None => self.missing.push_back((announced, now)),
        }
    }

    /// Returns how far this node is behind; `None` if it holds the newest announced version.
    pub fn lag(&self, now: Duration) -> Option<VersionLag<V>> {
        let (_, since) = self.missing.front()?;
        let (version, _) = self.missing.back()?;
        Some(VersionLag { version: *version, age: now.saturating_sub(*since) })
    }
}

/// Decides when a node whose peers announce a version and don't deliver it reads the store itself.
///
/// Answers the load of a change that a whole fleet waits for at once: reads are spread, and become rarer while the
/// store doesn't help either.
#[derive(Clone, Debug, Default)]
pub struct CatchUpPlan {
    /// Time of the next read, and the pause after it.
    next: Option<(Duration, Duration)>,
}

impl CatchUpPlan {
    /// Returns whether the store is to be read now. `age` is the time for which this node has been behind, `None` if it
    /// isn't, `idle` the time since peers last delivered a part; `draw` is uniformly distributed from 0 to 1.
    pub fn is_read_due(
        &mut self,
        age: Option<Duration>,
        idle: Duration,
        now: Duration,
        draw: f64,
    ) -> bool {
        if age.is_none_or(|age| age < PEER_PATIENCE) || idle < PEER_PATIENCE {
            self.next = None;
            return false;
        }
        let (at, pause) =
            *self.next.get_or_insert((now + READ_SPREAD.mul_f64(draw), MIN_READ_PAUSE));
        if now < at {
            return false;
        }
        self.next = Some((now + pause.mul_f64(0.5 + draw), (pause * 2).min(MAX_READ_PAUSE)));
        true
    }
}
