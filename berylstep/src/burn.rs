//! The service-level burn report over all nodes.

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

/// Longest wait for the counts of other nodes.
const GATHER_TIMEOUT: Duration = Duration::from_secs(1);

/// Replies in flight for one report.
const REPLY_QUEUE: usize = 64;

/// This node's counts, and reports that wait for other nodes'.
#[derive(Debug, Default)]
pub struct BurnTracker {
    state: Mutex<LedgerState>,
}

#[derive(Debug, Default)]
struct LedgerState {
    table: BurnTable,
    /// Time for which an earlier node counted what was handed over.
    inherited: Duration,
    next_report: u64,
    waiting: HashMap<u64, Sender<BurnReply>>,
}

impl BurnTracker {
    /// Counts one request.
    pub fn record(&self, now: Duration, class: &SharedName, outcome: TargetOutcome) {
        self.lock().table.record(now, class, outcome);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LedgerState> {
        self.state.lock().expect("burn lock")
    }

    fn counts(&self, now: Duration) -> HashMap<SharedName, WindowCounts> {
        let state = self.lock();
        state.table.counts(now).map(|(class, counts)| (class.clone(), counts)).collect()
    }

    fn counted(&self, now: Duration) -> Duration {
        now + self.lock().inherited
    }
}

/// Answers another node's request for counts.
pub fn reply(node: &NodeContext, peer: &str, request: &BurnRequest) {
    let now = node.clock.now();
    let classes = node.burn.counts(now).into_iter().map(|(class, counts)| ClassBurn {
        class: class.to_string(),
        windows: counts.map(span).to_vec(),
    });
    let reply = BurnReply {
        report: request.report,
        classes: classes.collect(),
        counted_ms: node.burn.counted(now).as_millis() as u64,
    };
    node.peers.send(peer, Body::BurnReply(reply));
}

/// Takes in another node's counts.
pub fn receive(node: &NodeContext, reply: BurnReply) {
    if let Some(sender) = node.burn.lock().waiting.get(&reply.report) {
        if let Err(err) = sender.try_send(reply) {
            log::warn!("burn counts of a node are left out of a report: {err}");
        }
    }
}

/// Hands this node's counts to one live node before a planned stop.
pub fn hand_over(node: &NodeContext) {
    let now = node.clock.now();
    let buckets = node.burn.lock().table.export(now).into_iter().map(|bucket| BurnBucket {
        class: bucket.class.to_string(),
        coarse: bucket.kind == BucketKind::Coarse,
        age: bucket.age,
        span: Some(span(bucket.count)),
    });
    let counted_ms = node.burn.counted(now).as_millis() as u64;
    let handover = BurnHandover { buckets: buckets.collect(), counted_ms };
    let heir = {
        let members = node.members();
        let serving = members.live(now).filter(|member| member.is_serving(now));
        let others = serving.filter(|member| member.row.node != node.settings.node);
        others.map(|member| member.row.node.clone()).min()
    };
    match heir {
        Some(heir) if node.peers.send(&heir, Body::BurnHandover(handover)) => {
            log::info!("burn counts handed over: peer={heir}");
        }
        _ => log::warn!("burn counts are lost: no peer to take them"),
    }
}

/// Adds the counts of a node that stops.
pub fn inherit(node: &NodeContext, handover: BurnHandover) {
    let now = node.clock.now();
    let aged: Vec<_> = handover.buckets.into_iter().map(aged_bucket).collect();
    let mut state = node.burn.lock();
    state.table.import(now, &aged);
    let counted = Duration::from_millis(handover.counted_ms);
    state.inherited = state.inherited.max(counted.saturating_sub(now));
}

/// Gathers the counts of all linked nodes and makes the report.
pub async fn report(node: &NodeContext) -> BurnReport {
    let peers = node.peers.connected();
    let (sender, replies) = bounded(REPLY_QUEUE.max(peers.len()));
    let waiting = WaitingReport::new(node, sender);
    for peer in &peers {
        node.peers.send(peer, Body::BurnRequest(BurnRequest { report: waiting.report }));
    }
    let now = node.clock.now();
    let mut counts = node.burn.counts(now);
    let mut counted = node.burn.counted(now);
    let mut nodes = 1;
    let gathering = async {
        while nodes <= peers.len() {
            let Ok(reply) = replies.recv().await else { return };
            nodes += 1;
            counted = counted.max(Duration::from_millis(reply.counted_ms));
            add_reply(&mut counts, reply);
        }
    };
    node.clock.timeout(GATHER_TIMEOUT, gathering).await;
    drop(waiting);
    let live_nodes = node.members().live(now).count();
    let config = node.config.read().expect("config lock");
    let mut classes: Vec<_> = config.classes().map(|class| class_report(class, &counts)).collect();
    classes.sort_by(|left, right| (left.tier, &left.class).cmp(&(right.tier, &right.class)));
    BurnReport {
        nodes,
        live_nodes,
        counted_s: counted.as_secs(),
        classes,
        organisations: Vec::new(),
    }
}

/// Registers a report that waits for replies, until dropped.
struct WaitingReport<'a> {
    node: &'a NodeContext,
    report: u64,
}

impl<'a> WaitingReport<'a> {
    fn new(node: &'a NodeContext, sender: Sender<BurnReply>) -> Self {
        let mut state = node.burn.lock();
        state.next_report += 1;
        let report = state.next_report;
        state.waiting.insert(report, sender);
        Self { node, report }
    }
}

impl Drop for WaitingReport<'_> {
    fn drop(&mut self) {
        self.node.burn.lock().waiting.remove(&self.report);
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

fn span(count: BurnCount) -> BurnSpan {
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
