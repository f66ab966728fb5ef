//! HTTP client for tests and trials.

use std::net::SocketAddr;

use berylstep_http::{ClientConnection, ExchangeError};
use displaydoc::Display;
use http_types::{Method, Request, Url};
use serde::Serialize;
use serde_json::Value;

/// Error of a call.
#[derive(Debug, Display)]
pub enum CallError {
    /// {0}
    Exchange(ExchangeError),
    /// response body ended early: {0}
    Body(String),
}

impl std::error::Error for CallError {}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `berylstep-run` header; empty if absent.
    pub run: String,
    /// Header names and the last value of each.
    pub headers: Vec<(String, String)>,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

impl CallAnswer {
    /// Returns the body parsed as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the error code of an error response; empty if there is none.
    pub fn reason(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Builder of a request that is sent on a new connection.
#[derive(Clone, Debug)]
pub struct CallRequest {
    address: SocketAddr,
    head: Request,
    // Stored separately because cloning a `Request` drops its body.
    body: Vec<u8>,
}

impl CallRequest {
    /// Creates a request for `target` (path and query) at `address`.
    pub fn new(method: Method, address: SocketAddr, target: &str) -> Self {
        let url = Url::parse(&format!("http://{address}{target}")).expect("valid target");
        Self { address, head: Request::new(method, url), body: Vec::new() }
    }

    /// Creates a GET request.
    pub fn get(address: SocketAddr, target: &str) -> Self {
        Self::new(Method::Get, address, target)
    }

    /// Creates a POST request with a JSON body.
    pub fn post(address: SocketAddr, target: &str, message: &impl Serialize) -> Self {
        let mut call = Self::new(Method::Post, address, target);
        call.body = serde_json::to_vec(message).expect("messages are valid JSON");
        call.header("content-type", "application/json")
    }

    /// Adds `key` as a bearer token.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.head.insert_header(name, value);
        self
    }

    /// Sends the request and reads the whole response.
    ///
    /// Fails if the exchange fails or the body ends early.
    pub async fn send(self) -> Result<CallAnswer, CallError> {
        let Self { address, mut head, body } = self;
        let content_type = head.header("content-type").cloned();
        head.set_body(body);
        if let Some(content_type) = content_type {
            head.insert_header("content-type", &content_type);
        }
        let connection = ClientConnection::connect(address).await.map_err(CallError::Exchange)?;
        let answer = connection.exchange(head).await.map_err(CallError::Exchange)?;
        let mut response = answer.response;
        let body = response.body_bytes().await.map_err(|err| CallError::Body(err.to_string()))?;
        let headers: Vec<_> = response
            .iter()
            .map(|(name, values)| (name.as_str().to_owned(), values.last().to_string()))
            .collect();
        let run = headers.iter().find(|(name, _)| name == "berylstep-run");
        Ok(CallAnswer {
            status: response.status().into(),
            run: run.map_or(String::new(), |(_, value)| value.clone()),
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}
