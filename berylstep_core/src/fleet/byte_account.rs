//! Account of the memory and the connections that a node spends on its clients.
//!
//! Clients may send more than a node can hold. Each connection draws what it holds from one account, and the
//! account decides who gives way when it is full: first connections that make no progress, then the group of
//! clients that holds most. A request that is being served is never given up for another one.

use std::net::IpAddr;
use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Time without progress after which a connection gives way to others.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Largest content that may be drawn from the whole account. The last quarter is kept for it, so that ordinary
/// requests are served beside large ones.
pub const SMALL_BYTES: usize = 64 * 1024;

/// Memory of a connection between requests: its task and its socket.
const IDLE_BYTES: usize = 8 * 1024;

/// Memory of a connection with a request, without its content: read buffers, parsed headers and the state of
/// its attempt.
const ACTIVE_BYTES: usize = 32 * 1024;

/// Bounds of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountBounds {
    /// Memory for all clients, in bytes.
    pub bytes: usize,
    /// Connections of clients.
    pub connections: usize,
    /// Connections of clients, and requests in progress, each of which may need a connection to a replica.
    pub descriptors: usize,
}

/// Clients that share the blame for what they hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientGroup {
    /// Clients with the same address.
    Address(IpAddr),
    /// Callers with a key of the same organisation.
    Organisation(SharedName),
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It waits for a request.
    Idle,
    /// It receives a request.
    Receiving,
    /// Its request is in progress.
    Serving,
    /// A part of its response waits to be read by the client.
    Writing,
}

impl ConnectionPhase {
    fn overhead(self) -> usize {
        match self {
            Self::Idle => IDLE_BYTES,
            Self::Receiving | Self::Serving | Self::Writing => ACTIVE_BYTES,
        }
    }

    fn has_request(self) -> bool {
        matches!(self, Self::Serving | Self::Writing)
    }
}

/// Number of a connection.
pub type ConnectionId = u64;

/// Answer to a connection that wants to hold more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldVerdict {
    /// It may; these connections are closed in its favour.
    Granted(Vec<ConnectionId>),
    /// It may not, and these connections are closed all the same.
    Refused(Vec<ConnectionId>),
}

/// Answer to a client that connects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenVerdict {
    /// The connection has this number; another one may be closed in its favour.
    Opened(ConnectionId, Option<ConnectionId>),
    /// There is no place, and no connection that gives way.
    Full,
}

#[derive(Clone, Debug)]
struct ConnectionRow {
    group: ClientGroup,
    phase: ConnectionPhase,
    bytes: usize,
    progressed_at: Duration,
}

impl ConnectionRow {
    /// Returns whether the connection waits for its client and has made no progress for a while.
    fn is_stalled(&self, now: Duration) -> bool {
        let is_waiting = self.phase != ConnectionPhase::Serving;
        is_waiting && now.saturating_sub(self.progressed_at) >= STALL_TIME
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct GroupTotal {
    bytes: usize,
    connections: usize,
}

/// Memory and connections that are in use for clients.
#[derive(Debug)]
pub struct ByteAccount {
    bounds: AccountBounds,
    next_id: ConnectionId,
    rows: HashMap<ConnectionId, ConnectionRow>,
    groups: HashMap<ClientGroup, GroupTotal>,
    held: usize,
    requests: usize,
}

impl ByteAccount {
    /// Creates an account of which nothing is in use.
    pub fn new(bounds: AccountBounds) -> Self {
        Self {
            bounds,
            next_id: 0,
            rows: HashMap::default(),
            groups: HashMap::default(),
            held: 0,
            requests: 0,
        }
    }

    /// Returns the memory in use, in bytes.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.rows.len()
    }

    /// Opens a connection of a client.
    pub fn open(&mut self, group: ClientGroup, now: Duration) -> OpenVerdict {
        let is_full = self.rows.len() >= self.bounds.connections
            || self.rows.len() + self.requests >= self.bounds.descriptors;
        let closed = match is_full {
            false => None,
            true => match self.stalled_connection(now) {
                None => return OpenVerdict::Full,
                closed => closed,
            },
        };
        if let Some(closed) = closed {
            self.close(closed);
        }
        self.next_id += 1;
        let total = self.groups.entry(group.clone()).or_default();
        total.connections += 1;
        total.bytes += IDLE_BYTES;
        self.held += IDLE_BYTES;
        let row = ConnectionRow {
            group,
            phase: ConnectionPhase::Idle,
            bytes: IDLE_BYTES,
            progressed_at: now,
        };
        self.rows.insert(self.next_id, row);
        OpenVerdict::Opened(self.next_id, closed)
    }

    /// Closes a connection; what it held is free. One that is closed already is ignored.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(row) = self.rows.remove(&id) else { return };
        self.held -= row.bytes;
        self.requests -= usize::from(row.phase.has_request());
        if let Some(total) = self.groups.get_mut(&row.group) {
            total.bytes -= row.bytes;
            total.connections -= 1;
            if total.connections == 0 {
                self.groups.remove(&row.group);
            }
        }
    }

