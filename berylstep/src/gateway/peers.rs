//! Membership of the gateway fleet: live peers, their work in progress and how far each has read
//! the store.
//!
//! Nodes exchange pulses, periodic heartbeats over UDP that carry this state. Each availability
//! zone elects a few representatives; its other nodes are followers. A representative sends the
//! work of its zone's followers to all other representatives, and the totals of all zones to its
//! followers. The number of messages a representative sends thus grows with the size of its zone,
//! while that of a follower stays constant. In a small zone every node is a representative, and all
//! of them hear each other directly.

pub mod node;
pub mod outbound;
pub mod sums;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::replica::ReplicaLoad;
use berylstep_core::rendezvous;
use berylstep_wire::{ClassDemand, FleetPulse, ReplicaWork, RunUsage, ZoneSummary};

pub use node::KnownNode;
use sums::{add_pulse, add_summary, add_work};

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

/// Number of initial pulses of a node that are answered regardless of its role.
const INITIAL_PULSES: u64 = 8;

/// A peer that sends its pulses to this node.
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Latest pulse.
    pub pulse: FleetPulse,
    /// Latest usage for each window, with the time of its arrival.
    usage: Vec<(RunUsage, Duration)>,
    /// Source address of its pulses.
    pub address: SocketAddr,
    /// Monotonic time at which the latest pulse arrived.
    pub received: Duration,
}

impl PeerRow {
    /// Returns the membership record of the peer; `None` if its caller address is malformed.
    fn known_node(&self) -> Option<KnownNode> {
        KnownNode::from_pulse(&self.pulse, self.address)
    }
}

/// A zone summary and the time of its arrival.
#[derive(Clone, Debug)]
struct SummaryRow {
    summary: ZoneSummary,
    received: Duration,
}

/// The other nodes of the fleet, as known from pulses and gossip.
#[derive(Debug)]
pub struct PeerTable {
    own: KnownNode,
    rows: RefCell<HashMap<SharedName, PeerRow>>,
    /// Nodes named in the pulses of others, with the time of the latest mention.
    gossip: RefCell<HashMap<SharedName, (KnownNode, Duration)>>,
    /// Followers of other zones, as summarised by their representatives; used by a representative.
    follower_summaries: RefCell<HashMap<SharedName, SummaryRow>>,
    /// Totals of whole zones, as sent by a representative; used by a follower.
    zone_totals: RefCell<HashMap<SharedName, SummaryRow>>,
    own_work: RefCell<Vec<ReplicaWork>>,
    peak: Cell<usize>,
}

impl PeerTable {
    /// Creates an empty table for the node `own`.
    pub fn new(own: KnownNode) -> Self {
        Self {
            own,
            rows: RefCell::default(),
            gossip: RefCell::default(),
            follower_summaries: RefCell::default(),
            zone_totals: RefCell::default(),
            own_work: RefCell::default(),
            peak: Cell::new(1),
        }
    }

    /// Returns the live peers, known directly or by gossip.
    pub fn nodes(&self, now: Duration) -> Vec<KnownNode> {
        let mut nodes: Vec<_> =
            self.live_rows(now).iter().filter_map(PeerRow::known_node).collect();
        let rows = self.rows.borrow();
        let gossip = self.gossip.borrow();
        let gossiped = gossip.values().filter(|(node, at)| {
            // Gossip must not revive a direct peer that has only just fallen silent.
            let silent = rows.get(&node.node).map(|row| now.saturating_sub(row.received));
            now.saturating_sub(*at) < GOSSIP_TIMEOUT
                && silent.is_none_or(|silent| silent > GOSSIP_TRUST_DELAY)
        });
        nodes.extend(gossiped.map(|(node, _)| node.clone()));
        nodes
    }

    /// Returns the live peers whose pulses arrive here directly.
    pub fn direct_nodes(&self, now: Duration) -> Vec<KnownNode> {
        self.live_rows(now).iter().filter_map(PeerRow::known_node).collect()
    }

    /// Returns the highest number of nodes seen live at once, including this one.
    pub fn peak_nodes(&self) -> usize {
        self.peak.get()
    }

    /// Returns the representatives of all zones, including this node if it is one.
    pub fn representatives(&self, now: Duration) -> Vec<KnownNode> {
        let mut nodes = self.nodes(now);
        nodes.push(self.own.clone());
        node::representatives(nodes)
    }

    /// Returns whether this node is a representative of its zone.
    pub fn is_representative(&self, now: Duration) -> bool {
        self.rank_in_zone(now).is_some()
    }

