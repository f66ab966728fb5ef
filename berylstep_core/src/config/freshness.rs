//! Whether a node may trust the configuration that it has.

use std::time::Duration;

/// Age of the last proof of contact up to which the configuration is trusted.
pub const MAX_CONTACT_AGE: Duration = Duration::from_secs(3);

/// Contact with whatever tells the newest version: the table service, and peers.
///
/// Contact counts from when a question was sent, never from when its answer was read: messages may
/// have waited in a socket while the process was stopped.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    last: Option<Duration>,
    interrupted: bool,
}

impl ConfigFreshness {
    /// Notes an answer, with the newest version in it, to a question that was sent at `asked`.
    pub fn record_answer(&mut self, asked: Duration) {
        self.interrupted |= self.is_lost(asked);
        self.last = self.last.max(Some(asked));
    }

    /// Whether there was no contact within [`MAX_CONTACT_AGE`].
    pub fn is_lost(&self, now: Duration) -> bool {
        self.last.is_none_or(|last| now.saturating_sub(last) > MAX_CONTACT_AGE)
    }

    /// Whether the configuration may be used; after an interruption only once it is not `behind`.
    pub fn is_trusted(&mut self, now: Duration, behind: bool) -> bool {
        self.interrupted |= self.is_lost(now);
        if !self.is_lost(now) && !behind {
            self.interrupted = false;
        }
        !self.interrupted
    }
}
