//! Upstreams: which serve a pool, and how loaded they are.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::placement::UpstreamKind;

/// What an upstream last reported of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being served.
    pub running: u32,
    /// Requests queued at the upstream.
    pub waiting: u32,
    /// Tokens generated a second, over all requests.
    pub tokens_per_second: f64,
}

/// One upstream as the VM list gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Identifier of the VM.
    pub id: SharedName,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SharedName,
    /// Pool it serves.
    pub pool: SharedName,
    /// Requests served at once.
    pub slots: u32,
    /// Kind of VM.
    pub kind: UpstreamKind,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Last load report and when it arrived.
    pub load: Option<(Duration, LoadReport)>,
}

/// Upstreams by identifier.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<SharedName, UpstreamEntry>,
}

impl UpstreamTable {
    /// Replaces the table by what the VM list holds; leaving is never taken back for an identifier.
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

    /// Takes in a load report.
    pub fn observe_load(&mut self, now: Duration, id: &str, report: LoadReport) {
        if let Some(entry) = self.upstreams.get_mut(id) {
            entry.load = Some((now, report));
        }
    }

    /// Upstream by identifier.
    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.upstreams.get(id)
    }

    /// All upstreams, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values()
    }

    /// Upstreams of a pool that take new work.
    pub fn serving<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a UpstreamEntry> {
        self.upstreams.values().filter(move |entry| &*entry.pool == pool && !entry.leaving)
    }
}
