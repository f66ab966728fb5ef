//! The fleet of a soak and what is done to it.

use std::fs::File;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use super::callers::{run_caller, CallerSite, KnownGateway};
use super::plan::{PlannedFault, SoakFault, SoakPlan, STORM_PAUSE};
use super::record::{
    organisation_name, PlannedStop, ProcessPeak, ReplicaRun, RequestKind, SoakRecord, StateChange,
    TroubleSpan, TroubleSpot,
};
use super::replicas::{ReplicaIdentity, SoakReplica};
use crate::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use crate::fleet::store::{FakeStore, StoreMode};
use crate::fleet::{desired_state_for, lock};
use crate::process::free_address;
use crate::relay::{RelayMode, TcpRelay};

/// Number of the first gateway, which is also the last byte of its address.
const FIRST_NUMBER: u8 = 2;

/// Gateways that each one is told of at its start.
const SEED_COUNT: u8 = 3;

/// Time from the signal to stop to the end of a process, with a second for the machine.
const STOP_TIME: Duration = Duration::from_secs(9);

/// Time for which a leaving replica goes on before its entry is removed.
const LEAVING_TIME: Duration = Duration::from_secs(2);

/// Time between looks at the processes.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Time between looks at a process that is stopping.
const EXIT_PAUSE: Duration = Duration::from_millis(20);

/// Kinds whose services have replicas of their own; a replica serves one of them.
const SERVICES: [RequestKind; 4] = RequestKind::ALL;

/// The process of a gateway.
struct ProcessSlot {
    /// `None` while it is down.
    process: Option<FleetGateway>,
    /// Whether a fault is about to end it and to start it again.
    is_ending: bool,
}

struct SoakGateway {
    plan: GatewayConfig,
    slot: Mutex<ProcessSlot>,
    callers: TcpRelay,
    store: TcpRelay,
}

struct SoakSite {
    plan: SoakPlan,
    start: Instant,
    store: FakeStore,
    gateways: Vec<SoakGateway>,
    replicas: Vec<SoakReplica>,
    replaced: AtomicUsize,
    state: Mutex<DesiredNotes>,
    callers: CallerSite,
    record: Mutex<SoakRecord>,
    over: AtomicBool,
}

/// What the operator has sent.
#[derive(Default)]
struct DesiredNotes {
    version: u64,
    withdrawn: Vec<usize>,
    changes: Vec<StateChange>,
}

/// Plays a soak; the gateways' logs go to files in `folder`.
pub fn run_soak(plan: SoakPlan, folder: &Path) -> std::io::Result<SoakRecord> {
    let start = Instant::now();
    let runs: Arc<Mutex<Vec<ReplicaRun>>> = Arc::default();
    let store = FakeStore::start();
    let mut replicas = Vec::new();
    for service in SERVICES {
        for number in 0..plan.replicas {
            let id = format!("{}-{number}", service.name());
            let identity = ReplicaIdentity { id, service };
            let replica = SoakReplica::start(identity, start, &runs)?;
            replica.announce(&store, "ready");
            replicas.push(replica);
        }
    }
    let gateways = start_gateways(&plan, &store, folder)?;
    let known = gateways.iter().map(|gateway| KnownGateway {
        named: gateway.plan.listen[0],
        link: gateway.callers.address(),
        directory: gateway.plan.listen[2],
        incarnation: AtomicUsize::new(0),
    });
    let callers = CallerSite {
        gateways: known.collect(),
        organisations: plan.organisations,
        start,
        end: start + plan.length,
        requests: Mutex::default(),
    };
    let mut site = SoakSite {
        plan,
        start,
        store,
        gateways,
        replicas,
        replaced: AtomicUsize::new(0),
        state: Mutex::default(),
        callers,
        record: Mutex::default(),
        over: AtomicBool::new(false),
    };
    site.change_state(|_| {});
    for gateway in &site.gateways {
        let is_ready = || lock(&gateway.slot).process.as_ref().is_some_and(FleetGateway::is_ready);
        wait_until("the gateways are ready", is_ready);
    }
    let settled = start.elapsed();
    site.callers.end += settled;
    for fault in &mut site.plan.faults {
        fault.at += settled;
    }
    site.play(folder);
    let mut record = std::mem::take(&mut *lock(&site.record));
    record.requests = std::mem::take(&mut *lock(&site.callers.requests));
    record.runs = lock(&runs).clone();
    record.changes = std::mem::take(&mut lock(&site.state).changes);
    let duties = ["/usage", "/scaling"].into_iter().flat_map(|path| site.store.duty_calls(path));
    record.duties = duties.map(|call| (call.clone(), call.at - start)).collect();
    Ok(record)
}

