//! The list of replicas in pages: whatever changes while the pages are handed on, a node ends with the same list.

use std::time::Duration;

use berylstep::clock::RuntimeClock;
use berylstep::gateway::mirror::{StoreMirror, StoredCopy};
use berylstep_core::fleet::list_pages::{CompleteList, ListAssembly, ListPage};
use berylstep_core::fleet::position::StorePosition;
use proptest::prelude::*;
use serde_json::json;

/// Number of different replicas.
const REPLICAS: u8 = 40;

/// Size of a page, which holds about four entries.
const PAGE_BYTES: usize = 600;

#[derive(Clone, Copy, Debug)]
enum ListChange {
    Put(u8),
    Remove(u8),
    /// Entries of several replicas in one transaction.
    PutTogether(u8, u8),
    /// The reader asks for the next page.
    Page,
}

fn changes() -> impl Strategy<Value = Vec<ListChange>> {
    let change = prop_oneof![
        3 => (0..REPLICAS).prop_map(ListChange::Put),
        2 => (0..REPLICAS).prop_map(ListChange::Remove),
        1 => (0..REPLICAS, 2..20u8).prop_map(|(first, count)| ListChange::PutTogether(first, count)),
        3 => Just(ListChange::Page),
    ];
    proptest::collection::vec(change, 1..150)
}

fn mirror() -> StoreMirror {
    let (clock, _) = RuntimeClock::paused();
    StoreMirror::new(clock, Duration::from_secs(1))
}

fn id(number: u8) -> String {
    format!("i-{:02}", number % REPLICAS)
}

fn value(revision: u64) -> Vec<u8> {
    json!({"Service": "s", "Address": "10.0.0.1:80", "Zone": "a", "Version": "v1", "Slots": 8,
           "State": "ready", "ColdRemainingMs": 0, "Sequence": revision, "born": revision})
    .to_string()
    .into_bytes()
}

fn listed(mirror: &StoreMirror) -> Vec<(String, u64)> {
    let changes = mirror.replica_changes(0);
    let mut entries: Vec<_> =
        changes.entries.iter().map(|(id, copy)| (id.to_string(), copy.revision)).collect();
    entries.sort();
    entries
}

/// Asks `source` for one page; returns whether there was anything to ask for.
fn take_page(
    source: &StoreMirror,
    reader: &StoreMirror,
    pages: &mut ListAssembly<StoredCopy>,
) -> bool {
    if source.position() <= reader.position() {
        return false;
    }
    let after = pages.next_after().to_owned();
    let page = source.replica_page(reader.replica_revision(), &after, PAGE_BYTES);
    if page.changes.complete {
        let entries = page.changes.entries.into_iter();
        let list = pages.add(ListPage {
            after,
            entries: entries.map(|(id, copy)| (id.to_string(), copy)).collect(),
            position: StorePosition::new(1, page.revision),
            has_more: page.has_more,
        });
        if let Some(CompleteList { entries, position }) = list {
            reader.apply_replica_snapshot(position, entries);
        }
        return true;
    }
    for (id, copy) in page.changes.entries {
        reader.apply_replica_change(&id, copy.revision, Some(copy.value));
    }
    for (id, revision) in page.changes.removed {
        reader.apply_replica_change(&id, revision, None);
    }
    reader.advance_replica_revision(page.revision);
    true
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    // Guards against entries that are missing, or that stay after their removal, because the list changed between two
    // pages.
    #[test]
    fn a_list_that_changes_between_pages_arrives_as_it_is(changes in changes()) {
        let (source, reader) = (mirror(), mirror());
        let first: Vec<_> = (0..REPLICAS / 2)
            .map(|number| (id(number), StoredCopy { revision: 1, value: value(1) }))
            .collect();
        source.apply_replica_snapshot(StorePosition::new(1, 1), first);
        let mut pages = ListAssembly::default();
        let mut revision = 1;
        for change in changes {
            if !matches!(change, ListChange::Page) {
                revision += 1;
            }
            match change {
                ListChange::Put(number) => {
                    source.apply_replica_change(&id(number), revision, Some(value(revision)));
                }
                ListChange::Remove(number) => {
                    source.apply_replica_change(&id(number), revision, None);
                }
                ListChange::PutTogether(first, count) => {
                    for number in first..first + count {
                        let value = Some(value(revision));
                        source.apply_replica_change(&id(number), revision, value);
                    }
                }
                ListChange::Page => {
                    take_page(&source, &reader, &mut pages);
                }
            }
        }
        let mut asked = 0;
        while take_page(&source, &reader, &mut pages) {
            asked += 1;
            prop_assert!(asked < 200, "the pages never end");
        }
        prop_assert_eq!(listed(&reader), listed(&source));
    }
}
