//! Slots of brittle replicas: one node, the replica's keeper, hands them out to all nodes.
//!
//! A node asks the keeper for a slot before it sends a request, and reports all that it has at the
//! replica whenever a request ends and at intervals. A report names the slots that are still in use
//! and the asks that are still open, so lost and reordered messages do no harm, and a new keeper
//! learns from the reports what is in use before it hands anything out.

use std::time::Duration;

use crate::collections::HashMap;
use crate::fleet::limits::ProcessId;
use crate::fleet::runs::RunReport;
use crate::fleet::window::NodeRun;
use crate::rendezvous;

/// Time for which a new keeper hands out nothing: that until all nodes have reported to it.
pub const LEARNING_TIME: Duration = Duration::from_millis(600);

/// Longest time between two confirmations that a node is still the keeper. One that has missed them was
/// frozen, and another may have taken its place.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a replica is forgotten that this node does not keep and nobody reports on.
const IDLE_RETENTION: Duration = Duration::from_secs(5);

/// Part of the rejections that a replica tolerates that are risked.
const RISKED_REJECTIONS: f64 = 0.5;

/// Longest pause after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Part of a keeper's slots that it hands out where other nodes may hand out the rest and round
/// differently.
const UNKNOWN_FLEET_SHARE: f64 = 0.8;

/// Run time that is expected before any run has ended.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// Weight of the newest run in the mean run time.
const NEWEST_WEIGHT: f64 = 0.1;

/// Longest time that a refused caller is told to wait.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Asks for a slot.
#[derive(Clone, Debug)]
pub struct SlotAsk {
    /// Node that asks.
    pub holder: NodeRun,
    /// Number of the run at that node.
    pub number: u64,
    /// Process of the replica.
    pub process: ProcessId,
    /// Tier of the request; 0 comes first.
    pub tier: u8,
    /// Time for which the request may wait for a slot.
    pub patience: Duration,
    /// Longest time for which the slot is in use.
    pub lifetime: Duration,
}

/// Answer to a [`SlotAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAnswer {
    /// The request may be sent.
    Granted,
    /// The request waits for a slot, which is expected after this time.
    Queued(Duration),
    /// There is no slot within the request's patience; one is expected after this time.
    Denied(Duration),
}

/// A waiting ask that has got its slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// Node that asked.
    pub holder: NodeRun,
    /// Number of the run at that node.
    pub number: u64,
}

#[derive(Clone, Debug)]
struct SlotLease {
    holder: NodeRun,
    number: u64,
    granted: Duration,
    ends: Duration,
}

#[derive(Clone, Debug)]
struct WaitingAsk {
    ask: SlotAsk,
    until: Duration,
}

#[derive(Clone, Debug)]
struct ReplicaSlots {
    process: ProcessId,
    leases: Vec<SlotLease>,
    waiting: Vec<WaitingAsk>,
    /// Number of the newest report of each node.
    reported: HashMap<NodeRun, u64>,
    /// Time from which this node may hand out slots; `None` while it is not the keeper.
    ready_at: Option<Duration>,
    confirmed_at: Duration,
    reported_at: Duration,
    paused_until: Duration,
    mean_run_s: f64,
    /// Time of the last slot that refused callers may come back for.
    promised: Duration,
}

impl ReplicaSlots {
    fn new(process: ProcessId, now: Duration) -> Self {
        Self {
            process,
            leases: Vec::new(),
            waiting: Vec::new(),
            reported: HashMap::default(),
            ready_at: None,
            confirmed_at: now,
            reported_at: now,
            paused_until: Duration::ZERO,
            mean_run_s: DEFAULT_RUN_TIME.as_secs_f64(),
            promised: Duration::ZERO,
        }
    }

    /// Returns how long the node must not hand out slots; `None` if it may.
    fn blocked_for(&self, now: Duration) -> Option<Duration> {
        let ready_at = match self.ready_at {
            Some(at) if now.saturating_sub(self.confirmed_at) < CONFIRMATION_TIMEOUT => at,
            _ => now + LEARNING_TIME,
        };
        Some(ready_at.max(self.paused_until)).filter(|at| *at > now).map(|at| at - now)
    }

    fn drop_ended(&mut self, now: Duration) {
        self.leases.retain(|lease| lease.ends > now);
        self.waiting.retain(|waiting| waiting.until > now);
    }

