//! Membership of the gateway fleet: live peers, their work in progress and how far each has read
//! the store.
//!
//! Nodes exchange pulses, periodic heartbeats over UDP that carry this state. Each availability
//! zone elects a few representatives; its other nodes are followers. A representative sends the
//! work of its zone's followers to all other representatives, and the totals of the fleet to its
//! followers. The number of messages a representative sends thus grows with the size of its zone,
//! while that of a follower stays constant. In a small zone every node is a representative, and all
//! of them hear each other directly.

pub mod announcements;
pub mod node;
pub mod outbound;
pub mod parts;
pub mod sums;
pub mod view;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::pace::PaceSum;
use berylstep_core::fleet::replica::ReplicaLoad;
use berylstep_core::rendezvous;
use berylstep_wire::{
    ClassDemand, FleetPulse, NodeEntry, ReplicaPace, ReplicaWork, RunUsage, ZoneSummary,
};

pub use announcements::DocumentHolder;
pub use node::KnownNode;
use sums::{PaceReports, SummaryBuilder};
use view::{FleetView, ViewCache};

/// Time without a pulse after which a peer no longer counts as live: four lost pulses.
const LIVE_TIMEOUT: Duration = Duration::from_millis(1100);

/// Time for which a node known only by gossip counts as live; gossip is sent once a second.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(2600);

/// Silence after which gossip about a formerly direct peer is trusted again. Gossip about a dead
/// peer has ended by then, so one that is still named is alive and sends its pulses to other nodes
/// only.
const GOSSIP_TRUST_DELAY: Duration = Duration::from_secs(5);

/// Time without a pulse after which a peer is removed from the table.
const FORGET_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a follower's usage is forwarded; the follower repeats each window once a second
/// for as long as it can still be reported.
const USAGE_RETENTION: Duration = Duration::from_millis(2200);

/// Difference in start time from which a node yields the duties to older nodes.
const SENIORITY_MARGIN: Duration = Duration::from_secs(12);

/// Rendezvous key that orders the candidates for the duties; the same at all nodes.
const DUTY_ORDER_KEY: &str = "holder";

/// Number of nodes that receive all usage besides the duty holder: those that may take over at
/// once, and a spare for each of them in case of simultaneous failures.
const STANDBY_REPORTERS: usize = 4;

/// Time without a node that follows the store after which spare followers try to.
const SPARE_FOLLOWER_DELAY: Duration = Duration::from_secs(3);

/// Number of followers in each zone that try to follow the store when its representatives don't.
const SPARE_STORE_FOLLOWERS: usize = 2;

/// Rendezvous key that orders the spare followers of a zone.
const SPARE_ORDER_KEY: &str = "spare";

/// Interval, in pulses, at which other nodes are named. A standby representative names them half as
/// often.
const GOSSIP_PULSE_INTERVAL: u64 = 4;

/// Number of initial pulses of a node that are answered regardless of its role.
const INITIAL_PULSES: u64 = 8;

/// A peer that sends its pulses to this node.
#[derive(Debug)]
pub struct PeerRow {
    /// Latest pulse.
    pub pulse: FleetPulse,
    /// Membership record from that pulse; `None` if its caller address is malformed.
    node: Option<KnownNode>,
    /// Whether the peer is expected to send its pulses here regularly.
    is_regular: bool,
    /// Latest usage for each window, with the time of its arrival.
    usage: Vec<(RunUsage, Duration)>,
    /// Source address of its pulses.
    pub address: SocketAddr,
    /// Monotonic time at which the latest pulse arrived.
    pub received: Duration,
}

impl PeerRow {
    fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.received) < LIVE_TIMEOUT
    }
}

/// A summary and the time of its arrival.
#[derive(Debug)]
struct SummaryRow {
    summary: ZoneSummary,
    /// Sender and sequence number of its pulse.
    source: (SharedName, u64),
    received: Duration,
}

impl SummaryRow {
    fn is_from(&self, (node, sequence): (&str, u64)) -> bool {
        *self.source.0 == *node && self.source.1 == sequence
    }

    fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.received) < LIVE_TIMEOUT
    }
}

/// Peers by name.
type PeerRows = HashMap<SharedName, PeerRow>;

/// The other nodes of the fleet, as known from pulses and gossip.
#[derive(Debug)]
pub struct PeerTable {
    own: KnownNode,
    rows: RefCell<PeerRows>,
    /// Nodes named in the pulses of others, with the time of the latest mention.
    gossip: RefCell<HashMap<SharedName, (KnownNode, Duration)>>,
    /// Followers of other zones, as summarised by their representatives; used by a representative.
    follower_summaries: RefCell<HashMap<SharedName, SummaryRow>>,
    /// Totals of the fleet, as sent by a representative; used by a follower.
    fleet_total: RefCell<Option<SummaryRow>>,
    own_work: RefCell<Vec<ReplicaWork>>,
    own_paces: RefCell<Vec<ReplicaPace>>,
    peak: Cell<usize>,
    view: ViewCache,
    /// Time at which this node, as a follower, last heard from a node that follows the store.
    store_served_at: Cell<Option<Duration>>,
}

impl PeerTable {
    /// Creates an empty table for the node `own`.
    pub fn new(own: KnownNode) -> Self {
        Self {
            own,
            rows: RefCell::default(),
            gossip: RefCell::default(),
            follower_summaries: RefCell::default(),
            fleet_total: RefCell::default(),
            own_work: RefCell::default(),
            own_paces: RefCell::default(),
            peak: Cell::new(1),
            view: ViewCache::default(),
            store_served_at: Cell::default(),
        }
    }

    /// Returns the live nodes and the representatives elected among them.
    pub fn view(&self, now: Duration) -> Rc<FleetView> {
        self.view.get_or(now, || FleetView::new(self.collect_nodes(now), &self.own, now))
    }

    /// Returns the live peers, known directly or by gossip.
    pub fn nodes(&self, now: Duration) -> Vec<KnownNode> {
        self.view(now).nodes.clone()
    }

    fn collect_nodes(&self, now: Duration) -> Vec<KnownNode> {
        let mut nodes = self.direct_nodes(now);
        let rows = self.rows.borrow();
        let gossip = self.gossip.borrow();
        let gossiped = gossip.values().filter(|(node, at)| {
            // Gossip must not revive a direct peer that has only just fallen silent.
            let silent = rows
                .get(&node.node)
                .filter(|row| row.is_regular)
                .map(|row| now.saturating_sub(row.received));
            let is_direct = rows.get(&node.node).is_some_and(|row| row.is_live(now));
            now.saturating_sub(*at) < GOSSIP_TIMEOUT
                && !is_direct
                && silent.is_none_or(|silent| silent > GOSSIP_TRUST_DELAY)
        });
        nodes.extend(gossiped.map(|(node, _)| node.clone()));
        nodes
    }

    /// Returns the live peers whose pulses arrive here directly.
    pub fn direct_nodes(&self, now: Duration) -> Vec<KnownNode> {
        let rows = self.rows.borrow();
        live(&rows, now).filter_map(|row| row.node.clone()).collect()
    }

    /// Returns whether the pulse with this number names other nodes.
    pub fn is_gossip_due(&self, number: u64, now: Duration) -> bool {
        let interval = match self.rank_in_zone(now) {
            Some(rank) if rank > 0 => 2 * GOSSIP_PULSE_INTERVAL,
            _ => GOSSIP_PULSE_INTERVAL,
        };
        number % interval == 0
    }

    /// Returns the nodes to name in gossip: the representatives, and those of this zone if this node
    /// is a representative. Only nodes whose pulses arrive here are named; otherwise nodes that
    /// name each other's gossip would keep a dead one alive.
    pub fn gossip_entries(&self, now: Duration) -> Vec<NodeEntry> {
        let view = self.view(now);
        let names_zone = view.rank.is_some();
        let rows = self.rows.borrow();
        let nodes = live(&rows, now).filter_map(|row| row.node.as_ref());
        let named = nodes.filter(|node| {
            view.is_representative(&node.node) || (names_zone && node.zone == self.own.zone)
        });
        named.map(KnownNode::entry).collect()
    }

