//! Upstreams are ordered only once, even if answers are lost or the holder of the zone fails.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use berylstep_standins::client::CallRequest;
use berylstep_standins::site::TrialSite;
use berylstep_standins::trial::{duties, effects, wait_holder};
use serde_json::json;

const NODES: [usize; 3] = [0, 1, 2];
/// Time in which a holder reconciles demand and supply several times.
const SEVERAL_PASSES: Duration = Duration::from_secs(4);
const ARGUMENTS: &[&str] = &["--lease-expiry-ms", "800"];

/// Starts a site with one dependable engine, in zone a.
///
/// The plan is one engine in each zone, so one has to be ordered in zone b and one in zone c.
fn start_site(faults: &serde_json::Value) -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.set_faults(faults);
    site.add_engine("drafter", "a", &[]).unwrap();
    for zone in ["a", "b", "c"] {
        site.add_node(zone, ARGUMENTS).unwrap();
    }
    site.wait_ready();
    site
}

/// Returns the order rows in the table service, as JSON.
fn order_rows(site: &TrialSite) -> String {
    let target = "/table/scan?prefix=order/&after=&limit=100";
    site.call(CallRequest::get(site.platform_address, target)).body
}

/// Returns the identifier, zone and count of each order that the platform received.
fn ordered(site: &TrialSite) -> Vec<(String, String, u64)> {
    let orders = effects(site, "order").into_iter().map(|effect| {
        let text = |field: &str| effect.message[field].as_str().unwrap().to_owned();
        (text("order"), text("zone"), effect.message["count"].as_u64().unwrap())
    });
    orders.collect()
}

fn wait_granted(site: &TrialSite) {
    site.wait_until("both zones' orders are granted", |site| {
        order_rows(site).matches("granted").count() == 2
    });
}

fn assert_ordered_once(site: &TrialSite) {
    let ordered = ordered(site);
    let zones: BTreeSet<_> = ordered.iter().map(|(_, zone, count)| (&**zone, *count)).collect();
    assert_eq!(zones, BTreeSet::from([("b", 1), ("c", 1)]));
    assert_eq!(ordered.len(), 2, "{ordered:?}");
}

#[test]
fn an_order_whose_answer_is_lost_is_not_placed_again() {
    let site = start_site(&json!({ "lose_order_answers": 2 }));
    wait_granted(&site);
    assert_ordered_once(&site);
    assert_eq!(duties(&site, 0)["spend_per_hour"], 300, "one dependable engine runs");
}

#[test]
fn a_successor_sends_the_order_that_its_predecessor_intended() {
    let mut site = start_site(&json!({ "orders_down": true }));
    site.wait_until("orders are intended", |site| {
        order_rows(site).matches("intended").count() == 2
    });
    let intended = order_rows(&site);
    let holder = wait_holder(&site, &NODES, "orders/b");
    site.nodes[holder].process.kill();
    let others: Vec<_> = NODES.into_iter().filter(|&node| node != holder).collect();
    wait_holder(&site, &others, "orders/b");
    site.set_faults(&json!({}));
    wait_granted(&site);
    assert_ordered_once(&site);
    for (order, _, _) in ordered(&site) {
        assert!(intended.contains(&order), "{order} was not intended: {intended}");
    }
}

#[test]
fn an_order_limit_of_the_platform_is_respected() {
    let site = start_site(&json!({ "order_limit": 0 }));
    site.wait_until("orders are answered", |site| order_rows(site).matches("granted").count() == 2);
    let holder = wait_holder(&site, &NODES, "orders/b");
    // The new holder after a planned stop must not order again either.
    site.nodes[holder].process.terminate();
    let others: Vec<_> = NODES.into_iter().filter(|&node| node != holder).collect();
    wait_holder(&site, &others, "orders/b");
    let acquired = Instant::now();
    site.wait_until("the successor has reconciled", |_| acquired.elapsed() >= SEVERAL_PASSES);
    assert_ordered_once(&site);
}

#[test]
fn ordered_upstreams_satisfy_the_demand() {
    let mut site = TrialSite::start().unwrap();
    site.add_engine("drafter", "a", &[]).unwrap();
    let address = site.upstreams[0].address;
    let spares = ["b", "c"].map(|zone| {
        json!({
            "id": format!("spare-{zone}"), "address": address, "zone": zone, "role": "engine",
            "pool": "drafter", "kind": "dependable", "slots": 8, "state": "live",
        })
    });
    site.call(CallRequest::post(site.platform_address, "/control/spares", &spares));
    site.add_node("b", ARGUMENTS).unwrap();
    site.add_node("c", ARGUMENTS).unwrap();
    site.wait_until("the spares are listed", |site| {
        site.call(CallRequest::get(site.platform_address, "/vms")).body.matches("spare").count()
            == 2
    });
    wait_granted(&site);
    assert_ordered_once(&site);
}
