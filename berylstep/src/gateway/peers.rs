//! Heartbeats between gateways.
//!
//! Each node tells the others a few times a second that it lives, what it has in progress at which
//! replica and how far it has followed the store. Nodes find each other through the seeds and
//! through what their peers tell; no node keeps a connection to another.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::replica::ReplicaLoad;
use berylstep_core::fleet::window::{NodeRun, WindowCounts};
use berylstep_core::rendezvous;
use berylstep_wire::{FleetPulse, OrganisationUsage, ReplicaWork, WindowUsage};
use prost::Message;
use smol::net::UdpSocket;

use crate::clock::RuntimeClock;
use crate::gateway::demand::DemandLedger;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::stop::StopSignal;
use crate::gateway::usage::UsageLedger;

/// Time between pulses; several fit into the time within which a dead node must leave the directory.
const PULSE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a pulse after which a node is not named to callers: four lost pulses.
const LIVE_TIME: Duration = Duration::from_millis(1100);

/// Time without a pulse after which a node is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(20);

/// Pulses between two that carry usage.
const USAGE_EVERY: u64 = 4;

/// Pulses between two that carry addresses, and between two tries at silent addresses.
const ADDRESSES_EVERY: u64 = 8;

/// Largest datagram.
const MAX_DATAGRAM: usize = 16 * 1024;

/// Another node.
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Its last pulse.
    pub pulse: FleetPulse,
    /// Where its pulses come from.
    pub address: SocketAddr,
    /// When the pulse came.
    pub heard: Duration,
}

/// Other nodes, by name.
#[derive(Debug, Default)]
pub struct PeerTable {
    rows: RefCell<HashMap<SharedName, PeerRow>>,
    /// Addresses that may belong to nodes.
    contacts: RefCell<HashMap<SocketAddr, Duration>>,
    most: Cell<usize>,
}

impl PeerTable {
    /// Nodes that were heard a moment ago.
    pub fn live(&self, now: Duration) -> Vec<PeerRow> {
        let rows = self.rows.borrow();
        rows.values().filter(|row| now.saturating_sub(row.heard) < LIVE_TIME).cloned().collect()
    }

    /// Most nodes that were ever live at once, this one included.
    pub fn most_nodes(&self) -> usize {
        self.most.get().max(1)
    }

    fn observe(&self, pulse: FleetPulse, from: SocketAddr, now: Duration) {
        let name = SharedName::from(&*pulse.node);
        let mut rows = self.rows.borrow_mut();
        let known = rows.get(&name);
        let newer = known.is_none_or(|row| {
            (row.pulse.incarnation, row.pulse.sequence) < (pulse.incarnation, pulse.sequence)
        });
        if !newer {
            return;
        }
        if known.is_none_or(|row| row.pulse.incarnation != pulse.incarnation) {
            log::info!(
                "event=peer_found peer={name} address={from} incarnation={}",
                pulse.incarnation
            );
        }
        rows.insert(name, PeerRow { pulse, address: from, heard: now });
    }

    /// Forgets nodes that were silent for long, and notes how many live.
    fn tidy(&self, now: Duration) {
        self.rows.borrow_mut().retain(|name, row| {
            let kept = now.saturating_sub(row.heard) < FORGET_TIME;
            if !kept {
                log::info!("event=peer_forgotten peer={name} reason=silent");
            }
            kept
        });
        self.contacts.borrow_mut().retain(|_, told| now.saturating_sub(*told) < FORGET_TIME);
        self.most.set(self.most.get().max(self.live(now).len() + 1));
    }

    fn targets(&self, seeds: &[SocketAddr], sequence: u64, now: Duration) -> Vec<SocketAddr> {
        let rows = self.rows.borrow();
        let is_live = |row: &&PeerRow| now.saturating_sub(row.heard) < LIVE_TIME;
        let mut targets: Vec<_> = rows.values().filter(is_live).map(|row| row.address).collect();
        if sequence % ADDRESSES_EVERY < 2 {
            let silent = rows.values().map(|row| row.address);
            let contacts = self.contacts.borrow();
            let more = silent.chain(seeds.iter().copied()).chain(contacts.keys().copied());
            for address in more {
                if !targets.contains(&address) {
                    targets.push(address);
                }
            }
        }
        targets
    }
}

/// Sends and receives pulses.
pub struct PulseDesk {
    /// Settings.
    pub settings: Rc<GatewaySettings>,
    /// Clock.
    pub clock: RuntimeClock,
    /// Other nodes.
    pub peers: Rc<PeerTable>,
    /// Copy of the store.
    pub mirror: Rc<StoreMirror>,
    /// Usage.
    pub usage: Rc<UsageLedger>,
    /// Planned stop.
    pub stop: Rc<StopSignal>,
    /// Fencing token under which this node holds the duties; 0 where it does not.
    pub duty_fencing: Rc<Cell<u64>>,
    /// Demand.
    pub demand: Rc<DemandLedger>,
    /// Socket.
    pub socket: UdpSocket,
}

impl PulseDesk {
    /// Sends pulses for as long as the node runs.
    pub async fn send(self: Rc<Self>) {
        let mut sequence = 0;
        loop {
            self.send_once(sequence).await;
            sequence += 1;
            self.clock.sleep(PULSE_INTERVAL).await;
        }
    }

