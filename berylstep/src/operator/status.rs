//! Status report of a node for operators.

use berylstep_core::collections::HashMap;
use berylstep_core::member::{MemberEntry, MemberState};
use serde::{Deserialize, Serialize};

use crate::node::NodeContext;
use crate::peer::handshake::LinkRefusal;
use crate::tail;

/// Body of the answer to `GET /operator/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusMessage {
    /// Name of the reporting node.
    pub node: String,
    /// Incarnation of the reporting node.
    pub incarnation: u64,
    /// Lifecycle state of the reporting node.
    pub state: MemberState,
    /// Whether the node refuses requests with keys because its configuration may be stale or its name
    /// was taken over by another process.
    pub isolated: bool,
    /// Configuration version in force at the node.
    pub config_version: u64,
    /// Newest configuration version known to the node.
    pub newest_version: u64,
    /// Whether the node polls the table service on behalf of its availability zone.
    pub watches_config: bool,
    /// Time since the table service last answered, in milliseconds; `None` before its first answer.
    pub store_age_ms: Option<u64>,
    /// Requests in progress at the node.
    pub in_flight: u32,
    /// Members, sorted by name.
    pub members: Vec<MemberStatus>,
    /// Nodes whose member rows expired without a planned stop.
    pub lapsed: Vec<LapsedStatus>,
    /// Upstreams, sorted by identifier.
    pub upstreams: Vec<UpstreamStatus>,
    /// Peer links refused or dropped, counted by cause.
    pub link_refusals: HashMap<LinkRefusal, u64>,
}

/// Status of one member, as the reporting node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Node name.
    pub node: String,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Region of the VM.
    pub region: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address advertised to callers.
    pub address: String,
    /// Whether the reporting node considers the member live.
    pub live: bool,
    /// Whether callers are directed to the member.
    pub serving: bool,
    /// Time since the member was last heard on a peer link, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Configuration version in force at the member, as last reported.
    pub config_version: u64,
    /// Requests in progress at the node.
    pub in_flight: u32,
}

/// A node whose member row expired without a planned stop.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LapsedStatus {
    /// Node name.
    pub node: String,
    /// Last known configuration version of the node.
    pub config_version: u64,
    /// Time since the row expired, in milliseconds.
    pub since_ms: u64,
}

/// Status of one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Identifier of the upstream VM.
    pub id: String,
    /// Pool that the upstream serves.
    pub pool: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address that requests are sent to.
    pub address: String,
    /// Whether the upstream takes no new requests.
    pub leaving: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Running requests, as last reported.
    pub running: Option<u32>,
}

/// Builds the status report.
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
