//! Fleet of a soak: starts it, injects the planned faults and records what happens.

use std::fs::File;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use super::callers::{run_caller, CallerContext, KnownGateway};
use super::plan::{PlannedFault, SoakFault, SoakPlan, CHANGE_INTERVAL};
use super::record::{
    organisation_name, FaultInterval, FaultTarget, NamedLimit, PlannedStop, ProcessPeak,
    ReplicaRun, RequestKind, SoakRecord, StateChange,
};
use super::replicas::{ReplicaIdentity, SoakReplica};
use crate::fleet::gateway::{wait_until, FleetGateway, GatewayConfig};
use crate::fleet::store::{FakeStore, StoreMode};
use crate::fleet::{add_routes, desired_state_for, lock};
use crate::process::free_address;
use crate::relay::{RelayMode, TcpRelay};

/// Number of the first gateway, also the last byte of its address.
const FIRST_NUMBER: u8 = 2;

/// Number of seed peers of each gateway.
const SEED_COUNT: u8 = 3;

/// Maximum time from the signal to the exit of a process, with 1 s of allowance for a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(9);

/// Minimum time between the drain of a replica and the removal of its entry.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Interval between checks of the gateway processes.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks whether a stopping process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Services, one for each kind of request; each has its own replicas.
const SERVICES: [RequestKind; 4] = RequestKind::ALL;

/// The process of a gateway.
struct ProcessSlot {
    /// Running process; `None` while the gateway is down.
    process: Option<FleetGateway>,
    /// Whether a fault is stopping or restarting the process.
    is_restarting: bool,
}

struct SoakGateway {
    config: GatewayConfig,
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
    desired: Mutex<DesiredHistory>,
    callers: CallerContext,
    record: Mutex<SoakRecord>,
    is_finished: AtomicBool,
}

/// Versions of the desired state written so far.
#[derive(Default)]
struct DesiredHistory {
    version: u64,
    withdrawn: Vec<usize>,
    changes: Vec<StateChange>,
}

/// Runs a soak and returns its record; the gateways' logs go to files in `folder`.
///
/// Fails if a process, a relay or a log file cannot be started or created.
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
            replica.write_entry(&store, "ready");
            replicas.push(replica);
        }
    }
    let gateways = start_gateways(&plan, &store, folder)?;
    let known = gateways.iter().map(|gateway| KnownGateway {
        listed: gateway.config.listen[0],
        relay: gateway.callers.address(),
        directory: gateway.config.listen[2],
        incarnation: AtomicUsize::new(0),
    });
    let callers = CallerContext {
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
        desired: Mutex::default(),
        callers,
        record: Mutex::default(),
        is_finished: AtomicBool::new(false),
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
    site.run(folder);
    let mut record = std::mem::take(&mut *lock(&site.record));
    record.requests = std::mem::take(&mut *lock(&site.callers.requests));
    record.runs = lock(&runs).clone();
    record.changes = std::mem::take(&mut lock(&site.desired).changes);
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
        let mut config = GatewayConfig::new(link.address(), number, peer_port);
        config.seeds = (FIRST_NUMBER..FIRST_NUMBER + SEED_COUNT).collect();
        let process = config.spawn(log_file(folder, number, 0)?.into())?;
        config.first_start = false;
        let callers = TcpRelay::start(config.listen[0])?;
        let slot = Mutex::new(ProcessSlot { process: Some(process), is_restarting: false });
        gateways.push(SoakGateway { config, slot, callers, store: link });
    }
    Ok(gateways)
}

fn log_file(folder: &Path, number: u8, incarnation: usize) -> std::io::Result<File> {
    File::create(folder.join(format!("gateway-{number}.{incarnation}.log")))
}

