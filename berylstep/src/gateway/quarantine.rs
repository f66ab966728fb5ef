//! Watches for requests that crash replicas, and refuses them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::crashes::{judge_probe, judge_successor, LossVerdict, ProcessLoss};
use berylstep_core::fleet::quarantine::{
    part_key, CrashClearance, CrashId, CrashSuspicion, EvidenceKey, QuarantineVerdict,
    QuarantinedGroup, RequestQuarantine,
};
use berylstep_core::rendezvous;
use futures_util::future::{join, join_all};
use sha2::{Digest, Sha256};
use smol::channel::{bounded, Receiver, Sender};

use crate::clock::RuntimeClock;
use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::KnownNode;
use crate::gateway::request::{AttemptHistory, RequestHandler, RoutedRequest};
use crate::gateway::response::LocalReply;
use crate::gateway::upstreams::{accepts_connections, probe_replica};

/// Number of other replicas that tell a crash from a cut of this node's own paths.
const MAX_WITNESSES: usize = 4;

/// Largest number of lost requests that wait to be verified.
const MAX_UNVERIFIED: usize = 256;

/// Interval at which pending losses are compared with the list of replicas.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which the number of nodes that may review a quarantine doubles.
const REVIEWER_DOUBLING: Duration = Duration::from_secs(5);

/// What tells a request without a prompt from others.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Service that it is routed to.
    pub service: &'a str,
    /// API key of its caller; empty if it has none.
    pub caller: &'a str,
    /// Name of the host that it is addressed to.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Returns the key of this content, the same at all nodes.
    pub fn key(&self) -> EvidenceKey {
        let texts = [self.service, self.caller, self.host, self.method, self.target];
        let mut hasher = Sha256::new();
        for field in texts.map(str::as_bytes).into_iter().chain([self.body]) {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut key = [0; 8];
        key.copy_from_slice(&hasher.finalize()[..8]);
        EvidenceKey::Content(u64::from_be_bytes(key))
    }
}

/// Returns what evidence about a request is collected for: the parts of its prompt, or its whole
/// content if it has no prompt.
pub fn evidence_keys(content: &RequestContent<'_>, parts: &[SharedName]) -> Vec<EvidenceKey> {
    match parts.is_empty() {
        true => vec![content.key()],
        false => parts.iter().map(|part| part_key(content.service, part)).collect(),
    }
}

/// A request whose replica closed the connection before it began to answer.
#[derive(Clone, Debug)]
struct LostRequest {
    id: SharedName,
    keys: Vec<EvidenceKey>,
    names: Vec<SharedName>,
    replica: SharedName,
    loss: ProcessLoss,
}

/// Evidence about prompts that crash replicas, from this node's requests and from its peers.
#[derive(Debug)]
pub struct CrashWatch {
    clock: RuntimeClock,
    mirror: Rc<StoreMirror>,
    quarantine: RefCell<RequestQuarantine>,
    lost: (Sender<LostRequest>, Receiver<LostRequest>),
    /// Losses of which it is not known yet whether their replicas have crashed.
    pending: RefCell<Vec<LostRequest>>,
}

impl CrashWatch {
    /// Creates a watch without evidence.
    pub fn new(clock: RuntimeClock, mirror: Rc<StoreMirror>) -> Self {
        Self {
            clock,
            mirror,
            quarantine: RefCell::default(),
            lost: bounded(MAX_UNVERIFIED),
            pending: RefCell::default(),
        }
    }

    /// Decides on a new request; see [`RequestQuarantine::check_new`].
    pub fn check_new(
        &self,
        keys: &[EvidenceKey],
        is_reviewer: impl FnOnce(EvidenceKey, Duration) -> bool,
    ) -> QuarantineVerdict {
        self.quarantine.borrow_mut().check_new(keys, self.clock.now(), is_reviewer)
    }

    /// Returns the time until the next review if requests with these parts are refused.
    pub fn refusal_wait(&self, keys: &[EvidenceKey]) -> Option<Duration> {
        self.quarantine.borrow().refusal_wait(keys, self.clock.now())
    }

    /// Records that a request began to be answered.
    pub fn record_started(&self, keys: &[EvidenceKey]) {
        self.change(|quarantine, now| quarantine.record_started(keys, now));
    }

    /// Reports a request that was lost before it began to be answered. It counts once its replica
    /// is found to have crashed.
    pub fn report_loss(&self, request: &RoutedRequest<'_>, target: &ReplicaTarget) {
        let replicas = self.mirror.replicas.borrow();
        // A replica that is shutting down ends its requests without a crash.
        let row = replicas.get(&target.id).filter(|row| row.is_ready());
        let Some(row) = row else { return };
        let lost = LostRequest {
            id: request.id().into(),
            keys: request.evidence.clone(),
            names: request.headers.parts.clone(),
            replica: target.id.clone(),
            loss: ProcessLoss {
                crash: CrashId { replica: row.hash, born: row.entry.born },
                service: row.entry.service.clone(),
                address: target.address,
                at: self.clock.now(),
            },
        };
        if let Err(err) = self.lost.0.try_send(lost) {
            log::warn!("event=loss_not_verified replica={} error=\"{err}\"", target.id);
        }
    }

