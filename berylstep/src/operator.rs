//! HTTP listener of the operators' interface.

pub mod apply;
pub mod commit;
pub mod message;
pub mod status;

use std::sync::Arc;
use std::time::Duration;

use berylstep_http::{ReceivedRequest, ServerConnection};
use http_types::{Method, Response};
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};
use subtle::ConstantTimeEq;

use crate::node::NodeContext;
use crate::{burn, duty};

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Timeout for receiving one request of an operator.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts operators' connections for as long as the node runs.
pub async fn listen(node: Arc<NodeContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => smol::spawn(serve(node.clone(), stream)).detach(),
            Err(err) => {
                log::warn!("cannot accept an operator's connection: {err}");
                node.clock.sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(node: Arc<NodeContext>, stream: TcpStream) {
    let mut connection = ServerConnection::new(stream);
    while connection.is_reusable() {
        let receiving = connection.receive(MAX_BODY_BYTES);
        let received = node.clock.timeout(RECEIVE_TIMEOUT, receiving).await;
        let Some(Ok(Some(received))) = received else { return };
        let method = received.request.method();
        connection.serve(method, respond(&node, received)).await;
    }
}

async fn respond(node: &Arc<NodeContext>, received: ReceivedRequest) -> Response {
    let request = &received.request;
    let path = request.url().path().to_owned();
    if path == "/healthz" {
        return text(200, "ok\n");
    }
    if path == "/metrics" {
        return text(200, &node.metrics.render(node));
    }
    if !has_operator_key(node, request) {
        return text(401, "operator key is missing or wrong\n");
    }
    match (request.method(), &*path) {
        (Method::Post, "/operator/apply") => apply::apply(node, &received.body).await,
        (Method::Post, "/operator/check") => apply::check(node, &received.body).await,
        (Method::Get, "/operator/status") => json(200, &status::status(node)),
        (Method::Get, "/operator/config") => {
            json(200, &node.config.read().expect("config lock").snapshot())
        }
        (Method::Get, "/operator/burn") => {
            crate::entry::response::json(200, &burn::report(node).await)
        }
        (Method::Get, "/operator/duties") => json(200, &duty::status(node)),
        (Method::Get, path) if path.starts_with(CHANGES_PATH) => {
            apply::report_outcome(node, &path[CHANGES_PATH.len()..]).await
        }
        _ => text(404, "no such operation\n"),
    }
}

/// Path prefix for looking up the outcome of a change by its token.
const CHANGES_PATH: &str = "/operator/changes/";

/// Compares the bearer token with the operator key in constant time.
fn has_operator_key(node: &NodeContext, request: &http_types::Request) -> bool {
    let header = request.header("authorization").map(|values| values.last().as_str());
    let token = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    token.as_bytes().ct_eq(node.settings.operator_key.as_bytes()).into()
}

fn text(status: u16, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}

fn json(status: u16, message: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(message).expect("messages are valid JSON"));
    response.insert_header("content-type", "application/json");
    response
}
