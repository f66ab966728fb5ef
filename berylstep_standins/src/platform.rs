//! Stand-in for the platform: table service, object store, VM list, orders and usage reports.
//!
//! Implements the protocol of docs/PLATFORM.md. `POST /control/faults` sets the injected faults,
//! `POST /control/vms` replaces the VM list, `POST /control/spares` sets the upstreams that orders
//! add to it, `POST /control/evict` evicts the cheap upstreams of an availability zone, and `GET
//! /control/log` returns every order and usage report received.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylstep_http::ReceivedRequest;
use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::serve;

/// Injected faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Rejects every call with status 503, without effect.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Additional delay before each read of a lease row, in milliseconds.
    pub slow_lease_ms: u64,
    /// Key prefix; the platform goes down after the first transaction that writes a matching row.
    /// That transaction still takes effect and is answered.
    pub down_after: Option<String>,
    /// Number of writes that take effect but are answered with status 504.
    pub lose_answers: u32,
    /// Delay until a change of the VM list becomes visible, in milliseconds.
    pub list_lag_ms: u64,
    /// Accepts orders and usage reports with a stale fencing token.
    pub ignore_fencing: bool,
    /// Rejects usage reports with status 503, without effect.
    pub usage_down: bool,
    /// Number of usage reports that take effect but are answered with status 504.
    pub lose_usage_answers: u32,
    /// Rejects orders with status 503, without effect.
    pub orders_down: bool,
    /// Number of orders that take effect but are answered with status 504.
    pub lose_order_answers: u32,
    /// Maximum number of VMs granted per availability zone, pool and kind.
    pub order_limit: Option<u32>,
}

impl PlatformFaults {
    /// Returns whether the endpoint at `path` is down on its own.
    fn is_down(&self, path: &str) -> bool {
        match path {
            "/usage" => self.usage_down,
            "/orders" => self.orders_down,
            _ => false,
        }
    }
}

/// A row with its version and the token of the transaction that wrote it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct TableRow {
    key: String,
    value: String,
    version: u64,
    token: String,
}

/// Eviction of the cheap upstreams of an availability zone, after a notice period.
#[derive(Debug, Deserialize)]
struct ZoneEviction {
    zone: String,
    notice_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    token: String,
    writes: Vec<RowWrite>,
}

#[derive(Debug, Deserialize)]
struct RowWrite {
    key: String,
    expect: Option<u64>,
    value: Option<String>,
}

/// An order or usage report, as received.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EffectRecord {
    /// Kind of message: `order` or `usage`.
    pub kind: String,
    /// Message body.
    pub message: Value,
    /// Whether its fencing token was accepted.
    pub accepted: bool,
}

#[derive(Debug, Default)]
struct PlatformState {
    rows: BTreeMap<String, TableRow>,
    revision: u64,
    objects: BTreeMap<String, Vec<u8>>,
    vms: VecDeque<(Instant, Value)>,
    /// Upstreams that orders move to the VM list.
    spares: Vec<Value>,
    orders: BTreeMap<String, Value>,
    newest_fencing: BTreeMap<String, u64>,
    effects: Vec<EffectRecord>,
    faults: PlatformFaults,
}

/// Runs the platform's HTTP server on `address`.
pub async fn run(address: SocketAddr) -> std::io::Result<()> {
    let state = Arc::new(Mutex::new(PlatformState::default()));
    serve::serve(address, move |received| respond(state.clone(), received)).await
}

async fn respond(state: Arc<Mutex<PlatformState>>, received: ReceivedRequest) -> Response {
    let path = received.request.url().path().to_owned();
    let is_control = path.starts_with("/control/");
    let faults = lock(&state).faults.clone();
    if !is_control && faults.slow_ms > 0 {
        smol::Timer::after(Duration::from_millis(faults.slow_ms)).await;
    }
    if serve::query(&received.request, "key").starts_with("lease/") {
        smol::Timer::after(Duration::from_millis(faults.slow_lease_ms)).await;
    }
    if !is_control && (faults.down || faults.is_down(&path)) {
        return serve::status(503);
    }
    let is_write = received.request.method() != Method::Get;
    let response = lock(&state).handle(&path, &received);
    if path == "/table/transact" {
        lock(&state).apply_down_after(&received.body);
    }
    if !is_control && is_write && lock(&state).consume_lost_answer(&path) {
        return serve::status(504);
    }
    response.unwrap_or_else(|refusal| *refusal)
}

