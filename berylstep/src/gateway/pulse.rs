//! Sends and receives pulses, the periodic heartbeats between gateways over UDP.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::HashSet;
use berylstep_core::fleet::position::StorePosition;
use berylstep_core::fleet::replica::ReplicaRow;
use berylstep_core::fleet::window::{NodeRun, WindowCounts};
use berylstep_core::rendezvous;
use berylstep_wire::{
    ColdCandidate, FleetPulse, OriginQuery, ReplicaDelta, ReplicaWork, RunReport, RunRequest,
    RunUsage, TurnRequest, WindowUsage,
};
use prost::Message;
use smol::future;
use smol::net::UdpSocket;

use crate::clock::RuntimeClock;
use crate::gateway::brittle::BrittleWatch;
use crate::gateway::cold::ColdWatch;
use crate::gateway::demand::DemandLedger;
use crate::gateway::freshness::FreshnessWatch;
use crate::gateway::limits::LimitWatch;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::notifier::ChangeNotifier;
use crate::gateway::origins::OriginDesk;
use crate::gateway::pace::PaceWatch;
use crate::gateway::peers::parts::split_pulse;
use crate::gateway::peers::PeerTable;
use crate::gateway::quarantine::CrashWatch;
use crate::gateway::reach::ReachWatch;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::slots::SlotDesk;
use crate::gateway::stop::GracefulStop;
use crate::gateway::turns::TurnDesk;
use crate::gateway::usage::{organisation_hash, UsageLedger};

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

/// Interval, in pulses, at which seeds and silent peers are contacted, each time with two pulses.
const CONTACT_PULSE_INTERVAL: u64 = 8;

/// Interval, in pulses, at which a connected node contacts the seeds, which heals a fleet that has
/// split into parts.
const CONNECTED_CONTACT_INTERVAL: u64 = 48;

/// Number of initial pulses that are all sent to the seeds.
const INITIAL_CONTACTS: u64 = 3;

/// Time for which changes of the replica list are repeated to followers, in case of a lost pulse.
const DELTA_REPEAT_TIME: Duration = Duration::from_millis(600);

/// Maximum size of the replica changes in a pulse, in bytes. Followers query larger changes.
const MAX_DELTA_BYTES: usize = 12 * 1024;

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// What the sender of a message is told at once.
#[derive(Clone, Debug)]
enum PulseReply {
    /// The state of this node, because the sender has just started.
    State,
    /// The decision on its request for a turn.
    Turn(TurnRequest, Vec<ColdCandidate>),
    /// The origin of a stream.
    Origin(OriginQuery),
    /// The decision on its request for a slot.
    Slot(NodeRun, RunRequest),
    /// That requests of its own have got the slots that they wait for.
    Runs(NodeRun, Vec<RunReport>),
}

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
    /// Prompts that crash replicas.
    pub crashes: Rc<CrashWatch>,
    /// Limits that replicas name.
    pub limits: Rc<LimitWatch>,
    /// Turns at replicas that have named a limit.
    pub turns: Rc<TurnDesk>,
    /// Cold replicas.
    pub cold: Rc<ColdWatch>,
    /// Paces of replicas.
    pub pace: Rc<PaceWatch>,
    /// Replicas that are brittle.
    pub brittle: Rc<BrittleWatch>,
    /// Slots of brittle replicas.
    pub slots: Rc<SlotDesk>,
    /// Origins of streams.
    pub origins: Rc<OriginDesk>,
    /// Services that this node is cut off from.
    pub reach: Rc<ReachWatch>,
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
    /// Whether this node is behind the desired state of its peers.
    pub freshness: Rc<FreshnessWatch>,
    /// Number of pulses sent.
    pub sequence: Cell<u64>,
    /// Replica revisions of recent pulses, with their times, oldest first.
    pub sent_revisions: RefCell<VecDeque<(Duration, u64)>>,
    /// UDP socket bound to the peer address.
    pub socket: UdpSocket,
}

impl PulseExchange {
    /// Sends pulses for as long as the node runs.
    pub async fn send_pulses(self: Rc<Self>) {
        loop {
            self.send_once().await;
            self.clock.sleep(MIN_PULSE_INTERVAL).await;
            let rest = PULSE_INTERVAL - MIN_PULSE_INTERVAL;
            match self.peers.is_representative(self.clock.now()) {
                // Peers that do not follow the store learn of its changes from the next pulse.
                true => self.mirror.changed.wait(&self.clock, rest).await,
                false => self.clock.sleep(rest).await,
            }
        }
    }