    /// Returns this node's rank among the representatives of its zone, from 0; `None` if it is not
    /// one.
    pub fn rank_in_zone(&self, now: Duration) -> Option<usize> {
        let representatives = self.representatives(now);
        let mut zone = representatives.iter().filter(|node| node.zone == self.own.zone);
        zone.position(|node| node.node == self.own.node)
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
        let rows = self.live_rows(now);
        let holders = rows.iter().filter(|row| row.pulse.duty_fencing > 0);
        reporters.extend(holders.map(|row| SharedName::from(&*row.pulse.node)));
        reporters
    }

    /// Returns whether this node must follow the store itself. A representative must if too few of
    /// its predecessors in the order do; a follower must if it hears from no node that does.
    pub fn must_follow_store(&self, now: Duration) -> bool {
        let rows = self.live_rows(now);
        let follows = |node: &KnownNode| {
            rows.iter().any(|row| *row.pulse.node == *node.node && row.pulse.follows_store)
        };
        let order = node::store_follower_order(&self.representatives(now));
        let rank = order.iter().position(|node| node.node == self.own.node);
        match rank {
            Some(rank) => {
                let required = node::required_store_followers(&order);
                order[..rank].iter().filter(|node| follows(node)).count() < required
            }
            None => !rows.iter().any(|row| row.pulse.follows_store),
        }
    }

    /// Returns the demand reported by the other nodes.
    pub fn demand(&self, now: Duration) -> Vec<ClassDemand> {
        let rows = self.counted_rows(now);
        let direct = rows.iter().flat_map(|row| row.pulse.demand.clone());
        let summaries = self.summaries(now);
        let summed = summaries.iter().flat_map(|summary| summary.demand.clone());
        match self.is_representative(now) {
            true => direct.chain(summed).collect(),
            false => summed.collect(),
        }
    }

    /// Returns the highest fencing token under which another node holds the duties; 0 if none does.
    pub fn duty_fencing(&self, now: Duration) -> u64 {
        let rows = self.live_rows(now);
        let holding = rows.iter().filter(|row| !row.pulse.leaving);
        let direct = holding.map(|row| row.pulse.duty_fencing);
        let summaries = self.summaries(now);
        direct.chain(summaries.iter().map(|summary| summary.duty_fencing)).max().unwrap_or_default()
    }

    /// Returns the name and address of the peer furthest ahead of the desired-state version
    /// `desired` or the replica revision `replicas`.
    pub fn most_advanced(
        &self,
        desired: u64,
        replicas: u64,
        now: Duration,
    ) -> Option<(SharedName, SocketAddr)> {
        let rows = self.live_rows(now);
        let ahead = rows.iter().filter(|row| {
            row.pulse.desired_version > desired || row.pulse.replica_revision > replicas
        });
        let furthest =
            ahead.max_by_key(|row| (row.pulse.desired_version, row.pulse.replica_revision))?;
        Some(((&*furthest.pulse.node).into(), furthest.address))
    }

    /// Returns the work in progress at the other nodes, by replica hash.
    pub fn loads(&self, now: Duration) -> HashMap<u32, ReplicaLoad> {
        let mut sums: HashMap<u32, ReplicaLoad> = HashMap::default();
        if self.is_representative(now) {
            let rows = self.counted_rows(now);
            rows.iter().for_each(|row| add_work(&mut sums, &row.pulse.work));
        }
        let summaries = self.summaries(now);
        summaries.iter().for_each(|summary| add_work(&mut sums, &summary.work));
        if !self.is_representative(now) {
            // The zone's total includes this node's last report.
            for work in self.own_work.borrow().iter() {
                let sum = sums.entry(work.replica).or_default();
                sum.requests = sum.requests.saturating_sub(work.requests);
                sum.work = sum.work.saturating_sub(work.work);
            }
        }
        sums
    }

    /// Records the work that this node last reported as its own.
    pub fn record_own_work(&self, work: Vec<ReplicaWork>) {
        *self.own_work.borrow_mut() = work;
    }

    /// Records a pulse; returns `false` if it is not newer than the latest one of that node.
    pub fn record_pulse(&self, pulse: FleetPulse, from: SocketAddr, now: Duration) -> bool {
        let name = SharedName::from(&*pulse.node);
        let mut rows = self.rows.borrow_mut();
        let known = rows.get(&name);
        let newer = known.is_none_or(|row| {
            (row.pulse.incarnation, row.pulse.sequence) < (pulse.incarnation, pulse.sequence)
        });
        if !newer {
            return false;
        }
        if known.is_none_or(|row| row.pulse.incarnation != pulse.incarnation) {
            log::info!(
                "event=peer_found peer={name} address={from} incarnation={}",
                pulse.incarnation
            );
        }
        self.record_gossip(&pulse, now);
        let mut usage = known.map(|row| row.usage.clone()).unwrap_or_default();
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
        rows.insert(name, PeerRow { pulse, usage, address: from, received: now });
        true
    }

