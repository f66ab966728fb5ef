//! Other gateways: who lives, what they have in progress and how far they follow the store.
//!
//! In each availability zone a few nodes are representatives. They tell all other representatives
//! what the nodes of their zone have in progress, and these nodes what all zones have; so that the
//! messages of a node grow with its zone and those of most nodes not at all. In a zone with few
//! nodes all are representatives, and each hears each other.

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

/// Time without a pulse after which a node is not named to callers: four lost pulses.
const LIVE_TIME: Duration = Duration::from_millis(1100);

/// Time for which a node that others told of is taken as living; they tell once a second.
const TOLD_TIME: Duration = Duration::from_millis(2600);

/// Time of silence after which a node that others still tell of lives, and sends to them only: a
/// dead one is no longer told of by then.
const HEARSAY_SILENCE: Duration = Duration::from_secs(5);

/// Time without a pulse after which a node is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(20);

/// Time for which usage that a follower told is handed on; it tells each window once a second for
/// as long as that may matter.
const TOLD_USAGE_TIME: Duration = Duration::from_millis(2200);

/// Difference of starts from which a node leaves the duties to older ones.
const NEWCOMER_TIME: Duration = Duration::from_secs(12);

/// Decides the order of the duties; any text that all nodes share.
const DUTY_ORDER_KEY: &str = "holder";

/// Nodes that hear of all usage besides the one that reports it: those that may take over at once,
/// and one for each of them that fails in the same moment.
const DUTY_HEIRS: usize = 4;

/// First pulses of a node, which are answered whoever it is.
const FIRST_PULSES: u64 = 8;

/// A node that sends its pulses here.
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Its last pulse.
    pub pulse: FleetPulse,
    /// Last usage that it told, by window, and when.
    usage: Vec<(RunUsage, Duration)>,
    /// Where its pulses come from.
    pub address: SocketAddr,
    /// When the pulse came.
    pub heard: Duration,
}

impl PeerRow {
    /// The node as others know it.
    fn known(&self) -> Option<KnownNode> {
        KnownNode::from_pulse(&self.pulse, self.address)
    }
}

/// What several nodes of one zone told.
#[derive(Clone, Debug)]
struct SummaryRow {
    summary: ZoneSummary,
    heard: Duration,
}

/// Other nodes.
#[derive(Debug)]
pub struct PeerTable {
    own: KnownNode,
    rows: RefCell<HashMap<SharedName, PeerRow>>,
    told: RefCell<HashMap<SharedName, (KnownNode, Duration)>>,
    /// Nodes for which representatives of other zones speak.
    spoken_for: RefCell<HashMap<SharedName, SummaryRow>>,
    /// Whole zones, where a representative speaks for this node.
    zones: RefCell<HashMap<SharedName, SummaryRow>>,
    own_work: RefCell<Vec<ReplicaWork>>,
    most: Cell<usize>,
}

impl PeerTable {
    /// A table of the node `own` that knows no other.
    pub fn new(own: KnownNode) -> Self {
        Self {
            own,
            rows: RefCell::default(),
            told: RefCell::default(),
            spoken_for: RefCell::default(),
            zones: RefCell::default(),
            own_work: RefCell::default(),
            most: Cell::new(1),
        }
    }

    /// Other nodes that live.
    pub fn nodes(&self, now: Duration) -> Vec<KnownNode> {
        let mut nodes: Vec<_> = self.live_rows(now).iter().filter_map(PeerRow::known).collect();
        let rows = self.rows.borrow();
        let told = self.told.borrow();
        let hearsay = told.values().filter(|(node, at)| {
            // A node that fell silent here a moment ago is not brought back by hearsay.
            let silent = rows.get(&node.node).map(|row| now.saturating_sub(row.heard));
            now.saturating_sub(*at) < TOLD_TIME
                && silent.is_none_or(|silent| silent > HEARSAY_SILENCE)
        });
        nodes.extend(hearsay.map(|(node, _)| node.clone()));
        nodes
    }

    /// Nodes that this one hears itself.
    pub fn heard_nodes(&self, now: Duration) -> Vec<KnownNode> {
        self.live_rows(now).iter().filter_map(PeerRow::known).collect()
    }

    /// Most nodes that were ever live at once, this one included.
    pub fn peak_nodes(&self) -> usize {
        self.most.get()
    }

    /// Representatives of all zones, this node included where it is one.
    pub fn representatives(&self, now: Duration) -> Vec<KnownNode> {
        let mut nodes = self.nodes(now);
        nodes.push(self.own.clone());
        node::representatives(nodes)
    }

    /// Whether this node speaks for its zone.
    pub fn is_representative(&self, now: Duration) -> bool {
        self.place_in_zone(now).is_some()
    }