fn lock(state: &Mutex<PlatformState>) -> std::sync::MutexGuard<'_, PlatformState> {
    state.lock().expect("platform lock")
}

impl PlatformState {
    fn handle(
        &mut self,
        path: &str,
        received: &ReceivedRequest,
    ) -> Result<Response, Box<Response>> {
        let request = &received.request;
        let body = &received.body;
        match (request.method(), path) {
            (Method::Get, "/table/row") => {
                Ok(serve::json(&json!({ "row": self.rows.get(&serve::query(request, "key")) })))
            }
            (Method::Get, "/table/scan") => Ok(self.scan(request)),
            (Method::Post, "/table/transact") => Ok(self.transact(serve::parse(body)?)),
            (Method::Get, "/vms") => Ok(serve::json(&self.listed_vms())),
            (Method::Post, "/orders") => Ok(self.order(serve::parse(body)?)),
            (Method::Get, "/orders") => {
                Ok(serve::json(&self.orders.get(&serve::query(request, "order"))))
            }
            (Method::Post, "/usage") => Ok(self.usage(serve::parse(body)?)),
            (Method::Post, "/control/faults") => {
                self.faults = serve::parse(body)?;
                Ok(serve::json(&self.faults))
            }
            (Method::Post, "/control/vms") => {
                let vms = serve::parse(body)?;
                self.vms.push_back((Instant::now(), vms));
                Ok(serve::status(204))
            }
            (Method::Post, "/control/spares") => {
                self.spares = serve::parse(body)?;
                Ok(serve::status(204))
            }
            (Method::Post, "/control/evict") => Ok(self.evict(serve::parse(body)?)),
            (Method::Get, "/control/log") => Ok(serve::json(&self.effects)),
            _ => Ok(self.object(received)),
        }
    }

    fn object(&mut self, received: &ReceivedRequest) -> Response {
        let path = received.request.url().path();
        let Some(name) = path.strip_prefix("/objects/") else { return serve::status(404) };
        if received.request.method() == Method::Put {
            self.objects.insert(name.to_owned(), received.body.clone());
            return serve::status(204);
        }
        let Some(content) = self.objects.get(name) else { return serve::status(404) };
        let mut response = serve::status(200);
        response.set_body(&content[..]);
        response
    }

    fn scan(&self, request: &http_types::Request) -> Response {
        let prefix = serve::query(request, "prefix");
        let after = serve::query(request, "after");
        let limit = serve::query(request, "limit").parse().unwrap_or(usize::MAX);
        let start = std::cmp::max(&prefix, &after).clone();
        let following = self.rows.range(start..).map(|(_, row)| row);
        let inside = following.take_while(|row| row.key.starts_with(&prefix));
        let rows: Vec<_> = inside.filter(|row| row.key > after).take(limit).collect();
        serve::json(&json!({ "rows": rows }))
    }

    fn transact(&mut self, transaction: Transaction) -> Response {
        let version_of = |key: &str| self.rows.get(key).map_or(0, |row| row.version);
        let unexpected = transaction.writes.iter().filter(|write| {
            write.expect.is_some_and(|expected| expected != version_of(&write.key))
        });
        let conflicts: Vec<_> = unexpected
            .map(|write| json!({ "key": write.key, "row": self.rows.get(&write.key) }))
            .collect();
        if !conflicts.is_empty() {
            return serve::json(&json!({ "committed": false, "conflicts": conflicts }));
        }
        self.revision += 1;
        let version = self.revision;
        for write in transaction.writes {
            match write.value {
                Some(value) => {
                    let token = transaction.token.clone();
                    let row = TableRow { key: write.key.clone(), value, version, token };
                    self.rows.insert(write.key, row);
                }
                None => drop(self.rows.remove(&write.key)),
            }
        }
        serve::json(&json!({ "committed": true, "version": version }))
    }

