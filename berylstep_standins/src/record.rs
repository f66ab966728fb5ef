//! Requests as a stand-in received them.

use berylstep_http::ReceivedRequest;
use serde::{Deserialize, Serialize};

/// Header by which a caller marks repeats of the same call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A request as the stand-in received it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReceivedRecord {
    /// Path.
    pub path: String,
    /// Value of `Idempotency-Key`, if present.
    #[serde(default)]
    pub idempotency_key: Option<String>,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

/// Makes the record of a request.
pub fn record(received: &ReceivedRequest) -> ReceivedRecord {
    let request = &received.request;
    let headers = request.iter().map(|(name, values)| {
        (name.as_str().to_owned(), values.iter().map(|v| v.as_str()).collect::<Vec<_>>().join(","))
    });
    let idempotency_key = request.header(IDEMPOTENCY_KEY_HEADER);
    ReceivedRecord {
        path: request.url().path().to_owned(),
        idempotency_key: idempotency_key.map(|values| values.last().as_str().to_owned()),
        headers: headers.collect(),
        body: String::from_utf8_lossy(&received.body).into_owned(),
    }
}