    /// Counts a connection towards another group from now on.
    pub fn assign(&mut self, id: ConnectionId, group: ClientGroup) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        if row.group == group {
            return;
        }
        let before = std::mem::replace(&mut row.group, group.clone());
        let bytes = row.bytes;
        if let Some(total) = self.groups.get_mut(&before) {
            total.bytes -= bytes;
            total.connections -= 1;
            if total.connections == 0 {
                self.groups.remove(&before);
            }
        }
        let total = self.groups.entry(group).or_default();
        total.bytes += bytes;
        total.connections += 1;
    }

    /// Records that a connection makes progress without holding more.
    pub fn record_progress(&mut self, id: ConnectionId, now: Duration) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.progressed_at = now;
        }
    }

    /// Lets a connection hold `content` bytes in a phase. What it has is unchanged if that is refused. A
    /// connection that is closed already is refused.
    pub fn hold(
        &mut self,
        id: ConnectionId,
        phase: ConnectionPhase,
        content: usize,
        now: Duration,
    ) -> HoldVerdict {
        let Some(row) = self.rows.get(&id) else { return HoldVerdict::Refused(Vec::new()) };
        let (before, had_request) = (row.bytes, row.phase.has_request());
        let wanted = phase.overhead() + content;
        let mut closed = Vec::new();
        let limit = match content <= SMALL_BYTES {
            true => self.bounds.bytes,
            false => self.bounds.bytes / 4 * 3,
        };
        while wanted > before && self.held - before + wanted > limit {
            let Some(victim) = self.yielding_connection(id, wanted, now) else {
                return HoldVerdict::Refused(closed);
            };
            self.close(victim);
            closed.push(victim);
        }
        let begins = phase.has_request() && !had_request;
        if begins && self.rows.len() + self.requests >= self.bounds.descriptors {
            return HoldVerdict::Refused(closed);
        }
        self.requests += usize::from(begins);
        self.requests -= usize::from(had_request && !phase.has_request());
        self.held = self.held - before + wanted;
        let Some(row) = self.rows.get_mut(&id) else { return HoldVerdict::Refused(closed) };
        (row.phase, row.bytes, row.progressed_at) = (phase, wanted, now);
        if let Some(total) = self.groups.get_mut(&row.group) {
            total.bytes = total.bytes - before + wanted;
        }
        HoldVerdict::Granted(closed)
    }

    /// Returns the connection that gives way to a new one: of those that are stalled, one of the largest group,
    /// for the longest time.
    fn stalled_connection(&self, now: Duration) -> Option<ConnectionId> {
        let stalled = self.rows.iter().filter(|(_, row)| row.is_stalled(now));
        let order = |row: &ConnectionRow| {
            let connections = self.groups.get(&row.group).map_or(0, |total| total.connections);
            (connections, now.saturating_sub(row.progressed_at))
        };
        stalled.max_by_key(|(_, row)| order(row)).map(|(id, _)| *id)
    }

    /// Returns the connection that gives way to `id`, which wants to hold `wanted` bytes: one that is stalled, or
    /// one that receives a request and whose group holds more than that of `id` would.
    fn yielding_connection(
        &self,
        id: ConnectionId,
        wanted: usize,
        now: Duration,
    ) -> Option<ConnectionId> {
        let own = self.rows.get(&id)?;
        let group_bytes =
            |row: &ConnectionRow| self.groups.get(&row.group).map_or(0, |total| total.bytes);
        let own_bytes = group_bytes(own) - own.bytes + wanted;
        let may_yield = |row: &ConnectionRow| {
            let is_receiving = row.phase == ConnectionPhase::Receiving;
            row.is_stalled(now) || (is_receiving && group_bytes(row) > own_bytes)
        };
        let others = self.rows.iter().filter(|(other, row)| **other != id && may_yield(row));
        let order = |row: &ConnectionRow| {
            let idle_time = now.saturating_sub(row.progressed_at);
            (row.is_stalled(now), group_bytes(row), row.bytes, idle_time)
        };
        others.max_by_key(|(_, row)| order(row)).map(|(other, _)| *other)
    }
}
