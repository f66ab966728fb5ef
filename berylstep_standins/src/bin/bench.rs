//! Runs the measurements of docs/MEASUREMENTS.md.

use std::net::SocketAddr;
use std::process::ExitCode;

use berylstep_standins::bench::{path, streams};
use gumdrop::Options;

/// Variable that sets the log level of the nodes, which inherit it.
const LOG_VARIABLE: &str = "BERYLSTEP_LOG";

/// Log level of the nodes where the variable is not set.
const NODE_LOG_LEVEL: &str = "error";

/// Options of the whole command.
#[derive(Debug, Options)]
struct CommandOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(command, required)]
    command: Option<Measurement>,
}

/// What to measure.
#[derive(Debug, Options)]
enum Measurement {
    #[options(help = "added latency, processor time and memory of the path through one node")]
    Path(PathOptions),
    #[options(help = "memory of the path alone")]
    Memory(PathOptions),
    #[options(help = "hold streams open; the other measurements start this")]
    Streams(StreamOptions),
}

#[derive(Debug, Options)]
struct PathOptions {
    help: bool,
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
    let measured = match options.command.expect("command is required") {
        Measurement::Path(_) => path::run(),
        Measurement::Memory(_) => path::print_memory(),
        Measurement::Streams(options) => {
            let address = options.address.expect("address is required");
            smol::block_on(streams::hold(address, options.count)).map_err(Into::into)
        }
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}
