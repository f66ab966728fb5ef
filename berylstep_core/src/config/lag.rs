//! How far a node's configuration lags behind the newest version known to it.

use std::time::Duration;

/// Time for which a node may know of a newer version than its own; after that it rejects requests.
pub const MAX_CONFIG_LAG: Duration = Duration::from_secs(1);

/// The newest version learned from the table service or any node, and since when this node has been
/// behind it.
#[derive(Clone, Debug, Default)]
pub struct ConfigLag {
    newest: u64,
    behind_since: Option<Duration>,
}

impl ConfigLag {
    /// Records that version `newest` exists while this node has version `own` in force.
    pub fn record_newest(&mut self, now: Duration, newest: u64, own: u64) {
        self.newest = self.newest.max(newest);
        self.record_own(now, own);
    }

    /// Records the version in force on this node.
    pub fn record_own(&mut self, now: Duration, own: u64) {
        self.newest = self.newest.max(own);
        match own < self.newest {
            true => _ = self.behind_since.get_or_insert(now),
            false => self.behind_since = None,
        }
    }

    /// Returns the newest known version.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns whether a newer version than the one in force is known.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns whether the version in force has been known to be outdated for longer than
    /// [`MAX_CONFIG_LAG`].
    pub fn is_overdue(&self, now: Duration) -> bool {
        self.behind_since.is_some_and(|since| now.saturating_sub(since) > MAX_CONFIG_LAG)
    }
}