fn start_gateways(
    plan: &SoakPlan,
    store: &FakeStore,
    folder: &Path,
) -> std::io::Result<Vec<SoakGateway>> {
    let peer_port = free_address().port();
    let mut gateways = Vec::new();
    for number in (FIRST_NUMBER..).take(plan.gateways) {
        let link = TcpRelay::start(store.address)?;
        let mut plan = GatewayConfig::new(link.address(), number, peer_port);
        plan.seeds = (FIRST_NUMBER..FIRST_NUMBER + SEED_COUNT).collect();
        let process = plan.spawn(log_file(folder, number, 0)?.into())?;
        plan.first_start = false;
        let callers = TcpRelay::start(plan.listen[0])?;
        let slot = Mutex::new(ProcessSlot { process: Some(process), is_ending: false });
        gateways.push(SoakGateway { plan, slot, callers, store: link });
    }
    Ok(gateways)
}

fn log_file(folder: &Path, number: u8, incarnation: usize) -> std::io::Result<File> {
    File::create(folder.join(format!("gateway-{number}.{incarnation}.log")))
}

impl SoakSite {
    fn play(&self, folder: &Path) {
        std::thread::scope(|scope| {
            for number in 0..self.plan.callers {
                scope.spawn(move || run_caller(&self.callers, number, self.plan.seed));
            }
            scope.spawn(|| self.watch());
            let faults: Vec<_> = self
                .plan
                .faults
                .iter()
                .map(|fault| scope.spawn(move || self.inject(fault, folder)))
                .collect();
            for fault in faults {
                if fault.join().is_err() {
                    log::error!("a fault could not be injected");
                }
            }
            let end = self.callers.end - self.start;
            lock(&self.record).calm = (self.start.elapsed(), end);
            std::thread::sleep(end.saturating_sub(self.start.elapsed()));
            self.over.store(true, Ordering::SeqCst);
        });
    }

    fn inject(&self, planned: &PlannedFault, folder: &Path) {
        std::thread::sleep(planned.at.saturating_sub(self.start.elapsed()));
        let from = self.start.elapsed();
        let lasts = planned.lasts;
        // Open while the fault lasts, so that the record knows of it if the traffic ends first.
        let spot = self.spot(planned.fault);
        match planned.fault {
            SoakFault::Stop(gateway) => self.stop(gateway, from, folder),
            SoakFault::Kill(gateway) => {
                if self.begin_ending(gateway, |process| process.process.kill()) {
                    std::thread::sleep(lasts);
                    self.start_again(gateway, folder);
                }
            }
            SoakFault::Freeze(gateway) => {
                self.with_process(gateway, |process| process.process.freeze());
                std::thread::sleep(lasts);
                self.with_process(gateway, |process| process.process.thaw());
            }
            SoakFault::Callers(gateway, mode) => {
                trouble_link(&self.gateways[gateway].callers, mode, lasts);
            }
            SoakFault::StoreLink(gateway, mode) => {
                trouble_link(&self.gateways[gateway].store, mode, lasts);
            }
            SoakFault::ReplicaLink(replica, mode) => {
                trouble_link(&self.replicas[replica].link, mode, lasts);
            }
            SoakFault::Drain(replica) => {
                let replica = &self.replicas[replica];
                lock(&self.record).drains.push((replica.id(), from));
                replica.announce(&self.store, "draining");
                std::thread::sleep(LEAVING_TIME.max(lasts));
                self.replace(replica);
            }
            SoakFault::Replace(replica) => {
                let replica = &self.replicas[replica];
                replica.link.set_mode(RelayMode::Cut);
                std::thread::sleep(lasts);
                self.replace(replica);
                replica.link.set_mode(RelayMode::Open);
            }
            SoakFault::Store(mode) => {
                self.store.set_mode(mode);
                std::thread::sleep(lasts);
                self.store.set_mode(StoreMode::Up);
            }
            SoakFault::ForgetHistory => self.store.forget_history(),
            SoakFault::Change(count) => {
                for _ in 0..count {
                    self.change_state(|_| {});
                    std::thread::sleep(STORM_PAUSE);
                }
            }
            SoakFault::Withdraw(organisation) => {
                self.change_state(|withdrawn| withdrawn.push(organisation));
                std::thread::sleep(lasts);
                self.change_state(|withdrawn| {
                    let index = withdrawn.iter().position(|number| *number == organisation);
                    index.map(|index| withdrawn.swap_remove(index));
                });
            }
        }
        if let Some(spot) = spot {
            let until = self.start.elapsed();
            lock(&self.record).troubles.push(TroubleSpan { spot, from, until });
        }
    }

    /// What a fault troubles; changes of the operator and of replicas as planned trouble nothing.
    fn spot(&self, fault: SoakFault) -> Option<TroubleSpot> {
        match fault {
            SoakFault::Stop(gateway)
            | SoakFault::Kill(gateway)
            | SoakFault::Freeze(gateway)
            | SoakFault::Callers(gateway, _)
            | SoakFault::StoreLink(gateway, _) => Some(TroubleSpot::Gateway(gateway)),
            SoakFault::ReplicaLink(replica, _) | SoakFault::Replace(replica) => {
                Some(TroubleSpot::Replica(replica))
            }
            SoakFault::Store(_) | SoakFault::ForgetHistory => Some(TroubleSpot::Store),
            SoakFault::Drain(_) | SoakFault::Change(_) | SoakFault::Withdraw(_) => None,
        }
    }

