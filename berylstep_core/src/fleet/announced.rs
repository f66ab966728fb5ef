//! Versions of the desired state that other nodes have announced and that this node doesn't hold.

use std::collections::VecDeque;
use std::time::Duration;

/// Largest number of missing versions whose times are kept; the oldest one decides how far a node is behind.
const MAX_MISSING: usize = 32;

/// How far a node is behind the newest announced version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionLag {
    /// Newest announced version.
    pub version: u64,
    /// Time since the oldest missing version was first announced.
    pub age: Duration,
}

/// Announced versions that are missing here, with the times of their first announcements.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedVersions {
    missing: VecDeque<(u64, Duration)>,
}

impl AnnouncedVersions {
    /// Records the newest version that live nodes announce, and the version `held` here.
    ///
    /// Versions above `announced` are dropped: nobody that is live has them.
    pub fn observe(&mut self, held: u64, announced: u64, now: Duration) {
        self.missing.retain(|(version, _)| *version > held && *version <= announced);
        let newest = self.missing.back().map_or(held, |(version, _)| *version);
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
    pub fn lag(&self, now: Duration) -> Option<VersionLag> {
        let (_, since) = self.missing.front()?;
        let (version, _) = self.missing.back()?;
        Some(VersionLag { version: *version, age: now.saturating_sub(*since) })
    }
}
