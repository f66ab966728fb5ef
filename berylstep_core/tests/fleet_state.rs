//! Desired state, replica table and event splitting of resumable streams.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::fleet::desired::{
    CallerLimits, DesiredState, RouteEntry, RouteKind, RouteTarget,
};
use berylstep_core::fleet::events::{EndMarker, EventSplitter};
use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState, ReplicaTable, LAPSE_GRACE};

fn route(name: &str, host: &str, prefix: &str) -> RouteEntry {
    RouteEntry {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        gap_target: None,
        priority: 0,
        targets: vec![RouteTarget { service: "s".into(), weight: 1.0 }],
        attempts: 1,
        public: false,
        resumable: false,
    }
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut desired = DesiredState::new(1, CallerLimits::default(), false);
    for (name, host, prefix) in
        [("short", "a.example", "/x/"), ("long", "a.example", "/x/y/"), ("root", "b.example", "/")]
    {
        desired.add_route(route(name, host, prefix));
    }
    let cases = [
        RouteCase { host: "a.example", path: "/x/1", found: Some("short") },
        RouteCase { host: "a.example", path: "/x/y/1", found: Some("long") },
        RouteCase { host: "A.Example:80", path: "/x/y/", found: Some("long") },
        RouteCase { host: "a.example", path: "/x", found: None },
        RouteCase { host: "a.example", path: "/xy/", found: None },
        RouteCase { host: "b.example", path: "/x/y/1", found: Some("root") },
        RouteCase { host: "c.example", path: "/x/", found: None },
    ];
    for case in cases {
        let found = desired.route(case.host, case.path).map(|route| &*route.name);
        assert_eq!(found, case.found, "{}{}", case.host, case.path);
    }
}

struct RankCase {
    first: (Option<u8>, u8),
    then: (Option<u8>, u8),
}

#[test]
fn organisations_rank_before_routes() {
    let rank = |(organisation, priority): (Option<u8>, u8)| {
        RouteEntry { priority, ..route("r", "h", "/") }.rank(organisation)
    };
    let cases = [
        RankCase { first: (Some(1), 0), then: (Some(1), 1) },
        RankCase { first: (Some(1), 1), then: (Some(1), 2) },
        RankCase { first: (Some(0), 2), then: (Some(1), 0) },
        RankCase { first: (None, 0), then: (None, 2) },
    ];
    for case in cases {
        assert!(rank(case.first) < rank(case.then), "{:?} before {:?}", case.first, case.then);
    }
}

#[test]
fn a_route_selects_its_targets_by_weight() {
    let target = |service: &str, weight| RouteTarget { service: service.into(), weight };
    let targets = vec![target("most", 90.0), target("few", 10.0), target("none", 0.0)];
    let split = RouteEntry { targets, ..route("r", "h", "/") };
    let selected = |draw| split.service(draw).map(|service| &**service);
    assert_eq!(selected(0.0), Some("most"));
    assert_eq!(selected(0.89), Some("most"));
    assert_eq!(selected(0.95), Some("few"));
    assert_eq!(selected(1.0), Some("few"));
    assert_eq!(RouteEntry { targets: Vec::new(), ..split }.service(0.5), None);
}

fn entry(id: &str, state: ReplicaState, born: u64) -> ReplicaEntry {
    ReplicaEntry {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        zone: "a".into(),
        version: "v1".into(),
        slots: 4,
        state,
        spot: false,
        leaves_in: None,
        born,
    }
}

#[test]
fn an_older_entry_does_not_bring_a_draining_replica_back() {
    let mut table = ReplicaTable::default();
    let now = Duration::ZERO;
    table.put(entry("r", ReplicaState::Draining, 1), 9, now);
    assert!(!table.put(entry("r", ReplicaState::Ready, 1), 8, now));
    assert_eq!(table.ready("s").count(), 0);
    assert!(table.put(entry("r", ReplicaState::Ready, 2), 10, now));
    assert_eq!(table.ready("s").count(), 1);
}

#[test]
fn a_lapsed_replica_is_kept_for_the_grace_period_and_returns_with_its_entry() {
    let now = Duration::from_secs(10);
    let mut table = ReplicaTable::default();
    for id in ["back", "gone"] {
        table.put(entry(id, ReplicaState::Ready, 1), 1, now);
        table.lapse(id, now);
    }
    assert_eq!(table.ready("s").count(), 2);
    table.put(entry("back", ReplicaState::Ready, 1), 2, now);
    let expired = table.expire(now + LAPSE_GRACE);
    assert_eq!(expired.iter().map(|entry| &*entry.id).collect::<Vec<_>>(), ["gone"]);
    assert!(table.get("back").unwrap().is_healthy(now));
}

struct SplitCase {
    name: &'static str,
    chunks: &'static [&'static str],
    forwarded: &'static str,
    last_id: Option<&'static str>,
}

#[test]
fn only_complete_events_are_forwarded() {
    let cases = [
        SplitCase {
            name: "two complete events",
            chunks: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"],
            forwarded: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            last_id: Some("2"),
        },
        SplitCase {
            name: "an event in several chunks",
            chunks: &["id: 1\nda", "ta: a\n", "\nid: 2\ndata"],
            forwarded: "id: 1\ndata: a\n\n",
            last_id: Some("1"),
        },
        SplitCase {
            name: "lines that end in CR LF",
            chunks: &["id: 7\r\ndata: a\r\n\r\nid: 8\r\n"],
            forwarded: "id: 7\r\ndata: a\r\n\r\n",
            last_id: Some("7"),
        },
        SplitCase {
            name: "no complete event",
            chunks: &["id: 1\ndata: a\n"],
            forwarded: "",
            last_id: None,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        let forwarded: Vec<u8> =
            case.chunks.iter().flat_map(|chunk| splitter.accept(chunk.as_bytes())).collect();
        assert_eq!(String::from_utf8(forwarded).unwrap(), case.forwarded, "{}", case.name);
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
        splitter.discard_partial();
        assert_eq!(splitter.partial_bytes(), 0, "{}", case.name);
    }
}

struct EndCase {
    name: &'static str,
    content: &'static str,
    /// Whether the stream is whole if a length or a last chunk marks its end, and if only the close
    /// of the connection does.
    whole: [bool; 2],
}

/// Guards against a truncated stream that is taken for a complete one.
#[test]
fn a_stream_is_whole_only_after_a_complete_event() {
    let cases = [
        EndCase { name: "nothing", content: "", whole: [true, false] },
        EndCase { name: "an event", content: "id: 1\ndata: a\n\n", whole: [true, true] },
        EndCase { name: "inside a line", content: "data: a\n\ndata", whole: [false, false] },
        EndCase { name: "after a line", content: "data: a\n\ndata: b\n", whole: [false, false] },
        EndCase { name: "inside CR LF", content: "data: a\n\ndata: b\n\r", whole: [false, false] },
        EndCase { name: "first event", content: "data: a\n", whole: [false, false] },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        case.content.bytes().for_each(|byte| drop(splitter.accept(&[byte])));
        let whole = [EndMarker::Framing, EndMarker::Close].map(|marker| splitter.is_whole(marker));
        assert_eq!(whole, case.whole, "{}", case.name);
    }
}