    /// Place among the representatives of its zone, where it is one.
    pub fn place_in_zone(&self, now: Duration) -> Option<usize> {
        let representatives = self.representatives(now);
        let mut zone = representatives.iter().filter(|node| node.zone == self.own.zone);
        zone.position(|node| node.node == self.own.node)
    }

    /// Representatives in the order in which they take the duties over. Newcomers leave them to
    /// older nodes, which know the counts of nodes that have ended since.
    pub fn duty_order(&self, now: Duration) -> Vec<KnownNode> {
        let mut nodes = self.representatives(now);
        let oldest = nodes.iter().map(|node| node.incarnation).min().unwrap_or_default();
        let newcomers_after = oldest + NEWCOMER_TIME.as_millis() as u64;
        nodes.retain(|node| node.incarnation <= newcomers_after);
        nodes.sort_by_cached_key(|node| Reverse(rendezvous::score(DUTY_ORDER_KEY, &node.node)));
        nodes
    }

    /// Nodes that report usage now or may within moments: the holder of the duties, and the first
    /// in their order.
    pub fn duty_heirs(&self, now: Duration) -> Vec<SharedName> {
        let order = self.duty_order(now).into_iter().take(DUTY_HEIRS);
        let mut heirs: Vec<_> = order.map(|node| node.node).collect();
        let rows = self.live_rows(now);
        let holders = rows.iter().filter(|row| row.pulse.duty_fencing > 0);
        heirs.extend(holders.map(|row| SharedName::from(&*row.pulse.node)));
        heirs
    }

    /// Whether this node has to follow the store itself: it is a representative and too few of those
    /// that go before it do, or it hears no node at all that does.
    pub fn must_follow_store(&self, now: Duration) -> bool {
        let rows = self.live_rows(now);
        let follows = |node: &KnownNode| {
            rows.iter().any(|row| *row.pulse.node == *node.node && row.pulse.follows_store)
        };
        let order = node::followers_order(&self.representatives(now));
        let place = order.iter().position(|node| node.node == self.own.node);
        match place {
            Some(place) => {
                let wanted = node::wanted_followers(&order);
                order[..place].iter().filter(|node| follows(node)).count() < wanted
            }
            None => !rows.iter().any(|row| row.pulse.follows_store),
        }
    }

    /// Demand at the other nodes.
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

    /// Highest fencing number under which another node holds the duties; 0 where none does.
    pub fn duty_fencing(&self, now: Duration) -> u64 {
        let rows = self.live_rows(now);
        let holding = rows.iter().filter(|row| !row.pulse.leaving);
        let direct = holding.map(|row| row.pulse.duty_fencing);
        let summaries = self.summaries(now);
        direct.chain(summaries.iter().map(|summary| summary.duty_fencing)).max().unwrap_or_default()
    }

