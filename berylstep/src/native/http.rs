//! The platform's interfaces over HTTP with JSON.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_http::{ClientResponse, ExchangeError, SendTerms};
use http_types::{Method, Request, StatusCode, Url};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::types::{RowResult, ScanResult};
use super::{
    ObjectStore, OrderDesk, OrderReceipt, PlatformCall, PlatformError, StoredRow, TableService,
    TableTransaction, TransactionResult, UpstreamOrder, UsageDesk, UsageReport, VmEntry, VmList,
};
use crate::clock::RuntimeClock;
use crate::connections::{ConnectionChoice, ConnectionPool};

/// Longest time to connect to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's JSON protocol.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    clock: RuntimeClock,
    connections: ConnectionPool,
}

impl HttpPlatform {
    /// Talks to the platform at `address`.
    pub fn new(address: SocketAddr, clock: RuntimeClock) -> Self {
        let connections = ConnectionPool::new(clock.clone(), CONNECT_TIMEOUT);
        Self { address, clock, connections }
    }

    async fn call(
        &self,
        method: Method,
        target: &str,
        query: &[(&str, &str)],
        body: Option<Vec<u8>>,
    ) -> Result<(StatusCode, Vec<u8>), PlatformError> {
        let mut url = Url::parse(&format!("http://{}{target}", self.address))
            .map_err(|err| PlatformError::Unreachable(err.to_string()))?;
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
        }
        let calling = self.exchange(request);
        let result = self.clock.timeout(CALL_TIMEOUT, calling).await;
        result.unwrap_or_else(|| Err(PlatformError::AnswerLost("timeout".to_owned())))
    }

    async fn exchange(&self, request: Request) -> Result<(StatusCode, Vec<u8>), PlatformError> {
        let exchanged = self.connections.exchange(self.address, request, ConnectionChoice::Any);
        self.read(exchanged.await?).await
    }

    async fn read(
        &self,
        mut answer: ClientResponse,
    ) -> Result<(StatusCode, Vec<u8>), PlatformError> {
        let body = answer.response.body_bytes().await;
        let body = body.map_err(|err| PlatformError::AnswerLost(err.to_string()))?;
        let status = answer.response.status();
        self.connections.release(self.address, answer.reuse);
        Ok((status, body))
    }

    /// Sends a message under a lease, on a connection of its own.
    async fn post_permitted<T: DeserializeOwned>(
        &self,
        target: &str,
        message: &impl Serialize,
        terms: SendTerms<'_>,
    ) -> Result<T, PlatformError> {
        let url = Url::parse(&format!("http://{}{target}", self.address))
            .map_err(|err| PlatformError::Unreachable(err.to_string()))?;
        let body = serde_json::to_vec(message)
            .map_err(|err| PlatformError::Unreachable(err.to_string()))?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(body);
        let calling = async {
            let sending = self.connections.exchange_while_permitted(self.address, request, terms);
            self.read(sending.await?).await
        };
        let result = self.clock.timeout(CALL_TIMEOUT, calling).await;
        let (status, body) =
            result.unwrap_or_else(|| Err(PlatformError::AnswerLost("timeout".to_owned())))?;
        decode(status, &body)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        target: &str,
        query: &[(&str, &str)],
    ) -> Result<T, PlatformError> {
        let (status, body) = self.call(Method::Get, target, query, None).await?;
        decode(status, &body)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        target: &str,
        message: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let body = serde_json::to_vec(message)
            .map_err(|err| PlatformError::Unreachable(err.to_string()))?;
        let (status, body) = self.call(Method::Post, target, &[], Some(body)).await?;
        decode(status, &body)
    }
}

impl TableService for HttpPlatform {
    fn row<'a>(&'a self, key: &'a str) -> PlatformCall<'a, Option<StoredRow>> {
        Box::pin(async move {
            let result: RowResult = self.get("/table/row", &[("key", key)]).await?;
            Ok(result.row)
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> PlatformCall<'a, Vec<StoredRow>> {
        Box::pin(async move {
            let limit = limit.to_string();
            let query = [("prefix", prefix), ("after", after), ("limit", &*limit)];
            let result: ScanResult = self.get("/table/scan", &query).await?;
            Ok(result.rows)
        })
    }

    fn transact<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> PlatformCall<'a, TransactionResult> {
        Box::pin(self.post("/table/transact", transaction))
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, name: &'a str) -> PlatformCall<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let (status, body) =
                self.call(Method::Get, &format!("/objects/{name}"), &[], None).await?;
            match status {
                StatusCode::NotFound => Ok(None),
                status if status.is_success() => Ok(Some(body)),
                status => Err(rejected(status, &body)),
            }
        })
    }

    fn put<'a>(&'a self, name: &'a str, content: Vec<u8>) -> PlatformCall<'a, ()> {
        Box::pin(async move {
            let target = format!("/objects/{name}");
            let (status, body) = self.call(Method::Put, &target, &[], Some(content)).await?;
            if status.is_success() {
                return Ok(());
            }
            Err(rejected(status, &body))
        })
    }
}

impl VmList for HttpPlatform {
    fn vms(&self) -> PlatformCall<'_, Vec<VmEntry>> {
        Box::pin(self.get("/vms", &[]))
    }
}

impl OrderDesk for HttpPlatform {
    fn place<'a>(
        &'a self,
        order: &'a UpstreamOrder,
        terms: SendTerms<'a>,
    ) -> PlatformCall<'a, OrderReceipt> {
        Box::pin(self.post_permitted("/orders", order, terms))
    }

    fn find<'a>(&'a self, order: &'a str) -> PlatformCall<'a, Option<OrderReceipt>> {
        Box::pin(async move { self.get("/orders", &[("order", order)]).await })
    }
}

impl UsageDesk for HttpPlatform {
    fn report<'a>(&'a self, report: &'a UsageReport, terms: SendTerms<'a>) -> PlatformCall<'a, ()> {
        Box::pin(self.post_permitted("/usage", report, terms))
    }
}

impl From<ExchangeError> for PlatformError {
    fn from(err: ExchangeError) -> Self {
        match err {
            ExchangeError::NotPermitted => Self::NotPermitted,
            err if err.may_have_run() => Self::AnswerLost(err.to_string()),
            err => Self::Unreachable(err.to_string()),
        }
    }
}

fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, PlatformError> {
    if !status.is_success() {
        return Err(rejected(status, body));
    }
    serde_json::from_slice(body).map_err(|err| PlatformError::AnswerLost(err.to_string()))
}

/// A server error says nothing about the effect of the call.
fn rejected(status: StatusCode, body: &[u8]) -> PlatformError {
    let message = String::from_utf8_lossy(body).into_owned();
    match status.is_server_error() {
        true => PlatformError::AnswerLost(format!("status {status}: {message}")),
        false => PlatformError::Rejected(status.into(), message),
    }
}
