//! Routes requests to the node's own endpoints or to upstreams.

use std::sync::Arc;

use berylstep_core::config::RouteMatch;
use berylstep_http::ReceivedRequest;
use http_types::{Method, Response};
use serde::Serialize;

use super::{credentials, forward, request, response, watch};
use crate::node::NodeContext;

/// Response body of `/v1/entries`.
#[derive(Debug, Serialize)]
struct EntriesMessage {
    entries: Vec<EntryMessage>,
    ttl_ms: u64,
}

/// Address of a node that callers may use.
#[derive(Debug, Serialize)]
struct EntryMessage {
    url: String,
    zone: String,
}

/// Response body of `/v1/models`, in the format of the OpenAI API.
#[derive(Debug, Serialize)]
struct ModelsMessage {
    object: &'static str,
    data: Vec<ModelMessage>,
}

/// Entry of the model list.
#[derive(Debug, Serialize)]
struct ModelMessage {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Handles one request; errors become refusals.
pub async fn respond(node: &Arc<NodeContext>, received: ReceivedRequest) -> Response {
    let path = received.request.url().path();
    match (received.request.method(), path) {
        (Method::Get, "/healthz") => response::json(200, &"ok"),
        (Method::Get, "/v1/entries") => entries(node),
        (Method::Get, "/v1/models") => models(node, &received.request),
        _ => forward_to_upstream(node, received).await,
    }
}

async fn forward_to_upstream(node: &Arc<NodeContext>, received: ReceivedRequest) -> Response {
    if node.is_isolated() {
        return response::refusal(&watch::isolated_refusal());
    }
    let result = match request::resolve(node, received) {
        Ok(request) => Box::pin(forward::forward(node, request)).await,
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| response::refusal(&refusal))
}

/// Lists the serving nodes: those in this node's availability zone first, then by requests in
/// progress, ties in random order.
fn entries(node: &NodeContext) -> Response {
    let now = node.clock.now();
    let members = node.members();
    let serving = members.live(now).filter(|member| member.is_serving(now));
    let mut ranked: Vec<_> = serving
        .map(|member| {
            let other_zone = member.row.zone != node.settings.zone;
            (other_zone, member.in_flight, fastrand::u32(..), member)
        })
        .collect();
    ranked.sort_by_key(|&(other_zone, in_flight, random, _)| (other_zone, in_flight, random));
    let entries = ranked.into_iter().map(|(_, _, _, member)| EntryMessage {
        url: format!("http://{}", member.row.caller_address),
        zone: member.row.zone.to_string(),
    });
    let ttl_ms = node.settings.entries_ttl.as_millis() as u64;
    response::json(200, &EntriesMessage { entries: entries.collect(), ttl_ms })
}

fn models(node: &NodeContext, head: &http_types::Request) -> Response {
    let config = node.config.read().expect("config lock");
    let presented = credentials::presented_key(head).ok().flatten();
    let hash =
        presented.map(|key| berylstep_core::key::KeyHash::of(&node.settings.site_secret, key));
    let known = hash.is_some_and(|hash| config.organisation_of(&hash).is_some());
    let visible = config.routes().filter(|route| route.open || known);
    let names = visible.filter_map(|route| match &route.matcher {
        RouteMatch::Model(name) => Some(name.to_string()),
        RouteMatch::Prefix(_) => None,
    });
    let mut names: Vec<_> = names.collect();
    names.sort();
    let data =
        names.into_iter().map(|id| ModelMessage { id, object: "model", owned_by: "berylstep" });
    response::json(200, &ModelsMessage { object: "list", data: data.collect() })
}
