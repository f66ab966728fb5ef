//! Calls of the platform and of callers that look for a node.

use std::net::SocketAddr;

use http_types::{Body, Request};
use serde::Serialize;

/// Path of the readiness check.
pub const READINESS_PATH: &str = "/v1/readiness";

/// Path at which callers ask for addresses.
pub const DIRECTORY_PATH: &str = "/v1/resolution";

/// Where a caller is that asks for addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Availability zone.
    pub zone: String,
}

impl CallerLocation {
    /// Reads a directory query.
    pub fn read(request: &Request) -> Self {
        let mut pairs = request.url().query_pairs();
        let zone = pairs.find(|(name, _)| name == "Zone").map(|(_, value)| value.into_owned());
        Self { zone: zone.unwrap_or_default() }
    }
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct DirectoryBody<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: f64,
}

/// Encodes a directory answer that may be kept for `ttl_s` seconds.
pub fn directory_body(addresses: &[SocketAddr], ttl_s: f64) -> http_types::Result<Body> {
    Body::from_json(&DirectoryBody { addresses, ttl_s })
}
