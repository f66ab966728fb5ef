//! Liveness probe of an upstream over a new connection.

use std::time::Duration;

use berylstep_core::upstream::UpstreamEntry;
use http_types::{Method, Request, Url};
use serde::Deserialize;

use crate::connections::ConnectionChoice;
use crate::node::NodeContext;

/// Timeout of a probe, including the connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream responded.
    Alive {
        /// Whether it reports no running and no waiting requests.
        idle: bool,
    },
    /// The upstream did not respond.
    Silent,
}

/// Fields of a load report that a probe reads.
#[derive(Debug, Deserialize)]
struct ProbeMessage {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// Requests the load report of `upstream` over a new connection, so that a stalled connection is
/// distinguished from a failed upstream.
pub async fn probe(node: &NodeContext, upstream: &UpstreamEntry) -> ProbeResult {
    let result = node.clock.timeout(PROBE_TIMEOUT, request_load(node, upstream)).await;
    result.flatten().unwrap_or(ProbeResult::Silent)
}

async fn request_load(node: &NodeContext, upstream: &UpstreamEntry) -> Option<ProbeResult> {
    let url = Url::parse(&format!("http://{}/load", upstream.address)).ok()?;
    let request = Request::new(Method::Get, url);
    let choice = ConnectionChoice::Fresh;
    let mut received = node.connections.exchange(upstream.address, request, choice).await.ok()?;
    let body = received.response.body_bytes().await.ok()?;
    let load = serde_json::from_slice::<ProbeMessage>(&body);
    let idle = load.is_ok_and(|load| load.running == 0 && load.waiting == 0);
    Some(ProbeResult::Alive { idle })
}