    /// Returns the representatives for the gossip to a node that has just started, which learns the
    /// other nodes from them.
    pub fn representative_entries(&self, now: Duration) -> Vec<NodeEntry> {
        let view = self.view(now);
        let rows = self.rows.borrow();
        let nodes = live(&rows, now).filter_map(|row| row.node.as_ref());
        let named = nodes.filter(|node| view.is_representative(&node.node));
        named.map(KnownNode::entry).collect()
    }

    /// Returns whether this node exchanges pulses with the representatives of its zone, so that it
    /// does not depend on the seeds.
    pub fn is_connected(&self, now: Duration) -> bool {
        let view = self.view(now);
        let rows = self.rows.borrow();
        let hears = |node: &KnownNode| rows.get(&node.node).is_some_and(|row| row.is_live(now));
        let mut zone = view.representatives.iter().filter(|node| node.zone == self.own.zone);
        match view.rank {
            Some(_) => view.representatives.iter().any(hears),
            None => zone.any(hears),
        }
    }

    /// Returns the highest number of nodes seen live at once, including this one.
    pub fn peak_nodes(&self) -> usize {
        self.peak.get()
    }

    /// Returns whether this node hears from most of the nodes that it has ever heard from at once, so that it
    /// isn't cut off with a few others.
    pub fn sees_most_nodes(&self, now: Duration) -> bool {
        2 * (self.view(now).nodes.len() + 1) > self.peak_nodes()
    }

    /// Returns the representatives of all zones, including this node if it is one.
    pub fn representatives(&self, now: Duration) -> Vec<KnownNode> {
        self.view(now).representatives.clone()
    }

    /// Returns the number of live nodes that ask for slots of brittle replicas, and that of all nodes
    /// that were live lately, both including this one.
    pub fn slot_participants(&self, now: Duration) -> (usize, usize) {
        let view = self.view(now);
        let participants = view.nodes.iter().filter(|node| node.keeps_slots).count() + 1;
        let (rows, gossip) = (self.rows.borrow(), self.gossip.borrow());
        let only_gossip = gossip.keys().filter(|name| !rows.contains_key(*name)).count();
        (participants, rows.len() + only_gossip + 1)
    }

    /// Returns whether this node is a representative of its zone.
    pub fn is_representative(&self, now: Duration) -> bool {
        self.rank_in_zone(now).is_some()
    }

    /// Returns this node's rank among the representatives of its zone, from 0; `None` if it is not
    /// one.
    pub fn rank_in_zone(&self, now: Duration) -> Option<usize> {
        self.view(now).rank
    }

    /// Returns the representatives in the order in which they may take over the duties. Recently
    /// started nodes are excluded, because only older ones hold the counts of nodes that have ended
    /// since.
    pub fn duty_order(&self, now: Duration) -> Vec<KnownNode> {
        let mut nodes = self.representatives(now);
        let oldest = nodes.iter().map(|node| node.incarnation).min().unwrap_or_default();
        let latest_start = oldest + SENIORITY_MARGIN.as_millis() as u64;
        nodes.retain(|node| node.incarnation <= latest_start);
        nodes.sort_by_cached_key(|node| Reverse(rendezvous::score(DUTY_ORDER_KEY, &node.node)));
        nodes
    }

    /// Returns the nodes that report usage or may soon take over its reporting: the holder of the
    /// duties and the first nodes of the duty order.
    pub fn usage_reporters(&self, now: Duration) -> Vec<SharedName> {
        let order = self.duty_order(now).into_iter().take(STANDBY_REPORTERS);
        let mut reporters: Vec<_> = order.map(|node| node.node).collect();
        let rows = self.rows.borrow();
        let holders = live(&rows, now).filter(|row| row.pulse.duty_fencing > 0);
        reporters.extend(holders.map(|row| SharedName::from(&*row.pulse.node)));
        reporters
    }

