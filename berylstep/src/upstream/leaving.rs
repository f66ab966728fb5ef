//! Signs that an upstream is leaving, handed on to other nodes whose list may lag.

use std::sync::Mutex;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_wire::UpstreamState;
use http_types::Response;

use crate::node::NodeContext;

/// Header with which an upstream says that it takes no new work.
const LEAVING_HEADER: &str = "x-leaving";

/// Status of the answer that carries the header.
const LEAVING_STATUS: u16 = 503;

/// Time for which a sign is handed on; longer than the list lags.
const HAND_ON: Duration = Duration::from_secs(60);

/// Time for which a sign holds against a list that does not show it.
const KEEP: Duration = Duration::from_secs(600);

/// Signs seen by this node, and those that peers handed on.
#[derive(Debug, Default)]
pub struct LeavingSigns {
    signs: Mutex<HashMap<SharedName, LeavingSign>>,
}

#[derive(Clone, Copy, Debug)]
struct LeavingSign {
    seen: Duration,
    is_own: bool,
}

/// Notes that this node has seen an upstream leave, by whatever sign.
pub fn note(node: &NodeContext, upstream: &str) {
    insert(node, upstream, true);
}

/// Notes an upstream's answer that says it is leaving; true where it does.
pub fn note_answer(node: &NodeContext, upstream: &str, head: &Response) -> bool {
    let says_so = head.header(LEAVING_HEADER).is_some_and(|values| values.last() == "true");
    let is_leaving = says_so && u16::from(head.status()) == LEAVING_STATUS;
    if is_leaving {
        note(node, upstream);
    }
    is_leaving
}

/// Takes in what a peer handed on.
pub fn observe(node: &NodeContext, states: &[UpstreamState]) {
    for state in states.iter().filter(|state| state.leaving) {
        insert(node, &state.upstream, false);
    }
}

/// Marks every upstream with a sign, after the list was read.
pub fn apply(node: &NodeContext) {
    let now = node.clock.now();
    let mut signs = node.leaving_signs.signs.lock().expect("sign lock");
    signs.retain(|_, sign| now.saturating_sub(sign.seen) < KEEP);
    let mut upstreams = node.upstreams();
    for upstream in signs.keys() {
        upstreams.mark_leaving(upstream);
    }
}

/// This node's own signs, as a pulse carries them.
pub fn message(node: &NodeContext) -> Vec<UpstreamState> {
    let now = node.clock.now();
    let signs = node.leaving_signs.signs.lock().expect("sign lock");
    let fresh = |sign: &LeavingSign| sign.is_own && now.saturating_sub(sign.seen) < HAND_ON;
    let own = signs.iter().filter(|(_, sign)| fresh(sign));
    let states = own.map(|(name, _)| UpstreamState { upstream: name.to_string(), leaving: true });
    states.collect()
}

fn insert(node: &NodeContext, upstream: &str, is_own: bool) {
    let seen = node.clock.now();
    let mut signs = node.leaving_signs.signs.lock().expect("sign lock");
    if !signs.contains_key(upstream) {
        log::info!("upstream is leaving: upstream={upstream} own_sign={is_own}");
        signs.insert(upstream.into(), LeavingSign { seen, is_own });
    }
    drop(signs);
    node.upstreams().mark_leaving(upstream);
}
