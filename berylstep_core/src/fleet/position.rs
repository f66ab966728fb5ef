//! Positions in the history of a store that may be restored from an older copy.

/// Position in the history of the store. After a restore revisions go back and are given out again,
/// so that only positions of one era compare by their revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Number of restores, as announced by the store.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}
