//! Extracts callers' keys from requests and keeps them from reaching upstreams.

use berylstep_core::config::ConfigTable;
use berylstep_core::key::KeyHash;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use http_types::Request;

/// Scheme of the `Authorization` header, in lower case.
const BEARER: &str = "bearer ";

/// Headers whose whole value is a key.
const KEY_HEADERS: &[&str] = &["x-api-key", "api-key"];

/// Minimum length of a key that is searched for in bodies and paths, in bytes; shorter ones would
/// match by chance.
const MIN_SEARCHED_BYTES: usize = 8;

/// Returns the key that the request presents in its headers.
///
/// # Errors
///
/// If the headers contain keys that differ: the organisation would be ambiguous.
pub fn presented_key(request: &Request) -> Result<Option<&str>, RequestRefusal> {
    let authorization = request.header("authorization").into_iter().flatten();
    let bearers = authorization.filter_map(|value| bearer_token(value.as_str()));
    let headers = KEY_HEADERS.iter().filter_map(|name| request.header(*name)).flatten();
    let mut keys = bearers.chain(headers.map(|value| value.as_str().trim()));
    let first = keys.next();
    match keys.all(|key| Some(key) == first) {
        true => Ok(first),
        false => {
            let message = "the request presents several keys that differ";
            Err(RequestRefusal::not_run(RefusalReason::BadKey, message))
        }
    }
}

/// Refuses a request with a key in a place that is forwarded to upstreams: the query string, the
/// path or the body.
///
/// `secret` is the site secret, under which key hashes are computed.
pub fn refuse_exposed_key(
    config: &ConfigTable,
    secret: &[u8],
    request: &Request,
    body: &[u8],
    presented: Option<&str>,
) -> Result<(), RequestRefusal> {
    let url = request.url();
    let in_query = url
        .query_pairs()
        .any(|(_, value)| presented == Some(&*value) || is_granted_key(config, secret, &value));
    if in_query {
        return Err(exposed_key_refusal("query string"));
    }
    let Some(key) = presented.filter(|key| key.len() >= MIN_SEARCHED_BYTES) else { return Ok(()) };
    let target = url.as_str();
    if target.contains(key) {
        return Err(exposed_key_refusal("request target"));
    }
    match std::str::from_utf8(body) {
        Ok(text) if text.contains(key) => Err(exposed_key_refusal("body")),
        Ok(_) => Ok(()),
        Err(_) if contains_bytes(body, key.as_bytes()) => Err(exposed_key_refusal("body")),
        Err(_) => Ok(()),
    }
}

/// Returns whether a header's value contains the presented key or is a key of any organisation.
pub fn contains_key(
    config: &ConfigTable,
    secret: &[u8],
    value: &str,
    presented: Option<&str>,
) -> bool {
    let value = value.trim();
    let candidate = bearer_token(value).unwrap_or(value);
    presented.is_some_and(|key| value.contains(key)) || is_granted_key(config, secret, candidate)
}

fn bearer_token(value: &str) -> Option<&str> {
    let scheme = value.get(..BEARER.len())?;
    scheme.eq_ignore_ascii_case(BEARER).then(|| value[BEARER.len()..].trim())
}

fn is_granted_key(config: &ConfigTable, secret: &[u8], value: &str) -> bool {
    !value.is_empty() && config.organisation_of(&KeyHash::of(secret, value)).is_some()
}

fn contains_bytes(haystack: &[u8], needle: &[u8]) -> bool {
    haystack.windows(needle.len()).any(|window| window == needle)
}

fn exposed_key_refusal(place: &str) -> RequestRefusal {
    let message = format!("keys belong into the Authorization header, not into the {place}");
    RequestRefusal::not_run(RefusalReason::BadRequest, message)
}
