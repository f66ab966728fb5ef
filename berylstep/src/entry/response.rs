//! Responses that the node itself sends to callers.

use berylstep_core::refusal::RequestRefusal;
use http_types::{Response, StatusCode};
use serde::Serialize;

/// Header that states whether an upstream ran the request.
pub const RUN_HEADER: &str = "berylstep-run";

/// Error body in the format of the OpenAI API.
#[derive(Debug, Serialize)]
struct ErrorMessage<'a> {
    error: ErrorDetail<'a>,
}

/// `error` object of an error body.
#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'a str>,
    code: &'static str,
}

/// Builds the response to a refused request.
pub fn refusal(refusal: &RequestRefusal) -> Response {
    let status = refusal.reason.status();
    let detail = ErrorDetail {
        message: &refusal.message,
        kind: error_kind(status),
        param: None,
        code: refusal.reason.code(),
    };
    let mut response = json(status, &ErrorMessage { error: detail });
    response.insert_header(RUN_HEADER, refusal.run.as_str());
    if let Some(wait) = refusal.retry_after {
        // Whole seconds, rounded up so that no caller retries too early.
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}

/// Builds a response with a JSON body.
///
/// # Panics
///
/// If `message` can't be serialized.
pub fn json(status: u16, message: &impl Serialize) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(message).expect("message serializes to JSON"));
    response.insert_header("content-type", "application/json");
    response
}

fn error_kind(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
