//! Replication of the configuration log from the table service and from peers.
//!
//! In each availability zone a few nodes, selected by rendezvous hashing, poll the version row of
//! the table service and broadcast new revisions to their peers. The other nodes read the table
//! service only if the peers are silent or do not deliver a version that is known to exist.

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

/// Key of the row that holds the newest version of the configuration.
pub const VERSION_KEY: &str = "config/version";

/// Key prefix of log rows; the version follows in 20 digits.
pub const LOG_PREFIX: &str = "config/log/";

/// Interval between reads of the version row by a watching node.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for peers to deliver a requested version, after which the table service is read.
const PEER_DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Upper bound of the log rows in one read.
const LOG_SCAN_LIMIT: usize = 500;

/// Nodes in each availability zone that watch the version row.
const WATCHERS_PER_ZONE: usize = 2;

/// Longest time since a node's last contact with the table service for it to be a watcher.
const MAX_WATCHER_STORE_AGE: Duration = Duration::from_secs(5);

/// Upper bound of the bytes of revisions in one message to a peer.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Timeout for hearing from all other nodes before this node serves.
const JOIN_PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between checks of whether a joining node may serve.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Replication state of this node's configuration.
#[derive(Debug)]
pub struct ConfigFollower {
    lag: Mutex<ConfigLag>,
    history: Mutex<RevisionHistory>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl Default for ConfigFollower {
    fn default() -> Self {
        let (wake_sender, wake_receiver) = bounded(1);
        Self { lag: Mutex::default(), history: Mutex::default(), wake_sender, wake_receiver }
    }
}

impl ConfigFollower {
    /// Records that version `newest` exists, and wakes the replication task if it is behind.
    pub fn record_newest(&self, node: &NodeContext, newest: u64) {
        let own = node.config.read().expect("config lock").version();
        let mut lag = self.lag.lock().expect("lag lock");
        lag.record_newest(node.clock.now(), newest, own);
        if lag.is_behind() && self.wake_sender.try_send(()).is_err() {
            // The channel is full, so the task will be woken anyway.
        }
    }

    /// Returns the newest version that is known to exist.
    pub fn newest(&self) -> u64 {
        self.lag.lock().expect("lag lock").newest()
    }

    /// Returns whether a newer version than the one in force is known.
    pub fn is_behind(&self) -> bool {
        self.lag.lock().expect("lag lock").is_behind()
    }

    /// Returns whether the version in force has been outdated for too long.
    pub fn is_overdue(&self, now: Duration) -> bool {
        self.lag.lock().expect("lag lock").is_overdue(now)
    }

    /// Returns the retained revisions that follow `version`, up to the size of one message.
    pub fn revisions_after(&self, version: u64) -> Vec<LoggedRevision> {
        self.history.lock().expect("history lock").after(version, MAX_MESSAGE_BYTES)
    }