    /// Sends one pulse.
    pub async fn send_once(&self) {
        let sequence = self.sequence.replace(self.sequence.get() + 1);
        let now = self.clock.now();
        self.usage.observe_own_clock();
        self.peers.expire(now);
        self.freshness.update();
        self.cold.record_tick();
        self.mirror.expire();
        self.update_peer_loads(now);
        self.pace.refresh(self.peers.paces(now));
        self.slots.update().await;
        self.origins.announce_after_change().await;
        let pulse = self.pulse(sequence, now);
        self.peers.record_own_work(pulse.work.clone());
        self.peers.record_own_paces(pulse.paces.clone());
        let mut reached = HashSet::default();
        let delta = self.replica_delta(now);
        for group in self.peers.outbound(&pulse, delta, now) {
            reached.extend(group.addresses.iter().copied());
            self.send_to(&group.pulse, group.addresses.into_iter()).await;
        }
        let mut contacts: HashSet<_> = self.peers.new_peers(now).into_iter().collect();
        if sequence % CONTACT_PULSE_INTERVAL < 2 {
            contacts.extend(self.peers.silent_peers(now));
        }
        if self.is_seed_contact_due(sequence, now) {
            contacts.extend(self.settings.seed_peers());
        }
        contacts.retain(|address| !reached.contains(address));
        if !contacts.is_empty() {
            let nodes = self.peers.representative_entries(now);
            let leaving_replicas = self.mirror.all_leaving();
            let pulse = FleetPulse { nodes, usage: Vec::new(), leaving_replicas, ..pulse };
            self.send_to(&pulse, contacts.into_iter()).await;
        }
    }

    /// Returns whether the seeds are contacted with the pulse `sequence`.
    fn is_seed_contact_due(&self, sequence: u64, now: Duration) -> bool {
        match self.peers.is_connected(now) {
            false => sequence < INITIAL_CONTACTS || sequence % CONTACT_PULSE_INTERVAL < 2,
            true => {
                // Nodes that started together contact the seeds at different times.
                let offset = rendezvous::score(&self.settings.node, "");
                (sequence + offset % CONNECTED_CONTACT_INTERVAL) % CONNECTED_CONTACT_INTERVAL < 2
            }
        }
    }