    /// Verifies reported losses for as long as the node runs.
    pub async fn verify_losses(self: Rc<Self>) {
        loop {
            let receiving = self.lost.1.recv();
            let is_settled = self.pending.borrow().is_empty();
            let received = match is_settled {
                true => Some(receiving.await),
                false => self.clock.timeout(SETTLE_INTERVAL, receiving).await,
            };
            if let Some(Ok(first)) = received {
                let mut batch = vec![first];
                batch.extend(std::iter::from_fn(|| self.lost.1.try_recv().ok()));
                self.probe_losses(batch).await;
            }
            self.settle_pending();
        }
    }

    /// Opens one connection to each process that lost requests, and decides on the losses by it.
    async fn probe_losses(&self, batch: Vec<LostRequest>) {
        let mut by_process: HashMap<CrashId, Vec<LostRequest>> = HashMap::default();
        for lost in batch {
            by_process.entry(lost.loss.crash).or_default().push(lost);
        }
        join_all(by_process.into_values().map(|losses| self.probe_process(losses))).await;
    }

    /// Decides on `losses`, all at one process, and on pending ones there.
    async fn probe_process(&self, mut losses: Vec<LostRequest>) {
        let crash = losses[0].loss.crash;
        // Both at once: a moment later the other replicas may have crashed too.
        let probing = probe_replica(&self.clock, losses[0].loss.address);
        let (probe, reaches_others) = join(probing, self.reaches_others(crash)).await;
        let is_same_process = |lost: &LostRequest| lost.loss.crash == crash;
        let (same, pending) = self.pending.take().into_iter().partition(is_same_process);
        *self.pending.borrow_mut() = pending;
        losses.extend::<Vec<_>>(same);
        let latest = losses.iter().map(|lost| lost.loss.at).max().unwrap_or_default();
        let is_recent = |lost: &&LostRequest| latest - lost.loss.at < SETTLE_INTERVAL;
        let recent = losses.iter().filter(is_recent).count();
        let verdict = judge_probe(probe, recent, reaches_others);
        losses.into_iter().for_each(|lost| self.apply_verdict(lost, verdict));
    }

    /// Returns whether this node reaches a replica other than the one of `crash`, or there is none.
    async fn reaches_others(&self, crash: CrashId) -> bool {
        let addresses = {
            let replicas = self.mirror.replicas.borrow();
            let others = replicas.rows().filter(|row| row.hash != crash.replica && row.is_ready());
            fastrand::choose_multiple(others.map(|row| row.entry.address), MAX_WITNESSES)
        };
        let is_alone = addresses.is_empty();
        let tries = addresses.into_iter().map(|address| accepts_connections(&self.clock, address));
        is_alone || join_all(tries).await.contains(&true)
    }

    /// Decides on pending losses by the list of replicas.
    fn settle_pending(&self) {
        let now = self.clock.now();
        for lost in self.pending.take() {
            let verdict = judge_successor(&self.mirror.replicas.borrow(), &lost.loss, now);
            self.apply_verdict(lost, verdict);
        }
    }

    fn apply_verdict(&self, lost: LostRequest, verdict: LossVerdict) {
        match verdict {
            LossVerdict::Crashed => {
                log::warn!(
                    "event=request_lost_in_crash id={} replica={} parts={} keys={}",
                    lost.id,
                    lost.replica,
                    lost.names.join(","),
                    key_list(&lost.keys)
                );
                let ProcessLoss { crash, at, .. } = lost.loss;
                self.change(|quarantine, _| quarantine.record_crash(&lost.keys, crash, at));
            }
            LossVerdict::Pending if self.pending.borrow().len() < MAX_UNVERIFIED => {
                self.pending.borrow_mut().push(lost);
            }
            LossVerdict::Pending | LossVerdict::Alive => log::info!(
                "event=request_lost_without_crash id={} replica={} keys={}",
                lost.id,
                lost.replica,
                key_list(&lost.keys)
            ),
        }
    }

    /// Applies evidence from a peer.
    pub fn apply(
        &self,
        suspicions: &[berylstep_wire::CrashSuspicion],
        clearances: &[berylstep_wire::CrashClearance],
    ) {
        if suspicions.is_empty() && clearances.is_empty() {
            return;
        }
        let now = self.clock.now();
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let suspicions = suspicions.iter().map(|message| CrashSuspicion {
            key: read_key(message.part, message.content),
            crash: CrashId { replica: message.replica, born: message.born },
            at: time(message.age_ms),
        });
        let clearances = clearances.iter().map(|message| CrashClearance {
            key: read_key(message.part, message.content),
            at: time(message.age_ms),
        });
        let (suspicions, clearances): (Vec<_>, Vec<_>) =
            (suspicions.collect(), clearances.collect());
        self.change(|quarantine, now| quarantine.apply(&suspicions, &clearances, now));
    }

