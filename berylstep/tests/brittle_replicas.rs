//! Replicas that fall over if the gateways together make them turn too many requests away.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use berylstep_standins::fleet::brittle::{BrittleConfig, BrittleReplica};
use berylstep_standins::fleet::gateway::{wait_until, FleetGateway, GatewayConfig, WAIT_TIMEOUT};
use berylstep_standins::fleet::message::{read_message, request_text};
use berylstep_standins::fleet::store::FakeStore;
use berylstep_standins::fleet::{desired_state, lock, KEY_HEADER};
use berylstep_standins::process::free_address;

const REPLICAS: usize = 3;

/// Time for which requests are sent, of which the first part is not counted.
const LEARNING_TIME: Duration = Duration::from_secs(3);
const COUNTED_TIME: Duration = Duration::from_secs(8);

/// Part of what the replicas have room for, or of the requests if they are fewer, that must be served.
const SERVED_SHARE: f64 = 0.7;

/// The same where the gateways that hand slots out are lost.
const TROUBLED_SHARE: f64 = 0.4;

/// Times at which gateways freeze or are killed.
const TROUBLE_TIMES: [Duration; 2] = [Duration::from_millis(4500), Duration::from_millis(8000)];
const FREEZE_TIME: Duration = Duration::from_millis(1300);

/// What befalls the first half of the gateways while requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GatewayTrouble {
    None,
    /// They freeze for 1.3 s, which is long enough for others to take their place.
    Freeze,
    /// They are killed, and start again.
    Kill,
    /// All gateways are killed, and start again.
    KillAll,
}

struct BrittleCase {
    name: &'static str,
    gateways: u8,
    /// Number of gateways that have callers, the last ones.
    entered: u8,
    trouble: GatewayTrouble,
    served_share: f64,
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
    check_all(&[BrittleCase {
        name: "as many slots as gateways",
        gateways: 4,
        entered: 4,
        trouble: GatewayTrouble::None,
        served_share: SERVED_SHARE,
        replica: FEW_SLOTS,
        requests_per_s: 350.0,
        callers: 64,
    }]);
}

/// Guards against the same where most gateways have no slot of their own (LIMIT).
#[test]
fn brittle_replicas_with_few_slots_for_many_gateways_are_kept_busy_without_a_fall() {
    let case = || many_gateways("overload, 12 slots");
    let cases = [
        case(),
        BrittleCase { name: "as much as fits, 12 slots", requests_per_s: 160.0, ..case() },
        BrittleCase {
            name: "overload, 90 slots",
            replica: BrittleConfig {
                slots: 30,
                run_time: Duration::from_millis(450),
                ..case().replica
            },
            callers: 240,
            ..case()
        },
    ];
    check_all(&cases);
}

/// Guards against slots that are left unused because few gateways have callers (LIMIT).
#[test]
fn brittle_replicas_are_kept_busy_by_callers_at_three_of_many_gateways() {
    let name = "callers at three gateways";
    check_all(&[BrittleCase { entered: 3, ..many_gateways(name) }]);
}

/// Guards against replicas that fall when the gateways that hand out their slots freeze or restart
/// (LIMIT).
#[test]
fn brittle_replicas_do_not_fall_when_gateways_are_lost() {
    let case = |name, trouble| BrittleCase {
        trouble,
        entered: 20,
        served_share: TROUBLED_SHARE,
        ..many_gateways(name)
    };
    check_all(&[
        case("half of the gateways freeze", GatewayTrouble::Freeze),
        case("half of the gateways are killed", GatewayTrouble::Kill),
        case("all gateways are killed", GatewayTrouble::KillAll),
    ]);
}

/// Returns a case of 40 gateways with callers before three replicas with four slots each.
fn many_gateways(name: &'static str) -> BrittleCase {
    let replica = BrittleConfig {
        run_time: Duration::from_millis(60),
        tolerated: 6,
        waiting: 100,
        waiting_time: Duration::from_secs(3),
        ..FEW_SLOTS
    };
    BrittleCase {
        name,
        gateways: 40,
        entered: 40,
        trouble: GatewayTrouble::None,
        served_share: SERVED_SHARE,
        replica,
        requests_per_s: 300.0,
        callers: 80,
    }
}

