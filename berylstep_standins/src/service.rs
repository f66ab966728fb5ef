//! Stand-in for a plain service, which records every call so that doubles show.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use berylstep_http::ReceivedRequest;
use http_types::{Method, Response};
use serde_json::json;

use crate::engine::{record, ReceivedRecord};
use crate::serve;

/// Serves a plain service on `address`.
pub async fn run(address: SocketAddr, name: String) -> std::io::Result<()> {
    let records = Arc::new(Mutex::new(Vec::new()));
    serve::serve(address, move |received| respond(records.clone(), name.clone(), received)).await
}

async fn respond(
    records: Arc<Mutex<Vec<ReceivedRecord>>>,
    name: String,
    received: ReceivedRequest,
) -> Response {
    let path = received.request.url().path();
    match (received.request.method(), path) {
        (Method::Get, "/load") => serve::json(&json!({ "running": 0, "waiting": 0 })),
        (Method::Get, "/control/requests") => serve::json(&*records.lock().expect("record lock")),
        _ => {
            let mut records = records.lock().expect("record lock");
            records.push(record(&received));
            let mut response = serve::json(&json!({ "confirmed": records.len(), "service": name }));
            if let Some(id) = received.request.header("x-request-id") {
                response.insert_header("x-request-id", id.last().as_str());
            }
            response
        }
    }
}
