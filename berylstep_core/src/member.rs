//! Membership: which nodes are live, by their rows in the table service and by their pulses, the
//! periodic heartbeats between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::{HashMap, HashSet, SharedName};

/// Interval between pulses.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a message after which a linked node counts as failed: three missed pulses.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between refreshes of a node's own row.
pub const ROW_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a refresh after which a row expires.
pub const ROW_EXPIRY: Duration = Duration::from_secs(10);

/// Maximum time between two reads of the rows that counts towards their expiry.
///
/// A longer gap means that the table service was unreachable, and rows must not expire while nodes
/// cannot refresh them.
const MAX_COUNTED_READ_GAP: Duration = Duration::from_secs(4);

/// Time for which a node whose row expired is remembered.
pub const LAPSED_RETENTION: Duration = Duration::from_secs(3600);

/// State that a node announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Loads the configuration; neither accepts requests nor is advertised to callers.
    Joining,
    /// Accepts requests and is advertised to callers.
    Serving,
    /// Accepts requests but is no longer advertised to callers.
    Leaving,
}

/// A node's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the node.
    pub node: SharedName,
    /// Increases with each start of the node.
    pub incarnation: u64,
    /// Increases with each refresh of the row.
    pub beat: u64,
    /// Region of the node.
    pub region: SharedName,
    /// Availability zone of the node.
    pub zone: SharedName,
    /// Address of the listener for peers.
    pub peer_address: SocketAddr,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Announced state.
    pub state: MemberState,
    /// Configuration version in force on the node.
    pub config_version: u64,
}

/// One node as seen by the observing node.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Newest known row of the node.
    pub row: MemberRow,
    /// Time for which the row has not changed, counted only while rows could be read.
    pub row_unchanged_for: Duration,
    /// Time of the node's last message on a link, on the observer's clock.
    pub last_heard: Option<Duration>,
    /// Send time of the observer's newest pulse that the node has answered.
    pub last_echo_sent: Option<Duration>,
    /// Whether the node announced on a link that callers must not be directed to it.
    pub leaving: bool,
    /// Configuration version in force on the node, as last received on a link or read from its row.
    pub config_version: u64,
    /// Age of the node's last contact with the table service, as last received on a link.
    pub store_age: Option<Duration>,
    /// Requests in progress on the node, as last received.
    pub in_flight: u32,
}

/// Known nodes by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: HashMap<SharedName, MemberEntry>,
    lapsed: HashMap<SharedName, LapsedMember>,
    rows_read_at: Option<Duration>,
}

/// A node whose row expired without a planned stop: it crashed, or is partitioned from the observer
/// and may still serve callers.
#[derive(Clone, Debug)]
pub struct LapsedMember {
    /// Newest known row of the node.
    pub row: MemberRow,
    /// Configuration version last known to be in force on the node.
    pub config_version: u64,
    /// Time at which the row expired, on the observer's clock.
    pub since: Duration,
}

impl MemberTable {
    /// Updates the table from all rows, as read at `now`.
    pub fn observe_rows(&mut self, now: Duration, rows: Vec<MemberRow>) {
        let since_read = self.rows_read_at.map_or(Duration::ZERO, |read| now.saturating_sub(read));
        self.rows_read_at = Some(now);
        for member in self.members.values_mut() {
            member.row_unchanged_for += since_read.min(MAX_COUNTED_READ_GAP);
        }
        let names: HashSet<_> = rows.iter().map(|row| row.node.clone()).collect();
        for row in rows {
            self.observe_row(row);
        }
        self.drop_expired(now, &names);
    }

    fn drop_expired(&mut self, now: Duration, listed: &HashSet<SharedName>) {
        let members = std::mem::take(&mut self.members);
        for (name, member) in members {
            let is_listed = listed.contains(&name);
            if member.is_responsive(now) || (is_listed && member.is_row_fresh(now)) {
                self.members.insert(name, member);
            } else if is_listed {
                let MemberEntry { row, config_version, .. } = member;
                self.lapsed.insert(name, LapsedMember { row, config_version, since: now });
            }
        }
        self.lapsed.retain(|_, lapsed| now.saturating_sub(lapsed.since) <= LAPSED_RETENTION);
    }

