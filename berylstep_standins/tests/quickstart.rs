//! The binaries of the stand-ins start and answer requests.

use berylstep_standins::client::CallRequest;
use berylstep_standins::site::TrialSite;

#[test]
fn platform_lists_published_upstreams() {
    let mut site = TrialSite::start().unwrap();
    site.add_engine("drafter", "a", &[]).unwrap();
    let listed = site.call(CallRequest::get(site.platform_address, "/vms")).json();
    assert_eq!(listed[0]["id"], "drafter-0");
    let load = site.call(CallRequest::get(site.upstreams[0].address, "/load")).json();
    assert_eq!(load["running"], 0);
}