impl SoakSite {
    fn run(&self, folder: &Path) {
        std::thread::scope(|scope| {
            for number in 0..self.plan.callers {
                scope.spawn(move || run_caller(&self.callers, number, self.plan.seed));
            }
            scope.spawn(|| self.monitor_processes());
            scope.spawn(|| self.name_limit());
            let faults: Vec<_> = self
                .plan
                .faults
                .iter()
                .map(|fault| scope.spawn(move || self.inject(fault, folder)))
                .collect();
            for fault in faults {
                if fault.join().is_err() {
                    log::error!("fault injection panicked");
                }
            }
            let end = self.callers.end - self.start;
            lock(&self.record).recovery_period = (self.start.elapsed(), end);
            std::thread::sleep(end.saturating_sub(self.start.elapsed()));
            self.is_finished.store(true, Ordering::SeqCst);
        });
    }

    /// Makes a replica name the planned limit, unless it is replaced before.
    fn name_limit(&self) {
        let Some(planned) = self.plan.limit else { return };
        std::thread::sleep(planned.at);
        let replica = &self.replicas[planned.replica];
        let (id, from) = (replica.id(), self.start.elapsed());
        replica.set_limit(Some(planned.per_second));
        std::thread::sleep(planned.lasts);
        replica.set_limit(None);
        let until = self.start.elapsed();
        let limit = NamedLimit { replica: id, per_second: planned.per_second, from, until };
        lock(&self.record).limits.push(limit);
    }

