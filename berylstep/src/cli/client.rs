//! HTTP client of operators' commands.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_http::{ClientConnection, ExchangeError};
use displaydoc::Display;
use http_types::{Method, Request, Url};
use serde_json::Value;

use crate::clock::RuntimeClock;
use crate::config::settings::environment_variable;
use crate::config::SettingError;

/// Timeout for one call; a change may wait for all members and for the outcome of a commit.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

// Descriptions of accepted values, for error messages.
const ADDRESS: &str = "an IP address and port, such as 10.0.0.7:8082";
const KEY: &str = "a file with the operators' key, or the key in BERYLSTEP_OPERATOR_KEY";

/// Error of a call to a node.
#[derive(Debug, Display)]
pub enum ClientError {
    /// cannot reach the node, nothing was sent: {0}
    NotSent(String),
    /// the node did not answer, the call may have taken effect: {0}
    AnswerLost(String),
    /// the node refused the call with status {0}: {1}
    Refused(u16, String),
}

impl std::error::Error for ClientError {}

/// Client of one node's operator listener.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    address: SocketAddr,
    key: String,
}

impl OperatorClient {
    /// Resolves address and key from flags, else environment variables; returns every error.
    pub fn resolve(
        operators: &Option<String>,
        key_file: &Option<String>,
    ) -> Result<Self, Vec<SettingError>> {
        let mut errors = Vec::new();
        let address = resolve_address(operators).map_err(|err| errors.push(err));
        let key = resolve_key(key_file).map_err(|err| errors.push(err));
        match (address, key) {
            (Ok(address), Ok(key)) => Ok(Self { address, key }),
            _ => Err(errors),
        }
    }

    /// Sends a request to the node and returns the status and JSON body of the answer.
    pub fn call(
        &self,
        method: Method,
        target: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), ClientError> {
        let mut request = new_request(self.address, method, target)?;
        request.insert_header("authorization", format!("Bearer {}", self.key));
        if let Some(body) = body {
            request.set_body(body.to_string());
        }
        call_node(self.address, request)
    }
}

/// Sends a GET request without a key and returns the status and JSON body of the answer.
pub fn get(address: SocketAddr, target: &str) -> Result<(u16, Value), ClientError> {
    call_node(address, new_request(address, Method::Get, target)?)
}

fn new_request(address: SocketAddr, method: Method, target: &str) -> Result<Request, ClientError> {
    let url = Url::parse(&format!("http://{address}{target}"));
    Ok(Request::new(method, url.map_err(|err| ClientError::NotSent(err.to_string()))?))
}

fn call_node(address: SocketAddr, request: Request) -> Result<(u16, Value), ClientError> {
    let clock = RuntimeClock::system();
    let answered = smol::block_on(clock.timeout(CALL_TIMEOUT, exchange(address, request)));
    let (status, body) =
        answered.unwrap_or_else(|| Err(ClientError::AnswerLost("timeout".to_owned())))?;
    match serde_json::from_slice(&body) {
        Ok(message) => Ok((status, message)),
        Err(_) => {
            let text = String::from_utf8_lossy(&body).trim().to_owned();
            Err(ClientError::Refused(status, text))
        }
    }
}

async fn exchange(address: SocketAddr, request: Request) -> Result<(u16, Vec<u8>), ClientError> {
    let failed = |err: ExchangeError| match err.may_have_run() {
        true => ClientError::AnswerLost(err.to_string()),
        false => ClientError::NotSent(err.to_string()),
    };
    let connection = ClientConnection::connect(address).await.map_err(failed)?;
    let mut answer = connection.exchange(request).await.map_err(failed)?;
    let body = answer.response.body_bytes().await;
    let body = body.map_err(|err| ClientError::AnswerLost(err.to_string()))?;
    Ok((answer.response.status().into(), body))
}

/// Returns the value of a flag, else of its environment variable.
pub fn flag_or_variable(flag: &str, option: &Option<String>) -> Option<String> {
    option.clone().or_else(|| std::env::var(environment_variable(flag)).ok())
}

/// Whether the flag or its environment variable selects JSON output.
pub fn wants_json(flag: bool) -> bool {
    flag || flag_or_variable("json", &None).is_some_and(|value| value == "1" || value == "true")
}

fn resolve_address(operators: &Option<String>) -> Result<SocketAddr, SettingError> {
    let (flag, variable, accepted) = ("operators", environment_variable("operators"), ADDRESS);
    match flag_or_variable(flag, operators) {
        None => Err(SettingError::Missing { flag, variable, accepted }),
        Some(value) => {
            value.parse().map_err(|_| SettingError::Invalid { flag, variable, value, accepted })
        }
    }
}

fn resolve_key(key_file: &Option<String>) -> Result<String, SettingError> {
    let (flag, variable, accepted) =
        ("operator-key-file", environment_variable("operator-key"), KEY);
    let key = match flag_or_variable(flag, key_file) {
        Some(value) => std::fs::read_to_string(&value).map_err(|_| SettingError::Invalid {
            flag,
            variable: environment_variable(flag),
            value,
            accepted,
        })?,
        None => std::env::var(&variable).map_err(|_| SettingError::Missing {
            flag,
            variable,
            accepted,
        })?,
    };
    Ok(key.trim().to_owned())
}