    fn listed_vms(&mut self) -> Value {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let now = Instant::now();
        let is_visible = |snapshot: &(Instant, Value)| now >= snapshot.0 + lag;
        while self.vms.len() > 1 && is_visible(&self.vms[1]) {
            self.vms.pop_front();
        }
        self.vms.front().map_or_else(|| json!([]), |(_, vms)| vms.clone())
    }

    fn order(&mut self, message: Value) -> Response {
        let zone = message["zone"].as_str().unwrap_or_default().to_owned();
        let accepted = self.check_fencing("order", &zone, &message);
        if !accepted {
            return serve::status(409);
        }
        let order = message["order"].as_str().unwrap_or_default().to_owned();
        let requested = message["count"].as_u64().unwrap_or_default();
        let limit = self.faults.order_limit.map_or(u64::MAX, u64::from);
        let receipt = json!({ "order": order, "granted": requested.min(limit) });
        if !self.orders.contains_key(&order) {
            self.start_spares(&message, requested.min(limit));
        }
        serve::json(self.orders.entry(order).or_insert(receipt))
    }

    /// Moves spare upstreams of the order's group to the VM list until the granted number is live.
    fn start_spares(&mut self, order: &Value, granted: u64) {
        let is_member =
            |vm: &Value| ["zone", "pool", "kind"].iter().all(|field| vm[field] == order[field]);
        let mut vms = self.newest_vms();
        let running = vms.iter().filter(|vm| is_member(vm) && vm["state"] == "live").count();
        let missing = (granted as usize).saturating_sub(running);
        let (members, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.spares).into_iter().partition(is_member);
        let mut members = members.into_iter();
        vms.extend(members.by_ref().take(missing));
        self.spares = others.into_iter().chain(members).collect();
        self.vms.push_back((Instant::now(), vms.into()));
    }

    /// Marks the cheap upstreams of a zone as leaving and removes them once the notice has passed.
    fn evict(&mut self, eviction: ZoneEviction) -> Response {
        let mut vms = self.newest_vms();
        let is_evicted = |vm: &Value| vm["zone"] == *eviction.zone && vm["kind"] == "cheap";
        for vm in vms.iter_mut().filter(|vm| is_evicted(vm)) {
            vm["state"] = json!("leaving");
        }
        let remaining: Vec<_> = vms.iter().filter(|vm| !is_evicted(vm)).cloned().collect();
        let now = Instant::now();
        self.vms.push_back((now, vms.into()));
        self.vms.push_back((now + Duration::from_millis(eviction.notice_ms), remaining.into()));
        serve::status(204)
    }

    fn newest_vms(&self) -> Vec<Value> {
        let newest = self.vms.back().and_then(|(_, vms)| vms.as_array());
        newest.cloned().unwrap_or_default()
    }

    fn usage(&mut self, message: Value) -> Response {
        match self.check_fencing("usage", "", &message) {
            true => serve::json(&Value::Null),
            false => serve::status(409),
        }
    }

    /// Records the message and returns whether its fencing token is accepted within `scope`.
    fn check_fencing(&mut self, kind: &str, scope: &str, message: &Value) -> bool {
        let fencing = message["fencing"].as_u64().unwrap_or_default();
        let newest = self.newest_fencing.entry(format!("{kind}/{scope}")).or_default();
        let accepted = self.faults.ignore_fencing || fencing >= *newest;
        *newest = fencing.max(*newest);
        let record = EffectRecord { kind: kind.to_owned(), message: message.clone(), accepted };
        self.effects.push(record);
        accepted
    }

    fn apply_down_after(&mut self, body: &[u8]) {
        let Some(prefix) = self.faults.down_after.clone() else { return };
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else { return };
        if transaction.writes.iter().any(|write| write.key.starts_with(&prefix)) {
            self.faults.down = true;
            self.faults.down_after = None;
        }
    }

    fn consume_lost_answer(&mut self, path: &str) -> bool {
        let faults = &mut self.faults;
        let path_counter = match path {
            "/usage" => &mut faults.lose_usage_answers,
            "/orders" => &mut faults.lose_order_answers,
            _ => &mut faults.lose_answers,
        };
        let counter = if *path_counter > 0 { path_counter } else { &mut faults.lose_answers };
        let lost = *counter > 0;
        *counter = counter.saturating_sub(1);
        lost
    }
}
