//! Peer links: accepts and dials links between nodes, exchanges pulses and dispatches messages.
//!
//! A pulse is the periodic heartbeat between nodes, which also carries load and versions.

pub mod handshake;
pub mod link;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylstep_core::collections::HashSet;
use berylstep_core::member::{MemberState, PULSE_INTERVAL};
use berylstep_wire::frame::Body;
use berylstep_wire::Pulse;
use smol::net::{TcpListener, TcpStream};

use handshake::HandshakeError;
pub use link::PeerMesh;

use crate::burn;
use crate::node::NodeContext;
use crate::upstream::leaving;
use crate::{slots, tail, usage};

/// Timeout for connecting and authenticating.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval for dialling members without a link.
const DIAL_INTERVAL: Duration = Duration::from_millis(300);

/// Number of sent pulses whose times are kept; an echo of an older pulse proves no recent contact.
const MAX_LOGGED_PULSES: usize = 32;

/// Accepts links from other nodes for as long as the node runs.
pub async fn listen(node: Arc<NodeContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => smol::spawn(accept(node.clone(), stream)).detach(),
            Err(err) => {
                log::warn!("cannot accept a peer link: {err}");
                node.clock.sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn accept(node: Arc<NodeContext>, stream: TcpStream) {
    let handshake = handshake::accept(&node, stream);
    match node.clock.timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Some(Ok(session)) => link::run(node, session).await,
        Some(Err(err)) => record_refusal(&node, &err),
        None => record_refusal(&node, &HandshakeError::Timeout),
    }
}

fn record_refusal(node: &NodeContext, err: &HandshakeError) {
    log::warn!("peer link refused: {err}");
    node.metrics.rejected_peers.inc();
    node.peers.count_refusal(err.refusal());
}

/// Keeps one link to each member; of two nodes, the one with the lower name dials.
///
/// A joining node dials every member, since the others have not read its row yet.
pub async fn dial_members(node: Arc<NodeContext>) {
    loop {
        let linked: HashSet<_> = node.peers.connected().into_iter().collect();
        let now = node.clock.now();
        let targets: Vec<_> = {
            let members = node.members();
            let is_joining = node.state() == MemberState::Joining;
            let missing = members.all().filter(|member| {
                let other = &member.row.node;
                let dials = *other > node.settings.node || is_joining;
                dials && *other != node.settings.node && !linked.contains(other)
            });
            missing.filter(|member| member.is_row_fresh(now)).map(|m| m.row.clone()).collect()
        };
        let dials =
            targets.into_iter().map(|row| smol::spawn(dial(node.clone(), row.peer_address)));
        let dials: Vec<_> = dials.collect();
        for dial in dials {
            dial.await;
        }
        node.clock.sleep(DIAL_INTERVAL).await;
    }
}

async fn dial(node: Arc<NodeContext>, address: std::net::SocketAddr) {
    let handshake = async {
        let stream = TcpStream::connect(address).await?;
        handshake::dial(&node, stream).await
    };
    match node.clock.timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Some(Ok(session)) => smol::spawn(link::run(node.clone(), session)).detach(),
        Some(Err(err)) => log::debug!("cannot open a peer link: address={address} error={err}"),
        None => log::debug!("cannot open a peer link: address={address} error=timeout"),
    }
}

/// Send times of this node's latest pulses, by sequence number.
#[derive(Debug, Default)]
pub struct PulseLog {
    sent: Mutex<VecDeque<(u64, Duration)>>,
}

impl PulseLog {
    /// Records a pulse sent at `now` and returns its sequence number.
    fn record_next(&self, now: Duration) -> u64 {
        let mut sent = self.sent.lock().expect("pulse lock");
        let sequence = sent.back().map_or(1, |(newest, _)| newest + 1);
        sent.push_back((sequence, now));
        if sent.len() > MAX_LOGGED_PULSES {
            sent.pop_front();
        }
        sequence
    }

