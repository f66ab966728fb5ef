//! Assembles a list that is handed on in pages.

use super::position::StorePosition;

/// One page of a list in the order of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPage<T> {
    /// Key after which the page begins; empty for the first page.
    pub after: String,
    /// Entries with their keys, in order.
    pub entries: Vec<(String, T)>,
    /// Position in the history of the store as of which the page is.
    pub position: StorePosition,
    /// Whether entries follow after the last one.
    pub has_more: bool,
}

/// A complete list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteList<T> {
    /// Entries with their keys.
    pub entries: Vec<(String, T)>,
    /// Position of the oldest page. Entries may be newer; what was removed since may still be listed.
    pub position: StorePosition,
}

/// Pages of a list that have arrived so far. They may come from different nodes, as long as all know the same era of
/// the store.
#[derive(Clone, Debug)]
pub struct ListAssembly<T> {
    pages: Option<CompleteList<T>>,
}

impl<T> Default for ListAssembly<T> {
    fn default() -> Self {
        Self { pages: None }
    }
}

impl<T> ListAssembly<T> {
    /// Returns the key after which the next page begins; empty for the first page.
    pub fn next_after(&self) -> &str {
        let last = self.pages.as_ref().and_then(|pages| pages.entries.last());
        last.map_or("", |(key, _)| key)
    }

    /// Forgets the pages that have arrived.
    pub fn clear(&mut self) {
        self.pages = None;
    }

    /// Adds a page; returns the list once it is complete. A page that doesn't follow the last one is dropped, a
    /// first page begins anew.
    pub fn add(&mut self, page: ListPage<T>) -> Option<CompleteList<T>> {
        let mut list = match self.pages.take() {
            Some(pages) if !page.after.is_empty() => pages,
            None if !page.after.is_empty() => return None,
            _ => CompleteList { entries: Vec::new(), position: page.position },
        };
        let follows = list.entries.last().map_or("", |(key, _)| key) == page.after;
        if !follows || list.position.era != page.position.era {
            let is_newer = page.position.era > list.position.era;
            self.pages = (!is_newer).then_some(list);
            return None;
        }
        let is_last = !page.has_more || page.entries.is_empty();
        list.entries.extend(page.entries);
        list.position = list.position.min(page.position);
        if is_last {
            return Some(list);
        }
        self.pages = Some(list);
        None
    }
}