    /// Returns whether this node must follow the store itself. A representative must if too few of
    /// its predecessors in the order do. A follower must if it hears from no representative of its
    /// zone; where these don't follow the store for long, a few followers try, because the store may
    /// turn away the representatives only.
    pub fn must_follow_store(&self, now: Duration) -> bool {
        let view = self.view(now);
        let rows = self.rows.borrow();
        if view.rank.is_none() {
            let is_served = live(&rows, now).any(|row| row.pulse.follows_store);
            if is_served || self.store_served_at.get().is_none_or(|at| at > now) {
                self.store_served_at.set(Some(now));
            }
            let served_at = self.store_served_at.get().unwrap_or(now);
            let is_spare = now.saturating_sub(served_at) >= SPARE_FOLLOWER_DELAY
                && self.rank_among_followers(&view) < SPARE_STORE_FOLLOWERS;
            let hears_representative = live(&rows, now).any(|row| {
                *row.pulse.zone == *self.own.zone && view.is_representative(&row.pulse.node)
            });
            return !is_served && (is_spare || !hears_representative);
        }
        let follows = |node: &KnownNode| {
            let row = rows.get(&node.node).filter(|row| row.is_live(now));
            row.is_some_and(|row| row.pulse.follows_store)
        };
        let order = node::store_follower_order(&view.representatives);
        let rank = order.iter().position(|node| node.node == self.own.node).unwrap_or_default();
        let required = node::required_store_followers(&order);
        order[..rank].iter().filter(|node| follows(node)).count() < required
    }

    /// Returns this node's position among the known followers of its zone, the same at all of them.
    fn rank_among_followers(&self, view: &FleetView) -> usize {
        let score = |name: &str| rendezvous::score(SPARE_ORDER_KEY, name);
        let own = score(&self.own.node);
        let followers = view
            .nodes
            .iter()
            .filter(|node| node.zone == self.own.zone && !view.is_representative(&node.node));
        followers.filter(|node| score(&node.node) > own).count()
    }

    /// Returns the demand reported by the other nodes.
    pub fn demand(&self, now: Duration) -> Vec<ClassDemand> {
        let mut builder = SummaryBuilder::default();
        self.sum_others(&mut builder, now);
        builder.build("").demand
    }

    /// Returns the highest fencing token under which another node holds the duties; 0 if none does.
    pub fn duty_fencing(&self, now: Duration) -> u64 {
        let rows = self.rows.borrow();
        let holding = live(&rows, now).filter(|row| !row.pulse.leaving);
        let direct = holding.map(|row| row.pulse.duty_fencing).max().unwrap_or_default();
        let mut summarised = 0;
        self.for_summaries(now, |summary| summarised = summary.duty_fencing.max(summarised));
        direct.max(summarised)
    }

    /// Returns the work in progress at the other nodes, by replica hash.
    pub fn loads(&self, now: Duration) -> HashMap<u32, ReplicaLoad> {
        let mut builder = SummaryBuilder::default();
        self.sum_others(&mut builder, now);
        let mut sums = builder.into_loads();
        if !self.is_representative(now) {
            // The total includes this node's last report.
            for work in self.own_work.borrow().iter() {
                let sum = sums.entry(work.replica).or_default();
                sum.requests = sum.requests.saturating_sub(work.requests);
                sum.work = sum.work.saturating_sub(work.work);
            }
        }
        sums
    }

    /// Returns the observations of paces by the other nodes. To be called before [`Self::record_own_paces`], when a
    /// follower's last report has had time to enter the total.
    pub fn paces(&self, now: Duration) -> PaceReports {
        let mut builder = SummaryBuilder::default();
        self.sum_others(&mut builder, now);
        let mut reports = builder.into_paces();
        if !self.is_representative(now) {
            // The total includes this node's last report.
            for pace in self.own_paces.borrow().iter() {
                let own = PaceSum { logs: pace.logs, weight: pace.weight };
                if let Some(sum) = reports.sums.get_mut(&pace.replica) {
                    sum.subtract(own);
                }
            }
        }
        reports
    }