    /// Returns the changes of the replica list within [`DELTA_REPEAT_TIME`], for followers.
    fn replica_delta(&self, now: Duration) -> Option<ReplicaDelta> {
        let mut sent = self.sent_revisions.borrow_mut();
        let position = self.mirror.position();
        if sent.back().is_some_and(|(_, latest)| *latest > position.revision) {
            // The store was restored from an older copy, whose revisions are lower.
            sent.clear();
        }
        sent.push_back((now, position.revision));
        while sent.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) >= DELTA_REPEAT_TIME) {
            sent.pop_front();
        }
        let since = sent.front().map(|(_, revision)| *revision)?;
        if since == 0 || since == self.mirror.replica_revision() {
            return None;
        }
        let changes = self.mirror.replica_changes(since);
        let bytes: usize = changes.entries.iter().map(|(_, copy)| copy.value.len()).sum();
        if changes.complete || bytes > MAX_DELTA_BYTES || self.mirror.has_store_failed_recently() {
            return None;
        }
        let (replicas, removed) = changes.into_messages();
        Some(ReplicaDelta { since, replicas, removed })
    }

    async fn send_to(&self, pulse: &FleetPulse, addresses: impl Iterator<Item = SocketAddr>) {
        let mut addresses = addresses.peekable();
        if addresses.peek().is_none() {
            return;
        }
        let parts = split_pulse(pulse.clone());
        let parts: Vec<_> = parts.iter().map(FleetPulse::encode_to_vec).collect();
        for address in addresses {
            for bytes in &parts {
                if let Err(err) = self.socket.send_to(bytes, address).await {
                    log::debug!(
                        "event=pulse_not_sent peer={address} bytes={} error=\"{err}\"",
                        bytes.len()
                    );
                }
            }
        }
    }

    /// Receives pulses for as long as the node runs.
    pub async fn receive_pulses(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, from)) => match self.receive_datagram(&buffer[..count], from) {
                    Some(PulseReply::State) => self.answer_new_peer(from).await,
                    Some(PulseReply::Turn(request, cold)) => {
                        self.turns.answer(&request, &cold, from).await;
                    }
                    Some(PulseReply::Origin(query)) => self.origins.answer(&query, from).await,
                    Some(PulseReply::Slot(holder, request)) => {
                        self.slots.answer(holder, &request, from).await;
                    }
                    Some(PulseReply::Runs(holder, reports)) => {
                        self.slots.apply(holder, &reports).await;
                    }
                    None => {}
                },
                Err(err) => {
                    log::warn!("event=pulse_receive_failed error=\"{err}\"");
                    self.clock.sleep(PULSE_INTERVAL).await;
                }
            }
            // A burst of datagrams must not hold up requests in progress.
            future::yield_now().await;
        }
    }

    /// Answers a node that has just started at once, so that it learns the state from its peers
    /// before it reads the store.
    async fn answer_new_peer(&self, address: SocketAddr) {
        if !self.mirror.is_complete() {
            return;
        }
        let now = self.clock.now();
        let sequence = self.sequence.replace(self.sequence.get() + 1);
        let pulse = FleetPulse {
            nodes: self.peers.representative_entries(now),
            usage: Vec::new(),
            leaving_replicas: self.mirror.all_leaving(),
            replica_limits: self.limits.notices(true),
            brittle_replicas: self.brittle.notices(true),
            ..self.pulse(sequence, now)
        };
        self.send_to(&pulse, std::iter::once(address)).await;
    }

    /// Applies a pulse; returns what its sender is to be told at once.
    fn receive_datagram(&self, bytes: &[u8], from: SocketAddr) -> Option<PulseReply> {
        let pulse = match FleetPulse::decode(bytes) {
            Ok(pulse) => pulse,
            Err(err) => {
                log::warn!("event=pulse_malformed peer={from} error=\"{err}\"");
                return None;
            }
        };
        if *pulse.node == *self.settings.node {
            return None;
        }
        if let Some(reply) = &pulse.turn_reply {
            self.turns.receive(reply);
        }
        if let Some(request) = pulse.turn_request {
            return Some(PulseReply::Turn(request, pulse.cold_candidates));
        }
        let sender = || NodeRun { node: (&*pulse.node).into(), incarnation: pulse.incarnation };
        if let Some(reply) = &pulse.run_reply {
            self.slots.receive(reply);
            return None;
        }
        if let Some(request) = pulse.run_request {
            return Some(PulseReply::Slot(sender(), request));
        }
        if !pulse.run_reports.is_empty() {
            let sender = sender();
            return Some(PulseReply::Runs(sender, pulse.run_reports));
        }
        self.origins.record_all(&pulse.stream_origins);
        if let Some(reply) = pulse.origin_reply {
            self.origins.receive(reply);
            return None;
        }
        if let Some(query) = pulse.origin_query {
            return Some(PulseReply::Origin(query));
        }
        if let Some(desired) = self.mirror.desired() {
            self.usage.learn_organisations(&desired);
        }
        let run = NodeRun { node: (&*pulse.node).into(), incarnation: pulse.incarnation };
        self.usage.observe_clock(&run.node, pulse.unix_ms);
        pulse.usage.iter().for_each(|window| self.merge_usage(&run, window));
        let forwarded = pulse.spoken_for.iter().flat_map(|summary| &summary.usage);
        forwarded.for_each(|usage| self.merge_run(usage));
        if pulse.sequence == 0 {
            if pulse.continues > 0 {
                self.receive_part(pulse);
            }
            return None;
        }
        self.limits.apply(&pulse.replica_limits);
        self.brittle.apply(&pulse.brittle_replicas);
        let is_new = pulse.sequence == 1;
        for notice in &pulse.leaving_replicas {
            self.mirror.apply_leaving_notice(notice);
        }
        self.crashes.apply(&pulse.suspicions, &pulse.clearances);
        self.mirror.apply_evacuation(pulse.evacuation.as_ref());
        let delta = pulse.replica_delta.as_ref();
        if let Some(delta) = delta.filter(|_| pulse.store_era == self.mirror.era()) {
            self.apply_delta(delta, pulse.replica_revision);
        }
        self.usage.record_sealed(pulse.sealed_window);
        let position = StorePosition::new(pulse.store_era, pulse.replica_revision);
        if pulse.desired_version > self.mirror.desired_version()
            || position > self.mirror.position()
        {
            self.peer_ahead.notify();
        }
        let has_totals = pulse.fleet.is_some();
        let now = self.clock.now();
        let desired_version = pulse.desired_version;
        let is_newer = self.peers.record_pulse(pulse, from, now);
        if is_newer {
            self.freshness.record_announcement(desired_version, position);
        }
        if is_newer && has_totals && self.pace.is_uneven() {
            self.pace.refresh(self.peers.paces(now));
        }
        (is_newer && is_new).then_some(PulseReply::State)
    }

    /// Applies a further part of a pulse.
    fn receive_part(&self, part: FleetPulse) {
        self.limits.apply(&part.replica_limits);
        self.brittle.apply(&part.brittle_replicas);
        self.crashes.apply(&part.suspicions, &part.clearances);
        self.peers.record_part(part, self.clock.now());
    }

    /// Applies changes of the replica list if no earlier ones are missing here.
    fn apply_delta(&self, delta: &ReplicaDelta, revision: u64) {
        let known = self.mirror.replica_revision();
        if known < delta.since || known >= revision || !self.mirror.is_complete() {
            return;
        }
        for replica in &delta.replicas {
            let value = Some(replica.value.clone());
            self.mirror.apply_replica_change(&replica.id, replica.revision, value);
        }
        for removal in &delta.removed {
            self.mirror.apply_replica_change(&removal.id, removal.revision, None);
        }
        self.mirror.advance_replica_revision(revision);
    }

    fn merge_run(&self, forwarded: &RunUsage) {
        let run = NodeRun { node: (&*forwarded.node).into(), incarnation: forwarded.incarnation };
        if let (Some(usage), true) = (&forwarded.usage, *run.node != *self.settings.node) {
            self.merge_usage(&run, usage);
        }
    }

    fn merge_usage(&self, run: &NodeRun, window: &WindowUsage) {
        let counts = window.organisations.iter().zip(&window.requests);
        let counts = counts
            .filter_map(|(hash, requests)| Some((self.usage.organisation_name(*hash)?, *requests)));
        let counts: WindowCounts = counts.collect();
        self.usage.merge(run, window.window, &counts);
        if window.ended || self.usage.has_counted(run, window.window, window.final_requests) {
            self.usage.record_finished(run, window.window);
        }
    }

    /// Updates the load of each replica with the work in progress at other nodes.
    fn update_peer_loads(&self, now: Duration) {
        let sums = self.peers.loads(now);
        let mut replicas = self.mirror.replicas.borrow_mut();
        replicas.set_peer_loads(&sums);
    }

    fn pulse(&self, sequence: u64, now: Duration) -> FleetPulse {
        let stopping = self.stop.is_stopping();
        let run = self.usage.run();
        let number = sequence + 1;
        let is_gossip_due = self.peers.is_gossip_due(number, now);
        let nodes = if is_gossip_due { self.peers.gossip_entries(now) } else { Vec::new() };
        let announces_all = is_gossip_due && self.peers.is_representative(now);
        FleetPulse {
            node: run.node.to_string(),
            incarnation: run.incarnation,
            sequence: number,
            zone: self.settings.zone.to_string(),
            region: self.settings.region.to_string(),
            caller_address: self.settings.listen.callers.to_string(),
            ready: self.freshness.is_usable() && !stopping,
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
            fleet: None,
            replica_delta: None,
            store_era: self.mirror.era(),
            sealed_window: self.usage.sealed_window(),
            leaving_replicas: self.mirror.leaving_notices(),
            suspicions: self.crashes.suspicions(self.peers.is_representative(now)),
            clearances: self.crashes.clearances(),
            replica_limits: self.limits.notices(announces_all),
            brittle_replicas: self.brittle.notices(announces_all),
            keeps_slots: true,
            run_request: None,
            run_reply: None,
            run_reports: Vec::new(),
            isolated: !self.peers.is_connected(now),
            turn_request: None,
            turn_reply: None,
            stream_origins: Vec::new(),
            origin_query: None,
            origin_reply: None,
            unreachable_services: self.reach.unreachable(),
            follows_store: self.mirror.is_following_store(),
            cold_candidates: Vec::new(),
            evacuation: self.mirror.evacuation_message(),
            states_pace: self.pace.has_statements(),
            paces: self.pace.reports(),
            piece_slots: self.settings.piece_slots(),
            continues: 0,
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
            replica: row.hash,
            requests: row.own.requests,
            work: row.own.work,
        };
        busy.map(message).collect()
    }
}

/// Returns a message without a sequence number, which carries no state of its sender.
pub fn envelope(clock: &RuntimeClock, node: &str, incarnation: u64) -> FleetPulse {
    let unix_ms = clock.unix_ms();
    FleetPulse { node: node.to_owned(), incarnation, unix_ms, ..FleetPulse::default() }
}

/// Returns a duration as it stands in messages; the largest number of milliseconds stands for any longer
/// one.
pub fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn window_message(window: u64, ended: bool, counts: WindowCounts) -> WindowUsage {
    let (organisations, requests) =
        counts.iter().map(|(name, requests)| (organisation_hash(name), *requests)).unzip();
    WindowUsage { window, organisations, requests, ended, final_requests: 0 }
}
