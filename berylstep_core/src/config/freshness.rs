//! Whether a node's configuration is recent enough to be used.

use std::time::Duration;

/// Maximum age of the last contact at which the configuration is still trusted.
pub const MAX_CONTACT_AGE: Duration = Duration::from_secs(3);

/// Freshness of the configuration, by contact with the sources of its newest version: the table
/// service and the peers.
///
/// The time of contact is when a message was sent, not when its reply was read, because the reply
/// may have waited in a socket buffer while the process was suspended.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    last_contact: Option<Duration>,
    interrupted: bool,
}

impl ConfigFreshness {
    /// Records that the newest version was received in reply to a message sent at `sent`.
    pub fn record_contact(&mut self, sent: Duration) {
        self.interrupted |= self.is_expired(sent);
        self.last_contact = self.last_contact.max(Some(sent));
    }

    /// Returns whether there was no contact within [`MAX_CONTACT_AGE`].
    pub fn is_expired(&self, now: Duration) -> bool {
        self.last_contact.is_none_or(|last| now.saturating_sub(last) > MAX_CONTACT_AGE)
    }

    /// Returns whether the configuration may be used.
    ///
    /// After an interruption of contact, it may be used again once it is not `behind` the newest
    /// known version.
    pub fn is_trusted(&mut self, now: Duration, behind: bool) -> bool {
        self.interrupted |= self.is_expired(now);
        if !self.is_expired(now) && !behind {
            self.interrupted = false;
        }
        !self.interrupted
    }
}
