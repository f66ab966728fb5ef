//! The list of replicas, and its changes, in parts that fit into one message each.

use std::ops::Bound;

use berylstep_core::collections::SharedName;

use super::{ReplicaChanges, StoreMirror, StoredCopy};

/// Part of the list of replicas, or of its changes, that fits into one message.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPage {
    /// Entries and removals.
    pub changes: ReplicaChanges,
    /// Revision that a node has reached with a page of changes, or with the last page of a list.
    pub revision: u64,
    /// Whether more follows.
    pub has_more: bool,
}

/// A change of the list of replicas; the copy is absent where the entry was removed.
type ReplicaChange = (u64, SharedName, Option<StoredCopy>);

impl StoreMirror {
    /// Returns a part of what changed since `revision`, of about `max_bytes` bytes; with `after`, the part of the
    /// whole list after this identifier.
    pub fn replica_page(&self, revision: u64, after: &str, max_bytes: usize) -> ReplicaPage {
        let is_complete =
            !after.is_empty() || revision < self.removals_since.get() || revision == 0;
        match is_complete {
            true => self.list_page(after, max_bytes),
            false => self.change_page(revision, max_bytes),
        }
    }

    fn list_page(&self, after: &str, max_bytes: usize) -> ReplicaPage {
        let copies = self.copies.borrow();
        let mut following = copies.range::<str, _>((Bound::Excluded(after), Bound::Unbounded));
        let (mut entries, mut bytes) = (Vec::new(), 0);
        while bytes < max_bytes {
            let Some((id, copy)) = following.next() else { break };
            bytes += id.len() + copy.value.len();
            entries.push((id.clone(), copy.clone()));
        }
        let changes = ReplicaChanges { complete: true, entries, removed: Vec::new() };
        let has_more = following.next().is_some();
        ReplicaPage { changes, revision: self.replica_revision(), has_more }
    }

    fn change_page(&self, since: u64, max_bytes: usize) -> ReplicaPage {
        let ReplicaChanges { entries, removed, .. } = self.replica_changes(since);
        let entries = entries.into_iter().map(|(id, copy)| (copy.revision, id, Some(copy)));
        let removed = removed.into_iter().map(|(id, revision)| (revision, id, None));
        let mut changed: Vec<ReplicaChange> = entries.chain(removed).collect();
        changed.sort_unstable_by(|left, right| (left.0, &left.1).cmp(&(right.0, &right.1)));
        let mut page = ReplicaPage { revision: self.replica_revision(), ..ReplicaPage::default() };
        let (mut bytes, mut reached) = (0, since);
        for (revision, id, copy) in changed {
            // Changes of one revision belong together: a node that has reached it isn't told them again.
            if bytes >= max_bytes && revision > reached {
                (page.revision, page.has_more) = (reached, true);
                break;
            }
            bytes += id.len() + copy.as_ref().map_or(0, |copy| copy.value.len());
            reached = revision;
            match copy {
                Some(copy) => page.changes.entries.push((id, copy)),
                None => page.changes.removed.push((id, revision)),
            }
        }
        page
    }
}
