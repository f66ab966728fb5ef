//! Short soaks: seeds that failed before, and one that covers many faults.

use std::time::Duration;

use berylstep_standins::soak::checks::findings;
use berylstep_standins::soak::plan::SoakPlan;
use berylstep_standins::soak::site::run_soak;

struct SeedCase {
    seed: u64,
    /// Why the seed is tested.
    reason: &'static str,
}

const SEEDS: &[SeedCase] = &[SeedCase { seed: 5, reason: "a fault of most kinds" }];

/// Long enough for a planned stop after the last fault.
const LENGTH: Duration = Duration::from_secs(20);

/// Maximum number of gateways; low because other tests run at the same time.
const MAX_GATEWAYS: usize = 4;

#[test]
fn the_promises_hold_through_the_faults_of_each_seed() {
    for case in SEEDS {
        let plan = SoakPlan::draw(case.seed, LENGTH, MAX_GATEWAYS);
        let text = plan.to_string();
        let name = format!("berylstep-soak-{}-{}", std::process::id(), case.seed);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let record = run_soak(plan, &folder).unwrap();
        assert!(record.requests.len() > 100, "{text}{}", case.reason);
        assert_eq!(findings(&record), Vec::new(), "{}: {text}logs: {folder:?}", case.reason);
        std::fs::remove_dir_all(&folder).unwrap();
    }
}

#[test]
fn a_seed_draws_the_same_soak_again() {
    for seed in 0..200 {
        let draw = || SoakPlan::draw(seed, LENGTH, MAX_GATEWAYS);
        let plan = draw();
        assert_eq!(plan, draw());
        assert!(plan.faults.iter().all(|fault| fault.at + fault.lasts < LENGTH), "{plan}");
    }
}
