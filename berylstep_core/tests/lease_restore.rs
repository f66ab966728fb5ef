//! Tests of a lease whose row goes back to an older copy with a restore of the store.

use std::time::Duration;

use berylstep_core::lease::{
    ClockReading, DutyLease, LeaseRow, LeaseTimes, ReceiverFencing, VersionedLease, WriteOutcome,
};

const EXPIRY: Duration = Duration::from_millis(3600);

fn at(ms: u64) -> ClockReading {
    let time = Duration::from_millis(ms);
    ClockReading { monotonic: time, boot: time }
}

fn lease(node: &str) -> DutyLease {
    let times = LeaseTimes { expiry: EXPIRY };
    DutyLease::new(node.into(), 1, times, ReceiverFencing::Checked)
}

fn row(holder: &str, fencing: u64, version: u64, released: bool) -> VersionedLease {
    let row = LeaseRow { holder: holder.into(), incarnation: 1, fencing, released };
    VersionedLease { row, version, token: format!("{holder}-{version}") }
}

/// Makes `lease` the holder in era 1 at `ms`, with fencing token 1.
fn acquire(lease: &mut DutyLease, ms: u64) {
    lease.enter_era(1);
    lease.observe(at(ms), None);
    let write = lease.next_write(at(ms), 0).expect("a free lease is taken");
    lease.begin_write(at(ms), "own".to_owned(), &write);
    lease.finish_write(WriteOutcome::Committed);
    assert_eq!(lease.fencing_token(at(ms)), Some(1));
}

struct RestoreCase {
    name: &'static str,
    /// Row in the restored copy.
    restored: Option<VersionedLease>,
}

#[test]
fn after_a_restore_every_node_waits_as_for_a_takeover_and_raises_the_token() {
    let cases = [
        RestoreCase { name: "own row, as before", restored: Some(row("a", 1, 5, false)) },
        RestoreCase { name: "own row, released", restored: Some(row("a", 1, 5, true)) },
        RestoreCase { name: "row of an earlier holder", restored: Some(row("b", 0, 3, false)) },
        RestoreCase { name: "released by an earlier holder", restored: Some(row("b", 0, 3, true)) },
        RestoreCase { name: "no row", restored: None },
    ];
    for case in cases {
        let mut lease = lease("a");
        acquire(&mut lease, 1000);
        assert!(lease.enter_era(2), "{}: the lease was held", case.name);
        assert_eq!(lease.fencing_token(at(1100)), None, "{}", case.name);
        lease.observe(at(1100), case.restored.clone());
        assert!(lease.next_write(at(1100 + 4499), 0).is_none(), "{}: too early", case.name);
        lease.observe(at(1100 + 4500), case.restored.clone());
        let write = lease.next_write(at(1100 + 4500), 0).expect(case.name);
        assert!(write.row.fencing > 1, "{}: token {}", case.name, write.row.fencing);
        lease.begin_write(at(5600), "new".to_owned(), &write);
        lease.finish_write(WriteOutcome::Committed);
        assert_eq!(lease.fencing_token(at(5600)), Some(write.row.fencing), "{}", case.name);
    }
}

#[test]
fn a_version_that_is_given_out_again_is_another_row() {
    let mut lease = lease("a");
    lease.enter_era(1);
    lease.observe(at(0), Some(row("b", 7, 5, false)));
    lease.enter_era(2);
    lease.observe(at(4400), Some(row("c", 6, 5, false)));
    assert!(lease.next_write(at(4600), 0).is_none(), "the wait begins anew");
    let write = lease.next_write(at(8900), 0).expect("the wait is over");
    assert!(write.row.fencing > 7, "token {}", write.row.fencing);
}

#[test]
fn a_late_commit_of_the_old_era_gives_no_lease() {
    let mut lease = lease("a");
    lease.enter_era(1);
    lease.observe(at(0), None);
    let write = lease.next_write(at(0), 0).expect("a free lease is taken");
    lease.begin_write(at(0), "own".to_owned(), &write);
    lease.enter_era(2);
    lease.finish_write(WriteOutcome::Committed);
    assert_eq!(lease.fencing_token(at(1)), None);
}

#[test]
fn a_node_that_starts_after_a_restore_does_not_take_a_lease_released_in_the_copy() {
    let mut lease = lease("a");
    lease.enter_era(3);
    lease.observe(at(0), Some(row("b", 2, 4, true)));
    assert!(lease.next_write(at(4499), 0).is_none());
    let write = lease.next_write(at(4500), 0).expect("the wait is over");
    assert!(write.row.fencing >= 2 << 20, "above all tokens of earlier eras");
}

#[test]
fn tokens_pass_those_that_peers_and_rejections_have_told() {
    let mut lease = lease("a");
    lease.raise_fencing(40);
    lease.observe(at(0), Some(row("b", 2, 4, true)));
    assert_eq!(lease.next_write(at(0), 0).map(|write| write.row.fencing), Some(41));
    let mut last = 41;
    for _ in 0..4 {
        lease.record_rejection();
        let next = lease.next_write(at(0), 0).expect("the lease is free").row.fencing;
        assert!(next > last, "{next} after {last}");
        last = next;
    }
}
