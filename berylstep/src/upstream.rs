//! Discovery of upstreams from the platform's VM list, and polling of their load.

pub mod leaving;

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::upstream::{LoadReport, UpstreamEntry};
use berylstep_wire::frame::Body;
use berylstep_wire::{UpstreamLoad, UpstreamLoads};
use futures_util::future::join_all;
use http_types::{Method, Request, Url};
use serde::Deserialize;

use crate::config::SlotPolicy;
use crate::connections::ConnectionChoice;
use crate::native::{VmEntry, VmRole, VmState};
use crate::node::NodeContext;
use crate::slots;

/// Interval between reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between load requests to an upstream.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one load request.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Response body of an upstream's `/load` endpoint.
#[derive(Debug, Deserialize)]
struct LoadMessage {
    running: u32,
    waiting: u32,
    #[serde(default)]
    tokens_per_second: f64,
}

/// Updates the table of upstreams from the VM list; never returns.
pub async fn watch_list(node: Arc<NodeContext>) {
    loop {
        match node.platform.vms().await {
            Ok(vms) => {
                let listed = vms.into_iter().filter_map(upstream_entry).collect();
                observe_list(&node, listed);
            }
            Err(err) => log::debug!("cannot read the VM list: {err}"),
        }
        // Also after a failed read: peers and upstreams report departures too.
        slots::refresh_upstreams(&node);
        node.clock.sleep(LIST_INTERVAL).await;
    }
}

/// Updates the table from the list, and records and announces the upstreams listed as leaving.
///
/// An upstream missing from the list gets no new work until it is listed again, but isn't recorded
/// as leaving: a single faulty response of the platform would otherwise remove a pool at every
/// node.
fn observe_list(node: &NodeContext, listed: Vec<UpstreamEntry>) {
    let leaving: Vec<_> = {
        let mut upstreams = node.upstreams();
        upstreams.observe_list(listed);
        let shown = upstreams.all().filter(|entry| entry.leaving);
        shown.map(|entry| entry.id.clone()).collect()
    };
    for upstream in leaving {
        leaving::record(node, &upstream);
    }
    leaving::apply(node);
}

/// Polls the load of upstreams; never returns. With [`SlotPolicy::Arbiter`], polls only the pools
/// that this node owns and sends the reports to the other nodes.
pub async fn poll_loads(node: Arc<NodeContext>) {
    loop {
        smol::spawn(poll_round(node.clone())).detach();
        node.connections.close_expired();
        node.clock.sleep(LOAD_INTERVAL).await;
    }
}

async fn poll_round(node: Arc<NodeContext>) {
    let polls = polled_entries(&node).into_iter().map(|entry| poll_load(&node, entry));
    let loads: Vec<_> = join_all(polls).await.into_iter().flatten().collect();
    let shared = node.settings.slot_policy == SlotPolicy::Arbiter;
    if shared && !loads.is_empty() {
        node.peers.broadcast(&Body::UpstreamLoads(UpstreamLoads { loads }));
    }
}

fn polled_entries(node: &NodeContext) -> Vec<UpstreamEntry> {
    let mut listed: Vec<UpstreamEntry> = node.upstreams().all().cloned().collect();
    if node.settings.slot_policy == SlotPolicy::Arbiter {
        let pools = listed.iter().map(|entry| entry.pool.clone()).collect();
        let owned = slots::owned_pools(node, pools);
        listed.retain(|entry| owned.contains(&entry.pool));
    }
    listed
}

async fn poll_load(node: &NodeContext, entry: UpstreamEntry) -> Option<UpstreamLoad> {
    let report = node.clock.timeout(LOAD_TIMEOUT, read_load(node, &entry)).await??;
    node.upstreams().observe_load(node.clock.now(), &entry.id, report);
    slots::observe_load(node, &entry.pool, &entry.id, report);
    let LoadReport { running, waiting, tokens_per_second } = report;
    Some(UpstreamLoad { upstream: entry.id.to_string(), running, waiting, tokens_per_second })
}

async fn read_load(node: &NodeContext, entry: &UpstreamEntry) -> Option<LoadReport> {
    let url = Url::parse(&format!("http://{}/load", entry.address)).ok()?;
    let request = Request::new(Method::Get, url);
    let exchanged = node.connections.exchange(entry.address, request, ConnectionChoice::Any);
    let mut received = exchanged.await.ok()?;
    let body = received.response.body_bytes().await.ok()?;
    node.connections.release(entry.address, received.reuse);
    let LoadMessage { running, waiting, tokens_per_second } = serde_json::from_slice(&body).ok()?;
    Some(LoadReport { running, waiting, tokens_per_second })
}

fn upstream_entry(vm: VmEntry) -> Option<UpstreamEntry> {
    if vm.role == VmRole::Entry {
        return None;
    }
    Some(UpstreamEntry {
        id: vm.id,
        address: vm.address,
        zone: vm.zone,
        pool: vm.pool,
        slots: vm.slots.max(1),
        kind: vm.kind,
        leaving: vm.state == VmState::Leaving,
        load: None,
    })
}