    /// Returns the send time of a pulse; `None` if it is too old or was not sent by this node.
    fn sent_at(&self, sequence: u64) -> Option<Duration> {
        let sent = self.sent.lock().expect("pulse lock");
        sent.iter().find(|(logged, _)| *logged == sequence).map(|(_, at)| *at)
    }
}

/// Sends a pulse on every link at [`PULSE_INTERVAL`] for as long as the node runs.
pub async fn send_pulses(node: Arc<NodeContext>) {
    loop {
        announce(&node);
        node.clock.sleep(PULSE_INTERVAL).await;
    }
}

/// Sends a pulse on every link immediately, such as after a change of this node's state.
pub fn announce(node: &NodeContext) {
    let sequence = node.pulses.record_next(node.clock.now());
    node.peers.broadcast_pulse(&pulse(node, sequence));
}

fn pulse(node: &NodeContext, sequence: u64) -> Pulse {
    Pulse {
        sequence,
        leaving: node.state() != MemberState::Serving,
        config_version: node.config.read().expect("config lock").version(),
        in_flight: node.in_flight(),
        store_age_ms: node.store_age().map_or(u64::MAX, |age| age.as_millis() as u64),
        pools: slots::pool_loads(node),
        upstreams: leaving::own_notices(node),
        requests: node.demand.pool_requests(),
        // Set per link by `PeerMesh::broadcast_pulse`.
        echo: 0,
    }
}

fn observe_pulse(node: &NodeContext, from: &str, pulse: &Pulse) {
    let now = node.clock.now();
    let store_age = Duration::from_millis(pulse.store_age_ms);
    let echoed = node.pulses.sent_at(pulse.echo);
    leaving::observe_notices(node, &pulse.upstreams);
    node.demand.observe(now, from, &pulse.requests);
    node.peers.record_pulse(from, pulse.sequence);
    {
        let mut members = node.members();
        members.observe_pulse(now, from, pulse.leaving, pulse.in_flight);
        members.observe_progress(from, pulse.config_version, store_age);
        if let Some(sent) = echoed {
            members.observe_echo(from, sent);
        }
    }
    slots::record_activity(node, from);
    node.follower.record_newest(node, pulse.config_version);
    if let Some(sent) = echoed {
        node.record_config_contact(sent);
    }
    slots::record_activity(node, from);
}

/// Dispatches a message from peer `from` to its handler.
pub fn dispatch(node: &Arc<NodeContext>, from: &str, body: Body) {
    match body {
        Body::Pulse(pulse) => observe_pulse(node, from, &pulse),
        Body::UsageCopy(copy) => usage::copies::observe(node, copy),
        Body::ConfigEntries(entries) => tail::observe_entries(node, entries),
        Body::ConfigRequest(request) => tail::answer_request(node, from, &request),
        Body::Challenge(_) | Body::Hello(_) => {
            log::warn!("unexpected handshake message on an open link: peer={from}");
        }
        Body::FleetQuery(_)
        | Body::FleetCopy(_)
        | Body::PieceQuery(_)
        | Body::PieceCopy(_)
        | Body::PieceEnd(_) => {
            log::warn!("unexpected gateway message on a peer link: peer={from}");
        }
        Body::BurnRequest(request) => burn::reply(node, from, &request),
        Body::BurnReply(reply) => burn::receive(node, reply),
        Body::BurnHandover(handover) => burn::import_handover(node, handover),
        Body::SlotAsk(_)
        | Body::SlotAnswer(_)
        | Body::SlotReturn(_)
        | Body::SlotRecall(_)
        | Body::SlotReport(_)
        | Body::SlotQuery(_)
        | Body::SlotBeat(_)
        | Body::SlotStarted(_)
        | Body::SlotRenewal(_)
        | Body::UpstreamLoads(_)
        | Body::LimitTotals(_) => slots::receive(node, from, body),
    }
}
