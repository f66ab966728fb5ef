//! Sends and receives the heartbeats between gateways.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::replica::ReplicaRow;
use berylstep_core::fleet::window::{NodeRun, WindowCounts};
use berylstep_core::rendezvous;
use berylstep_wire::{FleetPulse, OrganisationUsage, ReplicaWork, RunUsage, WindowUsage};
use prost::Message;
use smol::net::UdpSocket;

use crate::clock::RuntimeClock;
use crate::gateway::demand::DemandLedger;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::notifier::ChangeNotifier;
use crate::gateway::peers::PeerTable;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::stop::GracefulStop;
use crate::gateway::usage::UsageLedger;

/// Time between pulses; several fit into the time within which a dead node must leave the directory.
const PULSE_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two pulses, which bounds what many changes in a row cost.
const LEAST_INTERVAL: Duration = Duration::from_millis(50);

/// Pulses between two that carry usage.
const USAGE_EVERY: u64 = 2;

/// Time after its end for which the counts of a window are told: until it is sealed, and a little
/// longer for a node that has taken the duties over.
const TOLD_TIME: Duration = Duration::from_secs(6);

/// Pulses between two that name other nodes.
const NODES_EVERY: u64 = 4;

/// Pulses between two tries at seeds and silent nodes.
const CONTACTS_EVERY: u64 = 8;

/// Largest datagram.
const MAX_DATAGRAM: usize = 48 * 1024;

/// Sends and receives pulses.
pub struct PulseExchange {
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
    pub stop: Rc<GracefulStop>,
    /// Fencing token under which this node holds the duties; 0 where it does not.
    pub duty_fencing: Rc<Cell<u64>>,
    /// Demand.
    pub demand: Rc<DemandLedger>,
    /// Rung when another node is ahead of this one.
    pub peer_ahead: Rc<ChangeNotifier>,
    /// Socket.
    pub socket: UdpSocket,
}

impl PulseExchange {
    /// Sends pulses for as long as the node runs.
    pub async fn send(self: Rc<Self>) {
        let mut sequence = 0;
        loop {
            self.send_once(sequence).await;
            sequence += 1;
            // Nodes that do not follow the store learn of its news from the next pulse.
            self.clock.sleep(LEAST_INTERVAL).await;
            self.mirror.news.wait(&self.clock, PULSE_INTERVAL - LEAST_INTERVAL).await;
        }
    }

    /// Sends one pulse; `sequence` decides what it carries.
    pub async fn send_once(&self, sequence: u64) {
        let now = self.clock.now();
        self.usage.read_own_clock();
        self.peers.tidy(now);
        self.mirror.expire();
        self.take_loads(now);
        let pulse = self.pulse(sequence, now);
        self.peers.note_own_work(pulse.work.clone());
        let mut sent = Vec::new();
        for group in self.peers.outbound(&pulse, now) {
            self.send_to(&group.pulse, group.addresses.into_iter(), &mut sent).await;
        }
        let mut contacts = self.peers.newcomers(now);
        if sequence % CONTACTS_EVERY < 2 {
            contacts.extend(self.settings.seed_peers());
            contacts.extend(self.peers.silent(now));
        }
        self.send_to(&pulse, contacts.into_iter(), &mut sent).await;
    }

    /// Sends a pulse to each address that has not had one.
    async fn send_to(
        &self,
        pulse: &FleetPulse,
        addresses: impl Iterator<Item = SocketAddr>,
        sent: &mut Vec<SocketAddr>,
    ) {
        let bytes = pulse.encode_to_vec();
        for address in addresses {
            if sent.contains(&address) {
                continue;
            }
            sent.push(address);
            if let Err(err) = self.socket.send_to(&bytes, address).await {
                log::debug!("event=pulse_not_sent peer={address} error=\"{err}\"");
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
        let run = NodeRun { node: (&*pulse.node).into(), incarnation: pulse.incarnation };
        self.usage.observe_clock(&run.node, pulse.unix_ms);
        pulse.usage.iter().for_each(|window| self.merge_usage(&run, window));
        let told = pulse.spoken_for.iter().flat_map(|summary| &summary.usage);
        told.for_each(|usage| self.merge_run(usage));
        if pulse.desired_version > self.mirror.desired_version()
            || pulse.replica_revision > self.mirror.replica_revision()
        {
            self.peer_ahead.notify();
        }
        self.peers.observe(pulse, from, self.clock.now());
    }

    fn merge_run(&self, told: &RunUsage) {
        let run = NodeRun { node: (&*told.node).into(), incarnation: told.incarnation };
        if let (Some(usage), true) = (&told.usage, *run.node != *self.settings.node) {
            self.merge_usage(&run, usage);
        }
    }

    fn merge_usage(&self, run: &NodeRun, window: &WindowUsage) {
        let counts = window.organisations.iter();
        let counts: WindowCounts =
            counts.map(|usage| (SharedName::from(&*usage.organisation), usage.requests)).collect();
        self.usage.merge(run, window.window, &counts);
        if window.ended {
            self.usage.note_finished(run, window.window);
        }
    }

    /// Adds up what the other nodes have in progress.
    fn take_loads(&self, now: Duration) {
        let sums = self.peers.loads(now);
        let mut replicas = self.mirror.replicas.borrow_mut();
        let ids: Vec<SharedName> = replicas.rows().map(|row| row.entry.id.clone()).collect();
        let loads = ids.into_iter().filter_map(|id| {
            let load = sums.get(&replica_hash(&id)).copied()?;
            Some((id, load))
        });
        let loads = loads.collect();
        replicas.set_peer_loads(&loads);
    }

    fn pulse(&self, sequence: u64, now: Duration) -> FleetPulse {
        let stopping = self.stop.is_stopping();
        let run = self.usage.run();
        let nodes = match sequence % NODES_EVERY == 0 {
            true => self.peers.heard_nodes(now).iter().map(|node| node.entry()).collect(),
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
            usage: self.told_usage(sequence),
            nodes,
            core_permille: self.settings.core_permille(),
            demand: self.demand.message(),
            spoken_for: None,
            zones: Vec::new(),
            follows_store: self.mirror.is_following_store(),
        }
    }

    /// Usage of the present window and of those that have ended, in turn.
    fn told_usage(&self, sequence: u64) -> Vec<WindowUsage> {
        if sequence % USAGE_EVERY != 0 {
            return Vec::new();
        }
        let present = self.usage.present_window();
        if sequence / USAGE_EVERY % 2 == 0 {
            return vec![window_message(present, false, self.usage.own_counts(present))];
        }
        let is_told = |window: &u64| self.usage.age(*window).is_some_and(|age| age < TOLD_TIME);
        let ended = (0..present).rev().take_while(is_told);
        ended.map(|window| window_message(window, true, self.usage.own_counts(window))).collect()
    }

    fn work(&self) -> Vec<ReplicaWork> {
        let replicas = self.mirror.replicas.borrow();
        let busy = replicas.rows().filter(|row| row.own.requests > 0);
        let message = |row: &ReplicaRow| ReplicaWork {
            replica: replica_hash(&row.entry.id),
            requests: row.own.requests,
            work: row.own.work,
        };
        busy.map(message).collect()
    }
}

fn window_message(window: u64, ended: bool, counts: WindowCounts) -> WindowUsage {
    let usage = |(organisation, requests): (SharedName, u64)| OrganisationUsage {
        organisation: organisation.to_string(),
        requests,
    };
    WindowUsage { window, organisations: counts.into_iter().map(usage).collect(), ended }
}

/// Short name of a replica in pulses.
fn replica_hash(id: &str) -> u32 {
    rendezvous::score(id, "") as u32
}