    /// Updates the table from the row that a node sends when a link opens, as its stored row may
    /// not have been read yet.
    ///
    /// A new incarnation is not advertised to callers before its first pulse.
    pub fn observe_hello(&mut self, now: Duration, row: MemberRow) {
        let known = self.members.get(&row.node);
        if known.is_some_and(|member| member.row.incarnation >= row.incarnation) {
            return;
        }
        let node = row.node.clone();
        self.observe_row(row);
        if let Some(member) = self.members.get_mut(&node) {
            member.last_heard = Some(now);
            member.leaving = true;
        }
    }

    /// Updates the table from this node's own row, which is about to be written.
    pub fn observe_own(&mut self, row: MemberRow) {
        self.observe_row(row);
    }

    /// Records a pulse; pulses of unknown nodes are ignored until their row is read.
    pub fn observe_pulse(&mut self, now: Duration, node: &str, leaving: bool, in_flight: u32) {
        if let Some(member) = self.members.get_mut(node) {
            member.last_heard = Some(now);
            member.leaving = leaving;
            member.in_flight = in_flight;
        }
    }

    /// Records the configuration version and the age of the last contact with the table service
    /// that a node sent on a link.
    pub fn observe_progress(&mut self, node: &str, config_version: u64, store_age: Duration) {
        if let Some(member) = self.members.get_mut(node) {
            member.config_version = member.config_version.max(config_version);
            member.store_age = Some(store_age);
        }
    }

    /// Returns the node with this name.
    pub fn get(&self, node: &str) -> Option<&MemberEntry> {
        self.members.get(node)
    }

    /// Iterates over all known nodes, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Iterates over the nodes that are live at `now`, in no particular order.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(move |member| member.is_live(now))
    }

    /// Iterates over the nodes whose rows expired without a planned stop, in no particular order.
    pub fn lapsed(&self) -> impl Iterator<Item = &LapsedMember> {
        self.lapsed.values()
    }

    /// Records that a node answered the pulse that this node sent at `sent`.
    pub fn observe_echo(&mut self, node: &str, sent: Duration) {
        if let Some(member) = self.members.get_mut(node) {
            member.last_echo_sent = member.last_echo_sent.max(Some(sent));
        }
    }

    /// Returns the send time of the newest pulse that any node has answered.
    ///
    /// Messages may have waited in a socket buffer while this process was suspended, so only the
    /// answer to a pulse sent since then proves contact.
    pub fn last_echo(&self) -> Option<Duration> {
        self.members.values().filter_map(|member| member.last_echo_sent).max()
    }

    fn observe_row(&mut self, row: MemberRow) {
        if self.lapsed.get(&row.node).is_some_and(|lapsed| lapsed.row == row) {
            return;
        }
        self.lapsed.remove(&row.node);
        let Some(member) = self.members.get_mut(&row.node) else {
            self.members.insert(row.node.clone(), MemberEntry::new(row));
            return;
        };
        if row.incarnation < member.row.incarnation {
            return;
        }
        if row.incarnation > member.row.incarnation {
            *member = MemberEntry::new(row);
        } else if row != member.row {
            member.row_unchanged_for = Duration::ZERO;
            member.config_version = member.config_version.max(row.config_version);
            member.row = row;
        }
    }
}

impl MemberEntry {
    fn new(row: MemberRow) -> Self {
        Self {
            row_unchanged_for: Duration::ZERO,
            last_heard: None,
            last_echo_sent: None,
            leaving: false,
            config_version: row.config_version,
            store_age: None,
            in_flight: 0,
            row,
        }
    }

    /// Returns whether a message arrived within the last [`SUSPECT_TIMEOUT`].
    pub fn is_responsive(&self, now: Duration) -> bool {
        self.last_heard.is_some_and(|heard| now.saturating_sub(heard) <= SUSPECT_TIMEOUT)
    }

    /// Returns whether the row was refreshed within the last [`ROW_EXPIRY`].
    pub fn is_row_fresh(&self, _now: Duration) -> bool {
        self.row_unchanged_for <= ROW_EXPIRY
    }

    /// Returns whether the node is live: judged by its messages once any arrived, and by its row
    /// until then.
    pub fn is_live(&self, now: Duration) -> bool {
        match self.last_heard {
            Some(_) => self.is_responsive(now),
            None => self.is_row_fresh(now),
        }
    }

    /// Returns whether callers may be directed to the node: as announced on a link once any message
    /// arrived, and by its row until then.
    pub fn is_serving(&self, now: Duration) -> bool {
        let announced = match self.last_heard {
            Some(_) => !self.leaving,
            None => self.row.state == MemberState::Serving,
        };
        self.is_live(now) && announced
    }
}
