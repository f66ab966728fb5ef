//! Replicas that fall over if the gateways together make them turn too many requests away.

use std::process::Stdio;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::brittle::{BrittleConfig, BrittleReplica};
use berylstep_standins::fleet::gateway::{wait_until, GatewayConfig};
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

const REPLICAS: usize = 3;

/// Time for which requests are sent, of which the first part is not counted.
const LEARNING_TIME: Duration = Duration::from_secs(3);
const COUNTED_TIME: Duration = Duration::from_secs(8);

/// Part of what the replicas have room for, or of the requests if they are fewer, that must be served.
const SERVED_SHARE: f64 = 0.7;

struct BrittleCase {
    name: &'static str,
    gateways: u8,
    replica: BrittleConfig,
    /// Requests a second of all callers.
    requests_per_s: f64,
    /// Number of threads that send; each has a request at a time.
    callers: usize,
}

const FEW_SLOTS: BrittleConfig = BrittleConfig {
    slots: 4,
    run_time: Duration::from_millis(50),
    tolerated: 4,
    says_so: true,
    down_time: Duration::from_secs(2),
    waiting: 0,
    waiting_time: Duration::ZERO,
};

/// Guards against gateways that together send brittle replicas more than they have room for, or leave
/// them idle (LIMIT).
#[test]
fn brittle_replicas_are_kept_busy_without_a_fall() {
    check(&BrittleCase {
        name: "as many slots as gateways",
        gateways: 4,
        replica: FEW_SLOTS,
        requests_per_s: 350.0,
        callers: 64,
    });
}

/// Guards against the same where most gateways have no slot of their own (LIMIT).
#[test]
fn brittle_replicas_with_few_slots_for_many_gateways_are_kept_busy_without_a_fall() {
    let few = BrittleConfig {
        run_time: Duration::from_millis(60),
        tolerated: 6,
        waiting: 100,
        waiting_time: Duration::from_secs(3),
        ..FEW_SLOTS
    };
    let cases = [
        BrittleCase {
            name: "overload, 12 slots",
            gateways: 40,
            replica: few,
            requests_per_s: 300.0,
            callers: 80,
        },
        BrittleCase {
            name: "as much as fits, 12 slots",
            gateways: 40,
            replica: few,
            requests_per_s: 160.0,
            callers: 80,
        },
        BrittleCase {
            name: "overload, 90 slots",
            gateways: 40,
            replica: BrittleConfig { slots: 30, run_time: Duration::from_millis(450), ..few },
            requests_per_s: 300.0,
            callers: 240,
        },
    ];
    let failures: Vec<_> = cases.iter().filter_map(|case| run(case).err()).collect();
    assert!(failures.is_empty(), "{}", failures.join("; "));
}

fn check(case: &BrittleCase) {
    if let Err(failure) = run(case) {
        panic!("{failure}");
    }
}

/// Sends the requests of a case; fails with a description of what the replicas had to bear.
fn run(case: &BrittleCase) -> Result<(), String> {
    let config = case.replica;
    let replicas: Vec<_> =
        (0..REPLICAS).map(|index| BrittleReplica::start(&format!("i-{index}"), config)).collect();
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in &replicas {
        store.put("servers", &replica.replica.id, Some(replica.entry("safe")));
    }
    let peer_port = free_address().port();
    let gateways: Vec<_> = (2..2 + case.gateways)
        .map(|number| {
            let config = GatewayConfig::new(store.address, number, peer_port);
            config.spawn(Stdio::null()).expect("the gateway starts")
        })
        .collect();
    for gateway in &gateways {
        wait_until("the gateway is ready", || gateway.is_ready());
    }
    std::thread::sleep(Duration::from_millis(2200));
    let began = Instant::now();
    let interval = Duration::from_secs_f64(case.callers as f64 / case.requests_per_s);
    let totals = |replicas: &[BrittleReplica]| {
        replicas
            .iter()
            .map(BrittleReplica::falls_and_served)
            .fold((0, 0), |(falls, served), (more_falls, more_served)| {
                (falls + more_falls, served + more_served)
            })
    };
    let (before, after) = std::thread::scope(|scope| {
        scope.spawn(|| list_restarts(&store, &replicas, began + LEARNING_TIME + COUNTED_TIME));
        for caller in 0..case.callers {
            let gateway = &gateways[caller % gateways.len()];
            scope.spawn(move || {
                std::thread::sleep(interval.mul_f64(caller as f64 / case.callers as f64));
                let mut next = Instant::now();
                while began.elapsed() < LEARNING_TIME + COUNTED_TIME {
                    let answer = gateway.send("safe", KEY_HEADER);
                    assert!(answer.is_some(), "a request got no answer");
                    next = (next + interval).max(Instant::now() - interval);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        std::thread::sleep(LEARNING_TIME.saturating_sub(began.elapsed()));
        let before = totals(&replicas);
        std::thread::sleep((LEARNING_TIME + COUNTED_TIME).saturating_sub(began.elapsed()));
        (before, totals(&replicas))
    });
    let falls = after.0;
    let served = (after.1 - before.1) as f64 / COUNTED_TIME.as_secs_f64();
    let room = f64::from(config.slots) * REPLICAS as f64 / config.run_time.as_secs_f64();
    let wanted = room.min(case.requests_per_s) * SERVED_SHARE;
    let result = format!("{}: {falls} falls, {served} of {wanted} a second were served", case.name);
    println!("{result}");
    match falls * 10 <= 20 + REPLICAS && served >= wanted {
        true => Ok(()),
        false => Err(result),
    }
}

/// Keeps the list of replicas up to date when one has restarted.
fn list_restarts(store: &FakeStore, replicas: &[BrittleReplica], until: Instant) {
    let mut listed: Vec<_> = replicas.iter().map(|replica| replica.replica.starts()).collect();
    while Instant::now() < until {
        for (replica, listed) in replicas.iter().zip(&mut listed) {
            let starts = replica.replica.starts();
            if std::mem::replace(listed, starts) != starts {
                store.put("servers", &replica.replica.id, Some(replica.entry("safe")));
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
