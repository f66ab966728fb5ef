//! Listener for operators.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::config::{ConfigChange, ConfigEntity, KeyEntity};
use berylstep_core::key::KeyHash;
use berylstep_http::{ReceivedRequest, ServerConnection};
use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use smol::net::{TcpListener, TcpStream};
use subtle::ConstantTimeEq;

use crate::node::NodeContext;
use crate::platform::{TableTransaction, TableWrite};
use crate::{burn, store, tail};

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Longest wait for an operator's request.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Row that holds the newest version of the configuration.
const VERSION_KEY: &str = "config/version";

/// Prefix of the rows of entities.
const ENTITY_PREFIX: &str = "config/entity/";

/// An operator's change.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyMessage {
    /// Version that the change was made against.
    pub against: u64,
    /// Entities to create or replace.
    #[serde(default)]
    pub put: Vec<ConfigEntity>,
    /// Callers' keys to grant, in plain text; stored only as hashes.
    #[serde(default)]
    pub grant: Vec<KeyGrant>,
    /// Row keys of entities to remove.
    #[serde(default)]
    pub remove: Vec<String>,
}

/// A caller's key to grant.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyGrant {
    /// Organisation that the key is for.
    pub organisation: String,
    /// The key.
    pub key: String,
}

/// Serves operators.
pub async fn listen(node: Arc<NodeContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => smol::spawn(serve(node.clone(), stream)).detach(),
            Err(err) => {
                log::warn!("cannot accept an operator's connection: {err}");
                node.clock.sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(node: Arc<NodeContext>, stream: TcpStream) {
    let mut connection = ServerConnection::new(stream);
    while connection.is_reusable() {
        let receiving = connection.receive(MAX_BODY_BYTES);
        let received = node.clock.timeout(RECEIVE_TIMEOUT, receiving).await;
        let Some(Ok(Some(received))) = received else { return };
        let method = received.request.method();
        connection.serve(method, respond(&node, received)).await;
    }
}

async fn respond(node: &NodeContext, received: ReceivedRequest) -> Response {
    let request = &received.request;
    let path = request.url().path().to_owned();
    if path == "/healthz" {
        return text(200, "ok\n");
    }
    if path == "/metrics" {
        return text(200, &node.metrics.render(node));
    }
    if !is_operator(node, request) {
        return text(401, "operator key is missing or wrong\n");
    }
    match (request.method(), &*path) {
        (Method::Get, "/operator/burn") => {
            crate::entry::response::json(200, &burn::report(node).await)
        }
        (Method::Post, "/operator/apply") => apply(node, &received.body).await,
        _ => text(404, "no such operation\n"),
    }
}

fn is_operator(node: &NodeContext, request: &http_types::Request) -> bool {
    let presented = request.header("authorization").map(|values| values.last().as_str());
    let presented = presented.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    presented.as_bytes().ct_eq(node.settings.operator_key.as_bytes()).into()
}

async fn apply(node: &NodeContext, body: &[u8]) -> Response {
    let message: ApplyMessage = match serde_json::from_slice(body) {
        Ok(message) => message,
        Err(err) => return text(400, &format!("malformed change: {err}\n")),
    };
    let against = message.against;
    let changes = changes_of(node, message);
    let version_row = match node.platform.row(VERSION_KEY).await {
        Ok(row) => row,
        Err(err) => return text(503, &format!("not stored: {err}\n")),
    };
    let stored = version_row.as_ref().map_or(0, |row| row.value.parse().unwrap_or_default());
    if stored != against {
        return text(409, &format!("conflict: made against {against}, stored is {stored}\n"));
    }
    let version = against + changes.len() as u64;
    let expect = Some(version_row.map_or(0, |row| row.version));
    let mut writes =
        vec![TableWrite { key: VERSION_KEY.to_owned(), expect, value: Some(version.to_string()) }];
    for (change, version) in changes.iter().zip(against + 1..) {
        let value = Some(serde_json::to_string(change).expect("changes are valid JSON"));
        writes.push(TableWrite { key: tail::log_key(version), expect: Some(0), value });
        writes.push(entity_write(change));
    }
    let transaction = TableTransaction { token: store::token(node), writes };
    match node.platform.transact(&transaction).await {
        Ok(result) if result.committed => text(200, &format!("stored: version {version}\n")),
        Ok(_) => text(409, "conflict: another change was stored first\n"),
        Err(err) => text(503, &format!("unknown: {err}\n")),
    }
}

fn changes_of(node: &NodeContext, message: ApplyMessage) -> Vec<ConfigChange> {
    let puts = message.put.into_iter().map(ConfigChange::Put);
    let grants = message.grant.into_iter().map(|grant| {
        let hash = KeyHash::of(&node.settings.site_secret, &grant.key).to_hex();
        let organisation = grant.organisation.into();
        ConfigChange::Put(ConfigEntity::Key(KeyEntity { hash: hash.into(), organisation }))
    });
    let removes = message.remove.into_iter().map(|key| ConfigChange::Remove(key.into()));
    puts.chain(grants).chain(removes).collect()
}

fn entity_write(change: &ConfigChange) -> TableWrite {
    match change {
        ConfigChange::Put(entity) => {
            let key = format!("{ENTITY_PREFIX}{}", entity.row_key());
            let value = serde_json::to_string(entity).expect("entities are valid JSON");
            TableWrite { key, expect: None, value: Some(value) }
        }
        ConfigChange::Remove(key) => {
            TableWrite { key: format!("{ENTITY_PREFIX}{key}"), expect: None, value: None }
        }
    }
}

fn text(status: u16, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}