    fn inject(&self, planned: &PlannedFault, folder: &Path) {
        std::thread::sleep(planned.at.saturating_sub(self.start.elapsed()));
        let from = self.start.elapsed();
        let lasts = planned.lasts;
        // Recorded with its interval once the fault has ended; `run` waits for all faults.
        let target = self.fault_target(planned.fault);
        match planned.fault {
            SoakFault::Stop(gateway) => self.stop(gateway, from, folder),
            SoakFault::Kill(gateway) => {
                if self.begin_restart(gateway, |process| process.process.kill()) {
                    std::thread::sleep(lasts);
                    self.restart(gateway, folder);
                }
            }
            SoakFault::Freeze(gateway) => {
                self.with_process(gateway, |process| process.process.freeze());
                std::thread::sleep(lasts);
                self.with_process(gateway, |process| process.process.thaw());
            }
            SoakFault::Callers(gateway, mode) => {
                disrupt_link(&self.gateways[gateway].callers, mode, lasts);
            }
            SoakFault::StoreLink(gateway, mode) => {
                disrupt_link(&self.gateways[gateway].store, mode, lasts);
            }
            SoakFault::ReplicaLink(replica, mode) => {
                disrupt_link(&self.replicas[replica].link, mode, lasts);
            }
            SoakFault::Drain(replica) => {
                let replica = &self.replicas[replica];
                lock(&self.record).drains.push((replica.id(), from));
                replica.write_entry(&self.store, "draining");
                std::thread::sleep(MIN_DRAIN_TIME.max(lasts));
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
                    std::thread::sleep(CHANGE_INTERVAL);
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
        if let Some(target) = target {
            let until = self.start.elapsed();
            lock(&self.record).fault_intervals.push(FaultInterval { target, from, until });
        }
    }

    /// Returns the component that a fault affects; `None` for planned changes by the operator and
    /// planned drains of replicas.
    fn fault_target(&self, fault: SoakFault) -> Option<FaultTarget> {
        match fault {
            SoakFault::Stop(gateway)
            | SoakFault::Kill(gateway)
            | SoakFault::Freeze(gateway)
            | SoakFault::Callers(gateway, _)
            | SoakFault::StoreLink(gateway, _) => Some(FaultTarget::Gateway(gateway)),
            SoakFault::ReplicaLink(replica, _) | SoakFault::Replace(replica) => {
                Some(FaultTarget::Replica(replica))
            }
            SoakFault::Store(_) | SoakFault::ForgetHistory => Some(FaultTarget::Store),
            SoakFault::Drain(_) | SoakFault::Change(_) | SoakFault::Withdraw(_) => None,
        }
    }

    fn with_process(&self, gateway: usize, act: impl FnOnce(&FleetGateway)) {
        if let Some(process) = &lock(&self.gateways[gateway].slot).process {
            act(process);
        }
    }

    /// Stops a process with `act` unless it is down or another fault is restarting it; returns
    /// whether it did.
    fn begin_restart(&self, gateway: usize, act: impl FnOnce(&mut FleetGateway)) -> bool {
        let mut slot = lock(&self.gateways[gateway].slot);
        if slot.is_restarting {
            return false;
        }
        let Some(process) = &mut slot.process else { return false };
        act(process);
        slot.is_restarting = true;
        true
    }

    /// Stops a gateway gracefully and restarts it once it has exited or [`STOP_LIMIT`] has passed.
    fn stop(&self, gateway: usize, at: Duration, folder: &Path) {
        if !self.begin_restart(gateway, |process| process.process.terminate()) {
            return;
        }
        let deadline = Instant::now() + STOP_LIMIT;
        let exit_code = || {
            let mut slot = lock(&self.gateways[gateway].slot);
            slot.process.as_mut().and_then(|process| process.process.exit_code())
        };
        let mut exit = exit_code();
        while exit.is_none() && Instant::now() < deadline {
            std::thread::sleep(EXIT_POLL_INTERVAL);
            exit = exit_code();
        }
        lock(&self.record).stops.push(PlannedStop { gateway, at, exit });
        self.restart(gateway, folder);
    }

    /// Restarts a gateway; kills its process if it still runs.
    fn restart(&self, gateway: usize, folder: &Path) {
        let mut slot = lock(&self.gateways[gateway].slot);
        // Dropping the old process removes its settings file, which the new process writes again.
        slot.process = None;
        let incarnation = &self.callers.gateways[gateway].incarnation;
        let number = incarnation.fetch_add(1, Ordering::SeqCst) + 1;
        let config = &self.gateways[gateway].config;
        let started =
            log_file(folder, config.number, number).and_then(|log| config.spawn(log.into()));
        match started {
            Ok(started) => slot.process = Some(started),
            Err(err) => log::error!("cannot restart gateway {gateway}: {err}"),
        }
        slot.is_restarting = false;
    }

    /// Replaces a replica that is gone with another one at the same address.
    fn replace(&self, replica: &SoakReplica) {
        replica.remove_entry(&self.store);
        let number = self.replaced.fetch_add(1, Ordering::SeqCst);
        replica.replace(format!("{}-r{number}", replica.id()));
        replica.write_entry(&self.store, "ready");
    }

    /// Writes a new version of the desired state; `change` edits the list of withdrawn
    /// organisations.
    fn change_state(&self, change: impl FnOnce(&mut Vec<usize>)) {
        let mut state = lock(&self.desired);
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
        // Recorded before the write because a gateway may act on it at once.
        state.changes.push(StateChange { version, at: Duration::MAX, allowed });
        let mut desired = desired_state_for(version, &json!(organisations));
        add_routes(&mut desired, self.plan.idle_routes);
        self.store.put("op", "config", Some(desired));
        let at = self.start.elapsed();
        if let Some(change) = state.changes.last_mut() {
            change.at = at;
        }
    }

    /// Samples the gateway processes and records unplanned exits until the traffic ends.
    fn monitor_processes(&self) {
        while !self.is_finished.load(Ordering::SeqCst) {
            std::thread::sleep(PROCESS_POLL_INTERVAL);
            for (number, gateway) in self.gateways.iter().enumerate() {
                let mut slot = lock(&gateway.slot);
                if slot.is_restarting {
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

/// Sets the mode of a relay for a time.
fn disrupt_link(link: &TcpRelay, mode: RelayMode, lasts: Duration) {
    link.set_mode(mode);
    std::thread::sleep(lasts);
    link.set_mode(RelayMode::Open);
}

/// Returns the resource usage of a process; `None` if it has exited.
fn process_peak(id: u32) -> Option<ProcessPeak> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let memory_kib = line.trim().split(' ').next()?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
    Some(ProcessPeak { memory_kib, descriptors })
}
