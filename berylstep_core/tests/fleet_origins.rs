//! Origins of streams: which version began them, who keeps that, and when there was only one version.

use std::time::Duration;

use berylstep_core::fleet::limits::ProcessId;
use berylstep_core::fleet::origins::{
    keeper_order, max_stream_age, service_hash, KeeperCandidate, OriginLedger, PresentVersions,
    StreamKey, StreamOrigin, VersionId, VERSION_RETENTION,
};
use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState, ReplicaTable};

const SERVICE: &str = "model";
const UNIX_MS: u64 = 1_000_000_000;

fn origin(version: &str, seen_ms: u64) -> StreamOrigin {
    StreamOrigin {
        version: VersionId::new(SERVICE, version),
        process: ProcessId { replica: 1, born: 5_000 },
        seen_ms,
    }
}

fn entry(id: &str, version: &str, born: u64) -> ReplicaEntry {
    ReplicaEntry {
        id: id.into(),
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        version: version.into(),
        slots: 8,
        state: ReplicaState::Ready,
        spot: false,
        leaves_in: None,
        born,
    }
}

struct ProcessCase {
    name: &'static str,
    /// Start of the process that the replica has when the stream is taken up.
    current_born: Option<u64>,
    is_known: bool,
}

/// Guards against a stream that goes on at the version of an entry that was out of date when the
/// stream began, because its replica had a new process under the same identifier (ORDER).
#[test]
fn an_origin_counts_only_if_its_process_cannot_have_been_replaced_before() {
    let cases = [
        ProcessCase { name: "same process", current_born: Some(5_000), is_known: true },
        ProcessCase { name: "replica gone", current_born: None, is_known: true },
        ProcessCase { name: "replaced later", current_born: Some(10_400), is_known: true },
        ProcessCase { name: "replaced about then", current_born: Some(10_100), is_known: false },
        ProcessCase { name: "replaced before", current_born: Some(9_000), is_known: false },
    ];
    for case in cases {
        let version = origin("v1", 10_000).version(case.current_born);
        let expected = case.is_known.then(|| VersionId::new(SERVICE, "v1"));
        assert_eq!(version, expected, "{}", case.name);
    }
}

/// Guards against origins that are lost with a zone, or kept by few nodes only.
#[test]
fn origins_are_kept_in_different_zones_and_by_all_nodes() {
    let names: Vec<_> =
        (0..15).map(|node| (format!("n-{node}"), format!("z-{}", node % 5))).collect();
    let candidates: Vec<_> =
        names.iter().map(|(node, zone)| KeeperCandidate { node, zone }).collect();
    let mut kept = [0; 15];
    for stream in 0..3000 {
        let order = keeper_order(StreamKey::new(&format!("id-{stream}")), &candidates);
        assert_eq!(order.len(), candidates.len());
        let zones: std::collections::BTreeSet<_> =
            order.iter().take(5).map(|index| candidates[*index].zone).collect();
        assert_eq!(zones.len(), 5, "the first keepers are in different zones");
        order.iter().take(3).for_each(|index| kept[*index] += 1);
    }
    let mean = kept.iter().sum::<i32>() / 15;
    assert!(kept.iter().all(|count| (mean / 2..mean * 2).contains(count)), "{kept:?}");
}

struct PresenceCase {
    name: &'static str,
    /// Entries with the start of their process before [`UNIX_MS`], in seconds.
    entries: &'static [(&'static str, &'static str, u64)],
    /// Identifier of an entry that is removed, and how long ago.
    removed: Option<(&'static str, u64)>,
    /// Age of the node's list, in seconds.
    age_s: u64,
    /// Versions that have been noted down, if the notes have been read.
    noted: Option<&'static [&'static str]>,
    sole: Option<&'static str>,
}

