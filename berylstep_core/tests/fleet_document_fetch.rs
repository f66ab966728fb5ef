//! Fetching of documents from several nodes: whom a node asks, what it does when they are busy or fail, and how fast a
//! change reaches a whole zone over narrow links.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::fleet::document::{PieceDigest, PiecedDocument};
use berylstep_core::fleet::document_fetch::{DocumentFetch, FetchStep, QueryEnd};

const ZERO: Duration = Duration::ZERO;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7))
}

/// Returns a document without repetitions.
fn document(version: u64, bytes: usize) -> PiecedDocument {
    let mut random = fastrand::Rng::with_seed(7);
    let content: Vec<u8> = std::iter::repeat_with(|| random.u8(..)).take(bytes).collect();
    PiecedDocument::split(version, Arc::from(content))
}

fn deliver(fetch: &mut DocumentFetch, source: &PiecedDocument, asked: &[PieceDigest]) {
    for digest in asked {
        if let Some(content) = source.piece(*digest) {
            fetch.add_piece(content);
        }
    }
}

struct SourceCase {
    name: &'static str,
    /// How the queries of the first source end.
    ends: &'static [QueryEnd],
    /// Shortest and longest time until it is asked again.
    pause_ms: (u64, u64),
}

#[test]
fn a_source_is_asked_again_after_a_pause_that_fits() {
    let cases = [
        SourceCase { name: "busy", ends: &[QueryEnd::Busy], pause_ms: (60, 180) },
        SourceCase { name: "failed", ends: &[QueryEnd::Failed], pause_ms: (125, 375) },
        SourceCase { name: "failed twice", ends: &[QueryEnd::Failed; 2], pause_ms: (250, 750) },
        SourceCase { name: "fails on", ends: &[QueryEnd::Failed; 30], pause_ms: (1_000, 3_000) },
    ];
    let source = document(1, 300_000);
    for case in cases {
        for draw in [0.0, 0.5, 0.999] {
            let mut fetch = DocumentFetch::new(source.manifest().clone(), None, ZERO);
            fetch.add_source(address(1), 4);
            for end in case.ends {
                fetch.record_end(address(1), &[], *end, ZERO, ZERO, draw);
            }
            let FetchStep::Wait(pause) = fetch.next_step(ZERO, draw, draw) else {
                panic!("{}: asked again at once", case.name);
            };
            let range = case.pause_ms.0..=case.pause_ms.1;
            assert!(range.contains(&(pause.as_millis() as u64)), "{}: {pause:?}", case.name);
            assert!(matches!(fetch.next_step(pause, draw, draw), FetchStep::Query(..)));
            fetch.add_source(address(2), 2);
            let FetchStep::Query(asked, _) = fetch.next_step(ZERO, draw, draw) else {
                panic!("{}: another source is not asked", case.name);
            };
            assert_eq!(asked, address(2), "{}", case.name);
        }
    }
}

// Guards against a document that is never asked for elsewhere because its first source has moved on.
#[test]
fn a_source_without_the_pieces_is_not_asked_again() {
    let source = document(1, 300_000);
    let mut fetch = DocumentFetch::new(source.manifest().clone(), None, ZERO);
    assert_eq!(fetch.next_step(ZERO, 0.5, 0.5), FetchStep::NoSource);
    fetch.add_source(address(1), 4);
    let FetchStep::Query(asked, pieces) = fetch.next_step(ZERO, 0.5, 0.5) else { panic!() };
    fetch.record_end(asked, &pieces, QueryEnd::Answered, ZERO, ZERO, 0.5);
    fetch.add_source(address(1), 4);
    assert_eq!(fetch.next_step(ZERO, 0.5, 0.5), FetchStep::NoSource);
    fetch.retarget(document(2, 200_000).manifest().clone(), None);
    fetch.add_source(address(1), 4);
    assert!(matches!(fetch.next_step(ZERO, 0.5, 0.5), FetchStep::Query(..)));
}

// Guards against a transfer that begins anew when its source breaks off.
#[test]
fn what_has_arrived_is_kept_when_a_source_breaks_off() {
    let source = document(1, 300_000);
    let mut fetch = DocumentFetch::new(source.manifest().clone(), None, ZERO);
    fetch.add_source(address(1), 4);
    fetch.add_source(address(2), 4);
    let mut now = ZERO;
    let mut queries = 0;
    loop {
        match fetch.next_step(now, 0.3, 0.6) {
            FetchStep::Complete => break,
            FetchStep::Query(from, pieces) => {
                // Every query breaks off after its first piece.
                deliver(&mut fetch, &source, &pieces[..1]);
                fetch.record_end(from, &pieces, QueryEnd::Failed, now, now, 0.5);
                queries += 1;
            }
            FetchStep::Wait(pause) => now += pause,
            FetchStep::NoSource => panic!("both sources have the pieces"),
        }
    }
    assert_eq!(queries, source.manifest().pieces.len());
    assert_eq!(fetch.received_bytes(), 300_000);
    assert_eq!(fetch.assembly().complete().unwrap().content(), source.content());
}

/// A node of [`spread`].
struct ZoneNode {
    bytes_per_ms: usize,
    width: u32,
    fetch: Option<DocumentFetch>,
    /// Queries in progress that it answers.
    serving: u32,
    complete_at: Option<u64>,
}

