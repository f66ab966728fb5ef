//! Notices that an upstream is leaving, exchanged between nodes because a node's VM list may lag.

use std::sync::Mutex;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_wire::UpstreamState;
use http_types::Response;

use crate::node::NodeContext;

/// Header with which an upstream announces that it accepts no new work.
const LEAVING_HEADER: &str = "x-leaving";

/// HTTP status of a response with that header.
const LEAVING_STATUS: u16 = 503;

/// How long a notice is sent to other nodes; longer than their lists lag.
const ANNOUNCE_DURATION: Duration = Duration::from_secs(60);

/// How long a notice overrides a VM list that doesn't show the upstream as leaving.
const RETENTION: Duration = Duration::from_secs(600);

/// Notices seen by this node and notices received from peers, by upstream.
#[derive(Debug, Default)]
pub struct LeavingNotices {
    notices: Mutex<HashMap<SharedName, LeavingNotice>>,
}

#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    seen_at: Duration,
    is_local: bool,
}

/// Records that this node has seen that an upstream is leaving, and marks it in the table.
pub fn record(node: &NodeContext, upstream: &str) {
    insert(node, upstream, true);
}

/// Records an upstream's response that announces that it is leaving; returns whether it does.
pub fn record_response(node: &NodeContext, upstream: &str, head: &Response) -> bool {
    let is_marked = head.header(LEAVING_HEADER).is_some_and(|values| values.last() == "true");
    let is_leaving = is_marked && u16::from(head.status()) == LEAVING_STATUS;
    if is_leaving {
        record(node, upstream);
    }
    is_leaving
}

/// Records the notices in a peer's pulse.
pub fn observe_notices(node: &NodeContext, states: &[UpstreamState]) {
    for state in states.iter().filter(|state| state.leaving) {
        insert(node, &state.upstream, false);
    }
}

/// Marks every upstream with a current notice as leaving, after the VM list was read.
pub fn apply(node: &NodeContext) {
    let now = node.clock.now();
    let mut notices = node.leaving_notices.notices.lock().expect("notice lock");
    notices.retain(|_, notice| now.saturating_sub(notice.seen_at) < RETENTION);
    let mut upstreams = node.upstreams();
    for upstream in notices.keys() {
        upstreams.mark_leaving(upstream);
    }
}

/// Returns the notices that this node has seen itself, for its next pulse.
pub fn own_notices(node: &NodeContext) -> Vec<UpstreamState> {
    let now = node.clock.now();
    let notices = node.leaving_notices.notices.lock().expect("notice lock");
    let fresh = |notice: &LeavingNotice| {
        notice.is_local && now.saturating_sub(notice.seen_at) < ANNOUNCE_DURATION
    };
    let own = notices.iter().filter(|(_, notice)| fresh(notice));
    let states = own.map(|(name, _)| UpstreamState { upstream: name.to_string(), leaving: true });
    states.collect()
}

fn insert(node: &NodeContext, upstream: &str, is_local: bool) {
    let seen_at = node.clock.now();
    let mut notices = node.leaving_notices.notices.lock().expect("notice lock");
    if !notices.contains_key(upstream) {
        log::info!("upstream is leaving: upstream={upstream} own_sign={is_local}");
        notices.insert(upstream.into(), LeavingNotice { seen_at, is_local });
    }
    drop(notices);
    node.upstreams().mark_leaving(upstream);
}