/// Guards against a version that is taken for the only one although another was present when a stream
/// may have begun (ORDER), and against a node that never takes one for it (LOST).
#[test]
fn a_version_is_the_only_one_if_no_other_was_present_lately() {
    let cases = [
        PresenceCase {
            name: "one version for long",
            entries: &[("i-1", "v1", 10), ("i-2", "v1", 10)],
            removed: None,
            age_s: 61,
            noted: None,
            sole: Some("v1"),
        },
        PresenceCase {
            name: "one version for long, outdated notes",
            entries: &[("i-1", "v1", 10), ("i-2", "v1", 10)],
            removed: None,
            age_s: 61,
            noted: Some(&["v1", "v2"]),
            sole: Some("v1"),
        },
        PresenceCase {
            name: "two versions",
            entries: &[("i-1", "v1", 900), ("i-2", "v2", 900)],
            removed: None,
            age_s: 61,
            noted: Some(&[]),
            sole: None,
        },
        PresenceCase {
            name: "the other version has just left",
            entries: &[("i-1", "v1", 900), ("i-2", "v2", 900)],
            removed: Some(("i-2", 30)),
            age_s: 100,
            noted: Some(&[]),
            sole: None,
        },
        PresenceCase {
            name: "the other version left long ago",
            entries: &[("i-1", "v1", 900), ("i-2", "v2", 900)],
            removed: Some(("i-2", 61)),
            age_s: 100,
            noted: None,
            sole: Some("v1"),
        },
        PresenceCase {
            name: "young node, old processes, one version noted",
            entries: &[("i-1", "v1", 900)],
            removed: None,
            age_s: 1,
            noted: Some(&[]),
            sole: Some("v1"),
        },
        PresenceCase {
            name: "young node, old processes, another version noted",
            entries: &[("i-1", "v1", 900)],
            removed: None,
            age_s: 1,
            noted: Some(&["v0", "v1"]),
            sole: None,
        },
        PresenceCase {
            name: "young node, old processes, notes not read",
            entries: &[("i-1", "v1", 900)],
            removed: None,
            age_s: 1,
            noted: None,
            sole: None,
        },
        PresenceCase {
            name: "young node, all processes have started lately, one version noted",
            entries: &[("i-1", "v1", 50), ("i-2", "v1", 20)],
            removed: None,
            age_s: 1,
            noted: Some(&[]),
            sole: Some("v1"),
        },
        PresenceCase {
            name: "young node, two versions that are not noted yet",
            entries: &[("i-1", "v1", 50), ("i-2", "v2", 20)],
            removed: None,
            age_s: 1,
            noted: Some(&[]),
            sole: None,
        },
    ];
    for case in cases {
        let mut table = ReplicaTable::default();
        let now = Duration::from_secs(1000);
        let begins_at = now - Duration::from_secs(case.age_s);
        for (id, version, age_s) in case.entries {
            table.put(entry(id, version, UNIX_MS - age_s * 1000), 1, begins_at);
        }
        if let Some((id, ago_s)) = case.removed {
            table.remove(id, now - Duration::from_secs(ago_s));
        }
        let period = max_stream_age(Duration::from_secs(30));
        if let Some(noted) = case.noted {
            let noted = noted.iter().map(|version| VersionId::new(SERVICE, version)).collect();
            table.set_version_notes([(service_hash(SERVICE), noted)].into_iter().collect());
        }
        let sole = table.present_versions(SERVICE, period, now).sole();
        let expected = case.sole.map(|version| VersionId::new(SERVICE, version));
        assert_eq!(sole, expected, "{}", case.name);
    }
}

/// Guards against nodes that each know one version, but not the same.
#[test]
fn versions_that_other_nodes_know_count_too() {
    let present = |version| PresentVersions {
        versions: vec![VersionId::new(SERVICE, version)],
        is_complete: true,
    };
    let mut merged = present("v1");
    merged.merge(&present("v1"));
    assert_eq!(merged.sole(), Some(VersionId::new(SERVICE, "v1")));
    merged.merge(&present("v2"));
    assert_eq!(merged.sole(), None);
}

/// Guards against a ledger that grows without bound, or drops the origins that are needed longest.
#[test]
fn the_origins_that_expire_first_are_dropped() {
    let mut ledger = OriginLedger::default();
    for stream in 0..70_000_u64 {
        let retention = Duration::from_millis(1000 + stream);
        ledger.record(StreamKey(stream), origin("v1", 0), retention, Duration::ZERO);
    }
    assert!(ledger.rows(Duration::ZERO).count() <= 65_536);
    assert!(ledger.get(StreamKey(69_999)).is_some());
    assert!(ledger.get(StreamKey(0)).is_none());
    ledger.record(StreamKey(69_999), origin("v2", 0), VERSION_RETENTION, Duration::ZERO);
    let kept = ledger.get(StreamKey(69_999)).map(|origin| origin.version);
    assert_eq!(kept, Some(VersionId::new(SERVICE, "v1")), "the first origin stays");
    ledger.expire(Duration::from_secs(400));
    assert_eq!(ledger.rows(Duration::ZERO).count(), 0);
}

/// Guards against streams of a short route that are refused for a minute after every common restart.
#[test]
fn streams_are_taken_up_for_as_long_as_their_routes_allow() {
    let cases = [(1, 10), (5, 10), (15, 30), (60, 60)];
    for (timeout_s, age_s) in cases {
        let age = max_stream_age(Duration::from_secs(timeout_s));
        assert_eq!(age, Duration::from_secs(age_s), "timeout of {timeout_s} s");
    }
}