/// A query in progress.
struct ZoneQuery {
    from: usize,
    to: usize,
    pieces: Vec<PieceDigest>,
    began: u64,
    remaining: f64,
}

/// Plays how a document reaches the nodes of a zone, of which the first three have it. The width of a link is shared by
/// the queries over it. Returns the milliseconds until the last node has it.
fn spread(links: &[usize], bytes: usize) -> u64 {
    const SEED_NODES: usize = 3;
    const STEP_MS: u64 = 5;
    const ANNOUNCE_MS: u64 = 250;
    let source = document(1, bytes);
    let mut random = fastrand::Rng::with_seed(3);
    let mut nodes: Vec<_> = links
        .iter()
        .enumerate()
        .map(|(index, mbps)| {
            let mut fetch = DocumentFetch::new(source.manifest().clone(), None, ZERO);
            let width = |mbps: usize| ((mbps / 10) as u32).clamp(2, 32);
            (0..SEED_NODES).for_each(|seed| fetch.add_source(address(seed), width(links[seed])));
            ZoneNode {
                bytes_per_ms: mbps * 125,
                width: width(*mbps),
                fetch: (index >= SEED_NODES).then_some(fetch),
                serving: 0,
                complete_at: (index < SEED_NODES).then_some(0),
            }
        })
        .collect();
    let mut queries: VecDeque<ZoneQuery> = VecDeque::new();
    for ms in (0..60_000).step_by(STEP_MS as usize) {
        let now = Duration::from_millis(ms);
        for from in 0..nodes.len() {
            if queries.iter().any(|query| query.from == from) {
                continue;
            }
            let Some(fetch) = nodes[from].fetch.as_mut() else { continue };
            match fetch.next_step(now, random.f64(), random.f64()) {
                FetchStep::Query(target, pieces) => {
                    let to = (0..links.len()).find(|node| address(*node) == target).unwrap();
                    if nodes[to].serving >= nodes[to].width {
                        let holders: Vec<_> = (0..nodes.len())
                            .filter(|node| {
                                nodes[*node].complete_at.is_some_and(|at| at + ANNOUNCE_MS <= ms)
                            })
                            .map(|node| (address(node), nodes[node].width))
                            .collect();
                        let fetch = nodes[from].fetch.as_mut().unwrap();
                        let named = random.choose_multiple(holders, 8);
                        named
                            .into_iter()
                            .for_each(|(holder, width)| fetch.add_source(holder, width));
                        fetch.record_end(target, &pieces, QueryEnd::Busy, now, now, random.f64());
                        continue;
                    }
                    nodes[to].serving += 1;
                    let size: usize =
                        pieces.iter().map(|piece| source.piece(*piece).unwrap().len()).sum();
                    let remaining = size as f64;
                    queries.push_back(ZoneQuery { from, to, pieces, began: ms, remaining });
                }
                FetchStep::Complete => {
                    nodes[from].fetch = None;
                    nodes[from].complete_at = Some(ms);
                }
                FetchStep::Wait(_) | FetchStep::NoSource => {}
            }
        }
        for _ in 0..queries.len() {
            let mut query = queries.pop_front().unwrap();
            let shared = nodes[query.to].bytes_per_ms as f64 / f64::from(nodes[query.to].serving);
            let rate = shared.min(nodes[query.from].bytes_per_ms as f64);
            query.remaining -= rate * STEP_MS as f64;
            if query.remaining > 0.0 {
                queries.push_back(query);
                continue;
            }
            nodes[query.to].serving -= 1;
            let target = address(query.to);
            let began = Duration::from_millis(query.began);
            let fetch = nodes[query.from].fetch.as_mut().unwrap();
            deliver(fetch, &source, &query.pieces);
            let end = QueryEnd::Answered;
            fetch.record_end(target, &query.pieces, end, began, now, random.f64());
            if fetch.assembly().missing_pieces() == 0 {
                assert_eq!(fetch.received_bytes(), bytes, "a piece was fetched twice");
            }
        }
        if nodes.iter().all(|node| node.complete_at.is_some()) {
            return ms;
        }
    }
    panic!("the document does not reach all nodes within a minute");
}

struct SpreadCase {
    name: &'static str,
    links: Vec<usize>,
    bytes: usize,
}

/// Time within which a change is in force everywhere.
const IN_FORCE_MS: u64 = 11_000;

// Guards against a zone whose nodes all fetch a large change from the node that has it first.
#[test]
fn a_large_change_reaches_all_nodes_of_a_zone_in_time() {
    let links = |wide: usize, narrow: usize| [vec![200; wide], vec![10; narrow]].concat();
    let cases = [
        SpreadCase { name: "31 nodes, two wide", links: links(2, 31), bytes: 1_200_000 },
        SpreadCase { name: "62 nodes, all narrow", links: links(0, 62), bytes: 400_000 },
        SpreadCase { name: "62 nodes, all narrow, whole", links: links(0, 62), bytes: 1_200_000 },
        SpreadCase { name: "150 nodes, three wide", links: links(3, 147), bytes: 1_200_000 },
    ];
    for case in cases {
        let ms = spread(&case.links, case.bytes);
        assert!(ms <= IN_FORCE_MS, "{}: {ms} ms", case.name);
    }
}
