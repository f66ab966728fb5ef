//! When a node trusts its configuration.

use std::time::Duration;

use berylstep_core::config::ConfigFreshness;

/// Questions answered, then the time of the look, in milliseconds.
struct ContactCase {
    name: &'static str,
    answered_ms: &'static [u64],
    /// Looks at (time in ms, behind), in order, with the expected trust.
    looks: &'static [(u64, bool, bool)],
}

#[test]
fn trust_needs_recent_contact_and_catching_up_after_an_interruption() {
    let cases = [
        ContactCase { name: "no contact yet", answered_ms: &[], looks: &[(0, false, false)] },
        ContactCase { name: "recent", answered_ms: &[100], looks: &[(3_100, false, true)] },
        ContactCase { name: "lost", answered_ms: &[100], looks: &[(3_101, false, false)] },
        ContactCase {
            name: "behind without interruption",
            answered_ms: &[0, 1_000],
            looks: &[(1_000, false, true), (1_500, true, true)],
        },
        ContactCase {
            name: "behind after an interruption",
            answered_ms: &[0, 5_000],
            looks: &[(5_100, true, false), (5_200, false, true), (5_300, true, true)],
        },
        ContactCase {
            name: "an answer to an old question",
            answered_ms: &[0, 500],
            looks: &[(5_000, false, false)],
        },
    ];
    for case in cases {
        let mut contact = ConfigFreshness::default();
        for asked in case.answered_ms {
            contact.record_answer(Duration::from_millis(*asked));
        }
        for (now, behind, trusted) in case.looks {
            let now = Duration::from_millis(*now);
            assert_eq!(contact.is_trusted(now, *behind), *trusted, "{} at {now:?}", case.name);
        }
    }
}
