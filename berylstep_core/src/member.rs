//! Membership: which nodes live, from their rows in the table service and their pulses.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::{HashMap, SharedName};

/// Time between pulses.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(200);

/// Silence after which a linked node is suspected: three missed pulses.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(600);

/// Time between refreshes of a node's own row.
pub const ROW_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a refresh after which a row has run out.
pub const ROW_EXPIRY: Duration = Duration::from_secs(10);

/// State that a node announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
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
    /// When the row last changed, on the observer's clock.
    pub row_changed: Duration,
    /// When the node was last heard on a link, on the observer's clock.
    pub heard: Option<Duration>,
    /// Whether the node said on a link that it is leaving.
    pub leaving: bool,
    /// Requests in progress at the node, as last heard.
    pub in_flight: u32,
}

/// Nodes by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: HashMap<SharedName, MemberEntry>,
    rows_read: Option<Duration>,
}

impl MemberTable {
    /// Takes in all rows, as read at `now`.
    pub fn observe_rows(&mut self, now: Duration, rows: Vec<MemberRow>) {
        self.rows_read = Some(now);
        for row in rows {
            self.observe_row(now, row);
        }
        self.members.retain(|_, member| member.is_row_fresh(now) || member.is_heard(now));
    }

    /// Takes in a pulse; pulses of unknown nodes are ignored until their row is read.
    pub fn observe_pulse(&mut self, now: Duration, node: &str, leaving: bool, in_flight: u32) {
        if let Some(member) = self.members.get_mut(node) {
            member.heard = Some(now);
            member.leaving = leaving;
            member.in_flight = in_flight;
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

    /// When any node was last heard on a link.
    pub fn last_heard(&self) -> Option<Duration> {
        self.members.values().filter_map(|member| member.heard).max()
    }

    fn observe_row(&mut self, now: Duration, row: MemberRow) {
        let Some(member) = self.members.get_mut(&row.node) else {
            let entry =
                MemberEntry { row, row_changed: now, heard: None, leaving: false, in_flight: 0 };
            self.members.insert(entry.row.node.clone(), entry);
            return;
        };
        if row.incarnation < member.row.incarnation {
            return;
        }
        if row.incarnation > member.row.incarnation {
            member.heard = None;
            member.leaving = false;
        }
        if row != member.row {
            member.row_changed = now;
            member.row = row;
        }
    }
}

impl MemberEntry {
    /// Whether a pulse came in time.
    pub fn is_heard(&self, now: Duration) -> bool {
        self.heard.is_some_and(|heard| now.saturating_sub(heard) <= SUSPECT_AFTER)
    }

    /// Whether the row was refreshed in time.
    pub fn is_row_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.row_changed) <= ROW_EXPIRY
    }

    /// Whether the node lives: by its pulses once there were any, before that by its row.
    pub fn is_live(&self, now: Duration) -> bool {
        match self.heard {
            Some(_) => self.is_heard(now),
            None => self.is_row_fresh(now),
        }
    }

    /// Whether callers may be sent to the node.
    pub fn is_serving(&self, now: Duration) -> bool {
        self.is_live(now) && !self.leaving && self.row.state == MemberState::Serving
    }
}
