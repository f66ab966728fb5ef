//! Cold replicas: when a replica counts as cold, and how many requests it gets in any second while keepers
//! change, nodes are cut off from each other and turns are used late.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::fleet::cold::{ColdBounds, ColdRule, FleetSight, TURN_LIFETIME};
use berylstep_core::fleet::replica::{ReplicaEntry, ReplicaState, ReplicaTable};
use berylstep_core::fleet::turns::{TurnAnswer, TurnAsk, TurnCandidate, TurnKeeper};

const SERVICE: &str = "model";
const RULE: ColdRule = ColdRule { start: Duration::from_secs(3), per_second: 14.0 };
const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, slack: 5.0 };
const WINDOW: Duration = Duration::from_secs(1);

fn entry(state: ReplicaState, born: u64) -> ReplicaEntry {
    ReplicaEntry {
        id: "r".into(),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        zone: "a".into(),
        version: "v1".into(),
        slots: 64,
        state,
        spot: false,
        leaves_in: None,
        born,
    }
}

/// What a node learns of a replica.
#[derive(Clone, Copy, Debug)]
enum ReplicaEvent {
    /// An entry with this start of the process and this remaining cold time in milliseconds.
    Entry { born: u64, cold_ms: Option<u64> },
    /// An entry of a replica that is shutting down.
    Draining,
    /// The entry was removed.
    Removed,
    /// The store has been restored from an older copy.
    NewEra,
    /// A connection failed or broke off.
    Failure,
}

struct MarkCase {
    name: &'static str,
    /// What is learnt, in milliseconds after the start.
    events: &'static [(u64, ReplicaEvent)],
    /// Times at which the replica must count as cold, and as not cold.
    cold: &'static [u64],
    warm: &'static [u64],
}

fn apply(table: &mut ReplicaTable, event: ReplicaEvent, revision: u64, now: Duration) {
    match event {
        ReplicaEvent::Entry { born, cold_ms } => {
            table.put(entry(ReplicaState::Ready, born), revision, now);
            table.apply_cold_time("r", cold_ms.map(Duration::from_millis), revision, now);
        }
        ReplicaEvent::Draining => drop(table.put(entry(ReplicaState::Draining, 1), revision, now)),
        ReplicaEvent::Removed => drop(table.remove("r", now)),
        ReplicaEvent::NewEra => table.begin_era(now),
        ReplicaEvent::Failure => drop(table.record_failure("r", now)),
    }
}

/// Guards against a cold replica that a node takes for a warm one, and against a warm one that it spares.
#[test]
fn a_replica_counts_as_cold_until_it_is_known_not_to_be() {
    use ReplicaEvent::{Draining, Entry, Failure, NewEra, Removed};
    const WARM: ReplicaEvent = Entry { born: 1, cold_ms: Some(0) };
    const UNSAID: ReplicaEvent = Entry { born: 1, cold_ms: None };
    let cases = [
        MarkCase {
            name: "a new replica that says nothing is cold for the cold time of its service",
            events: &[(0, UNSAID)],
            cold: &[0, 2900],
            warm: &[3000, 9000],
        },
        MarkCase {
            name: "a new replica that says that it is not cold",
            events: &[(0, WARM)],
            cold: &[],
            warm: &[0, 1000],
        },
        MarkCase {
            name: "a warm replica becomes cold at any moment",
            events: &[(0, WARM), (5000, Entry { born: 1, cold_ms: Some(1200) })],
            cold: &[5000, 6100],
            warm: &[4900, 6200],
        },
        MarkCase {
            name: "a new process with the same identifier",
            events: &[(0, WARM), (5000, Entry { born: 2, cold_ms: None })],
            cold: &[5000, 7900],
            warm: &[4900, 8000],
        },
        MarkCase {
            name: "an entry that differs in other fields is no new process",
            events: &[(0, WARM), (5000, UNSAID)],
            cold: &[],
            warm: &[5000, 6000],
        },
        MarkCase {
            name: "a replica that is back in the list",
            events: &[(0, WARM), (5000, Removed), (6000, UNSAID)],
            cold: &[6000, 8900],
            warm: &[9000],
        },
        MarkCase {
            name: "a replica that was shutting down and is ready again",
            events: &[(0, WARM), (5000, Draining), (6000, UNSAID)],
            cold: &[6000, 8900],
            warm: &[9000],
        },
        MarkCase {
            name:
                "a replica that failed may have a new process, unless a later entry says otherwise",
            events: &[(0, WARM), (5000, Failure), (6000, WARM)],
            cold: &[5000, 5900],
            warm: &[4900, 6000],
        },
        MarkCase {
            name: "a failure doesn't cut a stated cold time short",
            events: &[(0, Entry { born: 1, cold_ms: Some(9000) }), (1000, Failure)],
            cold: &[8900],
            warm: &[9000],
        },
        MarkCase {
            name: "entries of a restored store count although their revisions are lower",
            events: &[
                (0, WARM),
                (0, WARM),
                (4000, NewEra),
                (5000, Entry { born: 1, cold_ms: Some(900) }),
            ],
            cold: &[5000, 5800],
            warm: &[4900, 5900],
        },
    ];
    for case in cases {
        for (is_expected, times) in [(true, case.cold), (false, case.warm)] {
            for at in times {
                let mut table = ReplicaTable::default();
                let mut revision = 10;
                for (millis, event) in case.events.iter().filter(|(millis, _)| millis <= at) {
                    revision = if matches!(event, NewEra) { 1 } else { revision + 1 };
                    apply(&mut table, *event, revision, Duration::from_millis(*millis));
                }
                let row = table.get("r").expect("the replica is listed");
                let is_cold = row.cold.is_cold(&RULE, Duration::from_millis(*at));
                assert_eq!(is_cold, is_expected, "{} at {at} ms", case.name);
            }
        }
    }
}

