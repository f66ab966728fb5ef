//! Records of the requests that a stand-in received.

use berylstep_http::ReceivedRequest;
use serde::{Deserialize, Serialize};

/// Header that identifies retries of the same call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A request, as the stand-in received it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Path of the URL, without the query.
    pub path: String,
    /// Value of the `Idempotency-Key` header, if present.
    #[serde(default)]
    pub idempotency_key: Option<String>,
    /// Header names and values; several values of one header are joined by commas.
    pub headers: Vec<(String, String)>,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

/// Creates the record of a request.
pub fn record_request(received: &ReceivedRequest) -> RequestRecord {
    let request = &received.request;
    let headers = request.iter().map(|(name, values)| {
        (name.as_str().to_owned(), values.iter().map(|v| v.as_str()).collect::<Vec<_>>().join(","))
    });
    let idempotency_key = request.header(IDEMPOTENCY_KEY_HEADER);
    RequestRecord {
        path: request.url().path().to_owned(),
        idempotency_key: idempotency_key.map(|values| values.last().as_str().to_owned()),
        headers: headers.collect(),
        body: String::from_utf8_lossy(&received.body).into_owned(),
    }
}