    fn with_process(&self, gateway: usize, act: impl FnOnce(&FleetGateway)) {
        if let Some(process) = &lock(&self.gateways[gateway].slot).process {
            act(process);
        }
    }

    /// Lets `act` end a process, unless another fault is about to; tells whether it did.
    fn begin_ending(&self, gateway: usize, act: impl FnOnce(&mut FleetGateway)) -> bool {
        let mut slot = lock(&self.gateways[gateway].slot);
        if slot.is_ending {
            return false;
        }
        let Some(process) = &mut slot.process else { return false };
        act(process);
        slot.is_ending = true;
        true
    }

    /// Stops a gateway as planned and starts it again once it has ended.
    fn stop(&self, gateway: usize, at: Duration, folder: &Path) {
        if !self.begin_ending(gateway, |process| process.process.terminate()) {
            return;
        }
        let deadline = Instant::now() + STOP_TIME;
        let look = || {
            let mut slot = lock(&self.gateways[gateway].slot);
            slot.process.as_mut().and_then(|process| process.process.exit_code())
        };
        let mut exit = look();
        while exit.is_none() && Instant::now() < deadline {
            std::thread::sleep(EXIT_PAUSE);
            exit = look();
        }
        lock(&self.record).stops.push(PlannedStop { gateway, at, exit });
        self.start_again(gateway, folder);
    }

    /// Starts a gateway whose process has ended or is to be killed now.
    fn start_again(&self, gateway: usize, folder: &Path) {
        let mut slot = lock(&self.gateways[gateway].slot);
        // Removes its settings file, which the next process gets anew.
        slot.process = None;
        let incarnation = &self.callers.gateways[gateway].incarnation;
        let number = incarnation.fetch_add(1, Ordering::SeqCst) + 1;
        let plan = &self.gateways[gateway].plan;
        let started = log_file(folder, plan.number, number).and_then(|log| plan.spawn(log.into()));
        match started {
            Ok(started) => slot.process = Some(started),
            Err(err) => log::error!("cannot start gateway {gateway}: {err}"),
        }
        slot.is_ending = false;
    }

    /// Lets another replica take over the address of one that is gone.
    fn replace(&self, replica: &SoakReplica) {
        replica.withdraw(&self.store);
        let number = self.replaced.fetch_add(1, Ordering::SeqCst);
        replica.replace(format!("{}-r{number}", replica.id()));
        replica.announce(&self.store, "ready");
    }

    /// Sends a new version of the desired state.
    fn change_state(&self, change: impl FnOnce(&mut Vec<usize>)) {
        let mut state = lock(&self.state);
        change(&mut state.withdrawn);
        state.version += 1;
        let version = state.version;
        let allowed: Vec<_> = (0..self.plan.organisations)
            .filter(|organisation| !state.withdrawn.contains(organisation))
            .collect();
        let organisations: Vec<_> = allowed
            .iter()
            .map(|number| {
                json!({"Name": organisation_name(*number, version),
                       "Keys": [format!("key-{number}")], "Priority": 1})
            })
            .collect();
        // Noted first: a gateway may act on it at once.
        state.changes.push(StateChange { version, at: Duration::MAX, allowed });
        self.store.put("op", "config", Some(desired_state_for(version, &json!(organisations))));
        let at = self.start.elapsed();
        if let Some(change) = state.changes.last_mut() {
            change.at = at;
        }
    }

    /// Watches the processes until the traffic ends.
    fn watch(&self) {
        while !self.over.load(Ordering::SeqCst) {
            std::thread::sleep(LOOK_PAUSE);
            for (number, gateway) in self.gateways.iter().enumerate() {
                let mut slot = lock(&gateway.slot);
                if slot.is_ending {
                    continue;
                }
                let Some(running) = &mut slot.process else { continue };
                let peak = process_peak(running.process.id());
                lock(&self.record).peaks.extend(peak);
                if running.process.exit_code().is_some() {
                    let at = self.start.elapsed();
                    lock(&self.record).unplanned_ends.push((number, at));
                    slot.process = None;
                }
            }
        }
    }
}

fn trouble_link(link: &TcpRelay, mode: RelayMode, lasts: Duration) {
    link.set_mode(mode);
    std::thread::sleep(lasts);
    link.set_mode(RelayMode::Open);
}

/// What a process uses; `None` where it has just ended.
fn process_peak(id: u32) -> Option<ProcessPeak> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let memory_kib = line.trim().split(' ').next()?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
    Some(ProcessPeak { memory_kib, descriptors })
}