#[test]
fn an_entry_that_was_applied_does_not_extend_the_cold_time() {
    let mut table = ReplicaTable::default();
    let cold = ReplicaEvent::Entry { born: 1, cold_ms: Some(2000) };
    [0, 1000, 1900].iter().for_each(|at| apply(&mut table, cold, 7, Duration::from_millis(*at)));
    let row = table.get("r").expect("the replica is listed");
    assert_eq!(row.cold.cold_until(&RULE), Some(Duration::from_secs(2)));
}

/// Returns the largest number of requests in a second.
fn peak(arrivals: &mut [Duration]) -> usize {
    arrivals.sort_unstable();
    let count = |from: &Duration| {
        let begin = arrivals.partition_point(|at| at < from);
        arrivals.partition_point(|at| *at < *from + WINDOW) - begin
    };
    arrivals.iter().map(count).max().unwrap_or_default()
}

fn take(keeper: &mut TurnKeeper, rate: f64, lag: f64, now: Duration) -> bool {
    let candidates = [TurnCandidate { replica: 0, rate }];
    let ask =
        TurnAsk { service: SERVICE, tier: 0, patience: Duration::ZERO, candidates: &candidates };
    keeper.mark_cold(SERVICE, 0, lag, now);
    matches!(keeper.take(&ask, now), TurnAnswer::Granted(_))
}

/// Times, in milliseconds, within which a keeper hands out turns.
type KeeperTimes = &'static [(u64, u64)];

struct KeeperCase {
    name: &'static str,
    keepers: &'static [KeeperTimes],
    /// Parts of the turns that the keepers hand out.
    shares: &'static [f64],
    /// Part of the tolerated rate that must be used over the run.
    used: f64,
}

/// Time for which keepers hand out turns in a case.
const RUN_MS: u64 = 12_000;

/// Guards against keepers that together hand out more than a cold replica may get in a second (FAILBACK): 400
/// requests a second look for replicas, and each turn is used at any time of its life.
#[test]
fn a_cold_replica_stays_within_its_bounds_in_any_second() {
    const ALWAYS: KeeperTimes = &[(0, RUN_MS)];
    let cases = [
        // At 50 a second the bounds leave room for a rate of 45, and it begins with half of that.
        KeeperCase { name: "one keeper", keepers: &[ALWAYS], shares: &[1.0], used: 0.8 },
        KeeperCase {
            name: "a keeper follows another, and both hand out turns for a second",
            keepers: &[&[(0, 6000)], &[(5000, RUN_MS)]],
            shares: &[1.0, 1.0],
            used: 0.8,
        },
        KeeperCase {
            name: "the keeper is away for two seconds, and both hand out turns afterwards",
            keepers: &[&[(0, 4000), (6000, 7000)], &[(5000, RUN_MS)]],
            shares: &[1.0, 1.0],
            used: 0.6,
        },
        KeeperCase {
            name: "three zones are cut off from each other for the whole time",
            keepers: &[ALWAYS, ALWAYS, ALWAYS],
            shares: &[24.0 / 71.0, 24.0 / 71.0, 23.0 / 71.0],
            // At a request a second, each keeper holds the part of a turn at the end.
            used: 0.7,
        },
        KeeperCase {
            name: "71 nodes are each on their own",
            keepers: &[ALWAYS; 71],
            shares: &[0.5 / 71.0; 71],
            used: 0.0,
        },
    ];
    for per_second in [1.0, 4.0, 14.0, 50.0] {
        for case in &cases {
            for seed in 0..2 {
                let mut random = fastrand::Rng::with_seed(seed);
                let rate = BOUNDS.turn_rate(per_second);
                let mut keepers: Vec<_> =
                    case.keepers.iter().map(|_| TurnKeeper::default()).collect();
                let is_split = case.keepers.len() > 8;
                let lags: Vec<_> =
                    keepers.iter().map(|_| if is_split { random.f64() } else { 0.0 }).collect();
                let mut arrivals = Vec::new();
                for millis in 0..RUN_MS {
                    let now = Duration::from_millis(millis);
                    let parts = keepers.iter_mut().zip(case.keepers).zip(case.shares).zip(&lags);
                    for (((keeper, times), share), lag) in parts {
                        let is_active =
                            times.iter().any(|(from, to)| (*from..*to).contains(&millis));
                        if is_active && random.f64() < 0.4 && take(keeper, rate * share, *lag, now)
                        {
                            arrivals.push(now + TURN_LIFETIME.mul_f64(random.f64()));
                        }
                    }
                }
                let (peak, sent) = (peak(&mut arrivals) as f64, arrivals.len() as f64);
                let allowed = BOUNDS.allowed(per_second);
                let name = format!("{}, {per_second} a second, seed {seed}", case.name);
                assert!(peak <= allowed, "{name}: {peak} of {allowed} in a second");
                let used = sent / (per_second * RUN_MS as f64 / 1000.0);
                assert!(used >= case.used, "{name}: {used:.2} used");
            }
        }
    }
}

