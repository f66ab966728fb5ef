//! Command-line entry point of the stand-ins: platform, model engine and plain service.

use std::net::SocketAddr;
use std::process::ExitCode;

use berylstep_standins::engine::EngineSettings;
use berylstep_standins::service::ServiceSettings;
use berylstep_standins::{engine, platform, service};
use gumdrop::Options;

/// Command-line options.
#[derive(Debug, Options)]
struct CommandOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(command, required)]
    command: Option<Standin>,
}

/// Stand-in to run, with its options.
#[derive(Debug, Options)]
enum Standin {
    #[options(help = "platform: tables, objects, VM list, orders, usage")]
    Platform(PlatformOptions),
    #[options(help = "model engine")]
    Engine(EngineOptions),
    #[options(help = "plain service")]
    Service(ServiceOptions),
}

#[derive(Debug, Options)]
struct PlatformOptions {
    help: bool,
    #[options(no_short, required, help = "address to listen on")]
    listen: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct EngineOptions {
    help: bool,
    #[options(no_short, required, help = "address to listen on")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "name, which answers carry", default = "engine")]
    name: String,
    #[options(no_short, help = "milliseconds for an iteration of one sequence", default = "5")]
    token_ms: u64,
    #[options(no_short, help = "microseconds that each further sequence adds", default = "100")]
    batch_us: u64,
    #[options(no_short, help = "microseconds for an uncached prompt token", default = "20")]
    prefill_us: u64,
    #[options(no_short, help = "largest batch", default = "8")]
    slots: usize,
    #[options(no_short, help = "blocks of 128 bytes in the prefix cache", default = "4096")]
    cache_blocks: usize,
    #[options(no_short, help = "mean output length in tokens, 0 for the limit", default = "0")]
    mean_tokens: u64,
    #[options(no_short, help = "seed of output lengths and errors", default = "0")]
    seed: u64,
    #[options(no_short, help = "age of load reports in milliseconds", default = "0")]
    load_lag_ms: u64,
    #[options(no_short, help = "answers can't be continued")]
    no_resume: bool,
}

#[derive(Debug, Options)]
struct ServiceOptions {
    help: bool,
    #[options(no_short, required, help = "address to listen on")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "name, which answers carry", default = "service")]
    name: String,
    #[options(no_short, help = "milliseconds for a call", default = "0")]
    delay_ms: u64,
}

fn main() -> ExitCode {
    env_logger::init();
    let options = CommandOptions::parse_args_default_or_exit();
    let result = smol::block_on(run(options.command.expect("command is required")));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(standin: Standin) -> std::io::Result<()> {
    match standin {
        Standin::Platform(options) => {
            platform::run(options.listen.expect("address is required")).await
        }
        Standin::Engine(options) => {
            let listen = options.listen.expect("address is required");
            engine::run(listen, engine_settings(options)).await
        }
        Standin::Service(options) => {
            let ServiceOptions { listen, name, delay_ms, .. } = options;
            let listen = listen.expect("address is required");
            service::run(listen, ServiceSettings { name, delay_ms }).await
        }
    }
}

fn engine_settings(options: EngineOptions) -> EngineSettings {
    EngineSettings {
        name: options.name,
        token_ms: options.token_ms,
        batch_us: options.batch_us,
        prefill_us: options.prefill_us,
        slots: options.slots.max(1),
        cache_blocks: options.cache_blocks,
        mean_tokens: options.mean_tokens,
        seed: options.seed,
        load_lag_ms: options.load_lag_ms,
        resumable: !options.no_resume,
    }
}
