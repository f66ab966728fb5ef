//! Tests of the limits of organisations and of the estimates of output length: exact counts and
//! bounded memory.

use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::config::OrganisationLimits;
use berylstep_core::estimate::EstimateTable;
use berylstep_core::limits::{LimitTable, LimitUsage};
use proptest::prelude::*;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

proptest! {
    /// The admitted requests never exceed the burst plus what was refilled since the start.
    #[test]
    fn requests_keep_to_the_rate(rate in 1u32..20, gaps in proptest::collection::vec(0u64..300, 1..200)) {
        let limits = OrganisationLimits { requests_per_second: Some(rate), ..Default::default() };
        let (mut table, name) = (LimitTable::default(), SharedName::from("rivers"));
        let (mut now, mut admitted) = (Duration::ZERO, 0u32);
        for gap in gaps {
            now += millis(gap);
            admitted += u32::from(table.admit(now, &name, &limits).is_ok());
            let most = f64::from(rate) * (1.0 + now.as_secs_f64()) + 1e-6;
            prop_assert!(f64::from(admitted) <= most, "{} within {:?}", admitted, now);
        }
    }

    /// Running requests, including those of other owners, never exceed the limit.
    #[test]
    fn concurrency_is_exact(most in 1u32..6, remote in 0u32..4, starts in proptest::collection::vec(any::<bool>(), 1..100)) {
        let limits = OrganisationLimits { concurrency: Some(most), ..Default::default() };
        let (mut table, name) = (LimitTable::default(), SharedName::from("rivers"));
        let usage = LimitUsage { requests: 0, tokens: 0, running: remote };
        table.observe_remote(&"n1".into(), &name, usage);
        let mut running = 0;
        for start in starts {
            if start {
                let admitted = table.admit(Duration::ZERO, &name, &limits).is_ok();
                prop_assert_eq!(admitted, running + remote < most);
                running += u32::from(admitted);
            } else if running > 0 {
                table.finish(&name, 1);
                running -= 1;
            }
        }
    }
}

#[test]
fn tokens_are_charged_once_known_and_refill() {
    let limits = OrganisationLimits { tokens_per_minute: Some(60), ..Default::default() };
    let (mut table, name) = (LimitTable::default(), SharedName::from("rivers"));
    assert_eq!(table.admit(Duration::ZERO, &name, &limits), Ok(()));
    table.finish(&name, 90);
    let retry_after = table.admit(millis(1), &name, &limits).unwrap_err();
    assert!(retry_after > millis(29_000) && retry_after < millis(31_000), "{retry_after:?}");
    assert_eq!(table.admit(millis(31_000), &name, &limits), Ok(()));
}

#[test]
fn tokens_used_at_other_owners_are_charged() {
    let limits = OrganisationLimits { tokens_per_minute: Some(60), ..Default::default() };
    let (mut table, name) = (LimitTable::default(), SharedName::from("rivers"));
    assert_eq!(table.admit(Duration::ZERO, &name, &limits), Ok(()));
    let usage = LimitUsage { requests: 5, tokens: 100, running: 0 };
    table.observe_remote(&"n1".into(), &name, usage.clone());
    table.observe_remote(&"n1".into(), &name, usage);
    let retry_after = table.admit(millis(1), &name, &limits).unwrap_err();
    assert!(retry_after < millis(41_000), "totals are charged once: {retry_after:?}");
}

#[test]
fn estimates_follow_the_work_and_stay_bounded() {
    let mut estimates = EstimateTable::default();
    let (class, rivers) = (SharedName::from("drafting"), SharedName::from("rivers"));
    for _ in 0..100 {
        estimates.observe(&class, &rivers, 500);
    }
    assert_eq!(estimates.expected(&class, &rivers, None), 500);
    assert_eq!(estimates.expected(&class, &rivers, Some(20)), 20);
    assert_eq!(estimates.expected(&class, &"new".into(), None), 500);
    for index in 0..30_000 {
        estimates.observe(&class, &format!("org{index}").into(), 100);
    }
    assert!(estimates.len() <= 2 * 4096, "{} estimates", estimates.len());
}
