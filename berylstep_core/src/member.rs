//! Membership: which nodes live, from their rows in the table service and their pulses.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::{HashMap, HashSet, SharedName};

/// Time between pulses.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(200);

/// Silence after which a linked node is suspected: three missed pulses.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(600);

/// Time between refreshes of a node's own row.
pub const ROW_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a refresh after which a row has run out.
pub const ROW_EXPIRY: Duration = Duration::from_secs(10);

/// Longest time between two reads of the rows that counts towards their expiry.
///
/// A longer one means that the table service was out of reach: rows do not run out while nobody
/// can refresh them.
const COUNTED_READ_GAP: Duration = Duration::from_secs(4);

/// Time for which a node whose row ran out is remembered.
pub const LAPSED_RETENTION: Duration = Duration::from_secs(3600);

/// State that a node announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Learns the configuration; neither takes requests nor is named to callers.
    Joining,
    /// Takes requests and is named to callers.
    Serving,
    /// Takes requests but is no longer named to callers.
    Leaving,
}

/// A node's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the node.
    pub node: SharedName,
    /// Grows with each start of the node.
    pub incarnation: u64,
    /// Grows with each refresh of the row.
    pub beat: u64,
    /// Region.
    pub region: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Address of the peer listener.
    pub peer_address: SocketAddr,
    /// Address of the caller listener.
    pub caller_address: SocketAddr,
    /// Announced state.
    pub state: MemberState,
    /// Configuration version in force at the node.
    pub config_version: u64,
}

/// What is known of one node.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Last row.
    pub row: MemberRow,
    /// Time for which the row has stood unchanged while rows could be read.
    pub row_silence: Duration,
    /// When the node was last heard on a link, on the observer's clock.
    pub last_heard: Option<Duration>,
    /// When the newest of the observer's pulses that the node answered was sent.
    pub echoed: Option<Duration>,
    /// Whether the node said on a link that callers are not to be sent to it.
    pub leaving: bool,
    /// Configuration version in force at the node, as last heard on a link or read from its row.
    pub config_version: u64,
    /// Age of the node's last contact with the table service, as last heard on a link.
    pub store_age: Option<Duration>,
    /// Requests in progress at the node, as last heard.
    pub in_flight: u32,
}

/// Nodes by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: HashMap<SharedName, MemberEntry>,
    lapsed: HashMap<SharedName, LapsedMember>,
    rows_read: Option<Duration>,
}

/// A node whose row ran out without a planned stop: it crashed, or is cut off and may still serve.
#[derive(Clone, Debug)]
pub struct LapsedMember {
    /// Last row.
    pub row: MemberRow,
    /// Configuration version last known to be in force at the node.
    pub config_version: u64,
    /// When the row ran out, on the observer's clock.
    pub since: Duration,
}

impl MemberTable {
    /// Takes in all rows, as read at `now`.
    pub fn observe_rows(&mut self, now: Duration, rows: Vec<MemberRow>) {
        let since_read = self.rows_read.map_or(Duration::ZERO, |read| now.saturating_sub(read));
        self.rows_read = Some(now);
        for member in self.members.values_mut() {
            member.row_silence += since_read.min(COUNTED_READ_GAP);
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
            if member.is_heard(now) || (is_listed && member.is_row_fresh(now)) {
                self.members.insert(name, member);
            } else if is_listed {
                let MemberEntry { row, config_version, .. } = member;
                self.lapsed.insert(name, LapsedMember { row, config_version, since: now });
            }
        }
        self.lapsed.retain(|_, lapsed| now.saturating_sub(lapsed.since) <= LAPSED_RETENTION);
    }

    /// Takes in what a node says of itself when a link opens; its row may not have been read yet.
    ///
    /// A new incarnation is not named to callers before its first pulse.
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

    /// Takes in this node's own row as it is about to be written.
    pub fn observe_own(&mut self, row: MemberRow) {
        self.observe_row(row);
    }

    /// Takes in a pulse; pulses of unknown nodes are ignored until their row is read.
    pub fn observe_pulse(&mut self, now: Duration, node: &str, leaving: bool, in_flight: u32) {
        if let Some(member) = self.members.get_mut(node) {
            member.last_heard = Some(now);
            member.leaving = leaving;
            member.in_flight = in_flight;
        }
    }

    /// Takes in what a node said on a link of its configuration and its table service.
    pub fn observe_progress(&mut self, node: &str, config_version: u64, store_age: Duration) {
        if let Some(member) = self.members.get_mut(node) {
            member.config_version = member.config_version.max(config_version);
            member.store_age = Some(store_age);
        }
    }

    /// Node by name.
    pub fn get(&self, node: &str) -> Option<&MemberEntry> {
        self.members.get(node)
    }

    /// All known nodes, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Nodes that live at `now`.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(move |member| member.is_live(now))
    }

    /// Nodes whose rows ran out without a planned stop, in no particular order.
    pub fn lapsed(&self) -> impl Iterator<Item = &LapsedMember> {
        self.lapsed.values()
    }

    /// Notes that a node answered a pulse that this node sent at `sent`.
    pub fn observe_echo(&mut self, node: &str, sent: Duration) {
        if let Some(member) = self.members.get_mut(node) {
            member.echoed = member.echoed.max(Some(sent));
        }
    }

    /// When the newest pulse that any node answered was sent.
    ///
    /// Messages may have waited in a socket while this process was stopped, so that only an answer
    /// to something sent since then proves contact.
    pub fn last_echo(&self) -> Option<Duration> {
        self.members.values().filter_map(|member| member.echoed).max()
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
            member.row_silence = Duration::ZERO;
            member.config_version = member.config_version.max(row.config_version);
            member.row = row;
        }
    }
}

impl MemberEntry {
    fn new(row: MemberRow) -> Self {
        Self {
            row_silence: Duration::ZERO,
            last_heard: None,
            echoed: None,
            leaving: false,
            config_version: row.config_version,
            store_age: None,
            in_flight: 0,
            row,
        }
    }

    /// Whether a pulse came in time.
    pub fn is_heard(&self, now: Duration) -> bool {
        self.last_heard.is_some_and(|heard| now.saturating_sub(heard) <= SUSPECT_AFTER)
    }

    /// Whether the row was refreshed in time.
    pub fn is_row_fresh(&self, _now: Duration) -> bool {
        self.row_silence <= ROW_EXPIRY
    }

    /// Whether the node lives: by its pulses once there were any, before that by its row.
    pub fn is_live(&self, now: Duration) -> bool {
        match self.last_heard {
            Some(_) => self.is_heard(now),
            None => self.is_row_fresh(now),
        }
    }

    /// Whether callers may be sent to the node: as it said on a link, before that by its row.
    pub fn is_serving(&self, now: Duration) -> bool {
        let announced = match self.last_heard {
            Some(_) => !self.leaving,
            None => self.row.state == MemberState::Serving,
        };
        self.is_live(now) && announced
    }
}
