//! What a soak does: drawn from its seed, so that the seed alone plays it again.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use crate::fleet::store::StoreMode;
use crate::relay::RelayMode;

/// Time without faults at the beginning, in which the fleet settles.
const CALM_START: Duration = Duration::from_secs(3);

/// Time without faults at the end: a planned stop takes 8 s, and recovery is judged after it.
pub const CALM_END: Duration = Duration::from_secs(13);

/// Length of a fault, in milliseconds.
const FAULT_MS: Range<u64> = 200..4000;

/// Mean time between two faults where a seed draws the most of them, in milliseconds: shorter than
/// most faults, so that they overlap.
const MEAN_PAUSE_MS: u64 = 800;

/// Delay of a slow link or store, in milliseconds.
const DELAY_MS: Range<u64> = 20..400;

/// Most changes of the desired state in one storm.
const MOST_CHANGES: u32 = 6;

/// Pause between two changes of a storm.
pub const STORM_PAUSE: Duration = Duration::from_millis(150);

/// What is done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// Planned stop of a gateway, which is started again afterwards.
    Stop(usize),
    /// Kill of a gateway, which is started again at the end.
    Kill(usize),
    /// Freeze of a gateway.
    Freeze(usize),
    /// Trouble on the links between callers and a gateway.
    Callers(usize, RelayMode),
    /// Trouble on the links between a gateway and the store.
    StoreLink(usize, RelayMode),
    /// Trouble on the links between all gateways and a replica.
    ReplicaLink(usize, RelayMode),
    /// A replica leaves as planned and is back at the end.
    Drain(usize),
    /// A replica crashes; at the end another one is at its address.
    Replace(usize),
    /// Trouble in the store.
    Store(StoreMode),
    /// The store forgets which rows changed when.
    ForgetHistory,
    /// So many changes of the desired state in a row.
    Change(u32),
    /// The key of an organisation is withdrawn, and given again at the end.
    Withdraw(usize),
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When, from the start of traffic.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
    /// What.
    pub fault: SoakFault,
}

/// A soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// Seed.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Replicas of each service.
    pub replicas: usize,
    /// Organisations.
    pub organisations: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// Length of the traffic.
    pub length: Duration,
    /// Faults in order of their time.
    pub faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Draws a soak of `length`, with at most `most_gateways`.
    pub fn draw(seed: u64, length: Duration, most_gateways: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = rng.usize(2..=most_gateways.max(2));
        let replicas = rng.usize(2..=4);
        let organisations = rng.usize(2..=5);
        let callers = gateways * rng.usize(2..=5);
        let end = length.saturating_sub(CALM_END).max(CALM_START + Duration::from_secs(1));
        let span = (end - CALM_START).as_millis() as u64;
        let count = rng.u64(1..=2 + span / MEAN_PAUSE_MS);
        let mut faults: Vec<_> = (0..count)
            .map(|_| {
                let at = rng.u64(0..span);
                let lasts = rng.u64(FAULT_MS).min(span - at);
                let fault = draw_fault(&mut rng, gateways, replicas, organisations);
                PlannedFault {
                    at: CALM_START + Duration::from_millis(at),
                    lasts: Duration::from_millis(lasts),
                    fault,
                }
            })
            .collect();
        faults.sort_by_key(|fault| fault.at);
        Self { seed, gateways, replicas, organisations, callers, length, faults }
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
        4 => SoakFault::Callers(gateway, draw_link(rng)),
        5 => SoakFault::StoreLink(gateway, draw_link(rng)),
        6 | 7 => SoakFault::ReplicaLink(replica, draw_link(rng)),
        8 => SoakFault::Drain(replica),
        9 => SoakFault::Replace(replica),
        10 => SoakFault::Store(draw_store(rng)),
        11 => SoakFault::ForgetHistory,
        12 => SoakFault::Change(rng.u32(1..=MOST_CHANGES)),
        _ => SoakFault::Withdraw(rng.usize(0..organisations)),
    }
}

fn draw_link(rng: &mut fastrand::Rng) -> RelayMode {
    match rng.u32(0..5) {
        0 => RelayMode::Hold,
        1 => RelayMode::Cut,
        2 => RelayMode::HoldAnswers,
        3 => RelayMode::CutAnswers,
        _ => RelayMode::Delay(Duration::from_millis(rng.u64(DELAY_MS))),
    }
}

fn draw_store(rng: &mut fastrand::Rng) -> StoreMode {
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
        for fault in &self.faults {
            writeln!(formatter, "  {:?} for {:?}: {:?}", fault.at, fault.lasts, fault.fault)?;
        }
        Ok(())
    }
}
