//! What a node knows of its site.

use berylstep_core::collections::HashMap;
use berylstep_core::member::{MemberEntry, MemberState};
use serde::{Deserialize, Serialize};

use crate::node::NodeContext;
use crate::peer::handshake::LinkRefusal;
use crate::tail;

/// Answer of `/operator/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusMessage {
    /// Node that answers.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// Whether it refuses keyed work because its configuration can't be trusted.
    pub isolated: bool,
    /// Configuration version in force at it.
    pub config_version: u64,
    /// Newest version that it has heard of.
    pub newest_version: u64,
    /// Whether it watches the table service for its availability zone.
    pub watches_config: bool,
    /// Age of its last answer of the table service, in milliseconds.
    pub store_age_ms: Option<u64>,
    /// Requests in progress at it.
    pub in_flight: u32,
    /// Nodes, by name.
    pub members: Vec<MemberStatus>,
    /// Nodes whose rows ran out without a planned stop.
    pub lapsed: Vec<LapsedStatus>,
    /// Upstreams, by identifier.
    pub upstreams: Vec<UpstreamStatus>,
    /// Peer links turned away or dropped, by cause.
    pub link_refusals: HashMap<LinkRefusal, u64>,
}

/// One node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name.
    pub node: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub address: String,
    /// Whether it lives.
    pub live: bool,
    /// Whether callers are sent to it.
    pub serving: bool,
    /// Time since it was heard on a link, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Configuration version in force at it.
    pub config_version: u64,
    /// Requests in progress at it.
    pub in_flight: u32,
}

/// A node whose row ran out without a planned stop.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LapsedStatus {
    /// Name.
    pub node: String,
    /// Configuration version last known to be in force at it.
    pub config_version: u64,
    /// Time since the row ran out, in milliseconds.
    pub since_ms: u64,
}

/// One upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Identifier.
    pub id: String,
    /// Pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Address.
    pub address: String,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests served at once.
    pub slots: u32,
    /// Requests running, as last reported.
    pub running: Option<u32>,
}

/// Gathers what the node knows.
pub fn status(node: &NodeContext) -> StatusMessage {
    let now = node.clock.now();
    let isolated = node.is_isolated();
    let watches_config = tail::is_watcher(node);
    let own_version = node.config.read().expect("config lock").version();
    let members = node.members();
    let mut member_list: Vec<_> =
        members.all().map(|member| member_status(node, member, own_version)).collect();
    member_list.sort_by(|left, right| left.node.cmp(&right.node));
    let lapsed = members.lapsed().map(|lapsed| LapsedStatus {
        node: lapsed.row.node.to_string(),
        config_version: lapsed.config_version,
        since_ms: now.saturating_sub(lapsed.since).as_millis() as u64,
    });
    StatusMessage {
        node: node.settings.node.to_string(),
        incarnation: node.incarnation(),
        state: node.state(),
        isolated,
        config_version: own_version,
        newest_version: node.follower.newest(),
        watches_config,
        store_age_ms: node.store_age().map(|age| age.as_millis() as u64),
        in_flight: node.in_flight(),
        members: member_list,
        lapsed: lapsed.collect(),
        upstreams: upstream_list(node),
        link_refusals: node.peers.refusals(),
    }
}

fn member_status(node: &NodeContext, member: &MemberEntry, own_version: u64) -> MemberStatus {
    let now = node.clock.now();
    let is_own = member.row.node == node.settings.node;
    MemberStatus {
        node: member.row.node.to_string(),
        incarnation: member.row.incarnation,
        region: member.row.region.to_string(),
        zone: member.row.zone.to_string(),
        address: member.row.caller_address.to_string(),
        live: member.is_live(now),
        serving: member.is_serving(now),
        heard_ms: member.last_heard.map(|heard| now.saturating_sub(heard).as_millis() as u64),
        config_version: if is_own { own_version } else { member.config_version },
        in_flight: if is_own { node.in_flight() } else { member.in_flight },
    }
}

fn upstream_list(node: &NodeContext) -> Vec<UpstreamStatus> {
    let upstreams = node.upstreams();
    let listed = upstreams.all().map(|entry| UpstreamStatus {
        id: entry.id.to_string(),
        pool: entry.pool.to_string(),
        zone: entry.zone.to_string(),
        address: entry.address.to_string(),
        leaving: entry.leaving,
        slots: entry.slots,
        running: entry.load.as_ref().map(|(_, load)| load.running),
    });
    let mut listed: Vec<_> = listed.collect();
    listed.sort_by(|left, right| left.id.cmp(&right.id));
    listed
}
