//! Plan of a soak, drawn from a seed: the same seed always gives the same plan.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use crate::fleet::store::StoreMode;
use crate::relay::RelayMode;

/// Time without faults at the start, in which the fleet settles.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Time without faults at the end: a planned stop takes up to 8 s, and recovery is checked after
/// it.
pub const COOL_DOWN_TIME: Duration = Duration::from_secs(13);

/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: Range<u64> = 200..4000;

/// Mean interval between faults for seeds that draw the maximum number of faults, in milliseconds;
/// shorter than most faults, so that faults overlap.
const MIN_MEAN_FAULT_INTERVAL_MS: u64 = 800;

/// Added delay of a slow link or store, in milliseconds.
const DELAY_MS: Range<u64> = 20..400;

/// Maximum number of changes of the desired state in one burst.
const MAX_CHANGES: u32 = 6;

/// Number of routes without requests, where there are any: a desired state of 0.25 to 1.5 MB.
const IDLE_ROUTES: Range<usize> = 1_000..6_000;

/// Interval between the changes of a burst.
pub const CHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// Fault or planned change injected into the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// Stops a gateway gracefully and restarts it once it has exited.
    Stop(usize),
    /// Kills a gateway and restarts it when the fault ends.
    Kill(usize),
    /// Suspends the process of a gateway.
    Freeze(usize),
    /// Disrupts the connections between callers and a gateway.
    Callers(usize, RelayMode),
    /// Disrupts the connections between a gateway and the store.
    StoreLink(usize, RelayMode),
    /// Disrupts the connections between all gateways and a replica.
    ReplicaLink(usize, RelayMode),
    /// Drains a replica and replaces it when the fault ends.
    Drain(usize),
    /// Crashes a replica and replaces it at the same address when the fault ends.
    Replace(usize),
    /// Disrupts the store.
    Store(StoreMode),
    /// Discards the change history of the store.
    ForgetHistory,
    /// Changes the desired state this many times in a row.
    Change(u32),
    /// Withdraws the key of an organisation and grants it again when the fault ends.
    Withdraw(usize),
}

/// A fault and the time of its injection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time of injection, from the start of traffic.
    pub at: Duration,
    /// Duration; ignored by faults that end on their own.
    pub lasts: Duration,
    /// Fault to inject.
    pub fault: SoakFault,
}

/// A replica that names a limit for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedLimit {
    /// Number of the replica.
    pub replica: usize,
    /// Requests per second that it takes from all gateways together.
    pub per_second: f64,
    /// Time from which it names the limit, from the start of traffic.
    pub at: Duration,
    /// Time for which it does.
    pub lasts: Duration,
}

/// Parameters and faults of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// Seed of the plan and its traffic.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of replicas of each service.
    pub replicas: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Number of callers, each of which has one request open at a time.
    pub callers: usize,
    /// Duration of the traffic.
    pub length: Duration,
    /// Faults, in order of injection.
    pub faults: Vec<PlannedFault>,
    /// A limit that one replica names; `None` if no replica does.
    pub limit: Option<PlannedLimit>,
    /// Number of routes without requests in the desired state, which make it large.
    pub idle_routes: usize,
}

impl SoakPlan {
    /// Draws the plan of a soak of `length` with at most `max_gateways` gateways (at least 2).
    pub fn draw(seed: u64, length: Duration, max_gateways: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = rng.usize(2..=max_gateways.max(2));
        let replicas = rng.usize(2..=4);
        let organisations = rng.usize(2..=5);
        let callers = gateways * rng.usize(2..=5);
        let end = length.saturating_sub(COOL_DOWN_TIME).max(WARM_UP_TIME + Duration::from_secs(1));
        let span = (end - WARM_UP_TIME).as_millis() as u64;
        let count = rng.u64(1..=2 + span / MIN_MEAN_FAULT_INTERVAL_MS);
        let mut faults: Vec<_> = (0..count)
            .map(|_| {
                let at = rng.u64(0..span);
                let lasts = rng.u64(FAULT_DURATION_MS).min(span - at);
                let fault = draw_fault(&mut rng, gateways, replicas, organisations);
                PlannedFault {
                    at: WARM_UP_TIME + Duration::from_millis(at),
                    lasts: Duration::from_millis(lasts),
                    fault,
                }
            })
            .collect();
        faults.sort_by_key(|fault| fault.at);
        let limit = rng.bool().then(|| draw_limit(&mut rng, replicas, length));
        let is_large = rng.u32(0..3) == 0;
        let idle_routes = if is_large { rng.usize(IDLE_ROUTES) } else { 0 };
        Self {
            seed,
            gateways,
            replicas,
            organisations,
            callers,
            length,
            faults,
            limit,
            idle_routes,
        }
    }
}

/// Draws a limit that lasts until shortly before the end.
fn draw_limit(rng: &mut fastrand::Rng, replicas: usize, length: Duration) -> PlannedLimit {
    let at = WARM_UP_TIME / 3;
    PlannedLimit {
        replica: rng.usize(0..replicas * 2),
        per_second: f64::from(rng.u32(1..=8)) / 2.0,
        at,
        lasts: length.saturating_sub(at + WARM_UP_TIME),
    }
}

fn draw_fault(
    rng: &mut fastrand::Rng,
    gateways: usize,
    replicas: usize,
    organisations: usize,
) -> SoakFault {
    let gateway = rng.usize(0..gateways);
    let replica = rng.usize(0..replicas * 2);
    match rng.u32(0..14) {
        0 | 1 => SoakFault::Stop(gateway),
        2 => SoakFault::Kill(gateway),
        3 => SoakFault::Freeze(gateway),
        4 => SoakFault::Callers(gateway, draw_relay_mode(rng)),
        5 => SoakFault::StoreLink(gateway, draw_relay_mode(rng)),
        6 | 7 => SoakFault::ReplicaLink(replica, draw_relay_mode(rng)),
        8 => SoakFault::Drain(replica),
        9 => SoakFault::Replace(replica),
        10 => SoakFault::Store(draw_store_mode(rng)),
        11 => SoakFault::ForgetHistory,
        12 => SoakFault::Change(rng.u32(1..=MAX_CHANGES)),
        _ => SoakFault::Withdraw(rng.usize(0..organisations)),
    }
}

fn draw_relay_mode(rng: &mut fastrand::Rng) -> RelayMode {
    match rng.u32(0..5) {
        0 => RelayMode::Hold,
        1 => RelayMode::Cut,
        2 => RelayMode::HoldAnswers,
        3 => RelayMode::CutAnswers,
        _ => RelayMode::Delay(Duration::from_millis(rng.u64(DELAY_MS))),
    }
}

fn draw_store_mode(rng: &mut fastrand::Rng) -> StoreMode {
    match rng.u32(0..4) {
        0 => StoreMode::Down,
        1 => StoreMode::Silent,
        2 => StoreMode::LosesAnswers,
        _ => StoreMode::Slow(Duration::from_millis(rng.u64(DELAY_MS))),
    }
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "seed {}: {} gateways, 4 services of {} replicas, {} organisations, {} callers, {:?}",
            self.seed, self.gateways, self.replicas, self.organisations, self.callers, self.length
        )?;
        if self.idle_routes > 0 {
            writeln!(formatter, "  {} idle routes", self.idle_routes)?;
        }
        for fault in &self.faults {
            writeln!(formatter, "  {:?} for {:?}: {:?}", fault.at, fault.lasts, fault.fault)?;
        }
        if let Some(limit) = self.limit {
            writeln!(formatter, "  {limit:?}")?;
        }
        Ok(())
    }
}