/// Guards against an idle keeper whose turns of a replica that it has known as warm are all used at once.
#[test]
fn turns_are_not_saved_up_before_a_replica_is_cold() {
    let mut keeper = TurnKeeper::default();
    let rate = BOUNDS.turn_rate(RULE.per_second);
    let begins = [Duration::from_secs(1), Duration::from_secs(40), Duration::from_secs(41)];
    for begin in begins {
        let granted = (0..10).filter(|_| take(&mut keeper, rate, 0.0, begin)).count();
        assert!(granted <= 1, "{granted} at once at {begin:?}");
    }
}

struct ShareCase {
    name: &'static str,
    sight: FleetSight,
    share: f64,
    is_outdated: bool,
}

/// Guards against a node that is cut off, has just started or was paused and sends as if it knew all.
#[test]
fn a_node_hands_out_the_part_of_the_fleet_that_it_hears_from() {
    let all = FleetSight { heard: 71, known: 71, has_store: true, was_paused: false };
    let cases = [
        ShareCase { name: "connected", sight: all, share: 1.0, is_outdated: false },
        ShareCase {
            name: "the whole fleet lacks the store",
            sight: FleetSight { has_store: false, ..all },
            share: 1.0,
            is_outdated: false,
        },
        ShareCase {
            name: "a zone with the store is cut off",
            sight: FleetSight { heard: 24, ..all },
            share: 24.0 / 71.0,
            is_outdated: false,
        },
        ShareCase {
            name: "a zone without the store is cut off",
            sight: FleetSight { heard: 24, has_store: false, ..all },
            share: 24.0 / 71.0,
            is_outdated: true,
        },
        ShareCase {
            name: "a node has just started and has heard from nobody",
            sight: FleetSight { heard: 0, known: 4, has_store: false, was_paused: false },
            share: 0.25,
            is_outdated: true,
        },
        ShareCase {
            name: "a node is on its own",
            sight: FleetSight { heard: 1, has_store: false, ..all },
            share: 0.5 / 71.0,
            is_outdated: true,
        },
        ShareCase {
            name: "a node was paused",
            sight: FleetSight { was_paused: true, ..all },
            share: 1.0,
            is_outdated: true,
        },
    ];
    for case in cases {
        let ShareCase { name, sight, share, is_outdated } = case;
        assert!((sight.turn_share() - share).abs() < 1e-9, "{name}: {}", sight.turn_share());
        assert_eq!(sight.is_outdated(), is_outdated, "{name}");
    }
}

/// Guards against all nodes taking a replica that has little to do as their first choice once it is warm.
#[test]
fn the_share_of_a_replica_grows_after_its_cold_time() {
    let mut table = ReplicaTable::default();
    let cold = ReplicaEvent::Entry { born: 1, cold_ms: Some(2000) };
    apply(&mut table, cold, 1, Duration::ZERO);
    let row = table.get("r").expect("the replica is listed");
    let rate = |at: u64| row.cold.turn_rate(&RULE, &BOUNDS, Duration::from_millis(at));
    let rates = [0, 1999, 2100, 2500, 2999].map(|at| rate(at).expect("turns are needed"));
    assert_eq!((rates[0], rates[1]), (14.0, 14.0));
    assert!(rates.windows(2).all(|pair| pair[0] <= pair[1]), "{rates:?}");
    assert!(rates[2] < 2.0 * rates[0] && rates[4] > 4.0 * rates[0], "{rates:?}");
    assert_eq!(rate(3000), None);
}
