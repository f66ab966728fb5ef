//! Duties stay with one process at a time, also where their holder is frozen past its lease.

use berylstep_standins::platform::EffectRecord;
use berylstep_standins::site::TrialSite;
use berylstep_standins::trial::{effects, holds, service_site, wait_holder, BackgroundTraffic};
use serde_json::json;

const USAGE_DUTY: &str = "usage/0";

struct FreezeCase {
    name: &'static str,
    arguments: &'static [&'static str],
    ignore_fencing: bool,
}

/// Fencing numbers never fall, and each belongs to one sender.
fn assert_one_in_charge(name: &str, received: &[EffectRecord]) {
    let tenures = received.iter().map(|effect| {
        let fencing = effect.message["fencing"].as_u64().unwrap();
        (fencing, effect.message["sender"].as_str().unwrap().to_owned())
    });
    let tenures: Vec<_> = tenures.collect();
    for pair in tenures.windows(2) {
        assert!(pair[1].0 >= pair[0].0, "{name}: {tenures:?}");
        assert!(pair[1].0 > pair[0].0 || pair[1].1 == pair[0].1, "{name}: {tenures:?}");
    }
}

fn reports_of(site: &TrialSite, node: usize) -> usize {
    let prefix = format!("{}-", site.nodes[node].name);
    let of_node = |effect: &&EffectRecord| {
        effect.message["sender"].as_str().is_some_and(|sender| sender.starts_with(&prefix))
    };
    effects(site, "usage").iter().filter(of_node).count()
}

#[test]
fn a_frozen_and_thawed_holder_sends_nothing_more() {
    let cases = [
        FreezeCase {
            name: "receiver checks fencing numbers",
            arguments: &["--lease-expiry-ms", "800", "--usage-window-ms", "400"],
            ignore_fencing: false,
        },
        FreezeCase {
            name: "receiver ignores fencing numbers",
            arguments: &[
                "--lease-expiry-ms",
                "800",
                "--usage-window-ms",
                "400",
                "--unfenced-receivers",
                "usage",
            ],
            ignore_fencing: true,
        },
    ];
    for case in cases {
        let site = service_site(3, case.arguments);
        // With every answer lost, a holder sends its reports again and again; with slow reads of
        // the lease, a thawed one sends before it can learn of its successor.
        site.set_faults(&json!({
            "ignore_fencing": case.ignore_fencing,
            "lose_usage_answers": 1_000_000,
            "slow_lease_ms": 200,
        }));
        let frozen = wait_holder(&site, &[0, 1, 2], USAGE_DUTY);
        let others: Vec<_> = (0..3).filter(|&node| node != frozen).collect();
        let _traffic = BackgroundTraffic::start(&site, &others);
        site.wait_until("the holder reports", |site| reports_of(site, frozen) >= 2);
        site.nodes[frozen].process.freeze();
        let successor = wait_holder(&site, &others, USAGE_DUTY);
        site.wait_until("the successor reports", |site| reports_of(site, successor) >= 2);
        let before = reports_of(&site, frozen);
        site.nodes[frozen].process.thaw();
        let seen = reports_of(&site, successor);
        site.wait_until("it goes on", |site| reports_of(site, successor) >= seen + 3);
        assert!(!holds(&site, frozen, USAGE_DUTY), "{}", case.name);
        assert_eq!(reports_of(&site, frozen), before, "{}", case.name);
        assert_one_in_charge(case.name, &effects(&site, "usage"));
    }
}

#[test]
fn a_planned_stop_hands_duties_over_before_they_expire() {
    // The expiry is longer than the test waits for anything.
    let arguments = ["--lease-expiry-ms", "60000", "--usage-window-ms", "400"];
    let site = service_site(3, &arguments);
    let holder = wait_holder(&site, &[0, 1, 2], USAGE_DUTY);
    let others: Vec<_> = (0..3).filter(|&node| node != holder).collect();
    let _traffic = BackgroundTraffic::start(&site, &others);
    site.wait_until("the holder reports", |site| reports_of(site, holder) >= 1);
    site.nodes[holder].process.terminate();
    let successor = wait_holder(&site, &others, USAGE_DUTY);
    site.wait_until("the successor reports", |site| reports_of(site, successor) >= 1);
    assert_one_in_charge("planned stop", &effects(&site, "usage"));
}
