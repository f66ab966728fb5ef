//! A duty has one holder at a time, even if the holder is frozen until after its lease expires.

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

/// Asserts that fencing tokens never decrease and that each is used by a single sender.
fn assert_single_holder(name: &str, received: &[EffectRecord]) {
    let senders = received.iter().map(|effect| {
        let fencing = effect.message["fencing"].as_u64().unwrap();
        (fencing, effect.message["sender"].as_str().unwrap().to_owned())
    });
    let senders: Vec<_> = senders.collect();
    for pair in senders.windows(2) {
        assert!(pair[1].0 >= pair[0].0, "{name}: {senders:?}");
        assert!(pair[1].0 > pair[0].0 || pair[1].1 == pair[0].1, "{name}: {senders:?}");
    }
}

/// Counts the usage reports that the platform received from a node.
fn report_count(site: &TrialSite, node: usize) -> usize {
    let prefix = format!("{}-", site.nodes[node].name);
    let is_from_node = |effect: &&EffectRecord| {
        effect.message["sender"].as_str().is_some_and(|sender| sender.starts_with(&prefix))
    };
    effects(site, "usage").iter().filter(is_from_node).count()
}

#[test]
fn a_thawed_holder_sends_no_more_reports() {
    let cases = [
        FreezeCase {
            name: "receiver checks fencing tokens",
            arguments: &["--lease-expiry-ms", "800", "--usage-window-ms", "400"],
            ignore_fencing: false,
        },
        FreezeCase {
            name: "receiver ignores fencing tokens",
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
        // Since all answers are lost, the holder keeps retransmitting its reports. Since reads of
        // the lease are slow, a faulty holder would send after the thaw, before it learns of its
        // successor.
        site.set_faults(&json!({
            "ignore_fencing": case.ignore_fencing,
            "lose_usage_answers": 1_000_000,
            "slow_lease_ms": 200,
        }));
        let frozen = wait_holder(&site, &[0, 1, 2], USAGE_DUTY);
        let others: Vec<_> = (0..3).filter(|&node| node != frozen).collect();
        let _traffic = BackgroundTraffic::start(&site, &others);
        site.wait_until("the holder reports", |site| report_count(site, frozen) >= 2);
        site.nodes[frozen].process.freeze();
        let successor = wait_holder(&site, &others, USAGE_DUTY);
        site.wait_until("the successor reports", |site| report_count(site, successor) >= 2);
        let before = report_count(&site, frozen);
        site.nodes[frozen].process.thaw();
        let seen = report_count(&site, successor);
        site.wait_until("reports go on", |site| report_count(site, successor) >= seen + 3);
        assert!(!holds(&site, frozen, USAGE_DUTY), "{}", case.name);
        assert_eq!(report_count(&site, frozen), before, "{}", case.name);
        assert_single_holder(case.name, &effects(&site, "usage"));
    }
}

#[test]
fn a_planned_stop_hands_duties_over_before_they_expire() {
    // The expiry exceeds the timeout of every wait in this test.
    let arguments = ["--lease-expiry-ms", "60000", "--usage-window-ms", "400"];
    let site = service_site(3, &arguments);
    let holder = wait_holder(&site, &[0, 1, 2], USAGE_DUTY);
    let others: Vec<_> = (0..3).filter(|&node| node != holder).collect();
    let _traffic = BackgroundTraffic::start(&site, &others);
    site.wait_until("the holder reports", |site| report_count(site, holder) >= 1);
    site.nodes[holder].process.terminate();
    let successor = wait_holder(&site, &others, USAGE_DUTY);
    site.wait_until("the successor reports", |site| report_count(site, successor) >= 1);
    assert_single_holder("planned stop", &effects(&site, "usage"));
}