    /// Sends one pulse; `sequence` decides what it carries.
    pub async fn send_once(&self, sequence: u64) {
        let now = self.clock.now();
        self.usage.read_own_clock();
        self.peers.tidy(now);
        self.mirror.expire();
        self.take_loads(now);
        let targets = self.peers.targets(&self.settings.seed_peers(), sequence, now);
        if targets.is_empty() {
            return;
        }
        let bytes = self.pulse(sequence, now).encode_to_vec();
        for target in targets {
            if let Err(err) = self.socket.send_to(&bytes, target).await {
                log::debug!("event=pulse_not_sent peer={target} error=\"{err}\"");
            }
        }
    }

    /// Receives pulses for as long as the node runs.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, from)) => self.take(&buffer[..count], from),
                Err(err) => {
                    log::warn!("event=pulse_receive_failed error=\"{err}\"");
                    self.clock.sleep(PULSE_INTERVAL).await;
                }
            }
        }
    }

    fn take(&self, bytes: &[u8], from: SocketAddr) {
        let pulse = match FleetPulse::decode(bytes) {
            Ok(pulse) => pulse,
            Err(err) => {
                log::warn!("event=pulse_malformed peer={from} error=\"{err}\"");
                return;
            }
        };
        if *pulse.node == *self.settings.node {
            return;
        }
        let now = self.clock.now();
        let run = NodeRun { node: (&*pulse.node).into(), incarnation: pulse.incarnation };
        self.usage.observe_clock(&run.node, pulse.unix_ms);
        for window in &pulse.usage {
            let counts = window.organisations.iter();
            let counts: WindowCounts = counts
                .map(|usage| (SharedName::from(&*usage.organisation), usage.requests))
                .collect();
            self.usage.merge(&run, window.window, &counts);
        }
        {
            let own = self.settings.peer_address();
            let mut contacts = self.peers.contacts.borrow_mut();
            let told = pulse.peers.iter().filter_map(|address| address.parse().ok());
            contacts.extend(told.filter(|address| *address != own).map(|address| (address, now)));
        }
        self.peers.observe(pulse, from, now);
    }

    /// Adds up what the other nodes have in progress.
    fn take_loads(&self, now: Duration) {
        let mut sums: HashMap<u32, ReplicaLoad> = HashMap::default();
        for row in self.peers.live(now) {
            for work in &row.pulse.work {
                let sum = sums.entry(work.replica).or_default();
                sum.requests += work.requests;
                sum.work += work.work;
            }
        }
        let mut replicas = self.mirror.replicas.borrow_mut();
        let ids: Vec<SharedName> = replicas.rows().map(|row| row.entry.id.clone()).collect();
        let loads = ids.into_iter().filter_map(|id| {
            let load = sums.get(&replica_hash(&id)).copied()?;
            Some((id, load))
        });
        let loads = loads.collect();
        replicas.set_others(&loads);
    }

    fn pulse(&self, sequence: u64, now: Duration) -> FleetPulse {
        let stopping = self.stop.is_stopping();
        let run = self.usage.run();
        let usage = match sequence % USAGE_EVERY == 0 {
            true => self.usage.own_counts().into_iter().map(window_message).collect(),
            false => Vec::new(),
        };
        let peers = match sequence % ADDRESSES_EVERY == 0 {
            true => self.peers.live(now).iter().map(|row| row.address.to_string()).collect(),
            false => Vec::new(),
        };
        FleetPulse {
            node: run.node.to_string(),
            incarnation: run.incarnation,
            sequence: sequence + 1,
            zone: self.settings.zone.to_string(),
            region: self.settings.region.to_string(),
            caller_address: self.settings.listen.callers.to_string(),
            ready: self.mirror.is_complete() && !stopping,
            leaving: stopping,
            unix_ms: self.clock.unix_ms(),
            desired_version: self.mirror.desired_version(),
            replica_revision: self.mirror.replica_revision(),
            duty_fencing: self.duty_fencing.get(),
            work: self.work(),
            usage,
            peers,
            core_permille: (self.settings.core_share * 1000.0) as u32,
            demand: self.demand.message(),
        }
    }

    fn work(&self) -> Vec<ReplicaWork> {
        let replicas = self.mirror.replicas.borrow();
        let busy = replicas.rows().filter(|row| row.own.requests > 0);
        let message = |row: &berylstep_core::fleet::replica::ReplicaRow| ReplicaWork {
            replica: replica_hash(&row.entry.id),
            requests: row.own.requests,
            work: row.own.work,
        };
        busy.map(message).collect()
    }
}

fn window_message((window, counts): (u64, WindowCounts)) -> WindowUsage {
    let usage = |(organisation, requests): (SharedName, u64)| OrganisationUsage {
        organisation: organisation.to_string(),
        requests,
    };
    WindowUsage { window, organisations: counts.into_iter().map(usage).collect() }
}

/// Short name of a replica in pulses.
fn replica_hash(id: &str) -> u32 {
    rendezvous::score(id, "") as u32
}
