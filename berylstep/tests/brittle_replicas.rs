//! Replicas that fall over if the gateways together make them turn too many requests away.

use std::time::{Duration, Instant};

use berylstep_standins::fleet::brittle::{BrittleConfig, BrittleReplica};
use berylstep_standins::fleet::gateway::FleetGateway;
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, KEY_HEADER};
use berylstep_standins::process::free_address;

const GATEWAYS: u8 = 4;
const REPLICAS: usize = 3;

/// Time for which requests are sent, of which the first part is not counted.
const LEARNING_TIME: Duration = Duration::from_secs(3);
const COUNTED_TIME: Duration = Duration::from_secs(8);

/// Requests a second of all callers; the replicas have room for 240.
const REQUESTS_PER_S: f64 = 350.0;

/// Number of threads that send; each has a request at a time.
const CALLERS: usize = 64;

/// Part of what the replicas have room for that must be served.
const SERVED_SHARE: f64 = 0.7;

/// Guards against gateways that together send brittle replicas more than they have room for, or leave
/// them idle (LIMIT).
#[test]
fn brittle_replicas_are_kept_busy_without_a_fall() {
    let config = BrittleConfig {
        slots: 4,
        run_time: Duration::from_millis(50),
        tolerated: 4,
        says_so: true,
        down_time: Duration::from_secs(2),
    };
    let replicas: Vec<_> =
        (0..REPLICAS).map(|index| BrittleReplica::start(&format!("i-{index}"), config)).collect();
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in &replicas {
        store.put("servers", &replica.replica.id, Some(replica.entry("safe")));
    }
    let peer_port = free_address().port();
    let gateways: Vec<_> =
        (2..2 + GATEWAYS).map(|number| FleetGateway::start(&store, number, peer_port)).collect();
    std::thread::sleep(Duration::from_millis(2200));
    let began = Instant::now();
    let interval = Duration::from_secs_f64(CALLERS as f64 / REQUESTS_PER_S);
    let totals = |replicas: &[BrittleReplica]| {
        replicas
            .iter()
            .map(BrittleReplica::falls_and_served)
            .fold((0, 0), |(falls, served), (more_falls, more_served)| {
                (falls + more_falls, served + more_served)
            })
    };
    let (before, after) = std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let gateway = &gateways[caller % gateways.len()];
            scope.spawn(move || {
                std::thread::sleep(interval.mul_f64(caller as f64 / CALLERS as f64));
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
    assert!(falls * 10 <= 20 + REPLICAS, "{falls} falls");
    let served = (after.1 - before.1) as f64 / COUNTED_TIME.as_secs_f64();
    let room = f64::from(config.slots) * REPLICAS as f64 / config.run_time.as_secs_f64();
    assert!(served >= room * SERVED_SHARE, "{served} of {room} a second were served");
}
