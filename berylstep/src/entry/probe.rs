//! Asking an upstream over a new connection whether it is alive.

use std::time::Duration;

use berylstep_core::upstream::UpstreamEntry;
use http_types::{Method, Request, Url};
use serde::Deserialize;

use crate::connections::ConnectionChoice;
use crate::node::NodeContext;

/// Longest time for the answer of a live upstream.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream answered over a new connection.
    Alive {
        /// Whether it reports that it has no work at all.
        idle: bool,
    },
    /// The upstream did not answer over a new connection either.
    Silent,
}

/// The part of a load report that a probe reads.
#[derive(Debug, Deserialize)]
struct ProbeMessage {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// Asks `upstream` for its load over a new connection.
pub async fn probe(node: &NodeContext, upstream: &UpstreamEntry) -> ProbeResult {
    let asked = node.clock.timeout(PROBE_TIMEOUT, ask(node, upstream)).await;
    asked.flatten().unwrap_or(ProbeResult::Silent)
}

async fn ask(node: &NodeContext, upstream: &UpstreamEntry) -> Option<ProbeResult> {
    let url = Url::parse(&format!("http://{}/load", upstream.address)).ok()?;
    let request = Request::new(Method::Get, url);
    let choice = ConnectionChoice::Fresh;
    let mut answer = node.connections.exchange(upstream.address, request, choice).await.ok()?;
    let body = answer.response.body_bytes().await.ok()?;
    let load = serde_json::from_slice::<ProbeMessage>(&body);
    let idle = load.is_ok_and(|load| load.running == 0 && load.waiting == 0);
    Some(ProbeResult::Alive { idle })
}