    async fn wait_woken(&self) {
        let _ = self.wake_receiver.recv().await;
    }
}

/// Returns the key of a version's log row.
pub fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Brings the configuration up to date before the node serves.
///
/// Returns once the table service or a peer has answered and no newer version is known.
pub async fn catch_up_before_serving(node: &NodeContext) {
    let peer_deadline = node.clock.now() + JOIN_PEER_TIMEOUT;
    loop {
        let read = poll(node).await;
        if let Err(err) = &read {
            log::warn!("failed to read the configuration, retrying: {err}");
            request_from_peers(node);
        }
        let now = node.clock.now();
        let peers_ready = all_peers_heard(node, now) || now > peer_deadline;
        let is_connected = read.is_ok() || !node.are_peers_silent();
        if is_connected && peers_ready && !node.follower.is_behind() {
            return;
        }
        node.clock.sleep(JOIN_POLL_INTERVAL).await;
    }
}

fn all_peers_heard(node: &NodeContext, now: Duration) -> bool {
    let members = node.members();
    let mut others = members.all().filter(|member| member.row.node != node.settings.node);
    others.all(|member| member.is_responsive(now))
}

/// Keeps the configuration up to date, until the node stops.
pub async fn follow(node: Arc<NodeContext>) {
    loop {
        if is_watcher(&node) {
            log_failure(poll(&node).await);
        } else if node.follower.is_behind() {
            request_from_peers(&node);
            node.clock.sleep(PEER_DELIVERY_TIMEOUT).await;
            if node.follower.is_behind() {
                log_failure(poll(&node).await);
            }
        }
        node.clock.timeout(VERSION_POLL_INTERVAL, node.follower.wait_woken()).await;
    }
}

fn log_failure(read: Result<(), PlatformError>) {
    if let Err(err) = read {
        log::debug!("failed to read the configuration: {err}");
    }
}

/// Returns whether this node watches the version row.
///
/// A node whose peers are all silent always does.
pub fn is_watcher(node: &NodeContext) -> bool {
    if node.are_peers_silent() {
        return true;
    }
    let now = node.clock.now();
    let settings = &node.settings;
    let may_watch = |member: &&MemberEntry| {
        let has_store = member.store_age.is_some_and(|age| age <= MAX_WATCHER_STORE_AGE);
        let is_own = member.row.node == settings.node;
        is_own || (member.is_responsive(now) && has_store)
    };
    let members = node.members();
    let zone_members = members
        .all()
        .filter(|member| member.row.zone == settings.zone && member.row.region == settings.region);
    let candidates = zone_members.filter(may_watch).map(|member| &*member.row.node);
    let ranked = rendezvous::rank(&format!("config-tail/{}", settings.zone), candidates);
    ranked.iter().take(WATCHERS_PER_ZONE).any(|name| **name == *settings.node)
}

/// Reads the version row, and the log if there is a newer version.
///
/// # Errors
///
/// Returns an error if the table service does not answer.
pub async fn poll(node: &NodeContext) -> Result<(), PlatformError> {
    let sent_at = node.clock.now();
    let row = node.platform.row(VERSION_KEY).await?;
    node.record_store_response_at(sent_at);
    let newest = row.map_or(0, |row| row.value.parse().unwrap_or_default());
    node.follower.record_newest(node, newest);
    node.record_config_contact(sent_at);
    read_log(node, newest).await
}

/// Reads the log up to `newest`; loads a snapshot if the node is far behind or the log has a gap.
async fn read_log(node: &NodeContext, newest: u64) -> Result<(), PlatformError> {
    if newest > version(node) + snapshot::VERSIONS_PER_SNAPSHOT {
        if let Err(err) = snapshot::load(node).await {
            log::warn!("failed to load a snapshot, reading the log instead: {err}");
        }
    }
    while version(node) < newest {
        let before = version(node);
        let rows = node.platform.scan(LOG_PREFIX, &log_key(before), LOG_SCAN_LIMIT).await?;
        let applied = apply_rows(node, &rows);
        broadcast_revisions(node, applied);
        if version(node) == before {
            log::warn!("configuration log has a gap, loading a snapshot: version={before}");
            snapshot::load(node).await?;
        }
        if version(node) == before {
            log::error!(
                "neither log nor snapshot leads to the newest configuration: \
                 version={before} newest={newest}"
            );
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

/// Puts a committed revision in force if it directly follows the version in force.
///
/// `text` is the revision as JSON. Returns the parsed revision unless it is malformed.
pub fn apply_revision(
    node: &NodeContext,
    version: u64,
    text: &str,
) -> (ApplyOutcome, Option<LoggedRevision>) {
    let revision = match serde_json::from_str::<ConfigRevision>(text) {
        Ok(revision) if revision.version() == version => revision,
        Ok(_) => {
            log::error!("version of a revision does not match its row: version={version}");
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
    node.follower.record_newest(node, version);
    (outcome, Some(logged))
}

/// Sends committed revisions to all peers.
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
            Some(batch) if bytes <= MAX_MESSAGE_BYTES => batch.push(revision),
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

/// Requests the revisions after the own version from one random peer that has a newer version.
fn request_from_peers(node: &NodeContext) {
    let own = version(node);
    let now = node.clock.now();
    let ahead: Vec<_> = {
        let members = node.members();
        let ahead = members.all().filter(|m| m.is_responsive(now) && m.config_version > own);
        ahead.map(|member| member.row.node.clone()).collect()
    };
    if let Some(peer) = fastrand::choice(&ahead) {
        node.peers.send(peer, Body::ConfigRequest(ConfigRequest { after: own }));
    }
}

/// Answers a peer's request for revisions.
///
/// If the revisions are no longer retained, nothing is sent and the peer reads the table service.
pub fn answer_request(node: &NodeContext, peer: &str, request: &ConfigRequest) {
    let revisions = node.follower.revisions_after(request.after);
    if !revisions.is_empty() {
        node.peers.send(peer, Body::ConfigEntries(entries(revisions)));
    }
}

/// Applies revisions received from a peer, up to the first gap.
pub fn observe_entries(node: &NodeContext, entries: ConfigEntries) {
    for entry in entries.entries {
        let (outcome, _) = apply_revision(node, entry.version, &entry.change);
        if outcome == ApplyOutcome::Gap {
            return;
        }
    }
}
