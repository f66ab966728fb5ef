//! Model of a service under load: callers, nodes that admit, and replicas that serve by tier.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use berylstep_core::fleet::admission::{
    AdmissionAsk, AdmissionController, AdmissionEnd, AdmissionVerdict, ServiceRoom, TicketNumber,
};

use super::report::{LoadReport, SourceReport};

/// Time step of the model.
const STEP: Duration = Duration::from_millis(10);

/// Time after which a caller that repeats at once is back.
const HASTE: Duration = Duration::from_millis(20);

/// Repeats of such a caller.
const HASTY_REPEATS: u32 = 5;

/// What callers do about a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerManner {
    /// They come back once, at the time that it names.
    Waits,
    /// They come back at once, several times.
    RepeatsAtOnce,
}

/// Time in which a load is a multiple of the usual one.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    pub factor: f64,
    pub from: Duration,
    pub to: Duration,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct LoadSource {
    pub tier: u8,
    pub organisation: u64,
    pub per_second: f64,
    /// Time for which a request takes a slot.
    pub run: Duration,
    pub objective: Duration,
    pub deadline: Duration,
    pub gap_limit: Duration,
    pub work: u64,
    pub manner: CallerManner,
    pub surge: Option<Surge>,
}

/// Short requests of the highest tier.
pub const CHAT: LoadSource = LoadSource {
    tier: 0,
    organisation: 0,
    per_second: 150.0,
    run: Duration::from_millis(300),
    objective: Duration::from_millis(400),
    deadline: Duration::from_secs(10),
    gap_limit: Duration::from_millis(3200),
    work: 900,
    manner: CallerManner::Waits,
    surge: None,
};

/// Requests of the middle tier.
pub const SUMMARY: LoadSource = LoadSource {
    tier: 1,
    per_second: 100.0,
    run: Duration::from_millis(200),
    objective: Duration::from_millis(500),
    deadline: Duration::from_secs(3),
    gap_limit: Duration::from_millis(4800),
    work: 2400,
    ..CHAT
};

/// Long requests of the lowest tier.
pub const REVIEW: LoadSource = LoadSource {
    tier: 2,
    per_second: 100.0,
    run: Duration::from_millis(600),
    objective: Duration::from_millis(2500),
    deadline: Duration::from_secs(12),
    gap_limit: Duration::from_secs(12),
    work: 12_000,
    ..CHAT
};

/// A load on a fleet.
#[derive(Clone, Debug)]
pub struct FleetLoad {
    pub nodes: usize,
    pub slots: u32,
    pub sources: Vec<LoadSource>,
    /// Time between two reports of the nodes to each other.
    pub age: Duration,
    /// Whether nodes know the requests of others.
    pub informed: bool,
    /// Time in which a part of the slots is lost.
    pub lost: Option<(Range<Duration>, f64)>,
    /// Whether nodes decide on admission; without it, all requests go to the replicas.
    pub admits: bool,
    /// Time from which requests are counted.
    pub counted_from: Duration,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct CallerRequest {
    source: usize,
    identity: u64,
    began: Duration,
    deadline: Duration,
    tries: u32,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    caller: CallerRequest,
    node: usize,
    ticket: TicketNumber,
    arrived: Duration,
    decide_at: Duration,
    admitted_at: Duration,
    left: Duration,
    first_event: Option<Duration>,
}

struct LoadRun<'a> {
    load: &'a FleetLoad,
    random: fastrand::Rng,
    controllers: Vec<AdmissionController>,
    own: Vec<u32>,
    /// Requests in progress as of the last report.
    known: u32,
    pending: Vec<OpenRequest>,
    /// Requests at replicas, by tier and in the order of their admission.
    running: BTreeMap<u8, Vec<OpenRequest>>,
    returning: Vec<(Duration, CallerRequest)>,
    identities: u64,
    report: LoadReport,
}

impl FleetLoad {
    /// Returns a load on ten nodes that takes seven tenths of the slots.
    pub fn usual() -> Self {
        Self {
            nodes: 10,
            slots: 180,
            sources: vec![CHAT, SUMMARY, REVIEW],
            age: Duration::from_millis(250),
            informed: true,
            lost: None,
            admits: true,
            counted_from: Duration::ZERO,
            seed: 7,
        }
    }

    /// Multiplies the slots and the load.
    pub fn scaled(mut self, factor: u32) -> Self {
        self.slots *= factor;
        for source in &mut self.sources {
            source.per_second *= f64::from(factor);
        }
        self
    }

