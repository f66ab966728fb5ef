//! Tests that rows of members expire only while the table service is reachable.

use std::time::Duration;

use berylstep_core::member::{MemberRow, MemberState, MemberTable};

fn row(node: &str, incarnation: u64, beat: u64) -> MemberRow {
    MemberRow {
        node: node.into(),
        incarnation,
        beat,
        region: "local".into(),
        zone: "a".into(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        caller_address: ([127, 0, 0, 1], 2).into(),
        state: MemberState::Serving,
        config_version: 0,
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn rows_do_not_expire_while_the_store_is_unreachable() {
    let mut table = MemberTable::default();
    table.observe_rows(seconds(0), vec![row("n0", 1, 1), row("n1", 1, 1)]);
    assert_eq!(table.live(seconds(600)).count(), 2);
    // No node has been able to refresh its row for ten minutes.
    table.observe_rows(seconds(600), vec![row("n0", 1, 1), row("n1", 1, 1)]);
    assert_eq!(table.live(seconds(600)).count(), 2);
    table.observe_rows(seconds(602), vec![row("n0", 1, 2), row("n1", 1, 1)]);
    assert_eq!(table.lapsed().count(), 0);
}

#[test]
fn an_expired_row_is_remembered_and_not_mistaken_for_a_new_node() {
    let mut table = MemberTable::default();
    for second in (0..=60).step_by(2) {
        table.observe_rows(seconds(second), vec![row("n0", 1, second), row("n1", 1, 1)]);
        let lapsed: Vec<_> = table.lapsed().map(|lapsed| &*lapsed.row.node).collect();
        let expected: &[&str] = if second <= 10 { &[] } else { &["n1"] };
        assert_eq!(lapsed, expected, "{second}");
        assert_eq!(table.all().count(), 2 - expected.len(), "{second}");
    }
    table.observe_rows(seconds(62), vec![row("n0", 1, 62), row("n1", 2, 1)]);
    assert_eq!(table.lapsed().count(), 0);
    assert_eq!(table.all().count(), 2);
}

#[test]
fn a_removed_row_is_a_planned_stop() {
    let mut table = MemberTable::default();
    table.observe_rows(seconds(0), vec![row("n0", 1, 1), row("n1", 1, 1)]);
    table.observe_rows(seconds(2), vec![row("n0", 1, 2)]);
    assert_eq!(table.all().count(), 1);
    assert_eq!(table.lapsed().count(), 0);
}

#[test]
fn a_new_incarnation_replaces_the_old_one_immediately() {
    let mut table = MemberTable::default();
    table.observe_rows(seconds(0), vec![row("n1", 1, 1)]);
    table.observe_pulse(seconds(1), "n1", false, 3);
    let mut restarted = row("n1", 2, 0);
    restarted.caller_address = ([127, 0, 0, 1], 9).into();
    table.observe_hello(seconds(1), restarted);
    let member = table.get("n1").unwrap();
    assert_eq!(member.row.caller_address.port(), 9);
    assert!(!member.is_serving(seconds(1)), "advertised before its first pulse");
    table.observe_pulse(seconds(1), "n1", false, 0);
    assert!(table.get("n1").unwrap().is_serving(seconds(1)));
    // A late row of the old incarnation changes nothing.
    table.observe_rows(seconds(2), vec![row("n1", 1, 2)]);
    assert_eq!(table.get("n1").unwrap().row.incarnation, 2);
}