    fn grant(&mut self, ask: &SlotAsk, now: Duration) {
        self.leases.push(SlotLease {
            holder: ask.holder.clone(),
            number: ask.number,
            granted: now,
            ends: now + ask.lifetime,
        });
    }

    /// Returns the time until an ask gets a slot after `ahead` others.
    fn expected_wait(&self, ahead: usize, room: u32) -> Duration {
        let seconds = self.mean_run_s * (ahead + 1) as f64 / f64::from(room.max(1));
        Duration::from_secs_f64(seconds).min(MAX_WAIT)
    }
}

/// Hands out the slots of the replicas that this node keeps.
#[derive(Debug, Default)]
pub struct SlotKeeper {
    replicas: HashMap<u32, ReplicaSlots>,
}

impl SlotKeeper {
    /// Records whether this node is the keeper of a replica; to be confirmed at short intervals.
    pub fn confirm(&mut self, process: ProcessId, is_keeper: bool, now: Duration) {
        if !is_keeper && !self.replicas.contains_key(&process.replica) {
            return;
        }
        let slots = self.slots_mut(process, now);
        let is_continuous = now.saturating_sub(slots.confirmed_at) < CONFIRMATION_TIMEOUT;
        slots.confirmed_at = now;
        slots.ready_at = match slots.ready_at {
            _ if !is_keeper => None,
            Some(at) if is_continuous => Some(at),
            _ => Some(now + LEARNING_TIME),
        };
        if !is_keeper {
            slots.waiting.clear();
        }
    }

    /// Decides on a request. `room` is the number of the replica's slots that this node hands out.
    pub fn ask(&mut self, ask: SlotAsk, room: u32, now: Duration) -> SlotAnswer {
        let slots = self.slots_mut(ask.process, now);
        if slots.process != ask.process {
            // The replica has a newer process than the asking node knows.
            return SlotAnswer::Denied(LEARNING_TIME);
        }
        slots.drop_ended(now);
        let is_repeated =
            |lease: &SlotLease| lease.number == ask.number && lease.holder == ask.holder;
        if slots.leases.iter().any(is_repeated) {
            return SlotAnswer::Granted;
        }
        if let Some(wait) = slots.blocked_for(now) {
            return SlotAnswer::Denied(wait);
        }
        let ahead = slots.waiting.iter().filter(|it| it.ask.tier <= ask.tier).count();
        if ahead == 0 && (slots.leases.len() as u32) < room {
            slots.grant(&ask, now);
            return SlotAnswer::Granted;
        }
        let is_queued =
            |it: &WaitingAsk| it.ask.number == ask.number && it.ask.holder == ask.holder;
        let wait = slots.expected_wait(ahead, room);
        if slots.waiting.iter().any(is_queued) {
            return SlotAnswer::Queued(wait);
        }
        if wait <= ask.patience {
            slots.waiting.push(WaitingAsk { until: now + ask.patience, ask });
            return SlotAnswer::Queued(wait);
        }
        if ask.patience.is_zero() {
            return SlotAnswer::Denied(wait);
        }
        // Refused callers come back one after the other.
        let at = slots.promised.max(now + wait).min(now + MAX_WAIT);
        slots.promised = at + slots.expected_wait(0, room);
        SlotAnswer::Denied(at - now)
    }

    /// Applies what a node has at a replica.
    pub fn report(
        &mut self,
        holder: &NodeRun,
        process: ProcessId,
        report: &RunReport,
        now: Duration,
    ) {
        let slots = self.slots_mut(process, now);
        if slots.process != process {
            return;
        }
        match slots.reported.get_mut(holder) {
            Some(newest) if *newest >= report.next => return,
            Some(newest) => *newest = report.next,
            None => {
                slots.reported.insert(holder.clone(), report.next);
            }
        }
        slots.reported_at = now;
        let is_open = |number: u64| number >= report.next || report.asked.contains(&number);
        slots.waiting.retain(|it| it.ask.holder != *holder || is_open(it.ask.number));
        let mut ended = Vec::new();
        slots.leases.retain(|lease| {
            let is_used = lease.holder != *holder
                || is_open(lease.number)
                || report.held.iter().any(|held| held.number == lease.number);
            if !is_used {
                ended.push(now.saturating_sub(lease.granted).as_secs_f64());
            }
            is_used
        });
        for run_s in ended {
            slots.mean_run_s += (run_s - slots.mean_run_s) * NEWEST_WEIGHT;
        }
        for held in &report.held {
            let ends = now + held.lifetime;
            let is_known = |it: &&mut SlotLease| it.number == held.number && it.holder == *holder;
            match slots.leases.iter_mut().find(is_known) {
                Some(lease) => lease.ends = ends,
                None => {
                    let number = held.number;
                    slots.leases.push(SlotLease {
                        holder: holder.clone(),
                        number,
                        granted: now,
                        ends,
                    });
                }
            }
        }
    }

