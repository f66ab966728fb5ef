//! Every fault of a change is told at once, by entity, field and accepted values.

use berylstep_core::config::{parse, references, ConfigRevision, ConfigTable};
use serde_json::{json, Value};

const SECRET: &[u8] = b"site-secret-of-tests";

struct FaultCase {
    name: &'static str,
    change: Value,
    /// Entity and field of each expected fault.
    faults: &'static [(&'static str, &'static str)],
}

fn class(name: &str) -> Value {
    json!({ "class": {
        "name": name, "tier": 1, "latency_ms": 100, "attainment": 0.9, "deadline_ms": 1_000,
    }})
}

fn route(name: &str, matcher: Value, classes: &[&str]) -> Value {
    json!({ "route": { "name": name, "match": matcher, "pool": "pool", "classes": classes } })
}

fn present_table() -> ConfigTable {
    let change = json!({
        "against": 0,
        "put": [
            class("calm"),
            { "organisation": { "name": "rivers" } },
            { "organisation": { "name": "cellar" } },
            route("drafter", json!({ "model": "drafter" }), &["calm"]),
        ],
        "grant": [{ "organisation": "rivers", "key": "key-of-rivers" }],
    });
    let reading = parse::parse_change(&change, SECRET);
    let mut table = ConfigTable::default();
    assert_eq!(references::check(&table, &reading), []);
    table.apply_revision(&ConfigRevision { after: 0, changes: reading.changes });
    table
}

fn put(entities: &[Value]) -> Value {
    json!({ "against": 5, "put": entities })
}

#[test]
fn every_fault_is_told_at_once() {
    let table = present_table();
    let cases = [
        FaultCase { name: "none", change: put(&[class("busy")]), faults: &[] },
        FaultCase {
            name: "all fields of a class",
            change: put(&[json!({ "class": {
                "name": "a/b", "tier": 4, "latency_ms": 0, "attainment": 1.0, "deadline_ms": null,
                "colour": "red",
            }})]),
            faults: &[
                ("class/a/b", "name"),
                ("class/a/b", "tier"),
                ("class/a/b", "latency_ms"),
                ("class/a/b", "attainment"),
                ("class/a/b", "deadline_ms"),
                ("class/a/b", "colour"),
            ],
        },
        FaultCase {
            name: "a route's fields and references",
            change: put(&[
                route("one", json!({ "prefix": "booking" }), &["calm"]),
                route("two", json!({ "model": "drafter" }), &["lost", "calm"]),
                json!({ "route": { "name": "three", "classes": [], "repeat": "twice" } }),
                route("four", json!({}), &["calm"]),
                route("five", json!({ "model": "five", "prefix": "/five" }), &["calm"]),
            ]),
            faults: &[
                ("route/one", "match.prefix"),
                ("route/three", "match"),
                ("route/three", "pool"),
                ("route/three", "classes"),
                ("route/three", "repeat"),
                ("route/four", "match"),
                ("route/five", "match.model"),
                ("route/two", "classes"),
                ("route/two", "match.model"),
            ],
        },
        FaultCase {
            name: "a faulty class is not missing for its routes",
            change: put(&[
                json!({ "class": { "name": "new", "tier": 0, "latency_ms": 1, "attainment": 0.5,
                    "deadline_ms": 1 } }),
                route("new", json!({ "model": "new" }), &["new"]),
            ]),
            faults: &[("class/new", "tier")],
        },
        FaultCase {
            name: "removals of what is used or absent",
            change: json!({ "against": 5, "remove": [
                "class/calm", "organisation/rivers", "route/none", "nothing",
            ]}),
            faults: &[
                ("remove[3]", "row key"),
                ("route/none", "remove"),
                ("organisation/rivers", "remove"),
                ("class/calm", "remove"),
            ],
        },
        FaultCase {
            name: "an organisation goes with its key",
            change: json!({
                "against": 5,
                "withdraw": [{ "organisation": "rivers", "key": "key-of-rivers" }],
                "remove": ["organisation/rivers"],
            }),
            faults: &[],
        },
        FaultCase {
            name: "keys",
            change: json!({ "against": 5, "grant": [
                { "organisation": "lost", "key": "key-of-lost" },
                { "organisation": "cellar", "key": "key-of-rivers" },
                { "organisation": "cellar", "key": "with space" },
                { "organisation": "cellar" },
            ]}),
            faults: &[
                ("grant[2]", "key"),
                ("grant[3]", "key"),
                ("organisation/cellar", "grant.key"),
                ("organisation/lost", "grant.organisation"),
            ],
        },
        FaultCase {
            name: "the change itself",
            change: json!({ "aginst": 5, "token": "short", "put": {} }),
            faults: &[
                ("change", "against"),
                ("change", "token"),
                ("change", "put"),
                ("change", "aginst"),
                ("change", "put"),
            ],
        },
        FaultCase {
            name: "put twice and of no kind",
            change: put(&[class("busy"), class("busy"), json!({ "thing": {} }), json!([])]),
            faults: &[("class/busy", "put"), ("put[2]", "kind"), ("put[3]", "kind")],
        },
    ];
    for case in cases {
        let found = references::check(&table, &parse::parse_change(&case.change, SECRET));
        let places: Vec<_> = found.iter().map(|f| (&*f.entity, &*f.field)).collect();
        assert_eq!(places, case.faults, "{}: {found:#?}", case.name);
        assert!(found.iter().all(|fault| !fault.accepted.is_empty()), "{}: {found:#?}", case.name);
        assert!(found.iter().all(|fault| !fault.to_string().contains("key-of")), "{found:#?}");
    }
}