    /// Returns the requests of the usual mix that the replicas complete in a second.
    pub fn capacity(&self) -> f64 {
        let count: f64 = self.sources.iter().map(|source| source.per_second).sum();
        let busy = |source: &LoadSource| source.per_second * source.run.as_secs_f64();
        let busy: f64 = self.sources.iter().map(busy).sum();
        f64::from(self.slots) * count / busy
    }

    /// Runs the load for a time, and until what has begun has ended.
    pub fn run(&self, time: Duration) -> LoadReport {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut controller = |_| AdmissionController::new(random.f64(), Duration::ZERO);
        let controllers: Vec<_> = (0..self.nodes).map(&mut controller).collect();
        let sources = self.sources.iter().map(|source| SourceReport::new(source.objective));
        let mut run = LoadRun {
            load: self,
            random,
            own: vec![0; self.nodes],
            known: 0,
            pending: Vec::new(),
            running: BTreeMap::new(),
            returning: Vec::new(),
            identities: 0,
            report: LoadReport::new(sources.collect()),
            controllers,
        };
        let mut now = Duration::ZERO;
        while now < time || !run.is_idle() {
            run.step(now, now < time);
            now += STEP;
        }
        run.report
    }

    fn slots_at(&self, now: Duration) -> u32 {
        match &self.lost {
            Some((time, part)) if time.contains(&now) => {
                (f64::from(self.slots) * (1.0 - part)) as u32
            }
            _ => self.slots,
        }
    }
}

