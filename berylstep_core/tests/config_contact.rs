//! Tests of when a node may use its configuration.

use std::time::Duration;

use berylstep_core::config::ConfigFreshness;

/// Queries that were answered, and the checks that follow.
struct ContactCase {
    name: &'static str,
    /// Times at which the answered queries were sent, in milliseconds.
    answered_ms: &'static [u64],
    /// Checks in order: time in milliseconds, whether the node is behind, expected trust.
    checks: &'static [(u64, bool, bool)],
}

#[test]
fn trust_needs_recent_contact_and_catching_up_after_an_interruption() {
    let cases = [
        ContactCase { name: "no contact yet", answered_ms: &[], checks: &[(0, false, false)] },
        ContactCase { name: "recent", answered_ms: &[100], checks: &[(3_100, false, true)] },
        ContactCase { name: "lost", answered_ms: &[100], checks: &[(3_101, false, false)] },
        ContactCase {
            name: "behind without interruption",
            answered_ms: &[0, 1_000],
            checks: &[(1_000, false, true), (1_500, true, true)],
        },
        ContactCase {
            name: "behind after an interruption",
            answered_ms: &[0, 5_000],
            checks: &[(5_100, true, false), (5_200, false, true), (5_300, true, true)],
        },
        ContactCase {
            name: "a late answer to an old query",
            answered_ms: &[0, 500],
            checks: &[(5_000, false, false)],
        },
    ];
    for case in cases {
        let mut freshness = ConfigFreshness::default();
        for sent in case.answered_ms {
            freshness.record_contact(Duration::from_millis(*sent));
        }
        for (now, behind, trusted) in case.checks {
            let now = Duration::from_millis(*now);
            assert_eq!(freshness.is_trusted(now, *behind), *trusted, "{} at {now:?}", case.name);
        }
    }
}
