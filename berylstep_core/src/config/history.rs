//! Recent revisions, kept in memory so that peers can fetch them without the table service.

use std::collections::VecDeque;

use crate::collections::SharedName;

/// Maximum total size of the kept revisions.
const MAX_HISTORY_BYTES: usize = 512 * 1024;

/// A committed revision as stored in its log row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedRevision {
    /// Version to which the revision applies.
    pub after: u64,
    /// Version after the revision.
    pub version: u64,
    /// Content of the log row (JSON).
    pub text: SharedName,
}

/// The newest revisions, in order and without gaps.
#[derive(Clone, Debug, Default)]
pub struct RevisionHistory {
    revisions: VecDeque<LoggedRevision>,
    bytes: usize,
}

impl RevisionHistory {
    /// Appends a revision that was just applied. If it does not follow the last kept revision, the
    /// history is cleared first.
    pub fn push(&mut self, revision: LoggedRevision) {
        let is_next = self.revisions.back().is_some_and(|last| last.version == revision.after);
        if !is_next {
            self.clear();
        }
        self.bytes += revision.text.len();
        self.revisions.push_back(revision);
        while self.bytes > MAX_HISTORY_BYTES && self.revisions.len() > 1 {
            let dropped = self.revisions.pop_front();
            self.bytes -= dropped.map_or(0, |revision| revision.text.len());
        }
    }

    /// Removes all revisions, because a snapshot replaced the configuration.
    pub fn clear(&mut self) {
        self.revisions.clear();
        self.bytes = 0;
    }

    /// Returns the revisions that follow `version`, up to `max_bytes` but at least one, or none if
    /// the history does not reach back that far.
    pub fn after(&self, version: u64, max_bytes: usize) -> Vec<LoggedRevision> {
        let following = self.revisions.iter().skip_while(|revision| revision.after < version);
        let mut bytes = 0;
        let mut next = version;
        let mut selected = Vec::new();
        for revision in following {
            bytes += revision.text.len();
            if revision.after != next || (bytes > max_bytes && !selected.is_empty()) {
                break;
            }
            next = revision.version;
            selected.push(revision.clone());
        }
        selected
    }
}
