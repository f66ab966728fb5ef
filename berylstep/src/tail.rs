//! Following the configuration: from the table service, and from peers.
//!
//! In each availability zone a few nodes, chosen by rendezvous hashing, watch the version row of the
//! table service and hand new revisions to their peers. The others read the table service only
//! where peers are silent or do not deliver a version that is known to exist.

pub mod snapshot;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::config::history::LoggedRevision;
use berylstep_core::config::{ApplyOutcome, ConfigLag, ConfigRevision, RevisionHistory};
use berylstep_core::member::MemberEntry;
use berylstep_core::rendezvous;
use berylstep_wire::frame::Body;
use berylstep_wire::{ConfigEntries, ConfigEntry, ConfigRequest};
use smol::channel::{bounded, Receiver, Sender};

use crate::native::{PlatformError, StoredRow};
use crate::node::NodeContext;

/// Row that holds the newest version of the configuration.
pub const VERSION_KEY: &str = "config/version";

/// Prefix of the log rows; the version follows in 20 digits.
pub const LOG_PREFIX: &str = "config/log/";

/// Time between reads of the version row by a node that watches it.
const TAIL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for peers to deliver a version that is known to exist.
const PEER_DELIVERY: Duration = Duration::from_millis(300);

/// Most revisions read at once.
const TAIL_LIMIT: usize = 500;

/// Nodes of one availability zone that watch the version row.
const TAILERS_PER_ZONE: usize = 2;

/// Age of a node's contact with the table service up to which it may be chosen to watch.
const TAILER_STORE_AGE: Duration = Duration::from_secs(5);

/// Most bytes of revisions in one message to a peer.
const MESSAGE_BYTES: usize = 256 * 1024;

/// Longest wait for word from the other nodes before serving.
const JOIN_PEER_WAIT: Duration = Duration::from_secs(1);

/// Time between looks at whether a joining node may serve.
const JOIN_POLL: Duration = Duration::from_millis(50);

/// How far this node follows the configuration.
#[derive(Debug)]
pub struct ConfigFollower {
    progress: Mutex<ConfigLag>,
    history: Mutex<RevisionHistory>,
    waker: Sender<()>,
    woken: Receiver<()>,
}

impl Default for ConfigFollower {
    fn default() -> Self {
        let (waker, woken) = bounded(1);
        Self { progress: Mutex::default(), history: Mutex::default(), waker, woken }
    }
}

impl ConfigFollower {
    /// Notes that version `newest` exists.
    pub fn note_newest(&self, node: &NodeContext, newest: u64) {
        let own = node.config.read().expect("config lock").version();
        let mut progress = self.progress.lock().expect("progress lock");
        progress.note_newest(node.clock.now(), newest, own);
        if progress.is_behind() && self.waker.try_send(()).is_err() {
            // A signal that was not taken yet stands for this one too.
        }
    }

    /// Newest version heard of.
    pub fn newest(&self) -> u64 {
        self.progress.lock().expect("progress lock").newest()
    }

    /// Whether a newer version than the one in force is known.
    pub fn is_behind(&self) -> bool {
        self.progress.lock().expect("progress lock").is_behind()
    }

    /// Whether the version in force has been known to be old for too long.
    pub fn is_overdue(&self, now: Duration) -> bool {
        self.progress.lock().expect("progress lock").is_overdue(now)
    }

    /// Revisions that lead on from `version`, as far as they are kept.
    pub fn revisions_after(&self, version: u64) -> Vec<LoggedRevision> {
        self.history.lock().expect("history lock").after(version, MESSAGE_BYTES)
    }

    async fn wait_woken(&self) {
        let _ = self.woken.recv().await;
    }
}

/// Key of the log row of a version.
pub fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Learns the newest configuration from the table service and from peers.
///
/// Returns when the table service or a peer was heard and no newer version is known.
pub async fn catch_up_before_serving(node: &NodeContext) {
    let give_up_peers = node.clock.now() + JOIN_PEER_WAIT;
    loop {
        let read = poll(node).await;
        if let Err(err) = &read {
            log::warn!("cannot read the configuration yet: {err}");
            request_from_peers(node);
        }
        let now = node.clock.now();
        let peers_known = all_peers_heard(node, now) || now > give_up_peers;
        let heard = read.is_ok() || !node.are_peers_silent();
        if heard && peers_known && !node.follower.is_behind() {
            return;
        }
        node.clock.sleep(JOIN_POLL).await;
    }
}

fn all_peers_heard(node: &NodeContext, now: Duration) -> bool {
    let members = node.members();
    let mut others = members.all().filter(|member| member.row.node != node.settings.node);
    others.all(|member| member.is_heard(now))
}

/// Keeps to the newest configuration, for as long as the node runs.
pub async fn follow(node: Arc<NodeContext>) {
    loop {
        if is_watcher(&node) {
            report(poll(&node).await);
        } else if node.follower.is_behind() {
            request_from_peers(&node);
            node.clock.sleep(PEER_DELIVERY).await;
            if node.follower.is_behind() {
                report(poll(&node).await);
            }
        }
        node.clock.timeout(TAIL_INTERVAL, node.follower.wait_woken()).await;
    }
}

fn report(read: Result<(), PlatformError>) {
    if let Err(err) = read {
        log::debug!("cannot read the configuration: {err}");
    }
}

/// Whether this node watches the version row.
pub fn is_watcher(node: &NodeContext) -> bool {
    if node.are_peers_silent() {
        return true;
    }
    let now = node.clock.now();
    let settings = &node.settings;
    let may_watch = |member: &&MemberEntry| {
        let has_store = member.store_age.is_some_and(|age| age <= TAILER_STORE_AGE);
        let is_own = member.row.node == settings.node;
        is_own || (member.is_heard(now) && has_store)
    };
    let members = node.members();
    let in_zone = members
        .all()
        .filter(|member| member.row.zone == settings.zone && member.row.region == settings.region);
    let candidates = in_zone.filter(may_watch).map(|member| &*member.row.node);
    let ranked = rendezvous::rank(&format!("config-tail/{}", settings.zone), candidates);
    ranked.iter().take(TAILERS_PER_ZONE).any(|name| **name == *settings.node)
}

