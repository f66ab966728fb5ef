//! Documents in pieces: what a change costs, what is kept when a transfer breaks off, and what is never put together
//! wrongly.

use std::sync::Arc;

use berylstep_core::fleet::document::{
    DocumentAssembly, DocumentManifest, PieceDigest, PieceEntry, PieceReceipt, PiecedDocument,
    DIGEST_BYTES,
};
use proptest::prelude::*;

/// Text of one route in a desired state, about as long as those of deployments.
fn route(number: usize) -> String {
    let host = number.wrapping_mul(2_654_435_761) % 1_000_003;
    format!(
        "{{\"Name\":\"r-{number}\",\"Host\":\"h{host}.example\",\"Prefix\":\"/{number}/\",\
         \"Kind\":\"safe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":200,\"Priority\":0,\
         \"Service\":\"s-{host}\",\"Attempts\":2,\"Public\":false}},"
    )
}

fn document(version: u64, routes: impl Iterator<Item = usize>) -> PiecedDocument {
    let text: String = routes.map(route).collect();
    PiecedDocument::split(
        version,
        Arc::from(format!("{{\"Version\":{version},{text}}}").as_bytes()),
    )
}

struct ChangeCase {
    name: &'static str,
    before: Vec<usize>,
    after: Vec<usize>,
    /// Largest part of the new document that has to be fetched.
    max_part: f64,
}

// Guards against a small change of a large document that is handed on whole.
#[test]
fn a_change_costs_what_it_changes() {
    let all = || 0..5_000usize;
    let cases = [
        ChangeCase {
            name: "one route more at the end",
            before: all().collect(),
            after: (0..5_001).collect(),
            max_part: 0.04,
        },
        ChangeCase {
            name: "one route less in the middle",
            before: all().collect(),
            after: all().filter(|number| *number != 2_500).collect(),
            max_part: 0.05,
        },
        ChangeCase {
            name: "1,400 routes more",
            before: (0..2_800).collect(),
            after: (0..4_200).collect(),
            max_part: 0.38,
        },
        ChangeCase {
            name: "1,400 routes more in front",
            before: (1_400..4_200).collect(),
            after: (0..4_200).collect(),
            max_part: 0.38,
        },
        ChangeCase { name: "nothing known", before: vec![], after: all().collect(), max_part: 1.0 },
    ];
    for case in cases {
        let known = document(1, case.before.into_iter());
        let target = document(2, case.after.into_iter());
        let assembly = DocumentAssembly::new(target.manifest().clone(), Some(&known));
        let part = assembly.missing_bytes() as f64 / target.content().len() as f64;
        assert!(part <= case.max_part, "{}: {part} of the document", case.name);
    }
}

#[test]
fn a_document_arrives_whole_piece_by_piece() {
    let source = document(3, 0..3_000);
    let mut assembly = DocumentAssembly::new(source.manifest().clone(), None);
    let mut queries = 0;
    while assembly.missing_pieces() > 0 {
        assert!(assembly.complete().is_none());
        for digest in assembly.next_missing(64 * 1024, queries * 7) {
            assert_eq!(assembly.add(source.piece(digest).unwrap()), PieceReceipt::Added);
            assert_eq!(assembly.add(source.piece(digest).unwrap()), PieceReceipt::Unneeded);
        }
        queries += 1;
    }
    let complete = assembly.complete().unwrap();
    assert_eq!(complete.content(), source.content());
    assert_eq!(complete.manifest(), source.manifest());
    assert!(queries <= source.content().len() / (32 * 1024) + 1, "{queries} queries");
}

// Guards against a newer version that throws away what has arrived of the one before.
#[test]
fn pieces_that_have_arrived_are_kept_for_the_next_version() {
    let first = document(2, 0..4_000);
    let second = document(3, 0..4_010);
    let mut assembly = DocumentAssembly::new(first.manifest().clone(), None);
    for digest in assembly.next_missing(first.content().len() / 2, 0) {
        assembly.add(first.piece(digest).unwrap());
    }
    let missing_before = assembly.missing_bytes();
    assembly.retarget(second.manifest().clone(), None);
    assert_eq!(assembly.version(), 3);
    assert!(assembly.missing_bytes() < missing_before + 64 * 1024, "{}", assembly.missing_bytes());
}