    /// Returns the suspicions to announce; with `all`, also those of all quarantined parts.
    pub fn suspicions(&self, all: bool) -> Vec<berylstep_wire::CrashSuspicion> {
        let now = self.clock.now();
        let suspicions = self.quarantine.borrow().suspicions(all, now).into_iter();
        let message = |suspicion: CrashSuspicion| berylstep_wire::CrashSuspicion {
            part: key_value(suspicion.key),
            content: is_content(suspicion.key),
            replica: suspicion.crash.replica,
            born: suspicion.crash.born,
            age_ms: age_ms(suspicion.at, now),
        };
        suspicions.map(message).collect()
    }

    /// Returns the clearances to announce.
    pub fn clearances(&self) -> Vec<berylstep_wire::CrashClearance> {
        let now = self.clock.now();
        let clearances = self.quarantine.borrow().clearances().into_iter();
        let message = |clearance: CrashClearance| berylstep_wire::CrashClearance {
            part: key_value(clearance.key),
            content: is_content(clearance.key),
            age_ms: age_ms(clearance.at, now),
        };
        clearances.map(message).collect()
    }

    /// Drops evidence that no longer counts.
    pub fn expire(&self) {
        self.change(|quarantine, now| {
            quarantine.expire(now);
            false
        });
    }

    /// Returns the number of groups in quarantine.
    pub fn quarantined_groups(&self) -> i64 {
        self.quarantine.borrow().groups().len() as i64
    }

    /// Applies `change`, which returns whether there is something to tell peers, and logs groups
    /// that enter or leave the quarantine.
    fn change(&self, change: impl FnOnce(&mut RequestQuarantine, Duration) -> bool) {
        let mut quarantine = self.quarantine.borrow_mut();
        let before = quarantine.groups().to_vec();
        let has_news = change(&mut quarantine, self.clock.now());
        let after = quarantine.groups();
        if before != after {
            log_changes(&before, after);
        }
        if has_news {
            self.mirror.changed.notify();
        }
    }
}

impl RequestHandler {
    /// Decides whether a new request may reach a replica.
    pub(super) fn check_request(&self, request: &RoutedRequest<'_>) -> QuarantineVerdict {
        self.crashes.check_new(&request.evidence, |part, overdue| self.is_reviewer(part, overdue))
    }

    /// Returns the time until the next review if the prompt of a request has been quarantined since
    /// it was received.
    pub(super) fn quarantine_wait(
        &self,
        request: &RoutedRequest<'_>,
        history: &AttemptHistory,
    ) -> Option<Duration> {
        let is_exempt = history.is_review && history.ran == 0;
        self.crashes.refusal_wait(&request.evidence).filter(|_| !is_exempt)
    }

    /// Returns the refusal of a request whose prompt is reviewed after `wait`.
    pub(super) fn quarantine_reply(&self, wait: Duration) -> LocalReply {
        LocalReply::refused("request crashes replicas", wait.max(self.retry_after()))
    }

    /// Returns whether this node may review the quarantine of a part. At first one node may; where
    /// such requests don't come to it, ever more others may.
    fn is_reviewer(&self, part: EvidenceKey, overdue: Duration) -> bool {
        let (key, own) = (part.to_string(), &*self.settings.node);
        let own_score = rendezvous::score(&key, own);
        let nodes = self.peers.nodes(self.clock.now());
        let doublings = overdue.as_secs() / REVIEWER_DOUBLING.as_secs();
        let reviewers = 1_usize.checked_shl(doublings.min(32) as u32).unwrap_or(usize::MAX);
        let is_before = |node: &&KnownNode| rendezvous::score(&key, &node.node) > own_score;
        nodes.iter().filter(is_before).count() < reviewers
    }
}

fn log_changes(before: &[QuarantinedGroup], after: &[QuarantinedGroup]) {
    let is_in = |groups: &[QuarantinedGroup], group: &QuarantinedGroup| {
        groups.iter().any(|other| other.keys == group.keys)
    };
    for group in after.iter().filter(|group| !is_in(before, group)) {
        let (keys, crashes) = (key_list(&group.keys), group.crashes);
        log::warn!("event=prompt_quarantined keys={keys} crashes={crashes}");
    }
    for group in before.iter().filter(|group| !is_in(after, group)) {
        log::warn!("event=prompt_released keys={}", key_list(&group.keys));
    }
}

fn is_content(key: EvidenceKey) -> bool {
    matches!(key, EvidenceKey::Content(_))
}

fn read_key(value: u64, is_content: bool) -> EvidenceKey {
    match is_content {
        true => EvidenceKey::Content(value),
        false => EvidenceKey::Part(value),
    }
}

/// Returns the keys as text for the log.
pub fn key_list(keys: &[EvidenceKey]) -> String {
    let texts: Vec<_> = keys.iter().map(EvidenceKey::to_string).collect();
    texts.join(",")
}

fn key_value(key: EvidenceKey) -> u64 {
    match key {
        EvidenceKey::Part(value) | EvidenceKey::Content(value) => value,
    }
}

fn age_ms(at: Duration, now: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}
