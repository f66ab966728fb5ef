//! Endpoints for the platform's readiness check and for callers that look up nodes.

use std::net::SocketAddr;

use http_types::{Body, Request};
use serde::Serialize;

/// Path of the readiness check.
pub const READINESS_PATH: &str = "/v1/readiness";

/// Path of the directory, which returns node addresses to callers.
pub const DIRECTORY_PATH: &str = "/v1/resolution";

/// Location of a caller that queries the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Availability zone; empty if unknown.
    pub zone: String,
}

impl CallerLocation {
    /// Reads the location from a directory query.
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

/// Encodes a directory response that may be cached for `ttl_s` seconds.
pub fn directory_body(addresses: &[SocketAddr], ttl_s: f64) -> http_types::Result<Body> {
    Body::from_json(&DirectoryBody { addresses, ttl_s })
}