// Guards against content that is taken for a piece that it isn't.
#[test]
fn foreign_content_is_never_part_of_a_document() {
    let source = document(1, 0..500);
    let mut assembly = DocumentAssembly::new(source.manifest().clone(), None);
    let missing = assembly.missing_pieces();
    assert_eq!(assembly.add(b"foreign"), PieceReceipt::Unneeded);
    assert_eq!(assembly.add(&[]), PieceReceipt::Unneeded);
    assert_eq!(assembly.missing_pieces(), missing);
}

#[test]
fn a_manifest_with_wrong_sizes_assembles_the_pieces_that_it_names() {
    let source = document(1, 0..500);
    let pieces = source.manifest().pieces.iter().map(|piece| PieceEntry { bytes: 1, ..*piece });
    let manifest = DocumentManifest { version: 1, pieces: pieces.collect() };
    let complete = DocumentAssembly::new(manifest, Some(&source)).complete().unwrap();
    assert_eq!(complete.content(), source.content());
    assert_eq!(complete.manifest(), source.manifest());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn any_two_versions_lead_to_the_newer_one(
        before in proptest::collection::vec(any::<u8>(), 0..60_000),
        cut in any::<prop::sample::Index>(),
        inserted in proptest::collection::vec(any::<u8>(), 0..9_000),
    ) {
        let cut = cut.index(before.len() + 1);
        let after = [&before[..cut], &inserted[..], &before[cut..]].concat();
        let known = PiecedDocument::split(1, Arc::from(before));
        let target = PiecedDocument::split(2, Arc::from(after));
        let mut assembly = DocumentAssembly::new(target.manifest().clone(), Some(&known));
        for digest in assembly.next_missing(usize::MAX, 0) {
            assembly.add(target.piece(digest).unwrap());
        }
        let complete = assembly.complete().unwrap();
        prop_assert_eq!(complete.content(), target.content());
        for piece in &target.manifest().pieces {
            prop_assert_eq!(PieceDigest::of(complete.piece(piece.digest).unwrap()), piece.digest);
        }
    }
}

/// Bytes per second that a node may spend on control.
const CONTROL_BYTES_PER_SECOND: f64 = 19.0 * 1024.0;

/// Changes per day, and seconds of a day.
const CHANGES: f64 = 18_000.0;
const DAY_SECONDS: f64 = 86_400.0;

// Guards against changes that cost each node more than its budget at the size that the fleet grows to.
#[test]
fn changes_of_single_keys_fit_into_the_budget_for_control() {
    let document = |version: u64, changed: usize| {
        let organisation = |number: usize| {
            let key = if number == changed { version } else { 1 };
            let hash = number.wrapping_mul(2_654_435_761) % 1_000_000_007;
            format!(
                "{{\"Name\":\"org-{hash}\",\"Keys\":[\"key-{hash}-{number}-{key}\"],\"Priority\":1}},"
            )
        };
        let text: String = (0..30_000).map(organisation).collect();
        let content = format!("{{\"Version\":{version},\"Tenants\":[{text}]}}");
        PiecedDocument::split(version, Arc::from(content.as_bytes()))
    };
    let known = document(1, 0);
    let mut costs = Vec::new();
    for (version, changed) in [(2, 7), (3, 15_000), (4, 29_999)] {
        let target = document(version, changed);
        let assembly = DocumentAssembly::new(target.manifest().clone(), Some(&known));
        let listed = target.manifest().pieces.len() * (DIGEST_BYTES + 3);
        costs.push(listed + assembly.missing_bytes());
    }
    let mean = costs.iter().sum::<usize>() as f64 / costs.len() as f64;
    let per_second = mean * CHANGES / DAY_SECONDS;
    assert!(per_second <= CONTROL_BYTES_PER_SECOND, "{per_second} bytes a second, {costs:?}");
}
