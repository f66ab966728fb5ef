//! Recent revisions, kept so that a node can hand them on without the table service.

use std::collections::VecDeque;

use crate::collections::SharedName;

/// Most bytes of revisions kept.
const MAX_HISTORY_BYTES: usize = 512 * 1024;

/// A committed revision as the log row holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedRevision {
    /// Version that the revision follows.
    pub after: u64,
    /// Version after the revision.
    pub version: u64,
    /// Content of the log row (JSON).
    pub text: SharedName,
}

/// The newest revisions in order and without gaps.
#[derive(Clone, Debug, Default)]
pub struct RevisionHistory {
    revisions: VecDeque<LoggedRevision>,
    bytes: usize,
}

impl RevisionHistory {
    /// Adds the revision that was just put in force; one that follows no kept one starts anew.
    pub fn push(&mut self, revision: LoggedRevision) {
        let follows = self.revisions.back().is_some_and(|last| last.version == revision.after);
        if !follows {
            self.clear();
        }
        self.bytes += revision.text.len();
        self.revisions.push_back(revision);
        while self.bytes > MAX_HISTORY_BYTES && self.revisions.len() > 1 {
            let dropped = self.revisions.pop_front();
            self.bytes -= dropped.map_or(0, |revision| revision.text.len());
        }
    }

    /// Forgets every revision, after a snapshot replaced the configuration.
    pub fn clear(&mut self) {
        self.revisions.clear();
        self.bytes = 0;
    }

    /// Revisions that lead on from `version`, up to `max_bytes` but at least one; empty where the
    /// history does not reach back that far.
    pub fn after(&self, version: u64, max_bytes: usize) -> Vec<LoggedRevision> {
        let following = self.revisions.iter().skip_while(|revision| revision.after < version);
        let mut bytes = 0;
        let mut next = version;
        let mut found = Vec::new();
        for revision in following {
            bytes += revision.text.len();
            if revision.after != next || (bytes > max_bytes && !found.is_empty()) {
                break;
            }
            next = revision.version;
            found.push(revision.clone());
        }
        found
    }
}
