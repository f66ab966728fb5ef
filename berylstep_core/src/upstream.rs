//! Table of upstreams with their pools and loads.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::placement::UpstreamKind;

/// Load reported by an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests being served.
    pub running: u32,
    /// Number of requests queued at the upstream.
    pub waiting: u32,
    /// Output tokens per second, over all requests.
    pub tokens_per_second: f64,
}

/// Upstream as listed by the platform, with its latest load.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Identifier of the VM.
    pub id: SharedName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SharedName,
    /// Pool that it serves.
    pub pool: SharedName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Purchase option of the VM.
    pub kind: UpstreamKind,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Latest load report with the time of its arrival.
    pub load: Option<(Duration, LoadReport)>,
}

/// Upstreams by identifier.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<SharedName, UpstreamEntry>,
}

impl UpstreamTable {
    /// Replaces the table with the contents of a VM list; keeps load reports, and an upstream that
    /// is leaving stays so.
    pub fn observe_list(&mut self, listed: Vec<UpstreamEntry>) {
        let mut fresh = HashMap::default();
        for mut entry in listed {
            if let Some(known) = self.upstreams.get(&entry.id) {
                entry.load = known.load;
                entry.leaving |= known.leaving;
            }
            fresh.insert(entry.id.clone(), entry);
        }
        self.upstreams = fresh;
    }

    /// Marks an upstream as leaving.
    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(entry) = self.upstreams.get_mut(id) {
            entry.leaving = true;
        }
    }

    /// Records a load report that arrived at `now`.
    pub fn observe_load(&mut self, now: Duration, id: &str, report: LoadReport) {
        if let Some(entry) = self.upstreams.get_mut(id) {
            entry.load = Some((now, report));
        }
    }

    /// Returns an upstream by identifier.
    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.upstreams.get(id)
    }

    /// Returns all upstreams, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a pool that accept new requests.
    pub fn serving<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a UpstreamEntry> {
        self.upstreams.values().filter(move |entry| &*entry.pool == pool && !entry.leaving)
    }
}
