//! Runs the benchmarks of docs/MEASUREMENTS.md.

use std::net::SocketAddr;
use std::process::ExitCode;

use berylstep_standins::bench::{path, policy, slopes, streams};
use gumdrop::Options;

/// Environment variable with the log level of the nodes, which inherit it.
const LOG_VARIABLE: &str = "BERYLSTEP_LOG";

/// Log level of the nodes if the variable is not set.
const NODE_LOG_LEVEL: &str = "error";

/// Command-line options.
#[derive(Debug, Options)]
struct CommandOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(command, required)]
    command: Option<Measurement>,
}

/// Benchmark to run, with its options.
#[derive(Debug, Options)]
enum Measurement {
    #[options(help = "added latency, processor time and memory of the path through one node")]
    Path(PlainOptions),
    #[options(help = "memory of the path alone")]
    Memory(PlainOptions),
    #[options(help = "the arbiter against the baseline under load and faults")]
    Policy(PolicyOptions),
    #[options(help = "slopes of messages and state")]
    Slopes(PlainOptions),
    #[options(help = "slopes of idle nodes")]
    Idle(PlainOptions),
    #[options(help = "build one table and print its cost; slopes starts this")]
    State(StateOptions),
    #[options(help = "hold streams open; the other measurements start this")]
    Streams(StreamOptions),
}

#[derive(Debug, Options)]
struct PlainOptions {
    help: bool,
}

#[derive(Debug, Options)]
struct PolicyOptions {
    help: bool,
    #[options(no_short, help = "seed of arrivals and output lengths", default = "1")]
    seed: u64,
    #[options(no_short, help = "run only cases whose name contains this")]
    case: String,
}

#[derive(Debug, Options)]
struct StateOptions {
    help: bool,
    #[options(no_short, required, help = "table to build")]
    kind: String,
    #[options(no_short, help = "number of entities", default = "10000")]
    count: usize,
}

#[derive(Debug, Options)]
struct StreamOptions {
    help: bool,
    #[options(no_short, required, help = "node to call")]
    address: Option<SocketAddr>,
    #[options(no_short, help = "number of streams", default = "1")]
    count: usize,
}

fn main() -> ExitCode {
    let options = CommandOptions::parse_args_default_or_exit();
    if std::env::var_os(LOG_VARIABLE).is_none() {
        std::env::set_var(LOG_VARIABLE, NODE_LOG_LEVEL);
    }
    let result = match options.command.expect("command is required") {
        Measurement::Path(_) => path::run(),
        Measurement::Policy(options) => policy::run(options.seed, &options.case),
        Measurement::Slopes(_) => slopes::run(),
        Measurement::Idle(_) => slopes::run_idle(),
        Measurement::State(options) => slopes::print_table(&options.kind, options.count),
        Measurement::Memory(_) => path::print_memory(),
        Measurement::Streams(options) => {
            let address = options.address.expect("address is required");
            smol::block_on(streams::hold(address, options.count)).map_err(Into::into)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}
