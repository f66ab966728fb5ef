//! Sends and receives pulses, the periodic heartbeats between gateways over UDP.

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

/// Interval between pulses; a small part of the time within which a dead node must leave the
/// directory.
const PULSE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between pulses, which bounds the cost of rapid changes.
const MIN_PULSE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval, in pulses, at which usage is sent.
const USAGE_PULSE_INTERVAL: u64 = 2;

/// Time after the end of a usage window for which its counts are still sent: until the window is
/// sealed, and a little longer for a node that has just taken over the duties.
const ENDED_WINDOW_SEND_TIME: Duration = Duration::from_secs(6);

/// Interval, in pulses, at which other nodes are named.
const GOSSIP_PULSE_INTERVAL: u64 = 4;

/// Interval, in pulses, at which seeds and silent peers are contacted, each time with two pulses.
const CONTACT_PULSE_INTERVAL: u64 = 8;

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 48 * 1024;

/// Sends this node's pulses and applies those of its peers.
pub struct PulseExchange {
    /// Settings that the process started with.
    pub settings: Rc<GatewaySettings>,
    /// Source of monotonic and wall-clock time.
    pub clock: RuntimeClock,
    /// Table of the other nodes.
    pub peers: Rc<PeerTable>,
    /// Local copy of the store.
    pub mirror: Rc<StoreMirror>,
    /// Usage counts of this node and its peers.
    pub usage: Rc<UsageLedger>,
    /// State of a planned stop.
    pub stop: Rc<GracefulStop>,
    /// Fencing token under which this node holds the duties; 0 if it does not.
    pub duty_fencing: Rc<Cell<u64>>,
    /// Demand measured at this node.
    pub demand: Rc<DemandLedger>,
    /// Notified when a peer has newer state than this node.
    pub peer_ahead: Rc<ChangeNotifier>,
    /// UDP socket bound to the peer address.
    pub socket: UdpSocket,
}

impl PulseExchange {
    /// Sends pulses for as long as the node runs.
    pub async fn send_pulses(self: Rc<Self>) {
        let mut sequence = 0;
        loop {
            self.send_once(sequence).await;
            sequence += 1;
            // Peers that do not follow the store learn of its changes from the next pulse.
            self.clock.sleep(MIN_PULSE_INTERVAL).await;
            self.mirror.changed.wait(&self.clock, PULSE_INTERVAL - MIN_PULSE_INTERVAL).await;
        }
    }

    /// Sends one pulse; `sequence` selects the optional fields that it carries.
    pub async fn send_once(&self, sequence: u64) {
        let now = self.clock.now();
        self.usage.observe_own_clock();
        self.peers.expire(now);
        self.mirror.expire();
        self.update_peer_loads(now);
        let pulse = self.pulse(sequence, now);
        self.peers.record_own_work(pulse.work.clone());
        let mut sent = Vec::new();
        for group in self.peers.outbound(&pulse, now) {
            self.send_to(&group.pulse, group.addresses.into_iter(), &mut sent).await;
        }
        let mut contacts = self.peers.new_peers(now);
        if sequence % CONTACT_PULSE_INTERVAL < 2 {
            contacts.extend(self.settings.seed_peers());
            contacts.extend(self.peers.silent_peers(now));
        }
        self.send_to(&pulse, contacts.into_iter(), &mut sent).await;
    }

    /// Sends a pulse to each address not yet in `sent`.
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
    pub async fn receive_pulses(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, from)) => self.receive_datagram(&buffer[..count], from),
                Err(err) => {
                    log::warn!("event=pulse_receive_failed error=\"{err}\"");
                    self.clock.sleep(PULSE_INTERVAL).await;
                }
            }
        }
    }

    fn receive_datagram(&self, bytes: &[u8], from: SocketAddr) {
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
        let forwarded = pulse.spoken_for.iter().flat_map(|summary| &summary.usage);
        forwarded.for_each(|usage| self.merge_run(usage));
        if pulse.desired_version > self.mirror.desired_version()
            || pulse.replica_revision > self.mirror.replica_revision()
        {
            self.peer_ahead.notify();
        }
        self.peers.record_pulse(pulse, from, self.clock.now());
    }

    fn merge_run(&self, forwarded: &RunUsage) {
        let run = NodeRun { node: (&*forwarded.node).into(), incarnation: forwarded.incarnation };
        if let (Some(usage), true) = (&forwarded.usage, *run.node != *self.settings.node) {
            self.merge_usage(&run, usage);
        }
    }

    fn merge_usage(&self, run: &NodeRun, window: &WindowUsage) {
        let counts = window.organisations.iter();
        let counts: WindowCounts =
            counts.map(|usage| (SharedName::from(&*usage.organisation), usage.requests)).collect();
        self.usage.merge(run, window.window, &counts);
        if window.ended {
            self.usage.record_finished(run, window.window);
        }
    }

    /// Updates the load of each replica with the work in progress at other nodes.
    fn update_peer_loads(&self, now: Duration) {
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
        let nodes = match sequence % GOSSIP_PULSE_INTERVAL == 0 {
            true => self.peers.direct_nodes(now).iter().map(|node| node.entry()).collect(),
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
            work: self.own_work(),
            usage: self.usage_message(sequence),
            nodes,
            core_permille: self.settings.core_permille(),
            demand: self.demand.message(),
            spoken_for: None,
            zones: Vec::new(),
            follows_store: self.mirror.is_following_store(),
        }
    }

    /// Returns the usage of the current window and that of recently ended ones, alternately.
    fn usage_message(&self, sequence: u64) -> Vec<WindowUsage> {
        if sequence % USAGE_PULSE_INTERVAL != 0 {
            return Vec::new();
        }
        let current = self.usage.current_window();
        if sequence / USAGE_PULSE_INTERVAL % 2 == 0 {
            return vec![window_message(current, false, self.usage.own_counts(current))];
        }
        let is_recent =
            |window: &u64| self.usage.age(*window).is_some_and(|age| age < ENDED_WINDOW_SEND_TIME);
        let ended = (0..current).rev().take_while(is_recent);
        ended.map(|window| window_message(window, true, self.usage.own_counts(window))).collect()
    }

    fn own_work(&self) -> Vec<ReplicaWork> {
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

/// Returns the 32-bit hash that identifies a replica in pulses.
fn replica_hash(id: &str) -> u32 {
    rendezvous::score(id, "") as u32
}
