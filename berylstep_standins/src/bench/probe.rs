//! Caller that reuses its connection and measures the latency of calls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylstep_http::{ClientConnection, ExchangeError};
use http_types::{Method, Request, Url};
use serde_json::Value;
use smol::io::AsyncReadExt;

/// Size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Path of all timed calls.
const TARGET: &str = "/v1/chat/completions";

/// Status and latency of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTiming {
    /// HTTP status code.
    pub status: u16,
    /// Time to the first bytes of the body.
    pub first: Duration,
    /// Time to the end of the body.
    pub total: Duration,
}

/// A caller that uses one connection at a time.
#[derive(Debug)]
pub struct ProbeCaller {
    address: SocketAddr,
    authorization: String,
    connection: Option<ClientConnection>,
}

impl ProbeCaller {
    /// Creates a caller of `address` that sends `key` as a bearer token.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self { address, authorization: format!("Bearer {key}"), connection: None }
    }

    /// Sends one chat completion and reads the whole response.
    ///
    /// Fails if the connection or the response fails; the next call then opens a new connection.
    pub async fn call(&mut self, body: &Value) -> Result<CallTiming, ExchangeError> {
        let request = self.request(body);
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => ClientConnection::connect(self.address).await?,
        };
        let started = Instant::now();
        let mut answer = connection.exchange(request).await?;
        let mut chunk = vec![0; BUFFER_BYTES];
        let mut first = None;
        loop {
            let reading = answer.response.read(&mut chunk).await;
            let count = reading.map_err(ExchangeError::Broken)?;
            first.get_or_insert_with(|| started.elapsed());
            if count == 0 {
                break;
            }
        }
        let total = started.elapsed();
        self.connection = answer.reuse.into_connection();
        let status = answer.response.status().into();
        Ok(CallTiming { status, first: first.unwrap_or(total), total })
    }

    fn request(&self, body: &Value) -> Request {
        let url = Url::parse(&format!("http://{}{TARGET}", self.address)).expect("valid target");
        let mut request = Request::new(Method::Post, url);
        request.set_body(body.to_string());
        request.insert_header("content-type", "application/json");
        request.insert_header("authorization", self.authorization.as_str());
        request
    }
}