impl LoadRun<'_> {
    fn is_idle(&self) -> bool {
        let is_empty = self.running.values().all(Vec::is_empty);
        is_empty && self.pending.is_empty() && self.returning.is_empty()
    }

    fn step(&mut self, now: Duration, arrives: bool) {
        let report_due = now.as_millis() % self.load.age.as_millis().max(1) < STEP.as_millis();
        if report_due {
            self.known = self.own.iter().sum();
            self.controllers.iter_mut().for_each(|controller| controller.expire(now));
        }
        if arrives {
            self.send_new(now);
        }
        let is_due = |(at, _): &(Duration, CallerRequest)| *at <= now;
        let (due, later) = std::mem::take(&mut self.returning).into_iter().partition(is_due);
        self.returning = later;
        let due: Vec<(Duration, CallerRequest)> = due;
        due.into_iter().for_each(|(_, caller)| self.arrive(caller, now));
        self.decide(now);
        self.serve(now);
    }

    fn send_new(&mut self, now: Duration) {
        for (index, source) in self.load.sources.iter().enumerate() {
            let surge = source.surge.filter(|surge| (surge.from..surge.to).contains(&now));
            let mean = source.per_second * surge.map_or(1.0, |surge| surge.factor);
            let mean = mean * STEP.as_secs_f64();
            let count = mean as u32 + u32::from(self.random.f64() < mean.fract());
            for _ in 0..count {
                self.identities += 1;
                let caller = CallerRequest {
                    source: index,
                    identity: self.identities,
                    began: now,
                    deadline: now + source.deadline,
                    tries: 0,
                };
                self.report.sources[index].asked += u32::from(now >= self.load.counted_from);
                self.arrive(caller, now);
            }
        }
    }

    fn arrive(&mut self, mut caller: CallerRequest, now: Duration) {
        caller.tries += 1;
        let source = &self.load.sources[caller.source];
        let node = self.random.usize(..self.load.nodes);
        let ask = AdmissionAsk {
            tier: source.tier,
            organisation: source.organisation,
            arrived: now,
            objective: now + source.objective,
            deadline: caller.deadline,
            gap_limit: source.gap_limit,
            work: source.work,
            identity: caller.identity,
            draw: draw(caller.identity, now),
        };
        let ticket = self.controllers[node].arrive(ask, now);
        self.pending.push(OpenRequest {
            caller,
            node,
            ticket,
            arrived: now,
            decide_at: now,
            admitted_at: now,
            left: source.run,
            first_event: None,
        });
    }

    fn room(&mut self, node: usize, now: Duration) -> ServiceRoom {
        let part = 1.0 / self.load.nodes as f64;
        let slots = self.load.slots_at(now);
        let controller = &mut self.controllers[node];
        match self.load.informed {
            true => ServiceRoom {
                slots,
                requests: self.known,
                ended_per_second: controller.completion_rate(slots, self.known, now),
                share: part,
                knows_others: true,
            },
            false => {
                let (slots, requests) = ((f64::from(slots) * part) as u32, self.own[node]);
                ServiceRoom {
                    slots,
                    requests,
                    ended_per_second: controller.completion_rate(slots, requests, now),
                    share: 1.0,
                    knows_others: false,
                }
            }
        }
    }

    fn decide(&mut self, now: Duration) {
        let pending = std::mem::take(&mut self.pending);
        for mut request in pending {
            if request.decide_at > now {
                self.pending.push(request);
                continue;
            }
            let room = self.room(request.node, now);
            let controller = &mut self.controllers[request.node];
            let verdict = match self.load.admits {
                true => controller.decide(request.ticket, &room, now),
                false => {
                    controller.admit(request.ticket, now);
                    AdmissionVerdict::Admitted
                }
            };
            let held = now - request.arrived;
            let index = request.caller.source;
            let source = &mut self.report.sources[index];
            match verdict {
                AdmissionVerdict::Admitted => {
                    source.longest_hold = source.longest_hold.max(held);
                    self.report.admitted.push(now);
                    request.admitted_at = now;
                    self.own[request.node] += 1;
                    self.running.entry(self.load.sources[index].tier).or_default().push(request);
                }
                AdmissionVerdict::Waits(wait) => {
                    request.decide_at = now + wait;
                    self.pending.push(request);
                }
                AdmissionVerdict::Refused { retry_after, .. } => {
                    let in_use = f64::from(room.requests) / f64::from(room.slots);
                    let least = &mut self.report.least_requests_at_refusal;
                    *least = least.min(in_use);
                    let left = request.caller.deadline.saturating_sub(now).as_secs_f64();
                    source.record_refusal(held, retry_after.as_secs_f64() / left);
                    self.send_again(request.caller, retry_after, now);
                }
            }
        }
    }

    fn send_again(&mut self, caller: CallerRequest, retry_after: Duration, now: Duration) {
        let manner = self.load.sources[caller.source].manner;
        let (wait, tries) = match manner {
            CallerManner::Waits => (retry_after, 2),
            CallerManner::RepeatsAtOnce => (HASTE, 1 + HASTY_REPEATS),
        };
        if caller.tries < tries && now + wait < caller.deadline {
            self.returning.push((now + wait, caller));
        }
    }

    /// Serves the requests at the replicas in the order of their tiers.
    fn serve(&mut self, now: Duration) {
        let slots = self.load.slots_at(now);
        let requests: usize = self.running.values().map(Vec::len).sum();
        self.report.most_requests = self.report.most_requests.max(requests as u32);
        if self.load.sources.iter().any(|source| is_surging(source, now)) {
            self.report.slots_used += f64::from(slots.min(requests as u32));
            self.report.slots_there += f64::from(slots);
        }
        let mut free = slots;
        let (own, controllers) = (&mut self.own, &mut self.controllers);
        let (load, report) = (self.load, &mut self.report);
        for (tier, queue) in &mut self.running {
            queue.retain_mut(|request| {
                let source = &load.sources[request.caller.source];
                if free > 0 {
                    free -= 1;
                    request.first_event.get_or_insert(now);
                    request.left = request.left.saturating_sub(STEP);
                }
                let is_silent = request.first_event.is_none();
                let end = match () {
                    () if request.left.is_zero() => AdmissionEnd::Served,
                    () if now >= request.caller.deadline => AdmissionEnd::Failed,
                    () if is_silent && now >= request.arrived + source.gap_limit => {
                        AdmissionEnd::Failed
                    }
                    () => return true,
                };
                debug_assert_eq!(*tier, source.tier);
                own[request.node] -= 1;
                controllers[request.node].leave(request.ticket, end, now);
                let is_counted = request.caller.began >= load.counted_from;
                if end == AdmissionEnd::Served && is_counted {
                    let first = request.first_event.unwrap_or(now) - request.caller.began;
                    report.sources[request.caller.source].record_served(first);
                }
                false
            });
        }
    }
}

/// Returns the number that all nodes draw for a request within some seconds.
fn draw(identity: u64, now: Duration) -> f64 {
    fastrand::Rng::with_seed(identity ^ (now.as_secs() / 4) << 40).f64()
}

fn is_surging(source: &LoadSource, now: Duration) -> bool {
    // The first seconds fill the slots.
    let settled = Duration::from_secs(2);
    source.surge.is_some_and(|surge| (surge.from + settled..surge.to).contains(&now))
}
