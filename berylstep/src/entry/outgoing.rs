//! Builds the request to an upstream from the caller's request.

use berylstep_core::upstream::UpstreamEntry;
use berylstep_http::client::REQUEST_ID_HEADER;
use http_types::headers::HeaderName;
use http_types::{Request, Url};

use super::credentials::{contains_key, presented_key};
use super::request::CallerRequest;
use crate::node::NodeContext;

/// Headers that are not forwarded: hop-by-hop headers, headers that may contain a caller's key, and
/// headers that this node consumes or sets itself.
const STRIPPED_HEADERS: &[&str] = &[
    "authorization",
    "x-api-key",
    "api-key",
    "proxy-authorization",
    "cookie",
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
    "berylstep-class",
    REQUEST_ID_HEADER,
];

/// Builds the request for `upstream` with the given body and request id, without any caller's key
/// in its headers.
///
/// # Errors
///
/// If the target is not a valid URL.
pub fn upstream_request(
    node: &NodeContext,
    request: &CallerRequest,
    body: &[u8],
    upstream: &UpstreamEntry,
    id: &str,
) -> Result<Request, http_types::url::ParseError> {
    let head = &request.head;
    let mut target = format!("http://{}{}", upstream.address, head.url().path());
    if let Some(query) = head.url().query() {
        target = format!("{target}?{query}");
    }
    let mut outgoing = Request::new(head.method(), Url::parse(&target)?);
    if !body.is_empty() {
        outgoing.set_body(body);
    }
    outgoing.remove_header("content-type");
    copy_headers(node, head, &mut outgoing);
    outgoing.insert_header(REQUEST_ID_HEADER, id);
    Ok(outgoing)
}

fn copy_headers(node: &NodeContext, head: &Request, outgoing: &mut Request) {
    let config = node.config.read().expect("config lock");
    let secret = &node.settings.site_secret;
    let presented = presented_key(head).ok().flatten();
    for (name, values) in head.iter().filter(|(name, _)| !is_stripped(name)) {
        for value in values.iter() {
            if !contains_key(&config, secret, value.as_str(), presented) {
                outgoing.append_header(name.clone(), value.clone());
            }
        }
    }
}

fn is_stripped(name: &HeaderName) -> bool {
    STRIPPED_HEADERS.contains(&name.as_str())
}