    /// A node that knows a newer desired state or list of replicas.
    pub fn ahead(
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

    /// Work of the other nodes by the short names of replicas.
    pub fn loads(&self, now: Duration) -> HashMap<u32, ReplicaLoad> {
        let mut sums: HashMap<u32, ReplicaLoad> = HashMap::default();
        if self.is_representative(now) {
            let rows = self.counted_rows(now);
            rows.iter().for_each(|row| add_work(&mut sums, &row.pulse.work));
        }
        let summaries = self.summaries(now);
        summaries.iter().for_each(|summary| add_work(&mut sums, &summary.work));
        if !self.is_representative(now) {
            // The zone's sum holds what this node told a moment ago.
            for work in self.own_work.borrow().iter() {
                let sum = sums.entry(work.replica).or_default();
                sum.requests = sum.requests.saturating_sub(work.requests);
                sum.work = sum.work.saturating_sub(work.work);
            }
        }
        sums
    }

    /// Notes what this node tells of its own work.
    pub fn note_own_work(&self, work: Vec<ReplicaWork>) {
        *self.own_work.borrow_mut() = work;
    }

    /// Takes in a pulse; `false` means that it was no news.
    pub fn observe(&self, pulse: FleetPulse, from: SocketAddr, now: Duration) -> bool {
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
        self.observe_told(&pulse, now);
        let mut usage = known.map(|row| row.usage.clone()).unwrap_or_default();
        usage.retain(|(_, heard)| now.saturating_sub(*heard) < TOLD_USAGE_TIME);
        for told in &pulse.usage {
            usage.retain(|(run, _)| run.usage.as_ref().is_some_and(|u| u.window != told.window));
            let run = RunUsage {
                node: pulse.node.clone(),
                incarnation: pulse.incarnation,
                usage: Some(told.clone()),
            };
            usage.push((run, now));
        }
        rows.insert(name, PeerRow { pulse, usage, address: from, heard: now });
        true
    }

    fn observe_told(&self, pulse: &FleetPulse, now: Duration) {
        let mut told = self.told.borrow_mut();
        for node in pulse.nodes.iter().filter_map(KnownNode::from_entry) {
            if node.node != self.own.node {
                told.insert(node.node.clone(), (node, now));
            }
        }
        let note = |rows: &RefCell<HashMap<SharedName, SummaryRow>>, summary: &ZoneSummary| {
            let row = SummaryRow { summary: summary.clone(), heard: now };
            rows.borrow_mut().insert((&*summary.zone).into(), row);
        };
        if let Some(summary) = &pulse.spoken_for {
            note(&self.spoken_for, summary);
        }
        pulse.zones.iter().for_each(|summary| note(&self.zones, summary));
    }

    /// Forgets nodes that were silent for long, and notes how many live.
    pub fn tidy(&self, now: Duration) {
        self.rows.borrow_mut().retain(|name, row| {
            let kept = now.saturating_sub(row.heard) < FORGET_TIME;
            if !kept {
                log::info!("event=peer_forgotten peer={name} reason=silent");
            }
            kept
        });
        self.told.borrow_mut().retain(|_, (_, at)| now.saturating_sub(*at) < FORGET_TIME);
        let summed: u32 = self.summaries(now).iter().map(|summary| summary.nodes).sum();
        let heard = match self.is_representative(now) {
            true => self.counted_rows(now).len() + 1,
            false => 0,
        };
        self.most.set(self.most.get().max(heard + summed as usize));
    }

    /// Nodes of this node's zone for which it speaks.
    fn followers(&self, now: Duration) -> Vec<PeerRow> {
        let representatives = self.representatives(now);
        let is_follower = |row: &PeerRow| {
            *row.pulse.zone == *self.own.zone
                && !representatives.iter().any(|node| *node.node == *row.pulse.node)
        };
        self.live_rows(now).into_iter().filter(is_follower).collect()
    }

    /// Sum over the nodes for which this one speaks.
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

    /// Sums of all zones, for a node for which this one speaks; `own` is this node's pulse.
    fn all_zones(&self, own: &FleetPulse, now: Duration) -> Vec<ZoneSummary> {
        let mut zones: HashMap<SharedName, ZoneSummary> = HashMap::default();
        for pulse in self.counted_rows(now).iter().map(|row| &row.pulse).chain([own]) {
            add_pulse(zones.entry((&*pulse.zone).into()).or_default(), pulse);
        }
        for told in self.summaries(now) {
            let zone = zones.entry((&*told.zone).into()).or_default();
            add_summary(zone, &told);
        }
        for (name, zone) in &mut zones {
            zone.zone = name.to_string();
        }
        zones.into_values().collect()
    }

    /// Nodes to which a pulse is sent in any case: newcomers, and representatives that are known by
    /// hearsay only.
    pub fn newcomers(&self, now: Duration) -> Vec<SocketAddr> {
        let rows = self.live_rows(now);
        let fresh = rows.iter().filter(|row| row.pulse.sequence <= FIRST_PULSES);
        fresh.map(|row| row.address).collect()
    }

    /// Nodes that were heard and have fallen silent.
    pub fn silent(&self, now: Duration) -> Vec<SocketAddr> {
        let rows = self.rows.borrow();
        let silent = rows.values().filter(|row| now.saturating_sub(row.heard) >= LIVE_TIME);
        silent.map(|row| row.address).collect()
    }

    fn live_rows(&self, now: Duration) -> Vec<PeerRow> {
        let rows = self.rows.borrow();
        rows.values().filter(|row| now.saturating_sub(row.heard) < LIVE_TIME).cloned().collect()
    }

    /// Nodes that are counted by their own pulses: representatives and those of this zone. Others
    /// send here too, as to a seed, and are counted by who speaks for them.
    fn counted_rows(&self, now: Duration) -> Vec<PeerRow> {
        let representatives = self.representatives(now);
        let mut rows = self.live_rows(now);
        rows.retain(|row| {
            *row.pulse.zone == *self.own.zone
                || representatives.iter().any(|node| *node.node == *row.pulse.node)
        });
        rows
    }

    /// Sums of nodes that this one does not hear itself.
    fn summaries(&self, now: Duration) -> Vec<ZoneSummary> {
        let rows = match self.is_representative(now) {
            true => self.spoken_for.borrow(),
            false => self.zones.borrow(),
        };
        let own_zone = self.is_representative(now).then_some(&*self.own.zone);
        let live = rows.values().filter(|row| now.saturating_sub(row.heard) < LIVE_TIME);
        let others = live.filter(|row| Some(&*row.summary.zone) != own_zone);
        others.map(|row| row.summary.clone()).collect()
    }
}