    /// Adds the reports of the other nodes to `builder`. At a follower they include its own.
    fn sum_others(&self, builder: &mut SummaryBuilder, now: Duration) {
        if self.is_representative(now) {
            let rows = self.rows.borrow();
            self.counted(&rows, now).for_each(|row| builder.add_pulse(&row.pulse));
        }
        self.for_summaries(now, |summary| builder.add_summary(summary));
    }

    /// Records the work that this node last reported as its own.
    pub fn record_own_work(&self, work: Vec<ReplicaWork>) {
        *self.own_work.borrow_mut() = work;
    }

    /// Records the observations of paces that this node last reported as its own.
    pub fn record_own_paces(&self, paces: Vec<ReplicaPace>) {
        *self.own_paces.borrow_mut() = paces;
    }

    /// Records a pulse; returns `false` if it is not newer than the latest one of that node.
    pub fn record_pulse(&self, mut pulse: FleetPulse, from: SocketAddr, now: Duration) -> bool {
        let name = SharedName::from(&*pulse.node);
        let is_representative = self.view(now).is_representative(&name);
        let mut rows = self.rows.borrow_mut();
        let known = rows.get_mut(&name);
        let newer = known.as_ref().is_none_or(|row| {
            (row.pulse.incarnation, row.pulse.sequence) < (pulse.incarnation, pulse.sequence)
        });
        if !newer {
            return false;
        }
        if known.as_ref().is_none_or(|row| row.pulse.incarnation != pulse.incarnation) {
            log::info!(
                "event=peer_found peer={name} address={from} incarnation={}",
                pulse.incarnation
            );
        }
        let mut usage = known.map(|row| std::mem::take(&mut row.usage)).unwrap_or_default();
        usage.retain(|(_, received)| now.saturating_sub(*received) < USAGE_RETENTION);
        for sent in &pulse.usage {
            usage.retain(|(run, _)| run.usage.as_ref().is_some_and(|u| u.window != sent.window));
            let run = RunUsage {
                node: pulse.node.clone(),
                incarnation: pulse.incarnation,
                usage: Some(sent.clone()),
            };
            usage.push((run, now));
        }
        let node = KnownNode::from_pulse(&pulse, from);
        let is_regular = is_representative || *pulse.zone == *self.own.zone;
        let gossip = GossipPart::take(&mut pulse);
        let source = (name.clone(), pulse.sequence);
        let row = PeerRow { pulse, node, is_regular, usage, address: from, received: now };
        let changed = rows.get(&name).is_none_or(|old| old.node != row.node || !old.is_live(now));
        rows.insert(name, row);
        drop(rows);
        if changed {
            self.view.invalidate();
        }
        self.record_gossip(gossip, source, now);
        true
    }

    fn record_gossip(&self, part: GossipPart, source: (SharedName, u64), now: Duration) {
        self.record_nodes(&part.nodes, now);
        if let Some(summary) = part.spoken_for {
            let row = SummaryRow { summary, source: source.clone(), received: now };
            self.follower_summaries.borrow_mut().insert((&*row.summary.zone).into(), row);
        }
        if let Some(summary) = part.fleet {
            *self.fleet_total.borrow_mut() = Some(SummaryRow { summary, source, received: now });
        }
    }

    fn record_nodes(&self, nodes: &[NodeEntry], now: Duration) {
        let mut gossip = self.gossip.borrow_mut();
        for node in nodes.iter().filter_map(KnownNode::from_entry) {
            if node.node != self.own.node {
                let known = gossip.insert(node.node.clone(), (node.clone(), now));
                if known.is_none_or(|(known, _)| known != node) {
                    self.view.invalidate();
                }
            }
        }
    }

    /// Removes peers that have been silent for too long, and updates the peak number of live nodes.
    pub fn expire(&self, now: Duration) {
        self.rows.borrow_mut().retain(|name, row| {
            let retained = now.saturating_sub(row.received) < FORGET_TIMEOUT;
            if !retained {
                log::info!("event=peer_forgotten peer={name} reason=silent");
            }
            retained
        });
        self.gossip.borrow_mut().retain(|_, (_, at)| now.saturating_sub(*at) < FORGET_TIMEOUT);
        self.peak.set(self.peak.get().max(self.heard_nodes(now)));
    }