    /// Records that the replica turned a request away although it should have had a slot, so something
    /// runs there that nobody reports. Hands out nothing for long enough that the replica tolerates it.
    pub fn record_rejection(&mut self, process: ProcessId, tolerated: u32, now: Duration) {
        let slots = self.slots_mut(process, now);
        let pause = Duration::from_secs_f64(1.0)
            .div_f64((f64::from(tolerated) * RISKED_REJECTIONS).max(0.1))
            .min(MAX_PAUSE);
        slots.paused_until = slots.paused_until.max(now + pause);
    }

    /// Hands out free slots of a replica to the requests that wait for them, the highest tier first.
    pub fn grant_waiting(&mut self, replica: u32, room: u32, now: Duration) -> Vec<SlotGrant> {
        let Some(slots) = self.replicas.get_mut(&replica) else { return Vec::new() };
        slots.drop_ended(now);
        if slots.blocked_for(now).is_some() {
            return Vec::new();
        }
        let mut grants = Vec::new();
        while (slots.leases.len() as u32) < room {
            let order = |(index, it): &(usize, &WaitingAsk)| (it.ask.tier, *index);
            let Some((index, _)) = slots.waiting.iter().enumerate().min_by_key(order) else {
                break;
            };
            let WaitingAsk { ask, .. } = slots.waiting.remove(index);
            slots.grant(&ask, now);
            grants.push(SlotGrant { holder: ask.holder, number: ask.number });
        }
        grants
    }

    /// Returns the replicas for which requests wait.
    pub fn awaited_replicas(&self) -> Vec<u32> {
        let awaited = self.replicas.iter().filter(|(_, slots)| !slots.waiting.is_empty());
        awaited.map(|(replica, _)| *replica).collect()
    }

    /// Returns the number of a replica's slots that are known to be in use.
    pub fn used(&self, replica: u32) -> usize {
        self.replicas.get(&replica).map_or(0, |slots| slots.leases.len())
    }

    /// Drops replicas that this node does not keep and nobody reports on.
    pub fn expire(&mut self, now: Duration) {
        self.replicas.retain(|_, slots| {
            let is_kept =
                slots.ready_at.is_some() && now.saturating_sub(slots.confirmed_at) < IDLE_RETENTION;
            is_kept || now.saturating_sub(slots.reported_at) < IDLE_RETENTION
        });
    }

    /// Returns the row of a replica, which begins anew with each process.
    fn slots_mut(&mut self, process: ProcessId, now: Duration) -> &mut ReplicaSlots {
        let slots = self.replicas.entry(process.replica);
        let slots = slots.or_insert_with(|| ReplicaSlots::new(process, now));
        if process.born > slots.process.born {
            let (ready_at, confirmed_at) = (slots.ready_at, slots.confirmed_at);
            *slots = ReplicaSlots { ready_at, confirmed_at, ..ReplicaSlots::new(process, now) };
        }
        slots
    }
}

/// Returns the number of a replica's `slots` that its keeper hands out, where `participants` of a fleet
/// of `fleet` nodes ask it. The others may have slots of another keeper, or share them without one.
pub fn keeper_room(
    slots: u32,
    replica: u32,
    keeper: &str,
    participants: usize,
    fleet: usize,
) -> u32 {
    if participants >= fleet {
        return slots;
    }
    let share = f64::from(slots) * participants as f64 / fleet as f64 * UNKNOWN_FLEET_SHARE;
    let draw = rendezvous::score(&replica.to_string(), keeper) as f64 / u64::MAX as f64;
    share as u32 + u32::from(draw < share.fract())
}