/// Reads the version row, and the log where it shows a newer version.
pub async fn poll(node: &NodeContext) -> Result<(), PlatformError> {
    let asked = node.clock.now();
    let row = node.platform.row(VERSION_KEY).await?;
    node.record_store_response_at(asked);
    let stored = row.map_or(0, |row| row.value.parse().unwrap_or_default());
    node.follower.note_newest(node, stored);
    node.record_config_contact(asked);
    read_log(node, stored).await
}

/// Reads the log up to `newest`; a gap is bridged by a snapshot.
async fn read_log(node: &NodeContext, newest: u64) -> Result<(), PlatformError> {
    if newest > version(node) + snapshot::SNAPSHOT_CHANGES {
        if let Err(err) = snapshot::load(node).await {
            log::warn!("cannot read a snapshot, reading the log: {err}");
        }
    }
    while version(node) < newest {
        let before = version(node);
        let rows = node.platform.scan(LOG_PREFIX, &log_key(before), TAIL_LIMIT).await?;
        let applied = apply_rows(node, &rows);
        broadcast_revisions(node, applied);
        if version(node) == before {
            log::warn!("change log does not lead on, reading a snapshot: version={before}");
            snapshot::load(node).await?;
        }
        if version(node) == before {
            log::error!("configuration cannot be read: version={before} newest={newest}");
            return Ok(());
        }
    }
    Ok(())
}

fn version(node: &NodeContext) -> u64 {
    node.config.read().expect("config lock").version()
}

fn apply_rows(node: &NodeContext, rows: &[StoredRow]) -> Vec<LoggedRevision> {
    let mut applied = Vec::new();
    for row in rows {
        let digits = row.key.strip_prefix(LOG_PREFIX).unwrap_or_default();
        let Ok(version) = digits.parse() else { continue };
        match apply_revision(node, version, &row.value) {
            (ApplyOutcome::Applied, Some(revision)) => applied.push(revision),
            (ApplyOutcome::Stale, _) => {}
            _ => break,
        }
    }
    applied
}

/// Puts a committed revision in force if it follows the version in force.
pub fn apply_revision(
    node: &NodeContext,
    version: u64,
    text: &str,
) -> (ApplyOutcome, Option<LoggedRevision>) {
    let revision = match serde_json::from_str::<ConfigRevision>(text) {
        Ok(revision) if revision.version() == version => revision,
        Ok(_) => {
            log::error!("revision has another version than its row: version={version}");
            return (ApplyOutcome::Gap, None);
        }
        Err(err) => {
            log::error!("revision is malformed: version={version} error={err}");
            return (ApplyOutcome::Gap, None);
        }
    };
    let logged = LoggedRevision { after: revision.after, version, text: text.into() };
    let mut history = node.follower.history.lock().expect("history lock");
    let outcome = node.config.write().expect("config lock").apply_revision(&revision);
    if outcome == ApplyOutcome::Applied {
        history.push(logged.clone());
        log::info!("configuration in force: version={version}");
    }
    drop(history);
    node.follower.note_newest(node, version);
    (outcome, Some(logged))
}

/// Sends revisions that were read from the table service to all peers.
pub fn broadcast_revisions(node: &NodeContext, revisions: Vec<LoggedRevision>) {
    for batch in batches(revisions) {
        node.peers.broadcast(&Body::ConfigEntries(entries(batch)));
    }
}

fn batches(revisions: Vec<LoggedRevision>) -> Vec<Vec<LoggedRevision>> {
    let mut batches: Vec<Vec<LoggedRevision>> = Vec::new();
    let mut bytes = 0;
    for revision in revisions {
        bytes += revision.text.len();
        match batches.last_mut() {
            Some(batch) if bytes <= MESSAGE_BYTES => batch.push(revision),
            _ => {
                bytes = revision.text.len();
                batches.push(vec![revision]);
            }
        }
    }
    batches
}

fn entries(revisions: Vec<LoggedRevision>) -> ConfigEntries {
    let entries = revisions.into_iter().map(|revision| ConfigEntry {
        version: revision.version,
        change: revision.text.to_string(),
    });
    ConfigEntries { entries: entries.collect() }
}

/// Asks one peer that has a newer version for what follows the own one.
fn request_from_peers(node: &NodeContext) {
    let own = version(node);
    let now = node.clock.now();
    let ahead: Vec<_> = {
        let members = node.members();
        let ahead = members.all().filter(|m| m.is_heard(now) && m.config_version > own);
        ahead.map(|member| member.row.node.clone()).collect()
    };
    if let Some(peer) = fastrand::choice(&ahead) {
        node.peers.send(peer, Body::ConfigRequest(ConfigRequest { after: own }));
    }
}

/// Answers a peer's request; without an answer the peer turns to the table service.
pub fn answer_request(node: &NodeContext, peer: &str, request: &ConfigRequest) {
    let revisions = node.follower.revisions_after(request.after);
    if !revisions.is_empty() {
        node.peers.send(peer, Body::ConfigEntries(entries(revisions)));
    }
}

/// Takes in revisions from a peer.
pub fn observe_entries(node: &NodeContext, entries: ConfigEntries) {
    for entry in entries.entries {
        let (outcome, _) = apply_revision(node, entry.version, &entry.change);
        if outcome == ApplyOutcome::Gap {
            return;
        }
    }
}
