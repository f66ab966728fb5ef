//! Error-budget burn over all nodes: counts requests that met or missed the latency target of their
//! class, exchanges the counts with peers and builds the burn report.

pub mod report;

use std::sync::Mutex;
use std::time::Duration;

use berylstep_core::burn::{
    AgedBucket, BucketKind, BurnCount, BurnTable, TargetOutcome, WindowCounts,
};
use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::config::ClassEntity;
use berylstep_wire::frame::Body;
use berylstep_wire::{BurnBucket, BurnHandover, BurnReply, BurnRequest, BurnSpan, ClassBurn};
use smol::channel::{bounded, Sender};

use crate::burn::report::{BurnReport, ClassReport, ClassTarget};
use crate::node::NodeContext;

/// Timeout for the other nodes' counts.
const GATHER_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum capacity of a report's reply queue.
const MIN_REPLY_QUEUE: usize = 64;

/// This node's counts, and the reports that wait for replies from other nodes.
#[derive(Debug, Default)]
pub struct BurnTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    table: BurnTable,
    /// How long before this node's start the imported counts began.
    prior_coverage: Duration,
    next_report: u64,
    pending: HashMap<u64, Sender<BurnReply>>,
}

impl BurnTracker {
    /// Records the outcome of one request.
    pub fn record(&self, now: Duration, class: &SharedName, outcome: TargetOutcome) {
        self.lock().table.record(now, class, outcome);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, TrackerState> {
        self.state.lock().expect("burn lock")
    }

    fn counts(&self, now: Duration) -> HashMap<SharedName, WindowCounts> {
        let state = self.lock();
        state.table.counts(now).map(|(class, counts)| (class.clone(), counts)).collect()
    }

    /// Returns the time span that the counts cover, imported counts included.
    fn coverage(&self, now: Duration) -> Duration {
        now + self.lock().prior_coverage
    }
}

/// Replies to another node's request for counts.
pub fn reply(node: &NodeContext, peer: &str, request: &BurnRequest) {
    let now = node.clock.now();
    let classes = node.burn.counts(now).into_iter().map(|(class, counts)| ClassBurn {
        class: class.to_string(),
        windows: counts.map(burn_span).to_vec(),
    });
    let reply = BurnReply {
        report: request.report,
        classes: classes.collect(),
        counted_ms: node.burn.coverage(now).as_millis() as u64,
    };
    node.peers.send(peer, Body::BurnReply(reply));
}

/// Routes another node's counts to the report that waits for them.
pub fn receive(node: &NodeContext, reply: BurnReply) {
    if let Some(sender) = node.burn.lock().pending.get(&reply.report) {
        if let Err(err) = sender.try_send(reply) {
            log::warn!("burn counts of a node dropped from a report: {err}");
        }
    }
}

/// Hands this node's counts over to one serving member before a planned stop.
pub fn hand_over(node: &NodeContext) {
    let now = node.clock.now();
    let buckets = node.burn.lock().table.export(now).into_iter().map(|bucket| BurnBucket {
        class: bucket.class.to_string(),
        coarse: bucket.kind == BucketKind::Coarse,
        age: bucket.age,
        span: Some(burn_span(bucket.count)),
    });
    let counted_ms = node.burn.coverage(now).as_millis() as u64;
    let handover = BurnHandover { buckets: buckets.collect(), counted_ms };
    let successor = {
        let members = node.members();
        let serving = members.live(now).filter(|member| member.is_serving(now));
        let others = serving.filter(|member| member.row.node != node.settings.node);
        others.map(|member| member.row.node.clone()).min()
    };
    match successor {
        Some(successor) if node.peers.send(&successor, Body::BurnHandover(handover)) => {
            log::info!("burn counts handed over: peer={successor}");
        }
        _ => log::warn!("burn counts lost: no serving peer accepted them"),
    }
}

/// Imports the counts that a stopping node hands over.
pub fn import_handover(node: &NodeContext, handover: BurnHandover) {
    let now = node.clock.now();
    let aged: Vec<_> = handover.buckets.into_iter().map(aged_bucket).collect();
    let mut state = node.burn.lock();
    state.table.import(now, &aged);
    let coverage = Duration::from_millis(handover.counted_ms);
    state.prior_coverage = state.prior_coverage.max(coverage.saturating_sub(now));
}

/// Gathers the counts of all linked nodes and builds the report; nodes that do not reply in time are
/// missing from it.
pub async fn report(node: &NodeContext) -> BurnReport {
    let peers = node.peers.connected();
    let (sender, replies) = bounded(MIN_REPLY_QUEUE.max(peers.len()));
    let pending = PendingReport::new(node, sender);
    for peer in &peers {
        node.peers.send(peer, Body::BurnRequest(BurnRequest { report: pending.report }));
    }
    let now = node.clock.now();
    let mut counts = node.burn.counts(now);
    let mut coverage = node.burn.coverage(now);
    let mut nodes = 1;
    let gathering = async {
        while nodes <= peers.len() {
            let Ok(reply) = replies.recv().await else { return };
            nodes += 1;
            coverage = coverage.max(Duration::from_millis(reply.counted_ms));
            add_reply(&mut counts, reply);
        }
    };
    node.clock.timeout(GATHER_TIMEOUT, gathering).await;
    drop(pending);
    let live_nodes = node.members().live(now).count();
    let config = node.config.read().expect("config lock");
    let mut classes: Vec<_> = config.classes().map(|class| class_report(class, &counts)).collect();
    classes.sort_by(|left, right| (left.tier, &left.class).cmp(&(right.tier, &right.class)));
    BurnReport {
        nodes,
        live_nodes,
        counted_s: coverage.as_secs(),
        classes,
        organisations: Vec::new(),
    }
}

/// Registration of a report that waits for replies; dropping it unregisters the report.
struct PendingReport<'a> {
    node: &'a NodeContext,
    report: u64,
}

impl<'a> PendingReport<'a> {
    fn new(node: &'a NodeContext, sender: Sender<BurnReply>) -> Self {
        let mut state = node.burn.lock();
        state.next_report += 1;
        let report = state.next_report;
        state.pending.insert(report, sender);
        Self { node, report }
    }
}

impl Drop for PendingReport<'_> {
    fn drop(&mut self) {
        self.node.burn.lock().pending.remove(&self.report);
    }
}

fn add_reply(counts: &mut HashMap<SharedName, WindowCounts>, reply: BurnReply) {
    for class in reply.classes {
        let sums = counts.entry(class.class.into()).or_default();
        for (sum, span) in sums.iter_mut().zip(class.windows) {
            sum.merge(&BurnCount { met: span.met, missed: span.missed });
        }
    }
}

fn class_report(class: &ClassEntity, counts: &HashMap<SharedName, WindowCounts>) -> ClassReport {
    let target = ClassTarget {
        class: class.name.clone(),
        tier: class.tier,
        latency_ms: class.latency_ms,
        attainment: class.attainment,
    };
    ClassReport::new(target, counts.get(&class.name).copied().unwrap_or_default())
}

fn burn_span(count: BurnCount) -> BurnSpan {
    BurnSpan { met: count.met, missed: count.missed }
}

fn aged_bucket(bucket: BurnBucket) -> AgedBucket {
    let span = bucket.span.unwrap_or_default();
    AgedBucket {
        class: bucket.class.into(),
        kind: if bucket.coarse { BucketKind::Coarse } else { BucketKind::Fine },
        age: bucket.age,
        count: BurnCount { met: span.met, missed: span.missed },
    }
}