fn check_all(cases: &[BrittleCase]) {
    let failures: Vec<_> = cases.iter().filter_map(|case| run(case).err()).collect();
    assert!(failures.is_empty(), "{}", failures.join("; "));
}

/// Cases run one after the other: together they would measure the machine.
static CASE_LOCK: Mutex<()> = Mutex::new(());

/// Sends the requests of a case; fails with a description of what the replicas had to bear.
fn run(case: &BrittleCase) -> Result<(), String> {
    let _turn = lock(&CASE_LOCK);
    let config = case.replica;
    let replicas: Vec<_> =
        (0..REPLICAS).map(|index| BrittleReplica::start(&format!("i-{index}"), config)).collect();
    let store = FakeStore::start();
    store.put("op", "config", Some(desired_state(1)));
    for replica in &replicas {
        store.put("servers", &replica.replica.id, Some(replica.entry("safe")));
    }
    let peer_port = free_address().port();
    let configs: Vec<_> = (2..2 + case.gateways)
        .map(|number| GatewayConfig::new(store.address, number, peer_port))
        .collect();
    let start = |config: &GatewayConfig| config.spawn(Stdio::null()).expect("the gateway starts");
    let mut gateways: Vec<_> = configs.iter().map(start).collect();
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
        let entered: Vec<_> =
            configs.iter().rev().take(case.entered.into()).map(|config| config.listen[0]).collect();
        let may_fail = case.trouble == GatewayTrouble::KillAll;
        for caller in 0..case.callers {
            let address = entered[caller % entered.len()];
            scope.spawn(move || {
                std::thread::sleep(interval.mul_f64(caller as f64 / case.callers as f64));
                let mut next = Instant::now();
                while began.elapsed() < LEARNING_TIME + COUNTED_TIME {
                    assert!(send(address) || may_fail, "a request got no answer");
                    next = (next + interval).max(Instant::now() - interval);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        std::thread::sleep(LEARNING_TIME.saturating_sub(began.elapsed()));
        let before = totals(&replicas);
        for at in TROUBLE_TIMES {
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            cause_trouble(case.trouble, &configs, &mut gateways);
        }
        std::thread::sleep((LEARNING_TIME + COUNTED_TIME).saturating_sub(began.elapsed()));
        (before, totals(&replicas))
    });
    let falls = after.0;
    let served = (after.1 - before.1) as f64 / COUNTED_TIME.as_secs_f64();
    let room = f64::from(config.slots) * REPLICAS as f64 / config.run_time.as_secs_f64();
    let wanted = room.min(case.requests_per_s) * case.served_share;
    let result = format!("{}: {falls} falls, {served} of {wanted} a second were served", case.name);
    println!("{result}");
    match falls * 10 <= 20 + REPLICAS && served >= wanted {
        true => Ok(()),
        false => Err(result),
    }
}

/// Sends a request; returns whether it was answered.
fn send(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let request = request_text("safe", "id-1", 2000, KEY_HEADER);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is valid");
    stream.write_all(request.as_bytes()).is_ok() && read_message(&mut stream).is_some()
}

fn cause_trouble(
    trouble: GatewayTrouble,
    configs: &[GatewayConfig],
    gateways: &mut Vec<FleetGateway>,
) {
    let half = gateways.len() / 2;
    match trouble {
        GatewayTrouble::None => {}
        GatewayTrouble::Freeze => {
            gateways[..half].iter().for_each(|gateway| gateway.process.freeze());
            std::thread::sleep(FREEZE_TIME);
            gateways[..half].iter().for_each(|gateway| gateway.process.thaw());
        }
        GatewayTrouble::Kill | GatewayTrouble::KillAll => {
            let killed = if trouble == GatewayTrouble::Kill { half } else { gateways.len() };
            // Dropping a gateway kills its process.
            let kept = gateways.split_off(killed);
            gateways.clear();
            gateways.extend(
                configs[..killed]
                    .iter()
                    .map(|config| config.spawn(Stdio::null()).expect("the gateway starts")),
            );
            gateways.extend(kept);
        }
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
