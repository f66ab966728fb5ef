//! Lists that are handed on in pages: only pages that follow each other make a list, and it is as old as its oldest page.

use berylstep_core::fleet::list_pages::{CompleteList, ListAssembly, ListPage};
use berylstep_core::fleet::position::StorePosition;

/// A page: key after which it begins, its keys, era and revision, and whether more follows.
type PageRow = (&'static str, &'static [&'static str], u64, u64, bool);

struct PageCase {
    name: &'static str,
    pages: &'static [PageRow],
    /// Keys of the list, with its era and revision, if the last page completes it.
    list: Option<(&'static [&'static str], u64, u64)>,
    /// Key after which the next page is asked for.
    next_after: &'static str,
}

const CASES: &[PageCase] = &[
    PageCase {
        name: "one page",
        pages: &[("", &["a", "b"], 1, 5, false)],
        list: Some((&["a", "b"], 1, 5)),
        next_after: "",
    },
    PageCase {
        name: "empty",
        pages: &[("", &[], 1, 5, false)],
        list: Some((&[], 1, 5)),
        next_after: "",
    },
    PageCase {
        name: "two pages, the second from a node that is behind",
        pages: &[("", &["a"], 1, 9, true), ("a", &["b"], 1, 7, false)],
        list: Some((&["a", "b"], 1, 7)),
        next_after: "",
    },
    PageCase {
        name: "more follows",
        pages: &[("", &["a"], 1, 9, true), ("a", &["b"], 1, 9, true)],
        list: None,
        next_after: "b",
    },
    PageCase {
        name: "a page that doesn't follow",
        pages: &[("", &["a"], 1, 9, true), ("c", &["d"], 1, 9, false)],
        list: None,
        next_after: "a",
    },
    PageCase {
        name: "begins in the middle",
        pages: &[("c", &["d"], 1, 9, false)],
        list: None,
        next_after: "",
    },
    PageCase {
        name: "begins anew",
        pages: &[("", &["a"], 1, 9, true), ("", &["a", "b"], 1, 10, false)],
        list: Some((&["a", "b"], 1, 10)),
        next_after: "",
    },
    PageCase {
        name: "the store is restored in between",
        pages: &[("", &["a"], 1, 9, true), ("a", &["b"], 2, 3, false)],
        list: None,
        next_after: "",
    },
    PageCase {
        name: "a page of the era before",
        pages: &[("", &["a"], 2, 3, true), ("a", &["b"], 1, 9, false)],
        list: None,
        next_after: "a",
    },
    PageCase {
        name: "an end without entries",
        pages: &[("", &["a"], 1, 9, true), ("a", &[], 1, 9, true)],
        list: Some((&["a"], 1, 9)),
        next_after: "",
    },
];

#[test]
fn only_pages_that_follow_each_other_make_a_list() {
    for case in CASES {
        let mut assembly = ListAssembly::default();
        let mut list = None;
        for (after, keys, era, revision, has_more) in case.pages {
            list = assembly.add(ListPage {
                after: (*after).to_owned(),
                entries: keys.iter().map(|key| ((*key).to_owned(), ())).collect(),
                position: StorePosition::new(*era, *revision),
                has_more: *has_more,
            });
        }
        let list = list.map(|CompleteList { entries, position }| {
            (entries.into_iter().map(|(key, ())| key).collect::<Vec<_>>(), position)
        });
        let expected = case.list.map(|(keys, era, revision)| {
            let keys: Vec<_> = keys.iter().map(|key| (*key).to_owned()).collect();
            (keys, StorePosition::new(era, revision))
        });
        assert_eq!(list, expected, "{}", case.name);
        assert_eq!(assembly.next_after(), case.next_after, "{}", case.name);
    }
}