    /// Returns the number of nodes that this node hears from, directly or in summaries, including this one.
    pub fn heard_nodes(&self, now: Duration) -> usize {
        let mut summed = 0;
        self.for_summaries(now, |summary| summed += summary.nodes as usize);
        let direct = match self.is_representative(now) {
            true => self.counted(&self.rows.borrow(), now).count() + 1,
            false => 0,
        };
        direct + summed
    }

    /// Returns whether a node that this one hears from follows the store.
    pub fn hears_store_follower(&self, now: Duration) -> bool {
        live(&self.rows.borrow(), now).any(|row| row.pulse.follows_store)
    }

    /// Returns the sums of this node and all others, as sent to followers; `own` is this node's
    /// pulse.
    fn fleet_summary(&self, own: &FleetPulse, now: Duration) -> ZoneSummary {
        let mut builder = SummaryBuilder::default();
        builder.add_pulse(own);
        self.sum_others(&mut builder, now);
        builder.build("")
    }

    /// Returns the addresses of peers that have just started or hear no representative, which receive
    /// a pulse regardless of their role.
    pub fn new_peers(&self, now: Duration) -> Vec<SocketAddr> {
        let rows = self.rows.borrow();
        let is_new = |row: &&PeerRow| row.pulse.sequence <= INITIAL_PULSES || row.pulse.isolated;
        live(&rows, now).filter(is_new).map(|row| row.address).collect()
    }

    /// Returns the addresses of regular peers that have fallen silent and are not yet forgotten.
    pub fn silent_peers(&self, now: Duration) -> Vec<SocketAddr> {
        let rows = self.rows.borrow();
        let silent = rows.values().filter(|row| row.is_regular && !row.is_live(now));
        silent.map(|row| row.address).collect()
    }

    /// Returns the peers counted by their own pulses: representatives and the nodes of this zone.
    /// Other nodes may also send pulses here, for example because this node is a seed, but are
    /// counted in the summaries of their representatives.
    fn counted<'a>(
        &'a self,
        rows: &'a PeerRows,
        now: Duration,
    ) -> impl Iterator<Item = &'a PeerRow> {
        let view = self.view(now);
        live(rows, now).filter(move |row| {
            *row.pulse.zone == *self.own.zone || view.is_representative(&row.pulse.node)
        })
    }

    /// Calls `visit` for each summary of nodes that are not counted by their own pulses.
    fn for_summaries(&self, now: Duration, mut visit: impl FnMut(&ZoneSummary)) {
        if !self.is_representative(now) {
            let total = self.fleet_total.borrow();
            total.iter().filter(|row| row.is_live(now)).for_each(|row| visit(&row.summary));
            return;
        }
        let rows = self.follower_summaries.borrow();
        let others = rows.values().filter(|row| *row.summary.zone != *self.own.zone);
        others.filter(|row| row.is_live(now)).for_each(|row| visit(&row.summary));
    }
}

/// Parts of a pulse that concern other nodes than its sender.
#[derive(Debug)]
struct GossipPart {
    nodes: Vec<NodeEntry>,
    spoken_for: Option<ZoneSummary>,
    fleet: Option<ZoneSummary>,
}

impl GossipPart {
    /// Moves these parts out of a pulse, so that the retained pulse stays small.
    fn take(pulse: &mut FleetPulse) -> Self {
        pulse.usage = Vec::new();
        pulse.replica_delta = None;
        pulse.replica_limits = Vec::new();
        pulse.brittle_replicas = Vec::new();
        Self {
            nodes: std::mem::take(&mut pulse.nodes),
            spoken_for: pulse.spoken_for.take().map(|mut summary| {
                summary.usage = Vec::new();
                summary
            }),
            fleet: pulse.fleet.take(),
        }
    }
}

fn live(rows: &PeerRows, now: Duration) -> impl Iterator<Item = &PeerRow> + '_ {
    rows.values().filter(move |row| row.is_live(now))
}
