//! Runs randomised soak tests of gateways; see docs/SOAK.md for usage.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use berylstep_standins::soak::checks::findings;
use berylstep_standins::soak::plan::SoakPlan;
use berylstep_standins::soak::record::SoakRecord;
use berylstep_standins::soak::site::run_soak;
use gumdrop::Options;

/// Maximum number of findings printed for each check.
const MAX_PRINTED_FINDINGS: usize = 3;

/// Command-line options.
#[derive(Debug, Options)]
struct SoakOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of seeds, counted up from the first", default = "1")]
    count: u64,
    #[options(no_short, help = "length of the traffic in seconds", default = "30")]
    seconds: u64,
    #[options(no_short, help = "most gateways", default = "6")]
    gateways: usize,
    #[options(no_short, help = "folder for the gateways' logs", default = "target/soak")]
    logs: String,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let options = SoakOptions::parse_args_default_or_exit();
    let mut failed = Vec::new();
    for seed in options.seed..options.seed + options.count {
        let length = Duration::from_secs(options.seconds);
        let plan = SoakPlan::draw(seed, length, options.gateways);
        print!("{plan}");
        let folder = Path::new(&options.logs).join(format!("seed-{seed}"));
        let result = std::fs::create_dir_all(&folder).and_then(|()| run_soak(plan, &folder));
        let has_passed = match result {
            Ok(record) => report(seed, &record),
            Err(err) => {
                println!("seed {seed}: not run: {err}");
                false
            }
        };
        if has_passed {
            if let Err(err) = std::fs::remove_dir_all(&folder) {
                log::warn!("cannot remove {}: {err}", folder.display());
            }
        } else {
            println!("seed {seed}: logs are kept in {}", folder.display());
            failed.push(seed);
        }
    }
    println!("seeds: {} played, failed: {failed:?}", options.count);
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints the results of a soak and returns whether all checks passed.
fn report(seed: u64, record: &SoakRecord) -> bool {
    let served = record.requests.iter().filter(|request| request.end.status() == Some(200));
    let memory = record.peaks.iter().map(|peak| peak.memory_kib).max().unwrap_or_default();
    println!(
        "seed {seed}: {} requests, {} served, {} runs, {} versions, {} duty calls, peak {memory} KiB",
        record.requests.len(),
        served.count(),
        record.runs.len(),
        record.changes.len(),
        record.duties.len()
    );
    let found = findings(record);
    for (name, broken) in &found {
        println!("seed {seed}: BROKEN: {name}: {} times", broken.len());
        for finding in broken.iter().take(MAX_PRINTED_FINDINGS) {
            println!("    {finding}");
        }
    }
    found.is_empty()
}
