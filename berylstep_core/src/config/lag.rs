//! How far a node's configuration is behind the newest version that it has heard of.

use std::time::Duration;

/// Time for which a node may know of a newer version than its own before it refuses keyed work.
pub const LAG_LIMIT: Duration = Duration::from_secs(1);

/// The newest version heard of, from the table service or from any node.
#[derive(Clone, Debug, Default)]
pub struct ConfigLag {
    newest: u64,
    behind_since: Option<Duration>,
}

impl ConfigLag {
    /// Notes that version `newest` exists, while `own` is in force here.
    pub fn note_newest(&mut self, now: Duration, newest: u64, own: u64) {
        self.newest = self.newest.max(newest);
        self.note_own(now, own);
    }

    /// Notes the version in force here.
    pub fn note_own(&mut self, now: Duration, own: u64) {
        self.newest = self.newest.max(own);
        match own < self.newest {
            true => _ = self.behind_since.get_or_insert(now),
            false => self.behind_since = None,
        }
    }

    /// Newest version heard of.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether a newer version than the one in force is known.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether the version in force has been known to be old for [`LAG_LIMIT`].
    pub fn is_overdue(&self, now: Duration) -> bool {
        self.behind_since.is_some_and(|since| now.saturating_sub(since) > LAG_LIMIT)
    }
}