    fn record_gossip(&self, pulse: &FleetPulse, now: Duration) {
        let mut gossip = self.gossip.borrow_mut();
        for node in pulse.nodes.iter().filter_map(KnownNode::from_entry) {
            if node.node != self.own.node {
                gossip.insert(node.node.clone(), (node, now));
            }
        }
        let record = |rows: &RefCell<HashMap<SharedName, SummaryRow>>, summary: &ZoneSummary| {
            let row = SummaryRow { summary: summary.clone(), received: now };
            rows.borrow_mut().insert((&*summary.zone).into(), row);
        };
        if let Some(summary) = &pulse.spoken_for {
            record(&self.follower_summaries, summary);
        }
        pulse.zones.iter().for_each(|summary| record(&self.zone_totals, summary));
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
        let summed: u32 = self.summaries(now).iter().map(|summary| summary.nodes).sum();
        let direct = match self.is_representative(now) {
            true => self.counted_rows(now).len() + 1,
            false => 0,
        };
        self.peak.set(self.peak.get().max(direct + summed as usize));
    }

    /// Returns the live followers in this node's zone.
    fn followers(&self, now: Duration) -> Vec<PeerRow> {
        let representatives = self.representatives(now);
        let is_follower = |row: &PeerRow| {
            *row.pulse.zone == *self.own.zone
                && !representatives.iter().any(|node| *node.node == *row.pulse.node)
        };
        self.live_rows(now).into_iter().filter(is_follower).collect()
    }

    /// Sums the state of the followers; usage is included on request.
    fn followers_summary(&self, followers: &[PeerRow], with_usage: bool) -> ZoneSummary {
        let mut summary = ZoneSummary { zone: self.own.zone.to_string(), ..Default::default() };
        for row in followers {
            add_pulse(&mut summary, &row.pulse);
            if with_usage {
                summary.usage.extend(row.usage.iter().map(|(run, _)| run.clone()));
            }
        }
        summary
    }

    /// Returns the totals of all zones, as sent to followers; `own` is this node's pulse.
    fn all_zones(&self, own: &FleetPulse, now: Duration) -> Vec<ZoneSummary> {
        let mut zones: HashMap<SharedName, ZoneSummary> = HashMap::default();
        for pulse in self.counted_rows(now).iter().map(|row| &row.pulse).chain([own]) {
            add_pulse(zones.entry((&*pulse.zone).into()).or_default(), pulse);
        }
        for summary in self.summaries(now) {
            let zone = zones.entry((&*summary.zone).into()).or_default();
            add_summary(zone, &summary);
        }
        for (name, zone) in &mut zones {
            zone.zone = name.to_string();
        }
        zones.into_values().collect()
    }

    /// Returns the addresses of peers that have just started, which receive a pulse regardless of
    /// their role.
    pub fn new_peers(&self, now: Duration) -> Vec<SocketAddr> {
        let rows = self.live_rows(now);
        let started = rows.iter().filter(|row| row.pulse.sequence <= INITIAL_PULSES);
        started.map(|row| row.address).collect()
    }

    /// Returns the addresses of peers that have fallen silent and are not yet forgotten.
    pub fn silent_peers(&self, now: Duration) -> Vec<SocketAddr> {
        let rows = self.rows.borrow();
        let silent = rows.values().filter(|row| now.saturating_sub(row.received) >= LIVE_TIMEOUT);
        silent.map(|row| row.address).collect()
    }

    fn live_rows(&self, now: Duration) -> Vec<PeerRow> {
        let rows = self.rows.borrow();
        rows.values()
            .filter(|row| now.saturating_sub(row.received) < LIVE_TIMEOUT)
            .cloned()
            .collect()
    }

    /// Returns the peers counted by their own pulses: representatives and the nodes of this zone.
    /// Other nodes may also send pulses here, for example because this node is a seed, but are
    /// counted in the summaries of their representatives.
    fn counted_rows(&self, now: Duration) -> Vec<PeerRow> {
        let representatives = self.representatives(now);
        let mut rows = self.live_rows(now);
        rows.retain(|row| {
            *row.pulse.zone == *self.own.zone
                || representatives.iter().any(|node| *node.node == *row.pulse.node)
        });
        rows
    }

    /// Returns the summaries of nodes that are not counted by their own pulses.
    fn summaries(&self, now: Duration) -> Vec<ZoneSummary> {
        let rows = match self.is_representative(now) {
            true => self.follower_summaries.borrow(),
            false => self.zone_totals.borrow(),
        };
        let own_zone = self.is_representative(now).then_some(&*self.own.zone);
        let live = rows.values().filter(|row| now.saturating_sub(row.received) < LIVE_TIMEOUT);
        let others = live.filter(|row| Some(&*row.summary.zone) != own_zone);
        others.map(|row| row.summary.clone()).collect()
    }
}
